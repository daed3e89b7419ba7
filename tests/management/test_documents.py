"""Guard against a check of a document whose exit code hides an error."""

import io
import json
import sys

import pytest

from marjorambridge.management.main import run_command_line

ROUTE = {
    "name": "r",
    "hostname": "a.example",
    "path_prefix": "/p/",
    "type": "streaming",
    "timeout_ms": 1_000,
    "slo_ms": 300,
    "backend": "s",
}
SOUND = {"version": 2, "routes": [ROUTE], "services": [{"name": "s"}]}
LATE = SOUND | {"routes": [ROUTE | {"slo_ms": 2_000}]}
NEVER = SOUND | {"routes": [ROUTE | {"timeout_ms": 0}]}


@pytest.mark.parametrize(
    ("text", "code"),
    [(json.dumps(SOUND), 0), (json.dumps(LATE), 1), (json.dumps(NEVER), 2), ("[", 2), ("{}", 2)],
)
def test_the_exit_code_tells_the_worst_finding(text, code, monkeypatch, capsys):
    monkeypatch.setattr(sys, "stdin", io.TextIOWrapper(io.BytesIO(text.encode())))
    assert run_command_line(["configuration", "check", "-", "--json"]) == code
    findings = json.loads(capsys.readouterr().out)["findings"]
    severities = [finding["severity"] for finding in findings]
    assert severities[:1] == [[], ["warning"], ["error"]][code]


def test_differences_are_listed_on_request(tmp_path, capsys):
    old, new = tmp_path / "old.json", tmp_path / "new.json"
    old.write_text(json.dumps(SOUND | {"version": 1}))
    new.write_text(json.dumps(LATE))
    assert run_command_line(["configuration", "check", str(new), "--in-force", str(old)]) == 1
    lines = capsys.readouterr().out.splitlines()
    assert lines[1] == "difference: route 'r': objective_seconds from 0.3 to 2.0"
    assert run_command_line(["configuration", "check", str(tmp_path / "none")]) == 2
