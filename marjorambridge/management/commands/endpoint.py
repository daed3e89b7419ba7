"""List endpoints as the owners of their shards report them."""

from typing import Annotated

import typer

from marjorambridge.core.view import parse_shard_id
from marjorambridge.management.client import fetch_host_reports
from marjorambridge.management.exceptions import UnavailableError
from marjorambridge.management.options import JsonOption, open_client
from marjorambridge.management.output import format_table, print_diagnostic, print_json
from marjorambridge.management.waiting import merge_host_entries

application = typer.Typer(no_args_is_help=True, help="Endpoints that announced themselves.")


@application.command("list")
def list_endpoints(
    context: typer.Context,
    service: Annotated[str, typer.Option(help="Only endpoints of this service.")] = "",
    zone: Annotated[str, typer.Option(help="Only endpoints of this availability zone.")] = "",
    supplier: Annotated[str, typer.Option(help="Only endpoints of this supplier.")] = "",
    as_json: JsonOption = False,
) -> None:
    """List the endpoints of all shards whose owners are among the given addresses."""
    reports, errors = fetch_host_reports(open_client(context))
    if not reports:
        raise UnavailableError("\n".join(errors.values()))
    for error in errors.values():
        print_diagnostic(f"warning: {error}")
    reporting = {report.host for report in reports.values()}
    missing = [
        entry.host for entry in merge_host_entries(reports.values()) if entry.host not in reporting
    ]
    if missing:
        print_diagnostic(
            f"warning: shards of {', '.join(missing)} are not listed; give the admin addresses of "
            "these hosts too"
        )
    rows = []
    for report in reports.values():
        for shard in report.shards:
            identity = parse_shard_id(shard.shard)
            if service not in ("", identity.service) or zone not in ("", identity.zone):
                continue
            for item in shard.endpoints:
                if supplier in ("", item.supplier):
                    rows.append((identity, report.host, item))
    rows.sort(key=lambda row: (row[0], row[2].endpoint))
    if as_json:
        print_json(
            [{"shard": str(shard), "owner": owner, **_to_dict(e)} for shard, owner, e in rows]
        )
        return
    headers = (
        "endpoint",
        "service",
        "availability zone",
        "supplier",
        "address",
        "state",
        "limit",
        "owner",
    )
    cells = [
        (e.endpoint, s.service, s.zone, e.supplier, e.address, describe_state(e), e.limit, owner)
        for s, owner, e in rows
    ]
    typer.echo(format_table(headers, cells))


def describe_state(endpoint) -> str:
    """Return the state of an endpoint in one word."""
    if endpoint.silent:
        return "silent"
    if endpoint.leaving:
        return "leaving"
    return "warm" if endpoint.warm else "cold"


def _to_dict(endpoint) -> dict:
    return {name: getattr(endpoint, name) for name in endpoint.__struct_fields__}
