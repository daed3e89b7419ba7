"""Measure the costs per unit from which docs/CAPACITY.md computes the target size.

Run ``python -m benchmarks.slopes``; it prints one JSON object and a table. The pure reducers are
driven without sockets, and messages pass the wire codec and the frames' authentication. Bytes are
those of whole frames with their length prefix, without the headers of TCP and IP.
"""

import gc
import json
import os
import statistics
import time
import tracemalloc
from collections import Counter

import msgspec

from benchmarks import claims_cost
from benchmarks.routing_cost import create_owner
from marjorambridge.claims import state_machine as claim_machines
from marjorambridge.configuration.codec import encode_entry
from marjorambridge.configuration.commands import (
    ApplyConfiguration,
    HostJoined,
    OperatorCommand,
    PutService,
    PutWorkspace,
    PutZone,
)
from marjorambridge.configuration.models import Configuration, Service, ServiceKind, Workspace
from marjorambridge.configuration.state import ControlState
from marjorambridge.configuration.state_machine import apply_entry, restore_snapshot, take_snapshot
from marjorambridge.core.effects import SendMessage
from marjorambridge.core.events import (
    ConfigurationApplied,
    FreshnessChanged,
    MessageReceived,
    TimerFired,
    ViewApplied,
)
from marjorambridge.core.identity import AttemptId
from marjorambridge.core.view import HostEntry, ShardId, View, compute_owner
from marjorambridge.limits import reducer as limits
from marjorambridge.limits.events import EndpointAnnounced
from marjorambridge.limits.messages import (
    Announcement,
    CacheEvent,
    EndpointGrant,
    PermitGranted,
    PermitRelease,
    PermitRenew,
    PermitRequest,
    PriorityClass,
    RunningPermit,
    ShardSummary,
)
from marjorambridge.limits.state import create_state as create_limits
from marjorambridge.membership import reducer as membership
from marjorambridge.membership.messages import FreshnessQuery
from marjorambridge.membership.state import MembershipSettings
from marjorambridge.membership.state import create_state as create_membership
from marjorambridge.replication.events import EntryCommitted, LeadershipChanged, LogPositionChanged
from marjorambridge.requests import reducer as requests
from marjorambridge.requests.effects import StartAttempt
from marjorambridge.requests.events import (
    AttemptChunk,
    AttemptEnd,
    AttemptEnded,
    AttemptHeaders,
    AttemptStarted,
    RequestArrived,
)
from marjorambridge.requests.state import RequestSettings
from marjorambridge.requests.state import create_state as create_requests
from marjorambridge.transport import frames
from marjorambridge.wire.codec import decode_message, encode_message

FLEET_SIZES = (8, 100, 890)
SHARD_SIZES = (14, 25, 100)
BATCHES = (1, 10, 100)
REGION_HOSTS = 127
# Workspaces, services and zones: of a present deployment, in between, and at the target size.
CONFIGURATIONS = ((10, 2, 3), (100, 10, 10), (750, 33, 22))
REPLICAS = tuple(f"node-{number:04}.region-1" for number in range(5))
KEY_HASH = "ab" * 32
SHARD = "model/zone-1/0"
REPEATS = 2_000


def time_calls(call, count):
    """Return the median and mean microseconds of processor time of `call(number)`."""
    gc.collect()
    costs = []
    for number in range(count):
        begin = time.thread_time_ns()
        call(number)
        costs.append((time.thread_time_ns() - begin) / 1000)
    return {"p50_us": round(statistics.median(costs), 1), "mean_us": round(sum(costs) / count, 1)}


def measure_memory(build):
    gc.collect()
    tracemalloc.start()
    built = build()
    gc.collect()
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return size, built


def make_frame(message, session):
    kind, body = encode_message(message)
    return frames.add_length(frames.seal_frame(session, kind, body))


def read_frame(data, session):
    frame = frames.open_frame(session, data[4:])
    return decode_message(frame.kind, frame.body)


def measure_frame(message):
    """Return bytes of a frame and microseconds to encode and to decode it."""
    sender, receiver = frames.Session(b"k" * 32), frames.Session(b"k" * 32)
    data = [make_frame(message, sender) for _ in range(REPEATS)]
    decode = time_calls(lambda n: read_frame(data[n], receiver), REPEATS)
    encode = time_calls(lambda n: make_frame(message, sender), REPEATS)
    # The sequence number grows to three bytes within the first minutes of a connection.
    return {
        "bytes": len(make_frame(message, sender)),
        "encode_us": encode["p50_us"],
        "decode_us": decode["p50_us"],
    }


def make_entry(number):
    region = f"region-{number % 7}"
    name = f"node-{number:04}.{region}"
    return HostEntry(name, 1_780_000_000_000 + number, "10.111.222.33:7400", "zone-1", region)


def create_replica(hosts):
    """Return a replica that leads its group and has all hosts in its state."""
    settings = MembershipSettings(
        REPLICAS[0], 1, "10.0.0.1:1", "zone-1", "region-1", REPLICAS, True
    )
    state = create_membership(settings)
    for number in range(hosts):
        payload = encode_entry(HostJoined(make_entry(number)))
        membership.step(state, EntryCommitted(1.0, 0, number + 1, 1, payload))
    membership.step(state, LeadershipChanged(1.0, 0, REPLICAS[0], 1, True))
    membership.step(state, LogPositionChanged(1.0, 0, hosts, hosts, True, REPLICAS))
    return state


def measure_polls(hosts):
    """Return cost and bytes of a poll at one replica that `hosts` hosts poll."""
    state = create_replica(hosts)
    inward, arrival = frames.Session(b"k" * 32), frames.Session(b"k" * 32)
    outward = frames.Session(b"k" * 32)
    names = [make_entry(number) for number in range(hosts)]
    queries = [
        make_frame(FreshnessQuery(170_000 + number, hosts, number % 5 == 0), inward)
        for number in range(REPEATS)
    ]
    sizes = []

    def answer(number):
        query = read_frame(queries[number], arrival)
        entry = names[number % hosts]
        event = MessageReceived(2.0, entry.host, entry.incarnation, query)
        for effect in membership.step(state, event):
            if isinstance(effect, SendMessage):
                sizes.append(len(make_frame(effect.message, outward)))

    cost = time_calls(answer, REPEATS)
    tick = time_calls(lambda _: membership.step(state, TimerFired(2.0, membership.POLL_TIMER)), 50)
    return {
        "query_bytes": len(queries[-1]),
        "reply_bytes": max(sizes),
        **{f"answer_{key}": value for key, value in cost.items()},
        "supervise_p50_us": tick["p50_us"],
    }


def make_request(number, blocks=0):
    prefix = tuple(number.to_bytes(4, "big") + bytes([depth] * 4) for depth in range(blocks))
    return PermitRequest(
        AttemptId("node-0002.region-1", 1_780_000_000_002, number),
        1,
        SHARD,
        f"workspace-{number % 750}",
        1.0,
        1_000,
        256,
        60.0,
        prefix,
        tuple(256 * (depth + 1) for depth in range(blocks)),
    )


def make_grant(request):
    endpoint = EndpointGrant("engine-0001.zone-1", 1_780_000_000_009, "10.1.2.3:8000", 1_256)
    summary = ShardSummary(SHARD, 14, 5_000_000, 400_000, 0, 2_000, 0.02)
    return PermitGranted(
        request.permit, 1, SHARD, 123_456, PriorityClass.INTERACTIVE, (endpoint,), summary
    )


def make_release(request):
    return PermitRelease(request.permit, SHARD, True, False, True, 0.25)


def measure_permits(size):
    """Return the owner's cost of request and release in a shard of `size` endpoints."""
    state = create_owner(size)
    sender = "node-0002.region-1"
    request_events = [
        MessageReceived(4.0, sender, 1_780_000_000_002, make_request(n)) for n in range(REPEATS)
    ]
    request, release = [], []
    for request_event in request_events:
        begin = time.thread_time_ns()
        limits.step(state, request_event)
        requested_at = time.thread_time_ns()
        release_event = MessageReceived(
            4.1, sender, 1_780_000_000_002, make_release(request_event.message)
        )
        release_begin = time.thread_time_ns()
        limits.step(state, release_event)
        request.append((requested_at - begin) / 1000)
        release.append((time.thread_time_ns() - release_begin) / 1000)
    return {
        "request_p50_us": round(statistics.median(request), 1),
        "release_p50_us": round(statistics.median(release), 1),
    }


def make_announcement(number, blocks=0):
    stored = tuple((number * blocks + n).to_bytes(8, "big") for n in range(blocks))
    return Announcement(
        f"engine-{number % 25:04}.zone-1",
        1_780_000_000_009,
        "supplier",
        "model",
        "zone-1",
        "10.1.2.3:8000",
        ("model-large-v4",),
        kv_capacity_tokens=400_000,
        concurrency=16,
        kv_used_tokens=120_000,
        running=5,
        report_sequence=100_000 + number,
        report_age=0.5,
        cache_events=(CacheEvent(1 + number // 25, stored),) if blocks else (),
    )


def measure_announcements(blocks):
    state = create_owner(25)
    items = [make_announcement(number, blocks) for number in range(REPEATS)]
    encoded = [msgspec.json.encode(item) for item in items]
    parse = time_calls(lambda n: msgspec.json.decode(encoded[n], type=Announcement), REPEATS)
    apply = time_calls(lambda n: limits.step(state, EndpointAnnounced(4.0, items[n])), REPEATS)
    return {
        "json_bytes": len(encoded[-1]),
        "parse_p50_us": parse["p50_us"],
        "apply_p50_us": apply["p50_us"],
        **{f"forward_{key}": value for key, value in measure_frame(items[-1]).items()},
    }


def measure_renewals(batch):
    state = create_owner(max(25, batch // 8))
    sender = "node-0002.region-1"
    running = []
    for number in range(batch):
        request = make_request(number)
        effects = limits.step(state, MessageReceived(4.0, sender, 1_780_000_000_002, request))
        grant = next(
            e.message for e in effects if isinstance(getattr(e, "message", 0), PermitGranted)
        )
        running.append(RunningPermit(request.permit, SHARD, grant.endpoints, True))
    message = PermitRenew(tuple(running))
    event = MessageReceived(4.5, sender, 1_780_000_000_002, message)
    apply = time_calls(lambda n: limits.step(state, event), 300)
    return {**measure_frame(message), "apply_p50_us": apply["p50_us"]}


def make_changes(workspaces, services, zones):
    changes = [PutZone(f"zone-{n}", f"region-{n % 7}") for n in range(zones)]
    names = tuple(f"model-{n}" for n in range(services))
    all_zones = tuple(f"zone-{n}" for n in range(zones))
    changes += [PutService(Service(name, ServiceKind.ENGINE, all_zones)) for name in names]
    for number in range(workspaces):
        # Each workspace has two keys and may call up to eight services.
        keys = (f"{number:064x}", f"{number + 100_000:064x}")
        changes.append(PutWorkspace(Workspace(f"workspace-{number}", keys, names[:8])))
    return changes


def apply_command(control, index, change):
    command = OperatorCommand(
        f"{index:032x}", "operator", control.configuration.version, 1e9, change
    )
    payload = encode_entry(command)
    applied = apply_entry(control, index, payload)
    if applied.answer.status != "accepted":
        raise ValueError(f"the change was refused: {applied.answer}")
    return payload


def create_control(size):
    control = ControlState()
    apply_command(control, 1, ApplyConfiguration(tuple(make_changes(*size))))
    return control


def measure_configuration(size):
    """Return cost and bytes of one change of a workspace in a configuration of this size."""
    control = create_control(size)
    name, services = "workspace-1", tuple(f"model-{n}" for n in range(min(8, size[1])))
    payload = b""

    def change(number):
        nonlocal payload
        workspace = Workspace(
            name, (f"{number + 500_000:064x}",), services, requests_per_second=1.0
        )
        payload = apply_command(control, 2 + number, PutWorkspace(workspace))

    apply = time_calls(change, 500)
    view = View(1, {entry.host: entry for entry in map(make_entry, range(8))})
    holder = create_requests("node-0001.region-1", 1, "region-1", "zone-1", RequestSettings(), 1)
    owner = create_limits("node-0001.region-1", "region-1", seed=1)
    for state, step in ((holder, requests.step), (owner, limits.step)):
        step(state, ViewApplied(0.0, 1, view))
    configuration = control.configuration
    cost = {}
    for label, state, step in (
        ("requests", holder, requests.step),
        ("limits", owner, limits.step),
    ):
        event = ConfigurationApplied(1.0, 3, configuration)
        cost[f"{label}_apply_p50_us"] = time_calls(
            lambda _, s=state, f=step, e=event: f(s, e), 100
        )["p50_us"]
    snapshot = take_snapshot(control)
    restore = time_calls(lambda _: restore_snapshot(snapshot), 10)
    return {
        "entry_bytes": len(payload),
        "log_apply_p50_us": apply["p50_us"],
        **cost,
        "snapshot_bytes": len(snapshot),
        "snapshot_restore_ms": round(restore["p50_us"] / 1000, 1),
        "state_bytes": measure_memory(lambda: create_control(size))[0],
    }


def measure_view(hosts):
    """Return the cost of a view change for holder and owner, with 33 services in 22 zones."""
    control = create_control(CONFIGURATIONS[-1])
    configuration: Configuration = control.configuration
    view = View(1, {entry.host: entry for entry in map(make_entry, range(hosts))})
    first = make_entry(1)
    holder = create_requests(first.host, 1, first.region, "zone-1", RequestSettings(), 1)
    owner = create_limits(first.host, first.region, seed=1)
    costs = {}
    for label, state, step in (
        ("requests", holder, requests.step),
        ("limits", owner, limits.step),
    ):
        step(state, ConfigurationApplied(0.0, 1, configuration))
        step(state, ViewApplied(0.0, 1, view))

        def change(number, state=state, step=step):
            changed = dict(view.hosts)
            if number % 2 == 0:
                del changed[make_entry(8 if hosts > 8 else 0).host]
            step(state, ViewApplied(1.0, 2 + number, View(2 + number, changed)))

        costs[f"{label}_apply_p50_us"] = time_calls(change, 20)["p50_us"]
    payload = encode_entry(HostJoined(make_entry(1)))
    joined = ControlState()
    for number in range(hosts):
        apply_entry(joined, number + 1, encode_entry(HostJoined(make_entry(number))))
    entries = [
        encode_entry(
            HostJoined(
                HostEntry("node-0001.region-1", 1_790_000_000_000 + n, "10.1.1.1:1", "z", "r")
            )
        )
        for n in range(200)
    ]
    log = time_calls(lambda n: apply_entry(joined, hosts + 1 + n, entries[n]), 200)
    owned = Counter(
        compute_owner(view, ShardId(service.name, zone), configuration.zones[zone].region)
        for service in configuration.services.values()
        for zone in service.zones
    )
    return {
        "entry_bytes": len(payload),
        "log_apply_p50_us": log["p50_us"],
        **costs,
        "shards": owned.total(),
        "most_shards_of_a_host": max(owned.values()),
    }


def measure_compute_owner(hosts):
    entries = [make_entry(7 * number + 1) for number in range(hosts)]
    view = View(1, {entry.host: entry for entry in entries})
    shards = [ShardId(f"model-{n % 33}", f"zone-{n % 22}") for n in range(200)]
    return time_calls(lambda n: compute_owner(view, shards[n], "region-1"), 200)


def measure_holder():
    """Return the reducer's cost of one request and of one chunk, and the memory of a request."""
    state = create_requests("node-0002.region-1", 1, "region-1", "zone-1", RequestSettings(), 1)
    control = create_control((750, 33, 22))
    names = [make_entry(n) for n in range(890)]
    requests.step(state, ConfigurationApplied(0.0, 1, control.configuration))
    requests.step(state, ViewApplied(0.0, 1, View(1, {entry.host: entry for entry in names})))
    requests.step(state, FreshnessChanged(0.0, 1e9))
    request_costs, chunk_costs = [], []

    def start(number):
        arrived = RequestArrived(
            1.0,
            f"r{number}",
            1e9,
            f"{number % 750:064x}",
            "model-1",
            "POST",
            "/v1/completions",
            True,
            4_000,
            256,
            60.0,
        )
        effects = requests.step(state, arrived)
        sent = next(e for e in effects if isinstance(e, SendMessage))
        grant = make_grant(sent.message)
        grant.shard = sent.message.shard
        effects = requests.step(state, MessageReceived(1.0, sent.to, 1, grant))
        attempt = next(e for e in effects if isinstance(e, StartAttempt)).attempt
        requests.step(state, AttemptStarted(1.0, attempt))
        requests.step(state, AttemptHeaders(1.0, attempt, 200))
        return attempt

    for number in range(REPEATS):
        begin = time.thread_time_ns()
        attempt = start(number)
        started = time.thread_time_ns()
        for index in range(10):
            requests.step(state, AttemptChunk(1.1, attempt, index, 1, b"word ", (5,)))
        streamed = time.thread_time_ns()
        requests.step(state, AttemptEnded(1.2, attempt, AttemptEnd.COMPLETE, "", "stop"))
        request_costs.append((started - begin + time.thread_time_ns() - streamed) / 1000)
        chunk_costs.append((streamed - started) / 10_000)
    size, _ = measure_memory(lambda: [start(REPEATS + n) for n in range(1_000)])
    return {
        "request_p50_us": round(statistics.median(request_costs), 1),
        "chunk_p50_us": round(statistics.median(chunk_costs), 1),
        "memory_bytes_per_running_request": round(size / 1_000),
    }


def create_busy_owner(permits):
    """Return an owner of 200 endpoints that has granted this many permits."""
    state = create_owner(200)
    for number in range(permits):
        event = MessageReceived(4.0, "node-0002.region-1", 1_780_000_000_002, make_request(number))
        limits.step(state, event)
    return state


def measure_owner_memory():
    sizes = {size: measure_memory(lambda size=size: create_owner(size))[0] for size in (100, 1_100)}
    idle, busy = (measure_memory(lambda n=n: create_busy_owner(n))[0] for n in (0, 2_000))
    return {
        "memory_bytes_per_endpoint": round((sizes[1_100] - sizes[100]) / 1_000),
        "memory_bytes_per_running_permit": round((busy - idle) / 2_000),
    }


def measure_claims():
    rows = {}
    for batch in claims_cost.BATCHES:
        for label, build in (
            ("claim", claims_cost.build_claim),
            ("completion", claims_cost.build_completion),
        ):
            machine = claim_machines.ClaimsStateMachine()
            rows[f"{label}, batch {batch}"] = claims_cost.measure_commands(build, machine, batch)
    return rows


def run():
    load = os.getloadavg()[0]
    request = make_request(1)
    report = {
        "benchmark": "slopes",
        "cores": os.cpu_count(),
        "polls": {size: measure_polls(size) for size in FLEET_SIZES},
        "permit at the owner": {size: measure_permits(size) for size in SHARD_SIZES},
        "permit frames": {
            "request": measure_frame(request),
            "request with 8 blocks": measure_frame(make_request(1, 8)),
            "grant": measure_frame(make_grant(request)),
            "release": measure_frame(make_release(request)),
        },
        "announcement by blocks": {size: measure_announcements(size) for size in (0, 10, 100)},
        "renewal by permits": {size: measure_renewals(size) for size in BATCHES},
        "configuration": {str(size): measure_configuration(size) for size in CONFIGURATIONS},
        "view by hosts": {size: measure_view(size) for size in FLEET_SIZES},
        "compute_owner": {size: measure_compute_owner(size) for size in (REGION_HOSTS, 890)},
        "holder": {"890 hosts": measure_holder()},
        "owner memory": {"100 to 1,100": measure_owner_memory()},
        "claims": measure_claims(),
    }
    report["load_average_before_and_after"] = [round(load, 1), round(os.getloadavg()[0], 1)]
    print(json.dumps(report))
    for name, rows in report.items():
        if isinstance(rows, dict):
            print(name)
            for key, row in rows.items():
                print(f"  {key!s:24} " + "  ".join(f"{k} {v}" for k, v in row.items()))


if __name__ == "__main__":
    run()
