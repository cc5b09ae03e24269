"""Starts a cluster of separate processes, sends requests of three teams and checks the results.

While the requests are sent, one data centre is taken out of service and returned to service.
"""

from __future__ import annotations

import sys
import tempfile
import time
from pathlib import Path

from demo.load import CompletedRequest, Load
from examples.brazos_bend import fleet
from geraniumtrack.cli.output import table
from standins.cluster import Cluster, Plan

TEAMS = ("acme", "burr-oak", "cedar")
CALLERS_PER_TEAM = 6
EVACUATED = "dc2"
PHASES = (("before", 6.0), ("out of service", 10.0), ("back", 8.0))  # names, durations in seconds
START_GRACE_S = 3.0  # the design's bound on the last start after an evacuation
MS = 1000


def main() -> int:
    """Runs the demonstration.

    Returns:
        Exit code: 1 if one of the checks failed.
    """
    plan = Plan(targets_per_pool=4)
    with tempfile.TemporaryDirectory() as folder, Cluster(Path(folder), plan) as cluster:
        print(
            f"{len(cluster.controllers)} controllers, {len(cluster.entries)} entries in"
            f" {len(plan.data_centres)} data centres, {len(cluster.targets)} targets,"
            " each a process of its own on loopback"
        )
        declared = fleet()
        print(declared.to_json())
        cluster.apply(declared)
        cluster.wait_ready()
        keys = {team: cluster.issue_key(team)[1] for team in TEAMS}
        time.sleep(2)  # until the keys are active and the first slots are allotted
        with Load(cluster, keys, callers=CALLERS_PER_TEAM, phase=PHASES[0][0]) as load:
            evacuated_at, returned_at = _run_phases(cluster, load)
        starts = _read_starts(cluster.record)
        print(cluster.command("status", "--operator", cluster.operator_file))
    _print_table(load.completed)
    return _check(load.completed, starts, evacuated_at, returned_at)


def _run_phases(cluster: Cluster, load: Load) -> tuple[float, float]:
    """Waits for each phase of the load; in the middle one, the data centre is out of service.

    Returns:
        Wall clock times at which the evacuation was accepted and at which the return to service
        was requested. The earlier time is used for the return, because it takes effect before its
        command ends.
    """
    time.sleep(PHASES[0][1])
    cluster.command("take-out", EVACUATED, "--operator", cluster.operator_file)
    evacuated_at = time.time()
    load.phase = PHASES[1][0]
    time.sleep(PHASES[1][1])
    returned_at = time.time()
    cluster.command("bring-back", EVACUATED, "--operator", cluster.operator_file)
    load.phase = PHASES[2][0]
    time.sleep(PHASES[2][1])
    return evacuated_at, returned_at


def _read_starts(record: Path) -> list[tuple[float, str, str]]:
    """Returns time, data centre and path of each start that the stand-in targets recorded."""
    lines = [line.split() for line in record.read_text().splitlines()]
    return [(float(at), data_centre, path) for at, data_centre, _target, path in lines]


def _print_table(requests: list[CompletedRequest]) -> None:
    rows = []
    for phase, _ in PHASES:
        for team in TEAMS:
            rows.append(
                _row(phase, team, [r for r in requests if (r.phase, r.team) == (phase, team)])
            )
    rows.append(_row("all", "all", requests))
    print(
        table(
            ("phase", "team", "requests", "complete", "refused", "incomplete", "p50 ms", "p99 ms"),
            rows,
        )
    )
    reasons: dict[str, int] = {}
    for request in requests:
        if request.outcome not in ("complete", "incomplete"):
            reasons[request.outcome] = reasons.get(request.outcome, 0) + 1
    print(f"refused by reason: {reasons or 'none'}")


def _row(phase: str, team: str, requests: list[CompletedRequest]) -> tuple:
    latencies = sorted(r.seconds for r in requests if r.outcome == "complete")
    incomplete = sum(r.outcome == "incomplete" for r in requests)
    p50, p99 = (f"{_quantile(latencies, q) * MS:.0f}" if latencies else "-" for q in (0.5, 0.99))
    return (
        phase,
        team,
        len(requests),
        len(latencies),
        len(requests) - len(latencies) - incomplete,
        incomplete,
        p50,
        p99,
    )


def _quantile(ordered: list[float], fraction: float) -> float:
    return ordered[min(len(ordered) - 1, int(len(ordered) * fraction))]


def _check(
    requests: list[CompletedRequest],
    starts: list[tuple[float, str, str]],
    evacuated_at: float,
    returned_at: float,
) -> int:
    """Prints the verdict of each check.

    Returns:
        Exit code: 1 if a check failed.
    """
    late = [
        s for s in starts if s[1] == EVACUATED and evacuated_at + START_GRACE_S < s[0] < returned_at
    ]
    paths = [path for _, _, path in starts if path.startswith("order/")]
    duplicates = len(paths) - len(set(paths))
    after_return = sum(dc == EVACUATED and at > returned_at for at, dc, _ in starts)
    answered_phases = {r.phase for r in requests if r.outcome == "complete"}
    checks = {
        "incomplete answers": (sum(r.outcome == "incomplete" for r in requests), lambda n: n == 0),
        f"starts in {EVACUATED} later than {START_GRACE_S:g} s after the take-out": (
            len(late),
            lambda n: n == 0,
        ),
        "non-idempotent requests started": (len(set(paths)), lambda n: n > 0),
        "duplicate starts of non-idempotent requests": (duplicates, lambda n: n == 0),
        f"starts in {EVACUATED} after its return": (after_return, lambda n: n > 0),
        "phases with complete answers": (len(answered_phases), lambda n: n == len(PHASES)),
    }
    failed = 0
    for name, (value, holds) in checks.items():
        failed += not holds(value)
        print(f"{'ok' if holds(value) else 'FAILED':6}  {name}: {value}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
