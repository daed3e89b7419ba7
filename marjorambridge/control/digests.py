"""Compare the endpoint tables of a host and a replica by digest, without sending them.

A table of hundreds of endpoints makes up most of the bytes of a feed. Hosts switch to another
replica when one joins in their zone, restarts or is disconnected, and nearly always hold the same
table already.
"""

from collections.abc import Iterable

import xxhash

from marjorambridge.control.messages import EndpointEntry

# Limits digests to the range of a signed 64-bit integer.
SIGNED_64_BIT_MASK = 2**63 - 1


def compute_entry_digest(entry: EndpointEntry) -> int:
    """Return the digest of an endpoint, without the fields that change with time."""
    parts = (
        entry.endpoint,
        entry.service,
        entry.zone,
        entry.address,
        entry.slots,
        entry.born,
        entry.leaving,
        entry.silent,
    )
    return xxhash.xxh3_64_intdigest("/".join(map(str, parts)).encode()) & SIGNED_64_BIT_MASK


def combine_digests(digests: Iterable[int]) -> int:
    """Return the order-independent digest of a set; 0 for an empty set."""
    combined = 0
    for digest in digests:
        combined ^= digest
    return combined


def compute_hosts_digest(hosts: Iterable[str]) -> int:
    """Return the digest of a set of hosts."""
    return combine_digests(
        xxhash.xxh3_64_intdigest(host.encode()) & SIGNED_64_BIT_MASK for host in hosts
    )
