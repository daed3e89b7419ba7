"""Test the data folder against loss, damage, concurrent use and unbounded growth."""

import errno
import itertools
import os
import shutil
from pathlib import Path

import pytest

from marjorambridge.core.effects import Publish
from marjorambridge.core.events import Started, TimerFired
from marjorambridge.core.identity import TimerKey
from marjorambridge.replication import effects as ef
from marjorambridge.replication import events as ev
from marjorambridge.replication import models as mo
from marjorambridge.replication.recovery import recover
from marjorambridge.replication.reducer import step
from marjorambridge.replication.state import ReplicationSettings
from marjorambridge.storage import files, segments
from marjorambridge.storage.exceptions import DamagedDataError, DiskFullError, FolderLockedError
from marjorambridge.storage.stores import (
    close_store,
    discard_unsynced_writes,
    execute,
    open_store,
)

VOTER = mo.ReplicaId("r1", "disk-1")
MEMBERSHIP = mo.Membership((mo.Member(VOTER, mo.MemberRole.LEARNER),), ("r1",))


def make_entries(first, last, term=1, size=10):
    return tuple(
        mo.LogEntry(index, term, mo.EntryKind.COMMAND, b"%d" % index + b"x" * size)
        for index in range(first, last + 1)
    )


def write(store, *effects):
    write.ticket += 1
    events = execute(store, [*effects, ef.SyncStorage(write.ticket)], 1.0)
    assert [event.ticket for event in events] == [write.ticket]
    return events[0]


write.ticket = 0


def reopen(store, **options):
    close_store(store)
    return open_store(store.folder, **options)


def list_positions(recovered, group=0):
    return [(entry.index, entry.term) for entry in recovered.groups[group].entries]


def list_segments(folder, group=0):
    return sorted((folder / f"group-{group}").glob("segment-*.log"))


def test_everything_that_was_synced_is_recovered(tmp_path):
    store, recovered = open_store(tmp_path / "data")
    assert recovered.cluster == "" and recovered.groups == {}
    disk = recovered.disk
    entries = make_entries(1, 5)
    write(
        store, ef.SaveCluster("c", (VOTER,)), ef.SaveVote(1, 7, VOTER), ef.SaveEntries(1, entries)
    )
    snapshot = mo.Snapshot(3, 1, MEMBERSHIP, b"state")
    write(store, ef.SaveSnapshot(1, snapshot, 2))
    write(store, ef.SaveEntries(0, make_entries(1, 2)))
    execute(store, [ef.SaveEntries(0, make_entries(3, 9))], 1.0)
    store, recovered = reopen(store)
    assert (recovered.disk, recovered.cluster, recovered.founders) == (disk, "c", (VOTER,))
    group = recovered.groups[1]
    assert (group.term, group.voted_for, group.snapshot) == (7, VOTER, snapshot)
    assert group.entries == list(entries[3:])
    assert list_positions(recovered) == [(1, 1), (2, 1)]
    close_store(store)


def test_later_records_replace_earlier_ones(tmp_path):
    store, _ = open_store(tmp_path)
    write(store, ef.SaveEntries(0, make_entries(1, 5)))
    write(
        store,
        ef.SaveEntries(0, make_entries(4, 6, term=2)),
        ef.SaveEntries(0, make_entries(5, 5, 3)),
    )
    store, recovered = reopen(store)
    assert list_positions(recovered) == [(1, 1), (2, 1), (3, 1), (4, 2), (5, 3)]
    close_store(store)


def test_a_second_process_cannot_open_the_folder(tmp_path):
    store, _ = open_store(tmp_path)
    with pytest.raises(FolderLockedError, match="stop the other process"):
        open_store(tmp_path)
    close_store(store)
    close_store(open_store(tmp_path)[0])


def test_a_torn_tail_of_any_length_is_truncated(tmp_path):
    store, _ = open_store(tmp_path)
    write(store, ef.SaveEntries(0, make_entries(1, 3)))
    path = list_segments(tmp_path)[0]
    whole = path.read_bytes()
    write(store, ef.SaveEntries(0, make_entries(4, 5)))
    longer = path.read_bytes()
    close_store(store)
    for length in range(len(whole), len(longer)):
        path.write_bytes(longer[:length])
        store, recovered = open_store(tmp_path)
        assert list_positions(recovered) == [(1, 1), (2, 1), (3, 1)]
        assert path.read_bytes() == whole
        close_store(store)
    path.write_bytes(whole + b"\0" * 50)
    store, _ = open_store(tmp_path)
    write(store, ef.SaveEntries(0, make_entries(4, 4)))
    store, recovered = reopen(store)
    assert list_positions(recovered)[-1] == (4, 1)
    close_store(store)


def test_damage_before_the_tail_is_refused_with_the_remedy(tmp_path):
    store, _ = open_store(tmp_path)
    for index in range(1, 4):
        write(store, ef.SaveEntries(0, make_entries(index, index)))
    close_store(store)
    path = list_segments(tmp_path)[0]
    whole = path.read_bytes()
    for position in range(len(whole) * 2 // 3):
        path.write_bytes(whole[:position] + bytes([whole[position] ^ 1]) + whole[position + 1 :])
        with pytest.raises(DamagedDataError, match="move the whole data folder away"):
            open_store(tmp_path)


@pytest.mark.parametrize("name", ["disk-id", "cluster", "group-0/vote", "group-0/snapshot"])
def test_a_damaged_or_missing_file_is_refused(tmp_path, name):
    store, _ = open_store(tmp_path)
    write(store, ef.SaveCluster("c", (VOTER,)), ef.SaveVote(0, 1, VOTER))
    write(store, ef.SaveEntries(0, make_entries(1, 5)), ef.SaveSnapshot(0, mo.Snapshot(5, 1), 6))
    write(store, ef.SaveEntries(0, make_entries(6, 8)))
    close_store(store)
    path = tmp_path / name
    whole = path.read_bytes()
    path.write_bytes(whole[:-1])
    with pytest.raises(DamagedDataError):
        open_store(tmp_path)
    if name in ("disk-id", "group-0/snapshot"):
        path.unlink()
        with pytest.raises(DamagedDataError):
            open_store(tmp_path)


def test_a_missing_segment_is_refused(tmp_path):
    store, _ = open_store(tmp_path, max_segment_bytes=1)
    for index in range(1, 4):
        write(store, ef.SaveEntries(0, make_entries(index, index)))
    close_store(store)
    list_segments(tmp_path)[1].unlink()
    with pytest.raises(DamagedDataError, match="missing"):
        open_store(tmp_path)


def test_snapshots_bound_the_size(tmp_path):
    store, _ = open_store(tmp_path, max_segment_bytes=10_000)
    sizes = []
    for index in range(1, 2001):
        write(store, ef.SaveEntries(0, make_entries(index, index, size=100)))
        if index % 100 == 0:
            write(store, ef.SaveSnapshot(0, mo.Snapshot(index, 1, data=b"s" * 500), index - 20))
            sizes.append(sum(path.stat().st_size for path in (tmp_path / "group-0").iterdir()))
    assert max(sizes) < 30_000
    store, recovered = reopen(store)
    assert recovered.groups[0].snapshot.index == 2000
    close_store(store)


@pytest.mark.parametrize("first_index", [0, 90])
def test_a_loss_of_power_while_segments_are_removed_leaves_no_gap(
    first_index, tmp_path, monkeypatch
):
    """Guard against a replica that does not start, because any of several removals was undone."""
    folder, lost = tmp_path / "store", tmp_path / "lost"
    store, _ = open_store(folder, max_segment_bytes=600)
    for index in range(1, 101):
        write(store, ef.SaveEntries(0, make_entries(index, index, size=100)))
    removed, states = [], []
    unlink, sync = Path.unlink, segments.sync_directory

    def record_unlink(path, *arguments):
        if path.suffix == ".log":
            removed.append((path.name, path.read_bytes()))
        unlink(path, *arguments)
        states.append((list(removed), {item.name: item.read_bytes() for item in group.iterdir()}))

    def record_sync(path):
        sync(path)
        removed.clear()

    group = folder / "group-0"
    monkeypatch.setattr(Path, "unlink", record_unlink)
    monkeypatch.setattr(segments, "sync_directory", record_sync)
    write(store, ef.SaveSnapshot(0, mo.Snapshot(95, 1, data=b"s"), first_index))
    monkeypatch.undo()
    close_store(store)
    assert len(states) > 3
    for undone, kept in states:
        for size in range(len(undone) + 1):
            for subset in itertools.combinations(undone, size):
                shutil.rmtree(lost, ignore_errors=True)
                shutil.copytree(folder, lost)
                shutil.rmtree(lost / "group-0")
                (lost / "group-0").mkdir()
                for name, data in [*kept.items(), *subset]:
                    (lost / "group-0" / name).write_bytes(data)
                again, recovered = open_store(lost)
                assert recovered.groups[0].snapshot.index == 95
                close_store(again)


def test_a_snapshot_that_replaces_the_log_drops_contradicting_records(tmp_path, monkeypatch):
    store, _ = open_store(tmp_path)
    write(store, ef.SaveEntries(0, make_entries(1, 9)))
    # The process ends after the snapshot was replaced and before the entries were removed.
    monkeypatch.setattr(
        "marjorambridge.storage.groups.remove_segments", lambda files, first_index: None
    )
    write(store, ef.SaveSnapshot(0, mo.Snapshot(5, 4), 0))
    monkeypatch.undo()
    store, recovered = reopen(store)
    assert list_positions(recovered) == []
    write(store, ef.SaveEntries(0, make_entries(6, 7, term=4)))
    store, recovered = reopen(store)
    assert list_positions(recovered) == [(6, 4), (7, 4)]
    write(
        store,
        ef.SaveSnapshot(0, mo.Snapshot(50, 5), 0),
        ef.SaveEntries(0, make_entries(51, 51, 5)),
    )
    store, recovered = reopen(store)
    assert list_positions(recovered) == [(51, 5)]
    close_store(store)


@pytest.mark.parametrize("function", ["sync_descriptor", "write_bytes"])
def test_a_disk_error_fails_this_sync_and_all_later_ones(tmp_path, monkeypatch, function):
    store, _ = open_store(tmp_path)
    write(store, ef.SaveEntries(0, make_entries(1, 1)))

    def fail(*arguments):
        raise OSError(errno.EIO, os.strerror(errno.EIO))

    monkeypatch.setattr(segments, function, fail)
    event = write(store, ef.SaveEntries(0, make_entries(2, 2)))
    assert isinstance(event, ev.StorageFailed) and os.strerror(errno.EIO) in event.reason
    monkeypatch.undo()
    assert isinstance(write(store, ef.SaveEntries(0, make_entries(3, 3))), ev.StorageFailed)
    monkeypatch.setattr(files, "sync_descriptor", lambda descriptor: None)
    store, recovered = reopen(store)
    assert list_positions(recovered)[0] == (1, 1)
    assert (3, 1) not in list_positions(recovered)
    close_store(store)


class FullDisk:
    """Refuse writes, syncs and new files from the n-th call on; a write stops halfway."""

    def __init__(self, monkeypatch, calls):
        self.calls_left = calls
        for module, name in (
            (files, "write_bytes"),
            (segments, "write_bytes"),
            (files, "sync_descriptor"),
            (segments, "sync_descriptor"),
            (segments, "open_last_segment"),
        ):
            monkeypatch.setattr(module, name, self.limit(getattr(module, name)))

    def limit(self, function):
        def call(target, *data):
            self.calls_left -= 1
            if self.calls_left >= 0:
                return function(target, *data)
            if data:
                os.write(target, data[0][: len(data[0]) // 2])
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))

        return call


@pytest.mark.parametrize("calls", range(24))
def test_a_write_that_a_full_disk_refused_is_complete_when_it_is_repeated(
    tmp_path, monkeypatch, calls
):
    """Guard against a replica that votes and stores nothing more after its disk was full once."""
    store, _ = open_store(tmp_path, max_segment_bytes=200)
    write(store, ef.SaveVote(0, 1, VOTER), ef.SaveEntries(0, make_entries(1, 5)))
    # These writes wait for the next sync.
    execute(store, [ef.SaveVote(0, 2, VOTER), ef.SaveEntries(0, make_entries(4, 9, 2))], 1.0)
    snapshot = mo.Snapshot(7, 2, MEMBERSHIP, b"state")
    effects = [
        ef.SaveCluster("c", (VOTER,)),
        ef.SyncStorage(100),
        ef.SaveSnapshot(0, snapshot, 6),
        ef.SaveEntries(0, make_entries(9, 12, 3)),
        ef.SaveEntries(1, make_entries(1, 3)),
        ef.SyncStorage(101),
        ef.SaveSnapshot(1, snapshot, 0),
        ef.SyncStorage(102),
    ]
    with monkeypatch.context() as patch:
        disk = FullDisk(patch, calls)
        with pytest.raises(DiskFullError, match="No space left"):
            execute(store, effects, 1.0)
        # It stays full for a while, and then has room for a few writes only.
        for room in (0, 2):
            disk.calls_left = room
            with pytest.raises(DiskFullError):
                execute(store, effects, 1.0)
    assert execute(store, effects, 1.0) == [
        ev.StorageSynced(1.0, ticket) for ticket in (100, 101, 102)
    ]
    write(store, ef.SaveEntries(0, make_entries(13, 13, 3)))
    # What is on the disk was synced: a frame of a failed sync can be lost with the power.
    for group in store.groups.values():
        segment = group.segments.segments[-1]
        assert segment.path.stat().st_size == segment.synced_size
    store, recovered = reopen(store)
    group = recovered.groups[0]
    assert (recovered.cluster, group.term, group.snapshot) == ("c", 2, snapshot)
    assert list_positions(recovered) == [(8, 2), *((index, 3) for index in range(9, 14))]
    assert recovered.groups[1].snapshot == snapshot and recovered.groups[1].entries == []
    close_store(store)


def test_a_failed_sync_leaves_no_frame_behind(tmp_path, monkeypatch):
    """Guard against frames that can be read until a loss of power, and are damage after it."""
    store, _ = open_store(tmp_path)
    write(store, ef.SaveEntries(0, make_entries(1, 1)))
    path = list_segments(tmp_path)[0]
    durable = path.read_bytes()
    effects = [ef.SaveEntries(0, make_entries(2, 2)), ef.SyncStorage(100)]
    with monkeypatch.context() as patch:
        FullDisk(patch, 1)
        with pytest.raises(DiskFullError):
            execute(store, effects, 1.0)
    assert len(path.read_bytes()) > len(durable)
    discard_unsynced_writes(store)
    assert path.read_bytes() == durable
    close_store(store)


def test_one_batch_needs_one_sync(tmp_path, monkeypatch):
    store, _ = open_store(tmp_path)
    write(store, ef.SaveEntries(0, make_entries(1, 1)))
    calls = []
    monkeypatch.setattr(segments, "sync_descriptor", calls.append)
    write(store, *(ef.SaveEntries(0, make_entries(i, i)) for i in range(2, 500)))
    assert len(calls) == 1
    close_store(store)


def test_a_single_replica_runs_on_the_real_folder_and_recovers(tmp_path):
    settings = ReplicationSettings("r1", ("r1",), bootstrap=True, snapshot_interval_entries=50)
    committed: list[bytes] = []
    for incarnation in range(3):
        store, recovered = open_store(tmp_path)
        replica, waiting = recover(settings, recovered, incarnation, 0.0)
        replayed: list[bytes] = []
        now = 0.0
        events: list = [Started(now)]
        names = [f"{incarnation}-{number}" for number in range(60)]
        while names or events or waiting:
            for event in events:
                waiting = waiting + step(replica, event)
            events = execute(store, waiting, now)
            for effect in waiting:
                if not isinstance(effect, Publish):
                    continue
                event = effect.event
                if isinstance(event, ev.SnapshotInstalled):
                    replayed = event.data.split(b",")
                elif isinstance(event, ev.EntryCommitted):
                    replayed.append(event.payload)
                elif isinstance(event, ev.SnapshotRequested):
                    data = b",".join(replayed)
                    events.append(ev.SnapshotTaken(now, 0, len(replayed), data))
            waiting = []
            if not events and names:
                now += 0.2
                group = replica.groups[0]
                if group.role == "leader":
                    name = names.pop()
                    events = [ev.ProposalRequested(now, 0, name, name.encode())]
                else:

                    events = [TimerFired(now, TimerKey("replication", "election", "0"))]
        assert replayed[: len(committed)] == committed
        assert len(replayed) == 61 * (incarnation + 1)
        committed = replayed
        close_store(store)
