"""Run the hosts of a simulated fleet with the product's request path and load sharing.

Only the connections are replaced: messages to engines, other hosts and callers are delivered in
simulated time, without sockets.
"""

import asyncio
import time

import anyio
import h11
import msgspec
from anyio.abc import TaskGroup
from loguru import logger
from msgspec import Struct, field

from marjorambridge.control.messages import EndpointEntry, FeedUpdate
from marjorambridge.core.effects import Measure
from marjorambridge.core.outcomes import Unsuccessful
from marjorambridge.forwarding.attempts import AttemptOutcome
from marjorambridge.forwarding.fleet import apply_endpoints, apply_manifest, apply_zones
from marjorambridge.forwarding.settings import ForwardingSettings
from marjorambridge.forwarding.state import create_state
from marjorambridge.gateway.bodies import BodyReservation
from marjorambridge.gateway.delivery import Delivery
from marjorambridge.gateway.exchanges import SERVER_ERROR, Exchange, Server
from marjorambridge.gateway.messages import (
    AnswerHead,
    Attempt,
    AttemptMessage,
    AttemptOptions,
    AttemptResult,
    CallerRequest,
    Dialect,
    Headers,
    HelperDialect,
    PromptSize,
)
from marjorambridge.gateway.requests import handle_request
from marjorambridge.gateway.sharing import (
    LoadSharing,
    handle_datagram,
    mark_load_changed,
    start_sharing_tasks,
)
from marjorambridge.gateway.state import Gateway
from marjorambridge.gateway.tickets import configure_tickets
from marjorambridge.gateway.work import WorkMeter
from marjorambridge.manifests.models import CallerLimits, Manifest
from marjorambridge.simulation import clock, engines
from marjorambridge.simulation.engines import Engine, EngineRun
from marjorambridge.simulation.scenarios import Scenario

KEY = b"key of the simulated fleet"
STATUS_OK, STATUS_UNAVAILABLE, STATUS_CONFLICT = 200, 503, 409
HELPERS_HEADER, RETRY_AFTER_HEADER = b"helpers", b"retry-after"
RESERVE_TARGET, RELEASE_TARGET = b"reserve", b"release"
# Time in seconds after which a host has received the manifest when the whole fleet starts.
FIRST_UPDATE_SECONDS = 0.5


class Host(Struct, eq=False):
    """Hold a host.

    Attributes
    ----------
    scope : anyio.CancelScope or None
        Cancels all tasks of the host; None while it is down.
    """

    name: str
    zone: str
    gateway: Gateway | None = None
    sharing: LoadSharing | None = None
    scope: anyio.CancelScope | None = None
    tasks: TaskGroup | None = None


class Fleet(Struct, eq=False):
    """Hold the hosts, the engines and the data that replicas would publish about them.

    Attributes
    ----------
    entries : dict of str to EndpointEntry
        The table of endpoints.
    index : int
        Number of the last change of zones.
    """

    scenario: Scenario
    manifest: Manifest
    seed: int
    hosts: dict[str, Host] = field(default_factory=dict)
    engines: dict[str, Engine] = field(default_factory=dict)
    entries: dict[str, EndpointEntry] = field(default_factory=dict)
    drained: tuple[str, ...] = ()
    restored: dict[str, int] = field(default_factory=dict)
    index: int = 0


class SimulatedSocket(Struct):
    """Deliver datagrams between the hosts of a fleet."""

    fleet: Fleet
    host: Host

    async def sendto(self, packet: bytes, ip: str, port: int) -> None:
        """Deliver a datagram after the latency between the two zones."""
        other = self.fleet.hosts.get(f"{ip}:{port}")
        if other is not None:
            clock.call_later(
                compute_latency(self.fleet, self.host.zone, other.zone),
                _deliver_packet,
                other,
                packet,
            )


def _deliver_packet(host: Host, packet: bytes) -> None:
    if host.sharing is not None:
        handle_datagram(host.sharing, packet, time.monotonic())


def compute_latency(fleet: Fleet, zone: str, other: str) -> float:
    """Return the latency in seconds of a message between two zones."""
    return fleet.scenario.zone_seconds if zone != other else fleet.scenario.zone_seconds / 5


# Hosts.


async def run_host(fleet: Fleet, host: Host, incarnation: int) -> None:
    """Run a host until its scope is cancelled."""
    scenario, now = fleet.scenario, time.monotonic()
    settings = ForwardingSettings(
        host.name,
        host.zone,
        retry_ratio=scenario.retry_ratio,
        retry_allowance=scenario.retry_allowance,
    )
    forwarding = create_state(settings, incarnation, started_at=now)
    host.sharing = LoadSharing(forwarding, host.name, KEY, socket=SimulatedSocket(fleet, host))
    host.gateway = Gateway(
        forwarding,
        DIALECT,
        record_metric=_ignore_metric,
        share_load=lambda endpoint: mark_load_changed(host.sharing, endpoint),
        run_attempt=lambda attempt, dialect: run_attempt(fleet, host, attempt),
        open_trial=lambda address: open_trial(fleet, host, address),
    )
    with anyio.CancelScope() as host.scope:
        async with anyio.create_task_group() as host.tasks:
            configure_tickets(host.gateway, host.tasks, incarnation)
            start_sharing_tasks(host.sharing, host.tasks)
            clock.call_later(FIRST_UPDATE_SECONDS, initialize_host, fleet, host)
            await anyio.sleep_forever()
    host.gateway = host.sharing = host.scope = None


def stop_host(host: Host) -> None:
    """Cancel all tasks of a host at once; it accepts no further requests."""
    if host.scope is not None:
        host.tasks = None
        host.scope.cancel()


def _ignore_metric(measure: Measure) -> None:
    """Ignore a metric."""


def initialize_host(fleet: Fleet, host: Host) -> None:
    """Send a host the manifest, all endpoints and the list of hosts."""
    if host.gateway is None:
        return
    forwarding = host.gateway.forwarding
    apply_manifest(forwarding, fleet.manifest)
    update_host(fleet, host, tuple(fleet.entries.values()))
    forwarding.hosts = {other.name: other.zone for other in fleet.hosts.values()}


def update_host(fleet: Fleet, host: Host, changed: tuple[EndpointEntry, ...]) -> None:
    """Send a host changes of endpoints, and the drained and restored zones."""
    if host.gateway is None:
        return
    forwarding, now = host.gateway.forwarding, time.monotonic()
    update = FeedUpdate(
        serial=0,
        incarnation=0,
        revision=0,
        current=True,
        base=0,
        index=fleet.index,
        version=fleet.manifest.version,
        document=b"",
        drained=fleet.drained,
        restored=tuple(fleet.restored),
        restored_at=tuple(fleet.restored.values()),
        changed=changed,
        removed=(),
        members=(),
        member_zones=(),
        hosts=(),
        host_zones=(),
    )
    apply_endpoints(forwarding, update, now)
    apply_zones(forwarding, update, now)
    host.gateway.updated.set()
    host.gateway.updated = anyio.Event()


# Engines.


async def open_trial(fleet: Fleet, host: Host, address: str) -> None:
    """Open a connection to a simulated engine; raise OSError if it is down."""
    engine = fleet.engines[address]
    await anyio.sleep(2 * compute_latency(fleet, host.zone, engine.zone))
    if not engine.is_alive:
        raise ConnectionRefusedError(address)


async def run_attempt(fleet: Fleet, host: Host, attempt: Attempt) -> AttemptResult:
    """Send a request, or a memory order, to a simulated engine."""
    engine = fleet.engines[attempt.address]
    latency = compute_latency(fleet, host.zone, engine.zone)
    # Opening a connection takes a round trip before the request is sent.
    await anyio.sleep(3 * latency)
    if not engine.is_alive:
        return AttemptResult(AttemptOutcome.NOT_SENT, detail="the engine is down")
    attempt.handle_connected()
    if attempt.target in (RESERVE_TARGET, RELEASE_TARGET):
        return await _change_reservation(engine, attempt, latency)
    headers = dict(attempt.headers)
    size = msgspec.msgpack.decode(attempt.body, type=PromptSize)
    helpers, held_tokens = _parse_helpers(fleet, headers.get(HELPERS_HEADER, b""), engine)
    events: asyncio.Queue[tuple[int, bool]] = asyncio.Queue()
    run = EngineRun(
        size.prompt_tokens,
        max(0, size.prompt_tokens + size.expected_answer_tokens - held_tokens),
        max(1, round(size.expected_answer_tokens / engine.profile.stride_steps)),
        lambda number, is_last: clock.call_later(latency, events.put_nowait, (number, is_last)),
        helpers,
    )
    if not engines.submit(engine, run):
        await anyio.sleep(latency)
        return _make_refusal(run)
    try:
        return await _receive_events(attempt, run, events)
    finally:
        if not run.is_over:
            engines.cancel(engine, run)


def _make_refusal(run: EngineRun) -> AttemptResult:
    head = AnswerHead(STATUS_UNAVAILABLE, not_run=True, endpoint_at_fault=run.failed_helper)
    return AttemptResult(AttemptOutcome.NOT_RUN, head, detail=run.failed_helper)


async def _receive_events(
    attempt: Attempt, run: EngineRun, events: asyncio.Queue[tuple[int, bool]]
) -> AttemptResult:
    head = AnswerHead(
        STATUS_OK, request_id=attempt.request_id, is_signed=True, is_event_stream=True
    )
    while True:
        number, is_last = await events.get()
        if number < 0 and run.failed_helper:
            return _make_refusal(run)
        if number < 0:
            return AttemptResult(
                AttemptOutcome.BROKEN, head, detail="the engine crashed", has_ended=True
            )
        if not await attempt.send_event_bytes(head, b"id: %d\ndata: text\n\n" % number):
            return AttemptResult(AttemptOutcome.BROKEN, head, detail="the caller disconnected")
        if is_last:
            return AttemptResult(AttemptOutcome.COMPLETE, head)


async def _change_reservation(engine: Engine, attempt: Attempt, latency: float) -> AttemptResult:
    order = msgspec.msgpack.decode(attempt.body)
    is_done = True
    if attempt.target == RESERVE_TARGET:
        is_done = engines.reserve(engine, order["ticket"], order["tokens"])
    else:
        engines.release(engine, order["ticket"])
    await anyio.sleep(latency)
    return AttemptResult(
        AttemptOutcome.COMPLETE, AnswerHead(STATUS_OK if is_done else STATUS_CONFLICT)
    )


def _parse_helpers(fleet: Fleet, names: bytes, decode_engine: Engine) -> tuple[list[Engine], int]:
    """Return the helper engines, and the memory in tokens that is reserved for the request."""
    found, held_tokens = [], 0
    for item in names.decode().split(",") if names else ():
        address, _, ticket = item.partition("/")
        engine = fleet.engines[address]
        held_tokens += engine.reservations.get(ticket, 0)
        if engine is not decode_engine:
            found.append(engine)
    return found, held_tokens


# The dialect of the simulation.


def _encode_attempt(request: CallerRequest, options: AttemptOptions) -> AttemptMessage:
    helpers = ",".join(options.helpers).encode()
    headers = [(HELPERS_HEADER, helpers)] if options.helpers else []
    return AttemptMessage(request.target, headers, request.body)


def _encode_error(outcome: Unsuccessful) -> tuple[Headers, bytes]:
    retry_after = getattr(outcome, "retry_after", None)
    if retry_after is None:
        return [], b""
    return [(RETRY_AFTER_HEADER, f"{retry_after:.3f}".encode())], b""


def _encode_reservation(ticket: str, tokens: int, lease: float) -> tuple[bytes, bytes]:
    return RESERVE_TARGET, msgspec.msgpack.encode({"ticket": ticket, "tokens": tokens})


def _encode_release(ticket: str) -> tuple[bytes, bytes]:
    return RELEASE_TARGET, msgspec.msgpack.encode({"ticket": ticket})


DIALECT = Dialect(
    decode_request=lambda method, target, headers, body: msgspec.msgpack.decode(
        body, type=CallerRequest
    ),
    encode_attempt=_encode_attempt,
    decode_answer=lambda status, headers: AnswerHead(status, headers),
    encode_error=_encode_error,
    encode_order_headers=lambda endpoint: [],
    helpers=HelperDialect(
        encode_helper=lambda address, ticket: f"{address}/{ticket}" if ticket else address,
        encode_reservation=_encode_reservation,
        encode_release=_encode_release,
    ),
)


# Callers.


class AnswerRecorder(Struct, eq=False):
    """Record the answer to a caller, in place of an HTTP connection.

    Attributes
    ----------
    event_times : list of float
        Monotonic times in seconds at which data of the body was sent.
    """

    our_state: object = h11.SEND_RESPONSE
    status: int = 0
    retry_after: float = 0.0
    event_times: list[float] = field(default_factory=list)
    is_complete: bool = False

    def send(self, event: object) -> bytes:
        """Record an event of the answer."""
        if isinstance(event, h11.Response):
            self.status = event.status_code
            for name, value in event.headers:
                if name == RETRY_AFTER_HEADER:
                    self.retry_after = float(value)
        elif isinstance(event, h11.Data):
            self.event_times.append(time.monotonic())
        else:
            self.is_complete = True
        return b""


class NullStream(Struct):
    """Discard bytes, which the recorder has recorded already."""

    async def send(self, data: bytes) -> None:
        """Discard the bytes."""


async def send_request(host: Host, request: CallerRequest, answer: AnswerRecorder) -> None:
    """Let a host handle a request; the answer stays incomplete if the host stops."""
    done = anyio.Event()
    tasks = host.tasks

    async def handle() -> None:
        try:
            server = Server(handle_request, CallerLimits)
            exchange = Exchange(
                server,
                Delivery(NullStream()),
                answer,
                time.monotonic(),
                BodyReservation(server.memory),
                WorkMeter(server.work),
                b"POST",
                b"/",
                body=msgspec.msgpack.encode(request),
            )
            await handle_request(host.gateway, exchange)
        except Exception:
            # The server answers with this status and continues.
            logger.exception("handling a request failed")
            answer.status = SERVER_ERROR
        finally:
            done.set()

    tasks.start_soon(handle)
    await done.wait()
