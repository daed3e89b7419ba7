"""Provide servers and clients for the tests of the HTTP drivers and stand-ins."""

import asyncio
import contextlib
import json
from dataclasses import dataclass, field

import httpcore

from marjorambridge.core.identity import AttemptId
from marjorambridge.http import callers, endpoints, servers
from marjorambridge.http.registry import RequestRegistry, StoredRequest, add_request
from marjorambridge.limits.messages import EndpointGrant, PriorityClass
from marjorambridge.requests.effects import StartAttempt
from marjorambridge.requests.events import AttemptEnded
from marjorambridge.standins import engine as engine_module
from marjorambridge.standins import scheduler

WAIT_SECONDS = 15.0


async def wait_for(condition):
    """Return the first true value of `condition`; the time limit only ends a failing test."""
    async with asyncio.timeout(WAIT_SECONDS):
        while True:
            value = condition()
            if value:
                return value
            await asyncio.sleep(0.005)


@contextlib.asynccontextmanager
async def serve(application, **options):
    async with serve_open(application, **options) as server:
        yield server.address


@contextlib.asynccontextmanager
async def serve_open(application, **options):
    """Serve like `serve`, and yield the server."""
    server = await servers.start_server(application, "127.0.0.1", 0, **options)
    try:
        yield server
    finally:
        await servers.close_server(server)


@contextlib.asynccontextmanager
async def serve_engine(**settings):
    """Serve a fast stand-in engine in this process; yields its address and its state."""
    values = {
        "endpoint": "e1",
        "service": "m",
        "starts_cold": False,
        "prefill_tokens_per_second": 1e6,
        "decode_tokens_per_second": 2000.0,
        "step_seconds": 0.002,
    }
    engine = scheduler.create_engine(scheduler.EngineSettings(**values | settings), 5, 0.0)
    worker = asyncio.create_task(scheduler.run_steps(engine))
    async with serve(engine_module.build_application(engine)) as address:
        yield address, engine
    worker.cancel()


@contextlib.asynccontextmanager
async def serve_bytes(answer, close=True):
    """Answer every connection's first request with fixed bytes; yields address and requests."""
    received = []

    async def handle(reader, writer):
        with contextlib.suppress(ConnectionError):
            data = await reader.read(65536)
            if data:
                received.append(data)
                writer.write(answer)
                await writer.drain()
            if close:
                writer.close()

    server = await asyncio.start_server(handle, "127.0.0.1", 0)
    async with server:
        yield "{}:{}".format(*server.sockets[0].getsockname()), received


@dataclass
class CallerServer:
    """A server for callers with the events that it posted; `on_event` may respond to them."""

    registry: RequestRegistry = field(default_factory=RequestRegistry)
    events: list = field(default_factory=list)
    on_event: object = None
    address: str = ""
    connections: object = frozenset()

    def post(self, event):
        self.events.append(event)
        if self.on_event is not None:
            self.on_event(event)

    def select(self, kind):
        return [event for event in self.events if isinstance(event, kind)]


@contextlib.asynccontextmanager
async def serve_callers(on_event=None, settings=None, registry=None, **options):
    caller = CallerServer(registry or RequestRegistry(), on_event=on_event)
    application = callers.build_application(caller.registry, caller.post, settings)
    async with serve_open(application, **options) as server:
        caller.address = server.address
        caller.connections = server.server.server_state.connections
        yield caller


@dataclass
class DriverHarness:
    """An endpoint driver and the events that it posted."""

    driver: endpoints.EndpointDriver
    events: list
    number: int = 0

    def start(self, *grants, start_by=1e12, timeout=30.0, resume_from=0, **stored):
        """Start an attempt with a new request; return the identity of the attempt."""
        self.number += 1
        name = f"r{self.number}"
        values = {
            "is_engine": True,
            "method": "POST",
            "path": "/v1/completions",
            "headers": (),
            "body": json.dumps(
                {"model": "m", "prompt": "grade of lot 7", "max_tokens": 20, "ignore_eos": True}
            ).encode(),
        }
        add_request(self.driver.registry, StoredRequest(name, **values | stored))
        attempt = AttemptId("host", 1, self.number)
        effect = StartAttempt(
            attempt, name, grants, PriorityClass.INTERACTIVE, resume_from, start_by, timeout
        )
        endpoints.execute_effect(self.driver, effect)
        return attempt

    def select(self, kind, attempt):
        found = [event for event in self.events if isinstance(event, kind)]
        return [event for event in found if event.attempt == attempt]

    async def wait_for_end(self, attempt):
        """Wait for the only `AttemptEnded` of an attempt and return it."""
        (ended,) = await wait_for(lambda: self.select(AttemptEnded, attempt))
        return ended


@contextlib.asynccontextmanager
async def run_driver(settings=None, clock=None):
    events = []
    options = {"clock": clock} if clock else {}
    driver = endpoints.create_driver(RequestRegistry(), events.append, settings, **options)
    await endpoints.start_driver(driver)
    try:
        yield DriverHarness(driver, events)
    finally:
        await endpoints.close_driver(driver)
    assert not driver.running and not driver.pools


def build_grant(address, name="e1", incarnation=5, tokens=1000):
    return EndpointGrant(name, incarnation, address, tokens)


async def request(method, url, content=b"", headers=()):
    """Send one request on a connection of its own."""
    async with httpcore.AsyncConnectionPool() as pool:
        return await pool.request(method, url, headers=list(headers), content=content or None)


async def post_json(url, body):
    response = await request("POST", url, json.dumps(body).encode())
    return response.status, json.loads(response.content) if response.content else None
