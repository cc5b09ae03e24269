"""Forwards calls about jobs from an entry to the owner."""

from __future__ import annotations

from typing import Any

from twisted.internet.defer import Deferred, succeed

from geraniumtrack import logs
from geraniumtrack.jobs.calls.call_size import call_bytes
from geraniumtrack.jobs.calls.owner_client import OwnerClient
from geraniumtrack.jobs.messages import AnswerKind, JobAnswer, OwnerHint
from geraniumtrack.jobs.settings import GatewaySettings
from geraniumtrack.metrics import metrics
from geraniumtrack.protocol.links import Link, LinkHub
from geraniumtrack.transport.memory_limiter import MemoryLimiter

__all__ = ["Gateway", "busy_answer"]

RETRY_AFTER_S = 1.0


class Gateway:
    """Keeps links to the controllers and forwards calls to the owner.

    Args:
        reactor: Twisted reactor.
        cfg: Settings of the entry.
    """

    def __init__(self, reactor: Any, cfg: GatewaySettings) -> None:
        self.cfg = cfg
        self._hub = LinkHub(reactor, identity=cfg.identity, secret=cfg.secret, handler=self._handle)
        self._limiter = MemoryLimiter(cfg.max_calls, cfg.max_call_bytes)
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
        """Forwards a call to the owner; see `OwnerClient.call`.

        Returns:
            A Deferred of the JobAnswer. Its kind is BUSY, and the call has had no effect, if too
            many calls are in progress or they occupy too much memory.
        """
        size = call_bytes(body)
        if not self._limiter.try_start(size):
            metrics.count("calls_refused", call=type(body).__name__)
            return succeed(busy_answer())
        fut = self._client.call(body, timeout_s=timeout_s)
        return fut.addBoth(self._call_finished, size)

    def _call_finished(self, outcome: Any, size: int) -> Any:
        self._limiter.finish(size)
        return outcome

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


def busy_answer() -> JobAnswer:
    """Returns the answer to a call that is not forwarded, for lack of room."""
    detail = "too many calls are in progress; this one has not run"
    return JobAnswer(AnswerKind.BUSY, detail=detail, retry_after_s=RETRY_AFTER_S)
