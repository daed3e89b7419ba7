"""Store the vote, the snapshot and the log entries of one group."""

from pathlib import Path

import msgspec
from msgspec import Struct, field

from marjorambridge.replication.effects import SaveEntries, SaveSnapshot, SaveVote
from marjorambridge.replication.models import LogEntry, RecoveredGroup, ReplicaId, Snapshot
from marjorambridge.storage.exceptions import make_damage_error
from marjorambridge.storage.files import decode_record, read_file, replace_file
from marjorambridge.storage.segments import (
    SegmentFiles,
    append_entries,
    discard_unsynced_frames,
    open_segments,
    remove_segments,
    sync_segments,
)


class StoredVote(Struct):
    """Hold the content of a vote file."""

    term: int
    voted_for: ReplicaId


class GroupFiles(Struct):
    """Hold the files of one group and the entries that the next sync writes."""

    folder: Path
    segments: SegmentFiles
    pending: list[LogEntry] = field(default_factory=list)


def open_group(folder: Path, max_segment_bytes: int) -> tuple[GroupFiles, RecoveredGroup]:
    """Read a group's files.

    Raises
    ------
    DamagedDataError
        If synced data cannot be read back.
    UnreadableDataError
        If another build wrote it in a format that this one does not know.
    """
    recovered = RecoveredGroup()
    vote = read_file(folder / "vote")
    if vote is not None:
        stored = decode_record(folder / "vote", vote, StoredVote)
        recovered.term, recovered.voted_for = stored.term, stored.voted_for
    snapshot = read_file(folder / "snapshot")
    if snapshot is not None:
        recovered.snapshot = decode_record(folder / "snapshot", snapshot, Snapshot)
    segments, written = open_segments(folder, max_segment_bytes)
    try:
        recovered.entries = select_entries(written, recovered.snapshot)
    except ValueError as error:
        raise make_damage_error(folder, str(error)) from error
    if snapshot is None and segments.segments and segments.segments[0].number > 1:
        raise make_damage_error(folder / "snapshot", "the file is missing")
    if written and not recovered.entries:
        # Entries that the snapshot replaced must be removed before new ones are appended.
        remove_segments(segments, 0)
    return GroupFiles(folder, segments), recovered


def select_entries(written: list[LogEntry], snapshot: Snapshot | None) -> list[LogEntry]:
    """Return the entries after the snapshot from all that were written.

    Parameters
    ----------
    written : list of LogEntry
        Entries in the order written; each one replaces all earlier ones from its index on.
    snapshot : Snapshot or None
        The current snapshot.

    Raises
    ------
    ValueError
        If entries are missing.

    Examples
    --------
    >>> from marjorambridge.replication.models import EntryKind
    >>> entries = [LogEntry(i, t, EntryKind.NOOP) for i, t in [(1, 1), (2, 1), (2, 2)]]
    >>> [(entry.index, entry.term) for entry in select_entries(entries, None)]
    [(1, 1), (2, 2)]
    """
    covered = snapshot.index if snapshot else 0
    kept: list[LogEntry] = []
    for entry in written:
        if kept and entry.index > kept[-1].index + 1:
            raise ValueError(f"the entries after {kept[-1].index} are missing")
        if kept and entry.index <= kept[-1].index:
            del kept[max(0, entry.index - kept[0].index) :]
        kept.append(entry)
    if not kept or kept[-1].index <= covered:
        return []
    if kept[0].index > covered + 1:
        raise ValueError(f"the entries after {covered} are missing")
    at_snapshot = [entry for entry in kept if entry.index == covered]
    if snapshot and at_snapshot and at_snapshot[0].term != snapshot.term:
        # The snapshot replaced these entries, but they were not removed before the process ended.
        return []
    return [entry for entry in kept if entry.index > covered]


def save_vote(files: GroupFiles, effect: SaveVote) -> None:
    """Replace the vote file."""
    vote = StoredVote(effect.term, effect.voted_for)
    replace_file(files.folder / "vote", msgspec.msgpack.encode(vote))


def collect_entries(files: GroupFiles, effect: SaveEntries) -> None:
    """Collect entries for the next frame."""
    first = effect.entries[0].index
    while files.pending and files.pending[-1].index >= first:
        files.pending.pop()
    files.pending.extend(effect.entries)


def write_entries(files: GroupFiles) -> None:
    """Write the collected entries as one frame."""
    if files.pending:
        append_entries(files.segments, files.pending)
        files.pending = []


def discard_unsynced_entries(files: GroupFiles) -> None:
    """Remove the entries that were collected or written since the last sync."""
    files.pending = []
    discard_unsynced_frames(files.segments)


def save_snapshot(files: GroupFiles, effect: SaveSnapshot) -> None:
    """Replace the snapshot and remove the segments that it makes obsolete."""
    if effect.first_index == 0:
        files.pending = []
    write_entries(files)
    sync_segments(files.segments)
    replace_file(files.folder / "snapshot", msgspec.msgpack.encode(effect.snapshot))
    remove_segments(files.segments, effect.first_index)
