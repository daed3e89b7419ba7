"""Tell a peer that has disappeared from one that reads slowly.

``TCP_USER_TIMEOUT`` can't: while the receive window is smaller than the next segment that the
kernel wants to send, Linux counts the time since its first window probe, although smaller segments
are sent and acknowledged meanwhile. What the kernel reports of a connection tells both apart.
"""

import errno
import socket
import struct

from loguru import logger
from msgspec import Struct

# The first part of ``struct tcp_info`` in ``linux/tcp.h``, up to the time of the last
# acknowledgement; the kernel only appends fields.
TCP_INFO = struct.Struct("=2xBB52xI")
# The field ``tcpi_bytes_acked``, which Linux has since version 4.1.
ACKNOWLEDGED_BYTES = struct.Struct("=120xQ")
MILLISECONDS_PER_SECOND = 1_000
# Probes or retransmissions in a row without an acknowledgement, after which a peer may count as
# unreachable. A single one may have been lost on its way.
MIN_UNANSWERED = 2
UNSUPPORTED = frozenset({errno.EINVAL, errno.ENOPROTOOPT, errno.ENOSYS, errno.EOPNOTSUPP})


class PeerProgress(Struct, frozen=True):
    """What the kernel knows of the peer of a connection.

    Attributes
    ----------
    unanswered : int
        Retransmissions, or probes of a closed window, since the last acknowledgement.
    silent_seconds : float
        Time since the last acknowledgement.
    """

    unanswered: int
    silent_seconds: float


def read_progress(raw: socket.socket) -> PeerProgress | None:
    """Return what the kernel knows of the peer, or None if it can't tell.

    Raises
    ------
    OSError
        If the connection is closed.
    """
    data = _read_state(raw, TCP_INFO.size)
    if len(data) < TCP_INFO.size:
        return None
    retransmits, probes, silent_milliseconds = TCP_INFO.unpack(data)
    return PeerProgress(retransmits + probes, silent_milliseconds / MILLISECONDS_PER_SECOND)


def count_acknowledged_bytes(raw: socket.socket) -> int | None:
    """Return the bytes that the system of the peer has acknowledged, or None if it can't be told.

    Raises
    ------
    OSError
        If the connection is closed.
    """
    data = _read_state(raw, ACKNOWLEDGED_BYTES.size)
    if len(data) < ACKNOWLEDGED_BYTES.size:
        return None
    (count,) = ACKNOWLEDGED_BYTES.unpack(data)
    # Connections are asked after their first bytes were answered; 0 stands for an unknown number.
    return count or None


def _read_state(raw: socket.socket, size: int) -> bytes:
    """Return the first bytes of what the kernel reports; nothing if it reports nothing."""
    try:
        return raw.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, size)
    except OSError as error:
        if error.errno not in UNSUPPORTED:
            raise
        logger.bind(error=repr(error)).debug("the kernel doesn't report the state of connections")
        return b""


def is_unreachable(progress: PeerProgress, timeout_seconds: float) -> bool:
    """Return whether a peer has acknowledged nothing for a time, although it was asked to.

    A peer that reads nothing answers the probes of its closed window, and is reachable.

    Examples
    --------
    >>> is_unreachable(PeerProgress(3, 5.0), 4.0)
    True
    >>> is_unreachable(PeerProgress(0, 60.0), 4.0)
    False
    """
    return progress.unanswered >= MIN_UNANSWERED and progress.silent_seconds >= timeout_seconds
