"""Record the spans of requests with OpenTelemetry and export them as JSON lines."""

import re
import time
from collections.abc import Sequence
from pathlib import Path
from typing import TextIO

import xxhash
from msgspec import Struct
from opentelemetry import trace
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import ReadableSpan, TracerProvider
from opentelemetry.sdk.trace.export import SimpleSpanProcessor, SpanExporter, SpanExportResult
from opentelemetry.sdk.trace.id_generator import IdGenerator
from opentelemetry.sdk.trace.sampling import TraceIdRatioBased

from marjorambridge.core.effects import RecordSpan

NANOSECONDS_PER_SECOND = 1_000_000_000
TRACEPARENT = re.compile(r"(?!ff)[0-9a-f]{2}-([0-9a-f]{32})-([0-9a-f]{16})-[0-9a-f]{2}")


class _PresetIdGenerator(IdGenerator):
    """Return preset trace and span identifiers to the SDK."""

    def __init__(self) -> None:
        self.trace_id = 0
        self.span_id = 0

    def generate_span_id(self) -> int:
        return self.span_id

    def generate_trace_id(self) -> int:
        return self.trace_id


class _JsonLinesExporter(SpanExporter):
    """Append each span to a file as one JSON line."""

    def __init__(self, file: TextIO) -> None:
        self.file = file

    def export(self, spans: Sequence[ReadableSpan]) -> SpanExportResult:
        for span in spans:
            self.file.write(span.to_json(indent=None) + "\n")
        return SpanExportResult.SUCCESS

    def shutdown(self) -> None:
        self.file.close()


class Traces(Struct):
    """A tracer provider, and the offset from monotonic to wall-clock time.

    Attributes
    ----------
    offset : float
        Seconds to add to a monotonic time of this process.
    """

    provider: TracerProvider
    ids: _PresetIdGenerator
    offset: float


def start(path: Path, host: str) -> Traces:
    """Open the trace file."""
    ids = _PresetIdGenerator()
    resource = Resource.create({"service.name": "marjorambridge", "service.instance.id": host})
    provider = TracerProvider(id_generator=ids, resource=resource)
    # Each span is one line and is flushed at once, so that a killed process loses no recorded span.
    file = path.open("a", encoding="utf-8", buffering=1)
    provider.add_span_processor(SimpleSpanProcessor(_JsonLinesExporter(file)))
    return Traces(provider, ids, time.time() - time.monotonic())


def close(traces: Traces) -> None:
    """Flush the remaining spans and close the file."""
    traces.provider.shutdown()


def parse_trace(text: str) -> tuple[int, int]:
    """Return the trace identifier and the caller's span identifier of a ``traceparent`` value.

    Of other text, the trace identifier is a hash and the span identifier is 0.

    Examples
    --------
    >>> parse_trace("00-0000000000000000000000000000000a-000000000000000b-01")
    (10, 11)
    >>> parse_trace("request-1")[1]
    0
    """
    match = TRACEPARENT.fullmatch(text)
    if match is not None:
        trace_id, span_id = int(match[1], 16), int(match[2], 16)
        if trace_id and span_id:
            return trace_id, span_id
    return xxhash.xxh3_128_intdigest(text.encode()) or 1, 0


def choose_trace(header: str, identifier: str, ratio: float) -> str:
    """Return the trace of a request, or an empty string if it is not sampled.

    The decision depends on the trace identifier only, so that all hosts with the same ratio sample
    the same traces. A header that is not a valid ``traceparent`` value is never recorded.

    Parameters
    ----------
    header : str
        Value of the caller's ``traceparent`` header; empty if there is none.
    ratio : float
        Share of the traces to record, from 0 to 1.

    Examples
    --------
    >>> choose_trace("secret", "request-1", 1.0)
    'request-1'
    >>> choose_trace("", "request-1", 0.0)
    ''
    """
    trace = header if parse_trace(header)[1] else identifier
    sampled = parse_trace(trace)[0] & TraceIdRatioBased.TRACE_ID_LIMIT
    return trace if sampled < TraceIdRatioBased.get_bound_for_rate(ratio) else ""


def build_traceparent(trace: str, span: str) -> str:
    """Return the ``traceparent`` value that makes spans of an endpoint children of a span.

    Examples
    --------
    >>> build_traceparent("00-0000000000000000000000000000000a-000000000000000b-01", "attempt:1")
    '00-0000000000000000000000000000000a-e2050e0f9715c6c8-01'
    """
    return f"00-{parse_trace(trace)[0]:032x}-{_compute_span_id(trace, span):016x}-01"


def _compute_span_id(trace_text: str, name: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{trace_text}|{name}".encode()) or 1


def record(traces: Traces, effect: RecordSpan) -> None:
    """Write the span of an effect."""
    trace_id, caller_span_id = parse_trace(effect.trace)
    parent_span_id = (
        _compute_span_id(effect.trace, effect.parent) if effect.parent else caller_span_id
    )
    context = None
    if parent_span_id:
        parent_context = trace.SpanContext(trace_id, parent_span_id, True, trace.TraceFlags(1))
        context = trace.set_span_in_context(trace.NonRecordingSpan(parent_context))
    traces.ids.trace_id = trace_id
    traces.ids.span_id = _compute_span_id(effect.trace, effect.span)
    span = traces.provider.get_tracer("marjorambridge").start_span(
        effect.span.partition(":")[0],
        context=context,
        attributes=effect.attributes,
        start_time=int((effect.start + traces.offset) * NANOSECONDS_PER_SECOND),
    )
    span.end(end_time=int((effect.end + traces.offset) * NANOSECONDS_PER_SECOND))
