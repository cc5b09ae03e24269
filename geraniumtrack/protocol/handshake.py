"""Mutual authentication at the start of a link, as an Automat state machine.

Each peer sends a Hello with a fresh nonce, then a Proof over both Hellos. The link is closed if a
message arrives out of order, a proof is wrong or the handshake times out.
"""

from __future__ import annotations

import os
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from automat import TypeMachineBuilder

from geraniumtrack.errors import HandshakeFailed
from geraniumtrack.protocol.envelope import NONCE_BYTES, Hello, Proof, proof_mac, verify_proof

__all__ = ["HANDSHAKE_TIMEOUT_S", "Handshake", "HandshakeCore", "start_handshake"]

HANDSHAKE_TIMEOUT_S = 5.0


class Handshake(Protocol):
    """Inputs of the state machine."""

    def opened(self) -> None:
        """Called when the WebSocket is open."""

    def hello_received(self, hello: Hello) -> None:
        """Called with the Hello of the peer."""

    def proof_received(self, proof: Proof) -> None:
        """Called with the Proof of the peer."""

    def finished(self) -> bool:
        """Returns whether the peer is authenticated."""


@dataclass
class HandshakeCore:
    """Data of the state machine, called its core in Automat.

    Attributes:
        own_hello: The Hello that this process sends.
        secret: Cluster secret.
        send: Sends a Hello or a Proof to the peer.
        peer_hello: The Hello of the peer, or None until it is received.
    """

    own_hello: Hello
    secret: bytes
    send: Callable[[Hello | Proof], None]
    peer_hello: Hello | None = None


_builder = TypeMachineBuilder(Handshake, HandshakeCore)
_connecting = _builder.state("connecting")
_hello_sent = _builder.state("hello_sent")
_proof_sent = _builder.state("proof_sent")
_authenticated = _builder.state("authenticated")


@_connecting.upon(Handshake.opened).to(_hello_sent)
def _send_hello(_machine: Handshake, core: HandshakeCore) -> None:
    core.send(core.own_hello)


@_hello_sent.upon(Handshake.hello_received).to(_proof_sent)
def _send_proof(_machine: Handshake, core: HandshakeCore, hello: Hello) -> None:
    if hello.nonce == core.own_hello.nonce:
        raise HandshakeFailed(
            "the peer sent back the nonce of this process", remedy="check the address of the peer"
        )
    core.peer_hello = hello
    core.send(Proof(proof_mac(core.secret, prover=core.own_hello, verifier=hello)))


@_proof_sent.upon(Handshake.proof_received).to(_authenticated)
def _verify_proof(_machine: Handshake, core: HandshakeCore, proof: Proof) -> None:
    verify_proof(core.secret, proof, prover=core.peer_hello, verifier=core.own_hello)


@_connecting.upon(Handshake.finished).loop()
@_hello_sent.upon(Handshake.finished).loop()
@_proof_sent.upon(Handshake.finished).loop()
def _not_finished(_machine: Handshake, _core: HandshakeCore) -> bool:
    return False


@_authenticated.upon(Handshake.finished).loop()
def _is_finished(_machine: Handshake, _core: HandshakeCore) -> bool:
    return True


_create_machine = _builder.build()


def start_handshake(
    identity: tuple[str, str, str], secret: bytes, send: Callable[[Hello | Proof], None]
) -> tuple[Handshake, HandshakeCore]:
    """Returns the state machine of a new handshake, and its data.

    Args:
        identity: Name, role and data centre of this process.
        secret: Cluster secret.
        send: Sends a Hello or a Proof to the peer.
    """
    core = HandshakeCore(Hello(*identity, nonce=os.urandom(NONCE_BYTES)), secret, send)
    return _create_machine(core), core


if __name__ == "__main__":
    sent: list = []
    ours, our_core = start_handshake(("e1", "entry", "dc1"), b"s" * 16, sent.append)
    theirs, their_core = start_handshake(("c1", "controller", "dc1"), b"s" * 16, sent.append)
    ours.opened()
    theirs.opened()
    ours.hello_received(their_core.own_hello)
    theirs.hello_received(our_core.own_hello)
    ours.proof_received(sent[-1])
    print(ours.finished(), our_core.peer_hello.name)
