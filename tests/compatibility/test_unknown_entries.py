"""Guard the control log against entries and snapshots that only a later build can read.

A replica of this build stops there, says so, keeps its disk, and nobody acts upon its old state.
"""

import itertools

import msgspec
import pytest

from marjorambridge.control import replica
from marjorambridge.control.commands import DrainZone, ReplaceManifest, encode_command
from marjorambridge.control.events import CommandSubmitted
from marjorambridge.control.messages import FeedPoll
from marjorambridge.core.effects import Publish, WriteLog
from marjorambridge.core.events import MessageReceived
from marjorambridge.discovery.table import EndpointTable
from marjorambridge.replication.events import (
    EntryCommitted,
    SnapshotInstalled,
    SnapshotRequested,
)
from tests.control.fleet import Fleet

# Drains a zone, in a later build.
LATER_COMMAND = msgspec.msgpack.encode(["drain_later", "c9", "z1"])
ALL = frozenset(f"r{number}" for number in range(5))


class MixedFleet(Fleet):
    """A fleet whose replicas are of a later build, except for those in `older`."""

    def __init__(self, monkeypatch, **options):
        self.older = frozenset()
        apply_entry = replica.apply_entry

        def apply_any(state, index, payload):
            is_older = any(self.control(name).control is state for name in self.older)
            if payload == LATER_COMMAND and not is_older:
                payload = encode_command(DrainZone("c9", "z1"))
            return apply_entry(state, index, payload)

        monkeypatch.setattr(replica, "apply_entry", apply_any)
        super().__init__(**options)
        self.run(3)
        self.submit("r0", ReplaceManifest("c1", 1, b"one"))
        self.report("r1", "e1")
        self.run(3)
        assert self.known_version("g0") == 1

    def find_leader(self):
        return next(name for name in sorted(ALL) if self.control(name).is_leader)

    def submit_later_command(self):
        author = min(ALL - self.older)
        self.dispatch(author, CommandSubmitted(self.now, "c9", LATER_COMMAND))

    def list_drained(self, gateway):
        """Return the drained zones of a host after each change of them."""
        zones = [n.update.drained for n in self.updates(gateway) if n.can_apply_zones]
        return [zone for zone, _ in itertools.groupby(zones)]

    def last_index(self):
        name = min(name for name in ALL - self.older)
        return self.control(name).control.index

    def find_polled(self, gateway):
        return self.hosts[gateway].node.parts["control"].state.polled_replica


def make_state():
    state = replica.ControlReplicaState(
        "r0", "z1", 1, lambda now: True, EndpointTable(1.0), zones={"r0": "z1"}
    )
    state.confirmed = True
    return state


def test_an_unknown_command_stops_a_replica_with_a_clear_error():
    """The state would lack the command, or the process would end."""
    state = make_state()
    drain = encode_command(DrainZone("c1", "z2"))
    replica.step(state, EntryCommitted(1.0, 0, 1, 1, drain, ""))
    (line,) = replica.step(state, EntryCommitted(1.0, 0, 2, 1, LATER_COMMAND, ""))
    assert isinstance(line, WriteLog) and line.level == "error"
    assert "drain_later" in line.fields["reason"]
    assert "check that all replicas run the same version" in line.fields["reason"]
    assert state.halted and not replica.is_current(state, 1.0)
    # The index tells hosts which of two states is the later one.
    assert state.control.index == 1
    assert replica.step(state, EntryCommitted(1.0, 0, 3, 1, drain, "")) == []
    assert replica.step(state, SnapshotRequested(1.0, 0)) == []


def test_an_unreadable_snapshot_stops_a_replica_with_a_clear_error():
    """The state would lack what is in the snapshot, or the process would end."""
    state = make_state()
    (line,) = replica.step(state, SnapshotInstalled(1.0, 0, 9, 1, b"\x93later"))
    assert isinstance(line, WriteLog) and line.level == "error"
    assert "unreadable snapshot" in line.fields["reason"]
    assert state.halted and state.control.index == 0
    assert replica.step(state, SnapshotRequested(1.0, 0)) == []


def test_a_stopped_replica_sends_neither_manifest_nor_endpoints():
    """A host that starts would serve from a state that lacks an acknowledged command."""
    state = make_state()
    manifest = encode_command(ReplaceManifest("c1", 1, b"one"))
    replica.step(state, EntryCommitted(1.0, 0, 1, 1, manifest, ""))
    replica.step(state, EntryCommitted(1.0, 0, 2, 1, LATER_COMMAND, ""))
    poll = FeedPoll(1, 0, 0, 0, "z1", may_be_old=True)
    effects = replica.step(state, MessageReceived(60.0, "g0", 1, poll))
    (update,) = [effect.message for effect in effects if hasattr(effect, "message")]
    assert (update.document, update.changed, update.current) == (b"", (), False)
    assert not any(isinstance(effect, Publish) for effect in effects)


@pytest.mark.parametrize("stops_leader", [False, True])
def test_hosts_keep_the_state_of_the_later_replicas(monkeypatch, stops_leader):
    """A drained zone would get requests again at the hosts that poll the stopped replica."""
    fleet = MixedFleet(monkeypatch)
    leader = fleet.find_leader()
    others = [fleet.find_polled("g0"), *sorted(ALL - {leader})]
    stopped = leader if stops_leader else next(name for name in others if name != leader)
    fleet.older = frozenset({stopped})
    fleet.submit_later_command()
    fleet.run(10)
    assert fleet.control(stopped).halted
    assert all(fleet.list_drained(gateway) == [(), ("z1",)] for gateway in ("g0", "g1"))
    assert stopped not in {fleet.find_polled(gateway) for gateway in ("g0", "g1")}
    author = min(ALL - {stopped})
    fleet.submit(author, ReplaceManifest("c10", 2, b"two"))
    fleet.run(5)
    assert fleet.is_applied(author, "c10")
    assert fleet.known_version("g0") == fleet.known_version("g1") == 2


def test_a_stopped_replica_does_not_fill_the_log(monkeypatch):
    """Its own commands would be sent again for ever, because it never sees them applied."""
    fleet = MixedFleet(monkeypatch)
    leader = fleet.find_leader()
    stopped = max(ALL - {leader})
    fleet.older = frozenset({stopped})
    fleet.submit_later_command()
    fleet.run(5)
    index = fleet.last_index()
    fleet.report(stopped, "e2")
    fleet.run(60)
    # The other replicas may register the new endpoint.
    assert fleet.last_index() - index <= 5


def test_the_disk_of_a_stopped_replica_serves_the_later_build(monkeypatch):
    """The way forward would need a repair of the disk, or lose commands."""
    fleet = MixedFleet(monkeypatch)
    stopped = max(ALL - {fleet.find_leader()})
    fleet.older = frozenset({stopped})
    fleet.submit_later_command()
    fleet.run(3)
    before = fleet.hosts[stopped].disk.durable
    assert fleet.control(stopped).halted and before.groups[0].snapshot is None
    fleet.kill(stopped)
    fleet.start(stopped)
    fleet.run(10)
    assert fleet.control(stopped).halted, "the same build stops at the same entry"
    fleet.kill(stopped)
    fleet.older = frozenset()
    fleet.start(stopped)
    fleet.run(10)
    control = fleet.control(stopped)
    assert not control.halted and control.confirmed
    assert "z1" in control.control.drained and control.control.version == 1


def test_replicas_of_an_older_build_alone_serve_nothing_new(monkeypatch):
    """After the way back of all replicas, a host would start with a state that lacks a command."""
    fleet = MixedFleet(monkeypatch)
    fleet.submit_later_command()
    fleet.run(3)
    fleet.older = ALL
    for name in sorted(ALL):
        fleet.kill(name)
        fleet.start(name)
    fleet.run(10)
    assert all(fleet.control(name).halted for name in ALL)
    fleet.start("g0")
    fleet.run(60)
    assert fleet.known_version("g0") == 0 and fleet.known_endpoints("g0") == {}
    assert fleet.list_drained("g1") == [(), ("z1",)]
