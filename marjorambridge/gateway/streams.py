"""Set options of TCP connections and reset them."""

import socket
import struct

import anyio
from anyio.abc import SocketAttribute, SocketStream

from marjorambridge.transport.reading import limit_reading_ahead

# A peer that disappears without a reset is detected by these keepalive probes, with times in
# seconds; data that is sent to it and not acknowledged counts as lost after about the same time.
KEEPALIVE_IDLE_SECONDS = 1
KEEPALIVE_INTERVAL_SECONDS = 1
KEEPALIVE_PROBES = 2
UNACKNOWLEDGED_MILLISECONDS = 1_500
LINGER = struct.Struct("ii")

STREAM_ERRORS = (
    OSError,
    anyio.EndOfStream,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
)


def set_options(stream: SocketStream) -> None:
    """Disable Nagle's algorithm, detect unreachable peers, and bound what is read ahead."""
    limit_reading_ahead(stream)
    raw = stream.extra(SocketAttribute.raw_socket)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_SECONDS)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_SECONDS)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MILLISECONDS)


async def reset(stream: SocketStream) -> None:
    """Close a connection with a TCP reset, which the peer can't mistake for the end of data."""
    try:
        raw = stream.extra(SocketAttribute.raw_socket)
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER.pack(1, 0))
    except OSError:
        # The connection is already closed.
        return
    await anyio.aclose_forcefully(stream)
