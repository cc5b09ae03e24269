"""Sends a restrictive operation to the controllers and to every entry, and reports where it holds.

A data centre is reported as in force only if every entry known there has confirmed it, or, for a
withdrawn key, if so much time has passed since the commit that no entry has authority from before.
"""

from __future__ import annotations

import queue
import threading
import time
import uuid
from concurrent.futures import ThreadPoolExecutor
from typing import Any, NamedTuple

from geraniumtrack.operator_client import OperatorClient, Unavailable

__all__ = ["EntryState", "entry_states", "report", "restrict"]

POLL_S = 0.2
POLL_TIMEOUT_S = 1.0
WAIT_S = 3.0  # for an accepted change to be in force everywhere
CONTROLLERS_S = 8.0  # for an election and a retry
DRIFT = 1.02  # bounds the clocks of entry, leader and operator against each other


class EntryState(NamedTuple):
    """What is known of one entry.

    Attributes:
        name: Its name, or its URL if it does not answer and the leader does not know it.
        data_centre: Its data centre, or an empty string.
        in_force: Whether it confirmed the operation, itself or by its version at the leader.
    """

    name: str
    data_centre: str
    in_force: bool


def restrict(
    client: OperatorClient, *, kind: str, name: str, path: str, body: dict, operation_id: str = ""
) -> tuple[int, dict[str, Any]]:
    """Sends one operation, and waits until it is in force everywhere or the time is up.

    Args:
        client: Client of the controllers and entries.
        kind: `key`, `data_centre` or `target`.
        name: What is restricted.
        path: Path of the operation at the controllers.
        body: Its body.
        operation_id: Id of the operation; a new one if empty.

    Returns:
        Status and reply of the controllers, with `operation_id` and `data_centres` added: by name,
        `in_force` and `reason`. The status is 0 if no controller that leads could be reached.
    """
    operation_id = operation_id or uuid.uuid4().hex
    wanted = {"operation_id": operation_id, "kind": kind, "name": name}
    commit = _Commit(client, path, body, operation_id)
    with ThreadPoolExecutor(max_workers=16) as pool:
        list(pool.map(lambda url: _ask(client, url, "/v1/restrictions", wanted), _entries(client)))
        status, reply = commit.wait(CONTROLLERS_S)
        committed_at = time.monotonic()
        if status not in (0, 200):
            return status, {**reply, "operation_id": operation_id}
        version = reply.get("version") if status == 200 else None
        names = list(client.view()["data_centres"]) if status == 200 else []
        lapses = kind == "key" and status == 200
        while True:
            answers = _poll_entries(client, pool, operation_id)
            leader = _poll_leader(client, pool) if status == 200 else {}
            freshness_s = _freshness_s(client, answers) * DRIFT
            waited = time.monotonic() - committed_at
            states = entry_states(answers, leader, version, client.cfg.entry_data_centres)
            places = report(states, names, lapsed=lapses and waited > freshness_s)
            done = bool(places) and all(place["in_force"] for place in places.values())
            if done or waited > (freshness_s + POLL_S if lapses else WAIT_S):
                return status, {**reply, "operation_id": operation_id, "data_centres": places}
            time.sleep(POLL_S)


def report(
    entries: list[EntryState], data_centres: list[str], *, lapsed: bool = False
) -> dict[str, dict[str, Any]]:
    """Tells for each data centre whether an operation is in force there.

    Args:
        entries: All entries known.
        data_centres: All data centres known.
        lapsed: Whether every authority from before the operation has lapsed.
    """
    strangers = [entry.name for entry in entries if not entry.data_centre]
    homes = {entry.data_centre for entry in entries if entry.data_centre}
    places = {}
    for home in sorted({*data_centres, *homes}):
        members = [entry for entry in entries if entry.data_centre == home]
        missing = [entry.name for entry in members if not entry.in_force] + strangers
        if lapsed:
            place = (True, "older authority has lapsed")
        elif missing:
            place = (False, f"not confirmed by {', '.join(sorted(missing))}")
        elif not members:
            place = (False, "no entry is known there")
        else:
            place = (True, "confirmed by every entry")
        places[home] = {"in_force": place[0], "reason": place[1]}
    return places


def entry_states(
    answers: dict[str, dict[str, Any]],
    leader: dict[str, Any],
    version: int | None,
    homes: dict[str, str],
) -> list[EntryState]:
    """Combines what entries say themselves with what the leader knows of them.

    Args:
        answers: Status by URL of each entry; empty if it does not answer.
        leader: Status of the leader; empty if it is not known.
        version: Version of the view that contains the operation; None if it is not known.
        homes: Data centres of entries by URL, as far as they are in the settings.
    """
    states = []
    for answer in answers.values():
        if answer:
            contained = version is not None and answer["version"] >= version
            in_force = contained or answer["operation_in_force"]
            states.append(EntryState(answer["name"], answer["data_centre"], in_force))
    answered = {state.name for state in states}
    versions = leader.get("entries", {})
    known = [
        EntryState(name, home, version is not None and versions.get(name, 0) >= version)
        for name, home in leader.get("entry_data_centres", {}).items()
        if name not in answered
    ]
    silent = [url for url, answer in answers.items() if not answer]
    return states + known + _unknown(silent, known, homes)


def _unknown(silent: list[str], known: list[EntryState], homes: dict[str, str]) -> list[EntryState]:
    """Returns the silent entries that the leader does not know either.

    The leader knows names, not URLs. If more entries of a data centre are silent than it knows
    there, each of them may be the unknown one.
    """
    unknown = []
    for home in {homes.get(url, "") for url in silent}:
        urls = [url for url in silent if homes.get(url, "") == home]
        matched = [state for state in known if home in ("", state.data_centre)]
        if len(urls) > len(matched):
            unknown += [EntryState(url, home, False) for url in urls]
    return unknown


class _Commit:
    """Commits the operation in a thread that does not keep the process alive."""

    def __init__(self, client: OperatorClient, path: str, body: dict, operation_id: str) -> None:
        self._results: queue.Queue = queue.Queue()
        arguments = (client, path, body, operation_id)
        threading.Thread(target=self._run, args=arguments, daemon=True).start()

    def wait(self, timeout_s: float) -> tuple[int, dict[str, Any]]:
        """Returns status and reply, or status 0 if there is none in time."""
        try:
            return self._results.get(timeout=timeout_s)
        except queue.Empty:
            return 0, {"error": "unavailable", "message": "no controller that leads answers"}

    def _run(self, client: OperatorClient, path: str, body: dict, operation_id: str) -> None:
        try:
            result = client.command(path, body, operation_id=operation_id)
        except Unavailable as exc:
            result = (0, {"error": "unavailable", "message": str(exc)})
        self._results.put(result)


def _entries(client: OperatorClient) -> list[str]:
    return client.cfg.entries


def _ask(client: OperatorClient, url: str, path: str, body: dict | None = None) -> dict[str, Any]:
    method = "GET" if body is None else "POST"
    status, reply = client.ask(url, method, path, body, timeout_s=POLL_TIMEOUT_S)
    return reply if status == 200 else {}


def _poll_entries(
    client: OperatorClient, pool: ThreadPoolExecutor, operation_id: str
) -> dict[str, dict[str, Any]]:
    path = f"/v1/status?operation_id={operation_id}"
    answers = pool.map(lambda url: _ask(client, url, path), _entries(client))
    return dict(zip(_entries(client), answers, strict=True))


def _poll_leader(client: OperatorClient, pool: ThreadPoolExecutor) -> dict[str, Any]:
    answers = pool.map(lambda url: _ask(client, url, "/v1/status"), client.cfg.controllers)
    return next((answer for answer in answers if answer.get("role") == "leader"), {})


def _freshness_s(client: OperatorClient, answers: dict[str, dict[str, Any]]) -> float:
    said = [answer["key_freshness_s"] for answer in answers.values() if answer]
    return max([client.cfg.key_freshness_s, *said])
