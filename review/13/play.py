"""Clients that have sent ahead behind an upload leave; their requests reach targets seconds later."""

import asyncio
import os
import pathlib
import sys
import time
import traceback

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "kit-3"))

from deployment import (CannotRun, Deployment, Record, Target, await_ready, configuration,
                        put_config, read_answer)

TROUBLE = sys.argv[1:] != ["off"]   # run.sh says "on" or "off"
CLIENTS = 60                        # at each of two nodes
SHARE = 0.3                         # of the clients leave
UPLOAD_BYTES = 60_000               # the mean of document-upload
AHEAD = 3                           # safe requests behind the upload
DEADLINE_MS = 5000
LEAVE_AFTER_S = 0.8                 # after the answer to the upload
BOUND_S = 0.5                       # "over half a second later"
FEW = 5
LIMIT_S = 110.0                     # the whole run
WORK_S = {"upload": 0.22, "safe": 2.0}


async def client(deployment, node, leaves, requests, left, sent):
    """Uploads, and sends safe requests ahead of the answer; may leave before they are answered."""
    reader, writer = await asyncio.open_connection(node.ip, deployment.caller_port)
    ids = []
    for position in range(1 + AHEAD):
        request = os.urandom(8).hex()
        ids.append(request)
        method, path = ("POST", "/upload/") if position == 0 else ("GET", "/read/")
        lines = [f"{method} {path}{request} HTTP/1.1", "Host: h.example",
                 f"X-Ragwortplank-Request-Id: {request}",
                 f"X-Ragwortplank-Deadline-Ms: {DEADLINE_MS}", "Authorization: Bearer key-1"]
        if position == 0:
            lines.append(f"Content-Length: {UPLOAD_BYTES}")
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
        if position == 0:
            writer.write(b"u" * UPLOAD_BYTES)
        requests[request] = "upload" if position == 0 else "safe"
        sent[request] = time.monotonic()
    await writer.drain()
    answers = [(await asyncio.wait_for(read_answer(reader), 6))[0]]
    if leaves:
        await asyncio.sleep(LEAVE_AFTER_S)
        writer.close()
        await writer.wait_closed()
        for request in ids[1:]:
            left[request] = time.monotonic()
    else:
        for _ in ids[1:]:
            answers.append((await asyncio.wait_for(read_answer(reader), 12))[0])
        writer.close()
    return answers


async def play(record, deployment):
    requests, left, reached, ended, handed, sent = {}, {}, {}, {}, {}, {}

    async def run(target, _method, _path, headers, reader, writer):
        request = headers.get("x-ragwortplank-request-id")
        reached[request] = time.monotonic()
        handed[request] = int(headers.get("x-ragwortplank-deadline-ms", "0")) / 1000
        await reader.readexactly(int(headers.get("content-length", "0")))
        # A sound target drops a request when its connection closes.
        closed = asyncio.ensure_future(reader.read(1))
        done, _ = await asyncio.wait([closed], timeout=WORK_S[requests[request]])
        ended[request] = time.monotonic()
        if done:
            raise OSError("the caller has left")
        closed.cancel()
        await asyncio.gather(closed, return_exceptions=True)
        writer.write(target.answer(headers, b"done"))

    deployment.start()
    targets = [Target(deployment, node, run, slots=200) for node in deployment.nodes]
    for target in targets:
        await target.start()
    routes = [("u", "h.example", "/upload/", "upload", "work"),
              ("r", "h.example", "/read/", "safe", "work")]
    if await put_config(deployment, configuration(1, 0, routes, ["work"], [("t", ["key-1"], 0)])) != 200:
        raise CannotRun("the first desired state was not accepted")
    await await_ready(deployment)
    await asyncio.sleep(3)
    answers = await asyncio.gather(*(
        client(deployment, node, TROUBLE and number < SHARE * CLIENTS, requests, left, sent)
        for node in deployment.nodes[:2] for number in range(CLIENTS)))
    counts = {}
    for one in answers:
        for position, status in enumerate(one):
            key = ("upload" if position == 0 else "safe", status)
            counts[key] = counts.get(key, 0) + 1
    record.write("answers:", counts)
    await asyncio.sleep(AHEAD * WORK_S["safe"] + 3)
    late = [one for one in left if reached.get(one, 0) > left[one] + BOUND_S]
    open_then = [one for one in left if one in reached and reached[one] <= left[one]
                 and reached[one] + WORK_S["safe"] > left[one] + BOUND_S]
    worked_on = [one for one in open_then if ended.get(one, 1e18) > left[one] + BOUND_S]
    record.write("safe requests of clients that left:", len(left), "reached a target before:",
                 sum(reached.get(one, 1e18) <= left[one] for one in left))
    for one in late[:10]:
        record.write("request", one, f"reached a target {reached[one] - left[one]:.3f} s after its client left")
    record.write("reached a target over", BOUND_S, "s after the client had left:", len(late), "allowed:", FEW)
    record.write("would have lasted so long:", len(open_then), "still worked on then:", len(worked_on))
    # Not judged here: the time that targets are handed beyond the client's (BUDGET).
    over = [one for one in reached
            if reached[one] + handed[one] > sent[one] + DEADLINE_MS / 1000 + BOUND_S]
    record.write("handed more time than the client has left, by over", BOUND_S, "s:", len(over), "of", len(reached))
    return len(late) > FEW or (len(open_then) >= 20 and len(worked_on) * 4 > len(open_then))


async def main():
    record = Record(HERE)
    deployment = Deployment(["work", "work", "work"], controls=5, tolerated=2)
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
