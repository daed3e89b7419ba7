"""Bound the processor time that the bytes of peers take.

A peer may send bytes that bring its message no further, as fast as the network allows: single
bytes, comments, empty lines, interim answers. Each connection measures the time that it takes to
handle them, and gives way to other tasks after some pieces. What exceeds a free amount is taken
from a budget that all connections share, and connections wait for it in turn. Answers of an
endpoint whose bytes took too long without progress are given up.
"""

import time

import anyio
import anyio.lowlevel
from msgspec import Struct, field

# Pieces that a connection handles before other tasks get a turn. A slow endpoint may send its
# bytes one by one; so many at the same time are no slow endpoint's.
PIECES_PER_TURN = 64
# Smallest pieces that count as progress of a message without events.
PROGRESS_PIECE_BYTES = 8
# Pieces without progress that an event or another piece with progress makes up for. Endpoints may
# send an event in several pieces.
PIECES_PER_PROGRESS = 16
# Processor time in seconds of the event loop for each turn.
TURN_SECONDS = 0.000_05
# Processor time in seconds that each message takes without being delayed.
FREE_SECONDS = 0.001
# Part of a processor for the rest of all messages, and seconds of it that may be saved up.
SHARED_RATIO = 0.2
SAVED_SECONDS = 0.1
# Processor time for the bytes of an endpoint without progress, after which its answers are given
# up, and the part of a second by which it decreases in each second.
MAX_IDLE_WORK_SECONDS = 0.02
IDLE_WORK_DECREASE = 0.005
# Endpoints without idle work are forgotten when there are more of them.
MAX_PEERS = 256


class IdleWork(Struct):
    """Processor time that the bytes of an endpoint took without progress.

    Attributes
    ----------
    seconds : float
        Processor time.
    updated_at : float
        Monotonic time in seconds of the last change.
    """

    seconds: float = 0.0
    updated_at: float = 0.0


class WorkBudget(Struct):
    """Processor time for the bytes of many connections.

    Attributes
    ----------
    free_at : float
        Monotonic time in seconds at which the budget is balanced.
    peers : dict of str to IdleWork
        Endpoints whose bytes took time without progress, by their address.
    """

    free_at: float = 0.0
    peers: dict[str, IdleWork] = field(default_factory=dict)


class WorkMeter(Struct):
    """Measure the processor time for the bytes of one message.

    Attributes
    ----------
    peer : str
        Address of the endpoint; empty for callers, whose messages have bounds of their own.
    is_buffered : bool
        Whether the message is received whole before it is passed on. Otherwise pieces with progress
        are free, since they come at the speed at which they are passed on.
    began_at : float
        Processor time in seconds at which this task began to handle bytes.
    pieces, progress : int
        Pieces that were handled since then, and those of them with progress.
    used : float
        Processor time in seconds for the message.
    """

    budget: WorkBudget
    peer: str = ""
    is_buffered: bool = True
    began_at: float = 0.0
    pieces: int = 0
    progress: int = 0
    used: float = 0.0


class IdleWorkError(Exception):
    """The bytes of an endpoint took too much time without progress."""


def exclude(meter: WorkMeter, since: float) -> None:
    """Leave out the processor time since a moment, in which other tasks may have run."""
    meter.began_at += time.thread_time() - since


def start_turn(meter: WorkMeter) -> None:
    """Note that bytes are handled from now on."""
    meter.began_at = time.thread_time()
    meter.pieces = meter.progress = 0


async def finish_piece(meter: WorkMeter, has_progress: bool) -> bool:
    """Count a piece, and give way to other tasks after some; return whether this waited.

    Raises
    ------
    IdleWorkError
        If the bytes of the endpoint took too much time without progress.
    """
    meter.pieces += 1
    meter.progress += has_progress
    if meter.pieces < PIECES_PER_TURN:
        return False
    has_waited = await wait_for_budget(meter)
    if not has_waited:
        await anyio.lowlevel.checkpoint()
    start_turn(meter)
    return has_waited


async def wait_for_budget(meter: WorkMeter) -> bool:
    """End a turn and wait until its time is in the budget; return whether this waited.

    Raises
    ------
    IdleWorkError
        If the bytes of the endpoint took too much time without progress.
    """
    delay = end_turn(meter)
    if delay > 0:
        await anyio.sleep(delay)
    return delay > 0


def end_turn(meter: WorkMeter) -> float:
    """Take the time of a turn from the budget, and return the seconds to wait for it.

    Raises
    ------
    IdleWorkError
        If the bytes of the endpoint took too much time without progress.
    """
    seconds = time.thread_time() - meter.began_at + TURN_SECONDS
    return settle(meter, seconds, time.monotonic())


def settle(meter: WorkMeter, seconds: float, now: float) -> float:
    """Take processor time from the budget, and return the seconds to wait for it.

    Raises
    ------
    IdleWorkError
        If the bytes of the endpoint took too much time without progress.

    Examples
    --------
    >>> meter = WorkMeter(WorkBudget(free_at=5.0), pieces=64)
    >>> settle(meter, 0.0008, 5.0), round(settle(meter, 0.0008, 5.0), 6)
    (0.0, 0.004)
    """
    idle_pieces = meter.pieces - PIECES_PER_PROGRESS * meter.progress
    idle_seconds = seconds
    if meter.progress:
        meter.budget.peers.pop(meter.peer, None)
        idle_seconds *= max(0, idle_pieces) / meter.pieces
    charged = seconds if meter.is_buffered else idle_seconds
    meter.used += charged
    is_flood = bool(meter.peer) and meter.pieces >= PIECES_PER_TURN and idle_seconds > 0
    if meter.used <= FREE_SECONDS:
        if is_flood:
            _check_idle_work(meter, now)
        return 0.0
    if is_flood:
        _add_idle_work(meter, idle_seconds, now)
    return take_time(meter.budget, charged, now) if charged > 0 else 0.0


def _add_idle_work(meter: WorkMeter, seconds: float, now: float) -> None:
    peers = meter.budget.peers
    if len(peers) > MAX_PEERS:
        for peer in [key for key, work in peers.items() if _get_idle_seconds(work, now) <= 0]:
            del peers[peer]
    work = peers.setdefault(meter.peer, IdleWork())
    work.seconds, work.updated_at = _get_idle_seconds(work, now) + seconds, now
    _check_idle_work(meter, now)


def _check_idle_work(meter: WorkMeter, now: float) -> None:
    work = meter.budget.peers.get(meter.peer)
    if work is not None and _get_idle_seconds(work, now) > MAX_IDLE_WORK_SECONDS:
        raise IdleWorkError("its bytes took too much processor time without progress")


def _get_idle_seconds(work: IdleWork, now: float) -> float:
    return max(0.0, work.seconds - IDLE_WORK_DECREASE * (now - work.updated_at))


def take_time(budget: WorkBudget, seconds: float, now: float) -> float:
    """Take processor time from the budget, and return the seconds until it is balanced."""
    earliest = now - SAVED_SECONDS / SHARED_RATIO
    budget.free_at = max(budget.free_at, earliest) + seconds / SHARED_RATIO
    return max(0.0, budget.free_at - now)
