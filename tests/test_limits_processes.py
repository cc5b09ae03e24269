"""Limits, sessions, claims and restrictions with processes that are killed or suspended.

All tests share one cluster; each test restarts or resumes the processes that it stopped.
"""

import json
import signal
import threading
import time

import pytest

from geraniumtrack.cli import restriction_client
from geraniumtrack.fleet import DataCentre, Fleet, Pool, Queue, Team
from geraniumtrack.protocol.address import operator_token
from standins.cluster import Cluster, Plan

SESSION_LEASE_S, TASK_LEASE_S, FRESHNESS_S = 1.5, 2.0, 2.0
LEASES = {"session_lease_s": SESSION_LEASE_S, "task_lease_s": TASK_LEASE_S}
LIMIT = 4
MAX_RACES = 4  # each takes about 3 s
PLAN = Plan(
    data_centres=("dc1", "dc2", "dc3"),
    entries_per_data_centre=1,
    pools=("proofs", "wholesale"),
    targets_per_pool=3,
    controller_settings=LEASES,
    entry_settings={**LEASES, "renew_s": 0.4, "key_freshness_s": FRESHNESS_S},
)


def make_fleet():
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
        running.apply(make_fleet())
        running.wait_ready()
        running.keys = {team: running.issue_key(team)[1] for team in ("acme", "cedar")}
        for entry in running.entries:
            running.wait_for(
                lambda e=entry: send_request(running, e, "acme", "warm")[0] == 200, entry
            )
        yield running


def send_request(
    cluster, entry, team, tag, *, queue="proofs", seconds=0.0, timeout_s=40.0, **headers
):
    """Sends one request; returns status and decoded body, or (0, {}) if the connection fails."""
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


def send_requests(cluster, requests):
    """Sends requests concurrently; each is a dictionary of arguments of `send_request`.

    Returns:
        The threads, and a list that they fill with the answers in the order of the requests.
    """
    answers = [None] * len(requests)

    def send(position, request):
        answers[position] = send_request(cluster, **request)

    threads = [
        threading.Thread(target=send, args=(i, r), daemon=True) for i, r in enumerate(requests)
    ]
    for thread in threads:
        thread.start()
    return threads, answers


def read_records(cluster, tag, suffix=""):
    """Returns time, data centre, target and path of tasks whose path starts with a tag.

    Args:
        cluster: The cluster.
        tag: Prefix of the path.
        suffix: Empty for the starts of tasks, ".ends" for their ends.
    """
    path = cluster.record.with_name(cluster.record.name + suffix)
    found = path.read_text().splitlines() if path.exists() else []
    return [line.split() for line in found if line.split()[-1].startswith(tag)]


def max_concurrency(cluster, tag):
    """Returns the highest number of concurrent tasks of a tag, by the records of the targets."""
    steps = [(float(line[0]), 1) for line in read_records(cluster, tag)]
    steps += [(float(line[0]), -1) for line in read_records(cluster, tag, ".ends")]
    peak = running = 0
    for _, step in sorted(steps):
        running += step
        peak = max(peak, running)
    return peak


def allotments(cluster, team):
    """Returns a team's allotments by entry as the leader reports them; None without a leader."""
    leader_statuses = [s for s in cluster.operator.statuses() if s.get("role") == "leader"]
    return leader_statuses[0]["allotments"].get(team) if leader_statuses else None


def test_limit_holds_while_all_entries_race_for_it(cluster):
    """Guards against more running tasks than the limit, and against an entry that gets no slots.

    30 concurrent requests of one team, ten at each entry, compete for the 4 slots of its limit. How
    soon all 4 are in use depends on timing: on a busy machine the renewals that divide them may
    take as long as the requests, so the race is repeated until they are. See also
    `test_allotments.py::test_whole_limit_is_used_when_each_entry_has_demand_for_it`.
    """
    peaks = []
    while LIMIT not in peaks and len(peaks) < MAX_RACES:
        peaks.append(race_for_the_limit(cluster, f"race{len(peaks)}"))
    assert peaks[-1] == LIMIT, f"slots used at once in each race: {peaks}"


def race_for_the_limit(cluster, tag):
    """Lets all entries compete for the limit; returns the number of slots used at once.

    It fails if more slots are used than the limit, or if an entry gets none.
    """
    requests = [
        {"entry": entry, "team": "acme", "tag": f"{tag}-{entry}", "seconds": 0.3}
        for entry in cluster.entries * 10
    ]
    threads, answers = send_requests(cluster, requests)
    observed = []
    for thread in threads:
        observed.append(allotments(cluster, "acme"))
        thread.join(30)
    assert [status for status, _ in answers] == [200] * 30
    peak = max_concurrency(cluster, tag)
    assert peak <= LIMIT, f"allotments during the test: {observed}"
    # Requests may be forwarded to another data centre, so the path tells which entry received them.
    assert {line[3] for line in read_records(cluster, tag)[:21]} == {
        f"{tag}-{entry}" for entry in cluster.entries
    }
    return peak


def test_limit_holds_while_an_entry_is_killed_and_restarted(cluster):
    """Guards against reusing the allotment of a killed entry while its tasks are still running."""
    requests = [{"entry": "e1a", "team": "cedar", "tag": "kill-long", "seconds": 30.0}] * LIMIT
    send_requests(cluster, requests)
    cluster.wait_for(lambda: len(read_records(cluster, "kill-long")) == LIMIT, "tasks started")
    time.sleep(1.0)
    cluster.kill("e1a")
    killed_at = time.monotonic()
    cluster.start_process("e1a")
    cluster.wait_for(lambda: cluster.get("e1a", "/readyz")[0] == 200, "e1a ready")
    after = [
        {"entry": e, "team": "cedar", "tag": "kill-next", "seconds": 0.5} for e in ("e1a", "e2a")
    ]
    threads, answers = send_requests(cluster, after * LIMIT)
    for thread in threads:
        thread.join(30)
    assert [status for status, _ in answers] == [200] * 2 * LIMIT, answers
    waited = time.monotonic() - killed_at
    assert max_concurrency(cluster, "kill-") <= LIMIT
    assert waited > TASK_LEASE_S


def test_restarted_entry_uses_free_slots_before_its_old_session_closes(cluster):
    """Guards against an entry that, after a restart, waits until its old session is closed.

    Until then its old allotment stays reserved, but the other slots of the limit are free.
    """
    send_request(cluster, "e2a", "acme", "before")
    cluster.kill("e2a")
    cluster.start_process("e2a")
    started_at = time.monotonic()
    cluster.wait_for(
        lambda: send_request(cluster, "e2a", "acme", "after", timeout_s=5)[0] == 200, "e2a"
    )
    assert time.monotonic() - started_at < SESSION_LEASE_S + TASK_LEASE_S


def test_limit_holds_while_an_entry_is_frozen_past_its_lease(cluster):
    """Guards against a resumed entry that starts queued tasks under an expired lease.

    While it was suspended, its allotment was given to another entry.
    """
    requests = [
        {"entry": "e3a", "team": "cedar", "tag": "freeze", "seconds": 1.0, "timeout_s": 60}
    ] * (3 * LIMIT)
    threads, answers = send_requests(cluster, requests)
    cluster.wait_for(lambda: len(read_records(cluster, "freeze")) >= LIMIT, "tasks started")
    cluster.signal("e3a", signal.SIGSTOP)
    others = [{"entry": "e1a", "team": "cedar", "tag": "freeze", "seconds": 0.5}] * (5 * LIMIT)
    other_threads, other_answers = send_requests(cluster, others)
    time.sleep((SESSION_LEASE_S + TASK_LEASE_S) * 1.01 + 1.5)
    started = len(read_records(cluster, "freeze"))
    cluster.signal("e3a", signal.SIGCONT)
    for thread in threads + other_threads:
        thread.join(40)
    assert started > LIMIT
    assert max_concurrency(cluster, "freeze") <= LIMIT
    assert [status for status, _ in other_answers] == [200] * (5 * LIMIT)


def test_request_sent_through_two_data_centres_at_once_runs_once(cluster):
    """Guards against two runs of a request that is not idempotent.

    Copies with the same idempotency key reach two entries at once.
    """
    for number in range(10):
        tag = f"print-{number}"
        threads, answers = send_requests(
            cluster,
            [
                {"entry": e, "team": "acme", "tag": tag, "queue": "wholesale", "seconds": 0.05}
                | {"Idempotency_Key": tag}
                for e in ("e1a", "e2a", "e1a")
            ],
        )
        for thread in threads:
            thread.join(20)
        assert len(read_records(cluster, tag)) == 1
        assert {status for status, _ in answers} <= {200, 409}
        assert 200 in {status for status, _ in answers}


def test_request_of_a_killed_entry_gets_outcome_unknown_and_never_runs_again(cluster):
    """Guards against a second run, and against answering "still running" indefinitely.

    The entry that holds the claim was killed while the request was running.
    """
    request = {"team": "acme", "tag": "lost", "queue": "wholesale", "seconds": 30.0}
    request["Idempotency_Key"] = "lost"
    send_requests(cluster, [{"entry": "e1a", **request}])
    cluster.wait_for(lambda: read_records(cluster, "lost"), "start of the request")
    # Requests may be forwarded; the entry of the data centre in which it ran holds the claim.
    data_centre = read_records(cluster, "lost")[0][1]
    holder = next(e for e in cluster.entries if cluster.home[e] == data_centre)
    other = next(e for e in cluster.entries if e != holder)
    cluster.kill(holder)
    try:
        assert send_request(cluster, other, **request)[0] == 409
        cluster.wait_for(
            lambda: send_request(cluster, other, **request)[1].get("error") == "outcome_unknown",
            "unknown outcome of the killed entry's claim",
            timeout_s=15,
        )
    finally:
        cluster.start_process(holder)  # the other tests use the same processes
    cluster.wait_for(lambda: cluster.get(holder, "/readyz")[0] == 200, holder)
    assert send_request(cluster, holder, **request)[1]["error"] == "outcome_unknown"
    assert len(read_records(cluster, "lost")) == 1


def keyed_statuses(cluster, team, tag):
    """Returns the status with which each entry answers a request with a team's key."""
    return {e: send_request(cluster, e, team, tag, timeout_s=5)[0] for e in cluster.entries}


def test_withdrawn_key_is_rejected_once_the_command_reports_it_in_force(cluster):
    """Guards against a key that an entry still accepts after the command reported its withdrawal.

    All entries receive requests with the key while it is being withdrawn.
    """
    key_id, cluster.keys["brief"] = cluster.issue_key("acme")
    cluster.wait_for(lambda: set(keyed_statuses(cluster, "brief", "w").values()) == {200}, "key")
    stop, accepted = threading.Event(), []

    def load(entry):
        while not stop.is_set():
            if send_request(cluster, entry, "brief", "load", timeout_s=5)[0] == 200:
                accepted.append(time.monotonic())

    threads = [threading.Thread(target=load, args=(e,), daemon=True) for e in cluster.entries]
    for thread in threads:
        thread.start()
    time.sleep(0.5)
    output = cluster.command("withdraw-key", key_id, "--operator", cluster.operator_file)
    reported_at = time.monotonic()
    time.sleep(0.7)
    stop.set()
    for thread in threads:
        thread.join(10)
    results = json.loads(output)["data_centres"]
    assert {name: result["in_force"] for name, result in results.items()} == dict.fromkeys(
        PLAN.data_centres, True
    )
    assert accepted
    # A request that was accepted before the withdrawal may still be answered shortly after it.
    assert max(accepted) < reported_at + 0.5
    assert set(keyed_statuses(cluster, "brief", "w").values()) == {401}


def restrict(cluster, entry, operation_id, kind, name):
    token = operator_token(cluster.secret_file.read_bytes().strip())
    body = json.dumps({"operation_id": operation_id, "kind": kind, "name": name}).encode()
    return cluster.request(entry, "POST", "/v1/restrictions", key=token, body=body)


def entry_status(cluster, entry):
    token = operator_token(cluster.secret_file.read_bytes().strip())
    return json.loads(cluster.request(entry, "GET", "/v1/status", key=token)[1])


def test_restrictions_require_the_operator_token(cluster):
    """Guards against restrictions or status answers without a token, or with a team's key."""
    body = json.dumps({"operation_id": "x", "kind": "key", "name": "k"}).encode()
    assert cluster.request("e1a", "POST", "/v1/restrictions", body=body)[0] == 401
    assert cluster.request("e1a", "GET", "/v1/status", key=cluster.keys["acme"])[0] == 401


def test_disconnected_entries_serve_only_open_queues_and_accept_restrictions(cluster):
    """Guards against running a team's requests without authority, and against delayed restrictions.

    While all controllers are suspended, entries must still pass a withdrawal to their peers and
    serve open queues, even after a restart.
    """
    key_id, cluster.keys["withdrawn"] = cluster.issue_key("acme")
    cluster.wait_for(
        lambda: set(keyed_statuses(cluster, "withdrawn", "w").values()) == {200}, "key"
    )
    for name in cluster.controllers:
        cluster.signal(name, signal.SIGSTOP)
    try:
        assert restrict(cluster, "e1a", "withdraw-key", "key", key_id)[0] == 200
        cluster.wait_for(
            lambda: set(keyed_statuses(cluster, "withdrawn", "w").values()) == {401},
            "withdrawal at the peers",
            timeout_s=1.5,
        )
        time.sleep(FRESHNESS_S * 1.05)
        statuses = [send_request(cluster, e, "acme", "disconnected") for e in cluster.entries]
        assert [(s, b["error"], b["run"]) for s, b in statuses] == [
            (503, "no_authority", "not_run")
        ] * 3
        assert [
            send_request(cluster, e, "", "open", queue="preview")[0] for e in cluster.entries
        ] == [200] * 3
        cluster.kill("e2a")
        cluster.start_process("e2a")
        cluster.wait_for(
            lambda: send_request(cluster, "e2a", "", "open", queue="preview", timeout_s=5)[0]
            == 200,
            "open queue at an entry restarted without controllers",
        )
        assert send_request(cluster, "e2a", "withdrawn", "w")[0] in (401, 503)
        refused = send_request(
            cluster, "e1a", "acme", "disconnected-print", queue="wholesale", Idempotency_Key="p"
        )
        assert refused[0] == 503
    finally:
        for name in cluster.controllers:
            cluster.signal(name, signal.SIGCONT)
    cluster.wait_for(
        lambda: not cluster.operator.view()["keys"][key_id]["active"],
        "commit of the withdrawal",
    )
    cluster.wait_for(
        lambda: send_request(cluster, "e1a", "acme", "again", timeout_s=5)[0] == 200,
        "keyed request",
    )
    cluster.wait_for(
        lambda: not any(entry_status(cluster, e)["restrictions"] for e in cluster.entries),
        "removal of the restrictions that the view contains",
    )
    assert set(keyed_statuses(cluster, "withdrawn", "w").values()) == {401}
    assert not read_records(cluster, "disconnected-print")


def test_evacuation_reports_where_it_is_not_in_force(cluster):
    """Guards against a report of an evacuation as in force at an entry that is suspended.

    Also guards against a resumed entry that ignores the evacuation or the return to service.
    """
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
    assert {name: result["in_force"] for name, result in reply["data_centres"].items()} == {
        "dc1": True,
        "dc2": True,
        "dc3": False,
    }
    started_at = time.time()
    cluster.wait_for(lambda: entry_status(cluster, "e3a")["version"] >= reply["version"], "e3a")
    send_request(cluster, "e3a", "", "out", queue="preview", timeout_s=3, Request_Timeout="1")
    out = [line for line in read_records(cluster, "out") if line[1] == "dc3"]
    assert not out, (started_at, out)
    assert cluster.operator.command("/v1/data-centres/dc3", {"in_service": True})[0] == 200
    cluster.wait_for(
        lambda: send_request(cluster, "e3a", "", "in", queue="preview", timeout_s=5)[0] == 200,
        "return of dc3 to service",
    )
