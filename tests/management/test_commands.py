"""Guard operators against changes made twice, wrong exit codes and leaked keys."""

import json

import pytest

from marjorambridge.management import submission
from marjorambridge.management.keys import hash_secret
from marjorambridge.management.main import run_command_line
from marjorambridge.standins.fleet import find_free_ports
from tests.management.helpers import TOKEN, FakeAdmin, run_tool, serve


def test_an_unanswered_command_is_resent_with_the_same_identifier(tmp_path, capsys):
    """Without the same identifier, a change whose answer was lost could be applied twice."""
    admin = FakeAdmin(lost_answers=1)
    with serve(admin) as address:
        assert run_tool(tmp_path, [address], "zone", "in", "bhuj") == 0
    first, second = admin.commands
    assert first == second
    assert first["base_version"] == 4
    assert "version 5 is in force on all live hosts (1)" in capsys.readouterr().out


def test_the_next_address_is_used_when_a_host_does_not_answer(tmp_path, capsys):
    closed = f"127.0.0.1:{find_free_ports(1)[0]}"
    admin = FakeAdmin()
    with serve(admin) as address:
        assert run_tool(tmp_path, [closed, address], "workspace", "list") == 0
        assert run_tool(tmp_path, [closed, address], "zone", "out", "bhuj", "--no-wait") == 0
    assert "pit" in capsys.readouterr().out
    assert [command["base_version"] for command in admin.commands] == [None]


def test_addresses_and_token_come_from_the_environment(tmp_path, capsys, monkeypatch):
    closed = f"127.0.0.1:{find_free_ports(1)[0]}"
    (tmp_path / "token").write_text(f"{TOKEN}\n")
    monkeypatch.setenv("MARJORAMBRIDGE_TOKEN_FILE", str(tmp_path / "token"))
    with serve(FakeAdmin()) as address:
        monkeypatch.setenv("MARJORAMBRIDGE_ADDRESS", f"{closed} {address}")
        assert run_command_line(["zone", "list"]) == 0
    assert "bhuj" in capsys.readouterr().out


def test_an_interrupted_command_is_not_reported_as_refused(tmp_path, capsys):
    """Exit code 1 means that nothing was changed, but the outcome is unknown."""

    def interrupt(*_):
        raise KeyboardInterrupt

    with serve(FakeAdmin()) as address, pytest.MonkeyPatch.context() as patch:
        patch.setattr("marjorambridge.management.changes.submit_command", interrupt)
        assert run_tool(tmp_path, [address], "zone", "out", "bhuj") == 4
    assert "--command-id" in capsys.readouterr().err


def test_an_unknown_outcome_is_reported_and_a_resend_completes_it(tmp_path, capsys, monkeypatch):
    """A resend must find the accepted command, although it has changed the base version."""
    monkeypatch.setattr(submission.submit_command, "__defaults__", (0.0,))
    admin = FakeAdmin(lost_answers=1)
    with serve(admin) as address:
        put = ("service", "put", "geru-model", "--buckets", "2")
        assert run_tool(tmp_path, [address], *put) == 4
        command_id = admin.commands[0]["command_id"]
        assert f"--command-id {command_id}" in capsys.readouterr().err
        admin.record_change(admin.commands[0])
        assert run_tool(tmp_path, [address], *put, "--command-id", command_id, "--json") == 0
    assert len(admin.commands) == 1
    result = json.loads(capsys.readouterr().out)
    assert (result["version"], result["in_force"]) == (5, True)


@pytest.mark.parametrize("call", ["zone put anjar --region kutch", "zone out bhuj"])
def test_a_resend_of_a_command_that_did_not_arrive_repeats_it(tmp_path, monkeypatch, call):
    monkeypatch.setattr(submission.submit_command, "__defaults__", (0.0,))
    admin = FakeAdmin(lost_answers=1)
    with serve(admin) as address:
        put = (*call.split(), "--operator", "asha")
        assert run_tool(tmp_path, [address], *put) == 4
        command_id = admin.commands[0]["command_id"]
        assert run_tool(tmp_path, [address], *put, "--command-id", command_id) == 0
    assert admin.commands[0] == admin.commands[1]


@pytest.mark.parametrize(
    ("status", "answer", "code"),
    [
        (409, {"status": "conflict", "version": 6, "message": "read it again"}, 3),
        (
            422,
            {"status": "invalid", "faults": [{"path": "a", "problem": "b", "remedy": "c"}]},
            1,
        ),
        (400, {"status": "invalid", "message": "malformed"}, 1),
        (410, {"status": "expired", "message": "too old"}, 4),
    ],
)
def test_each_kind_of_answer_has_its_exit_code(tmp_path, status, answer, code):
    admin = FakeAdmin(answer=lambda _: (status, answer))
    with serve(admin) as address:
        assert run_tool(tmp_path, [address], "workspace", "delete", "pit") == code


def test_usage_errors_name_the_remedy(tmp_path, capsys, monkeypatch):
    monkeypatch.delenv("MARJORAMBRIDGE_ADDRESS", raising=False)
    assert run_tool(tmp_path, [], "status") == 2
    assert "use --address" in capsys.readouterr().err
    assert run_tool(tmp_path, ["127.0.0.1:1"], "zone", "out") == 2
    assert run_tool(tmp_path, ["127.0.0.1"], "zone", "list") == 2
    with serve(FakeAdmin()) as address:
        assert run_tool(tmp_path, [address], "zone", "list", token="wrong") == 2
        assert "check --token-file" in capsys.readouterr().err
        assert run_tool(tmp_path, [address], "zone", "in", "x", "--command-id", "mine") == 2


def test_an_accepted_version_that_a_host_lacks_is_not_reported_as_in_force(
    tmp_path, capsys, monkeypatch
):
    monkeypatch.setattr("marjorambridge.management.waiting.wait_in_force.__defaults__", (0.0,))
    admin = FakeAdmin()
    admin.report.hosts[0].applied_index = 8
    admin.report.configuration_index = 10
    with serve(admin) as address:
        assert run_tool(tmp_path, [address], "zone", "in", "bhuj") == 4
    captured = capsys.readouterr()
    assert "in force" not in captured.out
    assert "not confirmed on entry-1" in captured.err


def test_a_generated_key_is_printed_and_only_its_digest_is_sent(tmp_path, capsys):
    admin = FakeAdmin()
    with serve(admin) as address:
        assert run_tool(tmp_path, [address], "workspace", "add-key", "pit", "--no-wait") == 0
        key = capsys.readouterr().out.splitlines()[0]
        sent = json.dumps(admin.commands[0])
        assert key not in sent
        assert admin.commands[0]["change"]["workspace"]["key_hashes"][1] == hash_secret(key)
        (tmp_path / "short").write_text("guess")
        short = ("--key-file", str(tmp_path / "short"))
        assert run_tool(tmp_path, [address], "workspace", "add-key", "pit", *short) == 1
        remove = ("workspace", "remove-key", "pit", "--no-wait", "--digest")
        assert run_tool(tmp_path, [address], *remove, "cd") == 1
        assert run_tool(tmp_path, [address], *remove, "abab") == 0
    assert admin.commands[1]["change"]["workspace"]["key_hashes"] == []


def test_apply_needs_confirmation_and_sends_one_command(tmp_path, capsys):
    """A questionnaire that is applied by mistake may delete services."""
    answers = {
        "availability_zones": [{"name": "bhuj", "region": "kutch"}],
        "services": [{"name": "app", "kind": "plain", "availability_zones": ["bhuj"]}],
        "workspaces": [{"name": "pit", "services": ["app"], "keys": [{"reference": "office"}]}],
    }
    path, keys = tmp_path / "answers.json", tmp_path / "keys.json"
    path.write_text(json.dumps(answers))
    keys.write_text(json.dumps({"office": "CD" * 32}))
    apply = ("configuration", "apply", str(path), "--keys", str(keys), "--no-wait")
    admin = FakeAdmin()
    with serve(admin) as address:
        assert run_tool(tmp_path, [address], *apply) == 2
        assert admin.commands == []
        assert run_tool(tmp_path, [address], *apply, "--yes") == 0
        assert "service geru-model: deleted" in capsys.readouterr().err
        assert run_tool(tmp_path, [address], "configuration", "check", str(path)) == 1
        assert "unknown key reference 'office'" in capsys.readouterr().err
    (command,) = admin.commands
    kinds = [change["kind"] for change in command["change"]["changes"]]
    assert (command["base_version"], sorted(kinds)) == (
        4,
        ["delete_service", "put_service", "put_workspace"],
    )


def test_a_stale_host_is_used_only_if_none_is_fresh(tmp_path, capsys):
    stale, fresh = FakeAdmin(fresh=False), FakeAdmin()
    fresh.configuration.configuration.version = 8
    with serve(stale) as first, serve(fresh) as second:
        show = ("configuration", "show", "--json")
        assert run_tool(tmp_path, [first, second], *show) == 0
        captured = capsys.readouterr()
        assert (json.loads(captured.out)["version"], captured.err) == (8, "")
        assert run_tool(tmp_path, [first], *show) == 0
        assert "not fresh" in capsys.readouterr().err


@pytest.mark.parametrize(
    "name", ["status", "host list", "endpoint list", "service show geru-model"]
)
def test_json_output_is_json(tmp_path, capsys, name):
    with serve(FakeAdmin()) as address:
        assert run_tool(tmp_path, [address], *name.split(), "--json") == 0
    assert json.loads(capsys.readouterr().out)
