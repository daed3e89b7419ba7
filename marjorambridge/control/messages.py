"""Define the messages of the control state, between replicas and from replicas to hosts."""

from collections.abc import Sized

from msgspec import Struct


class ProposalForward(Struct):
    """A command that a replica forwards to the leader."""

    command_id: str
    payload: bytes


class EndpointEntry(Struct):
    """The state of an endpoint; see `discovery.models.EndpointReport`.

    Attributes
    ----------
    cold_seconds, age_seconds : float
        Remaining cold time, and time since the endpoint's last report, when the message was sent.
    silent : bool
        Whether the reports of the endpoint timed out.
    """

    endpoint: str
    service: str
    zone: str
    address: str
    slots: int
    born: int
    sequence: int
    leaving: bool
    cold_seconds: float
    age_seconds: float
    silent: bool = False


class LiveEndpoint(Struct):
    """An endpoint that reported recently."""

    endpoint: str
    born: int
    age_seconds: float


class EndpointGossip(Struct):
    """The endpoint reports that a replica received and the hosts that poll it.

    Attributes
    ----------
    changed : tuple of EndpointEntry
        Endpoints whose entry was changed by a report to the sender.
    alive : tuple of LiveEndpoint
        Endpoints that reported to the sender since the last message.
    hosts, host_zones : tuple of str
        Hosts that subscribe to the sender, and their availability zones.
    zone : str
        Availability zone of the sender.
    """

    zone: str = ""
    changed: tuple[EndpointEntry, ...] = ()
    alive: tuple[LiveEndpoint, ...] = ()
    hosts: tuple[str, ...] = ()
    host_zones: tuple[str, ...] = ()


class MemberList(Struct):
    """The replicas of the group, sent to a replica that searches for the leader."""

    hosts: tuple[str, ...]


class FeedPoll(Struct):
    """A host's request for changes, which also shows the replica that the host is alive.

    Attributes
    ----------
    incarnation, revision : int
        Incarnation of the replica and revision of its table that the host holds; 0 for none.
    version : int
        Version of the manifest that the host holds.
    zone : str
        Availability zone of the host.
    may_be_old : bool
        Whether the host also accepts a manifest from a replica that is not current.
    table_digest, hosts_digest : int
        Digests of the endpoints and of the hosts that the sender holds; 0 for none.
    """

    serial: int
    incarnation: int
    revision: int
    version: int
    zone: str
    may_be_old: bool = True
    table_digest: int = 0
    hosts_digest: int = 0


class FeedUpdate(Struct):
    """The changes that a replica sends to a subscriber.

    Attributes
    ----------
    serial : int
        Number of the answered poll; 0 for an update that is pushed.
    current : bool
        Whether the replica has contact with the leader and has applied every acknowledged command.
    base : int
        Revision after which the changes begin; -1 if `changed` is the whole table.
    index : int
        Index of the last applied entry.
    version : int
        Version of the manifest.
    document : bytes
        Compressed manifest; empty if the host has it.
    restored, restored_at : tuples
        Restored zones and the index of the command that restored each of them.
    members, member_zones : tuple of str
        All replicas and their availability zones; a zone is empty if it is unknown.
    hosts, host_zones : tuple of str
        All hosts that subscribe to a replica, and their availability zones; empty if unchanged
        since the last update.
    poll_after_seconds : float
        Shortest time until the next poll of the host.
    matches : bool
        Whether the digest in the poll showed that the host already holds the table.
    """

    serial: int
    incarnation: int
    revision: int
    current: bool
    base: int
    index: int
    version: int
    document: bytes
    drained: tuple[str, ...]
    restored: tuple[str, ...]
    restored_at: tuple[int, ...]
    changed: tuple[EndpointEntry, ...]
    removed: tuple[str, ...]
    members: tuple[str, ...]
    member_zones: tuple[str, ...]
    hosts: tuple[str, ...]
    host_zones: tuple[str, ...]
    poll_after_seconds: float = 0.0
    matches: bool = False


def find_inconsistency(message: object) -> str:
    """Return why a message is inconsistent, or an empty string if it is consistent.

    A peer that runs another version may send such a message; the receiver drops it and continues.

    Examples
    --------
    >>> find_inconsistency(EndpointGossip(hosts=("h1",), host_zones=()))
    '1 hosts but 0 zones'
    """
    match message:
        case EndpointGossip():
            pairs: list[tuple[Sized, Sized, str]] = [
                (message.hosts, message.host_zones, "hosts but {} zones")
            ]
        case FeedUpdate():
            pairs = [
                (message.hosts, message.host_zones, "hosts but {} zones"),
                (message.members, message.member_zones, "replicas but {} zones"),
                (message.restored, message.restored_at, "restored zones but {} indexes"),
            ]
        case _:
            return ""
    for names, values, text in pairs:
        if len(names) != len(values):
            return f"{len(names)} {text.format(len(values))}"
    return ""
