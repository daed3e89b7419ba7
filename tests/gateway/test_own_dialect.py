"""Test what only the product's own caller API and endpoint protocol have."""

import contextlib
import json

import anyio
import pytest
from msgspec.structs import replace

from marjorambridge.manifests.models import Execution, ServiceDefinition
from tests.forwarding.helpers import PROFILE

from .helpers import answer, answer_whole, call, get_status, make_manifest, run_gateway
from .helpers import stream_events as stream
from .test_requests import close_at_once, run, wait_forever
from .wires import OWN, find_header, make_own_event, make_own_request, read_body

STREAM = replace(
    make_manifest(Execution.STREAM, 2, True),
    services=(ServiceDefinition("svc", engine=PROFILE),),
)
ONE_ENDPOINT = make_manifest(Execution.STREAM, 1, False)
CALLS = make_manifest(Execution.AT_MOST_ONCE, 2, False)


def make_completion(path=b"/v1/completions", headers=b"", **fields):
    if path.endswith(b"chat/completions"):
        fields["messages"] = [{"role": "user", "content": "Price of plate 17?"}]
    else:
        fields["prompt"] = "Price of plate 17?"
    body = json.dumps({"model": "svc"} | fields).encode()
    head = b"POST " + path + b" HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer key-1\r\n" + headers
    return head + b"Content-Length: %d\r\n\r\n" % len(body) + body


def make_call(headers=b"", method=b"POST"):
    return make_own_request(method, b"hello", headers, b"key-1", False)


def read_json(data):
    return json.loads(read_body(data))


def read_error(data):
    error = read_json(data)["error"]
    assert error["message"]
    return get_status(data), error["type"], error["outcome"]


def test_an_engine_gets_the_fields_of_the_protocol_and_no_key():
    """Guard against an engine that can't tell attempts apart, and against a forwarded key."""

    async def scenario():
        async with run_gateway(STREAM, stream(1, 2, "complete"), wire=OWN) as harness:
            request = make_completion(
                headers=b"traceparent: 00-a-b-01\r\nX-Own: v\r\n",
                stream=True,
                stream_options={"include_usage": True},
                max_tokens=40,
                temperature=0.5,
            )
            await call(harness, request)
            head, _, body = harness.endpoints[0].requests[0].partition(b"\r\n\r\n")
            fields = json.loads(body)
            assert fields.pop("attempt") == "127.0.0.1:1:1:1"
            # The prompt has 18 bytes, which are 6 tokens, and the caller allows 40 more.
            assert fields == {
                "model": "svc",
                "prompt": "Price of plate 17?",
                "stream": True,
                "max_tokens": 40,
                "temperature": 0.5,
                "incarnation": 1,
                "priority": "interactive",
                "resume_from": 0,
                "kv_tokens": 46,
                "group": [],
            }
            assert find_header(head, b"traceparent") == b"00-a-b-01"
            assert find_header(head, b"x-marjorambridge-attempt") == b"127.0.0.1:1:1:1"
            assert not find_header(head, b"authorization") and not find_header(head, b"x-own")

    run(scenario)


@pytest.mark.parametrize("chat", [False, True], ids=["text", "chat"])
@pytest.mark.parametrize("streams", [False, True], ids=["whole", "stream"])
def test_an_answer_has_the_form_of_the_caller_api(chat, streams):
    """Guard against clients that can't read an answer, also one that two engines have made."""
    path = b"/v1/chat/completions" if chat else b"/v1/completions"

    async def scenario():
        scripts = stream(1, 2, "reset"), stream(1, 3, "complete")
        async with run_gateway(STREAM, *scripts, wire=OWN) as harness:
            options = {"stream": streams, "stream_options": {"include_usage": True}}
            data = await call(harness, make_completion(path, **options))
            text = read_body(data).decode()
            resumed = json.loads(harness.endpoints[1].requests[0].partition(b"\r\n\r\n")[2])
            assert resumed["resume_from"] == 2
            if not streams:
                answer_fields = json.loads(text)
                choice = answer_fields["choices"][0]
                content = choice["message"]["content"] if chat else choice["text"]
                usage = answer_fields["usage"]
            else:
                events = [line.removeprefix("data: ") for line in text.split("\n\n") if line]
                assert events[-1] == "[DONE]"
                chunks = [json.loads(event) for event in events[:-1]]
                pieces = [choice for chunk in chunks for choice in chunk["choices"]]
                content = "".join(
                    piece["delta"].get("content", "") if chat else piece["text"] for piece in pieces
                )
                choice, usage = pieces[-1], chunks[-1]["usage"]
            assert content == "token-1 token-2 token-3 "
            assert choice["finish_reason"] == "stop"
            assert usage == {"prompt_tokens": 2, "completion_tokens": 3, "total_tokens": 5}

    run(scenario)


def test_a_collected_answer_uses_the_memory_of_the_host_once():
    """Guard against memory that is lost when another engine continues a collected answer."""

    async def scenario():
        scripts = stream(1, 2, "reset"), stream(1, 3, "complete")
        async with run_gateway(STREAM, *scripts, wire=OWN) as harness:
            free = harness.gateway.memory.free_bytes
            assert get_status(await call(harness, make_completion())) == 200
            with anyio.fail_after(1.0):
                while harness.gateway.memory.free_bytes != free:
                    await anyio.sleep(0.01)
            harness.gateway.memory.free_bytes = 12
            harness.gateway.memory.reserved_bytes = 0
            assert get_status(await call(harness, make_completion())) == 502

    run(scenario)


def test_a_cut_stream_ends_with_an_error_event():
    """Guard against a cut answer that looks complete, or that ends without a remedy."""

    async def scenario():
        async with run_gateway(ONE_ENDPOINT, stream(1, 2, "reset"), wire=OWN) as harness:
            data = await call(harness, make_completion(stream=True))
            assert OWN.list_items(data) == [1, 2] and b"[DONE]" not in data
            error = json.loads(read_body(data).split(b"data: ")[-1])["error"]
            assert error["type"] == "stream_cut" and error["outcome"] == "unknown"

    run(scenario)


@pytest.mark.parametrize("ending", ["no end", "failure", "no stream"])
def test_an_incomplete_answer_of_an_engine_is_not_delivered(ending):
    """Guard against an answer that ends regularly without its end marker, or as another kind."""
    stream_head = b"Content-Type: text/event-stream\r\nConnection: close\r\n"
    failure = b'data: {"error":{"message":"out of memory"}}\n\n'
    whole = b'{"choices":[{"text":"unfinished"}]}'
    first = {
        "no end": answer(b"200 OK", stream_head, make_own_event(1)),
        "failure": answer(b"200 OK", stream_head, make_own_event(1) + failure),
        "no stream": answer(b"200 OK", b"Content-Length: %d\r\n" % len(whole), whole),
    }[ending]

    async def scenario():
        async with run_gateway(STREAM, first, stream(1, 3, "complete"), wire=OWN) as harness:
            data = await call(harness, make_completion())
            assert OWN.list_items(data) == [1, 2, 3] and b"unfinished" not in data

    run(scenario)


def test_only_a_refusal_with_its_outcome_counts_as_not_run():
    """Guard against a second run of a call because of a 404 or 503 that says nothing of it."""
    silent = answer(b"503 Service Unavailable", b"Content-Length: 0\r\n", b"")
    missing = answer(b"404 Not Found", b"Content-Length: 4\r\n", b"gone")

    async def scenario():
        async with run_gateway(CALLS, silent, answer_whole(b"again"), wire=OWN) as harness:
            assert read_error(await call(harness, make_call()))[1:] == ("endpoint_error", "unknown")
            assert not harness.endpoints[1].requests
        async with run_gateway(CALLS, missing, answer_whole(b"again"), wire=OWN) as harness:
            data = await call(harness, make_call())
            assert (get_status(data), read_body(data)) == (404, b"gone")

    run(scenario)


@pytest.mark.parametrize(("value", "count"), [(b"true", 2), (b"false", 1)])
def test_the_caller_decides_whether_a_call_is_repeated(value, count):
    """Guard against a second run that the caller forbids, and against a needless error."""
    manifest = CALLS if count == 2 else make_manifest(Execution.IDEMPOTENT, 2, False)

    async def scenario():
        scripts = close_at_once, answer_whole(b"good")
        async with run_gateway(manifest, *scripts, wire=OWN) as harness:
            header = b"X-Marjorambridge-Repeatable: " + value + b"\r\n"
            data = await call(harness, make_call(header))
            assert get_status(data) == (200 if count == 2 else 502)
            assert sum(len(endpoint.requests) for endpoint in harness.endpoints) == count

    run(scenario)


def test_a_safe_call_is_repeated():
    """Guard against a failed read that another endpoint could have answered."""

    async def scenario():
        scripts = close_at_once, answer_whole(b"good")
        async with run_gateway(CALLS, *scripts, wire=OWN) as harness:
            assert get_status(await call(harness, make_call(method=b"GET"))) == 200

    run(scenario)


@pytest.mark.parametrize("event", [b'data: {"index":0}\n\n', b"event: ping\n\n"])
def test_events_without_content_are_bounded(event):
    """Guard against an engine that keeps a host busy without an answer."""

    async def flood(endpoint, stream, head):
        if head.startswith(b"POST /v1/cancel"):
            return
        start = answer(b"200 OK", b"Content-Type: text/event-stream\r\nConnection: close\r\n", b"")
        await start(endpoint, stream, head)
        with contextlib.suppress(anyio.BrokenResourceError):
            while True:
                await stream.send(event * 10)
                endpoint.closed.append(len(event) * 10)

    async def scenario():
        async with run_gateway(STREAM, flood, stream(1, 3, "complete"), wire=OWN) as harness:
            data = await call(harness, make_completion(stream=True))
            assert OWN.list_items(data) == [1, 2, 3]
            # What one engine may send, and what its connection held.
            assert sum(harness.endpoints[0].closed) < 1_000_000

    run(scenario)


def test_an_answer_without_framing_is_cut():
    """Guard against the cut answer of a plain service that is taken for whole."""

    async def scenario():
        unframed = answer(b"200 OK", b"Connection: close\r\n", b"text")
        async with run_gateway(CALLS, unframed, wire=OWN) as harness:
            assert read_error(await call(harness, make_call())) == (
                502,
                "endpoint_error",
                "unknown",
            )

    run(scenario)


def test_a_completion_does_not_reach_a_plain_service():
    """Guard against a prompt that is sent to a service which is no engine."""

    async def scenario():
        async with run_gateway(CALLS, answer_whole(b"x"), wire=OWN) as harness:
            del harness.gateway.forwarding.table.routes[""]["/models/svc/"]
            error = read_error(await call(harness, make_completion()))
            assert error == (404, "unknown_service", "not_run")
            assert not harness.endpoints[0].requests

    run(scenario)


INVALID = {
    "other path": (b"POST /v1/models HTTP/1.1\r\n", b"", 404, "bad_request"),
    "other method": (b"GET /v1/completions HTTP/1.1\r\n", b"", 405, "bad_request"),
    "no json": (b"POST /v1/completions HTTP/1.1\r\n", b"{", 400, "bad_request"),
    "no key": (b"POST /services/svc/x HTTP/1.1\r\nAuthorization: Basic x\r\n", b"", 401, ""),
    "keyed": (b"POST /services/svc/x HTTP/1.1\r\nIdempotency-Key: k\r\n", b"", 503, ""),
    "timeout": (b"POST /services/svc/x HTTP/1.1\r\nX-Request-Timeout: -1\r\n", b"", 400, ""),
    "long body": (b"POST /v1/completions HTTP/1.1\r\n", b"x" * 200_000, 413, "too_large"),
}


@pytest.mark.parametrize("name", INVALID)
def test_an_invalid_request_gets_an_error_with_its_remedy(name):
    """Guard against errors of another form than the caller API documents."""
    head, body, status, kind = INVALID[name]

    async def scenario():
        async with run_gateway(CALLS, answer_whole(b"x"), wire=OWN) as harness:
            request = head + b"Host: h\r\nContent-Length: %d\r\n\r\n" % len(body) + body
            error = read_error(await call(harness, request))
            assert error[0] == status and error[2] == "not_run"
            assert not kind or error[1] == kind
            assert not harness.endpoints[0].requests

    run(scenario)


def confirm_cancel(endpoint_name, incarnation):
    """Return a script that answers a completion with silence, and a cancel with a confirmation."""
    reply = json.dumps({"endpoint": endpoint_name, "incarnation": incarnation}).encode()

    async def script(endpoint, stream, head):
        if head.startswith(b"POST /v1/cancel"):
            await answer_whole(reply)(endpoint, stream, head)
        else:
            await wait_forever(endpoint, stream, head)

    return script


@pytest.mark.parametrize(
    ("name", "incarnation", "confirmed"), [("e0", 2, True), ("e0", 0, False), ("e9", 2, False)]
)
def test_an_unfinished_attempt_is_cancelled_until_its_engine_confirms(
    name, incarnation, confirmed, monkeypatch
):
    """Guard against engines that keep the memory of requests whose connection has ended."""
    monkeypatch.setattr("marjorambridge.conf.defaults.CANCEL_RETRY_INTERVAL_SECONDS", 0.05)
    manifest = make_manifest(Execution.STREAM, 1, False, timeout=0.2)

    async def scenario():
        script = confirm_cancel(name, incarnation)
        async with run_gateway(manifest, script, wire=OWN) as harness:
            assert read_error(await call(harness, make_completion()))[:2] == (504, "deadline")
            await anyio.sleep(0.4)
            run, *cancels = harness.endpoints[0].requests
            attempt = json.loads(run.partition(b"\r\n\r\n")[2])["attempt"]
            named = {json.loads(c.partition(b"\r\n\r\n")[2])["attempt"] for c in cancels}
            assert named == {attempt}
            assert len(cancels) == 1 if confirmed else len(cancels) > 2

    run(scenario)
