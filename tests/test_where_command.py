"""`geraniumtrack where`: the route on the internal port, exit codes and tables."""

from __future__ import annotations

import json
import sys
from types import SimpleNamespace

import pytest
from twisted.internet.defer import succeed

from geraniumtrack.cli import main, operator_client
from geraniumtrack.jobs.messages import AnswerKind, JobAnswer
from geraniumtrack.platform.operator_api import PLACEMENT_PATH, OperatorApi
from geraniumtrack.protocol.address import operator_token
from geraniumtrack.transport.http_server import Request
from tests.jobs_support import step, worker
from tests.test_placement_query import ask, fleet

SECRET = b"0123456789abcdef0123456789abcdef"
TOKEN = operator_token(SECRET)
DESCRIBED = ("--queue", "proofs", "--team", "red", "--steps", "3x5000m/100MB/0.8s")


def request(body: bytes, *, path=PLACEMENT_PATH, method="POST", token=TOKEN):
    headers = {"authorization": f"Bearer {token}"} if token else {}
    return Request(method, path, headers, body, 0.0)


def api(answer=None) -> OperatorApi:
    """Returns the route of a controller whose owner gives this answer, or must not be called."""

    def call(_body, *, timeout_s):
        assert answer is not None, "called"
        return succeed(answer)

    return OperatorApi(SimpleNamespace(call=call), SECRET)


@pytest.fixture
def where(monkeypatch, capsys, tmp_path):
    """Returns a function that runs the command; the route is called without a network."""
    monkeypatch.setattr(operator_client.time, "sleep", lambda _: None)
    (tmp_path / "secret").write_bytes(SECRET)
    (tmp_path / "secret").chmod(0o600)
    settings = {"controllers": ["http://c1"], "secret_file": str(tmp_path / "secret")}
    (tmp_path / "operator.json").write_text(json.dumps(settings))

    def run(call, *arguments) -> tuple[int, str, str]:
        def send(client, _url, method, path, body, **_):
            core = SimpleNamespace(call=lambda item, timeout_s: succeed(call(item)))
            raw = json.dumps(body).encode()
            sent = request(raw, path=path, method=method, token=client._token)
            reply = OperatorApi(core, SECRET).handle(sent)
            reply = getattr(reply, "result", reply)
            return reply.status, json.loads(reply.body)

        monkeypatch.setattr(operator_client.OperatorClient, "request", send)
        operator = str(tmp_path / "operator.json")
        monkeypatch.setattr(sys, "argv", ["g", "where", *arguments, "--operator", operator])
        code = 0
        try:
            main.main()
        except SystemExit as exc:
            code = exc.code
        out = capsys.readouterr()
        return code, out.out, out.err

    return run


@pytest.mark.parametrize("token", ["", "wrong", "\u00e4"])
def test_the_route_needs_the_operator_token(token):
    """Guards against anyone on the internal port reading who waits and what teams use."""
    assert api().handle(request(b"{}", token=token)).status == 401
    assert api().handle(request(b"", path="/metrics", token=token)).status == 200


@pytest.mark.parametrize(
    "body",
    [b"", b"[]", b"\xff", b'{"job": 5}', b"{}", b'{"queue":"q","steps":"8x"}', b"[" * 100_000],
)
def test_an_unreadable_query_is_refused(body):
    """Guards against status 500, and against a query that reaches the owner half read."""
    reply = api().handle(request(body))
    assert reply.status == 400 and json.loads(reply.body)["message"]


def test_a_forwarded_answer_is_written_as_json(where):
    """Guards against a reply that only the owner's own controller can write."""
    _, service = fleet([worker(), worker(draining=True)], [("blue", [step(1, 64_000)])])
    code, out, _ = where(lambda call: ask(service, call), *DESCRIBED, "--json")
    report = json.loads(out)
    assert code == 0 and report["steps"][0]["rejected"][0]["reason"] == "full"


def test_the_tables_name_the_decision(where):
    """Guards against output that leaves out the worker, the reason or the limit."""
    _, service = fleet([worker(), worker(draining=True)])
    code, out, _ = where(lambda call: ask(service, call), *DESCRIBED)
    assert code == 0
    for text in ("admitted", "position 1", "2 of 3", "at its limit", "w0", "draining", "free_cpu"):
        assert text in out


def test_a_job_is_asked_for_by_its_id(where):
    """Guards against an id of digits that is read as a number."""
    _, service = fleet([], [("blue", [step(1, 64_000)])])
    code, out, _ = where(lambda call: ask(service, call), "--job", "0" * 16)
    assert code == 0 and "none of the pool accepts tasks" in out


@pytest.mark.parametrize(
    ("kind", "code", "remedy"),
    [
        (AnswerKind.NO_QUEUE, 3, "name of a queue"),
        (AnswerKind.NO_JOB, 3, "has not ended"),
        (AnswerKind.BUSY, 3, "try again"),
        (AnswerKind.INVALID, 3, "why"),
        (AnswerKind.NOT_READY, 1, "majority"),
        (AnswerKind.UNKNOWN, 1, "majority"),
    ],
)
def test_refusals_have_an_exit_code_and_a_remedy(where, kind, code, remedy):
    """Guards against scripts that take a refusal for an answer."""
    found, _, err = where(lambda _: JobAnswer(kind, detail="why"), *DESCRIBED)
    assert found == code and remedy in err


@pytest.mark.parametrize(
    "arguments",
    [(), ("--queue", "q"), ("--job", "1", *DESCRIBED), ("--queue", "q", "--steps", "8x2000m")],
)
def test_wrong_arguments_send_nothing(where, arguments):
    """Guards against a query about something else than was meant."""
    code, _, err = where(lambda _: pytest.fail("sent"), *arguments)
    assert code == 2 and "error:" in err
