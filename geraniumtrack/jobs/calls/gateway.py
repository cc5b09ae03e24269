"""Forwards calls about jobs from an entry to the owner."""

from __future__ import annotations

from typing import Any

from twisted.internet.defer import Deferred

from geraniumtrack import logs
from geraniumtrack.jobs.calls.owner_client import OwnerClient
from geraniumtrack.jobs.messages import AnswerKind, JobAnswer, OwnerHint
from geraniumtrack.jobs.settings import GatewaySettings
from geraniumtrack.protocol.links import Link, LinkHub

__all__ = ["Gateway"]


class Gateway:
    """Keeps links to the controllers and forwards calls to the owner.

    Args:
        reactor: Twisted reactor.
        cfg: Settings of the entry.
    """

    def __init__(self, reactor: Any, cfg: GatewaySettings) -> None:
        self.cfg = cfg
        self._hub = LinkHub(reactor, identity=cfg.identity, secret=cfg.secret, handler=self._handle)
        self._client = OwnerClient(self._hub, seeds=cfg.seeds, address_of=cfg.peer_address)
        logs.event("gateway_started", seeds=",".join(cfg.seeds))

    @property
    def ready(self) -> bool:
        """Whether calls can be forwarded to the owner."""
        return self._client.connected

    def add_controllers(self, names: tuple[str, ...]) -> None:
        """Connects to further controllers and keeps the links open."""
        self._client.add_controllers(names)

    def call(self, body: Any, *, timeout_s: float) -> Deferred:
        """Forwards a call to the owner; see `OwnerClient.call`."""
        return self._client.call(body, timeout_s=timeout_s)

    def stop(self) -> None:
        """Closes the links."""
        self._hub.stop()

    def _handle(self, _link: Link, body: Any, reply: Any, _trace: str) -> None:
        if isinstance(body, OwnerHint):
            self._client.handle_hint(body)
        else:
            reply(
                JobAnswer(AnswerKind.INVALID, detail="an entry handles no calls from controllers")
            )
