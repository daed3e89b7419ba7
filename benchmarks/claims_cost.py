"""Measure the cost of a claim and a completion, and the memory of the state of a claims group.

Run ``python -m benchmarks.claims_cost``; it prints one line of JSON and a table.
"""

import gc
import json
import time
import tracemalloc
import uuid

from marjorambridge.claims import digests
from marjorambridge.claims import state_machine as machines
from marjorambridge.claims.commands import Batch, Claim, Complete, encode_batch
from marjorambridge.claims.messages import RecordedAnswer

EPOCH = 1_700_000_000.0
CLAIMS = 50_000
DIGESTS = 1_000_000
BATCHES = (1, 16, 256)
ANSWER = RecordedAnswer(
    201, (("content-type", "application/json"),), b'{"slot": 17, "pit": "Mandvi 3"}' * 4
)


def make_key(number):
    milliseconds = int(EPOCH * 1000) + number
    return str(uuid.UUID(int=milliseconds << 80 | 7 << 76 | 2 << 62 | number))


def build_claim(number):
    key = make_key(number)
    digest = digests.compute_key_digest("workspace", key)
    fingerprint = digests.compute_fingerprint_digest("f" * 32)
    return Claim(digest, fingerprint, digests.parse_key_date(key), "host-17", 3, number)


def build_completion(number):
    digest = digests.compute_key_digest("workspace", make_key(number))
    return Complete(digest, "host-17", 3, number, machines.encode_answer(ANSWER))


def measure_commands(build, machine, batch):
    """Return bytes in the log and microseconds of leader and replica for each command."""
    payloads = []
    started = time.process_time()
    for first in range(0, CLAIMS, batch):
        commands = tuple(build(number) for number in range(first, min(first + batch, CLAIMS)))
        payloads.append(encode_batch(Batch(EPOCH, commands)))
    leader = time.process_time() - started
    started = time.process_time()
    for payload in payloads:
        machines.apply_entry(machine, payload)
    applied = time.process_time() - started
    return {
        "log_bytes": round(sum(map(len, payloads)) / CLAIMS, 1),
        "build_and_encode_us": round(leader / CLAIMS * 1e6, 2),
        "decode_and_apply_us": round(applied / CLAIMS * 1e6, 2),
    }


def measure_memory(build):
    """Return the bytes that stay allocated by `build`, and its result."""
    gc.collect()
    tracemalloc.start()
    built = build()
    gc.collect()
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return size, built


def build_open_claims():
    machine = machines.ClaimsStateMachine()
    for first in range(0, CLAIMS, 256):
        commands = tuple(build_claim(n) for n in range(first, min(first + 256, CLAIMS)))
        machines.apply_entry(machine, encode_batch(Batch(EPOCH, commands)))
    return machine


def build_kept_answers():
    machine = build_open_claims()
    for first in range(0, CLAIMS, 256):
        commands = tuple(build_completion(n) for n in range(first, min(first + 256, CLAIMS)))
        machines.apply_entry(machine, encode_batch(Batch(EPOCH, commands)))
    return machine


def build_tombstones(count):
    table = digests.DigestTable()
    for number in range(count):
        digest = digests.compute_key_digest("workspace", str(number))
        digests.add_digest(table, digest, 472_222)
    return table


def measure_lookup(table, count):
    names = [digests.compute_key_digest("other", str(number)) for number in range(20_000)]
    started = time.process_time()
    for name in names:
        digests.has_digest(table, name, 472_000)
    return round((time.process_time() - started) / len(names) * 1e6, 2)


def run():
    result = {"claims": CLAIMS, "answer_bytes": len(machines.encode_answer(ANSWER))}
    for batch in BATCHES:
        machine = machines.ClaimsStateMachine()
        result[f"claim, batch {batch}"] = measure_commands(build_claim, machine, batch)
        result[f"completion, batch {batch}"] = measure_commands(build_completion, machine, batch)
    size, machine = measure_memory(build_open_claims)
    result["open claim"] = {"memory_bytes": round(size / CLAIMS, 1)}
    size, machine = measure_memory(build_kept_answers)
    result["kept answer"] = {
        "memory_bytes": round(size / CLAIMS, 1),
        "memory_bytes_besides_answer": round(size / CLAIMS - result["answer_bytes"], 1),
    }
    started = time.process_time()
    snapshot = machines.take_snapshot(machine)
    snapshot_taken_at = time.process_time()
    machines.restore_snapshot(snapshot)
    result["snapshot of kept answers"] = {
        "bytes_each": round(len(snapshot) / CLAIMS, 1),
        "take_us_each": round((snapshot_taken_at - started) / CLAIMS * 1e6, 2),
        "restore_us_each": round((time.process_time() - snapshot_taken_at) / CLAIMS * 1e6, 2),
    }
    for count in (CLAIMS, DIGESTS):
        size, table = measure_memory(lambda count=count: build_tombstones(count))
        started = time.process_time()
        digests.sweep_digests(table, 472_001, digests.PARTITIONS)
        swept = time.process_time() - started
        result[f"tombstone, {count} kept"] = {
            "memory_bytes": round(size / count, 1),
            "lookup_us": measure_lookup(table, count),
            "sweep_us_each": round(swept / count * 1e6, 3),
        }
    print(json.dumps(result))
    for name, values in result.items():
        if isinstance(values, dict):
            cells = "  ".join(f"{key} {value}" for key, value in values.items())
            print(f"{name:28} {cells}")


if __name__ == "__main__":
    run()
