"""Guard a claims group against entries and snapshots that only a later build can read."""

import msgspec

from marjorambridge.claims import replica
from marjorambridge.claims.state_machine import take_snapshot
from marjorambridge.core.effects import Publish, SendMessage, WriteLog
from marjorambridge.core.events import TimerFired
from marjorambridge.core.identity import TimerKey
from marjorambridge.replication.events import (
    EntryCommitted,
    LeadershipChanged,
    SnapshotInstalled,
    SnapshotRequested,
)
from tests.claims.test_replica import get_proposals, make_leader, receive

LATER_BATCH = msgspec.msgpack.encode([1.0, [["later", b"x" * 16]], None])


def list_answers(effects):
    sent = [effect.message for effect in effects if isinstance(effect, SendMessage)]
    return [(message.status, message.leader) for message in sent]


def list_lines(effects):
    return [effect for effect in effects if isinstance(effect, WriteLog)]


def halt(state, index=1):
    return replica.step(state, EntryCommitted(1.0, 1, index, 1, LATER_BATCH, ""))


def test_an_unknown_command_stops_the_group_and_not_the_process():
    """The process would end, and again after each start, with the callers that it serves."""
    state = make_leader()
    receive(state, 1)
    effects = halt(state)
    (line,) = list_lines(effects)
    assert line.level == "error" and "later" in line.fields["reason"]
    assert list_answers(effects) == [("unavailable", "")]
    group = state.groups[1]
    assert group.halted and group.index == 0 and not group.waiting


def test_a_stopped_group_grants_nothing():
    """A claim could be granted that an entry which was not applied has granted to another host."""
    state = make_leader()
    proposal = get_proposals(receive(state, 1))[0]
    halt(state)
    late = EntryCommitted(1.1, 1, 2, 1, proposal.payload, proposal.proposal)
    assert replica.step(state, late) == []
    assert list_answers(receive(state, 2)) == [("unavailable", "")]
    assert get_proposals(replica.step(state, LeadershipChanged(1.2, 1, "host-1", 2, True))) == []
    fired = TimerFired(1.3, TimerKey("claims", "batch", "1"))
    assert replica.step(state, fired) == []
    assert not state.groups[1].machine.open and state.groups[1].index == 0


def test_a_stopped_group_names_another_leader():
    """Hosts would wait for a replica that can't answer."""
    state = make_leader()
    halt(state)
    replica.step(state, LeadershipChanged(1.2, 1, "host-2", 2, False))
    assert list_answers(receive(state, 2)) == [("unavailable", "host-2")]


def test_a_stopped_group_takes_no_snapshot():
    """The entries that it could not apply would be removed from its disk."""
    state = make_leader()
    halt(state)
    assert replica.step(state, SnapshotRequested(1.0, 1)) == []


def test_an_unreadable_snapshot_stops_the_group_until_it_gets_one_that_it_reads():
    """The process would end, or the group stay stopped after a repair."""
    state, other = make_leader(), make_leader()
    proposal = get_proposals(receive(other, 7))[0]
    replica.step(other, EntryCommitted(1.0, 1, 1, 1, proposal.payload, proposal.proposal))
    data = take_snapshot(other.groups[1].machine)
    effects = replica.step(state, SnapshotInstalled(1.0, 1, 8, 1, b"\x93later"))
    assert [line.level for line in list_lines(effects)] == ["error"]
    assert state.groups[1].halted and state.groups[1].index == 0
    assert replica.step(state, SnapshotInstalled(2.0, 1, 9, 1, data)) == []
    group = state.groups[1]
    assert not group.halted and group.index == 9
    assert take_snapshot(group.machine) == data
    assert any(isinstance(effect, Publish) for effect in receive(state, 8))
