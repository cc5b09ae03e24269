"""Benchmarks controllers as real processes with real files: commits, failover, recovery, idle load.

Run as `python -m bench.consensus NAME`, where NAME is `commits`, `failover`, `recovery`, `idle` or
`all`.
"""

from __future__ import annotations

import os
import random
import tempfile
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import fire

from geraniumtrack.cli.operator_client import OperatorClient
from geraniumtrack.state.commands import IssueKey
from geraniumtrack.state.journal import AppendEntry, LogEntry
from geraniumtrack.state.replicated import ReplicatedState
from geraniumtrack.state.store import Store, init_folder
from standins.cluster import Cluster, Plan

CALLERS = (1, 8, 32)
CHANGES = 400  # configuration changes for each number of concurrent callers
FAILOVERS = 8
ROLE_POLL_S = 0.01  # interval of role queries during a failover
KILL_JITTER_S = 0.25  # one heartbeat interval; the leader is killed at a random time in it
IDLE_S = 10.0  # duration of the idle measurement
LOG_LENGTHS = (500, 2000, 4000)  # log entries


class Benchmarks:
    """The benchmarks of this module, one for each command."""

    def commits(self) -> None:
        """Prints latency and rate of committed changes, with and without group commit."""
        for group_commit in (True, False):
            with _cluster({"group_commit": group_commit}) as cluster:
                for callers in CALLERS:
                    _measure_commits(cluster, callers, f"group_commit={group_commit}")

    def failover(self) -> None:
        """Prints the time from SIGKILL of the leader until a change is committed again."""
        with _cluster({}) as cluster:
            times = sorted(_measure_failover(cluster) for _ in range(FAILOVERS))
        print(
            f"failover: n={FAILOVERS} min={times[0]:.2f} s"
            f" median={times[len(times) // 2]:.2f} s max={times[-1]:.2f} s"
        )

    def recovery(self) -> None:
        """Prints the time to read and apply a data folder, for several lengths of its log."""
        for length in LOG_LENGTHS:
            for snapshot in (False, True):
                _measure_recovery(length, snapshot=snapshot)

    def idle(self) -> None:
        """Prints the CPU use and the bytes sent per second of each idle controller."""
        with _cluster({}, forwarded=True) as cluster:
            time.sleep(2.0)
            before = {name: _usage(cluster, name) for name in cluster.controllers}
            time.sleep(IDLE_S)
            for name in cluster.controllers:
                cpu, sent = (
                    after - start
                    for start, after in zip(before[name], _usage(cluster, name), strict=True)
                )
                role = "leader" if _is_leader(cluster, name) else "follower"
                print(
                    f"idle {role}: cpu={100 * cpu / IDLE_S:.2f}% of a core"
                    f" sent={sent / IDLE_S:.0f} B/s"
                )

    def all(self) -> None:
        """Runs all benchmarks."""
        self.commits()
        self.failover()
        self.recovery()
        self.idle()


def _cluster(settings: dict, *, forwarded: bool = False) -> _ConfiguredCluster:
    plan = Plan(
        data_centres=("dc1", "dc2", "dc3"),
        entries_per_data_centre=0,
        pools=("proofs",),
        targets_per_pool=0,
        controller_settings=settings,
        forwarded=forwarded,
    )
    return _ConfiguredCluster(Path(tempfile.mkdtemp()), plan)


class _ConfiguredCluster(Cluster):
    """A cluster whose fleet is applied when it starts."""

    def start(self) -> None:
        super().start()
        self.apply()


def _issue_key(client: OperatorClient, number: int) -> float:
    """Commits one change; returns its latency in milliseconds."""
    began = time.monotonic()
    body = {"team": "acme", "key_id": f"key-{time.monotonic_ns()}-{number}", "digest": "00" * 32}
    status, reply = client.command("/v1/keys", body)
    if status != 200:
        raise RuntimeError(f"change rejected: {reply}")
    return (time.monotonic() - began) * 1000


def _measure_commits(cluster: Cluster, callers: int, label: str) -> None:
    leader = next(name for name in cluster.controllers if _is_leader(cluster, name))
    client = _client(cluster, leader)
    began = time.monotonic()
    with ThreadPoolExecutor(callers) as executor:
        times = sorted(executor.map(lambda number: _issue_key(client, number), range(CHANGES)))
    rate = CHANGES / (time.monotonic() - began)
    print(
        f"commits: {label} callers={callers} n={CHANGES} rate={rate:.0f}/s"
        f" p50={times[len(times) // 2]:.1f} ms p99={times[int(len(times) * 0.99)]:.1f} ms"
    )


def _client(cluster: Cluster, name: str) -> OperatorClient:
    """Returns a client that sends to one controller only."""
    url = f"http://127.0.0.1:{cluster.http_ports[name]}"
    return OperatorClient(cluster.operator.cfg.model_copy(update={"controllers": [url]}))


def _is_leader(cluster: Cluster, name: str) -> bool:
    statuses = {status.get("name"): status for status in cluster.operator.statuses()}
    return statuses.get(name, {}).get("role") == "leader"


def _measure_failover(cluster: Cluster) -> float:
    """Kills the leader; returns the seconds until a new leader has committed a change."""
    leader = next(name for name in cluster.controllers if _is_leader(cluster, name))
    others = [name for name in cluster.controllers if name != leader]
    time.sleep(random.random() * KILL_JITTER_S)
    cluster.kill(leader)
    began = time.monotonic()
    # Polls instead of using the operator client's retries: their increasing pauses would add to the
    # measured time.
    while not (leaders := [name for name in others if _is_leader(cluster, name)]):
        time.sleep(ROLE_POLL_S)
    _issue_key(_client(cluster, leaders[0]), 0)
    failover_s = time.monotonic() - began
    cluster.start_process(leader)
    cluster.wait_for(lambda: len(_versions(cluster)) == 1, "equal versions on all controllers")
    return failover_s


def _versions(cluster: Cluster) -> set:
    return {status.get("version") for status in cluster.operator.statuses()}


def _measure_recovery(length: int, *, snapshot: bool) -> None:
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        init_folder(folder, name="a", peers=["a", "b", "c"])
        store = Store(folder, name="a")
        store.recover()
        state = ReplicatedState()
        for index in range(1, length + 1):
            command = IssueKey(f"operation-{index}", f"key-{index}", "acme", bytes(32))
            state.apply(command)
            store.append([AppendEntry(LogEntry(index, 1, command))])
        if snapshot:
            store.write_snapshot(length, 1, ("a.0",), state.capture())
            store.adopt_snapshot([])
        store.close()
        began = time.monotonic()
        recovered = Store(folder, name="a").recover()
        state = (
            ReplicatedState.load(recovered.snapshot) if recovered.snapshot else ReplicatedState()
        )
        for entry in recovered.entries:
            state.apply(entry.command)
        took_ms = (time.monotonic() - began) * 1000
        size = sum(file.stat().st_size for file in folder.iterdir())
    print(f"recovery: entries={length} snapshot={snapshot} bytes={size} ms={took_ms:.1f}")


def _usage(cluster: Cluster, name: str) -> tuple[float, int]:
    """Returns a controller's CPU time in seconds, and the bytes it sent to other controllers."""
    pid = cluster.processes[name].pid
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    ticks = int(fields[11]) + int(fields[12])
    dialed = [link for pair, link in cluster.forwarders.items() if pair[0] == name]
    accepted = [link for pair, link in cluster.forwarders.items() if pair[1] == name]
    sent = sum(link.bytes_to_target for link in dialed)
    sent += sum(link.bytes_from_target for link in accepted)
    return ticks / os.sysconf("SC_CLK_TCK"), sent


if __name__ == "__main__":
    fire.Fire(Benchmarks(), name="bench.consensus")
