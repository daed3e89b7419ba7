"""Start a fleet of hosts and stand-in endpoints as processes on loopback.

The demo, the tests of whole processes and the benchmarks use it; hosts themselves start no process.
"""

import hashlib
import http.client
import json
import os
import signal
import socket
import subprocess
import sys
import time
import uuid
from collections.abc import Callable
from pathlib import Path
from typing import Any

from msgspec import Struct, field

from marjorambridge.configuration.commands import ApplyConfiguration, Change, OperatorCommand
from marjorambridge.configuration.json_commands import make_command_object
from marjorambridge.standins.exceptions import FleetError

OPERATOR_TOKEN = "operator-token-of-a-local-fleet"
FLEET_KEY = "key of a local fleet, for tests and demonstrations only"
WAIT_SECONDS = 30.0
STOP_SECONDS = 15.0


class HostProcess(Struct):
    """One host of the fleet, with its process.

    Attributes
    ----------
    settings : dict
        Content of the settings file; change it before a restart.
    """

    name: str
    settings: dict[str, Any]
    process: subprocess.Popen[bytes] | None = None

    @property
    def caller_address(self) -> str:
        """Return the address for callers."""
        return self.settings["addresses"]["callers"]

    @property
    def admin_address(self) -> str:
        """Return the address for operators."""
        return self.settings["addresses"]["admin"]

    @property
    def peer(self) -> str:
        """Return the address for other hosts."""
        return self.settings["addresses"]["peer"]


class EndpointProcess(Struct):
    """One stand-in endpoint of the fleet, with its process."""

    name: str
    module: str
    settings: dict[str, Any]
    process: subprocess.Popen[bytes] | None = None

    @property
    def address(self) -> str:
        """Return the address of the endpoint."""
        return f"{self.settings['listen']}:{self.settings['port']}"


class Fleet(Struct):
    """Processes of a fleet, and the folder of their files."""

    folder: Path
    hosts: dict[str, HostProcess] = field(default_factory=dict)
    endpoints: dict[str, EndpointProcess] = field(default_factory=dict)


def find_free_ports(count: int) -> list[int]:
    """Return ports that are free at present."""
    sockets = [socket.socket() for _ in range(count)]
    try:
        for item in sockets:
            item.bind(("127.0.0.1", 0))
        return [item.getsockname()[1] for item in sockets]
    finally:
        for item in sockets:
            item.close()


def wait_until(condition: Callable[[], Any], what: str, seconds: float = WAIT_SECONDS) -> Any:
    """Return the first true value of `condition`.

    Raises
    ------
    FleetError
        If there is none within `seconds`.
    """
    deadline = time.monotonic() + seconds
    while True:
        value = condition()
        if value:
            return value
        if time.monotonic() > deadline:
            raise FleetError(
                f"not reached within {seconds} s: {what}; look at the logs of the hosts"
            )
        time.sleep(0.02)


def create_fleet(
    folder: Path,
    hosts: int = 3,
    replicas: int = 3,
    zones: tuple[str, ...] = ("zone-a",),
    region: str = "region-1",
    **settings: Any,
) -> Fleet:
    """Prepare a fleet whose hosts are spread over the zones; no process is started.

    Parameters
    ----------
    settings
        Further values for the settings file of every host.
    """
    fleet = Fleet(folder)
    folder.mkdir(parents=True, exist_ok=True)
    key_file = folder / "fleet.key"
    key_file.write_text(FLEET_KEY, encoding="utf-8")
    ports = find_free_ports(3 * hosts)
    members = [
        {"host": f"host-{number}", "address": f"127.0.0.1:{ports[3 * number]}"}
        for number in range(replicas)
    ]
    for number in range(hosts):
        name = f"host-{number}"
        peer, caller_address, admin_address = (
            f"127.0.0.1:{port}" for port in ports[3 * number : 3 * number + 3]
        )
        fleet.hosts[name] = HostProcess(
            name,
            {
                "fleet": "local",
                "host": name,
                "zone": zones[number % len(zones)],
                "region": region,
                "addresses": {"peer": peer, "callers": caller_address, "admin": admin_address},
                "replicas": members,
                "fleet_key_file": str(key_file),
                "data_folder": str(folder / f"data-{number}") if number < replicas else "",
                "bootstrap": number < replicas,
                "operator_token_hashes": [hash_secret(OPERATOR_TOKEN)],
                "log": {"level": "INFO", "file": str(folder / f"{name}.log")},
                **settings,
            },
        )
    return fleet


def hash_secret(secret: str) -> str:
    """Return the digest under which the configuration and the settings keep a secret."""
    return hashlib.sha256(secret.encode()).hexdigest()


def start_host(fleet: Fleet, name: str) -> None:
    """Start the process of a host."""
    host = fleet.hosts[name]
    path = fleet.folder / f"{name}.json"
    path.write_text(json.dumps(host.settings), encoding="utf-8")
    command = [sys.executable, "-m", "marjorambridge.daemon.main", "--settings", str(path)]
    host.process = _start_process(fleet, name, command)


def add_engine(fleet: Fleet, name: str, **settings: Any) -> EndpointProcess:
    """Start a stand-in engine that announces itself to all hosts in turn."""
    return _add_endpoint(fleet, name, "marjorambridge.standins.engine", settings)


def add_service(fleet: Fleet, name: str, **settings: Any) -> EndpointProcess:
    """Start a stand-in plain service that announces itself to all hosts in turn."""
    return _add_endpoint(fleet, name, "marjorambridge.standins.service", settings)


def _add_endpoint(
    fleet: Fleet, name: str, module: str, settings: dict[str, Any]
) -> EndpointProcess:
    values = {
        "endpoint": name,
        "listen": "127.0.0.1",
        "port": find_free_ports(1)[0],
        "hosts": [host.caller_address for host in fleet.hosts.values()],
        **settings,
    }
    fleet.endpoints[name] = EndpointProcess(name, module, values)
    start_endpoint(fleet, name)
    return fleet.endpoints[name]


def start_endpoint(fleet: Fleet, name: str) -> None:
    """Start, or start again, the process of an endpoint."""
    endpoint = fleet.endpoints[name]
    path = fleet.folder / f"{name}.json"
    path.write_text(json.dumps(endpoint.settings), encoding="utf-8")
    command = [sys.executable, "-m", endpoint.module, "--settings", str(path)]
    endpoint.process = _start_process(fleet, name, command)


def _start_process(fleet: Fleet, name: str, command: list[str]) -> subprocess.Popen[bytes]:
    output = (fleet.folder / f"{name}.out").open("ab")
    environment = {**os.environ, "PYTHONUNBUFFERED": "1"}
    with output:
        return subprocess.Popen(
            command, stdin=subprocess.DEVNULL, stdout=output, stderr=output, env=environment
        )


def send_signal(process: subprocess.Popen[bytes] | None, number: signal.Signals) -> None:
    """Send a signal to a process of the fleet, if it still runs."""
    if process is not None and process.poll() is None:
        process.send_signal(number)


def stop_process(process: subprocess.Popen[bytes] | None, forced: bool = False) -> int | None:
    """End a process and return its exit code.

    Parameters
    ----------
    forced : bool
        Send SIGKILL instead of SIGTERM.
    """
    if process is None:
        return None
    if process.poll() is None:
        # A stopped process handles no other signal before it continues.
        process.send_signal(signal.SIGCONT)
        process.send_signal(signal.SIGKILL if forced else signal.SIGTERM)
    try:
        return process.wait(STOP_SECONDS)
    except subprocess.TimeoutExpired:
        process.kill()
        return process.wait(STOP_SECONDS)


def close_fleet(fleet: Fleet) -> None:
    """Kill all processes of the fleet."""
    for item in [*fleet.endpoints.values(), *fleet.hosts.values()]:
        stop_process(item.process, forced=True)


def send_request(
    address: str,
    method: str,
    path: str,
    body: Any = None,
    headers: dict[str, str] | None = None,
    timeout: float = WAIT_SECONDS,
) -> tuple[int, dict[str, str], bytes]:
    """Make one HTTP request and return status, headers and body.

    Raises
    ------
    OSError, http.client.HTTPException
        If the connection fails.
    """
    ip, _, port = address.rpartition(":")
    connection = http.client.HTTPConnection(ip, int(port), timeout=timeout)
    try:
        data = body if isinstance(body, bytes | None) else json.dumps(body).encode()
        connection.request(method, path, data, headers or {})
        response = connection.getresponse()
        content = response.read()
        return response.status, {k.lower(): v for k, v in response.getheaders()}, content
    finally:
        connection.close()


def send_operator_request(
    host: HostProcess, method: str, path: str, body: Any = None
) -> tuple[int, Any]:
    """Make one request to the admin address of a host and return status and JSON."""
    headers = {"authorization": f"Bearer {OPERATOR_TOKEN}"}
    status, _, content = send_request(host.admin_address, method, path, body, headers)
    return status, json.loads(content) if content else None


def read_state(host: HostProcess) -> dict[str, Any] | None:
    """Return the state of a host, or None if it doesn't answer."""
    try:
        status, state = send_operator_request(host, "GET", "/state")
    except (OSError, http.client.HTTPException):
        return None
    return state if status == 200 else None


def is_ready(host: HostProcess) -> bool:
    """Return whether a host accepts callers."""
    try:
        return send_request(host.admin_address, "GET", "/ready", timeout=2.0)[0] == 200
    except (OSError, http.client.HTTPException):
        return False


def wait_ready(fleet: Fleet, names: list[str] | None = None) -> None:
    """Wait until hosts accept callers."""
    for name in names or list(fleet.hosts):
        wait_until(lambda name=name: is_ready(fleet.hosts[name]), f"{name} is ready")


def submit_changes(
    host: HostProcess,
    changes: list[Change],
    base_version: int | None = None,
    command_id: str | None = None,
) -> tuple[int, Any]:
    """Submit changes as one operator command; by default based on the current version."""
    if base_version is None:
        state = wait_until(lambda: read_state(host), f"{host.name} returns its state")
        base_version = state["configuration"]["version"]
    change = changes[0] if len(changes) == 1 else ApplyConfiguration(tuple(changes))
    command = OperatorCommand(
        command_id or uuid.uuid4().hex, "local", base_version, time.time(), change
    )
    return send_operator_request(host, "POST", "/commands", make_command_object(command))


def apply_changes(fleet: Fleet, changes: list[Change]) -> int:
    """Submit changes, wait until they are in force on all hosts, and return the version.

    Raises
    ------
    FleetError
        If the changes are refused.
    """
    host = next(iter(fleet.hosts.values()))
    status, answer = submit_changes(host, changes)
    if status != 200:
        raise FleetError(f"the changes were refused: {answer}; correct them")
    wait_version(fleet, answer["version"])
    return answer["version"]


def wait_version(fleet: Fleet, version: int) -> None:
    """Wait until all running hosts have at least this version of the configuration."""
    for host in fleet.hosts.values():
        if host.process is not None and host.process.poll() is None:
            wait_until(
                lambda host=host: (read_state(host) or {"configuration": {"version": -1}})[
                    "configuration"
                ]["version"]
                >= version,
                f"{host.name} has version {version}",
            )


def count_known_endpoints(fleet: Fleet, service: str) -> int:
    """Return how many endpoints of a service belong to shards whose owners grant permits."""
    count = 0
    for host in fleet.hosts.values():
        for shard in (read_state(host) or {"shards": []})["shards"]:
            if shard["granting"] and shard["shard"].startswith(f"{service}/"):
                count += len(shard["endpoints"])
    return count
