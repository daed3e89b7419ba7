"""Model the settings file of one host."""

from dataclasses import dataclass, field

from marjorambridge.conf import defaults


@dataclass(slots=True)
class Addresses:
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


@dataclass(slots=True)
class Replica:
    """Name a host that keeps the replicated logs, and its address for other hosts."""

    host: str
    address: str


@dataclass(slots=True)
class LogSettings:
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


@dataclass(slots=True)
class RequestSettings:
    """Limit and time callers' requests."""

    max_timeout_seconds: float = defaults.MAX_TIMEOUT_SECONDS
    max_body_bytes: int = defaults.MAX_BODY_BYTES
    retry_budget_ratio: float = defaults.RETRY_BUDGET_RATIO
    retry_budget_minimum: int = defaults.RETRY_BUDGET_MINIMUM
    unready_grace_seconds: float = defaults.UNREADY_GRACE_SECONDS
    drain_deadline_seconds: float = defaults.DRAIN_DEADLINE_SECONDS


@dataclass(slots=True)
class ClaimSettings:
    """Say how long calls that may run at most once are remembered."""

    groups: int = defaults.CLAIM_GROUPS
    answer_seconds: float = defaults.CLAIM_ANSWER_SECONDS
    tombstone_seconds: float = defaults.CLAIM_TOMBSTONE_SECONDS
    require_dated_keys: bool = defaults.REQUIRE_DATED_KEYS


@dataclass(slots=True)
class OrderSettings:
    """Limit the fleet's use of the weight store."""

    weight_store_bytes_per_second: float = defaults.WEIGHT_STORE_BYTES_PER_SECOND
    weight_store_burst_bytes: float = defaults.WEIGHT_STORE_BURST_BYTES


@dataclass(slots=True)
class HostSettings:
    """Hold the settings of one host.

    Attributes
    ----------
    fleet : str
        Name of the fleet; hosts of other fleets are refused.
    host : str
        Name of this host, unique in the fleet.
    zone, region : str
        Availability zone and region of this host.
    addresses : Addresses
        Addresses of this host.
    replicas : tuple of Replica
        The hosts that keep the replicated logs: 1, 3 or 5.
    fleet_key_file : str
        File with the key that all hosts of the fleet share, at least 32 bytes.
    operator_token_hashes : tuple of str
        Hexadecimal SHA-256 digests of the operators' tokens.
    data_folder : str
        Folder for the replicated logs; needed on replicas only.
    bootstrap : bool
        Whether this replica may found a new fleet; set it on every replica for the first start
        only.
    seed : int
        Seed of the random numbers; 0 takes one from the operating system.
    record_file : str
        File that takes every event for a later replay; empty for none.
    """

    fleet: str
    host: str
    zone: str
    region: str
    addresses: Addresses
    replicas: tuple[Replica, ...]
    fleet_key_file: str
    operator_token_hashes: tuple[str, ...] = ()
    data_folder: str = ""
    bootstrap: bool = False
    seed: int = 0
    record_file: str = ""
    log: LogSettings = field(default_factory=LogSettings)
    requests: RequestSettings = field(default_factory=RequestSettings)
    claims: ClaimSettings = field(default_factory=ClaimSettings)
    orders: OrderSettings = field(default_factory=OrderSettings)
