"""Tell the other gateways in datagrams what this one has at each endpoint.

A datagram that is lost leaves another host's picture old for at most a second, when all loads are
repeated; so none is sent twice. Bytes between zones are dear: one host of each other zone gets a
datagram and passes it on to its zone. In a large fleet one host of each zone collects what it
passes on, because the datagrams that a host receives would otherwise grow with the traffic of all.
"""

import hashlib
import hmac
import math
import time
from collections import deque
from dataclasses import dataclass, field

import anyio
import xxhash
from anyio.abc import TaskGroup, UDPSocket
from loguru import logger

from marjorambridge.conf import defaults
from marjorambridge.forwarding.health import drop_old_reports, list_reportable, take_report
from marjorambridge.forwarding.loads import drop_old_loads, take_other_load
from marjorambridge.forwarding.messages import (
    EndpointFailure,
    EndpointLoad,
    LoadBatch,
    LoadShare,
)
from marjorambridge.forwarding.state import Endpoint, ForwardingState, Load
from marjorambridge.gateway.streams import STREAM_ERRORS
from marjorambridge.wire.codec import decode_message, encode_message
from marjorambridge.wire.exceptions import WireError

# Changes within this time in seconds go out together.
COALESCE_SECONDS = 0.01
REPEAT_SECONDS = 1.0
# Large fleets collect what is passed on, for this time in seconds; in other ones each datagram is
# passed on at once.
COLLECT_SECONDS = 0.06
# Loads in one collected datagram.
MAX_BATCH_LOADS = 24
MAC_BYTES = 8
# Kinds of messages, by the byte that begins a datagram after its MAC.
KINDS = ("forwarding.LoadShare", "forwarding.LoadBatch")
MAX_QUEUED = 1_000
# Loads in one datagram, so that it fits a packet.
MAX_LOADS = 12


@dataclass(slots=True)
class LoadSharing:
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
    collected : dict of (str, str) to EndpointLoad
        Loads by host and endpoint that this host passes on to its zone next.
    collected_failures : dict of (str, str) to EndpointFailure
        The same for failures.
    """

    forwarding: ForwardingState
    own_host: str
    key: bytes
    changed: dict[str, None] = field(default_factory=dict)
    outbox: deque[tuple[bytes, str]] = field(default_factory=lambda: deque(maxlen=MAX_QUEUED))
    collected: dict[tuple[str, str], EndpointLoad] = field(default_factory=dict)
    collected_failures: dict[tuple[str, str], EndpointFailure] = field(default_factory=dict)
    wakeup: anyio.Event = field(default_factory=anyio.Event)
    socket: UDPSocket | None = None
    sent_bytes: int = 0


async def start_sharing(sharing: LoadSharing, tasks: TaskGroup) -> None:
    """Bind the socket and begin to send and receive."""
    ip, _, port = sharing.own_host.rpartition(":")
    sharing.socket = await anyio.create_udp_socket(local_host=ip, local_port=int(port))
    tasks.start_soon(_receive, sharing)
    tasks.start_soon(_send_packets, sharing)
    tasks.start_soon(_repeat, sharing)
    tasks.start_soon(_pass_on_collected, sharing)


async def close_sharing(sharing: LoadSharing) -> None:
    """Close the socket."""
    if sharing.socket is not None:
        await sharing.socket.aclose()


def note_change(sharing: LoadSharing, endpoint: Endpoint) -> None:
    """Have the load at an endpoint told to the other hosts."""
    sharing.changed[endpoint.name] = None
    sharing.wakeup.set()


async def _send_packets(sharing: LoadSharing) -> None:
    # Only this task writes to the socket, which takes one writer at a time.
    while True:
        await sharing.wakeup.wait()
        sharing.wakeup = anyio.Event()
        if sharing.changed:
            await anyio.sleep(COALESCE_SECONDS)
            _queue_changes(sharing)
        while sharing.outbox:
            packet, host = sharing.outbox.popleft()
            await _send(sharing, packet, host)


def _queue_changes(sharing: LoadSharing) -> None:
    names, sharing.changed = list(sharing.changed), {}
    now = time.monotonic()
    collects = is_collecting(sharing.forwarding)
    for first in range(0, len(names), MAX_LOADS):
        part = names[first : first + MAX_LOADS]
        packet = make_packet(sharing, part, now, for_zone=True)
        if collects:
            for host in list_collectors(sharing.forwarding):
                _queue_or_take(sharing, packet, host, now)
            continue
        _queue_for_zone(sharing, make_packet(sharing, part, now))
        for host in choose_relays(sharing.forwarding):
            sharing.outbox.append((packet, host))


def _queue_or_take(sharing: LoadSharing, packet: bytes, host: str, now: float) -> None:
    if host == sharing.own_host:
        pass_on(sharing, take_packet(sharing, packet, now))
    else:
        sharing.outbox.append((packet, host))


def is_collecting(forwarding: ForwardingState) -> bool:
    """Return whether the fleet is so large that one host of each zone collects loads."""
    return len(forwarding.hosts) > defaults.LARGE_FLEET_HOSTS


def list_collectors(forwarding: ForwardingState) -> list[str]:
    """Return the host of each zone that collects; all hosts agree on it, as far as they agree.

    Where they do not, or where a collector has just died, loads are old until the next repetition.
    """
    by_zone: dict[str, str] = {}
    for host, zone in forwarding.hosts.items():
        if zone not in by_zone or _hash(host) < _hash(by_zone[zone]):
            by_zone[zone] = host
    return list(by_zone.values())


def _hash(host: str) -> int:
    return xxhash.xxh3_64_intdigest(host.encode())


def pass_on(sharing: LoadSharing, share: LoadShare | None) -> None:
    """Pass a message that is meant for this zone on to its hosts, now or with others."""
    if share is None or not share.for_zone:
        return
    if is_collecting(sharing.forwarding):
        for load in share.loads:
            sharing.collected[share.host, load.endpoint] = load
        for failure in share.failures:
            sharing.collected_failures[share.host, failure.endpoint] = failure
        return
    share.for_zone = False
    _queue_for_zone(sharing, _seal(sharing, share))


async def _pass_on_collected(sharing: LoadSharing) -> None:
    while True:
        await anyio.sleep(COLLECT_SECONDS if is_collecting(sharing.forwarding) else REPEAT_SECONDS)
        queue_collected(sharing)


def queue_collected(sharing: LoadSharing) -> None:
    """Queue what was collected for the hosts of this zone."""
    items = [*sharing.collected.items(), *sharing.collected_failures.items()]
    sharing.collected, sharing.collected_failures = {}, {}
    for first in range(0, len(items), MAX_BATCH_LOADS):
        _queue_for_zone(
            sharing, _seal(sharing, _make_batch(items[first : first + MAX_BATCH_LOADS]))
        )


def _make_batch(items: list[tuple[tuple[str, str], EndpointLoad | EndpointFailure]]) -> LoadBatch:
    shares: dict[str, LoadShare] = {}
    for (host, _), item in items:
        share = shares.setdefault(host, LoadShare(host, False, ()))
        if isinstance(item, EndpointFailure):
            share.failures += (item,)
        else:
            share.loads += (item,)
    return LoadBatch(tuple(shares.values()))


def _queue_for_zone(sharing: LoadSharing, packet: bytes) -> None:
    own_zone = sharing.forwarding.settings.zone
    for host, zone in sharing.forwarding.hosts.items():
        if zone == own_zone and host != sharing.own_host:
            sharing.outbox.append((packet, host))
    sharing.wakeup.set()


def choose_relays(forwarding: ForwardingState) -> list[str]:
    """Return one host of each other zone; another one each time, so that none is needed."""
    by_zone: dict[str, list[str]] = {}
    for host, zone in forwarding.hosts.items():
        if zone != forwarding.settings.zone:
            by_zone.setdefault(zone, []).append(host)
    return [forwarding.generator.choice(hosts) for hosts in by_zone.values()]


async def _send(sharing: LoadSharing, packet: bytes, host: str) -> None:
    ip, _, port = host.rpartition(":")
    try:
        await sharing.socket.sendto(packet, ip, int(port))
        sharing.sent_bytes += len(packet)
    except STREAM_ERRORS as error:
        logger.bind(peer=host, error=repr(error)).debug("a load datagram was not sent")


def make_packet(
    sharing: LoadSharing, names: list[str], now: float, for_zone: bool = False
) -> bytes:
    """Return a datagram that tells this host's load and failures at the endpoints named."""
    failures = tuple(
        EndpointFailure(endpoint.name, endpoint.failures, endpoint.avoid_until - now)
        for endpoint in list_reportable(sharing.forwarding, now)
        if endpoint.name in names
    )
    loads = []
    for name in names:
        endpoint = sharing.forwarding.endpoints.get(name)
        if endpoint is None:
            continue
        load = endpoint.load
        remaining = max(0.0, load.read_seconds - (now - load.as_of)) if load.reads else 0.0
        pause = min(load.pauses, default=math.inf)
        loads.append(
            EndpointLoad(name, load.requests, load.reads, remaining, load.kv_tokens, pause)
        )
    return _seal(sharing, LoadShare(sharing.own_host, for_zone, tuple(loads), failures))


def _seal(sharing: LoadSharing, message: LoadShare | LoadBatch) -> bytes:
    kind, body = encode_message(message)
    sealed = bytes([KINDS.index(kind)]) + body
    return _compute_mac(sharing.key, sealed) + sealed


def _compute_mac(key: bytes, body: bytes) -> bytes:
    return hashlib.blake2b(body, key=key, digest_size=MAC_BYTES).digest()


async def _receive(sharing: LoadSharing) -> None:
    while True:
        try:
            packet, _ = await sharing.socket.receive()
        except STREAM_ERRORS:
            return
        pass_on(sharing, take_packet(sharing, packet, time.monotonic()))


def take_packet(sharing: LoadSharing, packet: bytes, now: float) -> LoadShare | None:
    """Take over what other hosts told.

    Returns
    -------
    LoadShare or None
        The message of one host; None for a batch, and if the datagram can't be read.
    """
    mac, sealed = packet[:MAC_BYTES], packet[MAC_BYTES:]
    if not hmac.compare_digest(mac, _compute_mac(sharing.key, sealed)):
        logger.warning("refused a load datagram with a wrong MAC")
        return None
    try:
        message = decode_message(KINDS[sealed[0]], sealed[1:])
    except (WireError, IndexError) as error:
        logger.bind(error=str(error)).warning("refused a load datagram that can't be read")
        return None
    if isinstance(message, LoadBatch):
        for share in message.shares:
            _take_share(sharing, share, now)
        return None
    _take_share(sharing, message, now)
    return message


def _take_share(sharing: LoadSharing, share: LoadShare, now: float) -> None:
    if share.host == sharing.own_host:
        return
    for told in share.loads:
        endpoint = sharing.forwarding.endpoints.get(told.endpoint)
        if endpoint is not None:
            load = Load(
                told.requests,
                told.reads,
                told.read_seconds,
                told.kv_tokens,
                [told.pause_seconds],
                now,
            )
            take_other_load(endpoint, share.host, load)
    for failure in share.failures:
        endpoint = sharing.forwarding.endpoints.get(failure.endpoint)
        if endpoint is not None:
            take_report(endpoint, share.host, failure.failures, failure.avoided_seconds, now)


async def _repeat(sharing: LoadSharing) -> None:
    while True:
        await anyio.sleep(REPEAT_SECONDS)
        now = time.monotonic()
        for endpoint in list(sharing.forwarding.endpoints.values()):
            drop_old_loads(endpoint, now)
            drop_old_reports(endpoint, now)
            if endpoint.load.requests or now < endpoint.avoid_until:
                note_change(sharing, endpoint)
