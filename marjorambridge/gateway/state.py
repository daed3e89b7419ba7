"""Define the state that the I/O tasks of a gateway share."""

import math
from collections.abc import Awaitable, Callable

import anyio
from anyio.abc import TaskGroup
from loguru import logger
from msgspec import Struct, field

from marjorambridge.conf import defaults
from marjorambridge.core.effects import Measure
from marjorambridge.forwarding.crashes import Crash
from marjorambridge.forwarding.state import Endpoint, ForwardingState
from marjorambridge.gateway.endpoints import open_trial, run_attempt
from marjorambridge.gateway.messages import AnswerMemory, Attempt, AttemptResult, Dialect
from marjorambridge.gateway.work import WorkBudget
from marjorambridge.scheduling.waiting import WaitingQueue


class Gateway(Struct):
    """Store the state of a gateway.

    Attributes
    ----------
    record_metric : callable
        Records a counter or a duration.
    share_load : callable
        Called when the load of this host at an endpoint changed; reports it to the other hosts.
    share_crashes : callable
        Called with new crashes of engines, and with suspects that were just answered; reports
        both to the other hosts.
    run_attempt : callable
        Sends a request to an endpoint and returns the result.
    open_trial : callable
        Opens a connection to the address of an endpoint; raises an error if it can't be opened.
    updated : anyio.Event
        Set when an update from a replica was applied, and then replaced.
    memory : AnswerMemory
        Memory for buffered answers.
    work : WorkBudget
        Processor time for answers.
    tasks : TaskGroup or None
        Runs tasks that outlast their request.
    accepts_until, ends_at : float
        Monotonic times in seconds after which a host that is stopping refuses requests, and at
        which it ends; infinite while it is not stopping.
    ticket_prefix : str
        Prefix of all tickets of this process.
    ticket_count : int
        Number of tickets created.
    relay_key : bytes
        Key of the MACs of requests that hosts pass on to one another; empty to pass none on.
    relayed : int
        Number of requests in progress that other hosts passed on.
    is_trying : bool
        Whether trial connections to endpoints are being made.
    waiting : WaitingQueue
        Requests of planned services that wait for room.
    attempt_prefix : str
        Prefix of the identifiers of all attempts of this process.
    attempt_count : int
        Number of attempts made.
    """

    forwarding: ForwardingState
    dialect: Dialect
    record_metric: Callable[[Measure], None]
    share_load: Callable[[Endpoint], None] = field(default=lambda endpoint: None)
    share_crashes: Callable[[list[Crash], list[int]], None] = field(
        default=lambda crashes, answered: None
    )
    run_attempt: Callable[[Attempt, Dialect], Awaitable[AttemptResult]] = run_attempt
    open_trial: Callable[[str], Awaitable[None]] = open_trial
    updated: anyio.Event = field(default_factory=anyio.Event)
    memory: AnswerMemory = field(
        default_factory=lambda: AnswerMemory(
            defaults.ANSWER_MEMORY_BYTES, defaults.STARTED_ANSWER_MEMORY_BYTES
        )
    )
    work: WorkBudget = field(default_factory=WorkBudget)
    tasks: TaskGroup | None = None
    accepts_until: float = math.inf
    ends_at: float = math.inf
    relay_key: bytes = b""
    relayed: int = 0
    is_trying: bool = False
    ticket_prefix: str = ""
    ticket_count: int = 0
    waiting: WaitingQueue = field(default_factory=WaitingQueue)
    attempt_prefix: str = ""
    attempt_count: int = 0


def create_attempt_id(gateway: Gateway) -> str:
    """Return the identifier of a new attempt."""
    gateway.attempt_count += 1
    return f"{gateway.attempt_prefix}:{gateway.attempt_count}"


def start_background(gateway: Gateway, run: Callable[[], Awaitable[None]]) -> None:
    """Run a function that outlasts its request; an error in it is logged and ends nothing else."""
    assert gateway.tasks is not None, "configure_tickets sets the task group"
    gateway.tasks.start_soon(_run_contained, run)


async def _run_contained(run: Callable[[], Awaitable[None]]) -> None:
    with logger.catch(message="a task that outlasts its request failed"):
        await run()
