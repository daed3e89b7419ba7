"""State and settings of the choice of a shard."""

from msgspec import Struct, field

from marjorambridge.conf import defaults
from marjorambridge.configuration.models import Configuration
from marjorambridge.core.view import View
from marjorambridge.limits.messages import ShardSummary


class RoutingSettings(Struct):
    """Settings of the choice of a shard.

    Attributes
    ----------
    summary_expiry : float
        Seconds after which a summary no longer counts.
    equal_wait_tolerance : float
        Difference of expected waits in seconds below which they count as equal.
    affinity_prefix_tokens : int
        Length of the prompt prefix that selects the shard for prefix affinity.
    prefill_seconds_per_token : float
        Time that a cached token saves.
    max_affinity_wait : float
        Longest additional wait in seconds that is accepted for prefix affinity.
    """

    summary_expiry: float = defaults.SUMMARY_EXPIRY_SECONDS
    equal_wait_tolerance: float = defaults.EQUAL_WAIT_TOLERANCE_SECONDS
    affinity_prefix_tokens: int = defaults.AFFINITY_PREFIX_TOKENS
    prefill_seconds_per_token: float = defaults.PREFILL_SECONDS_PER_TOKEN
    max_affinity_wait: float = defaults.MAX_AFFINITY_WAIT_SECONDS


class Candidate(Struct, frozen=True):
    """Shard that is in service, with its present owner."""

    shard: str
    region: str
    owner: str


class Candidates(Struct):
    """Shards of a service that are in service, in the host's region and in other regions."""

    local: list[Candidate]
    remote: list[Candidate]


class ReceivedSummary(Struct):
    """Last summary of a shard and the time at which it arrived."""

    summary: ShardSummary
    at: float


class RoutingState(Struct):
    """Inputs of the choice of a shard.

    Attributes
    ----------
    candidates : dict of str to Candidates
        By service, computed on first use after each change of configuration or view.
    owners : dict of str to str
        Owner of each shard that was looked up under the present view; the hash over all hosts is
        too slow to repeat for each permit.
    avoid_until : dict of str to float
        Monotonic time until which a shard that denied a permit, or timed out, is chosen last.
    """

    host: str
    region: str
    settings: RoutingSettings = field(default_factory=RoutingSettings)
    configuration: Configuration = field(default_factory=Configuration)
    view: View = field(default_factory=View)
    candidates: dict[str, Candidates] = field(default_factory=dict)
    owners: dict[str, str | None] = field(default_factory=dict)
    summaries: dict[str, ReceivedSummary] = field(default_factory=dict)
    avoid_until: dict[str, float] = field(default_factory=dict)
