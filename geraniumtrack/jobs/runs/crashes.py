"""Finds out which runs were active when a worker crashed, and has the crash counted.

A worker crashed if a later incarnation shows that it has ended, which was neither announced nor
ordered, and most workers of its rack and data centre live on. A worker that is only silent may be
cut off, so its silence is no evidence; its runs that are lost with its lease are remembered until a
later incarnation confirms the crash, or the same one reports again.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from typing import Any

from twisted.internet.defer import Deferred

from geraniumtrack import logs
from geraniumtrack.jobs.runs.commit import commit_in_background
from geraniumtrack.jobs.runs.outages import OutageDetector
from geraniumtrack.jobs.runs.sent_orders import SentStart
from geraniumtrack.jobs.runs.worker_port import StartOutcome
from geraniumtrack.jobs.runs.worker_registry import same_address_or_instance
from geraniumtrack.jobs.runs.worker_session import WorkerSession
from geraniumtrack.jobs.state import commands as cmds
from geraniumtrack.jobs.state.jobs_state import MAX_CRASHES, Crash, JobsState, Task
from geraniumtrack.jobs.state.model import TaskId, WorkerInfo
from geraniumtrack.metrics import metrics

__all__ = ["CrashDetector", "log_crash", "log_given_up"]

SETTLED_S = 5.0  # a run seen for this long did not crash its worker by starting
LOST_RUNS_RETENTION_S = 600.0  # a crashed machine is back within this time

WorkerKey = tuple[str, int]  # id and incarnation
RunKey = tuple[TaskId, int]  # task and run


@dataclass(slots=True)
class _LostRuns:
    """Runs that were lost with the lease of a worker at the clock value `at` in s."""

    worker: WorkerInfo
    runs: set[RunKey]
    at: float


class CrashDetector:
    """Counts the crashes of worker incarnations that ended unannounced.

    It proposes `WorkerCrashed`, and for service tasks `ServiceRunsCrashed`.

    Args:
        seconds: Returns the time in seconds of a monotonic clock.
        state: Returns the replicated state.
        propose: Commits a command; returns a Deferred.
        sessions: Returns the owner's sessions by worker id.
        changing: Whether the owner is draining or changing an instance.
        wall_clock: Returns the wall-clock time in seconds.
    """

    def __init__(
        self,
        seconds: Callable[[], float],
        *,
        state: Callable[[], JobsState],
        propose: Callable[[Any], Deferred],
        sessions: Callable[[], Mapping[str, WorkerSession]],
        changing: Callable[[str], bool],
        wall_clock: Callable[[], float],
    ) -> None:
        self._seconds = seconds
        self._state = state
        self._propose = propose
        self._sessions = sessions
        self._changing = changing
        self._wall_clock = wall_clock
        self._outages = OutageDetector(seconds, sessions=sessions, announced=self._announced)
        self._lost: dict[WorkerKey, _LostRuns] = {}

    def settled(self, task: Task) -> bool:
        """Whether the current run of an assigned task has been seen for SETTLED_S."""
        session = self._session(task.worker, task.worker_born)
        return session is not None and _seen_s(session, task) >= SETTLED_S

    def handle_report(self, session: WorkerSession) -> None:
        """Notes that an incarnation is alive, and which of its service tasks run for long.

        The runs that were lost with its lease don't count, nor do earlier crashes under service
        tasks that have settled.
        """
        self._lost.pop(session.key, None)
        if session.first_answer_at == session.last_answer_at:
            self._handle_first_report(session.worker)
        settled = {
            (task.id, task.run)
            for task in self._assigned(session.worker)
            if task.crashes and self._is_service(task.id) and _seen_s(session, task) >= SETTLED_S
        }
        if settled:
            commit_in_background(self._propose, cmds.ServiceRunsSettled(_rows(settled)))

    def handle_lease_expired(self, session: WorkerSession) -> None:
        """Remembers the runs of a silent worker, which are about to be marked as lost."""
        runs = self._suspect_runs(session.worker)
        if not runs or self._announced(session.worker):
            return
        if self._outages.is_part_of_outage(session):
            return
        now = self._seconds()
        oldest = now - LOST_RUNS_RETENTION_S
        self._lost = {key: lost for key, lost in self._lost.items() if lost.at > oldest}
        lost = self._lost.setdefault(session.key, _LostRuns(session.worker, set(), now))
        lost.runs |= runs

    def _handle_first_report(self, worker: WorkerInfo) -> None:
        """Handles an answer which shows that lost incarnations in its place have ended."""
        for lost in list(self._lost.values()):
            other = lost.worker
            if other.id == worker.id or same_address_or_instance(other, worker):
                self.handle_ended(other)

    def note_omitted(self, sessions: Iterable[WorkerSession]) -> None:
        """Notes incarnations that the instance list omits, to tell an outage from crashes.

        The list proves no end. If it is outdated, a crash may be taken for part of an outage; no
        run is started again by it.
        """
        for session in sessions:
            if not self._announced(session.worker):
                self._outages.record_end(session)

    def handle_ended(self, worker: WorkerInfo) -> None:
        """Has a crash counted against the runs of an incarnation that has certainly ended."""
        lost = self._lost.pop((worker.id, worker.born), None)
        if self._announced(worker) or self._in_outage(worker):
            return
        runs = self._suspect_runs(worker) | (lost.runs if lost is not None else set())
        if not runs:
            return
        metrics.count("workers_crashed")
        logs.warn("worker_crashed", worker=worker.id, born=worker.born, runs=len(runs))
        service = {key for key in runs if self._is_service(key[0])}
        if service:
            command = cmds.ServiceRunsCrashed(worker.id, _rows(service))
            commit_in_background(self._propose, command)
        if runs - service:
            at = self._wall_clock()
            command = cmds.WorkerCrashed(worker.id, worker.born, at, _rows(runs - service))
            commit_in_background(self._propose, command)

    def _is_service(self, task_id: TaskId) -> bool:
        task = self._state().task(task_id)
        return task is not None and self._state().step_of(task).lasting

    def _in_outage(self, worker: WorkerInfo) -> bool:
        session = self._session(worker.id, worker.born)
        if session is None:
            return False  # its lost runs were judged when the lease expired
        self._outages.record_end(session)
        if not self._outages.is_part_of_outage(session):
            return False
        logs.event("worker_outage", worker=worker.id, born=worker.born, rack=worker.rack)
        return True

    def _announced(self, worker: WorkerInfo) -> bool:
        """Whether an incarnation had announced its end, or this owner ends it."""
        known = self._state().workers.get(worker.id)
        draining = known is not None and known.born == worker.born and known.draining
        session = self._session(worker.id, worker.born)
        leaving = session is not None and session.leaving
        return draining or leaving or self._changing(worker.instance)

    def _suspect_runs(self, worker: WorkerInfo) -> set[RunKey]:
        """Returns the assigned runs of an incarnation that may have made it crash."""
        session = self._session(worker.id, worker.born)
        return {
            (task.id, task.run)
            for task in self._assigned(worker)
            if session is None or _may_have_crashed(session, task)
        }

    def _assigned(self, worker: WorkerInfo) -> Iterable[Task]:
        tasks = self._state().assigned.get(worker.id, {}).values()
        return (task for task in tasks if task.worker_born == worker.born)

    def _session(self, worker_id: str, born: int) -> WorkerSession | None:
        session = self._sessions().get(worker_id)
        return session if session is not None and session.worker.born == born else None


def _rows(runs: Iterable[RunKey]) -> tuple:
    """Returns the rows of runs in a command."""
    return tuple((tuple(task), run) for task, run in sorted(runs))


def _may_have_crashed(session: WorkerSession, task: Task) -> bool:
    """Whether the run of a task may have been active on the worker, and not for long."""
    order = _order(session, task)
    if not _is_running(session, task):
        if order is None:
            # A former owner's start; a report would show it.
            return not session.reported
        if order.outcome is StartOutcome.STARTED:
            return True
        unclear = order.outcome in (None, StartOutcome.UNKNOWN)
        return unclear and _was_alive_after(session, order.sent_at)
    return _seen_s(session, task) < SETTLED_S


def _was_alive_after(session: WorkerSession, at: float) -> bool:
    """Whether the worker answered a hold, or closed its connection, at a clock value or later."""
    return max(session.last_answer_at, session.closed_by_worker_at) >= at


def _seen_s(session: WorkerSession, task: Task) -> float:
    """Returns for how long the run of a task was seen, in s; 0 if no report shows it."""
    if not _is_running(session, task):
        return 0.0
    order = _order(session, task)
    since = order.sent_at if order is not None else session.opened_at
    return session.last_answer_at - since


def _is_running(session: WorkerSession, task: Task) -> bool:
    row = session.running.get(task.id)
    return row is not None and row.run == task.run


def _order(session: WorkerSession, task: Task) -> SentStart | None:
    order = session.sent_starts.get(task.id)
    return order if order is not None and order.run == task.run else None


def log_crash(
    state: JobsState, command: cmds.WorkerCrashed | cmds.ServiceRunsCrashed
) -> list[Task]:
    """Logs the tasks against which an applied crash counts; returns them."""
    counted = []
    for row, run in command.runs:
        task = state.task(TaskId(*row))
        if task is not None and Crash(run, command.worker_id) in task.crashes:
            _log_task("crash_counted", task, run=run, worker=command.worker_id)
            counted.append(task)
    return counted


def log_given_up(state: JobsState, command: cmds.WorkerCrashed, counted: list[Task]) -> None:
    """Logs the tasks whose jobs have failed by an applied crash."""
    for task in counted:
        if len(task.crashes) >= MAX_CRASHES and state.jobs[task.id.job].ended == command.at:
            runs = ",".join(str(crash.run) for crash in task.crashes)
            workers = ",".join(crash.worker for crash in task.crashes)
            _log_task("task_given_up", task, reason="worker_crashes", runs=runs, workers=workers)


def _log_task(event: str, task: Task, **pairs: Any) -> None:
    logs.event(
        event,
        job=task.id.job,
        task=".".join(map(str, task.id[1:])),
        crashes=len(task.crashes),
        **pairs,
    )
