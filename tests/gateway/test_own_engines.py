"""Test a gateway with the own dialect and the stand-in engines, which implement the protocol."""

import contextlib
import json

import anyio
import pytest
from msgspec.structs import replace

from marjorambridge.control.messages import EndpointEntry
from marjorambridge.forwarding.fleet import apply_entry
from marjorambridge.manifests.models import Execution, ServiceDefinition
from tests.forwarding.helpers import PROFILE
from tests.http.helpers import serve_engine

from .helpers import call, get_status, make_manifest, run_gateway
from .wires import OWN, read_body

INCARNATION = 5
MANIFEST = replace(
    make_manifest(Execution.STREAM, 2, True),
    services=(ServiceDefinition("svc", engine=PROFILE),),
)


def make_completion(**fields):
    body = {"model": "svc", "prompt": "Price of plate 17?", "max_tokens": 40} | fields
    data = json.dumps(body).encode()
    head = b"POST /v1/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer key-1\r\n"
    return head + b"Content-Length: %d\r\n\r\n" % len(data) + data


@contextlib.asynccontextmanager
async def run_with_engines(count, **settings):
    """Yield a gateway and its engines, which it prefers in their order."""
    async with contextlib.AsyncExitStack() as stack:
        harness = await stack.enter_async_context(run_gateway(MANIFEST, wire=OWN))
        engines = []
        for number in range(count):
            name = f"e{number}"
            served = serve_engine(endpoint=name, service="svc", **settings)
            address, engine = await stack.enter_async_context(served)
            zone = "z1" if number == 0 else "z2"
            entry = EndpointEntry(name, "svc", zone, address, 8, INCARNATION, 1, False, 0.0, 0.0)
            apply_entry(harness.gateway.forwarding, entry, 0.0)
            engines.append(engine)
        yield harness, engines


def read_text(data):
    return json.loads(read_body(data))["choices"][0]["text"]


def read_streamed_text(data):
    events = [part.removeprefix(b"data: ") for part in read_body(data).split(b"\n\n") if part]
    assert events[-1] == b"[DONE]"
    chunks = [json.loads(event) for event in events[:-1]]
    return "".join(chunk["choices"][0]["text"] for chunk in chunks)


def test_an_answer_that_two_engines_have_made_is_that_of_one():
    """Guard against missing, repeated or other tokens after an engine is lost."""

    async def scenario():
        async with run_with_engines(2) as (harness, engines):
            whole = read_text(await call(harness, make_completion()))
            assert len(whole.split()) > 3
            for streams in (False, True):
                engines[0].faults.cut_streams = 1
                engines[0].faults.cut_after_tokens = 3
                harness.gateway.forwarding.endpoints["e0"].avoid_until = 0.0
                data = await call(harness, make_completion(stream=streams))
                assert get_status(data) == 200
                assert (read_streamed_text(data) if streams else read_text(data)) == whole
            assert [start["resume_from"] for start in engines[1].starts] == [3, 3]

    anyio.run(scenario)


@pytest.mark.parametrize("cause", ["caller left", "connection cut"])
def test_the_memory_of_an_unfinished_attempt_is_freed(cause):
    """Guard against engines that go on with a request that nobody waits for."""

    async def scenario():
        # The engine would need ten seconds.
        async with run_with_engines(1, decode_tokens_per_second=100.0) as (harness, engines):
            engine = engines[0]
            if cause == "connection cut":
                engine.faults.cut_streams = 1
                engine.faults.cut_after_tokens = 3
                await call(harness, make_completion(max_tokens=1000, ignore_eos=True))
            else:
                stream = await anyio.connect_tcp("127.0.0.1", harness.port)
                await stream.send(make_completion(max_tokens=1000, ignore_eos=True))
                with anyio.fail_after(2.0):
                    while not engine.starts:
                        await anyio.sleep(0.01)
                await stream.aclose()
            with anyio.fail_after(2.0):
                while engine.runs:
                    await anyio.sleep(0.01)

    anyio.run(scenario)


def test_a_restarted_engine_runs_nothing_for_its_former_incarnation():
    """Guard against requests that count on an engine that is warm."""

    async def scenario():
        async with run_with_engines(2) as (harness, engines):
            engines[0].incarnation = INCARNATION + 1
            assert get_status(await call(harness, make_completion())) == 200
            assert not engines[0].starts and len(engines[1].starts) == 1

    anyio.run(scenario)
