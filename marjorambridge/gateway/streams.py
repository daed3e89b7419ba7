"""Set options of TCP connections and reset them."""

import socket
import struct

import anyio
from anyio.abc import SocketAttribute, SocketStream

from marjorambridge.transport.progress import count_queued_bytes
from marjorambridge.transport.reading import limit_reading_ahead

# A peer that disappears without a reset, while nothing is sent to it, is detected by these
# keepalive probes, with times in seconds. `marjorambridge.transport.progress` tells what is known
# of one that data is sent to; a timeout of the kernel would end connections to slow peers, too.
KEEPALIVE_IDLE_SECONDS = 1
KEEPALIVE_INTERVAL_SECONDS = 1
KEEPALIVE_PROBES = 3
# An endpoint that acknowledges nothing for this long, although it was asked to, is unreachable.
ENDPOINT_TIMEOUT_SECONDS = 1.5
# What the kernel keeps of the data that it has not sent yet. Without this bound, its buffer of a
# connection grows up to several megabytes, as long as the peer reads slowly.
MAX_UNSENT_BYTES = 262_144
LINGER = struct.Struct("ii")
# Number of bytes if the kernel can't tell it.
UNKNOWN_BYTES = -1

STREAM_ERRORS = (
    OSError,
    anyio.EndOfStream,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
)


def set_options(stream: SocketStream) -> None:
    """Disable Nagle's algorithm, probe idle peers, and bound what is read ahead."""
    limit_reading_ahead(stream)
    raw = stream.extra(SocketAttribute.raw_socket)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_SECONDS)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_SECONDS)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)


def limit_unsent_bytes(stream: SocketStream) -> None:
    """Bound what the kernel keeps of the data that it has not sent yet."""
    raw = stream.extra(SocketAttribute.raw_socket)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_NOTSENT_LOWAT, MAX_UNSENT_BYTES)


async def reset(stream: SocketStream) -> None:
    """Close a connection with a TCP reset, which the peer can't mistake for the end of data."""
    try:
        raw = stream.extra(SocketAttribute.raw_socket)
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER.pack(1, 0))
    except OSError:
        # The connection is already closed.
        return
    await anyio.aclose_forcefully(stream)


def count_unsent_bytes(stream: SocketStream) -> int:
    """Return the bytes that wait in the process until the kernel takes them."""
    transport = getattr(stream, "_transport", None)
    return transport.get_write_buffer_size() if transport is not None else UNKNOWN_BYTES


def count_unacknowledged_bytes(stream: SocketStream) -> int:
    """Return the bytes in the kernel that the peer has not acknowledged."""
    try:
        return count_queued_bytes(stream.extra(SocketAttribute.raw_socket))
    except (OSError, ValueError):
        # The connection is closed, or the system has no such call.
        return UNKNOWN_BYTES
