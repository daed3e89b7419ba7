"""Append entries to a group's log in memory and on disk."""

from collections.abc import Sequence

from marjorambridge.core.effects import Effect
from marjorambridge.replication.durability import write_storage
from marjorambridge.replication.effects import SaveEntries
from marjorambridge.replication.exceptions import LogConflictError
from marjorambridge.replication.logs import get_last_index, truncate_log
from marjorambridge.replication.models import EntryKind, LogEntry, decode_membership
from marjorambridge.replication.state import GroupState, ReplicaState


def append_log_entries(
    replica: ReplicaState, group: GroupState, effects: list[Effect], entries: Sequence[LogEntry]
) -> None:
    """Append consecutive entries, replacing those from the index of the first one on.

    Raises
    ------
    LogConflictError
        If a committed entry would be replaced.
    """
    first = entries[0].index
    if first <= get_last_index(group.log):
        if first <= group.commit_index:
            raise LogConflictError(
                f"group {group.group}: entry {first} is committed but the leader of term "
                f"{group.term} replaces it; stop all replicas and report this"
            )
        truncate_log(group.log, first)
        group.synced_index = min(group.synced_index, first - 1)
        group.syncing_index = min(group.syncing_index, first - 1)
        while group.memberships[-1][0] >= first:
            group.memberships.pop()
        for index in [index for index in group.proposals if index >= first]:
            del group.proposals[index]
    group.log.entries.extend(entries)
    for entry in entries:
        if entry.kind is EntryKind.MEMBERSHIP:
            group.memberships.append((entry.index, decode_membership(entry.payload)))
    group.append_ticket = write_storage(replica, effects, SaveEntries(group.group, tuple(entries)))


def append_own_entry(
    replica: ReplicaState,
    group: GroupState,
    effects: list[Effect],
    kind: EntryKind,
    payload: bytes = b"",
) -> int:
    """Append an entry of the leader's own term and return its index."""
    index = get_last_index(group.log) + 1
    append_log_entries(replica, group, effects, [LogEntry(index, group.term, kind, payload)])
    return index
