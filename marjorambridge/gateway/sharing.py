"""Report the load of this host at each endpoint to the other hosts in datagrams.

Lost datagrams are not sent again: all loads are repeated every second, so another host's data is
stale for a second at most. Traffic between zones is costly, so one host of each other zone gets a
datagram and relays it to its zone. In a large fleet, aggregating hosts of each zone add up the
loads of its hosts, and send the total of their zone to the other zones and the total of the fleet
to their own. Otherwise the datagrams that a host receives would grow with the traffic of the fleet.

Placement works with outdated loads, so an error while sharing them is logged and does not end the
process, which serves callers.
"""

import math
import time
from collections import deque
from collections.abc import Callable, Iterator

import anyio
import xxhash
from anyio.abc import TaskGroup, UDPSocket
from loguru import logger
from msgspec import Struct, field

from marjorambridge.conf import defaults
from marjorambridge.core.effects import Measure
from marjorambridge.forwarding.aggregation import (
    ZONE_TOTAL_PREFIX,
    LoadAggregation,
    compute_total,
    compute_total_use,
    drop_old_host_loads,
    drop_old_host_uses,
    is_complete,
    mark_changed,
    record_contact,
    store_load,
    store_use,
    subtract_own_load,
)
from marjorambridge.forwarding.crashes import Crash
from marjorambridge.forwarding.health import combine_reports, drop_old_reports, store_failure_report
from marjorambridge.forwarding.hints import apply_reported_leaving
from marjorambridge.forwarding.loads import (
    LOAD_LIFETIME_SECONDS,
    advance_prefills,
    drop_old_loads,
    set_other_load,
)
from marjorambridge.forwarding.messages import (
    CrashReport,
    EndpointFailure,
    EndpointLoad,
    LoadShare,
    LoadTotals,
    WorkspaceUse,
    ZoneTotals,
)
from marjorambridge.forwarding.request_limits import has_recent_limit
from marjorambridge.forwarding.slowdowns import (
    apply_slowdown_report,
    compute_total_slowdown,
    is_slowdown_reported,
)
from marjorambridge.forwarding.state import (
    OTHER_HOSTS_TOTAL,
    Endpoint,
    FailureReport,
    ForwardingState,
)
from marjorambridge.gateway.crash_reports import (
    apply_report,
    build_repeated_reports,
    build_reports,
)
from marjorambridge.gateway.datagrams import (
    LoadMessage,
    apply_reported_limit,
    build_load_share,
    decode_datagram,
    decode_failure,
    decode_load,
    decode_seconds,
    decode_use,
    encode_datagram,
    encode_failure,
    encode_load,
    encode_uses,
)
from marjorambridge.gateway.streams import STREAM_ERRORS
from marjorambridge.scheduling.rooms import (
    apply_reported_decline,
    combine_declines,
    drop_old_declines,
    get_own_declined_until,
)
from marjorambridge.scheduling.shares import list_over_share
from marjorambridge.scheduling.usage import (
    drop_old_uses,
    mark_all_changed,
    set_other_use,
    subtract_reported_use,
    take_reports,
)

# Changes within this time in seconds are sent together.
COALESCE_SECONDS = 0.01
REPEAT_SECONDS = 1.0
# Limit of the datagrams with totals that one host sends to its zone, which bounds its CPU time and
# bandwidth. The fewer hosts a zone has, the sooner each of them receives a change.
TOTALS_PER_SECOND = 1_500.0
# Interval in seconds at which zones exchange their totals; traffic between zones is costly.
ZONE_TOTALS_SECONDS = 0.05
# Aggregating hosts of each zone; the second one takes over when the first one fails.
AGGREGATORS_PER_ZONE = 2
# Only the designated reporter sends totals. The next aggregating host takes over when no totals
# arrived within the timeout; without changes, the reporter sends empty ones at the heartbeat
# interval.
REPORTER_TIMEOUT_SECONDS = 0.75
REPORTER_HEARTBEAT_SECONDS = 0.3
MAX_QUEUED_DATAGRAMS = 1_000
# Loads and uses of workspaces in one datagram, so that it fits a packet of 1,500 bytes.
MAX_LOADS_PER_DATAGRAM = 40
# Hosts of this zone and of other ones that get repeated reports of crashes each second. A host that
# has just started learns of them within three seconds.
CRASH_REPORT_PEERS = 2
CRASH_REPORT_OTHER_ZONE_PEERS = 1
# Logs an error of what is done in this context, and goes on after it.
LOGGED_ERRORS = logger.catch(message="sharing the loads failed")


class LoadSharing(Struct):
    """Store the socket and the endpoints whose load must be reported.

    Attributes
    ----------
    own_host : str
        ``ip:port`` of this host's socket; the other hosts use the same port.
    changed : dict of str to None
        Endpoints whose load must be reported, in order.
    outbox : deque of (bytes, str)
        Datagrams to send, with their receivers; if there are too many, the oldest are dropped.
    aggregation : LoadAggregation
        Loads that hosts of a large fleet reported to this one.
    totals_sent_at, zone_totals_sent_at : float
        Monotonic times in seconds when this host last sent totals to its zone and to other ones.
    use_totals_sent_at : float
        Monotonic time in seconds when this host last sent totals of workspaces.
    last_totals_at : dict of str to float
        Monotonic times in seconds of the last totals from hosts of this zone.
    over_share : frozenset of int
        Workspaces that used more than their shares at the last check, by key.
    record_metric : callable
        Records a gauge.
    """

    forwarding: ForwardingState
    own_host: str
    key: bytes
    changed: dict[str, None] = field(default_factory=dict)
    outbox: deque[tuple[bytes, str]] = field(
        default_factory=lambda: deque(maxlen=MAX_QUEUED_DATAGRAMS)
    )
    aggregation: LoadAggregation = field(default_factory=LoadAggregation)
    totals_sent_at: float = -math.inf
    zone_totals_sent_at: float = -math.inf
    use_totals_sent_at: float = -math.inf
    last_totals_at: dict[str, float] = field(default_factory=dict)
    over_share: frozenset[int] = frozenset()
    record_metric: Callable[[Measure], None] = field(default=lambda effect: None)
    wakeup: anyio.Event = field(default_factory=anyio.Event)
    socket: UDPSocket | None = None


async def start_sharing(sharing: LoadSharing, tasks: TaskGroup) -> None:
    """Bind the socket and start to send and receive."""
    ip, _, port = sharing.own_host.rpartition(":")
    sharing.socket = await anyio.create_udp_socket(local_host=ip, local_port=int(port))
    tasks.start_soon(_receive, sharing)
    start_sharing_tasks(sharing, tasks)


def start_sharing_tasks(sharing: LoadSharing, tasks: TaskGroup) -> None:
    """Start to send on a bound socket; `handle_datagram` must be called for received datagrams."""
    sharing.forwarding.usage.notify_waiting = lambda: sharing.wakeup.set()
    tasks.start_soon(_send_datagrams, sharing)
    tasks.start_soon(_repeat_loads, sharing)
    tasks.start_soon(_queue_totals_periodically, sharing)


async def close_sharing(sharing: LoadSharing) -> None:
    """Close the socket."""
    if sharing.socket is not None:
        await sharing.socket.aclose()


def mark_load_changed(sharing: LoadSharing, endpoint: Endpoint) -> None:
    """Mark the load at an endpoint to be reported to the other hosts.

    Requests that are passed on to another host are in the loads that it reports itself.
    """
    if endpoint.is_peer:
        return
    sharing.changed[endpoint.name] = None
    sharing.wakeup.set()


# Sending.


async def _send_datagrams(sharing: LoadSharing) -> None:
    # Only this task writes to the socket, which supports one writer at a time.
    while True:
        await sharing.wakeup.wait()
        sharing.wakeup = anyio.Event()
        if sharing.changed or has_use_reports(sharing.forwarding):
            await anyio.sleep(COALESCE_SECONDS)
            names, sharing.changed = list(sharing.changed), {}
            with LOGGED_ERRORS:
                queue_loads(sharing, names, time.monotonic())
        while sharing.outbox:
            datagram, host = sharing.outbox.popleft()
            await _send(sharing, datagram, host)


def queue_loads(sharing: LoadSharing, names: list[str], now: float) -> None:
    """Queue the loads of this host at the named endpoints; without names, queue a heartbeat."""
    forwarding = sharing.forwarding
    has_reports = has_use_reports(forwarding)
    reports = encode_uses(take_reports(forwarding.usage, now)) if has_reports else ()
    for part, uses in split_entries(names, reports):
        share = build_load_share(forwarding, sharing.own_host, part, now, for_zone=True)
        share.workspaces = uses or None
        datagram = encode_datagram(sharing.key, share)
        if uses_aggregation(forwarding):
            for host in list_aggregators(forwarding, forwarding.settings.zone):
                if host == sharing.own_host:
                    aggregate_share(sharing, share, now)
                else:
                    sharing.outbox.append((datagram, host))
            continue
        for host in choose_relays(forwarding):
            sharing.outbox.append((datagram, host))
        share.for_zone = False
        _queue_for_zone(sharing, share)


def has_use_reports(forwarding: ForwardingState) -> bool:
    """Return whether uses of workspaces must be reported, which only planned services need."""
    return bool(forwarding.planned and forwarding.usage.changed)


def split_entries(
    names: list[str], uses: tuple[WorkspaceUse, ...]
) -> Iterator[tuple[list[str], tuple[WorkspaceUse, ...]]]:
    """Yield the endpoints and uses for each datagram; an empty part if there are none.

    Examples
    --------
    >>> use = WorkspaceUse(1, 0)
    >>> [(len(names), len(uses)) for names, uses in split_entries(["e"] * 50, (use,) * 40)]
    [(40, 0), (10, 30), (0, 10)]
    >>> list(split_entries([], ()))
    [([], ())]
    """
    for first in range(0, max(1, len(names) + len(uses)), MAX_LOADS_PER_DATAGRAM):
        last = first + MAX_LOADS_PER_DATAGRAM
        first_use, last_use = max(0, first - len(names)), max(0, last - len(names))
        yield names[first:last], uses[first_use:last_use]


def uses_aggregation(forwarding: ForwardingState) -> bool:
    """Return whether the fleet is so large that loads are aggregated in each zone."""
    return len(forwarding.hosts) > defaults.LARGE_FLEET_HOSTS


def list_aggregators(forwarding: ForwardingState, zone: str) -> list[str]:
    """Return the aggregating hosts of a zone; the result depends only on the list of hosts."""
    hosts = [host for host, host_zone in forwarding.hosts.items() if host_zone == zone]
    return sorted(hosts, key=_hash_host)[:AGGREGATORS_PER_ZONE]


def _hash_host(host: str) -> int:
    return xxhash.xxh3_64_intdigest(host.encode())


def choose_relays(forwarding: ForwardingState) -> list[str]:
    """Return a random host of each other zone, so that no zone depends on a single relay."""
    by_zone: dict[str, list[str]] = {}
    for host, zone in forwarding.hosts.items():
        if zone != forwarding.settings.zone:
            by_zone.setdefault(zone, []).append(host)
    return [forwarding.generator.choice(hosts) for hosts in by_zone.values()]


def _queue_for_zone(sharing: LoadSharing, message: LoadMessage) -> None:
    datagram = encode_datagram(sharing.key, message)
    own_zone = sharing.forwarding.settings.zone
    for host, zone in sharing.forwarding.hosts.items():
        if zone == own_zone and host != sharing.own_host:
            sharing.outbox.append((datagram, host))
    sharing.wakeup.set()


async def _send(sharing: LoadSharing, datagram: bytes, host: str) -> None:
    assert sharing.socket is not None, "start_sharing opens the socket"
    ip, _, port = host.rpartition(":")
    try:
        await sharing.socket.sendto(datagram, ip, int(port))
    except STREAM_ERRORS as error:
        logger.bind(peer=host, error=repr(error)).debug("a load datagram was not sent")


def queue_crashes(
    sharing: LoadSharing, crashes: list[Crash], answered: list[int], now: float
) -> None:
    """Queue new crashes, and suspects that were just answered, for all hosts."""
    for report in build_reports(sharing.own_host, crashes, answered, now):
        datagram = encode_datagram(sharing.key, report)
        for host in choose_relays(sharing.forwarding):
            sharing.outbox.append((datagram, host))
        report.for_zone = False
        _queue_for_zone(sharing, report)


def queue_repeated_crashes(sharing: LoadSharing, now: float) -> None:
    """Queue recent crashes and blocked causes for a few random hosts."""
    forwarding = sharing.forwarding
    reports = build_repeated_reports(sharing.own_host, forwarding.crashes, now)
    if not reports:
        return
    own_zone = forwarding.settings.zone
    near = [
        host
        for host, zone in forwarding.hosts.items()
        if zone == own_zone and host != sharing.own_host
    ]
    far = [host for host, zone in forwarding.hosts.items() if zone != own_zone]
    generator = forwarding.generator
    peers = generator.sample(near, min(len(near), CRASH_REPORT_PEERS))
    peers += generator.sample(far, min(len(far), CRASH_REPORT_OTHER_ZONE_PEERS))
    for report in reports:
        datagram = encode_datagram(sharing.key, report)
        sharing.outbox.extend((datagram, host) for host in peers)
    sharing.wakeup.set()


# Receiving.


async def _receive(sharing: LoadSharing) -> None:
    assert sharing.socket is not None, "start_sharing opens the socket"
    while True:
        try:
            datagram, _ = await sharing.socket.receive()
        except STREAM_ERRORS:
            return
        with LOGGED_ERRORS:
            handle_datagram(sharing, datagram, time.monotonic())


def handle_datagram(sharing: LoadSharing, datagram: bytes, now: float) -> None:
    """Apply the loads and failures in a datagram, and relay it if it is for this zone."""
    message = decode_datagram(sharing.key, datagram)
    if isinstance(message, LoadTotals):
        _apply_totals(sharing, message, now)
        return
    if isinstance(message, ZoneTotals):
        apply_zone_totals(sharing, message, now)
        return
    if message is None or message.host == sharing.own_host:
        return
    if isinstance(message, CrashReport):
        _apply_crash_report(sharing, message, now)
        return
    for failure in message.failures:
        endpoint = sharing.forwarding.by_key.get(failure.endpoint)
        if endpoint is not None:
            _apply_failure(sharing, endpoint, message.host, failure, now)
    if message.for_zone and uses_aggregation(sharing.forwarding):
        aggregate_share(sharing, message, now)
        return
    for reported in message.loads:
        endpoint = sharing.forwarding.by_key.get(reported.endpoint)
        if endpoint is not None:
            set_other_load(endpoint, message.host, decode_load(reported, now))
    for use in message.workspaces or ():
        set_other_use(sharing.forwarding.usage, message.host, use.workspace, decode_use(use, now))
    if message.for_zone:
        message.for_zone = False
        _queue_for_zone(sharing, message)


def _apply_crash_report(sharing: LoadSharing, report: CrashReport, now: float) -> None:
    answer = apply_report(sharing.forwarding.crashes, report, sharing.own_host, now)
    if answer is not None:
        sharing.outbox.append((encode_datagram(sharing.key, answer), report.host))
        sharing.wakeup.set()
    if report.for_zone:
        report.for_zone = False
        _queue_for_zone(sharing, report)


def _apply_failure(
    sharing: LoadSharing, endpoint: Endpoint, name: str, reported: EndpointFailure, now: float
) -> None:
    """Apply failures of an endpoint that a host, or an aggregated total, reports."""
    apply_slowdown_report(endpoint, name, reported.slowdown_percent, now)
    store_failure_report(endpoint, name, decode_failure(reported, now), now)
    if endpoint.service in sharing.forwarding.planned:
        declined_seconds = decode_seconds(reported.declined_milliseconds or 0)
        apply_reported_decline(endpoint, name, declined_seconds, now)
    if apply_reported_limit(endpoint, reported, now):
        logger.bind(endpoint=endpoint.name, peer=name, request_limit=reported.request_limit).info(
            "another host reported the limit of an endpoint"
        )
    if reported.leaving and apply_reported_leaving(sharing.forwarding, endpoint):
        logger.bind(endpoint=endpoint.name, peer=name).info(
            "another host reported that an endpoint is leaving"
        )


def aggregate_share(sharing: LoadSharing, share: LoadShare, now: float) -> None:
    """Add the loads of a host to the totals for this zone."""
    aggregation, by_key = sharing.aggregation, sharing.forwarding.by_key
    record_contact(aggregation, now)
    if is_complete(aggregation, now):
        sharing.forwarding.loads_received_at = now
    for reported in share.failures:
        if reported.endpoint in by_key:
            mark_changed(aggregation, share.host, by_key[reported.endpoint].name)
    _add_loads(sharing, share.host, share.loads, now)
    _add_uses(sharing, share.host, share.workspaces or (), now)


def apply_zone_totals(sharing: LoadSharing, totals: ZoneTotals, now: float) -> None:
    """Apply the totals of another zone, and relay them to the other aggregating hosts."""
    forwarding = sharing.forwarding
    name = ZONE_TOTAL_PREFIX + totals.zone
    for reported in totals.failures:
        endpoint = forwarding.by_key.get(reported.endpoint)
        if endpoint is not None:
            _apply_failure(sharing, endpoint, name, reported, now)
            mark_changed(sharing.aggregation, name, endpoint.name)
    _add_loads(sharing, name, totals.loads, now)
    _add_uses(sharing, name, totals.workspaces or (), now)
    if totals.is_first:
        totals.is_first = False
        datagram = encode_datagram(sharing.key, totals)
        for host in list_aggregators(forwarding, forwarding.settings.zone):
            if host != sharing.own_host:
                sharing.outbox.append((datagram, host))
        sharing.wakeup.set()


def _add_loads(
    sharing: LoadSharing, name: str, loads: tuple[EndpointLoad, ...], now: float
) -> None:
    """Store the loads of a host or another zone, and update the totals of the other hosts."""
    aggregation = sharing.aggregation
    for reported in loads:
        endpoint = sharing.forwarding.by_key.get(reported.endpoint)
        if endpoint is None:
            continue
        store_load(aggregation, name, endpoint.name, decode_load(reported, now))
        if is_complete(aggregation, now):
            others = compute_total(
                aggregation,
                endpoint.name,
                now,
                without=sharing.own_host,
                is_planned=endpoint.is_planned,
            )
            set_other_load(endpoint, OTHER_HOSTS_TOTAL, others)


def _add_uses(sharing: LoadSharing, name: str, uses: tuple[WorkspaceUse, ...], now: float) -> None:
    """Store the uses of a host or another zone, and update the totals of the other hosts."""
    aggregation = sharing.aggregation
    for reported in uses:
        key = reported.workspace
        store_use(aggregation, name, key, decode_use(reported, now))
        if is_complete(aggregation, now):
            others = compute_total_use(aggregation, key, now, without=sharing.own_host)
            set_other_use(sharing.forwarding.usage, OTHER_HOSTS_TOTAL, key, others)


def _apply_totals(sharing: LoadSharing, totals: LoadTotals, now: float) -> None:
    by_key = sharing.forwarding.by_key
    sharing.forwarding.loads_received_at = now
    sharing.last_totals_at[totals.host] = now
    if is_complete(sharing.aggregation, now):
        # The loads that this host aggregates itself are newer, and would be counted twice.
        return
    for failure in totals.failures:
        if failure.endpoint in by_key:
            _apply_failure(sharing, by_key[failure.endpoint], OTHER_HOSTS_TOTAL, failure, now)
    for reported in totals.loads:
        endpoint = by_key.get(reported.endpoint)
        if endpoint is not None:
            advance_prefills(endpoint, now)
            set_other_load(
                endpoint,
                OTHER_HOSTS_TOTAL,
                subtract_own_load(endpoint, decode_load(reported, now), now),
            )
    usage = sharing.forwarding.usage
    for use in totals.workspaces or ():
        others = subtract_reported_use(usage, use.workspace, decode_use(use, now))
        set_other_use(usage, OTHER_HOSTS_TOTAL, use.workspace, others)


# Periodic tasks.


async def _queue_totals_periodically(sharing: LoadSharing) -> None:
    while True:
        is_due = is_complete(sharing.aggregation, time.monotonic())
        interval = compute_totals_interval(sharing.forwarding)
        await anyio.sleep(interval if is_due else REPEAT_SECONDS)
        with LOGGED_ERRORS:
            queue_totals(sharing, time.monotonic())


def compute_totals_interval(forwarding: ForwardingState) -> float:
    """Return the seconds between two reports of totals from a host to its zone."""
    own_zone = forwarding.settings.zone
    receivers = sum(zone == own_zone for zone in forwarding.hosts.values()) - 1
    return max(COALESCE_SECONDS, receivers / TOTALS_PER_SECOND)


def queue_totals(sharing: LoadSharing, now: float) -> None:
    """Queue changed totals: those of the fleet for this zone, and those of this zone for others.

    Without changes, an empty message is queued at the heartbeat interval.
    """
    aggregation = sharing.aggregation
    if not is_complete(aggregation, now):
        return
    names, aggregation.changed = list(aggregation.changed), {}
    uses, zone_uses = _take_use_totals(sharing, now)
    if not is_designated_reporter(sharing, now):
        aggregation.changed_in_zone = {}
        return
    is_zone_due = now - sharing.zone_totals_sent_at >= ZONE_TOTALS_SECONDS
    if zone_uses or (aggregation.changed_in_zone and is_zone_due):
        zone_names, aggregation.changed_in_zone = list(aggregation.changed_in_zone), {}
        sharing.zone_totals_sent_at = now
        _queue_for_other_zones(sharing, zone_names, zone_uses, now)
    if not (names or uses) and now - sharing.totals_sent_at < REPORTER_HEARTBEAT_SECONDS:
        return
    sharing.totals_sent_at = now
    for part, part_uses in split_entries(names, uses):
        loads, failures = _build_totals(sharing, part, now)
        _queue_for_zone(sharing, LoadTotals(sharing.own_host, loads, failures, part_uses or None))


def _take_use_totals(
    sharing: LoadSharing, now: float
) -> tuple[tuple[WorkspaceUse, ...], tuple[WorkspaceUse, ...]]:
    """Return the changed uses of the fleet and of this zone, if it is time to send them."""
    aggregation = sharing.aggregation
    if now - sharing.use_totals_sent_at < defaults.USE_TOTALS_SECONDS:
        return (), ()
    drop_old_host_uses(aggregation, now)
    keys, aggregation.changed_uses = aggregation.changed_uses, {}
    zone_keys, aggregation.changed_uses_in_zone = aggregation.changed_uses_in_zone, {}
    if not keys or not sharing.forwarding.planned:
        return (), ()
    sharing.use_totals_sent_at = now
    totals = {key: compute_total_use(aggregation, key, now) for key in keys}
    zone_totals = {
        key: compute_total_use(aggregation, key, now, only_this_zone=True) for key in zone_keys
    }
    return encode_uses(totals), encode_uses(zone_totals)


def is_designated_reporter(sharing: LoadSharing, now: float) -> bool:
    """Return whether this host is the designated reporter, which sends the totals.

    It is if no aggregating host before it has sent totals within the timeout.
    """
    for host in list_aggregators(sharing.forwarding, sharing.forwarding.settings.zone):
        if host == sharing.own_host:
            return True
        if now - sharing.last_totals_at.get(host, -math.inf) < REPORTER_TIMEOUT_SECONDS:
            return False
    return True


def _queue_for_other_zones(
    sharing: LoadSharing, names: list[str], uses: tuple[WorkspaceUse, ...], now: float
) -> None:
    forwarding = sharing.forwarding
    own_zone = forwarding.settings.zone
    for part, part_uses in split_entries(names, uses):
        loads, failures = _build_totals(sharing, part, now, only_this_zone=True)
        totals = ZoneTotals(own_zone, True, loads, failures, part_uses or None)
        datagram = encode_datagram(sharing.key, totals)
        for zone in set(forwarding.hosts.values()) - {own_zone}:
            # A random choice, so that a failed aggregating host loses half of the totals at most.
            host = forwarding.generator.choice(list_aggregators(forwarding, zone))
            sharing.outbox.append((datagram, host))
    sharing.wakeup.set()


def _build_totals(
    sharing: LoadSharing, names: list[str], now: float, only_this_zone: bool = False
) -> tuple[tuple[EndpointLoad, ...], tuple[EndpointFailure, ...]]:
    """Return the totals and the failures of the named endpoints."""
    loads, failures = [], []
    for name in names:
        endpoint = sharing.forwarding.endpoints.get(name)
        if endpoint is None:
            continue
        total = compute_total(
            sharing.aggregation,
            name,
            now,
            only_this_zone=only_this_zone,
            is_planned=endpoint.is_planned,
        )
        loads.append(encode_load(endpoint, total, now))
        report = combine_reports(endpoint, now, ZONE_TOTAL_PREFIX if only_this_zone else "")
        has_hints = endpoint.signalled_leaving or has_recent_limit(endpoint, now)
        declined_until = combine_declines(endpoint, ZONE_TOTAL_PREFIX if only_this_zone else "")
        slowdown = compute_total_slowdown(endpoint, now, only_this_zone)
        if report is not None or has_hints or now < declined_until or slowdown is not None:
            report = report or FailureReport(0, now)
            failures.append(encode_failure(endpoint, report, now, declined_until, slowdown))
    return tuple(loads), tuple(failures)


async def _repeat_loads(sharing: LoadSharing) -> None:
    while True:
        await anyio.sleep(REPEAT_SECONDS)
        with LOGGED_ERRORS:
            repeat_loads(sharing, time.monotonic())


def repeat_loads(sharing: LoadSharing, now: float) -> None:
    """Queue what other hosts may have missed, and drop what they no longer report."""
    drop_old_host_loads(sharing.aggregation, LOAD_LIFETIME_SECONDS, now)
    for endpoint in list(sharing.forwarding.endpoints.values()):
        drop_old_loads(endpoint, now)
        drop_old_reports(endpoint, now)
        drop_old_declines(endpoint, now)
        is_told = now < endpoint.avoid_until or has_recent_limit(endpoint, now)
        is_told |= now < get_own_declined_until(endpoint)
        is_told |= is_slowdown_reported(sharing.forwarding, endpoint, now)
        # A prefill shard may last longer than the lifetime of a load that is not repeated.
        has_helps = endpoint.load.helps > 0 and endpoint.service in sharing.forwarding.planned
        if endpoint.load.requests or has_helps or is_told:
            mark_load_changed(sharing, endpoint)
    queue_repeated_crashes(sharing, now)
    repeat_uses(sharing, now)
    if uses_aggregation(sharing.forwarding) and not sharing.changed:
        queue_loads(sharing, [], now)
        sharing.wakeup.set()


def repeat_uses(sharing: LoadSharing, now: float) -> None:
    """Mark the uses of all workspaces to be reported, and record who is over its share."""
    forwarding = sharing.forwarding
    usage = forwarding.usage
    drop_old_uses(usage, now)
    mark_all_changed(usage)
    if has_use_reports(forwarding):
        sharing.wakeup.set()
    over_share = list_over_share(usage, now) if forwarding.planned else frozenset()
    if over_share == sharing.over_share:
        return
    sharing.over_share = over_share
    names = sorted(usage.own[key].name for key in over_share & usage.own.keys())
    logger.bind(workspaces=len(over_share), local_workspaces=",".join(names)).debug(
        "the workspaces that use more than their share changed"
    )
    sharing.record_metric(Measure("workspaces_over_share", len(over_share)))
