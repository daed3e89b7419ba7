"""Loads of endpoints, by host.

Engines report their load late, and each host sends only few of the requests at an endpoint. So the
hosts exchange the loads that they cause, and each has the sum within milliseconds.
"""

import math
from collections.abc import Iterable

from marjorambridge.conf import defaults
from marjorambridge.forwarding.state import Endpoint, Load, Work

# Loads of a host that sent no report for this long are dropped; each host repeats its loads once a
# second.
LOAD_LIFETIME_SECONDS = 3.0


def _advance_prefills(load: Load, now: float) -> None:
    load.prefill_seconds = (
        max(0.0, load.prefill_seconds - (now - load.as_of)) if load.reads else 0.0
    )
    load.as_of = now


def sum_serial_prefills(
    loads: Iterable[Load], now: float, counted: Iterable[Load] | None = None
) -> float:
    """Return the outstanding prefill of loads of one endpoint, which works on one after the other.

    The load pattern is a burst of long prompts from many hosts at the same engines: if the load of
    each host fell by one second in a second, engines would look idle while prompts still wait.

    Parameters
    ----------
    counted : iterable of Load, optional
        Loads that are summed up, if not all.

    Examples
    --------
    >>> loads = [Load(reads=1, prefill_seconds=1.0), Load(reads=1, prefill_seconds=3.0)]
    >>> sum_serial_prefills(loads, 2.0), sum_serial_prefills(loads, 2.0, loads[:1])
    (2.0, 0.5)
    """
    outstanding = [load for load in loads if load.reads]
    total = sum(load.prefill_seconds for load in outstanding)
    if total <= 0:
        return 0.0
    return sum(
        load.prefill_seconds * max(0.0, 1.0 - (now - load.as_of) / total)
        for load in (outstanding if counted is None else counted)
        if load.reads
    )


def advance_prefills(endpoint: Endpoint, now: float) -> None:
    """Update what is left of the prefills of this host at an endpoint of a planned service."""
    if endpoint.is_planned:
        loads = (endpoint.load, *endpoint.other_loads.values())
        own = (endpoint.load,)
        endpoint.load.prefill_seconds = sum_serial_prefills(loads, now, own)
        endpoint.load.as_of = now


def add_request(load: Load, kv_tokens: int, pause_seconds: float) -> None:
    """Add a request that tolerates pauses of up to `pause_seconds`."""
    load.requests += 1
    load.pause_limits.append(pause_seconds)
    load.kv_tokens += kv_tokens


def add_prefill(load: Load, prefill_seconds: float, now: float, is_help: bool = False) -> None:
    """Add the prefill of a prompt or of a prefill shard.

    Parameters
    ----------
    is_help : bool
        Whether the request of the prompt is at another endpoint.
    """
    _advance_prefills(load, now)
    load.reads += 1
    load.helps += is_help
    load.prefill_seconds += prefill_seconds


def finish_prefill(load: Load, now: float, is_help: bool = False) -> None:
    """Remove a prefill that is complete, because the first event was received."""
    _advance_prefills(load, now)
    load.helps = max(0, load.helps - is_help)
    load.reads = max(0, load.reads - 1)
    if load.reads == 0:
        load.prefill_seconds = 0.0


def remove_request(load: Load, kv_tokens: int, pause_seconds: float) -> None:
    """Remove a request that ended."""
    load.requests = max(0, load.requests - 1)
    load.pause_limits.remove(pause_seconds)
    load.kv_tokens = max(0, load.kv_tokens - kv_tokens)


def add_work(load: Load, seconds: float, started_at: float) -> Work:
    """Add the expected work of a request; an infinite `started_at` means that it has not begun."""
    work = Work(seconds, started_at)
    load.works.append(work)
    return work


def compute_remaining_work(load: Load, now: float) -> float:
    """Return the seconds of work that the requests of a load still need.

    A request that takes longer than expected keeps a share of its work: an endpoint that does not
    get on would otherwise look idle.
    """
    ratio = defaults.OVERDUE_WORK_RATIO
    total = max(
        ratio * load.write_seconds,
        load.write_seconds - load.requests * max(0.0, now - load.as_of),
    )
    for work in load.works:
        elapsed = max(0.0, now - work.started_at)
        total += max(ratio * work.seconds, work.seconds - elapsed)
    return total


def compute_outstanding_work(endpoint: Endpoint, unknown_seconds: float, now: float) -> float:
    """Return the seconds of work that the requests of all hosts at an endpoint still need.

    Parameters
    ----------
    unknown_seconds : float
        Work of each request of a host of an earlier build, which reports none.
    """
    total = 0.0
    for load in (endpoint.load, *endpoint.other_loads.values()):
        remaining = compute_remaining_work(load, now)
        total += remaining if remaining > 0 else load.requests * unknown_seconds
    return total


def compute_remaining_prefill_seconds(endpoint: Endpoint, now: float) -> float:
    """Return the seconds of outstanding prefill of all hosts at an endpoint."""
    loads = (endpoint.load, *endpoint.other_loads.values())
    if endpoint.is_planned:
        # A shard that takes longer than expected still occupies the endpoint.
        overdue = defaults.OVERDUE_SHARD_SECONDS * sum(load.helps for load in loads)
        return max(overdue, sum_serial_prefills(loads, now))
    total = 0.0
    for load in loads:
        if load.reads:
            total += max(0.0, load.prefill_seconds - (now - load.as_of))
    return total


def count_requests(endpoint: Endpoint) -> int:
    """Return the number of requests of all hosts at an endpoint."""
    return endpoint.load.requests + sum(load.requests for load in endpoint.other_loads.values())


def compute_pause_limit(endpoint: Endpoint) -> float:
    """Return the longest pause in seconds that all requests at an endpoint tolerate."""
    loads = (endpoint.load, *endpoint.other_loads.values())
    return min((pause for load in loads for pause in load.pause_limits), default=math.inf)


def count_kv_tokens(endpoint: Endpoint) -> int:
    """Return the memory in tokens that the requests of all hosts need."""
    return endpoint.load.kv_tokens + sum(load.kv_tokens for load in endpoint.other_loads.values())


def set_other_load(endpoint: Endpoint, host: str, load: Load) -> None:
    """Replace the load of another host at an endpoint."""
    if load.as_of > endpoint.load.as_of:
        # Until now, the prefills of this host went on beside the previous loads.
        advance_prefills(endpoint, load.as_of)
    previous = endpoint.other_loads.get(host)
    if load.reads or (previous is not None and previous.reads):
        endpoint.costs.prefill_seen_at = load.as_of
    if load.requests or load.reads:
        endpoint.other_loads[host] = load
    else:
        endpoint.other_loads.pop(host, None)


def drop_old_loads(endpoint: Endpoint, now: float) -> None:
    """Drop the loads of hosts that no longer report."""
    for host, load in list(endpoint.other_loads.items()):
        if now - load.as_of > LOAD_LIFETIME_SECONDS:
            del endpoint.other_loads[host]
