"""The handshake of links: only processes with the cluster secret are authenticated."""

import pytest

from geraniumtrack.errors import HandshakeFailed
from geraniumtrack.protocol.envelope import Hello
from geraniumtrack.protocol.handshake import start_handshake

SECRET = b"0123456789abcdef"


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
