"""Handle appends from the leader, as a follower or a learner."""

from marjorambridge.core.effects import Effect
from marjorambridge.replication.commits import publish_committed
from marjorambridge.replication.durability import send_after_sync
from marjorambridge.replication.entries import append_log_entries
from marjorambridge.replication.logs import (
    find_matching_position,
    get_last_index,
    get_term,
)
from marjorambridge.replication.messages import AppendReply, AppendRequest
from marjorambridge.replication.models import LogEntry, ReplicaId
from marjorambridge.replication.roles import become_follower, reset_election_timeout
from marjorambridge.replication.state import GroupState, ReplicaState, Role


def follow_leader(
    replica: ReplicaState, group: GroupState, effects: list[Effect], leader: ReplicaId, now: float
) -> None:
    """Become a follower of the current term's leader and reset the election timeout."""
    if group.role is not Role.FOLLOWER or group.leader != leader:
        become_follower(replica, group, effects, group.term, leader, now)
    group.leader_contact_at = now
    reset_election_timeout(replica, group, now)


def handle_append_request(
    replica: ReplicaState,
    group: GroupState,
    effects: list[Effect],
    request: AppendRequest,
    now: float,
) -> None:
    """Append the entries if the previous one matches; otherwise refuse the append."""
    if request.term < group.term:
        # The reply carries the current term, so that the old leader steps down.
        refuse_append(replica, group, effects, request)
        return
    follow_leader(replica, group, effects, request.source, now)
    previous, entries = request.previous_index, request.entries
    if previous < group.commit_index:
        # Committed entries are equal on all replicas, and `previous` may precede the log's base.
        entries = tuple(item for item in entries if item.index > group.commit_index)
        previous = group.commit_index
    elif get_term(group.log, previous) != request.previous_term:
        refuse_append(replica, group, effects, request)
        return
    new = skip_existing_entries(group, entries)
    if new:
        append_log_entries(replica, group, effects, new)
    match = previous + len(entries)
    commit = min(request.commit_index, match)
    if commit > group.commit_index:
        group.commit_index = commit
        publish_committed(replica, group, effects, now)
    acknowledge_entries(replica, group, effects, request.source, match, request.serial)


def skip_existing_entries(group: GroupState, entries: tuple[LogEntry, ...]) -> tuple[LogEntry, ...]:
    """Return the entries, starting with the first one that the log does not hold.

    Entries after the last matching one stay in the log, because a delayed, shorter append must not
    remove entries that were acknowledged since.
    """
    for position, entry in enumerate(entries):
        if get_term(group.log, entry.index) != entry.term:
            return entries[position:]
    return ()


def acknowledge_entries(
    replica: ReplicaState,
    group: GroupState,
    effects: list[Effect],
    leader: ReplicaId,
    match: int,
    serial: int,
) -> None:
    """Acknowledge entries up to `match` as soon as they and the term are synced."""
    ticket = group.vote_ticket
    if match > group.synced_index:
        ticket = max(ticket, group.append_ticket)
    reply = AppendReply(
        group=group.group,
        cluster=replica.cluster,
        source=replica.replica,
        target=leader,
        term=group.term,
        serial=serial,
        accepted=True,
        match_index=match,
    )
    send_after_sync(replica, group, effects, ticket, reply)


def refuse_append(
    replica: ReplicaState, group: GroupState, effects: list[Effect], request: AppendRequest
) -> None:
    """Refuse an append, with the last position at which the logs may match."""
    index = min(request.previous_index - 1, get_last_index(group.log))
    index, term = find_matching_position(group.log, index, request.previous_term)
    reply = AppendReply(
        group=group.group,
        cluster=replica.cluster,
        source=replica.replica,
        target=request.source,
        term=group.term,
        serial=request.serial,
        accepted=False,
        match_index=request.previous_index,
        hint_index=index,
        hint_term=term,
    )
    send_after_sync(replica, group, effects, group.vote_ticket, reply)
