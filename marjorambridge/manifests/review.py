"""Find what is wrong or doubtful in a manifest, and how it differs from another one."""

from collections import Counter
from collections.abc import Iterable, Iterator
from enum import StrEnum

from msgspec import Struct, structs

from marjorambridge.manifests.exceptions import InvalidManifestError
from marjorambridge.manifests.models import Execution, Manifest, Route
from marjorambridge.manifests.validation import validate_manifest, validate_route

# Characters that the path of a request can't have, or not before its query.
_PATH_ENDS = "?# \t"
# Fields whose values are secret; only that they differ is told.
_SECRET_FIELDS = frozenset({"keys"})


class Severity(StrEnum):
    """Whether hosts refuse the manifest, or serve it in a way that is hardly wanted."""

    ERROR = "error"
    WARNING = "warning"


class Finding(Struct, frozen=True):
    """One problem of a manifest.

    Attributes
    ----------
    subject : str
        Part that has the problem, such as ``route 'r1'``.
    problem : str
        Ends with the remedy.
    """

    severity: Severity
    subject: str
    problem: str


def review_manifest(manifest: Manifest) -> list[Finding]:
    """Return all findings, errors first; without an error, `validate_manifest` accepts it."""
    errors = list(_find_errors(manifest))
    if not errors:
        try:
            validate_manifest(manifest)
        except InvalidManifestError as error:
            errors.append(Finding(Severity.ERROR, "manifest", str(error)))
    warnings = [
        Finding(Severity.WARNING, subject, problem)
        for subject, problem in (
            *(item for route in manifest.routes for item in _find_route_doubts(route)),
            *_find_service_doubts(manifest),
            *_find_workspace_doubts(manifest),
        )
    ]
    return errors + warnings


def _find_errors(manifest: Manifest) -> Iterator[Finding]:
    services = {service.name for service in manifest.services}
    owners: dict[tuple[str, str], str] = {}
    for route in manifest.routes:
        subject = f"route {route.name!r}"
        try:
            validate_route(route, services)
        except InvalidManifestError as error:
            problem = str(error).removeprefix(f"{subject}: ")
            yield Finding(Severity.ERROR, subject, problem)
        owner = owners.setdefault((route.host_name, route.path_prefix), route.name)
        if owners[route.host_name, route.path_prefix] != route.name:
            problem = f"is shadowed by route {owner!r}, which matches the same; remove one of them"
            yield Finding(Severity.ERROR, subject, problem)
    for name in _list_repeated(service.name for service in manifest.services):
        yield Finding(Severity.ERROR, f"service {name!r}", "is defined twice; rename one of them")
    workspaces_by_key: dict[str, str] = {}
    for workspace in manifest.workspaces:
        others = {workspaces_by_key.setdefault(key, workspace.name) for key in workspace.keys}
        for other in sorted(others - {workspace.name}):
            problem = f"shares a key with workspace {other!r}; give each its own"
            yield Finding(Severity.ERROR, f"workspace {workspace.name!r}", problem)


def _find_route_doubts(route: Route) -> Iterator[tuple[str, str]]:
    subject = f"route {route.name!r}"
    host_name = route.host_name
    if not host_name or ":" in host_name or host_name != host_name.strip().lower():
        yield subject, (
            f"never matches: no request has the host name {host_name!r}; "
            "write it in lower case and without a port"
        )
    if any(character in route.path_prefix for character in _PATH_ENDS):
        yield subject, "never matches: the path prefix has a query or a blank; remove it"
    if route.objective_seconds > route.timeout_seconds:
        yield subject, "the objective is above the time limit; lower it or raise the limit"
    if route.gap_objective_seconds > route.timeout_seconds:
        yield subject, "the pause objective is above the time limit; lower it or raise the limit"
    if route.execution is not Execution.STREAM and route.gap_objective_seconds:
        yield subject, "a pause objective has no effect without a stream; remove it"
    if route.execution is not Execution.STREAM and route.resumable:
        yield subject, "only a stream can be resumed; make the route a stream or not resumable"
    for target in route.targets:
        if target.weight == 0:
            yield subject, f"service {target.service!r} has the weight 0; remove it or raise it"


def _find_service_doubts(manifest: Manifest) -> Iterator[tuple[str, str]]:
    used = {target.service for route in manifest.routes for target in route.targets}
    for service in manifest.services:
        if service.name not in used:
            yield f"service {service.name!r}", "has no route; add one or remove the service"


def _find_workspace_doubts(manifest: Manifest) -> Iterator[tuple[str, str]]:
    services = {service.name for service in manifest.services}
    for name in _list_repeated(workspace.name for workspace in manifest.workspaces):
        yield f"workspace {name!r}", "is listed twice; merge both"
    for workspace in manifest.workspaces:
        subject = f"workspace {workspace.name!r}"
        if _list_repeated(workspace.keys):
            yield subject, "lists a key twice; remove one of them"
        if not workspace.keys:
            yield subject, "has no key, so that nobody belongs to it; add one or remove it"
        for unknown in sorted((workspace.services or frozenset()) - services):
            yield subject, f"may call service {unknown!r}, which is not defined; correct its name"
    has_keys = any(workspace.keys for workspace in manifest.workspaces)
    if manifest.requires_keys and not has_keys and not all(r.public for r in manifest.routes):
        yield "manifest", "requires keys but has none, so that requests are refused; add keys"


def _list_repeated(values: Iterable[str]) -> list[str]:
    return [value for value, count in Counter(values).items() if count > 1]


def describe_differences(in_force: Manifest, proposed: Manifest) -> list[str]:
    """Return one line for each difference; keys are never shown."""
    lines = []
    if proposed.version <= in_force.version:
        lines.append(
            f"version: {proposed.version} does not replace {in_force.version}; use a higher one"
        )
    for kind, olds, news in (
        ("route", in_force.routes, proposed.routes),
        ("service", in_force.services, proposed.services),
        ("workspace", in_force.workspaces, proposed.workspaces),
    ):
        old_by_name = {item.name: item for item in olds}
        new_by_name = {item.name: item for item in news}
        lines += [f"{kind} {name!r}: removed" for name in old_by_name if name not in new_by_name]
        for name, item in new_by_name.items():
            if name not in old_by_name:
                lines.append(f"{kind} {name!r}: added")
            else:
                lines += _compare_fields(f"{kind} {name!r}", old_by_name[name], item)
    lines += _compare_fields("limits", in_force.limits, proposed.limits)
    if in_force.requires_keys != proposed.requires_keys:
        lines.append(f"requires_keys: {in_force.requires_keys} to {proposed.requires_keys}")
    return lines


def _compare_fields(label: str, old: Struct, new: Struct) -> Iterator[str]:
    for field in structs.fields(old):
        before, after = getattr(old, field.name), getattr(new, field.name)
        if before != after and field.name in _SECRET_FIELDS:
            yield f"{label}: {field.name} differ"
        elif before != after:
            yield f"{label}: {field.name} from {before!r} to {after!r}"
