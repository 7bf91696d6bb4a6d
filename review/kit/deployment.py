"""A small deployment of ragwortplank as separate processes on loopback, with stand-ins of its
platform, backend servers (targets), clients and operator. Standard library only.

Each machine of the platform is one loopback address; ports are the same on all of them. The
settings are rendered from the templates that the deploy file names.
"""

import asyncio
import json
import os
import random
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time
import uuid

REPOSITORY = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
BINARY = os.path.join(REPOSITORY, "target", "release", "ragwortplankd")
CALLERS, CONTROL, READY, METRICS, SERVER, LINKS = range(6)
PORT_COUNT = 8
# A case may run for 120 s; what is left is for its start and end.
PLAY_LIMIT_S = 110

BOUNDS = {
    "seedLag": 3, "addrReuse": 2, "contact": 3000, "ackTimeout": 4000, "catchUp": 4,
    "drain": 2000, "grace": 6, "lossSlack": 200, "configApply": 2000, "downgradeSlack": 250,
    "maxSkew": 5000, "revokeStrict": True, "revoke": 5000, "retryBudgetRatio": 0.2,
    "budgetWindow": 10, "retryBudgetSlack": 49, "quotaWindow": 5, "quotaOverage": 0.1,
    "quotaSlack": 20, "recovery": 15,
}
ID, DEADLINE, STAMP = ("x-ragwortplank-request-id", "x-ragwortplank-deadline-ms",
                       "x-ragwortplank-server-stamp")


class CannotRun(Exception):
    """The case could not be played; says nothing about the rule."""


class Record:
    """What was sent, answered and run, one JSON line for each event."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def note(self, event, **fields):
        line = {"t": round(self.now(), 4), "event": event, **fields}
        self.file.write(json.dumps(line) + "\n")
        self.file.flush()


def render(text, fields):
    """Renders a settings template as the platform's page describes it."""

    def look_up(name, scopes):
        for scope in reversed(scopes):
            value = scope
            for part in name.split("."):
                value = value.get(part) if isinstance(value, dict) else None
            if value is not None:
                return value
        return None

    def show(value):
        if value is None:
            return ""
        if isinstance(value, bool):
            return "true" if value else "false"
        if isinstance(value, list):
            return ",".join(show(item) for item in value)
        return json.dumps(value) if isinstance(value, dict) else str(value)

    def section(match):
        items = look_up(match.group(1), [flat])
        parts = []
        for position, item in enumerate(items or []):
            comma = "," if position + 1 < len(items) else ""
            parts.append(match.group(2).replace("{{.}}", show(item)).replace("{{,}}", comma))
        return "".join(parts)

    flat = {}
    for table in fields.values():
        flat.update(table)
    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, text, flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda match: show(look_up(match.group(1), [flat])), text)


class Process:
    """A process of the project on its own machine (loopback address)."""

    def __init__(self, name, address):
        self.name = name
        self.address = address
        self.popen = None
        self.wanted = False
        self.starts = 0

    @property
    def pid(self):
        return self.popen.pid if self.popen else None

    def runs(self):
        return self.popen is not None and self.popen.poll() is None


class Deployment:
    def __init__(self, record, services, core=5, seeds=3, memory_mb=(256, 260)):
        """`services` names the service of the target beside each node."""
        if not os.path.exists(BINARY):
            raise CannotRun(f"no {BINARY}: run the build of deploy/system.toml first")
        self.record = record
        self.folder = tempfile.TemporaryDirectory(prefix="ragwortplank-review-")
        self.memory_mb = memory_mb
        self.subnet, self.first_port, self.held = self._reserve()
        self.services = services
        self.core = [Process(f"core-{n}", self._ip(10 + n)) for n in range(core)]
        self.nodes = [Process(f"node-{n}", self._ip(100 + n)) for n in range(len(services))]
        self.seed_count = seeds
        self.platform_task = None
        self.own_ends = []

    # --- addresses

    def _reserve(self):
        for _ in range(200):
            subnet = (random.randint(1, 254), random.randint(0, 255))
            port = random.randint(12_000, 30_000)
            held = []
            try:
                for offset in range(PORT_COUNT):
                    listener = socket.socket()
                    listener.bind((f"127.{subnet[0]}.{subnet[1]}.1", port + offset))
                    held.append(listener)
                return subnet, port, held
            except OSError:
                for listener in held:
                    listener.close()
        raise CannotRun("no free ports")

    def _ip(self, last):
        return f"127.{self.subnet[0]}.{self.subnet[1]}.{last}"

    def port(self, offset):
        return self.first_port + offset

    # --- settings

    def settings(self, process, first_start, seeds=None):
        is_core = process in self.core
        port = lambda offset: f"{process.address}:{self.port(offset)}"
        listen = {"control": port(CONTROL)}
        own = {
            "nodeName": process.name, "ip": process.address, "zone": "a", "region": "r",
            "bootstrap": first_start,
            "dataDir": os.path.join(self.folder.name, "data", process.name) if is_core else None,
            "limits": {"memoryMb": self.memory_mb[0 if is_core else 1]},
        }
        if not is_core:
            listen |= {"outbound": port(CALLERS), "ready": port(READY)}
            own |= {"service": self.services[self.nodes.index(process)], "appAddr": port(SERVER)}
        seeds = seeds or [f"{seed.address}:{self.port(CONTROL)}"
                          for seed in self.core[:self.seed_count]]
        fields = {
            "self": own,
            "network": {"listenAddrs": listen, "seedAddrs": seeds,
                        "internalPortRange": [self.port(LINKS), self.port(LINKS) + 2]},
            "platform": {"heartbeat": 1500},
            "terms": {"faultTolerance": {"machines": 2}, "bounds": BOUNDS},
        }
        template = "control" if is_core else "node"
        with open(os.path.join(REPOSITORY, "deploy", f"{template}.toml.template"),
                  encoding="utf-8") as file:
            text = render(file.read(), fields)
        # The template fixes the port of the metrics; on loopback, ports are drawn for each run.
        return text.replace(":9100", f":{self.port(METRICS)}")

    # --- processes

    def start(self, process, first_start=False):
        os.makedirs(os.path.join(self.folder.name, "data"), exist_ok=True)
        path = os.path.join(self.folder.name, f"{process.name}.toml")
        with open(path, "w", encoding="utf-8") as file:
            file.write(self.settings(process, first_start))
        log = open(os.path.join(self.folder.name, f"{process.name}.log"), "a", encoding="utf-8")
        process.popen = subprocess.Popen(
            [BINARY, "--config", path], cwd=REPOSITORY, stdout=log, stderr=log,
            env={"PATH": os.environ.get("PATH", ""), "LANG": "C"})
        log.close()
        process.wanted = True
        process.starts += 1
        self.record.note("process-started", process=process.name, first_start=first_start)

    def start_all(self):
        for process in self.core + self.nodes:
            self.start(process, first_start=True)

    def kill(self, process, restart=False):
        process.wanted = restart
        if process.runs():
            process.popen.kill()
        process.popen.wait()
        self.record.note("process-killed", process=process.name)

    def wipe(self, process):
        """Empties the data folder of a process that does not run."""
        folder = os.path.join(self.folder.name, "data", process.name)
        for root, folders, files in os.walk(folder, topdown=False):
            for name in files:
                os.unlink(os.path.join(root, name))
            for name in folders:
                os.rmdir(os.path.join(root, name))
        self.record.note("disk-lost", process=process.name)

    async def platform(self, restart_after=0.5):
        """Starts processes again that have ended; counts those that ended by themselves."""
        while True:
            for process in self.core + self.nodes:
                if process.wanted and not process.runs():
                    status = process.popen.returncode
                    self.own_ends.append(process.name)
                    self.record.note("process-ended", process=process.name, status=status)
                    await asyncio.sleep(restart_after)
                    self.start(process)
            await asyncio.sleep(0.05)

    def log(self, process):
        with open(os.path.join(self.folder.name, f"{process.name}.log"), encoding="utf-8",
                  errors="replace") as file:
            return file.read()

    def close(self):
        for process in self.core + self.nodes:
            process.wanted = False
            if process.runs():
                process.popen.send_signal(signal.SIGCONT)
                process.popen.kill()
        for process in self.core + self.nodes:
            if process.popen:
                process.popen.wait()
        for listener in self.held:
            listener.close()
        self.folder.cleanup()

    # --- operator

    async def put_config(self, desired, attempts=40):
        """Sends a desired state to one instance after another until the answer is clear.

        Returns the status: 200 or 4xx, or 0 if none was clear."""
        return await self.put_text(json.dumps(desired), desired["version"], attempts)

    async def put_text(self, text, version, attempts=40):
        """Sends a desired state that is encoded already."""
        body = text.encode()
        for attempt in range(attempts):
            answer = await self._put_once(self.core[attempt % len(self.core)].address, body)
            if answer is not None:
                self.record.note("config-answered", version=version, status=answer.status)
                if answer.status == 200 or 400 <= answer.status < 500:
                    return answer.status
            await asyncio.sleep(0.15)
        return 0

    async def _put_once(self, address, body):
        """Sends a desired state to one instance, and follows its redirects twice."""
        for _ in range(3):
            try:
                answer = await http(address, self.port(CONTROL), "PUT", "/v1/config",
                                    {"Content-Type": "application/json"}, body, timeout=1.0)
            except (OSError, asyncio.TimeoutError, EOFError, ValueError):
                return None
            if answer.status != 307:
                return answer
            address = answer.headers["location"].split("//")[1].split(":")[0]
        return None

    async def get_config(self, process, timeout=1.0):
        try:
            return await http(process.address, self.port(CONTROL), "GET", "/v1/config", {}, b"",
                              timeout=timeout)
        except (OSError, asyncio.TimeoutError, EOFError, ValueError):
            return None

    async def is_ready(self, node):
        try:
            answer = await http(node.address, self.port(READY), "GET", "/v1/ready", {}, b"",
                                timeout=1.0)
            return answer.status == 200
        except (OSError, asyncio.TimeoutError, EOFError, ValueError):
            return False

    async def await_ready(self, nodes=None, timeout=20):
        end = time.monotonic() + timeout
        for node in nodes or self.nodes:
            while not await self.is_ready(node):
                if time.monotonic() > end:
                    raise CannotRun(f"{node.name} is not ready")
                await asyncio.sleep(0.1)

    # --- clients

    async def request(self, node, method, path, host="shop.example", key="key-1", body=b"",
                      deadline_ms=3000, request_id=None, timeout=None, headers=None):
        """Sends a client attempt on a connection of its own; returns its answer or None."""
        request_id = request_id or uuid.uuid4().hex[:16]
        sent = {"Host": host, "X-Ragwortplank-Request-Id": request_id,
                "X-Ragwortplank-Deadline-Ms": str(deadline_ms), **(headers or {})}
        if key:
            sent["Authorization"] = f"Bearer {key}"
        self.record.note("sent", id=request_id, node=node.name, request=f"{method} {path}")
        try:
            answer = await http(node.address, self.port(CALLERS), method, path, sent, body,
                                timeout=timeout or deadline_ms / 1000 + 1.0)
        except (OSError, asyncio.TimeoutError, EOFError, ValueError) as error:
            self.record.note("no-answer", id=request_id, error=repr(error))
            return None
        self.record.note("answered", id=request_id, status=answer.status,
                         stamp=answer.headers.get(STAMP), length=len(answer.body))
        return answer


class Answer:
    def __init__(self, status, headers, body):
        self.status, self.headers, self.body = status, headers, body


async def read_head(reader):
    text = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = text.rstrip("\r\n").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_body(reader, headers):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                return body
            body += chunk[:-2]
    return await reader.readexactly(int(headers.get("content-length", "0")))


async def http(ip, port, method, path, headers, body, timeout):
    async def exchange():
        reader, writer = await asyncio.open_connection(ip, port, limit=1 << 20)
        try:
            head = {"Host": f"{ip}:{port}", **headers}
            if body or method in ("PUT", "POST"):
                head["Content-Length"] = str(len(body))
            lines = [f"{method} {path} HTTP/1.1"] + [f"{k}: {v}" for k, v in head.items()]
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            await writer.drain()
            while True:
                first, answered = await read_head(reader)
                status = int(first.split()[1])
                if status >= 200:
                    break
            return Answer(status, answered, await read_body(reader, answered))
        finally:
            writer.close()

    return await asyncio.wait_for(exchange(), timeout)


class Target:
    """A backend server after PROTOCOL.md: announces itself, runs requests, echoes their ids."""

    def __init__(self, deployment, node, slots=50, work_s=0.02):
        self.deployment, self.node = deployment, node
        self.record = deployment.record
        self.service = deployment.services[deployment.nodes.index(node)]
        self.slots, self.work_s = slots, work_s
        self.id = None
        self.listener = None
        self.writers = set()
        self.running = {}
        self.beats = None
        self.phase = "ready"
        self.acknowledged = None
        self.on_run = None

    async def start(self):
        self.id = f"i-{uuid.uuid4().hex[:8]}"
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.phase = "ready"
        self.running = {}
        for _ in range(100):
            try:
                self.listener = await asyncio.start_server(
                    self._serve, self.node.address, self.deployment.port(SERVER),
                    reuse_address=True, limit=1 << 20)
                break
            except OSError:
                await asyncio.sleep(0.05)
        self.beats = asyncio.ensure_future(self._beat_for_ever())
        self.record.note("target-started", target=self.id, service=self.service,
                         node=self.node.name)

    async def crash(self):
        """Ends at once: connections are reset, nothing is said to anybody."""
        self.record.note("target-crashed", target=self.id, service=self.service,
                         running=list(self.running.values()))
        self.beats.cancel()
        listener, self.listener = self.listener, None
        if listener:
            listener.close()
        for writer in list(self.writers):
            writer.transport.abort()
        self.writers.clear()

    def heartbeat(self):
        """Returns what the target says of itself now."""
        return {
            "service": self.service,
            "address": f"{self.node.address}:{self.deployment.port(SERVER)}",
            "zone": "a", "version": "v1", "slots": self.slots, "phase": self.phase,
            "coldRemaining": 0, "sequence": self.sequence, "born": self.born,
        }

    async def beat(self):
        self.sequence += 1
        return await self.send_heartbeat(self.heartbeat())

    async def send_heartbeat(self, heartbeat):
        """Sends a heartbeat; returns the status of the answer, 0 without one."""
        body = json.dumps(heartbeat).encode()
        try:
            answer = await http(self.node.address, self.deployment.port(CONTROL), "PUT",
                                f"/v1/instances/{self.id}", {"Content-Type": "application/json"},
                                body, timeout=1.0)
            return answer.status
        except (OSError, asyncio.TimeoutError, EOFError, ValueError):
            return 0

    async def _beat_for_ever(self):
        while True:
            status = await self.beat()
            await asyncio.sleep(1.5 if status == 200 else 0.2)

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        own_id = self.id
        try:
            while True:
                first, headers = await read_head(reader)
                body = await read_body(reader, headers)
                method, path, _ = first.split()
                request_id = headers.get(ID, "")
                expected = headers.get("x-ragwortplank-expect-instance")
                if path == "/health":
                    writer.write(self._answer(200, request_id, b"", stamp=False))
                elif expected and expected != own_id:
                    writer.write(self._answer(421, request_id, b"", stamp=False, not_run=True))
                elif len(self.running) >= self.slots:
                    writer.write(self._answer(503, request_id, b"", stamp=False, not_run=True))
                else:
                    key = object()
                    self.running[key] = request_id
                    self.record.note("run", id=request_id, target=own_id, node=self.node.name,
                                     request=f"{method} {path}",
                                     deadline=headers.get(DEADLINE))
                    try:
                        answer = None
                        if self.on_run:
                            answer = await self.on_run(self, method, path, headers, body)
                        else:
                            await asyncio.sleep(self.work_s)
                    finally:
                        self.running.pop(key, None)
                    writer.write(answer or self._answer(200, request_id, b"done " + body[:40]))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, ValueError, OSError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def _answer(self, status, request_id, body, stamp=True, not_run=False):
        lines = [f"HTTP/1.1 {status} S", f"X-Ragwortplank-Request-Id: {request_id}",
                 f"Content-Length: {len(body)}"]
        if stamp:
            lines.append(f"X-Ragwortplank-Server-Stamp: {self.id}")
        if not_run:
            lines.append("X-Ragwortplank-Not-Executed: 1")
        return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def document(version, base, routes, keys=("key-1",), rate=0, extra_routes=0, services=None):
    """A desired state; `routes` are (name, prefix, kind, service)."""
    named = services or sorted({route[3] for route in routes})
    rows = [{
        "name": name, "host": "shop.example", "pathPrefix": prefix, "routeType": kind,
        "timeout": 3000, "aim": 1500, "priority": 0, "service": service, "maxAttempts": 2,
        "allowAnonymous": False} for name, prefix, kind, service in routes]
    for number in range(extra_routes):
        rows.append({
            "name": f"r-extra{number:05}", "host": f"h{number % 40}.example",
            "pathPrefix": f"/extra{number:05}/", "routeType": "safe", "timeout": 3000,
            "aim": 1500, "priority": 2, "service": named[0], "maxAttempts": 2,
            "allowAnonymous": False})
    return {
        "version": version, "baseVersion": base, "routes": rows,
        "services": [{"name": name, "healthPath": "/health", "maxConnections": 1000,
                      "protocol": "h1", "tls": False} for name in named],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeout": 3000,
                   "idleTimeout": 15000},
        "tenants": [{"name": "north", "apiKeys": list(keys), "priority": 0, "ratePerS": rate,
                     "burst": rate}],
    }


def main(play, folder):
    """Plays a case and returns the exit status: 1 broken, 0 held, 2 could not run."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    record = Record(os.path.join(folder, "record.txt"))
    if sys.argv[1:] not in (["on"], ["off"]):
        print("usage: play.py on|off, with or without the disruption")
        return 2
    trouble = sys.argv[1] == "on"
    record.note("begin", trouble=trouble)
    try:
        broken = asyncio.run(asyncio.wait_for(play(record, trouble), PLAY_LIMIT_S))
    except Exception as error:  # pylint: disable=broad-except
        print(f"could not run: {error!r}")
        record.note("could-not-run", error=repr(error))
        return 2
    print("rule broken: " + broken if broken else "the rule held")
    record.note("end", broken=broken or None)
    return 1 if broken else 0
