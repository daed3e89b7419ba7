"""Send votes and acknowledgements only after the writes that they confirm are synced.

At most one sync is in progress. Writes made meanwhile are covered by the next one, so that one
sync serves many proposals.
"""

from typing import Any

from marjorambridge.core.effects import Effect, SendMessage
from marjorambridge.replication.effects import StorageEffect, SyncStorage
from marjorambridge.replication.logs import get_last_index
from marjorambridge.replication.state import GroupState, HeldMessage, ReplicaState


def write_storage(replica: ReplicaState, effects: list[Effect], effect: StorageEffect) -> int:
    """Add a write and return the ticket of the sync that will cover it."""
    effects.append(effect)
    replica.dirty = True
    return replica.next_ticket


def request_sync(replica: ReplicaState, effects: list[Effect]) -> None:
    """Start a sync if there are writes that no sync covers and no sync is in progress."""
    if not replica.dirty or replica.ticket_in_flight or replica.halted:
        return
    replica.dirty = False
    replica.ticket_in_flight = replica.next_ticket
    replica.next_ticket += 1
    for group in replica.groups.values():
        group.syncing_index = get_last_index(group.log)
    effects.append(SyncStorage(replica.ticket_in_flight))


def complete_sync(replica: ReplicaState, effects: list[Effect], ticket: int) -> None:
    """Record a completed sync and send the messages that waited for it."""
    replica.synced_ticket = ticket
    replica.ticket_in_flight = 0
    for group in replica.groups.values():
        group.synced_index = max(group.synced_index, group.syncing_index)
    waiting: list[HeldMessage] = []
    for held in replica.held:
        if held.ticket > ticket:
            waiting.append(held)
        elif held.term == replica.groups[held.group].term:
            effects.append(SendMessage(held.to, held.message))
    replica.held = waiting


def send_after_sync(
    replica: ReplicaState,
    group: GroupState,
    effects: list[Effect],
    ticket: int,
    message: Any,
) -> None:
    """Send a message to its target once the sync with `ticket` is done."""
    if ticket <= replica.synced_ticket:
        effects.append(SendMessage(message.target.host, message))
        return
    replica.held.append(HeldMessage(ticket, group.group, group.term, message.target.host, message))
