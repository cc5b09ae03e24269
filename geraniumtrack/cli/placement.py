"""The command that tells where a job would go now, and why."""

from __future__ import annotations

import json
from collections import Counter, defaultdict
from collections.abc import Iterator
from typing import Any

from geraniumtrack.cli.operator_client import OperatorClient, Unavailable
from geraniumtrack.cli.output import command, finish, table
from geraniumtrack.errors import SettingsError

__all__ = ["PlacementCommands", "placement_text"]

MAX_ROWS = 10  # of a table; --json prints all
REMEDIES = {
    404: "give the name of a queue of the configuration",
    410: "give the id of a job that has not ended, the last part of its path",
    429: "wait a second and try again",
}
WAITS = {
    "advice": "a permission of the policy service",
    "due_time": "their due time",
    "earlier_steps": "the steps before",
    "gang_room": "room for all tasks at the same time",
    "local_slot": "a slot on rack {rack}",
    "own_worker": "a worker of their own, as workers crashed under them",
    "room": "room on a worker that may run them",
    "team_cap": "their team, which is at its limit",
    "workers": "workers, as none of the pool accepts tasks",
}


class PlacementCommands:
    """Queries about the placement of jobs."""

    @command
    def where(
        self,
        *,
        operator: str,
        queue: str = "",
        team: str = "",
        steps: str = "",
        job: str = "",
        json: bool = False,
    ) -> None:
        """Prints where a job would go now and why; nothing is submitted or changed.

        Args:
            operator: Path of the operator's settings file, with the internal ports of the core
                programs as controllers.
            queue: Name of the queue.
            team: Name of the team; by default callers without a key.
            steps: Sizes of the steps, separated by semicolons: tasks, thousandths of a core, memory
                and duration of each, for example 8x2000m/100MB/0.8s. The flags that the log shows
                may follow, for example ",label=gpu". Each step depends on the one before it.
            job: Id of a waiting job, instead of queue, team and steps.
            json: Print JSON instead of tables.
        """
        body = _body(queue, team, steps, job)
        status, reply = OperatorClient.from_file(operator).placement(body)
        if status == 503:
            raise Unavailable(
                f"no owner answers: {reply.get('message') or 'not ready'}",
                remedy="check that a majority of the core programs runs, and try again",
            )
        if status != 200:
            remedy = REMEDIES.get(status)
            message = reply.get("message") or f"status {status}"
            finish((status, {**reply, "message": f"{message}; {remedy}" if remedy else message}))
        print(_json_text(reply) if json else placement_text(reply))


def _body(queue: str, team: str, steps: str, job: str) -> dict[str, str]:
    """Returns the body of the request; raises SettingsError if the arguments make no query."""
    if job:
        if queue or team or steps:
            raise SettingsError(
                "--job was given with --queue, --team or --steps", remedy="give one or the other"
            )
        return {"job": job}
    if not (queue and steps):
        raise SettingsError("the job is not described", remedy="give --queue and --steps, or --job")
    from geraniumtrack.jobs.calls.job_steps import parse_steps

    try:
        parse_steps(steps)
    except ValueError as exc:
        raise SettingsError(str(exc), remedy="see `geraniumtrack where --help`") from exc
    return {"queue": queue, "team": team, "steps": steps}


def placement_text(report: dict[str, Any]) -> str:
    """Formats the answer to a query as paragraphs and tables."""
    parts = [_summary(report), *(part for step in report["steps"] for part in _step_parts(step))]
    return "\n\n".join(parts)


def _summary(report: dict[str, Any]) -> str:
    seen, refusal = report["seen"], report["refusal"]
    rate = "within" if report["within_rate"] else "beyond"
    admitted = "admitted"
    if refusal is not None:
        admitted = (
            f"REFUSED, {refusal['reason']}: {refusal['work_ahead']:.1f} core-seconds ahead,"
            f" {refusal['capacity']:.1f} cores, retry after {refusal['retry_after_s']:.1f} s"
        )
    ages = "no reports"
    if seen["workers_reported"]:
        ages = f"reports {seen['newest_report_s']} to {seen['oldest_report_s']} s old"
    lines = [
        f"queue {report['queue']}, team {report['team'] or '-'}, pool {report['pool']}",
        f"admission: {admitted}; {rate} the team's rate",
        f"seen: configuration {seen['version']}, {seen['workers_reported']} workers, {ages},"
        f" speeds and durations {seen['estimates_s']} s old",
        _quota_line(report),
    ]
    lines += _order_lines(report["order"])
    return "\n".join(lines)


def _quota_line(report: dict[str, Any]) -> str:
    used, cap, share = report["quota"]["used"], report["quota"]["cap"], report["share"]
    limits = "no cap" if cap is None else f"cap {_resources(cap, unlimited='any')}"
    text = f"team: uses {_resources(used)}, {limits}"
    if share["used"] is not None:
        text += f", share {share['used']:.3f} of the pool"
    return text + (f", weight {share['weight']:g}" if share["weight"] is not None else "")


def _resources(amounts: dict[str, int], unlimited: str = "0") -> str:
    names = (("cpu", "m"), ("memory_mb", " MB"), ("accelerators", " accelerators"))
    return " ".join(f"{amounts[name] or unlimited}{unit}" for name, unit in names)


def _order_lines(order: dict[str, Any]) -> list[str]:
    if order["position"] is None:
        return ["order: none of its steps may start yet"]
    ahead = order["position"] - 1
    lines = [f"order: position {order['position']} ({order['class']}), {ahead} steps ahead"]
    if ahead:
        names = ("job", "step", "team", "queue", "class", "waiting")
        rows = [[row[name] for name in names] for row in order["ahead"][:MAX_ROWS]]
        lines += ["", table(names, rows), *_left_out(ahead)]
    return lines


def _step_parts(step: dict[str, Any]) -> Iterator[str]:
    started = len(step["starts"])
    text = f"step {step['step']}: {started} of {step['waiting']} waiting tasks start"
    if step["waits_for"]:
        text += f"; the others wait for {WAITS[step['waits_for']].format(rack=step['rack'])}"
    if step["expected_s"] is not None:
        text += f", expected in {step['expected_s']} s"
    yield text
    if step["starts"]:
        tasks: dict[str, list[dict]] = defaultdict(list)
        for start in step["starts"]:
            tasks[start["worker"]].append(start)
        rows = [
            (worker, starts[0]["rack"], len(starts), _cost(starts[0]["cost"]))
            for worker, starts in tasks.items()
        ]
        yield _table(("chosen worker", "rack", "tasks", "cost for the first of them"), rows)
    others = [
        (row["worker"], row["rack"], _cost(row["cost"]))
        for row in step["candidates"]
        if row["worker"] not in {start["worker"] for start in step["starts"]}
    ]
    if others:
        yield _table(("other candidate", "rack", "cost for the first task"), others)
    if step["rejected"]:
        yield _rejected_table(step["rejected"])


def _rejected_table(rejected: list[dict[str, Any]]) -> str:
    """Formats the rejected workers, one row for each reason."""
    counts = Counter(row["reason"] for row in rejected)
    rows = []
    for reason, count in counts.most_common():
        names = [row["worker"] for row in rejected if row["reason"] == reason]
        shown = " ".join(names[:MAX_ROWS]) + (" ..." if count > MAX_ROWS else "")
        rows.append((reason, count, shown))
    return table(("rejected because", "workers", "ids"), rows)


def _cost(components: dict[str, float]) -> str:
    return " ".join(f"{name}={value:g}" for name, value in components.items()) or "-"


def _table(headings: tuple[str, ...], rows: list[tuple]) -> str:
    return "\n".join([table(headings, rows[:MAX_ROWS]), *_left_out(len(rows))])


def _left_out(count: int) -> list[str]:
    return [f"... {count - MAX_ROWS} more"] if count > MAX_ROWS else []


def _json_text(body: Any) -> str:
    return json.dumps(body, indent=2)
