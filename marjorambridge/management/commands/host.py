"""List the hosts of the fleet."""

import typer

from marjorambridge.http.reports import HostReport
from marjorambridge.management.client import fetch_all
from marjorambridge.management.exceptions import UnavailableError
from marjorambridge.management.options import JsonOption, open_client
from marjorambridge.management.output import format_table, print_json, print_note
from marjorambridge.management.waiting import select_view

application = typer.Typer(no_args_is_help=True, help="Hosts of the fleet.")


@application.command("list")
def list_hosts(context: typer.Context, as_json: JsonOption = False) -> None:
    """List the hosts of the view with the version and the log index that each has applied.

    Versions and freshness are known of the hosts among the given addresses, indexes and polls of
    all hosts if a replica is among them.
    """
    reports, errors = fetch_all(open_client(context))
    if not reports:
        raise UnavailableError("\n".join(errors.values()))
    for error in errors.values():
        print_note(f"warning: {error}")
    own: dict[tuple[str, int], HostReport] = {
        (report.host, report.incarnation): report for report in reports.values()
    }
    lines = []
    for line in select_view(reports.values()):
        report = own.get((line.host, line.incarnation))
        lines.append(
            {
                "host": line.host,
                "zone": line.zone,
                "region": line.region,
                "state": line.state,
                "incarnation": line.incarnation,
                "address": line.address,
                "version": report.version if report else None,
                "applied_index": line.applied_index,
                "last_poll_seconds": line.last_poll_seconds,
                "fresh": report.fresh if report else None,
                "replica": report.replica if report else None,
            }
        )
    if as_json:
        print_json(lines)
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
    typer.echo(format_table(headers, [tuple(line.values()) for line in lines]))
