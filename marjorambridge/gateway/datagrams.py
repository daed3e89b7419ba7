"""Encode and decode the datagrams with loads and failures of endpoints."""

import hashlib
import hmac
import math
from collections.abc import Iterable

from loguru import logger

from marjorambridge.core.numbers import clamp_whole
from marjorambridge.forwarding.health import list_reportable_endpoints
from marjorambridge.forwarding.loads import advance_prefills, compute_remaining_work
from marjorambridge.forwarding.messages import (
    CrashReport,
    EndpointFailure,
    EndpointLoad,
    LoadShare,
    LoadTotals,
    WorkspaceUse,
    ZoneTotals,
)
from marjorambridge.forwarding.request_limits import (
    apply_request_limit,
    has_recent_limit,
    is_limited,
)
from marjorambridge.forwarding.slowdowns import list_reportable_slowdowns
from marjorambridge.forwarding.state import Endpoint, FailureReport, ForwardingState, Load
from marjorambridge.scheduling.estimates import encode_slowdown
from marjorambridge.scheduling.rooms import get_own_declined_until
from marjorambridge.scheduling.usage import WorkspaceTotal
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
# Bound of each number from or for another host; sums over all hosts still fit 64 bits.
MAX_REPORTED = 2**40


def encode_load(endpoint: Endpoint, load: Load, now: float) -> EndpointLoad:
    """Return the message entry for the load of an endpoint."""
    remaining = max(0.0, load.prefill_seconds - (now - load.as_of)) if load.reads else 0.0
    pause_limit = min(load.pause_limits, default=math.inf)
    return EndpointLoad(
        endpoint.key,
        clamp_whole(load.requests, MAX_REPORTED),
        clamp_whole(load.reads, MAX_REPORTED),
        encode_seconds(remaining),
        clamp_whole(load.kv_tokens, MAX_REPORTED),
        0 if math.isinf(pause_limit) else max(1, encode_seconds(pause_limit)),
        helps=clamp_whole(load.helps, MAX_REPORTED) or None,
        write_milliseconds=encode_seconds(compute_remaining_work(load, now)) or None,
    )


def decode_load(reported: EndpointLoad, now: float) -> Load:
    """Return the load that a message entry reports."""
    pause_limit = decode_seconds(reported.pause_milliseconds) or math.inf
    return Load(
        clamp_whole(reported.requests, MAX_REPORTED),
        clamp_whole(reported.reads, MAX_REPORTED),
        decode_seconds(reported.read_milliseconds),
        clamp_whole(reported.kv_tokens, MAX_REPORTED),
        [pause_limit] if reported.requests else [],
        now,
        clamp_whole(reported.helps or 0, MAX_REPORTED),
        decode_seconds(reported.write_milliseconds or 0),
    )


def encode_failure(
    endpoint: Endpoint,
    report: FailureReport,
    now: float,
    declined_until: float = -math.inf,
    slowdown: float | None = None,
) -> EndpointFailure:
    """Return the message entry for failures, hints, declines and the slowdown of an endpoint."""
    entry = EndpointFailure(
        endpoint.key,
        clamp_whole(report.failures, MAX_REPORTED),
        encode_seconds(report.avoid_until - now),
        clamp_whole(report.hosts, MAX_REPORTED),
        endpoint.signalled_leaving,
        slowdown_percent=encode_slowdown(slowdown),
    )
    if now < declined_until:
        entry.declined_milliseconds = encode_seconds(declined_until - now)
    if has_recent_limit(endpoint, now):
        if is_limited(endpoint):
            entry.request_limit = endpoint.request_limit
        entry.limit_age_milliseconds = encode_seconds(now - endpoint.limit_seen_at)
    return entry


def apply_reported_limit(endpoint: Endpoint, reported: EndpointFailure, now: float) -> bool:
    """Apply the limit that a message entry reports, if any; return whether it changed."""
    if reported.limit_age_milliseconds < 0 or math.isnan(reported.request_limit):
        return False
    rate = reported.request_limit if reported.request_limit >= 0 else math.inf
    seen_at = now - decode_seconds(reported.limit_age_milliseconds)
    return apply_request_limit(endpoint, rate, seen_at)


def decode_failure(reported: EndpointFailure, now: float) -> FailureReport:
    """Return the failures that a message entry reports."""
    return FailureReport(
        clamp_whole(reported.failures, MAX_REPORTED),
        now + decode_seconds(reported.avoided_milliseconds),
        max(1, clamp_whole(reported.hosts, MAX_REPORTED)),
    )


def encode_uses(uses: dict[int, WorkspaceTotal]) -> tuple[WorkspaceUse, ...]:
    """Return the message entries for the uses of workspaces, by key."""
    return tuple(
        WorkspaceUse(
            key,
            # Times of loads are rounded up, which would add up over the hosts of a fleet.
            clamp_whole(round(use.seconds * MILLISECONDS_PER_SECOND), MAX_REPORTED),
            clamp_whole(use.waiting, MAX_REPORTED),
        )
        for key, use in uses.items()
    )


def decode_use(reported: WorkspaceUse, now: float) -> WorkspaceTotal:
    """Return the use of a workspace that a message entry reports."""
    waiting = clamp_whole(reported.waiting, MAX_REPORTED)
    return WorkspaceTotal(decode_seconds(reported.milliseconds), waiting, now)


def encode_seconds(seconds: float) -> int:
    """Return the whole milliseconds of a duration; 0 if it is negative."""
    return clamp_whole(seconds * MILLISECONDS_PER_SECOND, MAX_REPORTED)


def decode_seconds(milliseconds: int) -> float:
    """Return the duration of whole milliseconds in a message; 0 if it is negative."""
    return clamp_whole(milliseconds, MAX_REPORTED) / MILLISECONDS_PER_SECOND


def build_load_share(
    forwarding: ForwardingState, own_host: str, names: Iterable[str], now: float, for_zone: bool
) -> LoadShare:
    """Return the message with the load and the failures of this host at the named endpoints."""
    endpoints = [forwarding.endpoints[name] for name in names if name in forwarding.endpoints]
    for endpoint in endpoints:
        advance_prefills(endpoint, now)
    loads = tuple(encode_load(endpoint, endpoint.load, now) for endpoint in endpoints)
    reportable = {endpoint.name for endpoint in list_reportable_endpoints(forwarding, now)}
    slowdowns = list_reportable_slowdowns(forwarding, endpoints, now)
    failures = []
    for endpoint in endpoints:
        declined_until, slowdown = get_own_declined_until(endpoint), slowdowns.get(endpoint.name)
        report = FailureReport(endpoint.failures, endpoint.avoid_until)
        if not (
            endpoint.name in reportable
            or endpoint.signalled_leaving
            or has_recent_limit(endpoint, now)
        ):
            if now >= declined_until and slowdown is None:
                continue
            # Declines and slowdowns are reported also if failures may be those of this host.
            report = FailureReport(0, now)
        failures.append(encode_failure(endpoint, report, now, declined_until, slowdown))
    return LoadShare(own_host, for_zone, loads, tuple(failures))


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
