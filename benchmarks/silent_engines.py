"""Measure streams whose engine is silent midway, around a planned stop of a gateway.

Run ``python -m benchmarks.silent_engines --seed 1 --count 3 --silence 1.8``; it prints one JSON
object and a table. Three replicas and two gateways run as processes of their own, three engine
stand-ins in another one. The second engine of a stream often refuses it. A stream that a gateway
cuts counts against the guarantee, unless its time was used up or its engine still worked for it in
the last sixth of the grace time.
"""

import argparse
import functools
import json
import math
import multiprocessing
import os
import random
import signal
import tempfile
import time
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path

import anyio
import h11

from tests.soak.endpoints import CONNECTION_ERRORS, Endpoint, EndpointLog
from tests.soak.processes import Process, make_processes
from tests.soak.run import find_base_port

REPLICAS, GATEWAYS, ENGINES, CALLERS = 3, 2, 3, 24
SLOTS = 32
EVENTS, EVENT_SECONDS = 33, 0.06
SILENT_AFTER, SILENT_RATIO = 16, 0.6
# Ratio of the streams to be continued that each engine refuses.
REFUSED_RATIOS = (0.6, 0.75, 0.9)
TIMEOUT_SECONDS, GRACE_SECONDS = 10.0, 8.0
SECONDS_BEFORE_SIGNAL = 10.0
HOST_NAME = "silent.example"
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
COLUMNS = ("requests", "complete", "cut", "allowed", "refused", "failed", "crossed")


@dataclass
class Run:
    """Work of an engine on a request; `ended_at` is infinite while it goes on."""

    request: str
    engine: str
    arrived_at: float
    refused: bool = False
    ended_at: float = math.inf


@dataclass
class Answer:
    """What a caller got for a request; `pause_seconds` is the longest one between two events."""

    request: str
    gateway: str
    sent_at: float
    status: int = 0
    body: bytes = b""
    is_whole: bool = False
    ended_at: float = 0.0
    pause_seconds: float = 0.0


@dataclass
class Play:
    """State of one run; `signalled_at` is infinite before the signal."""

    seed: int
    gateways: list[Process]
    answers: list[Answer] = field(default_factory=list)
    signalled_at: float = math.inf


# Engines.


def run_engines(base, seed, silence_seconds, pipe):
    """Serve the engines until the other end of the pipe asks for their work."""
    anyio.run(serve_engines, base, seed, silence_seconds, pipe)


async def serve_engines(base, seed, silence_seconds, pipe):
    runs, generator, log = [], random.Random(f"engines-{seed}"), EndpointLog()
    async with anyio.create_task_group() as tasks:
        for number in range(ENGINES):
            name, ip = f"i-{number}", f"127.0.2.{number + 1}"
            born = int(time.time() * 1000)
            engine = Endpoint(name, f"z{number}", ip, base + 10, log, generator, born)
            listener = await anyio.create_tcp_listener(local_host=ip, local_port=base + 11)
            handle = functools.partial(
                serve_stream, runs, engine, REFUSED_RATIOS[number], silence_seconds
            )
            tasks.start_soon(listener.serve, handle)
            tasks.start_soon(send_heartbeats, engine, base)
        while not pipe.poll():
            await anyio.sleep(0.1)
        pipe.send(runs)
        tasks.cancel_scope.cancel()


async def send_heartbeats(engine, base):
    while True:
        for number in range(REPLICAS):
            body = json.dumps(json.loads(engine.report()) | {"slots": SLOTS}).encode()
            path = f"/api/Instances.Heartbeat/{engine.name}"
            await send_order(f"127.0.1.{number + 1}:{base + 2}", path, body)
        await anyio.sleep(0.3)


async def serve_stream(runs, engine, refused_ratio, silence_seconds, stream):
    connection = h11.Connection(h11.SERVER)
    async with stream:
        try:
            request = await receive_event(stream, connection)
            headers = {name: value.decode() for name, value in request.headers}
            while not isinstance(await receive_event(stream, connection), h11.EndOfMessage):
                pass
            run = Run(headers[b"x-request-id"], engine.name, time.monotonic())
            runs.append(run)
            try:
                await answer_stream(engine, refused_ratio, silence_seconds, stream, run, headers)
            finally:
                run.ended_at = time.monotonic()
        except CONNECTION_ERRORS:
            return


async def answer_stream(engine, refused_ratio, silence_seconds, stream, run, headers):
    first = int(headers.get(b"last-event-id", 0)) + 1
    base = f"X-Request-Id: {run.request}\r\n"
    if first > 1 and engine.random.random() < refused_ratio:
        run.refused = True
        text = f"HTTP/1.1 503 Full\r\n{base}X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
        await stream.send(text.encode())
        return
    is_silent = first == 1 and engine.random.random() < SILENT_RATIO
    head = f"HTTP/1.1 200 OK\r\n{base}X-Instance-Signature: mac-{run.request}\r\n"
    head += "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    await stream.send(head.encode())
    for number in range(first, EVENTS + 1):
        pause = silence_seconds if is_silent and number == SILENT_AFTER + 1 else EVENT_SECONDS
        with anyio.move_on_after(pause):
            await stream.receive()
            raise anyio.EndOfStream
        event = make_event(run.request, number)
        await stream.send(b"%x\r\n%s\r\n" % (len(event), event))
    await stream.send(b"0\r\n\r\n")


def make_event(request, number):
    return f"id: {number}\ndata: {request}-{number}\n\n".encode()


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
    ip, _, port = address.rpartition(":")
    try:
        with anyio.fail_after(2.0):
            async with await anyio.connect_tcp(ip, int(port)) as stream:
                connection = await send_request(stream, address, path, body, [])
                return (await receive_event(stream, connection)).status_code
    except (*CONNECTION_ERRORS, TimeoutError, h11.RemoteProtocolError):
        return 0


async def run_caller(play, number):
    """Send streams to one gateway, on kept and new connections, until a gateway has ended."""
    generator = random.Random(f"caller-{play.seed}-{number}")
    gateway, stream, count = play.gateways[number % GATEWAYS], None, 0
    ip, _, port = gateway.settings["callers"].rpartition(":")
    while all(process.is_running() for process in play.gateways):
        try:
            stream = stream or await anyio.connect_tcp(ip, int(port))
        except OSError:
            await anyio.sleep(0.1)
            continue
        count += 1
        answer = Answer(f"s{play.seed}-{number}-{count}", gateway.name, time.monotonic())
        play.answers.append(answer)
        try:
            keeps = await call(stream, answer, generator)
        except (*CONNECTION_ERRORS, h11.RemoteProtocolError):
            keeps = False
        answer.ended_at = time.monotonic()
        if not keeps or generator.random() < 0.5:
            await stream.aclose()
            stream = None
        await anyio.sleep(generator.uniform(0.0, 0.1))


async def call(stream, answer, generator):
    """Receive an answer, and return whether its connection stays open."""
    headers = [("X-Request-Id", answer.request), ("X-Deadline-Ms", "10000")]
    body = b"x" * generator.choice((0, 10, 3000))
    connection = await send_request(stream, HOST_NAME, "/stream/a", body, headers)
    event, last_at = await receive_event(stream, connection), 0.0
    answer.status = event.status_code
    closes = (b"connection", b"close") in list(event.headers)
    while not isinstance(event := await receive_event(stream, connection), h11.EndOfMessage):
        now = time.monotonic()
        answer.pause_seconds = max(answer.pause_seconds, now - (last_at or now))
        last_at, answer.body = now, answer.body + bytes(event.data)
    answer.is_whole = True
    return not closes


# One run.


async def play_streams(seed, silence_seconds, folder):
    base = find_base_port()
    processes = make_processes(folder, base, REPLICAS, GATEWAYS)
    context = multiprocessing.get_context("spawn")
    pipe, other = context.Pipe()
    engines = context.Process(target=run_engines, args=(base, seed, silence_seconds, other))
    play = Play(seed, processes[REPLICAS:])
    try:
        engines.start()
        for process in processes:
            process.start()
        await wait_for_start(play, base)
        async with anyio.create_task_group() as tasks:
            for number in range(CALLERS):
                tasks.start_soon(run_caller, play, number)
            await anyio.sleep(SECONDS_BEFORE_SIGNAL)
            play.signalled_at = time.monotonic()
            play.gateways[0].send_signal(signal.SIGTERM)
        pipe.send("stop")
        runs = await anyio.to_thread.run_sync(pipe.recv)
        engines.join()
    finally:
        for process in processes:
            process.kill()
        if engines.is_alive():
            engines.kill()
    return summarize(play, runs)


async def wait_for_start(play, base):
    document = {"version": 1, "routes": [ROUTE], "services": [{"name": "svc"}]}
    with anyio.fail_after(30):
        address = f"127.0.1.1:{base + 2}"
        while (
            await send_order(address, "/api/Config.Replace", json.dumps(document).encode()) != 200
        ):
            await anyio.sleep(0.2)
        for number, gateway in enumerate(play.gateways):
            ip, _, port = gateway.settings["callers"].rpartition(":")
            answer = Answer(f"start-{number}", gateway.name, 0.0)
            while answer.status != 200:
                try:
                    async with await anyio.connect_tcp(ip, int(port)) as stream:
                        await call(stream, answer, random.Random(0))
                except (*CONNECTION_ERRORS, h11.RemoteProtocolError):
                    pass
                await anyio.sleep(0.2)
    # The endpoints of all engines are known by then.
    await anyio.sleep(1.0)


def summarize(play, runs):
    by_request = {}
    for run in runs:
        by_request.setdefault(run.request, []).append(run)
    kinds, pauses, counted = Counter(), [0.0], {"first": 0, "second": 0, "declined": 0, "left": 0}
    for answer in play.answers:
        own = by_request.get(answer.request, [])
        kind = classify(play, answer, own)
        kinds[kind] += 1
        if kind == "complete":
            pauses.append(answer.pause_seconds)
        counted["first"] += bool(own)
        counted["second"] += max(0, len(own) - 1)
        counted["declined"] += sum(run.refused for run in own[1:])
        # Engines that went on for more than half a second after the answer ended.
        counted["left"] += sum(run.ended_at > answer.ended_at + 0.5 for run in own)
    row = {"seed": play.seed, "requests": len(play.answers)} | {
        name: kinds[name] for name in (*COLUMNS[1:], "wrong")
    }
    return row | counted | {"longest_pause_s": round(max(pauses), 2)}


def classify(play, answer, runs):
    if answer.is_whole and answer.status == 200:
        whole = b"".join(make_event(answer.request, number) for number in range(1, EVENTS + 1))
        return "complete" if answer.body == whole else "wrong"
    if answer.is_whole:
        return "refused" if answer.status == 503 else "failed"
    if not runs and not answer.status:
        return "crossed"
    if answer.ended_at - answer.sent_at >= TIMEOUT_SECONDS - 0.1:
        return "allowed"
    is_stopping = answer.gateway == play.gateways[0].name
    late_at = play.signalled_at + GRACE_SECONDS * 5 / 6
    works_late = any(run.ended_at >= late_at for run in runs)
    if is_stopping and works_late and answer.sent_at <= play.signalled_at + 3.0:
        return "allowed"
    return "cut"


def run():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--count", type=int, default=3)
    parser.add_argument("--silence", type=float, nargs="+", default=[1.2, 1.8, 3.5])
    options = parser.parse_args()
    load, rows = os.getloadavg()[0], []
    for silence in options.silence:
        for seed in range(options.seed, options.seed + options.count):
            with tempfile.TemporaryDirectory() as folder:
                row = anyio.run(play_streams, seed, silence, Path(folder))
            rows.append({"silence_s": silence} | row)
    loads = [round(load, 1), round(os.getloadavg()[0], 1)]
    report = {"benchmark": "silent_engines", "cores": os.cpu_count(), "runs": rows}
    print(json.dumps({**report, "load_average_before_and_after": loads}))
    for row in rows:
        print("  ".join(f"{name} {value}" for name, value in row.items()))


if __name__ == "__main__":
    run()
