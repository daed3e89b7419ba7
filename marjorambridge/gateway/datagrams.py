"""Encode and decode the datagrams with loads and failures of endpoints."""

import hashlib
import hmac
import math
from collections.abc import Iterable

from loguru import logger

from marjorambridge.forwarding.health import list_reportable_endpoints
from marjorambridge.forwarding.messages import (
    CrashReport,
    EndpointFailure,
    EndpointLoad,
    LoadShare,
    LoadTotals,
    ZoneTotals,
)
from marjorambridge.forwarding.request_limits import (
    apply_request_limit,
    has_recent_limit,
    is_limited,
)
from marjorambridge.forwarding.state import Endpoint, FailureReport, ForwardingState, Load
from marjorambridge.wire.codec import decode_message, encode_message
from marjorambridge.wire.exceptions import WireError

MAC_BYTES = 8
# Kinds of messages; the byte after the MAC of a datagram is an index of this tuple.
KINDS = (
    "forwarding.LoadShare",
    "forwarding.LoadTotals",
    "forwarding.ZoneTotals",
    "forwarding.CrashReport",
)
LoadMessage = LoadShare | LoadTotals | ZoneTotals | CrashReport
MILLISECONDS_PER_SECOND = 1_000


def encode_load(endpoint: Endpoint, load: Load, now: float) -> EndpointLoad:
    """Return the message entry for the load of an endpoint."""
    remaining = max(0.0, load.prefill_seconds - (now - load.as_of)) if load.reads else 0.0
    pause_limit = min(load.pause_limits, default=math.inf)
    return EndpointLoad(
        endpoint.key,
        load.requests,
        load.reads,
        math.ceil(remaining * MILLISECONDS_PER_SECOND),
        load.kv_tokens,
        0 if math.isinf(pause_limit) else max(1, round(pause_limit * MILLISECONDS_PER_SECOND)),
    )


def decode_load(reported: EndpointLoad, now: float) -> Load:
    """Return the load that a message entry reports."""
    pause_limit = (
        reported.pause_milliseconds / MILLISECONDS_PER_SECOND
        if reported.pause_milliseconds
        else math.inf
    )
    return Load(
        reported.requests,
        reported.reads,
        reported.read_milliseconds / MILLISECONDS_PER_SECOND,
        reported.kv_tokens,
        [pause_limit] if reported.requests else [],
        now,
    )


def encode_failure(endpoint: Endpoint, report: FailureReport, now: float) -> EndpointFailure:
    """Return the message entry for the failures and the hints of an endpoint."""
    avoided = math.ceil(max(0.0, report.avoid_until - now) * MILLISECONDS_PER_SECOND)
    entry = EndpointFailure(
        endpoint.key, report.failures, avoided, report.hosts, endpoint.signalled_leaving
    )
    if has_recent_limit(endpoint, now):
        if is_limited(endpoint):
            entry.request_limit = endpoint.request_limit
        age = math.ceil((now - endpoint.limit_seen_at) * MILLISECONDS_PER_SECOND)
        entry.limit_age_milliseconds = max(0, age)
    return entry


def apply_reported_limit(endpoint: Endpoint, reported: EndpointFailure, now: float) -> bool:
    """Apply the limit that a message entry reports, if any; return whether it changed."""
    if reported.limit_age_milliseconds < 0 or math.isnan(reported.request_limit):
        return False
    rate = reported.request_limit if reported.request_limit >= 0 else math.inf
    seen_at = now - reported.limit_age_milliseconds / MILLISECONDS_PER_SECOND
    return apply_request_limit(endpoint, rate, seen_at)


def decode_failure(reported: EndpointFailure, now: float) -> FailureReport:
    """Return the failures that a message entry reports."""
    return FailureReport(
        reported.failures,
        now + reported.avoided_milliseconds / MILLISECONDS_PER_SECOND,
        max(1, reported.hosts),
    )


def build_load_share(
    forwarding: ForwardingState, own_host: str, names: Iterable[str], now: float, for_zone: bool
) -> LoadShare:
    """Return the message with the load and the failures of this host at the named endpoints."""
    endpoints = [forwarding.endpoints[name] for name in names if name in forwarding.endpoints]
    loads = tuple(encode_load(endpoint, endpoint.load, now) for endpoint in endpoints)
    reportable = {endpoint.name for endpoint in list_reportable_endpoints(forwarding, now)}
    failures = tuple(
        encode_failure(endpoint, FailureReport(endpoint.failures, endpoint.avoid_until), now)
        for endpoint in endpoints
        if endpoint.name in reportable
        or endpoint.signalled_leaving
        or has_recent_limit(endpoint, now)
    )
    return LoadShare(own_host, for_zone, loads, failures)


def encode_datagram(key: bytes, message: LoadMessage) -> bytes:
    """Return the datagram of a message, which begins with its MAC."""
    kind, body = encode_message(message)
    payload = bytes([KINDS.index(kind)]) + body
    return _compute_mac(key, payload) + payload


def decode_datagram(key: bytes, datagram: bytes) -> LoadMessage | None:
    """Return the message of a datagram, or None if its MAC is wrong or it can't be decoded."""
    mac, payload = datagram[:MAC_BYTES], datagram[MAC_BYTES:]
    if not hmac.compare_digest(mac, _compute_mac(key, payload)):
        logger.warning("discarded a load datagram with an invalid MAC")
        return None
    try:
        return decode_message(KINDS[payload[0]], payload[1:])
    except (WireError, IndexError) as error:
        logger.bind(error=str(error)).warning("discarded a load datagram that can't be decoded")
        return None


def _compute_mac(key: bytes, body: bytes) -> bytes:
    return hashlib.blake2b(body, key=key, digest_size=MAC_BYTES).digest()
