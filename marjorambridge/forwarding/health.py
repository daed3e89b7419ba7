"""Health of endpoints, derived from the outcomes of requests.

Liveness probes may be wrong in either direction and cause load; outcomes cost nothing. An endpoint
that resets each connection immediately always has a low load, so that all hosts would choose it.
Because each host sends few requests, the hosts detect it in time only by failure reports.
"""

from marjorambridge.conf import defaults
from marjorambridge.forwarding.state import (
    OTHER_HOSTS_TOTAL,
    Endpoint,
    FailureReport,
    ForwardingState,
)


def record_success(endpoint: Endpoint, began_at: float) -> None:
    """Clear the failures of an endpoint unless it failed after the attempt began.

    A success at this host overrides older reports of other hosts, because an endpoint may fail for
    some hosts only.
    """
    if began_at < endpoint.failed_at:
        return
    endpoint.failures = 0
    endpoint.avoid_until = 0.0
    endpoint.reports.clear()


def record_failure(endpoint: Endpoint, began_at: float, now: float) -> float:
    """Avoid an endpoint after a failure and return for how many seconds.

    The time doubles with each failure. Attempts that were running when the endpoint failed count as
    the same failure.
    """
    if began_at < endpoint.failed_at and now < endpoint.avoid_until:
        return endpoint.avoid_until - now
    if now - endpoint.failed_at > defaults.FAILURE_EXPIRY_SECONDS:
        endpoint.failures = 0
    drop_old_reports(endpoint, now)
    earlier = [report for report in endpoint.reports.values() if report.received_at <= began_at]
    reported = max((report.failures for report in earlier), default=0)
    endpoint.failures = max(endpoint.failures, reported) + 1
    endpoint.failed_at = now
    steps = min(endpoint.failures - 1, defaults.MAX_BACKOFF_STEPS)
    seconds = min(defaults.FIRST_AVOID_SECONDS * 2**steps, defaults.MAX_AVOID_SECONDS)
    endpoint.avoid_until = now + seconds
    return seconds


def record_rejection(endpoint: Endpoint, now: float) -> float:
    """Avoid an endpoint briefly after it rejected a request, and return for how many seconds.

    Its load is higher than the loads that this host received, or it rejects each request
    immediately, so that its load would appear to be low.
    """
    endpoint.failed_at = now
    endpoint.avoid_until = max(endpoint.avoid_until, now + defaults.REJECTION_AVOID_SECONDS)
    return endpoint.avoid_until - now


def mark_replaced(endpoint: Endpoint, now: float) -> None:
    """Send nothing to an endpoint for a while, after another one answered at its address.

    An endpoint that has ended is removed within that time, because its reports have stopped.
    """
    endpoint.replaced_until = now + defaults.REPLACED_SECONDS


def is_replaced(endpoint: Endpoint, now: float) -> bool:
    """Return whether another endpoint counts as having the address."""
    return now < endpoint.replaced_until


def clear_replaced(endpoint: Endpoint) -> None:
    """Use an endpoint again, because it was not the cause of an answer from its address."""
    endpoint.replaced_until = 0.0


def store_failure_report(endpoint: Endpoint, host: str, report: FailureReport, now: float) -> None:
    """Store the report that another host avoids an endpoint."""
    report.received_at = now
    report.avoid_until = min(report.avoid_until, now + defaults.MAX_AVOID_SECONDS)
    endpoint.reports[host] = report


def combine_reports(
    endpoint: Endpoint, now: float, without_prefix: str = ""
) -> FailureReport | None:
    """Return one report of all hosts that avoid an endpoint, or None if there is none.

    The report under `OTHER_HOSTS_TOTAL` is excluded, because it covers the same hosts, and so are
    those of names with the given prefix.
    """
    present = [
        report
        for host, report in endpoint.reports.items()
        if host != OTHER_HOSTS_TOTAL
        and now < report.avoid_until
        and not (without_prefix and host.startswith(without_prefix))
    ]
    if now < endpoint.avoid_until:
        present.append(FailureReport(endpoint.failures, endpoint.avoid_until))
    if not present:
        return None
    return FailureReport(
        max(report.failures for report in present),
        max(report.avoid_until for report in present),
        sum(report.hosts for report in present),
    )


def drop_old_reports(endpoint: Endpoint, now: float) -> None:
    """Drop reports that no longer count as recent failures."""
    for host, report in list(endpoint.reports.items()):
        if now - report.avoid_until > defaults.FAILURE_EXPIRY_SECONDS:
            del endpoint.reports[host]


def count_reporters(endpoint: Endpoint, now: float) -> int:
    """Return how many other hosts avoid an endpoint at present."""
    if not endpoint.reports:
        return 0
    return sum(report.hosts for report in endpoint.reports.values() if now < report.avoid_until)


def get_avoid_until(endpoint: Endpoint, now: float) -> float:
    """Return the time in monotonic seconds until which this host avoids an endpoint."""
    if not endpoint.reports:
        return endpoint.avoid_until
    reported = [
        report.avoid_until for report in endpoint.reports.values() if now < report.avoid_until
    ]
    if count_reporters(endpoint, now) < defaults.MIN_FAILURE_REPORTERS:
        return endpoint.avoid_until
    return max(endpoint.avoid_until, *reported)


def list_reportable_endpoints(state: ForwardingState, now: float) -> list[Endpoint]:
    """Return the endpoints whose failures this host reports to the other hosts.

    If more than half of a service's endpoints fail, the network of this host is the likelier cause,
    and nothing is reported for the service. The same holds for failures since which this host has
    reached no other endpoint.
    """
    reportable = []
    for endpoints in state.by_service.values():
        avoided = [endpoint for endpoint in endpoints.values() if now < endpoint.avoid_until]
        if len(avoided) <= defaults.REPORTED_ENDPOINTS_RATIO * len(endpoints):
            reportable += avoided
    return [endpoint for endpoint in reportable if endpoint.name not in state.contact.failed]


def clear_failures_since(state: ForwardingState, since: float) -> None:
    """Forget the failures after a moment, because they were those of this host's links."""
    for endpoint in state.endpoints.values():
        if endpoint.failed_at >= since:
            endpoint.failures = 0
            endpoint.avoid_until = 0.0
