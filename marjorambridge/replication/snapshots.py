"""Save snapshots, and transfer them in chunks to members that lack compacted entries."""

from marjorambridge.core.effects import Effect, Publish, SendMessage
from marjorambridge.replication.appends import acknowledge_entries, follow_leader
from marjorambridge.replication.commits import publish_repair_stages
from marjorambridge.replication.durability import write_storage
from marjorambridge.replication.effects import SaveSnapshot
from marjorambridge.replication.events import SnapshotInstalled, SnapshotTaken
from marjorambridge.replication.leaders import send_chunk
from marjorambridge.replication.logs import Log, compact_log, get_term
from marjorambridge.replication.messages import SnapshotChunk, SnapshotReply
from marjorambridge.replication.models import Snapshot
from marjorambridge.replication.quorums import get_membership_at
from marjorambridge.replication.state import (
    GroupState,
    PartialSnapshot,
    ProgressMode,
    ReplicaState,
    Role,
)


def prune_memberships(group: GroupState) -> None:
    """Remove the memberships that were replaced at or before the log's base."""
    while len(group.memberships) > 1 and group.memberships[1][0] <= group.log.base_index:
        group.memberships.pop(0)


def handle_snapshot_taken(
    replica: ReplicaState, group: GroupState, effects: list[Effect], event: SnapshotTaken
) -> None:
    """Save a snapshot of the local state machine and compact the entries that it covers."""
    covered = group.snapshot.index if group.snapshot else 0
    term = get_term(group.log, event.index)
    if not covered < event.index <= group.applied_index or term is None:
        return
    membership = get_membership_at(group, event.index)
    group.snapshot = Snapshot(event.index, term, membership, event.data)
    compact_log(group.log, event.index - replica.settings.snapshot_trailing_entries)
    prune_memberships(group)
    effect = SaveSnapshot(group.group, group.snapshot, group.log.base_index + 1)
    write_storage(replica, effects, effect)


def handle_snapshot_chunk(
    replica: ReplicaState,
    group: GroupState,
    effects: list[Effect],
    chunk: SnapshotChunk,
    now: float,
) -> None:
    """Store a chunk, and install the snapshot once it is complete."""
    if chunk.term < group.term:
        send_snapshot_reply(replica, group, effects, chunk, 0)
        return
    follow_leader(replica, group, effects, chunk.source, now)
    if chunk.index <= group.commit_index:
        acknowledge_entries(replica, group, effects, chunk.source, group.commit_index, chunk.serial)
        return
    partial = group.partial
    identity = (chunk.index, chunk.snapshot_term, chunk.total)
    if partial is None or (partial.index, partial.term, partial.total) != identity:
        partial = PartialSnapshot(*identity)
        group.partial = partial
    if chunk.offset == partial.size:
        partial.parts.append(chunk.data)
        partial.size += len(chunk.data)
    if partial.size < partial.total:
        send_snapshot_reply(replica, group, effects, chunk, partial.size)
        return
    group.partial = None
    data = b"".join(partial.parts)
    snapshot = Snapshot(chunk.index, chunk.snapshot_term, chunk.membership, data)
    install_snapshot(replica, group, effects, snapshot, now)
    acknowledge_entries(replica, group, effects, chunk.source, chunk.index, chunk.serial)


def send_snapshot_reply(
    replica: ReplicaState,
    group: GroupState,
    effects: list[Effect],
    chunk: SnapshotChunk,
    offset: int,
) -> None:
    """Request the chunk at `offset`."""
    reply = SnapshotReply(
        group=group.group,
        cluster=replica.cluster,
        source=replica.replica,
        target=chunk.source,
        term=group.term,
        index=chunk.index,
        answered=chunk.offset,
        offset=offset,
    )
    effects.append(SendMessage(chunk.source.host, reply))


def install_snapshot(
    replica: ReplicaState,
    group: GroupState,
    effects: list[Effect],
    snapshot: Snapshot,
    now: float,
) -> None:
    """Replace the state machine's state, and the log if it does not match the snapshot."""
    before = get_membership_at(group, group.commit_index)
    first_index = 0
    if get_term(group.log, snapshot.index) == snapshot.term:
        compact_log(group.log, snapshot.index)
        prune_memberships(group)
        first_index = snapshot.index + 1
    else:
        group.log = Log(snapshot.index, snapshot.term)
        group.memberships = [(snapshot.index, snapshot.membership)]
        group.synced_index = 0
        group.syncing_index = 0
    group.proposals.clear()
    group.snapshot = snapshot
    group.commit_index = snapshot.index
    group.applied_index = snapshot.index
    effect = SaveSnapshot(group.group, snapshot, first_index)
    group.append_ticket = write_storage(replica, effects, effect)
    installed = SnapshotInstalled(now, group.group, snapshot.index, snapshot.term, snapshot.data)
    effects.append(Publish(installed))
    publish_repair_stages(group, effects, before, snapshot.membership, now)


def handle_snapshot_reply(
    replica: ReplicaState,
    group: GroupState,
    effects: list[Effect],
    reply: SnapshotReply,
    now: float,
) -> None:
    """Send the chunk that a member requests."""
    progress = group.progress.get(reply.source)
    if group.role is not Role.LEADER or reply.term != group.term or progress is None:
        return
    progress.last_contact_at = now
    snapshot = progress.snapshot
    if progress.mode is not ProgressMode.SNAPSHOT or snapshot is None:
        return
    # A repeated reply answers a chunk that is no longer the last one sent.
    if reply.index != snapshot.index or reply.answered != progress.snapshot_offset:
        return
    if reply.offset == progress.snapshot_offset:
        return
    progress.snapshot_offset = reply.offset
    send_chunk(replica, group, effects, reply.source, now)
