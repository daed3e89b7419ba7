"""Model the committed set of live hosts and the ownership of shards."""

from enum import StrEnum

import xxhash
from msgspec import Struct, field


class HostState(StrEnum):
    """Whether a host may own shards."""

    LIVE = "live"
    LEAVING = "leaving"


class HostEntry(Struct, frozen=True):
    """One host process in the view.

    Attributes
    ----------
    host : str
        Name of the host, unique in the fleet.
    incarnation : int
        Incarnation of its process.
    address : str
        ``ip:port`` for messages from other hosts.
    zone : str
        Availability zone of the host.
    region : str
        Region of the host.
    state : HostState
        A leaving host owns no shards.
    """

    host: str
    incarnation: int
    address: str
    zone: str
    region: str
    state: HostState = HostState.LIVE


class View(Struct):
    """The hosts that are live or leaving as of one log index."""

    index: int = 0
    hosts: dict[str, HostEntry] = field(default_factory=dict)


class ShardId(Struct, frozen=True, order=True):
    """Identifier of the endpoints of one service in one availability zone and bucket.

    Examples
    --------
    >>> str(ShardId("geru-model", "bhuj", 0))
    'geru-model/bhuj/0'
    """

    service: str
    zone: str
    bucket: int = 0

    def __str__(self) -> str:
        """Return the text form used in messages and logs."""
        return f"{self.service}/{self.zone}/{self.bucket}"


def parse_shard_id(text: str) -> ShardId:
    """Parse the text form of a shard identifier.

    Raises
    ------
    ValueError
        If the text does not have three parts or the bucket is not a number.
    """
    service, zone, bucket = text.rsplit("/", 2)
    return ShardId(service, zone, int(bucket))


def compute_owner(view: View, shard: ShardId, region: str) -> str | None:
    """Return the live host of `region` that owns `shard`, by rendezvous hashing.

    Rendezvous hashing moves only the shards of a host that joins or leaves.

    Returns
    -------
    str or None
        None if the region has no live host.
    """
    best: tuple[int, str] | None = None
    name = str(shard)
    for entry in view.hosts.values():
        if entry.region != region or entry.state is not HostState.LIVE:
            continue
        rank = (xxhash.xxh3_64_intdigest(f"{name}|{entry.host}".encode()), entry.host)
        if best is None or rank > best:
            best = rank
    return best[1] if best else None


def compute_bucket(endpoint: str, buckets: int) -> int:
    """Return the bucket of a service's shard that an endpoint belongs to."""
    return xxhash.xxh3_64_intdigest(endpoint.encode()) % buckets
