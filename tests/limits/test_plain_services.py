"""Test that slots of plain services, which cannot confirm a cancel, are freed."""

import pytest

from marjorambridge.limits.effects import CancelHostOnEndpoint, CancelOnEndpoint

from .world import Engine, World


@pytest.mark.parametrize("fault", ["dies", "loses messages", "restarts"])
def test_slot_of_a_lost_holder_is_freed_without_a_confirmation(fault):
    """Guard against slots that stay reserved because a plain service never confirms a cancel."""
    world = World(engines=[Engine("e1", 0, 3, ignores_cancels=True)])
    world.warm_up()
    permit = world.ask("holder-1", 0, 0, 500.0)
    world.run(3.0)
    account = world.shard().ledger.accounts["e1"]
    assert permit in account.permits
    if fault == "dies":
        world.dead.add("holder-1")
    elif fault == "loses messages":
        world.ended.add(permit)
    else:
        world.incarnations["holder-1"] = 2
        world.ask("holder-1", 0, 0, 0.1)
    world.run(15.0)
    assert permit not in account.permits
    cancels = [e for e in world.effects if isinstance(e, CancelOnEndpoint | CancelHostOnEndpoint)]
    assert cancels == [], "a cancel was sent to a plain service"
