"""Model the configuration that operators create and change."""

from enum import StrEnum

from msgspec import Struct, field

from marjorambridge.core.view import ShardId


class ServiceKind(StrEnum):
    """Kind of a service: model engine or plain service."""

    ENGINE = "engine"
    PLAIN = "plain"


class Urgency(StrEnum):
    """Priority of workspaces and services that wait for the same endpoints."""

    LOW = "low"
    NORMAL = "normal"
    HIGH = "high"


class Service(Struct):
    """Describe a service and how its calls are handled.

    Attributes
    ----------
    name : str
        Name that callers use as the model name or in the path.
    kind : ServiceKind
        Model engine or plain service.
    zones : tuple of str
        Availability zones that have endpoints of the service.
    urgency : Urgency
        Priority of the service.
    buckets : int
        Shards per availability zone.
    bytes_per_token : float
        Bytes of UTF-8 text per token, used to estimate the length of a prompt. Low values
        overestimate the length, so that the memory of an endpoint is not overcommitted.
    default_timeout_seconds : float
        Timeout of a request that does not give a deadline.
    default_output_tokens : int
        Output tokens reserved when a request does not give a maximum.
    repeatable : bool
        Whether calls other than GET, HEAD and OPTIONS may be repeated.
    checks_fencing : bool
        Whether its endpoints reject orders with an old fencing number.
    models : tuple of str
        Model names that callers may use besides the service name.
    """

    name: str
    kind: ServiceKind
    zones: tuple[str, ...]
    urgency: Urgency = Urgency.NORMAL
    buckets: int = 1
    bytes_per_token: float = 3.0
    default_timeout_seconds: float = 120.0
    default_output_tokens: int = 512
    repeatable: bool = False
    checks_fencing: bool = False
    models: tuple[str, ...] = ()


class Workspace(Struct):
    """Describe a workspace, its access and its limits.

    Attributes
    ----------
    name : str
        Name of the workspace.
    key_hashes : tuple of str
        Hexadecimal SHA-256 digests of its keys.
    services : tuple of str
        Services that it may call.
    urgency : Urgency
        Priority of its requests.
    requests_per_second : float
        Sustained admission rate on one host; 0 means no limit.
    concurrent_requests : int
        Requests in progress on one host; 0 means no limit.
    """

    name: str
    key_hashes: tuple[str, ...] = ()
    services: tuple[str, ...] = ()
    urgency: Urgency = Urgency.NORMAL
    requests_per_second: float = 0.0
    concurrent_requests: int = 0


class AvailabilityZone(Struct):
    """Describe an availability zone; a zone that is out of service gets no new requests."""

    name: str
    region: str
    out: bool = False


class Configuration(Struct):
    """Hold the whole configuration.

    Attributes
    ----------
    version : int
        Number of accepted changes; commands contain the version that they are based on.
    """

    version: int = 0
    services: dict[str, Service] = field(default_factory=dict)
    workspaces: dict[str, Workspace] = field(default_factory=dict)
    zones: dict[str, AvailabilityZone] = field(default_factory=dict)


def list_shards(configuration: Configuration, service: Service) -> list[ShardId]:
    """Return the shards of a service in zones that exist and are in service."""
    return [
        ShardId(service.name, zone, bucket)
        for zone in service.zones
        if zone in configuration.zones and not configuration.zones[zone].out
        for bucket in range(service.buckets)
    ]


def find_service(configuration: Configuration, name: str) -> Service | None:
    """Return the service with this name, or the one that serves the model of this name."""
    service = configuration.services.get(name)
    if service is not None:
        return service
    for candidate in configuration.services.values():
        if name in candidate.models:
            return candidate
    return None
