"""Guard attempts against late starts, unreported retries and cut answers that look complete."""

import asyncio
import contextlib
import socket

import pytest

from marjorambridge.core.identity import AttemptId
from marjorambridge.http.endpoints import execute_effect
from marjorambridge.http.settings import EndpointSettings
from marjorambridge.limits.effects import CancelHostOnEndpoint, CancelOnEndpoint
from marjorambridge.limits.events import EndpointCancelled
from marjorambridge.requests.effects import CancelAttempt
from marjorambridge.requests.events import (
    AttemptChunk,
    AttemptEnd,
    AttemptHeaders,
    AttemptStarted,
)
from marjorambridge.standins import service as service_module
from tests.http.helpers import build_grant, run_driver, serve, serve_bytes, serve_engine, wait_for

PLAIN = {"is_engine": False, "path": "/book", "body": b"truck 4"}


def join(chunks):
    return b"".join(chunk.data for chunk in chunks).decode()


def test_a_refused_connection_is_not_sent():
    async def run():
        with socket.socket() as unused:
            unused.bind(("127.0.0.1", 0))
            async with run_driver() as attempts:
                attempt = attempts.start(build_grant(f"127.0.0.1:{unused.getsockname()[1]}"))
                assert (await attempts.wait_for_end(attempt)).end is AttemptEnd.NOT_SENT
                assert not attempts.select(AttemptStarted, attempt)

    asyncio.run(run())


def test_no_byte_is_written_after_the_start_window():
    async def run():
        async with serve_bytes(b"") as (address, received):
            # The window passes after the connection was opened and before the first byte.
            def clock():
                pools = attempts.driver.pools.values()
                return 10.0 if any(entry.pool.connections for entry in pools) else 0.0

            async with run_driver(clock=clock) as attempts:
                attempt = attempts.start(build_grant(address), start_by=5.0)
                ended = await attempts.wait_for_end(attempt)
                assert ended.end is AttemptEnd.NOT_SENT and "start window" in ended.message
                assert not attempts.select(AttemptStarted, attempt)
        assert received == []

    asyncio.run(run())


def test_a_whole_stream_is_complete_and_its_connection_is_closed():
    """Guard against an answer that is read by the next attempt on the same connection."""

    async def run():
        async with serve_engine() as (address, engine), run_driver() as attempts:
            for _ in range(2):
                attempt = attempts.start(build_grant(address), headers=(("traceparent", "00-ab"),))
                ended = await attempts.wait_for_end(attempt)
                assert (ended.end, ended.finish) == (AttemptEnd.COMPLETE, "length")
                chunks = attempts.select(AttemptChunk, attempt)
                assert sum(chunk.count for chunk in chunks) == 20
                assert ended.usage["completion_tokens"] == 20
                assert all(chunk.token_ends[-1] == len(chunk.data) for chunk in chunks)
                assert not attempts.driver.pools[address].pool.connections
            assert [start["traceparent"] for start in engine.starts] == ["00-ab", "00-ab"]

    asyncio.run(run())


def test_a_cut_stream_resumes_on_another_engine_with_the_same_text():
    async def run():
        async with (
            serve_engine() as (one, engine),
            serve_engine(endpoint="e2") as (two, _),
            run_driver() as attempts,
        ):
            whole = attempts.start(build_grant(two, "e2"))
            await attempts.wait_for_end(whole)
            engine.faults.cut_streams, engine.faults.cut_after_tokens = 1, 7
            cut = attempts.start(build_grant(one))
            assert (await attempts.wait_for_end(cut)).end is AttemptEnd.CUT
            first = attempts.select(AttemptChunk, cut)
            assert sum(chunk.count for chunk in first) == 7
            rest = attempts.start(build_grant(two, "e2"), resume_from=7)
            assert (await attempts.wait_for_end(rest)).end is AttemptEnd.COMPLETE
            second = attempts.select(AttemptChunk, rest)
            assert second[0].index == 7
            assert join(first) + join(second) == join(attempts.select(AttemptChunk, whole))

    asyncio.run(run())


@pytest.mark.parametrize(
    ("answer", "end"),
    [
        (b'data: {"index":0,"tokens":["a"],"choices":[{"finish_reason":"stop"}]}\n\n', "cut"),
        (b'data: {"tokens":["a"]}\n\ndata: [DONE]\n\n', "cut"),
        (b"data: nonsense\n\ndata: [DONE]\n\n", "cut"),
        (b'data: {"error":"out of memory"}\n\ndata: [DONE]\n\n', "server_error"),
    ],
)
def test_a_stream_without_its_marker_or_out_of_protocol_is_not_complete(answer, end):
    async def run():
        head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(answer)
        async with serve_bytes(head + answer) as (address, _), run_driver() as attempts:
            assert (await attempts.wait_for_end(attempts.start(build_grant(address)))).end == end

    asyncio.run(run())


@pytest.mark.parametrize(
    ("status", "body", "end"),
    [
        (503, b'{"error":{"outcome":"not_run"}}', "refused"),
        (503, b"overloaded", "server_error"),
        (500, b'{"error":{"outcome":"not_run"}}', "server_error"),
        (400, b"bad", "client_error"),
    ],
)
def test_an_attempt_is_refused_only_if_the_engine_reports_not_run(status, body, end):
    async def run():
        head = b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n" % (status, len(body))
        async with serve_bytes(head + body) as (address, _), run_driver() as attempts:
            assert (await attempts.wait_for_end(attempts.start(build_grant(address)))).end == end

    asyncio.run(run())


@pytest.mark.parametrize(
    ("answer", "end", "status"),
    [
        (b"HTTP/1.1 404 X\r\nContent-Length: 2\r\n\r\nno", "complete", 404),
        (b"HTTP/1.1 200 X\r\nContent-Length: 9\r\n\r\nno", "cut", 200),
        (b"HTTP/1.1 200 X\r\n\r\nbooked", "cut", 200),
        (b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n", "cut", 200),
        (b"HTTP/1.0 200 X\r\n\r\nbooked", "cut", 200),
        (b"HTTP/1.0 200 X\r\nContent-Length: 9\r\n\r\nno", "cut", 200),
        (b"HTTP/1.0 200 X\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n", "cut", 200),
        (b"HTTP/1.1 103 X\r\n\r\nHTTP/1.1 200 X\r\n\r\nbooked", "cut", 200),
        (b"HTTP/1.1 000 X\r\nContent-Length: 0\r\n\r\n", "cut", None),
        (b"HTTP/1.1 600 X\r\nContent-Length: 0\r\n\r\n", "server_error", None),
        (b"HTTP/1.1 999 X\r\nContent-Length: 0\r\n\r\n", "server_error", None),
        (b"HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n", "server_error", None),
        (b"", "cut", None),
        (b"HTTP/1.1 200 X\r\nContent-Len", "cut", None),
        (b"HTTP/1.1 200 X\r\nContent-Length: 0\r\n", "cut", None),
    ],
)
def test_the_framing_of_a_plain_answer_decides_whether_it_is_whole(answer, end, status):
    async def run():
        async with serve_bytes(answer) as (address, received), run_driver() as attempts:
            attempt = attempts.start(build_grant(address), **PLAIN)
            assert (await attempts.wait_for_end(attempt)).end == end
            heads = attempts.select(AttemptHeaders, attempt)
            assert [head.status for head in heads] == ([status] if status else [])
            assert attempts.select(AttemptStarted, attempt) and len(received) == 1

    asyncio.run(run())


@pytest.mark.parametrize("start", [b"", b"HTTP/1.1 103 X\r\n\r\n", b"HTTP/1.0"])
def test_a_part_of_an_answer_is_cut_while_the_request_is_sent(start):
    """Guard against a part that is taken for a whole answer when the connection is reset."""
    head = b" 200 X\r\nConnection: close\r\n\r\n"
    answer = start + head if start == b"HTTP/1.0" else start + b"HTTP/1.1" + head

    async def handle(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(answer + b"part")
        await asyncio.sleep(0.05)
        # The rest of the request is not read, so that the kernel resets the connection.
        writer.transport.abort()
        await asyncio.sleep(0)

    async def run():
        server = await asyncio.start_server(handle, "127.0.0.1", 0, limit=1_000)
        async with server, run_driver() as attempts:
            address = "{}:{}".format(*server.sockets[0].getsockname())
            attempt = attempts.start(build_grant(address), **PLAIN | {"body": b"x" * 8_000_000})
            assert (await attempts.wait_for_end(attempt)).end is AttemptEnd.CUT

    asyncio.run(run())


def test_a_call_cut_after_its_execution_is_executed_once():
    async def run():
        service = service_module.PlainService(service_module.ServiceSettings(), 5)
        application = service_module.build_application(service)
        async with serve(application) as address, run_driver() as attempts:
            service.faults.cut_answers = 1
            attempt = attempts.start(build_grant(address), **PLAIN)
            assert (await attempts.wait_for_end(attempt)).end is AttemptEnd.CUT
            assert service.by_key == {"r1": 1}
            again = attempts.start(build_grant(address), **PLAIN)
            assert (await attempts.wait_for_end(again)).end is AttemptEnd.COMPLETE
            assert b'"booking":"portal-1-5-2"' in attempts.select(AttemptChunk, again)[0].data

    asyncio.run(run())


def test_a_late_answer_is_timed_out_and_its_memory_can_be_freed():
    async def run():
        async with serve_engine() as (address, engine), run_driver() as attempts:
            engine.faults.hang = True
            attempt = attempts.start(build_grant(address), timeout=0.3)
            assert (await attempts.wait_for_end(attempt)).end is AttemptEnd.TIMED_OUT
            assert attempt in engine.runs
            execute_effect(attempts.driver, CancelAttempt(attempt))
            await wait_for(lambda: not engine.runs)

    asyncio.run(run())


def test_a_cancelled_attempt_ends_once_and_stops_on_the_engine():
    async def run():
        async with serve_engine() as (address, engine), run_driver() as attempts:
            engine.faults.hang = True
            running = attempts.start(build_grant(address))
            await wait_for(lambda: engine.runs)
            execute_effect(attempts.driver, CancelAttempt(running))
            assert (await attempts.wait_for_end(running)).end is AttemptEnd.CUT
            await wait_for(lambda: not engine.runs)
            early = attempts.start(build_grant(address))
            execute_effect(attempts.driver, CancelAttempt(early))
            assert (await attempts.wait_for_end(early)).end is AttemptEnd.NOT_SENT

    asyncio.run(run())


def test_a_cancel_is_confirmed_only_by_the_addressed_endpoint():
    async def run():
        async with serve_engine() as (address, engine), run_driver() as attempts:
            engine.faults.hang = True
            first = attempts.start(build_grant(address))
            attempts.start(build_grant(address))
            await wait_for(lambda: len(engine.runs) == 2)
            execute_effect(attempts.driver, CancelOnEndpoint("other", 5, address, first))
            execute_effect(attempts.driver, CancelOnEndpoint("e1", 6, address, first))
            execute_effect(attempts.driver, CancelOnEndpoint("e1", 5, address, first))
            execute_effect(attempts.driver, CancelHostOnEndpoint("e1", 4, address, "host", 1))
            await wait_for(lambda: not attempts.driver.tasks)
            confirmed = [item for item in attempts.events if isinstance(item, EndpointCancelled)]
            assert {(c.endpoint, c.incarnation, c.attempt, c.host) for c in confirmed} == {
                ("e1", 5, first, ""),
                ("e1", 4, None, "host"),
            }
            assert not engine.runs
            late = attempts.start(build_grant(address))
            assert (await attempts.wait_for_end(late)).end is AttemptEnd.REFUSED

    asyncio.run(run())


def test_the_parts_of_a_group_stay_reserved_while_the_lead_runs():
    async def run():
        async with (
            serve_engine() as (one, lead),
            serve_engine(endpoint="e2") as (two, follower),
            run_driver() as attempts,
        ):
            lead.faults.hang = True
            attempt = attempts.start(build_grant(one), build_grant(two, "e2", tokens=400))
            await wait_for(lambda: lead.runs)
            assert follower.parts[attempt].tokens == 400
            lead.faults.hang = False
            assert (await attempts.wait_for_end(attempt)).end is AttemptEnd.COMPLETE
            await wait_for(lambda: not follower.parts)

    asyncio.run(run())


def test_a_group_without_all_its_parts_frees_the_others():
    async def run():
        async with (
            serve_engine() as (one, lead),
            serve_engine(endpoint="e2") as (two, follower),
            serve_engine(endpoint="e3", kv_capacity_tokens=100) as (three, full),
            run_driver(EndpointSettings(part_expiry_seconds=1e6)) as attempts,
        ):
            attempt = attempts.start(
                build_grant(one), build_grant(two, "e2"), build_grant(three, "e3")
            )
            assert (await attempts.wait_for_end(attempt)).end is AttemptEnd.REFUSED
            await wait_for(lambda: attempt in follower.cancelled and not follower.parts)
            assert not lead.starts and not full.parts

    asyncio.run(run())


def test_the_lead_stops_when_a_follower_lost_its_part():
    async def run():
        async with (
            serve_engine(part_seconds=0.05) as (one, lead),
            serve_engine(endpoint="e2") as (two, follower),
            run_driver() as attempts,
        ):
            lead.faults.hang = True
            attempt = attempts.start(build_grant(one), build_grant(two, "e2"))
            await wait_for(lambda: lead.runs)
            follower.parts.clear()
            assert (await attempts.wait_for_end(attempt)).end is AttemptEnd.CUT
            assert not lead.runs

    asyncio.run(run())


def test_a_restarted_engine_refuses_work_granted_to_its_earlier_incarnation():
    async def run():
        async with serve_engine() as (address, engine), run_driver() as attempts:
            attempt = attempts.start(build_grant(address, incarnation=4))
            assert (await attempts.wait_for_end(attempt)).end is AttemptEnd.REFUSED
            assert not engine.starts

    asyncio.run(run())


def test_an_unknown_request_ends_its_attempt():
    async def run():
        async with run_driver() as attempts:
            attempts.start(build_grant("127.0.0.1:9"), start_by=0.0)
            attempts.driver.registry.requests.clear()
            second = attempts.start(build_grant("127.0.0.1:9"), start_by=0.0)
            assert second == AttemptId("host", 1, 2)
            assert (await attempts.wait_for_end(second)).end is AttemptEnd.NOT_SENT

    asyncio.run(run())


@pytest.mark.parametrize("pause", [0.0, 0.05])
def test_a_refusal_that_is_written_twice_does_not_answer_the_next_call(pause):
    """Guard against "not run" for a call that runs, from a refusal left on a kept connection."""
    body = b'{"error":{"outcome":"not_run"}}'
    refusal = b"HTTP/1.1 503 Busy\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)
    runs = []

    async def handle(reader, writer):
        with contextlib.suppress(ConnectionError), contextlib.closing(writer):
            while await reader.read(65536):
                runs.append(writer)
                first = len(runs) == 1
                writer.write(
                    refusal if first else b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
                )
                if first:
                    await asyncio.sleep(pause)
                    writer.write(refusal)
                await writer.drain()

    async def run():
        server = await asyncio.start_server(handle, "127.0.0.1", 0)
        async with server, run_driver() as attempts:
            grant = build_grant("{}:{}".format(*server.sockets[0].getsockname()), tokens=0)
            refused = await attempts.wait_for_end(attempts.start(grant, **PLAIN))
            assert refused.end is AttemptEnd.REFUSED
            second = attempts.start(grant, **PLAIN)
            assert (await attempts.wait_for_end(second)).end is AttemptEnd.COMPLETE
            assert join(attempts.select(AttemptChunk, second)) == "ok" and len(runs) == 2

    asyncio.run(run())
