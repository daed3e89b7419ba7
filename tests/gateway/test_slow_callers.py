"""Test callers that read slowly, and callers that have disappeared."""

import time
from contextlib import contextmanager
from types import SimpleNamespace

import anyio
import pytest
from anyio.abc import SocketStream
from loguru import logger
from msgspec.structs import replace

from marjorambridge.gateway import callers, cuts, delivery
from marjorambridge.gateway.callers import drain_server
from marjorambridge.gateway.streams import MAX_UNSENT_BYTES, count_unacknowledged_bytes, reset
from marjorambridge.manifests.models import CallerLimits, Execution
from marjorambridge.transport.progress import PeerProgress

from .helpers import answer_whole, get_status, is_complete, make_manifest, make_request, run_gateway
from .test_closing import SMALL_BUFFER_BYTES, connect_with_small_buffer, wait_until_answered
from .wires import read_body

MANIFEST = replace(
    make_manifest(Execution.IDEMPOTENT, attempts=2, resumable=False, timeout=20.0),
    limits=CallerLimits(header_bytes=4096, body_bytes=100_000, idle_timeout_seconds=1.5),
)
BODY, SHORT_BODY = b"x" * 101_000, b"x" * 40_000
RATE_BYTES_PER_SECOND, PIECE_SECONDS = 16_000, 0.1
PIECE_BYTES = int(RATE_BYTES_PER_SECOND * PIECE_SECONDS)
# The kernel takes one more segment, and the window of the caller holds some.
MAX_CONNECTION_BYTES = MAX_UNSENT_BYTES + 65_536 + 2 * SMALL_BUFFER_BYTES
BUFFERED_SECONDS = 4 * SMALL_BUFFER_BYTES / RATE_BYTES_PER_SECOND


async def read_slowly(stream: SocketStream) -> bytes:
    """Read an answer at a steady rate, until it is complete or the connection ends."""
    data, started_at = b"", time.monotonic()
    while not is_complete(data):
        try:
            data += await stream.receive(PIECE_BYTES)
        except (anyio.EndOfStream, anyio.BrokenResourceError):
            break
        await anyio.sleep(
            max(0.0, started_at + len(data) / RATE_BYTES_PER_SECOND - time.monotonic())
        )
    return data


def test_a_caller_that_reads_steadily_and_slowly_receives_its_answer():
    """Guard against a reset of a caller that needs longer than a timeout of the kernel to read."""

    async def scenario():
        async with run_gateway(MANIFEST, answer_whole(BODY)) as harness:
            stream = await connect_with_small_buffer(harness.port)
            async with stream:
                await stream.send(make_request())
                data = await read_slowly(stream)
                assert (get_status(data), len(read_body(data))) == (200, len(BODY))

    anyio.run(scenario)


@contextmanager
def record_lines(level: str = "INFO"):
    """Collect message and fields of the lines that are logged."""
    lines = []
    sink = logger.add(lambda message: lines.append(message.record), level=level)
    try:
        yield lines
    finally:
        logger.remove(sink)


def select_fields(lines, message):
    return [line["extra"] for line in lines if line["message"] == message]


@pytest.mark.parametrize(
    ("body", "is_last"), [(BODY, False), (SHORT_BODY, True)], ids=["kept", "last answer"]
)
def test_a_connection_that_fails_before_its_answer_is_delivered_is_logged(body, is_last):
    """Guard against answers that are lost without a line that names the error of the system."""

    async def scenario():
        async with run_gateway(MANIFEST, answer_whole(body)) as harness:
            harness.server.closing = is_last
            stream = await connect_with_small_buffer(harness.port)
            await stream.send(make_request())
            await anyio.sleep(1.2)
            await reset(stream)
            with anyio.fail_after(2):
                while harness.server.connections:
                    await anyio.sleep(0.02)

    with record_lines() as lines:
        anyio.run(scenario)
    (fields,) = select_fields(lines, "a connection failed before its caller had received an answer")
    assert fields["request"] == "id-1" and "ConnectionResetError" in fields["error"]
    assert 0 < fields["unacknowledged_bytes"] < len(BODY) and fields["seconds"] >= 1.0


def test_an_answer_that_the_end_of_the_process_leaves_is_logged():
    """Guard against answers that count as complete, although their callers do not have them."""

    async def scenario():
        async with run_gateway(MANIFEST, answer_whole(SHORT_BODY)) as harness:
            stream = await connect_with_small_buffer(harness.port)
            async with stream:
                await stream.send(make_request())
                await wait_until_answered(harness)
                assert cuts.log_cut_requests([harness.server], time.monotonic()) == 0

    with record_lines("WARNING") as lines:
        anyio.run(scenario)
    (fields,) = select_fields(lines, "an answer is not delivered when the process ends")
    assert (
        fields["request"] == "id-1"
        and 0 < fields["unacknowledged_bytes"] <= len(SHORT_BODY) + 1_000
    )


def test_a_caller_that_is_unreachable_is_reset_and_its_request_ends(monkeypatch):
    """Guard against an endpoint that works for a caller that has disappeared."""
    silent = PeerProgress(unanswered=3, silent_seconds=delivery.CALLER_SILENCE_SECONDS)

    async def scenario():
        async with run_gateway(MANIFEST, answer_whole(b"x" * 8_000_000)) as harness:
            stream = await connect_with_small_buffer(harness.port)
            async with stream:
                await stream.send(make_request())
                await anyio.sleep(1.0)
                assert harness.server.active
                monkeypatch.setattr(delivery, "read_progress", lambda raw: silent)
                with anyio.fail_after(2):
                    while harness.server.connections:
                        await anyio.sleep(0.02)

    with record_lines() as lines:
        anyio.run(scenario)
    (fields,) = select_fields(lines, "a connection is reset, because an answer can't be delivered")
    assert (fields["request"], fields["reason"]) == ("id-1", delivery.UNREACHABLE)
    assert not select_fields(lines, "a connection failed before its caller had received an answer")


def test_a_caller_that_reads_nothing_is_served_until_its_time_is_over():
    """Guard against memory that is held for ever for a caller that stays connected."""
    timeout = 3.0
    manifest = replace(
        make_manifest(Execution.IDEMPOTENT, attempts=2, resumable=False, timeout=timeout),
        limits=CallerLimits(4096, 100_000, idle_timeout_seconds=1.5),
    )

    async def scenario():
        async with run_gateway(manifest, answer_whole(b"x" * 8_000_000)) as harness:
            stream = await connect_with_small_buffer(harness.port)
            async with stream:
                started_at = time.monotonic()
                await stream.send(make_request())
                await anyio.sleep(0.5)
                with anyio.fail_after(timeout + 2):
                    while harness.server.active:
                        await anyio.sleep(0.02)
                assert time.monotonic() - started_at >= timeout - 0.1

    with record_lines("WARNING") as lines:
        anyio.run(scenario)
    (fields,) = select_fields(lines, "a connection is reset, because an answer can't be delivered")
    assert (fields["request"], fields["reason"]) == ("id-1", delivery.STALLED)


@pytest.mark.parametrize(
    ("progress", "now", "fault"),
    [
        (PeerProgress(0, 60.0), 9.9, ""),
        (PeerProgress(1, 4.0), 9.9, ""),
        (PeerProgress(2, 4.0), 9.9, delivery.UNREACHABLE),
        (PeerProgress(0, 0.1), 10.0, delivery.STALLED),
        (None, 8.9, ""),
        (None, 10.0, delivery.STALLED),
    ],
    ids=[
        "closed window",
        "one lost probe",
        "no answer",
        "time is over",
        "unknown",
        "unknown, time is over",
    ],
)
def test_a_fault_of_a_delivery_is_found_by_what_the_kernel_knows(progress, now, fault):
    """Guard against a closed window or a lost probe that counts as a caller that is gone."""
    state = delivery.Delivery(None, ends_at=10.0, undelivered_bytes=100, progressed_at=5.0)
    assert delivery.find_fault(state, progress, now) == fault


def test_the_idle_time_of_a_connection_begins_when_its_caller_has_the_answer():
    """Guard against a connection that is closed as its caller sends the next request in time."""

    async def scenario():
        async with run_gateway(MANIFEST, answer_whole(SHORT_BODY)) as harness:
            stream = await connect_with_small_buffer(harness.port)
            async with stream:
                for _ in range(2):
                    await stream.send(make_request())
                    data = await read_slowly(stream)
                    assert (get_status(data), len(read_body(data))) == (200, len(SHORT_BODY))
                    # The system of the caller has acknowledged the end a little earlier.
                    await anyio.sleep(MANIFEST.limits.idle_timeout_seconds - BUFFERED_SECONDS)

    anyio.run(scenario)


@pytest.mark.parametrize("is_kept", [False, True], ids=["last answer", "kept connection"])
def test_a_server_that_stops_waits_until_slow_callers_have_their_answers(is_kept):
    """Guard against a process that ends while callers still receive answers that are complete."""
    received = []

    async def read(stream):
        received.append(await read_slowly(stream))

    async def scenario():
        async with run_gateway(MANIFEST, answer_whole(SHORT_BODY)) as harness:
            stream = await connect_with_small_buffer(harness.port)
            async with stream, anyio.create_task_group() as tasks:
                harness.server.closing = not is_kept
                await stream.send(make_request())
                await wait_until_answered(harness)
                harness.server.closing = True
                tasks.start_soon(read, stream)
                await drain_server(harness.server, time.monotonic() + 20)
                assert harness.server.connections == 0
                # What the system of the caller has acknowledged, it reads within this time.
                await anyio.sleep(BUFFERED_SECONDS)
                (data,) = received
                assert (get_status(data), len(read_body(data))) == (200, len(SHORT_BODY))

    anyio.run(scenario)


def test_answers_in_the_kernel_are_bounded_for_each_connection_and_in_sum():
    """Guard against the memory of a host that callers use up, because they read nothing."""
    limit = 4 * MAX_CONNECTION_BYTES

    async def scenario():
        async with run_gateway(MANIFEST, answer_whole(b"x" * 2_000_000)) as harness:
            harness.server.delivery_bytes = limit
            streams = [await connect_with_small_buffer(harness.port) for _ in range(9)]
            for stream in streams:
                await stream.send(make_request())
            await anyio.sleep(4 * delivery.CHECK_INTERVAL_SECONDS)
            sizes = [
                count_unacknowledged_bytes(state.stream) for state in harness.server.deliveries
            ]
            assert 0 < max(sizes) <= MAX_CONNECTION_BYTES
            assert 0 < sum(sizes) <= limit
            for stream in streams:
                await stream.aclose()

    with record_lines("WARNING") as lines:
        anyio.run(scenario)
    fields = select_fields(lines, "a connection is reset, because an answer can't be delivered")
    assert fields and {item["reason"] for item in fields} == {delivery.MEMORY}


def test_callers_whose_time_is_over_and_that_read_least_make_room_first():
    """Guard against a caller that reads in time and is reset for one that does not."""
    late, stalled, steady = (
        delivery.Delivery(None, ends_at=ends_at, kernel_bytes=10, progressed_at=progressed_at)
        for ends_at, progressed_at in ((5.0, 9.9), (20.0, 2.0), (20.0, 9.0))
    )
    deliveries = [steady, stalled, late]
    assert delivery.select_excess(deliveries, 30, 10.0) == []
    assert delivery.select_excess(deliveries, 29, 10.0) == [late]
    assert delivery.select_excess(deliveries, 10, 10.0) == [late, stalled]


def test_only_callers_whose_time_is_over_give_up_memory_for_answers():
    """Guard against slow callers that hold the memory for the answers of all others."""
    first, second, timely = (
        delivery.Delivery(None, "", 0.0, ends_at, 0.0, 60, 10, progressed_at=progressed_at)
        for ends_at, progressed_at in ((5.0, 2.0), (5.0, 9.0), (20.0, 1.0))
    )
    deliveries = [timely, second, first]
    assert delivery.select_late(deliveries, 100, 10.0) == []
    assert delivery.select_late(deliveries, 99, 10.0) == [first]
    assert delivery.select_late(deliveries, 0, 10.0) == [first, second]


def test_connections_without_a_request_or_an_answer_are_not_checked_again(monkeypatch):
    """Guard against idle connections that use up the processor of a host, all in one turn."""
    checks = []

    def check(state, now):
        checks.append(state)
        return delivery.check_delivery(state, now)

    async def scenario():
        async with run_gateway(MANIFEST, answer_whole(b"x")) as harness:
            unused, kept = [await connect_with_small_buffer(harness.port) for _ in range(2)]
            async with unused, kept:
                await kept.send(make_request())
                assert is_complete(await kept.receive())
                monkeypatch.setattr(callers, "check_delivery", check)
                await anyio.sleep(2.5 * delivery.CHECK_INTERVAL_SECONDS)
                (state,) = checks
                assert state.request_id == "id-1" and state.is_settled

    anyio.run(scenario)


def test_many_connections_that_end_cut_no_slow_caller(monkeypatch):
    """Guard against a process that counts a last answer as delivered, because many others end."""
    monkeypatch.setattr(callers, "MAX_LINGERING", 0)

    async def scenario():
        async with run_gateway(MANIFEST, answer_whole(SHORT_BODY)) as harness:
            harness.server.closing = True
            stream = await connect_with_small_buffer(harness.port)
            async with stream:
                await stream.send(make_request())
                await wait_until_answered(harness)
                # A reset for unread data would cost the caller its answer.
                await stream.send(b"more")
                data = await read_slowly(stream)
                assert (get_status(data), len(read_body(data))) == (200, len(SHORT_BODY))
                with anyio.fail_after(callers.LINGER_SECONDS / 2):
                    while harness.server.connections:
                        await anyio.sleep(0.02)

    anyio.run(scenario)


def test_a_further_request_does_not_shorten_the_time_of_an_answer():
    """Guard against a caller that is reset early, because it has sent its next request early."""
    limits = CallerLimits(4096, 100_000, idle_timeout_seconds=0.5)
    manifest = replace(MANIFEST, limits=limits)
    request = make_request().replace(b"X-Deadline-Ms: 3000", b"X-Deadline-Ms: 20000")

    async def scenario():
        async with run_gateway(manifest, answer_whole(SHORT_BODY)) as harness:
            stream = await connect_with_small_buffer(harness.port)
            async with stream:
                await stream.send(request)
                await wait_until_answered(harness)
                (state,) = harness.server.deliveries
                ends_at = state.ends_at
                # It is refused, because nobody knows its key.
                await stream.send(make_request(key=b"key-0"))
                await anyio.sleep(0.3)
                assert state.ends_at >= ends_at
                assert delivery.count_undelivered_bytes(state.stream)

    anyio.run(scenario)


def test_the_time_of_a_request_is_its_own_when_earlier_answers_are_delivered():
    """Guard against a caller that reads nothing and is served for the time of another request."""
    limits = CallerLimits(4096, 100_000, idle_timeout_seconds=15.0)
    manifest = replace(MANIFEST, limits=limits)
    first = make_request().replace(b"X-Deadline-Ms: 3000", b"X-Deadline-Ms: 20000")

    async def scenario():
        async with run_gateway(manifest, answer_whole(b"x")) as harness:
            stream = await connect_with_small_buffer(harness.port)
            async with stream:
                for request in (first, make_request()):
                    await stream.send(request)
                    assert is_complete(await stream.receive())
                (state,) = harness.server.deliveries
                assert state.ends_at <= time.monotonic() + 3.0

    anyio.run(scenario)


@pytest.mark.parametrize("progress", [None, PeerProgress(0, 0.0)], ids=["no answer", "zeros"])
def test_progress_is_found_where_the_kernel_tells_little(monkeypatch, progress):
    """Guard against kernels on which steady callers are reset, or silent ones are served for ever.

    Some answer the call without all numbers, and others not at all.
    """
    sizes = iter([100, 90, 90, 90])
    monkeypatch.setattr(delivery, "count_unacknowledged_bytes", lambda stream: next(sizes))
    monkeypatch.setattr(delivery, "count_unsent_bytes", lambda stream: 0)
    monkeypatch.setattr(delivery, "read_progress", lambda raw: progress)
    stream = SimpleNamespace(extra=lambda attribute: None)
    state = delivery.Delivery(stream, ends_at=1.0, progressed_at=1.0)
    faults = []
    for now in (2.0, 8.0, 11.0, 12.0):
        faults.append(delivery.find_fault(state, delivery.check_delivery(state, now), now))
    assert faults == ["", "", "", delivery.STALLED]


def test_the_time_without_progress_begins_with_the_request(monkeypatch):
    """Guard against an idle time that counts as the silence of a caller of a short request."""
    sizes = iter([0, 100, 100])
    monkeypatch.setattr(delivery, "count_undelivered_bytes", lambda stream: next(sizes))
    monkeypatch.setattr(delivery, "count_unacknowledged_bytes", lambda stream: next(sizes))
    monkeypatch.setattr(delivery, "count_unsent_bytes", lambda stream: 0)
    monkeypatch.setattr(delivery, "read_progress", lambda raw: PeerProgress(0, 0.1, 70))
    stream = SimpleNamespace(extra=lambda attribute: None)
    state = delivery.Delivery(stream, acknowledged_bytes=70, progressed_at=10.0)
    delivery.start_request(state, 60.0, 0.3)
    assert delivery.find_fault(state, delivery.check_delivery(state, 60.5), 60.5) == ""
    assert (
        delivery.find_fault(state, delivery.check_delivery(state, 64.0), 64.0) == delivery.STALLED
    )
