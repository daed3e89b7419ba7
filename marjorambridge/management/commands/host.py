"""List the hosts of the fleet."""

import typer

from marjorambridge.http.reports import HostReport
from marjorambridge.management.client import fetch_host_reports
from marjorambridge.management.exceptions import UnavailableError
from marjorambridge.management.options import JsonOption, open_client
from marjorambridge.management.output import format_table, print_diagnostic, print_json
from marjorambridge.management.waiting import merge_host_entries

application = typer.Typer(no_args_is_help=True, help="Hosts of the fleet.")


@application.command("list")
def list_hosts(context: typer.Context, as_json: JsonOption = False) -> None:
    """List the hosts of the view with the version and the log index that each has applied.

    Versions and freshness are known of the hosts among the given addresses, indexes and polls of
    all hosts if a replica is among them.
    """
    reports, errors = fetch_host_reports(open_client(context))
    if not reports:
        raise UnavailableError("\n".join(errors.values()))
    for error in errors.values():
        print_diagnostic(f"warning: {error}")
    own: dict[tuple[str, int], HostReport] = {
        (report.host, report.incarnation): report for report in reports.values()
    }
    entries = []
    for entry in merge_host_entries(reports.values()):
        report = own.get((entry.host, entry.incarnation))
        entries.append(
            {
                "host": entry.host,
                "zone": entry.zone,
                "region": entry.region,
                "state": entry.state,
                "incarnation": entry.incarnation,
                "address": entry.address,
                "version": report.version if report else None,
                "applied_index": entry.applied_index,
                "last_poll_seconds": entry.last_poll_seconds,
                "fresh": report.fresh if report else None,
                "replica": report.replica if report else None,
            }
        )
    if as_json:
        print_json(entries)
        return
    headers = (
        "host",
        "availability zone",
        "region",
        "state",
        "incarnation",
        "address",
        "version",
        "index",
        "last poll (s)",
        "fresh",
        "replica",
    )
    typer.echo(format_table(headers, [tuple(entry.values()) for entry in entries]))
