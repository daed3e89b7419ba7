"""Model an engine that prefills prompts in chunks between the tokens of running answers.

An engine works in passes. A pass prefills a limited number of prompt tokens for each token step,
and emits one event of each running answer. Prefill shards of other engines' requests go first.
"""

import time
from collections import deque
from collections.abc import Callable

from msgspec import Struct, field

from marjorambridge.forwarding.costs import compute_prefill_seconds
from marjorambridge.manifests.models import EngineProfile
from marjorambridge.simulation import clock

# Prefill shards that an engine accepts from other engines, as a multiple of its slots.
MAX_HELPER_PREFILLS_RATIO = 1.0


class EngineRun(Struct, eq=False):
    """Hold a request at an engine.

    Attributes
    ----------
    kv_tokens : int
        Memory in tokens that it takes at its decode engine.
    helpers : list of Engine
        Engines that prefill shards of the prompt.
    decode_engine : Engine or None
        Engine that generates the answer, once it has accepted the request.
    failed_helper : str
        Name of the helper because of which the request can't run; empty if none is.
    pending_prefills : int
        Prefill shards that are not finished, including that of the decode engine.
    events_left : int
        Events that are not emitted yet.
    emit : callable
        Called with the number of each event, and whether it is the last one; -1 for a lost run.
    """

    prompt_tokens: int
    kv_tokens: int
    events_left: int
    emit: Callable[[int, bool], None]
    helpers: list["Engine"] = field(default_factory=list)
    decode_engine: "Engine | None" = None
    failed_helper: str = ""
    pending_prefills: int = 1
    events: int = 0
    is_over: bool = False


class Prefill(Struct, eq=False):
    """Hold what remains of the prefill of a prompt or of a prefill shard."""

    run: EngineRun
    tokens: float
    seconds: float


class Engine(Struct, eq=False):
    """Hold an engine.

    Attributes
    ----------
    parts, reads : deque of Prefill
        Prefill shards of other engines' requests, and prefills of its own requests.
    slowdown : float
        Factor by which everything takes longer than by the profile.
    reservations : dict of str to int
        Reserved memory in tokens by ticket.
    pass_ends_at : float
        Monotonic time in seconds at which the current pass ends.
    incarnation : int
        Number of its start; passes of earlier starts are ignored.
    """

    name: str
    zone: str
    address: str
    profile: EngineProfile
    queue_places: int
    slowdown: float = 1.0
    cold_slowdown: float = 1.0
    is_alive: bool = True
    running: list[EngineRun] = field(default_factory=list)
    queue: deque[EngineRun] = field(default_factory=deque)
    parts: deque[Prefill] = field(default_factory=deque)
    reads: deque[Prefill] = field(default_factory=deque)
    reservations: dict[str, int] = field(default_factory=dict)
    is_pass_running: bool = False
    pass_ends_at: float = 0.0
    incarnation: int = 0


def submit(engine: Engine, run: EngineRun) -> bool:
    """Accept a request and return whether there was a slot or a queue place for it."""
    places = engine.profile.slots + engine.queue_places
    if (
        len(engine.running) + len(engine.queue) >= places
        or run.kv_tokens > engine.profile.kv_tokens
    ):
        return False
    limit = engine.profile.slots * MAX_HELPER_PREFILLS_RATIO
    for helper in run.helpers:
        if not helper.is_alive or len(helper.parts) >= limit:
            run.failed_helper = helper.name
            return False
    run.decode_engine = engine
    engine.queue.append(run)
    _start_queued_requests(engine)
    return True


def cancel(engine: Engine, run: EngineRun) -> None:
    """Cancel a request whose caller disconnected, with its prefills."""
    run.is_over = True
    if run in engine.running:
        engine.running.remove(run)
    elif run in engine.queue:
        engine.queue.remove(run)
    for other in (engine, *run.helpers):
        other.parts = deque(prefill for prefill in other.parts if prefill.run is not run)
        other.reads = deque(prefill for prefill in other.reads if prefill.run is not run)
    _start_queued_requests(engine)


def reserve(engine: Engine, ticket: str, tokens: int) -> bool:
    """Reserve memory and return whether it was free."""
    if ticket not in engine.reservations and tokens > count_free_tokens(engine):
        return False
    engine.reservations[ticket] = tokens
    return True


def release(engine: Engine, ticket: str) -> None:
    """End a reservation."""
    engine.reservations.pop(ticket, None)
    _start_queued_requests(engine)


def count_free_tokens(engine: Engine) -> int:
    """Return the memory in tokens that is neither used nor reserved."""
    used = sum(run.kv_tokens for run in engine.running) + sum(engine.reservations.values())
    return engine.profile.kv_tokens - used


def crash(engine: Engine) -> None:
    """Stop the engine; all its requests, prefills and reservations are lost."""
    lost = [*engine.running, *engine.queue]
    for prefill in engine.parts:
        if not prefill.run.is_over:
            cancel(prefill.run.decode_engine, prefill.run)
            prefill.run.failed_helper = engine.name
            lost.append(prefill.run)
    engine.is_alive = engine.is_pass_running = False
    engine.incarnation += 1
    engine.running, engine.queue = [], deque()
    engine.parts, engine.reads, engine.reservations = deque(), deque(), {}
    for run in lost:
        run.is_over = True
        run.emit(-1, True)


def start(engine: Engine) -> None:
    """Start the engine after a crash."""
    engine.is_alive = True


def _start_queued_requests(engine: Engine) -> None:
    """Start queued requests while there are free slots and memory."""
    while engine.queue and len(engine.running) < engine.profile.slots:
        run = engine.queue[0]
        if run.kv_tokens > count_free_tokens(engine):
            break
        engine.queue.popleft()
        engine.running.append(run)
        count = 1 + len(run.helpers)
        run.pending_prefills = count
        tokens = run.prompt_tokens / count
        seconds = compute_prefill_seconds(engine.profile, run.prompt_tokens, count)
        engine.reads.append(Prefill(run, tokens, seconds))
        for helper in run.helpers:
            helper.parts.append(Prefill(run, tokens, seconds))
            _start_pass(helper)
    _start_pass(engine)


def _start_pass(engine: Engine) -> None:
    """Start a pass if none runs and there is work."""
    if engine.is_pass_running or not engine.is_alive:
        return
    decoding = [run for run in engine.running if run.pending_prefills == 0]
    steps = engine.profile.stride_steps if decoding else 1
    seconds, finished = _prefill_tokens(engine, engine.profile.chunk_tokens * steps)
    if not decoding and not seconds:
        return
    if decoding:
        step = engine.profile.step_seconds
        for run in decoding:
            step += engine.profile.sequence_seconds
            step += engine.profile.context_seconds * run.prompt_tokens / (1 + len(run.helpers))
        seconds += step * steps
    engine.is_pass_running = True
    seconds *= engine.slowdown * engine.cold_slowdown
    engine.pass_ends_at = time.monotonic() + seconds
    clock.call_later(seconds, _finish_pass, engine, engine.incarnation, decoding, finished)


def _prefill_tokens(engine: Engine, token_budget: float) -> tuple[float, list[EngineRun]]:
    """Prefill the next tokens; return the seconds it takes and the runs whose prefill ends."""
    seconds, finished = 0.0, []
    for waiting in (engine.parts, engine.reads):
        while waiting and token_budget > 0:
            prefill = waiting[0]
            tokens = min(prefill.tokens, token_budget)
            share = tokens / prefill.tokens if prefill.tokens else 1.0
            seconds += prefill.seconds * share
            token_budget -= tokens
            prefill.seconds -= prefill.seconds * share
            prefill.tokens -= tokens
            if prefill.tokens <= 0:
                waiting.popleft()
                finished.append(prefill.run)
    return seconds, finished


def _finish_pass(
    engine: Engine, incarnation: int, decoding: list[EngineRun], finished: list[EngineRun]
) -> None:
    if incarnation != engine.incarnation:
        return
    engine.is_pass_running = False
    for run in finished:
        run.pending_prefills -= 1
        if run.pending_prefills == 0 and not run.is_over and run.decode_engine is not engine:
            _start_pass(run.decode_engine)
    for run in decoding:
        if run.is_over:
            continue
        run.events += 1
        run.events_left -= 1
        run.is_over = run.events_left <= 0
        if run.is_over:
            engine.running.remove(run)
        run.emit(run.events, run.is_over)
    _start_queued_requests(engine)
