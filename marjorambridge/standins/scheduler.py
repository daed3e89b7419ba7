"""Simulate the continuous batching, memory and prefix cache of an engine."""

import asyncio
import math
import random
from collections import OrderedDict, deque
from itertools import islice

from msgspec import Struct, field

from marjorambridge.core.identity import AttemptId
from marjorambridge.limits.messages import CacheEvent
from marjorambridge.standins.exceptions import RejectedError
from marjorambridge.standins.prompts import compute_token

PRIORITY_RANKS = {"interactive": 0, "batch": 1, "long": 2, "group": 3}
MAX_CANCELLED_ATTEMPTS = 10_000


class EngineSettings(Struct):
    """Settings of a stand-in engine.

    Attributes
    ----------
    hosts : tuple of str
        Addresses ``ip:port`` of hosts that receive the announcements in turn.
    prefill_tokens_per_second : float
        Prefill speed of the whole engine.
    decode_tokens_per_second : float
        Decode speed of each request.
    kv_capacity_tokens, cache_tokens : int
        Memory for running requests, and for cached prefixes.
    concurrency : int
        Requests that run at once when warm; further ones wait in the engine.
    max_waiting : int
        Requests that may wait in the engine; further ones are rejected.
    cold_seconds, cold_factor : float
        Duration of a cold period, and slowdown factor during it.
    cold_limit, cold_prefill_tokens : int
        Initial request limit of a cold engine, and prefill tokens in progress that are allowed for
        each. Every success and the elapsed share of the cold period raise the limit.
    announces_cold : bool
        Whether the announcement says that the engine is cold.
    collapse_factor : float
        Slowdown factor while the load exceeds the cold limit.
    chunk_tokens : int
        Prefill tokens of a chunk; a chunk is not interrupted by a more urgent request.
    report_lag_seconds, cache_event_lag_seconds : float
        Age of the load report and of the cache events in an announcement.
    cache_event_gap : float
        Share of cache events that are lost.
    part_seconds : float
        Time after which a part of a group expires if the lead does not renew it.
    load_seconds : float
        Time to load a model, adapter or version.
    """

    endpoint: str = "engine-1"
    service: str = "sprachdienst"
    zone: str = "halle-nord"
    supplier: str = "standin"
    listen: str = "127.0.0.1"
    port: int = 0
    hosts: tuple[str, ...] = ()
    incarnation: int = 0
    models: tuple[str, ...] = ()
    adapters: tuple[str, ...] = ()
    version: str = ""
    role: str = "any"
    checks_fencing: bool = False
    prefill_tokens_per_second: float = 20_000.0
    decode_tokens_per_second: float = 50.0
    kv_capacity_tokens: int = 400_000
    cache_tokens: int = 200_000
    concurrency: int = 16
    max_waiting: int = 64
    starts_cold: bool = True
    announces_cold: bool = True
    cold_seconds: float = 10.0
    cold_factor: float = 3.0
    cold_limit: int = 1
    cold_prefill_tokens: int = 8_192
    collapse_factor: float = 50.0
    chunk_tokens: int = 2_048
    honours_priority: bool = True
    bytes_per_token: float = 3.0
    block_tokens: int = 256
    default_output_tokens: int = 512
    natural_output_tokens: int = 64
    announce_seconds: float = 1.0
    report_lag_seconds: float = 0.5
    cache_event_lag_seconds: float = 1.0
    cache_event_gap: float = 0.0
    part_seconds: float = 5.0
    load_seconds: float = 2.0
    step_seconds: float = 0.005
    seed: int = 1


class Run(Struct):
    """One admitted attempt, which holds memory on this engine until it ends.

    Attributes
    ----------
    tokens : list of str
        Tokens produced so far; the first has index `first`.
    progressed : asyncio.Event
        Set when `tokens` or `ended` changes; the stream clears it.
    finished : asyncio.Event
        Set when the attempt has ended.
    ended : str
        Empty while running; then ``complete``, ``cancelled`` or ``lost``.
    """

    attempt: AttemptId
    priority: str
    arrival: int
    seed: int
    prompt_tokens: int
    cached_tokens: int
    prefill_left: float
    first_index: int
    output_tokens: int
    finish_reason: str
    kv_tokens: int
    blocks: tuple[bytes, ...] = ()
    block_tokens: tuple[int, ...] = ()
    active: bool = False
    decode_credit: float = 0.0
    tokens: list[str] = field(default_factory=list)
    progressed: asyncio.Event = field(default_factory=asyncio.Event)
    finished: asyncio.Event = field(default_factory=asyncio.Event)
    ended: str = ""


class MemoryReservation(Struct):
    """Memory reserved for a part of a group whose lead runs on another engine."""

    tokens: int
    expires_at: float


class Faults(Struct):
    """Faults that tests have enabled.

    Attributes
    ----------
    cut_streams, cut_after_tokens : int
        Number of streams still to cut, and tokens that each sends before the cut.
    hang : bool
        Whether attempts make no progress.
    late_seconds, cancel_late_seconds : float
        Delay of every answer to a completion, and to a cancel.
    silent : bool
        Whether announcements stop.
    leaving : bool
        Whether new attempts are rejected and announcements report that the engine is leaving.
    """

    cut_streams: int = 0
    cut_after_tokens: int = 0
    hang: bool = False
    late_seconds: float = 0.0
    cancel_late_seconds: float = 0.0
    silent: bool = False
    leaving: bool = False


class Engine(Struct):
    """State of a stand-in engine; times are seconds of the loop's clock.

    Attributes
    ----------
    overloads : int
        Number of times that the load rose above the cold limit.
    refusals : int
        Attempts and parts rejected for lack of memory or of room in the queue.
    starts : list of dict
        Every accepted attempt, for tests. `started` is in seconds of the loop's clock, which all
        processes of one machine share.
    received : list of float
        Time of every attempt that arrived, rejected ones included.
    """

    settings: EngineSettings
    incarnation: int
    models: tuple[str, ...]
    adapters: tuple[str, ...]
    version: str
    role: str
    random: random.Random
    cold_since: float | None = None
    successes: int = 0
    arrivals: int = 0
    overloaded: bool = False
    overloads: int = 0
    peak_running: int = 0
    peak_tokens: int = 0
    refusals: int = 0
    fencing: int = 0
    runs: dict[AttemptId, Run] = field(default_factory=dict)
    parts: dict[AttemptId, MemoryReservation] = field(default_factory=dict)
    cancelled: OrderedDict[AttemptId, None] = field(default_factory=OrderedDict)
    fenced_hosts: dict[str, int] = field(default_factory=dict)
    chunk_run: Run | None = None
    chunk_left: float = 0.0
    cache: OrderedDict[bytes, None] = field(default_factory=OrderedDict)
    cache_sequence: int = 0
    cache_events: deque[tuple[float, CacheEvent]] = field(default_factory=deque)
    reports: deque[tuple[float, int, int]] = field(default_factory=deque)
    report_sequence: int = 0
    starts: list[dict[str, object]] = field(default_factory=list)
    received: list[float] = field(default_factory=list)
    orders: OrderedDict[str, dict[str, object]] = field(default_factory=OrderedDict)
    faults: Faults = field(default_factory=Faults)
    work_available: asyncio.Event = field(default_factory=asyncio.Event)


def create_engine(settings: EngineSettings, incarnation: int, now: float) -> Engine:
    """Return an engine without load; it is cold if the settings say so."""
    return Engine(
        settings=settings,
        incarnation=incarnation,
        models=settings.models or (settings.service,),
        adapters=settings.adapters,
        version=settings.version,
        role=settings.role,
        random=random.Random(settings.seed),
        cold_since=now if settings.starts_cold else None,
    )


def compute_limit(engine: Engine, now: float) -> int:
    """Return the request limit at `now`, and end the cold period if it is over."""
    settings = engine.settings
    if engine.cold_since is None:
        return settings.concurrency
    share = min(1.0, (now - engine.cold_since) / max(settings.cold_seconds, 1e-9))
    if share >= 1.0:
        engine.cold_since = None
        return settings.concurrency
    limit = max(settings.cold_limit + engine.successes, int(settings.concurrency * share))
    return min(settings.concurrency, limit)


def start_cold_period(engine: Engine, now: float) -> None:
    """Start a cold period and drop the prefix cache."""
    engine.cold_since = now
    engine.successes = 0
    evict_blocks(engine, now, tuple(engine.cache))


def count_used_tokens(engine: Engine) -> int:
    """Return the memory held by running attempts and parts of groups."""
    used = sum(run.kv_tokens for run in engine.runs.values())
    return used + sum(part.tokens for part in engine.parts.values())


def check_attempt(engine: Engine, attempt: AttemptId) -> None:
    """Reject an attempt that was cancelled before it arrived, or any if the engine is leaving.

    Raises
    ------
    RejectedError
        With outcome ``not_run``.
    """
    if engine.faults.leaving:
        raise RejectedError(503, "leaving", "the engine is leaving; use another endpoint")
    if attempt in engine.cancelled or (
        attempt.incarnation <= engine.fenced_hosts.get(attempt.host, -1)
    ):
        raise RejectedError(409, "cancelled", "the attempt was cancelled; use a new attempt")


def reserve_part(
    engine: Engine, attempt: AttemptId, tokens: int, seconds: float, now: float
) -> None:
    """Reserve memory for a part of a group, or renew the reservation.

    Raises
    ------
    RejectedError
        If there is too little memory, the engine is leaving or the attempt was cancelled.
    """
    part = engine.parts.get(attempt)
    if part is not None:
        part.expires_at = now + seconds
        return
    check_attempt(engine, attempt)
    if count_used_tokens(engine) + tokens > engine.settings.kv_capacity_tokens:
        engine.refusals += 1
        raise RejectedError(503, "memory_full", "the memory does not suffice; retry elsewhere")
    engine.parts[attempt] = MemoryReservation(tokens, now + seconds)
    engine.peak_tokens = max(engine.peak_tokens, count_used_tokens(engine))
    engine.work_available.set()


def expire_parts(engine: Engine, now: float) -> None:
    """Free the parts of groups whose lead no longer renews them."""
    for attempt in [key for key, part in engine.parts.items() if part.expires_at <= now]:
        del engine.parts[attempt]


def admit_attempt(
    engine: Engine,
    attempt: AttemptId,
    priority: str,
    seed: int,
    prompt_tokens: int,
    blocks: tuple[tuple[bytes, ...], tuple[int, ...]],
    max_tokens: int,
    ignore_eos: bool,
    resume_from: int,
    kv_tokens: int,
    now: float,
) -> Run:
    """Admit an attempt and reserve its memory until it ends or is cancelled.

    Raises
    ------
    RejectedError
        If the engine can't run it; nothing is reserved.
    """
    check_attempt(engine, attempt)
    if attempt in engine.runs:
        raise RejectedError(409, "running", "the attempt already runs", "failed")
    settings = engine.settings
    if len(engine.runs) >= settings.concurrency + settings.max_waiting:
        engine.refusals += 1
        raise RejectedError(503, "queue_full", "too many requests wait; retry elsewhere")
    if count_used_tokens(engine) + kv_tokens > settings.kv_capacity_tokens:
        engine.refusals += 1
        raise RejectedError(503, "memory_full", "the memory does not suffice; retry elsewhere")
    natural = 1 + seed % settings.natural_output_tokens
    output = max_tokens if ignore_eos else min(max_tokens, natural)
    cached = 0
    for block, tokens in zip(*blocks, strict=True):
        if block not in engine.cache:
            break
        engine.cache.move_to_end(block)
        cached = tokens
    engine.arrivals += 1
    run = Run(
        attempt=attempt,
        priority=priority,
        arrival=engine.arrivals,
        seed=seed,
        prompt_tokens=prompt_tokens,
        cached_tokens=cached,
        # A resumed answer is prefilled with the tokens that the caller already has.
        prefill_left=float(max(1, prompt_tokens + resume_from - cached)),
        first_index=resume_from,
        output_tokens=output,
        finish_reason="stop" if output == natural else "length",
        kv_tokens=kv_tokens,
        blocks=blocks[0],
        block_tokens=blocks[1],
    )
    engine.runs[attempt] = run
    engine.peak_running = max(engine.peak_running, len(engine.runs))
    engine.peak_tokens = max(engine.peak_tokens, count_used_tokens(engine))
    engine.work_available.set()
    return run


def end_run(engine: Engine, run: Run, end_state: str) -> None:
    """Free the memory of an attempt and notify its stream."""
    if engine.runs.pop(run.attempt, None) is None:
        return
    if end_state == "complete":
        engine.successes += 1
    if engine.chunk_run is run:
        engine.chunk_run = None
    run.ended = end_state
    run.progressed.set()
    run.finished.set()
    engine.work_available.set()


def cancel_attempt(engine: Engine, attempt: AttemptId) -> int:
    """Stop one attempt and its part, reject it from now on, and return how many were stopped."""
    engine.cancelled[attempt] = None
    while len(engine.cancelled) > MAX_CANCELLED_ATTEMPTS:
        engine.cancelled.popitem(last=False)
    stopped = int(engine.parts.pop(attempt, None) is not None)
    run = engine.runs.get(attempt)
    if run is not None:
        end_run(engine, run, "cancelled")
    return stopped + int(run is not None)


def cancel_host(engine: Engine, host: str, incarnation: int) -> int:
    """Stop all attempts of a host up to an incarnation, and reject them from now on."""
    engine.fenced_hosts[host] = max(incarnation, engine.fenced_hosts.get(host, -1))
    attempts = [
        attempt
        for attempt in (*engine.runs, *engine.parts)
        if attempt.host == host and attempt.incarnation <= incarnation
    ]
    return sum(cancel_attempt(engine, attempt) for attempt in attempts)


def publish_cache_event(
    engine: Engine, now: float, stored: tuple[bytes, ...], evicted: tuple[bytes, ...]
) -> None:
    """Queue a cache event for a later announcement; some are dropped, which leaves a gap."""
    if not stored and not evicted:
        return
    engine.cache_sequence += 1
    if engine.random.random() >= engine.settings.cache_event_gap:
        due = now + engine.settings.cache_event_lag_seconds
        event = CacheEvent(engine.cache_sequence, stored, evicted)
        engine.cache_events.append((due, event))


def evict_blocks(engine: Engine, now: float, blocks: tuple[bytes, ...]) -> None:
    """Remove blocks from the prefix cache."""
    for block in blocks:
        del engine.cache[block]
    publish_cache_event(engine, now, (), blocks)


def store_prefix(engine: Engine, run: Run, now: float) -> None:
    """Cache the blocks of a prefilled prompt, and evict the least recently used ones."""
    capacity = engine.settings.cache_tokens // engine.settings.block_tokens
    kept = run.blocks[:capacity]
    stored = tuple(block for block in kept if block not in engine.cache)
    # A chain is usable only from its first block, so the first block is the last to be evicted.
    for block in reversed(kept):
        engine.cache[block] = None
        engine.cache.move_to_end(block)
    publish_cache_event(engine, now, stored, ())
    excess = len(engine.cache) - capacity
    if excess > 0:
        evict_blocks(engine, now, tuple(islice(engine.cache, excess)))


def sort_runs(engine: Engine) -> list[Run]:
    """Return the runs in scheduling order."""
    if not engine.settings.honours_priority:
        return sorted(engine.runs.values(), key=lambda run: run.arrival)
    return sorted(
        engine.runs.values(),
        key=lambda run: (PRIORITY_RANKS.get(run.priority, 1), run.arrival),
    )


def update_overload(engine: Engine, now: float) -> bool:
    """Return whether a cold engine exceeds its limit, and count each start of an overload."""
    settings = engine.settings
    limit = compute_limit(engine, now)
    overloaded = False
    if engine.cold_since is not None:
        prefill = sum(run.prefill_left for run in engine.runs.values())
        overloaded = len(engine.runs) > limit or prefill > settings.cold_prefill_tokens * limit
    if overloaded and not engine.overloaded:
        engine.overloads += 1
    engine.overloaded = overloaded
    return overloaded


def run_step(engine: Engine, now: float, elapsed: float) -> None:
    """Simulate the `elapsed` seconds that end at `now`."""
    expire_parts(engine, now)
    overloaded = update_overload(engine, now)
    if engine.faults.hang:
        return
    slowdown = 1.0
    if engine.cold_since is not None:
        slowdown = engine.settings.cold_factor
    if overloaded:
        slowdown *= engine.settings.collapse_factor
    ordered = sort_runs(engine)
    running = sum(run.active for run in ordered)
    for run in ordered:
        if not run.active and running < engine.settings.concurrency:
            run.active = True
            running += 1
    active = [run for run in ordered if run.active]
    decoding = [run for run in active if run.prefill_left <= 0]
    _run_prefill(
        engine, active, engine.settings.prefill_tokens_per_second * elapsed / slowdown, now
    )
    for run in decoding:
        run.decode_credit += engine.settings.decode_tokens_per_second * elapsed / slowdown
        append_tokens(engine, run, math.floor(run.decode_credit))
        run.decode_credit -= math.floor(run.decode_credit)


def _run_prefill(engine: Engine, active: list[Run], budget: float, now: float) -> None:
    while budget > 0:
        run = engine.chunk_run
        if run is None or run.ended or run.prefill_left <= 0 or engine.chunk_left <= 0:
            run = next((item for item in active if not item.ended and item.prefill_left > 0), None)
            engine.chunk_run = run
            if run is None:
                return
            engine.chunk_left = min(run.prefill_left, float(engine.settings.chunk_tokens))
        done = min(budget, engine.chunk_left, run.prefill_left)
        budget -= done
        engine.chunk_left -= done
        run.prefill_left -= done
        if run.prefill_left <= 1e-6:
            run.prefill_left = 0.0
            engine.chunk_run = None
            store_prefix(engine, run, now)
            append_tokens(engine, run, 1)


def append_tokens(engine: Engine, run: Run, count: int) -> None:
    """Append the next `count` tokens, and end the attempt after its last one."""
    done = run.first_index + len(run.tokens)
    count = min(count, run.output_tokens - done)
    if count > 0:
        run.tokens += [compute_token(run.seed, done + offset) for offset in range(count)]
        run.progressed.set()
    if run.first_index + len(run.tokens) >= run.output_tokens:
        end_run(engine, run, "complete")


async def run_steps(engine: Engine) -> None:
    """Run simulation steps; wait while there are neither attempts nor parts."""
    loop = asyncio.get_running_loop()
    last = loop.time()
    while True:
        if not engine.runs and not engine.parts:
            engine.overloaded = False
            engine.work_available.clear()
            await engine.work_available.wait()
            last = loop.time()
        await asyncio.sleep(engine.settings.step_seconds)
        now = loop.time()
        run_step(engine, now, now - last)
        last = now
