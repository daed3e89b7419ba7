"""Change the term and the role of a replica in a group."""

from marjorambridge.core.effects import Effect
from marjorambridge.replication.durability import write_storage
from marjorambridge.replication.effects import SaveVote
from marjorambridge.replication.models import ReplicaId
from marjorambridge.replication.state import GroupState, ReplicaState, Role


def reset_election_timeout(replica: ReplicaState, group: GroupState, now: float) -> None:
    """Postpone the next election by a random time between one and two election timeouts."""
    timeout = replica.settings.election_timeout_seconds
    group.election_at = now + replica.random.uniform(timeout, 2 * timeout)


def set_initial_election_timeout(replica: ReplicaState, group: GroupState, now: float) -> None:
    """Set the first election timeout after a start, which is shorter than later ones.

    After a failure of all replicas there is no leader. If there is one, the other voters refuse the
    pre-vote, so that the early election has no effect.
    """
    timeout = replica.settings.election_timeout_seconds
    group.election_at = now + replica.random.uniform(timeout / 5, timeout)


def save_vote(
    replica: ReplicaState,
    group: GroupState,
    effects: list[Effect],
    term: int,
    voted_for: ReplicaId,
) -> None:
    """Set and write the term and the vote."""
    group.term = term
    group.voted_for = voted_for
    group.vote_ticket = write_storage(replica, effects, SaveVote(group.group, term, voted_for))


def become_follower(
    replica: ReplicaState,
    group: GroupState,
    effects: list[Effect],
    term: int,
    leader: ReplicaId,
    now: float,
) -> None:
    """Become a follower of `leader`, which may be unknown, in the current or a later term."""
    if term > group.term:
        save_vote(replica, group, effects, term, ReplicaId())
        group.leader = ReplicaId()
        group.partial = None
    if group.role is not Role.FOLLOWER:
        group.role = Role.FOLLOWER
        group.leader = ReplicaId()
        reset_election_timeout(replica, group, now)
    if leader.host:
        group.leader = leader
    group.votes.clear()
    group.progress.clear()
    group.tokens.clear()
    group.transfer_target = ReplicaId()
    group.election_request_sent = False
