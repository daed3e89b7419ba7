"""Guard against a host that is fresh with an old configuration, or that applies an older one."""

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st
from msgspec.structs import replace

from marjorambridge.configuration.codec import encode_entry
from marjorambridge.configuration.commands import HostJoined
from marjorambridge.configuration.state_machine import take_snapshot
from marjorambridge.core.events import FreshnessChanged, MessageReceived, ViewApplied
from marjorambridge.core.view import HostEntry
from marjorambridge.membership.messages import (
    CommittedEntry,
    EntryBatch,
    FreshnessReply,
    SnapshotChunk,
)
from tests.membership.naive import (
    append,
    change_voters,
    check_state,
    create_cluster,
    deliver,
    elect,
    exchange,
    is_fresh,
    poll,
    replicate,
    restart_host,
    run_host,
    wipe,
)

ABC = ("a", "b", "c")


def make_cluster(**changes):
    """Return a cluster led by a, whose host is fresh with five entries."""
    cluster = create_cluster(ABC, ("d", "e", "f"), **changes)
    elect(cluster, "a")
    for _ in range(3):
        append(cluster, "a")
    replicate_to(cluster, "a", "bc")
    poll(cluster)
    exchange(cluster, *ABC)
    assert is_fresh(cluster)
    assert get_applied(cluster) == 5
    return cluster


def replicate_to(cluster, leader, names):
    for name in names * 2:
        assert replicate(cluster, leader, name)


def get_applied(cluster):
    return cluster.host.host.control.index


def test_a_host_without_replies_stops_being_fresh_in_time_and_reports_it_once():
    cluster = make_cluster()
    sent = cluster.now
    cluster.published.clear()
    for _ in range(8):
        poll(cluster)
        cluster.in_flight.clear()
        assert is_fresh(cluster) is (cluster.now < sent + 1.8)
        assert len(cluster.host.host.polls) <= 4
    changes = [event for event in cluster.published if isinstance(event, FreshnessChanged)]
    assert [event.fresh_until <= event.now for event in changes] == [True]
    poll(cluster)
    exchange(cluster, *ABC)
    assert is_fresh(cluster)


def test_without_the_limit_a_disconnected_host_stays_fresh_with_an_old_configuration():
    """Show that the rule of the test above is broken if freshness does not expire."""
    for freshness_seconds, acts in ((1.8, False), (1e9, True)):
        cluster = make_cluster()
        cluster.host.settings.freshness_seconds = freshness_seconds
        poll(cluster)
        exchange(cluster, *ABC)
        append(cluster, "a")
        replicate_to(cluster, "a", "bc")
        for _ in range(8):
            poll(cluster)
            cluster.in_flight.clear()
        assert get_applied(cluster) == 5
        assert is_fresh(cluster) is acts


def test_no_host_is_fresh_when_a_majority_of_replicas_is_lost():
    cluster = make_cluster()
    poll(cluster, 2.0)
    for _ in range(5):
        exchange(cluster, "a")
        assert not is_fresh(cluster)
        poll(cluster)


def test_a_host_stays_fresh_while_the_leader_is_lost():
    cluster = make_cluster()
    for _ in range(6):
        poll(cluster, 1.0)
        exchange(cluster, "b", "c")
        assert is_fresh(cluster)


def test_an_uncommitted_tail_on_one_follower_ends_freshness_until_the_election():
    """The failed leader may have committed the entry, so the host must not overlook it."""
    cluster = make_cluster()
    append(cluster, "a")
    replicate(cluster, "a", "b", acknowledged=False)
    cluster.replicas["a"].cut = True
    for _ in range(3):
        poll(cluster, 2.0)
        exchange(cluster, "b", "c")
        assert not is_fresh(cluster)
        assert get_applied(cluster) == 5
    elect(cluster, "b")
    replicate_to(cluster, "b", "c")
    for _ in range(2):
        poll(cluster)
        exchange(cluster, "b", "c")
    assert is_fresh(cluster)
    assert get_applied(cluster) == 7


def test_a_partitioned_replica_that_still_answers_neither_confirms_nor_blocks():
    cluster = make_cluster()
    cluster.host.host.preferred = "a"
    cluster.replicas["a"].cut = True
    for _ in range(30):
        append(cluster, "a")
    elect(cluster, "b")
    for _ in range(10):
        append(cluster, "b")
    replicate_to(cluster, "b", "c")
    for _ in range(3):
        poll(cluster)
        exchange(cluster, "a", "b", "c")
    # The long tail of a prevents freshness only while b or c does not reply.
    assert get_applied(cluster) == len(cluster.committed) == 16
    assert is_fresh(cluster)
    poll(cluster, 2.0)
    exchange(cluster, "a", "b")
    assert not is_fresh(cluster)


def test_former_voters_cannot_confirm_freshness_after_several_membership_changes():
    """Guard against a confirmation by the greatest index alone: a names the voters a, b and c."""
    cluster = make_cluster()
    cluster.replicas["a"].cut = True
    for _ in range(30):
        append(cluster, "a")
    elect(cluster, "b")
    replicate_to(cluster, "b", "c")
    elect(cluster, "c")
    replicate_to(cluster, "c", "b")
    for member, others in (("d", "bd"), ("a", "d"), ("e", "de"), ("b", "de"), ("f", "def")):
        # Replica b receives nothing after it has acknowledged the addition of d.
        assert change_voters(cluster, "c", member)
        replicate_to(cluster, "c", others)
    for _ in range(40):
        append(cluster, "c")
    replicate_to(cluster, "c", "def")
    for _ in range(3):
        poll(cluster)
        exchange(cluster, "c", "d", "e", "f")
    assert is_fresh(cluster)
    applied = get_applied(cluster)
    assert len(cluster.replicas["b"].log) < len(cluster.replicas["a"].log) < applied
    append(cluster, "c")
    replicate_to(cluster, "c", "def")
    assert len(cluster.committed) > applied
    poll(cluster, 2.0)
    exchange(cluster, "a", "b")
    assert not is_fresh(cluster)


def test_a_restarted_host_that_gets_an_old_snapshot_is_not_fresh_with_it():
    cluster = make_cluster(max_recent_entries=1, snapshot_chunk_bytes=64)
    cluster.replicas["a"].cut = True
    elect(cluster, "b")
    append(cluster, "b")
    replicate_to(cluster, "b", "c")
    cluster.in_flight.clear()
    restart_host(cluster)
    cluster.host.host.preferred = "a"
    cluster.in_flight.clear()
    poll(cluster, 0.1)
    exchange(cluster, "a")
    assert get_applied(cluster) == 5
    assert not is_fresh(cluster)
    poll(cluster)
    exchange(cluster, "a", "b")
    assert not is_fresh(cluster)
    for _ in range(3):
        poll(cluster)
        exchange(cluster, *ABC)
    assert get_applied(cluster) == 7
    assert is_fresh(cluster)
    check_state(cluster)


def test_a_wiped_replica_that_answers_does_not_count():
    cluster = make_cluster()
    wipe(cluster, "b")
    wipe(cluster, "c")
    poll(cluster, 2.0)
    exchange(cluster, *ABC)
    assert not is_fresh(cluster)


def test_a_reply_counts_only_for_its_own_query_replica_and_incarnation():
    cluster = make_cluster()
    poll(cluster, 2.0)
    number = cluster.host.host.number
    good = FreshnessReply(number, cluster.incarnation, 5, 5, True, ABC)

    def receive(sender, reply):
        run_host(cluster, MessageReceived(cluster.now, sender, 1, reply))

    receive("a", good)
    receive("a", good)
    for sender, reply in (
        ("b", replace(good, number=number - 1)),
        ("b", replace(good, number=number + 1)),
        ("b", replace(good, number=0)),
        ("b", replace(good, incarnation=cluster.incarnation + 1)),
        ("b", replace(good, last_index=6)),
        ("b", good),
        ("x", good),
    ):
        receive(sender, reply)
        assert not is_fresh(cluster), (sender, reply)
    receive("c", good)
    assert is_fresh(cluster)


def test_late_replies_to_an_earlier_poll_confirm_only_from_the_time_of_that_poll():
    cluster = make_cluster()
    poll(cluster, 2.0)
    first, earlier = cluster.now, list(cluster.in_flight)
    poll(cluster)
    cluster.in_flight = earlier
    exchange(cluster, *ABC)
    assert cluster.host.host.fresh_until == first + 1.8


def test_replies_read_after_a_suspension_of_the_host_do_not_make_it_fresh():
    cluster = make_cluster()
    poll(cluster)
    for _ in ABC:
        deliver(cluster, 0)
    assert len(cluster.in_flight) == len(ABC)
    cluster.now += 10.0
    exchange(cluster, *ABC)
    assert not is_fresh(cluster)
    poll(cluster, 0.0)
    exchange(cluster, *ABC)
    assert is_fresh(cluster)
    assert cluster.host.host.fresh_until == cluster.now + 1.8


def test_an_unresponsive_preferred_replica_is_replaced():
    cluster = make_cluster()
    preferred = cluster.host.host.preferred
    others = [name for name in ABC if name != preferred]
    append(cluster, "a")
    replicate_to(cluster, "a", "bc")
    for _ in range(3):
        poll(cluster)
        exchange(cluster, *others)
    assert cluster.host.host.preferred in others
    assert get_applied(cluster) == 6
    assert is_fresh(cluster)


def test_the_messages_of_a_poll_do_not_grow_with_the_fleet():
    sizes = []
    for hosts in (1, 300):
        cluster = make_cluster()
        for number in range(hosts):
            entry = HostEntry(f"h{number}", 1, "10.0.0.1:7000", "z", "r")
            append(cluster, "a", encode_entry(HostJoined(entry)))
        replicate_to(cluster, "a", "bc")
        poll(cluster)
        exchange(cluster, *ABC)
        cluster.sent.clear()
        poll(cluster)
        queries = len(cluster.in_flight)
        for _ in range(queries):
            deliver(cluster, 0)
        assert len(cluster.in_flight) == queries == len(ABC)
        size = sum(
            len(msgspec.msgpack.encode(item[3])) for item in cluster.sent + cluster.in_flight
        )
        sizes.append(size)
        exchange(cluster, *ABC)
        assert is_fresh(cluster)
    # Only the width of the index may differ.
    assert sizes[1] - sizes[0] < 40
    assert sizes[1] < 1_500


def test_a_snapshot_that_skips_views_ends_the_ownership_of_all_shards():
    """Guard against an owner that lost and regained a shard between two views that it applied."""
    cluster = make_cluster(max_recent_entries=2, snapshot_chunk_bytes=100)
    for _ in range(10):
        append(cluster, "a")
    replicate_to(cluster, "a", "bc")
    cluster.published.clear()
    poll(cluster)
    exchange(cluster, *ABC)
    views = [event.view for event in cluster.published if isinstance(event, ViewApplied)]
    assert [len(view.hosts) for view in views] == [0, 1]
    assert get_applied(cluster) == 15
    assert is_fresh(cluster)


def test_every_view_between_two_polls_is_published_in_order():
    cluster = make_cluster()
    for _ in range(3):
        append(cluster, "a")
    replicate_to(cluster, "a", "bc")
    cluster.published.clear()
    poll(cluster)
    exchange(cluster, *ABC)
    views = [event.index for event in cluster.published if isinstance(event, ViewApplied)]
    assert views == [6, 7, 8]


def test_chunks_of_another_snapshot_or_position_are_not_mixed_in():
    cluster = make_cluster(max_recent_entries=1, snapshot_chunk_bytes=50)
    cluster.in_flight.clear()
    restart_host(cluster)
    preferred = cluster.host.host.preferred
    cluster.in_flight = [item for item in cluster.in_flight if item[2] == preferred]
    deliver(cluster, 0)
    first = cluster.in_flight[0][3].chunk
    deliver(cluster, 0, keep=True)
    for chunk in (
        first,
        SnapshotChunk(first.index, 100, first.total, b"x" * 50),
        SnapshotChunk(first.index - 1, 0, first.total, b"x" * 50),
        SnapshotChunk(first.index + 1, 50, first.total, b"x" * 50),
    ):
        reply = FreshnessReply(0, cluster.incarnation, 5, 5, True, ABC, chunk=chunk)
        run_host(cluster, MessageReceived(cluster.now, preferred, 1, reply))
    exchange(cluster, *ABC)
    assert get_applied(cluster) == 5
    check_state(cluster)


def test_an_unreadable_entry_stops_the_host_before_it_and_ends_freshness():
    """A newer version may write unknown kinds of entries; if one is skipped, states diverge."""
    cluster = make_cluster()
    poll(cluster, 2.0)
    unknown = CommittedEntry(6, msgspec.msgpack.encode(("put_region", {})))
    known = CommittedEntry(7, encode_entry(HostJoined(HostEntry("y", 1, "a:1", "z", "r"))))
    number = cluster.host.host.number
    for batch in (EntryBatch(5, 7, (unknown, known)), EntryBatch(5, 7, (known,))):
        for name in ABC:
            reply = FreshnessReply(number, cluster.incarnation, 7, 7, True, ABC, batch=batch)
            run_host(cluster, MessageReceived(cluster.now, name, 1, reply))
    assert "put_region" in cluster.host.host.halted
    assert get_applied(cluster) == 5
    assert not is_fresh(cluster)
    cluster.in_flight.clear()
    poll(cluster)
    assert [item[3].preferred for item in cluster.in_flight] == [False] * len(ABC)


def test_an_unreadable_snapshot_is_requested_from_every_replica_before_the_host_halts():
    cluster = make_cluster(max_recent_entries=1)
    for name in ABC:
        cluster.replicas[name].state.replica.snapshot = b"\x00"
        cluster.replicas[name].state.replica.snapshot_index = 5
    cluster.in_flight.clear()
    restart_host(cluster)
    for _ in range(5):
        exchange(cluster, *ABC)
        poll(cluster)
    assert set(cluster.host.host.rejected) == set(ABC)
    assert cluster.host.host.halted
    assert not is_fresh(cluster)


def test_a_batch_after_a_gap_and_a_late_snapshot_are_not_applied():
    cluster = make_cluster()
    old = cluster.replicas["a"].state.replica
    late = take_snapshot(old.control)
    for _ in range(3):
        append(cluster, "a")
    replicate_to(cluster, "a", "bc")
    gap = EntryBatch(7, 8, (CommittedEntry(8, cluster.committed[7][1]),))
    reply = FreshnessReply(0, cluster.incarnation, 8, 8, True, ABC, batch=gap)
    run_host(cluster, MessageReceived(cluster.now, "a", 1, reply))
    assert get_applied(cluster) == 5
    poll(cluster)
    exchange(cluster, *ABC)
    assert get_applied(cluster) == 8
    preferred = cluster.host.host.preferred
    chunk = SnapshotChunk(5, 0, len(late), late)
    reply = FreshnessReply(0, cluster.incarnation, 8, 8, True, ABC, chunk=chunk)
    run_host(cluster, MessageReceived(cluster.now, preferred, 1, reply))
    assert get_applied(cluster) == 8
    check_state(cluster)


NAMES = "abcde"
OPERATIONS = st.tuples(
    st.sampled_from(
        ["append"] * 4
        + ["round"] * 4
        + ["replicate", "replicate", "lossy", "elect", "cut", "voters", "wipe", "restart"]
        + ["poll"] * 5
        + ["exchange"] * 5
        + ["deliver", "deliver", "repeat"]
    ),
    st.integers(0, 4),
    st.integers(0, 9),
)


def perform(cluster, operation, first, second):
    one = NAMES[first]
    leaders = [name for name in NAMES if cluster.replicas[name].leading] or ["a"]
    leader = leaders[second % len(leaders)]
    match operation:
        case "append":
            append(cluster, leader)
        case "replicate":
            replicate(cluster, leader, one)
        case "round":
            for name in NAMES:
                replicate(cluster, leader, name, acknowledged=name != NAMES[second % 5])
        case "lossy":
            replicate(cluster, leader, one, acknowledged=False)
        case "elect":
            elect(cluster, one)
        case "cut":
            cluster.replicas[one].cut = not cluster.replicas[one].cut
        case "voters":
            change_voters(cluster, leader, one)
        case "wipe":
            wipe(cluster, one)
        case "restart":
            restart_host(cluster)
        case "poll":
            poll(cluster, second / 10)
        case "exchange":
            reached = [name for place, name in enumerate(NAMES) if place != first or second < 3]
            exchange(cluster, *reached, keep=True)
        case "deliver":
            deliver(cluster, 5 * first + second)
        case "repeat":
            deliver(cluster, 5 * first + second, keep=True)


@settings(max_examples=300)
@given(st.lists(OPERATIONS, min_size=40, max_size=120), st.booleans())
def test_no_schedule_makes_a_host_fresh_while_it_lacks_an_entry(operations, small):
    """Compare with plain lists in any order of changes, losses, repetitions and restarts.

    `check_published` checks the properties: no older or uncommitted state is applied, and a host is
    fresh only if no entry after its index was committed before the poll.
    """
    changes = {"max_recent_entries": 2, "snapshot_chunk_bytes": 200} if small else {}
    cluster = create_cluster(ABC, ("d", "e"), **changes)
    elect(cluster, "a")
    for operation in operations:
        perform(cluster, *operation)
        check_state(cluster)
