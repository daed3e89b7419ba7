"""Guard the control state against lost updates, repeated commands and diverging replicas."""

import pytest
from hypothesis import given
from hypothesis import strategies as st
from msgspec.structs import replace

from marjorambridge.conf import defaults
from marjorambridge.configuration.codec import encode_entry
from marjorambridge.configuration.commands import (
    ApplyConfiguration,
    DeleteService,
    DeleteZone,
    HostJoined,
    HostLeaving,
    HostRemoved,
    PutService,
    PutWorkspace,
    PutZone,
    SetZoneIn,
    SetZoneOut,
)
from marjorambridge.configuration.exceptions import EntryDecodeError, SnapshotDecodeError
from marjorambridge.configuration.models import Service, ServiceKind, Workspace
from marjorambridge.configuration.state import AnswerStatus, ControlState
from marjorambridge.configuration.state_machine import (
    apply_entry,
    restore_snapshot,
    take_snapshot,
)
from marjorambridge.core.view import HostEntry, HostState
from tests.configuration.helpers import apply_command, hash_key, make_command, make_example_change

HOUR = 3600.0


def make_state():
    state = ControlState()
    assert (
        apply_command(state, make_command(0, make_example_change(), base=0)).status
        is AnswerStatus.ACCEPTED
    )
    return state


def test_only_one_of_two_commands_with_equal_base_versions_is_accepted():
    state = make_state()
    first = apply_command(state, make_command(1, SetZoneOut("bhuj"), base=1, operator="asha"))
    second = apply_command(
        state, make_command(2, PutZone("mandvi", "kutch"), base=1, operator="bela")
    )
    assert (first.status, second.status) == (AnswerStatus.ACCEPTED, AnswerStatus.CONFLICT)
    assert [(c.operator, c.version) for c in second.changes] == [("asha", 2)]
    assert "asha: take availability zone bhuj out of service" in second.message
    assert "mandvi" not in state.configuration.zones


def test_only_a_zone_out_is_accepted_without_base_version():
    state = make_state()
    apply_command(state, make_command(1, PutZone("mandvi", "kutch"), base=1))
    assert apply_command(state, make_command(2, SetZoneOut("bhuj"))).status is AnswerStatus.ACCEPTED
    assert state.configuration.zones["bhuj"].out
    answer = apply_command(state, make_command(3, SetZoneIn("bhuj")))
    assert answer.status is AnswerStatus.INVALID
    assert answer.faults[0].path == "base_version"


def test_a_repeated_zone_out_does_not_make_other_commands_conflict():
    state = make_state()
    apply_command(state, make_command(1, SetZoneOut("bhuj")))
    answer = apply_command(state, make_command(2, SetZoneOut("bhuj")))
    assert (answer.status, answer.version) == (AnswerStatus.ACCEPTED, 2)
    assert (
        apply_command(state, make_command(3, DeleteZone("bhuj"), base=2)).status
        is AnswerStatus.INVALID
    )


def test_every_fault_of_a_command_is_listed_and_nothing_is_applied():
    state = make_state()
    before = state.configuration
    change = ApplyConfiguration(
        (
            PutService(Service("x", ServiceKind.PLAIN, ("bhuuj",), models=("geru-2",))),
            PutService(Service("y", ServiceKind.PLAIN, (), buckets=0)),
            PutWorkspace(Workspace("w", ("secret",), ("gero",))),
            DeleteZone("anjar"),
            DeleteZone("mandvi"),
        )
    )
    answer = apply_command(state, make_command(1, change, base=1))
    assert answer.status is AnswerStatus.INVALID
    listed = {(f.path, f.problem.split(":")[0]) for f in answer.faults}
    assert listed == {
        ("services.x.zones", "unknown availability zone 'bhuuj'"),
        ("services.x.models", "the model name 'geru-2' already belongs to service 'geru'"),
        ("services.y.zones", "the service is in no availability zone"),
        ("services.y.buckets", "0 is out of range"),
        ("workspaces.w.services", "unknown service 'gero'"),
        (
            "workspaces.w.key_hashes",
            "a key hash is not a hexadecimal SHA-256 digest in lower case",
        ),
        ("availability_zones.anjar", "cannot be deleted while services use it"),
        ("availability_zones.mandvi", "does not exist"),
    }
    assert all(f.remedy for f in answer.faults)
    assert "use 'bhuj'" in next(f.remedy for f in answer.faults if f.path == "services.x.zones")
    assert "secret" not in str(answer)
    assert state.configuration is before


def test_deleting_a_used_service_repeating_a_model_and_sharing_a_key_are_refused():
    state = make_state()
    shared = PutWorkspace(Workspace("other", (hash_key("a"),)))
    twice = PutService(Service("geru", ServiceKind.ENGINE, ("bhuj",), models=("geru", "m", "m")))
    for number, change in enumerate((DeleteService("geru"), shared, twice), 1):
        assert (
            apply_command(state, make_command(number, change, base=1)).status
            is AnswerStatus.INVALID
        )


def test_putting_an_existing_zone_does_not_return_it_to_service():
    state = make_state()
    apply_command(state, make_command(1, SetZoneOut("bhuj")))
    apply_command(state, make_command(2, PutZone("bhuj", "north"), base=2))
    assert state.configuration.zones["bhuj"].out
    assert state.configuration.zones["bhuj"].region == "north"


@pytest.mark.parametrize("restart", [False, True])
def test_a_resend_gets_the_first_answer_also_after_snapshot_and_restore(restart):
    state = make_state()
    accepted = make_command(1, SetZoneOut("bhuj"), base=1)
    refused = make_command(2, SetZoneOut("bhujj"))
    conflict = make_command(3, SetZoneIn("bhuj"), base=1)
    first = [apply_command(state, command) for command in (accepted, refused, conflict)]
    apply_command(state, make_command(4, SetZoneIn("bhuj"), base=2))
    if restart:
        state = restore_snapshot(take_snapshot(state))
    assert [apply_command(state, command) for command in (accepted, refused, conflict)] == first
    assert not state.configuration.zones["bhuj"].out
    assert state.configuration.version == 3


def test_an_identifier_cannot_be_used_for_another_command():
    state = make_state()
    apply_command(state, make_command(1, SetZoneOut("bhuj")))
    other = apply_command(state, make_command(1, SetZoneOut("anjar")))
    assert other.status is AnswerStatus.INVALID
    assert other.faults[0].path == "command_id"
    assert not state.configuration.zones["anjar"].out


@pytest.mark.parametrize("by_time", [False, True])
@pytest.mark.parametrize("base", [None, 1])
def test_a_resend_after_its_answer_was_deleted_is_never_applied_again(by_time, base):
    state = make_state()
    command = make_command(1, SetZoneOut("bhuj"), base=base)
    assert apply_command(state, command).status is AnswerStatus.ACCEPTED
    apply_command(state, make_command(2, SetZoneIn("bhuj"), base=2))
    if by_time:
        wall = command.wall + defaults.ANSWER_RETENTION_SECONDS + HOUR
        apply_command(state, make_command(3, SetZoneOut("nowhere"), base=3, wall=wall))
    else:
        for number in range(3, 3 + defaults.MAX_STORED_ANSWERS):
            apply_command(state, make_command(number, SetZoneIn("bhuj"), base=3))
    assert command.command_id not in state.answers
    state = restore_snapshot(take_snapshot(state))
    answer = apply_command(state, command)
    assert answer.status is (AnswerStatus.EXPIRED if base is None else AnswerStatus.CONFLICT)
    assert not state.configuration.zones["bhuj"].out
    later = make_command(9_999, SetZoneOut("bhuj"), wall=command.wall + 1)
    assert apply_command(state, later).status is AnswerStatus.ACCEPTED


def test_a_wall_time_in_the_far_future_does_not_block_later_commands():
    state = make_state()
    apply_command(state, make_command(1, SetZoneOut("nowhere"), base=1, wall=1e12))
    assert apply_command(state, make_command(2, SetZoneOut("bhuj"))).status is AnswerStatus.ACCEPTED
    assert "command-2" in state.answers


def test_history_and_answers_stay_bounded_and_conflicts_list_the_newest_changes():
    state = make_state()
    for number in range(1, 2 * defaults.MAX_CHANGE_RECORDS):
        change = SetZoneOut("bhuj") if number % 2 else SetZoneIn("bhuj")
        apply_command(state, make_command(number, change, base=number))
    assert len(state.history) == defaults.MAX_CHANGE_RECORDS
    answer = apply_command(state, make_command(9_999, SetZoneIn("bhuj"), base=1))
    assert len(answer.changes) == defaults.MAX_CONFLICT_CHANGES
    assert answer.changes[-1].version == state.configuration.version
    zones = tuple(f"{number}" * 5_000 for number in range(100, 200))
    for number in range(10_000, 10_000 + 80):
        bad = PutService(Service("s" * 5_000, ServiceKind.PLAIN, zones))
        apply_command(state, make_command(number, bad, base=state.configuration.version))
    assert state.answer_items <= defaults.MAX_STORED_ANSWER_ITEMS
    assert state.answer_items == sum(stored.items for stored in state.answers.values())
    assert len(take_snapshot(state)) < 400 * defaults.MAX_STORED_ANSWER_ITEMS


def test_a_configuration_over_the_size_limit_is_refused(monkeypatch):
    monkeypatch.setattr(defaults, "MAX_CONFIGURATION_BYTES", 1_000)
    state = make_state()
    keys = tuple(hash_key(str(number)) for number in range(20))
    answer = apply_command(state, make_command(1, PutWorkspace(Workspace("w", keys)), base=1))
    assert answer.faults[0].path == "configuration"


def test_the_list_of_faults_is_bounded():
    state = make_state()
    zones = tuple(f"z{number}" for number in range(2 * defaults.MAX_LISTED_FAULTS))
    answer = apply_command(
        state, make_command(1, PutService(Service("s", ServiceKind.PLAIN, zones)), base=1)
    )
    assert len(answer.faults) == defaults.MAX_LISTED_FAULTS
    assert answer.faults[-1].problem == "further faults are not listed"


def test_an_unreadable_entry_changes_nothing():
    state = make_state()
    before = take_snapshot(state)
    with pytest.raises(EntryDecodeError):
        apply_entry(state, 2, b"\xc1")
    assert take_snapshot(state) == before


def test_a_malformed_snapshot_is_a_typed_error():
    data = take_snapshot(make_state())
    for bad in (b"", data[:-1], data[: len(data) // 2], b"\x92\xa1x\xc0", b"\xc1"):
        with pytest.raises(SnapshotDecodeError):
            restore_snapshot(bad)


def test_membership_entries_are_idempotent_and_fenced_by_incarnation():
    state = ControlState()
    old = HostEntry("h1", 1, "10.0.0.1:7000", "bhuj", "kutch")
    new = replace(old, incarnation=2)
    steps = [
        (HostJoined(old), (1, HostState.LIVE)),
        (HostLeaving("h1", 1), (1, HostState.LEAVING)),
        (HostJoined(old), (1, HostState.LEAVING)),
        (HostJoined(new), (2, HostState.LIVE)),
        (HostRemoved("h1", 1), (2, HostState.LIVE)),
        (HostLeaving("h1", 1), (2, HostState.LIVE)),
        (HostJoined(old), (2, HostState.LIVE)),
    ]
    for entry, expected in steps:
        apply_entry(state, state.index + 1, encode_entry(entry))
        present = state.view.hosts["h1"]
        assert (present.incarnation, present.state) == expected
    assert state.view.index == 4
    apply_entry(state, state.index + 1, encode_entry(HostRemoved("h1", 2)))
    assert state.view.hosts == {}


CHANGES = st.one_of(
    st.sampled_from([SetZoneOut("bhuj"), SetZoneIn("bhuj"), DeleteZone("anjar")]),
    st.sampled_from([PutZone("mandvi", "kutch"), DeleteZone("mandvi"), DeleteService("geru")]),
    st.sampled_from([HostLeaving("h1", 1), HostRemoved("h1", 1)]),
    st.builds(
        lambda number: HostJoined(HostEntry("h1", number, "a:1", "bhuj", "kutch")),
        st.integers(1, 2),
    ),
)


@given(
    st.lists(st.tuples(CHANGES, st.integers(0, 4), st.integers(0, 8)), max_size=25),
    st.integers(0, 25),
)
def test_a_replica_restored_from_a_snapshot_stays_equal_to_the_others(steps, cut):
    """Compare whole states, so that no field can be missing from the snapshot."""
    plain, restored = make_state(), make_state()
    for number, (change, base, identifier) in enumerate(steps):
        if number == cut:
            restored = restore_snapshot(take_snapshot(restored))
        entry = change
        if not isinstance(change, (HostJoined, HostLeaving, HostRemoved)):
            entry = make_command(identifier, change, base=base or None)
        payload = encode_entry(entry)
        index = plain.index + 1
        assert apply_entry(plain, index, payload) == apply_entry(restored, index, payload)
        apply_entry(restored, index, payload)
    assert take_snapshot(plain) == take_snapshot(restored)
    assert restored == plain
