"""Test the check of types with planted errors."""

import importlib.util
from collections import Counter
from pathlib import Path

import pytest

SCRIPT = Path(__file__).resolve().parents[1] / "scripts" / "check_types.py"
FORWARDING = 'marjorambridge/forwarding/state.py:7: error: Item "None" has no "x"  [union-attr]'
LIMITS = "marjorambridge/limits/ramp.py:9: error: Name is not defined  [name-defined]"


@pytest.fixture(scope="module")
def script():
    spec = importlib.util.spec_from_file_location("check_types", SCRIPT)
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    return module


@pytest.mark.parametrize(
    ("known", "words"),
    [
        ({"limits": 1}, "forwarding has 1 type errors, 0 are known"),
        ({"limits": 2, "forwarding": 1}, "limits has 1 type errors, not 2"),
        ({"limits": 1, "forwarding": 1, "claims": 3}, "claims has 0 type errors, not 3"),
    ],
)
def test_a_changed_number_of_errors_is_a_fault(script, known, words):
    """Guard against a check that accepts new errors, or a list that does not shrink."""
    found = script.count_errors(f"{FORWARDING}\n{LIMITS}\nFound 2 errors in 2 files\n")
    assert found == Counter(forwarding=1, limits=1)
    faults = script.list_faults(known, found)
    assert len(faults) == 1 and faults[0].startswith(words)


def test_packages_that_the_users_run_have_no_known_errors(script):
    """Guard against errors in the packages of the gateway and the replica that are only listed."""
    known = script.KNOWN_ERRORS.read_text()
    for package in ("forwarding", "gateway", "control", "platform", "api"):
        assert f'"{package}"' not in known
