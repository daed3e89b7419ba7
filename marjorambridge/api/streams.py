"""Translate the streams of engines into answers for callers."""

import msgspec

from marjorambridge.api.endpoints import JSON_TYPE
from marjorambridge.api.requests import CompletionForm
from marjorambridge.core.outcomes import Unsuccessful
from marjorambridge.gateway.events import EventOrderError
from marjorambridge.gateway.exceptions import FailedStreamError
from marjorambridge.gateway.messages import CallerRequest, Headers, StreamEvent
from marjorambridge.http.completions import (
    build_answer,
    build_usage,
    encode_chunk,
    encode_end,
    encode_event,
)
from marjorambridge.http.exceptions import EndpointProtocolError
from marjorambridge.http.outcomes import encode_outcome
from marjorambridge.http.streams import (
    END_MARKER,
    EngineChunk,
    EventBuffer,
    parse_chunk,
    parse_events,
)

MAX_MESSAGE_CHARACTERS = 500


def read_event(request: CallerRequest, event: bytes) -> StreamEvent:
    """Return what the caller gets for an event of an engine.

    Raises
    ------
    EventOrderError
        If the event is not valid.
    FailedStreamError
        If the engine reports a failure.
    """
    form = _get_form(request)
    try:
        found = parse_events(EventBuffer(), event)
        if not found:
            return StreamEvent(b"")
        if found[0] == END_MARKER:
            return StreamEvent(_encode_end(form), is_end=True)
        chunk = parse_chunk(found[0])
    except EndpointProtocolError as error:
        raise EventOrderError(str(error)) from error
    if chunk.error is not None:
        raise FailedStreamError(f"the engine failed: {chunk.error}"[:MAX_MESSAGE_CHARACTERS])
    _record_end(form, chunk)
    if not chunk.tokens:
        return StreamEvent(b"")
    # The index counts from 0, and the numbers of events from 1.
    first, last = chunk.index + 1, chunk.index + len(chunk.tokens)
    form.output_tokens = max(form.output_tokens, last)
    text = "".join(chunk.tokens)
    data = encode_chunk(form.completion, text, None) if form.stream else text.encode()
    return StreamEvent(data, first, last)


def _get_form(request: CallerRequest) -> CompletionForm:
    assert isinstance(request.form, CompletionForm), "only completions have events"
    return request.form


def _record_end(form: CompletionForm, chunk: EngineChunk) -> None:
    if chunk.usage:
        form.prompt_tokens = chunk.usage.get("prompt_tokens", form.prompt_tokens)
    for choice in chunk.choices:
        form.finish = choice.finish_reason or form.finish


def _encode_end(form: CompletionForm) -> bytes:
    if not form.stream:
        return b""
    usage = build_usage(form.prompt_tokens, form.output_tokens)
    return encode_end(form.completion, form.finish, usage if form.include_usage else None)


def encode_collected(request: CallerRequest, data: bytes) -> tuple[Headers, bytes]:
    """Return headers and body of an answer that is not streamed, from its text."""
    form = _get_form(request)
    usage = build_usage(form.prompt_tokens, form.output_tokens)
    text = data.decode("utf-8", "replace")
    body = build_answer(form.completion, text, form.finish, usage)
    return [JSON_TYPE], msgspec.json.encode(body)


def encode_cut(request: CallerRequest, outcome: Unsuccessful) -> bytes:
    """Return the error event that ends a stream; none for a plain service, which has no events."""
    if not isinstance(request.form, CompletionForm):
        return b""
    _, body, _ = encode_outcome(outcome)
    return encode_event(body)


def encode_error(outcome: Unsuccessful) -> tuple[Headers, bytes]:
    """Return headers and body of an answer that is no success."""
    _, body, headers = encode_outcome(outcome)
    encoded = [(name.encode(), value.encode()) for name, value in headers]
    return [JSON_TYPE, *encoded], msgspec.json.encode(body)
