"""Hold what the drivers of a gateway share."""

from collections.abc import Awaitable, Callable

import anyio
from anyio.abc import TaskGroup
from msgspec import Struct, field

from marjorambridge.conf import defaults
from marjorambridge.core.effects import Measure
from marjorambridge.forwarding.state import Endpoint, ForwardingState
from marjorambridge.gateway.endpoints import run_attempt
from marjorambridge.gateway.messages import AnswerMemory, Attempt, AttemptResult, Dialect


class Gateway(Struct):
    """Hold the state of a gateway.

    Attributes
    ----------
    measure : callable
        Takes counters and durations.
    share_load : callable
        Tells the other hosts that this host's load at an endpoint changed.
    run_attempt : callable
        Sends a request to an endpoint and returns what came of it.
    updated : anyio.Event
        Set when a replica has told something, and then replaced.
    memory : AnswerMemory
        Memory for answers that are collected whole.
    tasks : TaskGroup or None
        Runs what goes on after a request has ended.
    ticket_prefix : str
        Beginning of all tickets of this process.
    ticket_count : int
        Tickets that were named so far.
    """

    forwarding: ForwardingState
    dialect: Dialect
    record_metric: Callable[[Measure], None]
    share_load: Callable[[Endpoint], None] = field(default=lambda endpoint: None)
    run_attempt: Callable[[Attempt, Dialect], Awaitable[AttemptResult]] = run_attempt
    updated: anyio.Event = field(default_factory=anyio.Event)
    memory: AnswerMemory = field(
        default_factory=lambda: AnswerMemory(
            defaults.ANSWER_MEMORY_BYTES, defaults.STARTED_ANSWER_MEMORY_BYTES
        )
    )
    tasks: TaskGroup | None = None
    ticket_prefix: str = ""
    ticket_count: int = 0
