"""Decide whether an engine can help with the prefill of a prompt.

The load pattern is a burst of long prompts, each split over up to 17 engines. An engine that helps
with as many prompts as it has slots, or that has ended, declines, and one decline uses up one of
the few endpoints that a request may try. So the hosts count the prompts that each engine helps
with, and ask an engine that declined only after a time.

The time doubles if the engine declines again, or if declines of two hosts overlap. Only the times
of a host's own declines are reported. If combined times were reported, hosts would extend one
another's without a further decline.
"""

import math

from marjorambridge.conf import defaults
from marjorambridge.forwarding.state import OTHER_HOSTS_TOTAL, OWN_HOST, Decline, Endpoint


def can_help(endpoint: Endpoint, now: float) -> bool:
    """Return whether an engine can be asked to help with a prompt, or be given a long one.

    Whether it takes requests at all is decided by `marjorambridge.forwarding.placement.is_usable`.
    """
    if count_helps(endpoint) >= endpoint.slots:
        return False
    return now >= endpoint.declined_until


def count_helps(endpoint: Endpoint) -> int:
    """Return the number of prompts of all hosts that an engine helps with."""
    return endpoint.load.helps + sum(load.helps for load in endpoint.other_loads.values())


def record_decline(endpoint: Endpoint, now: float) -> float:
    """Record that an engine declined a request of this host.

    The time of the previous decline is doubled until as much time has passed after its end.
    Otherwise an engine that declines for long would be asked again at a constant rate.

    Returns
    -------
    float
        Seconds for which the engine is not asked to help.
    """
    previous = endpoint.declines.get(OWN_HOST)
    seconds = defaults.FIRST_DECLINE_SECONDS
    if previous is not None:
        previous_seconds = previous.until - previous.since
        if now < previous.until + previous_seconds:
            seconds = _double(previous_seconds)
    endpoint.declines[OWN_HOST] = Decline(now, now + seconds)
    _update_declined_until(endpoint)
    return endpoint.declined_until - now


def apply_reported_decline(endpoint: Endpoint, host: str, seconds: float, now: float) -> None:
    """Apply the report of another host that an engine declined.

    A repeated report extends the time at most by its own delay, and does not count as a further
    decline.

    Parameters
    ----------
    host : str
        Host, or key of a total of several hosts.
    seconds : float
        Remaining time for which the engine should not be asked to help.
    """
    if seconds <= 0:
        return
    until = now + min(seconds, defaults.MAX_DECLINE_SECONDS)
    previous = endpoint.declines.get(host)
    if previous is not None and now < previous.until:
        previous.until = max(previous.until, until)
    else:
        endpoint.declines[host] = Decline(now, until)
    _update_declined_until(endpoint)


def _update_declined_until(endpoint: Endpoint) -> None:
    """Store until when an engine is not asked, which each decision reads for up to 200 engines.

    The report under `OTHER_HOSTS_TOTAL` doubles nothing, because it also covers the declines of
    this host.
    """
    endpoint.declined_until = combine_declines(endpoint)
    total = endpoint.declines.get(OTHER_HOSTS_TOTAL)
    if total is not None:
        endpoint.declined_until = max(endpoint.declined_until, total.until)


def combine_declines(endpoint: Endpoint, without_prefix: str = "") -> float:
    """Return until when the declines of this host and of single other hosts and zones last.

    A decline that overlaps an earlier one of another host lasts twice as long. The reports of names
    with the given prefix are excluded.

    Returns
    -------
    float
        Monotonic time in seconds; negative infinity without a decline.
    """
    declines = [
        decline
        for host, decline in endpoint.declines.items()
        if host != OTHER_HOSTS_TOTAL and not (without_prefix and host.startswith(without_prefix))
    ]
    until = -math.inf
    for decline in sorted(declines, key=lambda decline: decline.since):
        overlaps = decline.since < until
        until = max(until, decline.until)
        if overlaps:
            until = max(until, decline.since + _double(decline.until - decline.since))
    return until


def get_own_declined_until(endpoint: Endpoint) -> float:
    """Return until when the last decline of a request of this host lasts."""
    own = endpoint.declines.get(OWN_HOST)
    return own.until if own is not None else -math.inf


def _double(seconds: float) -> float:
    return min(2 * seconds, defaults.MAX_DECLINE_SECONDS)


def drop_old_declines(endpoint: Endpoint, now: float) -> None:
    """Drop declines that can no longer double the time of another one."""
    for host, decline in list(endpoint.declines.items()):
        if now >= decline.until + defaults.MAX_DECLINE_SECONDS:
            del endpoint.declines[host]
