"""Test replicas and gateways with messages whose numbers and names a peer may choose freely.

What a host sends on after such a message must fit the messages between hosts.
"""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from msgspec.structs import replace

from marjorambridge.conf import defaults
from marjorambridge.control.commands import (
    DrainZone,
    EndpointRecord,
    ForgetEndpoints,
    RegisterEndpoints,
    ReplaceManifest,
    RestoreZone,
    RetireEndpoint,
    encode_command,
)
from marjorambridge.control.messages import (
    EndpointEntry,
    EndpointGossip,
    FeedPoll,
    FeedUpdate,
    LiveEndpoint,
    MemberList,
    ProposalForward,
)
from marjorambridge.core.events import MessageReceived
from marjorambridge.wire.codec import encode_message
from marjorambridge.wire.registry import list_messages, load_messages
from tests.structures import draw_structures

from .fleet import Fleet

# Numbers that the fields of messages and of accepted reports hold.
WHOLE = st.one_of(st.sampled_from([0, 1, -1, 2**31, 2**53, 2**63 - 1, -(2**63)]), st.integers(0, 9))
DECIMAL = st.one_of(
    st.sampled_from([0.0, -1.0, 1e9, 1e300, -1e300, float("inf"), float("-inf"), float("nan")]),
    st.floats(0.0, 5.0),
)
NAMES = st.sampled_from(["r0", "r1", "g0", "z1", "e1", "10.0.0.1:80", "", "x" * 300])
KINDS = {int: WHOLE, float: DECIMAL, str: NAMES, bool: st.booleans(), bytes: st.just(b"")}


COMMAND_IDS = st.integers(0, 10**9).map(str)
COMMANDS = st.one_of(
    st.builds(DrainZone, COMMAND_IDS, NAMES, WHOLE),
    st.builds(RestoreZone, COMMAND_IDS, NAMES, WHOLE),
    st.builds(RetireEndpoint, COMMAND_IDS, NAMES, WHOLE),
    st.builds(ReplaceManifest, COMMAND_IDS, WHOLE, st.just(b"")),
    st.builds(ForgetEndpoints, COMMAND_IDS, st.dictionaries(NAMES, WHOLE, max_size=3)),
    st.builds(
        RegisterEndpoints,
        COMMAND_IDS,
        st.lists(draw_structures(EndpointRecord, KINDS), max_size=3).map(tuple),
    ),
)
FORWARDS = st.builds(ProposalForward, COMMAND_IDS, COMMANDS.map(encode_command))
TO_REPLICAS = st.one_of(
    FORWARDS,
    draw_structures(EndpointGossip, KINDS),
    draw_structures(FeedPoll, KINDS),
    draw_structures(MemberList, KINDS),
)


class CheckedFleet(Fleet):
    """Check that each message that a host sends can be encoded, and record it."""

    def __init__(self, **settings):
        self.sent = []
        super().__init__(**settings)

    def send(self, name, effect):
        encode_message(effect.message)
        self.sent.append((name, effect.message))
        super().send(name, effect)


def make_fleet():
    fleet = CheckedFleet(replicas=3, gateways=1)
    fleet.run(4.0)
    return fleet


@pytest.mark.parametrize("seconds", [1e9, float("inf"), float("nan"), -1e300])
def test_a_replica_delays_the_polls_of_a_host_only_within_limits(seconds):
    """Guard against a gateway that polls no more, and learns of no change, after one update."""
    fleet = make_fleet()
    (update,) = [sent for name, sent in fleet.sent if isinstance(sent, FeedUpdate)][-1:]
    content = replace(update, current=True, poll_after_seconds=seconds)
    sender = fleet.control("g0").polled_replica
    fleet.dispatch("g0", MessageReceived(fleet.now, sender, 1, content))
    fleet.sent.clear()
    fleet.run(8.0)
    polls = sum(isinstance(sent, FeedPoll) for name, sent in fleet.sent if name == "g0")
    assert polls >= 8.0 / defaults.FEED_MAX_POLL_INTERVAL_SECONDS - 1


def test_the_generator_covers_the_messages_of_the_control_package():
    """Guard against a new message that the generator does not know."""
    built = {ProposalForward, EndpointGossip, FeedPoll, MemberList, FeedUpdate}
    parts = {EndpointEntry, LiveEndpoint}
    assert set(list_messages(load_messages("control"))) == built | parts


@settings(max_examples=40)
@given(st.lists(st.tuples(st.sampled_from(["r0", "r1", "g0"]), TO_REPLICAS), max_size=8))
def test_a_replica_survives_any_messages_and_serves_the_others(messages):
    """Guard against one message of a peer after which replicas end, or acknowledge nothing."""
    fleet = make_fleet()
    for sender, message in messages:
        for target in ("r0", "r1", "r2"):
            if target != sender:
                fleet.dispatch(target, MessageReceived(fleet.now, sender, 1, message))
        fleet.run(0.05)
    fleet.run(3.0)
    fleet.submit("r0", RetireEndpoint("last", "e-last", 5))
    fleet.run(1.0)
    assert fleet.is_applied("r0", "last")


@settings(max_examples=40)
@given(st.lists(draw_structures(FeedUpdate, KINDS, document=st.just(b"")), max_size=6))
def test_a_gateway_survives_any_updates(updates):
    """Guard against one update after which a gateway ends, or polls no more."""
    fleet = make_fleet()
    for update in updates:
        for sender in ("r0", "r1", "r2"):
            fleet.dispatch("g0", MessageReceived(fleet.now, sender, 1, update))
        fleet.run(0.1)
    fleet.sent.clear()
    fleet.run(8.0)
    assert any(name == "g0" and isinstance(sent, FeedPoll) for name, sent in fleet.sent)
