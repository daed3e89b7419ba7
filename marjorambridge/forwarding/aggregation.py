"""Add up what the hosts of a large fleet report to the collecting hosts of each zone.

The load pattern is a burst on a fleet of many hosts: each request changes the load of an endpoint
three times. If every host heard each change of every other one, the datagrams would fill the links
just when placement needs them most; totals don't grow with the number of hosts. Bytes between zones
are dear, so that a host reports to its own zone only, and zones tell one another their totals.
"""

import math

from msgspec import Struct, field

from marjorambridge.forwarding.state import Endpoint, Load

# Each host repeats its loads once a second, so that all are known after this time in seconds.
AGGREGATION_WARMUP_SECONDS = 1.5
# A collection that heard nothing for this long, in seconds, begins anew; idle hosts report too.
REPORT_TIMEOUT_SECONDS = 1.5
# Names under which the totals of other zones stand beside the loads of single hosts.
ZONE_TOTAL_PREFIX = "zone/"


class LoadAggregation(Struct):
    """Hold what hosts reported to this one.

    Attributes
    ----------
    loads : dict of str to dict of str to Load
        Loads by endpoint and by host, this one included, and by other zone.
    changed : dict of str to None
        Endpoints whose total must be told to this zone, in order.
    changed_in_zone : dict of str to None
        Endpoints where the load of this zone's hosts must be told to the other zones, in order.
    since, last_report_at : float
        Monotonic times in seconds of the first report and of the last one.
    """

    loads: dict[str, dict[str, Load]] = field(default_factory=dict)
    changed: dict[str, None] = field(default_factory=dict)
    changed_in_zone: dict[str, None] = field(default_factory=dict)
    started_at: float = math.inf
    last_report_at: float = -math.inf


def record_contact(aggregation: LoadAggregation, now: float) -> None:
    """Note that a host reports to this one; after a silence the collection begins anew."""
    if now - aggregation.last_report_at > REPORT_TIMEOUT_SECONDS:
        aggregation.started_at = now
        aggregation.loads.clear()
    aggregation.last_report_at = now


def mark_changed(aggregation: LoadAggregation, host: str, endpoint: str) -> None:
    """Note that a host, or the total of a zone, told something new about an endpoint."""
    aggregation.changed[endpoint] = None
    if not host.startswith(ZONE_TOTAL_PREFIX):
        aggregation.changed_in_zone[endpoint] = None


def store_load(aggregation: LoadAggregation, host: str, endpoint: str, load: Load) -> None:
    """Take over the load of a host at an endpoint."""
    mark_changed(aggregation, host, endpoint)
    if load.requests or load.reads:
        aggregation.loads.setdefault(endpoint, {})[host] = load
    else:
        aggregation.loads.get(endpoint, {}).pop(host, None)


def is_complete(aggregation: LoadAggregation, now: float) -> bool:
    """Return whether all hosts have had the time to report here."""
    has_recent_report = now - aggregation.last_report_at <= REPORT_TIMEOUT_SECONDS
    return has_recent_report and now - aggregation.started_at >= AGGREGATION_WARMUP_SECONDS


def compute_total(
    aggregation: LoadAggregation,
    endpoint: str,
    now: float,
    without: str = "",
    only_this_zone: bool = False,
) -> Load:
    """Return the work of all hosts but `without`, or of those of this zone, at an endpoint."""
    total = Load(as_of=now)
    for host, load in aggregation.loads.get(endpoint, {}).items():
        if host == without or (only_this_zone and host.startswith(ZONE_TOTAL_PREFIX)):
            continue
        total.requests += load.requests
        total.kv_tokens += load.kv_tokens
        total.pause_limits += load.pause_limits
        if load.reads:
            total.reads += load.reads
            total.prefill_seconds += max(0.0, load.prefill_seconds - (now - load.as_of))
    return total


def subtract_own_load(endpoint: Endpoint, total: Load, now: float) -> Load:
    """Return the work of the other hosts, given the total of all."""
    own = endpoint.load
    others = Load(as_of=now, pause_limits=total.pause_limits)
    others.requests = max(0, total.requests - own.requests)
    others.kv_tokens = max(0, total.kv_tokens - own.kv_tokens)
    others.reads = max(0, total.reads - own.reads)
    if others.reads:
        remaining = max(0.0, own.prefill_seconds - (now - own.as_of)) if own.reads else 0.0
        others.prefill_seconds = max(0.0, total.prefill_seconds - remaining)
    return others


def drop_old_host_loads(aggregation: LoadAggregation, lifetime_seconds: float, now: float) -> None:
    """Forget hosts that fell silent, and have all totals told again."""
    for endpoint, loads in list(aggregation.loads.items()):
        for host, load in list(loads.items()):
            if now - load.as_of > lifetime_seconds:
                del loads[host]
                mark_changed(aggregation, host, endpoint)
        aggregation.changed[endpoint] = None
        if not loads:
            del aggregation.loads[endpoint]
