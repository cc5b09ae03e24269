"""Stops runs for jobs that would otherwise miss their deadline.

`preemption` chooses the runs; this module keeps what only the owner knows: when runs started, which
stops are under way, how many there were in the last second, and for which jobs. Nothing of it must
survive the owner: the end of a stopped run is committed like any other.
"""

from __future__ import annotations

from collections import defaultdict, deque
from collections.abc import Callable, Collection, Iterable, Mapping
from functools import partial
from typing import Any

from geraniumtrack import logs
from geraniumtrack.jobs.policy import PolicySettings
from geraniumtrack.jobs.runs.run_tracker import STOP_RETRY_INTERVAL_S
from geraniumtrack.jobs.runs.sent_orders import StopReason
from geraniumtrack.jobs.runs.worker_port import StartOutcome
from geraniumtrack.jobs.runs.worker_session import WorkerSession
from geraniumtrack.jobs.scheduling.pass_steps import PassOutcome
from geraniumtrack.jobs.scheduling.placement import AvailableWorker
from geraniumtrack.jobs.scheduling.preemption import Preemption, choose_preemptions
from geraniumtrack.jobs.scheduling.victims import PoolRun, run_times
from geraniumtrack.jobs.state.jobs_state import JobRecord, JobsState, Task, TaskPhase
from geraniumtrack.jobs.state.model import JobQueue, TaskId
from geraniumtrack.metrics import metrics

__all__ = ["Preempter", "ended_runs"]

# Between two choices for the same pool: passes follow each other within milliseconds under load,
# and a choice takes milliseconds itself. It is just below the interval of the owner's ticks.
CHOICE_INTERVAL_S = 0.09
MAX_SHARE_PER_S = 0.1  # of a pool's runs that are stopped in a second, at least one run
MIN_REPORTING_SHARE = 0.8  # of a pool's workers; a new owner knows too little before
# A job keeps its claim to the room for this long after the stop grace. An answered stop shows in a
# report at once; a lost one is repeated after STOP_RETRY_INTERVAL_S.
CLAIM_MARGIN_S = 1.0

Run = tuple[TaskId, int]


class Preempter:
    """Stops the runs that `preemption` chooses, and follows the stops.

    Args:
        seconds: Returns the time in seconds of a monotonic clock.
        state: Returns the replicated state.
        sessions: Returns the owner's sessions by worker id.
        policy: Settings of the scheduling policy.
    """

    def __init__(
        self,
        seconds: Callable[[], float],
        *,
        state: Callable[[], JobsState],
        sessions: Callable[[], Mapping[str, WorkerSession]],
        policy: PolicySettings,
    ) -> None:
        self._seconds = seconds
        self._state = state
        self._sessions = sessions
        self._policy = policy
        self._chosen_at: dict[str, float] = {}
        self._stopping: dict[Run, WorkerSession] = {}
        self._preempted: dict[TaskId, int] = {}  # number of the last preempted run
        self._claims: dict[str, float] = {}  # clock value in s at which it ends, by job id
        self._stop_times: dict[str, deque[float]] = defaultdict(deque)  # by pool
        self._reporting_pools: set[str] = set()

    def claims(self) -> Collection[str]:
        """Returns the ids of the jobs for which runs were stopped a moment ago."""
        return self._claims.keys()

    def handle_pass(
        self,
        workers: Mapping[str, list[AvailableWorker]],
        last_pass: PassOutcome,
        *,
        ended: Collection[Run],
        now: float,
    ) -> None:
        """Stops runs for steps that a pass left unplaced, and repeats stops without effect.

        Args:
            workers: The available workers by pool, after the pass.
            last_pass: What the pass left unplaced.
            ended: Runs whose end is being committed.
            now: Wall-clock time in seconds.
        """
        clock = self._seconds()
        self._follow_stops(clock)
        pool = self._due_pool(last_pass, clock)
        if pool is None:
            return
        self._chosen_at[pool] = clock
        for preemption in choose_preemptions(
            [item for item in last_pass.unplaced if item.ready_step.queue.pool == pool],
            partial(self._runs, workers[pool], ended, clock),
            last_pass=last_pass,
            policy=self._policy,
            now=now,
            limit=self._limit(pool, workers[pool], clock),
        ):
            self._execute(pool, preemption, clock)

    def _due_pool(self, last_pass: PassOutcome, clock: float) -> str | None:
        """Returns the pool with unplaced steps for which runs were chosen least recently, if due.

        One pool in a pass keeps passes short.
        """
        pools = {item.ready_step.queue.pool for item in last_pass.unplaced}
        due = [
            (chosen_at, pool)
            for pool in pools
            if (chosen_at := self._chosen_at.get(pool, -CHOICE_INTERVAL_S))
            <= clock - CHOICE_INTERVAL_S
            and self._reports_suffice(pool)
        ]
        return min(due)[1] if due else None

    def _follow_stops(self, clock: float) -> None:
        """Forgets the stops of runs or jobs that have ended, and repeats the others.

        A stop whose worker does not answer is forgotten too: the job that needs the room can't wait
        for it, and a run that the stop did not reach goes on. That of a gang member is kept, since
        the others may have been stopped and the gang starts again only as a whole.
        """
        active = self._state().active
        for (task_id, run), session in list(self._stopping.items()):
            task = self._state().task(task_id)
            # The stop of an ended job must not be replaced by one that is repeated less often.
            ended = task_id.job not in active or not _is_assigned(task, run)
            current = self._sessions().get(session.worker.id) is session
            if ended or not current or (session.down and not self._state().step_of(task).gang):
                del self._stopping[task_id, run]
            else:
                session.stop(
                    task_id, run, StopReason.PREEMPTED, again_after_s=STOP_RETRY_INTERVAL_S
                )
        if self._claims:
            self._claims = {job: end for job, end in self._claims.items() if end > clock}
        if self._preempted:
            self._preempted = {
                task_id: run for task_id, run in self._preempted.items() if task_id.job in active
            }

    def _reports_suffice(self, pool: str) -> bool:
        """Whether this owner has had reports of most of a pool's workers."""
        if pool in self._reporting_pools:
            return True
        sessions = self._sessions()
        known = [worker.id for worker in self._state().workers.values() if worker.pool == pool]
        reported = sum(name in sessions and sessions[name].reported for name in known)
        if reported >= MIN_REPORTING_SHARE * len(known):
            self._reporting_pools.add(pool)
            return True
        return False

    def _limit(self, pool: str, workers: list[AvailableWorker], clock: float) -> int:
        """Returns how many runs of a pool may be stopped now."""
        times = self._stop_times[pool]
        while times and times[0] <= clock - 1.0:
            times.popleft()
        assigned = self._state().assigned
        runs = sum(len(assigned.get(available.worker.id, ())) for available in workers)
        return max(1, int(runs * MAX_SHARE_PER_S)) - len(times)

    def _runs(
        self, workers: list[AvailableWorker], ended: Collection[Run], clock: float
    ) -> list[PoolRun]:
        """Returns the runs on workers."""
        state, sessions = self._state(), self._sessions()
        found = []
        for available in workers:
            session = sessions[available.worker.id]
            for task in state.assigned.get(available.worker.id, {}).values():
                record = state.jobs[task.id.job]
                queue = state.queues.get(record.job.queue)
                if queue is not None:
                    found.append(self._run(task, record, queue, available, session, ended, clock))
        return found

    def _run(
        self,
        task: Task,
        record: JobRecord,
        queue: JobQueue,
        available: AvailableWorker,
        session: WorkerSession,
        ended: Collection[Run],
        clock: float,
    ) -> PoolRun:
        step = record.job.steps[task.id.step]
        order = session.sent_starts.get(task.id)
        known = (
            order is not None and order.run == task.run and order.outcome is StartOutcome.STARTED
        )
        # An earlier owner's run started at an unknown time before the session was opened.
        started_at = order.answered_at if known else session.opened_at
        remaining_s, lost_s = run_times(
            step,
            available,
            elapsed_s=clock - started_at,
            resumed=known and bool(order.checkpoint),
            policy=self._policy,
        )
        key = (task.id, task.run)
        return PoolRun(
            task,
            step,
            record,
            queue,
            available,
            remaining_s,
            lost_s,
            may_stop=known and not self._was_preempted(task),
            leaving=key in ended or key in self._stopping or not record.active,
        )

    def _was_preempted(self, task: Task) -> bool:
        """Whether this run of a task or the one before was preempted."""
        return task.run - self._preempted.get(task.id, -1) <= 1

    def _execute(self, pool: str, preemption: Preemption, clock: float) -> None:
        run, record = preemption.run, preemption.beneficiary
        task, worker = run.task, run.available.worker
        session = self._sessions()[worker.id]
        if not session.stop(
            task.id, task.run, StopReason.PREEMPTED, again_after_s=STOP_RETRY_INTERVAL_S
        ):
            return
        self._stopping[task.id, task.run] = session
        self._preempted[task.id] = task.run
        self._stop_times[pool].append(clock)
        self._claims[record.job.id] = clock + self._policy.stop_grace_s + CLAIM_MARGIN_S
        lost_core_ms = round(run.lost_s * run.step.size.cpu)
        labels = {"reason": str(preemption.reason), "team": run.record.job.team}
        metrics.count("runs_preempted", **labels)
        metrics.count("preemption_lost_core_ms", lost_core_ms, **labels)
        logs.event(
            "run_preempted",
            job=task.id.job,
            task=".".join(map(str, task.id[1:])),
            run=task.run,
            worker=worker.id,
            pool=pool,
            team=run.record.job.team,
            reason=preemption.reason,
            beneficiary=record.job.id,
            beneficiary_team=record.job.team,
            remaining_s=round(run.remaining_s, 3),
            lost_s=round(run.lost_s, 3),
            lost_core_ms=lost_core_ms,
        )


def ended_runs(ends: Iterable[tuple[Any, tuple]], lost: Iterable[tuple]) -> set[Run]:
    """Returns the runs of which the owner commits the end or the loss.

    Args:
        ends: Sessions with rows of ended runs, see `RunTracker.take_ends`.
        lost: Rows of lost runs, see `RunTracker.take_lost`.
    """
    found = {(TaskId(*row[1]), row[2]) for _, rows in ends for row in rows}
    return found | {(TaskId(*task), run) for task, run, _ in lost}


def _is_assigned(task: Task | None, run: int) -> bool:
    return task is not None and task.phase is TaskPhase.ASSIGNED and task.run == run
