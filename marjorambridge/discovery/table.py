"""Merge the reports of endpoints, in any order of arrival."""

from msgspec import Struct, field

from marjorambridge.discovery.models import EndpointReport, KnownEndpoint

# Consecutive reports that may be missing before an endpoint counts as unresponsive.
MAX_MISSED_REPORTS = 4
# Endpoints are removed after this time in seconds without a report. Restarts and partitions from
# which the platform guarantees to recover are shorter.
REMOVAL_SECONDS = 30.0
# Smaller differences of the remaining cold time, in seconds, are measurement error and no change.
COLD_TOLERANCE_SECONDS = 0.5


class EndpointTable(Struct):
    """Store the endpoints of which a replica has reports.

    Attributes
    ----------
    report_interval_seconds : float
        Time between two reports of an endpoint.
    revision : int
        Increases with each change that must be sent to hosts.
    removed : dict of str to int
        Revision in which an endpoint was removed.
    """

    report_interval_seconds: float
    revision: int = 0
    endpoints: dict[str, KnownEndpoint] = field(default_factory=dict)
    removed: dict[str, int] = field(default_factory=dict)


def is_newer(report: EndpointReport, other: EndpointReport) -> bool:
    """Return whether a report is newer than another one of the same endpoint."""
    return (report.born, report.sequence) > (other.born, other.sequence)


def merge_report(table: EndpointTable, report: EndpointReport, age: float, now: float) -> bool:
    """Merge a report and return whether it changes what hosts must be sent.

    A report that is older than the stored one, or from a previous owner of the address, is ignored.

    Parameters
    ----------
    age : float
        Estimated seconds since the endpoint sent the report.
    """
    entry = table.endpoints.get(report.endpoint)
    cold_until = now - age + report.cold_seconds
    if entry is None:
        if any(
            other.report.address == report.address and other.report.born > report.born
            for other in table.endpoints.values()
        ):
            return False
        table.endpoints[report.endpoint] = KnownEndpoint(report, now - age, cold_until)
        table.removed.pop(report.endpoint, None)
        _drop_previous_owners(table, report)
        return _mark_changed(table, report.endpoint)
    if not is_newer(report, entry.report):
        return False
    previous = entry.report
    if previous.leaving and previous.born == report.born:
        report.leaving = True
    changed = (
        entry.silent
        or previous.born != report.born
        or previous.address != report.address
        or previous.service != report.service
        or previous.zone != report.zone
        or previous.leaving != report.leaving
        or previous.slots != report.slots
        or abs(max(cold_until, now) - max(entry.cold_until, now)) > COLD_TOLERANCE_SECONDS
    )
    entry.report, entry.last_report_at, entry.cold_until = report, now - age, cold_until
    entry.silent = False
    if changed:
        _drop_previous_owners(table, report)
        _mark_changed(table, report.endpoint)
    return changed


def _drop_previous_owners(table: EndpointTable, report: EndpointReport) -> None:
    outdated = [
        name
        for name, other in table.endpoints.items()
        if name != report.endpoint
        and other.report.address == report.address
        and other.report.born <= report.born
    ]
    for name in outdated:
        remove_endpoint(table, name)


def _mark_changed(table: EndpointTable, endpoint: str) -> bool:
    table.revision += 1
    table.endpoints[endpoint].revision = table.revision
    return True


def confirm_endpoint(
    table: EndpointTable, endpoint: str, born: int, age: float, now: float
) -> bool:
    """Record a report to another replica; return whether it ends an unresponsive state."""
    entry = table.endpoints.get(endpoint)
    if entry is None or entry.report.born != born:
        return False
    entry.last_report_at = max(entry.last_report_at, now - age)
    if entry.silent and now - entry.last_report_at < compute_report_timeout(table):
        entry.silent = False
        return _mark_changed(table, endpoint)
    return False


def compute_report_timeout(table: EndpointTable) -> float:
    """Return the time in seconds without a report after which an endpoint is unresponsive."""
    return MAX_MISSED_REPORTS * table.report_interval_seconds


def retire_endpoint(table: EndpointTable, endpoint: str, born: int) -> bool:
    """Mark an incarnation as leaving and return whether it was not marked before."""
    entry = table.endpoints.get(endpoint)
    if entry is None or entry.report.born > born or entry.report.leaving:
        return False
    entry.report.leaving = True
    return _mark_changed(table, endpoint)


def remove_endpoint(table: EndpointTable, endpoint: str) -> None:
    """Remove an endpoint and record the revision of the removal."""
    if table.endpoints.pop(endpoint, None) is not None:
        table.revision += 1
        table.removed[endpoint] = table.revision


def expire_endpoints(table: EndpointTable, now: float) -> bool:
    """Mark unresponsive endpoints, later remove them, and return whether any changed."""
    changed = False
    for name, entry in list(table.endpoints.items()):
        elapsed = now - entry.last_report_at
        if elapsed > REMOVAL_SECONDS:
            remove_endpoint(table, name)
            changed = True
        elif not entry.silent and elapsed > compute_report_timeout(table):
            entry.silent = True
            changed = _mark_changed(table, name)
    return changed
