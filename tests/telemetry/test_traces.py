"""Guard traces against missing spans, wrong parents, inconsistent sampling and unchecked text."""

import asyncio
import json
from collections import Counter

import pytest
from msgspec.structs import replace

from marjorambridge.claims import replica
from marjorambridge.claims.events import WallClockRead
from marjorambridge.claims.messages import ClaimRequest
from marjorambridge.claims.state import ClaimSettings
from marjorambridge.claims.state import create_state as create_claims
from marjorambridge.core.effects import Publish, RecordSpan
from marjorambridge.core.events import MessageReceived
from marjorambridge.core.identity import AttemptId
from marjorambridge.core.spans import SpanKind, name_span
from marjorambridge.http import callers, endpoints
from marjorambridge.http.registry import StoredRequest
from marjorambridge.limits.messages import DenialReason, EndpointGrant, PriorityClass
from marjorambridge.replication.events import EntryCommitted, LeadershipChanged
from marjorambridge.requests.effects import StartAttempt
from marjorambridge.requests.events import AttemptEnd, CallerGone, RequestArrived
from marjorambridge.telemetry import traces
from tests.http.helpers import CallerServer, request, serve, wait_for
from tests.limits import world as worlds
from tests.requests import harness as hs

PARENT = "00-0000000000000000000000000000000a-000000000000000b-01"


def test_every_outcome_of_a_request_records_all_its_spans():
    """Guard against a permit, claim or attempt without a span, or with two."""
    h = hs.build_harness()
    hs.arrive(h, "r1", trace=PARENT)
    hs.deny(h, DenialReason.QUEUE_FULL)
    hs.advance(h, 0.2)
    attempt = hs.start(h).attempt
    hs.chunk(h, attempt, 0, b"lot ")
    hs.end(h, attempt, AttemptEnd.CUT)
    hs.advance(h, 0.1)
    hs.end(h, hs.start(h, "e2").attempt, AttemptEnd.REFUSED)
    hs.advance(h, 0.1)
    hs.feed(h, CallerGone(h.now, "r1"))
    hs.arrive_with_key(h, "r2", trace="r2")
    hs.feed(h, CallerGone(h.now, "r2"))
    hs.settle(h)
    hs.arrive_with_key(h, "r3", trace="r3")
    hs.claim(h)
    hs.end(h, hs.start(h).attempt)
    hs.settle(h)
    hs.arrive(h, "r4")
    hs.end(h, hs.start(h).attempt)
    spans = [effect for effect in h.effects if isinstance(effect, RecordSpan)]
    assert not h.state.requests
    found = Counter((span.trace, span.span.partition(":")[0]) for span in spans)
    assert found == {
        (PARENT, "request"): 1,
        (PARENT, "permit"): 4,
        (PARENT, "attempt"): 2,
        ("r2", "request"): 1,
        ("r2", "claim"): 1,
        ("r3", "request"): 1,
        ("r3", "claim"): 1,
        ("r3", "permit"): 1,
        ("r3", "attempt"): 1,
        ("r3", "record"): 1,
    }
    assert len({span.span for span in spans}) == len(spans)
    roots = {span.trace: span.span for span in spans if not span.parent}
    for span in spans:
        assert span.start <= span.end and span.parent in ("", roots[span.trace])


def test_the_shard_owner_records_the_time_in_its_queue():
    found = []

    def step(state, event, original=worlds.step):
        effects = original(state, event)
        found.extend(effect for effect in effects if isinstance(effect, RecordSpan))
        return effects

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(worlds, "step", step)
        world = worlds.World(engines=[worlds.Engine("e1", 40_000, 1)], seed=3)
        world.warm_up()
        world.ask("c0", 2_000, 100, 1.0)
        second = world.ask("c1", 2_000, 100, 1.0)
        world.requests[second] = replace(world.requests[second], trace=PARENT)
        world.run(6.0)
    (span,) = found
    assert span.span == name_span(SpanKind.QUEUE, second)
    assert span.parent == name_span(SpanKind.PERMIT, second)
    assert span.trace == PARENT and span.end - span.start > 0.5
    assert span.attributes["result"] == "granted"


def test_the_leader_records_the_time_of_a_claim():
    state = create_claims(ClaimSettings(), "host-1", 1, ("host-1",), True).replica
    replica.step(state, WallClockRead(0.0, 1_700_000_000.0))
    replica.step(state, LeadershipChanged(0.0, 1, "host-1", 1, True))
    claim = AttemptId("host-9", 1, 1)
    message = ClaimRequest(claim, "w", "k", "f", PARENT)
    effects = replica.step(state, MessageReceived(1.0, "host-9", 1, message))
    (proposal,) = [each.event for each in effects if isinstance(each, Publish)]
    committed = EntryCommitted(1.5, 1, 1, 1, proposal.payload, proposal.proposal)
    (span,) = [each for each in replica.step(state, committed) if isinstance(each, RecordSpan)]
    assert (span.start, span.end, span.trace) == (1.0, 1.5, PARENT)
    assert span.span == name_span(SpanKind.DECISION, claim)
    assert span.parent == name_span(SpanKind.CLAIM, claim)


@pytest.mark.parametrize(
    "text",
    [
        "",
        "secret",
        "00-a-b-01",
        PARENT + "-secret",
        PARENT.upper(),
        "ff" + PARENT[2:],
        "00-" + "0" * 32 + "-000000000000000b-01",
    ],
)
def test_an_invalid_traceparent_header_is_ignored(text):
    assert traces.choose_trace(text, "request-1", 1.0) == "request-1"


def test_sampling_depends_on_the_trace_identifier_only():
    headers = [f"00-{number * 2654435761 << 32:032x}-{1:016x}-01" for number in range(1, 2001)]
    half = {header for header in headers if traces.choose_trace(header, "r", 0.5)}
    assert 900 < len(half) < 1100
    assert half == {header for header in headers if traces.choose_trace(header, "other", 0.5)}
    assert half >= {header for header in headers if traces.choose_trace(header, "r", 0.1)}
    assert all(traces.choose_trace(header, "r", 1.0) for header in headers)
    assert not any(traces.choose_trace(header, "r", 0.0) for header in headers)


def test_written_spans_link_to_the_caller_and_to_the_endpoint(tmp_path):
    path = tmp_path / "spans"
    written = traces.start(path, "host-1")
    attempt = name_span(SpanKind.ATTEMPT, "h:1:2")
    traces.record(written, RecordSpan(PARENT, attempt, "request:r", 1.0, 2.0, {"end": "complete"}))
    traces.record(written, RecordSpan(PARENT, "request:r", "", 0.5, 2.0))
    traces.close(written)
    child, root = (json.loads(line) for line in path.read_text().splitlines())
    assert (child["name"], root["name"]) == ("attempt", "request")
    assert root["parent_id"] == "0x000000000000000b"
    assert child["parent_id"] == root["context"]["span_id"]
    version, trace, span, flags = traces.build_traceparent(PARENT, attempt).split("-")
    assert child["context"]["trace_id"] == f"0x{trace}" == root["context"]["trace_id"]
    assert child["context"]["span_id"] == f"0x{span}"
    assert (version, flags) == ("00", "01")


def test_the_endpoint_gets_the_span_of_its_attempt():
    given = (("traceparent", PARENT), ("tracestate", "a=b"))
    stored = StoredRequest("r", True, "POST", "/v1/completions", given, b"{}")
    attempt = AttemptId("h", 1, 2)
    grants = (EndpointGrant("e1", 1, "127.0.0.1:1", 10),)
    effect = StartAttempt(attempt, "r", grants, PriorityClass.BATCH, 0, 1.0, 1.0, PARENT)
    expected = traces.build_traceparent(PARENT, name_span(SpanKind.ATTEMPT, attempt)).encode()
    headers = endpoints.build_headers(stored, effect)
    assert [value for name, value in headers if name == b"traceparent"] == [expected]
    assert (b"tracestate", b"a=b") in headers
    untraced = endpoints.build_headers(stored, replace(effect, trace=""))
    assert [value for name, value in untraced if name == b"traceparent"] == [PARENT.encode()]


def test_a_received_request_has_the_trace_of_its_header():
    async def run():
        caller = CallerServer()
        application = callers.build_application(
            caller.registry,
            caller.post,
            choose_trace=lambda header, identifier: traces.choose_trace(header, identifier, 1.0),
        )
        async with serve(application) as address:
            for number, headers in enumerate(([(b"traceparent", PARENT.encode())], []), 1):
                url = f"http://{address}/v1/completions"
                body = json.dumps({"model": "m", "prompt": "x"}).encode()
                task = asyncio.create_task(request("POST", url, body, headers))
                await wait_for(lambda number=number: len(caller.select(RequestArrived)) == number)
                task.cancel()
                await wait_for(lambda number=number: len(caller.select(CallerGone)) == number)
        first, second = caller.select(RequestArrived)
        assert first.trace == PARENT and second.trace == second.request

    asyncio.run(run())
