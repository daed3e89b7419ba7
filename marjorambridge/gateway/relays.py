"""Pass requests on to another host, and take those that other hosts pass on.

The request goes on as the caller sent it, with one more header: the deadline, the endpoints that it
may still use, the position in its stream, and a MAC. The other host admits it like a request of its
own caller and answers in the same way, so that identity, limits and the order of streams hold. It
never passes a request on again. A header of its answer says whether an endpoint may have run it.
"""

import hashlib
import hmac

from loguru import logger
from msgspec import DecodeError, json
from msgspec.structs import replace

from marjorambridge.conf import defaults
from marjorambridge.core.numbers import clamp, parse_count, parse_decimal
from marjorambridge.core.outcomes import NotRun, Reason, Unsuccessful
from marjorambridge.forwarding.attempts import AttemptOutcome
from marjorambridge.forwarding.contact import is_lost
from marjorambridge.forwarding.relays import Relay, count_used
from marjorambridge.gateway.answers import InvalidAnswerError
from marjorambridge.gateway.contexts import RequestContext, RunningAttempt, has_events
from marjorambridge.gateway.exchanges import Exchange, send_answer
from marjorambridge.gateway.messages import (
    HOP_BY_HOP_HEADERS,
    AnswerHead,
    Attempt,
    AttemptResult,
    Dialect,
    Headers,
)
from marjorambridge.gateway.relay_reports import expect_reports
from marjorambridge.gateway.state import Gateway

RELAY_HEADER = b"marjorambridge-relay"
MAC_HEADER = b"marjorambridge-relay-mac"
OUTCOME_HEADER = b"marjorambridge-relay-outcome"
# The caller's ``Connection`` header, since that of the relay is another one.
CONNECTION_HEADER = b"marjorambridge-relay-connection"
OWN_HEADERS = frozenset({RELAY_HEADER, MAC_HEADER, CONNECTION_HEADER})
# Bytes that the headers of a relay add to those of a caller, at most.
RELAY_HEADER_BYTES = 1_024
NOT_SENT, NOT_RUN, FAILED, ANSWERED = b"not_sent", b"not_run", b"failed", b"answered"
MAC_BYTES = 16
BAD_REQUEST, UNAVAILABLE = 400, 503


def may_relay(context: RequestContext) -> bool:
    """Return whether a request may be passed on to another host."""
    gateway, exchange = context.gateway, context.exchange
    if not gateway.relay_key or exchange.relay is not None or not gateway.dialect.may_relay:
        return False
    return not (context.request.collects_events and has_events(context))


def must_relay(context: RequestContext) -> bool:
    """Return whether a request goes to another host, because this one reaches no endpoint."""
    forwarding = context.gateway.forwarding
    return is_lost(forwarding.contact) and may_relay(context) and len(forwarding.hosts) > 1


def build_relay_attempt(context: RequestContext, running: RunningAttempt, now: float) -> Attempt:
    """Return the attempt that passes a request on to another host."""
    gateway, exchange = context.gateway, context.exchange
    others = sum(other.max_endpoints for other in context.running if other is not running)
    tried = context.progress.endpoints_tried + others
    running.max_endpoints = context.admission.route.max_endpoints - tried
    relay = Relay(
        gateway.forwarding.settings.host,
        context.deadline - now,
        running.max_endpoints,
        context.last_event if has_events(context) else None,
        _get_version(gateway),
        reports=True,
    )
    value = json.encode(relay)
    mac = _compute_mac(gateway.relay_key, exchange, value)
    attempt = Attempt(
        address=running.endpoint.address,
        method=exchange.method,
        target=exchange.target,
        headers=[*_encode_headers(exchange.headers), (RELAY_HEADER, value), (MAC_HEADER, mac)],
        body=exchange.body,
        request_id=context.request.request_id,
        allocation=running.allocation,
        handle_head=_ignore_head,
        work=gateway.work,
    )
    expect_reports(running, attempt)
    return attempt


def _ignore_head(head: AnswerHead) -> None:
    """Apply no hints, because they are those of an endpoint that this host does not know."""


def _encode_headers(headers: Headers) -> Headers:
    """Return the headers of a caller for the connection to another host."""
    dropped = HOP_BY_HOP_HEADERS | OWN_HEADERS
    kept = [(name, value) for name, value in headers if name.lower() not in dropped]
    named = [value for name, value in headers if name.lower() == b"connection"]
    return [*kept, (CONNECTION_HEADER, b", ".join(named))] if named else kept


def _decode_headers(headers: Headers) -> Headers:
    """Return the headers as the caller sent them, for the dialect to select from."""
    dropped = HOP_BY_HOP_HEADERS | OWN_HEADERS
    kept = [(name, value) for name, value in headers if name.lower() not in dropped]
    named = [value for name, value in headers if name.lower() == CONNECTION_HEADER]
    return [*kept, *((b"connection", value) for value in named)]


def _compute_mac(key: bytes, exchange: Exchange, value: bytes) -> bytes:
    digest = hashlib.blake2b(key=key, digest_size=MAC_BYTES)
    for part in (exchange.method, exchange.target, value, exchange.body):
        digest.update(b"%d:" % len(part))
        digest.update(part)
    return digest.hexdigest().encode()


async def run_relay(gateway: Gateway, attempt: Attempt, running: RunningAttempt) -> AttemptResult:
    """Pass a request on, and return the result as if this host had sent it to endpoints.

    If the other host does not say in the end how many endpoints received it, those that it reported
    count as tried, and without a report all that it could use.
    """
    outcomes: list[bytes] = []

    def decode_answer(status: int, headers: Headers) -> AnswerHead:
        return _decode_answer(gateway.dialect, status, headers, outcomes)

    dialect = replace(gateway.dialect, decode_answer=decode_answer)
    result = await gateway.run_attempt(attempt, dialect)
    outcome, tried = _split_outcome(outcomes)
    if result.outcome is AttemptOutcome.NOT_RUN and outcome == NOT_SENT:
        result.outcome = AttemptOutcome.NOT_SENT
    if tried is None:
        tried = count_used(running.endpoints_reported, running.max_endpoints)
    result.endpoints_tried = tried
    return result


def _decode_answer(
    dialect: Dialect, status: int, headers: Headers, outcomes: list[bytes]
) -> AnswerHead:
    """Decode the head of another host's answer, and append what it says of the request."""
    own = [value for name, value in headers if name.lower() == OUTCOME_HEADER]
    head = dialect.decode_answer(
        status, [item for item in headers if item[0].lower() != OUTCOME_HEADER]
    )
    if not own and not head.is_signed:
        raise InvalidAnswerError("the answer is none of another host")
    outcomes += own
    head.misdirected = head.leaving = False
    head.endpoint_at_fault = ""
    head.not_run = not head.is_signed and _split_outcome(own)[0] in (NOT_SENT, NOT_RUN)
    return head


def read_retry_after(head: AnswerHead) -> float | None:
    """Return the seconds after which another host lets a request come back, or None."""
    seconds = parse_decimal(head.retry_after)
    if seconds is None:
        return None
    return clamp(seconds, defaults.MIN_RETRY_AFTER_SECONDS, defaults.MAX_RETRY_AFTER_SECONDS)


def _split_outcome(values: list[bytes]) -> tuple[bytes, int | None]:
    """Return what another host says of a request, and how many endpoints received it."""
    outcome, _, tried = (values[0] if values else b"").partition(b";")
    return outcome, parse_count(tried)


# The host that takes the request.


async def take_request(gateway: Gateway, exchange: Exchange) -> bool:
    """Read what another host says of a request; if it is refused, answer that and return False."""
    relay = _read_relay(gateway.relay_key, exchange)
    if relay is None:
        logger.warning("refused a request at the address for other hosts, which have to sign it")
        outcome = NotRun(Reason.BAD_REQUEST, "send requests to the address for callers")
        headers, body = encode_refusal(gateway.dialect, outcome)
        await send_answer(exchange, BAD_REQUEST, headers, body)
        return False
    exchange.relay = relay
    exchange.headers = _decode_headers(exchange.headers)
    reason = _find_objection(gateway, relay)
    if not reason:
        return True
    outcome = NotRun(
        Reason.NO_ENDPOINT, f"this host {reason}", defaults.NO_ENDPOINT_RETRY_AFTER_SECONDS
    )
    headers, body = encode_refusal(gateway.dialect, outcome)
    await send_answer(exchange, UNAVAILABLE, headers, body)
    return False


def _find_objection(gateway: Gateway, relay: Relay) -> str:
    """Return why this host doesn't take a request; empty if it does."""
    if gateway.relayed >= defaults.MAX_RELAYED_REQUESTS:
        return "takes no more requests of other hosts"
    if is_lost(gateway.forwarding.contact):
        return "reaches no endpoint"
    if _get_version(gateway) < relay.version:
        return "has an older manifest"
    return ""


def _get_version(gateway: Gateway) -> int:
    table = gateway.forwarding.table
    return table.manifest.version if table is not None else 0


def _read_relay(key: bytes, exchange: Exchange) -> Relay | None:
    values = {name.lower(): value for name, value in exchange.headers}
    value, mac = values.get(RELAY_HEADER, b""), values.get(MAC_HEADER, b"")
    if not hmac.compare_digest(mac, _compute_mac(key, exchange, value)):
        return None
    try:
        return json.decode(value, type=Relay)
    except DecodeError as error:
        logger.bind(error=str(error)).warning("a request of another host can't be read")
        return None


def encode_refusal(dialect: Dialect, outcome: Unsuccessful) -> tuple[Headers, bytes]:
    """Return headers and body of the refusal of a request that no endpoint has received."""
    headers, body = dialect.encode_error(outcome)
    return [*headers, (OUTCOME_HEADER, NOT_SENT)], body


def describe_outcome(outcome: Unsuccessful, endpoints_tried: int) -> tuple[bytes, bytes]:
    """Return the header that tells another host what an answer of this host says of its request."""
    name = FAILED
    if isinstance(outcome, NotRun):
        name = NOT_RUN if endpoints_tried else NOT_SENT
    return OUTCOME_HEADER, b"%b;%d" % (name, endpoints_tried)


def mark_answer(headers: Headers, endpoints_tried: int) -> Headers:
    """Return the headers of an endpoint's answer with what another host has to know of it."""
    own = [(name, value) for name, value in headers if name.lower() != OUTCOME_HEADER]
    return [*own, (OUTCOME_HEADER, b"%b;%d" % (ANSWERED, endpoints_tried))]
