"""Frame format of the messages between processes, and the messages of the link handshake.

A frame is a CBOR map: `v` holds the protocol version, `b` the message body, `i` the id of a
request, `r` the id of the request that the message answers, and `s` the trace context. `i`, `r` and
`s` are omitted when they are empty.
"""

from __future__ import annotations

import hashlib
import hmac
from dataclasses import dataclass
from typing import Any

from geraniumtrack.errors import CodecError, HandshakeFailed
from geraniumtrack.protocol.codec import decode, encode, message

__all__ = [
    "PROTOCOL_VERSION",
    "Envelope",
    "Hello",
    "Proof",
    "decode_frame",
    "encode_frame",
    "proof_mac",
]

PROTOCOL_VERSION = 1
NONCE_BYTES = 16


@dataclass(frozen=True, slots=True)
class Envelope:
    """A message with the ids that match replies to requests.

    Attributes:
        body: The message.
        request: Id under which the sender expects a reply, or 0 if it expects none.
        reply_to: Id of the request that this message answers, or 0.
        trace: Trace context of the sender, as a W3C traceparent, or an empty string.
    """

    body: Any
    request: int = 0
    reply_to: int = 0
    trace: str = ""


@message
@dataclass(frozen=True, slots=True)
class Hello:
    """First handshake message of each peer: its identity and a fresh nonce."""

    name: str
    role: str
    data_centre: str
    nonce: bytes


@message
@dataclass(frozen=True, slots=True)
class Proof:
    """Second handshake message of each peer: an HMAC that proves it knows the cluster secret."""

    mac: bytes


def encode_frame(envelope: Envelope) -> bytes:
    """Encodes an envelope as one frame."""
    body: dict[str, Any] = {"v": PROTOCOL_VERSION, "b": envelope.body}
    if envelope.request:
        body["i"] = envelope.request
    if envelope.reply_to:
        body["r"] = envelope.reply_to
    if envelope.trace:
        body["s"] = envelope.trace
    return encode(body)


def decode_frame(data: bytes) -> Envelope:
    """Decodes one frame.

    Raises:
        CodecError: If the frame is malformed or has another protocol version.
    """
    body = decode(data)
    if not isinstance(body, dict) or body.get("v") != PROTOCOL_VERSION or "b" not in body:
        raise CodecError(
            f"frame does not have protocol version {PROTOCOL_VERSION}",
            remedy="run the same version in all processes",
        )
    envelope = Envelope(body["b"], body.get("i", 0), body.get("r", 0), body.get("s", ""))
    if not (
        isinstance(envelope.request, int)
        and isinstance(envelope.reply_to, int)
        and isinstance(envelope.trace, str)
    ):
        raise CodecError(
            "frame has an id or a trace context of another type",
            remedy="run the same version in all processes",
        )
    return envelope


def proof_mac(secret: bytes, *, prover: Hello, verifier: Hello) -> bytes:
    """Computes the HMAC-SHA256 over the Hello of the prover and that of the verifier."""
    signed = encode([prover, verifier])
    return hmac.new(secret, signed, hashlib.sha256).digest()


def verify_proof(secret: bytes, proof: Proof, *, prover: Hello, verifier: Hello) -> None:
    """Verifies the proof that `prover` sent to `verifier`.

    Raises:
        HandshakeFailed: If the prover does not know the cluster secret.
    """
    expected = proof_mac(secret, prover=prover, verifier=verifier)
    if not hmac.compare_digest(expected, proof.mac):
        raise HandshakeFailed(
            f"{prover.name!r} does not know the cluster secret",
            remedy="use the same secret_file for all processes",
        )
