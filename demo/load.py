"""Callers of several teams, each sending one request after the other to the entries in turn."""

from __future__ import annotations

import http.client
import itertools
import json
import threading
import time
from typing import Any, NamedTuple

from standins.cluster import Cluster

__all__ = ["Load", "Sent"]

TASK_S = 0.05
TIMEOUT_S = 8  # the deadline that each request carries
CLIENT_MARGIN_S = 10
PAUSE_S = 0.02


class Sent(NamedTuple):
    """One request: `outcome` is `whole`, `cut` or the reason of a refusal."""

    phase: str
    team: str
    seconds: float
    outcome: str


class Load:
    """A closed loop of callers.

    Args:
        cluster: Where to send.
        keys: Key of each team.
        callers: Callers of each team.
        phase: Name of the first phase; the owner sets `phase` when another begins.
    """

    def __init__(self, cluster: Cluster, keys: dict[str, str], *, callers: int, phase: str) -> None:
        self.phase = phase
        self.sent: list[Sent] = []
        self._cluster = cluster
        self._running = True
        self._numbers = itertools.count(1)
        self._threads = [
            threading.Thread(target=self._call, args=(team, key), daemon=True)
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

    def _call(self, team: str, key: str) -> None:
        while self._running:
            number = next(self._numbers)
            entry = self._cluster.entries[number % len(self._cluster.entries)]
            queue, path = ("wholesale", "order") if number % 5 == 0 else ("proofs", "proof")
            phase, started = self.phase, time.monotonic()
            outcome = self._send(entry, key, f"/v1/queues/{queue}/{path}/{number}")
            self.sent.append(Sent(phase, team, time.monotonic() - started, outcome))
            time.sleep(PAUSE_S)

    def _send(self, entry: str, key: str, path: str) -> str:
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
            return "cut"
        finally:
            conn.close()
        if response.status == 200:
            return "whole" if {"target", "task"} <= answer.keys() else "cut"
        return str(answer.get("error", response.status))
