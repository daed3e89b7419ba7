"""Evidence on whether this host can reach endpoints at all.

A host may be partitioned from all endpoints while callers and other hosts still reach it. Endpoints
that fail look the same, so one connection that succeeds is the proof of contact: until then,
failures may be this host's own. After failures of several endpoints without a success, a few trial
connections to endpoints of all services decide. Only connections that were opened anew count,
because those opened before a partition may live on.
"""

import math

from msgspec import Struct, field

from marjorambridge.conf import defaults


class Contact(Struct):
    """Store what the last connections say about the contact of this host to endpoints.

    Attributes
    ----------
    failed : dict of str to float
        Endpoints that failed since the last connection that succeeded, with the monotonic time in
        seconds of their first such failure.
    lost_at : float
        Monotonic time in seconds of the first failure of a loss of contact; infinite while there is
        contact.
    next_trial_at : float
        Monotonic time in seconds at which the next trial connections are due at the earliest.
    tried : int
        Number of endpoints that were tried, for the order of the next trials.
    has_connected : bool
        Whether a connection was opened since the last trial connections were planned.
    """

    failed: dict[str, float] = field(default_factory=dict)
    lost_at: float = math.inf
    next_trial_at: float = -math.inf
    tried: int = 0
    has_connected: bool = False


def is_lost(contact: Contact) -> bool:
    """Return whether this host reaches no endpoint."""
    return contact.lost_at < math.inf


def record_failed(contact: Contact, endpoint: str, now: float) -> None:
    """Record that an endpoint failed, or that no connection to it could be opened."""
    contact.failed.setdefault(endpoint, now)


def record_connected(contact: Contact) -> list[str]:
    """Record that a connection was opened; return the endpoints whose failures are confirmed."""
    confirmed = list(contact.failed)
    contact.failed.clear()
    contact.has_connected = True
    contact.lost_at = math.inf
    return confirmed


def is_in_doubt(contact: Contact, endpoint: str) -> bool:
    """Return whether the failure of an endpoint may be that of this host's links.

    It may be if other endpoints failed, too, and no connection was opened since.
    """
    return is_lost(contact) or any(name != endpoint for name in contact.failed)


def needs_trial(contact: Contact, endpoints: int, now: float) -> bool:
    """Return whether trial connections are due; `endpoints` is the number of all endpoints."""
    if now < contact.next_trial_at:
        return False
    enough = min(defaults.SUSPICIOUS_FAILED_ENDPOINTS, endpoints)
    return is_lost(contact) or len(contact.failed) >= enough


def plan_trial(contact: Contact, services: dict[str, list[str]], now: float) -> list[str]:
    """Return the endpoints for trial connections, of as many services as possible.

    Parameters
    ----------
    services : dict of str to list of str
        Names of the endpoints of each service.

    Examples
    --------
    >>> plan_trial(Contact(tried=1), {"a": ["a1", "a2", "a3"], "b": ["b1"], "c": []}, 0.0)
    ['a2', 'b1', 'a3', 'a1']
    """
    contact.next_trial_at = now + defaults.CONTACT_TRIAL_INTERVAL_SECONDS
    contact.has_connected = False
    queues = []
    for names in services.values():
        first = contact.tried % len(names) if names else 0
        queues.append([*names[first:], *names[:first]])
    planned: list[str] = []
    for position in range(max(map(len, queues), default=0)):
        planned += [queue[position] for queue in queues if position < len(queue)]
    planned = planned[: defaults.CONTACT_TRIAL_ENDPOINTS]
    contact.tried += max(1, len(planned) // max(1, len(queues)))
    return planned


def record_trial(contact: Contact, reached: bool, now: float) -> list[str]:
    """Record the result of trial connections; return the endpoints whose failures are confirmed.

    A connection that a request opened meanwhile counts like one of the trial.
    """
    if reached or contact.has_connected:
        return record_connected(contact)
    if not is_lost(contact):
        contact.lost_at = min(contact.failed.values(), default=now)
    return []
