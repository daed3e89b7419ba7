"""Check the target state of orders in the log of group 0 and in its snapshots."""

import pytest

from marjorambridge.configuration.codec import encode_entry
from marjorambridge.configuration.commands import OperatorCommand, SetZoneOut
from marjorambridge.configuration.exceptions import EntryDecodeError
from marjorambridge.configuration.state import ControlState
from marjorambridge.configuration.state_machine import apply_entry, restore_snapshot, take_snapshot
from marjorambridge.core.effects import Publish, SendMessage
from marjorambridge.core.events import MessageReceived, Started
from marjorambridge.membership import reducer
from marjorambridge.membership.messages import CommandForward, CommandReply
from marjorambridge.membership.state import MembershipSettings, create_state
from marjorambridge.orders.events import TargetStateApplied
from marjorambridge.orders.state_machine import (
    ORDER_PREFIX,
    Artifact,
    SetTarget,
    TakeTokens,
    Target,
    encode_command,
)
from marjorambridge.replication.events import (
    EntryCommitted,
    LeadershipChanged,
    ProposalRequested,
    SnapshotInstalled,
)

TARGET = Target(models=(Artifact("geru", 10),))
COMMAND = SetTarget("c1", 0, False, "model", TARGET)


def make_replica():
    settings = MembershipSettings("r1", 1, "r1:1", "z", "r", ("r1",), True)
    state = create_state(settings)
    reducer.step(state, LeadershipChanged(1.0, 0, "r1", 1, True))
    return state


def list_events(effects, kind):
    found = [each.event for each in effects if isinstance(each, Publish)]
    return [event for event in found if isinstance(event, kind)]


def forward(state, payload, now=2.0):
    return reducer.step(state, MessageReceived(now, "h9", 1, CommandForward("c1", payload)))


def test_a_committed_target_is_published_and_answered_once_for_all_resends():
    state = make_replica()
    (first,) = list_events(reducer.step(state, Started(0.5)), TargetStateApplied)
    payload = encode_command(COMMAND)
    (proposal,) = list_events(forward(state, payload), ProposalRequested)
    assert proposal.payload == payload
    effects = reducer.step(state, EntryCommitted(2.5, 0, 1, 1, payload, proposal.proposal))
    (applied,) = list_events(effects, TargetStateApplied)
    # The state that the issuer reads is current even before it handles the event.
    assert first.state is applied.state and first.state.services == {"model": TARGET}
    (reply,) = [each.message for each in effects if isinstance(each, SendMessage)]
    assert (reply.answer.status, reply.answer.version) == ("accepted", 1)
    (again,) = forward(state, payload)
    assert isinstance(again.message, CommandReply) and again.message.answer == reply.answer


def test_only_an_operators_command_is_proposed():
    """Guard against forwarded entries that take tokens or cannot be decoded."""
    state = make_replica()
    for payload in (
        encode_command(TakeTokens(1.0, 2.0)),
        ORDER_PREFIX + b"\xc1",
        encode_command(SetTarget("c1", 0, False, "x" * 200, TARGET)),
    ):
        assert not list_events(forward(state, payload), ProposalRequested)


def test_snapshots_contain_the_target_state():
    control = ControlState()
    apply_entry(control, 1, encode_command(COMMAND))
    apply_entry(control, 2, encode_command(TakeTokens(3.0, 4.0)))
    apply_entry(control, 3, encode_entry(OperatorCommand("c2", "o", None, 1.0, SetZoneOut("z"))))
    data = take_snapshot(control)
    assert restore_snapshot(data) == control
    state = make_replica()
    effects = reducer.step(state, SnapshotInstalled(3.0, 0, 3, 1, data))
    (applied,) = list_events(effects, TargetStateApplied)
    assert applied.state == control.targets and applied.state.tokens == 4.0


def test_a_malformed_entry_raises_and_leaves_the_state_unchanged():
    control = ControlState()
    with pytest.raises(EntryDecodeError):
        apply_entry(control, 1, ORDER_PREFIX + b"\xc1")
    assert control == ControlState()
