"""Links between processes: only holders of the cluster secret may join."""

import pytest

from geraniumtrack.errors import HandshakeFailed
from geraniumtrack.protocol.envelope import Hello
from geraniumtrack.protocol.handshake import start_handshake

SECRET = b"0123456789abcdef"


def pair(other_secret):
    first, second = [], []
    ours = start_handshake(("e1", "entry", "dc1"), SECRET, first.append)
    theirs = start_handshake(("c1", "controller", "dc2"), other_secret, second.append)
    ours[0].opened()
    theirs[0].opened()
    ours[0].hello_received(second[0])
    theirs[0].hello_received(first[0])
    return ours, theirs, first, second


def test_both_ends_prove_the_same_secret():
    ours, theirs, first, second = pair(SECRET)
    ours[0].proof_received(second[1])
    theirs[0].proof_received(first[1])
    assert ours[0].finished() and theirs[0].finished()
    assert ours[1].peer_hello.name == "c1"


def test_a_peer_with_another_secret_is_refused():
    ours, _theirs, _first, second = pair(b"another secret..")
    with pytest.raises(HandshakeFailed, match="cluster secret"):
        ours[0].proof_received(second[1])


def test_a_reflected_hello_is_refused():
    """Guards against a stranger that sends our own Hello and Proof back to us."""
    sent = []
    ours, core = start_handshake(("e1", "entry", "dc1"), SECRET, sent.append)
    ours.opened()
    with pytest.raises(HandshakeFailed, match="nonce"):
        ours.hello_received(Hello("e1", "entry", "dc1", core.own_hello.nonce))
