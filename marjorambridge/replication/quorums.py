"""Count the voters of a group."""

from collections.abc import Iterable

from marjorambridge.replication import models
from marjorambridge.replication.models import Member, MemberRole, Membership, ReplicaId
from marjorambridge.replication.state import GroupState, Role


def get_membership(group: GroupState) -> Membership:
    """Return the latest membership in the log, committed or not."""
    return group.memberships[-1][1]


def get_membership_at(group: GroupState, index: int) -> Membership:
    """Return the membership in effect at a log index at or after the log's base."""
    found = group.memberships[0][1]
    for position, membership in group.memberships:
        if position <= index:
            found = membership
    return found


def list_voters(membership: Membership) -> list[ReplicaId]:
    """Return the identities of the voters."""
    return [item.replica for item in membership.members if item.role is MemberRole.VOTER]


def find_member(membership: Membership, replica: ReplicaId) -> Member | None:
    """Return the member with this host and disk."""
    for member in membership.members:
        if models.is_same_replica(member.replica, replica):
            return member
    return None


def find_member_of_host(membership: Membership, host: str) -> Member | None:
    """Return the member on a host, with any disk."""
    for member in membership.members:
        if member.replica.host == host:
            return member
    return None


def is_voter(membership: Membership, replica: ReplicaId) -> bool:
    """Return whether this disk of this host is a voter."""
    member = find_member(membership, replica)
    return member is not None and member.role is MemberRole.VOTER


def has_majority(membership: Membership, replicas: Iterable[ReplicaId]) -> bool:
    """Return whether the replicas include a majority of the voters."""
    counted = list(replicas)
    voters = list_voters(membership)
    count = sum(any(models.is_same_replica(voter, other) for other in counted) for voter in voters)
    return count * 2 > len(voters)


def has_leader_contact(group: GroupState, timeout_seconds: float, now: float) -> bool:
    """Return whether this replica leads, or had contact with its leader within the timeout.

    A leader without replies from a majority steps down by itself.
    """
    if group.role is Role.LEADER:
        return group.commit_index >= group.term_start_index
    return bool(group.leader.host) and now - group.leader_contact_at < timeout_seconds
