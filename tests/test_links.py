"""Links: only processes with the cluster secret are authenticated, and one message ends nothing."""

from types import SimpleNamespace

import pytest
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport

from geraniumtrack.errors import HandshakeFailed
from geraniumtrack.protocol.codec import encode
from geraniumtrack.protocol.envelope import Envelope, Hello, Proof, encode_frame
from geraniumtrack.protocol.handshake import start_handshake
from geraniumtrack.protocol.links import MAX_UNSENT_BYTES, Identity, Link, LinkHub
from geraniumtrack.transport.websocket import MAX_UNAUTHENTICATED, server_factory

SECRET = b"0123456789abcdef"
UPGRADE = (
    b"GET / HTTP/1.1\r\nHost: x\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n"
    b"Sec-WebSocket-Key: AAAAAAAAAAAAAAAAAAAAAA==\r\nSec-WebSocket-Version: 13\r\n\r\n"
)


def exchange_hellos(other_secret):
    """Runs two handshakes up to the proofs; returns them and the messages that each one sent."""
    our_sent, their_sent = [], []
    ours = start_handshake(("e1", "entry", "dc1"), SECRET, our_sent.append)
    theirs = start_handshake(("c1", "controller", "dc2"), other_secret, their_sent.append)
    ours[0].opened()
    theirs[0].opened()
    ours[0].hello_received(their_sent[0])
    theirs[0].hello_received(our_sent[0])
    return ours, theirs, our_sent, their_sent


def test_peers_with_the_same_secret_authenticate_each_other():
    ours, theirs, our_sent, their_sent = exchange_hellos(SECRET)
    ours[0].proof_received(their_sent[1])
    theirs[0].proof_received(our_sent[1])
    assert ours[0].finished() and theirs[0].finished()
    assert ours[1].peer_hello.name == "c1"


def test_a_peer_with_another_secret_is_refused():
    ours, _theirs, _our_sent, their_sent = exchange_hellos(b"another secret..")
    with pytest.raises(HandshakeFailed, match="cluster secret"):
        ours[0].proof_received(their_sent[1])


def test_a_reflected_hello_is_refused():
    """Guards against a peer without the secret that reflects this process's Hello and Proof."""
    messages = []
    ours, core = start_handshake(("e1", "entry", "dc1"), SECRET, messages.append)
    ours.opened()
    with pytest.raises(HandshakeFailed, match="nonce"):
        ours.hello_received(Hello("e1", "entry", "dc1", core.own_hello.nonce))


class FakeConnection:
    """Collects the frames that a link sends; `aborted` tells whether the link closed it."""

    def __init__(self):
        self.sent, self.aborted, self.unsent_bytes = [], False, 0

    def peer_authenticated(self):
        pass

    def send_frame(self, data):
        self.sent.append(data)
        return True

    def abort(self):
        self.aborted = True


def open_link(name, handler):
    """Returns a link that has sent its Hello, and its connection."""
    hub = LinkHub(Clock(), identity=Identity(name, "entry", "dc1"), secret=SECRET, handler=handler)
    link, conn = Link(hub, on_closed=lambda _: None), FakeConnection()
    link.opened(conn)
    return link, conn


def authenticated_link(handler):
    """Returns a link whose peer is authenticated, and its connection."""
    (link, conn), (peer, peer_conn) = open_link("e1", handler), open_link("e2", handler)
    link.frame_received(peer_conn.sent[0])
    peer.frame_received(conn.sent[0])
    link.frame_received(peer_conn.sent[1])
    assert link.ready
    return link, conn


@pytest.mark.parametrize(
    "frame",
    [
        b"",
        b"\xff\xfe",
        encode([1]),
        encode({"v": 2, "b": 1}),
        encode({"v": 1}),
        encode({"v": 1, "b": 1, "r": [1]}),
        encode({"v": 1, "b": 1, "i": "x"}),
        encode({"v": 1, "b": 1, "s": 5}),
    ],
)
def test_a_malformed_frame_closes_only_its_link(frame):
    """Guards against an error that the transport does not expect, and which is not logged."""
    handled = []
    link, conn = authenticated_link(lambda _link, body, _reply, _trace: handled.append(body))
    link.frame_received(frame)
    assert conn.aborted
    assert handled == []


def test_a_message_whose_handling_fails_does_not_close_its_link():
    """Guards against the loss of all requests on a link because of one message."""
    handled = []

    def handler(_link, body, _reply, _trace):
        if body == "bad":
            raise ValueError("unexpected")
        handled.append(body)

    link, conn = authenticated_link(handler)
    replies = []
    link.request("question", timeout_s=5.0).addCallback(replies.append)
    link.frame_received(encode_frame(Envelope("bad", request=7)))
    link.frame_received(encode_frame(Envelope("good")))
    link.frame_received(encode_frame(Envelope("answer", reply_to=1)))
    assert (handled, replies, conn.aborted) == (["good"], ["answer"], False)


@pytest.mark.parametrize(
    "messages",
    [
        [Hello(["e2"], "entry", "dc1", b"n" * 16)],
        [Hello("e2", "entry", "dc1", 5)],
        [Hello("e2", "entry", "dc1", b"n" * 16), Proof("\u20ac")],
        [Hello("e2", "entry", "dc1", b"n" * 16), Proof(None)],
        [Proof(b"")],
        ["text"],
    ],
)
def test_a_malformed_handshake_closes_only_its_link(messages):
    """Guards against an error that any process without the secret can cause."""
    link, conn = open_link("e1", None)
    for message in messages:
        link.frame_received(encode_frame(Envelope(message)))
    assert conn.aborted
    assert not link.ready


class AbortableTransport(StringTransport):
    """A transport that says whether it was aborted."""

    aborted = False

    def setTcpNoDelay(self, enabled):  # noqa: N802 - Twisted's name
        pass

    def abortConnection(self):  # noqa: N802 - Twisted's name
        self.aborted = True


def link_factory():
    """Returns the factory of accepted connections."""
    receiver = SimpleNamespace(opened=lambda _conn: None, closed=lambda _reason: None)
    return server_factory(lambda: receiver, Clock())


def accept(factory):
    """Returns an accepted connection whose peer has sent nothing."""
    conn = factory.buildProtocol(None)
    conn.makeConnection(AbortableTransport())
    return conn


def test_a_peer_that_sends_much_before_it_is_authenticated_is_cut_off():
    """Guards against one large message that fills the memory before its sender is known."""
    conn = accept(link_factory())
    conn.dataReceived(b"GET / HTTP/1.1\r\nA: " + b"x" * 4000)
    assert not conn.transport.aborted
    for _ in range(5):
        conn.dataReceived(b"x" * 4000)
    assert conn.transport.aborted


def test_the_oldest_unauthenticated_one_makes_room_for_a_new_connection():
    """Guards against peers that use up all descriptors, and lock other processes out."""
    factory = link_factory()
    connections = [accept(factory) for _ in range(MAX_UNAUTHENTICATED)]
    connections[0].peer_authenticated()
    accept(factory)
    assert not any(conn.transport.aborted for conn in connections)
    accept(factory)
    assert [conn.transport.aborted for conn in connections[:3]] == [False, True, False]


def test_requests_to_a_peer_that_does_not_read_are_not_sent():
    """Guards against calls that are repeated into a buffer which a slow link never empties."""
    link, conn = authenticated_link(None)
    conn.unsent_bytes = MAX_UNSENT_BYTES + 1
    sent, failures = len(conn.sent), []
    link.request("question", timeout_s=5.0).addErrback(failures.append)
    assert (len(conn.sent), failures[0].value.sent) == (sent, False)
    assert link.send("heartbeat")


def test_a_connection_counts_what_its_peer_has_not_read():
    """Guards against a count that stays after the peer has read everything, or never rises."""
    conn = accept(link_factory())
    conn.dataReceived(UPGRADE)
    assert conn.send_frame(b"x" * 1000)
    assert conn.unsent_bytes == 0
    conn.pauseProducing()
    conn.send_frame(b"x" * 1000)
    assert conn.unsent_bytes > 1000
    conn.resumeProducing()
    assert conn.unsent_bytes == 0
