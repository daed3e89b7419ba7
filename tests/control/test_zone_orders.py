"""Test that an order for a zone that is applied late changes nothing."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from marjorambridge.control.commands import DrainZone, RestoreZone, encode_command
from marjorambridge.control.state_machine import (
    ControlState,
    apply_entry,
    restore_snapshot,
    take_snapshot,
)

from .fleet import Fleet


def apply(state, *commands):
    for command in commands:
        apply_entry(state, state.index + 1, encode_command(command))


@pytest.mark.parametrize(
    ("late", "accepted_after", "orders", "drained"),
    [
        (RestoreZone, 1, [DrainZone, RestoreZone, DrainZone], ["z1"]),
        (DrainZone, 1, [RestoreZone, DrainZone, RestoreZone], []),
        # An order that finds the zone as it should be counts as well.
        (DrainZone, 0, [RestoreZone], []),
        (RestoreZone, 1, [DrainZone, DrainZone], ["z1"]),
    ],
)
def test_an_order_that_is_applied_after_newer_ones_changes_nothing(
    late, accepted_after, orders, drained
):
    """Guard against an acknowledged order that is undone by a copy of an earlier one."""
    state, indexes = ControlState(), [0]
    for number, kind in enumerate(orders):
        apply(state, kind(f"order-{number}", "z1", indexes[-1]))
        indexes.append(state.zone_orders["z1"])
    apply(state, late("late", "z1", indexes[accepted_after]))
    assert list(state.drained) == drained


def test_orders_of_earlier_versions_are_applied_as_before():
    """Guard against another state after the log of an earlier version is replayed."""
    state = ControlState()
    apply(state, DrainZone("a", "z1"), RestoreZone("b", "z1"), DrainZone("c", "z1"))
    assert list(state.drained) == ["z1"] and not state.zone_orders
    apply(state, RestoreZone("d", "z1", 0))
    assert not state.drained


def test_the_condition_survives_a_snapshot():
    """Guard against replicas that differ, because one of them started from a snapshot."""
    state = ControlState()
    apply(state, DrainZone("a", "z1", 0))
    restored = restore_snapshot(take_snapshot(state))
    for one in (state, restored):
        apply(one, RestoreZone("b", "z1", 0))
    assert list(restored.drained) == list(state.drained) == ["z1"]


@given(st.lists(st.tuples(st.booleans(), st.integers(0, 3), st.integers(1, 8)), max_size=12))
def test_late_copies_never_change_the_newest_order(orders):
    """Guard against any order of copies that undoes the newest acknowledged order.

    Each order is sent to some replicas that do not answer, and then to one that applies it; the
    copies are applied any number of orders later.
    """
    state, delayed, serial = ControlState(), [], 0
    for number, (drains, copies, delay) in enumerate(orders):
        kind = DrainZone if drains else RestoreZone
        follows = state.zone_orders.get("z1", 0)
        for _ in range(copies):
            serial += 1
            delayed.append((number + delay, kind(f"copy-{serial}", "z1", follows)))
        apply(state, kind(f"order-{number}", "z1", follows))
        assert ("z1" in state.drained) == drains
        apply(state, *[copy for due, copy in delayed if due == number + 1])
        assert ("z1" in state.drained) == drains


def test_an_order_that_waits_on_its_way_to_the_leader_does_not_undo_a_newer_one():
    """Guard against a follower's order that reaches the leader after newer ones were applied."""
    fleet = Fleet(replicas=3, gateways=1)
    fleet.run(4.0)
    leader = next(name for name in ("r0", "r1", "r2") if fleet.control(name).is_leader)
    follower, other = (name for name in ("r0", "r1", "r2") if name != leader)
    fleet.submit(leader, DrainZone("drain-1", "z1", 0))
    fleet.run(0.3)
    follows = fleet.control(follower).control.zone_orders["z1"]
    for number, kind in enumerate((RestoreZone, DrainZone)):
        before = fleet.control(other).control.zone_orders["z1"]
        fleet.submit(other, kind(f"newer-{number}", "z1", before))
        fleet.run(0.3)
    fleet.submit(follower, RestoreZone("late", "z1", follows))
    fleet.run(0.3)
    assert fleet.is_applied(follower, "late")
    assert fleet.updates("g0")[-1].update.drained == ("z1",)
