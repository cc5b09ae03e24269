"""An entry's side of restrictions: applies, shares and commits them.

An operator sends a restriction to every entry that can be reached. The entry applies it at once and
shares it with its peers. Whichever entry reaches the leader commits it there under the operator's
operation id, and so learns the version of the configuration view that contains it.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from typing import Any

from twisted.internet.defer import inlineCallbacks
from twisted.internet.task import LoopingCall

from geraniumtrack import logs
from geraniumtrack.coordination.controller_client import ControllerClient
from geraniumtrack.coordination.peers import PeerTask
from geraniumtrack.protocol.links import Link
from geraniumtrack.protocol.restriction_messages import Restriction, ShareRestrictions
from geraniumtrack.sentinels import is_absent
from geraniumtrack.state import commands as cmd
from geraniumtrack.state.view import ConfigView

__all__ = ["RestrictionTask"]

ROUND_S = 1.0
COMMIT_TIMEOUT_S = 0.9
MAX_SHARED = 500  # restrictions in one message


class RestrictionTask:
    """Restrictions of one entry.

    Args:
        reactor: Twisted reactor.
        view: Configuration view, which holds them.
        controllers: Session with the controllers.
        peers: Links to the other entries.
        on_change: Called after a restriction came into force.
    """

    def __init__(
        self,
        reactor: Any,
        *,
        view: ConfigView,
        controllers: ControllerClient,
        peers: PeerTask,
        on_change: Callable[[], None],
    ) -> None:
        self._view = view
        self._controllers = controllers
        self._peers = peers
        self._on_change = on_change
        self._committing = False
        self._rounds = LoopingCall(self._round)
        self._rounds.clock = reactor

    def start(self) -> None:
        """Begins to share and commit what is held."""
        self._rounds.start(ROUND_S, now=False)

    def stop(self) -> None:
        """Stops."""
        if self._rounds.running:
            self._rounds.stop()

    def apply(self, restriction: Restriction) -> bool:
        """Applies an operator's restriction at once; returns whether it is in force."""
        if not self._view.restrict(restriction):
            return False
        logs.event(
            "restricted",
            operation=restriction.operation_id,
            kind=restriction.kind,
            subject=restriction.name,
        )
        self._on_change()
        self._round()
        return True

    def shared(self, message: ShareRestrictions, link: Link) -> None:
        """Takes a peer's restrictions, and tells it of those that are committed."""
        for restriction in message.restrictions:
            self._view.restrict(restriction)
        self._on_change()
        unknown = [r.operation_id for r in message.restrictions if not r.version]
        committed = self._view.restrictions.resolved(unknown)
        if committed:
            link.send(ShareRestrictions(tuple(committed)))

    def _round(self) -> None:
        held = tuple(self._view.restrictions.held()[:MAX_SHARED])
        if not held:
            return
        self._peers.send_everyone(ShareRestrictions(held))
        if not self._committing:
            self._committing = True
            self._commit(held).addErrback(self._broke).addBoth(self._committed)

    @inlineCallbacks
    def _commit(self, held: tuple[Restriction, ...]) -> Any:
        for restriction in held:
            if restriction.version:
                continue
            result = yield self._controllers.propose(
                _command(restriction), timeout_s=COMMIT_TIMEOUT_S
            )
            if is_absent(result):
                return
            if result.ok:
                self._view.restrict(replace(restriction, version=result.version))
            else:
                logs.warn("restriction_refused", operation=restriction.operation_id)
                self._view.restrictions.refused(restriction.operation_id)

    def _committed(self, _: Any) -> None:
        self._committing = False

    def _broke(self, failure: Any) -> None:
        logs.warn("restriction_commit_failed", detail=failure.getErrorMessage())


def _command(restriction: Restriction) -> Any:
    operation_id, name = restriction.operation_id, restriction.name
    if restriction.kind == "key":
        return cmd.WithdrawKey(operation_id, name)
    if restriction.kind == "data_centre":
        return cmd.SetDataCentre(operation_id, name, False)
    return cmd.DrainTarget(operation_id, name, True)
