"""Log events and reasons of refusals: all are documented, and no log line contains a key."""

from __future__ import annotations

import ast
import re
from pathlib import Path

from geraniumtrack import logs
from geraniumtrack.coordination.fleet.explain import _REFUSALS, explain
from geraniumtrack.jobs import messages as msgs
from geraniumtrack.jobs.calls.service import JobService
from geraniumtrack.jobs.state import commands as cmds
from geraniumtrack.jobs.state.jobs_state import JobsState
from geraniumtrack.jobs.state.model import JobTeam
from geraniumtrack.state.replicated import ReplicatedState
from tests.jobs_support import JOB_ID, config, queue, step

ROOT = Path(__file__).parent.parent
# Functions that log an event whose name is their first argument.
FORWARDING_FUNCTIONS = ("_log_start", "_log_stop", "_log_task")
WRITTEN_EVENTS = ("library_message", "log_lines_left_out")
# Modules that a caller's request passes through, and how they write the reason of a refusal.
REFUSING_MODULES = [
    "entry.py",
    "state/view.py",
    *(f"protocol/{name}.py" for name in ("caller_api", "bounded_http", "http")),
    "coordination/entries/controller_client.py",
    *(
        f"coordination/serving/{name}.py"
        for name in (
            "request_service",
            "forwarding",
            "task_outcomes",
            "execution",
            "dispatch",
            "retries",
        )
    ),
]
REFUSAL = re.compile(
    r"(?:refusal\(\s*[\w.]+,\s*\d+,\s*|RetryDecision\(False,\s*|_refuse_unqueued\(\w+,\s*"
    r"|Absent\(\s*|\d{3}: |\.get\(status, )\"([a-z_]+)\""
)
# Between entries, to a caller that has disconnected, and in the reply to another party.
INTERNAL_REASONS = {"link_down", "link_lost", "cancelled", "bad_request"}
CLAIM_REASONS = {"claims_full", "fingerprint_mismatch"}  # results of OpenClaim, passed on
KEY = "sjnbanfqasnmgkcuyj8p"


def emitted_events(tree: ast.Module) -> tuple[set[str], list[str]]:
    """Returns the names of the events that a module logs, and the calls whose name is unknown.

    Within FORWARDING functions the name is a parameter; the calls of these functions have it.
    """
    names: set[str] = set()
    unknown = []
    forwarding = [
        node for node in ast.walk(tree) if getattr(node, "name", "") in FORWARDING_FUNCTIONS
    ]
    inside = {id(inner) for node in forwarding for inner in ast.walk(node)}
    for node in ast.walk(tree):
        if not isinstance(node, ast.Call):
            continue
        function = ast.unparse(node.func)
        logs_call = function in ("logs.event", "logs.warn")
        if not logs_call and function.rpartition(".")[2] not in FORWARDING_FUNCTIONS:
            continue
        if isinstance(node.args[0], ast.Constant):
            names.add(node.args[0].value)
        elif id(node) not in inside:
            unknown.append(ast.unparse(node))
    return names, unknown


def documented_events() -> set[str]:
    """Returns the names in the first column of the tables of log events."""
    page = (ROOT / "docs" / "OPERATIONS.md").read_text()
    tables = page.partition("## Log events")[2].partition("## From a failed request")[0]
    rows = [line.split("|")[1] for line in tables.splitlines() if line.startswith("| `")]
    return {name for row in rows for name in re.findall(r"`(\w+)`", row)}


def test_every_event_is_documented_for_operators_and_every_documented_one_exists():
    """Guards against an event that operators cannot look up, and against one that never comes.

    Also guards against a rename of an event that no list of outside names shows.
    """
    emitted: set[str] = set()
    for path in (ROOT / "geraniumtrack").rglob("*.py"):
        names, unknown = emitted_events(ast.parse(path.read_text()))
        assert unknown == [], f"{path} logs events whose names cannot be read"
        emitted |= names
    emitted |= {name for name in WRITTEN_EVENTS if f"event={name}" in written_source()}
    assert {"job_accepting", "run_started"} <= emitted  # the latter is logged by `_log_start`
    assert sorted(emitted - documented_events()) == []
    assert sorted(documented_events() - emitted) == []
    assert sorted(emitted - set((ROOT / "docs" / "names.txt").read_text().splitlines())) == []


def written_source() -> str:
    """Returns the source of the modules that write lines without `logs.event`."""
    package = ROOT / "geraniumtrack"
    return "".join((package / name).read_text() for name in ("logs.py", "log_stream.py"))


def test_reasons_of_refusals_are_explained_documented_and_emitted():
    """Guards against a reason that operators cannot look up, or that no caller ever gets."""
    page = (ROOT / "docs" / "OPERATIONS.md").read_text()
    table = page.partition("## Refusals")[2].partition("Operators get")[0]
    rows = [line.split("|")[1] for line in table.splitlines() if line.startswith("| `")]
    documented = {name for row in rows for name in re.findall(r"`(\w+)`", row)}
    package = ROOT / "geraniumtrack"
    source = "".join((package / name).read_text() for name in REFUSING_MODULES)
    emitted = set(REFUSAL.findall(source)) - INTERNAL_REASONS | CLAIM_REASONS
    assert {"deadline", "bad_urgency", "task_failed"} <= emitted
    assert emitted == documented
    state = ReplicatedState()
    assert [name for name in sorted(emitted) if explain(state, name)["kind"] != "refusal"] == []
    assert set(_REFUSALS) == emitted


def test_no_log_line_contains_the_key_of_a_caller(monkeypatch):
    """Guards against keys in logs, which more people read than may use the keys."""
    lines: list[str] = []
    for name in ("event", "warn"):
        monkeypatch.setattr(logs, name, lambda event, **pairs: lines.append(f"{event} {pairs}"))
    state = JobsState()
    state.apply(cmds.Configure(config(queue(), teams=(JobTeam("t", (KEY,)),))))
    service = JobService(
        state=lambda: state, propose=None, owner=lambda: None, wall_clock=lambda: 0.0
    )
    for key in (KEY, KEY + "x"):
        request = msgs.JobRequest("h", f"/proofs/{JOB_ID}", key)
        service.answer(msgs.SubmitCall(request, "x", (step(),), 0, 0.0, 0.0))
        service.answer(msgs.JobQuery(request))
        service.answer(msgs.CancelCall(request))
    assert any(line.startswith("key_unknown") for line in lines)
    assert any(line.startswith("job_accepting") for line in lines)
    assert not [line for line in lines if KEY in line]
