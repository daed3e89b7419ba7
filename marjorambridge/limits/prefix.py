"""Index which endpoints have which blocks of prompts in their prefix caches."""

from collections import OrderedDict

from msgspec import Struct, field

from marjorambridge.limits.messages import CacheEvent


class PrefixIndex(Struct):
    """Map block hashes to endpoints; the least recently used pairs are evicted first.

    Attributes
    ----------
    maximum : int
        Largest number of (block, endpoint) pairs.
    pairs : OrderedDict
        Pairs in order of their last use.
    endpoints_by_block : dict
        Endpoints that have each block, in order of insertion.
    blocks_by_endpoint : dict
        Blocks of each endpoint.
    sequences : dict
        Number of the last cache event received from each endpoint.
    """

    maximum: int
    pairs: OrderedDict[tuple[bytes, str], None] = field(default_factory=OrderedDict)
    endpoints_by_block: dict[bytes, dict[str, None]] = field(default_factory=dict)
    blocks_by_endpoint: dict[str, dict[bytes, None]] = field(default_factory=dict)
    sequences: dict[str, int] = field(default_factory=dict)


def add_blocks(index: PrefixIndex, endpoint: str, blocks: tuple[bytes, ...]) -> None:
    """Record that an endpoint has blocks; the deepest block is evicted first."""
    for block in reversed(blocks):
        pair = (block, endpoint)
        index.pairs[pair] = None
        index.pairs.move_to_end(pair)
        index.endpoints_by_block.setdefault(block, {})[endpoint] = None
        index.blocks_by_endpoint.setdefault(endpoint, {})[block] = None
    while len(index.pairs) > index.maximum:
        block, holder = next(iter(index.pairs))
        remove_block(index, holder, block)


def remove_block(index: PrefixIndex, endpoint: str, block: bytes) -> None:
    """Remove a block of an endpoint."""
    if (block, endpoint) not in index.pairs:
        return
    del index.pairs[block, endpoint]
    for table, key, item in (
        (index.endpoints_by_block, block, endpoint),
        (index.blocks_by_endpoint, endpoint, block),
    ):
        del table[key][item]
        if not table[key]:
            del table[key]


def drop_endpoint(index: PrefixIndex, endpoint: str) -> None:
    """Remove all blocks of an endpoint."""
    for block in list(index.blocks_by_endpoint.get(endpoint, ())):
        remove_block(index, endpoint, block)


def reset_endpoint(index: PrefixIndex, endpoint: str) -> None:
    """Remove an endpoint with its sequence, because it has restarted or no longer exists."""
    drop_endpoint(index, endpoint)
    index.sequences.pop(endpoint, None)


def apply_cache_events(index: PrefixIndex, endpoint: str, events: tuple[CacheEvent, ...]) -> None:
    """Apply the cache events of one announcement; a gap removes the endpoint's earlier blocks.

    Events that were already applied are skipped, so repeated announcements have no effect.
    """
    for event in sorted(events, key=lambda item: item.sequence):
        last = index.sequences.get(endpoint)
        if last is not None and event.sequence <= last:
            continue
        if last is None or event.sequence != last + 1:
            drop_endpoint(index, endpoint)
        index.sequences[endpoint] = event.sequence
        for block in event.evicted:
            remove_block(index, endpoint, block)
        add_blocks(index, endpoint, event.stored)


def count_cached_blocks(index: PrefixIndex, endpoint: str, prefix: tuple[bytes, ...]) -> int:
    """Return the number of leading blocks of a prompt that an endpoint has."""
    blocks = index.blocks_by_endpoint.get(endpoint)
    if not blocks:
        return 0
    count = 0
    for block in prefix:
        if block not in blocks:
            break
        count += 1
    return count


def find_cached_endpoints(index: PrefixIndex, prefix: tuple[bytes, ...], limit: int) -> list[str]:
    """Return up to `limit` endpoints that have leading blocks of a prompt, deepest first.

    The endpoints of the deepest cached block come first, then those of the block at half that depth
    and so on, so that an endpoint with a shorter match is found if the others are busy.
    """
    depth = 0
    for block in prefix:
        if block not in index.endpoints_by_block:
            break
        depth += 1
    found: dict[str, None] = {}
    while depth and len(found) < limit:
        for endpoint in reversed(index.endpoints_by_block[prefix[depth - 1]]):
            found[endpoint] = None
            if len(found) == limit:
                break
        depth //= 2
    return list(found)
