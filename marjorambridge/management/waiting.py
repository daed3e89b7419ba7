"""Wait until all live hosts have applied a version of the configuration."""

from collections.abc import Callable, Iterable

from msgspec import Struct

from marjorambridge.http.reports import HostEntryReport, HostReport

WAIT_TIMEOUT_SECONDS = 30.0
POLL_SECONDS = 0.2


class Progress(Struct):
    """Hosts that have applied a version, and hosts that have not.

    Attributes
    ----------
    required_index : int or None
        Log index that contains the version; None while no report has the version.
    done, waiting : tuple of str
        Hosts that have applied the index, and those that have not or whose index is unknown.
    """

    required_index: int | None = None
    done: tuple[str, ...] = ()
    waiting: tuple[str, ...] = ()


def is_in_force(progress: Progress) -> bool:
    """Return whether every live host has the version."""
    return progress.required_index is not None and bool(progress.done) and not progress.waiting


def merge_host_entries(reports: Iterable[HostReport]) -> tuple[HostEntryReport, ...]:
    """Return the hosts of the latest view with their highest applied index and lowest poll age."""
    items = list(reports)
    if not items:
        return ()
    latest = max(items, key=lambda report: report.view_index)
    merged = {(entry.host, entry.incarnation): entry for entry in latest.hosts}
    for report in items:
        entries = [*report.hosts, _make_own_entry(report)]
        for entry in entries:
            present = merged.get((entry.host, entry.incarnation))
            if present is None:
                continue
            merged[entry.host, entry.incarnation] = HostEntryReport(
                present.host,
                present.incarnation,
                present.address,
                present.zone,
                present.region,
                present.state,
                _reduce_known(max, present.applied_index, entry.applied_index),
                _reduce_known(min, present.last_poll_seconds, entry.last_poll_seconds),
            )
    return tuple(merged[key] for key in sorted(merged))


def _make_own_entry(report: HostReport) -> HostEntryReport:
    return HostEntryReport(
        report.host, report.incarnation, "", report.zone, report.region, "", report.applied_index
    )


def _reduce_known(function: Callable, *values: float | None) -> float | None:
    present = [value for value in values if value is not None]
    return function(present) if present else None


def compute_progress(
    reports: Iterable[HostReport], version: int, required_index: int | None = None
) -> Progress:
    """Return which hosts have applied a version.

    Later changes raise the index of the last change, so `required_index` keeps the lowest index
    that was reported with the version; otherwise frequent changes would prolong the wait.
    """
    items = list(reports)
    indexes = [item.configuration_index for item in items if item.version >= version]
    if required_index is not None:
        indexes.append(required_index)
    if not indexes:
        return Progress(None, (), tuple(entry.host for entry in merge_host_entries(items)))
    index = min(indexes)
    done, waiting = [], []
    for entry in merge_host_entries(items):
        applied = entry.applied_index
        (done if applied is not None and applied >= index else waiting).append(entry.host)
    return Progress(index, tuple(done), tuple(waiting))


def wait_in_force(
    read: Callable[[], Iterable[HostReport]],
    version: int,
    show: Callable[[Progress], None],
    clock: Callable[[], float],
    sleep: Callable[[float], None],
    timeout_seconds: float = WAIT_TIMEOUT_SECONDS,
) -> Progress:
    """Read reports until the version is in force on all live hosts or the timeout has passed."""
    deadline = clock() + timeout_seconds
    progress = Progress()
    while True:
        latest = compute_progress(read(), version, progress.required_index)
        if latest != progress:
            show(latest)
        progress = latest
        if is_in_force(progress) or clock() >= deadline:
            return progress
        sleep(POLL_SECONDS)
