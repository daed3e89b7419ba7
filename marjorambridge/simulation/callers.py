"""Model callers: their arrivals, choice of hosts, timeouts and retries."""

import math
import random
import time

import anyio
import msgspec
from anyio.abc import TaskGroup
from msgspec import Struct, field

from marjorambridge.gateway.messages import CallerRequest, PromptSize
from marjorambridge.simulation.hosts import (
    STATUS_OK,
    STATUS_UNAVAILABLE,
    AnswerRecorder,
    Fleet,
    Host,
    send_request,
)
from marjorambridge.simulation.scenarios import EventKind, ScenarioEvent, WorkloadClass

# Longest prompt relative to the mean length.
MAX_SIZE_RATIO = 4.0
# Longest delay before a retry, as a share of the time until the caller's timeout.
MAX_RETRY_DELAY_RATIO = 1 / 3
# Delay in seconds before the next attempt if no host accepts connections.
RECONNECT_SECONDS = 0.25
# Standard deviation of the logarithm of a host's share of the callers.
HOST_WEIGHT_DEVIATION = 0.35


class Request(Struct, eq=False):
    """Hold a caller's request and its outcome.

    Attributes
    ----------
    size : float
        Length of the prompt relative to the mean of its class.
    first_seconds, pause_seconds : float
        Time to the first event, and longest pause between two events; infinite without an answer.
    refusals : int
        Number of refusals.
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


class Traffic(Struct, eq=False):
    """Hold all requests of a simulation, and the weights by which callers choose hosts."""

    fleet: Fleet
    generator: random.Random
    weights: dict[str, float] = field(default_factory=dict)
    requests: list[Request] = field(default_factory=list)


def create_traffic(fleet: Fleet, seed: int) -> Traffic:
    """Return traffic in which some hosts have more callers than others."""
    traffic = Traffic(fleet, random.Random(seed))
    traffic.weights = {
        name: traffic.generator.lognormvariate(0, HOST_WEIGHT_DEVIATION) for name in fleet.hosts
    }
    return traffic


async def run_workload(
    traffic: Traffic, workload: WorkloadClass, tasks: TaskGroup, started_at: float
) -> None:
    """Generate the requests of one class."""
    scenario = traffic.fleet.scenario
    while (now := time.monotonic() - started_at) < scenario.seconds:
        factor = math.prod(_list_burst_factors(scenario.events, workload, now))
        await anyio.sleep(traffic.generator.expovariate(workload.per_second * factor))
        request = Request(
            len(traffic.requests),
            workload,
            traffic.generator.choice(scenario.zones),
            time.monotonic(),
            _generate_size(traffic.generator, workload),
        )
        traffic.requests.append(request)
        tasks.start_soon(_run_caller, traffic, request)


def _list_burst_factors(
    events: tuple[ScenarioEvent, ...], workload: WorkloadClass, now: float
) -> list[float]:
    return [
        event.factor
        for event in events
        if event.kind is EventKind.BURST
        and event.target in ("", workload.name)
        and event.at <= now < event.at + event.seconds
    ]


def _generate_size(generator: random.Random, workload: WorkloadClass) -> float:
    """Return a random size, with a mean of 1 if few sizes exceed the maximum."""
    size = generator.lognormvariate(-(workload.spread**2) / 2, workload.spread)
    return min(size, MAX_SIZE_RATIO)


async def _run_caller(traffic: Traffic, request: Request) -> None:
    workload = request.workload
    with anyio.move_on_after(workload.timeout_seconds):
        while request.attempts <= workload.retries:
            request.attempts += 1
            answer = await _send_attempt(traffic, request)
            if answer is None or answer.is_complete and answer.status != STATUS_UNAVAILABLE:
                return
            if answer.status == STATUS_UNAVAILABLE:
                request.refusals += 1
                left = request.arrived_at + workload.timeout_seconds - time.monotonic()
                await anyio.sleep(min(answer.retry_after, left * MAX_RETRY_DELAY_RATIO))


async def _send_attempt(traffic: Traffic, request: Request) -> AnswerRecorder | None:
    """Send a request to a host and record the answer."""
    fleet, workload = traffic.fleet, request.workload
    host = _choose_host(traffic, request.zone)
    if host is None:
        await anyio.sleep(RECONNECT_SECONDS)
        return AnswerRecorder()
    await anyio.sleep(fleet.scenario.caller_seconds + fleet.scenario.host_seconds)
    if host.tasks is None:
        return AnswerRecorder()
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
    answer = AnswerRecorder()
    try:
        await send_request(host, message, answer)
    finally:
        _record_answer(request, answer, fleet.scenario.caller_seconds)
    return answer


def _choose_host(traffic: Traffic, zone: str) -> Host | None:
    hosts = [host for host in traffic.fleet.hosts.values() if host.zone == zone and host.tasks]
    if not hosts:
        return None
    return traffic.generator.choices(hosts, [traffic.weights[host.name] for host in hosts])[0]


def _record_answer(request: Request, answer: AnswerRecorder, latency: float) -> None:
    if answer.status != STATUS_OK or not answer.event_times:
        return
    times = answer.event_times
    request.first_seconds = min(request.first_seconds, times[0] + latency - request.arrived_at)
    pauses = [later - earlier for earlier, later in zip(times, times[1:], strict=False)]
    request.pause_seconds = max(pauses, default=0.0)
    request.is_complete = answer.is_complete
