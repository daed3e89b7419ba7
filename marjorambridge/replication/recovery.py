"""Restore the state of a replica from what storage recovered."""

import random

from marjorambridge.core.effects import Effect, Publish
from marjorambridge.replication.bootstraps import make_initial_membership
from marjorambridge.replication.events import SnapshotInstalled
from marjorambridge.replication.exceptions import RecoveredStateError
from marjorambridge.replication.logs import Log, get_last_index, get_last_term
from marjorambridge.replication.models import (
    EntryKind,
    RecoveredGroup,
    RecoveredReplica,
    ReplicaId,
    decode_membership,
)
from marjorambridge.replication.state import GroupState, ReplicaState, ReplicationSettings
from marjorambridge.replication.status_changes import publish_status_changes


def recover(
    settings: ReplicationSettings, recovered: RecoveredReplica, seed: int, now: float
) -> tuple[ReplicaState, list[Effect]]:
    """Restore a replica's state; the event `Started` then sets its timers.

    Entries after the snapshot are published again once they are known to be committed.

    Parameters
    ----------
    settings : ReplicationSettings
        Settings of this replica.
    recovered : RecoveredReplica
        What storage recovered; a new data folder has no cluster and no groups.
    seed : int
        Seed of the random timeouts; must differ between replicas and process starts.
    now : float
        Monotonic time in seconds.

    Returns
    -------
    tuple of ReplicaState and list of Effect
        The state, and `Publish` effects with each group's snapshot and log position.

    Raises
    ------
    RecoveredStateError
        If the recovered data contradict each other.
    """
    if not recovered.cluster and any(
        item.term or item.snapshot or item.entries for item in recovered.groups.values()
    ):
        raise RecoveredStateError(
            "the data folder has logs but no cluster identity; move the folder away, so that the "
            "replica is repaired from its peers"
        )
    replica = ReplicaState(
        settings=settings,
        replica=ReplicaId(settings.host, recovered.disk),
        random=random.Random(seed),
        cluster=recovered.cluster,
        founders=recovered.founders,
    )
    effects: list[Effect] = []
    for number in range(settings.groups):
        stored = recovered.groups.get(number) or RecoveredGroup()
        group = recover_group(replica, number, stored)
        replica.groups[number] = group
        snapshot = group.snapshot
        if snapshot is not None:
            installed = SnapshotInstalled(now, number, snapshot.index, snapshot.term, snapshot.data)
            effects.append(Publish(installed))
        publish_status_changes(replica, group, effects, now)
    return replica, effects


def recover_group(replica: ReplicaState, number: int, stored: RecoveredGroup) -> GroupState:
    """Restore the state of one group.

    Raises
    ------
    RecoveredStateError
        If entries are missing.
    """
    snapshot = stored.snapshot
    log = Log(snapshot.index, snapshot.term) if snapshot else Log()
    initial = make_initial_membership(replica.founders)
    memberships = [(log.base_index, snapshot.membership if snapshot else initial)]
    for entry in stored.entries:
        if entry.index != get_last_index(log) + 1:
            raise RecoveredStateError(
                f"group {number} has entry {entry.index} after {get_last_index(log)}; move the "
                "data folder away, so that the replica is repaired from its peers"
            )
        log.entries.append(entry)
        if entry.kind is EntryKind.MEMBERSHIP:
            memberships.append((entry.index, decode_membership(entry.payload)))
    term, voted_for = stored.term, stored.voted_for
    if get_last_term(log) > term:
        # The entries of a term may reach the disk before the term itself, but a vote never does
        # without its term, so there was no vote in the later term.
        term, voted_for = get_last_term(log), ReplicaId()
    return GroupState(
        group=number,
        log=log,
        term=term,
        voted_for=voted_for,
        commit_index=log.base_index,
        applied_index=log.base_index,
        snapshot=snapshot,
        memberships=memberships,
        synced_index=get_last_index(log),
        syncing_index=get_last_index(log),
    )
