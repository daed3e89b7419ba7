"""Test the whole path of a target: operator, log, issuer, endpoint, and a change of leader."""

import json
import uuid

from marjorambridge.configuration.commands import PutService, PutZone
from marjorambridge.configuration.models import Service, ServiceKind
from marjorambridge.standins import fleet as fleets

ZONE = "zone-a"
ADAPTER = {"name": "ledger-gu", "size_bytes": 1_000}


def read_inventory(endpoint):
    status, _, content = fleets.send_request(endpoint.address, "GET", "/control/inventory")
    return json.loads(content) if status == 200 else {}


def set_target(host, base_version, identifier, **target):
    change = {"kind": "set_target", "name": "model", "target": target}
    command = {"command_id": identifier, "base_version": base_version, "change": change}
    return fleets.send_operator_request(host, "POST", "/commands", command)


def list_announced_adapters(fleet):
    states = [fleets.read_state(host) or {"shards": []} for host in fleet.hosts.values()]
    shards = [shard for state in states for shard in state["shards"]]
    return [item["adapters"] for shard in shards for item in shard["endpoints"]]


def check_orders(inventory, kinds):
    """Check the kinds of orders; only a new issuer may have repeated an order."""
    orders = [(order["fencing"], order["kind"]) for order in inventory["orders"]]
    assert len(set(orders)) == len(orders) and {kind for _, kind in orders} == kinds


def find_leader(fleet, excluded=""):
    for host in fleet.hosts.values():
        state = fleets.read_state(host) if host.name != excluded else None
        for group in (state or {}).get("log_groups", ()):
            if group["group"] == 0 and group["role"] == "leader" and state["fresh"]:
                return host
    return None


def test_a_target_reaches_every_endpoint_and_holds_after_a_change_of_issuer(tmp_path):
    fleet = fleets.create_fleet(tmp_path)
    try:
        for name in fleet.hosts:
            fleets.start_host(fleet, name)
        fleets.wait_ready(fleet)
        service = Service("model", ServiceKind.ENGINE, (ZONE,), checks_fencing=True)
        fleets.apply_changes(fleet, [PutZone(ZONE, "region-1"), PutService(service)])
        values = {"service": "model", "zone": ZONE, "checks_fencing": True, "load_seconds": 0.05}
        engines = [fleets.add_engine(fleet, f"e{number}", **values) for number in range(2)]
        fleets.wait_until(lambda: fleets.count_known_endpoints(fleet, "model") == 2, "engines")

        # The command is sent twice, to a host that is not the leader.
        leader = fleets.wait_until(lambda: find_leader(fleet), "a leader")
        other = next(host for host in fleet.hosts.values() if host is not leader)
        identifier = uuid.uuid4().hex
        for _ in range(2):
            status, answer = set_target(other, 0, identifier, adapters=[ADAPTER])
            assert (status, answer["status"], answer["version"]) == (200, "accepted", 1)
        status, answer = set_target(other, 0, uuid.uuid4().hex, role="prefill")
        assert (status, answer["status"], answer["version"]) == (409, "conflict", 1)
        assert set_target(other, "x", "c", role="prefill")[0] == 400
        # An order is complete when its effect is announced; until then, a new issuer repeats it.
        fleets.wait_until(
            lambda: list_announced_adapters(fleet) == [["ledger-gu"], ["ledger-gu"]],
            "both engines have announced the adapter",
        )
        for item in engines:
            check_orders(read_inventory(item), {"load_adapter"})
        first = max(read_inventory(item)["fencing"] for item in engines)

        # The next issuer has the target state and a higher fencing number.
        fleets.stop_process(leader.process, forced=True)
        fleets.wait_until(lambda: find_leader(fleet, leader.name), "another leader")
        wanted = {"adapters": [ADAPTER], "role": "prefill"}
        fleets.wait_until(
            lambda: set_target(other, 1, "second", **wanted)[0] == 200, "the second target"
        )
        fleets.wait_until(
            lambda: all(read_inventory(item)["role"] == "prefill" for item in engines),
            "both engines have the role",
        )
        for item in engines:
            inventory = read_inventory(item)
            assert inventory["fencing"] > first
            check_orders(inventory, {"load_adapter", "set_role"})

        # A restarted host receives the target state from the log or a snapshot.
        fleets.start_host(fleet, leader.name)
        fleets.wait_ready(fleet)
        for host in fleet.hosts.values():
            fleets.wait_until(
                lambda host=host: fleets.read_state(host)["targets"]["version"] == 2, host.name
            )
            targets = fleets.read_state(host)["targets"]["services"]["model"]
            assert (targets["adapters"], targets["role"]) == ([ADAPTER], "prefill")
    finally:
        fleets.close_fleet(fleet)
