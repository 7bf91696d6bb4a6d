"""A control instance that was out of contact while another one was replaced never comes back."""

import asyncio
import pathlib
import shutil
import signal
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "kit-2"))
sys.dont_write_bytecode = True

from deployment import Deployment, Operator, Record, document, read_all, route, until

TROUBLE = sys.argv[1:] != ["off"]         # "off": without the freeze
SEED, PLANNED, SPARE = 0, 4, 5          # a frozen seed, the replaced machine, its successor
LOST = (1, 2)                           # the two disks that are lost at the end
FREEZE_S = 5.0
CATCH_UP_S = 4.0
CONTACT_S = 3.0
RECOVERY_S = 15.0


def config(version, base):
    routes = [route("r", "/work/", "safe", "work")]
    return document(version, base, routes, ["work"], [{"name": "t", "apiKeys": ["k"]}])


async def play(record, deployment):
    operator = Operator(deployment, record)
    for number in range(5):
        deployment.start_control(number, bootstrap=True)
    if await operator.put(config(1, 0)) != 200:
        raise RuntimeError("the first desired state is not accepted")

    async def all_read():
        return set(await read_all(deployment, range(5))) == {"version 1"}
    await until("all five control instances answer reads", all_read)
    await asyncio.sleep(CONTACT_S)

    if TROUBLE:
        record.write("fault: seed", SEED, "freezes for", FREEZE_S, "s")
        deployment.control[SEED].signal(signal.SIGSTOP)
    await asyncio.sleep(2.5)
    record.write("planned: a successor of", PLANNED, "starts at a new address")
    assert deployment.add_control() == SPARE
    await asyncio.sleep(FREEZE_S - 2.5)
    deployment.control[SEED].signal(signal.SIGCONT)
    if TROUBLE:
        record.write("seed", SEED, "runs again")
    await asyncio.sleep(1.5)
    record.write("planned: SIGTERM for", PLANNED, "which is gone for good")
    deployment.control[PLANNED].signal(signal.SIGTERM)
    # Longer than the contact and the catch-up of all machines.
    live = [0, 1, 2, 3, 5]
    for _ in range(5):
        await asyncio.sleep(2)
        record.write("reads at", *live, "->", *await read_all(deployment, live))
    if await operator.put(config(2, 1)) != 200:
        raise RuntimeError("the second desired state is not accepted")
    record.write("fault:", LOST, "lose their disks and restart with empty ones")
    for number in LOST:
        deployment.control[number].kill()
        shutil.rmtree(deployment.folder / f"data-{number}")
    await asyncio.sleep(1.0)
    for number in LOST:
        deployment.start_control(number)
    # The read must succeed after `recovery`; twice that is given.
    back = record.now()
    while record.now() < back + 2 * RECOVERY_S:
        seen = await read_all(deployment, live)
        record.write("reads at", *live, "->", *seen)
        if "version 2" in seen:
            return 0
        await asyncio.sleep(1)
    record.write("BROKEN: version 2 was acknowledged; no read of it for", 2 * RECOVERY_S, "s")
    return 1


async def main():
    record = Record(HERE)
    deployment = Deployment(record, [], control=5, losses=2)
    try:
        return await play(record, deployment)
    except Exception as error:  # whatever it is, it shows nothing of the rule
        record.write("can't run:", repr(error))
        return 2
    finally:
        deployment.end()


sys.exit(asyncio.run(main()))
