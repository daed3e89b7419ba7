"""Test endpoints whose answers state how many requests a second they take from all hosts."""

import pytest

from marjorambridge.manifests.models import Execution

from .helpers import SIGNED, answer, answer_whole, call, get_status, make_manifest, make_request
from .helpers import run_gateway as run_gateway_with
from .test_requests import run

IDEMPOTENT = make_manifest(Execution.IDEMPOTENT, 3, False)
# Requests in 4 s that the platform tolerates from an endpoint with a limit of one a second.
TOLERATED_REQUESTS = 11


def limit(value):
    return answer(
        b"200 OK", SIGNED + b"Content-Length: 2\r\nServer-Limit: " + value + b"\r\n", b"ok"
    )


@pytest.mark.parametrize("value", [b"1", b"1.0", b"0.5"])
def test_an_endpoint_gets_no_more_requests_than_the_limit_that_it_states(value):
    """Guard against hosts that ignore the limit of an endpoint in need."""

    async def scenario():
        async with run_gateway_with(IDEMPOTENT, limit(value), answer_whole(b"ok")) as harness:
            answers = [await call(harness, make_request()) for _ in range(60)]
            assert [get_status(data) for data in answers] == [200] * 60
            assert len(harness.endpoints[0].requests) <= TOLERATED_REQUESTS

    run(scenario)
