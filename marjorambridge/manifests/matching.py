"""Find the route and the workspace of a request."""

import random

from msgspec import Struct, field

from marjorambridge.manifests.models import Manifest, Route, ServiceDefinition, WorkspaceKeys


class RouteTable(Struct):
    """Index a manifest for the look-ups of a request.

    Attributes
    ----------
    routes : dict of str to dict of str to Route
        Routes by host name and path prefix.
    workspaces : dict of str to WorkspaceKeys
        Workspaces by key.
    """

    manifest: Manifest
    routes: dict[str, dict[str, Route]] = field(default_factory=dict)
    services: dict[str, ServiceDefinition] = field(default_factory=dict)
    workspaces: dict[str, WorkspaceKeys] = field(default_factory=dict)


def build_route_table(manifest: Manifest) -> RouteTable:
    """Return the route table of a validated manifest."""
    table = RouteTable(manifest)
    for route in manifest.routes:
        table.routes.setdefault(route.host_name, {})[route.path_prefix] = route
    table.services = {service.name: service for service in manifest.services}
    table.workspaces = {
        key: workspace for workspace in manifest.workspaces for key in workspace.keys
    }
    return table


def find_route(table: RouteTable, host_name: str, path: str) -> Route | None:
    """Return the route with the longest prefix of the path.

    The cost depends on the number of slashes in the path and not on the number of routes.

    Examples
    --------
    >>> from marjorambridge.manifests.models import Execution, Manifest, RouteTarget
    >>> targets = (RouteTarget("s", 1),)
    >>> routes = [
    ...     Route(prefix, "h", prefix, Execution.IDEMPOTENT, 1.0, 1.0, targets)
    ...     for prefix in ("/a/", "/a/b/")
    ... ]
    >>> table = build_route_table(Manifest(1, tuple(routes)))
    >>> [find_route(table, "h", path).name for path in ("/a/x", "/a/b/c")]
    ['/a/', '/a/b/']
    >>> find_route(table, "h", "/a") is None
    True
    """
    prefixes = table.routes.get(host_name)
    if prefixes is None:
        return None
    end = len(path)
    while (end := path.rfind("/", 0, end)) >= 0:
        route = prefixes.get(path[: end + 1])
        if route is not None:
            return route
    return None


def choose_service(route: Route, generator: random.Random) -> str:
    """Choose the service of a request at random by the weights of the route."""
    if len(route.targets) == 1:
        return route.targets[0].service
    weights = [target.weight for target in route.targets]
    return generator.choices(route.targets, weights)[0].service
