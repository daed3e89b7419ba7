"""Test attempts at endpoints that read slowly, and at those that have vanished."""

import asyncio
import time

import anyio
import pytest

from marjorambridge.forwarding.attempts import AttemptOutcome
from marjorambridge.gateway import answers
from marjorambridge.gateway.answers import CHECK_INTERVAL_SECONDS
from marjorambridge.gateway.endpoints import run_attempt
from marjorambridge.gateway.messages import AnswerMemory, Attempt, MemoryAllocation
from marjorambridge.gateway.streams import (
    ENDPOINT_TIMEOUT_SECONDS,
    KEEPALIVE_IDLE_SECONDS,
    KEEPALIVE_INTERVAL_SECONDS,
    KEEPALIVE_PROBES,
)
from marjorambridge.platform.dialect import create_dialect

from .helpers import SIGNED, make_head
from .links import read_slowly, receive_head, run_link, vanish_after


def make_attempt(link, body):
    headers = [(b"Host", b"app.example"), (b"X-Request-Id", b"id-1")]
    return Attempt(
        address=f"127.0.0.1:{link.port}",
        method=b"POST",
        target=b"/p/x",
        headers=headers,
        body=body,
        request_id="id-1",
        allocation=MemoryAllocation(AnswerMemory(1 << 20, 0)),
        handle_head=lambda head: None,
    )


@pytest.mark.parametrize(
    ("size", "piece_bytes", "buffer_bytes"),
    [(60_000, 2_048, 4_096), (400_000, 16_384, 32_768)],
    ids=["16 KB/s", "128 KB/s"],
)
@pytest.mark.parametrize("can_tell", [True, False], ids=["told", "not told"])
def test_an_endpoint_that_reads_a_body_slowly_runs_the_request(
    monkeypatch, size, piece_bytes, buffer_bytes, can_tell
):
    """Guard against the end of a connection on which bytes are acknowledged all the time."""
    body = b"x" * size
    if not can_tell:
        monkeypatch.setattr(answers, "read_progress", lambda raw: None)

    async def scenario():
        async with run_link(read_slowly(piece_bytes, 0.128), buffer_bytes) as link:
            started_at = time.monotonic()
            result = await run_attempt(make_attempt(link, body), create_dialect())
            assert time.monotonic() - started_at > 2 * ENDPOINT_TIMEOUT_SECONDS
            assert (result.outcome, result.detail) == (AttemptOutcome.COMPLETE, "")
            assert (result.body, link.bodies) == (b"ok", [body])

    anyio.run(scenario)


async def run_until_vanished(size, read_bytes):
    """Run an attempt at an endpoint that vanishes, and return the time until its end."""
    async with run_link(vanish_after(read_bytes)) as link:
        with anyio.fail_after(10):
            result = await run_attempt(make_attempt(link, b"x" * size), create_dialect())
        seconds = time.monotonic() - link.vanished_at
        assert (result.outcome, result.has_ended) == (AttemptOutcome.BROKEN, True)
        assert result.head is None
        return seconds


def test_an_endpoint_that_vanishes_while_it_reads_is_noticed():
    """Guard against a request that waits for its deadline because bytes are never read."""
    seconds = anyio.run(run_until_vanished, 100_000, 20_000)
    assert seconds < ENDPOINT_TIMEOUT_SECONDS + 2 * CHECK_INTERVAL_SECONDS


def test_an_endpoint_that_vanishes_before_it_answers_is_noticed():
    """Guard against a request that waits for its deadline because no answer can come."""
    seconds = anyio.run(run_until_vanished, 100, 100)
    probed_seconds = KEEPALIVE_IDLE_SECONDS + KEEPALIVE_INTERVAL_SECONDS
    assert seconds < probed_seconds + 2 * CHECK_INTERVAL_SECONDS


def test_an_endpoint_that_vanishes_before_it_answers_is_noticed_by_the_kernel_alone(monkeypatch):
    """Guard against attempts that never end where the kernel reports no state of connections."""
    monkeypatch.setattr(answers, "read_progress", lambda raw: None)
    seconds = anyio.run(run_until_vanished, 100, 100)
    probed_seconds = KEEPALIVE_IDLE_SECONDS + KEEPALIVE_PROBES * KEEPALIVE_INTERVAL_SECONDS
    assert seconds < probed_seconds + 2 * CHECK_INTERVAL_SECONDS


def test_an_endpoint_that_answers_late_is_not_taken_for_one_that_vanished():
    """Guard against checks that count the time until an answer as silence of the connection."""

    async def answer_late(link, raw):
        loop = asyncio.get_running_loop()
        head, _ = await receive_head(loop, raw)
        await anyio.sleep(2.5 * ENDPOINT_TIMEOUT_SECONDS)
        headers = SIGNED + b"Content-Length: 4\r\n"
        await loop.sock_sendall(raw, make_head(head, b"200 OK", headers) + b"late")

    async def scenario():
        async with run_link(answer_late) as link:
            result = await run_attempt(make_attempt(link, b"x"), create_dialect())
            assert (result.outcome, result.body) == (AttemptOutcome.COMPLETE, b"late")

    anyio.run(scenario)
