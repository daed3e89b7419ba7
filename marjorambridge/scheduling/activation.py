"""Decide which services are planned.

Planning protects the pauses of running answers and orders what waits. A service asks for it by a
route whose pause objective is shorter than the default, so that a new build changes nothing for the
others.
"""

from enum import StrEnum

from marjorambridge.conf import defaults
from marjorambridge.manifests.models import Manifest


class SchedulingMode(StrEnum):
    """Which services are planned.

    `AUTO` leaves it to the manifest: an engine service is planned if one of its routes states a
    pause objective that is shorter than the default.
    """

    AUTO = "auto"
    ON = "on"
    OFF = "off"


def list_planned_services(manifest: Manifest, mode: SchedulingMode) -> frozenset[str]:
    """Return the names of the planned services.

    Plain services are planned together with engine services, because the same callers use both.

    Examples
    --------
    >>> from marjorambridge.manifests.models import EngineProfile, Execution, Route
    >>> from marjorambridge.manifests.models import RouteTarget, ServiceDefinition
    >>> services = (ServiceDefinition("model", engine=EngineProfile()), ServiceDefinition("app"))
    >>> def build(pause):
    ...     targets = (RouteTarget("model", 1.0),)
    ...     route = Route("r", "h", "/", Execution.STREAM, 10.0, 0.3, targets, pause)
    ...     return Manifest(1, (route,), services)
    >>> sorted(list_planned_services(build(0.2), SchedulingMode.AUTO))
    ['app', 'model']
    >>> list_planned_services(build(0.25), SchedulingMode.AUTO)
    frozenset()
    """
    names = frozenset(service.name for service in manifest.services)
    if mode is SchedulingMode.OFF:
        return frozenset()
    if mode is SchedulingMode.ON or _has_strict_pauses(manifest):
        return names
    return frozenset()


def _has_strict_pauses(manifest: Manifest) -> bool:
    engines = {service.name for service in manifest.services if service.engine is not None}
    return any(
        0 < route.gap_objective_seconds < defaults.DEFAULT_PAUSE_LIMIT_SECONDS
        and any(target.service in engines for target in route.targets)
        for route in manifest.routes
    )
