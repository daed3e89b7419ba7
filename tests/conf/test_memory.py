"""Test how the memory of a process is found and divided."""

import os

import pytest

from marjorambridge.conf import memory
from marjorambridge.conf.nodes import MIN_MEMORY_MEGABYTES
from marjorambridge.daemon.replica import MAX_MANIFEST_BODY_BYTES
from marjorambridge.gateway.bodies import BodyMemory, BodyReservation, extend


@pytest.fixture
def group(tmp_path, monkeypatch):
    """Let the process belong to a control group without a limit."""
    folder = tmp_path / "cgroup" / "service" / "worker"
    folder.mkdir(parents=True)
    (tmp_path / "self").write_text("4:memory:/old\n0::/service/worker\n")
    monkeypatch.setattr(memory, "CGROUP_FILE", tmp_path / "self")
    monkeypatch.setattr(memory, "CGROUP_FOLDER", tmp_path / "cgroup")
    (folder / "memory.max").write_text("max\n")
    return folder


def test_the_setting_goes_before_the_limits_of_the_machine():
    """Guard against a host that uses more than its operator allows."""
    shares = memory.divide_memory(300)
    assert shares.bodies + shares.answers < 300_000_000 / 2
    assert shares.started_answers < shares.answers


def test_the_smallest_host_can_take_the_longest_configuration():
    """Guard against a configuration that a replica refuses each time, for lack of memory."""
    shares = memory.divide_memory(MIN_MEMORY_MEGABYTES)
    reservation = BodyReservation(BodyMemory(shares.bodies))
    assert extend(reservation, MAX_MANIFEST_BODY_BYTES)


def test_without_a_setting_the_smallest_limit_counts(group):
    """Guard against a process that is killed, because only the machine's memory was looked at."""
    machine = os.sysconf("SC_PAGE_SIZE") * os.sysconf("SC_PHYS_PAGES")
    assert min(memory.find_limits()) <= machine
    (group.parent / "memory.max").write_text("300000000\n")
    assert min(memory.find_limits()) == 300_000_000
    assert memory.divide_memory(None) == memory.divide_memory(300)


def test_a_machine_without_control_groups_has_its_own_limits(tmp_path, monkeypatch):
    """Guard against a host that doesn't start where the files of control groups are missing."""
    monkeypatch.setattr(memory, "CGROUP_FILE", tmp_path / "missing")
    assert memory.find_limits()
