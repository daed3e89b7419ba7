"""Guard what landed builds wrote: this build reads it, and writes it without unnoticed changes."""

import copy

import pytest

from marjorambridge.replication.effects import StorageEffect
from tests.compatibility.golden_files import (
    PRESENT,
    find_changed,
    list_landings,
    read_golden,
    read_last,
)
from tests.compatibility.samples import find_differences, read_samples, write_samples

LANDINGS = list_landings()


def find_faults(samples):
    """Return a sentence for each sample that this build doesn't read as its writer did."""
    faults = []
    for name, result in read_samples(samples).items():
        if "value" not in result:
            faults.append(f"{name}: {result}")
            continue
        faults += [
            f"{name}{difference}"
            for difference in find_differences(samples[name]["value"], result["value"])
        ]
    return faults


@pytest.mark.parametrize("landing", LANDINGS, ids=[landing["commit"] for landing in LANDINGS])
def test_what_a_landed_build_wrote_is_read(landing):
    """A change of a format would lose messages during an upgrade, or stop replicas after it."""
    assert landing["samples"]
    assert find_faults(landing["samples"]) == []


def test_each_sample_of_this_build_is_in_a_golden_file():
    """A new kind, or other bytes of a known one, would land without a check by earlier builds."""
    samples = write_samples()
    changed = {name: samples[name] for name in find_changed(read_last()["samples"], samples)}
    assert changed == read_golden(PRESENT)["samples"], (
        "messages or stored records differ from the golden files; run 'python "
        "scripts/check_compatibility.py --write-present', then 'python "
        f"scripts/check_compatibility.py {read_last()['commit']}', and review the difference"
    )


def test_a_new_file_of_a_replica_needs_a_sample():
    """The sample of the data folder lists the effects of storage, which a new file would lack."""
    assert {kind.__name__ for kind in StorageEffect.__subclasses__()} == {
        "SaveCluster",
        "SaveVote",
        "SaveEntries",
        "SaveSnapshot",
        "SyncStorage",
    }, "write the new file in tests/compatibility/samples.py, _write_data_folder, and list it here"


@pytest.mark.parametrize("name", ["message control.FeedPoll", "control snapshot", "data folder"])
def test_a_value_that_is_read_differently_is_a_fault(name):
    """The other tests would pass if differences were overlooked."""
    samples = {name: copy.deepcopy(read_last()["samples"][name])}
    assert find_faults(samples) == []
    change_number(samples[name]["value"])
    assert len(find_faults(samples)) == 1


def change_number(value):
    """Change the first number in a value, and return whether there is one."""
    for key, item in value.items() if isinstance(value, dict) else enumerate(value):
        if isinstance(item, int):
            value[key] = item + 1
            return True
        if isinstance(item, dict | list) and change_number(item):
            return True
    return False
