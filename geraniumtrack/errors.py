"""Exceptions of this library; their messages name the remedy."""

from __future__ import annotations

__all__ = [
    "CallFailed",
    "CodecError",
    "GeraniumtrackError",
    "HandshakeFailed",
    "JournalCorrupt",
    "LinkUnavailable",
    "NotLeader",
    "RequestTimeout",
    "SettingsError",
]


class GeraniumtrackError(Exception):
    """Base class of the exceptions of this library.

    Args:
        message: What went wrong.
        remedy: What the reader can do about it, or what is known of the effect.
    """

    def __init__(self, message: str, *, remedy: str) -> None:
        super().__init__(f"{message}; {remedy}")
        self.message = message
        self.remedy = remedy


class SettingsError(GeraniumtrackError):
    """A settings or fleet file, or an argument of a command, cannot be used."""


class CodecError(GeraniumtrackError):
    """A value cannot be encoded, or bytes are malformed or have an unknown type or version."""


class HandshakeFailed(GeraniumtrackError):
    """A peer does not know the cluster secret or violated the handshake protocol."""


class LinkUnavailable(GeraniumtrackError):
    """A link was not ready for a request, or it closed before the reply arrived."""


class CallFailed(GeraniumtrackError):
    """An HTTP call got no usable response.

    Args:
        message: What happened.
        sent: Whether the peer may have received the request.
        refused: Whether the connection was refused, by the peer or on the way to it.
        closed: Whether the peer closed the connection during the call, or refused it.
    """

    def __init__(
        self, message: str, *, sent: bool, refused: bool = False, closed: bool = False
    ) -> None:
        remedy = "the peer may have acted on it" if sent else "the request was not sent"
        super().__init__(message, remedy=remedy)
        self.sent = sent
        self.refused = refused
        self.closed = closed or refused


class RequestTimeout(GeraniumtrackError):
    """No reply arrived in time; the peer may still have acted on the request."""


class JournalCorrupt(GeraniumtrackError):
    """A file in a controller's data folder is damaged, incomplete or missing.

    The state in the folder cannot be trusted.
    """


class NotLeader(GeraniumtrackError):
    """The controller that was asked is not the leader.

    Args:
        leader: Name of the controller that is believed to lead; empty if unknown.
    """

    def __init__(self, leader: str) -> None:
        super().__init__(
            "this controller is not the leader", remedy=f"ask {leader or 'another controller'}"
        )
        self.leader = leader
