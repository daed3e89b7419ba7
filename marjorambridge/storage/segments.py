"""Store a group's log entries in segment files.

Each sync appends one frame with all entries since the previous one, and a frame is written only
after the frame before it was synced. So an unreadable frame that is followed by a whole one is
damage, and one at the very end is a write that was never acknowledged.
"""

import os
from pathlib import Path

import msgspec
from msgspec import Struct, field

from marjorambridge.core.decoding import DECODE_ERRORS
from marjorambridge.replication.models import EntryKind, LogEntry, decode_membership
from marjorambridge.storage.exceptions import make_damage_error, make_unreadable_error
from marjorambridge.storage.files import (
    decode_record,
    sync_descriptor,
    sync_directory,
    write_bytes,
)
from marjorambridge.storage.frames import decode_frames, encode_frame, has_frame_after

SEGMENT_PATTERN = "segment-*.log"

_encoder = msgspec.msgpack.Encoder()


class Segment(Struct):
    """Describe one segment file.

    Attributes
    ----------
    size, synced_size : int
        Bytes that were written, and those of them that are durable.
    last_index, synced_last_index : int
        Greatest index in these bytes.
    """

    number: int
    path: Path
    size: int = 0
    last_index: int = 0
    synced_size: int = 0
    synced_last_index: int = 0


class SegmentFiles(Struct):
    """Hold the segments of one group, oldest first; frames are appended to the last one."""

    folder: Path
    max_bytes: int
    segments: list[Segment] = field(default_factory=list)
    descriptor: int = -1
    has_unsynced_frames: bool = False


def open_segments(folder: Path, max_bytes: int) -> tuple[SegmentFiles, list[LogEntry]]:
    """Read all segments and open the last one.

    Returns
    -------
    tuple of SegmentFiles and list of LogEntry
        The files, and the entries in the order written; a later one replaces all earlier ones from
        its index on.

    Raises
    ------
    DamagedDataError
        If a frame that was synced cannot be read.
    UnreadableDataError
        If another build wrote it in a format that this one does not know.
    """
    files = SegmentFiles(folder, max_bytes)
    written: list[LogEntry] = []
    paths = sorted(folder.glob(SEGMENT_PATTERN))
    for path in paths:
        number = int(path.stem.removeprefix("segment-"))
        data = path.read_bytes()
        payloads, end = decode_frames(data)
        if end < len(data):
            if path != paths[-1] or has_frame_after(data, end):
                raise make_damage_error(path, f"the record at byte {end} is damaged")
            os.truncate(path, end)
        segment = Segment(number, path, end)
        for payload in payloads:
            entries = decode_record(path, payload, list[LogEntry])
            check_memberships(path, entries)
            segment.last_index = max(segment.last_index, entries[-1].index)
            written.extend(entries)
        files.segments.append(segment)
    if paths:
        open_last_segment(files)
        # The truncation of a torn tail must be durable before a new frame is appended.
        sync_descriptor(files.descriptor)
        _mark_synced(files.segments[-1])
    return files, written


def check_memberships(path: Path, entries: list[LogEntry]) -> None:
    """Check that this build can read the memberships among entries.

    Raises
    ------
    UnreadableDataError
        If another build wrote one in a format that this one does not know.
    """
    for entry in entries:
        if entry.kind is EntryKind.MEMBERSHIP:
            try:
                decode_membership(entry.payload)
            except DECODE_ERRORS as error:
                raise make_unreadable_error(path, error) from error


def _mark_synced(segment: Segment) -> None:
    segment.synced_size, segment.synced_last_index = segment.size, segment.last_index


def open_last_segment(files: SegmentFiles) -> None:
    """Open the last segment for appending, creating its file if needed."""
    flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND
    files.descriptor = os.open(files.segments[-1].path, flags, 0o600)


def start_segment(files: SegmentFiles) -> None:
    """Begin a new segment after syncing the current one."""
    sync_segments(files)
    close_segments(files)
    number = files.segments[-1].number + 1 if files.segments else 1
    files.segments.append(Segment(number, files.folder / f"segment-{number:020d}.log"))
    open_last_segment(files)
    sync_directory(files.folder)


def append_entries(files: SegmentFiles, entries: list[LogEntry]) -> None:
    """Write one frame; it is durable after `sync_segments`."""
    if not files.segments or files.segments[-1].size >= files.max_bytes:
        start_segment(files)
    frame = encode_frame(_encoder.encode(entries))
    segment = files.segments[-1]
    files.has_unsynced_frames = True
    write_bytes(files.descriptor, frame)
    segment.size += len(frame)
    segment.last_index = max(segment.last_index, entries[-1].index)


def sync_segments(files: SegmentFiles) -> None:
    """Make the written frames durable."""
    if files.has_unsynced_frames:
        sync_descriptor(files.descriptor)
        files.has_unsynced_frames = False
        _mark_synced(files.segments[-1])


def discard_unsynced_frames(files: SegmentFiles) -> None:
    """Remove what was written since the last sync, after a write failed.

    Frames must not stay in the file when a sync failed: they can be read until a loss of power,
    but are not durable.
    """
    close_segments(files)
    if files.segments and not files.segments[-1].path.exists():
        # The file could not be created.
        files.segments.pop()
    if files.segments:
        segment = files.segments[-1]
        os.truncate(segment.path, segment.synced_size)
        segment.size, segment.last_index = segment.synced_size, segment.synced_last_index
        open_last_segment(files)
        sync_descriptor(files.descriptor)
    sync_directory(files.folder)
    files.has_unsynced_frames = False


def remove_segments(files: SegmentFiles, first_index: int) -> None:
    """Remove the segments without an entry from `first_index` on; 0 removes all.

    If all are removed, the newest is removed first, so that a crash meanwhile leaves no gap in the
    log. Each removal is made durable before the next one, because a loss of power may undo any of
    those that are not.
    """
    start_segment(files)
    if first_index == 0:
        obsolete = list(reversed(files.segments[:-1]))
    else:
        obsolete = []
        for segment in files.segments[:-1]:
            if segment.last_index >= first_index:
                break
            obsolete.append(segment)
    for segment in obsolete:
        segment.path.unlink()
        files.segments.remove(segment)
        sync_directory(files.folder)


def close_segments(files: SegmentFiles) -> None:
    """Close the last segment."""
    if files.descriptor >= 0:
        os.close(files.descriptor)
        files.descriptor = -1
