"""A small deployment of the project's programs on loopback addresses, for the cases of this review.

Control instances and nodes are separate processes, started with the commands of deploy/system.toml
and with settings that are rendered from the templates there. Servers, callers and the platform are
stand-ins that follow the users' pages.
"""

import asyncio
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]

# Bounds of the users' pages (SYSTEM.md, both sites).
BOUNDS = {
    "revoke": 5000, "drain": 2000, "grace": 6.0, "contact": 3000, "budgetWindow": 10.0,
    "retryBudgetRatio": 0.2, "retryBudgetSlack": 49, "quotaWindow": 5.0, "quotaOverage": 0.1,
    "quotaSlack": 20,
}


def render(template, values):
    """Renders the part of the platform's template language that the two templates use."""
    def look(name, scope):
        for place in scope:
            found = place
            for part in name.split("."):
                if isinstance(found, dict) and part in found:
                    found = found[part]
                else:
                    found = None
                    break
            if found is not None:
                return found
        return None

    def text(value):
        if value is None:
            return ""
        if isinstance(value, bool):
            return "true" if value else "false"
        if isinstance(value, list):
            return ",".join(text(item) for item in value)
        return str(value)

    def expand(part, scope, item="", key="", last=True):
        out, at = [], 0
        for match in re.finditer(r"\{\{(#?)([^}]+)\}\}", part):
            if match.start() < at:
                continue
            out.append(part[at:match.start()])
            at = match.end()
            name = match.group(2)
            if match.group(1):
                close = part.index("{{/%s}}" % name, at)
                inside = part[at:close]
                at = close + len("{{/%s}}" % name)
                value = look(name, scope)
                if isinstance(value, dict):
                    pairs = list(value.items())
                elif isinstance(value, list):
                    pairs = [(str(n), v) for n, v in enumerate(value)]
                else:
                    pairs = [("", value)] if value else []
                for number, (own, entry) in enumerate(pairs):
                    inner = [entry] + scope if isinstance(entry, dict) else scope
                    out.append(expand(inside, inner, entry, own, number + 1 == len(pairs)))
            elif name == ".":
                out.append(text(item))
            elif name == "@":
                out.append(key)
            elif name == ",":
                out.append("" if last else ", ")
            else:
                out.append(text(look(name, scope)))
        out.append(part[at:])
        return "".join(out)

    return expand(template, [values])


class Record:
    """What was sent, answered and run; one line each, with seconds since the start."""

    def __init__(self, folder):
        self.started = time.monotonic()
        self.file = open(pathlib.Path(folder) / "record.txt", "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.started

    def write(self, *words):
        line = " ".join(str(word) for word in words)
        self.file.write(f"{self.now():9.3f} {line}\n")
        self.file.flush()


class Process:
    """A process that this case has started."""

    def __init__(self, name, command, log):
        self.name = name
        self.log = log
        self.child = subprocess.Popen(
            command, cwd=ROOT, stdin=subprocess.DEVNULL, stdout=open(log, "ab"),
            stderr=subprocess.STDOUT,
            env={key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ})

    def signal(self, number):
        if self.child.poll() is None:
            self.child.send_signal(number)

    def kill(self):
        self.signal(signal.SIGKILL)
        self.child.wait()

    def status_kb(self, field):
        with open(f"/proc/{self.child.pid}/status", encoding="utf-8") as status:
            for line in status:
                if line.startswith(field + ":"):
                    return int(line.split()[1])
        return 0


class Deployment:
    """Control instances and nodes, each with a loopback address of its own."""

    def __init__(self, record, services, control=3, losses=1, memory_mb=260, bounds=None):
        self.record = record
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="ragwortplank-review-"))
        self.services = services
        self.losses = losses
        self.memory_mb = memory_mb
        self.bounds = {**BOUNDS, **(bounds or {})}
        self.net = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
        self.port = random.randint(22000, 30000)
        self.control_count = control
        self.seeds = list(range(min(3, control)))   # what the platform writes into new settings
        self.control = [None] * control
        self.nodes = [None] * len(services)
        roles = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]
        self.roles = {name: roles[name] for name in ("node", "control")}

    def control_ip(self, number):
        return f"{self.net}.{10 + number}"

    def node_ip(self, number):
        return f"{self.net}.{100 + number}"

    # Ports are the same on all machines.
    def callers(self, number):
        return self.node_ip(number), self.port + 8

    def announcements(self, number):
        return self.node_ip(number), self.port

    def ready(self, number):
        return self.node_ip(number), self.port + 6

    def server(self, number):
        return self.node_ip(number), self.port + 7

    def operators(self, number):
        return self.control_ip(number), self.port

    def values(self, name, ip, bootstrap):
        seeds = [f"{self.control_ip(n)}:{self.port}" for n in self.seeds]
        return {
            "nodeName": name, "zone": "a", "ip": ip, "zones": {"a": "r"}, "seedAddrs": seeds,
            "internalPortRange": [self.port + 20, self.port + 35], "bootstrap": bootstrap,
            "bounds": self.bounds, "faultTolerance": {"machines": self.losses},
            "limits": {"memoryMb": self.memory_mb},
            "listenAddrs": {"outbound": f"{ip}:{self.port + 8}", "ready": f"{ip}:{self.port + 6}",
                            "control": f"{ip}:{self.port}", "inbound": f"{ip}:{self.port + 3}"},
        }

    def start(self, role, name, values):
        role = self.roles[role]
        settings = render((ROOT / role["template"]).read_text(), values)
        settings = settings.replace(":9100", f":{self.port + 12}")
        path = self.folder / f"{name}.toml"
        path.write_text(settings)
        command = [str(path) if word.startswith("/etc/") else word for word in role["run"].split()]
        command[0] = str(ROOT / command[0])
        self.record.write("platform starts", name)
        return Process(name, command, self.folder / f"{name}.log")

    def start_control(self, number, bootstrap=False):
        name = f"control-{number}"
        values = self.values(name, self.control_ip(number), bootstrap)
        data = self.folder / f"data-{number}"
        data.mkdir(exist_ok=True)
        values["dataDir"] = str(data)
        self.control[number] = self.start("control", name, values)

    def add_control(self):
        """Starts one more control instance at a new address, with an empty disk."""
        self.control.append(None)
        self.control_count += 1
        self.start_control(self.control_count - 1)
        return self.control_count - 1

    def start_node(self, number):
        name = f"node-{number}"
        values = self.values(name, self.node_ip(number), False)
        values["service"] = self.services[number]
        values["appAddr"] = "%s:%d" % self.server(number)
        self.nodes[number] = self.start("node", name, values)

    def start_all(self):
        for number in range(self.control_count):
            self.start_control(number, True)
        for number in range(len(self.services)):
            self.start_node(number)

    def log(self, name):
        return (self.folder / f"{name}.log").read_text(errors="replace")

    def end(self):
        """Ends all processes of this case."""
        for process in [*self.control, *self.nodes]:
            if process is not None:
                process.signal(signal.SIGCONT)
                process.kill()
        if os.environ.get("KEEP_LOGS"):
            print("logs:", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


class Answer:
    def __init__(self, status, headers, body, whole=True):
        self.status, self.headers, self.body, self.whole = status, headers, body, whole


async def read_head(reader):
    raw = await reader.readuntil(b"\r\n\r\n")
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = bytearray()
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readexactly(2)
            if size == 0:
                return bytes(body)
    return await reader.readexactly(int(headers.get("content-length", "0")))


async def read_answer(reader):
    first, headers = await read_head(reader)
    status = int(first.split()[1])
    if status in (204, 304):
        return Answer(status, headers, b"")
    return Answer(status, headers, await read_body(reader, headers))


class Connection:
    """A caller's kept connection."""

    def __init__(self, reader, writer):
        self.reader, self.writer = reader, writer

    @classmethod
    async def open(cls, address, **options):
        return cls(*await asyncio.open_connection(*address, limit=1 << 20, **options))

    async def send(self, method, path, headers, body=b""):
        lines = [f"{method} {path} HTTP/1.1"] + [f"{n}: {v}" for n, v in headers.items()]
        if body or method in ("POST", "PUT"):
            lines.append(f"Content-Length: {len(body)}")
        self.writer.write(("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body)
        await self.writer.drain()

    async def call(self, method, path, headers, body=b"", timeout=10):
        await self.send(method, path, headers, body)
        return await asyncio.wait_for(read_answer(self.reader), timeout)

    def close(self):
        self.writer.close()


async def call_once(address, method, path, headers, body=b"", timeout=10):
    connection = await asyncio.wait_for(Connection.open(address), 2)
    try:
        return await connection.call(method, path, headers, body, timeout)
    finally:
        connection.close()


class Operator:
    """Sends desired states as the pages say: to any control instance, follows a 307, moves on."""

    def __init__(self, deployment, record):
        self.deployment, self.record = deployment, record

    async def put(self, document, seconds=30):
        body = json.dumps(document, separators=(",", ":")).encode()
        until = time.monotonic() + seconds
        number = 0
        while time.monotonic() < until:
            numbers = [n for n, process in enumerate(self.deployment.control)
                       if process is not None and process.child.poll() is None]
            address = self.deployment.operators(numbers[number % len(numbers)])
            number += 1
            for _ in range(3):
                try:
                    answer = await call_once(address, "PUT", "/v1/config", {
                        "Host": "%s:%d" % address, "Content-Type": "application/json"}, body, 1.5)
                except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
                    answer = None
                    break
                if answer.status != 307:
                    break
                host, _, port = answer.headers["location"].split("/")[2].partition(":")
                address = (host, int(port))
            status = answer.status if answer else "no answer"
            self.record.write("operator: version", document["version"], "->", status)
            if answer and answer.status in (200, 400, 409, 412, 413, 422):
                return answer.status
            await asyncio.sleep(0.2)
        return None


async def until(what, check, seconds=30):
    """Waits until `check` holds; the case can't run if it never does."""
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        if await check():
            return
        await asyncio.sleep(0.1)
    raise RuntimeError(f"never: {what}")


async def is_ready(deployment, number):
    address = deployment.ready(number)
    try:
        return (await call_once(address, "GET", "/v1/ready", {"Host": "node"}, b"", 1)).status == 200
    except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
        return False


async def beat(deployment, number, server, service, phase, sequence, born, slots=100):
    """Sends a heartbeat of the server beside a node; returns the status of the answer."""
    body = json.dumps({"address": "%s:%d" % deployment.server(number), "service": service,
                       "zone": "a", "version": "v1", "slots": slots, "phase": phase,
                       "sequence": sequence, "coldRemaining": 0, "born": born}).encode()
    address = deployment.announcements(number)
    try:
        answer = await call_once(address, "PUT", f"/v1/instances/{server}", {
            "Host": "node", "Content-Type": "application/json"}, body, 1)
        return answer.status
    except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
        return None


async def read_version(deployment, number):
    """Reads the desired state at one control instance; returns its version, or the failure."""
    address = deployment.operators(number)
    try:
        answer = await call_once(address, "GET", "/v1/config", {"Host": "control"}, b"", 1.5)
    except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError) as error:
        return type(error).__name__
    if answer.status != 200:
        return answer.status
    return f"version {json.loads(answer.body)['version']}"


async def read_all(deployment, numbers):
    return await asyncio.gather(*[read_version(deployment, number) for number in numbers])


def route(name, prefix, kind, service, timeout=5000, aim=1500, priority=1, attempts=2,
          anonymous=False):
    return {"name": name, "host": "shop.example", "pathPrefix": prefix, "routeType": kind,
            "timeout": timeout, "aim": aim, "priority": priority, "weightedBackends": None,
            "maxAttempts": attempts, "allowAnonymous": anonymous, "service": service}


def document(version, base, routes, services, tenants):
    return {"version": version, "baseVersion": base, "routes": routes,
            "services": [{"name": s, "healthPath": "/health", "maxConnections": 1200,
                          "protocol": "h1", "tls": False} for s in services],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeout": 3000,
                       "idleTimeout": 15000},
            "tenants": tenants}


class Server:
    """A server that follows the pages: one request at a time on a connection, queue and slots."""

    def __init__(self, record, name, service, slots=100, work=0.02):
        self.record, self.name, self.service = record, name, service
        self.slots, self.work = slots, work
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.running = 0
        self.runs = []            # (seconds, request id, method, path, headers, body length)
        self.listener = None

    async def start(self, address):
        self.listener = await asyncio.start_server(self.serve, *address, limit=1 << 20,
                                                   backlog=1024)

    async def stop(self):
        self.listener.close()

    async def respond(self, first, headers, body):
        """Returns status, headers and body of the answer."""
        await asyncio.sleep(self.work)
        return 200, {}, b"done"

    async def serve(self, reader, writer):
        try:
            while True:
                first, headers = await read_head(reader)
                body = await read_body(reader, headers)
                await self.handle(first, headers, body, writer)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError,
                asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def handle(self, first, headers, body, writer):
        method, path, _ = first.split(" ")
        request = headers.get("x-ragwortplank-request-id", "-")
        expected = headers.get("x-ragwortplank-expect-instance", self.name)
        if path == "/health":
            return await self.write(writer, 200, {"X-Ragwortplank-Instance-Id": self.name}, b"")
        if expected != self.name:
            self.record.write("server", self.name, "refuses 421", request)
            return await self.write(writer, 421, {"X-Ragwortplank-Request-Id": request,
                                                  "X-Ragwortplank-Not-Executed": "1"}, b"")
        self.running += 1
        self.runs.append((self.record.now(), request, method, path, headers, len(body)))
        try:
            status, more, answer = await self.respond(first, headers, body)
            load = f"{self.running},0,{self.slots}"
        finally:
            self.running -= 1
        await self.write(writer, status, {
            "X-Ragwortplank-Request-Id": request,
            "X-Ragwortplank-Server-Stamp": f"{self.name}.{len(self.runs)}",
            "X-Ragwortplank-Instance-Load": load, **more}, answer)

    async def write(self, writer, status, headers, body):
        lines = [f"HTTP/1.1 {status} X"] + [f"{n}: {v}" for n, v in headers.items()]
        lines.append(f"Content-Length: {len(body)}")
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body)
        await writer.drain()


class Mesh:
    """A deployment that serves: control instances, a node beside each server, heartbeats."""

    def __init__(self, record, services, make_server=Server, **options):
        self.record = record
        self.deployment = Deployment(record, services, **options)
        self.operator = Operator(self.deployment, record)
        self.make_server = make_server
        self.servers = []
        self.beats = []

    async def start(self, desired):
        deployment = self.deployment
        deployment.start_all()
        for number, service in enumerate(deployment.services):
            server = self.make_server(self.record, f"i-{number}", service)
            await server.start(deployment.server(number))
            self.servers.append(server)
            self.beats.append(asyncio.create_task(self.keep_beating(number)))
        if await self.operator.put(desired) != 200:
            raise RuntimeError("the first desired state is not accepted")
        for number in range(len(deployment.services)):
            await until("the nodes are ready", lambda: is_ready(deployment, number))
        await asyncio.sleep(3.2)

    async def keep_beating(self, number):
        server = self.servers[number]
        while True:
            server.sequence += 1
            await beat(self.deployment, number, server.name, server.service, "ready",
                       server.sequence, server.born, server.slots)
            await asyncio.sleep(1.5)

    def end(self):
        for task in self.beats:
            task.cancel()
        self.deployment.end()
