"""Guard callers against answers that are lost, or that are cut but look complete."""

import asyncio
import contextlib
import hashlib
import json
import socket

import httpcore
import pytest

from marjorambridge.core.outcomes import HTTP_STATUSES, Done, Failed, NotRun, Reason, Unknown
from marjorambridge.http import callers, servers
from marjorambridge.http.registry import RequestRegistry, deliver_effect
from marjorambridge.http.settings import CallerSettings
from marjorambridge.limits.events import EndpointAnnounced
from marjorambridge.requests.effects import FinishRequest, ForwardChunk, ForwardHeaders
from marjorambridge.requests.events import CallerGone, RequestArrived
from tests.http.helpers import CallerServer, request, serve, serve_callers, wait_for
from tests.http.test_bodies import ANNOUNCEMENT

CHAT = {"model": "m", "messages": [{"role": "user", "content": "ભાવ?"}]}
CUT = Failed(Reason.STREAM_CUT, "the answer was cut; send the request again", 1.0)


def answer_with(caller, outcome, chunks=(b"a ", b"b "), headers=()):
    """Make the server answer every request with fixed effects."""

    def on_event(event):
        if isinstance(event, RequestArrived):
            name = event.request
            if chunks:
                deliver_effect(caller.registry, ForwardHeaders(name, 200, headers))
            for index, data in enumerate(chunks):
                deliver_effect(caller.registry, ForwardChunk(name, index, 1, data))
            deliver_effect(caller.registry, FinishRequest(name, outcome, "length", 4, len(chunks)))

    caller.on_event = on_event


async def post_chat(caller, **fields):
    url = f"http://{caller.address}/v1/chat/completions"
    return await request("POST", url, json.dumps(CHAT | fields).encode())


def read_events(response):
    lines = response.content.decode().split("\n\n")
    return [line.removeprefix("data: ") for line in lines if line]


def test_announcements_need_the_token_where_one_is_set():
    """Guard against an endpoint that is announced without the token and receives prompts."""
    digest = hashlib.sha256(b"endpoint").hexdigest()

    async def run():
        limits = CallerSettings(announcement_token_hashes=(digest,))
        async with serve_callers(settings=limits) as caller:
            url = f"http://{caller.address}/v1/announce"
            body = json.dumps(ANNOUNCEMENT).encode()
            for headers in ([], [(b"authorization", b"Bearer wrong")]):
                assert (await request("POST", url, body, headers)).status == 401
            assert not caller.select(EndpointAnnounced)
            token = [(b"authorization", b"Bearer endpoint")]
            assert (await request("POST", url, body, token)).status == 204
            assert caller.select(EndpointAnnounced)

    asyncio.run(run())


def test_a_whole_answer_ends_with_its_marker_and_usage():
    async def run():
        async with serve_callers() as caller:
            answer_with(caller, Done(), ["ગે".encode(), "રુ".encode()])
            streamed = await post_chat(caller, stream=True, stream_options={"include_usage": True})
            *chunks, last, usage, marker = read_events(streamed)
            texts = [json.loads(chunk)["choices"][0]["delta"]["content"] for chunk in chunks]
            assert "".join(texts) == "ગેરુ" and marker == "[DONE]"
            assert json.loads(last)["choices"][0]["finish_reason"] == "length"
            assert json.loads(usage)["usage"]["total_tokens"] == 6
            whole = json.loads((await post_chat(caller)).content)
            assert whole["choices"][0]["message"]["content"] == "ગેરુ"
            arrived = caller.select(RequestArrived)[0]
            assert arrived.prompt_bytes == len("user\nભાવ?\n".encode()) and arrived.stream
            assert not caller.registry.requests and not caller.select(CallerGone)

    asyncio.run(run())


def test_a_cut_answer_is_never_mistaken_for_a_whole_one():
    async def run():
        async with serve_callers() as caller:
            answer_with(caller, CUT)
            *_, error = read_events(await post_chat(caller, stream=True))
            assert json.loads(error)["error"]["type"] == "stream_cut"
            whole = await post_chat(caller)
            assert whole.status == 502 and json.loads(whole.content)["error"]["outcome"] == "failed"
            # A Content-Length of the endpoint must not make a cut body look complete either.
            answer_with(caller, CUT, headers=(("content-length", "4"),))
            with pytest.raises(httpcore.RemoteProtocolError):
                await request("POST", f"http://{caller.address}/services/app/book", b"x")

    asyncio.run(run())


def test_a_cut_answer_to_a_caller_without_chunks_is_reset():
    """Guard against a part without a length, which an orderly end makes a whole answer."""

    async def run():
        async with serve_callers() as caller:
            answer_with(caller, CUT)
            reader, writer = await asyncio.open_connection(*caller.address.split(":"))
            with contextlib.closing(writer), pytest.raises(ConnectionResetError):
                writer.write(b"POST /services/app/book HTTP/1.0\r\nContent-Length: 1\r\n\r\nx")
                await reader.read()

    asyncio.run(run())


@pytest.mark.parametrize(
    ("outcome", "status", "name"),
    [
        (NotRun(Reason.NOT_FRESH, "retry", 0.3), 503, "not_run"),
        (NotRun(Reason.RATE_LIMITED, "slower", 2.0), 429, "not_run"),
        (NotRun(Reason.CLAIM_IN_PROGRESS, "wait", 1.0), 409, "not_run"),
        (Failed(Reason.DEADLINE, "ask for less"), 504, "failed"),
        (Unknown(Reason.CLAIMANT_LOST, "check the booking"), 502, "unknown"),
    ],
)
def test_an_outcome_has_its_status_and_retry_time(outcome, status, name):
    async def run():
        async with serve_callers() as caller:
            answer_with(caller, outcome, chunks=())
            for fields in ({}, {"stream": True}):
                response = await post_chat(caller, **fields)
                error = json.loads(response.content)["error"]
                assert (response.status, error["outcome"]) == (status, name)
                assert error["retry_after"] == getattr(outcome, "retry_after", None)
                headers = {key.lower(): value for key, value in response.headers}
                assert (b"retry-after" in headers) == (error["retry_after"] is not None)

    asyncio.run(run())


def test_every_reason_has_a_status():
    assert set(HTTP_STATUSES) == set(Reason)


def test_a_caller_that_closes_is_reported_and_its_answer_dropped():
    async def run():
        async with serve_callers() as caller:
            host, port = caller.address.split(":")
            _, writer = await asyncio.open_connection(host, int(port))
            body = json.dumps(CHAT).encode()
            head = f"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nContent-Length: {len(body)}"
            writer.write(head.encode() + b"\r\n\r\n" + body)
            (arrived,) = await wait_for(lambda: caller.select(RequestArrived))
            writer.close()
            (disconnected,) = await wait_for(lambda: caller.select(CallerGone))
            assert disconnected.request == arrived.request
            # The body is stored until the reducer has finished the request.
            assert arrived.request in caller.registry.requests
            deliver_effect(caller.registry, ForwardChunk(arrived.request, 0, 1, b"x"))
            deliver_effect(caller.registry, FinishRequest(arrived.request, Done()))
            assert not caller.registry.requests and caller.registry.body_bytes == 0

    asyncio.run(run())


def test_a_slow_caller_pauses_reading_and_is_then_disconnected():
    async def run():
        registry = RequestRegistry(high_water_bytes=100_000, buffer_max_bytes=1_000_000)
        async with serve_callers(registry=registry) as caller:
            host, port = caller.address.split(":")
            _, writer = await asyncio.open_connection(host, int(port), limit=1024)
            writer.write(b"GET /services/app/export HTTP/1.1\r\nHost: x\r\n\r\n")
            (arrived,) = await wait_for(lambda: caller.select(RequestArrived))
            stored = registry.requests[arrived.request]
            sent = 0

            def add_more():
                nonlocal sent
                deliver_effect(registry, ForwardChunk(arrived.request, sent, 50_000, b"x" * 50_000))
                sent += 50_000
                return not stored.writable.is_set()

            await wait_for(add_more)
            assert stored.buffered_bytes <= 150_000
            await wait_for(lambda: add_more() and False or caller.select(CallerGone))
            assert not stored.pending
            writer.close()

    asyncio.run(run())


def test_limits_of_bodies_headers_and_idle_time_answer_with_typed_errors():
    async def run():
        settings = CallerSettings(max_body_bytes=1000, body_idle_timeout_seconds=0.1)
        async with serve_callers(settings=settings, idle_timeout_seconds=0.2) as caller:
            url = f"http://{caller.address}/v1/completions"
            response = await request("POST", url, b"x" * 1500)
            assert response.status == 413
            assert json.loads(response.content)["error"]["type"] == "too_large"
            chunked = [(b"transfer-encoding", b"chunked")]
            assert (await request("POST", url, b"x" * 1500, chunked)).status == 413
            large = [(b"x-large", b"x" * 100_000)]
            assert (await request("GET", url, headers=large)).status in (400, 431)
            host, port = caller.address.split(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(b"POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\nx")
            assert b" 408 " in await reader.readline()
            writer.close()
            for part in (b"", b"GET /half HTT"):
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(part)
                assert await asyncio.wait_for(reader.read(), 15) == b""
                writer.close()
            assert not caller.events

    asyncio.run(run())


def test_a_closing_server_lets_running_answers_finish():
    async def run():
        registry = RequestRegistry()
        events = []
        application = callers.build_application(registry, events.append)
        server = await servers.start_server(application, "127.0.0.1", 0)
        url = f"http://{server.address}/services/app/x"
        answer = asyncio.create_task(request("GET", url))
        await wait_for(lambda: events)
        closing = asyncio.create_task(servers.close_server(server, drain_seconds=15))
        await wait_for(lambda: server.server.should_exit)
        name = events[0].request
        deliver_effect(registry, ForwardChunk(name, 0, 2, b"ok"))
        deliver_effect(registry, FinishRequest(name, Done()))
        assert (await answer).content == b"ok"
        await closing

    asyncio.run(run())


@pytest.mark.parametrize("body_bytes", [100, 8_000_000])
def test_a_refusal_is_read_although_the_body_was_not(body_bytes):
    """Guard against a refusal that is lost, because the rest of the request resets it."""

    async def run():
        async with serve_callers(settings=CallerSettings(max_buffered_bytes=0)) as caller:
            reader, writer = await asyncio.open_connection(*caller.address.split(":"))
            head = f"POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: {body_bytes}"
            writer.write(head.encode() + b"\r\n\r\n")
            # The server answers before the body arrives.
            await asyncio.sleep(0.1)
            writer.write(b"x" * body_bytes)
            await writer.drain()
            await asyncio.sleep(0.1)
            async with asyncio.timeout(15.0):
                answer = await reader.read()
            assert answer.startswith(b"HTTP/1.1 503")
            assert b'"not_run"' in answer
            writer.close()

    asyncio.run(run())


def test_a_host_that_shuts_down_keeps_no_connection_open():
    """Guard against a request that crosses the end of a kept connection and gets no answer."""

    async def run():
        registry, draining = RequestRegistry(), False
        caller = CallerServer(registry)
        application = callers.build_application(
            registry, caller.post, is_shutting_down=lambda: draining
        )
        async with serve(application) as caller.address:
            answer_with(caller, Done())
            for path in ("/services/app/x", "/v1/chat/completions", "/v1/unknown"):
                async with httpcore.AsyncConnectionPool() as pool:
                    url, body = f"http://{caller.address}{path}", json.dumps(CHAT).encode()
                    draining = False
                    kept = await pool.request("POST", url, content=body)
                    draining = True
                    last = await pool.request("POST", url, content=body)
                    is_refused = kept.status >= 400
                    assert ((b"connection", b"close") in kept.headers) == is_refused
                    assert last.headers.count((b"connection", b"close")) == 1
                    assert not any(entry.is_idle() for entry in pool.connections)

    asyncio.run(run())


async def read_slowly(address, path, content, pause_seconds):
    """Send a request, wait, and return what a caller gets that reads in small parts."""
    connection = socket.socket()
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 32_768)
    connection.setblocking(False)
    host, port = address.split(":")
    loop = asyncio.get_running_loop()
    await loop.sock_connect(connection, (host, int(port)))
    head = f"POST {path} HTTP/1.1\r\nHost: x\r\nContent-Length: {len(content)}\r\n"
    await loop.sock_sendall(connection, head.encode() + b"Connection: close\r\n\r\n" + content)
    await asyncio.sleep(pause_seconds)
    started = loop.time()
    data = bytearray()
    with contextlib.suppress(ConnectionError):
        while part := await loop.sock_recv(connection, 1 << 17):
            data += part
            is_slow = not pause_seconds and loop.time() < started + 1.5
            await asyncio.sleep(0.03 if is_slow else 0.0)
    connection.close()
    return bytes(data)


@pytest.mark.parametrize("pause_seconds", [0.0, 1.5])
def test_the_idle_limit_does_not_cut_an_answer_that_is_being_read(pause_seconds):
    """Guard against an answer that is cut because its last write did not wait for the caller."""
    size = 7_000_000

    async def run():
        async with serve_callers(idle_timeout_seconds=0.3) as caller:
            answer_with(caller, Done(), [b"x" * size])
            content = json.dumps(CHAT).encode()
            path = "/v1/chat/completions"
            data = await read_slowly(caller.address, path, content, pause_seconds)
            assert (data.count(b"x") >= size) == (not pause_seconds)

    asyncio.run(run())


@pytest.mark.parametrize("pause_seconds", [0.0, 1.5])
def test_the_limit_of_a_write_does_not_cut_an_answer_that_is_being_read(pause_seconds):
    """Guard against an answer that is cut because one write takes a slow caller long."""
    size = 7_000_000

    async def run():
        async with serve_callers(settings=CallerSettings(send_timeout_seconds=0.3)) as caller:
            answer_with(caller, Done(), [b"x" * size])
            data = await read_slowly(caller.address, "/services/app/x", b"", pause_seconds)
            assert data.endswith(b"\r\n0\r\n\r\n") == (not pause_seconds)

    asyncio.run(run())
