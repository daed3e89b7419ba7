"""Models of the reports of the admin address to the command-line tool."""

from msgspec import Struct

from marjorambridge.configuration.models import Configuration
from marjorambridge.configuration.state import ChangeRecord

REPORT_PATH = "/report"
CONFIGURATION_PATH = "/configuration"


class HostEntryReport(Struct):
    """Report one host of the view.

    Attributes
    ----------
    applied_index : int or None
        Index that the host had applied at its last poll; None if the reporting host is not a
        replica.
    last_poll_seconds : float or None
        Age of the last poll; None as for `applied_index`.
    """

    host: str
    incarnation: int
    address: str
    zone: str
    region: str
    state: str
    applied_index: int | None = None
    last_poll_seconds: float | None = None


class EndpointReport(Struct):
    """Report the state of an endpoint at the owner of its shard.

    Attributes
    ----------
    last_seen_seconds : float
        Age of its last announcement.
    silent : bool
        Whether its last announcement is so old that it gets no new work.
    limit : int
        Requests that it may have in progress at present.
    """

    endpoint: str
    incarnation: int
    supplier: str
    address: str
    leaving: bool
    silent: bool
    warm: bool
    limit: int
    last_seen_seconds: float


class ShardReport(Struct):
    """Report a shard that the reporting host owns."""

    shard: str
    epoch: int
    granting: bool
    queued: int
    endpoints: tuple[EndpointReport, ...]


class GroupReport(Struct):
    """Report the state of a log group at the replica on the reporting host.

    Attributes
    ----------
    voters : tuple of str
        Hosts of the voters in effect.
    pending : tuple of str
        Hosts whose replica does not vote yet: added, or under repair.
    """

    group: int
    role: str
    term: int
    leader: str
    commit_index: int
    voters: tuple[str, ...]
    pending: tuple[str, ...]


class HostReport(Struct):
    """Report the state of one host without the configuration.

    Attributes
    ----------
    halted : str
        Why the host stopped applying entries or replicating; empty if it did not.
    replica : bool
        Whether the host stores the replicated logs.
    unheard_replicas : tuple of str
        Replicas that answered no poll of the last `FRESHNESS_SECONDS`.
    version : int
        Version of the configuration that the host has applied.
    configuration_index : int
        Index of the last entry that changed the configuration.
    hosts : tuple of HostEntryReport
        The hosts of the view.
    """

    host: str
    incarnation: int
    zone: str
    region: str
    fresh: bool
    shutting_down: bool
    halted: str
    replica: bool
    unheard_replicas: tuple[str, ...]
    version: int
    configuration_index: int
    applied_index: int
    view_index: int
    hosts: tuple[HostEntryReport, ...]
    shards: tuple[ShardReport, ...]
    log_groups: tuple[GroupReport, ...]


class ConfigurationReport(Struct):
    """Report the configuration that a host has applied, and who made the last changes.

    Attributes
    ----------
    fresh : bool
        Whether a majority of replicas has confirmed that it is current.
    """

    host: str
    fresh: bool
    configuration: Configuration
    history: tuple[ChangeRecord, ...]
