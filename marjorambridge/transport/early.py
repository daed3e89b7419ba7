"""Open the listening socket of a host before the rest of the program is imported.

After a loss of power, hosts connect to each other while they start. The kernel accepts connections
to a socket that listens already, and their first messages wait there; a refused connection is only
opened again after the backoff of the peer. This module imports no more than `socket`.
"""

import socket
from contextlib import suppress

# As many connections as the kernel allows.
BACKLOG = 65_535

# Sockets that listen and are not served yet, by ``ip:port``.
OPEN_SOCKETS: dict[str, socket.socket] = {}


def open_socket(address: str) -> None:
    """Listen on ``ip:port``, unless that fails; `transport.network` then tries and reports it."""
    ip, _, port = address.rpartition(":")
    family = socket.AF_INET6 if ":" in ip else socket.AF_INET
    with suppress(OSError):
        listener = socket.socket(family)
        try:
            listener.setblocking(False)
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            listener.bind((ip.strip("[]"), int(port)))
            listener.listen(BACKLOG)
        except OSError:
            listener.close()
            raise
        OPEN_SOCKETS[address] = listener


def take_socket(address: str) -> socket.socket | None:
    """Return the socket that listens on an address; the caller closes it."""
    return OPEN_SOCKETS.pop(address, None)


def close_sockets() -> None:
    """Close the sockets that were not taken, so that peers do not wait for this host."""
    while OPEN_SOCKETS:
        OPEN_SOCKETS.popitem()[1].close()
