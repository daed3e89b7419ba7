"""Tell a peer that has disappeared from one that reads slowly.

``TCP_USER_TIMEOUT`` can't: while the receive window is smaller than the next segment that the
kernel wants to send, Linux counts the time since its first window probe, although smaller segments
are sent and acknowledged meanwhile. What the kernel reports of a connection tells both apart.
"""

import errno
import fcntl
import socket
import struct
import termios

from loguru import logger
from msgspec import Struct

# The first part of ``struct tcp_info`` in ``linux/tcp.h``: retransmissions, probes, the time since
# the last acknowledgement, and the acknowledged bytes; the kernel only appends fields.
TCP_INFO = struct.Struct("=2xBB52xI60xQ")
QUEUE_SIZE = struct.Struct("i")
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
    acknowledged_bytes : int
        Bytes that the peer has acknowledged since the connection was opened.
    """

    unanswered: int
    silent_seconds: float
    acknowledged_bytes: int = 0


def read_progress(raw: socket.socket) -> PeerProgress | None:
    """Return what the kernel knows of the peer, or None if it can't tell.

    Raises
    ------
    OSError
        If the connection is closed.
    """
    try:
        data = raw.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO.size)
    except OSError as error:
        if error.errno not in UNSUPPORTED:
            raise
        logger.bind(error=repr(error)).debug("the kernel doesn't report the state of connections")
        return None
    if len(data) < TCP_INFO.size:
        return None
    retransmits, probes, silent_milliseconds, acknowledged = TCP_INFO.unpack(data)
    silent_seconds = silent_milliseconds / MILLISECONDS_PER_SECOND
    return PeerProgress(retransmits + probes, silent_seconds, acknowledged)


def count_queued_bytes(raw: socket.socket) -> int:
    """Return the bytes in the kernel that the peer has not acknowledged.

    Raises
    ------
    OSError, ValueError
        If the system has no such call, or the connection is closed.
    """
    answer = fcntl.ioctl(raw.fileno(), termios.TIOCOUTQ, bytes(QUEUE_SIZE.size))
    (size,) = QUEUE_SIZE.unpack(answer)
    return int(size)


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
