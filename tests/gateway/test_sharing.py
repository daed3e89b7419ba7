"""Test the exchange of loads and failures between gateways."""

import math
import random
import socket
from collections import deque

import anyio
import pytest
from msgspec.structs import replace

from marjorambridge.forwarding.aggregation import (
    AGGREGATION_WARMUP_SECONDS,
    is_complete,
    record_contact,
    store_load,
)
from marjorambridge.forwarding.health import count_reporters, record_failure
from marjorambridge.forwarding.hints import EndpointHints, apply_hints
from marjorambridge.forwarding.loads import (
    LOAD_LIFETIME_SECONDS,
    add_prefill,
    add_request,
    compute_pause_limit,
    compute_remaining_prefill_seconds,
    count_kv_tokens,
    count_requests,
    drop_old_loads,
)
from marjorambridge.forwarding.relays import choose_peer
from marjorambridge.forwarding.state import Load
from marjorambridge.gateway import sharing as sharing_module
from marjorambridge.gateway.datagrams import build_load_share, encode_datagram
from marjorambridge.gateway.sharing import (
    COALESCE_SECONDS,
    REPEAT_SECONDS,
    REPORTER_TIMEOUT_SECONDS,
    TOTALS_PER_SECOND,
    ZONE_TOTALS_SECONDS,
    LoadSharing,
    aggregate_share,
    choose_relays,
    compute_totals_interval,
    handle_datagram,
    list_aggregators,
    mark_load_changed,
    queue_loads,
    queue_totals,
    start_sharing,
    start_sharing_tasks,
)
from tests.forwarding.helpers import make_state

# Bytes of the headers of Ethernet, IP and UDP.
PACKET_HEADER_BYTES = 46
# The slowest links of the users' larger deployments.
SLOW_LINK_BITS_PER_SECOND = 10e6


def make_datagram(sharing, names, now, for_zone=False):
    """Return the datagram of a host's load at some endpoints."""
    share = build_load_share(sharing.forwarding, sharing.own_host, names, now, for_zone)
    return encode_datagram(sharing.key, share)


def make_pair():
    key = b"k" * 32
    return [
        LoadSharing(make_state(engines=2, hosts=(name, "h9")), name, key) for name in ("h1", "h2")
    ]


def test_leaving_endpoint_is_reported_to_other_hosts():
    """Guard against hosts that each detect a leaving engine only by a request."""
    sender, receiver = make_pair()
    apply_hints(sender.forwarding.endpoints["e0"], EndpointHints(leaving=True), 10.0)
    handle_datagram(receiver, make_datagram(sender, ["e0"], 10.0), 100.0)
    assert receiver.forwarding.endpoints["e0"].leaving
    # Reports of other hosts do not exclude all endpoints of a service.
    apply_hints(sender.forwarding.endpoints["e1"], EndpointHints(leaving=True), 10.0)
    handle_datagram(receiver, make_datagram(sender, ["e1"], 10.0), 100.0)
    assert not receiver.forwarding.endpoints["e1"].leaving


def test_hosts_avoid_an_endpoint_that_rejects_requests_of_another_host():
    """Guard against hosts that each send requests to an engine that rejects them."""
    sender, receiver = make_pair()
    apply_hints(sender.forwarding.endpoints["e0"], EndpointHints(rejected_seconds=4.0), 10.0)
    handle_datagram(receiver, make_datagram(sender, ["e0"], 10.0), 100.0)
    endpoint = receiver.forwarding.endpoints["e0"]
    assert count_reporters(endpoint, 103.9) == 1 and count_reporters(endpoint, 104.1) == 0


def test_load_of_another_host_is_applied():
    """Guard against hosts that all choose the engine that looks idle to each of them."""
    sender, receiver = make_pair()
    endpoint = sender.forwarding.endpoints["e0"]
    add_request(endpoint.load, 5000, 0.25)
    add_prefill(endpoint.load, 2.0, 10.0)
    handle_datagram(receiver, make_datagram(sender, ["e0", "unknown"], 10.5), 100.0)
    seen = receiver.forwarding.endpoints["e0"]
    assert count_requests(seen) == 1 and compute_pause_limit(seen) == 0.25
    assert abs(compute_remaining_prefill_seconds(seen, 100.5) - 1.0) < 0.01
    # A datagram has the complete load, so that a duplicate changes nothing.
    handle_datagram(receiver, make_datagram(sender, ["e0"], 10.5), 100.0)
    assert count_requests(seen) == 1
    drop_old_loads(seen, 100.0 + LOAD_LIFETIME_SECONDS + 0.1)
    assert count_requests(seen) == 0


def test_a_request_that_is_passed_on_causes_no_datagram():
    """Guard against empty datagrams to all hosts for each request of a host without contact."""

    class Recorder:
        def __init__(self):
            self.sent = []

        async def sendto(self, datagram, ip, port):
            self.sent.append(datagram)

    async def scenario():
        sharing, _ = make_pair()
        names = ["127.0.0.1:7340", "127.0.0.1:7342"]
        sharing.own_host = names[0]
        sharing.forwarding.settings = replace(sharing.forwarding.settings, host=names[0])
        sharing.forwarding.hosts = dict.fromkeys(names, "z1")
        sharing.socket = Recorder()
        peer = choose_peer(sharing.forwarding, frozenset(), 0.0)
        async with anyio.create_task_group() as tasks:
            start_sharing_tasks(sharing, tasks)
            mark_load_changed(sharing, peer)
            await anyio.sleep(10 * COALESCE_SECONDS)
            assert not sharing.socket.sent
            mark_load_changed(sharing, sharing.forwarding.endpoints["e0"])
            await anyio.sleep(10 * COALESCE_SECONDS)
            assert len(sharing.socket.sent) == 1
            tasks.cancel_scope.cancel()

    anyio.run(scenario)


def test_foreign_and_damaged_datagrams_are_discarded():
    """Guard against loads of another fleet, or of a damaged datagram."""
    sender, receiver = make_pair()
    add_request(sender.forwarding.endpoints["e0"].load, 1, 0.25)
    datagram = make_datagram(sender, ["e0"], 1.0)
    receiver.key = b"x" * 32
    handle_datagram(receiver, datagram, 1.0)
    receiver.key = sender.key
    for damaged in (b"", datagram[:5], datagram[:-1], datagram[:9] + b"\xff" + datagram[10:]):
        handle_datagram(receiver, damaged, 1.0)
    assert count_requests(receiver.forwarding.endpoints["e0"]) == 0


def test_each_other_zone_gets_a_datagram_once_and_relays_it():
    """Guard against control traffic between zones that grows with the square of the fleet."""
    sender, receiver = make_pair()
    zones = {f"10.0.{zone}.{n}:1": f"z{zone}" for zone in range(3) for n in range(25)}
    sender.forwarding.hosts = zones | {"h1": "z0"}
    relays = {choose_relays(sender.forwarding)[0] for _ in range(50)}
    assert {zones[relay] for relay in relays} == {"z1"} and len(relays) > 5
    assert len(choose_relays(sender.forwarding)) == 2
    add_request(sender.forwarding.endpoints["e0"].load, 1, 0.25)
    receiver.forwarding.hosts = {"h1": "z0", "h2": "z0", "h3": "z0", "h4": "z1"}
    handle_datagram(receiver, make_datagram(sender, ["e0"], 1.0, for_zone=True), 1.0)
    forwarded = list(receiver.outbox)
    assert {host for _, host in forwarded} == {"h1", "h3"}
    receiver.outbox.clear()
    handle_datagram(receiver, forwarded[0][0], 1.0)
    assert not receiver.outbox


def test_loads_are_sent_in_both_directions_while_others_are_relayed():
    """Guard against two tasks that write to one socket, which ends the process."""

    async def scenario():
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
            probe.bind(("127.0.0.1", 0))
            port = probe.getsockname()[1]
        hosts = {f"127.0.0.{n}:{port}": f"z{n % 2}" for n in range(11, 17)}
        sharings = [
            LoadSharing(make_state(engines=9, hosts=(host,)), host, b"k" * 32) for host in hosts
        ]
        async with anyio.create_task_group() as tasks:
            for sharing in sharings:
                sharing.forwarding.hosts = dict(hosts)
                sharing.forwarding.settings = replace(
                    sharing.forwarding.settings, zone=hosts[sharing.own_host]
                )
                await start_sharing(sharing, tasks)
            for _ in range(30):
                for sharing in sharings:
                    for endpoint in sharing.forwarding.endpoints.values():
                        add_request(endpoint.load, 1, 0.25)
                        mark_load_changed(sharing, endpoint)
                await anyio.sleep(0.01)
            await anyio.sleep(0.5)
            for sharing in sharings:
                for endpoint in sharing.forwarding.endpoints.values():
                    assert count_requests(endpoint) == 30 * len(sharings)
            tasks.cancel_scope.cancel()

    anyio.run(scenario)


class SlowSocket:
    """Send one datagram at a time, like a socket with a full buffer."""

    def __init__(self, datagrams):
        self.datagrams = datagrams
        self.busy = False
        self.sent = 0

    async def sendto(self, datagram, ip, port):
        assert not self.busy, "two tasks write at the same time"
        self.busy = True
        await anyio.sleep(0.001)
        self.busy = False
        self.sent += 1

    async def receive(self):
        await anyio.sleep(0.0007)
        if not self.datagrams:
            await anyio.sleep_forever()
        return self.datagrams.pop(), ("127.0.0.1", 1)


def test_only_one_task_writes_to_the_socket(monkeypatch):
    """Guard against relaying a datagram while another one is being sent."""

    async def scenario():
        sender, receiver = make_pair()
        add_request(sender.forwarding.endpoints["e0"].load, 1, 0.25)
        datagrams = [make_datagram(sender, ["e0"], 1.0, for_zone=True) for _ in range(50)]
        slow = SlowSocket(datagrams)

        async def create_socket(**options):
            return slow

        monkeypatch.setattr(anyio, "create_udp_socket", create_socket)
        receiver.own_host = "127.0.0.9:1"
        receiver.forwarding.hosts = {f"127.0.0.{n}:1": "z0" for n in range(3, 9)}
        async with anyio.create_task_group() as tasks:
            await start_sharing(receiver, tasks)
            for _ in range(40):
                mark_load_changed(receiver, receiver.forwarding.endpoints["e1"])
                await anyio.sleep(0.005)
            await anyio.sleep(0.5)
            tasks.cancel_scope.cancel()
        assert slow.sent >= 300

    anyio.run(scenario)


def test_large_fleet_aggregates_loads_for_every_host(monkeypatch):
    """Guard against datagrams to every host for each request of every other one."""

    async def scenario():
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
            probe.bind(("127.0.0.1", 0))
            port = probe.getsockname()[1]
        hosts = {f"127.0.0.{n}:{port}": f"z{n % 3}" for n in range(20, 44)}
        sharings = [
            LoadSharing(make_state(engines=5, hosts=(host,)), host, b"k" * 32) for host in hosts
        ]
        received = []
        original = sharing_module.handle_datagram
        monkeypatch.setattr(
            sharing_module,
            "handle_datagram",
            lambda *args: (received.append(1), original(*args))[1],
        )
        async with anyio.create_task_group() as tasks:
            for sharing in sharings:
                sharing.forwarding.hosts = dict(hosts)
                sharing.forwarding.settings = replace(
                    sharing.forwarding.settings, zone=hosts[sharing.own_host]
                )
                await start_sharing(sharing, tasks)
            # The aggregating hosts first wait until every host has reported.
            await anyio.sleep(REPEAT_SECONDS + AGGREGATION_WARMUP_SECONDS + 0.3)
            received.clear()
            for _ in range(20):
                for sharing in sharings:
                    endpoint = sharing.forwarding.endpoints["e1"]
                    add_request(endpoint.load, 1, 0.25)
                    mark_load_changed(sharing, endpoint)
                await anyio.sleep(0.02)
            await anyio.sleep(0.6)
            for sharing in sharings:
                assert count_requests(sharing.forwarding.endpoints["e1"]) == 20 * len(sharings)
            tasks.cancel_scope.cancel()
        assert len(received) < 20 * len(sharings) * len(sharings) / 3

    anyio.run(scenario)


def make_large_fleet(number):
    """Return the sharing of one host of 40 in two zones, each with two endpoints."""
    hosts = {f"10.0.0.{n}:1": f"z{n % 2}" for n in range(40)}
    own_host = f"10.0.0.{number}:1"
    sharing = LoadSharing(make_state(engines=2, hosts=(own_host,)), own_host, b"k" * 32)
    sharing.forwarding.hosts = dict(hosts)
    settings = sharing.forwarding.settings
    sharing.forwarding.settings = replace(settings, zone=hosts[own_host])
    return sharing


def deliver(sender, receiver, now):
    """Deliver the datagrams for one host."""
    for datagram, host in sender.outbox:
        if host == receiver.own_host:
            handle_datagram(receiver, datagram, now)
    sender.outbox.clear()


def make_aggregator():
    """Return an aggregating host whose aggregation is complete, and the current time."""
    aggregator = make_large_fleet(0)
    now = 100.0
    while not is_complete(aggregator.aggregation, now):
        record_contact(aggregator.aggregation, now)
        now += 0.5
    return aggregator, now


def test_totals_of_an_aggregating_host_contain_every_host_once():
    """Guard against loads that are lost or counted twice when totals replace single reports."""
    aggregator, now = make_aggregator()
    sender, other_host = make_large_fleet(2), make_large_fleet(4)
    for sharing, count in ((aggregator, 1), (sender, 2), (other_host, 3)):
        load = sharing.forwarding.endpoints["e0"].load
        for _ in range(count):
            add_request(load, 10, 0.25)
            add_prefill(load, 0.5, now)
        share = build_load_share(sharing.forwarding, sharing.own_host, ["e0"], now, for_zone=True)
        aggregate_share(aggregator, share, now)
    queue_totals(aggregator, now)
    deliver(aggregator, other_host, now)
    for sharing in (aggregator, other_host):
        endpoint = sharing.forwarding.endpoints["e0"]
        assert count_requests(endpoint) == 6 and count_kv_tokens(endpoint) == 60
        assert abs(compute_remaining_prefill_seconds(endpoint, now) - 3.0) < 0.01
        assert compute_pause_limit(endpoint) == 0.25


def test_new_aggregating_host_sends_no_totals_before_all_hosts_reported():
    """Guard against totals without most hosts, which make loaded engines seem idle."""
    aggregator, sender = make_large_fleet(0), make_large_fleet(2)
    add_request(sender.forwarding.endpoints["e0"].load, 10, 0.25)
    share = build_load_share(sender.forwarding, sender.own_host, ["e0"], 1.0, for_zone=True)
    aggregate_share(aggregator, share, 1.0)
    queue_totals(aggregator, 1.1)
    assert not aggregator.outbox
    record_contact(aggregator.aggregation, 2.0)
    queue_totals(aggregator, 2.6)
    assert aggregator.outbox


def test_datagrams_of_an_aggregating_host_fit_a_slow_link():
    """Guard against totals that saturate a link of 10 Mbit/s, so that none arrives."""
    aggregator, now = make_aggregator()
    aggregator.forwarding = make_state(engines=78, hosts=("10.0.0.0:1",))
    aggregator.forwarding.hosts = {f"10.0.0.{n}:1": "z0" for n in range(27)}
    sent, seconds = 0, 2.0
    interval = compute_totals_interval(aggregator.forwarding)
    for step in range(int(seconds / interval)):
        now += interval
        # 120 requests a second change the load of an endpoint three times each.
        for change in range(math.ceil(360 * interval)):
            name = f"e{(step * 31 + change * 7) % 78}"
            load = Load(6, 2, 0.35, 120_000, [0.25], now)
            record_contact(aggregator.aggregation, now)
            store_load(aggregator.aggregation, f"10.0.0.{change}:1", name, load)
        queue_totals(aggregator, now)
        sent += sum(len(datagram) + PACKET_HEADER_BYTES for datagram, _ in aggregator.outbox)
        aggregator.outbox.clear()
    assert sent * 8 / seconds < SLOW_LINK_BITS_PER_SECOND / 2


@pytest.mark.parametrize("hosts", [2, 10, 27, 70, 400])
def test_interval_of_totals_bounds_the_datagram_rate(hosts):
    """Guard against an aggregating host of a large zone whose CPU is used up by totals."""
    state = make_state(engines=1, hosts=("10.0.0.0:1",))
    state.hosts = {f"10.0.{n // 250}.{n % 250}:1": "z0" for n in range(hosts)}
    state.hosts["10.9.0.1:1"] = "z1"
    interval = compute_totals_interval(state)
    assert (hosts - 1) / interval <= TOTALS_PER_SECOND
    assert interval <= (0.05 if hosts <= 70 else 1.0)


def test_failures_are_reported_through_an_aggregating_host():
    """Guard against hosts of a large fleet that each detect a failed endpoint on their own."""
    aggregator, now = make_aggregator()
    sender, other_host = make_large_fleet(2), make_large_fleet(4)
    endpoint = sender.forwarding.endpoints["e0"]
    record_failure(endpoint, now, now)
    queue_loads(sender, ["e0"], now + 0.2)
    deliver(sender, aggregator, now + 0.2)
    queue_totals(aggregator, now + 0.2)
    deliver(aggregator, other_host, now + 0.2)
    (report,) = other_host.forwarding.endpoints["e0"].reports.values()
    assert report.failures == 1 and report.hosts == 1
    assert abs(report.avoid_until - endpoint.avoid_until) < 0.01


def make_zones(zones=5, hosts_per_zone=8):
    """Return the load sharing of each host of a large fleet, by host."""
    hosts = {
        f"10.{zone}.0.{n}:1": f"z{zone}" for zone in range(zones) for n in range(hosts_per_zone)
    }
    fleet = {}
    for host, zone in hosts.items():
        sharing = LoadSharing(make_state(engines=4, hosts=(host,)), host, b"k" * 32)
        sharing.forwarding.hosts = dict(hosts)
        sharing.forwarding.settings = replace(sharing.forwarding.settings, zone=zone)
        fleet[host] = sharing
    return fleet


def deliver_all(fleet, now, failed_hosts=()):
    """Deliver all datagrams until none is left; return the bytes that crossed zones."""
    cross_zone_bytes = 0
    while any(sharing.outbox for sharing in fleet.values()):
        for host, sharing in fleet.items():
            datagrams, sharing.outbox = list(sharing.outbox), deque(maxlen=1_000)
            for datagram, target in datagrams if host not in failed_hosts else ():
                if host.split(".")[1] != target.split(".")[1]:
                    cross_zone_bytes += len(datagram) + PACKET_HEADER_BYTES
                if target not in failed_hosts:
                    handle_datagram(fleet[target], datagram, now)
    return cross_zone_bytes


def run_rounds(fleet, now, seconds, failed_hosts=()):
    """Run rounds of heartbeats and totals of all hosts, and return the time afterwards."""
    until = now + seconds
    while now < until:
        for host, sharing in fleet.items():
            if host not in failed_hosts:
                queue_loads(sharing, [], now)
                queue_totals(sharing, now)
        deliver_all(fleet, now, failed_hosts)
        now += 0.5
    return now


def test_zones_exchange_loads_through_their_aggregating_hosts():
    """Guard against zones that each send requests to engines which another zone has loaded."""
    fleet = make_zones()
    now = run_rounds(fleet, 100.0, 3.0)
    for sharing in fleet.values():
        add_request(sharing.forwarding.endpoints["e1"].load, 10, 0.25)
        queue_loads(sharing, ["e1"], now)
    deliver_all(fleet, now)
    for _ in range(2):
        for sharing in fleet.values():
            queue_totals(sharing, now)
        deliver_all(fleet, now)
    for sharing in fleet.values():
        assert count_requests(sharing.forwarding.endpoints["e1"]) == len(fleet)


@pytest.mark.parametrize(
    "position", [0, 1], ids=["first aggregating host", "second aggregating host"]
)
def test_failed_aggregating_host_isolates_no_zone(position):
    """Guard against a zone whose loads are no longer reported."""
    fleet = make_zones()
    now = run_rounds(fleet, 100.0, 3.0)
    failed_hosts = [list_aggregators(fleet["10.0.0.0:1"].forwarding, "z0")[position]]
    now = run_rounds(fleet, now, 2.0 + REPORTER_TIMEOUT_SECONDS, failed_hosts)
    for step in range(8):
        for host, sharing in fleet.items():
            if host in failed_hosts:
                continue
            if step == 0:
                add_request(sharing.forwarding.endpoints["e1"].load, 10, 0.25)
            queue_loads(sharing, ["e1"], now)
        deliver_all(fleet, now, failed_hosts)
        for host, sharing in fleet.items():
            if host not in failed_hosts:
                queue_totals(sharing, now)
        deliver_all(fleet, now, failed_hosts)
        now += 0.25
    running = [sharing for host, sharing in fleet.items() if host not in failed_hosts]
    for sharing in running:
        assert count_requests(sharing.forwarding.endpoints["e1"]) == len(running)


def test_failure_is_reported_to_other_zones_once():
    """Guard against zones that send each other's reports back as new ones."""
    fleet = make_zones()
    now = run_rounds(fleet, 100.0, 3.0)
    sharing = fleet["10.0.0.0:1"]
    record_failure(sharing.forwarding.endpoints["e0"], now, now)
    queue_loads(sharing, ["e0"], now)
    deliver_all(fleet, now)
    for _ in range(4):
        now += ZONE_TOTALS_SECONDS
        for other in fleet.values():
            queue_totals(other, now)
        deliver_all(fleet, now)
    for host, other in fleet.items():
        if host != sharing.own_host:
            assert count_reporters(other.forwarding.endpoints["e0"], now) == 1


@pytest.mark.parametrize("hosts_per_zone", [8, 40])
def test_traffic_between_zones_does_not_grow_with_the_number_of_hosts(hosts_per_zone):
    """Guard against loads that each host sends to every zone, since that traffic is costly.

    Between 5 zones, 134 requests a second change loads three times each.
    """
    fleet = make_zones(hosts_per_zone=hosts_per_zone)
    now = run_rounds(fleet, 100.0, 3.0)
    generator = random.Random(1)
    cross_zone_bytes, seconds = 0, 2.0
    # Hosts receive totals of their own zone more often than zones exchange theirs.
    interval = compute_totals_interval(fleet["10.0.0.0:1"].forwarding)
    for _ in range(int(seconds / interval)):
        for sharing in generator.choices(list(fleet.values()), k=int(134 * 3 * interval)):
            name = f"e{generator.randrange(4)}"
            add_request(sharing.forwarding.endpoints[name].load, 10, 0.25)
            queue_loads(sharing, [name], now)
        cross_zone_bytes += deliver_all(fleet, now)
        for sharing in fleet.values():
            queue_totals(sharing, now)
        cross_zone_bytes += deliver_all(fleet, now)
        now += interval
    # Ten pairs of zones in both directions, a packet of 150 bytes at most for each total.
    assert cross_zone_bytes / seconds <= 20 * 150 / ZONE_TOTALS_SECONDS


def test_hosts_tell_one_another_the_newest_limit_of_an_endpoint():
    """Guard against hosts that never learn of a limit, or that it has ended."""
    states = [make_state(1, hosts=(f"10.0.0.{n}:1", f"10.0.0.{3 - n}:1")) for n in (1, 2)]
    first, second = (LoadSharing(state, state.settings.host, b"k") for state in states)
    ends = [state.endpoints["e0"] for state in states]
    apply_hints(ends[0], EndpointHints(request_limit=2.5), 10.0)
    handle_datagram(second, make_datagram(first, ["e0"], 10.5), 10.501)
    assert ends[1].request_limit == 2.5
    apply_hints(ends[1], EndpointHints(request_limit=math.inf), 11.0)
    # The report of a host that has not seen the end yet is older.
    handle_datagram(second, make_datagram(first, ["e0"], 11.1), 11.101)
    assert math.isinf(ends[1].request_limit)
    handle_datagram(first, make_datagram(second, ["e0"], 11.2), 11.201)
    assert math.isinf(ends[0].request_limit)


def test_totals_contain_the_limit_of_an_endpoint():
    """Guard against limits that do not pass the aggregating hosts of a large fleet."""
    aggregator, now = make_aggregator()
    sender, other_host = make_large_fleet(2), make_large_fleet(4)
    apply_hints(sender.forwarding.endpoints["e0"], EndpointHints(request_limit=2.5), now)
    handle_datagram(aggregator, make_datagram(sender, ["e0"], now, for_zone=True), now)
    queue_totals(aggregator, now)
    deliver(aggregator, other_host, now)
    assert other_host.forwarding.endpoints["e0"].request_limit == 2.5
