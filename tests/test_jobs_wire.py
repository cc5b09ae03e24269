"""The adapter: bodies of the platform, good and bad, and that its names stay inside it."""

from __future__ import annotations

import json
import re
import tomllib
from pathlib import Path

import pytest
from twisted.internet.defer import succeed
from twisted.internet.task import Clock

from geraniumtrack.jobs.messages import JobRequest
from geraniumtrack.jobs.model import EndKind, Resources, TaskId
from geraniumtrack.jobs.worker_port import HoldOrder, WorkerGone
from geraniumtrack.platform import wire
from geraniumtrack.platform.worker_client import WorkerClient
from geraniumtrack.transport.http_client import Response
from tests.jobs_support import worker

ROOT = Path(__file__).parent.parent
REQUEST = JobRequest("h", "/q/5c0e7a21d94b36f8", "key")

CONFIG = {
    "version": 7,
    "routes": [
        {"name": "a", "host": "h", "pathPrefix": "/a/", "timeoutMs": 3000, "backend": "s"},
        {"name": "b", "host": "h", "pathPrefix": "/b/", "timeoutMs": 3000, "backend": "s"},
    ],
    "backends": [{"name": "s", "admissionCheck": True, "standby": False}],
    "tenants": [{"name": "t", "apiKeys": ["k1"], "weight": 2, "cap": {"cpu": 5}}],
}
BEAT = {
    "backend": "s",
    "address": "10.0.0.1:80",
    "zone": "z",
    "state": "ready",
    "capacity": {"cpu": 16000, "memMb": 32768, "gpu": 0},
    "labels": ["a", "r1-3"],
    "sequence": 4,
    "born": 99,
    "machine": "m-1",
}


def changed(body: dict, path: str, value: object) -> bytes:
    copy = json.loads(json.dumps(body))
    *parents, last = path.split(".")
    target = copy
    for name in parents:
        target = target[int(name)] if name.isdigit() else target[name]
    if value is None:
        del target[last]
    else:
        target[last] = value
    return json.dumps(copy).encode()


def test_a_configuration_is_decoded_and_kept_as_it_was_sent():
    body = json.dumps(CONFIG).encode()
    found = wire.decode_config(body)
    assert found.document == body
    assert (found.queues[0].prefix, found.queues[0].pool) == ("/a/", "s")
    assert found.teams[0].cap == Resources(5, 0, 0)


@pytest.mark.parametrize(
    ("path", "value"),
    [
        ("version", None),
        ("version", "7"),
        ("routes", None),
        ("routes.0.backend", "unknown"),
        ("routes.1.pathPrefix", "/a/"),
        ("routes.0.timeoutMs", 0),
        ("routes.0.host", None),
        ("backends", None),
        ("tenants", [{"name": "t", "apiKeys": ["k"]}, {"name": "u", "apiKeys": ["k"]}]),
    ],
)
def test_an_invalid_configuration_is_refused(path, value):
    with pytest.raises(wire.InvalidBody):
        wire.decode_config(changed(CONFIG, path, value))


def test_a_configuration_that_was_cut_short_is_refused():
    with pytest.raises(wire.InvalidBody):
        wire.decode_config(json.dumps(CONFIG).encode()[:-20])


def test_a_heartbeat_names_a_worker():
    beat = wire.decode_heartbeat("i-1", json.dumps(BEAT).encode())
    assert (beat.worker.id, beat.worker.born, beat.worker.rack) == ("i-1", 99, "r1-3")
    assert beat.worker.instance == "m-1"


@pytest.mark.parametrize(
    ("path", "value"),
    [
        ("state", "asleep"),
        ("address", 5),
        ("address", "nowhere"),
        ("capacity", None),
        ("sequence", "x"),
        ("backend", None),
    ],
)
def test_a_heartbeat_of_another_writer_names_no_worker(path, value):
    with pytest.raises(wire.InvalidBody):
        wire.decode_heartbeat("i-1", changed(BEAT, path, value))


def test_a_heartbeat_that_is_no_text_names_no_worker():
    with pytest.raises(wire.InvalidBody):
        wire.decode_heartbeat("i-1", b"\xff\x00\xfe")


def test_a_job_is_decoded():
    body = {
        "spec": "text",
        "steps": [
            {"count": 4, "cpu": 500, "memMb": 256, "estimatedMs": 900, "dataRack": "r1"},
            {"count": 2, "dependsOn": [0], "checkpointing": True, "mayMiss": 1, "targetMs": 20},
        ],
        "repetitions": 3,
        "startAtMs": 5000,
        "intervalMs": 1500,
    }
    call = wire.decode_job(REQUEST, json.dumps(body).encode())
    first, second = call.steps
    assert (first.size, first.estimate_s, first.data_rack) == (Resources(500, 256), 0.9, "r1")
    assert (second.after, second.may_miss, second.latency_target_s) == ((0,), 1, 0.02)
    assert (call.repetitions, call.first_due, call.interval_s) == (3, 5.0, 1.5)


@pytest.mark.parametrize("body", [b"", b"[]", b'{"steps":[{"count":"x"}]}', b'{"steps":5}'])
def test_a_malformed_job_is_refused(body):
    with pytest.raises(wire.InvalidBody):
        wire.decode_job(REQUEST, body)


def test_a_workers_lists_are_decoded():
    name = "5c0e7a21d94b36f8.0.1.17"
    body = {
        "clockMs": 482113,
        "running": [[name, 2, "00000bb8", 41, 12]],
        "endedRuns": [[58, name, 1, "lapsed", "c"]],
    }
    report = wire.decode_worker_report(json.dumps(body).encode())
    task = TaskId("5c0e7a21d94b36f8", 0, 1, 17)
    assert report.running[0].task == task
    assert report.ends[0].kind is EndKind.LEASE_LAPSED
    assert wire.encode_task_id(task) == name


def test_lists_of_a_later_life_under_the_same_id_are_not_taken_for_those_of_the_former(
    monkeypatch,
):
    """Guards against runs of a former life that are given up or kept by a later life's lists."""
    body = json.dumps({"clockMs": 5, "running": [], "endedRuns": [], "born": 7}).encode()
    client = WorkerClient(Clock())
    monkeypatch.setattr(client, "_call", lambda *_args: succeed(Response(200, body)))
    answers = []
    for born in (7, 6):
        fut = client.hold(worker(born=born), HoldOrder(1, 0, 1.0))
        fut.addBoth(answers.append)
    assert answers[0].clock_ms == 5
    assert answers[1].check(WorkerGone)


@pytest.mark.parametrize("body", [b"{}", b'{"clockMs":1,"running":[["x"]],"endedRuns":[]}'])
def test_lists_that_cannot_be_read_are_refused(body):
    with pytest.raises(wire.InvalidBody):
        wire.decode_worker_report(body)


def test_names_of_the_wire_stay_in_the_adapter():
    folder = ROOT / "geraniumtrack" / "platform"
    text = "".join(path.read_text() for path in folder.glob("*.py"))
    aliases = set(re.findall(r'alias="(\w+)"', text))
    aliases |= set(re.findall(r'"([a-z]+[A-Z]\w*)":', text))
    names = {name for name in aliases if re.search(r"[a-z][A-Z]", name)}
    assert "antiAffinity" in names
    for path in (ROOT / "geraniumtrack").rglob("*.py"):
        if folder in path.parents:
            continue
        words = set(re.findall(r"\w+", path.read_text()))
        assert not words & names, f"{path} uses names of the platform: {words & names}"


def test_the_deploy_file_names_programs_that_exist():
    from geraniumtrack.platform import __main__ as entry_point

    body = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
    source = Path(entry_point.__file__).read_text()
    for role in body["roles"].values():
        *command, program = role["run"].split()
        assert command == ["python3", "-m", "geraniumtrack.platform"]
        assert f'"{program}":' in source


def test_the_build_installs_what_the_project_declares():
    locked = (ROOT / "constraints.txt").read_text().lower().split()
    for line in (ROOT / "deploy" / "requirements.txt").read_text().lower().split():
        assert line in locked
