"""Measure what many callers that read long answers slowly cost a gateway, and the others.

Run ``python -m benchmarks.slow_readers``; it prints one JSON object and a table. All callers use
one gateway: some send short requests all the time, and after some seconds many more read long
streams over slow links. Then the gateway is told to stop; connections for short requests that it
refuses from then on count as failed. Bytes that its callers have not acknowledged are read from
``/proc/net/tcp``, the memory of all TCP connections of the machine, including those of other
programs, from ``/proc/net/sockstat``.
"""

import argparse
import json
import os
import random
import statistics
import tempfile
import time
from dataclasses import dataclass, field
from pathlib import Path

import anyio
import h11

from benchmarks.links import Link, start_proxy, stop_proxy
from benchmarks.processes import ROUTE, Answer, call, connect, make_play, run_play, stop_gateway
from benchmarks.slow_links import (
    BODY_ROUTE,
    MAX_END_SECONDS,
    answer_bytes,
    describe_spread,
    wait_for_end,
)
from benchmarks.streams import read_cpu, read_memory
from tests.soak.endpoints import CONNECTION_ERRORS

# Engines send each stream several times as fast as its caller reads, in few events, so that
# forwarding them costs little.
EVENT_BYTES, EVENT_SECONDS = 10_000, 0.1
READERS, ANSWER_BYTES, LINK = 100, 2_000_000, Link(16_000)
SHORT_CALLERS, SHORT_PAUSE_SECONDS, SHORT_BYTES = 8, 0.02, 1_000
# Time limit of the slow requests, longer than the rest of the run.
TIMEOUT_SECONDS = 60.0
SLOTS = 200
ALONE_SECONDS, TOGETHER_SECONDS, SAMPLE_SECONDS = 5.0, 15.0, 0.25
SETTLE_SECONDS = 2.0
ROUTES = [route | {"timeout_ms": TIMEOUT_SECONDS * 1000} for route in (ROUTE, BODY_ROUTE)]
# State of a socket in ``/proc/net/tcp``.
LISTENING = "0A"
PHASES = ("alone", "together", "stopping")


@dataclass
class Measured:
    """What was measured, by phase of the run.

    Attributes
    ----------
    short : list of tuple
        Phase, monotonic time of sending in seconds, and seconds or None without an answer.
    samples : list of dict
        Memory at a time.
    """

    phase: str = PHASES[0]
    short: list[tuple] = field(default_factory=list)
    samples: list[dict] = field(default_factory=list)
    slow: list[Answer] = field(default_factory=list)


async def answer_request(engine, stream, run, headers):
    size = SHORT_BYTES if run.path.startswith("/any/") else ANSWER_BYTES
    await answer_bytes(size, engine, stream, run, headers, EVENT_BYTES, EVENT_SECONDS)


async def send_request(address, answer, seconds):
    """Return whether a request on a new connection was answered completely."""
    try:
        async with await connect(address) as stream:
            await call(stream, answer, random.Random(0), seconds)
    except (*CONNECTION_ERRORS, h11.RemoteProtocolError):
        pass
    answer.ended_at = time.monotonic()
    return answer.is_whole and answer.status == 200


async def send_short_requests(play, measured, number):
    count = 0
    while True:
        count += 1
        sent_at, phase = time.monotonic(), measured.phase
        answer = Answer(f"short-{number}-{count}", "", sent_at, "/any/a")
        is_complete = await send_request(play.gateways[0].settings["callers"], answer, 10.0)
        measured.short.append((phase, sent_at, answer.ended_at - sent_at if is_complete else None))
        await anyio.sleep(SHORT_PAUSE_SECONDS)


async def read_slowly(address, measured, number):
    answer = Answer(f"slow-{number}", "", time.monotonic())
    measured.slow.append(answer)
    await send_request(address, answer, TIMEOUT_SECONDS)


async def sample(play, measured):
    process, began_at = play.gateways[0].child, time.monotonic()
    port = int(play.gateways[0].settings["callers"].rpartition(":")[2])
    engine_port = play.base + 11
    while True:
        row = {"s": round(time.monotonic() - began_at, 2), "phase": measured.phase}
        row |= count_bytes(port, engine_port) | {"tcp_memory_kb": read_tcp_memory() // 1024}
        # The memory of a process that has ended is not readable.
        is_running = process.poll() is None
        row["rss_kb"] = read_memory(process.pid) // 1024 if is_running else 0
        row["cpu_s"] = round(read_cpu(process.pid), 2) if is_running else 0.0
        measured.samples.append(row)
        await anyio.sleep(SAMPLE_SECONDS)


def count_bytes(port, engine_port):
    """Return what the kernel holds for a gateway's callers, and what engines sent it."""
    unacknowledged, unread = [], 0
    for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
        _, local, remote, state, queues, *_ = line.split()
        sent, received = (int(part, 16) for part in queues.split(":"))
        if int(local.rpartition(":")[2], 16) == port and state != LISTENING:
            unacknowledged.append(sent)
        elif int(remote.rpartition(":")[2], 16) == engine_port:
            unread += received
    return {
        "connections": len(unacknowledged),
        "unacknowledged_kb": sum(unacknowledged) // 1024,
        "most_of_one_kb": max(unacknowledged, default=0) // 1024,
        "unread_of_engines_kb": unread // 1024,
    }


def read_tcp_memory():
    line = next(
        line for line in Path("/proc/net/sockstat").read_text().splitlines() if "TCP:" in line
    )
    return int(line.split()[-1]) * os.sysconf("SC_PAGE_SIZE")


async def play_readers(seed, readers, folder):
    play, measured, ended_at = make_play(seed, folder), Measured(), None
    play.slots = SLOTS
    grace_seconds = play.gateways[0].settings["bounds"]["shutdown_grace_seconds"]

    async def use_fleet(play):
        nonlocal ended_at
        proxy = await anyio.to_thread.run_sync(start_proxy, play.addresses[:1], LINK, seed)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(sample, play, measured)
            for number in range(SHORT_CALLERS):
                tasks.start_soon(send_short_requests, play, measured, number)
            await anyio.sleep(ALONE_SECONDS)
            measured.phase = "together"
            for number in range(readers):
                tasks.start_soon(read_slowly, proxy.addresses[0], measured, number)
            await anyio.sleep(TOGETHER_SECONDS)
            measured.phase = "stopping"
            stop_gateway(play)
            ended_at = await wait_for_end(play.gateways[0], grace_seconds + MAX_END_SECONDS)
            measured.phase = "ended"
            await anyio.sleep(SETTLE_SECONDS)
            tasks.cancel_scope.cancel()
        await anyio.to_thread.run_sync(stop_proxy, proxy)

    await run_play(play, ROUTES, answer_request, use_fleet)
    log = play.gateways[0].logs[-1].read_text(errors="replace").splitlines()
    notes = [line[:400] for line in log if "WARNING" in line or "cut" in line]
    return summarize(play, measured, ended_at, readers) | {"log": notes[-60:]}


def summarize(play, measured, ended_at, readers):
    row = {"seed": play.seed, "readers": readers}
    for phase in PHASES:
        seconds = [item[2] for item in measured.short if item[0] == phase and item[2] is not None]
        row[f"{phase}_short"] = len(seconds)
        row[f"{phase}_short_failed"] = sum(
            item[0] == phase and item[2] is None for item in measured.short
        )
        if len(seconds) > 1:
            cuts = statistics.quantiles(seconds, n=100)
            row[f"{phase}_p50_ms"], row[f"{phase}_p99_ms"] = (
                round(1000 * cuts[rank], 1) for rank in (49, 98)
            )
        samples = [item for item in measured.samples if item["phase"] == phase]
        for name in (
            "unacknowledged_kb",
            "most_of_one_kb",
            "unread_of_engines_kb",
            "tcp_memory_kb",
            "rss_kb",
        ):
            row[f"{phase}_{name}"] = max((item[name] for item in samples), default=0)
        running = [item for item in samples if item["rss_kb"]]
        if len(running) > 1:
            used = running[-1]["cpu_s"] - running[0]["cpu_s"]
            row[f"{phase}_cores"] = round(used / (running[-1]["s"] - running[0]["s"]), 2)
    ended = [answer for answer in measured.slow if answer.ended_at]
    early = [answer for answer in ended if answer.ended_at < play.signalled_at]
    row |= {
        "slow_ended_before_signal": len(early),
        "slow_ended_after_signal": len(ended) - len(early),
        "slow_complete": sum(answer.is_whole and answer.status == 200 for answer in measured.slow),
        "slow_refused": sum(answer.is_whole and answer.status != 200 for answer in measured.slow),
        "slow_s": describe_spread([round(item.ended_at - item.sent_at, 1) for item in ended]),
        "slow_after_signal_s": describe_spread(
            [round(item.ended_at - play.signalled_at, 1) for item in ended]
        ),
        "end_s": ended_at and round(ended_at - play.signalled_at, 2),
    }
    return row | {"samples": measured.samples}


def run():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--readers", type=int, nargs="+", default=[0, READERS])
    options = parser.parse_args()
    load, rows = os.getloadavg()[0], []
    for readers in options.readers:
        with tempfile.TemporaryDirectory() as folder:
            rows.append(anyio.run(play_readers, options.seed, readers, Path(folder)))
    loads = [round(load, 1), round(os.getloadavg()[0], 1)]
    report = {"benchmark": "slow_readers", "cores": os.cpu_count(), "runs": rows}
    print(json.dumps({**report, "load_average_before_and_after": loads}))
    for row in rows:
        for name, value in row.items():
            if name not in ("samples", "log"):
                print(f"{name} {value}")
        print()


if __name__ == "__main__":
    run()
