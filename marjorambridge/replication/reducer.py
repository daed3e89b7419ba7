"""Dispatch the events of the replicated logs of one replica."""

from collections.abc import Callable
from typing import Any

from marjorambridge.core.effects import Effect, Publish
from marjorambridge.core.events import (
    Event,
    MessageReceived,
    ShutdownRequested,
    Started,
    TimerFired,
)
from marjorambridge.replication import models
from marjorambridge.replication.appends import handle_append_request
from marjorambridge.replication.bootstraps import (
    handle_cluster_offer,
    handle_join_timer,
    handle_probe_reply,
    handle_probe_request,
)
from marjorambridge.replication.commits import advance_commit
from marjorambridge.replication.durability import complete_sync, request_sync
from marjorambridge.replication.elections import (
    count_own_vote,
    handle_election_request,
    handle_election_timer,
    handle_vote_reply,
    handle_vote_request,
    set_election_timer,
)
from marjorambridge.replication.entries import append_own_entry
from marjorambridge.replication.events import (
    LeadershipTransferRequested,
    MembershipChangeRequested,
    PeersDiscovered,
    ProposalRefused,
    ProposalRequested,
    ReplicaHalted,
    SnapshotTaken,
    StorageFailed,
    StorageSynced,
)
from marjorambridge.replication.leaders import (
    broadcast_commit_index,
    broadcast_entries,
    handle_append_reply,
    handle_heartbeat_timer,
)
from marjorambridge.replication.memberships import (
    answer_challenge,
    handle_join_request,
    handle_membership_change_request,
    promote_learner,
    remove_unresponsive_voter,
)
from marjorambridge.replication.messages import (
    AppendReply,
    AppendRequest,
    ClusterOffer,
    ElectionRequest,
    GroupMessage,
    JoinChallenge,
    JoinRequest,
    ProbeReply,
    ProbeRequest,
    SnapshotChunk,
    SnapshotReply,
    VoteReply,
    VoteRequest,
)
from marjorambridge.replication.models import EntryKind, ReplicaId
from marjorambridge.replication.roles import become_follower, set_initial_election_timeout
from marjorambridge.replication.snapshots import (
    handle_snapshot_chunk,
    handle_snapshot_reply,
    handle_snapshot_taken,
)
from marjorambridge.replication.state import GroupState, ReplicaState, Role
from marjorambridge.replication.status_changes import publish_status_changes
from marjorambridge.replication.transfers import continue_transfer, start_transfer


def step(replica: ReplicaState, event: Event) -> list[Effect]:
    """Apply an event to the replica and return the effects.

    Events and messages of other packages are ignored. After a storage failure every event is
    ignored except proposals and membership changes, which are refused.
    """
    effects: list[Effect] = []
    handler = EVENT_HANDLERS.get(type(event))
    if handler is None or (replica.halted and not isinstance(event, ANSWERED_WHEN_HALTED)):
        return effects
    handler(replica, effects, event)
    request_sync(replica, effects)
    for group in replica.groups.values():
        publish_status_changes(replica, group, effects, event.now)
    return effects


def handle_started(replica: ReplicaState, effects: list[Effect], event: Started) -> None:
    """Set the election timers and handle the join timer for the first time."""
    for group in replica.groups.values():
        set_initial_election_timeout(replica, group, event.now)
        set_election_timer(group, effects)
    handle_join_timer(replica, effects, event.now)


def handle_timer(replica: ReplicaState, effects: list[Effect], event: TimerFired) -> None:
    """Handle a timer of this package."""
    if event.key.part != "replication":
        return
    if event.key.name == "join":
        handle_join_timer(replica, effects, event.now)
        return
    group = replica.groups[int(event.key.ident)]
    if event.key.name == "election":
        handle_election_timer(replica, group, effects, event.now)
        return
    handle_heartbeat_timer(replica, group, effects, event.now)
    promote_learner(replica, group, effects, event.now)
    remove_unresponsive_voter(replica, group, effects, event.now)
    group.election_request_sent = False
    continue_transfer(replica, group, effects)


def handle_shutdown(replica: ReplicaState, effects: list[Effect], event: ShutdownRequested) -> None:
    """Transfer the leadership of all groups."""
    for group in replica.groups.values():
        start_transfer(replica, group, effects, "", event.now)


def handle_transfer_request(
    replica: ReplicaState, effects: list[Effect], event: LeadershipTransferRequested
) -> None:
    """Transfer the leadership of a group."""
    group = replica.groups[event.group]
    start_transfer(replica, group, effects, event.host, event.now)


def handle_membership_change(
    replica: ReplicaState, effects: list[Effect], event: MembershipChangeRequested
) -> None:
    """Start a membership change, or refuse it."""
    handle_membership_change_request(replica, replica.groups[event.group], effects, event)


def handle_peers_discovered(
    replica: ReplicaState, effects: list[Effect], event: PeersDiscovered
) -> None:
    """Store the further hosts that join requests are sent to."""
    replica.discovered_peers = event.hosts


def handle_proposal(replica: ReplicaState, effects: list[Effect], event: ProposalRequested) -> None:
    """Append a proposal as the leader, or refuse it."""
    group = replica.groups[event.group]
    reason = ""
    if replica.halted:
        reason = f"this replica's storage failed ({replica.halted}); propose to another one"
    elif group.role is not Role.LEADER:
        reason = "this replica does not lead the group; propose to the leader"
    elif group.transfer_target.host:
        reason = "leadership is being transferred; propose again"
    elif not 0 < len(event.payload) <= replica.settings.max_proposal_bytes:
        limit = replica.settings.max_proposal_bytes
        reason = f"the payload must have 1 to {limit} bytes; split the command"
    if reason:
        refusal = ProposalRefused(event.now, event.group, event.proposal, reason, group.leader.host)
        effects.append(Publish(refusal))
        return
    index = append_own_entry(replica, group, effects, EntryKind.COMMAND, event.payload)
    group.proposals[index] = (group.term, event.proposal)
    broadcast_entries(replica, group, effects, event.now)


def handle_local_snapshot(
    replica: ReplicaState, effects: list[Effect], event: SnapshotTaken
) -> None:
    """Save a snapshot of the local state machine."""
    handle_snapshot_taken(replica, replica.groups[event.group], effects, event)


def handle_storage_synced(
    replica: ReplicaState, effects: list[Effect], event: StorageSynced
) -> None:
    """Send the messages that waited for the sync, and count this replica's vote and entries."""
    if event.ticket != replica.ticket_in_flight:
        return
    complete_sync(replica, effects, event.ticket)
    for group in replica.groups.values():
        count_own_vote(replica, group, effects, event.now)
        if group.role is Role.LEADER and advance_commit(replica, group, effects, event.now):
            broadcast_commit_index(replica, group, effects)


def handle_storage_failed(
    replica: ReplicaState, effects: list[Effect], event: StorageFailed
) -> None:
    """Halt this replica, because the content of its disk is unknown after a failure."""
    replica.halted = event.reason or "unknown reason"
    replica.held.clear()
    for group in replica.groups.values():
        become_follower(replica, group, effects, group.term, ReplicaId(), event.now)
        group.leader = ReplicaId()
    effects.append(Publish(ReplicaHalted(event.now, replica.halted)))


def handle_message(replica: ReplicaState, effects: list[Effect], event: MessageReceived) -> None:
    """Dispatch a message that is addressed to this disk of this host."""
    message = event.message
    bootstrap_handler = BOOTSTRAP_HANDLERS.get(type(message))
    group_handler = GROUP_HANDLERS.get(type(message))
    if (bootstrap_handler is None and group_handler is None) or message.source.host != event.sender:
        return
    target = getattr(message, "target", None)
    if target is not None and not models.is_same_replica(target, replica.replica):
        return
    if bootstrap_handler is not None:
        bootstrap_handler(replica, effects, message, event.now)
    elif group_handler is not None:
        group = replica.groups.get(message.group)
        if group is None or not replica.cluster or message.cluster != replica.cluster:
            return
        advance_term(replica, group, effects, message, event.now)
        group_handler(replica, group, effects, message, event.now)


def advance_term(
    replica: ReplicaState,
    group: GroupState,
    effects: list[Effect],
    message: GroupMessage,
    now: float,
) -> None:
    """Enter the later term of a message; vote requests are checked by their own handler."""
    if isinstance(message, VoteRequest | JoinRequest | JoinChallenge):
        return
    if message.term > group.term:
        become_follower(replica, group, effects, message.term, ReplicaId(), now)


def process_append_reply(
    replica: ReplicaState,
    group: GroupState,
    effects: list[Effect],
    reply: AppendReply,
    now: float,
) -> None:
    """Handle a reply to an append, then promote learners and continue a transfer."""
    handle_append_reply(replica, group, effects, reply, now)
    promote_learner(replica, group, effects, now)
    continue_transfer(replica, group, effects)


def handle_challenge(
    replica: ReplicaState,
    group: GroupState,
    effects: list[Effect],
    challenge: JoinChallenge,
    now: float,
) -> None:
    """Answer the leader's challenge."""
    answer_challenge(replica, group, effects, challenge)


ANSWERED_WHEN_HALTED = (ProposalRequested, MembershipChangeRequested)

EVENT_HANDLERS: dict[type, Callable[[ReplicaState, list[Effect], Any], None]] = {
    Started: handle_started,
    TimerFired: handle_timer,
    ShutdownRequested: handle_shutdown,
    MessageReceived: handle_message,
    ProposalRequested: handle_proposal,
    SnapshotTaken: handle_local_snapshot,
    LeadershipTransferRequested: handle_transfer_request,
    MembershipChangeRequested: handle_membership_change,
    PeersDiscovered: handle_peers_discovered,
    StorageSynced: handle_storage_synced,
    StorageFailed: handle_storage_failed,
}

BOOTSTRAP_HANDLERS: dict[type, Callable[[ReplicaState, list[Effect], Any, float], None]] = {
    ProbeRequest: handle_probe_request,
    ProbeReply: handle_probe_reply,
    ClusterOffer: handle_cluster_offer,
}

GROUP_HANDLERS: dict[type, Callable[[ReplicaState, GroupState, list[Effect], Any, float], None]] = {
    VoteRequest: handle_vote_request,
    VoteReply: handle_vote_reply,
    AppendRequest: handle_append_request,
    AppendReply: process_append_reply,
    SnapshotChunk: handle_snapshot_chunk,
    SnapshotReply: handle_snapshot_reply,
    ElectionRequest: handle_election_request,
    JoinRequest: handle_join_request,
    JoinChallenge: handle_challenge,
}
