"""Guard the choice of a shard against zones out of service, herding and unneeded messages."""

from collections import Counter
from random import Random

from hypothesis import given
from hypothesis import strategies as st

from marjorambridge.limits.messages import ShardSummary
from marjorambridge.routing.candidates import apply_configuration, apply_view, find_candidate
from marjorambridge.routing.choice import choose_shard, list_reachable
from marjorambridge.routing.prefixes import MAX_BLOCKS, compute_prefix
from marjorambridge.routing.state import RoutingState
from marjorambridge.routing.summaries import avoid_shard, compute_wait, record_summary
from tests.requests import harness as hs


def build_routing(host="x", out=(), waits=(), buckets=1) -> RoutingState:
    routing = RoutingState(host, "near")
    configuration = hs.build_configuration(out)
    configuration.services["model"].buckets = buckets
    apply_configuration(routing, configuration)
    apply_view(routing, hs.build_view("h0", "h1", "h2"))
    for shard, wait in waits:
        record_summary(routing, ShardSummary(shard, 3, expected_wait=wait), 10.0)
    return routing


def choose_many(routing, now=10.0, **fields) -> Counter:
    random = Random(1)
    reachable = list_reachable(routing, "model")
    return Counter(choose_shard(routing, reachable, now, random, **fields).shard for _ in range(99))


def test_only_zones_in_service_are_chosen_and_other_regions_only_as_a_fallback():
    assert set(choose_many(build_routing())) == {"model/z1/0", "model/z2/0"}
    assert set(choose_many(build_routing(out=("z1",)))) == {"model/z2/0"}
    assert set(choose_many(build_routing(out=("z1", "z2")))) == {"model/far/0"}
    assert list_reachable(build_routing(out=("z1", "z2", "far")), "model") == []
    routing = build_routing()
    apply_view(routing, hs.build_view("f2"))
    assert set(choose_many(routing)) == {"model/z1/0", "model/z2/0"}


def test_the_shorter_wait_is_chosen_until_the_summary_expires():
    routing = build_routing(waits=[("model/z1/0", 2.0), ("model/z2/0", 0.5)])
    assert set(choose_many(routing)) == {"model/z2/0"}
    assert compute_wait(routing, "model/z1/0", 12.5) == 1.0
    assert compute_wait(routing, "model/z1/0", 15.0) == 0.0


def test_shards_that_denied_are_last_and_an_own_shard_is_chosen_at_equal_waits():
    routing = build_routing(buckets=4)
    owner = find_candidate(routing, "model/z1/0").owner
    own = {e.shard for e in list_reachable(routing, "model") if e.owner == owner}
    routing.host = owner
    assert set(choose_many(routing)) == own
    for shard in own:
        avoid_shard(routing, shard, 11.0)
    assert not set(choose_many(routing)) & own
    record_summary(routing, ShardSummary("model/z1/0", 3, expected_wait=0.01), 11.0)
    assert set(choose_many(routing, now=11.0)) == own


def test_a_growing_conversation_keeps_its_shard_unless_the_wait_is_much_longer():
    routing = build_routing(buckets=8)
    text = b"dispute file " * 4000
    chosen = set()
    for length in (6000, 20_000, 52_000):
        prefix, tokens = compute_prefix(text[:length], 3.0)
        chosen |= set(choose_many(routing, prefix=prefix, prefix_tokens=tokens))
    assert len(chosen) == 1
    record_summary(routing, ShardSummary(*chosen, 3, expected_wait=9.0), 10.0)
    assert not set(choose_many(routing, prefix=prefix, prefix_tokens=tokens)) & chosen


@given(st.binary(max_size=4000), st.binary(max_size=4000), st.binary(max_size=4000))
def test_equal_hashes_mean_equal_prefixes(common, left, right):
    pairs = [compute_prefix(common + rest, 1.0) for rest in (left, right)]
    for (one, covered), (other, _) in [pairs, pairs[::-1]]:
        equal = [covered[i] for i in range(min(len(one), len(other))) if one[i] == other[i]]
        expected = [n for n in covered if (common + left)[:n] == (common + right)[:n]]
        assert equal == [n for n in expected if n <= min(len(common + left), len(common + right))]


def test_a_million_tokens_fit_in_the_bounded_number_of_hashes():
    hashes, tokens = compute_prefix(bytes(8 * 2**20), 3.0)
    assert len(hashes) == MAX_BLOCKS and tokens[-1] > 1_000_000 and len(hashes[0]) == 8
