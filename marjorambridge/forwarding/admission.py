"""Admission of requests."""

from enum import StrEnum

from msgspec import Struct
from msgspec.structs import replace

from marjorambridge.forwarding.state import ForwardingState
from marjorambridge.manifests.matching import choose_service, find_route
from marjorambridge.manifests.models import Execution, Route, WorkspaceKeys


class Refusal(StrEnum):
    """The reasons for which a request is not admitted."""

    NO_MANIFEST = "no_manifest"
    NO_ROUTE = "no_route"
    UNKNOWN_KEY = "unknown_key"
    NO_ACCESS = "no_access"
    NO_TIME = "no_time"
    NO_ENDPOINT = "no_endpoint"
    STOPPING = "stopping"


class Admission(Struct):
    """The route, the workspace and the service of an admitted request."""

    route: Route
    workspace: WorkspaceKeys | None
    service: str


def admit_request(
    state: ForwardingState,
    host_name: str,
    path: str,
    key: str,
    repeatable: bool | None = None,
) -> Admission | Refusal:
    """Return the route, the workspace and the service of a request, or the reason to refuse it.

    Parameters
    ----------
    repeatable : bool or None
        Whether the caller allows more than one run; None to leave it to the route. Streams are
        repeated as their route allows.
    """
    if state.table is None:
        return Refusal.NO_MANIFEST
    route = find_route(state.table, host_name, path)
    if route is None:
        return Refusal.NO_ROUTE
    workspace = state.table.workspaces.get(key) if key else None
    if workspace is None and state.table.manifest.requires_keys and not route.public:
        return Refusal.UNKNOWN_KEY
    service = choose_service(route, state.generator)
    allowed = workspace.services if workspace is not None else None
    if allowed is not None and service not in allowed:
        return Refusal.NO_ACCESS
    if repeatable is not None and route.execution is not Execution.STREAM:
        execution = Execution.IDEMPOTENT if repeatable else Execution.AT_MOST_ONCE
        route = replace(route, execution=execution)
    return Admission(route, workspace, service)
