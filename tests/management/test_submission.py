"""Guard against resends that apply a change twice, or fail to find that it was applied."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from marjorambridge.configuration.commands import SetZoneOut
from marjorambridge.configuration.models import Configuration
from marjorambridge.configuration.state import ChangeRecord
from marjorambridge.http.reports import ConfigurationReport
from marjorambridge.management.exceptions import (
    ConflictError,
    ManagementError,
    UnavailableError,
    UsageError,
)
from marjorambridge.management.submission import (
    create_identity,
    find_earlier_outcome,
    make_command,
    parse_identity,
    submit_command,
)


def make_report(version, *versions, fresh=True):
    history = tuple(ChangeRecord(item, "asha", f"c{item}", 1.0, "put") for item in versions)
    return ConfigurationReport("entry-1", fresh, Configuration(version), history)


@given(
    base=st.none() | st.integers(0, 10**17),
    wall=st.floats(0, 9e9),
)
def test_an_identifier_encodes_the_whole_identity(base, wall):
    """A resend from another run of the tool must be the same command, byte for byte."""
    identity = create_identity(base, wall)
    assert parse_identity(identity.command_id) == identity


@given(st.text(max_size=40))
def test_other_texts_are_refused_as_identifiers(text):
    with pytest.raises(UsageError):
        parse_identity(text)


def test_an_earlier_acceptance_is_found_in_the_history():
    identity = parse_identity("c1000-4-0123456789abcdef")
    report = make_report(6, 5, 6)
    report.history[0].command_id = identity.command_id
    assert find_earlier_outcome(identity, report).version == 5


def test_only_a_fresh_and_long_enough_history_shows_that_nothing_was_accepted():
    identity = parse_identity("c1000-4-0123456789abcdef")
    assert find_earlier_outcome(identity, make_report(4, 3, 4)) is None
    with pytest.raises(ConflictError, match="was not accepted"):
        find_earlier_outcome(identity, make_report(6, 5, 6))
    for report in (make_report(6, 6), make_report(6), make_report(4, 4, fresh=False)):
        with pytest.raises(UnavailableError):
            find_earlier_outcome(identity, report)


def submit_to_two_addresses(replies, seconds=10.0):
    """Submit a command to two addresses, and return the outcome and the calls."""
    calls = []
    pending = iter(replies)
    clock = iter(range(1000))

    def send(address, raw):
        calls.append((address, raw["command_id"]))
        reply = next(pending, UnavailableError("closed"))
        if isinstance(reply, Exception):
            raise reply
        return reply

    command = make_command(create_identity(None, 5.0), "asha", SetZoneOut("bhuj"))
    try:
        outcome = submit_command(
            command, ("a", "b"), send, lambda: next(clock), lambda _: None, seconds
        )
    except ManagementError as error:
        outcome = error
    return outcome, calls


def test_a_command_without_a_final_answer_is_resent_to_the_addresses_in_turn():
    unavailable = {"status": "unavailable", "message": "no leader"}
    accepted = {"status": "accepted", "version": 3}
    unreadable = {"status": "perhaps"}
    outcome, calls = submit_to_two_addresses(
        [UnavailableError("x"), unavailable, unreadable, accepted]
    )
    assert outcome.version == 3
    assert [address for address, _ in calls] == ["a", "b", "a", "b"]
    assert len({command_id for _, command_id in calls}) == 1


def test_the_submission_times_out_and_names_the_identifier():
    outcome, calls = submit_to_two_addresses([], seconds=6.0)
    assert isinstance(outcome, UnavailableError)
    assert f"--command-id {calls[0][1]}" in str(outcome)
