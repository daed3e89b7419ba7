"""Send entries, heartbeats and snapshots to the members of a group, as its leader."""

from marjorambridge.core.effects import Effect, SendMessage, SetTimer
from marjorambridge.core.identity import TimerKey
from marjorambridge.replication.commits import advance_commit
from marjorambridge.replication.logs import (
    find_matching_position,
    get_last_index,
    get_term,
    slice_entries,
)
from marjorambridge.replication.messages import AppendReply, AppendRequest, SnapshotChunk
from marjorambridge.replication.models import LogEntry, ReplicaId
from marjorambridge.replication.quorums import get_membership, has_majority
from marjorambridge.replication.roles import become_follower
from marjorambridge.replication.state import (
    GroupState,
    Progress,
    ProgressMode,
    ReplicaState,
    Role,
)

# Heartbeat intervals without an acknowledgement after which a message counts as lost.
APPEND_TIMEOUT_HEARTBEATS = 3
# Election timeouts without replies from a majority after which a leader steps down. Followers
# start elections after one to two timeouts, so the old leader has stepped down when a new
# one is elected.
CHECK_QUORUM_ELECTION_TIMEOUTS = 2


def update_progress_table(replica: ReplicaState, group: GroupState, now: float) -> None:
    """Update the progress table to match the latest membership."""
    members = {item.replica for item in get_membership(group).members} - {replica.replica}
    for removed in [item for item in group.progress if item not in members]:
        del group.progress[removed]
    for added in sorted(members - group.progress.keys()):
        next_index = get_last_index(group.log) + 1
        group.progress[added] = Progress(next_index=next_index, last_contact_at=now)


def send_append(
    replica: ReplicaState,
    group: GroupState,
    effects: list[Effect],
    target: ReplicaId,
    previous: int,
    entries: tuple[LogEntry, ...],
) -> None:
    """Send one append whose entries follow `previous`, which the log must hold."""
    end = previous + len(entries)
    progress = group.progress[target]
    progress.serial += 1
    progress.sent_commit_index = min(group.commit_index, end)
    message = AppendRequest(
        group=group.group,
        cluster=replica.cluster,
        source=replica.replica,
        target=target,
        term=group.term,
        previous_index=previous,
        previous_term=get_term(group.log, previous) or 0,
        commit_index=progress.sent_commit_index,
        serial=progress.serial,
        entries=entries,
    )
    effects.append(SendMessage(target.host, message))


def send_heartbeat(
    replica: ReplicaState, group: GroupState, effects: list[Effect], target: ReplicaId
) -> None:
    """Send an append without entries at a position that the target has acknowledged."""
    match = group.progress[target].match_index
    previous = match if get_term(group.log, match) is not None else 0
    send_append(replica, group, effects, target, previous, ())


def send_entries(
    replica: ReplicaState, group: GroupState, effects: list[Effect], target: ReplicaId, now: float
) -> bool:
    """Send the entries that the target lacks, within the limit of appends in flight.

    Returns
    -------
    bool
        Whether anything was sent.
    """
    progress = group.progress[target]
    sent = False
    while progress.mode is not ProgressMode.SNAPSHOT:
        is_probe = progress.mode is ProgressMode.PROBE
        if len(progress.in_flight) >= (1 if is_probe else replica.settings.max_appends_in_flight):
            break
        previous = progress.next_index - 1
        if get_term(group.log, previous) is None:
            start_snapshot(replica, group, effects, target, now)
            return True
        entries = slice_entries(group.log, previous + 1, replica.settings.max_append_bytes)
        if not entries and not is_probe:
            break
        send_append(replica, group, effects, target, previous, entries)
        progress.in_flight.append((previous + len(entries), now))
        sent = True
        if is_probe:
            break
        progress.next_index += len(entries)
    return sent


def broadcast_entries(
    replica: ReplicaState, group: GroupState, effects: list[Effect], now: float
) -> None:
    """Send new entries to every member."""
    for target in list(group.progress):
        send_entries(replica, group, effects, target, now)


def broadcast_commit_index(replica: ReplicaState, group: GroupState, effects: list[Effect]) -> None:
    """Send a new commit index to the members that have no append in flight."""
    for target in group.progress:
        send_commit_index(replica, group, effects, target)


def send_commit_index(
    replica: ReplicaState, group: GroupState, effects: list[Effect], target: ReplicaId
) -> None:
    """Send a member a new commit index, unless the reply to an append in flight triggers it."""
    progress = group.progress[target]
    sendable_index = min(group.commit_index, progress.match_index)
    is_idle = progress.mode is ProgressMode.REPLICATE and not progress.in_flight
    if is_idle and progress.sent_commit_index < sendable_index:
        send_heartbeat(replica, group, effects, target)


def start_snapshot(
    replica: ReplicaState, group: GroupState, effects: list[Effect], target: ReplicaId, now: float
) -> None:
    """Start to send the latest snapshot, because the target lacks entries that are compacted."""
    progress = group.progress[target]
    progress.mode = ProgressMode.SNAPSHOT
    progress.in_flight.clear()
    progress.snapshot = group.snapshot
    progress.snapshot_offset = 0
    send_chunk(replica, group, effects, target, now)


def send_chunk(
    replica: ReplicaState, group: GroupState, effects: list[Effect], target: ReplicaId, now: float
) -> None:
    """Send the next chunk of the snapshot in transfer."""
    progress = group.progress[target]
    snapshot = progress.snapshot
    if snapshot is None:
        progress.mode = ProgressMode.PROBE
        return
    progress.snapshot_sent_at = now
    progress.serial += 1
    start = progress.snapshot_offset
    message = SnapshotChunk(
        group=group.group,
        cluster=replica.cluster,
        source=replica.replica,
        target=target,
        term=group.term,
        index=snapshot.index,
        snapshot_term=snapshot.term,
        membership=snapshot.membership,
        offset=start,
        total=len(snapshot.data),
        data=snapshot.data[start : start + replica.settings.snapshot_chunk_bytes],
        serial=progress.serial,
    )
    effects.append(SendMessage(target.host, message))


def set_heartbeat_timer(group: GroupState, effects: list[Effect], at: float) -> None:
    """Set the heartbeat timer."""
    effects.append(SetTimer(TimerKey("replication", "heartbeat", str(group.group)), at))


def handle_heartbeat_timer(
    replica: ReplicaState, group: GroupState, effects: list[Effect], now: float
) -> None:
    """Check the quorum, repeat lost messages and send heartbeats, as the leader."""
    settings = replica.settings
    if group.role is not Role.LEADER:
        return
    contact_since = now - CHECK_QUORUM_ELECTION_TIMEOUTS * settings.election_timeout_seconds
    reachable = [
        target for target, item in group.progress.items() if item.last_contact_at >= contact_since
    ]
    # A leader that removes itself still leads until the removal is committed.
    if not has_majority(get_membership(group), [*reachable, replica.replica]):
        become_follower(replica, group, effects, group.term, ReplicaId(), now)
        return
    if group.transfer_target.host and now >= group.transfer_deadline:
        group.transfer_target = ReplicaId()
        group.election_request_sent = False
    lost_before = now - APPEND_TIMEOUT_HEARTBEATS * settings.heartbeat_interval_seconds
    for target, progress in group.progress.items():
        if progress.mode is ProgressMode.SNAPSHOT:
            if progress.snapshot_sent_at <= lost_before:
                send_chunk(replica, group, effects, target, now)
            send_heartbeat(replica, group, effects, target)
            continue
        if progress.in_flight and progress.in_flight[0][1] <= lost_before:
            probe_member(progress, progress.match_index + 1)
        if not send_entries(replica, group, effects, target, now):
            send_heartbeat(replica, group, effects, target)
    set_heartbeat_timer(group, effects, now + settings.heartbeat_interval_seconds)


def probe_member(progress: Progress, next_index: int) -> None:
    """Send one append at a time from `next_index` on until one is acknowledged."""
    progress.mode = ProgressMode.PROBE
    progress.next_index = next_index
    progress.in_flight.clear()


def handle_append_reply(
    replica: ReplicaState,
    group: GroupState,
    effects: list[Effect],
    reply: AppendReply,
    now: float,
) -> None:
    """Update a member's progress by an acknowledgement or a refusal."""
    progress = group.progress.get(reply.source)
    if group.role is not Role.LEADER or reply.term != group.term or progress is None:
        return
    progress.last_contact_at = now
    if reply.accepted:
        handle_accepted_append(replica, group, effects, reply, progress, now)
        return
    if progress.mode is ProgressMode.SNAPSHOT or reply.match_index <= progress.match_index:
        return
    if reply.serial < progress.first_valid_serial:
        return
    if progress.mode is ProgressMode.PROBE and reply.match_index != progress.next_index - 1:
        return
    hint = reply.hint_index
    if hint >= group.log.base_index:
        hint, _ = find_matching_position(group.log, hint, reply.hint_term)
    probe_member(progress, max(hint, progress.match_index) + 1)
    progress.first_valid_serial = progress.serial + 1
    send_entries(replica, group, effects, reply.source, now)


def handle_accepted_append(
    replica: ReplicaState,
    group: GroupState,
    effects: list[Effect],
    reply: AppendReply,
    progress: Progress,
    now: float,
) -> None:
    """Record an acknowledged position, advance the commit index and send more entries."""
    match = max(progress.match_index, reply.match_index)
    progress.match_index = match
    while progress.in_flight and progress.in_flight[0][0] <= match:
        progress.in_flight.popleft()
    if progress.mode is ProgressMode.SNAPSHOT:
        if progress.snapshot is None or match < progress.snapshot.index:
            return
        progress.snapshot = None
        progress.mode = ProgressMode.PROBE
    if progress.mode is not ProgressMode.REPLICATE and reply.serial >= progress.first_valid_serial:
        progress.mode = ProgressMode.REPLICATE
        progress.in_flight.clear()
        progress.next_index = match + 1
    progress.next_index = max(progress.next_index, match + 1)
    if advance_commit(replica, group, effects, now):
        broadcast_commit_index(replica, group, effects)
    # Committing the removal of this replica ends its leadership.
    if group.role is Role.LEADER:
        send_entries(replica, group, effects, reply.source, now)
        # A member that acknowledges after the majority has not received the commit index yet.
        send_commit_index(replica, group, effects, reply.source)
