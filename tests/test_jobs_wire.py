"""The platform adapter: valid and invalid bodies, and the platform's names outside it."""

from __future__ import annotations

import json
import re
import signal
import tomllib
import tracemalloc
from pathlib import Path
from types import SimpleNamespace

import pytest
from twisted.internet.defer import fail, succeed
from twisted.internet.task import Clock
from twisted.internet.testing import MemoryReactorClock

from geraniumtrack.errors import CallFailed
from geraniumtrack.jobs.calls.advice import Ticket
from geraniumtrack.jobs.instances.machine_port import ChangeOutcome
from geraniumtrack.jobs.messages import AnswerKind, JobAnswer, JobRequest
from geraniumtrack.jobs.runs.worker_port import (
    HoldOrder,
    RunOrder,
    StartOrder,
    StartOutcome,
    WorkerRestarted,
)
from geraniumtrack.jobs.state import commands as cmds
from geraniumtrack.jobs.state.model import EndKind, Resources, TaskId
from geraniumtrack.platform import wire, worker_reports
from geraniumtrack.platform.advice_client import AdviceClient
from geraniumtrack.platform.boot import PATH_ENV_VAR, load_boot_settings
from geraniumtrack.platform.caller_api import DEFAULT_TIMEOUT_S, REPLY_MARGIN_S, CallerApi
from geraniumtrack.platform.control_api import ControlApi
from geraniumtrack.platform.machine_client import MachineClient
from geraniumtrack.platform.programs import SETTINGS_CHECK_INTERVAL_S, SettingsWatcher
from geraniumtrack.platform.worker_client import WorkerClient
from geraniumtrack.transport.http_client import HttpClient, Response
from geraniumtrack.transport.http_server import Request
from tests.jobs_support import OwnerHarness, config, queue, worker

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
HEARTBEAT = {
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


def encode_changed(body: dict, path: str, value: object) -> bytes:
    """Encodes a copy of a body with the field at `path` replaced, or removed if `value` is None."""
    copy = json.loads(json.dumps(body))
    *parents, last = path.split(".")
    parent = copy
    for name in parents:
        parent = parent[int(name)] if name.isdigit() else parent[name]
    if value is None:
        del parent[last]
    else:
        parent[last] = value
    return json.dumps(copy).encode()


def test_a_configuration_is_decoded_and_its_bytes_are_kept():
    """Guards against an operator who reads back another document than the one that was sent."""
    body = json.dumps(CONFIG).encode()
    cfg = wire.decode_config(body)
    assert cfg.document == body
    assert (cfg.queues[0].prefix, cfg.queues[0].pool) == ("/a/", "s")
    assert cfg.teams[0].cap == Resources(5, 0, 0)


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
        wire.decode_config(encode_changed(CONFIG, path, value))


@pytest.mark.parametrize("entry", [b"0", b"{}", b"[]", b'""'])
def test_a_list_of_invalid_entries_is_refused_without_an_error_for_each(entry):
    """Guards against a body of legal size whose errors take hundreds of times its memory."""
    body = b'{"spec":"x","steps":[' + b",".join([entry] * (200_000 // (len(entry) + 1))) + b"]}"
    tracemalloc.start()
    try:
        with pytest.raises(wire.InvalidBody, match=r"steps\.0"):
            wire.decode_job(JobRequest("h", "/q/1", ""), body)
        assert tracemalloc.get_traced_memory()[1] < 20 * len(body)
    finally:
        tracemalloc.stop()


def test_a_job_specification_beyond_its_limit_is_refused():
    """Guards against jobs of legal size that occupy the controllers with their text."""
    request = JobRequest("h", "/q/1", "")
    steps = [{"count": 1}]
    for text, accepted in (("x" * 4000, True), ("\u00e9" * 2001, False), ("x" * 4001, False)):
        body = json.dumps({"spec": text, "steps": steps}).encode()
        if accepted:
            assert wire.decode_job(request, body).payload == text
            continue
        with pytest.raises(wire.InvalidBody, match="at most 4000 bytes"):
            wire.decode_job(request, body)


def test_a_truncated_configuration_is_refused():
    """Guards against an error other than `InvalidBody` for a body that is not JSON."""
    with pytest.raises(wire.InvalidBody):
        wire.decode_config(json.dumps(CONFIG).encode()[:-20])


def test_a_heartbeat_is_decoded():
    heartbeat = wire.decode_heartbeat("i-1", json.dumps(HEARTBEAT).encode())
    assert (heartbeat.worker.id, heartbeat.worker.born, heartbeat.worker.rack) == (
        "i-1",
        99,
        "r1-3",
    )
    assert heartbeat.worker.instance == "m-1"


@pytest.mark.parametrize(
    ("path", "value"),
    [
        ("state", "asleep"),
        ("address", 5),
        ("address", "nowhere"),
        ("address", "999.1.1.1:80"),
        ("address", "..:80"),
        ("address", "10.0.0.1:0"),
        ("address", "10.0.0.1:65536"),
        ("address", "10.0.0.1:" + "9" * 5000),
        ("capacity", None),
        ("sequence", "x"),
        ("backend", None),
    ],
)
def test_an_invalid_heartbeat_is_refused(path, value):
    with pytest.raises(wire.InvalidBody):
        wire.decode_heartbeat("i-1", encode_changed(HEARTBEAT, path, value))


@pytest.mark.parametrize("worker_id", ["", "i-\u20ac", "i 1", "i-1\r\nX: y", "i" * 129])
def test_a_heartbeat_under_an_id_that_no_header_can_hold_is_refused(worker_id):
    """Guards against a worker whose orders cannot be encoded, or that adds headers to them."""
    with pytest.raises(wire.InvalidBody):
        wire.decode_heartbeat(worker_id, json.dumps(HEARTBEAT).encode())


@pytest.mark.parametrize(
    "fields", [{"name": "i-\u20ac"}, {"address": "nowhere"}, {"address": "h:" + "9" * 5000}]
)
def test_a_worker_that_cannot_be_called_does_not_end_the_owner(fields):
    """Guards against a controller that fails at each takeover because of one stored worker."""
    harness = OwnerHarness()
    harness.apply(cmds.Configure(config(queue())))
    harness.apply(cmds.PutWorker(worker(**fields)), cmds.PutWorker(worker("w2")))
    harness.owner._port = WorkerClient(MemoryReactorClock())
    harness.owner.start()
    harness.run(1.0)
    assert len(harness.owner.sessions) == 2


def test_a_heartbeat_that_is_not_utf8_is_refused():
    """Guards against an error other than `InvalidBody` for bytes that cannot be decoded."""
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


HUGE = "1" + "0" * 400  # a float cannot hold it


@pytest.mark.parametrize(
    "fields",
    [
        f'"cpu":{HUGE}',
        f'"memMb":{HUGE}',
        f'"count":{HUGE}',
        '"estimatedMs":1e999',
        '"estimatedMs":1e308',
        '"estimatedMs":Infinity',
        '"estimatedMs":"inf"',
        '"estimatedMs":NaN',
        '"targetMs":1e999',
    ],
)
def test_a_job_with_a_number_out_of_range_is_refused(fields):
    """Guards against arithmetic on the controllers that fails for as long as they keep the job."""
    with pytest.raises(wire.InvalidBody):
        wire.decode_job(REQUEST, f'{{"steps":[{{"count":1,{fields}}}]}}'.encode())


@pytest.mark.parametrize("fields", ['"startAtMs":1e999', '"intervalMs":1e999'])
def test_a_job_whose_schedule_is_out_of_range_is_refused(fields):
    """Guards against an occurrence that is due at a time which is no number."""
    body = f'{{"steps":[{{"count":1}}],"repetitions":2,{fields}}}'.encode()
    with pytest.raises(wire.InvalidBody):
        wire.decode_job(REQUEST, body)


@pytest.mark.parametrize("duration", ["1e999", "Infinity", HUGE])
def test_a_campaign_with_a_duration_out_of_range_is_refused(duration):
    """Guards against a campaign whose deadline is no number."""
    body = f'{{"wave":1,"machines":["m"],"durationS":{duration},"cap":1}}'.encode()
    with pytest.raises(wire.InvalidBody):
        wire.decode_maintenance(body)


def test_a_worker_report_is_decoded():
    task_id = "5c0e7a21d94b36f8.0.1.17"
    body = {
        "clockMs": 482113,
        "running": [[task_id, 2, "00000bb8", 41, 12]],
        "endedRuns": [[58, task_id, 1, "lapsed", "c"]],
    }
    report = worker_reports.decode_worker_report(json.dumps(body).encode())
    task = TaskId("5c0e7a21d94b36f8", 0, 1, 17)
    assert report.running[0].task == task
    assert report.ends[0].kind is EndKind.LEASE_LAPSED
    assert worker_reports.encode_task_id(task) == task_id


@pytest.mark.parametrize(
    ("running", "end_count", "complete"),
    [([], 499, True), ([], 500, False), ([["odd", 1]], 0, False)],
)
def test_a_report_that_may_lack_a_run_is_incomplete(running, end_count, complete):
    """Guards against a run that counts as ended because there was no room for its end."""
    ends = [[n, f"5c0e7a21d94b36f8.0.1.{n}", 1, "done", ""] for n in range(1, end_count + 1)]
    body = json.dumps({"clockMs": 5, "running": running, "endedRuns": ends}).encode()
    assert worker_reports.decode_worker_report(body).complete is complete


def test_a_hold_fails_if_another_incarnation_of_the_worker_answers(monkeypatch):
    """Guards against runs that are kept or marked as lost by the report of a later incarnation."""
    body = json.dumps({"clockMs": 5, "running": [], "endedRuns": [], "born": 7}).encode()
    client = WorkerClient(Clock())
    monkeypatch.setattr(client, "_call", lambda *_args: succeed(Response(200, body)))
    answers = []
    for born in (7, 6):
        fut = client.hold(worker(born=born), HoldOrder(1, 0, 1.0), may_send=lambda: True)
        fut.addBoth(answers.append)
    assert answers[0].clock_ms == 5
    assert answers[1].check(WorkerRestarted)


@pytest.mark.parametrize(
    "body",
    [
        b"{}",
        b"[]",
        b'{"clockMs":1,"running":5,"endedRuns":[]}',
        b'{"clockMs":1,"running":[],"endedRuns":null}',
        b'{"clockMs":"soon","running":[],"endedRuns":[]}',
    ],
)
def test_an_invalid_worker_report_is_refused(body):
    with pytest.raises(wire.InvalidBody):
        worker_reports.decode_worker_report(body)


TASK_NAME = "5c0e7a21d94b36f8.0.1.17"
UNREADABLE_ROWS = [5, None, "x", {}, [], ["x"], [TASK_NAME, None, "", 1], [5, 1, "", 1]]
UNREADABLE_ROWS += [["5" * 1000 + ".0.1.17", 1, "", 1]]
UNREADABLE_ROWS += [["5c0e7a21d94b36f8.0.1.x", 1, "", 1], ["5c0e7a21d94b36f8.0.1. 17", 1, "", 1]]


@pytest.mark.parametrize("row", UNREADABLE_ROWS)
def test_an_unreadable_running_row_does_not_hide_the_others(row):
    """Guards against a worker that counts as lost for good because of one row of its report."""
    unreadable = []
    body = {"clockMs": 1, "running": [row, [TASK_NAME, 2, "c", 41]], "endedRuns": []}
    report = worker_reports.decode_worker_report(json.dumps(body).encode(), unreadable.append)
    assert [(task.run, task.checkpoint) for task in report.running] == [(2, "c")]
    assert len(unreadable) == 1


@pytest.mark.parametrize(
    "row",
    [
        *UNREADABLE_ROWS,
        [58, TASK_NAME, 1, "evicted", ""],
        [58, TASK_NAME, 1, ["done"], ""],
        [58, 5, 1, "done", ""],
        [None, TASK_NAME, 1, "done", ""],
    ],
)
def test_an_unreadable_run_end_does_not_hide_the_others(row):
    """Guards against run ends that are never taken because of another one in the same report."""
    unreadable = []
    body = {"clockMs": 1, "running": [], "endedRuns": [row, [59, TASK_NAME, 2, "done", ""]]}
    report = worker_reports.decode_worker_report(json.dumps(body).encode(), unreadable.append)
    assert [(end.number, end.kind) for end in report.ends] == [(59, EndKind.DONE)]
    assert len(unreadable) == 1


ODD_NUMBERS = ["1e308", "18446744073709551615", str(10**15 + 1), "-1", "1.5", "true", '"7"']


@pytest.mark.parametrize("number", ODD_NUMBERS)
def test_odd_numbers_of_a_report_reach_neither_state_nor_orders(number):
    """Guards against ends that count as repeated, and holds that can't be encoded, for good."""
    body = json.dumps(
        {
            "clockMs": 1,
            "running": [[TASK_NAME, "odd", "", 1]],
            "endedRuns": [["odd", TASK_NAME, 1, "done", ""], [5, TASK_NAME, "odd", "done", ""]],
        }
    ).replace('"odd"', number)
    report = worker_reports.decode_worker_report(body.encode())
    assert (report.running, report.ends) == ((), ())
    for field in ("clockMs", "born"):
        fields = {"clockMs": 1, "running": [], "endedRuns": [], field: "odd"}
        with pytest.raises(wire.InvalidBody):
            worker_reports.decode_worker_report(
                json.dumps(fields).replace('"odd"', number).encode()
            )


def test_a_deeply_nested_row_does_not_hide_the_other_runs():
    """Guards against a session that ends its holds, as an error in decoding is not expected."""
    row = f'["{TASK_NAME}",2,"",41]'
    for depth in (900, 1000, 1020):
        odd = "[" * depth + "]" * depth
        body = f'{{"clockMs":1,"running":[{odd},{row}],"endedRuns":[{odd}]}}'
        assert [run.run for run in worker_reports.decode_worker_report(body.encode()).running] == [
            2
        ]


@pytest.mark.parametrize("rest", [[], [5, 1, 2], ["", "x", 2], ["", 0, "x"], ["", 0, None]])
def test_a_run_with_unreadable_details_stays_in_the_report(rest):
    """Guards against a second start of a task whose run is missing in the report."""
    body = {"clockMs": 1, "running": [[TASK_NAME, 2, *rest]], "endedRuns": []}
    unreadable = []
    (run,) = worker_reports.decode_worker_report(
        json.dumps(body).encode(), unreadable.append
    ).running
    assert (run.run, run.checkpoint, len(unreadable)) == (2, "", 1)
    assert isinstance(run.percent, int) and isinstance(run.metric, int | float)


def test_null_is_no_checkpoint():
    """Guards against a start order that carries the text of a missing value as checkpoint."""
    body = {
        "clockMs": 1,
        "running": [[TASK_NAME, 2, None, 41]],
        "endedRuns": [[58, TASK_NAME, 1, "lapsed", None]],
    }
    report = worker_reports.decode_worker_report(json.dumps(body).encode())
    assert (report.running[0].checkpoint, report.ends[0].checkpoint) == ("", "")


def hold_with_reports(monkeypatch, *ends):
    """Holds a worker with `ends` uncommitted; returns the client, its clock and the bodies sent."""
    clock = Clock()
    client = WorkerClient(clock)
    bodies = []
    body = json.dumps({"clockMs": 5, "running": [], "endedRuns": ends}).encode()

    def record_call(_worker, _path, request, _timeout_s, _may_send):
        bodies.append(request)
        return succeed(Response(200, body))

    monkeypatch.setattr(client, "_call", record_call)
    return client, clock, bodies


def test_an_unreadable_run_end_is_acknowledged_only_directly_after_a_committed_one(monkeypatch):
    """Guards against a list of 500 unreadable ends that hides all later ones for good.

    An acknowledgement must not pass a readable end that is not committed yet.
    """
    bad = [[number, TASK_NAME, 1, "evicted", ""] for number in (58, 59, 61, 10**12)]
    client, _, bodies = hold_with_reports(monkeypatch, *bad, [60, TASK_NAME, 2, "done", ""])
    for committed in (57, 57, 60):
        client.hold(worker(), HoldOrder(1, committed, 1.0), may_send=lambda: True)
    assert [body["lastSeen"] for body in bodies] == [57, 59, 61]


def test_a_task_name_that_is_no_text_does_not_end_the_holds(monkeypatch):
    """Guards against an error that is no failed call, after which no hold is sent any more."""
    rows = [[58, 5, 1, "done", ""], [59, TASK_NAME, 2, "done", ""]]
    client, _, _ = hold_with_reports(monkeypatch, *rows)
    answers = []
    client.hold(worker(), HoldOrder(1, 57, 1.0), may_send=lambda: True).addBoth(answers.append)
    assert [end.number for end in answers[0].ends] == [59]


def test_a_report_with_only_unreadable_run_ends_is_delayed(monkeypatch):
    """Guards against holds that follow each other without a pause, each answered at once."""
    client, clock, _ = hold_with_reports(monkeypatch, [None, TASK_NAME, 1, "done", ""])
    answers = []
    client.hold(worker(), HoldOrder(1, 0, 1.0), may_send=lambda: True).addCallback(answers.append)
    assert answers == []
    clock.advance(1.0)
    assert answers[0].ends == ()


@pytest.mark.parametrize(
    "row",
    [
        5,
        None,
        [],
        {},
        {"machine": None},
        {"state": []},
        {"zone": None},
        {"labels": {"a": 1}},
        {"labels": [1, 2]},
        {"capacity": 5},
        {"capacity": {"cpu": "x", "memMb": 1}},
    ],
)
def test_an_unreadable_entry_does_not_hide_the_other_instances(monkeypatch, row):
    """Guards against a fleet that is not changed any more because of one entry of the list."""
    good = {
        "machine": "m-1",
        "pool": "p",
        "state": "up",
        "zone": "z",
        "labels": ["a", "r1"],
        "capacity": {"cpu": 16000, "memMb": 32768, "gpu": 0},
        "id": "i-1",
    }
    bad = {**good, **row} if row and isinstance(row, dict) else row
    page = json.dumps({"machines": [bad, good]}).encode()
    monkeypatch.setattr(HttpClient, "call", lambda *_a, **_k: succeed(Response(200, page)))
    boot = SimpleNamespace(machines=SimpleNamespace(address="h:1"), node="c")
    lists = []
    MachineClient(Clock(), boot).instances().addCallback(lists.append)
    assert [(item.id, item.rack) for item in lists[0].instances] == [("m-1", "r1")]


def entry(**fields) -> bytes:
    """Returns an encoded entry of the instance list."""
    row = {"machine": "m-1", "pool": "p", "state": "up", "zone": "z"}
    return json.dumps({**row, "capacity": {"cpu": 16000, "memMb": 32768}, **fields}).encode()


def read_instances(monkeypatch, page: bytes) -> list:
    """Returns the lists that the client of the machine API makes of one page."""
    monkeypatch.setattr(HttpClient, "call", lambda *_a, **_k: succeed(Response(200, page)))
    boot = SimpleNamespace(machines=SimpleNamespace(address="h:1"), node="c")
    lists = []
    MachineClient(Clock(), boot).instances().addBoth(lists.append)
    return lists


@pytest.mark.parametrize(
    "odd",
    [
        *(b"[" * depth + b"]" * depth for depth in (900, 1000, 1023, 1024, 100_000)),
        b'{"machine":' + b"[" * 1000 + b"]" * 1000 + b"}",
        entry(machine="m-9").replace(b"16000", b"1e400"),
        entry(machine="m-9").replace(b"16000", b"9" * 400),
        entry(machine="m-9").replace(b"16000", b"18446744073709551615"),
        entry(machine="m-9").replace(b"16000", b"-1"),
        entry(machine='\\" [,{').replace(b"16000", b"NaN"),
        b'"\xff"',
        b"",
    ],
)
def test_an_entry_that_json_decoders_reject_does_not_hide_the_other_instances(monkeypatch, odd):
    """Guards against a fleet that is not changed any more because of one entry of the list."""
    for page in (b",".join(rows) for rows in ([odd, entry()], [entry(), odd], [entry()])):
        (found,) = read_instances(monkeypatch, b'{"x":"machines","machines":[%s],"y":[1]}' % page)
        assert [item.id for item in found.instances] == ["m-1"]


def test_a_page_with_unreadable_entries_only_names_the_next_one(monkeypatch):
    """Guards against a list that ends before its last page."""
    pages = [b'{"machines":[1e400],"nextPageToken":"2"}', b'{"machines":[%s]}' % entry()]
    monkeypatch.setattr(HttpClient, "call", lambda *_a, **_k: succeed(Response(200, pages.pop(0))))
    boot = SimpleNamespace(machines=SimpleNamespace(address="h:1"), node="c")
    lists = []
    MachineClient(Clock(), boot).instances().addCallback(lists.append)
    assert [item.id for item in lists[0].instances] == ["m-1"]
    assert not lists[0].complete


@pytest.mark.parametrize(
    ("pages", "complete"),
    [
        ([b'{"machines":[%s]}'], True),
        ([b'{"machines":[%s,1e400]}'], False),
        ([b'{"machines":[%s,{"machine":"m-2"}]}'], False),
        ([b'{"machines":[%s],"nextPageToken":"2"}', b'{"machines":[]}'], False),
    ],
)
def test_an_instance_list_that_may_lack_an_instance_is_incomplete(monkeypatch, pages, complete):
    """Guards against a worker that counts as ended as its instance was left out of the list."""
    answers = [page % entry() if b"%s" in page else page for page in pages]
    monkeypatch.setattr(
        HttpClient, "call", lambda *_a, **_k: succeed(Response(200, answers.pop(0)))
    )
    boot = SimpleNamespace(machines=SimpleNamespace(address="h:1"), node="c")
    lists = []
    MachineClient(Clock(), boot).instances().addCallback(lists.append)
    assert lists[0].complete is complete


@pytest.mark.parametrize(
    "page",
    [
        b"[]",
        b"5",
        b'{"machines":5}',
        b'{"machines":{"a":1}}',
        b"\xff",
        b'{"machines":[1e400',
        b'{"machines":[],"nextPageToken":%s}' % (b"[" * 1000 + b"]" * 1000),
    ],
)
def test_an_instance_list_that_cannot_be_read_is_none(monkeypatch, page):
    """Guards against a Deferred that fails, after which the list is never requested again."""
    assert read_instances(monkeypatch, page) == [None]


@pytest.mark.parametrize("body", [b"[]", b"5", b'{"reason":[]}', b"\xff"])
def test_an_unreadable_answer_to_an_instance_order_is_unclear(monkeypatch, body):
    """Guards against a change that stays in progress for good, since its order has no outcome."""
    monkeypatch.setattr(HttpClient, "call", lambda *_a, **_k: succeed(Response(409, body)))
    boot = SimpleNamespace(machines=SimpleNamespace(address="h:1"), node="c")
    outcomes = []
    fut = MachineClient(Clock(), boot).move("m", "p", fence=1, may_send=lambda: True)
    fut.addCallback(outcomes.append)
    assert outcomes == [ChangeOutcome.UNCLEAR]


@pytest.mark.parametrize("row", [5, None, [], ["w"], ["w", None], [["w"], "t"], {"w": "t"}])
def test_an_unreadable_ticket_does_not_hide_the_others(monkeypatch, row):
    """Guards against a step that never starts because of one row of the policy service."""
    body = json.dumps({"validityMs": 2000, "allowedWorkers": [row, ["w1", "t1"]]}).encode()
    monkeypatch.setattr(HttpClient, "call", lambda *_a, **_k: succeed(Response(200, body)))
    found = []
    client = AdviceClient(Clock(), "h:1")
    client.request_tickets(("5c0e7a21d94b36f8", 0, 0), ("w1",)).addCallback(found.append)
    assert found == [[Ticket("w1", "t1", 2.0)]]


@pytest.mark.parametrize(
    "body", [b"[]", b"5", b"{}", b'{"validityMs":[],"allowedWorkers":[]}', b"\xff"]
)
def test_an_answer_of_the_policy_service_that_cannot_be_read_is_none(monkeypatch, body):
    """Guards against a Deferred that fails, after which no ticket is requested any more."""
    monkeypatch.setattr(HttpClient, "call", lambda *_a, **_k: succeed(Response(200, body)))
    found = []
    client = AdviceClient(Clock(), "h:1")
    client.request_tickets(("5c0e7a21d94b36f8", 0, 0), ("w1",)).addCallback(found.append)
    assert found == [None]


def test_names_of_the_platform_are_used_only_in_the_adapter():
    """Guards against code that has to change together with the platform's interface."""
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


def test_the_deploy_file_runs_programs_that_exist():
    """Guards against a deployment whose programs cannot start after one was renamed."""
    from geraniumtrack.platform import __main__ as entry_point

    body = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
    source = Path(entry_point.__file__).read_text()
    for role in body["roles"].values():
        *command, program = role["run"].split()
        assert command == ["python3", "-m", "geraniumtrack.platform"]
        assert f'"{program}":' in source


def test_deploy_requirements_are_pinned_as_in_the_constraints():
    """Guards against a build that installs other versions than the tests ran with."""
    locked = (ROOT / "constraints.txt").read_text().lower().split()
    for line in (ROOT / "deploy" / "requirements.txt").read_text().lower().split():
        assert line in locked


@pytest.mark.parametrize("text", ["", "soon", "nan", "inf", "-inf"])
def test_a_call_without_a_valid_timeout_gets_the_default(text):
    """Guards against a timer that is set to a time which is no number."""
    timeouts = []

    def record_call(_body, *, timeout_s):
        timeouts.append(timeout_s)
        return succeed(JobAnswer(AnswerKind.NO_JOB))

    api = CallerApi(Clock(), SimpleNamespace(call=record_call))
    headers = {"geraniumtrack-deadline-ms": text} if text else {}
    api.handle(Request("GET", "/q/5c0e7a21d94b36f8", headers, b"", 0.0))
    assert timeouts == [DEFAULT_TIMEOUT_S - REPLY_MARGIN_S]


@pytest.mark.parametrize("number", ["", "x", "-1", "%C2%B2", "%D9%A1", "9" * 5000])
def test_a_campaign_whose_number_cannot_be_read_is_unknown(number):
    """Guards against status 500 for a number that Python takes for digits but cannot convert."""
    api = ControlApi(SimpleNamespace(call=lambda *_a, **_k: pytest.fail("called")), 80)
    reply = api.handle(Request("GET", f"/wave-get/{number}", {}, b"", 0.0))
    assert reply.status == 404


UNREADABLE_BODIES = [b"", b"\xff\xfe", b"[]", b"5", b"null", b'{"a":"\\ud800"}', b"[" * 100_000]


@pytest.mark.parametrize("body", UNREADABLE_BODIES)
@pytest.mark.parametrize(
    ("method", "path"),
    [("PUT", "/instances/i-1"), ("PUT", "/config"), ("POST", "/wave-start")],
)
def test_an_unreadable_body_of_a_worker_or_operator_is_refused(method, path, body):
    """Guards against an error that no handler expects, and against an answer other than 400."""
    api = ControlApi(SimpleNamespace(call=lambda *_a, **_k: pytest.fail("called")), 80)
    assert api.handle(Request(method, path, {}, body, 0.0)).status == 400


@pytest.mark.parametrize("body", UNREADABLE_BODIES)
def test_an_unreadable_job_reaches_the_owner_as_invalid(body):
    """Guards against an error in the entry, which would hide the status of queue and key."""
    calls = []

    def record_call(call, *, timeout_s):
        calls.append(call)
        return succeed(JobAnswer(AnswerKind.INVALID))

    api = CallerApi(Clock(), SimpleNamespace(call=record_call))
    replies = []
    request = Request("POST", "/q/\xff%ff%00", {"host": "\xff"}, body, 0.0)
    api.handle(request).addCallback(replies.append)
    assert (calls[0].steps, replies[0].status) == ((), 400)


@pytest.mark.parametrize(("text", "fenced"), [("true", True), ("false", False), ("", False)])
def test_fencing_of_instance_orders_is_read_from_the_bounds(tmp_path, monkeypatch, text, fenced):
    """Guards against orders that rely on fencing tokens which the platform does not compare."""
    bounds = f"[bounds]\nenforceFencing = {text}\n" if text else ""
    path = tmp_path / "boot.toml"
    path.write_text(
        'nodeName = "c"\nip = "10.0.0.1"\nzone = "dc1"\ninternalPortRange = [7000, 7015]\n'
        'seeds = ["10.0.0.1:80"]\ndataDir = "/data"\n' + bounds
    )
    monkeypatch.setenv(PATH_ENV_VAR, str(path))
    assert load_boot_settings().core_settings().instance_orders_fenced is fenced


BOOT_FILE = (
    b'nodeName = "c"\nip = "10.0.0.1"\nzone = "dc1"\ninternalPortRange = [7000, 7015]\n'
    b'seeds = ["10.0.0.1:80"]\n'
)


@pytest.mark.parametrize(
    "unreadable",
    [
        None,  # the file is missing
        b"",
        b"\xff\xfe",
        BOOT_FILE[:60],
        BOOT_FILE.replace(b"10.0.0.1:80", b"10.0.0.1"),
        BOOT_FILE.replace(b"10.0.0.1:80", b"10.0.0.1:x"),
        BOOT_FILE + b"a = " + b"[" * 100_000,
    ],
)
def test_an_unreadable_settings_file_is_read_again_at_the_next_check(
    tmp_path, monkeypatch, unreadable
):
    """Guards against a process that never sees later settings after it read half a file."""
    path = tmp_path / "boot.toml"
    path.write_bytes(BOOT_FILE)
    monkeypatch.setenv(PATH_ENV_VAR, str(path))
    monkeypatch.setattr(signal, "signal", lambda *_: None)
    clock, seeds = Clock(), []
    watcher = SettingsWatcher(clock, load_boot_settings(), seeds.append)
    watcher.start()
    path.unlink()
    if unreadable is not None:
        path.write_bytes(unreadable)
    clock.advance(SETTINGS_CHECK_INTERVAL_S)
    path.write_bytes(BOOT_FILE.replace(b'80"', b'80", "10.0.0.2:80"'))
    clock.advance(SETTINGS_CHECK_INTERVAL_S)
    assert seeds == [("10.0.0.1", "10.0.0.2")]


@pytest.mark.parametrize("order", ["move", "maintain"])
def test_an_instance_order_leaves_only_with_the_permission_of_its_sender(monkeypatch, order):
    """Guards against orders of a former owner whose connection opened after its lease expired."""
    machines = MachineClient(
        Clock(), SimpleNamespace(machines=SimpleNamespace(address="h:1"), node="c")
    )
    permissions = []

    def record_call(self, _method, _path, *, may_send, **_fields):
        permissions.append(may_send())
        return fail(CallFailed("not permitted", sent=False))

    monkeypatch.setattr(HttpClient, "call", record_call)
    outcomes = []
    target = {"move": "p", "maintain": 1}[order]
    getattr(machines, order)("m", target, fence=3, may_send=lambda: False).addCallback(
        outcomes.append
    )
    assert (permissions, outcomes) == ([False], [ChangeOutcome.LIMITED])


TASK = TaskId("5c0e7a21d94b36f8", 0, 0, 0)
RUN_ORDER = RunOrder(TASK, 1, 3)


@pytest.mark.parametrize(
    ("name", "arguments", "result"),
    [
        ("start", (StartOrder(TASK, 1, "x", 5, 3),), StartOutcome.UNHEALTHY),
        ("stop", (RUN_ORDER,), False),
        ("pace", (RUN_ORDER, 50), False),
        ("hold", (HoldOrder(3, 0, 0.0),), "not sent"),
    ],
)
def test_a_worker_order_leaves_only_with_the_permission_of_its_sender(
    monkeypatch, name, arguments, result
):
    """Guards against orders of a former owner whose connection opened after its lease expired."""
    permissions = []

    def record_call(self, _method, _path, *, may_send, **_fields):
        permissions.append(may_send())
        return fail(CallFailed("not permitted", sent=False))

    monkeypatch.setattr(HttpClient, "call", record_call)
    results = []
    fut = getattr(WorkerClient(Clock()), name)(worker(), *arguments, may_send=lambda: False)
    fut.addErrback(lambda failure: "sent" if failure.value.sent else "not sent")
    fut.addCallback(results.append)
    assert (permissions, results) == ([False], [result])
