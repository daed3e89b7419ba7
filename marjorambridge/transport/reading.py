"""Bound what is read of a connection before a task asks for it."""

import socket

from anyio.abc import ByteStream, Listener, SocketAttribute

# Largest piece that is read at once.
READ_BYTES = 65_536
# What the kernel keeps for a connection that is not read, as far as the window allows.
RECEIVE_BUFFER_BYTES = 65_536


def limit_receive_buffer(listener: Listener) -> None:
    """Bound the receive buffers of all connections that a listener accepts."""
    for item in getattr(listener, "listeners", [listener]):
        _set_receive_buffer(item.extra(SocketAttribute.raw_socket))


def limit_reading_ahead(stream: ByteStream) -> None:
    """Stop reading until a task receives, and bound the receive buffer.

    The event loop reads from an accepted connection from the start. As long as data arrives before
    the first task waits for it, `anyio` does not stop that, and everything that the peer sends is
    kept, whether or not a task receives it.
    """
    transport = getattr(stream, "_transport", None)
    if transport is not None:
        transport.pause_reading()
        transport.max_size = READ_BYTES
    _set_receive_buffer(stream.extra(SocketAttribute.raw_socket))


def receive_nowait(stream: ByteStream) -> bytes:
    """Return what has arrived in the socket of a connection, or nothing.

    The event loop may not have looked at the socket for the whole length of its last turn.
    """
    raw = stream.extra(SocketAttribute.raw_socket)
    if raw.fileno() < 0:
        # The connection is already closed.
        return b""
    alias = socket.socket(raw.family, raw.type, raw.proto, fileno=raw.fileno())
    try:
        return alias.recv(READ_BYTES)
    except OSError:
        # Nothing has arrived, or the peer has reset the connection.
        return b""
    finally:
        alias.detach()


def _set_receive_buffer(raw: socket.socket) -> None:
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
