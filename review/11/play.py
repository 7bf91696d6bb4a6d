"""Two disks are lost just after a planned replacement of a core machine: the desired state is gone."""

import asyncio
import pathlib
import signal
import sys
import time
import traceback

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "kit-3"))

from deployment import CannotRun, Deployment, Record, configuration, get_config, put_config

TROUBLE = sys.argv[1:] != ["off"]   # run.sh says "on" or "off"
CATCH_UP_S = 4.0                    # bounds.catchUp of relleno-uy
RECOVERY_S = 15.0                   # bounds.recovery
READ_S = 30.0                       # reads go on for longer than the bound
LIMIT_S = 110.0                     # the whole run
SERVICES = ["work"]
ROUTES = [("r", "h.example", "/work/", "unsafe", "work")]


async def read_all(deployment, instances):
    return await asyncio.gather(*(get_config(deployment, one.ip) for one in instances))


async def until_all_read(record, deployment, instances, wanted, seconds):
    until = time.monotonic() + seconds
    while True:
        answers = await read_all(deployment, instances)
        if set(answers) == {wanted}:
            record.write("reads at", *(one.name for one in instances), "->", *answers)
            return
        if time.monotonic() > until:
            raise CannotRun(f"reads: {answers}")
        await asyncio.sleep(0.2)


async def play(record, deployment):
    deployment.start()
    live = list(deployment.controls)
    for version, base in ((1, 0), (2, 1)):
        status = await put_config(deployment, configuration(
            version, base, ROUTES, SERVICES, [("t", ["key-1"], 100)]))
        record.write("operator: version", version, "->", status)
        if status != 200:
            raise CannotRun("a desired state was not accepted")
    await until_all_read(record, deployment, live, "version 2", 20)
    # All five have been there for longer than catchUp.
    await asyncio.sleep(CATCH_UP_S + 1)
    old = live[3]
    if TROUBLE:
        new = deployment.add_control([one.ip for one in live[:3]])
        deployment.restart(new)     # with bootstrap false: the system does not start for the first time
        record.write("planned replacement: started", new.name, "at a new address, with an empty disk")
        await until_all_read(record, deployment, [new], "version 2", 20)
        record.write("the successor has served; now its catchUp of", CATCH_UP_S, "s, and 1 s more")
        await asyncio.sleep(CATCH_UP_S + 1)
        await until_all_read(record, deployment, live + [new], "version 2", 5)
        status = await put_config(deployment, configuration(
            3, 2, ROUTES, SERVICES, [("t", ["key-1"], 100)]))
        record.write("operator: version 3 ->", status)
        old.signal(signal.SIGTERM)
        record.write("planned replacement: SIGTERM for", old.name, "which is removed for good")
        live.remove(old)
        live.append(new)
        until = time.monotonic() + 6
        while old.runs():
            if time.monotonic() > until:
                raise CannotRun("the old instance did not end")
            await asyncio.sleep(0.02)
        record.write(old.name, "has ended")
    else:
        status = await put_config(deployment, configuration(
            3, 2, ROUTES, SERVICES, [("t", ["key-1"], 100)]))
        record.write("operator: version 3 ->", status)
    if status != 200:
        raise CannotRun("version 3 was not accepted")
    await asyncio.sleep(1)
    lost = live[:2]
    for one in lost:
        deployment.lose_disk(one)
    record.write("lost their disks:", *(one.name for one in lost))
    await asyncio.sleep(1)
    for one in lost:
        deployment.restart(one)
    record.write("back with empty disks:", *(one.name for one in lost))
    back = time.monotonic()
    held = None
    while time.monotonic() < back + READ_S and held is None:
        answers = await read_all(deployment, live)
        record.write("reads at", *(one.name for one in live), "->", *answers)
        if "version 3" in answers:
            held = time.monotonic() - back
        await asyncio.sleep(1)
    if held is not None:
        record.write(f"version 3 was read {held:.1f} s after all were back")
        return held > RECOVERY_S
    record.write("version 3, which was acknowledged, was not read any more in", READ_S, "s")
    return True


async def main():
    record = Record(HERE)
    deployment = Deployment([], controls=5, tolerated=2)
    try:
        broken = await asyncio.wait_for(play(record, deployment), LIMIT_S)
        record.write("RULE BROKEN" if broken else "the rule held")
        return 1 if broken else 0
    except (CannotRun, asyncio.TimeoutError) as reason:
        record.write("could not run:", reason or "not done in time")
        return 2
    finally:
        deployment.end()


try:
    STATUS = asyncio.run(main())
except Exception:                   # a fault of the script itself
    traceback.print_exc()
    STATUS = 2
sys.exit(STATUS)
