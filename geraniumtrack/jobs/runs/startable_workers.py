"""Which workers accept tasks, and why the others don't."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from geraniumtrack.jobs.runs.run_tracker import RunTracker
from geraniumtrack.jobs.runs.worker_session import WorkerSession
from geraniumtrack.jobs.state.model import NO_RESOURCES, Resources, WorkerInfo

__all__ = ["exclusion", "startable_workers"]


def startable_workers(
    sessions: Mapping[str, WorkerSession],
    runs: RunTracker,
    accepts_starts: Callable[[WorkerSession], bool],
) -> list[tuple[WorkerInfo, Resources, bool]]:
    """Returns the rows for `Scheduler.available_workers_by_pool`.

    Args:
        sessions: The owner's sessions by worker id.
        runs: Follows the runs on the workers.
        accepts_starts: Whether the instance of a session's worker accepts starts.
    """
    return [
        (
            session.worker,
            runs.untracked.get(session.worker.id, NO_RESOURCES),
            runs.health[session.worker.id].suspect,
        )
        for session in sessions.values()
        if session.usable and accepts_starts(session)
    ]


def exclusion(
    session: WorkerSession | None, now: float, accepts_starts: Callable[[WorkerSession], bool]
) -> str:
    """Returns why a worker accepts no tasks, or an empty string if it does.

    Args:
        session: The session with the worker, or None if there is none.
        now: Clock value in seconds.
        accepts_starts: Whether the instance of a session's worker accepts starts.
    """
    if session is None:
        return "no_session"
    if session.usable:
        return "" if accepts_starts(session) else "instance_changes"
    reasons = (
        (session.worker.draining, "draining"),
        (session.leaving, "leaving"),
        (session.fenced, "other_owner"),
        (not session.reported, "not_reported"),
        (session.down, "silent"),
        (now < session.quarantined_until, "set_aside"),
        (now < session.backoff_until, "start_refused"),
    )
    return next((reason for applies, reason in reasons if applies), "no_lease")
