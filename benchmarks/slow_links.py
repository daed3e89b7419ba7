"""Measure answers to callers on slow links, around a planned stop of a gateway.

Run ``python -m benchmarks.slow_links --seed 1 --count 2``; it prints one JSON object and a table.
Three replicas and two gateways run as processes of their own, three engine stand-ins in another
one, and the links between callers and gateways are a proxy in one more. A gateway that cuts an
answer while its bytes still move breaks the guarantee, unless the time of the request was used up
or the cut comes in the last sixth of the grace time.
"""

import argparse
import functools
import json
import os
import signal
import tempfile
import time
from collections import Counter
from dataclasses import dataclass
from pathlib import Path

import anyio

from benchmarks.links import Link, mark_arrived, start_proxy, stop_proxy
from benchmarks.processes import (
    CALLERS,
    ROUTE,
    SECONDS_BEFORE_SIGNAL,
    classify,
    get_late_time,
    group_runs,
    make_head,
    make_play,
    run_caller,
    run_play,
    stop_gateway,
)

EVENT_BYTES, EVENT_SECONDS = 1_000, 0.004
BODY_ROUTE = ROUTE | {"name": "bodies", "path_prefix": "/any/", "type": "idempotent"}
PATHS = ("/stream/a", "/any/a")
# Ratio of the requests that follow the answer before at once.
CLOSE_RATIO, MAX_PAUSE_SECONDS = 0.5, 1.0
# A throttled process runs for its share of each period.
THROTTLE_SECONDS, CORE_SHARES = 0.05, (0.2, 0.4)
# The stopping process may take this long beyond its grace time.
MAX_END_SECONDS = 4.0
KINDS = ("complete", "cut", "allowed", "refused", "failed", "crossed", "unconnected", "wrong")


@dataclass(frozen=True, slots=True)
class Row:
    """What one row of the table plays."""

    link: Link
    answer_bytes: int
    is_throttled: bool = False


ROWS = {
    "41 KB at 12 KB/s": Row(Link(12_000), 41_000),
    "41 KB at 20 KB/s, half late": Row(Link(20_000, late_ratio=0.5, late_seconds=2.5), 41_000),
    "101 KB at 24 KB/s": Row(Link(24_000), 101_000),
    "101 KB at 16 KB/s": Row(Link(16_000), 101_000),
    "41 KB at 60 KB/s, still 3 s": Row(
        Link(60_000, still_seconds=3.0, still_within_bytes=41_000), 41_000
    ),
    "41 KB at 60 KB/s, still 4.5 s": Row(
        Link(60_000, still_seconds=4.5, still_within_bytes=41_000), 41_000
    ),
    "41 KB at 12 KB/s, throttled": Row(Link(12_000), 41_000, is_throttled=True),
}


async def answer_bytes(
    size, engine, stream, run, headers, event_bytes=EVENT_BYTES, pause=EVENT_SECONDS
):
    """Answer with a body or an event stream, of a size in bytes."""
    if run.path.startswith("/any/"):
        body = make_body(run.request, size)
        await stream.send(make_head(run, "application/octet-stream", len(body)) + body)
        return
    first = int(headers.get(b"last-event-id", 0)) + 1
    await stream.send(make_head(run, "text/event-stream"))
    for number in range(first, size // event_bytes + 1):
        await anyio.sleep(pause)
        event = make_event(run.request, number, event_bytes)
        await stream.send(b"%x\r\n%s\r\n" % (len(event), event))
    await stream.send(b"0\r\n\r\n")


def make_event(request, number, event_bytes=EVENT_BYTES):
    event = f"id: {number}\ndata: {request}-{number}-"
    return event.ljust(event_bytes - 2, "x").encode() + b"\n\n"


def make_body(request, size):
    return f"{request}-".ljust(size, "x").encode()


def make_expected(answer, size):
    if answer.path.startswith("/any/"):
        return make_body(answer.request, size)
    numbers = range(1, size // EVENT_BYTES + 1)
    return b"".join(make_event(answer.request, number) for number in numbers)


def choose_path(generator):
    return generator.choice(PATHS)


def choose_pause(generator):
    is_close = generator.random() < CLOSE_RATIO
    return 0.0 if is_close else generator.uniform(0.0, MAX_PAUSE_SECONDS)


async def throttle(process, share):
    while True:
        process.send_signal(signal.SIGCONT)
        await anyio.sleep(THROTTLE_SECONDS * share)
        process.send_signal(signal.SIGSTOP)
        await anyio.sleep(THROTTLE_SECONDS * (1.0 - share))


async def wait_for_end(process, seconds):
    """Return the monotonic time at which a process ended, or None."""
    with anyio.move_on_after(seconds):
        while process.child.poll() is None:
            await anyio.sleep(0.01)
        return time.monotonic()


async def play_row(seed, row, folder):
    play = make_play(seed, folder)
    grace_seconds = play.gateways[0].settings["bounds"]["shutdown_grace_seconds"]
    ended_at, carried = None, []

    async def use_fleet(play):
        nonlocal ended_at, carried
        proxy = await anyio.to_thread.run_sync(start_proxy, play.addresses, row.link, seed)
        play.addresses = proxy.addresses
        async with anyio.create_task_group() as tasks:
            if row.is_throttled:
                for process, share in zip(play.gateways, CORE_SHARES, strict=True):
                    tasks.start_soon(throttle, process, share)
            async with anyio.create_task_group() as calls:
                for number in range(CALLERS):
                    calls.start_soon(run_caller, play, number, choose_path, choose_pause)
                await anyio.sleep(SECONDS_BEFORE_SIGNAL)
                stop_gateway(play)
                ended_at = await wait_for_end(play.gateways[0], grace_seconds + MAX_END_SECONDS)
                mark_arrived(proxy)
            tasks.cancel_scope.cancel()
        carried = await anyio.to_thread.run_sync(stop_proxy, proxy)

    engine = functools.partial(answer_bytes, row.answer_bytes)
    await run_play(play, [ROUTE, BODY_ROUTE], engine, use_fleet)
    return summarize(play, row, ended_at, carried)


def summarize(play, row, ended_at, carried):
    by_request, kinds, cuts = group_runs(play), Counter(), []
    refused = {item.caller_port for item in carried if item.end == "refused"}
    used_grace = ended_at is None or ended_at >= get_late_time(play)
    for answer in play.answers:
        expected = make_expected(answer, row.answer_bytes)
        kind = classify(play, answer, by_request.get(answer.request, []), expected)
        is_stopping = answer.gateway == play.gateways[0].name
        is_late = is_stopping and answer.ended_at >= get_late_time(play)
        if kind == "cut" and used_grace and is_late:
            kind = "allowed"
        if kind == "crossed" and answer.port in refused:
            # The gateway had stopped listening.
            kind = "unconnected"
        kinds[kind] += 1
        if kind not in ("complete", "unconnected"):
            cuts.append(describe_cut(play, answer, kind))
    late = [item for item in carried if item.target == 0 and item.received > item.marked >= 0]
    return {
        "seed": play.seed,
        "answers": len(play.answers),
        **{name: kinds[name] for name in KINDS},
        "cut_after_s": describe_spread([cut["after_s"] for cut in cuts if cut["kind"] == "cut"]),
        "cut_after_signal": sum(cut["kind"] == "cut" and cut["signal_s"] > 0 for cut in cuts),
        "end_s": ended_at and round(ended_at - play.signalled_at, 2),
        "links_with_later_bytes": len(late),
        "of_these_reset": sum(item.end == "reset" for item in late),
        "later_bytes": sum(item.received - item.marked for item in late),
        "cuts": cuts,
    }


def describe_cut(play, answer, kind):
    return {
        "request": answer.request,
        "kind": kind,
        "stopping": answer.gateway == play.gateways[0].name,
        "after_s": round(answer.ended_at - answer.sent_at, 2),
        "signal_s": round(answer.ended_at - play.signalled_at, 2),
        "received_bytes": len(answer.body),
        "silent_s": round(answer.ended_at - (answer.received_at or answer.sent_at), 2),
    }


def describe_spread(seconds):
    return f"{min(seconds)} to {max(seconds)}" if seconds else "-"


def run():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--count", type=int, default=2)
    parser.add_argument("--rows", nargs="+", default=list(ROWS), choices=list(ROWS))
    options = parser.parse_args()
    load, rows = os.getloadavg()[0], []
    for name in options.rows:
        for seed in range(options.seed, options.seed + options.count):
            with tempfile.TemporaryDirectory() as folder:
                row = anyio.run(play_row, seed, ROWS[name], Path(folder))
            rows.append({"row": name} | row)
    loads = [round(load, 1), round(os.getloadavg()[0], 1)]
    report = {"benchmark": "slow_links", "cores": os.cpu_count(), "runs": rows}
    print(json.dumps({**report, "load_average_before_and_after": loads}))
    for row in rows:
        print("  ".join(f"{name} {value}" for name, value in row.items() if name != "cuts"))


if __name__ == "__main__":
    run()
