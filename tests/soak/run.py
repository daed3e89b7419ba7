"""Run a seeded soak: ``python -m tests.soak.run --seed 7 --seconds 20``."""

import argparse
import json
import random
import signal
import socket
import sys
import tempfile
import time
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path

import anyio
import httpcore

from .endpoints import EVENTS, Endpoint, Runs, serve_endpoint
from .processes import Process, make_processes
from .wishes import check_wishes, end_incarnation, run_wishes

NOT_RUN = {408, 421, 429, 503}
TIMEOUT_SECONDS = 2.0
# Bounds that the pages state, in seconds: an answer after the timeout, a change after its ack.
LATE_SECONDS = 0.75
APPLY_SECONDS = 2.0
DRAIN_SECONDS = 5.0
CATCH_UP_SECONDS = 4.0
START_SECONDS = 2.0
# What an operator may leave in a settings file by mistake; a running process must bear it.
BAD_SETTINGS = ("", "{", "[1]", '{"seeds": 7}', "\x00\xff")
MODES = ("delay", "reset", "silent", "cut-in", "cut-out")
PATHS = {"/once/": "mutating", "/any/": "idempotent", "/stream/": "streaming"}


@dataclass
class Soak:
    """Hold the fleet and what was promised to callers and operators."""

    seed: int
    folder: Path
    base: int
    random: random.Random
    processes: list[Process]
    endpoints: list[Endpoint] = field(default_factory=list)
    runs: Runs = field(default_factory=Runs)
    refused: set[str] = field(default_factory=set)
    once: set[str] = field(default_factory=set)
    outcomes: Counter = field(default_factory=Counter)
    faults: list[str] = field(default_factory=list)
    events: list[str] = field(default_factory=list)
    sent_version: int = 0
    acknowledged: list[tuple[float, int]] = field(default_factory=list)
    drained: dict[str, float] = field(default_factory=dict)
    calls: int = 0
    sent: dict[str, tuple[str, float]] = field(default_factory=dict)
    replicas_whole_at: float = 0.0
    began: float = field(default_factory=time.monotonic)

    def fail(self, text: str) -> None:
        self.faults.append(f"{time.monotonic() - self.began:.2f} s: {text}")

    def note(self, text: str) -> None:
        self.events.append(f"{time.monotonic() - self.began:.2f} s: {text}")

    def choose(self, role: str) -> Process:
        return self.random.choice([p for p in self.processes if p.role == role])


def make_configuration(version: int) -> bytes:
    routes = [
        {
            "name": f"r{path}",
            "hostname": "soak.example",
            "path_prefix": path,
            "type": kind,
            "timeout_ms": TIMEOUT_SECONDS * 1000,
            "slo_ms": 300,
            "priority": 1,
            "backend": "svc",
            "attempts": 1 if kind == "mutating" else 2,
            "public": True,
            "resumable": True,
        }
        for path, kind in PATHS.items()
    ]
    document = {"version": version, "routes": routes, "services": [{"name": "svc"}]}
    return json.dumps(document).encode()


async def call(soak: Soak, address: str, method: str, path: str, body: bytes, **headers):
    """Return status, headers and body of a call; None without a whole answer."""
    fields = {"Host": "soak.example", "X-Deadline-Ms": "4000"} | headers
    try:
        with anyio.fail_after(TIMEOUT_SECONDS + 2.0):
            async with httpcore.AsyncConnectionPool() as pool:
                url = f"http://{address}{path}"
                pairs = [(name, value) for name, value in fields.items()]
                answer = await pool.request(method, url, headers=pairs, content=body)
                return answer.status, dict(answer.headers), answer.content
    except (httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException, TimeoutError):
        return None


async def run_caller(soak: Soak) -> None:
    """Send one request after the other and compare what comes with what endpoints did."""
    while True:
        gateway = soak.choose("gateway")
        path = soak.random.choice(list(PATHS))
        soak.calls += 1
        identifier = f"s{soak.seed}-{soak.calls}"
        body = b"x" * soak.random.choice((0, 10, 3000))
        if path == "/once/":
            soak.once.add(identifier)
        began = time.monotonic()
        soak.sent[identifier] = gateway.name, began
        name = {"X-Request-Id": identifier}
        address = gateway.settings["callers"]
        answer = await call(soak, address, "POST", path + "a?b=c", body, **name)
        took = time.monotonic() - began
        if is_held_too_long(gateway, began, took):
            soak.fail(f"{identifier} was held for {took:.2f} s at {gateway.name}")
        check_answer(soak, identifier, path, body, answer)
        await anyio.sleep(soak.random.uniform(0.0, 0.05))


def is_held_too_long(gateway: Process, began: float, took: float) -> bool:
    """Return whether a gateway that nobody disturbed held a request past its timeout."""
    undisturbed = not gateway.until and gateway.disturbed_at < began
    return undisturbed and took > TIMEOUT_SECONDS + LATE_SECONDS


def check_answer(soak: Soak, identifier: str, path: str, body: bytes, answer) -> None:
    if answer is None:
        soak.outcomes["no answer"] += 1
        return
    status, headers, content = answer
    soak.outcomes[str(status)] += 1
    if status in NOT_RUN:
        soak.refused.add(identifier)
        if path != "/once/":
            return
        if status == 503 and b"retry-after" not in {name.lower() for name in headers}:
            soak.fail(f"{identifier} was refused without Retry-After")
    if status != 200:
        return
    expected = identifier.encode() + b"|" + body
    if path == "/stream/":
        expected = b"".join(
            f"id: {n}\ndata: {identifier}-{n}\n\n".encode() for n in range(1, EVENTS + 1)
        )
    if content != expected:
        soak.fail(f"{identifier} got {content[:80]!r}")
    if headers.get(b"X-Instance-Signature") != f"mac-{identifier}".encode():
        soak.fail(f"{identifier} got a success without its endpoint's signature")


async def run_reports(soak: Soak) -> None:
    """Let every endpoint report to some replica, as long as one takes it."""
    while True:
        for endpoint in soak.endpoints:
            replica = soak.choose("replica").settings["control"]
            path = f"/api/Instances.Heartbeat/{endpoint.name}"
            await call(soak, replica, "POST", path, endpoint.report())
        await anyio.sleep(0.3)


async def run_operator(soak: Soak) -> None:
    """Change the configuration, drain and restore zones, and read back what is in force."""
    while True:
        await anyio.sleep(soak.random.uniform(0.2, 1.0))
        replica = soak.choose("replica").settings["control"]
        action = soak.random.random()
        if action < 0.5 or not soak.acknowledged:
            soak.sent_version += soak.random.randint(1, 3)
            version = soak.sent_version
            body = make_configuration(version)
            answer = await call(soak, replica, "POST", "/api/Config.Replace", body)
            if answer is not None and answer[0] == 200:
                soak.acknowledged.append((time.monotonic(), version))
        elif action < 0.8:
            await read_configuration(soak, replica)
        elif not soak.drained:
            answer = await call(soak, replica, "POST", "/api/Drain.Begin/z1", b"")
            if answer is not None and answer[0] == 200:
                soak.drained["z1"] = time.monotonic()
        elif time.monotonic() - soak.drained["z1"] > DRAIN_SECONDS + 2.0:
            await call(soak, replica, "POST", "/api/Drain.Finish/z1", b"")
            check_drain(soak)
            soak.drained.clear()


async def read_configuration(soak: Soak, replica: str) -> int | None:
    began = time.monotonic()
    answer = await call(soak, replica, "GET", "/api/Config.Read", b"")
    if answer is None or answer[0] != 200:
        return None
    version = json.loads(answer[2])["version"]
    due = [known for at, known in soak.acknowledged if at < began - APPLY_SECONDS]
    if version < max(due, default=0):
        soak.fail(f"{replica} showed version {version} after {max(due)} was acknowledged")
    if answer[2] != make_configuration(version):
        soak.fail(f"version {version} was read back in another form")
    return version


def check_drain(soak: Soak) -> None:
    begun = soak.drained["z1"]
    zones = {endpoint.name: endpoint.zone for endpoint in soak.endpoints}
    end = time.monotonic() - 1.0
    for identifier, runs in soak.runs.by_request.items():
        for endpoint, at in runs:
            if zones.get(endpoint) == "z1" and begun + DRAIN_SECONDS < at < end:
                soak.fail(f"{identifier} ran in a drained zone")


async def run_settings(soak: Soak) -> None:
    """Break settings files of running processes and mend them, with signals in series."""
    # A generator of its own leaves the other faults of a seed as they are.
    generator = random.Random(f"settings-{soak.seed}")
    while True:
        await anyio.sleep(generator.uniform(0.5, 2.0))
        process = generator.choice(soak.processes)
        if process.child is None or process.until:
            continue
        # A process may end because of bad settings while it starts, but not because of a signal.
        is_young = time.monotonic() - process.disturbed_at < START_SECONDS
        process.has_bad_settings = not process.has_bad_settings and not is_young
        good = process.settings | {"seeds": generator.sample(process.settings["seeds"], 3)}
        text = generator.choice(BAD_SETTINGS) if process.has_bad_settings else json.dumps(good)
        soak.note(f"settings {process.name} {text[:12]!r}")
        process.write_settings(text)


async def run_faults(soak: Soak) -> None:
    """Inject one fault after the other; at most one replica is away at a time."""
    while True:
        await anyio.sleep(soak.random.uniform(0.3, 1.2))
        now = time.monotonic()
        for process in soak.processes:
            if process.until and now > process.until:
                recover(soak, process)
        if soak.random.random() < 0.4:
            endpoint = soak.random.choice(soak.endpoints)
            endpoint.mode = soak.random.choice(("pass", *MODES))
            endpoint.troubled = now + soak.random.uniform(0.0, 4.0)
            soak.note(f"{endpoint.name} {endpoint.mode}")
            continue
        process = soak.random.choice(soak.processes)
        others = [p for p in soak.processes if p.role == process.role and p.until]
        if process.until or others:
            continue
        if process.role == "replica" and now < soak.replicas_whole_at:
            continue
        inject(soak, process, now)


def inject(soak: Soak, process: Process, now: float) -> None:
    kind = soak.random.choice(("kill", "wipe", "stop", "term"))
    process.disturbed_at = now
    process.disturbances.append(now)
    soak.note(f"{kind} {process.name}")
    process.until = now + soak.random.uniform(0.3, 2.5)
    if process.role == "replica":
        # A replica that comes back counts as lost until it had time to catch up.
        soak.replicas_whole_at = now + 9.0 + CATCH_UP_SECONDS
    if kind in ("kill", "wipe"):
        process.kill(wipe=kind == "wipe")
    elif kind == "stop":
        process.send(signal.SIGSTOP)
        process.stopped = True
    else:
        process.send(signal.SIGTERM)
        process.until = now + 9.0


def recover(soak: Soak, process: Process) -> None:
    process.until = 0.0
    process.disturbed_at = time.monotonic()
    process.disturbances.append(process.disturbed_at)
    if process.role == "replica":
        soak.replicas_whole_at = time.monotonic() + CATCH_UP_SECONDS
    if process.stopped:
        process.send(signal.SIGCONT)
        process.stopped = False
        return
    process.kill()
    process.start()
    soak.note(f"start {process.name}")


async def check_end(soak: Soak) -> None:
    """Heal everything and check that what was acknowledged is there and requests are served."""
    for endpoint in soak.endpoints:
        endpoint.mode, endpoint.troubled = "pass", 0.0
        end_incarnation(soak, endpoint)
    for process in soak.processes:
        if process.until:
            recover(soak, process)
    await anyio.sleep(6.0)
    newest = max((version for _, version in soak.acknowledged), default=0)
    for process in soak.processes:
        if process.role == "replica":
            version = await read_configuration(soak, process.settings["control"])
            if version is None or version < newest:
                soak.fail(f"{process.name} reads {version} at the end, not {newest}")
        elif process.child is None or process.child.poll() is not None:
            soak.fail(f"{process.name} ended by itself")
    served = 0
    for number in range(20):
        address = soak.choose("gateway").settings["callers"]
        name = {"X-Request-Id": f"end-{soak.seed}-{number}"}
        answer = await call(soak, address, "POST", "/any/a", b"", **name)
        served += answer is not None and answer[0] == 200
    if served < 18:
        soak.fail(f"only {served} of 20 requests were served at the end")


def check_runs(soak: Soak) -> None:
    for identifier, runs in soak.runs.by_request.items():
        if identifier in soak.once and len(runs) > 1:
            soak.fail(f"{identifier} ran {len(runs)} times: {runs}")
        if identifier in soak.refused and identifier in soak.once:
            soak.fail(f"{identifier} ran, though it was refused as not run")


async def run_soak(seed: int, seconds: float, folder: Path, replicas: int, gateways: int) -> Soak:
    """Run one seed and return what was seen."""
    generator = random.Random(seed)
    base = find_base()
    soak = Soak(seed, folder, base, generator, make_processes(folder, base, replicas, gateways))
    async with anyio.create_task_group() as tasks:
        try:
            for number in range(6):
                born = int(time.time() * 1000)
                zone, ip = f"z{number % 3}", f"127.0.2.{number + 1}"
                endpoint = Endpoint(f"i-{number}", zone, ip, base + 10, soak.runs, generator, born)
                soak.endpoints.append(endpoint)
                tasks.start_soon(serve_endpoint, endpoint)
            for process in soak.processes:
                process.start()
            tasks.start_soon(run_reports, soak)
            tasks.start_soon(run_operator, soak)
            await wait_for_start(soak)
            async with anyio.create_task_group() as work:
                for _ in range(2 * gateways):
                    work.start_soon(run_caller, soak)
                work.start_soon(run_faults, soak)
                work.start_soon(run_settings, soak)
                work.start_soon(run_wishes, soak)
                await anyio.sleep(seconds)
                work.cancel_scope.cancel()
            await check_end(soak)
        finally:
            tasks.cancel_scope.cancel()
            for process in soak.processes:
                process.send(signal.SIGCONT)
                process.kill()
    check_runs(soak)
    check_wishes(soak)
    return soak


async def wait_for_start(soak: Soak) -> None:
    with anyio.fail_after(20):
        while True:
            address = soak.choose("gateway").settings["callers"]
            soak.calls += 1
            name = {"X-Request-Id": f"start-{soak.calls}"}
            answer = await call(soak, address, "POST", "/any/a", b"", **name)
            if answer is not None and answer[0] == 200:
                return
            await anyio.sleep(0.2)


def find_base() -> int:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return min(probe.getsockname()[1], 60_000)


def main() -> int:
    """Run the seeds named on the command line and return 1 if a promise was broken."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=None)
    parser.add_argument("--count", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=15.0)
    parser.add_argument("--replicas", type=int, default=3)
    parser.add_argument("--gateways", type=int, default=3)
    options = parser.parse_args()
    first = options.seed if options.seed is not None else random.SystemRandom().randrange(10**6)
    broken = 0
    for seed in range(first, first + options.count):
        folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        soak = anyio.run(
            run_soak, seed, options.seconds, folder, options.replicas, options.gateways
        )
        print(f"seed {seed}: {len(soak.faults)} faults, {dict(soak.outcomes)}, logs in {folder}")
        for line in soak.faults:
            print(f"  {line}")
        if soak.faults:
            broken += 1
            print("\n".join(f"    {line}" for line in soak.events))
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
