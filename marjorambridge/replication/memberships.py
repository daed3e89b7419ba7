"""Change the members of a group, one at a time, and repair replicas that lost their disk.

The leader repairs a replica in three committed steps: it removes the old identity and marks the
host as pending, adds the new identity as a learner, and makes it a voter once it has caught up.
The pending mark is part of the membership, so that a new leader continues an unfinished repair.
"""

from marjorambridge.core.effects import Effect, Publish, SendMessage
from marjorambridge.replication.commits import compute_repair_stage
from marjorambridge.replication.entries import append_own_entry
from marjorambridge.replication.events import (
    MembershipAction,
    MembershipChangeRefused,
    MembershipChangeRequested,
    RepairStage,
)
from marjorambridge.replication.leaders import broadcast_entries, update_progress_table
from marjorambridge.replication.logs import get_last_index
from marjorambridge.replication.messages import JoinChallenge, JoinRequest
from marjorambridge.replication.models import (
    EntryKind,
    Member,
    MemberRole,
    Membership,
    ReplicaId,
    encode_membership,
)
from marjorambridge.replication.quorums import (
    find_member,
    find_member_of_host,
    get_membership,
    get_membership_at,
    list_voters,
)
from marjorambridge.replication.state import GroupState, ReplicaState, Role


def is_change_possible(group: GroupState) -> bool:
    """Return whether this leader may append a membership.

    The leader must have committed an entry of its term, so that no uncommitted change of an
    earlier term can still take effect, and the previous change must be committed. Otherwise two
    majorities might not overlap.
    """
    return (
        group.role is Role.LEADER
        and group.commit_index >= group.term_start_index
        and group.commit_index >= group.memberships[-1][0]
    )


def propose_membership(
    replica: ReplicaState,
    group: GroupState,
    effects: list[Effect],
    membership: Membership,
    now: float,
) -> None:
    """Append a membership, which is in effect from then on."""
    payload = encode_membership(membership)
    append_own_entry(replica, group, effects, EntryKind.MEMBERSHIP, payload)
    update_progress_table(replica, group, now)
    broadcast_entries(replica, group, effects, now)


def remove_host(membership: Membership, host: str, pending: bool) -> Membership:
    """Return a membership without the replica of a host, and with the host pending or not."""
    members = tuple(item for item in membership.members if item.replica.host != host)
    return Membership(members, set_pending(membership, host, pending))


def set_pending(membership: Membership, host: str, pending: bool) -> tuple[str, ...]:
    """Return the pending hosts with or without `host`."""
    hosts = {item for item in membership.pending if item != host}
    return tuple(sorted(hosts | {host} if pending else hosts))


def set_member_role(membership: Membership, replica: ReplicaId, role: MemberRole) -> Membership:
    """Return a membership with a replica in a role; a voter is no longer pending."""
    others = [item for item in membership.members if item.replica != replica]
    members = tuple(sorted([*others, Member(replica, role)]))
    return Membership(members, set_pending(membership, replica.host, role is MemberRole.LEARNER))


def handle_membership_change_request(
    replica: ReplicaState,
    group: GroupState,
    effects: list[Effect],
    event: MembershipChangeRequested,
) -> None:
    """Start a membership change that an operator requests, or refuse it."""
    membership = get_membership(group)
    member = find_member_of_host(membership, event.host)
    is_known = member is not None or event.host in membership.pending
    reason = ""
    if group.role is not Role.LEADER:
        reason = "this replica does not lead the group; send the request to the leader"
    elif not is_change_possible(group):
        reason = "another membership change is not committed yet; try again later"
    elif event.action is MembershipAction.ADD_HOST and is_known:
        reason = "the host is a member already; remove it first to replace it"
    elif event.action is MembershipAction.REMOVE_HOST and not is_known:
        reason = "the host is not a member; check its name"
    elif event.action is MembershipAction.REMOVE_HOST and (
        member and list_voters(membership) == [member.replica]
    ):
        reason = "the host has the last voter; add another host first"
    if reason:
        refusal = MembershipChangeRefused(event.now, group.group, event.host, reason)
        effects.append(Publish(refusal))
        return
    if event.action is MembershipAction.ADD_HOST:
        pending = set_pending(membership, event.host, True)
        changed = Membership(membership.members, pending)
    else:
        changed = remove_host(membership, event.host, False)
    propose_membership(replica, group, effects, changed, event.now)


def handle_join_request(
    replica: ReplicaState,
    group: GroupState,
    effects: list[Effect],
    request: JoinRequest,
    now: float,
) -> None:
    """Take the next step to make the sender a member, if its host is a member or pending.

    The sender repeats its request until it is a member, so a request that cannot be handled yet is
    ignored.
    """
    joining = request.source
    membership = get_membership(group)
    member = find_member_of_host(membership, joining.host)
    is_expected = member is not None or joining.host in membership.pending
    if not is_change_possible(group) or not is_expected or joining.host == replica.replica.host:
        return
    if member is not None and member.replica == joining:
        return
    if request.token == 0:
        # A delayed request of an earlier disk must not remove the current one.
        token = group.tokens.setdefault(joining, replica.random.getrandbits(62) + 1)
        challenge = JoinChallenge(group.group, replica.cluster, replica.replica, joining, token)
        effects.append(SendMessage(joining.host, challenge))
        return
    if group.tokens.get(joining) != request.token:
        # Only a request without a token is challenged; otherwise duplicates would multiply.
        return
    del group.tokens[joining]
    if member is not None:
        progress = group.progress.get(member.replica)
        timeout = replica.settings.election_timeout_seconds
        if progress is not None and now - progress.last_contact_at < timeout:
            return
        changed = remove_host(membership, joining.host, True)
    else:
        changed = set_member_role(membership, joining, MemberRole.LEARNER)
    propose_membership(replica, group, effects, changed, now)


def promote_learner(
    replica: ReplicaState, group: GroupState, effects: list[Effect], now: float
) -> None:
    """Make a learner a voter once it has caught up."""
    membership = get_membership(group)
    if not membership.pending or not is_change_possible(group):
        return
    required_index = get_last_index(group.log) - replica.settings.max_promotion_lag_entries
    required_index = max(required_index, group.memberships[-1][0])
    for member in membership.members:
        progress = group.progress.get(member.replica)
        if (
            member.role is MemberRole.LEARNER
            and progress
            and progress.match_index >= required_index
        ):
            changed = set_member_role(membership, member.replica, MemberRole.VOTER)
            propose_membership(replica, group, effects, changed, now)
            return


def remove_unresponsive_voter(
    replica: ReplicaState, group: GroupState, effects: list[Effect], now: float
) -> None:
    """Remove a voter that has not replied for the time set, if the number of voters is even.

    An even number of voters tolerates no more failures than the odd number below it, so that the
    unresponsive voter only makes a majority harder to reach. A voter that returns sends join
    requests again.
    """
    limit = replica.settings.unresponsive_voter_seconds
    membership = get_membership(group)
    voters = list_voters(membership)
    if limit <= 0 or len(voters) % 2 or not is_change_possible(group):
        return
    unresponsive = [
        (group.progress[voter].last_contact_at, voter)
        for voter in voters
        if voter in group.progress and now - group.progress[voter].last_contact_at > limit
    ]
    if unresponsive:
        changed = remove_host(membership, min(unresponsive)[1].host, False)
        propose_membership(replica, group, effects, changed, now)


def send_join_requests(
    replica: ReplicaState, group: GroupState, effects: list[Effect], now: float
) -> None:
    """Send join requests unless this replica is a member and in contact with a leader, or leads.

    A voter that was removed while it was cut off holds no entry that says so, and the leader sends
    it nothing any longer. The leader ignores the request of a replica that is a member.
    """
    membership = get_membership(group)
    contact_age = now - group.leader_contact_at
    is_member = find_member(membership, replica.replica) is not None
    has_contact = contact_age < 2 * replica.settings.election_timeout_seconds
    if group.role is Role.LEADER or (is_member and has_contact):
        return
    hosts = {*replica.settings.peers, *replica.discovered_peers}
    hosts.update(item.replica.host for item in membership.members)
    for host in sorted(hosts - {replica.replica.host}):
        request = JoinRequest(group.group, replica.cluster, replica.replica, 0)
        effects.append(SendMessage(host, request))


def answer_challenge(
    replica: ReplicaState, group: GroupState, effects: list[Effect], challenge: JoinChallenge
) -> None:
    """Send the leader's token back, which proves that the join request is not an old one."""
    request = JoinRequest(group.group, replica.cluster, replica.replica, challenge.token)
    effects.append(SendMessage(challenge.source.host, request))


def list_repairs(replica: ReplicaState) -> dict[tuple[int, str], RepairStage]:
    """Return the committed stage of each unfinished repair, by group and host.

    Only the leader's list is up to date; a host is repaired when the leaders of all groups have
    no entry for it.
    """
    repairs = {}
    for group in replica.groups.values():
        committed = get_membership_at(group, group.commit_index)
        for host in committed.pending:
            repairs[group.group, host] = compute_repair_stage(committed, host)
    return repairs
