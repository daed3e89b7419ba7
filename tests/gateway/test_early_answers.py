"""Test answers that break off while the request is still being sent, and invalid statuses."""

import socket
import struct
from contextlib import asynccontextmanager, suppress

import anyio
import pytest
from anyio.abc import SocketAttribute
from msgspec.structs import replace

from marjorambridge.forwarding.attempts import AttemptOutcome
from marjorambridge.gateway.orders import send_order
from marjorambridge.manifests.models import CallerLimits, Execution

from .helpers import (
    BROKEN_PIPE,
    SIGNED,
    answer,
    answer_whole,
    call,
    get_status,
    make_head,
    make_manifest,
    make_request,
    run_gateway,
)
from .test_relays import lose_contact, run_fleet
from .wires import over_both_dialects

ONCE = make_manifest(Execution.AT_MOST_ONCE, 1, False)
UPLOADS = replace(ONCE, limits=CallerLimits(header_bytes=4_096, body_bytes=20_000_000))
# More than the kernel holds for a connection whose other end reads nothing.
LONG_BODY = b"x" * 8_000_000
INTERIM = b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
GOOD = answer_whole(b"good")


@asynccontextmanager
async def serve_part(interim, discards_rest):
    """Send a part of an answer before the body of the request is read, and reset the connection."""

    async def serve(stream):
        async with stream:
            head = b""
            with suppress(*BROKEN_PIPE):
                while b"\r\n\r\n" not in head:
                    head += await stream.receive(1_000)
                head = head.partition(b"\r\n\r\n")[0]
                await stream.send(interim + make_head(head, b"200 OK", SIGNED) + b"part")
                await anyio.sleep(0.05)
                if not discards_rest:
                    return
                # The kernel drops what was not read, and sends nothing more than a reset.
                raw = stream.extra(SocketAttribute.raw_socket)
                raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))

    listener = await anyio.create_tcp_listener(local_host="127.0.0.1", local_port=0)
    async with listener, anyio.create_task_group() as tasks:
        tasks.start_soon(listener.serve, serve)
        yield f"127.0.0.1:{listener.extra(SocketAttribute.local_port)}"
        tasks.cancel_scope.cancel()


@pytest.mark.parametrize("path", ["gateway", "relay", "order"])
@pytest.mark.parametrize("interim", [b"", INTERIM], ids=["at once", "after an interim answer"])
@pytest.mark.parametrize("discards_rest", [True, False])
def test_a_part_of_an_answer_is_not_complete_while_the_request_is_sent(
    path, interim, discards_rest
):
    """Guard against a part that is taken for an answer without a length, which ends so."""

    async def scenario():
        cut = (True, False) if path == "relay" else (False,)
        async with (
            serve_part(interim, discards_rest) as address,
            run_fleet(UPLOADS, GOOD, cut=cut) as hosts,
        ):
            endpoint = hosts[-1].gateway.forwarding.endpoints["e0"]
            if path == "relay":
                await lose_contact(hosts[0])
            endpoint.address = address
            if path == "order":
                order = b"/order", LONG_BODY
                result = await send_order(hosts[0].gateway, endpoint, order, lambda head: None)
                assert result.outcome is AttemptOutcome.BROKEN
            else:
                data = await call(hosts[0], make_request(body=LONG_BODY))
                assert get_status(data) == 502 and b"part" not in data

    anyio.run(scenario)


def answer_with_status(status):
    return answer(status + b" X", SIGNED + b"Content-Length: 4\r\nX-Not-Executed: 1\r\n", b"text")


statuses = pytest.mark.parametrize("status", [b"000", b"099", b"600", b"999"])


@over_both_dialects
@statuses
def test_an_answer_with_an_invalid_status_is_not_forwarded(status, wire):
    """Guard against statuses that callers can't read, and against trust in such an answer."""

    async def scenario():
        async with run_gateway(ONCE, answer_with_status(status), wire=wire) as harness:
            assert get_status(await call(harness, make_request(wire=wire))) == 502
            endpoint = harness.gateway.forwarding.endpoints["e0"]
            order = b"/order", b"x"
            result = await send_order(harness.gateway, endpoint, order, lambda head: None)
            assert (result.outcome, result.head) == (AttemptOutcome.BROKEN, None)

    anyio.run(scenario)


@statuses
def test_a_host_that_passes_requests_on_gets_no_invalid_status(status):
    """Guard against an invalid status that another host forwards."""

    async def scenario():
        async with run_fleet(ONCE, answer_with_status(status)) as (host, _):
            await lose_contact(host)
            assert get_status(await call(host, make_request())) == 502

    anyio.run(scenario)
