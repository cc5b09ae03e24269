"""The frame that every message between processes travels in, and the handshake messages."""

from __future__ import annotations

import hashlib
import hmac
from dataclasses import dataclass
from typing import Any

from geraniumtrack.errors import CodecError, HandshakeFailed
from geraniumtrack.protocol.codec import decode, encode, message

__all__ = ["PROTOCOL_VERSION", "Envelope", "Hello", "Proof", "open_frame", "proof_mac", "seal"]

PROTOCOL_VERSION = 1
NONCE_BYTES = 16


@dataclass(frozen=True, slots=True)
class Envelope:
    """A message with its place in a request/reply exchange.

    Attributes:
        body: The message.
        request: Id of a request that wants a reply, or 0.
        reply_to: Id of the request that this answers, or 0.
        trace: Trace context of the sender, as a W3C traceparent, or an empty string.
    """

    body: Any
    request: int = 0
    reply_to: int = 0
    trace: str = ""


@message
@dataclass(frozen=True, slots=True)
class Hello:
    """First message of each end: who it is and a fresh nonce."""

    name: str
    role: str
    data_centre: str
    nonce: bytes


@message
@dataclass(frozen=True, slots=True)
class Proof:
    """Second message of each end: proves knowledge of the cluster secret."""

    mac: bytes


def seal(envelope: Envelope) -> bytes:
    """Encodes an envelope as one frame."""
    body: dict[str, Any] = {"v": PROTOCOL_VERSION, "b": envelope.body}
    if envelope.request:
        body["i"] = envelope.request
    if envelope.reply_to:
        body["r"] = envelope.reply_to
    if envelope.trace:
        body["s"] = envelope.trace
    return encode(body)


def open_frame(data: bytes) -> Envelope:
    """Decodes one frame.

    Raises:
        CodecError: If it is malformed or of another protocol version.
    """
    body = decode(data)
    if not isinstance(body, dict) or body.get("v") != PROTOCOL_VERSION or "b" not in body:
        raise CodecError(
            f"frame is not of protocol version {PROTOCOL_VERSION}",
            remedy="run the same version on all nodes",
        )
    return Envelope(body["b"], body.get("i", 0), body.get("r", 0), body.get("s", ""))


def proof_mac(secret: bytes, *, prover: Hello, verifier: Hello) -> bytes:
    """Computes the proof that `prover` sends to `verifier`."""
    text = encode([prover, verifier])
    return hmac.new(secret, text, hashlib.sha256).digest()


def check_proof(secret: bytes, proof: Proof, *, prover: Hello, verifier: Hello) -> None:
    """Checks a proof.

    Raises:
        HandshakeFailed: If the prover does not hold the secret.
    """
    expected = proof_mac(secret, prover=prover, verifier=verifier)
    if not hmac.compare_digest(expected, proof.mac):
        raise HandshakeFailed(
            f"{prover.name!r} does not hold the cluster secret",
            remedy="give all nodes the same secret_file",
        )
