"""Exchange of the slowdowns of endpoints between hosts.

The load pattern is a fleet in which each host sends few requests to each endpoint: a slow one is
noticed in time only if the hosts share what they observe.
"""

from marjorambridge.conf import defaults
from marjorambridge.forwarding.aggregation import ZONE_TOTAL_PREFIX
from marjorambridge.forwarding.state import OTHER_HOSTS_TOTAL, Endpoint, ForwardingState
from marjorambridge.scheduling.estimates import (
    apply_reported_slowdown,
    combine_slowdown,
    get_own_slowdown,
    may_report_slowdown,
)


def list_reportable_slowdowns(
    state: ForwardingState, endpoints: list[Endpoint], now: float
) -> dict[str, float]:
    """Return the slowdowns that this host reports to the other hosts, by endpoint.

    If more than half of the endpoints that this host observes at a service are slow, this host is
    the likelier cause, and nothing is reported for the service.
    """
    reportable: dict[str, float] = {}
    trusted: dict[str, bool] = {}
    for endpoint in endpoints:
        if not is_slowdown_reported(state, endpoint, now):
            continue
        if endpoint.service not in trusted:
            trusted[endpoint.service] = _is_trusted(state, endpoint.service, now)
        own = get_own_slowdown(endpoint.costs, now)
        if trusted[endpoint.service] and own is not None:
            reportable[endpoint.name] = own
    return reportable


def is_slowdown_reported(state: ForwardingState, endpoint: Endpoint, now: float) -> bool:
    """Return whether the slowdown of an endpoint is worth a report."""
    return endpoint.service in state.planned and may_report_slowdown(endpoint.costs, now)


def _is_trusted(state: ForwardingState, service: str, now: float) -> bool:
    endpoints = state.by_service.get(service, {}).values()
    observed = [get_own_slowdown(endpoint.costs, now) for endpoint in endpoints]
    known = [value for value in observed if value is not None]
    slow = sum(value >= defaults.SLOWDOWN_THRESHOLD for value in known)
    return slow <= max(1.0, defaults.REPORTED_ENDPOINTS_RATIO * len(known))


def apply_slowdown_report(endpoint: Endpoint, name: str, percent: int | None, now: float) -> None:
    """Apply the slowdown that a host, or a total of hosts or of a zone, reports."""
    is_total = name == OTHER_HOSTS_TOTAL or name.startswith(ZONE_TOTAL_PREFIX)
    votes = defaults.TOTAL_SLOWDOWN_VOTES if is_total else 1
    apply_reported_slowdown(endpoint.costs, name, percent, votes, now)


def compute_total_slowdown(
    endpoint: Endpoint, now: float, only_this_zone: bool = False
) -> float | None:
    """Return the slowdown that an aggregating host reports for all hosts, or for those of its zone.

    The prior is one vote and this host's own value another one, so that it takes two hosts. None
    is returned for an endpoint that is not slow.
    """

    def skips(name: str) -> bool:
        return name == OTHER_HOSTS_TOTAL or (only_this_zone and name.startswith(ZONE_TOTAL_PREFIX))

    slowdown = combine_slowdown(endpoint.costs, now, own_votes=1, skips=skips)
    return slowdown if slowdown >= defaults.SLOWDOWN_THRESHOLD else None
