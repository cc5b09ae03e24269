"""Checkpoints that runs on a worker have reported and that are not in the replicated state yet.

The state learns the checkpoint of a run when the run ends. When a run is lost with its worker, the
last report is the only source.
"""

from __future__ import annotations

from geraniumtrack.jobs.runs.worker_session import WorkerSession
from geraniumtrack.jobs.state.jobs_state import JobsState, Task

__all__ = ["reported_checkpoint", "unsaved_checkpoints"]


def reported_checkpoint(state: JobsState, session: WorkerSession | None, task: Task) -> str:
    """Returns the checkpoint that the assigned run of a task reported last, or an empty string.

    It is empty for a member of a gang, since all members must resume from the same checkpoint.

    Args:
        state: The replicated state.
        session: The session with the worker of the task, or None.
        task: The task.
    """
    if session is None or session.key != (task.worker, task.worker_born):
        return ""
    row = session.running.get(task.id)
    if row is None or row.run != task.run or state.step_of(task).gang:
        return ""
    return row.checkpoint


def unsaved_checkpoints(state: JobsState, session: WorkerSession) -> tuple:
    """Returns rows of task, run and checkpoint that save the checkpoints of an ended worker.

    They are rows of `RecordRuns.lost` or `RestartWorker.checkpoints`. Runs without a newer
    checkpoint than the stored one are left out.
    """
    rows = []
    for task in state.assigned.get(session.worker.id, {}).values():
        checkpoint = reported_checkpoint(state, session, task)
        if checkpoint not in ("", task.checkpoint):
            rows.append((tuple(task.id), task.run, checkpoint))
    return tuple(rows)
