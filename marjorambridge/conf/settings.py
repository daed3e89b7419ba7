"""Settings file of one host."""

from msgspec import Struct, field

from marjorambridge.conf import defaults


class Addresses(Struct):
    """Give the ``ip:port`` addresses of a host.

    Attributes
    ----------
    peer : str
        Where the host listens for other hosts.
    callers : str
        Where callers and announcing endpoints connect, through the load balancer.
    admin : str
        Where operators, health checks and metrics collectors connect.
    advertised_peer : str
        Address that other hosts dial; empty for the same as `peer`.
    """

    peer: str
    callers: str
    admin: str
    advertised_peer: str = ""


class Replica(Struct):
    """Name a host that keeps the replicated logs.

    Attributes
    ----------
    host : str
        Name of the host, as in its own settings.
    address : str
        ``ip:port`` that other hosts dial.
    """

    host: str
    address: str


class LogSettings(Struct):
    """Say what is logged and where.

    Attributes
    ----------
    level : str
        Lowest level that is written.
    file : str
        File for JSON lines; empty for standard error.
    trace_file : str
        File for spans as JSON lines; empty for none.
    trace_ratio : float
        Share of the traces that are recorded, from 0 to 1; use the same on all hosts.
    """

    level: str = "INFO"
    file: str = ""
    trace_file: str = ""
    trace_ratio: float = 1.0


class RequestSettings(Struct):
    """Limit and time callers' requests.

    Attributes
    ----------
    max_timeout_seconds : float
        Longest deadline that a caller may ask for.
    max_body_bytes : int
        Largest body of a request.
    retry_budget_ratio : float
        Retries per admitted request, from 0 to 1.
    retry_budget_minimum : int
        Retries that are allowed however few requests were admitted.
    unready_grace_seconds : float
        Time from a shutdown signal in which the host is unready but still accepts requests, so
        that the load balancer can notice.
    drain_deadline_seconds : float
        Time after which a shutdown cuts the requests that still run.
    """

    max_timeout_seconds: float = defaults.MAX_TIMEOUT_SECONDS
    max_body_bytes: int = defaults.MAX_BODY_BYTES
    retry_budget_ratio: float = defaults.RETRY_BUDGET_RATIO
    retry_budget_minimum: int = defaults.RETRY_BUDGET_MINIMUM
    unready_grace_seconds: float = defaults.UNREADY_GRACE_SECONDS
    drain_deadline_seconds: float = defaults.DRAIN_DEADLINE_SECONDS


class ClaimSettings(Struct):
    """Say how long calls that may run at most once are remembered.

    Attributes
    ----------
    groups : int
        Log groups for claims, from 1 to 64; the same on all hosts of a fleet.
    answer_seconds : float
        Time for which the answer of a completed call is kept for resends.
    tombstone_seconds : float
        Time for which a completed call is known at all.
    require_dated_keys : bool
        Whether callers' idempotency keys must be dated (UUIDv7), so that none can be used again
        after it was forgotten.
    """

    groups: int = defaults.CLAIM_GROUPS
    answer_seconds: float = defaults.CLAIM_ANSWER_SECONDS
    tombstone_seconds: float = defaults.CLAIM_TOMBSTONE_SECONDS
    require_dated_keys: bool = defaults.REQUIRE_DATED_KEYS


class OrderSettings(Struct):
    """Limit the fleet's use of the weight store.

    The daemon does not issue orders to engines yet, so these settings have no effect.

    Attributes
    ----------
    weight_store_bytes_per_second : float
        Sustained rate of loads of the whole fleet.
    weight_store_burst_bytes : float
        Bytes that may be loaded at once after a pause.
    """

    weight_store_bytes_per_second: float = defaults.WEIGHT_STORE_BYTES_PER_SECOND
    weight_store_burst_bytes: float = defaults.WEIGHT_STORE_BURST_BYTES


class HostSettings(Struct):
    """Hold the settings of one host.

    Attributes
    ----------
    fleet : str
        Name of the fleet; hosts of other fleets are refused.
    host : str
        Name of this host, unique in the fleet.
    zone : str
        Availability zone of this host.
    region : str
        Region of this host.
    addresses : Addresses
        Addresses of this host.
    replicas : tuple of Replica
        The hosts that keep the replicated logs: 1, 3 or 5.
    fleet_key_file : str
        File with the key that all hosts of the fleet share, at least 32 bytes.
    operator_token_hashes : tuple of str
        Hexadecimal SHA-256 digests of the operators' tokens.
    announcement_token_hashes : tuple of str
        Hexadecimal SHA-256 digests of the tokens of which announcing endpoints must send one.
        Empty accepts any announcement; then only a network that callers can't reach protects
        against false endpoints.
    data_folder : str
        Folder for the replicated logs; needed on replicas only.
    bootstrap : bool
        Whether this replica may found a new fleet; set it on every replica for the first start
        only.
    seed : int
        Seed of the random numbers; 0 takes one from the operating system.
    record_file : str
        File that takes every event for a later replay; empty for none.
    log : LogSettings
        What is logged and where.
    requests : RequestSettings
        Limits and times of callers' requests.
    claims : ClaimSettings
        How long calls that may run at most once are remembered.
    orders : OrderSettings
        Limits of the fleet's use of the weight store.
    """

    fleet: str
    host: str
    zone: str
    region: str
    addresses: Addresses
    replicas: tuple[Replica, ...]
    fleet_key_file: str
    operator_token_hashes: tuple[str, ...] = ()
    announcement_token_hashes: tuple[str, ...] = ()
    data_folder: str = ""
    bootstrap: bool = False
    seed: int = 0
    record_file: str = ""
    log: LogSettings = field(default_factory=LogSettings)
    requests: RequestSettings = field(default_factory=RequestSettings)
    claims: ClaimSettings = field(default_factory=ClaimSettings)
    orders: OrderSettings = field(default_factory=OrderSettings)
