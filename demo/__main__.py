"""Starts a cluster of separate processes, sends requests of three teams and prints a table.

While the load runs, one data centre is taken out of service and brought back.
"""

from __future__ import annotations

import sys
import tempfile
import time
from pathlib import Path

from demo.load import Load, Sent
from examples.brazos_bend import fleet
from geraniumtrack.cli_output import table
from standins.cluster import Cluster, Plan

TEAMS = ("acme", "burr-oak", "cedar")
CALLERS_PER_TEAM = 6
TAKEN_OUT = "dc2"
PHASES = (("before", 6.0), ("out of service", 10.0), ("back", 8.0))  # with seconds
STARTS_AFTER_S = 3.0  # the design's bound on starts after a take-out
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
        time.sleep(2)  # for the keys to be in force and the first slots to be allotted
        with Load(cluster, keys, callers=CALLERS_PER_TEAM, phase=PHASES[0][0]) as load:
            out_at, back_at = _run_phases(cluster, load)
        starts = _read_starts(cluster.record)
        print(cluster.command("status", "--operator", cluster.operator_file))
    _print_table(load.sent)
    return _check(load.sent, starts, out_at, back_at)


def _run_phases(cluster: Cluster, load: Load) -> tuple[float, float]:
    """Lets the load run, with the data centre out of service in the middle.

    Returns:
        Wall clock times at which the take-out was accepted and the return was asked for; the
        return is in force before its command ends.
    """
    time.sleep(PHASES[0][1])
    cluster.command("take-out", TAKEN_OUT, "--operator", cluster.operator_file)
    out_at = time.time()
    load.phase = PHASES[1][0]
    time.sleep(PHASES[1][1])
    back_at = time.time()
    cluster.command("bring-back", TAKEN_OUT, "--operator", cluster.operator_file)
    load.phase = PHASES[2][0]
    time.sleep(PHASES[2][1])
    return out_at, back_at


def _read_starts(record: Path) -> list[tuple[float, str, str]]:
    lines = [line.split() for line in record.read_text().splitlines()]
    return [(float(at), data_centre, path) for at, data_centre, _target, path in lines]


def _print_table(sent: list[Sent]) -> None:
    rows = []
    for phase, _ in PHASES:
        for team in TEAMS:
            rows.append(_row(phase, team, [s for s in sent if (s.phase, s.team) == (phase, team)]))
    rows.append(_row("all", "all", sent))
    print(table(("phase", "team", "requests", "whole", "refused", "cut", "p50 ms", "p99 ms"), rows))
    reasons: dict[str, int] = {}
    for one in sent:
        if one.outcome not in ("whole", "cut"):
            reasons[one.outcome] = reasons.get(one.outcome, 0) + 1
    print(f"refused by reason: {reasons or 'none'}")


def _row(phase: str, team: str, sent: list[Sent]) -> tuple:
    whole = sorted(s.seconds for s in sent if s.outcome == "whole")
    cut = sum(s.outcome == "cut" for s in sent)
    p50, p99 = (f"{_quantile(whole, q) * MS:.0f}" if whole else "-" for q in (0.5, 0.99))
    return phase, team, len(sent), len(whole), len(sent) - len(whole) - cut, cut, p50, p99


def _quantile(ordered: list[float], share: float) -> float:
    return ordered[min(len(ordered) - 1, int(len(ordered) * share))]


def _check(
    sent: list[Sent], starts: list[tuple[float, str, str]], out_at: float, back_at: float
) -> int:
    late = [s for s in starts if s[1] == TAKEN_OUT and out_at + STARTS_AFTER_S < s[0] < back_at]
    paths = [path for _, _, path in starts if path.startswith("order/")]
    doubles = len(paths) - len(set(paths))
    returned = sum(dc == TAKEN_OUT and at > back_at for at, dc, _ in starts)
    answered = {s.phase for s in sent if s.outcome == "whole"}
    checks = {
        "answers cut": (sum(s.outcome == "cut" for s in sent), lambda n: n == 0),
        f"starts in {TAKEN_OUT} later than {STARTS_AFTER_S:g} s after the take-out": (
            len(late),
            lambda n: n == 0,
        ),
        "non-idempotent requests started": (len(set(paths)), lambda n: n > 0),
        "doubles of non-idempotent requests": (doubles, lambda n: n == 0),
        f"starts in {TAKEN_OUT} after its return": (returned, lambda n: n > 0),
        "phases with whole answers": (len(answered), lambda n: n == len(PHASES)),
    }
    failed = 0
    for name, (value, holds) in checks.items():
        failed += not holds(value)
        print(f"{'ok' if holds(value) else 'FAILED':6}  {name}: {value}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
