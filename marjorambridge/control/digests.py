"""Compare what a host knows with what a replica knows, without sending it.

A table of hundreds of endpoints takes most of the bytes of a feed. Hosts change to another replica
when one joins in their zone, restarts or is cut off, and nearly always hold the same table already.
"""

from collections.abc import Iterable

import xxhash

from marjorambridge.control.messages import EndpointEntry

# Digests fit a signed integer of 64 bits.
SIGNED_64_BIT_MASK = 2**63 - 1


def compute_entry_digest(entry: EndpointEntry) -> int:
    """Return the digest of an endpoint without what changes with time."""
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
    """Return the digest of a set, in whatever order its members come; 0 for an empty one."""
    combined = 0
    for digest in digests:
        combined ^= digest
    return combined


def compute_hosts_digest(hosts: Iterable[str]) -> int:
    """Return the digest of a set of hosts."""
    return combine_digests(
        xxhash.xxh3_64_intdigest(host.encode()) & SIGNED_64_BIT_MASK for host in hosts
    )
