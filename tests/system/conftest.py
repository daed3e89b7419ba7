"""Run fleets of processes for the tests, and restore each fleet before a test."""

import pytest

from tests.system import fleets


@pytest.fixture(scope="session")
def fleet(tmp_path_factory):
    """Run the fleet shared by the modules that define none."""
    folder = tmp_path_factory.mktemp("fleet")
    # The streams are slow enough to be interrupted half way.
    engine = {"decode_tokens_per_second": 20.0}
    with fleets.run_fleet(folder, engines=1, services=1, engine=engine, concurrency=1) as fleet:
        yield fleet


@pytest.fixture(autouse=True)
def restore(fleet):
    """Restart or resume the processes that an earlier test stopped, and clear its faults."""
    fleets.restore(fleet)
