"""Check a manifest as a whole before it is accepted."""

import re

from marjorambridge.manifests.exceptions import InvalidManifestError
from marjorambridge.manifests.models import Manifest, Route

_CONTROL_CHARACTER = re.compile(r"[\x00-\x1f\x7f]")


def validate_manifest(manifest: Manifest) -> None:
    """Check for anything that would make a route ambiguous or impossible to serve.

    Raises
    ------
    InvalidManifestError
        If the manifest is invalid.
    """
    services = {service.name for service in manifest.services}
    if len(services) != len(manifest.services):
        raise InvalidManifestError("two services have the same name; rename one of them")
    prefixes: set[tuple[str, str]] = set()
    for route in manifest.routes:
        validate_route(route, services)
        prefix = (route.host_name, route.path_prefix)
        if prefix in prefixes:
            raise InvalidManifestError(
                f"route {route.name!r}: another route has the same host name and path prefix; "
                "remove one of them"
            )
        prefixes.add(prefix)
    owners: dict[str, str] = {}
    for workspace in manifest.workspaces:
        if _CONTROL_CHARACTER.search(workspace.name):
            raise InvalidManifestError(
                f"workspace {workspace.name!r}: the name has a control character, which no header "
                "can hold; rename it"
            )
        for key in workspace.keys:
            if owners.setdefault(key, workspace.name) != workspace.name:
                raise InvalidManifestError(
                    f"workspaces {owners[key]!r} and {workspace.name!r} share a key; "
                    "give each its own"
                )


def validate_route(route: Route, services: set[str]) -> None:
    """Check one route.

    Raises
    ------
    InvalidManifestError
        If the route can't be served.
    """
    label = f"route {route.name!r}"
    if not route.path_prefix.startswith("/") or not route.path_prefix.endswith("/"):
        raise InvalidManifestError(f"{label}: the path prefix must begin and end with a slash")
    if route.timeout_seconds <= 0:
        raise InvalidManifestError(f"{label}: the timeout must be greater than 0")
    if route.max_endpoints < 1:
        raise InvalidManifestError(f"{label}: at least one endpoint must be allowed")
    for target in route.targets:
        if target.service not in services:
            raise InvalidManifestError(f"{label}: service {target.service!r} is not defined")
        if target.weight < 0:
            raise InvalidManifestError(f"{label}: a weight must not be negative")
    if sum(target.weight for target in route.targets) <= 0:
        raise InvalidManifestError(f"{label}: the weights must add up to more than 0")
