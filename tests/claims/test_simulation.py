"""Check that calls are executed at most once, and that faulty variants break this rule."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from marjorambridge.claims import replica, state_machine
from marjorambridge.claims.commands import Claim, Release
from marjorambridge.claims.digests import compute_key_digest
from marjorambridge.claims.messages import ClaimAnswer, ClaimRequest
from marjorambridge.core.effects import SendMessage
from marjorambridge.core.events import MessageReceived
from tests.claims import simulation

ACTION = st.tuples(st.sampled_from(simulation.ACTIONS), st.integers(0, 9_999))
VARIANT_SEEDS = 400


@settings(max_examples=80)
@given(st.lists(ACTION, max_size=200))
def test_generated_session_breaks_no_rule(actions):
    """Guard against second grants, lost answers, false releases and diverging replicas."""
    session = simulation.start_simulation()
    for action, selector in actions:
        session.act(action, selector)
    session.settle()


def test_random_sessions_break_no_rule():
    """Guard against faults that occur only in longer sessions than hypothesis generates."""
    sessions = [simulation.run_seed(seed) for seed in range(150)]
    assert sum(len(session.recorded) for session in sessions) > 30
    assert sum(session.decided for session in sessions) > 1_000


def count_violations():
    count = 0
    for seed in range(VARIANT_SEEDS):
        try:
            simulation.run_seed(seed)
        except simulation.ViolationError:
            count += 1
            break
    return count


def test_answer_before_commit_is_caught(monkeypatch):
    """Show that a claim must not be answered before its entry is committed."""

    def answer_early(state, event):
        effects = replica.receive_message(state, event)
        group = state.groups[1]
        if isinstance(event.message, ClaimRequest) and group.is_leader:
            message = event.message
            copy = state_machine.restore_snapshot(state_machine.take_snapshot(group.machine))
            digest = compute_key_digest(message.workspace, message.key)
            result = state_machine.apply_claim(
                copy,
                Claim(
                    digest,
                    b"f" * 8,
                    0.0,
                    message.claim.host,
                    message.claim.incarnation,
                    message.claim.number,
                ),
            )
            if result.status == "granted":
                effects.append(SendMessage(event.sender, ClaimAnswer(message.claim, result.status)))
        return effects

    monkeypatch.setitem(replica.HANDLERS, MessageReceived, answer_early)
    assert count_violations() > 0


def test_release_after_completion_is_caught(monkeypatch):
    """Show that a release must not undo a completion."""

    def release(machine, command):
        if machine.answers.pop(command.digest, None) is not None:
            for digests in machine.answer_hours.values():
                digests.remove(command.digest)
        return state_machine.apply_release(machine, command)

    monkeypatch.setitem(state_machine.COMMAND_HANDLERS, Release, release)
    assert count_violations() > 0


def test_expiry_by_own_clock_is_caught(monkeypatch):
    """Show that a replica must not expire records by its own clock."""

    def apply_entry(machine, payload):
        machine.wall = max(machine.wall, simulation.REPLICA_CLOCK[0])
        return state_machine.apply_entry(machine, payload)

    claim_at_replica_with_wrong_clock()
    monkeypatch.setattr(replica, "apply_entry", apply_entry)
    assert count_violations() > 0
    with pytest.raises(simulation.ViolationError, match="a was granted"):
        claim_at_replica_with_wrong_clock()


def claim_at_replica_with_wrong_clock():
    """Complete a call, elect a follower whose clock was wrong for a while, and claim again."""
    session = simulation.start_simulation()
    session.check_free_key("a")
    session.act("finish", 1)
    session.run_without_loss()
    assert "a" in session.recorded
    for _ in session.log:
        session.apply_next("host-2")
    session.skews["host-2"] = simulation.SKEW
    session.check_free_key("b")
    session.elect("host-2")
    session.check_free_key("a")
