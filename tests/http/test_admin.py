"""Guard the admin address against commands and state dumps without the operator token."""

import asyncio
import json

from marjorambridge.http.admin import AdminCallbacks, build_application
from tests.http.helpers import request, serve


def test_commands_and_state_need_the_token_and_the_rest_does_not():
    commands = []
    ready = [True]

    async def run_command(command):
        commands.append(command)
        return 200, {"accepted": True}

    callbacks = AdminCallbacks(
        lambda: (ready[0], "" if ready[0] else "not fresh"),
        lambda: "requests_total 3\n",
        lambda: {"hosts": ["a"]},
        run_command,
        lambda token: token == "operator",
    )

    async def run():
        async with serve(build_application(callbacks, max_command_bytes=100)) as address:
            url = f"http://{address}"
            token = [(b"authorization", b"Bearer operator")]
            assert (await request("GET", url + "/health")).status == 200
            assert (await request("GET", url + "/metrics")).content == b"requests_total 3\n"
            assert (await request("GET", url + "/ready")).status == 200
            ready[0] = False
            assert (await request("GET", url + "/ready")).status == 503
            assert json.loads((await request("GET", url + "/state", b"", token)).content)
            for headers in ([], [(b"authorization", b"Bearer wrong")], [(b"authorization", b"x")]):
                assert (await request("GET", url + "/state", b"", headers)).status == 401
                assert (await request("POST", url + "/commands", b"{}", headers)).status == 401
            assert (await request("POST", url + "/commands", b"x" * 101, token)).status == 413
            assert (await request("POST", url + "/commands", b"[1]", token)).status == 400
            assert commands == []
            assert (await request("POST", url + "/commands", b'{"id":"c1"}', token)).status == 200
            assert commands == [{"id": "c1"}]

    asyncio.run(run())
