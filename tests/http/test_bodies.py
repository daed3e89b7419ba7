"""Guard the parsers against bodies that raise anything but a typed error."""

import asyncio
import json

from hypothesis import example, given
from hypothesis import strategies as st

from marjorambridge.core.outcomes import NotRun, Reason
from marjorambridge.http import callers
from marjorambridge.http.bodies import (
    CHAT_PATH,
    COMPLETIONS_PATH,
    ParsedBody,
    parse_announcement,
    parse_completion,
)
from marjorambridge.http.exceptions import EndpointProtocolError, RequestError
from marjorambridge.http.registry import RequestRegistry, deliver_effect
from marjorambridge.http.streams import EventBuffer, parse_chunk, parse_events
from marjorambridge.limits.events import EndpointAnnounced
from marjorambridge.limits.messages import Announcement
from marjorambridge.requests.effects import FinishRequest
from marjorambridge.requests.events import RequestArrived

SCALARS = st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=20)
VALUES = st.recursive(
    SCALARS,
    lambda inner: st.lists(inner, max_size=3)
    | st.dictionaries(st.sampled_from(["role", "content", "type", "text"]), inner, max_size=4),
    max_leaves=8,
)
FIELDS = st.fixed_dictionaries(
    {},
    optional={
        "model": st.just("m") | VALUES,
        "messages": st.just([{"role": "user", "content": "x"}]) | VALUES,
        "prompt": st.just("x") | VALUES,
        "stream": st.booleans() | VALUES,
        "max_tokens": VALUES,
        "n": VALUES,
        "stream_options": VALUES,
    },
)
BODIES = st.binary(max_size=60) | FIELDS.map(lambda value: json.dumps(value).encode())
ANNOUNCEMENT = {
    "endpoint": "e1",
    "incarnation": 1,
    "supplier": "s",
    "service": "m",
    "zone": "z",
    "address": "10.0.0.1:80",
}
NESTED = b'{"model":"m","prompt":"x","extra":' + b"[" * 50_000 + b"]" * 50_000 + b"}"
SURROGATE = rb'{"model":"m","prompt":"\ud800"}'


@given(st.sampled_from([CHAT_PATH, COMPLETIONS_PATH]), BODIES)
@example(COMPLETIONS_PATH, NESTED)
@example(COMPLETIONS_PATH, SURROGATE)
@example(COMPLETIONS_PATH, b'{"model":"m","prompt":"\xff"}')
@example(COMPLETIONS_PATH, b'{"model":"m","prompt":"x","max_tokens":1e400}')
def test_a_completion_body_is_parsed_or_refused(path, body):
    try:
        parsed = parse_completion(path, body)
    except RequestError as error:
        assert str(error)
    else:
        assert isinstance(parsed, ParsedBody) and parsed.output_tokens >= 0


@given(
    st.binary(max_size=60)
    | st.dictionaries(st.sampled_from(list(Announcement.__slots__)), VALUES).map(
        lambda value: json.dumps(ANNOUNCEMENT | value).encode()
    )
)
@example(json.dumps(ANNOUNCEMENT | {"report_age": 1e308}).encode())
@example(
    json.dumps(ANNOUNCEMENT | {"cache_events": [{"sequence": 1, "stored": ["AA=="]}]}).encode()
)
def test_an_announcement_is_parsed_or_refused(body):
    try:
        parsed = parse_announcement(body)
    except RequestError as error:
        assert str(error)
    else:
        assert parsed.concurrency >= 1 and 0 <= parsed.report_age < 2**62


@given(st.lists(st.binary(max_size=30) | st.sampled_from([b"data: {}\n\n", b"\n\n"]), max_size=6))
def test_an_engine_stream_is_parsed_or_refused(pieces):
    buffer = EventBuffer()
    for piece in pieces:
        for data in parse_events(buffer, piece):
            try:
                parse_chunk(data)
            except EndpointProtocolError as error:
                assert str(error)


@given(st.integers(1, 40), st.integers(1, 40))
def test_the_split_into_pieces_does_not_change_the_events_of_a_stream(first, second):
    whole = 'data: {"a":"ગેરુ"}\r\n\r\n: note\n\ndata: b\ndata: c\n\ndata: [DONE]\n\n'.encode()
    cuts = [whole[:first], whole[first : first + second], whole[first + second :]]
    buffer = EventBuffer()
    events = [event for cut in cuts for event in parse_events(buffer, cut)]
    assert events == parse_events(EventBuffer(), whole) and len(events) == 3


HEADERS = st.lists(
    st.tuples(
        st.sampled_from(
            [
                b"authorization",
                b"x-request-timeout",
                b"idempotency-key",
                b"x-marjorambridge-repeatable",
                b"content-length",
                b"connection",
                b"traceparent",
            ]
        ),
        st.binary(max_size=12) | st.sampled_from([b"Bearer k", b"5", b"nan", b"true", b"1e999"]),
    ),
    max_size=4,
)
PATHS = st.sampled_from([CHAT_PATH, COMPLETIONS_PATH, "/v1/announce", "/services/app/x"]) | (
    st.text("/%.abservic2F", max_size=20).map(lambda text: "/services/" + text)
)


@given(PATHS, st.sampled_from(["GET", "POST", "BREW"]), HEADERS, BODIES)
def test_a_request_becomes_one_event_or_one_typed_error(path, method, headers, body):
    registry = RequestRegistry()
    events = []

    def post(event):
        events.append(event)
        if isinstance(event, RequestArrived):
            outcome = NotRun(Reason.OVERLOADED, "retry", 1.0)
            deliver_effect(registry, FinishRequest(event.request, outcome))

    sent = []
    messages = [{"type": "http.request", "body": body, "more_body": False}]

    async def receive():
        if messages:
            return messages.pop()
        return await asyncio.Event().wait()

    async def send(message):
        sent.append(message)

    scope = {
        "type": "http",
        "method": method,
        "path": path,
        "raw_path": path.encode(),
        "query_string": b"",
        "headers": headers,
    }
    asyncio.run(callers.build_application(registry, post)(scope, receive, send))
    status = sent[0]["status"]
    if isinstance(events[0] if events else None, EndpointAnnounced):
        assert status == 204
        return
    error = json.loads(sent[1]["body"])["error"]
    assert error["outcome"] == "not_run" and error["message"]
    assert (len(events) == 1) == (status == 503) and not registry.requests
    assert registry.body_bytes == 0
