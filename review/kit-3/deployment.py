"""A small deployment on loopback addresses, for the cases of the third review.

Starts the commands of the deploy file as separate processes, with settings files rendered from the
deploy file's templates. Backend servers (targets) are stand-ins of this file; they follow PROTOCOL.md.
Standard library only.
"""
import asyncio
import json
import os
import re
import shutil
import signal
import socket
import subprocess
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = os.path.join(ROOT, "target", "release", "ragwortplankd")
BOUNDS = {
    "revoke": "5000", "drain": "2000", "grace": "6", "contact": "3000", "budgetWindow": "10",
    "retryBudgetRatio": "0.2", "retryBudgetSlack": "49", "quotaWindow": "5",
    "quotaOverage": "0.1", "quotaSlack": "20",
}


class Record:
    """What was sent, answered and run, with the seconds since the start."""

    def __init__(self, folder):
        self.begun = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w")

    def write(self, *words):
        line = " ".join(str(word) for word in words)
        self.file.write(f"{time.monotonic() - self.begun:8.3f} {line}\n")
        self.file.flush()


class CannotRun(Exception):
    """The case could not be set up."""


def free_ports(address, count):
    """Returns ports that nothing listens on now."""
    sockets = []
    for _ in range(count):
        one = socket.socket()
        one.bind((address, 0))
        sockets.append(one)
    ports = [one.getsockname()[1] for one in sockets]
    for one in sockets:
        one.close()
    return ports


def render(template, values):
    """Fills in a template of the deploy file; only the forms that the two templates use."""
    def section(match):
        name, body = match.group(1), match.group(2)
        found = values.get(name)
        if not found:
            return ""
        if isinstance(found, (list, dict)):
            parts = []
            entries = list(found)
            for position, entry in enumerate(entries):
                comma = "," if position + 1 < len(entries) else ""
                part = body.replace("{{.}}", str(entry)).replace("{{@}}", str(entry))
                parts.append(part.replace("{{,}}", comma))
            return "".join(parts)
        return body
    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)

    def value(match):
        found = values.get(match.group(1), "")
        if isinstance(found, list):
            return ", ".join(str(entry) for entry in found)
        return str(found)
    return re.sub(r"\{\{([\w.]+)\}\}", value, text)


class Process:
    """One program of the deployment."""

    def __init__(self, name, settings, log):
        self.name, self.settings, self.log = name, settings, log
        self.child = None

    def start(self):
        log = open(self.log, "ab")
        self.child = subprocess.Popen(
            [PROGRAM, "--config", self.settings], cwd=ROOT, stdout=log, stderr=log,
            stdin=subprocess.DEVNULL, env={"PATH": os.environ.get("PATH", ""), "HOME": "/tmp"},
            start_new_session=True)
        log.close()

    def signal(self, number):
        if self.child and self.child.poll() is None:
            self.child.send_signal(number)

    def kill(self):
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self.child:
            self.child.wait()

    def runs(self):
        return self.child is not None and self.child.poll() is None

    def memory_kb(self, field="VmRSS"):
        with open(f"/proc/{self.child.pid}/status") as status:
            for line in status:
                if line.startswith(field + ":"):
                    return int(line.split()[1])
        return 0


class Deployment:
    """Control instances and nodes with their settings."""

    def __init__(self, services, controls=5, tolerated=2, memory_mb=160, zones=None):
        self.folder = tempfile.mkdtemp(prefix="review3-")
        self.processes, self.controls, self.nodes = [], [], []
        base = 10 + os.getpid() % 200
        self.core_ips = [f"127.{base}.1.{n + 1}" for n in range(controls)]
        self.node_ips = [f"127.{base}.2.{n + 1}" for n in range(len(services))]
        self.operator_port, caller, ready, announce, server, metrics = free_ports("127.0.0.1", 6)
        first = free_ports("127.0.0.1", 1)[0]
        first = min(first, 65000)
        self.ports = [first, first + 15]
        self.caller_port, self.announce_port = caller, announce
        self.ready_port, self.server_port = ready, server
        zones = zones or ["zone-a", "zone-b", "zone-c"]
        seeds = [f"{ip}:{self.operator_port}" for ip in self.core_ips[:3]]
        common = {f"bounds.{name}": value for name, value in BOUNDS.items()}
        common.update({
            "zones": zones, "seedAddrs": seeds, "internalPortRange": self.ports,
            "faultTolerance.machines": tolerated, "limits.memoryMb": memory_mb,
        })
        self.templates = {}
        for name in ("control", "node"):
            with open(os.path.join(ROOT, "deploy", f"{name}.toml.template")) as file:
                self.templates[name] = file.read().replace(":9100", f":{metrics}")
        self.common = common
        for n, ip in enumerate(self.core_ips):
            data = os.path.join(self.folder, f"data-{n}")
            os.mkdir(data)
            values = dict(common, **{
                "nodeName": f"core-{n}", "zone": zones[n % len(zones)], "ip": ip,
                "dataDir": data, "listenAddrs.control": f"{ip}:{self.operator_port}"})
            process = self.add(f"core-{n}")
            process.values, process.data, process.ip = values, data, ip
            self.write(process, "control", True)
            self.controls.append(process)
        for n, (ip, service) in enumerate(zip(self.node_ips, services)):
            values = dict(common, **{
                "nodeName": f"sidecar-{n}", "zone": zones[n % len(zones)], "ip": ip,
                "service": service, "appAddr": f"{ip}:{server}",
                "listenAddrs.outbound": f"{ip}:{caller}",
                "listenAddrs.control": f"{ip}:{announce}", "listenAddrs.ready": f"{ip}:{ready}"})
            process = self.add(f"sidecar-{n}")
            process.values, process.ip, process.service = values, ip, service
            self.write(process, "node", True)
            self.nodes.append(process)

    def add_control(self, seeds):
        """Adds a control instance at a new address with an empty disk; it is not started."""
        n = len(self.controls)
        ip = self.core_ips[0].rsplit(".", 1)[0] + f".{n + 1}"
        data = os.path.join(self.folder, f"data-{n}")
        os.mkdir(data)
        values = dict(self.common, **{
            "nodeName": f"core-{n}", "zone": self.common["zones"][0], "ip": ip, "dataDir": data,
            "seedAddrs": [f"{seed}:{self.operator_port}" for seed in seeds],
            "listenAddrs.control": f"{ip}:{self.operator_port}"})
        process = self.add(f"core-{n}")
        process.values, process.data, process.ip = values, data, ip
        self.core_ips.append(ip)
        self.controls.append(process)
        return process

    def lose_disk(self, process):
        """Kills a control instance and empties its disk."""
        process.kill()
        shutil.rmtree(process.data)
        os.mkdir(process.data)

    def add(self, name):
        process = Process(name, os.path.join(self.folder, f"{name}.toml"),
                          os.path.join(self.folder, f"{name}.log"))
        self.processes.append(process)
        return process

    def write(self, process, template, first):
        values = dict(process.values, bootstrap="true" if first else "false")
        with open(process.settings, "w") as file:
            file.write(render(self.templates[template], values))

    def start(self):
        if not os.path.exists(PROGRAM):
            raise CannotRun("the build of the deploy file is missing")
        for process in self.processes:
            process.start()

    def restart(self, process):
        """Starts a process again; the system does not start for the first time then."""
        self.write(process, "control" if process in self.controls else "node", False)
        process.start()

    def end(self, keep=False):
        for process in self.processes:
            process.kill()
        if not keep:
            shutil.rmtree(self.folder, ignore_errors=True)


async def http(ip, port, method, path, body=b"", headers=(), limit=2.0):
    """Sends one request on a new connection; returns status, headers and body, or None."""
    async def run():
        reader, writer = await asyncio.open_connection(ip, port)
        try:
            host = [] if any(name == "Host" for name, _ in headers) else [f"Host: {ip}:{port}"]
            lines = [f"{method} {path} HTTP/1.1", *host,
                     f"Content-Length: {len(body)}", "Connection: close"]
            lines += [f"{name}: {value}" for name, value in headers]
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            return await read_answer(reader)
        finally:
            writer.close()
    try:
        return await asyncio.wait_for(run(), limit)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
        return None


async def read_answer(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    status = int(lines[0].split()[1])
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    body = b""
    if status not in (204, 304) and status >= 200:
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    return status, headers, body


def configuration(version, base, routes, services, tenants, timeout_ms=10000):
    """A desired state in the plain form; routes are (name, host, prefix, kind, service)."""
    return {
        "version": version, "baseVersion": base,
        "routes": [{
            "name": name, "host": host, "pathPrefix": prefix, "routeType": kind,
            "timeout": timeout_ms, "aim": 1500, "priority": 0, "maxAttempts": 2,
            "allowAnonymous": False, "service": service,
        } for name, host, prefix, kind, service in routes],
        "services": [{"name": name, "healthPath": "/health", "maxConnections": 1000,
                      "protocol": "h1", "tls": False} for name in services],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeout": 3000,
                   "idleTimeout": 15000},
        "tenants": [{"name": name, "apiKeys": keys, "priority": 1, "ratePerS": rate,
                     "burst": rate} for name, keys, rate in tenants],
    }


async def put_config(deployment, document, seconds=30.0):
    """Sends a desired state until it has an acknowledgement, as an operator does."""
    until = time.monotonic() + seconds
    body = json.dumps(document).encode()
    n = 0
    while time.monotonic() < until:
        ip = deployment.core_ips[n % len(deployment.core_ips)]
        n += 1
        for _ in range(3):
            answer = await http(ip, deployment.operator_port, "PUT", "/v1/config", body,
                                [("Content-Type", "application/json")], 1.0)
            if answer and answer[0] == 307:
                ip = answer[1]["location"].split("//")[1].split(":")[0]
                continue
            break
        if answer and answer[0] < 500 and answer[0] not in (307, 408, 429):
            return answer[0]
        await asyncio.sleep(0.1)
    return None


async def get_config(deployment, ip):
    """Reads the desired state at one instance; returns its version, the status, or None."""
    answer = await http(ip, deployment.operator_port, "GET", "/v1/config", b"", (), 2.0)
    if answer is None:
        return "no answer"
    if answer[0] != 200:
        return f"status {answer[0]}"
    return f"version {json.loads(answer[2])['version']}"


class Target:
    """A sound target: runs requests, echoes their ids, signs its answers, sends heartbeats."""

    def __init__(self, deployment, node, run, slots=64):
        self.deployment, self.node, self.run_request, self.slots = deployment, node, run, slots
        self.id = "i-" + os.urandom(5).hex()
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.server = None
        self.beats = None
        self.phase = "ready"

    async def start(self):
        self.server = await asyncio.start_server(
            self.serve, self.node.ip, self.deployment.server_port, backlog=1000)
        self.beats = asyncio.ensure_future(self.beat())

    def stop(self):
        self.server.close()
        self.beats.cancel()

    async def announce(self):
        self.sequence += 1
        # The plain form of deploy/wire.toml.
        body = {"service": self.node.service, "address": f"{self.node.ip}:{self.deployment.server_port}",
                "zone": self.node.values["zone"], "version": "v1", "slots": self.slots,
                "phase": self.phase, "coldRemaining": 0, "sequence": self.sequence,
                "born": self.born}
        return await http(self.node.ip, self.deployment.announce_port, "PUT",
                          f"/v1/instances/{self.id}", json.dumps(body).encode(),
                          [("Content-Type", "application/json")], 1.0)

    async def beat(self):
        while True:
            await self.announce()
            await asyncio.sleep(1.5 if self.sequence > 3 else 0.3)

    async def serve(self, reader, writer):
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode("latin-1").split("\r\n")
                method, path, _ = lines[0].split(" ", 2)
                headers = {}
                for line in lines[1:]:
                    if ":" in line:
                        name, value = line.split(":", 1)
                        headers[name.strip().lower()] = value.strip()
                if path == "/health":
                    writer.write(("HTTP/1.1 200 OK\r\nX-Ragwortplank-Instance-Id: %s\r\n"
                                  "Content-Length: 0\r\n\r\n" % self.id).encode())
                    continue
                await self.run_request(self, method, path, headers, reader, writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError,
                asyncio.CancelledError):
            pass                    # the connection or the case has ended
        finally:
            writer.close()

    def answer(self, headers, body, status="200 OK"):
        return ("HTTP/1.1 %s\r\nX-Ragwortplank-Request-Id: %s\r\n"
                "X-Ragwortplank-Server-Stamp: %s.%s\r\nContent-Length: %d\r\n\r\n" % (
                    status, headers.get("x-ragwortplank-request-id", ""), self.id,
                    headers.get("x-ragwortplank-request-id", ""), len(body))).encode() + body


async def await_ready(deployment, seconds=30.0):
    """Waits until every node says that it is ready."""
    until = time.monotonic() + seconds
    for node in deployment.nodes:
        while True:
            answer = await http(node.ip, deployment.ready_port, "GET", "/v1/ready", b"", (), 1.0)
            if answer and answer[0] == 200:
                break
            if time.monotonic() > until:
                raise CannotRun(f"{node.name} is not ready")
            await asyncio.sleep(0.1)
