"""Check the fencing, the rate and the repetition of orders."""

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from marjorambridge.core.events import MessageReceived
from marjorambridge.orders import state_machine
from marjorambridge.orders.exceptions import OrderEntryError
from marjorambridge.orders.messages import LoadDemand, OrderKind
from marjorambridge.orders.state_machine import Artifact, SetTarget, Target, TargetState
from tests.orders.fleet import SETTINGS, Fleet

MODELS = (Artifact("m1", 60), Artifact("m2", 60))
# A load may be written until the end of its lifetime.
MAX_SEND_DELAY_SECONDS = SETTINGS.lifetime_seconds + 0.25


def make_fleet(checks=False, loss=0.0, seed=1, **target):
    fleet = Fleet(random.Random(seed), loss=loss)
    fleet.start(checks)
    fleet.elect("host-1")
    fleet.set_target(**target)
    return fleet


def check_fencing(fleet):
    """Assert that no order of an older term is executed after one of a newer term."""
    terms = {}
    for _, endpoint, order in fleet.executed:
        assert order.fencing >= terms.get(endpoint, 0)
        terms[endpoint] = order.fencing


def check_weight_store(fleet):
    """Assert that the loads in every time window stay within the burst and the rate."""
    loads = [(at, order.load_bytes) for at, _, order in fleet.executed if order.load_bytes]
    for first, (start, _) in enumerate(loads):
        total = 0
        for at, size in loads[first:]:
            total += size
            limit = SETTINGS.burst_bytes + SETTINGS.bytes_per_second * (
                at - start + MAX_SEND_DELAY_SECONDS
            )
            assert total <= limit


@pytest.mark.parametrize("checks", [False, True])
def test_new_issuer_waits_for_endpoints_that_ignore_fencing_numbers(checks):
    """Guard against two issuers whose orders reach an endpoint in the wrong order."""
    fleet = make_fleet(checks, role="prefill")
    fleet.run(1.0)
    assert bool(fleet.sent) == checks
    fleet.run(20.0)
    assert {each.role for each in fleet.endpoints.values()} == {"prefill"}
    wait = 1.05 * (SETTINGS.freshness_seconds + SETTINGS.lifetime_seconds)
    assert checks or fleet.sent[0][0] >= 100.0 + wait


@pytest.mark.parametrize("frozen", ["host-1", "network"])
def test_frozen_or_partitioned_issuer_is_fenced(frozen):
    """Guard against orders of a replaced issuer that has not received the new term."""
    for seed in range(40):
        fleet = make_fleet(seed=seed, role="prefill")
        fleet.run(7.0 + seed % 8 / 4)
        fleet.frozen.add(frozen)
        fleet.elect("host-2")
        fleet.set_target(role="decode")
        fleet.run(3.0 + seed % 5)
        fleet.reconnect()
        fleet.run(25.0)
        check_fencing(fleet)
        assert {each.role for each in fleet.endpoints.values()} == {"decode"}


def test_issuer_that_is_not_fresh_sends_nothing():
    """Guard against orders that are based on a stale target state."""
    fleet = make_fleet(checks=True, loss=1.0, role="prefill")
    fleet.run(1.0)
    assert fleet.sent
    fleet.frozen.add("network")
    fleet.leader = "host-2"
    fleet.run(1.0)
    cut_off_at = fleet.now - 1.0
    fleet.run(30.0)
    assert all(at <= cut_off_at + SETTINGS.freshness_seconds for at, _ in fleet.sent)


def test_weight_store_limit_holds_across_leader_changes():
    """Guard against a new leader that starts with a full bucket."""
    for seed in range(15):
        fleet = make_fleet(checks=True, loss=0.2, seed=seed, models=MODELS)
        for number in range(8):
            fleet.run(1.0 + fleet.generator.randrange(12))
            fleet.elect(("host-2", "host-1")[number % 2])
        fleet.run(100.0)
        check_weight_store(fleet)
        assert all(len(each.models) == 2 for each in fleet.endpoints.values())


def test_lost_answer_is_repeated_with_new_number_and_one_order_in_flight():
    """Guard against orders that are lost for good, reused numbers and overlapping orders."""
    fleet = make_fleet(loss=0.5, seed=3, models=MODELS[:1], role="prefill")
    fleet.run(200.0)
    numbers = [(each.order.fencing, each.order.number) for _, each in fleet.sent]
    assert len(set(numbers)) == len(numbers) > 8
    assert all(each.models == ("m1",) for each in fleet.endpoints.values())
    busy = {}
    done = {(name, order.number): at for at, name, order in fleet.executed}
    for at, effect in fleet.sent:
        assert effect.send_by == at + SETTINGS.lifetime_seconds
        assert at >= busy.get(effect.endpoint, 0.0)
        end = done.get((effect.endpoint, effect.order.number), effect.send_by)
        busy[effect.endpoint] = min(end, effect.send_by)


def test_loads_follow_number_of_waiting_callers():
    """Guard against tokens that are spent on models for which no caller waits."""
    fleet = make_fleet(checks=True)
    for number, waiting in enumerate((1, 9, 0, 5)):
        command = SetTarget(
            f"x{number}", number + 1, True, f"e{number}", Target((Artifact(f"m{number}", 90),))
        )
        fleet.commit(state_machine.encode_command(command))
        fleet.handle_event(
            "host-1", MessageReceived(100.0, "o", 1, LoadDemand("s", f"m{number}", waiting))
        )
    fleet.run(0.5)
    for _ in range(120):
        for number, waiting in enumerate((1, 9, 0, 5)):
            demand = LoadDemand("s", f"m{number}", waiting)
            fleet.handle_event("host-1", MessageReceived(fleet.now, "o", 1, demand))
        fleet.step()
    loads = [each.order.name for _, each in fleet.sent if each.order.kind == OrderKind.LOAD_MODEL]
    assert list(dict.fromkeys(loads)) == ["m1", "m3", "m0", "m2"]


def test_target_command_is_applied_once_and_on_its_version():
    """Guard against a resent command that reverts a later one, and against lost changes."""
    state = TargetState()
    first = state_machine.encode_command(SetTarget("a", 0, False, "s", Target(role="x")))
    second = state_machine.encode_command(SetTarget("b", 1, False, "s", Target(role="y")))
    stale = state_machine.encode_command(SetTarget("c", 1, False, "s", Target(role="z")))
    results = [
        state_machine.apply_order_entry(state, each) for each in (first, second, first, stale)
    ]
    assert [each.accepted for each in results] == [True, True, True, False]
    assert state.services["s"].role == "y"
    restored = state_machine.restore_snapshot(state_machine.take_snapshot(state))
    assert restored == state


@given(st.binary(max_size=40))
def test_malformed_payload_raises_typed_error(data):
    """Guard against untyped errors from damaged bytes."""
    state = TargetState()
    for payload in (data, state_machine.ORDER_PREFIX + data):
        with pytest.raises(OrderEntryError):
            state_machine.apply_order_entry(state, payload)
    assert state == TargetState()
