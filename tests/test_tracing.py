"""Tracing: one span for each hop, one tree across processes; nothing without a trace file."""

import json
import subprocess
import sys
import time

import pytest

from geraniumtrack import tracing
from geraniumtrack.cli.trace_reader import find_trace, read_spans, render_tree
from standins.cluster import Cluster, Plan

CALLER = "00-0123456789abcdef0123456789abcdef-00000000000000aa-01"


@pytest.fixture(scope="module")
def traced(tmp_path_factory):
    """Runs a traced cluster with one request to each entry, and stops it.

    Returns:
        The stopped cluster, with the texts of its metrics, and its trace files.
    """
    folder = tmp_path_factory.mktemp("traced")
    plan = Plan(
        data_centres=("dc1",),
        controllers=1,
        pools=("proofs", "wholesale"),
        targets_per_pool=2,
        trace=True,
    )
    with Cluster(folder, plan) as cluster:
        cluster.apply()
        cluster.wait_ready()
        # Each entry sends the first request of another team. Such a request waits for slots, so its
        # task starts outside the context in which the request arrived.
        keys = {"e1a": cluster.issue_key("acme")[1], "e1b": cluster.issue_key("burr-oak")[1]}
        time.sleep(2.0)
        for entry in cluster.entries:
            status, _ = cluster.request(
                entry,
                "POST",
                "/v1/queues/wholesale",
                key=keys[entry],
                body=b"{}",
                headers={"Idempotency-Key": f"order-{entry}", "traceparent": CALLER},
            )
            assert status == 200
        cluster.metrics_text = cluster.metrics("e1a") + cluster.metrics("e1b")
        cluster.controller_metrics = cluster.metrics("c1")
    return cluster, sorted(folder.glob("*.trace"))


def test_every_hop_of_a_forwarded_request_is_in_one_tree(traced):
    """Guards against a message or a queue that loses the context of the trace."""
    cluster, files = traced
    spans = find_trace(read_spans(files), "order-e1a")
    assert {span["trace"] for span in spans} == {CALLER.split("-")[1]}
    parents = {span["span"]: span["hop"] for span in spans}
    edges = {(parents.get(span["parent"], ""), span["hop"]) for span in spans}
    assert edges >= {
        ("", "caller"),
        ("caller", "entry"),
        ("entry", "dispatcher"),
        ("dispatcher", "claim"),
        ("claim", "controller"),
        ("dispatcher", "target"),
    }
    dispatcher_processes = {span["process"] for span in spans if span["hop"] == "dispatcher"}
    entry_processes = {span["process"] for span in spans if span["hop"] == "entry"}
    assert entry_processes == {"e1a", "e1b"}
    assert len(dispatcher_processes) == 1, "one entry dispatches, the other one forwards"


def test_trace_command_prints_the_tree(traced):
    _, files = traced
    result = subprocess.run(
        [sys.executable, "-m", "geraniumtrack", "trace", "order-e1b", *map(str, files)],
        capture_output=True,
        text=True,
    )
    assert result.returncode == 0, result.stderr
    assert "      dispatcher e1" in result.stdout
    assert "request_id=order-e1b" in result.stdout


def test_metrics_count_by_queue_outcome_and_team(traced):
    cluster, _ = traced
    line = 'requests_total{outcome="answered",queue="wholesale",team="acme"} 1'
    assert line in cluster.metrics_text
    assert 'request_seconds{outcome="answered",queue="wholesale",team="acme",quantile="0.99"}' in (
        cluster.metrics_text
    )
    assert 'outcome="accepted"' in cluster.controller_metrics


def test_truncated_lines_and_other_text_are_skipped(tmp_path):
    """Guards against a trace that cannot be read because a process crashed while writing."""
    file = tmp_path / "t.trace"
    span = {"trace": "t1", "span": "a", "parent": "gone", "hop": "entry", "attributes": {}}
    span |= {"start_ns": 0, "end_ns": 10**6}
    file.write_text(f"noise\n{json.dumps(span)}\n[1]\n{json.dumps(span)[:30]}")
    assert "entry" in render_tree(find_trace(read_spans([file]), "t1"))


def test_without_a_trace_file_nothing_is_recorded():
    assert tracing.current_traceparent() == ""

    def reply(answer):
        return answer

    assert tracing.trace_reply("controller", CALLER, None, reply) is reply
