"""Advance the commit index and publish committed entries."""

from marjorambridge.core.effects import Effect, Publish
from marjorambridge.replication.events import (
    EntryCommitted,
    RepairStage,
    RepairStatus,
    SnapshotRequested,
)
from marjorambridge.replication.logs import get_entry, get_term
from marjorambridge.replication.models import EntryKind, MemberRole, Membership, ReplicaId
from marjorambridge.replication.quorums import (
    find_member_of_host,
    get_membership,
    get_membership_at,
    is_voter,
    list_voters,
)
from marjorambridge.replication.roles import become_follower
from marjorambridge.replication.state import GroupState, ReplicaState, Role


def is_of_current_term(group: GroupState, index: int) -> bool:
    """Return whether an entry is of the current term and may be committed by counting replicas.

    An entry of an older term can still be replaced although a majority holds it; it is committed
    by a later entry of the current term.
    """
    return get_term(group.log, index) == group.term


def compute_majority_index(replica: ReplicaState, group: GroupState) -> int:
    """Return the last index that is synced on a majority of the voters."""
    indexes = []
    for voter in list_voters(get_membership(group)):
        if voter == replica.replica:
            indexes.append(group.synced_index)
        else:
            progress = group.progress.get(voter)
            indexes.append(progress.match_index if progress else 0)
    indexes.sort(reverse=True)
    return indexes[len(indexes) // 2] if indexes else 0


def advance_commit(
    replica: ReplicaState, group: GroupState, effects: list[Effect], now: float
) -> bool:
    """Commit the entries that a majority has synced, as the leader; return whether any were."""
    index = compute_majority_index(replica, group)
    if index <= group.commit_index or not is_of_current_term(group, index):
        return False
    group.commit_index = index
    publish_committed(replica, group, effects, now)
    return True


def publish_committed(
    replica: ReplicaState, group: GroupState, effects: list[Effect], now: float
) -> None:
    """Publish the committed entries that were not published yet."""
    while group.applied_index < group.commit_index:
        index = group.applied_index + 1
        entry = get_entry(group.log, index)
        is_command = entry.kind is EntryKind.COMMAND
        term, proposal = group.proposals.pop(index, (0, ""))
        effects.append(
            Publish(
                EntryCommitted(
                    now,
                    group.group,
                    index,
                    entry.term,
                    entry.payload if is_command else b"",
                    proposal if term == entry.term else "",
                )
            )
        )
        if entry.kind is EntryKind.MEMBERSHIP:
            before = get_membership_at(group, index - 1)
            after = get_membership_at(group, index)
            publish_repair_stages(group, effects, before, after, now)
        group.applied_index = index
    covered = group.snapshot.index if group.snapshot else 0
    newest = max(covered, group.snapshot_requested_index)
    if group.applied_index - newest >= replica.settings.snapshot_interval_entries:
        group.snapshot_requested_index = group.applied_index
        effects.append(Publish(SnapshotRequested(now, group.group)))
    if (
        group.role is Role.LEADER
        and group.commit_index >= group.memberships[-1][0]
        and not is_voter(get_membership(group), replica.replica)
    ):
        become_follower(replica, group, effects, group.term, ReplicaId(), now)


def compute_repair_stage(membership: Membership, host: str) -> RepairStage:
    """Return the stage of the repair of a host's replica."""
    member = find_member_of_host(membership, host)
    if host not in membership.pending and member and member.role is MemberRole.VOTER:
        return RepairStage.REPAIRED
    return RepairStage.CATCHING_UP if member else RepairStage.WAITING


def publish_repair_stages(
    group: GroupState, effects: list[Effect], before: Membership, after: Membership, now: float
) -> None:
    """Publish the repair stage of each host that changed between two committed memberships."""
    for host in sorted({*before.pending, *after.pending}):
        member = find_member_of_host(after, host)
        if host not in after.pending and member is None:
            continue
        disk = member.replica.disk if member else ""
        stage = compute_repair_stage(after, host)
        previous = find_member_of_host(before, host)
        if (host in before.pending, previous) != (host in after.pending, member):
            effects.append(Publish(RepairStatus(now, group.group, host, disk, stage)))
