"""Check that the configuration of a host contains a change when its command is answered."""

from marjorambridge.configuration.codec import encode_entry
from marjorambridge.configuration.commands import OperatorCommand, PutZone
from marjorambridge.configuration.state import AnswerStatus, CommandAnswer
from marjorambridge.core.effects import Publish, SendMessage
from marjorambridge.core.events import MessageReceived, TimerFired
from marjorambridge.core.identity import TimerKey
from marjorambridge.membership import reducer
from marjorambridge.membership.events import CommandAnswered, CommandSubmitted
from marjorambridge.membership.messages import (
    CommandReply,
    CommittedEntry,
    EntryBatch,
    FreshnessQuery,
    FreshnessReply,
)
from marjorambridge.membership.state import MembershipSettings, create_state
from marjorambridge.membership.submission import COMMAND_TIMER

ADDED = AnswerStatus.ACCEPTED


def make_host():
    settings = MembershipSettings("h9", 7, "h9:1", "z", "r", ("r1",))
    state = create_state(settings)
    state.host.leader = "r1"
    command = OperatorCommand("c1", "asha", 0, 1.0, PutZone("north", "r"))
    reducer.step(state, CommandSubmitted(1.0, command))
    return state, command


def list_answers(effects):
    published = [each.event for each in effects if isinstance(each, Publish)]
    return [event for event in published if isinstance(event, CommandAnswered)]


def receive(state, message, now):
    return reducer.step(state, MessageReceived(now, "r1", 1, message))


def test_an_answer_waits_until_the_host_has_applied_the_change():
    """Guard against a configuration that is older than the answer that an operator received."""
    state, command = make_host()
    reply = CommandReply("c1", CommandAnswer("c1", ADDED, 1, ""))
    effects = receive(state, reply, 1.1)
    assert not list_answers(effects)
    # The missing entries are requested at once from the replica that has them.
    (query,) = [each for each in effects if isinstance(each, SendMessage)]
    assert query.to == "r1" and isinstance(query.message, FreshnessQuery)
    entry = CommittedEntry(1, encode_entry(command))
    batch = EntryBatch(0, 1, (entry,))
    effects = receive(state, FreshnessReply(0, 7, 1, 1, True, ("r1",), "r1", 1, batch), 1.2)
    (answered,) = list_answers(effects)
    assert answered.answer == reply.answer
    assert state.host.control.configuration.version == 1


def test_an_answer_is_relayed_at_the_timeout_if_the_host_still_lags():
    """Guard against a committed answer that is lost because no replica sends the change."""
    state, _ = make_host()
    receive(state, CommandReply("c1", CommandAnswer("c1", ADDED, 1, "")), 1.1)
    end = 1.0 + state.settings.command_timeout_seconds
    timer = TimerFired(end, TimerKey("membership", COMMAND_TIMER, "c1"))
    (answered,) = list_answers(reducer.step(state, timer))
    assert answered.answer.status == ADDED and not state.commands
