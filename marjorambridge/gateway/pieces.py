"""Bound the work for bodies that arrive in many small pieces.

A peer may send a body in chunks of one byte, as fast as the network allows. Each piece costs about
as much work as a whole event, and many pieces are in the buffer at the same time. So a connection
gives way to other tasks after some of them, and those of the whole host that are unusually small
share a rate, beyond which their connections wait.
"""

import time

import anyio
import anyio.lowlevel
from msgspec import Struct, field

# Pieces that a connection handles before other tasks get a turn.
PIECES_PER_TURN = 64
# Pieces of one body that are never delayed: a number, and one for each of so many bytes.
FREE_PIECES = 1_000
BYTES_PER_FREE_PIECE = 8
# Rate of all delayed pieces of a host together.
DELAYED_PIECES_PER_SECOND = 2_000.0


class PieceLimit(Struct):
    """Store when the next delayed piece of a host may be handled.

    Attributes
    ----------
    next_at : float
        Monotonic time in seconds.
    """

    next_at: float = 0.0


class PieceCount(Struct):
    """Count the pieces of one body.

    Attributes
    ----------
    size : int
        Bytes of the pieces.
    """

    limit: PieceLimit = field(default_factory=PieceLimit)
    pieces: int = 0
    size: int = 0


async def handle_piece(count: PieceCount, size: int) -> bool:
    """Count a piece, and give way to other tasks if there were many; return whether it waited."""
    count.pieces += 1
    count.size += size
    if count.pieces % PIECES_PER_TURN:
        return False
    delay = reserve_turn(count, time.monotonic())
    if delay > 0:
        await anyio.sleep(delay)
        return True
    await anyio.lowlevel.checkpoint()
    return False


def reserve_turn(count: PieceCount, now: float) -> float:
    """Return the seconds to wait before the next pieces of a body.

    Examples
    --------
    >>> reserve_turn(PieceCount(pieces=1_000, size=1_000), 5.0)
    0.0
    >>> limit = PieceLimit()
    >>> [reserve_turn(PieceCount(limit, 2_000, 2_000), 5.0) for _ in range(2)]
    [0.032, 0.064]
    """
    if count.pieces <= FREE_PIECES + count.size // BYTES_PER_FREE_PIECE:
        return 0.0
    limit = count.limit
    limit.next_at = max(limit.next_at, now) + PIECES_PER_TURN / DELAYED_PIECES_PER_SECOND
    return round(limit.next_at - now, 6)
