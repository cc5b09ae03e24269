"""Chooses the entry that dispatches a request, and forwards requests to it."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace
from typing import Any, NamedTuple

from twisted.internet.defer import inlineCallbacks

from geraniumtrack import logs
from geraniumtrack.coordination.entries.peers import PeerTask
from geraniumtrack.coordination.serving.execution import refusal
from geraniumtrack.coordination.serving.ownership import Ownership, owner_of
from geraniumtrack.coordination.serving.routing import MAX_HOPS, Router
from geraniumtrack.errors import LinkUnavailable, RequestTimeout
from geraniumtrack.protocol import messages as msgs
from geraniumtrack.protocol.links import was_sent
from geraniumtrack.sentinels import Absent
from geraniumtrack.settings import EntrySettings
from geraniumtrack.state.view import ConfigView

__all__ = ["LINK_DOWN", "LINK_LOST", "Destination", "Forwarder"]

FORWARD_MARGIN_S = 1.0  # added to the timeout, so that the dispatcher's refusal can still arrive

LINK_DOWN = Absent("link_down", "the dispatching entry cannot be reached; nothing was sent")
LINK_LOST = Absent("link_lost", "the link closed after the request was sent")


class Destination(NamedTuple):
    """Entry that dispatches a request, and its data centre."""

    entry: str
    data_centre: str


class Forwarder:
    """Chooses the dispatcher of each request, and forwards requests to other entries.

    Args:
        reactor: Twisted reactor.
        cfg: Settings of the entry.
        view: Configuration view.

    Attributes:
        router: Chooses the data centre of a request.
        peers: Gossip with the other entries; None before the service is started.
        leaving: Whether the entry is draining; other entries then take its requests if they can.
    """

    def __init__(self, reactor: Any, *, cfg: EntrySettings, view: ConfigView) -> None:
        self.router = Router(cfg.data_centre, view)
        self.peers: PeerTask | None = None
        self.leaving = False
        self._reactor = reactor
        self._cfg = cfg
        self._view = view
        self._ownership = Ownership(
            name=cfg.name,
            data_centre=cfg.data_centre,
            local_peers=[e.name for e in cfg.entries if self._in_same_data_centre(e)],
            now=reactor.seconds(),
        )
        self._forwarded_to: dict[str, str] = {}
        self._may_dispatch_cache: dict[str, bool] = {}

    @property
    def in_progress(self) -> int:
        """Number of forwarded requests that wait for an answer."""
        return len(self._forwarded_to)

    def restart_hold_off(self, now: float) -> None:
        """Holds off dispatching to pools that another entry may have owned until `now`."""
        self._ownership.restart_hold_off(now)

    def clear_cache(self) -> None:
        """Forgets which pools this entry dispatches to, since time and gossip change it."""
        self._may_dispatch_cache.clear()

    def pool(self, submit: msgs.Submit) -> str:
        """Returns the pool of a request's queue, or an empty string if the queue is unknown."""
        queue = self._view.sections["queues"].get(submit.queue)
        return queue.pool if queue is not None else ""

    def owner(self, pool: str, data_centre: str) -> str | None:
        """Returns the entry that dispatches to a pool in a data centre, or None if unknown."""
        heard = self.peers.table.all()
        now = self._reactor.seconds()
        if data_centre == self._cfg.data_centre and not self.leaving:
            return self._ownership.owner(pool, heard, now)
        live = self.peers.table.live(now)
        return owner_of(pool, [entry.name for entry in live if entry.data_centre == data_centre])

    def may_dispatch(self, pool: str) -> bool:
        """Whether this entry dispatches to a pool in its data centre."""
        allowed = self._may_dispatch_cache.get(pool)
        if allowed is None:
            heard = self.peers.table.all()
            allowed = self._ownership.may_dispatch(pool, heard, self._reactor.seconds())
            self._may_dispatch_cache[pool] = allowed
        return allowed

    def choose_destination(
        self, submit: msgs.Submit, excluded: Iterable[str], *, stay_here: bool = False
    ) -> Destination | None:
        """Chooses the entry to forward a request to, or None to dispatch it here.

        Args:
            submit: The request.
            excluded: Data centres that may not be chosen.
            stay_here: Whether to prefer this data centre, because it was chosen before; ignored if
                it is excluded or out of service, or if this entry is leaving.
        """
        if submit.hops >= MAX_HOPS:
            return None
        pool = self.pool(submit)
        now = self._reactor.seconds()
        here = self._cfg.data_centre
        excluded = set(excluded)
        usable_here = self._view.in_service(here) and here not in excluded
        if stay_here and usable_here and not self.leaving:
            data_centre = here
        else:
            data_centre = self.router.choose_data_centre(
                pool, keyed=bool(submit.team), now=now, excluded=excluded
            )
        if data_centre is None:
            data_centre = here
        owner = self.owner(pool, data_centre)
        if owner is None or owner == self._cfg.name:
            return None
        return Destination(owner, data_centre)

    @inlineCallbacks
    def forward(self, submit: msgs.Submit, destination: Destination) -> Any:
        """Forwards a request; returns its Answer, or a sentinel if the link was down or lost."""
        link = self.peers.link(destination.entry)
        if link is None:
            return LINK_DOWN
        self._forwarded_to[submit.task_id] = destination.entry
        forwarded = replace(submit, hops=submit.hops + 1)
        try:
            answer = yield link.request(forwarded, timeout_s=submit.timeout_s + FORWARD_MARGIN_S)
        except LinkUnavailable as exc:
            logs.event("forward_lost", entry=destination.entry, hops=forwarded.hops)
            return LINK_LOST if was_sent(exc) else LINK_DOWN
        except RequestTimeout:
            message = "the dispatching entry did not answer in time; retry with the same request id"
            return refusal(submit, 502, "outcome_unknown", message, run="unknown", retry=1.0)
        finally:
            self._forwarded_to.pop(submit.task_id, None)
        if isinstance(answer, msgs.Answer):
            return answer
        message = "the dispatching entry failed; retry with the same request id"
        return refusal(submit, 502, "outcome_unknown", message, run="unknown", retry=1.0)

    def cancel(self, task_id: str) -> None:
        """Cancels a task at the entry that dispatches it, if it was forwarded."""
        owner = self._forwarded_to.get(task_id)
        link = self.peers.link(owner) if owner else None
        if link is not None:
            link.send(msgs.Cancel(task_id))

    def _in_same_data_centre(self, entry: Any) -> bool:
        return entry.name != self._cfg.name and entry.data_centre == self._cfg.data_centre
