"""Requests end to end through separate processes: caller, entry, controllers and target."""

import json

import pytest

from standins.cluster import Cluster, Plan

PLAN = Plan(
    data_centres=("dc1", "dc2", "dc3"),
    entries_per_data_centre=1,
    pools=("proofs", "wholesale", "back-office"),
    targets_per_pool=3,
)


@pytest.fixture(scope="module")
def cluster(tmp_path_factory):
    """Runs a cluster in which every entry has answered a request."""
    with Cluster(tmp_path_factory.mktemp("cluster"), PLAN) as running:
        running.apply()
        running.wait_ready()
        running.keys = {team: running.issue_key(team) for team in ("acme", "cedar")}
        key = running.keys["acme"][1]
        for entry in running.entries:
            running.wait_for(
                lambda e=entry: running.request(
                    e, "POST", "/v1/queues/proofs", key=key, body=b"{}", timeout_s=5
                )[0]
                == 200,
                f"a first answer through {entry}",
            )
        yield running


def test_every_entry_returns_the_answer_of_a_target(cluster):
    key = cluster.keys["acme"][1]
    for entry in cluster.entries:
        status, body = cluster.request(entry, "POST", "/v1/queues/proofs", key=key, body=b"{}")
        assert status == 200
        assert json.loads(body)["target"].startswith("proofs-")


@pytest.mark.parametrize(
    ("path", "key", "headers", "status", "error"),
    [
        ("/v1/queues/proofs", "", {}, 401, "missing_key"),
        ("/v1/queues/proofs", "stranger", {}, 401, "unknown_key"),
        ("/v1/queues/nowhere", "acme", {}, 404, "unknown_queue"),
        ("/v1/queues/proofs", "acme", {"Request-Timeout": "soon"}, 400, "bad_timeout"),
        ("/v1/queues/proofs", "acme", {"Geraniumtrack-Urgency": "x"}, 400, "bad_urgency"),
    ],
)
def test_bad_input_is_refused_with_its_reason_code(cluster, path, key, headers, status, error):
    key = cluster.keys["acme"][1] if key == "acme" else key
    got, body = cluster.request("e1a", "POST", path, key=key, body=b"{}", headers=headers)
    refusal = json.loads(body)
    assert (got, refusal["error"], refusal["run"]) == (status, error, "not_run")


def test_open_queue_needs_no_key(cluster):
    """Guards against a queue open to all callers that refuses requests without a key."""
    status, _ = cluster.request("e2a", "POST", "/v1/queues/preview", body=b"{}")
    assert status == 200


def test_resent_wholesale_order_runs_once_and_gets_the_stored_answer(cluster):
    """Guards against a second run of a non-idempotent request resent in another data centre."""
    key = cluster.keys["acme"][1]
    headers = {"Idempotency-Key": "order-1"}
    path = "/v1/queues/wholesale/print/order-1"
    first = cluster.request("e1a", "POST", path, key=key, body=b"{}", headers=headers)
    resent = cluster.request("e2a", "POST", path, key=key, body=b"{}", headers=headers)
    assert first[0] == 200
    assert resent == first
    starts = [line for line in cluster.record.read_text().splitlines() if "order-1" in line]
    assert len(starts) == 1


def test_withdrawn_key_is_refused_by_every_entry(cluster):
    """Guards against an entry that goes on accepting a withdrawn key.

    The entries are checked in turn; each must answer 401 within 3 s after its check has begun.
    """
    key_id, key = cluster.keys["cedar"]
    assert cluster.operator.command(f"/v1/keys/{key_id}/withdraw", {})[0] == 200
    for entry in cluster.entries:
        cluster.wait_for(
            lambda e=entry: cluster.request(
                e, "POST", "/v1/queues/proofs", key=key, body=b"{}", timeout_s=5
            )[0]
            == 401,
            f"refusal by {entry}",
            timeout_s=3.0,
        )
