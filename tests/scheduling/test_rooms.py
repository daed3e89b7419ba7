"""Test which engines are asked to help with prompts, after bursts that they declined."""

from types import SimpleNamespace

import pytest

from marjorambridge.conf import defaults
from marjorambridge.forwarding.attempts import AttemptOutcome, RequestProgress
from marjorambridge.forwarding.fleet import apply_entry, remove_endpoint
from marjorambridge.forwarding.loads import add_prefill
from marjorambridge.gateway import attempts, sharing
from marjorambridge.gateway.messages import AnswerHead, AttemptResult
from marjorambridge.gateway.state import Gateway
from marjorambridge.scheduling.activation import SchedulingMode
from marjorambridge.scheduling.rooms import can_help, count_helps, record_decline
from tests.forwarding.helpers import make_entry, make_profile, make_state
from tests.gateway.test_sharing import deliver_all, make_zones, run_rounds

FIRST, LONGEST = defaults.FIRST_DECLINE_SECONDS, defaults.MAX_DECLINE_SECONDS
ON, OFF = SchedulingMode.ON, SchedulingMode.OFF


def test_declines_in_a_row_are_ever_further_apart():
    """Guard against a burst of long prompts that each ask the same full engine first."""
    engine = make_state(1).endpoints["e0"]
    times = [step / 20 for step in range(400)]
    asked = [record_decline(engine, now) for now in times if can_help(engine, now)]
    assert asked == [FIRST, 2 * FIRST, 4 * FIRST] + [LONGEST] * 5
    assert record_decline(engine, 20.0 + 3 * LONGEST) == FIRST


def test_a_replaced_engine_can_help_at_once():
    """Guard against a decline of a crashed engine that excludes the one started in its place."""
    state = make_state(1)
    crashed = state.endpoints["e0"]
    record_decline(crashed, 0.0)
    remove_endpoint(state, "e0", 0.1)
    apply_entry(state, make_entry("e0", "model", "z0", 0), 0.1)
    assert not can_help(state.endpoints["e0"], 0.1)  # The same incarnation is back.
    apply_entry(state, make_entry("e0", "model", "z0", 0, born=2), 0.2)
    record_decline(crashed, 0.2)  # An attempt that was in flight ends.
    assert can_help(state.endpoints["e0"], 0.2)


@pytest.mark.parametrize(("zones", "seconds"), [((1,), FIRST), ((0, 1), 2 * FIRST)])
def test_hosts_agree_on_an_engine_after_lost_and_repeated_reports(zones, seconds):
    """Guard against long prompts of 40 hosts at an engine that is full or declined two of them.

    The first reports are lost. Copies of a report, and totals with the own one, extend no time.
    """
    fleet = make_zones()
    now = start = run_rounds(fleet, 100.0, 3.0)
    *hosts, unplanned = fleet.values()
    for host in hosts:
        host.forwarding.planned = frozenset({"model"})
    for name, helps in (("e1", 8), ("e2", 7)):
        for host in hosts[::5][:helps]:
            add_prefill(host.forwarding.endpoints[name].load, 9.0, now, is_help=True)
    for zone in zones:
        record_decline(fleet[f"10.{zone}.0.0:1"].forwarding.endpoints["e0"], now)
    while now < start + 0.3:
        now += sharing.ZONE_TOTALS_SECONDS
        for host in fleet.values():
            sharing.repeat_loads(host, now)
            sharing.queue_loads(host, list(host.changed), now)
            deliver_all(fleet, now)
            sharing.queue_totals(host, now)
            deliver_all(fleet, now)
    for engines in (host.forwarding.endpoints for host in hosts):
        assert not can_help(engines["e1"], now) and can_help(engines["e2"], now)
        assert not can_help(engines["e0"], start + seconds - 0.11)
        assert can_help(engines["e0"], start + seconds + 0.11)
    assert not unplanned.forwarding.endpoints["e0"].declines


@pytest.mark.parametrize(
    ("mode", "outcome", "at_fault", "declined"),
    [
        (ON, AttemptOutcome.NOT_RUN, "e1", ["e1"]),
        (ON, AttemptOutcome.MISDIRECTED, "10.0.0.1:80", ["e1"]),
        (ON, AttemptOutcome.DECLINED, "e1", []),
        (OFF, AttemptOutcome.NOT_RUN, "e1", []),
    ],
)
def test_a_declined_prompt_excludes_the_engine_at_fault(mode, outcome, at_fault, declined):
    """Guard against a second prompt to a helper that declined, and helps that are never removed."""
    state, measured = make_state(3, scheduling=mode), []
    e0, e1, _ = engines = list(state.endpoints.values())
    context = SimpleNamespace(gateway=Gateway(state, None, measured.append), excluded=set())
    context.profile, context.progress = make_profile(300_000), RequestProgress()
    context.request, context.attempt_outcomes = SimpleNamespace(request_id="r"), []
    running = SimpleNamespace(endpoint=e0, helpers=[e1], is_connected=True, started_at=0.0)
    attempts._add_load(context, running, 0.0)
    assert [count_helps(engine) for engine in engines] == [0, 1, 0]
    attempts._finish_prefill(context, running, 1.0)
    assert [count_helps(engine) for engine in engines] == [0, 0, 0]
    context.replaced = None
    result = AttemptResult(outcome, AnswerHead(503, endpoint_at_fault=at_fault))
    attempts.record_attempt(context, running, result)
    assert [engine.name for engine in engines if engine.declines] == declined
    assert [measure.name for measure in measured] == ["declined_requests_total"] * len(declined)
