"""Digests of keys, and a compact table of digests."""

import hashlib
import uuid

from msgspec import Struct, field

HOUR_SECONDS = 3600
PARTITIONS = 4096
RECORD_BYTES = 16
DIGEST_TAIL_BYTES = 14
HOUR_MODULUS = 65_536


def compute_key_digest(workspace: str, key: str) -> bytes:
    """Return 16 bytes that identify a key within a workspace.

    The digest is cryptographic, because callers choose their keys and must not be able to cause
    collisions with the keys of another workspace.
    """
    name = workspace.encode()
    data = len(name).to_bytes(4, "big") + name + key.encode()
    return hashlib.blake2b(data, digest_size=16).digest()


def compute_fingerprint_digest(fingerprint: str) -> bytes:
    """Return an 8-byte digest of the fingerprint of a call."""
    return hashlib.blake2b(fingerprint.encode(), digest_size=8).digest()


def compute_claim_digest(digest: bytes, host: str, incarnation: int, number: int) -> bytes:
    """Return 16 bytes that identify one claim of a key."""
    data = digest + f"{host}:{incarnation}:{number}".encode()
    return hashlib.blake2b(data, digest_size=16).digest()


def compute_group(digest: bytes, groups: int) -> int:
    """Return the claims group, from 1, of a key.

    The last bytes determine the group and the first ones the partition of `DigestTable`, so that
    the partitions of each group fill evenly.
    """
    return int.from_bytes(digest[-4:], "big") % groups + 1


def parse_key_date(key: str) -> float:
    """Return the time in a UUIDv7 in seconds since the epoch, or 0 for any other key.

    Examples
    --------
    >>> parse_key_date("017f22e2-79b0-7cc3-98c4-dc0c0c07398f")
    1645557742.0
    >>> parse_key_date("booking-17")
    0.0
    """
    if len(key) not in (32, 36):
        return 0.0
    try:
        number = uuid.UUID(key)
    except ValueError:
        return 0.0
    return (number.int >> 80) / 1000 if number.version == 7 else 0.0


class DigestTable(Struct):
    """A set of digests, each stored in 16 bytes with the hour for which it was added.

    The first 12 bits of a digest determine its partition, which contains unsorted records of 14
    digest bytes and the hour modulo 65,536. A lookup searches one partition. Records of past hours
    are ignored by lookups and removed partition by partition.

    Attributes
    ----------
    cursor : int
        Next partition from which records are removed.
    cycle_hour : int
        First hour that was retained when the current or last cycle through the partitions began.
    """

    partitions: dict[int, bytearray] = field(default_factory=dict)
    count: int = 0
    cursor: int = 0
    cycle_hour: int = 0


def add_digest(table: DigestTable, digest: bytes, hour: int) -> None:
    """Add a digest for an hour since the epoch."""
    index = digest[0] << 4 | digest[1] >> 4
    record = digest[2:] + (hour % HOUR_MODULUS).to_bytes(2, "big")
    partition = table.partitions.get(index)
    if partition is None:
        table.partitions[index] = bytearray(record)
    else:
        partition += record
    table.count += 1


def has_digest(table: DigestTable, digest: bytes, first_hour: int) -> bool:
    """Return whether a digest was added for `first_hour` or a later hour."""
    partition = table.partitions.get(digest[0] << 4 | digest[1] >> 4)
    if partition is None:
        return False
    tail = digest[2:]
    at = partition.find(tail)
    while at >= 0:
        if at % RECORD_BYTES == 0 and _is_current(partition, at, first_hour):
            return True
        at = partition.find(tail, at + 1)
    return False


def sweep_digests(table: DigestTable, first_hour: int, partitions: int) -> None:
    """Remove the digests of hours before `first_hour` from the next few partitions.

    At most one cycle through the partitions begins per hour, so that the cost per entry does not
    depend on the number of digests.
    """
    if table.cursor == 0:
        if first_hour <= table.cycle_hour:
            return
        table.cycle_hour = first_hour
    for _ in range(partitions):
        _sweep_partition(table, first_hour)
        table.cursor = (table.cursor + 1) % PARTITIONS
        if table.cursor == 0:
            return


def _sweep_partition(table: DigestTable, first_hour: int) -> None:
    partition = table.partitions.get(table.cursor)
    if partition is None:
        return
    retained = bytearray()
    for at in range(0, len(partition), RECORD_BYTES):
        if _is_current(partition, at, first_hour):
            retained += partition[at : at + RECORD_BYTES]
    table.count -= (len(partition) - len(retained)) // RECORD_BYTES
    if retained:
        table.partitions[table.cursor] = retained
    else:
        del table.partitions[table.cursor]


def _is_current(partition: bytearray, at: int, first_hour: int) -> bool:
    hour = partition[at + DIGEST_TAIL_BYTES] << 8 | partition[at + DIGEST_TAIL_BYTES + 1]
    return (hour - first_hour) % HOUR_MODULUS < HOUR_MODULUS // 2
