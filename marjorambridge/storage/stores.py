"""Open, write and close the data folder of a replica.

The functions block on the disk; the daemon calls them from one worker thread.
"""

import errno
import fcntl
import os
import uuid
from collections.abc import Iterable
from pathlib import Path

import msgspec
from msgspec import Struct, field

from marjorambridge.conf import defaults
from marjorambridge.core.effects import Effect
from marjorambridge.core.events import Event
from marjorambridge.replication.effects import (
    SaveCluster,
    SaveEntries,
    SaveSnapshot,
    SaveVote,
    StorageEffect,
    SyncStorage,
)
from marjorambridge.replication.events import StorageFailed, StorageSynced
from marjorambridge.replication.models import RecoveredReplica, ReplicaId
from marjorambridge.storage.exceptions import (
    DiskFullError,
    FolderLockedError,
    StorageError,
    make_damage_error,
)
from marjorambridge.storage.files import (
    decode_record,
    make_directory,
    read_file,
    replace_file,
    sync_directory,
)
from marjorambridge.storage.groups import (
    GroupFiles,
    collect_entries,
    discard_unsynced_entries,
    open_group,
    save_snapshot,
    save_vote,
    write_entries,
)
from marjorambridge.storage.segments import close_segments, sync_segments

# Errors of a write for which there is no room: on the disk, in a quota, or under the limit of the
# size of files.
FULL_DISK_ERRORS = frozenset({errno.ENOSPC, errno.EDQUOT, errno.EFBIG})


class StoredCluster(Struct):
    """Hold the content of the cluster file."""

    cluster: str
    founders: tuple[ReplicaId, ...]


class Store(Struct):
    """Hold an open data folder.

    Attributes
    ----------
    waiting : list of StorageEffect
        Writes that the next `SyncStorage` executes.
    is_interrupted : bool
        Whether the last writes failed because the disk was full, and their rest must be discarded.
    failure : str
        Reason of the first other failure of a write or sync; nothing is written after it, because
        the content of the disk is unknown.
    """

    folder: Path
    lock_descriptor: int
    max_segment_bytes: int
    groups: dict[int, GroupFiles] = field(default_factory=dict)
    waiting: list[StorageEffect] = field(default_factory=list)
    is_interrupted: bool = False
    failure: str = ""


def open_store(
    folder: Path, max_segment_bytes: int = defaults.MAX_SEGMENT_BYTES
) -> tuple[Store, RecoveredReplica]:
    """Lock the data folder, create it if needed, and read it.

    Returns
    -------
    tuple of Store and RecoveredReplica
        The open store, and what `marjorambridge.replication.recovery.recover` needs.

    Raises
    ------
    FolderLockedError
        If another process uses the folder.
    DamagedDataError
        If synced data cannot be read back.
    UnreadableDataError
        If another build wrote it in a format that this one does not know.
    StorageError
        If the folder cannot be used.
    """
    try:
        folder.mkdir(parents=True, exist_ok=True)
        descriptor = os.open(folder / "lock", os.O_RDWR | os.O_CREAT, 0o600)
    except OSError as error:
        raise StorageError(f"{folder}: {error.strerror}; check path and permissions") from error
    store = Store(folder, descriptor, max_segment_bytes)
    try:
        lock_folder(store)
        return store, read_store(store)
    except OSError as error:
        close_store(store)
        raise StorageError(f"{folder}: {error.strerror}; check the disk") from error
    except BaseException:
        close_store(store)
        raise


def lock_folder(store: Store) -> None:
    """Lock the folder until the descriptor is closed or the process ends.

    Raises
    ------
    FolderLockedError
        If another process holds the lock.
    """
    try:
        fcntl.flock(store.lock_descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except BlockingIOError as error:
        raise FolderLockedError(
            f"{store.folder} is in use; stop the other process or choose another data folder"
        ) from error


def read_store(store: Store) -> RecoveredReplica:
    """Read the folder, and create the disk id of a new one.

    Raises
    ------
    DamagedDataError
        If synced data cannot be read back.
    """
    folder = store.folder
    group_folders = sorted(folder.glob("group-*"))
    cluster = read_file(folder / "cluster")
    disk = read_file(folder / "disk-id")
    if disk is None:
        if cluster is not None or group_folders:
            raise make_damage_error(folder / "disk-id", "the file is missing")
        disk = uuid.uuid4().hex.encode()
        replace_file(folder / "disk-id", disk)
        sync_directory(folder.parent)
    recovered = RecoveredReplica(disk.decode())
    if cluster is not None:
        stored = decode_record(folder / "cluster", cluster, StoredCluster)
        recovered.cluster, recovered.founders = stored.cluster, stored.founders
    for path in group_folders:
        number = int(path.name.removeprefix("group-"))
        files, recovered.groups[number] = open_group(path, store.max_segment_bytes)
        store.groups[number] = files
    return recovered


def execute(store: Store, effects: Iterable[Effect], now: float) -> list[Event]:
    """Execute storage effects in order and return the completion events.

    Writes are collected until the next `SyncStorage`, which may come with a later call. Effects
    that are not for storage are ignored.

    Parameters
    ----------
    store : Store
        Open store.
    effects : iterable of Effect
        Effects in the order in which the reducer returned them.
    now : float
        Monotonic time in seconds for the events.

    Raises
    ------
    DiskFullError
        If there is no room for a write. The store is as before the call, and the same effects can
        be executed again later.
    """
    waiting = list(store.waiting)
    try:
        if store.is_interrupted and not store.failure:
            discard_unsynced_writes(store)
        return _execute_all(store, effects, now)
    except DiskFullError:
        # Nothing of this call has been reported as synced, so that all of it is repeated. A write
        # that was completed is repeated with the same result.
        store.waiting, store.is_interrupted = waiting, True
        raise


def _execute_all(store: Store, effects: Iterable[Effect], now: float) -> list[Event]:
    events: list[Event] = []
    for effect in effects:
        if not isinstance(effect, StorageEffect):
            continue
        if not isinstance(effect, SyncStorage):
            store.waiting.append(effect)
            continue
        if not store.failure:
            try:
                flush_writes(store)
            except OSError as error:
                record_failure(store, error)
        if store.failure:
            events.append(StorageFailed(now, effect.ticket, store.failure))
        else:
            events.append(StorageSynced(now, effect.ticket))
    return events


def record_failure(store: Store, error: OSError) -> None:
    """Record that a write or sync failed for another reason than a full disk.

    Raises
    ------
    DiskFullError
        If the disk is full.
    """
    if error.errno in FULL_DISK_ERRORS:
        raise DiskFullError(
            f"{store.folder}: {error.strerror}; free or add space, the writes are repeated"
        ) from error
    store.failure = f"{store.folder}: {error.strerror or error}"


def flush_writes(store: Store) -> None:
    """Write and sync the collected effects."""
    waiting, store.waiting = store.waiting, []
    for effect in waiting:
        if isinstance(effect, SaveCluster):
            stored = StoredCluster(effect.cluster, effect.founders)
            replace_file(store.folder / "cluster", msgspec.msgpack.encode(stored))
        elif isinstance(effect, SaveVote):
            save_vote(get_group(store, effect.group), effect)
        elif isinstance(effect, SaveEntries):
            collect_entries(get_group(store, effect.group), effect)
        elif isinstance(effect, SaveSnapshot):
            save_snapshot(get_group(store, effect.group), effect)
    for files in store.groups.values():
        write_entries(files)
        sync_segments(files.segments)


def discard_unsynced_writes(store: Store) -> None:
    """Remove what was written since the last sync of each group."""
    try:
        for files in store.groups.values():
            discard_unsynced_entries(files)
        store.is_interrupted = False
    except OSError as error:
        record_failure(store, error)


def get_group(store: Store, number: int) -> GroupFiles:
    """Return the files of a group, creating its folder if needed."""
    if number not in store.groups:
        folder = store.folder / f"group-{number}"
        make_directory(folder)
        store.groups[number], _ = open_group(folder, store.max_segment_bytes)
    return store.groups[number]


def close_store(store: Store) -> None:
    """Close the files and release the lock; writes that were not synced are dropped."""
    for files in store.groups.values():
        close_segments(files.segments)
    if store.lock_descriptor >= 0:
        os.close(store.lock_descriptor)
        store.lock_descriptor = -1
