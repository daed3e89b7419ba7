"""Define scenarios: a fleet, its load, and the events of a simulation."""

from enum import StrEnum
from pathlib import Path

import msgspec
from msgspec import Struct

from marjorambridge.manifests.models import EngineProfile

FOLDER = Path(__file__).parent / "files"


class WorkloadClass(Struct, frozen=True, forbid_unknown_fields=True):
    """Describe one kind of request.

    Attributes
    ----------
    per_second : float
        Mean rate of arrivals.
    prompt_tokens, answer_tokens : int
        Mean lengths.
    spread : float
        Standard deviation of the logarithm of the prompt's length.
    objective_seconds, pause_seconds, timeout_seconds : float
        Limits of the time to the first event and of the pause between two events for an answer that
        is on time, and time after which the caller disconnects.
    worth, late_worth : float
        Value of a request of mean length if it is on time, and if it is late.
    retries : int
        Number of retries of a caller.
    """

    name: str
    per_second: float
    prompt_tokens: int
    answer_tokens: int
    objective_seconds: float
    pause_seconds: float
    timeout_seconds: float
    worth: float
    late_worth: float
    spread: float = 0.6
    retries: int = 1


class EventKind(StrEnum):
    """Name the kinds of events.

    BURST
        The rate of arrivals is multiplied by `factor`; for all classes, or for `target` only.
    DRAIN
        The engines of zone `target` get no further requests, and return cold.
    SLOW, CRASH
        `count` engines take `factor` times as long, or crash and return cold.
    RESTART
        All hosts stop at once and start again after `seconds`, without their state.
    """

    BURST = "burst"
    DRAIN = "drain"
    SLOW = "slow"
    CRASH = "crash"
    RESTART = "restart"


class ScenarioEvent(Struct, frozen=True, forbid_unknown_fields=True):
    """Describe one event, from `at` for `seconds`."""

    kind: EventKind
    at: float
    seconds: float
    factor: float = 1.0
    count: int = 0
    target: str = ""


class Scenario(Struct, frozen=True, forbid_unknown_fields=True):
    """Describe a fleet and its load.

    Attributes
    ----------
    seconds : float
        Time for which requests arrive.
    host_seconds : float
        Time that a host takes to process a request before it chooses an engine.
    zone_seconds, caller_seconds : float
        Latencies of a message between zones, and between a caller and a host.
    queue_places : int
        Requests that an engine queues besides those that run.
    cold_seconds, cold_requests_per_second, cold_factor : float
        Time for which an engine stays cold, the rate of requests that it tolerates then, and the
        factor by which everything takes longer.
    learn_seconds : float
        Delay with which hosts receive a change of the endpoint table.
    """

    name: str
    zones: tuple[str, ...]
    hosts: int
    engines: int
    profile: EngineProfile
    classes: tuple[WorkloadClass, ...]
    events: tuple[ScenarioEvent, ...] = ()
    seconds: float = 30.0
    host_seconds: float = 0.003
    zone_seconds: float = 0.0005
    caller_seconds: float = 0.003
    queue_places: int = 6
    cold_seconds: float = 3.0
    cold_requests_per_second: float = 8.0
    cold_factor: float = 2.0
    learn_seconds: float = 0.4
    retry_ratio: float = 0.2
    retry_allowance: float = 100.0


def read_scenario(name: str) -> Scenario:
    """Return a scenario from a file, or one of those in the package.

    Raises
    ------
    FileNotFoundError
        If there is neither.
    msgspec.ValidationError
        If the file doesn't describe a scenario.
    """
    path = Path(name)
    if not path.suffix:
        path = FOLDER / f"{name}.json"
    return msgspec.json.decode(path.read_bytes(), type=Scenario)
