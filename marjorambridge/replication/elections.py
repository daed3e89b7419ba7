"""Elect the leader of a group."""

from marjorambridge.core.effects import Effect, Measure, SendMessage, SetTimer
from marjorambridge.core.identity import TimerKey
from marjorambridge.replication.durability import send_after_sync
from marjorambridge.replication.entries import append_own_entry
from marjorambridge.replication.leaders import (
    broadcast_entries,
    set_heartbeat_timer,
    update_progress_table,
)
from marjorambridge.replication.logs import get_last_index, get_last_term
from marjorambridge.replication.messages import ElectionRequest, VoteReply, VoteRequest
from marjorambridge.replication.models import EntryKind, ReplicaId
from marjorambridge.replication.quorums import (
    get_membership,
    has_majority,
    is_voter,
    list_voters,
)
from marjorambridge.replication.roles import become_follower, reset_election_timeout, save_vote
from marjorambridge.replication.state import GroupState, ReplicaState, Role


def handle_election_timer(
    replica: ReplicaState, group: GroupState, effects: list[Effect], now: float
) -> None:
    """Start an election if the election timeout has elapsed, and set the timer again.

    A heartbeat postpones `election_at` without setting the timer again.
    """
    if now >= group.election_at:
        reset_election_timeout(replica, group, now)
        if group.role is not Role.LEADER:
            group.leader = ReplicaId()
            if replica.cluster and is_voter(get_membership(group), replica.replica):
                start_pre_election(replica, group, effects, now)
    set_election_timer(group, effects)


def set_election_timer(group: GroupState, effects: list[Effect]) -> None:
    """Set the election timer."""
    key = TimerKey("replication", "election", str(group.group))
    effects.append(SetTimer(key, group.election_at))


def make_vote_requests(
    replica: ReplicaState, group: GroupState, term: int, pre: bool
) -> list[VoteRequest]:
    """Return a vote request to each other voter."""
    return [
        VoteRequest(
            group=group.group,
            cluster=replica.cluster,
            source=replica.replica,
            target=voter,
            term=term,
            last_index=get_last_index(group.log),
            last_term=get_last_term(group.log),
            pre=pre,
            transfer=group.transfer_election,
        )
        for voter in list_voters(get_membership(group))
        if voter != replica.replica
    ]


def start_pre_election(
    replica: ReplicaState, group: GroupState, effects: list[Effect], now: float
) -> None:
    """Start a pre-vote, so that an isolated replica does not raise the term."""
    become_follower(replica, group, effects, group.term, ReplicaId(), now)
    group.role = Role.PRE_CANDIDATE
    group.transfer_election = False
    group.votes = {replica.replica}
    if has_majority(get_membership(group), group.votes):
        start_election(replica, group, effects)
        return
    for request in make_vote_requests(replica, group, group.term + 1, True):
        effects.append(SendMessage(request.target.host, request))


def start_election(replica: ReplicaState, group: GroupState, effects: list[Effect]) -> None:
    """Start an election in the next term.

    The requests wait for the sync as well. Otherwise a candidate that crashed could use the term
    again with a shorter log and count the votes that were granted for the longer one.
    """
    group.role = Role.CANDIDATE
    group.votes = set()
    effects.append(Measure("elections_started_total", 1.0, {"group": str(group.group)}))
    save_vote(replica, group, effects, group.term + 1, replica.replica)
    ticket = max(group.vote_ticket, group.append_ticket)
    for request in make_vote_requests(replica, group, group.term, False):
        send_after_sync(replica, group, effects, ticket, request)


def count_own_vote(
    replica: ReplicaState, group: GroupState, effects: list[Effect], now: float
) -> None:
    """Count the candidate's own vote once it is synced."""
    if group.role is Role.CANDIDATE and group.vote_ticket <= replica.synced_ticket:
        group.votes.add(replica.replica)
        become_leader_if_elected(replica, group, effects, now)


def handle_vote_request(
    replica: ReplicaState,
    group: GroupState,
    effects: list[Effect],
    request: VoteRequest,
    now: float,
) -> None:
    """Grant or refuse a vote.

    A replica in contact with a leader does not vote, so that a replica that was isolated, or was
    removed without receiving the change, does not depose a working leader.
    """
    timeout = replica.settings.election_timeout_seconds
    has_leader = group.role is Role.LEADER or now - group.leader_contact_at < timeout
    is_sticky = has_leader and not request.transfer
    position = (get_last_term(group.log), get_last_index(group.log))
    is_current = (request.last_term, request.last_index) >= position
    if request.pre:
        granted = request.term > group.term and is_current and not is_sticky
        reply = make_vote_reply(replica, group, request, granted)
        effects.append(SendMessage(request.source.host, reply))
        return
    if is_sticky:
        return
    if request.term > group.term:
        become_follower(replica, group, effects, request.term, ReplicaId(), now)
    granted = (
        request.term == group.term
        and is_current
        and group.voted_for in (ReplicaId(), request.source)
    )
    if granted:
        if group.voted_for != request.source:
            save_vote(replica, group, effects, group.term, request.source)
        reset_election_timeout(replica, group, now)
    reply = make_vote_reply(replica, group, request, granted)
    send_after_sync(replica, group, effects, group.vote_ticket, reply)


def make_vote_reply(
    replica: ReplicaState, group: GroupState, request: VoteRequest, granted: bool
) -> VoteReply:
    """Return the answer to a vote request."""
    return VoteReply(
        group=group.group,
        cluster=replica.cluster,
        source=replica.replica,
        target=request.source,
        term=group.term,
        election=request.term,
        pre=request.pre,
        granted=granted,
    )


def handle_vote_reply(
    replica: ReplicaState, group: GroupState, effects: list[Effect], reply: VoteReply, now: float
) -> None:
    """Count a vote."""
    if not reply.granted:
        return
    if reply.pre:
        if group.role is Role.PRE_CANDIDATE and reply.election == group.term + 1:
            group.votes.add(reply.source)
            if has_majority(get_membership(group), group.votes):
                start_election(replica, group, effects)
    elif group.role is Role.CANDIDATE and reply.election == group.term:
        group.votes.add(reply.source)
        become_leader_if_elected(replica, group, effects, now)


def become_leader_if_elected(
    replica: ReplicaState, group: GroupState, effects: list[Effect], now: float
) -> None:
    """Become the leader if a majority of the voters has granted its vote, this replica included."""
    if replica.replica not in group.votes:
        return
    if not has_majority(get_membership(group), group.votes):
        return
    group.role = Role.LEADER
    group.leader = replica.replica
    group.votes.clear()
    group.progress.clear()
    update_progress_table(replica, group, now)
    group.term_start_index = append_own_entry(replica, group, effects, EntryKind.NOOP)
    broadcast_entries(replica, group, effects, now)
    set_heartbeat_timer(group, effects, now + replica.settings.heartbeat_interval_seconds)


def handle_election_request(
    replica: ReplicaState,
    group: GroupState,
    effects: list[Effect],
    request: ElectionRequest,
    now: float,
) -> None:
    """Start an election at once, because the leader transfers leadership to this replica."""
    if request.term != group.term or group.role is not Role.FOLLOWER:
        return
    if not is_voter(get_membership(group), replica.replica):
        return
    reset_election_timeout(replica, group, now)
    group.leader = ReplicaId()
    group.transfer_election = True
    start_election(replica, group, effects)
