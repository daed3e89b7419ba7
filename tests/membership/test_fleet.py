"""Guard the host registry and the operator commands against loss, repetition and leader changes."""

from marjorambridge.conf import defaults
from marjorambridge.configuration.commands import PutZone, SetZoneOut
from marjorambridge.configuration.state import AnswerStatus
from marjorambridge.core.events import MessageReceived, ShutdownRequested, TimerFired
from marjorambridge.membership.events import CommandSubmitted
from marjorambridge.membership.messages import CommandForward
from marjorambridge.membership.reducer import POLL_TIMER, step
from marjorambridge.membership.replica import list_host_progress
from marjorambridge.membership.state import create_state
from marjorambridge.replication.events import (
    LeadershipChanged,
    ProposalRefused,
    SnapshotInstalled,
    SnapshotRequested,
)
from tests.configuration.helpers import make_command
from tests.membership.fleet import (
    REPLICAS,
    commit,
    create_fleet,
    get_view,
    process_event,
    run,
    set_leader,
    start,
)
from tests.membership.naive import make_settings

ALL_LIVE = dict.fromkeys(("h1", "h2", *REPLICAS), (1, "live"))


def submit(fleet, name, command):
    process_event(fleet, name, CommandSubmitted(fleet.now, command))


def test_hosts_join_by_polling_and_receive_the_view():
    fleet = create_fleet()
    run(fleet, 2.0)
    assert get_view(fleet) == ALL_LIVE
    for state in fleet.states.values():
        assert state.host.control.view == fleet.states["r1"].replica.control.view
        assert fleet.now < state.host.fresh_until


def test_an_unresponsive_host_is_removed_and_added_again_by_its_next_poll():
    fleet = create_fleet()
    run(fleet, 4.0)
    fleet.down.add("h2")
    run(fleet, 1.5)
    assert "h2" in get_view(fleet)
    run(fleet, 1.5)
    assert "h2" not in get_view(fleet)
    start(fleet, "h2", incarnation=2)
    run(fleet, 1.0)
    assert get_view(fleet)["h2"] == (2, "live")
    assert all(name in get_view(fleet) for name in ALL_LIVE)


def test_a_restarted_host_replaces_its_earlier_incarnation_at_once():
    fleet = create_fleet()
    run(fleet, 2.0)
    start(fleet, "h1", incarnation=2)
    run(fleet, 0.6)
    assert get_view(fleet)["h1"] == (2, "live")


def test_a_leaving_host_stays_leaving_even_if_its_request_is_lost():
    fleet = create_fleet()
    run(fleet, 2.0)
    fleet.states["h1"].host.leaving = True
    run(fleet, 0.6)
    assert get_view(fleet)["h1"] == (1, "leaving")
    process_event(fleet, "h2", ShutdownRequested(fleet.now, False))
    assert get_view(fleet)["h2"] == (1, "leaving")
    run(fleet, 3.0)
    assert get_view(fleet)["h1"] == get_view(fleet)["h2"] == (1, "leaving")


def test_a_new_leader_removes_no_host_in_its_first_seconds():
    fleet = create_fleet()
    run(fleet, 4.0)
    fleet.down.add("h2")
    run(fleet, 1.8)
    set_leader(fleet, "r2")
    since = fleet.now
    while fleet.now < since + defaults.NEW_LEADER_GRACE_SECONDS - 0.1:
        assert "h2" in get_view(fleet)
        run(fleet, 0.1)
    run(fleet, 1.0)
    assert "h2" not in get_view(fleet)


def test_a_leader_that_was_suspended_removes_no_host_that_polled_meanwhile():
    """Guard against removals by a timer that fires before the polls in the sockets are read."""
    fleet = create_fleet()
    run(fleet, 4.0)
    del fleet.timers[("r1", POLL_TIMER)]
    fleet.now += 10.0
    before = len(fleet.proposals)
    process_event(fleet, "r1", TimerFired(fleet.now, POLL_TIMER))
    assert fleet.proposals[before:] == []
    run(fleet, 4.0)
    assert get_view(fleet) == ALL_LIVE


def test_a_lost_proposal_about_a_host_is_repeated_but_not_at_every_poll():
    fleet = create_fleet(hosts=())
    run(fleet, 2.0)
    fleet.commits = False
    before = len(fleet.proposals)
    start(fleet, "h1")
    run(fleet, 2.2)
    assert len(fleet.proposals) - before == 3
    fleet.commits = True
    run(fleet, 1.0)
    assert get_view(fleet)["h1"] == (1, "live")


def test_the_registry_lists_the_applied_index_of_each_host():
    fleet = create_fleet()
    run(fleet, 2.0)
    fleet.down.add("h2")
    applied = len(fleet.log)
    commit(fleet, b"")
    run(fleet, 1.2)
    progress = {item.host: item.applied for item in list_host_progress(fleet.states["r2"])}
    assert progress["h2"] == applied
    assert progress["h1"] == len(fleet.log)


def test_any_host_accepts_a_command_and_relays_the_committed_answer():
    fleet = create_fleet()
    run(fleet, 1.0)
    for number, name in enumerate(("h1", "r2", "r1")):
        submit(fleet, name, make_command(number, PutZone(f"z{number}", "kutch"), base=number))
        assert fleet.answers[-1][0] == name
        assert fleet.answers[-1][2].status is AnswerStatus.ACCEPTED
    assert len(fleet.answers) == 3
    run(fleet, 1.0)
    assert len(fleet.states["h2"].host.control.configuration.zones) == 3


def test_of_two_commands_with_equal_base_versions_one_is_accepted_and_one_conflicts():
    fleet = create_fleet()
    run(fleet, 1.0)
    submit(fleet, "h1", make_command(1, PutZone("a", "kutch"), base=0, operator="asha"))
    submit(fleet, "h2", make_command(2, PutZone("b", "kutch"), base=0, operator="bela"))
    first, second = (answer for _, _, answer in fleet.answers)
    assert (first.status, second.status) == (AnswerStatus.ACCEPTED, AnswerStatus.CONFLICT)
    assert second.changes[0].operator == "asha"


def test_a_lost_answer_is_repeated_without_applying_the_command_twice():
    fleet = create_fleet()
    run(fleet, 1.0)
    command = make_command(1, PutZone("a", "kutch"), base=0)
    fleet.drop_replies = 1
    submit(fleet, "h1", command)
    assert fleet.answers == []
    run(fleet, 1.1)
    submit(fleet, "h2", command)
    assert [answer.version for _, _, answer in fleet.answers] == [1, 1]
    assert fleet.answers[0][2] == fleet.answers[1][2]


def test_a_command_is_retried_after_a_change_of_leader():
    fleet = create_fleet()
    run(fleet, 1.0)
    fleet.commits = False
    submit(fleet, "h1", make_command(1, PutZone("a", "kutch"), base=0))
    fleet.down.add("r1")
    run(fleet, 2.0)
    fleet.down.discard("r1")
    fleet.commits = True
    set_leader(fleet, "r2")
    run(fleet, 2.0)
    assert [answer.status for _, _, answer in fleet.answers] == [AnswerStatus.ACCEPTED]


def test_a_replica_that_does_not_lead_names_the_leader():
    fleet = create_fleet()
    run(fleet, 1.0)
    fleet.states["h1"].host.leader, fleet.states["h1"].host.term = "r3", 0
    submit(fleet, "h1", make_command(1, PutZone("a", "kutch"), base=0))
    assert [answer.status for _, _, answer in fleet.answers] == [AnswerStatus.ACCEPTED]


def test_without_a_leader_the_answer_is_that_the_outcome_is_unknown():
    fleet = create_fleet(lead="")
    submit(fleet, "h1", make_command(1, PutZone("a", "kutch"), base=0))
    run(fleet, defaults.COMMAND_TIMEOUT_SECONDS + 1.5)
    assert [answer.status for _, _, answer in fleet.answers] == [AnswerStatus.UNAVAILABLE]
    assert "same identifier" in fleet.answers[0][2].message
    assert fleet.states["h1"].commands == {}


def test_a_refused_proposal_is_repeated_by_the_retry():
    fleet = create_fleet()
    run(fleet, 1.0)
    fleet.commits = False
    submit(fleet, "h1", make_command(1, PutZone("a", "kutch"), base=0))
    proposal = next(iter(fleet.states["r1"].replica.commands.values())).proposal
    process_event(fleet, "r1", ProposalRefused(fleet.now, 0, proposal, "busy", ""))
    fleet.commits = True
    run(fleet, 1.1)
    assert fleet.answers[0][2].status is AnswerStatus.ACCEPTED


def test_commands_that_could_stop_every_host_are_never_proposed():
    fleet = create_fleet()
    run(fleet, 1.0)
    before = len(fleet.proposals)
    submit(fleet, "h1", make_command(1, PutZone("a", "kutch"), base=0, wall=float("nan")))
    submit(fleet, "h1", make_command(2, PutZone("a" * 600_000, "kutch"), base=0))
    submit(fleet, "h1", make_command(3, PutZone("a", "kutch")))
    assert [answer.status for _, _, answer in fleet.answers] == [AnswerStatus.INVALID] * 3
    for payload in (b"", b"\xc1", fleet.log[1]):
        forward = CommandForward("x", payload)
        process_event(fleet, "r1", MessageReceived(fleet.now, "h1", 1, forward))
    assert len(fleet.proposals) == before


def test_two_commands_under_one_identifier_in_progress_get_no_wrong_answer():
    fleet = create_fleet(lead="")
    submit(fleet, "h1", make_command(1, SetZoneOut("a")))
    submit(fleet, "h1", make_command(1, SetZoneOut("b")))
    assert [answer.status for _, _, answer in fleet.answers] == [AnswerStatus.UNAVAILABLE]


def test_a_replica_restored_from_a_snapshot_repeats_answers_and_ignores_an_older_one():
    fleet = create_fleet()
    run(fleet, 1.0)
    command = make_command(1, PutZone("a", "kutch"), base=0)
    submit(fleet, "h1", command)
    taken = step(fleet.states["r1"], SnapshotRequested(fleet.now, 0))[0].event
    settings = make_settings("r4", REPLICAS, replica=True)
    restored = create_state(settings)
    step(restored, SnapshotInstalled(fleet.now, 0, taken.index, 1, taken.data))
    step(restored, SnapshotInstalled(fleet.now, 0, taken.index - 1, 1, b"older"))
    assert restored.replica.control == fleet.states["r1"].replica.control
    assert restored.replica.halted == ""
    step(restored, LeadershipChanged(fleet.now, 0, "r4", 9, True))
    fleet.states["r4"] = restored
    fleet.states["h2"].host.leader, fleet.states["h2"].host.term = "r4", 9
    before = len(fleet.proposals)
    submit(fleet, "h2", command)
    assert fleet.answers[-1][2] == fleet.answers[0][2]
    assert len(fleet.proposals) == before
