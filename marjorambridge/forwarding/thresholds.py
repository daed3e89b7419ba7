"""Bounds of prefills beside running answers, derived from a manifest.

The load pattern is an engine that prefills prompts while it decodes answers: during a prefill, all
its answers pause. The pauses that they tolerate are given by their routes, and the duration of an
engine pass by the engine's profile; both differ between deployments.
"""

import math

from msgspec import Struct

from marjorambridge.conf import defaults
from marjorambridge.forwarding.costs import compute_pass_seconds
from marjorambridge.manifests.models import Manifest, ServiceDefinition


class Thresholds(Struct, frozen=True):
    """Bounds of prefills at the engines of a service.

    Attributes
    ----------
    tolerated_prefill_seconds : float
        Longest prefill beside which all answers stay on time. Prompts that take longer are long,
        and their prefill shards take no longer than this if there are enough engines.
    strict_pause_limit_seconds : float
        Engines with an answer whose pause limit is shorter get no long prefills.
    """

    tolerated_prefill_seconds: float = math.inf
    strict_pause_limit_seconds: float = 0.0


def derive_thresholds(manifest: Manifest, definition: ServiceDefinition) -> Thresholds:
    """Return the bounds for the engines of a service; without limits for a plain service.

    Examples
    --------
    >>> from marjorambridge.manifests.models import EngineProfile
    >>> profile = EngineProfile(slots=8, step_seconds=0.001, stride_steps=50)
    >>> derived = derive_thresholds(Manifest(1), ServiceDefinition("model", engine=profile))
    >>> round(derived.tolerated_prefill_seconds, 3), derived.strict_pause_limit_seconds
    (0.18, 0.5)
    """
    if definition.engine is None:
        return Thresholds()
    pause_limits = [
        route.gap_objective_seconds
        for route in manifest.routes
        if route.gap_objective_seconds > 0
        and any(target.service == definition.name for target in route.targets)
    ]
    shortest = min(pause_limits, default=defaults.DEFAULT_PAUSE_LIMIT_SECONDS)
    one_pass = compute_pass_seconds(definition.engine)
    # A pause limit that hardly covers a pass can't be met and must not make every prompt long.
    tolerated = max(defaults.TOLERATED_PREFILL_RATIO * (shortest - one_pass), one_pass)
    return Thresholds(tolerated, defaults.STRICT_PAUSE_LIMIT_RATIO * shortest)
