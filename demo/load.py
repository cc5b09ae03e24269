"""Closed-loop load: callers of several teams, each sending one request after the other."""

from __future__ import annotations

import http.client
import itertools
import json
import threading
import time
from typing import Any, NamedTuple

from standins.cluster import Cluster

__all__ = ["CompletedRequest", "Load"]

TASK_S = 0.05  # run time of each task
TIMEOUT_S = 8  # deadline of each request
CLIENT_MARGIN_S = 10  # by which a caller waits longer than the deadline
PAUSE_S = 0.02  # of a caller between its requests


class CompletedRequest(NamedTuple):
    """One request and its result.

    Attributes:
        phase: Phase in which it was sent.
        team: Team that sent it.
        seconds: Time from sending it to its result.
        outcome: `complete`; `incomplete` if the answer is missing or truncated; or the reason or
            HTTP status of a refusal.
    """

    phase: str
    team: str
    seconds: float
    outcome: str


class Load:
    """Callers that send requests to the entries in turn while the context is active.

    Args:
        cluster: Cluster that receives the requests.
        keys: Key of each team.
        callers: Number of callers of each team.
        phase: Name of the first phase; set the attribute `phase` when another one begins.

    Attributes:
        phase: Name of the current phase.
        completed: Requests that ended so far.
    """

    def __init__(self, cluster: Cluster, keys: dict[str, str], *, callers: int, phase: str) -> None:
        self.phase = phase
        self.completed: list[CompletedRequest] = []
        self._cluster = cluster
        self._running = True
        self._numbers = itertools.count(1)
        self._threads = [
            threading.Thread(target=self._run_caller, args=(team, key), daemon=True)
            for team, key in keys.items()
            for _ in range(callers)
        ]

    def __enter__(self) -> Load:
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *exc: Any) -> None:
        self._running = False
        for thread in self._threads:
            thread.join(TIMEOUT_S + CLIENT_MARGIN_S)

    def _run_caller(self, team: str, key: str) -> None:
        while self._running:
            number = next(self._numbers)
            entry = self._cluster.entries[number % len(self._cluster.entries)]
            queue, path = ("wholesale", "order") if number % 5 == 0 else ("proofs", "proof")
            phase, started = self.phase, time.monotonic()
            outcome = self._send(entry, key, f"/v1/queues/{queue}/{path}/{number}")
            self.completed.append(
                CompletedRequest(phase, team, time.monotonic() - started, outcome)
            )
            time.sleep(PAUSE_S)

    def _send(self, entry: str, key: str, path: str) -> str:
        """Sends one request; returns its outcome."""
        headers = {"Authorization": f"Bearer {key}", "Request-Timeout": str(TIMEOUT_S)}
        body = json.dumps({"seconds": TASK_S}).encode()
        conn = http.client.HTTPConnection(
            "127.0.0.1", self._cluster.http_ports[entry], timeout=TIMEOUT_S + CLIENT_MARGIN_S
        )
        try:
            conn.request("POST", path, body, headers)
            response = conn.getresponse()
            answer = json.loads(response.read())
        except (OSError, ValueError, http.client.HTTPException):
            return "incomplete"
        finally:
            conn.close()
        if response.status == 200:
            return "complete" if {"target", "task"} <= answer.keys() else "incomplete"
        return str(answer.get("error", response.status))
