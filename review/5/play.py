"""A request that crashes each target that begins to run it comes again and again."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "kit"))
from deployment import BOUNDS, CannotRun, Deployment, Target, document, main  # noqa: E402

SERVICES = ["orders"] * 4 + ["stock"]
ROUTES = [("orders", "/orders/", "unsafe", "orders"), ("stock", "/stock/", "safe", "stock")]
POISON = "/orders/poison"
BACK_AFTER_S = 3.0
COMINGS = 24


async def play(record, trouble):
    deployment = Deployment(record, SERVICES)
    crashes, arrivals = [], []

    async def run(target, method, path, headers, body):
        if path != POISON:
            await asyncio.sleep(1.0)
            return None
        arrivals.append((record.now(), headers["x-ragwortplank-request-id"]))
        if not trouble:
            return None
        crashes.append(record.now())
        asyncio.ensure_future(crash_and_return(target))
        await asyncio.sleep(10)

    async def crash_and_return(target):
        await target.crash()
        await asyncio.sleep(BACK_AFTER_S)
        await target.start()

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
        await asyncio.sleep(2)
        others, poison = [], []
        for number in range(COMINGS):
            node = deployment.nodes[number % len(deployment.nodes)]
            for other in deployment.nodes:
                others.append(asyncio.ensure_future(deployment.request(
                    other, "POST", f"/orders/innocent-{number}", body=b"innocent")))
            await asyncio.sleep(0.3)
            poison.append(asyncio.ensure_future(deployment.request(
                node, "POST", POISON, body=b"the same body", deadline_ms=2000)))
            await asyncio.sleep(0.7)
        answers = await asyncio.gather(*others)
        platform.cancel()
    finally:
        deployment.close()
    lost = sum(answer is None or answer.status == 502 for answer in answers)
    late = []
    if len(crashes) >= 3:
        late = [at for at, _ in arrivals if at > crashes[2] + BOUNDS["contact"] / 1000]
    record.note("summary", crashes=len(crashes), late_retries=len(late), others=len(answers),
                others_lost=lost)
    print(f"{len(crashes)} crashes, {len(late)} retries reached targets later than contact after "
          f"the third; {lost} of {len(answers)} other requests lost")
    return f"{len(late)} retries reached targets later than contact after the third crash (3 allowed)" if len(late) > 3 else ""


sys.exit(main(play, HERE))
