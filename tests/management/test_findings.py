"""Guard against problems missing from the status, and versions reported in force too early."""

import pytest

from marjorambridge.http.reports import GroupReport
from marjorambridge.management.findings import list_findings
from marjorambridge.management.waiting import (
    Progress,
    compute_progress,
    is_in_force,
    wait_in_force,
)
from tests.management.helpers import (
    make_configuration,
    make_endpoint,
    make_host_entry,
    make_report,
    make_shard,
)


def find_problems(*reports, errors=None, **changes):
    """Return the findings of the reports as text by subject."""
    items = {f"address-{number}": report for number, report in enumerate(reports)}
    findings = list_findings(items, errors or {}, make_configuration(**changes))
    assert all(item.remedy for item in findings)
    return {item.subject: item.problem for item in findings}


def test_a_healthy_fleet_has_no_findings():
    assert find_problems(make_report()) == {}


@pytest.mark.parametrize(
    ("changes", "subject", "problem"),
    [
        ({"fresh": False}, "host entry-1", "is not fresh"),
        ({"halted": "bad entry"}, "host entry-1", "stopped: bad entry"),
        ({"shutting_down": True}, "host entry-1", "is shutting down"),
        ({"unheard_replicas": ("entry-2",)}, "host entry-1", "from replica entry-2"),
        ({"hosts": ()}, "host entry-1", "is not in the view"),
        ({"hosts": (make_host_entry(poll=1.5),)}, "host entry-1", "has not polled for 1.5 s"),
        (
            {"hosts": (make_host_entry(), make_host_entry("entry-2"))},
            "host entry-2",
            "was not asked",
        ),
        ({"configuration_index": 12}, "host entry-1", "lags"),
        ({"log_groups": ()}, "log groups", "no replica was asked"),
        ({"shards": ()}, "shard geru-model/bhuj/0", "is not yet known"),
        ({"shards": (make_shard(granting=False),)}, "shard geru-model/bhuj/0", "does not grant"),
        ({"shards": (make_shard(endpoints=()),)}, "shard geru-model/bhuj/0", "has no endpoint"),
        (
            {"shards": (make_shard(endpoints=[make_endpoint(), make_endpoint("e2", warm=False)]),)},
            "endpoint e2",
            "is cold and takes 4 requests",
        ),
        (
            {
                "shards": (
                    make_shard(endpoints=[make_endpoint(), make_endpoint("e2", silent=True)]),
                )
            },
            "endpoint e2",
            "has not announced itself for 5 s",
        ),
    ],
)
def test_each_problem_is_found_alone(changes, subject, problem):
    findings = find_problems(make_report(**changes))
    assert problem in findings.pop(subject)
    if "hosts" not in changes:
        assert findings == {}


def test_problems_of_addresses_zones_and_regions_are_found():
    assert find_problems(make_report(), errors={"10.0.0.9:1": "refused"}) == {
        "address 10.0.0.9:1": "refused"
    }
    assert find_problems(make_report(), out=True) == {"availability zone bhuj": "is out of service"}
    leaving = make_report(hosts=(make_host_entry(state="leaving"),), shards=())
    assert "has no live host" in find_problems(leaving)["shard geru-model/bhuj/0"]


def test_the_leader_of_an_old_term_does_not_hide_a_missing_leader():
    """An isolated replica still reports the leader of its earlier term."""
    voters = ("entry-1", "entry-2")
    old = make_report(log_groups=(GroupReport(0, "leader", 2, "entry-1", 9, voters, ()),))
    new = make_report(log_groups=(GroupReport(0, "follower", 3, "", 9, voters, ("entry-3",)),))
    text = list_findings({"a": old, "b": new}, {}, make_configuration())
    problems = [item.problem for item in text if item.subject == "log group 0"]
    assert len(problems) == 2
    assert "has no leader" in problems[0]
    assert "entry-3" in problems[1]


def test_a_version_is_in_force_only_once_every_host_of_the_view_has_its_index():
    hosts = (
        make_host_entry(),
        make_host_entry("entry-2", applied=8),
        make_host_entry("entry-3", applied=None),
    )
    progress = compute_progress([make_report(hosts=hosts)], 4)
    assert (progress.done, progress.waiting) == (("entry-1",), ("entry-2", "entry-3"))
    assert not is_in_force(progress)
    assert compute_progress([make_report()], 5).required_index is None
    assert not is_in_force(compute_progress([], 4))
    assert is_in_force(compute_progress([make_report()], 4))


def test_reports_of_an_earlier_process_of_a_host_are_ignored():
    """A restarted host starts without entries, whatever its earlier process had applied."""
    restarted = make_host_entry("entry-2", incarnation=8, applied=None)
    latest = make_report(view_index=6, hosts=(make_host_entry(), restarted))
    older = make_report(hosts=(make_host_entry(), make_host_entry("entry-2")))
    assert compute_progress([older, latest], 4).waiting == ("entry-2",)


def test_later_changes_do_not_prolong_the_wait():
    hosts = (make_host_entry(), make_host_entry("entry-2", applied=9))
    reports = iter(
        [
            [make_report(hosts=(make_host_entry(), make_host_entry("entry-2", applied=8)))],
            [],
            [make_report(version=6, configuration_index=30, hosts=hosts)],
        ]
    )
    shown: list[Progress] = []
    clock = iter(range(100))
    progress = wait_in_force(
        lambda: next(reports), 4, shown.append, lambda: next(clock), lambda _: None, 50.0
    )
    assert is_in_force(progress)
    assert progress.required_index == 9


def test_the_wait_ends_at_its_timeout():
    clock = iter(range(100))
    progress = wait_in_force(
        lambda: [], 4, lambda _: None, lambda: next(clock), lambda _: None, 5.0
    )
    assert not is_in_force(progress)
