"""Decodes the reports of workers: their answers to holds, with running tasks and run ends.

A row that cannot be read does not hide the others, because a worker whose reports are refused
counts as lost.
"""

from __future__ import annotations

import functools
from collections.abc import Callable
from typing import Any, NamedTuple

import orjson

from geraniumtrack.jobs.runs.worker_port import RunningTask, WorkerReport
from geraniumtrack.jobs.state.model import EndKind, RunEnd, TaskId
from geraniumtrack.platform.json_list import describe_row
from geraniumtrack.platform.wire import DECODE_ERRORS, InvalidBody

__all__ = ["UnreadableRow", "decode_worker_report", "encode_task_id"]

MAX_REPORTED_ENDS = 500  # a worker with more run ends lists them in later reports
MAX_TASK_ID_CHARS = 100  # 16 digits and three numbers are less
MAX_CACHED_TASK_IDS = 16_384  # each report names the running tasks again
MAX_WHOLE = 10**15  # far above any count of runs and any time in ms

_END_KINDS = {
    "done": EndKind.DONE,
    "failed": EndKind.FAILED,
    "stopped": EndKind.STOPPED,
    "lapsed": EndKind.LEASE_LAPSED,
    "broken": EndKind.GANG_BROKEN,
    "alone": EndKind.GANG_ALONE,
}


class UnreadableRow(NamedTuple):
    """A row of a worker's report that was left out or read in part.

    Attributes:
        end_number: Number of the run end if it was left out and its number can be read, else 0.
        left_out_end: Whether a run end was left out.
        detail: The row and what is wrong with it.
    """

    end_number: int
    left_out_end: bool
    detail: str


def decode_worker_report(
    body: bytes, on_unreadable: Callable[[UnreadableRow], None] = lambda row: None
) -> WorkerReport:
    """Decodes a worker's answer to a hold; leaves out the rows that cannot be decoded.

    A run is left out only if its task or number cannot be read; the report is then incomplete, as
    it is with as many run ends as one report can list. Other fields that cannot be read get their
    default.

    Args:
        body: The answer.
        on_unreadable: Called with each row that is left out or read in part.

    Raises:
        InvalidBody: If the body cannot be decoded apart from single rows.
    """
    try:
        report = orjson.loads(body)
        running = _decode_rows(report["running"], _decode_running_task, on_unreadable)
        ends = _decode_rows(report["endedRuns"], _decode_run_end, on_unreadable)
        listed = len(running) == len(report["running"])
        return WorkerReport(
            _whole(report["clockMs"]),
            running,
            ends,
            born=_whole(report.get("born", 0)),
            complete=listed and len(report["endedRuns"]) < MAX_REPORTED_ENDS,
        )
    except DECODE_ERRORS as exc:
        raise InvalidBody(f"the worker's report cannot be decoded: {exc!r}") from exc


def encode_task_id(task: TaskId) -> str:
    """Returns a task id as the platform writes it: `job.occurrence.step.index`."""
    return f"{task.job}.{task.occurrence}.{task.step}.{task.index}"


@functools.lru_cache(maxsize=MAX_CACHED_TASK_IDS)
def _decode_task_id(name: str) -> TaskId:
    job, occurrence, step, index = name.split(".")
    task = TaskId(job, int(occurrence), int(step), int(index))
    if encode_task_id(task) != name or len(name) > MAX_TASK_ID_CHARS:
        raise ValueError(f"task id {name!r} is not in the form that orders have")
    return task


def _decode_rows(
    rows: list, decode: Callable[[list], tuple], on_unreadable: Callable[[UnreadableRow], None]
) -> tuple:
    """Decodes the rows of a list.

    `decode` returns a row, and the text of an error if the row was read only in part.
    """
    if not isinstance(rows, list):
        raise TypeError(f"{type(rows).__name__} instead of a list of rows")
    decoded = []
    for row in rows:
        try:
            value, error = decode(row)
            decoded.append(value)
            if error:
                on_unreadable(UnreadableRow(0, False, describe_row(row, error)))
        except DECODE_ERRORS as exc:
            is_end = decode is _decode_run_end
            number = row[0] if is_end and isinstance(row, list) and row else 0
            number = number if type(number) is int else 0
            on_unreadable(UnreadableRow(number, is_end, describe_row(row, repr(exc))))
    return tuple(decoded)


def _decode_running_task(row: list) -> tuple[RunningTask, str]:
    """Decodes task id, run, checkpoint, pace in percent and, if present, the metric."""
    name, run, *rest = row
    task, run = _decode_task_id(name), _whole(run)
    checkpoint, error = _decode_checkpoint(rest[0] if rest else None)
    percent, metric = rest[1] if len(rest) > 1 else None, rest[2] if len(rest) > 2 else 0
    if not isinstance(percent, int | float):
        percent, error = 0, "no percent"
    if not isinstance(metric, int | float):
        metric, error = 0, "no figure of the last half second"
    return RunningTask(task, run, checkpoint, int(percent), metric), error


def _decode_run_end(row: list) -> tuple[RunEnd, str]:
    """Decodes the number of a run end, its task id, run, kind and checkpoint."""
    number, name, run, kind, *rest = row
    checkpoint, error = _decode_checkpoint(rest[0] if rest else None)
    task = _decode_task_id(name)
    end = RunEnd(_whole(number), task, _whole(run), _END_KINDS[kind], checkpoint)
    return end, error


def _whole(value: Any) -> int:
    """Returns a count, number or time in ms of a report; raises an error if it can't be one.

    A number out of range would stay in the state, and the orders with it can't be encoded.
    """
    if type(value) is not int:
        raise TypeError(f"{type(value).__name__} instead of a whole number")
    if not 0 <= value <= MAX_WHOLE:
        raise ValueError(f"{value} is not from 0 to {MAX_WHOLE}")
    return value


def _decode_checkpoint(value: Any) -> tuple[str, str]:
    """Returns a checkpoint, empty if there is none, and an error if it cannot be read."""
    if value is None or isinstance(value, str):
        return value or "", ""
    return "", "the checkpoint is not a string"
