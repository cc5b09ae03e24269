"""The command line: usage errors, help, and errors with their exit codes."""

import io
import json
import subprocess
import sys
import urllib.error

import pytest

from geraniumtrack.cli import operator_client
from geraniumtrack.cli.fleet import compare
from geraniumtrack.cli.keys import KeyCommands
from geraniumtrack.cli.operator_client import OperatorClient, OperatorSettings
from geraniumtrack.cli.output import finish_restriction
from geraniumtrack.cli.restriction_client import restrict
from geraniumtrack.errors import GeraniumtrackError
from geraniumtrack.fleet import Fleet
from geraniumtrack.state.view import key_digest
from standins.cluster import Cluster, Plan

COMMANDS = (
    "apply",
    "bring-back",
    "check-settings",
    "controller",
    "diff",
    "drain",
    "entry",
    "explain",
    "init-controller",
    "issue-key",
    "maintenance",
    "retire",
    "show",
    "status",
    "take-out",
    "trace",
    "version",
    "where",
    "why",
    "withdraw-key",
)


def run(*arguments, **options):
    return subprocess.run(
        [sys.executable, "-m", "geraniumtrack", *arguments],
        capture_output=True,
        text=True,
        timeout=30,
        **options,
    )


def test_help_lists_every_command():
    """Guards against a `--help` that lists no commands."""
    result = run("--help")
    text = result.stdout + result.stderr
    assert [name for name in COMMANDS if name.replace("-", "_") not in text] == []


def test_help_of_every_command_imports_no_network_code():
    """Guards against help that needs the libraries of the daemons."""
    script = (
        "import sys, fire\nfrom geraniumtrack.cli.main import Commands\n"
        f"for name in {COMMANDS!r}:\n"
        "    try:\n        fire.Fire(Commands, [name, '--help'], 'geraniumtrack')\n"
        "    except SystemExit as exc:\n        assert exc.code == 0, name\n"
        "assert 'twisted' not in sys.modules, 'twisted was imported'\n"
    )
    result = subprocess.run([sys.executable, "-c", script], capture_output=True, text=True)
    assert result.returncode == 0, result.stderr
    for name in COMMANDS:
        assert name in result.stdout + result.stderr


@pytest.mark.parametrize(
    "arguments",
    [
        ("no-such-command",),
        ("take-out",),
        ("take-out", "dc1"),
        ("take-out", "dc1", "surplus", "--operator", "/nonexistent"),
        ("show", "--operator", "/nonexistent", "--surplus", "1"),
    ],
)
def test_wrong_arguments_print_the_usage_and_exit_2_before_any_command_runs(arguments):
    """Guards against a command that rejects a surplus argument only after it has run."""
    result = run(*arguments)
    assert result.returncode == 2
    assert "Usage" in result.stderr + result.stdout
    assert "/nonexistent cannot be" not in result.stderr


@pytest.mark.parametrize(
    ("text", "message"),
    [("{", "not JSON"), ('{"data_centres": []}', "data_centres"), ("[]", "fleet is invalid")],
)
def test_invalid_fleet_exits_2_and_names_the_fault(text, message):
    result = run("apply", "-", "--operator", "unused", input=text)
    assert (result.returncode, message in result.stderr) == (2, True), result.stderr


def test_argument_that_looks_like_a_number_stays_a_string(tmp_path):
    """Guards against an argument such as 1e10 or 0x10 that Fire turns into a number."""
    script = (
        "import fire\nfrom geraniumtrack.cli.main import Commands\n"
        "action = fire.Fire(Commands, ['take-out', '1e10', '--operator', '12',"
        " '--operation-id', '0x10'], 'g', lambda value: None)\n"
        "print(action._action.args[1:], action._action.keywords)\n"
    )
    result = subprocess.run([sys.executable, "-c", script], capture_output=True, text=True)
    assert "('1e10',) {'operator': '12', 'operation_id': '0x10'}" in result.stdout, result.stderr


def test_settings_error_names_file_field_value_and_remedy(tmp_path):
    """Guards against an operator who cannot tell which setting to correct."""
    path = tmp_path / "e1.json"
    path.write_text(json.dumps({"kind": "entry", "name": "e 1"}))
    result = run("check-settings", str(path))
    assert result.returncode == 2
    for expected in (str(path), "field name", "'e 1'", "docs/OPERATIONS.md"):
        assert expected in result.stderr


def test_diff_shows_new_removed_and_changed_records():
    declared = Fleet(
        data_centres=[{"name": "dc1"}],
        pools=[{"name": "proofs", "max_unavailable": 2}],
        teams=[{"name": "acme"}],
    ).model_dump()
    view = {
        "data_centres": {"dc1": {"name": "dc1", "region": ""}, "dc2": {"name": "dc2"}},
        "pools": {"proofs": {"name": "proofs", "max_unavailable": 1, "spare": False}},
    }
    assert compare(view, declared) == [
        "- data_centres dc2",
        "~ pools proofs max_unavailable: 1 -> 2",
        "+ teams acme",
    ]


class StubbedClient(OperatorClient):
    """A client whose commands succeed, and whose queries get `query_reply`.

    Attributes:
        query_reply: Status and body of the reply to queries of the controllers.
        commands: Body of each command.
    """

    def __init__(self, folder, query_reply):
        secret = folder / "secret"
        secret.write_bytes(b"s" * 32)
        secret.chmod(0o600)
        urls = {"controllers": ["http://c"], "entries": ["http://e"]}
        super().__init__(OperatorSettings(secret_file=secret, key_freshness_s=0.1, **urls))
        self.query_reply, self.commands = query_reply, []

    def request(self, url, method, path, body, *, timeout_s=5.0):
        if url == "http://e":
            entry = {"name": "e1", "data_centre": "dc1", "version": 7, "key_freshness_s": 0.1}
            return 200, entry | {"operation_in_force": True}
        if method == "POST":
            self.commands.append(body)
            return 200, {"version": 7}
        return self.query_reply


# No controller leads; the secret is refused; a reply that is not the interface's.
FAILED_QUERIES = [(0, {}), (401, {"error": "not_operator"}), (404, {})]


@pytest.fixture
def no_retry_delay(monkeypatch):
    monkeypatch.setattr(operator_client.time, "sleep", lambda seconds: None)


@pytest.mark.usefixtures("no_retry_delay")
@pytest.mark.parametrize("reply", FAILED_QUERIES)
def test_result_of_a_restriction_is_shown_although_the_view_cannot_be_read(tmp_path, reply, capsys):
    """Guards against an operator who does not learn that a change was committed."""
    client = StubbedClient(tmp_path, reply)
    answer = restrict(client, kind="key", name="k", path="/v1/keys/k/withdraw", body={})
    assert (answer[0], answer[1]["version"], len(client.commands)) == (200, 7, 1)
    finish_restriction(answer)
    output = capsys.readouterr()
    assert json.loads(output.out)["operation_id"] == client.commands[0]["operation_id"]
    assert "could not be read" in output.err


@pytest.mark.usefixtures("no_retry_delay")
@pytest.mark.parametrize("reply", FAILED_QUERIES)
@pytest.mark.parametrize(("operation_id", "code"), [("", 0), ("op", 1)])
def test_issued_key_is_printed_although_the_view_cannot_be_read(
    tmp_path, monkeypatch, reply, operation_id, code, capsys
):
    """Guards against the loss of a key, of which only the digest is stored."""
    client = StubbedClient(tmp_path, reply)
    monkeypatch.setattr(OperatorClient, "from_file", lambda path: client)
    issue = KeyCommands().issue_key("acme", operator="unused", operation_id=operation_id)
    if code:
        with pytest.raises(SystemExit) as ended:
            issue._action()
        assert ended.value.code == code
    else:
        issue._action()
    printed = json.loads(capsys.readouterr().out)
    assert key_digest(printed["key"]).hex() == client.commands[0]["digest"]


@pytest.mark.usefixtures("no_retry_delay")
def test_key_of_an_earlier_call_under_the_same_operation_id_is_not_printed(
    tmp_path, monkeypatch, capsys
):
    """Guards against a printed key that is not the one that was issued."""
    view = {"keys": {"acme-1": {"digest": "00" * 32}}}
    client = StubbedClient(tmp_path, (200, view))
    monkeypatch.setattr(OperatorClient, "from_file", lambda path: client)
    with pytest.raises(SystemExit) as ended:
        KeyCommands().issue_key(
            "acme", operator="unused", key_id="acme-1", operation_id="op"
        )._action()
    assert ended.value.code == 3
    assert "already_issued" in capsys.readouterr().err


@pytest.mark.usefixtures("no_retry_delay")
@pytest.mark.parametrize("reply", FAILED_QUERIES)
def test_refused_query_raises_an_error_with_a_remedy(tmp_path, reply):
    """Guards against a refusal that is taken for the view, and a traceback for the operator."""
    client = StubbedClient(tmp_path, reply)
    for query in (client.view, client.maintenance, lambda: client.explain("p")):
        with pytest.raises(GeraniumtrackError) as raised:
            query()
        assert raised.value.remedy


@pytest.mark.parametrize("body", [b"<html>", b"[]", b"", b"\xff"])
def test_refusal_whose_body_is_no_json_object_keeps_its_status(tmp_path, monkeypatch, body):
    """Guards against a traceback where a proxy answers instead of a controller."""
    client = StubbedClient(tmp_path, (200, {}))

    def refuse(req, timeout):
        raise urllib.error.HTTPError(req.full_url, 502, "Bad Gateway", {}, io.BytesIO(body))

    monkeypatch.setattr(operator_client.urllib.request, "urlopen", refuse)
    reply = OperatorClient.request(client, "http://c", "GET", "/v1/view", None)
    assert reply == (502, {})


def test_conflict_names_the_winner_and_a_resend_gets_the_first_result(tmp_path):
    """Guards against a conflict that does not name the change that won, and a change applied twice.

    A resend has the same operation id, so it gets the result of the first run.
    """
    plan = Plan(("dc1",), controllers=1, entries_per_data_centre=0, pools=(), targets_per_pool=0)
    with Cluster(tmp_path, plan) as cluster:
        fleet = Fleet(data_centres=[{"name": "dc1"}], pools=[{"name": "proofs"}]).to_json()
        options = ("--operator", str(cluster.operator_file), "--expected-version", "0")
        first = run("apply", "-", *options, "--operation-id", "1e10", input=fleet)
        resent = run("apply", "-", *options, "--operation-id", "1e10", input=fleet)
        conflicting = run("apply", "-", *options, input=fleet)
        invalid_version = run("apply", "-", *options[:3], "soon", input=fleet)
    assert first.returncode == 0, first.stderr
    assert (resent.returncode, resent.stdout) == (0, first.stdout)
    assert conflicting.returncode == 3
    assert "winner: version 1 by operator operator with operation id 1e10" in conflicting.stderr
    assert (invalid_version.returncode, "whole number" in invalid_version.stderr) == (2, True)
