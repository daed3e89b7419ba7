"""Guard an operator's steps from an empty fleet to served requests and a zone out of service."""

import json

from marjorambridge.standins import fleet as local
from tests.management.helpers import run_tool

EXAMPLE = "docs/examples/first-run.json"
KEY = "key-of-the-first-workspace"


def test_an_operator_configures_a_fleet_of_one_host(tmp_path, capsys, request):
    fleet = local.create_fleet(tmp_path / "fleet", 1, 1, zones=("bhuj",), region="kutch")

    def run(*arguments):
        addresses = [fleet.hosts["host-0"].admin_address]
        code = run_tool(tmp_path, addresses, *arguments, token=local.OPERATOR_TOKEN)
        return code, capsys.readouterr().out

    keys = tmp_path / "keys.json"
    keys.write_text(json.dumps({"bhuj-pits": local.hash_secret(KEY)}))
    questionnaire = str(request.config.rootpath / EXAMPLE)
    try:
        local.start_host(fleet, "host-0")
        local.wait_ready(fleet)
        local.wait_until(lambda: run("status", "--fail")[0] == 0, "the fleet is well")
        code, text = run("configuration", "apply", questionnaire, "--keys", str(keys), "--yes")
        assert (code, text) == (0, "version 1 is in force on all live hosts (1)\n")
        diff = run("configuration", "diff", questionnaire, "--keys", str(keys))
        assert "no difference" in diff[1]
        assert "has no endpoint" in run("status")[1]
        local.add_service(fleet, "app-1", service="sangh-app", zone="bhuj")
        local.wait_until(lambda: "app-1" in run("endpoint", "list")[1], "the endpoint is known")
        status, _, _ = local.send_request(
            fleet.hosts["host-0"].caller_address,
            "POST",
            "/services/sangh-app/bookings",
            {"slot": 4},
            {"authorization": f"Bearer {KEY}"},
        )
        assert status == 201
        (entry,) = json.loads(run("host", "list", "--json")[1])
        assert (entry["host"], entry["version"], entry["fresh"]) == ("host-0", 1, True)
        for path in ("/report", "/configuration"):
            assert local.send_request(fleet.hosts["host-0"].admin_address, "GET", path)[0] == 401
        assert run("zone", "out", "bhuj")[0] == 0
        assert "availability zone bhuj" in run("status")[1]
        assert "take availability zone bhuj out" in run("configuration", "history")[1]
        code, _ = run("zone", "delete", "bhuj")
        assert code == 1
    finally:
        local.close_fleet(fleet)
