"""Sends a restriction to the controllers and to every entry, and reports where it is in force.

A restriction withdraws a key, takes a data centre out of service or drains a target. It is reported
as in force in a data centre only if every entry known there has confirmed it. A withdrawn key is
also reported so once no entry can have authority from before the commit, because entries accept
keys only on authority that is not older than `key_freshness_s`. Authority is the confirmation of an
entry's session by a leader; see `coordination.limits.authority`.
"""

from __future__ import annotations

import queue
import threading
import time
import uuid
from concurrent.futures import ThreadPoolExecutor
from typing import Any, NamedTuple

from geraniumtrack.cli.operator_client import OperatorClient, Unavailable
from geraniumtrack.errors import GeraniumtrackError

__all__ = ["EntryState", "entry_states", "report_by_data_centre", "restrict"]

POLL_INTERVAL_S = 0.2
REQUEST_TIMEOUT_S = 1.0
CONFIRMATION_TIMEOUT_S = 3.0  # normally enough at every entry that can be reached
COMMIT_TIMEOUT_S = 8.0  # enough for an election and a retry
CLOCK_DRIFT_FACTOR = 1.02  # bound on the relative drift among clocks of entry, leader and operator


class EntryState(NamedTuple):
    """Whether one entry has confirmed a restriction.

    Attributes:
        name: Name of the entry, or its URL if it does not answer and the leader does not know it.
        data_centre: Data centre of the entry; empty if unknown.
        in_force: Whether the restriction is in force there, as confirmed by the entry itself or by
            the version that it reported to the leader.
    """

    name: str
    data_centre: str
    in_force: bool


def restrict(
    client: OperatorClient, *, kind: str, name: str, path: str, body: dict, operation_id: str = ""
) -> tuple[int, dict[str, Any]]:
    """Sends one restriction, and waits a limited time until it is in force everywhere.

    Args:
        client: Client of the controllers and entries.
        kind: `key`, `data_centre` or `target`.
        name: Id of the key, or name of the data centre or target.
        path: Path of the operation at the controllers.
        body: Body of the operation.
        operation_id: Id of the operation; a new one if empty.

    Returns:
        HTTP status and reply of the controllers. `operation_id` is added to the reply. Unless the
        controllers refused, `data_centres` is added too, with `in_force` and `reason` by data
        centre. `view_error` is added if the list of all data centres could not be read after the
        commit; then only those of known entries are listed. The status is 0 if no leading
        controller answered in time.
    """
    operation_id = operation_id or uuid.uuid4().hex
    restriction = {"operation_id": operation_id, "kind": kind, "name": name}
    commit = _Commit(client, path, body, operation_id)
    with ThreadPoolExecutor(max_workers=16) as threads:
        list(
            threads.map(
                lambda url: _request(client, url, "/v1/restrictions", restriction),
                _entry_urls(client),
            )
        )
        status, reply = commit.wait(COMMIT_TIMEOUT_S)
        committed_at = time.monotonic()
        if status not in (0, 200):
            return status, {**reply, "operation_id": operation_id}
        version = reply.get("version") if status == 200 else None
        data_centres, view_error = _data_centres(client) if status == 200 else ([], "")
        authority_expires = kind == "key" and status == 200
        while True:
            answers = _poll_entries(client, threads, operation_id)
            leader = _poll_leader(client, threads) if status == 200 else {}
            freshness_s = _max_key_freshness_s(client, answers) * CLOCK_DRIFT_FACTOR
            waited = time.monotonic() - committed_at
            states = entry_states(answers, leader, version, client.cfg.entry_data_centres)
            results = report_by_data_centre(
                states, data_centres, authority_expired=authority_expires and waited > freshness_s
            )
            done = (
                bool(results)
                and not view_error
                and all(result["in_force"] for result in results.values())
            )
            if done or waited > (
                freshness_s + POLL_INTERVAL_S if authority_expires else CONFIRMATION_TIMEOUT_S
            ):
                reply = {**reply, "operation_id": operation_id, "data_centres": results}
                return status, reply | ({"view_error": view_error} if view_error else {})
            time.sleep(POLL_INTERVAL_S)


def _data_centres(client: OperatorClient) -> tuple[list[str], str]:
    """Returns the names of the declared data centres, and the error if they cannot be read."""
    try:
        return list(client.view()["data_centres"]), ""
    except GeraniumtrackError as exc:
        return [], str(exc)


def report_by_data_centre(
    entries: list[EntryState], data_centres: list[str], *, authority_expired: bool = False
) -> dict[str, dict[str, Any]]:
    """Returns `in_force` and `reason` of a restriction for each data centre.

    Args:
        entries: All known entries. One whose data centre is unknown may be in any of them.
        data_centres: Names of all known data centres.
        authority_expired: Whether all authority from before the restriction has expired.
    """
    unlocated = [entry.name for entry in entries if not entry.data_centre]
    located = {entry.data_centre for entry in entries if entry.data_centre}
    results = {}
    for data_centre in sorted({*data_centres, *located}):
        members = [entry for entry in entries if entry.data_centre == data_centre]
        missing = [entry.name for entry in members if not entry.in_force] + unlocated
        if authority_expired:
            result = (True, "all authority from before the commit has expired")
        elif missing:
            result = (False, f"not confirmed by {', '.join(sorted(missing))}")
        elif not members:
            result = (False, "no entry is known there")
        else:
            result = (True, "confirmed by every entry")
        results[data_centre] = {"in_force": result[0], "reason": result[1]}
    return results


def entry_states(
    answers: dict[str, dict[str, Any]],
    leader: dict[str, Any],
    version: int | None,
    data_centres_by_url: dict[str, str],
) -> list[EntryState]:
    """Combines the entries' own answers with what the leader knows of the others.

    Args:
        answers: Status of each entry by URL; empty if it does not answer.
        leader: Status of the leader; empty if unknown.
        version: Version of the view that contains the restriction; None if unknown.
        data_centres_by_url: Data centres of entries by URL, as far as the settings name them.
    """
    states = []
    for answer in answers.values():
        if answer:
            has_version = version is not None and answer["version"] >= version
            in_force = has_version or answer["operation_in_force"]
            states.append(EntryState(answer["name"], answer["data_centre"], in_force))
    answered = {state.name for state in states}
    versions = leader.get("entries", {})
    known = [
        EntryState(name, data_centre, version is not None and versions.get(name, 0) >= version)
        for name, data_centre in leader.get("entry_data_centres", {}).items()
        if name not in answered
    ]
    silent_urls = [url for url, answer in answers.items() if not answer]
    return states + known + _unknown_entries(silent_urls, known, data_centres_by_url)


def _unknown_entries(
    silent_urls: list[str], known: list[EntryState], data_centres_by_url: dict[str, str]
) -> list[EntryState]:
    """Returns the entries that do not answer and that the leader may not know either.

    The leader knows the names of entries, not their URLs. If more entries of a data centre do not
    answer than the leader knows there, each of them may be one that it does not know.
    """
    unknown = []
    for data_centre in {data_centres_by_url.get(url, "") for url in silent_urls}:
        urls = [url for url in silent_urls if data_centres_by_url.get(url, "") == data_centre]
        matched = [state for state in known if data_centre in ("", state.data_centre)]
        if len(urls) > len(matched):
            unknown += [EntryState(url, data_centre, False) for url in urls]
    return unknown


class _Commit:
    """Commits an operation in a daemon thread, which does not keep the process alive."""

    def __init__(self, client: OperatorClient, path: str, body: dict, operation_id: str) -> None:
        self._results: queue.Queue = queue.Queue()
        arguments = (client, path, body, operation_id)
        threading.Thread(target=self._run, args=arguments, daemon=True).start()

    def wait(self, timeout_s: float) -> tuple[int, dict[str, Any]]:
        """Returns status and reply; status 0 if no leading controller answers in time."""
        try:
            return self._results.get(timeout=timeout_s)
        except queue.Empty:
            return 0, {"error": "unavailable", "message": "no leading controller answers"}

    def _run(self, client: OperatorClient, path: str, body: dict, operation_id: str) -> None:
        try:
            result = client.command(path, body, operation_id=operation_id)
        except Unavailable as exc:
            result = (0, {"error": "unavailable", "message": str(exc)})
        self._results.put(result)


def _entry_urls(client: OperatorClient) -> list[str]:
    return client.cfg.entries


def _request(
    client: OperatorClient, url: str, path: str, body: dict | None = None
) -> dict[str, Any]:
    method = "GET" if body is None else "POST"
    status, reply = client.request(url, method, path, body, timeout_s=REQUEST_TIMEOUT_S)
    return reply if status == 200 else {}


def _poll_entries(
    client: OperatorClient, threads: ThreadPoolExecutor, operation_id: str
) -> dict[str, dict[str, Any]]:
    path = f"/v1/status?operation_id={operation_id}"
    answers = threads.map(lambda url: _request(client, url, path), _entry_urls(client))
    return dict(zip(_entry_urls(client), answers, strict=True))


def _poll_leader(client: OperatorClient, threads: ThreadPoolExecutor) -> dict[str, Any]:
    answers = threads.map(lambda url: _request(client, url, "/v1/status"), client.cfg.controllers)
    return next((answer for answer in answers if answer.get("role") == "leader"), {})


def _max_key_freshness_s(client: OperatorClient, answers: dict[str, dict[str, Any]]) -> float:
    reported = [answer["key_freshness_s"] for answer in answers.values() if answer]
    return max([client.cfg.key_freshness_s, *reported])
