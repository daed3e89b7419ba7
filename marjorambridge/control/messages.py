"""Define the messages of the control state, between replicas and from replicas to hosts."""

from msgspec import Struct


class ProposalForward(Struct):
    """Ask the leader to append a command."""

    command_id: str
    payload: bytes


class EndpointEntry(Struct):
    """Describe an endpoint to another host; see `discovery.models.EndpointReport`.

    Attributes
    ----------
    cold_seconds, age_seconds : float
        Remaining cold time, and time since the endpoint was heard, when the message was sent.
    silent : bool
        Whether reports stopped coming.
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
    """Tell that an endpoint was heard lately."""

    endpoint: str
    born: int
    age_seconds: float


class EndpointGossip(Struct):
    """Tell the other replicas what this one heard.

    Attributes
    ----------
    changed : tuple of EndpointEntry
        Endpoints whose entry changed here.
    alive : tuple of LiveEndpoint
        Endpoints heard here since the last message.
    hosts, host_zones : tuple of str
        Hosts that follow this replica, and their availability zones.
    zone : str
        Availability zone of this replica.
    """

    zone: str = ""
    changed: tuple[EndpointEntry, ...] = ()
    alive: tuple[LiveEndpoint, ...] = ()
    hosts: tuple[str, ...] = ()
    host_zones: tuple[str, ...] = ()


class MemberList(Struct):
    """Name the replicas of the group, for one that looks for its leader."""

    hosts: tuple[str, ...]


class FeedPoll(Struct):
    """Ask a replica for what changed, and tell it that this host is alive.

    Attributes
    ----------
    incarnation, revision : int
        Incarnation of the replica and revision of its table that the host holds; 0 for none.
    version : int
        Version of the manifest that the host holds.
    zone : str
        Availability zone of the host.
    may_be_old : bool
        Whether the host also takes a manifest of a replica that is not current.
    table_digest, hosts_digest : int
        Digests of the endpoints and of the hosts that this host knows; 0 for none.
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
    """Tell a host what changed.

    Attributes
    ----------
    serial : int
        Number of the poll that is answered; 0 if none is.
    current : bool
        Whether the replica hears the leader and has applied everything acknowledged before.
    base : int
        Revision after which the changes begin; -1 if `changed` is the whole table.
    index : int
        Index of the last applied entry.
    version : int
        Version of the manifest.
    document : bytes
        Compressed manifest; empty if the host has it.
    restored, restored_at : tuples
        Zones that were taken back and the index of the command that did it.
    members, member_zones : tuple of str
        All replicas and their availability zones; a zone is empty if it is unknown.
    hosts, host_zones : tuple of str
        All hosts that follow a replica, and their availability zones; empty if they are those of
        the last update.
    poll_after_seconds : float
        Time until the host should poll again at the earliest.
    matches : bool
        Whether the host holds the table of this revision already, as its poll showed.
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
    """Return why a message contradicts itself, or an empty string if it does not.

    A peer that runs another version may send such a message; it must end nothing but itself.

    Examples
    --------
    >>> find_inconsistency(EndpointGossip(hosts=("h1",), host_zones=()))
    '1 hosts come with 0 zones'
    """
    match message:
        case EndpointGossip():
            pairs = [(message.hosts, message.host_zones, "hosts come with {} zones")]
        case FeedUpdate():
            pairs = [
                (message.hosts, message.host_zones, "hosts come with {} zones"),
                (message.members, message.member_zones, "replicas come with {} zones"),
                (message.restored, message.restored_at, "zones come with {} indexes"),
            ]
        case _:
            return ""
    for names, values, text in pairs:
        if len(names) != len(values):
            return f"{len(names)} {text.format(len(values))}"
    return ""
