"""Test that replicas go on after their disks were full in turn."""

import contextlib
import http.client
import json
import resource
import time

from marjorambridge.standins.fleet import send_request
from tests.soak.processes import make_processes
from tests.soak.run import find_base_port, make_configuration

REPLICAS = 3
FULL_SECONDS = 2.5
# Bound of the deployments for the acknowledgement of a change, also while one disk is full.
ACK_SECONDS = 4.0
START_SECONDS = 20.0
# Sizes of files in bytes above which the operating system refuses to write, as a full disk does.
# With the second one, a record of the log is written halfway.
FULL_SIZES = (1, None)


def set_room(process, size):
    """Let a process write files up to a size; None removes the limit."""
    limit = resource.RLIM_INFINITY if size is None else size
    resource.prlimit(process.child.pid, resource.RLIMIT_FSIZE, (limit, resource.RLIM_INFINITY))


def find_log_size(process):
    return max(path.stat().st_size for path in process.folder.glob("data/group-*/segment-*"))


def call(process, method, path, body=None):
    """Return status and body of an answer; status 0 if there is none."""
    with contextlib.suppress(OSError, http.client.HTTPException):
        status, _, content = send_request(
            process.settings["control"], method, path, body, timeout=1.0
        )
        return status, content
    return 0, b""


def change(processes, version, seconds):
    """Send a change to the replicas in turn until it is acknowledged; return how long it took."""
    began = time.monotonic()
    body = make_configuration(version)
    while True:
        for process in processes:
            if call(process, "POST", "/api/Config.Replace", body)[0] == 200:
                return time.monotonic() - began
            assert time.monotonic() - began < seconds, f"version {version} is not acknowledged"
        time.sleep(0.05)


def read_version(process):
    status, content = call(process, "GET", "/api/Config.Read")
    return json.loads(content)["version"] if status == 200 else 0


def test_changes_are_acknowledged_after_all_disks_were_full_in_turn(tmp_path):
    """Guard against a replica that stores nothing more after its disk was full once."""
    processes = make_processes(tmp_path, find_base_port(), REPLICAS, 0)
    version = 1
    try:
        for process in processes:
            process.start(keep_log=False)
        change(processes, version, START_SECONDS)
        for size in FULL_SIZES:
            for process in processes:
                set_room(process, find_log_size(process) + 20 if size is None else size)
                ends_at = time.monotonic() + FULL_SECONDS
                while time.monotonic() < ends_at:
                    version += 1
                    change(processes, version, ACK_SECONDS)
                    time.sleep(0.1)
                set_room(process, None)
                time.sleep(1.0)
        # Each of them is needed for a majority now.
        for process in processes:
            process.kill()
            version += 1
            change([other for other in processes if other is not process], version, ACK_SECONDS)
            process.start(keep_log=False)
            time.sleep(2.0)
        # The votes, the members and the acknowledged change survive a restart of all.
        for process in processes:
            process.kill()
        for process in processes:
            process.start(keep_log=False)
        ends_at = time.monotonic() + START_SECONDS
        while {read_version(process) for process in processes} != {version}:
            assert time.monotonic() < ends_at
            time.sleep(0.1)
    finally:
        for process in processes:
            process.kill()
