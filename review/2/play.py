"""A desired state takes all keys away; requests with a key that was taken away go on running."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "kit"))
from deployment import BOUNDS, CannotRun, Deployment, Target, document, main  # noqa: E402

SERVICES = ["orders", "orders", "stock"]
ROUTES = [("orders", "/orders/", "unsafe", "orders"), ("stock", "/stock/", "safe", "stock")]
PLAY_S = 6.0


async def play(record, trouble):
    deployment = Deployment(record, SERVICES)
    runs = {}

    async def run(_target, _method, _path, headers, _body):
        request_id = headers["x-ragwortplank-request-id"]
        runs[request_id] = headers.get("x-ragwortplank-tenant-id")

    async def send(kind, number, key):
        node = deployment.nodes[number % len(deployment.nodes)]
        request_id = f"{kind}-{number:04}"
        return await deployment.request(node, "POST", f"/orders/{number}", key=key, body=b"order",
                                        request_id=request_id)

    def ran(kind):
        return sum(request_id.startswith(kind) for request_id in runs)

    try:
        deployment.start_all()
        for node in deployment.nodes:
            target = Target(deployment, node)
            target.on_run = run
            await target.start()
        if await deployment.put_config(document(1, 0, ROUTES)) != 200:
            raise CannotRun("no configuration")
        await deployment.await_ready()
        await asyncio.sleep(1)
        for number in range(10):
            await send("before", number, "key-1")
            await send("stray", number, "key-of-nobody")
        if not ran("before") or ran("stray"):
            raise CannotRun("the key does not work as it should before")
        desired = document(2, 1, ROUTES)
        if trouble:
            # The last tenant is removed, with its key.
            desired["tenants"] = []
        if await deployment.put_config(desired) != 200:
            raise CannotRun("the second desired state was refused")
        await asyncio.sleep(BOUNDS["revoke"] / 1000 + 1)
        begin, number = record.now(), 0
        while record.now() - begin < PLAY_S:
            await asyncio.gather(send("taken", number, "key-1"),
                                 send("stray", number, "key-of-nobody"),
                                 send("without", number, None))
            number += 1
            await asyncio.sleep(0.1)
    finally:
        deployment.close()
    taken, stray, without = ran("taken"), ran("stray"), ran("without")
    record.note("summary", sent=number, taken=taken, stray=stray, without=without)
    if not trouble:
        taken = 0  # The key is still in force.
    print(f"later than revoke, of {number} each: {taken} ran with a key that was taken away, {stray} "
          f"with a key that no desired state ever held, {without} without a key")
    return f"{taken} requests with a withdrawn key and {stray} with a foreign one ran" \
        if taken or stray else ""


sys.exit(main(play, HERE))
