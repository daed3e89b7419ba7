"""Measure serving by real host processes and stand-in engines on loopback, and by a naive proxy.

Run ``python -m benchmarks.serving sangh light``; the sites are ``sangh`` and ``hubertus``, the
loads ``light`` and ``busy``. It prints one JSON object and a table. Arrivals are an open loop with
seeded Poisson times. Engines prefill faster than the stand-in's default by the load's scale, and
callers stop after 16 output tokens, so that a run is short and the machine is not saturated.
"""

import asyncio
import json
import os
import random
import signal
import statistics
import subprocess
import sys
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path

from marjorambridge.configuration.commands import (
    PutService,
    PutWorkspace,
    PutZone,
    SetZoneIn,
    SetZoneOut,
)
from marjorambridge.configuration.models import Service, ServiceKind, Workspace
from marjorambridge.standins import fleet as local


@dataclass(slots=True)
class Load:
    """Hold the speed-up of the engines, and the rate and mix of long jobs."""

    prefill_scale: float
    long_requests_per_second: float
    long_mix: tuple[tuple[int, float], ...]


SITES = {
    "sangh": (25, "geru-model", ("bhuj", "anjar", "mandvi")),
    "hubertus": (20, "sprachdienst", ("halle-nord", "halle-sued", "buero")),
}
HOSTS = 8
ENGINE = {
    "kv_capacity_tokens": 450_000,
    "decode_tokens_per_second": 100.0,
    "concurrency": 8,
    "bytes_per_token": 4.0,
    "step_seconds": 0.01,
    "starts_cold": False,
}
RESTARTED_ENGINE = {"starts_cold": True, "cold_seconds": 5.0}
KEY = "workspace-key-of-the-benchmark"
OUTPUT_TOKENS = 16
TIMEOUT_SECONDS = 90.0
SHORT_MIX = ((1_000, 0.7), (4_000, 0.3))
SHORT_REQUESTS_PER_SECOND, WARMUP_REQUESTS_PER_SECOND = 20.0, 40.0
DEFAULT_PREFILL_TOKENS_PER_SECOND = 20_000.0
WARMUP_SECONDS, SHORT_SECONDS, MIXED_SECONDS, ZONE_SECONDS = 10.0, 15.0, 25.0, 26.0
# Times of the zone phase: of the zone-out after the begin of the phase, and of the others after the
# zone-out was accepted.
ZONE_OUT_AFTER_SECONDS, KILL_AFTER_SECONDS, RESTART_AFTER_SECONDS, ZONE_IN_AFTER_SECONDS = (
    4.0,
    6.0,
    8.0,
    11.0,
)
ACCEPTED_GRACE_SECONDS = 3.0
TARGET_SLOWDOWN = 1.2

LOADS = {
    "light": Load(5, 2.5, ((16_000, 0.55), (64_000, 0.25), (256_000, 0.12), (1_000_000, 0.08))),
    "busy": Load(1.5, 4.0, ((16_000, 0.55), (64_000, 0.30), (256_000, 0.13), (1_000_000, 0.02))),
}


@dataclass(slots=True)
class Result:
    """Hold the outcome of a request as its caller observes it; times are in seconds."""

    tokens: int
    at: float
    status: int = 0
    first_token: float | None = None
    complete: bool = False
    error: str = ""


def generate_arrivals(seed, seconds, rate, mix):
    """Return (time, prompt tokens) of Poisson arrivals."""
    rng = random.Random(seed)
    arrivals, now = [], rng.expovariate(rate)
    while now < seconds:
        arrivals.append((now, rng.choices([n for n, _ in mix], [w for _, w in mix])[0]))
        now += rng.expovariate(rate)
    return arrivals


async def call(address, service, result, name):
    """Stream one completion and record the outcome."""
    prompt = f"{name} ".ljust(4 * result.tokens, "x")
    body = {"model": service, "prompt": prompt, "max_tokens": OUTPUT_TOKENS, "stream": True}
    data = json.dumps(body).encode()
    ip, _, port = address.rpartition(":")
    sent = time.monotonic()
    try:
        reader, writer = await asyncio.open_connection(ip, int(port), limit=1 << 20)
        writer.write(
            b"POST /v1/completions HTTP/1.1\r\nhost: fleet\r\nconnection: close\r\n"
            b"content-type: application/json\r\nx-request-timeout: %d\r\n"
            b"authorization: Bearer %s\r\ncontent-length: %d\r\n\r\n"
            % (TIMEOUT_SECONDS, KEY.encode(), len(data))
            + data
        )
        try:
            await writer.drain()
            await read_answer(reader, result, sent)
        finally:
            writer.close()
    except (OSError, ValueError, asyncio.IncompleteReadError) as error:
        result.error = result.error or repr(error)


async def read_answer(reader, result, sent):
    head = await reader.readuntil(b"\r\n\r\n")
    result.status = int(head.split()[1])
    while line := await reader.readline():
        if result.status != 200 or b'"error"' in line:
            result.error += line.decode("utf-8", "replace").strip()[:200]
        elif line.startswith(b"data: [DONE]"):
            result.complete = True
        elif result.first_token is None and b'"text":"' in line and b'"text":""' not in line:
            result.first_token = time.monotonic() - sent


async def run_load(addresses, service, phase, arrivals):
    """Send all arrivals at their times and return the results when the last one ended."""
    begin = time.monotonic()
    tasks, results = [], []
    for number, (at, tokens) in enumerate(sorted(arrivals)):
        await asyncio.sleep(max(0.0, begin + at - time.monotonic()))
        result = Result(tokens, at)
        results.append(result)
        address = addresses[number % len(addresses)]
        tasks.append(asyncio.create_task(call(address, service, result, f"{phase} {number}")))
    for task in tasks:
        try:
            await asyncio.wait_for(task, TIMEOUT_SECONDS + 10.0)
        except TimeoutError:
            continue
    return results


def read_inventory(endpoint):
    return json.loads(local.send_request(endpoint.address, "GET", "/control/inventory")[2])


def count_starts(endpoints):
    return sum(len(read_inventory(endpoint)["starts"]) for endpoint in endpoints)


def count_overloads(endpoints):
    inventories = [read_inventory(endpoint) for endpoint in endpoints]
    return sum(1 for item in inventories if item["overloads"])


async def restart_zone(fleet, zone, sends_commands):
    """Set a zone out, restart its engines and set it in; return the number of late starts."""
    run = asyncio.to_thread
    endpoints = [item for item in fleet.endpoints.values() if item.settings["zone"] == zone]
    host = next(iter(fleet.hosts.values()))
    await asyncio.sleep(ZONE_OUT_AFTER_SECONDS)
    if sends_commands:
        status, answer = await run(local.submit_changes, host, [SetZoneOut(zone)])
        if status != 200:
            raise local.FleetError(f"the zone-out was refused: {answer}; look at the hosts' logs")
    accepted = time.monotonic()
    await asyncio.sleep(ACCEPTED_GRACE_SECONDS)
    before = await run(count_starts, endpoints)
    await asyncio.sleep(max(0.0, accepted + KILL_AFTER_SECONDS - time.monotonic()))
    late_starts = await run(count_starts, endpoints) - before
    for endpoint in endpoints:
        local.send_signal(endpoint.process, signal.SIGKILL)
    await asyncio.sleep(max(0.0, accepted + RESTART_AFTER_SECONDS - time.monotonic()))
    for endpoint in endpoints:
        await run(local.stop_process, endpoint.process, True)
        endpoint.settings.update(RESTARTED_ENGINE)
        local.start_endpoint(fleet, endpoint.name)
    await asyncio.sleep(max(0.0, accepted + ZONE_IN_AFTER_SECONDS - time.monotonic()))
    late_starts += await run(count_starts, endpoints)
    if sends_commands:
        await run(local.submit_changes, host, [SetZoneIn(zone)])
    return late_starts


def summarize(results):
    """Return counts, goodput and the times to first token by prompt length."""
    lengths = {}
    for tokens in sorted({item.tokens for item in results}):
        times = [i.first_token for i in results if i.tokens == tokens and i.first_token is not None]
        lengths[tokens] = {
            "sent": sum(i.tokens == tokens for i in results),
            **compute_percentiles(times),
        }
        lengths[tokens]["complete"] = sum(i.complete for i in results if i.tokens == tokens)
    short = [i.first_token for i in results if i.tokens <= 4_000 and i.first_token is not None]
    failed = [item for item in results if not item.complete]
    reasons = {}
    for item in failed:
        reason = item.error[:90] or f"status {item.status} cut"
        reasons[reason] = reasons.get(reason, 0) + 1
    return {
        "sent": len(results),
        "complete": len(results) - len(failed),
        "goodput": round(1.0 - len(failed) / len(results), 4),
        "failures": reasons,
        "by_length": lengths,
        "short": compute_percentiles(short),
    }


def compute_percentiles(times):
    if not times:
        return {"p50": None, "p95": None}
    cuts = statistics.quantiles(times, n=20, method="inclusive") if len(times) > 1 else times * 19
    return {"p50": round(cuts[9], 3), "p95": round(cuts[18], 3)}


async def measure(fleet, addresses, service, zone, load, sends_commands, seed=11):
    """Run all phases against one system."""
    short = generate_arrivals(seed, MIXED_SECONDS, SHORT_REQUESTS_PER_SECOND, SHORT_MIX)
    long_arrivals = generate_arrivals(
        seed + 1, MIXED_SECONDS, load.long_requests_per_second, load.long_mix
    )
    alone = [item for item in short if item[0] < SHORT_SECONDS]
    answer = {"alone": summarize(await run_load(addresses, service, "alone", alone))}
    answer["mixed"] = summarize(await run_load(addresses, service, "mixed", short + long_arrivals))
    restarting = asyncio.create_task(restart_zone(fleet, zone, sends_commands))
    arrivals = generate_arrivals(seed + 2, ZONE_SECONDS, SHORT_REQUESTS_PER_SECOND, SHORT_MIX)
    arrivals += generate_arrivals(
        seed + 3, ZONE_SECONDS, load.long_requests_per_second, load.long_mix[:2]
    )
    results = await run_load(addresses, service, "zone", arrivals)
    answer["zone"] = summarize(results)
    answer["zone"]["starts_in_zone_later_than_3_s"] = await restarting
    endpoints = list(fleet.endpoints.values())
    answer["zone"]["engines_over_cold_limit"] = await asyncio.to_thread(count_overloads, endpoints)
    slow, fast = answer["mixed"]["short"]["p95"], answer["alone"]["short"]["p95"]
    answer["short_slowdown_p95"] = round(slow / fast, 2) if slow and fast else None
    # The longer of the short prompts dominate the overall percentile, so lengths are also compared.
    alone, mixed = answer["alone"]["by_length"], answer["mixed"]["by_length"]
    answer["slowdown_p95_by_length"] = {
        tokens: round(mixed[tokens]["p95"] / alone[tokens]["p95"], 2) for tokens in alone
    }
    return answer


def start_fleet(fleet, engines, service, zones, load):
    for name in fleet.hosts:
        local.start_host(fleet, name)
    local.wait_ready(fleet)
    changes = [PutZone(zone, "region-1") for zone in zones]
    changes.append(PutService(Service(service, ServiceKind.ENGINE, zones, bytes_per_token=4.0)))
    changes.append(PutWorkspace(Workspace("bench", (local.hash_secret(KEY),), (service,))))
    local.apply_changes(fleet, changes)
    settings = {
        **ENGINE,
        "prefill_tokens_per_second": DEFAULT_PREFILL_TOKENS_PER_SECOND * load.prefill_scale,
    }
    for number in range(engines):
        zone = zones[number % len(zones)]
        local.add_engine(fleet, f"engine-{number}", service=service, zone=zone, **settings)
    local.wait_until(
        lambda: local.count_known_endpoints(fleet, service) >= engines, "engines are registered"
    )


def count_warm(fleet):
    states = [local.read_state(host) for host in fleet.hosts.values()]
    shards = [shard for state in states if state for shard in state["shards"]]
    return sum(item["warm"] for shard in shards for item in shard["endpoints"])


async def measure_systems(fleet, site, load):
    engines, service, zones = SITES[site]
    callers = [host.caller_address for host in fleet.hosts.values()]
    warmup = generate_arrivals(7, WARMUP_SECONDS, WARMUP_REQUESTS_PER_SECOND, ((1_000, 1.0),))
    await run_load(callers, service, "warm", warmup)
    answer = {"warm_engines": await asyncio.to_thread(count_warm, fleet)}
    answer["marjorambridge"] = await measure(fleet, callers, service, zones[0], load, True)
    for item in fleet.endpoints.values():
        # The baseline begins with engines without load, cold period or counted overload.
        await asyncio.to_thread(local.stop_process, item.process, True)
        item.settings.update(starts_cold=False)
        local.start_endpoint(fleet, item.name)
    port = local.find_free_ports(1)[0]
    addresses = [item.address for item in fleet.endpoints.values()]
    command = [sys.executable, "-m", "benchmarks.naive", str(port), *addresses]
    process = subprocess.Popen(command)
    try:
        await asyncio.sleep(3.0)
        addresses = [f"127.0.0.1:{port}"]
        answer["naive"] = await measure(fleet, addresses, service, zones[0], load, False)
    finally:
        local.stop_process(process, True)
    return answer


def print_table(report):
    for system in ("marjorambridge", "naive"):
        values = report[system]
        print(f"\n{system}: slowdown of short requests {values['short_slowdown_p95']}")
        print(f"  by length {values['slowdown_p95_by_length']}")
        for phase in ("alone", "mixed", "zone"):
            part = values[phase]
            print(f"  {phase}: {part['complete']} of {part['sent']} complete")
            for tokens, row in part["by_length"].items():
                times = f"p50 {row['p50']}  p95 {row['p95']}"
                print(f"    {tokens:>9} tokens  n {row['sent']:>4}  {times}")
        zone = values["zone"]
        print(f"  starts later than 3 s {zone['starts_in_zone_later_than_3_s']}")
        print(f"  engines over cold limit {zone['engines_over_cold_limit']}")


def run():
    site, name = sys.argv[1:3] if len(sys.argv) > 2 else ("sangh", "light")
    engines, service, zones = SITES[site]
    load = LOADS[name]
    with tempfile.TemporaryDirectory() as folder:
        fleet = local.create_fleet(Path(folder), hosts=HOSTS, zones=zones)
        try:
            start_fleet(fleet, engines, service, zones, load)
            before = os.getloadavg()[0]
            report = asyncio.run(measure_systems(fleet, site, load))
        finally:
            local.close_fleet(fleet)
    report = {
        "benchmark": "serving",
        "site": site,
        "load": name,
        "engines": engines,
        "prefill_scale": load.prefill_scale,
        "cores": os.cpu_count(),
        "load_average_before_and_after": [round(before, 1), round(os.getloadavg()[0], 1)],
        "target_slowdown": TARGET_SLOWDOWN,
        **report,
    }
    print(json.dumps(report))
    print_table(report)


if __name__ == "__main__":
    run()
