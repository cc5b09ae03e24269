"""Log events: all are documented for operators, and no log line contains a key."""

from __future__ import annotations

import re
from pathlib import Path

from geraniumtrack import logs
from geraniumtrack.jobs import commands as cmds
from geraniumtrack.jobs import messages as msgs
from geraniumtrack.jobs.model import JobTeam
from geraniumtrack.jobs.service import JobService
from geraniumtrack.jobs.state import JobsState
from tests.jobs_support import JOB_ID, config, queue, step

ROOT = Path(__file__).parent.parent
EVENT = re.compile(r'(?:logs\.(?:event|warn)|_log_start|_log_stop|_log_task)\(\s*"([a-z_]+)"')
KEY = "sjnbanfqasnmgkcuyj8p"


def test_every_event_is_documented_for_operators():
    """Guards against an event that operators cannot look up."""
    page = (ROOT / "docs" / "OPERATIONS.md").read_text()
    events: set[str] = set()
    for path in (ROOT / "geraniumtrack").rglob("*.py"):
        events |= set(EVENT.findall(path.read_text()))
    assert "job_accepting" in events
    assert sorted(name for name in events if f"`{name}`" not in page) == []


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
