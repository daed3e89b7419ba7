"""Define the entries of log group 0: operator commands and changes of the view."""

from msgspec import Struct

from marjorambridge.configuration.models import Service, Workspace
from marjorambridge.core.view import HostEntry


class PutService(Struct):
    """Create a service or replace the one of the same name."""

    service: Service


class DeleteService(Struct):
    """Delete a service that no workspace references."""

    name: str


class PutWorkspace(Struct):
    """Create a workspace or replace the one of the same name."""

    workspace: Workspace


class DeleteWorkspace(Struct):
    """Delete a workspace."""

    name: str


class PutZone(Struct):
    """Create an availability zone in service, or change the region of an existing one.

    An existing zone stays in or out of service, so that applying the questionnaire again cannot
    return a zone to service by accident.
    """

    name: str
    region: str


class DeleteZone(Struct):
    """Delete an availability zone that no service references."""

    name: str


class SetZoneOut(Struct):
    """Take an availability zone out of service."""

    name: str


class SetZoneIn(Struct):
    """Return an availability zone to service."""

    name: str


Change = (
    PutService
    | DeleteService
    | PutWorkspace
    | DeleteWorkspace
    | PutZone
    | DeleteZone
    | SetZoneOut
    | SetZoneIn
)


class ApplyConfiguration(Struct):
    """Apply several changes as one; only their joint result must be valid."""

    changes: tuple[Change, ...]


class OperatorCommand(Struct):
    """A change with its identifier, its operator and the version that it is based on.

    Attributes
    ----------
    command_id : str
        Unique identifier; a resend repeats the whole command under the same identifier.
    operator : str
        Name of the operator, shown to others whose command conflicts with this one.
    base_version : int or None
        Version of the configuration that the change is based on. None is allowed for `SetZoneOut`
        only: taking a zone out must not fail because of a concurrent, unrelated change, and its
        effect does not depend on other changes.
    wall : float
        Unix time in seconds at which the command was first sent; a resend repeats it.
    change : Change or ApplyConfiguration
        The change, or several changes that are applied as one.
    """

    command_id: str
    operator: str
    base_version: int | None
    wall: float
    change: Change | ApplyConfiguration


class HostJoined(Struct):
    """Add a host process to the view, or replace an earlier incarnation of it."""

    entry: HostEntry


class HostLeaving(Struct):
    """Mark a host process as leaving; it owns no shards from then on."""

    host: str
    incarnation: int


class HostRemoved(Struct):
    """Remove a host process from the view, unless a later incarnation has joined."""

    host: str
    incarnation: int


Entry = OperatorCommand | HostJoined | HostLeaving | HostRemoved


def list_command_changes(command: OperatorCommand) -> tuple[Change, ...]:
    """Return the changes of a command in order."""
    change = command.change
    return tuple(change.changes) if isinstance(change, ApplyConfiguration) else (change,)


def describe_change(change: Change | ApplyConfiguration) -> str:
    """Return one line that describes a change.

    Examples
    --------
    >>> describe_change(SetZoneOut("bhuj"))
    'take availability zone bhuj out of service'
    """
    match change:
        case PutService(service):
            return f"put service {service.name}"
        case DeleteService(name):
            return f"delete service {name}"
        case PutWorkspace(workspace):
            return f"put workspace {workspace.name}"
        case DeleteWorkspace(name):
            return f"delete workspace {name}"
        case PutZone(name, region):
            return f"put availability zone {name} in region {region}"
        case DeleteZone(name):
            return f"delete availability zone {name}"
        case SetZoneOut(name):
            return f"take availability zone {name} out of service"
        case SetZoneIn(name):
            return f"return availability zone {name} to service"
        case ApplyConfiguration(changes):
            listed = ", ".join(describe_change(item) for item in changes[:5])
            rest = f" and {len(changes) - 5} more" if len(changes) > 5 else ""
            return f"apply {len(changes)} changes: {listed}{rest}"
