"""Run the fleets of the tests with processes, and bring each back into order before a test."""

import pytest

from tests.system import fleets


@pytest.fixture(scope="session")
def fleet(tmp_path_factory):
    """Run the fleet that modules without one of their own share."""
    folder = tmp_path_factory.mktemp("fleet")
    # The streams are slow enough to be caught half way.
    engine = {"decode_tokens_per_second": 20.0}
    with fleets.run_fleet(folder, engines=1, services=1, engine=engine, concurrency=1) as fleet:
        yield fleet


@pytest.fixture(autouse=True)
def restore(fleet):
    """Bring back what an earlier test killed, froze or switched on."""
    fleets.restore(fleet)
