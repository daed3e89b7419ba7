"""Test that acknowledged changes are in force in time on days with disturbances."""

import random

import pytest

from marjorambridge.control.commands import DrainZone, RestoreZone
from marjorambridge.control.events import CommandWithdrawn
from marjorambridge.daemon.replica import COMMAND_TIMEOUT_SECONDS

from .disturbed import DisturbedFleet
from .random_days import play_day


@pytest.mark.parametrize("seed", range(6))
def test_changes_are_in_force_in_time_after_connections_fall_silent(seed):
    """Guard against hosts that wait for several silent connections, one after the other."""
    draw = random.Random(seed)
    fleet = DisturbedFleet(replicas=5, gateways=4, seed=seed)
    fleet.run(4.0)
    silent_at = fleet.now + draw.uniform(0.0, 2.0)
    is_silent = False
    while fleet.now < 13.0:
        fleet.change()
        fleet.run(draw.uniform(0.15, 0.45))
        if not is_silent and fleet.now >= silent_at:
            fleet.silence(1.0)
            is_silent = True
    assert len(fleet.history.acked_at) > 20
    assert fleet.violations == []


# The days of these seeds had hosts that lacked a change; each has several causes at once. A zone is
# drained and restored on each of them, too.
@pytest.mark.parametrize("seed", [1, 22, 23, 25, 29, 45, 47, 54, 638])
def test_changes_are_in_force_in_time_on_random_days(seed):
    """Guard against hosts that lack an acknowledged change for longer than the bound allows."""
    fleet = play_day(seed)
    assert fleet.violations == []


def test_changes_are_in_force_in_time_after_overlapping_losses():
    """Guard against a host that tries lost replicas first, when one zone and then all are lost."""
    assert play_day(450).violations == []


def test_changes_are_in_force_in_time_after_a_removed_voter_returned():
    """Guard against a majority that elects no leader, because one of it is no voter any longer."""
    assert play_day(5127, disturbances=9).violations == []


def test_a_restoration_that_was_withdrawn_does_not_undo_a_newer_drain():
    """Guard against a command that waits for a connection and is applied after newer ones."""
    fleet = DisturbedFleet(replicas=3, gateways=1, seed=1)
    fleet.run(4.0)
    leader = next(name for name in fleet.list_core() if fleet.control(name).is_leader)
    follower, other = (name for name in fleet.list_core() if name != leader)
    fleet.submit(leader, DrainZone("drain-1", "z1"))
    fleet.run(0.5)
    pairs = {(follower, leader), (leader, follower)}
    fleet.cut(pairs)
    fleet.submit(follower, RestoreZone("restore-1", "z1"))
    fleet.run(COMMAND_TIMEOUT_SECONDS)
    fleet.dispatch(follower, CommandWithdrawn(fleet.now, "restore-1"))
    fleet.submit(other, DrainZone("drain-2", "z1"))
    fleet.run(0.2)
    assert fleet.is_applied(other, "drain-2")
    fleet.heal(pairs)
    fleet.run(3.0)
    assert all(fleet.control(name).control.drained for name in fleet.list_core())
