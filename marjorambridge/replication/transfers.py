"""Transfer leadership to another voter."""

from marjorambridge.core.effects import Effect, SendMessage
from marjorambridge.replication.logs import get_last_index
from marjorambridge.replication.messages import ElectionRequest
from marjorambridge.replication.quorums import get_membership, list_voters
from marjorambridge.replication.state import GroupState, ReplicaState, Role


def start_transfer(
    replica: ReplicaState, group: GroupState, effects: list[Effect], host: str, now: float
) -> None:
    """Choose the target and refuse proposals until it leads or an election timeout has passed."""
    if group.role is not Role.LEADER or group.transfer_target.host:
        return
    timeout = replica.settings.election_timeout_seconds
    candidates = [
        (group.progress[voter].match_index, voter)
        for voter in list_voters(get_membership(group))
        if voter in group.progress
        and host in ("", voter.host)
        and now - group.progress[voter].last_contact_at < timeout
    ]
    if not candidates:
        return
    group.transfer_target = max(candidates)[1]
    group.transfer_deadline = now + timeout
    continue_transfer(replica, group, effects)


def continue_transfer(replica: ReplicaState, group: GroupState, effects: list[Effect]) -> None:
    """Request an election from the target once it holds the whole log."""
    progress = group.progress.get(group.transfer_target)
    if group.role is not Role.LEADER or progress is None or group.election_request_sent:
        return
    if progress.match_index == get_last_index(group.log):
        group.election_request_sent = True
        request = ElectionRequest(
            group.group, replica.cluster, replica.replica, group.transfer_target, group.term
        )
        effects.append(SendMessage(group.transfer_target.host, request))
