"""Simulate the connections between hosts: partitions, silence, retransmission and reconnection.

A connection carries messages in one direction, as in `marjorambridge.transport.network`. Messages
that are not acknowledged are retransmitted until a timeout closes the connection, and then sent on
the next one.
"""

from collections import deque
from dataclasses import dataclass, field

from marjorambridge.transport import network
from marjorambridge.transport.acknowledgements import (
    ACKNOWLEDGEMENT_INTERVAL_SECONDS,
    ACKNOWLEDGEMENT_TIMEOUT_SECONDS,
)

# Times after the first transmission at which unacknowledged data is sent again, in seconds.
RETRANSMISSIONS = (0.2, 0.6, 1.4, 3.0)
# A lost opening packet is sent again after this time, in seconds.
SYN_RETRY_SECONDS = 1.0


@dataclass
class Item:
    """A message of one incarnation of a host; the number is 0 before it was sent."""

    expires_at: float
    generation: int
    message: object
    number: int = 0


@dataclass
class Link:
    """The connection from one host to another and the messages that wait for it.

    Attributes
    ----------
    received : list of (float, Item)
        Messages that arrived and are not acknowledged yet, with the time of their arrival.
    silent : bool
        Whether the connection passes nothing any longer, without a reset.
    unacknowledged_since : float or None
        Time of the oldest transmission without an acknowledgement.
    connecting_since : float or None
        Time at which the attempt to connect in progress began.
    """

    source: str
    target: str
    is_open: bool = False
    silent: bool = False
    queue: deque = field(default_factory=deque)
    in_flight: list = field(default_factory=list)
    received: list = field(default_factory=list)
    last_number: int = 0
    unacknowledged_since: float | None = None
    retransmissions: int = 0
    connecting_since: float | None = None
    syns_sent: int = 0
    used_at: float = 0.0
    retry_at: float = 0.0
    backoff: float = network.MIN_BACKOFF_SECONDS


def close_link(link: Link, now: float) -> None:
    """Close the connection; messages that are not acknowledged are sent again on the next one."""
    link.is_open = link.silent = False
    unacknowledged = [item for _, item in link.received] + link.in_flight
    link.queue.extendleft(reversed(unacknowledged))
    link.received, link.in_flight = [], []
    link.unacknowledged_since = link.connecting_since = None
    link.retransmissions = 0
    link.retry_at = now + link.backoff
    link.backoff = min(2 * link.backoff, network.MAX_BACKOFF_SECONDS)


def pump_link(
    link: Link, now: float, passes_data: bool, passes_replies: bool, is_listening: bool
) -> list:
    """Advance a connection to `now` and return the messages that arrive.

    Parameters
    ----------
    passes_data, passes_replies : bool
        Whether packets pass from the source to the target, and in the other direction.
    is_listening : bool
        Whether a process at the target accepts connections.
    """
    if link.queue and any(item.expires_at < now for item in link.queue):
        link.queue = deque(item for item in link.queue if item.expires_at >= now)
    idle_since = now - network.IDLE_TIMEOUT_SECONDS
    if link.is_open and link.unacknowledged_since is None and link.used_at < idle_since:
        link.is_open = link.silent = False
    if link.queue:
        link.used_at = now
    if not link.is_open and not _connect(link, now, passes_data and passes_replies, is_listening):
        return []
    if passes_replies and not link.silent:
        acknowledged_until = now - ACKNOWLEDGEMENT_INTERVAL_SECONDS
        link.received = [entry for entry in link.received if entry[0] > acknowledged_until]
    arrived = _retransmit(link, now, passes_data, passes_replies)
    link.received += [(now, item) for item in arrived]
    waits_since = link.unacknowledged_since
    if waits_since is not None and now - waits_since >= ACKNOWLEDGEMENT_TIMEOUT_SECONDS:
        close_link(link, now)
        return arrived
    while link.queue:
        item = link.queue.popleft()
        if not item.number:
            link.last_number += 1
            item.number = link.last_number
        if link.silent or not passes_data:
            link.in_flight.append(item)
        elif link.in_flight:
            # Packets arrive in order, after those that are retransmitted.
            link.in_flight.append(item)
        else:
            arrived.append(item)
            link.received.append((now, item))
        if (link.silent or not passes_data or not passes_replies) and waits_since is None:
            waits_since = link.unacknowledged_since = now
    return arrived


def _connect(link: Link, now: float, passes: bool, is_listening: bool) -> bool:
    if not link.queue or now < link.retry_at:
        return False
    if link.connecting_since is None:
        link.connecting_since, link.syns_sent = now, 0
    waited = now - link.connecting_since
    if waited >= network.HANDSHAKE_TIMEOUT_SECONDS:
        close_link(link, now)
        return False
    if waited < link.syns_sent * SYN_RETRY_SECONDS:
        return False
    link.syns_sent += 1
    if not passes:
        return False
    if not is_listening:
        close_link(link, now)
        return False
    link.is_open, link.silent, link.connecting_since = True, False, None
    link.backoff = network.MIN_BACKOFF_SECONDS
    return True


def _retransmit(link: Link, now: float, passes_data: bool, passes_replies: bool) -> list:
    if link.unacknowledged_since is None:
        return []
    waited = now - link.unacknowledged_since
    sent = sum(at <= waited for at in RETRANSMISSIONS)
    is_sent_now, link.retransmissions = sent > link.retransmissions, sent
    if not is_sent_now or link.silent or not passes_data:
        return []
    arrived, link.in_flight = link.in_flight, []
    if passes_replies:
        link.unacknowledged_since, link.retransmissions = None, 0
    return arrived
