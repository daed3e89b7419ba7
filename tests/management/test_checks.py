"""Guard against faults of settings and files that the checks miss, so that a host can't start."""

import json
import stat

import pytest

from marjorambridge.management.main import run_command_line
from tests.conf.test_settings import make_raw


def write_settings(folder, **changes):
    (folder / "fleet.key").write_text("k" * 32)
    values = {"fleet_key_file": str(folder / "fleet.key"), "data_folder": str(folder / "data")}
    path = folder / "host.json"
    path.write_text(json.dumps(make_raw(**(values | changes))))
    path.chmod(0o600)
    return path


def test_usable_settings_pass_both_checks(tmp_path, capsys):
    path = str(write_settings(tmp_path, log={"file": str(tmp_path / "logs" / "host.log")}))
    assert run_command_line(["check", path, "--json"]) == 0
    assert json.loads(capsys.readouterr().out) == {"valid": True, "faults": [], "warnings": []}
    assert run_command_line(["settings", "check", path]) == 0


def test_all_faults_of_all_kinds_are_listed_at_once(tmp_path, capsys):
    blocked = tmp_path / "file"
    blocked.write_text("")
    path = write_settings(
        tmp_path,
        zone="Bhuj!",
        datafolder="x",
        data_folder=str(blocked / "data"),
        fleet_key_file=str(tmp_path / "missing"),
        record_file=str(tmp_path / "missing" / "record"),
    )
    assert run_command_line(["check", str(path)]) == 2
    text = capsys.readouterr().err
    for part in ("datafolder; did you", "'Bhuj!'", "is not a folder", "fleet_key_file", "record"):
        assert part in text


def test_several_wrong_types_are_listed_at_once(tmp_path, capsys):
    path = write_settings(tmp_path, seed="x", bootstrap=3, replicas=[{"host": 5}])
    assert run_command_line(["settings", "check", str(path)]) == 2
    text = capsys.readouterr().err
    for part in ("seed:", "bootstrap:", "replicas[0].host:", "replicas[0].address is missing"):
        assert part in text


def test_a_short_fleet_key_is_refused(tmp_path, capsys):
    path = write_settings(tmp_path)
    (tmp_path / "fleet.key").write_text("short")
    assert run_command_line(["check", str(path)]) == 2
    assert "5 bytes; write at least 32" in capsys.readouterr().err


@pytest.mark.parametrize("mode", [0o620, 0o602])
def test_a_settings_file_that_others_can_write_gives_a_warning(tmp_path, capsys, mode):
    path = write_settings(tmp_path)
    path.chmod(mode)
    assert run_command_line(["check", str(path)]) == 0
    assert "other users can write" in capsys.readouterr().err


def test_generated_secrets_go_to_new_private_files_only(tmp_path, capsys):
    path = tmp_path / "fleet.key"
    assert run_command_line(["settings", "fleet-key", "--output", str(path)]) == 0
    assert stat.S_IMODE(path.stat().st_mode) == 0o600
    content = path.read_text()
    assert len(content.strip()) >= 32
    assert run_command_line(["settings", "token", "--output", str(path)]) == 2
    assert path.read_text() == content
    capsys.readouterr()
    assert run_command_line(["settings", "token", "--json"]) == 0
    assert set(json.loads(capsys.readouterr().out)) == {"token", "sha256"}
