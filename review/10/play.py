"""A tenant's tokens pile up while its requests are turned away, and come out beyond its limit."""

import asyncio
import collections
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "kit-2"))
sys.dont_write_bytecode = True

from deployment import BOUNDS, Connection, Mesh, Record, Server, document, route

TROUBLE = sys.argv[1:] != ["off"]         # run.sh says "on" or "off"
HIGH_PER_S, LOW_PER_S = 200.0, 25.0      # usual traffic of the two kinds of request
RATE, BURST_TOKENS = 40, 40              # the limit of the tenant that sends the low ones: 1.6 x usual
BURST_X, BURST_S = 1.8, 20.0             # many users at once, of the high kind
HOT_X, HOT_S = 7.5, 6.5                  # the tenant sends many times its usual
EARLIER_S = 1.0                          # and begins so long before the burst ends
WINDOW_S = BOUNDS["quotaWindow"]
ALLOWED = ((RATE * WINDOW_S + BURST_TOKENS) * (1 + BOUNDS["quotaOverage"])
           + BOUNDS["quotaSlack"])


class Target(Server):
    def __init__(self, record, name, service):
        super().__init__(record, name, service, slots=30)

    async def respond(self, first, headers, body):
        await asyncio.sleep(0.2 if "/high/" in first else 0.15)
        return 200, {}, b"done"


class Callers:
    """Callers at one node, with kept connections that they use again for 12 s at the most."""

    def __init__(self, record, address):
        self.record, self.address, self.idle = record, address, []

    async def call(self, path, key, request, sent, answers):
        sent[request] = self.record.now()
        try:
            while self.idle and self.idle[0][0] < self.record.now() - 12:
                self.idle.pop(0)[1].close()
            connection = (self.idle.pop()[1] if self.idle
                          else await Connection.open(self.address))
            answer = await connection.call("GET", path, {
                "Host": "shop.example", "X-Ragwortplank-Request-Id": request,
                "X-Ragwortplank-Deadline-Ms": "3000", "Authorization": f"Bearer {key}"}, b"", 5)
            if answer.headers.get("connection") != "close":
                self.idle.append((self.record.now(), connection))
            outcome = answer.status
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError) as error:
            outcome = type(error).__name__
        answers[request] = outcome


async def send(record, callers, kind, key, per_s, seconds, sent, answers, calls, counter):
    began = record.now()
    for number in range(int(per_s * seconds)):
        await asyncio.sleep(max(0.0, began + number / per_s - record.now()))
        counter[0] += 1
        at = callers[counter[0] % len(callers)]
        path = f"/{kind}/{counter[0]}"
        request = f"{kind[0]}{counter[0]:015x}"
        calls.append(asyncio.create_task(at.call(path, key, request, sent, answers)))


async def play(record, mesh):
    tenants = [{"name": "u", "apiKeys": ["ku"], "priority": 0},
               {"name": "t", "apiKeys": ["kt"], "priority": 0, "ratePerS": RATE,
                "burst": BURST_TOKENS}]
    routes = [route("high", "/high/", "safe", "work", 3000, 1000, 0),
              route("low", "/low/", "safe", "work", 3000, 1000, 3)]
    await mesh.start(document(1, 0, routes, ["work"], tenants))
    nodes = [Callers(record, mesh.deployment.callers(number)) for number in (0, 1)]
    sent, answers, calls, counter = {}, {}, [], [0]

    def part(callers, kind, key, per_s, seconds):
        return send(record, callers, kind, key, per_s, seconds, sent, answers, calls, counter)

    async def high():
        await part(nodes, "high", "ku", HIGH_PER_S, 5)
        if TROUBLE:
            record.write("many users at once: high requests x", BURST_X, "for", BURST_S, "s")
        await part(nodes, "high", "ku", HIGH_PER_S * (BURST_X if TROUBLE else 1), BURST_S)
        await part(nodes, "high", "ku", HIGH_PER_S, HOT_S + 2)

    async def low():
        await part(nodes[:1], "low", "kt", LOW_PER_S, 5 + BURST_S - EARLIER_S)
        if TROUBLE:
            record.write("tenant t sends", HOT_X, "times its usual for", HOT_S, "s")
        await part(nodes[:1], "low", "kt", LOW_PER_S * (HOT_X if TROUBLE else 1), HOT_S)
        await part(nodes[:1], "low", "kt", LOW_PER_S, 2 + EARLIER_S)
    await asyncio.gather(high(), low())
    await asyncio.gather(*calls)
    runs = sorted((sent[run[1]], run[0]) for server in mesh.servers for run in server.runs
                  if run[3].startswith("/low/"))
    first = min(sent.values())
    for second in range(0, int(record.now() - first) + 1, 2):
        within = [request for request, at in sent.items() if second <= at - first < second + 2]
        counts = collections.Counter(f"{request[0]}:{answers[request]}" for request in within)
        record.write("sent in seconds", second, "to", second + 2, dict(sorted(counts.items())))
    most, at = max((sum(1 for began, ran in runs if began >= start and ran <= start + WINDOW_S),
                    start) for start, _ in runs)
    record.write("tenant t: most requests both sent and run within", WINDOW_S, "s:", most,
                 f"(from {at:.1f} s); allowed: {ALLOWED:.0f}")
    if most > ALLOWED:
        record.write("BROKEN")
        return 1
    return 0


async def main():
    record = Record(HERE)
    mesh = Mesh(record, ["work", "work"], Target)
    try:
        return await play(record, mesh)
    except Exception as error:  # whatever it is, it shows nothing of the rule
        record.write("can't run:", repr(error))
        return 2
    finally:
        mesh.end()


sys.exit(asyncio.run(main()))
