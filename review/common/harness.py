"""Run the project's programs on loopback addresses, beside stand-ins for the platform.

Standard library only. Everything that is started here is ended by `Fleet.close`, by process id.
"""

import asyncio
import contextlib
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
CONTROL, FRONTEND, READINESS, PEER, METRICS = 8229, 8227, 8220, 7340, 9464
ENGINE_PORT = 8080
ZONES = {"za": "r", "zb": "r", "zc": "r"}
# Bounds of the deployments on the users' pages.
BOUNDS = {
    "grace_s": 8,
    "retry_ratio": 0.2,
    "retry_window_s": 10,
    "retry_allowance": 104,
    "cold_overrun": 1.5,
    "cold_allowance": 5,
}
EVACUATE_SECONDS, CONTACT_SECONDS, APPLY_SECONDS = 5.0, 3.0, 2.0
HEARTBEAT_SECONDS = 1.2
# A case may run for 120 seconds.
CASE_SECONDS = 105.0
# The operator, like every caller of the control plane, moves on after a second without an answer.
CALL_TIMEOUT_SECONDS = 1.0
ERRORS = (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError, ValueError, IndexError)


class CannotRun(Exception):
    """The case could not be set up; nothing was shown."""


class Record:
    """Write what was sent, answered and run, with the seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.started = time.monotonic()

    def write(self, *words):
        print(f"{time.monotonic() - self.started:8.3f}", *words, file=self.file, flush=True)

    def say(self, *words):
        self.write(*words)
        print(*words, flush=True)


def choose_network():
    """Return the first three bytes of a loopback network on which the ports are free."""
    for _ in range(50):
        prefix = f"127.{random.randint(20, 240)}.{random.randint(1, 250)}"
        try:
            for number in (*range(1, 8), *range(11, 20)):
                for port in (CONTROL, FRONTEND, READINESS, PEER, METRICS, ENGINE_PORT):
                    with socket.socket() as probe:
                        probe.bind((f"{prefix}.{number}", port))
            return prefix
        except OSError:
            continue
    raise CannotRun("found no free loopback network")


def fill_template(text, fields):
    """Fill in the placeholders of a settings template that the deploy file's templates use."""

    def replace(match):
        value = fields
        for name in match.group(1).split("."):
            value = value.get(name) if isinstance(value, dict) else None
        return json.dumps(value)

    return re.sub(r"\{\{([\w.]+)\|json\}\}", replace, text)


class Program:
    """One process of the system, started with the command of the deploy file."""

    def __init__(self, fleet, name, role, ip, zone):
        self.fleet, self.name, self.role, self.ip, self.zone = fleet, name, role, ip, zone
        self.folder = fleet.folder / name
        self.folder.mkdir()
        self.log = self.folder / "log"
        self.child = None
        self.starts = 0

    def start(self):
        fleet = self.fleet
        role = fleet.deploy["roles"][self.role]
        is_replica = self.role == "replica"
        data = self.folder / "data"
        if is_replica:
            data.mkdir(exist_ok=True)
        listen = {"control_plane": f"{self.ip}:{CONTROL}"}
        if not is_replica:
            listen = {"frontend": f"{self.ip}:{FRONTEND}", "readiness": f"{self.ip}:{READINESS}"}
        fields = {
            "node_name": self.name,
            "ip": self.ip,
            "zone": self.zone,
            "zones": ZONES,
            "seeds": [f"{item.ip}:{CONTROL}" for item in fleet.replicas[:3]],
            "internal_ports": [PEER, PEER + 15],
            "listen": listen,
            "bootstrap": self.starts == 0,
            "data_dir": str(data) if is_replica else None,
            "heartbeat_ms": int(HEARTBEAT_SECONDS * 1000),
            "bounds": BOUNDS,
        }
        settings = self.folder / "node.yaml"
        settings.write_text(fill_template((ROOT / role["template"]).read_text(), fields))
        names = ("PATH", "HOME", "LANG")
        environment = {name: os.environ[name] for name in names if name in os.environ}
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        environment["MARJORAMBRIDGE_NODE_FILE"] = str(settings)
        with self.log.open("ab") as output:
            self.child = subprocess.Popen(
                role["run"].split(), cwd=ROOT, env=environment, stdout=output, stderr=output
            )
        self.starts += 1

    def signal(self, number):
        if self.child is not None and self.child.poll() is None:
            self.child.send_signal(number)

    def read_log(self):
        lines = []
        for line in self.log.read_text(errors="replace").splitlines():
            with contextlib.suppress(ValueError):
                lines.append(json.loads(line))
        return lines


class Fleet:
    """All processes of a case."""

    def __init__(self, record, replicas, gateways):
        self.record = record
        self.deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.prefix = choose_network()
        zones = list(ZONES)
        self.replicas, self.gateways = [], []
        for number in range(replicas):
            ip = f"{self.prefix}.{number + 1}"
            program = Program(self, f"core-{number}", "replica", ip, zones[number % 3])
            self.replicas.append(program)
        for number in range(gateways):
            ip = f"{self.prefix}.{replicas + number + 1}"
            program = Program(self, f"edge-{number}", "gateway", ip, zones[number % 3])
            self.gateways.append(program)

    def start(self):
        for program in (*self.replicas, *self.gateways):
            program.start()

    async def wait_until_ready(self, seconds=25.0):
        ends = time.monotonic() + seconds
        for gateway in self.gateways:
            while True:
                answer = await call(gateway.ip, READINESS, "GET", "/api/readyz", {})
                if answer is not None and answer.status == 200:
                    break
                if time.monotonic() > ends:
                    raise CannotRun(f"{gateway.name} did not become ready")
                await asyncio.sleep(0.2)

    def find_leader(self):
        """Return the replica that leads, by the log lines of the replicas."""
        newest = (0, "")
        for replica in self.replicas:
            for line in replica.read_log():
                if line.get("message") == "the leader changed" and line.get("leader"):
                    newest = max(newest, (line.get("term", 0), line["leader"]))
        for replica in self.replicas:
            if newest[1].startswith(f"{replica.ip}:"):
                return replica
        raise CannotRun("no replica leads")

    def close(self):
        programs = [*self.replicas, *self.gateways]
        for program in programs:
            program.signal(signal.SIGCONT)
            program.signal(signal.SIGKILL)
        for program in programs:
            if program.child is not None:
                program.child.wait()
        if os.environ.get("KEEP"):
            print("kept", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


class Answer:
    def __init__(self, status, headers, body):
        self.status, self.headers, self.body = status, headers, body


async def read_head(reader):
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    pairs = [line.partition(":") for line in head[1:] if line]
    return head[0], {name.strip().lower(): value.strip() for name, _, value in pairs}


async def read_body(reader, headers):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while size := int((await reader.readline()).split(b";")[0], 16):
            body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readline()
        return body
    if "content-length" in headers:
        return await reader.readexactly(int(headers["content-length"]))
    return b""


async def call(ip, port, method, path, headers, body=b"", seconds=CALL_TIMEOUT_SECONDS):
    """Send one request on a new channel; return its answer, or None if no whole one came."""
    writer = None
    try:
        async with asyncio.timeout(seconds):
            reader, writer = await asyncio.open_connection(ip, port)
            fields = {"Host": f"{ip}:{port}"} | headers
            if body or method == "POST":
                fields["Content-Length"] = str(len(body))
            lines = [f"{method} {path} HTTP/1.1", *(f"{k}: {v}" for k, v in fields.items())]
            writer.write("\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body)
            await writer.drain()
            status, received = await read_head(reader)
            answer = await read_body(reader, received)
            return Answer(int(status.split()[1]), received, answer)
    except ERRORS:
        return None
    finally:
        if writer is not None:
            writer.close()


class Operator:
    """Send orders as the pages say: move on to another node after a failure or a second."""

    def __init__(self, fleet):
        self.fleet = fleet

    async def order(self, method, path, body=b"", nodes=None, attempts=12):
        nodes = list(nodes or self.fleet.replicas)
        for number in range(attempts):
            node = nodes[number % len(nodes)]
            record = self.fleet.record
            record.write("operator sends", method, path, "to", node.name)
            answer = await call(
                node.ip, CONTROL, method, path, {"Content-Type": "application/json"}, body
            )
            record.write("operator got", answer.status if answer else None, "from", node.name)
            if answer is not None and answer.status < 500:
                return answer
            await asyncio.sleep(min(0.1 * 2**number, 1.0))
        return None

    async def replace(self, document, nodes=None):
        body = json.dumps(document).encode()
        return await self.order("POST", "/api/Config.Replace", body, nodes)


class Engine:
    """A server: it announces itself, runs requests and records them.

    `respond` is a coroutine function of this engine, the request's headers and its body that
    returns status, further headers and a body; None stands for a plain success.
    """

    def __init__(self, fleet, number, service, zone, respond=None, slots=16, port=ENGINE_PORT):
        self.fleet, self.name, self.service, self.zone = fleet, f"i-{number:04x}", service, zone
        self.ip, self.port, self.slots = f"{fleet.prefix}.{number}", port, slots
        self.respond = respond
        self.weights = 1
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.runs = []
        self.server = self.task = None

    async def start(self):
        self.server = await asyncio.start_server(self._serve, self.ip, self.port, limit=2**23)
        self.task = asyncio.create_task(self._announce())

    async def _announce(self):
        nodes = list(self.fleet.replicas)
        random.shuffle(nodes)
        while True:
            self.sequence += 1
            report = {
                "backend": self.service,
                "address": f"{self.ip}:{self.port}",
                "zone": self.zone,
                "version": "v1",
                "slots": self.slots,
                "state": "ready",
                "cold_left_ms": 0,
                "seq": self.sequence,
                "born": self.born,
                "phase": "mixed",
                "model_list": [{"name": "m", "version": self.weights, "adapters": []}],
            }
            path = f"/api/Instances.Heartbeat/{self.name}"
            for _ in range(len(nodes)):
                headers = {"Content-Type": "application/json"}
                body = json.dumps(report).encode()
                answer = await call(nodes[0].ip, CONTROL, "POST", path, headers, body)
                if answer is not None and answer.status == 200:
                    break
                nodes.append(nodes.pop(0))
            await asyncio.sleep(HEARTBEAT_SECONDS)

    async def _serve(self, reader, writer):
        try:
            first, headers = await read_head(reader)
            method, path, _ = first.split(" ")
            identifier = headers.get("x-request-id", "")
            expected = headers.get("x-expect-instance", self.name)
            weights = headers.get("x-expect-version", str(self.weights))
            if expected != self.name or weights != str(self.weights):
                self._write(writer, 421, {"X-Request-Id": identifier, "X-Not-Executed": "1"}, b"")
            elif path == "/healthz":
                self._write(writer, 200, {"X-Instance-Id": self.name}, b"")
            else:
                body = await read_body(reader, headers)
                await self._run(writer, method, path, headers, body, identifier)
            await writer.drain()
        except ERRORS:
            pass
        finally:
            writer.close()

    async def _run(self, writer, method, path, headers, body, identifier):
        now = time.monotonic()
        self.runs.append((now, identifier))
        self.fleet.record.write(self.name, "in", self.zone, "runs", identifier, method, path)
        status, extra, answer = 200, {}, b"done " + identifier.encode()
        if self.respond is not None:
            result = await self.respond(self, headers, body)
            status, extra, answer = result or (status, extra, answer)
        fields = {"X-Request-Id": identifier, "X-Instance-Signature": f"mac.{identifier}"}
        self._write(writer, status, fields | extra, answer)

    @staticmethod
    def _write(writer, status, headers, body):
        fields = headers | {"Content-Length": str(len(body))}
        lines = [f"HTTP/1.1 {status} X", *(f"{k}: {v}" for k, v in fields.items())]
        writer.write("\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body)

    async def close(self):
        if self.task is not None:
            self.task.cancel()
        if self.server is not None:
            self.server.close()


def make_route(name, host, prefix, kind, service, **more):
    route = {
        "name": name,
        "hostname": host,
        "path_prefix": prefix,
        "type": kind,
        "timeout_ms": 800,
        "slo_ms": 100,
        "priority": 2,
        "backend": service,
        "attempts": 2 if kind == "idempotent" else 1,
        "public": True,
        "sticky": False,
        "resumable": False,
    }
    return route | more


def make_configuration(version, routes, services, **more):
    document = {
        "version": version,
        "routes": routes,
        "services": [
            {
                "name": name,
                "health_path": "/healthz",
                "max_conns": 110,
                "protocol": "h1",
                "tls": False,
                "cold_start_s": 0.0,
                "cold_per_s": 0.0,
            }
            for name in services
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
    }
    return document | more


def has_trouble():
    return os.environ.get("TROUBLE", "1") != "0"


async def finish(main, record):
    """Run a case, and end what is left of its tasks and channels."""
    try:
        async with asyncio.timeout(CASE_SECONDS):
            return await main(record)
    finally:
        tasks = asyncio.all_tasks() - {asyncio.current_task()}
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await asyncio.sleep(0.1)


def run_case(main, record_path):
    """Run a case and exit with 1 if its rule was broken, 0 if it held, 2 if it could not run."""
    record = Record(record_path)
    # Also a case that is stopped ends its processes.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        broken = asyncio.run(finish(main, record))
    except Exception as error:
        # An error of the case itself shows nothing.
        record.say("the case could not run:", repr(error))
        sys.exit(2)
    record.say("the rule was BROKEN" if broken else "the rule held")
    sys.exit(1 if broken else 0)
