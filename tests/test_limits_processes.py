"""Limits, sessions and claims with real processes that are killed, frozen and cut off."""

import json
import signal
import threading
import time

import pytest

from geraniumtrack.fleet import DataCentre, Fleet, Pool, Queue, Team
from standins.cluster import Cluster, Plan

SESSION_LEASE_S, TASK_LEASE_S, FRESHNESS_S = 2.0, 3.0, 2.5
LEASES = {"session_lease_s": SESSION_LEASE_S, "task_lease_s": TASK_LEASE_S}
LIMIT = 4
PLAN = Plan(
    data_centres=("dc1", "dc2", "dc3"),
    entries_per_data_centre=1,
    pools=("proofs", "wholesale"),
    targets_per_pool=3,
    controller_settings=LEASES,
    entry_settings={**LEASES, "renew_s": 0.5, "key_freshness_s": FRESHNESS_S},
)


def small_fleet():
    return Fleet(
        data_centres=[DataCentre(name=name) for name in PLAN.data_centres],
        pools=[Pool(name="proofs"), Pool(name="wholesale", spare=True)],
        queues=[
            Queue(name="proofs", pool="proofs", idempotent=True),
            Queue(name="wholesale", pool="wholesale"),
            Queue(name="preview", pool="proofs", open=True, idempotent=True),
        ],
        teams=[Team(name="acme", limit=LIMIT), Team(name="cedar", limit=LIMIT)],
    )


@pytest.fixture(scope="module")
def cluster(tmp_path_factory):
    with Cluster(tmp_path_factory.mktemp("cluster"), PLAN) as running:
        running.apply(small_fleet())
        running.wait_ready()
        running.keys = {team: running.issue_key(team)[1] for team in ("acme", "cedar")}
        for entry in running.entries:
            running.wait_for(lambda e=entry: ask(running, e, "acme", "warm")[0] == 200, entry)
        yield running


def ask(cluster, entry, team, tag, *, queue="proofs", seconds=0.0, timeout_s=40.0, **headers):
    """Sends one request; gives status and decoded body, or (0, {}) if the entry went away."""
    try:
        status, body = cluster.request(
            entry,
            "POST",
            f"/v1/queues/{queue}/{tag}",
            key=cluster.keys[team] if team else "",
            body=json.dumps({"seconds": seconds}).encode(),
            headers={name.replace("_", "-"): value for name, value in headers.items()},
            timeout_s=timeout_s,
        )
        return status, json.loads(body or b"{}")
    except OSError:
        return 0, {}


def ask_many(cluster, requests):
    """Sends requests at the same time; each is a dict of arguments of `ask`."""
    answers = [None] * len(requests)

    def send(position, request):
        answers[position] = ask(cluster, **request)

    threads = [
        threading.Thread(target=send, args=(i, r), daemon=True) for i, r in enumerate(requests)
    ]
    for thread in threads:
        thread.start()
    return threads, answers


def lines(cluster, tag, suffix=""):
    path = cluster.record.with_name(cluster.record.name + suffix)
    found = path.read_text().splitlines() if path.exists() else []
    return [line.split() for line in found if line.split()[-1].startswith(tag)]


def most_at_once(cluster, tag):
    """Returns the most tasks of a tag that ran at one time, by the records of the targets."""
    steps = [(float(line[0]), 1) for line in lines(cluster, tag)]
    steps += [(float(line[0]), -1) for line in lines(cluster, tag, ".ends")]
    most = running = 0
    for _, step in sorted(steps):
        running += step
        most = max(most, running)
    return most


def test_limit_holds_while_all_entries_race_for_it(cluster):
    """Guards against a sum of running tasks above the limit, and against a starved entry."""
    requests = [
        {"entry": cluster.entries[i % 3], "team": "acme", "tag": "race", "seconds": 0.3}
        for i in range(30)
    ]
    threads, answers = ask_many(cluster, requests)
    for thread in threads:
        thread.join(30)
    assert [status for status, _ in answers] == [200] * 30
    assert most_at_once(cluster, "race") == LIMIT
    first_seven = {line[1] for line in lines(cluster, "race")[:21]}
    assert first_seven == set(PLAN.data_centres)


def test_limit_holds_while_an_entry_is_killed_and_restarted(cluster):
    """Guards against an allotment that is reused while a dead entry's tasks still run."""
    requests = [{"entry": "e1a", "team": "cedar", "tag": "kill-long", "seconds": 30.0}] * LIMIT
    ask_many(cluster, requests)
    cluster.wait_for(lambda: len(lines(cluster, "kill-long")) == LIMIT, "tasks started")
    time.sleep(1.0)
    cluster.kill("e1a")
    killed_at = time.monotonic()
    cluster.start_process("e1a")
    cluster.wait_for(lambda: cluster.get("e1a", "/readyz")[0] == 200, "e1a ready")
    after = [
        {"entry": e, "team": "cedar", "tag": "kill-next", "seconds": 0.5} for e in ("e1a", "e2a")
    ]
    threads, answers = ask_many(cluster, after * LIMIT)
    for thread in threads:
        thread.join(30)
    assert [status for status, _ in answers] == [200] * 2 * LIMIT, answers
    waited = time.monotonic() - killed_at
    assert most_at_once(cluster, "kill-") <= LIMIT
    assert waited > TASK_LEASE_S


def test_restarted_entry_serves_at_once_what_others_have_free(cluster):
    """Guards against a restarted entry without keyed work until the old session is closed."""
    ask(cluster, "e2a", "acme", "before")
    cluster.kill("e2a")
    cluster.start_process("e2a")
    began = time.monotonic()
    cluster.wait_for(lambda: ask(cluster, "e2a", "acme", "after", timeout_s=5)[0] == 200, "e2a")
    assert time.monotonic() - began < SESSION_LEASE_S + TASK_LEASE_S


def test_limit_holds_while_an_entry_is_frozen_past_its_lease(cluster):
    """Guards against an entry that wakes and starts queued tasks under a lapsed lease."""
    requests = [
        {"entry": "e3a", "team": "cedar", "tag": "freeze", "seconds": 1.0, "timeout_s": 60}
    ] * (3 * LIMIT)
    threads, answers = ask_many(cluster, requests)
    cluster.wait_for(lambda: len(lines(cluster, "freeze")) >= LIMIT, "tasks started")
    cluster.signal("e3a", signal.SIGSTOP)
    others = [{"entry": "e1a", "team": "cedar", "tag": "freeze", "seconds": 1.0}] * (5 * LIMIT)
    other_threads, other_answers = ask_many(cluster, others)
    time.sleep((SESSION_LEASE_S + TASK_LEASE_S) * 1.01 + 1.5)
    started = len(lines(cluster, "freeze"))
    cluster.signal("e3a", signal.SIGCONT)
    for thread in threads + other_threads:
        thread.join(40)
    assert started > LIMIT
    assert most_at_once(cluster, "freeze") <= LIMIT
    assert [status for status, _ in other_answers] == [200] * (5 * LIMIT)


def test_print_sent_through_two_data_centres_at_once_runs_once(cluster):
    """Guards against a wholesale order that prints twice."""
    for number in range(10):
        tag = f"print-{number}"
        threads, answers = ask_many(
            cluster,
            [
                {"entry": e, "team": "acme", "tag": tag, "queue": "wholesale", "seconds": 0.05}
                | {"Idempotency_Key": tag}
                for e in ("e1a", "e2a", "e1a")
            ],
        )
        for thread in threads:
            thread.join(20)
        assert len(lines(cluster, tag)) == 1
        assert {status for status, _ in answers} <= {200, 409}
        assert 200 in {status for status, _ in answers}


def test_print_of_a_killed_entry_reads_unknown_and_never_runs_again(cluster):
    """Guards against a second run, and against "still running" for ever, after a kill."""
    request = {"team": "acme", "tag": "lost", "queue": "wholesale", "seconds": 30.0}
    request["Idempotency_Key"] = "lost"
    ask_many(cluster, [{"entry": "e1a", **request}])
    cluster.wait_for(lambda: lines(cluster, "lost"), "the print started")
    cluster.kill("e1a")
    assert ask(cluster, "e2a", **request)[0] == 409
    cluster.wait_for(
        lambda: ask(cluster, "e2a", **request)[1].get("error") == "outcome_unknown",
        "the claim of the dead entry to read unknown",
        timeout_s=15,
    )
    cluster.start_process("e1a")
    cluster.wait_for(lambda: cluster.get("e1a", "/readyz")[0] == 200, "e1a ready")
    assert ask(cluster, "e1a", **request)[1]["error"] == "outcome_unknown"
    assert len(lines(cluster, "lost")) == 1
