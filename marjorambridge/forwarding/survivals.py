"""Find engines that did not crash, although a connection to them ended without an answer.

The load pattern is a service in trouble, whose engines end each connection for some seconds and go
on running. A request that is repeated meanwhile meets as many of them as one that crashes engines.
An engine that crashed accepts no connection until it has started again as another incarnation. So
an engine that accepts one and still reports did not crash.
"""

import math
from collections.abc import Iterable

from marjorambridge.conf import defaults
from marjorambridge.forwarding.crashes import (
    CrashHistory,
    Suspect,
    has_enough_evidence,
    hash_text,
    store_answer,
)
from marjorambridge.forwarding.state import Endpoint


def name_incarnation(endpoint: Endpoint) -> str:
    """Return the name of an engine that distinguishes its starts."""
    return f"{endpoint.name}/{endpoint.born}"


def record_survival(
    history: CrashHistory, endpoint: Endpoint, began_at: float, now: float
) -> list[int]:
    """Record that an engine accepted a connection, and return the causes this shows as innocent.

    Crashes before it no longer count. A cause that was blocked for them is treated as if a request
    with it had been answered.

    Parameters
    ----------
    began_at : float
        Monotonic time in seconds at which the attempt began.
    """
    if not history.crashed_at or endpoint.silent:
        return []
    incarnation = hash_text(name_incarnation(endpoint))
    # Connections that the engine accepted before it crashed may end a little later than others.
    latest = began_at - defaults.DISTINCT_CRASH_SECONDS
    if history.crashed_at.get(incarnation, math.inf) > latest:
        return []
    del history.crashed_at[incarnation]
    innocent = []
    for cause, suspect in list(history.suspects.items()):
        if suspect.crashes.pop(incarnation, None) is None:
            continue
        if math.isinf(suspect.blocked_at):
            if not suspect.crashes:
                del history.suspects[cause]
        elif not has_enough_evidence(history, cause):
            store_answer(history, cause, now)
            innocent.append(cause)
    return innocent


def list_unconfirmed(suspect: Suspect, endpoints: Iterable[Endpoint]) -> list[Endpoint]:
    """Return the engines that seemed to crash under a cause and still report."""
    return [
        endpoint
        for endpoint in endpoints
        if not endpoint.silent and hash_text(name_incarnation(endpoint)) in suspect.crashes
    ]


def start_check(suspect: Suspect, endpoints: Iterable[Endpoint], now: float) -> list[Endpoint]:
    """Return the engines to which a request with a blocked cause may be sent now.

    If one of them crashed indeed, the request doesn't reach it.
    """
    if now < get_next_check(suspect):
        return []
    unconfirmed = list_unconfirmed(suspect, endpoints)
    if unconfirmed:
        suspect.checked_at = now
    return unconfirmed


def get_next_check(suspect: Suspect) -> float:
    """Return the monotonic time in seconds from which a blocked cause may be checked."""
    return max(suspect.blocked_at, suspect.checked_at) + defaults.SURVIVAL_CHECK_SECONDS
