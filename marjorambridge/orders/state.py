"""Hold the state of the issuer of orders."""

from msgspec import Struct, field

from marjorambridge.conf import defaults
from marjorambridge.orders.messages import EndpointSummary, Order
from marjorambridge.orders.state_machine import TargetState


class IssuerSettings(Struct):
    """Hold the settings of the issuer; names that end in seconds or bytes have that unit.

    Attributes
    ----------
    effect_timeout_seconds, load_effect_timeout_seconds : float
        Time that an endpoint has to announce the effect of an accepted order.
    """

    lifetime_seconds: float = defaults.ORDER_LIFETIME_SECONDS
    freshness_seconds: float = defaults.FRESHNESS_SECONDS
    clock_drift_factor: float = defaults.CLOCK_DRIFT_FACTOR
    effect_timeout_seconds: float = defaults.ORDER_EFFECT_TIMEOUT_SECONDS
    load_effect_timeout_seconds: float = defaults.LOAD_EFFECT_TIMEOUT_SECONDS
    retry_delay_seconds: float = defaults.ORDER_RETRY_DELAY_SECONDS
    tick_interval_seconds: float = defaults.ORDER_TICK_INTERVAL_SECONDS
    proposal_timeout_seconds: float = defaults.ORDER_PROPOSAL_TIMEOUT_SECONDS
    inventory_expiry_seconds: float = defaults.INVENTORY_EXPIRY_SECONDS
    demand_expiry_seconds: float = defaults.DEMAND_EXPIRY_SECONDS
    bytes_per_second: float = defaults.WEIGHT_STORE_BYTES_PER_SECOND
    burst_bytes: float = defaults.WEIGHT_STORE_BURST_BYTES


class EndpointState(Struct):
    """Hold the last announcement of an endpoint and the order in flight to it.

    Attributes
    ----------
    announced_at : float
        Monotonic time in seconds of the announcement that `summary` is from.
    order : Order or None
        Order in flight.
    decided_at : float
        Time at which `order` was decided.
    busy_until : float
        Time before which no other order is sent: the end of the order's lifetime, or of the
        time for its effect once it was accepted.
    proposal : str
        Identifier of the proposal to take tokens for the next load; empty if none is in progress.
    proposed_at, proposed_bytes : float, int
        Time of that proposal and size of the load.
    """

    summary: EndpointSummary
    announced_at: float
    order: Order | None = None
    decided_at: float = 0.0
    busy_until: float = 0.0
    proposal: str = ""
    proposed_at: float = 0.0
    proposed_bytes: int = 0


class IssuerState(Struct):
    """Hold a host's issuer, which issues only while the host leads group 0 and is fresh.

    Attributes
    ----------
    term : int
        Term of the last known leadership.
    unfenced_from : float
        Monotonic time from which endpoints that do not check fencing numbers get orders.
    due_endpoints : set
        Endpoints that differ from their target.
    proposals : dict
        Endpoint by identifier of the proposals of tokens in progress.
    demand : dict
        (waiting, time) by (service, model) and sending host.
    services_checking_fencing : frozenset
        Services whose endpoints check fencing numbers by configuration.
    level, level_updated_at : float
        Bytes in the token bucket at a monotonic time in seconds.
    """

    settings: IssuerSettings
    host: str
    incarnation: int
    term: int = 0
    is_leader: bool = False
    fresh_until: float = 0.0
    unfenced_from: float = 0.0
    targets: TargetState = field(default_factory=TargetState)
    endpoints: dict[str, EndpointState] = field(default_factory=dict)
    due_endpoints: set[str] = field(default_factory=set)
    proposals: dict[str, str] = field(default_factory=dict)
    demand: dict[tuple[str, str], dict[str, tuple[int, float]]] = field(default_factory=dict)
    services_checking_fencing: frozenset[str] = frozenset()
    level: float = 0.0
    level_updated_at: float = 0.0
    number: int = 0


def create_state(settings: IssuerSettings, host: str, incarnation: int) -> IssuerState:
    """Return the state of the issuer of a host process that has just started."""
    return IssuerState(settings, host, incarnation)
