"""Find the problems of a fleet in the reports of its hosts."""

from collections.abc import Iterator, Mapping

from msgspec import Struct

from marjorambridge.configuration.models import Configuration, list_shards
from marjorambridge.core.view import HostEntry, HostState, View, compute_owner
from marjorambridge.http.reports import GroupReport, HostReport, ShardReport
from marjorambridge.management.waiting import merge_host_entries

# Two missed polls; a single one may still be in transit.
LATE_POLL_SECONDS = 1.2


class Finding(Struct):
    """One problem of the fleet, with its remedy.

    Attributes
    ----------
    subject : str
        Object that has the problem, such as ``host entry-1``.
    """

    subject: str
    problem: str
    remedy: str


def list_findings(
    reports: Mapping[str, HostReport],
    errors: Mapping[str, str],
    configuration: Configuration | None,
) -> list[Finding]:
    """Return the problems that the reports show.

    Parameters
    ----------
    reports : mapping of str to HostReport
        Reports by admin address.
    errors : mapping of str to str
        Error text of each address that returned no report.
    configuration : Configuration or None
        The latest available configuration; without it, shards and zones are not checked.
    """
    findings = [
        Finding(f"address {address}", reason, "check the host's process and its log")
        for address, reason in errors.items()
    ]
    items = list(reports.values())
    findings += _find_host_problems(items)
    findings += _find_view_problems(items)
    findings += _find_log_group_problems(items)
    if configuration is not None and items:
        findings += _find_zone_problems(configuration)
        findings += _find_shard_problems(configuration, items)
    return findings + list(_find_endpoint_problems(items))


def _find_host_problems(reports: list[HostReport]) -> Iterator[Finding]:
    for report in reports:
        subject = f"host {report.host}"
        if report.halted:
            yield Finding(subject, f"stopped: {report.halted}", "follow the text, then restart it")
        if not report.fresh:
            yield Finding(
                subject,
                "is not fresh: no majority of replicas confirms its configuration, so it refuses "
                "new work",
                "check the replicas and the network between them and this host",
            )
        if report.unheard_replicas:
            names = ", ".join(report.unheard_replicas)
            yield Finding(
                subject,
                f"gets no answer to its polls from replica {names}",
                "check the process of the replica and the network to it",
            )
        if report.shutting_down:
            yield Finding(
                subject, "is shutting down", "wait for its end, or start it again after it"
            )


def _find_view_problems(reports: list[HostReport]) -> Iterator[Finding]:
    entries = merge_host_entries(reports)
    reporting = {(report.host, report.incarnation) for report in reports}
    listed = {(entry.host, entry.incarnation) for entry in entries}
    newest = max((report.configuration_index for report in reports), default=0)
    for entry in entries:
        subject = f"host {entry.host}"
        if entry.applied_index is not None and entry.applied_index < newest:
            yield Finding(
                subject,
                f"lags: it has applied index {entry.applied_index}, and the configuration in force "
                f"is of index {newest}",
                "look again; if it persists, check its network and its log",
            )
        if entry.last_poll_seconds is not None and entry.last_poll_seconds > LATE_POLL_SECONDS:
            yield Finding(
                subject,
                f"has not polled for {entry.last_poll_seconds:.1f} s",
                "check its process and its network",
            )
        if (entry.host, entry.incarnation) not in reporting:
            yield Finding(
                subject,
                "was not asked, so its shards and its freshness are not known",
                "give its admin address with --address, and check its process",
            )
    for report in reports:
        if (report.host, report.incarnation) not in listed:
            yield Finding(
                f"host {report.host}",
                "is not in the view, so it owns no shards",
                "wait a few seconds; then check its network to the replicas and its clock",
            )


def _find_log_group_problems(reports: list[HostReport]) -> Iterator[Finding]:
    if reports and not any(report.log_groups for report in reports):
        yield Finding(
            "log groups",
            "no replica was asked, so they are not checked",
            "give the admin addresses of the replicas with --address",
        )
    groups: dict[int, list[GroupReport]] = {}
    for report in reports:
        for group in report.log_groups:
            groups.setdefault(group.group, []).append(group)
    for number, seen in sorted(groups.items()):
        # An isolated replica still reports the leader of an earlier term.
        term = max(group.term for group in seen)
        latest = [group for group in seen if group.term == term]
        if not any(group.leader for group in latest):
            yield Finding(
                f"log group {number}",
                "has no leader, so it accepts no entries",
                "wait 2 s; if it persists, start replicas until a majority runs",
            )
        pending = sorted({name for group in latest for name in group.pending})
        if pending:
            yield Finding(
                f"log group {number}",
                f"has replicas that do not vote yet: {', '.join(pending)}",
                "wait until the repair has ended before you stop another replica",
            )


def _find_zone_problems(configuration: Configuration) -> Iterator[Finding]:
    for zone in configuration.zones.values():
        if zone.out:
            yield Finding(
                f"availability zone {zone.name}",
                "is out of service",
                f"return it with: marjorambridge zone in {zone.name}",
            )


def _find_shard_problems(
    configuration: Configuration, reports: list[HostReport]
) -> Iterator[Finding]:
    latest = max(reports, key=lambda report: report.view_index)
    hosts = {
        entry.host: HostEntry(
            entry.host,
            entry.incarnation,
            entry.address,
            entry.zone,
            entry.region,
            HostState(entry.state),
        )
        for entry in latest.hosts
    }
    view = View(latest.view_index, hosts)
    by_host = {report.host: report for report in reports}
    for service in configuration.services.values():
        for shard in list_shards(configuration, service):
            region = configuration.zones[shard.zone].region
            owner = compute_owner(view, shard, region)
            if owner is None:
                yield Finding(
                    f"shard {shard}",
                    f"has no owner, because region {region} has no live host",
                    "start a host in the region",
                )
            elif owner in by_host:
                shards = {item.shard: item for item in by_host[owner].shards}
                yield from _find_owned_shard_problems(str(shard), owner, shards.get(str(shard)))


def _find_owned_shard_problems(
    name: str, owner: str, shard: ShardReport | None
) -> Iterator[Finding]:
    if shard is None:
        yield Finding(
            f"shard {name}",
            f"is not yet known to its owner {owner}",
            "look again; if it persists, check whether the owner lags",
        )
        return
    if not shard.granting:
        yield Finding(
            f"shard {name}",
            f"its owner {owner} does not grant permits, because it took the shard over or is not "
            "fresh",
            "wait 3 s; if it persists, check the owner",
        )
    if not any(not item.silent and not item.leaving for item in shard.endpoints):
        yield Finding(
            f"shard {name}",
            f"has no endpoint that takes work; its owner is {owner}",
            "start endpoints, and check that they announce the service, the availability zone and "
            "an address that hosts can reach",
        )


def _find_endpoint_problems(reports: list[HostReport]) -> Iterator[Finding]:
    for report in reports:
        for shard in report.shards:
            for item in shard.endpoints:
                subject = f"endpoint {item.endpoint}"
                if item.silent:
                    yield Finding(
                        subject,
                        f"of {shard.shard} has not announced itself for "
                        f"{item.last_seen_seconds:.0f} s",
                        "check the endpoint and its way to the load balancer",
                    )
                elif item.leaving:
                    yield Finding(
                        subject, f"of {shard.shard} is leaving", "none; it gets no new work"
                    )
                elif not item.warm:
                    yield Finding(
                        subject,
                        f"of {shard.shard} is cold and takes {item.limit} requests at a time",
                        "none; the limit rises with each success",
                    )
