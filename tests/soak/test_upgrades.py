"""Run an upgrade in the soak, and test its plan and its check."""

import signal
import subprocess

import anyio
import pytest

from .processes import ROOT, Process
from .run import replace_process, run_soak
from .test_soak import make_soak
from .upgrades import Upgrade, make_upgrade, plan_steps

FORMER = "35ef388"


def is_in_history(commit):
    command = ["git", "cat-file", "-e", commit]
    return subprocess.run(command, cwd=ROOT, stderr=subprocess.DEVNULL).returncode == 0


@pytest.mark.skipif(not is_in_history(FORMER), reason=f"{FORMER} is not in the history")
def test_an_upgrade_violates_no_guarantee(tmp_path):
    """Guard against builds that break a guarantee together, or can't read each other's disks."""
    upgrade = make_upgrade(FORMER, tmp_path / "former", is_back=False)
    soak = anyio.run(run_soak, 2, 7.0, tmp_path / "soak", 3, 1, upgrade)
    assert soak.faults == [], soak.events
    assert soak.outcomes["200"] > 10 and upgrade.replaced
    # Python compiles the modules that it imports: processes did run the former build.
    assert list((tmp_path / "former").rglob("*.pyc"))


def test_some_upgrades_are_reversed_after_their_halt_or_end_with_it(tmp_path):
    """Guard against a soak that never goes back, or never checks a fleet of both builds."""
    upgrade, outcomes = Upgrade(tmp_path / "former", tmp_path / "target"), []
    for seed in range(30):
        processes = [Process(f"gateway-{n}", "gateway", tmp_path, {}) for n in range(6)]
        for process in processes:
            process.package = upgrade.former
        for step in plan_steps(seed, upgrade, processes):
            assert step.process.package != step.package
            step.process.package = step.package
        outcomes.append({process.package for process in processes})
    for packages in ({upgrade.target}, {upgrade.former}, {upgrade.former, upgrade.target}):
        assert packages in outcomes


def test_a_process_that_outlives_its_grace_time_is_detected(tmp_path, monkeypatch):
    """Guard against an upgrade that kills a process which does not stop, and reports nothing."""

    class Endless(Process):
        def send_signal(self, number):
            if number == signal.SIGKILL:
                super().send_signal(number)

        def start(self, keep_log=True):
            """Leave the process ended."""

    monkeypatch.setattr("tests.soak.run.GRACE_SECONDS", 0.1)
    soak = make_soak(tmp_path)
    process = Endless("gateway-1", "gateway", tmp_path, {})
    soak.processes = [process]
    process.child = subprocess.Popen(["sleep", "60"])
    anyio.run(replace_process, soak, process, tmp_path)
    assert len(soak.faults) == 1 and process.package == tmp_path
    soak.faults.clear()
    process.child = subprocess.Popen(["true"])
    anyio.run(replace_process, soak, process, tmp_path)
    assert soak.faults == []
