"""Guard against faults of a manifest that are noticed only when requests fail."""

import pytest
from msgspec.structs import replace

from marjorambridge.manifests.models import (
    Execution,
    Manifest,
    Route,
    RouteTarget,
    ServiceDefinition,
    WorkspaceKeys,
)
from marjorambridge.manifests.review import Severity, describe_differences, review_manifest

ROUTE = Route("r", "a.example", "/p/", Execution.STREAM, 10.0, 0.3, (RouteTarget("s", 1.0),), 0.2)
TEAM = WorkspaceKeys("team", ("key-1",))
SOUND = Manifest(2, (ROUTE,), (ServiceDefinition("s"),), workspaces=(TEAM,), requires_keys=True)


def change_route(**fields):
    return replace(SOUND, routes=(replace(ROUTE, **fields),))


def test_a_sound_manifest_has_no_findings():
    assert review_manifest(SOUND) == []


@pytest.mark.parametrize(
    ("manifest", "severity", "part"),
    [
        (change_route(timeout_seconds=0.0), Severity.ERROR, "timeout"),
        (change_route(targets=(RouteTarget("t", 1.0),)), Severity.ERROR, "not defined"),
        (replace(SOUND, routes=(ROUTE, replace(ROUTE, name="r2"))), Severity.ERROR, "shadowed"),
        (replace(SOUND, services=SOUND.services * 2), Severity.ERROR, "defined twice"),
        (
            replace(SOUND, workspaces=(TEAM, replace(TEAM, name="b"))),
            Severity.ERROR,
            "shares a key",
        ),
        (replace(SOUND, workspaces=(replace(TEAM, name="a\n"),)), Severity.ERROR, "control"),
        (replace(SOUND, routes=(ROUTE, ROUTE)), Severity.ERROR, "same host name"),
        (change_route(host_name="a.example:80"), Severity.WARNING, "never matches"),
        (change_route(path_prefix="/p?x/"), Severity.WARNING, "never matches"),
        (change_route(objective_seconds=11.0), Severity.WARNING, "objective is above"),
        (change_route(gap_objective_seconds=11.0), Severity.WARNING, "pause objective"),
        (change_route(execution=Execution.IDEMPOTENT), Severity.WARNING, "without a stream"),
        (change_route(targets=(*ROUTE.targets, RouteTarget("s", 0.0))), Severity.WARNING, "0"),
        (replace(SOUND, routes=()), Severity.WARNING, "has no route"),
        (
            replace(SOUND, workspaces=(replace(TEAM, keys=("k", "k")),)),
            Severity.WARNING,
            "key twice",
        ),
        (replace(SOUND, workspaces=()), Severity.WARNING, "has none"),
    ],
)
def test_each_fault_is_found(manifest, severity, part):
    found = review_manifest(manifest)
    assert found[0].severity is severity and part in found[0].problem


def test_differences_name_what_changed_and_show_no_key():
    changed = replace(change_route(timeout_seconds=9.0), workspaces=(replace(TEAM, keys=("k2",)),))
    assert describe_differences(SOUND, replace(changed, version=3)) == [
        "route 'r': timeout_seconds from 10.0 to 9.0",
        "workspace 'team': keys differ",
    ]
    assert "does not replace 2" in describe_differences(SOUND, SOUND)[0]
