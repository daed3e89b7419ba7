"""Define the storage effects that the reducer returns.

Storage executes the effects in the order given. A write is durable once the next `SyncStorage` has
been answered with `StorageSynced`.
"""

from marjorambridge.core.effects import Effect
from marjorambridge.replication.models import LogEntry, ReplicaId, Snapshot


class StorageEffect(Effect):
    """Base of the effects for storage."""


class SaveCluster(StorageEffect):
    """Save the identity of the cluster and its initial voters."""

    cluster: str
    founders: tuple[ReplicaId, ...]


class SaveVote(StorageEffect):
    """Save a group's term and the replica that this replica voted for in it."""

    group: int
    term: int
    voted_for: ReplicaId


class SaveEntries(StorageEffect):
    """Append entries; they replace all entries from the index of the first one on."""

    group: int
    entries: tuple[LogEntry, ...]


class SaveSnapshot(StorageEffect):
    """Replace a group's snapshot.

    Attributes
    ----------
    first_index : int
        Index of the first entry that is still needed; 0 removes all entries, because they
        contradict the snapshot or end before it.
    """

    group: int
    snapshot: Snapshot
    first_index: int


class SyncStorage(StorageEffect):
    """Make all earlier writes durable and answer with `ticket`."""

    ticket: int
