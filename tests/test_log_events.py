"""Log events and reasons of refusals: all are documented, and no log line contains a key."""

from __future__ import annotations

import re
from pathlib import Path

from geraniumtrack import logs
from geraniumtrack.coordination.explain import _REFUSALS, explain
from geraniumtrack.jobs import commands as cmds
from geraniumtrack.jobs import messages as msgs
from geraniumtrack.jobs.model import JobTeam
from geraniumtrack.jobs.service import JobService
from geraniumtrack.jobs.state import JobsState
from geraniumtrack.state.replicated import ReplicatedState
from tests.jobs_support import JOB_ID, config, queue, step

ROOT = Path(__file__).parent.parent
EVENT = re.compile(r'(?:logs\.(?:event|warn)|_log_start|_log_stop)\(\s*"([a-z_]+)"')
# Modules that a caller's request passes through, and how they write the reason of a refusal.
REFUSING_MODULES = [
    "entry.py",
    "state/view.py",
    *(f"protocol/{name}.py" for name in ("caller_api", "http")),
    *(
        f"coordination/{name}.py"
        for name in ("serving", "execution", "dispatch", "retries", "controller_client")
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


def test_every_event_is_documented_for_operators():
    """Guards against an event that operators cannot look up."""
    page = (ROOT / "docs" / "OPERATIONS.md").read_text()
    events: set[str] = set()
    for path in (ROOT / "geraniumtrack").rglob("*.py"):
        events |= set(EVENT.findall(path.read_text()))
    assert "job_accepting" in events
    assert sorted(name for name in events if f"`{name}`" not in page) == []


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
