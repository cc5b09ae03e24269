"""The mutual proof at the start of a link, as an Automat state machine.

Each end sends a Hello with a fresh nonce, then a Proof over both Hellos. A message out of order, a
wrong proof or silence ends the link.
"""

from __future__ import annotations

import os
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from automat import TypeMachineBuilder

from geraniumtrack.errors import HandshakeFailed
from geraniumtrack.protocol.envelope import NONCE_BYTES, Hello, Proof, check_proof, proof_mac

__all__ = ["HANDSHAKE_TIMEOUT_S", "Handshake", "HandshakeCore", "start_handshake"]

HANDSHAKE_TIMEOUT_S = 5.0


class Handshake(Protocol):
    """Inputs of the state machine."""

    def opened(self) -> None:
        """The websocket is open."""

    def hello_received(self, hello: Hello) -> None:
        """The peer said who it is."""

    def proof_received(self, proof: Proof) -> None:
        """The peer sent its proof."""

    def finished(self) -> bool:
        """Whether the peer has proved itself."""


@dataclass
class HandshakeCore:
    """What the state machine works on.

    Attributes:
        own: The Hello that this end sends.
        secret: Cluster secret.
        send: Sends a Hello or a Proof.
        theirs: The peer's Hello once received.
    """

    own: Hello
    secret: bytes
    send: Callable[[Hello | Proof], None]
    theirs: Hello | None = None


_builder = TypeMachineBuilder(Handshake, HandshakeCore)
_waiting = _builder.state("waiting")
_greeting = _builder.state("greeting")
_proving = _builder.state("proving")
_proved = _builder.state("proved")


@_waiting.upon(Handshake.opened).to(_greeting)
def _send_hello(_machine: Handshake, core: HandshakeCore) -> None:
    core.send(core.own)


@_greeting.upon(Handshake.hello_received).to(_proving)
def _send_proof(_machine: Handshake, core: HandshakeCore, hello: Hello) -> None:
    if hello.nonce == core.own.nonce:
        raise HandshakeFailed("the peer repeats our nonce", remedy="check its address")
    core.theirs = hello
    core.send(Proof(proof_mac(core.secret, prover=core.own, verifier=hello)))


@_proving.upon(Handshake.proof_received).to(_proved)
def _check(_machine: Handshake, core: HandshakeCore, proof: Proof) -> None:
    check_proof(core.secret, proof, prover=core.theirs, verifier=core.own)


@_waiting.upon(Handshake.finished).loop()
@_greeting.upon(Handshake.finished).loop()
@_proving.upon(Handshake.finished).loop()
def _not_finished(_machine: Handshake, _core: HandshakeCore) -> bool:
    return False


@_proved.upon(Handshake.finished).loop()
def _is_finished(_machine: Handshake, _core: HandshakeCore) -> bool:
    return True


_build = _builder.build()


def start_handshake(
    identity: tuple[str, str, str], secret: bytes, send: Callable[[Hello | Proof], None]
) -> tuple[Handshake, HandshakeCore]:
    """Returns a handshake in its first state, and its core."""
    core = HandshakeCore(Hello(*identity, nonce=os.urandom(NONCE_BYTES)), secret, send)
    return _build(core), core


if __name__ == "__main__":
    sent: list = []
    ours, our_core = start_handshake(("e1", "entry", "dc1"), b"s" * 16, sent.append)
    theirs, their_core = start_handshake(("c1", "controller", "dc1"), b"s" * 16, sent.append)
    ours.opened()
    theirs.opened()
    ours.hello_received(their_core.own)
    theirs.hello_received(our_core.own)
    ours.proof_received(sent[-1])
    print(ours.finished(), our_core.theirs.name)
