"""Merge reports of endpoints, in whatever order they come."""

from msgspec import Struct, field

from marjorambridge.discovery.models import EndpointReport, KnownEndpoint

# Reports that may be missed in a row before an endpoint counts as silent.
MAX_MISSED_REPORTS = 4
# Silent endpoints are forgotten after this time in seconds; no restart or partition that the
# platform promises to mend lasts longer.
REMOVAL_SECONDS = 30.0
# A remaining cold time that differs by less, in seconds, is the same one measured twice.
COLD_TOLERANCE_SECONDS = 0.5


class EndpointTable(Struct):
    """Hold the endpoints that a replica knows.

    Attributes
    ----------
    report_interval_seconds : float
        Time between two reports of an endpoint.
    revision : int
        Increases with each change that hosts must learn.
    removed : dict of str to int
        Revision at which an endpoint was removed.
    """

    report_interval_seconds: float
    revision: int = 0
    endpoints: dict[str, KnownEndpoint] = field(default_factory=dict)
    removed: dict[str, int] = field(default_factory=dict)


def is_newer(report: EndpointReport, known: EndpointReport) -> bool:
    """Return whether a report was made after another one of the same endpoint."""
    return (report.born, report.sequence) > (known.born, known.sequence)


def merge_report(table: EndpointTable, report: EndpointReport, age: float, now: float) -> bool:
    """Take a report into account and return whether hosts must learn of a change.

    A report that comes after a later one, or from an earlier owner of the address, changes nothing.

    Parameters
    ----------
    age : float
        Seconds since the endpoint sent the report, as far as known.
    """
    known = table.endpoints.get(report.endpoint)
    cold_until = now - age + report.cold_seconds
    if known is None:
        if any(
            other.report.address == report.address and other.report.born > report.born
            for other in table.endpoints.values()
        ):
            return False
        table.endpoints[report.endpoint] = KnownEndpoint(report, now - age, cold_until)
        table.removed.pop(report.endpoint, None)
        _drop_previous_owners(table, report)
        return _mark_changed(table, report.endpoint)
    if not is_newer(report, known.report):
        return False
    previous = known.report
    if previous.leaving and previous.born == report.born:
        report.leaving = True
    changed = (
        known.silent
        or previous.born != report.born
        or previous.address != report.address
        or previous.service != report.service
        or previous.zone != report.zone
        or previous.leaving != report.leaving
        or previous.slots != report.slots
        or abs(max(cold_until, now) - max(known.cold_until, now)) > COLD_TOLERANCE_SECONDS
    )
    known.report, known.last_report_at, known.cold_until = report, now - age, cold_until
    known.silent = False
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
    """Note that another replica heard from an endpoint; return whether it was silent until now."""
    known = table.endpoints.get(endpoint)
    if known is None or known.report.born != born:
        return False
    known.last_report_at = max(known.last_report_at, now - age)
    if known.silent and now - known.last_report_at < compute_report_timeout(table):
        known.silent = False
        return _mark_changed(table, endpoint)
    return False


def compute_report_timeout(table: EndpointTable) -> float:
    """Return the time in seconds without a report after which an endpoint counts as silent."""
    return MAX_MISSED_REPORTS * table.report_interval_seconds


def retire_endpoint(table: EndpointTable, endpoint: str, born: int) -> bool:
    """Mark an incarnation as leaving and return whether that is a change."""
    known = table.endpoints.get(endpoint)
    if known is None or known.report.born > born or known.report.leaving:
        return False
    known.report.leaving = True
    return _mark_changed(table, endpoint)


def remove_endpoint(table: EndpointTable, endpoint: str) -> None:
    """Forget an endpoint that is gone."""
    if table.endpoints.pop(endpoint, None) is not None:
        table.revision += 1
        table.removed[endpoint] = table.revision


def expire_endpoints(table: EndpointTable, now: float) -> bool:
    """Mark silent endpoints, forget those that were silent for long, and return any change."""
    changed = False
    for name, known in list(table.endpoints.items()):
        silence = now - known.last_report_at
        if silence > REMOVAL_SECONDS:
            remove_endpoint(table, name)
            changed = True
        elif not known.silent and silence > compute_report_timeout(table):
            known.silent = True
            changed = _mark_changed(table, name)
    return changed
