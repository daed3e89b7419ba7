"""Tests of the leader's batches and of the client's search for the leader."""

from marjorambridge.claims import client, replica
from marjorambridge.claims.commands import decode_batch
from marjorambridge.claims.events import (
    ClaimCompletionRequested,
    ClaimReleaseRequested,
    ClaimRequested,
    WallClockRead,
)
from marjorambridge.claims.messages import ClaimAnswer, ClaimRequest, RecordedAnswer
from marjorambridge.claims.state import ClaimSettings, create_state
from marjorambridge.core.effects import Publish, SendMessage, SetTimer
from marjorambridge.core.events import MessageReceived, TimerFired
from marjorambridge.core.identity import AttemptId, TimerKey
from marjorambridge.replication.events import EntryCommitted, LeadershipChanged, ProposalRefused

SETTINGS = ClaimSettings(max_batch_commands=4)


def make_claim(number):
    return AttemptId("host-9", 1, number)


def receive(state, number, now=1.0):
    message = ClaimRequest(make_claim(number), "w", f"k{number}", "f")
    return replica.step(state, MessageReceived(now, "host-9", 1, message))


def make_leader():
    state = create_state(SETTINGS, "host-1", 1, ("host-1",), True).replica
    replica.step(state, WallClockRead(0.0, 1_700_000_000.0))
    replica.step(state, LeadershipChanged(0.0, 1, "host-1", 1, True))
    return state


def get_proposals(effects):
    return [each.event for each in effects if isinstance(each, Publish)]


def test_first_command_does_not_wait_and_later_ones_share_entries():
    """Guard against a delay of the first command, and against one entry per command under load."""
    state = make_leader()
    first = get_proposals(receive(state, 1))[0]
    assert receive(state, 1) == []
    assert isinstance(receive(state, 2)[0], SetTimer)
    assert receive(state, 3) == []
    effects = replica.step(state, EntryCommitted(1.0, 1, 1, 1, first.payload, first.proposal))
    answers = [each for each in effects if isinstance(each, SendMessage)]
    assert [each.message.status for each in answers] == ["granted"]
    second = get_proposals(effects)[0]
    assert len(decode_batch(second.payload).commands) == 2
    full = [get_proposals(receive(state, number)) for number in range(4, 8)]
    assert [len(each) for each in full] == [0, 0, 0, 1]
    receive(state, 8)
    fired = TimerFired(1.1, TimerKey("claims", "batch", "1"))
    assert len(get_proposals(replica.step(state, fired))) == 1


def test_lost_proposal_is_repeated_on_resend():
    """Guard against a claim that stays unanswered because its proposal was lost."""
    state = make_leader()
    assert get_proposals(receive(state, 1, now=1.0))
    assert not get_proposals(receive(state, 1, now=1.5))
    assert get_proposals(receive(state, 1, now=2.5))


def test_other_replica_names_the_leader():
    """Guard against clients that wait for a replica that does not lead."""
    state = make_leader()
    proposal = get_proposals(receive(state, 1))[0]
    refusal = ProposalRefused(1.0, 1, proposal.proposal, "not leader", "host-2")
    refused = replica.step(state, refusal)
    receive(state, 2)
    deposed = replica.step(state, LeadershipChanged(2.0, 1, "host-2", 2, False))
    for effect in [*refused, *deposed, *receive(state, 3)]:
        assert (effect.message.status, effect.message.leader) == ("unavailable", "host-2")


def request_claim(state, claim):
    return client.step(state, ClaimRequested(0.0, claim, "w", "k", "f", 1.0, 0.0))


def answer(state, message, now=0.1, sender="host-2"):
    return client.step(state, MessageReceived(now, sender, 1, message))


def test_client_follows_leader_and_ignores_late_copies():
    """Guard against a late answer to a claim that is taken for that to a release or completion."""
    state = create_state(SETTINGS, "host-9", 1, ("host-1", "host-2")).client
    claim = make_claim(1)
    assert request_claim(state, claim)[1].to == "host-2"
    assert answer(state, ClaimAnswer(claim, "unavailable", None, "host-1"))[0].at < 0.3
    timer = TimerKey("claims", "resend", str(claim))
    assert client.step(state, TimerFired(0.2, timer))[1].to == "host-1"
    granted = ClaimAnswer(claim, "granted")
    assert answer(state, granted, sender="host-1")[1].event.status == "granted"
    client.step(state, ClaimCompletionRequested(0.3, claim, RecordedAnswer(200), 5.0))
    assert answer(state, granted) == []
    refused = client.step(state, ClaimReleaseRequested(0.4, claim, 5.0))[0].event
    assert refused.committed is False
    settled = answer(state, ClaimAnswer(claim, "granted", operation="complete"))
    assert settled[1].event.committed is True and not state.calls


def test_client_releases_in_background_after_giving_up():
    """Guard against a claim that is committed after the client gave up and blocks its key."""
    state = create_state(SETTINGS, "host-9", 1, ("host-2",)).client
    claim = make_claim(1)
    request_claim(state, claim)
    timer = TimerKey("claims", "resend", str(claim))
    effects = client.step(state, TimerFired(1.0, timer))
    assert effects[0].event.status == "unavailable"
    assert answer(state, ClaimAnswer(claim, "granted")) == []
    for now in (2.0, 30.0, 90.0):
        sent = client.step(state, TimerFired(now, timer))[-1]
        assert type(sent.message).__name__ == "ClaimRelease"
    answer(state, ClaimAnswer(claim, "granted", operation="release"))
    assert not state.calls and not state.background


def test_long_body_is_recorded_by_digest():
    """Guard against answers that fill the log and the memory of the replicas."""
    trimmed = client.trim_answer(RecordedAnswer(200, (), b"x" * 11), 10)
    assert (trimmed.body, trimmed.kept, len(trimmed.digest)) == (b"", False, 32)
