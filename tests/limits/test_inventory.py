"""Test that inventory reports are complete, limited in rate and sent to the leader."""

from msgspec.structs import replace

from marjorambridge.conf.defaults import (
    INVENTORY_INTERVAL_SECONDS,
    INVENTORY_REPEAT_INTERVAL_SECONDS,
)
from marjorambridge.core.events import ControlLeaderChanged
from marjorambridge.limits import inventory
from marjorambridge.orders.messages import EndpointInventory, LoadDemand

from .world import Engine, World


def list_summaries(effects):
    messages = [effect.message for effect in effects]
    parts = [each.endpoints for each in messages if isinstance(each, EndpointInventory)]
    return [summary for part in parts for summary in part]


def test_owners_report_every_endpoint_and_repeat_them(monkeypatch):
    monkeypatch.setattr(inventory, "SUMMARIES_PER_MESSAGE", 2)
    world = World(engines=[Engine(f"e{number}", 40_000, 1) for number in range(5)], seed=2)
    world.warm_up()
    state = world.owners[world.owner()]
    assert inventory.report_inventory(state, world.now) == []
    inventory.handle_control_leader(state, ControlLeaderChanged(world.now, "r1"))
    effects = inventory.report_inventory(state, world.now)
    assert {effect.to for effect in effects} == {"r1"}
    messages = [effect.message for effect in effects]
    parts = [each.endpoints for each in messages if isinstance(each, EndpointInventory)]
    assert [len(part) for part in parts] == [2, 2, 1]
    summaries = [summary for part in parts for summary in part]
    assert {summary.endpoint for summary in summaries} == {f"e{number}" for number in range(5)}
    assert all(summary.age >= 0.0 and summary.service == "model" for summary in summaries)
    soon = world.now + INVENTORY_INTERVAL_SECONDS / 2
    assert inventory.report_inventory(state, soon) == []
    # The next report has only the changes; after the repeat interval, all endpoints follow.
    later = world.now + INVENTORY_INTERVAL_SECONDS
    changed = next(iter(state.shards.values())).endpoints["e3"]
    changed.announcement = replace(changed.announcement, role="prefill")
    (part,) = list_summaries(inventory.report_inventory(state, later))
    assert (part.endpoint, part.role) == ("e3", "prefill")
    again = list_summaries(
        inventory.report_inventory(state, later + INVENTORY_REPEAT_INTERVAL_SECONDS)
    )
    assert {summary.endpoint for summary in again} == {f"e{number}" for number in range(5)}
    # A new leader gets a complete report, without waiting for the interval.
    inventory.handle_control_leader(state, ControlLeaderChanged(later, "r2"))
    effects = inventory.report_inventory(state, later)
    assert {effect.to for effect in effects} == {"r2"} and len(list_summaries(effects)) == 5


def test_waiting_requests_are_reported_until_none_waits():
    world = World(engines=[Engine("e1", 40_000, 1)], seed=2)
    world.warm_up()
    state = world.owners[world.owner()]
    inventory.handle_control_leader(state, ControlLeaderChanged(world.now, "r1"))
    found = []
    for count in (0, 3, 3, 0, 0):
        entries = next(iter(state.shards.values())).queue.entries
        entries.clear()
        entries.update(dict.fromkeys(range(count)))
        world.now += INVENTORY_INTERVAL_SECONDS
        effects = inventory.report_inventory(state, world.now)
        found.append([each.message for each in effects if isinstance(each.message, LoadDemand)])
    three, none = LoadDemand("model", "model", 3), LoadDemand("model", "model", 0)
    assert found == [[], [three], [three], [none], []]
