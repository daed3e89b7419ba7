"""Derive from a manifest how long prompts may be read beside running answers.

The load pattern is one engine with both: while it reads, all its answers pause. What they bear is
stated by their routes, and what a pause consists of by the engine's profile; neither is the same
on two deployments.
"""

import math

from msgspec import Struct

from marjorambridge.conf import defaults
from marjorambridge.forwarding.costs import compute_pass_seconds
from marjorambridge.manifests.models import Manifest, ServiceDefinition


class Thresholds(Struct, frozen=True):
    """Hold the bounds for reads at the engines of a service.

    Attributes
    ----------
    tolerated_prefill_seconds : float
        Longest read beside which all answers stay on time. Prompts that take longer are long ones,
        and their parts are this short where there are engines enough.
    strict_pause_limit_seconds : float
        Answers that bear shorter pauses keep long reads away from their engine.
    """

    tolerated_prefill_seconds: float = math.inf
    strict_pause_limit_seconds: float = 0.0


def derive_thresholds(manifest: Manifest, definition: ServiceDefinition) -> Thresholds:
    """Return the bounds for the engines of a service; none for a plain service.

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
    # A pause that hardly covers a pass can't be kept, and must not make every prompt a long one.
    tolerated = max(defaults.TOLERATED_PREFILL_RATIO * (shortest - one_pass), one_pass)
    return Thresholds(tolerated, defaults.STRICT_PAUSE_LIMIT_RATIO * shortest)
