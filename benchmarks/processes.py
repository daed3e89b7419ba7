"""Run replicas, gateways, stand-in engines and callers for benchmarks of planned stops."""

import functools
import json
import math
import multiprocessing
import random
import signal
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path

import anyio
import h11
from anyio.abc import SocketAttribute

from tests.soak.endpoints import CONNECTION_ERRORS, Endpoint, EndpointLog
from tests.soak.processes import Process, make_processes
from tests.soak.run import find_base_port

REPLICAS, GATEWAYS, ENGINES, CALLERS = 3, 2, 3, 24
SLOTS = 32
TIMEOUT_SECONDS, GRACE_SECONDS = 10.0, 8.0
SECONDS_BEFORE_SIGNAL = 10.0
# After its time limit, a caller waits this long for the end of an answer.
MAX_LATENESS_SECONDS = 5.0
HOST_NAME = "benchmark.example"
ROUTE = {
    "name": "streams",
    "hostname": HOST_NAME,
    "path_prefix": "/stream/",
    "type": "streaming",
    "timeout_ms": TIMEOUT_SECONDS * 1000,
    "slo_ms": 300,
    "priority": 1,
    "backend": "svc",
    "attempts": 2,
    "public": True,
    "resumable": True,
    "target_gap_ms": 250,
}


@dataclass
class Run:
    """Work of an engine on a request; `ended_at` is infinite while it goes on."""

    request: str
    engine: str
    arrived_at: float
    path: str = ""
    refused: bool = False
    ended_at: float = math.inf


@dataclass
class Answer:
    """What a caller got for a request, with its own port.

    The longest pause between two parts took `pause_seconds`.
    """

    request: str
    gateway: str
    sent_at: float
    path: str = "/stream/a"
    port: int = 0
    status: int = 0
    body: bytearray = field(default_factory=bytearray)
    is_whole: bool = False
    ended_at: float = 0.0
    received_at: float = 0.0
    pause_seconds: float = 0.0


@dataclass
class Play:
    """State of one run.

    Attributes
    ----------
    addresses : list of str
        Where callers reach each gateway.
    slots : int
        Requests that an engine serves at a time.
    signalled_at : float
        Monotonic time in seconds of the signal to the first gateway; infinite before.
    """

    seed: int
    base: int
    replicas: list[Process]
    gateways: list[Process]
    addresses: list[str] = field(default_factory=list)
    slots: int = SLOTS
    answers: list[Answer] = field(default_factory=list)
    runs: list[Run] = field(default_factory=list)
    signalled_at: float = math.inf


# Engines.


def run_engines(base: int, seed: int, slots: int, answer: Callable, pipe) -> None:
    """Serve the engines until the other end of the pipe asks for their work."""
    anyio.run(serve_engines, base, seed, slots, answer, pipe)


async def serve_engines(base, seed, slots, answer, pipe):
    runs, generator, log = [], random.Random(f"engines-{seed}"), EndpointLog()
    async with anyio.create_task_group() as tasks:
        for number in range(ENGINES):
            name, ip = f"i-{number}", f"127.0.2.{number + 1}"
            born = int(time.time() * 1000)
            engine = Endpoint(name, f"z{number}", ip, base + 10, log, generator, born)
            listener = await anyio.create_tcp_listener(local_host=ip, local_port=base + 11)
            handle = functools.partial(serve_connection, runs, engine, answer)
            tasks.start_soon(listener.serve, handle)
            tasks.start_soon(send_heartbeats, engine, base, slots)
        while not pipe.poll():
            await anyio.sleep(0.1)
        pipe.send(runs)
        tasks.cancel_scope.cancel()


async def send_heartbeats(engine, base, slots):
    while True:
        for number in range(REPLICAS):
            body = json.dumps(json.loads(engine.report()) | {"slots": slots}).encode()
            path = f"/api/Instances.Heartbeat/{engine.name}"
            await send_order(f"127.0.1.{number + 1}:{base + 2}", path, body)
        await anyio.sleep(0.3)


async def serve_connection(runs, engine, answer, stream):
    connection = h11.Connection(h11.SERVER)
    async with stream:
        try:
            request = await receive_event(stream, connection)
            headers = {name: value.decode() for name, value in request.headers}
            while not isinstance(await receive_event(stream, connection), h11.EndOfMessage):
                pass
            path = request.target.decode()
            run = Run(headers[b"x-request-id"], engine.name, time.monotonic(), path)
            runs.append(run)
            try:
                await answer(engine, stream, run, headers)
            finally:
                run.ended_at = time.monotonic()
        except CONNECTION_ERRORS:
            return


def make_head(run: Run, kind: str, length: int | None = None) -> bytes:
    """Return the head of an engine's answer, whose body comes in chunks or has a length."""
    framing = "Transfer-Encoding: chunked" if length is None else f"Content-Length: {length}"
    lines = ("HTTP/1.1 200 OK", f"X-Request-Id: {run.request}")
    lines += (f"X-Instance-Signature: mac-{run.request}", f"Content-Type: {kind}", framing)
    return "\r\n".join((*lines, "", "")).encode()


# Callers.


async def receive_event(stream, connection):
    while (event := connection.next_event()) is h11.NEED_DATA:
        connection.receive_data(await stream.receive())
    return event


async def send_request(stream, address, path, body, headers):
    connection = h11.Connection(h11.CLIENT)
    fields = [("Host", address), ("Content-Length", str(len(body))), *headers]
    data = connection.send(h11.Request(method="POST", target=path, headers=fields))
    data += connection.send(h11.Data(data=body)) + connection.send(h11.EndOfMessage())
    await stream.send(data)
    return connection


async def send_order(address, path, body):
    """Return the status of an answer, or 0."""
    try:
        with anyio.fail_after(2.0):
            async with await connect(address) as stream:
                connection = await send_request(stream, address, path, body, [])
                return (await receive_event(stream, connection)).status_code
    except (*CONNECTION_ERRORS, TimeoutError, h11.RemoteProtocolError):
        return 0


async def connect(address):
    ip, _, port = address.rpartition(":")
    return await anyio.connect_tcp(ip, int(port))


async def run_caller(play, number, choose_path, choose_pause):
    """Send requests to one gateway, on kept and new connections, until a gateway has ended."""
    generator = random.Random(f"caller-{play.seed}-{number}")
    gateway, stream, count = play.gateways[number % GATEWAYS], None, 0
    while all(process.is_running() for process in play.gateways):
        try:
            stream = stream or await connect(play.addresses[number % GATEWAYS])
        except OSError:
            await anyio.sleep(0.1)
            continue
        count += 1
        answer = Answer(f"s{play.seed}-{number}-{count}", gateway.name, time.monotonic())
        answer.path = choose_path(generator)
        answer.port = stream.extra(SocketAttribute.local_port)
        play.answers.append(answer)
        keeps = False
        try:
            with anyio.move_on_after(TIMEOUT_SECONDS + MAX_LATENESS_SECONDS):
                keeps = await call(stream, answer, generator)
        except (*CONNECTION_ERRORS, h11.RemoteProtocolError):
            keeps = False
        answer.ended_at = time.monotonic()
        if not keeps or generator.random() < 0.5:
            await stream.aclose()
            stream = None
        await anyio.sleep(choose_pause(generator))


async def call(stream, answer, generator, seconds=TIMEOUT_SECONDS):
    """Receive an answer, and return whether its connection stays open."""
    headers = [("X-Request-Id", answer.request), ("X-Deadline-Ms", f"{seconds * 1000:.0f}")]
    body = b"x" * generator.choice((0, 10, 3000))
    connection = await send_request(stream, HOST_NAME, answer.path, body, headers)
    event = await receive_event(stream, connection)
    answer.status = event.status_code
    closes = (b"connection", b"close") in list(event.headers)
    while not isinstance(event := await receive_event(stream, connection), h11.EndOfMessage):
        now = time.monotonic()
        pause = now - (answer.received_at or now)
        answer.pause_seconds = max(answer.pause_seconds, pause)
        answer.received_at = now
        answer.body += event.data
    answer.is_whole = True
    return not closes


# One run.


def make_play(seed: int, folder: Path) -> Play:
    base = find_base_port()
    processes = make_processes(folder, base, REPLICAS, GATEWAYS)
    gateways = processes[REPLICAS:]
    addresses = [gateway.settings["callers"] for gateway in gateways]
    return Play(seed, base, processes[:REPLICAS], gateways, addresses)


async def run_play(play, routes, answer, use_fleet):
    """Start a fleet, let a function use it, and add the engines' work to the play.

    Parameters
    ----------
    answer : callable
        Answers a request at an engine, in the process of the engines.
    use_fleet : callable
        Called when all gateways serve requests.
    """
    context = multiprocessing.get_context("spawn")
    pipe, other = context.Pipe()
    engines = context.Process(
        target=run_engines, args=(play.base, play.seed, play.slots, answer, other)
    )
    processes = [*play.replicas, *play.gateways]
    try:
        engines.start()
        for process in processes:
            process.start()
        await wait_for_start(play, routes)
        await use_fleet(play)
        pipe.send("stop")
        play.runs = await anyio.to_thread.run_sync(pipe.recv)
        engines.join()
    finally:
        for process in processes:
            process.send_signal(signal.SIGCONT)
            process.kill()
        if engines.is_alive():
            engines.kill()


def stop_gateway(play: Play) -> None:
    """Send a SIGTERM to the first gateway."""
    play.signalled_at = time.monotonic()
    play.gateways[0].send_signal(signal.SIGTERM)


async def wait_for_start(play, routes):
    document = {"version": 1, "routes": routes, "services": [{"name": "svc"}]}
    body = json.dumps(document).encode()
    with anyio.fail_after(30):
        while await send_order(f"127.0.1.1:{play.base + 2}", "/api/Config.Replace", body) != 200:
            await anyio.sleep(0.2)
        for number, gateway in enumerate(play.gateways):
            answer = Answer(f"start-{number}", gateway.name, 0.0)
            while answer.status != 200:
                try:
                    async with await connect(gateway.settings["callers"]) as stream:
                        await call(stream, answer, random.Random(0))
                except (*CONNECTION_ERRORS, h11.RemoteProtocolError):
                    pass
                await anyio.sleep(0.2)
    # The endpoints of all engines are known by then.
    await anyio.sleep(1.0)


def group_runs(play: Play) -> dict[str, list[Run]]:
    """Return the engines' work by request."""
    by_request = {}
    for run in play.runs:
        by_request.setdefault(run.request, []).append(run)
    return by_request


def classify(play: Play, answer: Answer, runs: list[Run], expected: bytes) -> str:
    """Return how an answer ended; `cut` also includes those that a stop may have allowed."""
    if answer.is_whole and answer.status == 200:
        return "complete" if answer.body == expected else "wrong"
    if answer.is_whole:
        return "refused" if answer.status == 503 else "failed"
    if not runs and not answer.status:
        return "crossed"
    if answer.ended_at - answer.sent_at >= TIMEOUT_SECONDS - 0.1:
        return "allowed"
    return "cut"


def get_late_time(play: Play) -> float:
    """Return when the last sixth of the grace time of the first gateway begins."""
    return play.signalled_at + GRACE_SECONDS * 5 / 6
