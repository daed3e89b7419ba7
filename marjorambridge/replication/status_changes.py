"""Publish changes of log position and leadership."""

from marjorambridge.core.effects import Effect, Publish
from marjorambridge.replication.events import LeadershipChanged, LogPositionChanged
from marjorambridge.replication.logs import get_last_index
from marjorambridge.replication.quorums import get_membership, is_voter, list_voters
from marjorambridge.replication.state import GroupState, ReplicaState, Role


def publish_status_changes(
    replica: ReplicaState, group: GroupState, effects: list[Effect], now: float
) -> None:
    """Publish the log position and the leadership if they changed."""
    membership = get_membership(group)
    last_index = get_last_index(group.log)
    position = (last_index, group.commit_index, membership, replica.halted)
    if position != group.published_position:
        group.published_position = position
        voter = not replica.halted and is_voter(membership, replica.replica)
        voters = tuple(item.host for item in list_voters(membership))
        effects.append(
            Publish(
                LogPositionChanged(now, group.group, last_index, group.commit_index, voter, voters)
            )
        )
    is_leader = group.role is Role.LEADER and group.commit_index >= group.term_start_index
    leadership = (group.leader.host, group.term, is_leader)
    if leadership != group.published_leadership:
        group.published_leadership = leadership
        leader, term, _ = leadership
        effects.append(Publish(LeadershipChanged(now, group.group, leader, term, is_leader)))
