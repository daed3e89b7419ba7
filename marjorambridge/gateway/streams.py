"""Set up and end TCP connections."""

import socket
import struct

import anyio
from anyio.abc import SocketAttribute, SocketStream

# A peer that is gone without a reset is noticed after this many seconds of silence, and what was
# sent to it counts as lost after about the same time.
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
    """Send small writes at once and notice peers that are gone."""
    raw = stream.extra(SocketAttribute.raw_socket)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_SECONDS)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_SECONDS)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MILLISECONDS)


async def reset(stream: SocketStream) -> None:
    """Close a connection so that the peer sees a reset and not the end of the data."""
    try:
        raw = stream.extra(SocketAttribute.raw_socket)
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER.pack(1, 0))
    except OSError:
        # The connection is closed already.
        return
    await anyio.aclose_forcefully(stream)
