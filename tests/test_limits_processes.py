"""Limits, sessions and claims with real processes that are killed, frozen and cut off."""

import json
import signal
import threading
import time

import pytest

from geraniumtrack import restriction_client
from geraniumtrack.fleet import DataCentre, Fleet, Pool, Queue, Team
from geraniumtrack.protocol.address import operator_token
from standins.cluster import Cluster, Plan

SESSION_LEASE_S, TASK_LEASE_S, FRESHNESS_S = 1.5, 2.0, 2.0
LEASES = {"session_lease_s": SESSION_LEASE_S, "task_lease_s": TASK_LEASE_S}
LIMIT = 4
PLAN = Plan(
    data_centres=("dc1", "dc2", "dc3"),
    entries_per_data_centre=1,
    pools=("proofs", "wholesale"),
    targets_per_pool=3,
    controller_settings=LEASES,
    entry_settings={**LEASES, "renew_s": 0.4, "key_freshness_s": FRESHNESS_S},
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


def allotments(cluster, team):
    """Returns a team's allotments by entry, as the leading controller holds them."""
    leading = [s for s in cluster.operator.statuses() if s.get("role") == "leader"]
    return leading[0]["allotments"].get(team) if leading else None


def test_limit_holds_while_all_entries_race_for_it(cluster):
    """Guards against a sum of running tasks above the limit, and against a starved entry."""
    requests = [
        {"entry": entry, "team": "acme", "tag": f"race-{entry}", "seconds": 0.3}
        for entry in cluster.entries * 10
    ]
    threads, answers = ask_many(cluster, requests)
    held = []
    for thread in threads:
        held.append(allotments(cluster, "acme"))
        thread.join(30)
    assert [status for status, _ in answers] == [200] * 30
    assert most_at_once(cluster, "race") == LIMIT, f"allotments in the race: {held}"
    # Requests may spill over to another data centre, so their origin is told from the path.
    assert {line[3] for line in lines(cluster, "race")[:21]} == {
        f"race-{entry}" for entry in cluster.entries
    }


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
    others = [{"entry": "e1a", "team": "cedar", "tag": "freeze", "seconds": 0.5}] * (5 * LIMIT)
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
    # Requests may spill over, so the entry that holds the claim is told from where it ran.
    home = lines(cluster, "lost")[0][1]
    holder = next(e for e in cluster.entries if cluster.home[e] == home)
    other = next(e for e in cluster.entries if e != holder)
    cluster.kill(holder)
    assert ask(cluster, other, **request)[0] == 409
    cluster.wait_for(
        lambda: ask(cluster, other, **request)[1].get("error") == "outcome_unknown",
        "the claim of the dead entry to read unknown",
        timeout_s=15,
    )
    cluster.start_process(holder)
    cluster.wait_for(lambda: cluster.get(holder, "/readyz")[0] == 200, holder)
    assert ask(cluster, holder, **request)[1]["error"] == "outcome_unknown"
    assert len(lines(cluster, "lost")) == 1


def keyed_statuses(cluster, team, tag):
    return {e: ask(cluster, e, team, tag, timeout_s=5)[0] for e in cluster.entries}


def test_withdrawn_key_ends_under_load_and_the_command_says_where(cluster):
    """Guards against a key that works on somewhere after the operator was told it is withdrawn."""
    key_id, cluster.keys["brief"] = cluster.issue_key("acme")
    cluster.wait_for(lambda: set(keyed_statuses(cluster, "brief", "w").values()) == {200}, "key")
    stop, accepted = threading.Event(), []

    def load(entry):
        while not stop.is_set():
            if ask(cluster, entry, "brief", "load", timeout_s=5)[0] == 200:
                accepted.append(time.monotonic())

    threads = [threading.Thread(target=load, args=(e,), daemon=True) for e in cluster.entries]
    for thread in threads:
        thread.start()
    time.sleep(0.5)
    output = cluster.command("withdraw-key", key_id, "--operator", cluster.operator_file)
    said_at = time.monotonic()
    time.sleep(0.7)
    stop.set()
    for thread in threads:
        thread.join(10)
    places = json.loads(output)["data_centres"]
    assert {name: place["in_force"] for name, place in places.items()} == dict.fromkeys(
        PLAN.data_centres, True
    )
    assert accepted
    # A request that was accepted just before may still be answered a moment later.
    assert max(accepted) < said_at + 0.5
    assert set(keyed_statuses(cluster, "brief", "w").values()) == {401}


def restrict(cluster, entry, operation_id, kind, name):
    token = operator_token(cluster.secret_file.read_bytes().strip())
    body = json.dumps({"operation_id": operation_id, "kind": kind, "name": name}).encode()
    return cluster.request(entry, "POST", "/v1/restrictions", key=token, body=body)


def entry_status(cluster, entry):
    token = operator_token(cluster.secret_file.read_bytes().strip())
    return json.loads(cluster.request(entry, "GET", "/v1/status", key=token)[1])


def test_restrictions_need_the_operators_token(cluster):
    body = json.dumps({"operation_id": "x", "kind": "key", "name": "k"}).encode()
    assert cluster.request("e1a", "POST", "/v1/restrictions", body=body)[0] == 401
    assert cluster.request("e1a", "GET", "/v1/status", key=cluster.keys["acme"])[0] == 401


def test_cut_off_entries_serve_open_work_only_and_take_restrictions(cluster):
    """Guards against keyed work without authority, and restrictions that wait for controllers."""
    key_id, cluster.keys["cut"] = cluster.issue_key("acme")
    cluster.wait_for(lambda: set(keyed_statuses(cluster, "cut", "c").values()) == {200}, "key")
    for name in cluster.controllers:
        cluster.signal(name, signal.SIGSTOP)
    try:
        assert restrict(cluster, "e1a", "cut-key", "key", key_id)[0] == 200
        cluster.wait_for(
            lambda: set(keyed_statuses(cluster, "cut", "c").values()) == {401},
            "the withdrawal at the peers",
            timeout_s=1.5,
        )
        time.sleep(FRESHNESS_S * 1.05)
        statuses = [ask(cluster, e, "acme", "cut") for e in cluster.entries]
        assert [(s, b["error"], b["run"]) for s, b in statuses] == [
            (503, "no_authority", "not_run")
        ] * 3
        assert [ask(cluster, e, "", "open", queue="preview")[0] for e in cluster.entries] == [
            200
        ] * 3
        cluster.kill("e2a")
        cluster.start_process("e2a")
        cluster.wait_for(
            lambda: ask(cluster, "e2a", "", "open", queue="preview", timeout_s=5)[0] == 200,
            "open work at an entry restarted without controllers",
        )
        assert ask(cluster, "e2a", "cut", "c")[0] in (401, 503)
        refused = ask(cluster, "e1a", "acme", "cut-print", queue="wholesale", Idempotency_Key="p")
        assert refused[0] == 503
    finally:
        for name in cluster.controllers:
            cluster.signal(name, signal.SIGCONT)
    cluster.wait_for(
        lambda: not cluster.operator.view()["keys"][key_id]["active"], "the withdrawal's commit"
    )
    cluster.wait_for(lambda: ask(cluster, "e1a", "acme", "again", timeout_s=5)[0] == 200, "keyed")
    cluster.wait_for(
        lambda: not any(entry_status(cluster, e)["restrictions"] for e in cluster.entries),
        "restrictions dropped once the view contains them",
    )
    assert set(keyed_statuses(cluster, "cut", "c").values()) == {401}
    assert not lines(cluster, "cut-print")


def test_take_out_says_where_it_is_not_in_force(cluster):
    """Guards against a report that claims more than is true, and a restriction never lifted."""
    cluster.signal("e3a", signal.SIGSTOP)
    try:
        status, reply = restriction_client.restrict(
            cluster.operator,
            kind="data_centre",
            name="dc3",
            path="/v1/data-centres/dc3",
            body={"in_service": False},
        )
    finally:
        cluster.signal("e3a", signal.SIGCONT)
    assert status == 200
    assert {name: place["in_force"] for name, place in reply["data_centres"].items()} == {
        "dc1": True,
        "dc2": True,
        "dc3": False,
    }
    began = time.time()
    cluster.wait_for(lambda: entry_status(cluster, "e3a")["version"] >= reply["version"], "e3a")
    ask(cluster, "e3a", "", "out", queue="preview", timeout_s=3, Request_Timeout="1")
    out = [line for line in lines(cluster, "out") if line[1] == "dc3"]
    assert not out, (began, out)
    assert cluster.operator.command("/v1/data-centres/dc3", {"in_service": True})[0] == 200
    cluster.wait_for(
        lambda: ask(cluster, "e3a", "", "in", queue="preview", timeout_s=5)[0] == 200, "dc3 back"
    )
