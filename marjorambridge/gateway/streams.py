"""Set options of TCP connections and reset them."""

import socket
import struct

import anyio
from anyio.abc import SocketAttribute, SocketStream

from marjorambridge.transport.reading import limit_reading_ahead

# A peer that disappears without a reset is detected by these keepalive probes, with times in
# seconds. Where a timeout for unacknowledged data is set, it decides when they have failed.
KEEPALIVE_IDLE_SECONDS = 1
KEEPALIVE_INTERVAL_SECONDS = 1
KEEPALIVE_PROBES = 2
# Data that is not acknowledged for this time counts as lost. The kernel applies it to a peer that
# is connected and does not read, too, which a caller may do for a while.
CALLER_TIMEOUT_MILLISECONDS = 4_000
# An endpoint that acknowledges nothing for this long, although it was asked to, is unreachable.
ENDPOINT_TIMEOUT_SECONDS = 1.5
LINGER = struct.Struct("ii")

STREAM_ERRORS = (
    OSError,
    anyio.EndOfStream,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
)


def set_options(stream: SocketStream, timeout_milliseconds: int | None) -> None:
    """Disable Nagle's algorithm, detect unreachable peers, and bound what is read ahead.

    Parameters
    ----------
    timeout_milliseconds : int or None
        Time after which data that was not acknowledged counts as lost; None if only the system's
        limits for retransmissions apply.
    """
    limit_reading_ahead(stream)
    raw = stream.extra(SocketAttribute.raw_socket)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_SECONDS)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_SECONDS)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    if timeout_milliseconds is not None:
        raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_milliseconds)


async def reset(stream: SocketStream) -> None:
    """Close a connection with a TCP reset, which the peer can't mistake for the end of data."""
    try:
        raw = stream.extra(SocketAttribute.raw_socket)
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER.pack(1, 0))
    except OSError:
        # The connection is already closed.
        return
    await anyio.aclose_forcefully(stream)
