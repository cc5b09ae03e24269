"""Bad input on the HTTP interfaces: it is refused with a reason code, and the process goes on."""

import functools
import http.client
import io
import json
import socket
import types

import pytest
from hypothesis import given
from hypothesis import strategies as st
from klein import Klein
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport

from geraniumtrack import fleet, settings
from geraniumtrack.errors import SettingsError
from geraniumtrack.protocol.caller_api import CallerApi
from geraniumtrack.protocol.http import (
    RECEIVE_TIMEOUT_S,
    HttpBounds,
    bounded_site,
    with_json_errors,
)
from geraniumtrack.protocol.metrics_api import add_metrics
from geraniumtrack.protocol.operator_api import OperatorApi
from geraniumtrack.protocol.target_api import AnnouncementApi
from geraniumtrack.sentinels import Absent
from standins.cluster import Cluster, Plan

LIMIT = 5000
SECRET = b"s" * 32

json_values = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: st.lists(inner, max_size=4) | st.dictionaries(st.text(), inner, max_size=4),
    max_leaves=12,
)


@functools.cache
def combined_app():
    """Returns the interfaces of entry and controller as one app, over stubs of both.

    A look-up of the queue `fault` raises an exception.
    """

    def find_queue(name):
        if name == "fault":
            raise RuntimeError("fault")
        return Absent("unknown_queue", "no such queue")

    view = types.SimpleNamespace(queue=find_queue)
    entry = types.SimpleNamespace(
        accepts_requests=lambda: True,
        ready=lambda: True,
        handle_announcement=lambda announcement: None,
    )
    app = with_json_errors(Klein())
    add_metrics(app, SECRET)
    apps = {
        "/v1/targets": AnnouncementApi(entry).app,
        "/operator": OperatorApi(types.SimpleNamespace(), SECRET).app,
        "/": CallerApi(entry, cfg=types.SimpleNamespace(max_body_bytes=LIMIT), view=view).app,
    }
    for path, inner in apps.items():
        app.route(path, branch=True, endpoint=path)(lambda req, inner=inner: inner.resource())
    return app


def site(clock, **bounds):
    """Returns a site that bounds its requests, with the combined app."""
    return bounded_site(clock, combined_app(), HttpBounds(max_body_bytes=LIMIT, **bounds))


def send_bytes(data, *, clock=None, advance=0.0):
    """Sends bytes on a new connection, then advances the clock; returns the reply and transport."""
    clock = clock or Clock()
    protocol = site(clock).buildProtocol(None)
    transport = StringTransport()
    protocol.makeConnection(transport)
    for start in range(0, len(data), 300):
        if not transport.disconnecting:  # a closed connection delivers nothing more
            protocol.dataReceived(data[start : start + 300])
    clock.advance(advance)
    return transport.value(), transport


def parse_response(answer):
    """Returns the status and the decoded JSON body of a response."""
    response = http.client.HTTPResponse(
        types.SimpleNamespace(makefile=lambda mode: io.BytesIO(answer))
    )
    response.begin()
    return response.status, json.loads(response.read())


@pytest.mark.parametrize(
    ("request_bytes", "status", "error"),
    [
        (b"GET /nowhere HTTP/1.1\r\n\r\n", 404, "unknown_path"),
        (b"PATCH /v1/queues/q HTTP/1.1\r\n\r\n", 405, "wrong_method"),
        (b"GET /v1/targets/announce HTTP/1.1\r\n\r\n", 405, "wrong_method"),
        (b"POST /v1/queues/q HTTP/1.1\r\nContent-Length: 5001\r\n\r\n", 413, "too_large"),
        (
            b"POST /v1/queues/q HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
            + (b"200\r\n" + b"x" * 512 + b"\r\n") * 12,
            413,
            "too_large",
        ),
        (
            b"POST /v1/targets/announce HTTP/1.1\r\nContent-Length: 2\r\n\r\n{]",
            400,
            "bad_announcement",
        ),
        (
            b"POST /v1/targets/announce HTTP/1.1\r\nContent-Length: 4000\r\n\r\n" + b"[" * 4000,
            400,
            "bad_announcement",
        ),
        (
            b"POST /v1/queues/q HTTP/1.1\r\nContent-Type: multipart/form-data\r\n"
            b"Content-Length: 4\r\n\r\nform",
            404,
            "unknown_queue",
        ),
        (b"POST /v1/queues/q HTTP/1.1\r\ntraceparent: \xff\r\n\r\n", 404, "unknown_queue"),
        (b"GET /metrics HTTP/1.1\r\nAuthorization: Bearer \xff\xfe\r\n\r\n", 401, "not_operator"),
    ],
)
def test_bad_request_is_refused_with_its_reason_code(request_bytes, status, error):
    answer, _ = send_bytes(request_bytes)
    got, body = parse_response(answer)
    assert (got, body["error"]) == (status, error)


@pytest.mark.parametrize(
    ("request_bytes", "status", "error"),
    [
        (b"GET /nowhere HTTP/1.1\r\n\r\n", 404, "unknown_path"),
        (b"PATCH /v1/queues/q HTTP/1.1\r\n\r\n", 405, "wrong_method"),
        (b"POST /v1/queues/q HTTP/1.1\r\n\r\n", 404, "unknown_queue"),
        (b"POST /v1/queues/q HTTP/1.1\r\nContent-Length: 5001\r\n\r\n", 413, "too_large"),
        (b"POST /v1/queues/fault HTTP/1.1\r\n\r\n", 500, "internal"),
    ],
)
def test_refusal_of_a_caller_has_the_refusal_header(request_bytes, status, error):
    """Guards against a caller that takes a refusal for the answer of a target."""
    answer, _ = send_bytes(request_bytes)
    got, body = parse_response(answer)
    assert (got, body["error"]) == (status, error)
    assert f"geraniumtrack-refusal: {error}\r\n".encode() in answer.lower()


def test_too_large_body_is_refused_before_it_is_buffered():
    """Guards against a process that fills its memory with a body that it refuses in the end."""
    head = b"POST /v1/queues/q HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
    clock = Clock()
    protocol = site(clock).buildProtocol(None)
    transport = StringTransport()
    protocol.makeConnection(transport)
    protocol.dataReceived(head)
    for _ in range(100):
        protocol.dataReceived(b"200\r\n" + b"x" * 512 + b"\r\n")
    request = protocol.requests[0]
    assert request.content.tell() <= LIMIT
    clock.advance(2)
    assert transport.disconnecting


def test_incomplete_requests_are_refused_when_they_take_too_much_memory_together():
    """Guards against an entry that keeps any number of bodies which never arrive in full."""
    clock = Clock()
    factory, transports = site(clock, max_buffered_bytes=8 * LIMIT), []
    for _ in range(12):
        protocol, transport = factory.buildProtocol(None), StringTransport()
        protocol.makeConnection(transport)
        protocol.dataReceived(b"POST /v1/queues/q HTTP/1.1\r\nContent-Length: 5000\r\n\r\n")
        clock.advance(0.1)
        protocol.dataReceived(b"x" * 4999)
        transports.append(transport)
    refused = [transport for transport in transports if transport.value()]
    assert transports[0] in refused and transports[-1] not in refused
    status, body = parse_response(refused[0].value())
    assert (status, body["error"], body["run"]) == (503, "overloaded", "not_run")
    assert b"Retry-After: 1" in refused[0].value()


def test_incomplete_request_is_refused_after_the_receive_timeout():
    """Guards against connections that keep a request open for ever by never completing it."""
    head = b"POST /v1/queues/q HTTP/1.1\r\nContent-Length: 100\r\n\r\nhalf"
    assert send_bytes(head, advance=RECEIVE_TIMEOUT_S - 1)[0] == b""
    status, body = parse_response(send_bytes(head, advance=RECEIVE_TIMEOUT_S)[0])
    assert (status, body["error"]) == (408, "too_slow")


request_pieces = st.sampled_from(
    [
        b"POST /v1/targets/announce HTTP/1.1\r\n",
        b"GET /readyz HTTP/1.0\r\n",
        b"PUT /v1/queues/%ff%00 HTTP/1.1\r\n",
        b"Content-Length: 5\r\n",
        b"Content-Length: 5, 6\r\n",
        b"Transfer-Encoding: chunked\r\n",
        b"Expect: 100-continue\r\n",
        b"Authorization: Bearer \xff\r\n",
        b" folded\r\n",
        b"5\r\nhello\r\n",
        b"fffffffff\r\n",
        b"0\r\n",
        b"\r\n",
    ]
)


@given(st.lists(request_pieces | st.binary(max_size=40), max_size=12).map(b"".join))
def test_site_serves_requests_after_any_bytes_on_another_connection(data):
    """Guards against bytes from one client that stop the server for all others."""
    send_bytes(data)
    assert parse_response(send_bytes(b"GET /nowhere HTTP/1.1\r\n\r\n")[0])[0] == 404


@given(json_values, st.sampled_from(["/v1/targets/announce", "/operator/v1/fleet"]))
def test_any_json_is_answered_without_an_internal_error(value, path):
    """Guards against fields of an unexpected type that reach code which cannot handle them."""
    body = json.dumps(value).encode()[:LIMIT]
    head = f"POST {path} HTTP/1.1\r\nContent-Length: {len(body)}\r\n\r\n".encode()
    assert parse_response(send_bytes(head + body)[0])[0] in (400, 401)


@given(
    st.fixed_dictionaries(
        {},
        optional={
            name: json_values
            for name in ("data_centres", "pools", "queues", "teams", "name", "kind", "controllers")
        },
    )
)
def test_invalid_fleets_and_settings_raise_only_settings_errors(value):
    """Guards against exceptions of the validation library that no caller handles."""
    for check in (
        fleet.parse_fleet,
        lambda v: settings.validate_settings("f", v, settings.EntrySettings),
    ):
        with pytest.raises(SettingsError):
            check(value)


def test_a_deeply_nested_settings_file_is_a_settings_error(tmp_path):
    """Guards against a process that ends with a traceback in place of the file's name."""
    path = tmp_path / "entry.json"
    path.write_text("[" * 100_000 + "]" * 100_000)
    with pytest.raises(SettingsError, match="cannot be read"):
        settings.load_settings(path, settings.EntrySettings)


@pytest.mark.parametrize(
    ("field", "value"),
    [
        ("address", "999.1.1.1:80"),
        ("address", "10.0.0.1:0"),
        ("address", "10.0.0.1:80\r\nX: y"),
        ("name", "a/b"),
        ("name", "a\r\nb"),
        ("usage", float("inf")),
        ("slots", 0),
        ("incarnation", -1),
        ("running", ["x" * 200]),
    ],
)
def test_announcement_refusal_names_the_field_that_is_out_of_range(field, value):
    good = {"name": "t1", "data_centre": "dc1", "address": "10.0.0.1:80"}
    good |= {"slots": 8, "incarnation": 1}
    body = json.dumps({**good, field: value}).encode()
    head = b"POST /v1/targets/announce HTTP/1.1\r\nContent-Length: %d\r\n\r\n" % len(body)
    status, answer = parse_response(send_bytes(head + body)[0])
    assert status == 400
    assert field in answer["message"]


def test_processes_survive_bad_input(tmp_path):
    """Guards against an entry or a controller that exits or stops answering after a bad request."""
    plan = Plan(
        ("dc1",), controllers=1, entries_per_data_centre=1, pools=("proofs",), targets_per_pool=1
    )
    with Cluster(tmp_path, plan) as cluster:
        cluster.apply()
        cluster.wait_ready()
        _, key = cluster.issue_key("acme")
        auth = f"Authorization: Bearer {key}\r\n".encode()
        token = cluster.operator._token.encode()
        surrogate_key = json.dumps(
            {"operation_id": "o\ud800", "key_id": "k", "team": "acme", "digest": "00" * 32}
        ).encode()
        connections = []  # seven to the entry, then seven to the controller
        for port in (cluster.http_ports["e1a"], cluster.http_ports["c1"]):
            for data in (
                b"\x00" * 5000,
                b"GET " + b"x" * 20000 + b" HTTP/1.1\r\n\r\n",
                b"POST /v1/queues/proofs HTTP/1.1\r\nContent-Length: 99999999999\r\n\r\n",
                b"POST /v1/queues/proofs HTTP/1.1\r\nContent-Length: -1\r\n\r\n",
                b"POST /v1/queues/proofs/%01%09Task-Id HTTP/1.1\r\n"
                + auth
                + b"Content-Length: 2\r\n\r\n{}",
                b"POST /v1/keys HTTP/1.1\r\nAuthorization: Bearer "
                + token
                + b"\r\nContent-Length: %d\r\n\r\n" % len(surrogate_key)
                + surrogate_key,
                b"POST /v1/queues/proofs HTTP/1.1\r\nContent-Length: 50\r\n\r\nhalf",
            ):
                conn = socket.create_connection(("127.0.0.1", port), timeout=5)
                conn.sendall(data)
                connections.append(conn)
        cluster.wait_for(
            lambda: cluster.request("e1a", "POST", "/v1/queues/proofs", key=key, body=b"{}")[0]
            == 200,
            "an answer after the bad input",
        )
        path_reply, key_reply = connections[4].recv(4096), connections[12].recv(4096)
        for conn in connections:
            conn.close()
        assert all(process.poll() is None for process in cluster.processes.values())
        assert cluster.operator.view()["version"] > 0
        assert b"bad_path" in path_reply
        assert b"bad_request" in key_reply
