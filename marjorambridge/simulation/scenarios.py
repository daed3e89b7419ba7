"""Model scenarios: a fleet, its load, and what happens to it."""

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
        Time to the first event and pause between two events that are on time, and time after which
        the caller leaves.
    worth, late_worth : float
        What a request of mean length is worth if it is on time, and if it is late.
    retries : int
        How often a caller comes back.
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
    """Name what may happen to a fleet.

    BURST
        Arrivals are `factor` times as many; of all classes, or of `target` alone.
    DRAIN
        The engines of zone `target` get nothing more, and return cold.
    SLOW, CRASH
        `count` engines work `factor` times as long, or die and return cold.
    RESTART
        All hosts stop at once and return after `seconds`, knowing nothing.
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
        Time that a host takes for a request before it decides.
    zone_seconds, caller_seconds : float
        Times of a message between zones, and between a caller and a host.
    queue_places : int
        Requests that wait in an engine besides those that run.
    cold_seconds, cold_requests_per_second, cold_factor : float
        How long an engine stays cold, how many requests it tolerates then, and how much longer
        everything takes.
    learn_seconds : float
        Time until hosts learn of a change of the endpoint table.
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
    """Return a scenario from a file, or one of those that come with the product.

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
