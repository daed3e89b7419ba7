"""Test single behaviours of the replicated log with directed schedules of events and faults."""

import msgspec
import pytest

from marjorambridge.conf import defaults
from marjorambridge.core.effects import SendMessage
from marjorambridge.core.events import MessageReceived, ShutdownRequested
from marjorambridge.replication import events as ev
from marjorambridge.replication import messages
from marjorambridge.replication.effects import SyncStorage
from marjorambridge.replication.memberships import list_repairs
from marjorambridge.replication.models import ReplicaId
from marjorambridge.replication.reducer import step
from marjorambridge.replication.state import Role
from tests.replication.fleets import Fleet


def start_fleet(count=3, seed=1, **settings):
    fleet = Fleet(count, seed, **settings)
    fleet.run_until(fleet.are_all_disks_voters)
    return fleet


def list_followers(fleet):
    leader = fleet.wait_for_leader().host
    return [host for host in fleet.peers if host != leader]


def test_replicas_with_the_bootstrap_flag_create_one_cluster():
    fleet = Fleet(5, groups=3)
    fleet.run_until(fleet.are_all_disks_voters)
    assert len({replica.state.cluster for replica in fleet.replicas.values()}) == 1
    assert set(fleet.memberships) == {0, 1, 2}


def test_a_cluster_is_created_only_with_every_peer_the_flag_and_equal_settings():
    fleet = Fleet(3)
    fleet.crash("r2")
    fleet.run(10.0)
    assert not any(replica.disk.durable.cluster for replica in fleet.replicas.values())
    fleet = Fleet(3, bootstrap_hosts=[])
    fleet.run(10.0)
    assert not any(replica.disk.durable.cluster for replica in fleet.replicas.values())
    # Replicas with different lists of peers could create two clusters that both have a majority.
    fleet = Fleet(3)
    fleet.replicas["r1"].state.settings.peers = ("r0", "r1")
    fleet.run(10.0)
    assert not any(replica.disk.durable.cluster for replica in fleet.replicas.values())


def test_a_wiped_replica_with_the_bootstrap_flag_creates_no_second_cluster():
    fleet = start_fleet()
    fleet.commit(3)
    for host in ("r1", "r2"):
        fleet.crash(host)
    fleet.wipe("r0")
    fleet.run(10.0)
    assert fleet.replicas["r0"].state.cluster == ""
    assert fleet.find_leader() is None
    fleet.start("r1")
    fleet.run(10.0)
    # One old voter of three is no majority, whatever the wiped replica replies.
    assert fleet.find_leader() is None
    fleet.start("r2")
    fleet.end_faults_and_check()


def test_repair_is_reported_after_the_last_step_and_survives_a_second_loss():
    fleet = start_fleet()
    fleet.commit(50)
    first, second = list_followers(fleet)
    fleet.wipe(first)
    fleet.run_until(lambda: fleet.list_events(ev.RepairStatus))
    fleet.run_until(fleet.are_all_disks_voters)
    leader = fleet.wait_for_leader()
    assert list_repairs(leader.state) == {}
    stages = [(e.stage, e.disk) for e in fleet.list_events(ev.RepairStatus, leader.host)]
    disk = fleet.replicas[first].disk.durable.disk
    assert stages == [
        (ev.RepairStage.WAITING, ""),
        (ev.RepairStage.CATCHING_UP, disk),
        (ev.RepairStage.REPAIRED, disk),
    ]
    # The repaired replica and one other are a majority that holds all committed entries.
    fleet.crash(second)
    fleet.commit(5)
    fleet.crash(leader.host)
    fleet.start(second)
    fleet.commit(5)
    fleet.end_faults_and_check()


def test_a_new_leader_finishes_a_repair():
    fleet = start_fleet(5)
    fleet.commit(5)
    first = list_followers(fleet)[0]
    fleet.wipe(first)
    fleet.run_until(lambda: fleet.list_events(ev.RepairStatus))
    fleet.crash(fleet.wait_for_leader().host)
    fleet.wait_for_leader()
    fleet.run_until(lambda: first in fleet.list_voter_hosts(), 20.0)
    fleet.end_faults_and_check()


def test_a_delayed_join_request_of_an_old_disk_removes_no_member():
    fleet = start_fleet()
    fleet.commit(1)
    first = list_followers(fleet)[0]
    fleet.wipe(first)
    fleet.run_until(lambda: fleet.list_events(ev.RepairStatus))
    old = next(
        m for m in fleet.sent if isinstance(m, messages.JoinRequest) and m.source.host == first
    )
    fleet.run_until(fleet.are_all_disks_voters)
    old.source = ReplicaId(first, "earlier-disk")
    fleet.crash(first)
    fleet.run(1.0)
    leader = fleet.wait_for_leader()
    fleet.deliver_event(leader, leader.incarnation, MessageReceived(fleet.now, first, 1, old))
    fleet.run(1.0)
    assert first in fleet.list_voter_hosts()


def test_operator_adds_and_removes_hosts_one_at_a_time():
    fleet = Fleet(3, spare=1)
    fleet.run_until(fleet.are_all_disks_voters)
    leader = fleet.wait_for_leader()
    action = ev.MembershipAction
    for host in ("r3", "r9"):
        request = ev.MembershipChangeRequested(fleet.now, 0, action.ADD_HOST, host)
        fleet.deliver_event(leader, leader.incarnation, request)
    assert [e.host for e in fleet.list_events(ev.MembershipChangeRefused)] == ["r9"]
    fleet.run_until(lambda: "r3" in fleet.list_voter_hosts())
    fleet.run(0.5)
    request = ev.MembershipChangeRequested(fleet.now, 0, action.REMOVE_HOST, leader.host)
    fleet.deliver_event(leader, leader.incarnation, request)
    fleet.run_until(lambda: leader.host not in fleet.list_voter_hosts())
    assert leader.state.groups[0].role is not Role.LEADER
    assert fleet.wait_for_leader(without=(leader.host,)).host != leader.host
    fleet.commit(3)


def test_a_lagging_replica_gets_a_snapshot_in_chunks_and_the_log_stays_bounded():
    fleet = start_fleet()
    lagging = list_followers(fleet)[0]
    fleet.crash(lagging)
    fleet.commit(100)
    fleet.loss = 0.1
    fleet.sent.clear()
    fleet.start(lagging)
    fleet.run_until(lambda: fleet.replicas[lagging].applied.get(0, 0) >= 100, 30.0)
    assert len({m.offset for m in fleet.sent if isinstance(m, messages.SnapshotChunk)}) >= 5
    fleet.end_faults_and_check()
    for replica in fleet.replicas.values():
        assert len(replica.state.groups[0].log.entries) <= 30
        assert len(replica.disk.durable.groups[0].entries) <= 30


def test_leadership_transfers_within_an_election_timeout_on_request_and_on_shutdown():
    fleet = start_fleet()
    fleet.commit(3)
    leader, target = fleet.wait_for_leader(), list_followers(fleet)[0]
    start = fleet.now
    event = ev.LeadershipTransferRequested(fleet.now, 0, target)
    fleet.deliver_event(leader, leader.incarnation, event)
    fleet.run_until(lambda: fleet.find_leader() and fleet.find_leader().host == target)
    assert fleet.now - start < defaults.ELECTION_TIMEOUT_SECONDS
    leader = fleet.wait_for_leader()
    start = fleet.now
    fleet.deliver_event(leader, leader.incarnation, ShutdownRequested(fleet.now, False))
    fleet.wait_for_leader(without=(leader.host,))
    assert fleet.now - start < defaults.ELECTION_TIMEOUT_SECONDS
    fleet.end_faults_and_check()


def test_proposals_are_refused_during_a_transfer_that_times_out():
    fleet = start_fleet()
    leader, target = fleet.wait_for_leader(), list_followers(fleet)[0]
    fleet.links_down = {(target, leader.host), (leader.host, target)}
    fleet.propose(leader.host)
    fleet.run(0.1)
    event = ev.LeadershipTransferRequested(fleet.now, 0, target)
    fleet.deliver_event(leader, leader.incarnation, event)
    refused = fleet.propose(leader.host)
    assert [e.proposal for e in fleet.list_events(ev.ProposalRefused)] == [refused]
    fleet.run(1.0)
    fleet.commit(1)


def test_an_isolated_leader_steps_down_and_another_is_elected_in_time():
    fleet = start_fleet()
    old = fleet.wait_for_leader()
    fleet.isolated = {old.host}
    start = fleet.now
    lost = fleet.propose(old.host)
    fleet.wait_for_leader(without=(old.host,))
    assert fleet.now - start < 2.0
    fleet.run(1.0)
    assert old.state.groups[0].role is not Role.LEADER
    assert lost not in fleet.acknowledged
    term = fleet.find_leader().state.groups[0].term
    fleet.run(10.0)
    fleet.end_faults_and_check()
    # Pre-vote keeps the returning replica from raising the term.
    assert fleet.find_leader().state.groups[0].term == term


def test_many_proposals_share_one_sync():
    fleet = start_fleet()
    leader = fleet.wait_for_leader()
    fleet.run(0.5)
    effects = []
    for number in range(500):
        payload = b"payload-%d" % number
        event = ev.ProposalRequested(fleet.now, 0, f"x{number}", payload)
        fleet.proposed[event.proposal] = payload
        effects.extend(step(leader.state, event))
    assert sum(isinstance(effect, SyncStorage) for effect in effects) == 1
    sent = [effect for effect in effects if isinstance(effect, SendMessage)]
    assert len(sent) <= 2 * defaults.MAX_APPENDS_IN_FLIGHT
    fleet.execute_effects(leader, effects)
    fleet.run_until(lambda: "x499" in fleet.acknowledged)


def test_appends_and_refusals_respect_the_frame_limit():
    fleet = start_fleet(max_append_bytes=defaults.MAX_APPEND_BYTES)
    lagging = list_followers(fleet)[0]
    fleet.crash(lagging)
    fleet.commit(12, size=200_000)
    refused = fleet.propose(fleet.wait_for_leader().host, size=defaults.MAX_PROPOSAL_BYTES)
    assert [e.proposal for e in fleet.list_events(ev.ProposalRefused)] == [refused]
    fleet.commit(1, size=defaults.MAX_PROPOSAL_BYTES - 100)
    fleet.start(lagging)
    fleet.end_faults_and_check()
    size = max(len(msgspec.msgpack.encode(message)) for message in fleet.sent)
    assert size < 0.6 * defaults.MAX_FRAME_BYTES


@pytest.mark.parametrize("is_leader", [True, False])
def test_a_replica_with_a_full_disk_halts_and_the_others_go_on(is_leader):
    fleet = start_fleet()
    leader = fleet.wait_for_leader()
    host = leader.host if is_leader else list_followers(fleet)[0]
    fleet.replicas[host].disk.full = True
    fleet.propose(leader.host)
    fleet.run_until(lambda: fleet.list_events(ev.ReplicaHalted, host))
    fleet.sent.clear()
    fleet.wait_for_leader(without=(host,))
    fleet.commit(5)
    fleet.replicas[host].disk.full = False
    fleet.run(5.0)
    assert not [m for m in fleet.sent if m.source.host == host]
    assert fleet.list_events(ev.LogPositionChanged, host)[-1].voter is False
    fleet.end_faults_and_check()


def test_position_counts_entries_before_they_are_synced():
    fleet = start_fleet()
    leader = fleet.wait_for_leader()
    fleet.run(1.0)
    before = fleet.list_events(ev.LogPositionChanged, leader.host)[-1]
    assert before.voter and set(before.voters) == set(fleet.peers)
    fleet.sync_delay = 100.0
    fleet.propose(leader.host)
    fleet.run(0.3)
    for host in fleet.peers:
        after = fleet.list_events(ev.LogPositionChanged, host)[-1]
        assert after.last_index == before.last_index + 1
        assert after.commit_index == before.commit_index


def test_all_replicas_restart_and_publish_snapshot_and_entries_again():
    fleet = start_fleet()
    fleet.commit(30)
    # Members receive a commit index at once; the snapshot that it causes is still to be synced.
    fleet.run(0.1)
    for host in fleet.peers:
        fleet.crash(host)
    fleet.events.clear()
    for host in fleet.peers:
        fleet.start(host)
    fleet.end_faults_and_check()
    for host in fleet.peers:
        assert fleet.list_events(ev.SnapshotInstalled, host)[0].index >= 20
        assert fleet.list_events(ev.EntryCommitted, host)


@pytest.mark.parametrize("has_snapshot", [False, True])
def test_lost_late_and_repeated_messages_do_not_multiply(has_snapshot):
    fleet = start_fleet(5, snapshot_interval_entries=50 if has_snapshot else 10_000)
    lagging = list_followers(fleet)[0]
    fleet.crash(lagging)
    fleet.commit(400, size=100)
    fleet.loss, fleet.duplication, fleet.delay = 0.2, 0.5, 0.2
    fleet.start(lagging)
    fleet.sent.clear()
    fleet.run(5.0)
    # Each of four followers gets at most a window of appends and a heartbeat, and answers them,
    # for each heartbeat interval of the leader.
    limit = 4 * 2 * (defaults.MAX_APPENDS_IN_FLIGHT + 1) * 5.0 / defaults.HEARTBEAT_INTERVAL_SECONDS
    assert len(fleet.sent) < limit
    fleet.end_faults_and_check()


def test_repeated_join_requests_do_not_multiply():
    fleet = start_fleet(5)
    fleet.commit(1)
    first, second = list_followers(fleet)[:2]
    fleet.duplication = 0.5
    fleet.isolated = {first}
    fleet.run(1.0)
    fleet.sent.clear()
    # The old disk was in contact just now, so the leader ignores the new one several times.
    fleet.wipe(second)
    for _ in range(300):
        fleet.run(0.01)
        leader = fleet.find_leader()
        for progress in leader.state.groups[0].progress.values() if leader else ():
            progress.last_contact_at = fleet.now
    joins = [m for m in fleet.sent if isinstance(m, messages.JoinRequest | messages.JoinChallenge)]
    # The new disk sends join requests to four hosts every half second.
    assert len(joins) < 3.0 / defaults.JOIN_RETRY_INTERVAL_SECONDS * 4 * 4


def test_a_member_that_acknowledges_late_receives_the_commit_index_at_once():
    """Guard against followers that apply a committed entry only at the next heartbeat."""
    fleet = start_fleet(5)
    leader = fleet.find_leader()
    fleet.run(1.0)
    fleet.propose(leader.host)
    fleet.run(0.06)
    for host in fleet.peers:
        positions = fleet.list_events(ev.LogPositionChanged, host)
        assert positions[-1].commit_index == positions[-1].last_index
