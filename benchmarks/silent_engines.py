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
import os
import tempfile
from collections import Counter
from pathlib import Path

import anyio

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

EVENTS, EVENT_SECONDS = 33, 0.06
SILENT_AFTER, SILENT_RATIO = 16, 0.6
# Ratio of the streams to be continued that each engine refuses.
REFUSED_RATIOS = {"i-0": 0.6, "i-1": 0.75, "i-2": 0.9}
COLUMNS = ("requests", "complete", "cut", "allowed", "refused", "failed", "crossed")


async def answer_stream(silence_seconds, engine, stream, run, headers):
    first = int(headers.get(b"last-event-id", 0)) + 1
    if first > 1 and engine.random.random() < REFUSED_RATIOS[engine.name]:
        run.refused = True
        base = f"X-Request-Id: {run.request}\r\n"
        text = f"HTTP/1.1 503 Full\r\n{base}X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
        await stream.send(text.encode())
        return
    is_silent = first == 1 and engine.random.random() < SILENT_RATIO
    await stream.send(make_head(run, "text/event-stream"))
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


async def use_fleet(play):
    def choose_path(generator):
        return "/stream/a"

    def choose_pause(generator):
        return generator.uniform(0.0, 0.1)

    async with anyio.create_task_group() as tasks:
        for number in range(CALLERS):
            tasks.start_soon(run_caller, play, number, choose_path, choose_pause)
        await anyio.sleep(SECONDS_BEFORE_SIGNAL)
        stop_gateway(play)


async def play_streams(seed, silence_seconds, folder):
    play = make_play(seed, folder)
    await run_play(play, [ROUTE], functools.partial(answer_stream, silence_seconds), use_fleet)
    return summarize(play)


def summarize(play):
    by_request = group_runs(play)
    kinds, pauses, counted = Counter(), [0.0], {"first": 0, "second": 0, "declined": 0, "left": 0}
    for answer in play.answers:
        own = by_request.get(answer.request, [])
        kind = classify_stream(play, answer, own)
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


def classify_stream(play, answer, runs):
    whole = b"".join(make_event(answer.request, number) for number in range(1, EVENTS + 1))
    kind = classify(play, answer, runs, whole)
    is_stopping = answer.gateway == play.gateways[0].name
    works_late = any(run.ended_at >= get_late_time(play) for run in runs)
    if kind == "cut" and is_stopping and works_late and answer.sent_at <= play.signalled_at + 3.0:
        return "allowed"
    return kind


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
