"""Settings file of one host."""

from msgspec import Struct, field

from marjorambridge.conf import defaults


class Addresses(Struct):
    """The ``ip:port`` addresses of a host.

    Attributes
    ----------
    peer : str
        Where the host listens for other hosts.
    callers : str
        Where callers and announcing endpoints connect, through the load balancer.
    admin : str
        Where operators, health checks and metrics collectors connect.
    advertised_peer : str
        Address to which other hosts connect; empty if it is the same as `peer`.
    """

    peer: str
    callers: str
    admin: str
    advertised_peer: str = ""


class Replica(Struct):
    """A host that stores the replicated logs.

    Attributes
    ----------
    host : str
        Name of the host, as in its own settings.
    address : str
        ``ip:port`` to which other hosts connect.
    """

    host: str
    address: str


class LogSettings(Struct):
    """Settings of logs and traces.

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
    """Limits and timeouts of callers' requests.

    Attributes
    ----------
    max_timeout_seconds : float
        Longest deadline that a caller may ask for.
    max_body_bytes : int
        Largest body of a request.
    retry_budget_ratio : float
        Retries per admitted request, from 0 to 1.
    retry_budget_minimum : int
        Retries that are allowed regardless of the number of admitted requests.
    unready_grace_seconds : float
        Time after a shutdown signal in which the host reports that it is not ready but still
        accepts requests, so that the load balancer can stop sending them.
    drain_deadline_seconds : float
        Time after which a shutdown aborts the requests that still run.
    """

    max_timeout_seconds: float = defaults.MAX_TIMEOUT_SECONDS
    max_body_bytes: int = defaults.MAX_BODY_BYTES
    retry_budget_ratio: float = defaults.RETRY_BUDGET_RATIO
    retry_budget_minimum: int = defaults.RETRY_BUDGET_MINIMUM
    unready_grace_seconds: float = defaults.UNREADY_GRACE_SECONDS
    drain_deadline_seconds: float = defaults.DRAIN_DEADLINE_SECONDS


class ClaimSettings(Struct):
    """Retention of the records of calls that may run at most once.

    Attributes
    ----------
    groups : int
        Log groups for claims, from 1 to 64; the same on all hosts of a fleet.
    answer_seconds : float
        Time for which the answer of a completed call is stored for repeated requests.
    tombstone_seconds : float
        Time for which the record of a completed call is stored.
    require_dated_keys : bool
        Whether callers' idempotency keys must be dated (UUIDv7), so that no key can be used again
        after its record has expired.
    """

    groups: int = defaults.CLAIM_GROUP_COUNT
    answer_seconds: float = defaults.CLAIM_ANSWER_RETENTION_SECONDS
    tombstone_seconds: float = defaults.CLAIM_TOMBSTONE_RETENTION_SECONDS
    require_dated_keys: bool = defaults.REQUIRE_DATED_KEYS


class OrderSettings(Struct):
    """Limits of the fleet's use of the weight store.

    The daemon does not issue orders to engines yet, so these settings have no effect.

    Attributes
    ----------
    weight_store_bytes_per_second : float
        Sustained rate of loads of the whole fleet.
    weight_store_burst_bytes : float
        Bytes that may be loaded in a burst.
    """

    weight_store_bytes_per_second: float = defaults.WEIGHT_STORE_BYTES_PER_SECOND
    weight_store_burst_bytes: float = defaults.WEIGHT_STORE_BURST_BYTES


class HostSettings(Struct):
    """Settings of one host.

    Attributes
    ----------
    fleet : str
        Name of the fleet; connections from hosts of other fleets are refused.
    host : str
        Name of this host, unique in the fleet.
    zone : str
        Availability zone of this host.
    region : str
        Region of this host.
    addresses : Addresses
        Addresses of this host.
    replicas : tuple of Replica
        The hosts that store the replicated logs: 1, 3 or 5.
    fleet_key_file : str
        File with the key that all hosts of the fleet share, at least 32 bytes.
    operator_token_hashes : tuple of str
        Hexadecimal SHA-256 digests of the operators' tokens.
    announcement_token_hashes : tuple of str
        Hexadecimal SHA-256 digests of the tokens of which announcing endpoints must send one. If
        it is empty, any announcement is accepted, and only a network that callers can't reach
        protects against forged endpoints.
    data_folder : str
        Folder for the replicated logs; needed on replicas only.
    bootstrap : bool
        Whether this replica may create a new fleet; set it on every replica for the first start
        only.
    seed : int
        Seed of the random numbers; 0 requests a seed from the operating system.
    record_file : str
        File in which every event is recorded for a later replay; empty for none.
    log : LogSettings
        Logs and traces.
    requests : RequestSettings
        Limits and timeouts of callers' requests.
    claims : ClaimSettings
        Retention of the records of calls that may run at most once.
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
