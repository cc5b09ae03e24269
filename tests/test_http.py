"""The HTTP client and server for paths with high load, against each other on loopback."""

from __future__ import annotations

import socket
from types import SimpleNamespace

import pytest
from twisted.internet import reactor
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock, deferLater
from twisted.internet.testing import StringTransport
from twisted.internet.threads import deferToThread

from geraniumtrack.errors import CallFailed
from geraniumtrack.protocol.address import Address
from geraniumtrack.transport.connection_table import ConnectionLimits, ConnectionTable
from geraniumtrack.transport.http_client import HttpClient
from geraniumtrack.transport.http_connection import MAX_PIPELINED, ServerConnection, ServerContext
from geraniumtrack.transport.http_server import HttpLimits, HttpServer, Reply
from geraniumtrack.transport.memory_limiter import MemoryLimiter
from tests.reactor_support import wait_for

pytestmark = pytest.mark.usefixtures("reactor_stopped_at_end")

REPLY_DELAY_S = 0.2
LARGE_BODY = bytes(range(256)) * 8192
CLOSE = b"Connection: close\r\n\r\n"
LIMITS = HttpLimits(max_header_bytes=2000, max_body_bytes=1000, header_timeout_s=0.5)


@pytest.fixture
def server_port():
    """Runs a server with a handler for the tests; yields its port."""

    def handle(request):
        if request.path == "/silent":
            return Deferred()
        if request.path == "/fault":
            raise ValueError("the handler failed")
        if request.path == "/delayed":
            return deferLater(reactor, REPLY_DELAY_S, Reply, 200)
        if request.path == "/drain":
            http_server.drain()
            return deferLater(reactor, REPLY_DELAY_S, Reply, 200)
        if request.path == "/large":
            return Reply(200, LARGE_BODY)
        if request.path == "/headers":
            return Reply(200, repr(request.headers).encode())
        return Reply(200, request.method.encode() + b" " + request.body)

    port = free_port()
    http_server = HttpServer(reactor, handle, limits=lambda: LIMITS, headers=("kept",))
    wait_for(http_server.listen(Address("127.0.0.1", port)))
    yield port
    http_server.stop_listening()


def free_port() -> int:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def call(port: int, method: str, path: str, body: bytes = b"", timeout_s: float = 2.0):
    client = HttpClient(reactor, Address("127.0.0.1", port))
    try:
        return wait_for(client.call(method, path, body=body, timeout_s=timeout_s))
    finally:
        client.close()


def send_raw(port: int, data: bytes) -> bytes:
    """Sends bytes on a new connection; returns all bytes received until the server closes it."""
    return wait_for(deferToThread(_send_raw, port, data))


def _send_raw(port: int, data: bytes) -> bytes:
    with socket.create_connection(("127.0.0.1", port), timeout=3) as conn:
        conn.sendall(data)
        parts = []
        while part := conn.recv(65536):
            parts.append(part)
        return b"".join(parts)


def test_a_call_gets_its_response(server_port):
    response = call(server_port, "POST", "/a", b"text")
    assert (response.status, response.body) == (200, b"POST text")


def test_a_call_that_gets_no_response_fails_as_sent(server_port):
    """Guards against a second run of a call that the server may have executed."""
    with pytest.raises(CallFailed) as failure:
        call(server_port, "GET", "/silent", timeout_s=0.2)
    assert failure.value.sent


@pytest.mark.parametrize("kept", [False, True])
def test_a_call_without_permission_when_its_connection_is_open_is_not_sent(server_port, kept):
    """Guards against an order that leaves after the lease of its sender has expired.

    The permission is asked for on a new connection as on one that was kept open.
    """
    client = HttpClient(reactor, Address("127.0.0.1", server_port))
    if kept:
        wait_for(client.call("GET", "/a", timeout_s=2.0))
    permission = iter([False, True])
    try:
        with pytest.raises(CallFailed) as failure:
            wait_for(client.call("GET", "/a", timeout_s=2.0, may_send=lambda: next(permission)))
        assert not failure.value.sent
        response = wait_for(
            client.call("GET", "/a", timeout_s=2.0, may_send=lambda: next(permission))
        )
        assert response.status == 200
    finally:
        client.close()


def test_a_call_to_a_closed_port_fails_as_not_sent():
    """Guards against reporting a call as possibly executed although it was not sent."""
    with pytest.raises(CallFailed) as failure:
        call(free_port(), "GET", "/")
    assert not failure.value.sent


def test_an_exception_in_a_handler_is_answered_with_500(server_port):
    """Guards against a caller that waits for an answer which a faulty handler never gives."""
    assert call(server_port, "GET", "/fault").status == 500


def test_a_refused_connection_is_told_apart_from_other_failures(server_port):
    """Guards against taking a silent peer for one whose process has ended."""
    for port, path, refused in ((free_port(), "/", True), (server_port, "/silent", False)):
        with pytest.raises(CallFailed) as failure:
            call(port, "GET", path, timeout_s=0.2)
        assert failure.value.refused is refused


def test_a_body_over_the_limit_is_refused(server_port):
    assert call(server_port, "POST", "/a", b"x" * 2000).status == 413


def test_headers_over_the_limit_are_refused(server_port):
    assert b" 431 " in send_raw(server_port, b"GET / HTTP/1.1\r\nA: " + b"x" * 3000 + b"\r\n\r\n")


@pytest.mark.parametrize(
    "start",
    [b"GET / HTTP/1.1\r\nA: ", b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nA: "],
)
def test_a_header_line_without_end_is_refused(server_port, start):
    """Guards against a header or trailer line that the parser collects without limit."""
    assert b" 431 " in send_raw(server_port, start + b"x" * 12_000)


def test_the_handler_gets_only_headers_that_it_reads(server_port):
    """Guards against memory for other headers, and against trailers that replace headers."""
    request = (
        b"POST /headers HTTP/1.1\r\nKept: 1\r\nOther: 2\r\nConnection: close\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\nKept: 3\r\n\r\n"
    )
    assert send_raw(server_port, request).endswith(b"{'kept': '1'}")


def test_bytes_that_are_no_http_request_are_refused(server_port):
    assert b" 400 " in send_raw(server_port, b"\x00\xff no request\r\n\r\n")


def test_a_request_that_is_never_completed_is_refused(server_port):
    """Guards against connections that stay open because a client sends only part of a request."""
    assert b" 408 " in send_raw(server_port, b"GET / HTTP/1.1\r\nHost: x\r\n")


def test_a_request_behind_a_pending_one_is_refused_if_it_is_never_completed(server_port):
    """Guards against a partial request without a timeout, as an earlier one was in progress."""
    replies = send_raw(server_port, b"GET /delayed HTTP/1.1\r\n\r\nGET / HTTP/1.1\r\nHost: x\r\n")
    assert replies.index(b" 200 ") < replies.index(b" 408 ")


def test_only_some_requests_of_a_connection_are_handled_at_a_time():
    """Guards against calls in progress without limit, for a client that waits for no answer."""
    handled = []

    def handle(request):
        handled.append(request.path)
        return Deferred()

    port = free_port()
    http_server = HttpServer(reactor, handle)
    wait_for(http_server.listen(Address("127.0.0.1", port)))
    with socket.create_connection(("127.0.0.1", port)) as conn:
        conn.sendall(b"GET /a HTTP/1.1\r\n\r\n" * 1000)
        wait_for(deferLater(reactor, 0.3, lambda: None))
        assert len(handled) == MAX_PIPELINED
    http_server.stop_listening()


def test_a_connection_with_input_that_waits_for_its_turn_is_not_idle():
    """Guards against a request that was read in full and is dropped when the server drains."""
    context = ServerContext(
        reactor=Clock(),
        handler=lambda _request: Reply(200),
        table=ConnectionTable("test", ConnectionLimits(), lambda: 0.0),
        turns=SimpleNamespace(parse=lambda _conn: None),
        in_progress=MemoryLimiter(1, 1),
        kept_headers={},
    )
    conn, transport = ServerConnection(context, LIMITS), StringTransport()
    transport.setTcpNoDelay = lambda _enabled: None
    conn.makeConnection(transport)
    conn.dataReceived(b"GET / HTTP/1.1\r\n\r\n")
    conn.close_if_idle()
    assert not transport.disconnecting
    conn.parse_some()
    assert b" 200 " in transport.value()
    conn.close_if_idle()
    assert transport.disconnecting


def test_a_request_whose_body_finds_no_room_beside_those_in_progress_is_refused():
    """Guards against bodies of requests in progress that together take any memory."""
    port, handled = free_port(), []

    def handle(request):
        handled.append(request)
        return Deferred()

    limits = ConnectionLimits(max_buffered_bytes=1000)
    http_server = HttpServer(reactor, handle, connections=limits)
    wait_for(http_server.listen(Address("127.0.0.1", port)))
    request = b"POST / HTTP/1.1\r\nContent-Length: 400\r\n" + CLOSE + b"x" * 400
    with socket.create_connection(("127.0.0.1", port)) as conn:
        conn.sendall(request)
        wait_for(deferLater(reactor, 0.2, lambda: None))
        refusal = send_raw(port, request)
    assert len(handled) == 1
    assert b" 503 " in refusal and b"Retry-After: 1" in refusal
    http_server.stop_listening()


def test_large_answers_to_pipelined_requests_arrive_whole(server_port):
    """Guards against parts of an answer that are lost while its client reads slowly."""
    request = b"GET /large HTTP/1.1\r\n"
    replies = send_raw(server_port, (request + b"\r\n") * 20 + request + CLOSE)
    assert replies.count(LARGE_BODY) == 21


def test_pipelined_requests_are_answered_in_order(server_port):
    """Guards against a client that takes the answer to its second request for the first one's."""
    first = b"POST /a HTTP/1.1\r\nContent-Length: 1\r\n\r\n1"
    second = b"POST /a HTTP/1.1\r\nContent-Length: 1\r\nConnection: close\r\n\r\n2"
    replies = send_raw(server_port, first + second)
    assert replies.index(b"POST 1") < replies.index(b"POST 2")


@pytest.mark.parametrize(
    ("bad", "status"),
    [
        (b"no request at all\r\n\r\n", b" 400 "),
        (b"POST /a HTTP/1.1\r\nContent-Length: 5000\r\n\r\n" + b"x" * 5000, b" 413 "),
        (b"GET /a HTTP/1.1\r\nConnection: upgrade\r\nUpgrade: other\r\n\r\n", b" 400 "),
    ],
)
def test_a_rejected_request_is_answered_once_and_after_the_earlier_ones(server_port, bad, status):
    """Guards against a client that takes a rejection for the answer to its first request."""
    first = b"GET /delayed HTTP/1.1\r\n\r\n"
    replies = send_raw(server_port, first + bad)
    assert replies.index(b" 200 ") < replies.index(status)
    assert replies.count(b"HTTP/1.1") == 2


def test_a_draining_server_answers_all_pipelined_requests(server_port):
    """Guards against a request that a draining server has read in full and never answers."""
    request = b"GET /drain HTTP/1.1\r\n\r\n"
    replies = send_raw(server_port, request + request)
    assert replies.count(b" 200 ") == 2
    assert replies.count(b"Connection: close") == 1
