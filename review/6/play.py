"""Seeds that were removed while they run form a second group, whose leader renews leases."""

import asyncio
import json
import pathlib
import signal
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "kit-2"))
sys.dont_write_bytecode = True

from deployment import Mesh, Record, call_once, document, read_all, route

TROUBLE = sys.argv[1:] != ["off"]         # run.sh says "on" or "off"
SEEDS = (0, 1, 2)
NODES = 6
FREEZE_S = 5.0
KILLED_S = 3.0
REVOKE_S = 5.0
WATCHED_S = 15.0


def config(version, base, keys):
    routes = [route("r", "/work/", "safe", "work", timeout=2000)]
    tenants = [{"name": "t", "apiKeys": keys}]
    return document(version, base, routes, ["work"], tenants)


async def call(record, deployment, node, key, number):
    """A caller at a node; returns the status, or the failure."""
    try:
        answer = await call_once(deployment.callers(node), "GET", f"/work/{key}", {
            "Host": "shop.example", "X-Ragwortplank-Request-Id": f"{node:02x}{key}{number:011x}",
            "X-Ragwortplank-Deadline-Ms": "2000", "Authorization": f"Bearer {key}"}, b"", 3)
        return answer.status
    except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError) as error:
        return type(error).__name__


async def play(record, mesh):
    deployment = mesh.deployment
    await mesh.start(config(1, 0, ["old", "new"]))
    live = [0, 1, 2, 3, 4]
    for seed in SEEDS:
        if TROUBLE:
            record.write("fault: seed", seed, "freezes for", FREEZE_S, "s")
            deployment.control[seed].signal(signal.SIGSTOP)
        await asyncio.sleep(2.5)
        deployment.seeds = live[-3:]
        live.append(deployment.add_control())
        record.write("planned: spare machine", live[-1], "is added")
        await asyncio.sleep(FREEZE_S - 2.5)
        deployment.control[seed].signal(signal.SIGCONT)
        await asyncio.sleep(5)
        record.write("reads at", *live, "->", *await read_all(deployment, live))
    await asyncio.sleep(4)

    # The leader answers an order itself (here, the one in force again); any other names it.
    again = json.dumps(config(1, 0, ["old", "new"]), separators=(",", ":")).encode()
    leader = None
    for number in [number for number in live if not (TROUBLE and number in SEEDS)]:
        answer = await call_once(deployment.operators(number), "PUT", "/v1/config", {
            "Host": "control"}, again, 2)
        if answer.status == 200:
            leader = number
    if leader is None:
        raise RuntimeError("no leader answers")
    if TROUBLE:
        record.write("fault: control", leader, "is killed, and back after", KILLED_S, "s")
        deployment.control[leader].kill()
    await asyncio.sleep(KILLED_S)
    if TROUBLE:
        deployment.start_control(leader)
    await asyncio.sleep(4)
    if await mesh.operator.put(config(2, 1, ["new"])) != 200:
        raise RuntimeError("the change that takes the key away is not accepted")
    acknowledged = record.now()
    late = []
    for number in range(int(WATCHED_S)):
        await asyncio.sleep(1)
        sent = record.now() - acknowledged
        answers = await asyncio.gather(*[
            call(record, deployment, node, key, number)
            for key in ("old", "new") for node in range(NODES)])
        record.write(f"sent {sent:.1f} s after the acknowledgement; old key:", *answers[:NODES],
                     "new key:", *answers[NODES:])
        if sent > REVOKE_S:
            late += [node for node in range(NODES) if answers[node] == 200]
    ran = [run for server in mesh.servers for run in server.runs
           if run[3] == "/work/old" and run[0] > acknowledged + REVOKE_S + 2]
    record.write("reads at", *live, "->", *await read_all(deployment, live))
    for number in range(8):
        duties = [line for line in deployment.log(f"control-{number}").splitlines()
                  if "duty=leader" in line]
        record.write("control", number, "led", len(duties), "times; last:",
                     duties[-1][:130] if duties else "-")
    if late and ran:
        record.write("BROKEN:", len(late), "requests with the key that was taken away, sent later",
                     "than `revoke` after the acknowledgement, ran; at nodes", sorted(set(late)))
        return 1
    return 0


async def main():
    record = Record(HERE)
    mesh = Mesh(record, ["work"] * NODES, control=5, losses=2)
    try:
        return await play(record, mesh)
    except Exception as error:  # whatever it is, it shows nothing of the rule
        record.write("can't run:", repr(error))
        return 2
    finally:
        mesh.end()


sys.exit(asyncio.run(main()))
