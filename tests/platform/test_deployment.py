"""Guard the deploy files against differences from the project."""

import json
import re
import subprocess
import sys
import tomllib
from pathlib import Path

import pytest

from marjorambridge.conf.exceptions import SettingsError
from marjorambridge.conf.nodes import (
    get_peer_address,
    list_seed_peers,
    load_node_settings,
)

ROOT = Path(__file__).resolve().parents[2]
FIELDS = {
    "node_name": "edge-1",
    "ip": "10.1.0.4",
    "zone": "z1",
    "zones": {"z1": "r1", "z2": "r1"},
    "seeds": ["10.1.0.9:8229", "10.2.0.9:8229"],
    "internal_ports": [7340, 7355],
    "listen.frontend": "10.1.0.4:8227",
    "listen.readiness": "10.1.0.4:8220",
    "listen.control_plane": "10.1.0.4:8229",
    "bootstrap": True,
    "data_dir": "/data/x",
    "heartbeat_ms": 1200,
    "limits.memory_mb": 300,
    "bounds.grace_s": 8,
    "bounds.retry_ratio": 0.2,
    "bounds.retry_window_s": 10,
    "bounds.retry_allowance": 104,
    "bounds.cold_overrun": 1.5,
    "bounds.cold_allowance": 5,
}


def fill(template: str) -> str:
    return re.sub(r"\{\{([a-z_.]+)\|json\}\}", lambda m: json.dumps(FIELDS[m[1]]), template)


@pytest.mark.parametrize("role", ["gateway", "replica"])
def test_the_settings_of_a_role_are_valid(role, tmp_path):
    """Guard against a template that names a field or a setting that does not exist."""
    deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
    path = tmp_path / "node.json"
    path.write_text(fill((ROOT / deploy["roles"][role]["template"]).read_text()))
    known = set(json.loads(path.read_text()))
    settings = load_node_settings(path)
    assert known <= set(settings.__slots__)
    assert get_peer_address(settings) == "10.1.0.4:7340"
    assert list_seed_peers(settings) == ("10.1.0.9:7340", "10.2.0.9:7340")


@pytest.mark.parametrize(
    "change",
    [
        {"zone": "z9"},
        {"seeds": ["x"]},
        {"peer_ports": [9, 3]},
        {"callers": "", "control": ""},
        {"host": 5},
        {"control": "10.1.0.4:1", "data_folder": ""},
    ],
)
def test_invalid_settings_are_rejected(change, tmp_path):
    """Guard against a process that starts with settings it can't use."""
    path = tmp_path / "node.json"
    values = json.loads(fill((ROOT / "deploy/gateway.json").read_text())) | change
    path.write_text(json.dumps(values))
    with pytest.raises(SettingsError):
        load_node_settings(path)
    path.write_text("{")
    with pytest.raises(SettingsError):
        load_node_settings(path)


def test_the_deployed_packages_are_those_of_the_project():
    """Guard against a deployment with other versions than the tests use."""
    project = tomllib.loads((ROOT / "pyproject.toml").read_text())["project"]
    deployed = (ROOT / "requirements.txt").read_text().split()
    assert deployed and set(deployed) <= set(project["dependencies"])


@pytest.mark.parametrize("role", ["gateway", "replica"])
def test_a_role_imports_only_deployed_packages(role):
    """Guard against a process that does not start because a package is not deployed."""
    deployed = re.findall(r"^([a-z0-9]+)", (ROOT / "requirements.txt").read_text(), re.M)
    modules = {
        "gateway": "marjorambridge.daemon.gateway, marjorambridge.platform.dialect, "
        "marjorambridge.platform.documents, marjorambridge.platform.readiness",
        "replica": "marjorambridge.daemon.replica, marjorambridge.platform.operations",
    }[role]
    absent = ["uvicorn", "httpcore", "typer", "opentelemetry"]
    code = f"import sys, {modules}; print([m for m in {absent!r} if m in sys.modules])"
    output = subprocess.run(
        [sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, check=True
    )
    assert output.stdout.strip() == "[]"
    assert not set(absent) & set(deployed)


def test_names_of_the_platform_occur_only_in_its_package():
    """Guard against names of the platform in other packages."""
    names = re.compile(
        r"x-(token-usage|prefix-hash|helpers|tenant|expect-instance|deadline-ms)"
        r"|instances\.(heartbeat|deregister)|config\.(replace|read)|drain\.(begin|finish)"
        r"|engine_profile|heartbeat_addr|cold_left_ms|target_gap_ms|api_keys",
        re.IGNORECASE,
    )
    found = [
        str(path)
        for path in (ROOT / "marjorambridge").rglob("*.py")
        if "platform" not in path.parts and names.search(path.read_text(encoding="utf-8"))
    ]
    assert not found


def test_the_memory_of_a_machine_reaches_the_settings(tmp_path):
    """Guard against bounds of memory that ignore what the platform says of its machines."""
    deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
    for role in ("gateway", "replica"):
        path = tmp_path / f"{role}.json"
        path.write_text(fill((ROOT / deploy["roles"][role]["template"]).read_text()))
        assert load_node_settings(path).memory_megabytes == 300
        settings = json.loads(path.read_text())
        path.write_text(json.dumps(settings | {"memory_megabytes": 3}))
        with pytest.raises(SettingsError, match="memory_megabytes is 3"):
            load_node_settings(path)
        path.write_text(json.dumps(settings | {"memory_megabytes": None}))
        assert load_node_settings(path).memory_megabytes is None
