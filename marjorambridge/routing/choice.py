"""Choose the shard from whose owner a permit is requested."""

from collections.abc import Collection
from random import Random

import xxhash

from marjorambridge.routing.candidates import find_candidates
from marjorambridge.routing.state import Candidate, RoutingState
from marjorambridge.routing.summaries import compute_wait, is_avoided


def list_reachable(
    routing: RoutingState, service: str, unserved: Collection[str] = ()
) -> list[Candidate]:
    """Return the shards that a request may use.

    Shards of other regions are used only if none of the host's own region is in service; shards
    in `unserved` have no endpoint, as reported by their owner.
    """
    found = find_candidates(routing, service)
    serving = [entry for entry in found.local if entry.shard not in unserved]
    return serving or found.remote or found.local


def choose_shard(
    routing: RoutingState,
    candidates: list[Candidate],
    now: float,
    random: Random,
    prefix: tuple[bytes, ...] = (),
    prefix_tokens: tuple[int, ...] = (),
) -> Candidate | None:
    """Return the best of a few candidates, or None if there is none.

    Compares two random shards, the one with prefix affinity, and one that this host owns. A saved
    prefill counts as a shorter wait, and among equal waits the own shard is preferred. Comparing
    two random shards spreads the load almost as well as comparing all, and does not make all hosts
    choose the same shard while summaries are stale. The cost depends on the number of the service's
    shards in the region, not on its endpoints.
    """
    usable = [entry for entry in candidates if not is_avoided(routing, entry.shard, now)]
    usable = usable or candidates
    if not usable:
        return None
    settings = routing.settings
    compared = random.sample(usable, min(2, len(usable)))
    affine = _find_affinity_shard(settings.affinity_prefix_tokens, usable, prefix, prefix_tokens)
    bonus = 0.0
    if affine is not None:
        compared.append(affine[0])
        bonus = min(affine[1] * settings.prefill_seconds_per_token, settings.max_affinity_wait)
    own = [entry for entry in usable if entry.owner == routing.host]
    if own:
        compared.append(own[random.randrange(len(own))])

    def compute_cost(entry: Candidate) -> float:
        wait = compute_wait(routing, entry.shard, now)
        return wait - bonus if affine is not None and entry == affine[0] else wait

    lowest = min(compute_cost(entry) for entry in compared)
    equal = [
        entry for entry in compared if compute_cost(entry) <= lowest + settings.equal_wait_tolerance
    ]
    return min(equal, key=lambda entry: (entry.owner != routing.host, compute_cost(entry)))


def _find_affinity_shard(
    affinity_prefix_tokens: int,
    candidates: list[Candidate],
    prefix: tuple[bytes, ...],
    prefix_tokens: tuple[int, ...],
) -> tuple[Candidate, int] | None:
    """Return the shard with affinity to a prompt's prefix, and the tokens of that prefix.

    The prefix has a fixed length, so that a conversation keeps its shard while it grows.
    """
    block = -1
    for index, tokens in enumerate(prefix_tokens[: len(prefix)]):
        if tokens > affinity_prefix_tokens:
            break
        block = index
    if block < 0:
        return None
    key = prefix[block]
    best = max(
        candidates,
        key=lambda entry: (xxhash.xxh3_64_intdigest(key + entry.shard.encode()), entry.shard),
    )
    return best, prefix_tokens[block]
