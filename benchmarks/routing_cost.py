"""Measure the cost of one decision of a shard owner for several sizes of the shard.

Run it as ``python benchmarks/routing_cost.py``. It prints one JSON object and a table. A decision
is one `step` with a `PermitRequest` that is granted; the renewals and releases between the
decisions keep the load constant and are measured apart.
"""

import gc
import json
import random
import statistics
import time

from marjorambridge.configuration.models import (
    AvailabilityZone,
    Configuration,
    Service,
    ServiceKind,
)
from marjorambridge.core.effects import SendMessage
from marjorambridge.core.events import (
    ConfigurationApplied,
    FreshnessChanged,
    MessageReceived,
    ViewApplied,
)
from marjorambridge.core.identity import AttemptId
from marjorambridge.core.view import HostEntry, View
from marjorambridge.limits.events import EndpointAnnounced
from marjorambridge.limits.messages import (
    Announcement,
    PermitCancel,
    PermitGranted,
    PermitRelease,
    PermitRequest,
)
from marjorambridge.limits.ramp import Ramp
from marjorambridge.limits.reducer import step
from marjorambridge.limits.shard import refresh_endpoint
from marjorambridge.limits.state import LimitsState, create_state

SIZES = (25, 100, 1_000, 10_000)
DECISIONS = 5_000
CONCURRENCY = 16
CAPACITY_TOKENS = 400_000
SHARD = "model/zone-1/0"

# Queued requests while releases that grant from the queue are measured.
QUEUED_REQUESTS = 400

# Share of all slots that are in use while decisions are measured.
LOAD_RATIO = 0.7


def create_owner(size: int) -> LimitsState:
    """Return an owner of one shard with `size` warm endpoints that may grant permits."""
    state = create_state("host-1", "region", seed=1)
    service = Service("model", ServiceKind.ENGINE, ("zone-1",))
    configuration = Configuration(
        1, {"model": service}, {}, {"zone-1": AvailabilityZone("zone-1", "region")}
    )
    entry = HostEntry("host-1", 1, "127.0.0.1:1", "zone-1", "region")
    step(state, ConfigurationApplied(0.0, 1, configuration))
    step(state, ViewApplied(0.0, 2, View(2, {"host-1": entry})))
    step(state, FreshnessChanged(3.0, 1e9))
    for number in range(size):
        announcement = Announcement(
            f"endpoint-{number}",
            1,
            "supplier",
            "model",
            "zone-1",
            f"127.0.0.1:{number}",
            kv_capacity_tokens=CAPACITY_TOKENS,
            concurrency=CONCURRENCY,
        )
        step(state, EndpointAnnounced(3.0, announcement))
    shard = state.shards[SHARD]
    for name, endpoint in shard.endpoints.items():
        endpoint.ramp = Ramp(CONCURRENCY, limit=CONCURRENCY, warm=True)
        refresh_endpoint(shard, name, state.settings, 3.0)
    return state


def generate_request(rng: random.Random, number: int) -> PermitRequest:
    """Return a request with a random prompt length and one of 200 shared prefixes."""
    prompt = int(min(300_000, 1_000 * rng.paretovariate(1.1)))
    head = rng.randrange(200)
    prefix = tuple(f"{head:04}{depth:04}".encode() for depth in range(min(8, prompt // 256)))
    return PermitRequest(
        AttemptId("host-2", 1, number),
        1,
        SHARD,
        f"workspace-{number % 10}",
        1.0,
        prompt,
        256,
        60.0,
        prefix,
        tuple(256 * (depth + 1) for depth in range(len(prefix))),
    )


def measure_decisions(size: int) -> dict[str, float]:
    """Return the cost of decisions and releases in microseconds."""
    rng = random.Random(size)
    state = create_owner(size)
    running: list[AttemptId] = []
    target = int(size * CONCURRENCY * LOAD_RATIO)
    decisions, releases = [], []
    granted = 0
    now = 4.0
    for number in range(1, target + DECISIONS + 1):
        event = MessageReceived(now, "host-2", 1, generate_request(rng, number))
        begin = time.perf_counter_ns()
        effects = step(state, event)
        cost = (time.perf_counter_ns() - begin) / 1000
        answers = [item.message for item in effects if isinstance(item, SendMessage)]
        grants = [item.permit for item in answers if isinstance(item, PermitGranted)]
        running += grants
        if not grants:
            step(
                state, MessageReceived(now, "host-2", 1, PermitCancel(event.message.permit, SHARD))
            )
        if number > target:
            decisions.append(cost)
            granted += bool(grants)
        while len(running) > target:
            position = rng.randrange(len(running))
            running[position], running[-1] = running[-1], running[position]
            release = PermitRelease(running.pop(), SHARD, True, False, True, 0.5)
            event = MessageReceived(now, "host-2", 1, release)
            begin = time.perf_counter_ns()
            step(state, event)
            releases.append((time.perf_counter_ns() - begin) / 1000)
    queued = measure_queue(state, rng, running, now)
    return {
        "endpoints": size,
        "decisions": len(decisions),
        "granted_at_once": granted,
        "decision_p50_us": round(statistics.median(decisions), 1),
        "decision_p95_us": round(statistics.quantiles(decisions, n=20)[-1], 1),
        "decision_p99_us": round(statistics.quantiles(decisions, n=100)[-1], 1),
        "release_p50_us": round(statistics.median(releases), 1) if releases else 0.0,
        "queued_release_p50_us": round(statistics.median(queued), 1),
    }


def measure_queue(
    state: LimitsState, rng: random.Random, running: list[AttemptId], now: float
) -> list[float]:
    """Return the microseconds of each release that grants to one of many waiting requests."""
    shard = state.shards[SHARD]
    number = 10_000_000
    while len(shard.queue.entries) < QUEUED_REQUESTS:
        number += 1
        request = generate_request(rng, number)
        request.prompt_tokens, request.prefix, request.prefix_tokens = 2_000, (), ()
        effects = step(state, MessageReceived(now, "host-2", 1, request))
        answers = [item.message for item in effects if isinstance(item, SendMessage)]
        running += [item.permit for item in answers if isinstance(item, PermitGranted)]
    costs = []
    for _ in range(QUEUED_REQUESTS // 2):
        permit = running.pop(rng.randrange(len(running)))
        release = PermitRelease(permit, SHARD, True, False, True, 0.5)
        event = MessageReceived(now, "host-2", 1, release)
        begin = time.perf_counter_ns()
        step(state, event)
        costs.append((time.perf_counter_ns() - begin) / 1000)
    return costs


def run() -> None:
    rows = []
    for size in SIZES:
        gc.collect()
        rows.append(measure_decisions(size))
    print(json.dumps({"benchmark": "routing_cost", "load": LOAD_RATIO, "rows": rows}))
    names = list(rows[0])
    print("  ".join(f"{name:>16}" for name in names))
    for row in rows:
        print("  ".join(f"{row[name]:>16}" for name in names))


if __name__ == "__main__":
    run()
