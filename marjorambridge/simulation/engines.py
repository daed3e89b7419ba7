"""Model an engine that reads prompts in pieces between the tokens of running answers.

An engine works in passes. A pass reads at most a number of prompt tokens for each token step, and
writes one event of each running answer. Parts that other engines' requests asked for go first.
"""

import time
from collections import deque
from collections.abc import Callable

from msgspec import Struct, field

from marjorambridge.forwarding.costs import compute_prefill_seconds
from marjorambridge.manifests.models import EngineProfile
from marjorambridge.simulation import clock

# Parts that an engine reads for others before it refuses one, as a multiple of its slots.
MAX_PARTS_RATIO = 1.0


class Run(Struct, eq=False):
    """Hold a request at an engine.

    Attributes
    ----------
    kv_tokens : int
        Memory that it takes at the engine itself.
    helpers : list of Engine
        Engines that read parts of the prompt.
    lead : Engine or None
        Engine that writes the answer, once it has taken the request.
    at_fault : str
        Name of the helper because of which the request can't run; empty if none is.
    unread : int
        Parts that are not read yet, its own one included.
    events_left : int
        Events that are not written yet.
    emit : callable
        Takes the number of each event, and whether it is the last one; -1 for a lost run.
    """

    prompt_tokens: int
    kv_tokens: int
    events_left: int
    emit: Callable[[int, bool], None]
    helpers: list["Engine"] = field(default_factory=list)
    lead: "Engine | None" = None
    at_fault: str = ""
    unread: int = 1
    events: int = 0
    is_over: bool = False


class Read(Struct, eq=False):
    """Hold a prompt, or a part of one, that is being read."""

    run: Run
    tokens: float
    seconds: float


class Engine(Struct, eq=False):
    """Hold an engine.

    Attributes
    ----------
    parts, reads : deque of Read
        Parts for requests of other engines, and prompts of its own requests.
    pace : float
        How much longer everything takes than the profile says.
    tickets : dict of str to int
        Memory in tokens that is reserved.
    pass_ends_at : float
        Monotonic time in seconds at which the present pass ends.
    lifetime : int
        Number of its starts; passes of an earlier one mean nothing.
    """

    name: str
    zone: str
    address: str
    profile: EngineProfile
    queue_places: int
    pace: float = 1.0
    cold_pace: float = 1.0
    is_alive: bool = True
    running: list[Run] = field(default_factory=list)
    queue: deque[Run] = field(default_factory=deque)
    parts: deque[Read] = field(default_factory=deque)
    reads: deque[Read] = field(default_factory=deque)
    tickets: dict[str, int] = field(default_factory=dict)
    is_working: bool = False
    pass_ends_at: float = 0.0
    lifetime: int = 0


def submit(engine: Engine, run: Run) -> bool:
    """Take a request and return whether there was a place for it."""
    places = engine.profile.slots + engine.queue_places
    if (
        len(engine.running) + len(engine.queue) >= places
        or run.kv_tokens > engine.profile.kv_tokens
    ):
        return False
    limit = engine.profile.slots * MAX_PARTS_RATIO
    for helper in run.helpers:
        if not helper.is_alive or len(helper.parts) >= limit:
            run.at_fault = helper.name
            return False
    run.lead = engine
    engine.queue.append(run)
    _admit(engine)
    return True


def withdraw(engine: Engine, run: Run) -> None:
    """Drop a request whose caller has left, with all that is to be read for it."""
    run.is_over = True
    if run in engine.running:
        engine.running.remove(run)
    elif run in engine.queue:
        engine.queue.remove(run)
    for other in (engine, *run.helpers):
        other.parts = deque(read for read in other.parts if read.run is not run)
        other.reads = deque(read for read in other.reads if read.run is not run)
    _admit(engine)


def reserve(engine: Engine, ticket: str, tokens: int) -> bool:
    """Reserve memory and return whether it was free."""
    if ticket not in engine.tickets and tokens > count_free_tokens(engine):
        return False
    engine.tickets[ticket] = tokens
    return True


def release(engine: Engine, ticket: str) -> None:
    """End a reservation."""
    engine.tickets.pop(ticket, None)
    _admit(engine)


def count_free_tokens(engine: Engine) -> int:
    """Return the memory in tokens that nobody takes."""
    used = sum(run.kv_tokens for run in engine.running) + sum(engine.tickets.values())
    return engine.profile.kv_tokens - used


def stop(engine: Engine) -> None:
    """Lose all that runs."""
    lost = [*engine.running, *engine.queue]
    for read in engine.parts:
        if not read.run.is_over:
            withdraw(read.run.lead, read.run)
            read.run.at_fault = engine.name
            lost.append(read.run)
    engine.is_alive = engine.is_working = False
    engine.lifetime += 1
    engine.running, engine.queue = [], deque()
    engine.parts, engine.reads, engine.tickets = deque(), deque(), {}
    for run in lost:
        run.is_over = True
        run.emit(-1, True)


def start(engine: Engine) -> None:
    """Start anew."""
    engine.is_alive = True


def _admit(engine: Engine) -> None:
    """Begin the requests that wait, as far as there are slots and memory."""
    while engine.queue and len(engine.running) < engine.profile.slots:
        run = engine.queue[0]
        if run.kv_tokens > count_free_tokens(engine):
            break
        engine.queue.popleft()
        engine.running.append(run)
        count = 1 + len(run.helpers)
        run.unread = count
        tokens = run.prompt_tokens / count
        seconds = compute_prefill_seconds(engine.profile, run.prompt_tokens, count)
        engine.reads.append(Read(run, tokens, seconds))
        for helper in run.helpers:
            helper.parts.append(Read(run, tokens, seconds))
            _work(helper)
    _work(engine)


def _work(engine: Engine) -> None:
    """Begin a pass if there is something to do."""
    if engine.is_working or not engine.is_alive:
        return
    writers = [run for run in engine.running if run.unread == 0]
    steps = engine.profile.stride_steps if writers else 1
    seconds, finished = _read(engine, engine.profile.chunk_tokens * steps)
    if not writers and not seconds:
        return
    if writers:
        step = engine.profile.step_seconds
        for run in writers:
            step += engine.profile.sequence_seconds
            step += engine.profile.context_seconds * run.prompt_tokens / (1 + len(run.helpers))
        seconds += step * steps
    engine.is_working = True
    seconds *= engine.pace * engine.cold_pace
    engine.pass_ends_at = time.monotonic() + seconds
    clock.call_later(seconds, _finish_pass, engine, engine.lifetime, writers, finished)


def _read(engine: Engine, budget: float) -> tuple[float, list[Run]]:
    """Take the next tokens to read; return the time they take and the prompts that end."""
    seconds, finished = 0.0, []
    for waiting in (engine.parts, engine.reads):
        while waiting and budget > 0:
            read = waiting[0]
            tokens = min(read.tokens, budget)
            share = tokens / read.tokens if read.tokens else 1.0
            seconds += read.seconds * share
            budget -= tokens
            read.seconds -= read.seconds * share
            read.tokens -= tokens
            if read.tokens <= 0:
                waiting.popleft()
                finished.append(read.run)
    return seconds, finished


def _finish_pass(engine: Engine, lifetime: int, writers: list[Run], finished: list[Run]) -> None:
    if lifetime != engine.lifetime:
        return
    engine.is_working = False
    for run in finished:
        run.unread -= 1
        if run.unread == 0 and not run.is_over and run.lead is not engine:
            _work(run.lead)
    for run in writers:
        if run.is_over:
            continue
        run.events += 1
        run.events_left -= 1
        run.is_over = run.events_left <= 0
        if run.is_over:
            engine.running.remove(run)
        run.emit(run.events, run.is_over)
    _admit(engine)
