"""Tell the other gateways in datagrams what this one has at each endpoint.

A datagram that is lost leaves another host's picture old for at most a second, when all loads are
repeated; so none is sent twice. Bytes between zones are dear: one host of each other zone gets a
datagram and passes it on to its zone. In a large fleet some hosts of each zone collect what its
hosts tell, tell the other zones the total of their own, and tell their own the total of all; what a
host hears would otherwise grow with the traffic of all.
"""

import math
import time
from collections import deque

import anyio
import xxhash
from anyio.abc import TaskGroup, UDPSocket
from loguru import logger
from msgspec import Struct, field

from marjorambridge.conf import defaults
from marjorambridge.forwarding.aggregation import (
    ZONE_TOTAL_PREFIX,
    LoadAggregation,
    compute_total,
    drop_old_host_loads,
    is_complete,
    mark_changed,
    record_contact,
    store_load,
    subtract_own_load,
)
from marjorambridge.forwarding.health import combine_reports, drop_old_reports, store_failure_report
from marjorambridge.forwarding.hints import apply_reported_leaving
from marjorambridge.forwarding.loads import (
    LOAD_LIFETIME_SECONDS,
    drop_old_loads,
    set_other_load,
)
from marjorambridge.forwarding.messages import (
    EndpointFailure,
    EndpointLoad,
    LoadShare,
    LoadTotals,
    ZoneTotals,
)
from marjorambridge.forwarding.state import (
    OTHER_HOSTS_TOTAL,
    Endpoint,
    FailureReport,
    ForwardingState,
)
from marjorambridge.gateway.datagrams import (
    LoadMessage,
    make_failure,
    make_load,
    make_share,
    read_failure,
    read_load,
    seal,
    unseal,
)
from marjorambridge.gateway.streams import STREAM_ERRORS

# Changes within this time in seconds go out together.
COALESCE_SECONDS = 0.01
REPEAT_SECONDS = 1.0
# Datagrams with totals that one host sends to its zone in a second, which bounds its processor time
# and what its link carries. The fewer hosts a zone has, the sooner each of them hears of a change.
TOTALS_PER_SECOND = 1_500.0
# Interval in seconds at which zones tell one another their totals; bytes between them are dear.
ZONE_TOTALS_SECONDS = 0.05
# Hosts of each zone that collect; the second one makes the death of the first harmless.
COLLECTORS_PER_ZONE = 2
# Only the first of them tells totals; the next one takes over when it was silent for this long, in
# seconds. Without changes it tells at this interval in seconds that it is there.
SPEAKER_SILENCE_SECONDS = 0.75
SPEAKER_INTERVAL_SECONDS = 0.3
MAX_QUEUED = 1_000
# Loads in one datagram, so that it fits a packet of 1,500 bytes.
MAX_LOADS = 40


class LoadSharing(Struct):
    """Hold the socket and the endpoints whose load must be told.

    Attributes
    ----------
    own_host : str
        ``ip:port`` of this host's socket; the other hosts use the same port.
    changed : dict of str to None
        Endpoints whose load must be told, in order.
    outbox : deque of (bytes, str)
        Datagrams that wait to be sent, with the host that gets them; the oldest ones are dropped
        when there are too many.
    collection : Collection
        What hosts of a large fleet reported to this one.
    told_at, zones_told_at : float
        Monotonic times in seconds when this host last told totals to its zone and to other ones.
    totals_heard_at : dict of str to float
        Monotonic times in seconds when hosts of this zone last told totals.
    """

    forwarding: ForwardingState
    own_host: str
    key: bytes
    changed: dict[str, None] = field(default_factory=dict)
    outbox: deque[tuple[bytes, str]] = field(default_factory=lambda: deque(maxlen=MAX_QUEUED))
    collection: LoadAggregation = field(default_factory=LoadAggregation)
    told_at: float = -math.inf
    zones_told_at: float = -math.inf
    totals_heard_at: dict[str, float] = field(default_factory=dict)
    wakeup: anyio.Event = field(default_factory=anyio.Event)
    socket: UDPSocket | None = None


async def start_sharing(sharing: LoadSharing, tasks: TaskGroup) -> None:
    """Bind the socket and begin to send and receive."""
    ip, _, port = sharing.own_host.rpartition(":")
    sharing.socket = await anyio.create_udp_socket(local_host=ip, local_port=int(port))
    tasks.start_soon(_receive, sharing)
    start_sharing_tasks(sharing, tasks)


def start_sharing_tasks(sharing: LoadSharing, tasks: TaskGroup) -> None:
    """Begin to send through a socket that is bound; `handle_datagram` takes what comes."""
    tasks.start_soon(_send_packets, sharing)
    tasks.start_soon(_repeat, sharing)
    tasks.start_soon(_pass_on_totals, sharing)


async def close_sharing(sharing: LoadSharing) -> None:
    """Close the socket."""
    if sharing.socket is not None:
        await sharing.socket.aclose()


def mark_load_changed(sharing: LoadSharing, endpoint: Endpoint) -> None:
    """Have the load at an endpoint told to the other hosts."""
    sharing.changed[endpoint.name] = None
    sharing.wakeup.set()


# Sending.


async def _send_packets(sharing: LoadSharing) -> None:
    # Only this task writes to the socket, which takes one writer at a time.
    while True:
        await sharing.wakeup.wait()
        sharing.wakeup = anyio.Event()
        if sharing.changed:
            await anyio.sleep(COALESCE_SECONDS)
            names, sharing.changed = list(sharing.changed), {}
            queue_loads(sharing, names, time.monotonic())
        while sharing.outbox:
            packet, host = sharing.outbox.popleft()
            await _send(sharing, packet, host)


def queue_loads(sharing: LoadSharing, names: list[str], now: float) -> None:
    """Queue what this host has at the endpoints named; nothing of them says that it is alive."""
    forwarding = sharing.forwarding
    for first in range(0, max(1, len(names)), MAX_LOADS):
        part = names[first : first + MAX_LOADS]
        share = make_share(forwarding, sharing.own_host, part, now, for_zone=True)
        packet = seal(sharing.key, share)
        if is_collecting(forwarding):
            for host in list_collectors(forwarding, forwarding.settings.zone):
                if host == sharing.own_host:
                    collect(sharing, share, now)
                else:
                    sharing.outbox.append((packet, host))
            continue
        for host in choose_relays(forwarding):
            sharing.outbox.append((packet, host))
        share.for_zone = False
        _queue_for_zone(sharing, share)


def is_collecting(forwarding: ForwardingState) -> bool:
    """Return whether the fleet is so large that some hosts of each zone collect loads."""
    return len(forwarding.hosts) > defaults.LARGE_FLEET_HOSTS


def list_collectors(forwarding: ForwardingState, zone: str) -> list[str]:
    """Return the hosts of a zone that collect; all agree on them, if they agree on the fleet."""
    hosts = [host for host, host_zone in forwarding.hosts.items() if host_zone == zone]
    return sorted(hosts, key=_hash_host)[:COLLECTORS_PER_ZONE]


def _hash_host(host: str) -> int:
    return xxhash.xxh3_64_intdigest(host.encode())


def choose_relays(forwarding: ForwardingState) -> list[str]:
    """Return one host of each other zone; another one each time, so that none is needed."""
    by_zone: dict[str, list[str]] = {}
    for host, zone in forwarding.hosts.items():
        if zone != forwarding.settings.zone:
            by_zone.setdefault(zone, []).append(host)
    return [forwarding.generator.choice(hosts) for hosts in by_zone.values()]


def _queue_for_zone(sharing: LoadSharing, message: LoadMessage) -> None:
    packet = seal(sharing.key, message)
    own_zone = sharing.forwarding.settings.zone
    for host, zone in sharing.forwarding.hosts.items():
        if zone == own_zone and host != sharing.own_host:
            sharing.outbox.append((packet, host))
    sharing.wakeup.set()


async def _send(sharing: LoadSharing, packet: bytes, host: str) -> None:
    ip, _, port = host.rpartition(":")
    try:
        await sharing.socket.sendto(packet, ip, int(port))
    except STREAM_ERRORS as error:
        logger.bind(peer=host, error=repr(error)).debug("a load datagram was not sent")


# Receiving.


async def _receive(sharing: LoadSharing) -> None:
    while True:
        try:
            packet, _ = await sharing.socket.receive()
        except STREAM_ERRORS:
            return
        handle_datagram(sharing, packet, time.monotonic())


def handle_datagram(sharing: LoadSharing, packet: bytes, now: float) -> None:
    """Take over what other hosts told, and pass on what is meant for this zone."""
    message = unseal(sharing.key, packet)
    if isinstance(message, LoadTotals):
        _take_totals(sharing, message, now)
        return
    if isinstance(message, ZoneTotals):
        take_zone(sharing, message, now)
        return
    if message is None or message.host == sharing.own_host:
        return
    for told in message.failures:
        endpoint = sharing.forwarding.by_key.get(told.endpoint)
        if endpoint is not None:
            _take_failure(sharing, endpoint, message.host, told, now)
    if message.for_zone and is_collecting(sharing.forwarding):
        collect(sharing, message, now)
        return
    for told in message.loads:
        endpoint = sharing.forwarding.by_key.get(told.endpoint)
        if endpoint is not None:
            set_other_load(endpoint, message.host, read_load(told, now))
    if message.for_zone:
        message.for_zone = False
        _queue_for_zone(sharing, message)


def _take_failure(
    sharing: LoadSharing, endpoint: Endpoint, name: str, told: EndpointFailure, now: float
) -> None:
    """Take over what a host, or the total of several, told of an endpoint."""
    store_failure_report(endpoint, name, read_failure(told, now), now)
    if told.leaving and apply_reported_leaving(sharing.forwarding, endpoint):
        logger.bind(endpoint=endpoint.name, peer=name).info(
            "another host told that an endpoint leaves"
        )


def collect(sharing: LoadSharing, share: LoadShare, now: float) -> None:
    """Take over a host's loads to tell their totals to this zone."""
    collection, by_key = sharing.collection, sharing.forwarding.by_key
    record_contact(collection, now)
    if is_complete(collection, now):
        sharing.forwarding.loads_received_at = now
    for told in share.failures:
        if told.endpoint in by_key:
            mark_changed(collection, share.host, by_key[told.endpoint].name)
    _add_loads(sharing, share.host, share.loads, now)


def take_zone(sharing: LoadSharing, totals: ZoneTotals, now: float) -> None:
    """Take over the total of another zone, and pass it on to the other hosts that collect."""
    forwarding = sharing.forwarding
    name = ZONE_TOTAL_PREFIX + totals.zone
    for told in totals.failures:
        endpoint = forwarding.by_key.get(told.endpoint)
        if endpoint is not None:
            _take_failure(sharing, endpoint, name, told, now)
            mark_changed(sharing.collection, name, endpoint.name)
    _add_loads(sharing, name, totals.loads, now)
    if totals.is_first:
        totals.is_first = False
        packet = seal(sharing.key, totals)
        for host in list_collectors(forwarding, forwarding.settings.zone):
            if host != sharing.own_host:
                sharing.outbox.append((packet, host))
        sharing.wakeup.set()


def _add_loads(
    sharing: LoadSharing, name: str, loads: tuple[EndpointLoad, ...], now: float
) -> None:
    """Add what a host or another zone has at endpoints, and take over the total of all."""
    collection = sharing.collection
    for told in loads:
        endpoint = sharing.forwarding.by_key.get(told.endpoint)
        if endpoint is None:
            continue
        store_load(collection, name, endpoint.name, read_load(told, now))
        if is_complete(collection, now):
            others = compute_total(collection, endpoint.name, now, without=sharing.own_host)
            set_other_load(endpoint, OTHER_HOSTS_TOTAL, others)


def _take_totals(sharing: LoadSharing, totals: LoadTotals, now: float) -> None:
    by_key = sharing.forwarding.by_key
    sharing.forwarding.loads_received_at = now
    sharing.totals_heard_at[totals.host] = now
    if is_complete(sharing.collection, now):
        # What this host collects itself is newer, and would be counted twice.
        return
    for told in totals.failures:
        if told.endpoint in by_key:
            _take_failure(sharing, by_key[told.endpoint], OTHER_HOSTS_TOTAL, told, now)
    for told in totals.loads:
        endpoint = by_key.get(told.endpoint)
        if endpoint is not None:
            set_other_load(
                endpoint, OTHER_HOSTS_TOTAL, subtract_own_load(endpoint, read_load(told, now), now)
            )


# Repeating.


async def _pass_on_totals(sharing: LoadSharing) -> None:
    while True:
        is_due = is_complete(sharing.collection, time.monotonic())
        interval = compute_totals_interval(sharing.forwarding)
        await anyio.sleep(interval if is_due else REPEAT_SECONDS)
        queue_totals(sharing, time.monotonic())


def compute_totals_interval(forwarding: ForwardingState) -> float:
    """Return the seconds between two totals that a host tells its zone."""
    own_zone = forwarding.settings.zone
    listeners = sum(zone == own_zone for zone in forwarding.hosts.values()) - 1
    return max(COALESCE_SECONDS, listeners / TOTALS_PER_SECOND)


def queue_totals(sharing: LoadSharing, now: float) -> None:
    """Queue the totals that changed: those of all for this zone, those of this zone for others.

    If nothing changed, an empty message says so once in a while.
    """
    collection = sharing.collection
    if not is_complete(collection, now):
        return
    names, collection.changed = list(collection.changed), {}
    if not is_speaker(sharing, now):
        collection.changed_in_zone = {}
        return
    if collection.changed_in_zone and now - sharing.zones_told_at >= ZONE_TOTALS_SECONDS:
        here, collection.changed_in_zone = list(collection.changed_in_zone), {}
        sharing.zones_told_at = now
        _queue_for_other_zones(sharing, here, now)
    if not names and now - sharing.told_at < SPEAKER_INTERVAL_SECONDS:
        return
    sharing.told_at = now
    for first in range(0, max(1, len(names)), MAX_LOADS):
        loads, failures = _describe(sharing, names[first : first + MAX_LOADS], now)
        _queue_for_zone(sharing, LoadTotals(sharing.own_host, loads, failures))


def is_speaker(sharing: LoadSharing, now: float) -> bool:
    """Return whether this host tells totals, because no collecting host before it does."""
    for host in list_collectors(sharing.forwarding, sharing.forwarding.settings.zone):
        if host == sharing.own_host:
            return True
        if now - sharing.totals_heard_at.get(host, -math.inf) < SPEAKER_SILENCE_SECONDS:
            return False
    return True


def _queue_for_other_zones(sharing: LoadSharing, names: list[str], now: float) -> None:
    forwarding = sharing.forwarding
    own_zone = forwarding.settings.zone
    for first in range(0, len(names), MAX_LOADS):
        part = names[first : first + MAX_LOADS]
        loads, failures = _describe(sharing, part, now, only_this_zone=True)
        packet = seal(sharing.key, ZoneTotals(own_zone, True, loads, failures))
        for zone in set(forwarding.hosts.values()) - {own_zone}:
            # Another one each time, so that the death of one loses half of the news at most.
            host = forwarding.generator.choice(list_collectors(forwarding, zone))
            sharing.outbox.append((packet, host))
    sharing.wakeup.set()


def _describe(
    sharing: LoadSharing, names: list[str], now: float, only_this_zone: bool = False
) -> tuple[tuple[EndpointLoad, ...], tuple[EndpointFailure, ...]]:
    """Return the totals and the failures of the endpoints named."""
    loads, failures = [], []
    for name in names:
        endpoint = sharing.forwarding.endpoints.get(name)
        if endpoint is None:
            continue
        total = compute_total(sharing.collection, name, now, only_this_zone=only_this_zone)
        loads.append(make_load(endpoint, total, now))
        report = combine_reports(endpoint, now, ZONE_TOTAL_PREFIX if only_this_zone else "")
        if report is not None or endpoint.signalled_leaving:
            failures.append(make_failure(endpoint, report or FailureReport(0, now), now))
    return tuple(loads), tuple(failures)


async def _repeat(sharing: LoadSharing) -> None:
    while True:
        await anyio.sleep(REPEAT_SECONDS)
        now = time.monotonic()
        drop_old_host_loads(sharing.collection, LOAD_LIFETIME_SECONDS, now)
        for endpoint in list(sharing.forwarding.endpoints.values()):
            drop_old_loads(endpoint, now)
            drop_old_reports(endpoint, now)
            if endpoint.load.requests or now < endpoint.avoid_until:
                mark_load_changed(sharing, endpoint)
        if is_collecting(sharing.forwarding) and not sharing.changed:
            queue_loads(sharing, [], now)
            sharing.wakeup.set()
