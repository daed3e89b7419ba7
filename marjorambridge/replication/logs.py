"""Keep the entries of one group's log in memory."""

from msgspec import Struct, field

from marjorambridge.replication.models import LogEntry


class Log(Struct):
    """Hold the entries after a base position, which a snapshot covers."""

    base_index: int = 0
    base_term: int = 0
    entries: list[LogEntry] = field(default_factory=list)


def get_last_index(log: Log) -> int:
    """Return the index of the last entry, or of the base if there is none."""
    return log.base_index + len(log.entries)


def get_last_term(log: Log) -> int:
    """Return the term of the last entry, or of the base if there is none."""
    return log.entries[-1].term if log.entries else log.base_term


def get_term(log: Log, index: int) -> int | None:
    """Return the term of the entry at `index`; None if the log does not hold it.

    Examples
    --------
    >>> get_term(Log(4, 2), 4), get_term(Log(4, 2), 5)
    (2, None)
    """
    if index == log.base_index:
        return log.base_term
    if log.base_index < index <= get_last_index(log):
        return log.entries[index - log.base_index - 1].term
    return None


def get_entry(log: Log, index: int) -> LogEntry:
    """Return the entry at `index`, which the log must hold."""
    return log.entries[index - log.base_index - 1]


def slice_entries(log: Log, first: int, max_bytes: int) -> tuple[LogEntry, ...]:
    """Return the entries from `first` on that fit into `max_bytes`, at least one if any exists."""
    selected: list[LogEntry] = []
    size = 0
    for position in range(first - log.base_index - 1, len(log.entries)):
        entry = log.entries[position]
        # Index, term and kind take less than 64 bytes in any encoding in use.
        size += len(entry.payload) + 64
        if selected and size > max_bytes:
            break
        selected.append(entry)
    return tuple(selected)


def truncate_log(log: Log, first: int) -> None:
    """Remove the entries from index `first` on."""
    del log.entries[first - log.base_index - 1 :]


def compact_log(log: Log, index: int) -> None:
    """Remove the entries up to `index`, which becomes the base."""
    term = get_term(log, index)
    if term is None or index <= log.base_index:
        return
    del log.entries[: index - log.base_index]
    log.base_index = index
    log.base_term = term


def find_matching_position(log: Log, index: int, term: int) -> tuple[int, int]:
    """Return the last position at or before `index` whose term is at most `term`.

    A position of a later term cannot match, so the leader and the follower skip whole terms
    instead of going back by one entry for each message.

    Examples
    --------
    >>> from marjorambridge.replication.models import EntryKind
    >>> terms = [1, 1, 3, 3]
    >>> log = Log(entries=[LogEntry(i + 1, t, EntryKind.NOOP) for i, t in enumerate(terms)])
    >>> find_matching_position(log, 4, 2)
    (2, 1)
    """
    index = min(index, get_last_index(log))
    while index > log.base_index:
        found = get_entry(log, index).term
        if found <= term:
            return index, found
        index -= 1
    return log.base_index, log.base_term
