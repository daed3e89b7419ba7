"""Turn loads and failures into datagrams and back."""

import hashlib
import hmac
import math
from collections.abc import Iterable

from loguru import logger

from marjorambridge.forwarding.health import list_reportable_endpoints
from marjorambridge.forwarding.messages import (
    EndpointFailure,
    EndpointLoad,
    LoadShare,
    LoadTotals,
    ZoneTotals,
)
from marjorambridge.forwarding.state import Endpoint, FailureReport, ForwardingState, Load
from marjorambridge.wire.codec import decode_message, encode_message
from marjorambridge.wire.exceptions import WireError

MAC_BYTES = 8
# Kinds of messages, by the byte that begins a datagram after its MAC.
KINDS = ("forwarding.LoadShare", "forwarding.LoadTotals", "forwarding.ZoneTotals")
LoadMessage = LoadShare | LoadTotals | ZoneTotals
MILLISECONDS = 1_000


def make_load(endpoint: Endpoint, load: Load, now: float) -> EndpointLoad:
    """Return what a message tells of a load."""
    remaining = max(0.0, load.prefill_seconds - (now - load.as_of)) if load.reads else 0.0
    pause = min(load.pause_limits, default=math.inf)
    return EndpointLoad(
        endpoint.key,
        load.requests,
        load.reads,
        math.ceil(remaining * MILLISECONDS),
        load.kv_tokens,
        0 if math.isinf(pause) else max(1, round(pause * MILLISECONDS)),
    )


def read_load(told: EndpointLoad, now: float) -> Load:
    """Return the load that a message tells."""
    pause = told.pause_milliseconds / MILLISECONDS if told.pause_milliseconds else math.inf
    return Load(
        told.requests,
        told.reads,
        told.read_milliseconds / MILLISECONDS,
        told.kv_tokens,
        [pause] if told.requests else [],
        now,
    )


def make_failure(endpoint: Endpoint, report: FailureReport, now: float) -> EndpointFailure:
    """Return what a message tells of failures, and of an endpoint that leaves."""
    avoided = math.ceil(max(0.0, report.avoid_until - now) * MILLISECONDS)
    return EndpointFailure(
        endpoint.key, report.failures, avoided, report.hosts, endpoint.signalled_leaving
    )


def read_failure(told: EndpointFailure, now: float) -> FailureReport:
    """Return the failures that a message tells."""
    return FailureReport(
        told.failures, now + told.avoided_milliseconds / MILLISECONDS, max(1, told.hosts)
    )


def make_share(
    forwarding: ForwardingState, own_host: str, names: Iterable[str], now: float, for_zone: bool
) -> LoadShare:
    """Return a message of this host's load and failures at the endpoints named."""
    endpoints = [forwarding.endpoints[name] for name in names if name in forwarding.endpoints]
    loads = tuple(make_load(endpoint, endpoint.load, now) for endpoint in endpoints)
    reportable = {endpoint.name for endpoint in list_reportable_endpoints(forwarding, now)}
    failures = tuple(
        make_failure(endpoint, FailureReport(endpoint.failures, endpoint.avoid_until), now)
        for endpoint in endpoints
        if endpoint.name in reportable or endpoint.signalled_leaving
    )
    return LoadShare(own_host, for_zone, loads, failures)


def seal(key: bytes, message: LoadMessage) -> bytes:
    """Return the datagram of a message."""
    kind, body = encode_message(message)
    sealed = bytes([KINDS.index(kind)]) + body
    return _compute_mac(key, sealed) + sealed


def unseal(key: bytes, packet: bytes) -> LoadMessage | None:
    """Return the message of a datagram, or None if it is not of this fleet or can't be read."""
    mac, sealed = packet[:MAC_BYTES], packet[MAC_BYTES:]
    if not hmac.compare_digest(mac, _compute_mac(key, sealed)):
        logger.warning("refused a load datagram with a wrong MAC")
        return None
    try:
        return decode_message(KINDS[sealed[0]], sealed[1:])
    except (WireError, IndexError) as error:
        logger.bind(error=str(error)).warning("refused a load datagram that can't be read")
        return None


def _compute_mac(key: bytes, body: bytes) -> bytes:
    return hashlib.blake2b(body, key=key, digest_size=MAC_BYTES).digest()
