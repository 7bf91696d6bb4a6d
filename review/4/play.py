"""A target leaves, its node is killed, and a heartbeat sent before arrives late."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "kit"))
from deployment import (  # noqa: E402
    BOUNDS, CONTROL, CannotRun, Deployment, Target, document, http, main)

SERVICES = ["orders", "orders", "stock"]
ROUTES = [("orders", "/orders/", "unsafe", "orders"), ("stock", "/stock/", "safe", "stock")]
# After the acknowledgement of the leave: when the node is killed, and when the heartbeat comes.
KILL_AFTER_S = 0.2
LATE_BEAT_AFTER_S = 1.5
# The target goes on serving for `drain` and a little longer, "at times many seconds".
SERVES_S = 7.0
WORK_S = 0.8


async def play(record, trouble):
    deployment = Deployment(record, SERVICES)
    runs = []

    async def run(target, _method, _path, _headers, _body):
        runs.append((record.now(), target))
        await asyncio.sleep(WORK_S)

    async def calls(answers):
        number = 0
        while True:
            # Clients stay away from the node that was killed.
            node = deployment.nodes[1 + number % (len(deployment.nodes) - 1)]
            answers.append(asyncio.ensure_future(
                deployment.request(node, "POST", f"/orders/{number}", body=b"order")))
            number += 1
            await asyncio.sleep(0.05)

    try:
        deployment.start_all()
        platform = asyncio.ensure_future(deployment.platform())
        targets = [Target(deployment, node) for node in deployment.nodes]
        for target in targets:
            target.on_run = run
            await target.start()
        if await deployment.put_config(document(1, 0, ROUTES)) != 200:
            raise CannotRun("no configuration")
        await deployment.await_ready()
        answers = []
        calling = asyncio.ensure_future(calls(answers))
        await asyncio.sleep(4)
        leaving, node = targets[0], deployment.nodes[0]
        # The last heartbeat is sent, and held up on its way.
        leaving.beats.cancel()
        leaving.sequence += 1
        late_heartbeat = leaving.heartbeat()
        await asyncio.sleep(0.1)
        answer = await http(node.address, deployment.port(CONTROL), "DELETE",
                            f"/v1/instances/{leaving.id}", {}, b"", timeout=1.0)
        if answer.status != 200:
            raise CannotRun("the leave is not acknowledged")
        acknowledged = record.now()
        record.note("leave-acknowledged", target=leaving.id)
        await asyncio.sleep(KILL_AFTER_S)
        if trouble:
            deployment.kill(node, restart=True)
        killed = record.now()
        await asyncio.sleep(LATE_BEAT_AFTER_S - KILL_AFTER_S)
        status = await leaving.send_heartbeat(late_heartbeat)
        record.note("late-heartbeat", status=status)
        await asyncio.sleep(acknowledged + SERVES_S - record.now())
        record.note("target-exits", running=list(leaving.running.values()))
        cut = len(leaving.running)
        await leaving.crash()
        await asyncio.sleep(1.5)
        calling.cancel()
        platform.cancel()
        answered = await asyncio.gather(*answers)
    finally:
        deployment.close()
    # The machine beside the target is in touch again `contact` after its process was started.
    in_touch = killed + 0.5 + BOUNDS["contact"] / 1000 + 0.2
    begin = max(acknowledged + BOUNDS["drain"] / 1000, in_touch if trouble else 0)
    late = [at for at, target in runs if target is leaving and at > begin]
    lost = sum(answer is None or answer.status in (502, 504) for answer in answered)
    if not any(target is leaving for _, target in runs):
        raise CannotRun("the target got nothing")
    record.note("summary", late=len(late), cut=cut, lost=lost, requests=len(answered))
    print(f"{len(late)} requests reached the target later than drain after the acknowledgement; "
          f"{cut} were cut when it exited; {lost} of {len(answered)} got no answer, 502 or 504")
    return f"{len(late)} requests reached a target that is gone" if late else ""


sys.exit(main(play, HERE))
