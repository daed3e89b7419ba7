"""Model callers: when they ask, whom, how long they wait and when they come back."""

import math
import random
import time

import anyio
import msgspec
from anyio.abc import TaskGroup
from msgspec import Struct, field

from marjorambridge.gateway.messages import CallerRequest, PromptSize
from marjorambridge.simulation.hosts import ACCEPTED, REFUSED, Answer, Fleet, Host, ask
from marjorambridge.simulation.scenarios import EventKind, ScenarioEvent, WorkloadClass

# Longest prompt against the mean length.
MAX_SIZE = 4.0
# A caller obeys a time to come back up to this part of the time that it has left.
RETURN_RATIO = 1 / 3
# Time in seconds after which a caller tries a host again that does not listen.
CONNECT_AGAIN_SECONDS = 0.25
# Standard deviation of the logarithm of the callers that a host has, beside its neighbours.
HOST_SPREAD = 0.35


class Request(Struct, eq=False):
    """Hold a caller's request and what became of it.

    Attributes
    ----------
    size : float
        Length of the prompt against the mean of its class.
    first_seconds, pause_seconds : float
        Time to the first event, and longest pause between two of them; infinite without an answer.
    refusals : int
        How often it was refused.
    """

    number: int
    workload: WorkloadClass
    zone: str
    arrived_at: float
    size: float
    first_seconds: float = math.inf
    pause_seconds: float = math.inf
    is_complete: bool = False
    refusals: int = 0
    attempts: int = 0


class Load(Struct, eq=False):
    """Hold all requests of a simulation, and how the callers choose hosts."""

    fleet: Fleet
    generator: random.Random
    weights: dict[str, float] = field(default_factory=dict)
    requests: list[Request] = field(default_factory=list)


def create_load(fleet: Fleet, seed: int) -> Load:
    """Return a load in which some hosts have more callers than others."""
    load = Load(fleet, random.Random(seed))
    load.weights = {name: load.generator.lognormvariate(0, HOST_SPREAD) for name in fleet.hosts}
    return load


async def run_class(load: Load, workload: WorkloadClass, tasks: TaskGroup, began: float) -> None:
    """Let requests of one class arrive."""
    scenario = load.fleet.scenario
    while (now := time.monotonic() - began) < scenario.seconds:
        factor = math.prod(_list_factors(scenario.events, workload, now))
        await anyio.sleep(load.generator.expovariate(workload.per_second * factor))
        request = Request(
            len(load.requests),
            workload,
            load.generator.choice(scenario.zones),
            time.monotonic(),
            _draw_size(load.generator, workload),
        )
        load.requests.append(request)
        tasks.start_soon(_run_caller, load, request)


def _list_factors(
    events: tuple[ScenarioEvent, ...], workload: WorkloadClass, now: float
) -> list[float]:
    return [
        event.factor
        for event in events
        if event.kind is EventKind.BURST
        and event.target in ("", workload.name)
        and event.at <= now < event.at + event.seconds
    ]


def _draw_size(generator: random.Random, workload: WorkloadClass) -> float:
    """Draw a length whose mean is 1 as long as few are cut."""
    size = generator.lognormvariate(-(workload.spread**2) / 2, workload.spread)
    return min(size, MAX_SIZE)


async def _run_caller(load: Load, request: Request) -> None:
    workload = request.workload
    with anyio.move_on_after(workload.timeout_seconds):
        while request.attempts <= workload.retries:
            request.attempts += 1
            answer = await _try(load, request)
            if answer is None or answer.is_complete and answer.status != REFUSED:
                return
            if answer.status == REFUSED:
                request.refusals += 1
                left = request.arrived_at + workload.timeout_seconds - time.monotonic()
                await anyio.sleep(min(answer.retry_after, left * RETURN_RATIO))


async def _try(load: Load, request: Request) -> Answer | None:
    """Ask a host and note what came of it."""
    fleet, workload = load.fleet, request.workload
    host = _choose_host(load, request.zone)
    if host is None:
        await anyio.sleep(CONNECT_AGAIN_SECONDS)
        return Answer()
    await anyio.sleep(fleet.scenario.caller_seconds + fleet.scenario.host_seconds)
    if host.tasks is None:
        return Answer()
    left = request.arrived_at + workload.timeout_seconds - time.monotonic()
    prompt = PromptSize(
        round(workload.prompt_tokens * request.size), workload.answer_tokens, workload.answer_tokens
    )
    message = CallerRequest(
        b"POST",
        b"/",
        f"/{workload.name}/",
        "callers",
        [],
        msgspec.msgpack.encode(prompt),
        f"{request.number}-{request.attempts}",
        wait_seconds=left,
        prompt=prompt,
    )
    answer = Answer()
    try:
        await ask(host, message, answer)
    finally:
        _note(request, answer, fleet.scenario.caller_seconds)
    return answer


def _choose_host(load: Load, zone: str) -> Host | None:
    hosts = [host for host in load.fleet.hosts.values() if host.zone == zone and host.tasks]
    if not hosts:
        return None
    return load.generator.choices(hosts, [load.weights[host.name] for host in hosts])[0]


def _note(request: Request, answer: Answer, way: float) -> None:
    if answer.status != ACCEPTED or not answer.event_times:
        return
    times = answer.event_times
    request.first_seconds = min(request.first_seconds, times[0] + way - request.arrived_at)
    pauses = [later - earlier for earlier, later in zip(times, times[1:], strict=False)]
    request.pause_seconds = max(pauses, default=0.0)
    request.is_complete = answer.is_complete
