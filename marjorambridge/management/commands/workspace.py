"""List, show, put and delete workspaces, and change their keys."""

from pathlib import Path
from typing import Annotated, Any

import typer
from msgspec.structs import replace

from marjorambridge.configuration.commands import DeleteWorkspace, PutWorkspace
from marjorambridge.configuration.models import Configuration, Urgency, Workspace
from marjorambridge.management.changes import ChangeOptions, run_conditional_change, warn_if_stale
from marjorambridge.management.client import fetch_configuration
from marjorambridge.management.exceptions import InvalidError, UsageError
from marjorambridge.management.keys import check_key, create_secret, hash_secret
from marjorambridge.management.lookup import find_item
from marjorambridge.management.options import (
    CommandIdOption,
    JsonOption,
    OperatorOption,
    WaitOption,
    open_client,
    read_text,
)
from marjorambridge.management.output import (
    format_table,
    print_diagnostic,
    print_fields,
    print_json,
)

SHOWN_DIGITS = 8

application = typer.Typer(no_args_is_help=True, help="Workspaces, their limits and keys.")
Name = Annotated[str, typer.Argument(help="Name of the workspace.")]


@application.command("list")
def list_workspaces(context: typer.Context, as_json: JsonOption = False) -> None:
    """List all workspaces."""
    report = fetch_configuration(open_client(context))
    warn_if_stale(report)
    items = [item for _, item in sorted(report.configuration.workspaces.items())]
    if as_json:
        print_json(items)
        return
    rows = [
        (
            item.name,
            item.services,
            item.urgency.value,
            len(item.key_hashes),
            item.requests_per_second or None,
            item.concurrent_requests or None,
        )
        for item in items
    ]
    headers = ("workspace", "services", "urgency", "keys", "requests/s", "concurrent")
    typer.echo(format_table(headers, rows))


@application.command("show")
def show_workspace(context: typer.Context, name: Name, as_json: JsonOption = False) -> None:
    """Show one workspace; key digests are shortened unless --json is given."""
    report = fetch_configuration(open_client(context))
    warn_if_stale(report)
    item = find_item(report.configuration.workspaces, "workspace", name)
    if as_json:
        print_json(item)
        return
    shown = tuple(f"{digest[:SHOWN_DIGITS]}..." for digest in item.key_hashes)
    print_fields(replace(item, key_hashes=shown))


@application.command("put")
def put_workspace(
    context: typer.Context,
    name: Name,
    service: Annotated[
        list[str] | None, typer.Option(help="Service that it may call; repeatable.")
    ] = None,
    urgency: Annotated[Urgency | None, typer.Option(help="Rank of its requests.")] = None,
    requests_per_second: Annotated[
        float | None, typer.Option(help="Sustained admission rate on one host; 0: no limit.")
    ] = None,
    concurrent_requests: Annotated[
        int | None, typer.Option(help="Requests in progress on one host; 0: no limit.")
    ] = None,
    command_id: CommandIdOption = "",
    wait: WaitOption = True,
    operator: OperatorOption = "",
    as_json: JsonOption = False,
) -> None:
    """Create a workspace, or change the given fields of an existing one; keys stay."""
    fields: dict[str, Any] = {
        "services": tuple(service) if service else None,
        "urgency": urgency,
        "requests_per_second": requests_per_second,
        "concurrent_requests": concurrent_requests,
    }
    given = {key: value for key, value in fields.items() if value is not None}

    def build(configuration: Configuration) -> PutWorkspace:
        present = configuration.workspaces.get(name, Workspace(name))
        return PutWorkspace(replace(present, **given))

    run_conditional_change(context, ChangeOptions(command_id, wait, operator, as_json), build)


@application.command("delete")
def delete_workspace(
    context: typer.Context,
    name: Name,
    command_id: CommandIdOption = "",
    wait: WaitOption = True,
    operator: OperatorOption = "",
    as_json: JsonOption = False,
) -> None:
    """Delete a workspace with its keys."""
    options = ChangeOptions(command_id, wait, operator, as_json)
    run_conditional_change(context, options, lambda _: DeleteWorkspace(name))


@application.command("add-key")
def add_key(
    context: typer.Context,
    name: Name,
    key_file: Annotated[
        Path | None, typer.Option(help="File with the key; without it, a key is generated.")
    ] = None,
    command_id: CommandIdOption = "",
    wait: WaitOption = True,
    operator: OperatorOption = "",
    as_json: JsonOption = False,
) -> None:
    """Add a key, of which only the SHA-256 digest is sent and stored.

    A generated key is printed once, before the command is sent. To resend the command, write the
    key to a file and give it with --key-file.
    """
    if command_id and key_file is None:
        raise UsageError("give the key of the earlier call with --key-file to resend it")
    key = check_key(read_text(key_file, "--key-file")) if key_file else create_secret()
    digest = hash_secret(key)

    def build(configuration: Configuration) -> PutWorkspace:
        present = find_item(configuration.workspaces, "workspace", name)
        if digest in present.key_hashes:
            raise InvalidError(f"workspace {name} has this key already; nothing is to be done")
        if key_file is None:
            print_diagnostic("the new key is shown only now; keep it")
            print_json({"key": key, "sha256": digest}) if as_json else typer.echo(key)
        return PutWorkspace(replace(present, key_hashes=(*present.key_hashes, digest)))

    run_conditional_change(context, ChangeOptions(command_id, wait, operator, as_json), build)


@application.command("remove-key")
def remove_key(
    context: typer.Context,
    name: Name,
    digest: Annotated[str, typer.Option(help="First digits of the key's SHA-256 digest.")] = "",
    key_file: Annotated[Path | None, typer.Option(help="File with the key.")] = None,
    command_id: CommandIdOption = "",
    wait: WaitOption = True,
    operator: OperatorOption = "",
    as_json: JsonOption = False,
) -> None:
    """Remove a key, named by its file or by the first digits of its digest."""
    if bool(digest) == (key_file is not None):
        raise UsageError("give either --digest or --key-file")
    digest_prefix = (
        hash_secret(read_text(key_file, "--key-file").strip()) if key_file else digest.lower()
    )

    def build(configuration: Configuration) -> PutWorkspace:
        present = find_item(configuration.workspaces, "workspace", name)
        matches = [item for item in present.key_hashes if item.startswith(digest_prefix)]
        if len(matches) != 1:
            raise InvalidError(
                f"{len(matches)} keys of workspace {name} match; look at the digests with "
                f"'marjorambridge workspace show {name}' and give one exactly"
            )
        kept = tuple(item for item in present.key_hashes if item != matches[0])
        return PutWorkspace(replace(present, key_hashes=kept))

    run_conditional_change(context, ChangeOptions(command_id, wait, operator, as_json), build)
