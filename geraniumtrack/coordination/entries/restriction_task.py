"""Restrictions at an entry: applying them, sharing them with peers and committing them.

An operator sends a restriction to every entry that can be reached. The entry applies it at once and
shares it with its peers. Any entry that reaches the leader commits it there under the operator's
operation id. The result contains the version of the configuration view that includes the
restriction.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from typing import Any

from twisted.internet.defer import inlineCallbacks
from twisted.internet.task import LoopingCall

from geraniumtrack import logs
from geraniumtrack.coordination.entries.controller_client import ControllerClient
from geraniumtrack.coordination.entries.peers import PeerTask
from geraniumtrack.protocol.links import Link
from geraniumtrack.protocol.restriction_messages import Restriction, ShareRestrictions
from geraniumtrack.sentinels import Absent, is_absent
from geraniumtrack.state import commands as cmd
from geraniumtrack.state.view import ConfigView

__all__ = ["RestrictionTask"]

SYNC_INTERVAL_S = 1.0
COMMIT_TIMEOUT_S = 0.9
MAX_SHARED = 500  # restrictions per message


class RestrictionTask:
    """Applies the restrictions of one entry and synchronizes them with peers and controllers.

    Args:
        reactor: Twisted reactor.
        view: Configuration view that stores the restrictions.
        controllers: Client of the controllers.
        peers: Links to the other entries.
        on_change: Called after restrictions were applied.
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
        self._sync_loop = LoopingCall(self._sync)
        self._sync_loop.clock = reactor

    def start(self) -> None:
        """Starts to share and commit pending restrictions at a fixed interval."""
        self._sync_loop.start(SYNC_INTERVAL_S, now=False)

    def stop(self) -> None:
        """Stops the synchronization."""
        if self._sync_loop.running:
            self._sync_loop.stop()

    def apply(self, restriction: Restriction) -> bool | Absent:
        """Applies an operator's restriction at once.

        Returns:
            True, or an Absent with the reason `restriction_refused` if the controllers have refused
            the operation, or `too_many_restrictions` if too many are pending.
        """
        if not self._view.restrict(restriction):
            return self._not_applied(restriction.operation_id)
        logs.event(
            "restricted",
            operation=restriction.operation_id,
            kind=restriction.kind,
            subject=restriction.name,
        )
        self._on_change()
        self._sync()
        return True

    def _not_applied(self, operation_id: str) -> Absent:
        if self._view.restrictions.refused(operation_id):
            return Absent(
                "restriction_refused",
                "the controllers refused this operation; ask them for the reason, and send a"
                " corrected restriction under a new operation id",
            )
        return Absent(
            "too_many_restrictions",
            "too many restrictions are pending; check that the controllers can be reached",
        )

    def handle_shared(self, message: ShareRestrictions, link: Link) -> None:
        """Applies a peer's restrictions and replies with the versions of those already committed.

        Args:
            message: The restrictions.
            link: Link to the peer.
        """
        for restriction in message.restrictions:
            self._view.restrict(restriction)
        self._on_change()
        uncommitted = [r.operation_id for r in message.restrictions if not r.version]
        committed = self._view.restrictions.find_committed(uncommitted)
        if committed:
            link.send(ShareRestrictions(tuple(committed)))

    def _sync(self) -> None:
        pending = tuple(self._view.restrictions.pending()[:MAX_SHARED])
        if not pending:
            return
        self._peers.broadcast(ShareRestrictions(pending))
        if not self._committing:
            self._committing = True
            self._commit(pending).addErrback(self._commit_failed).addBoth(self._commit_finished)

    @inlineCallbacks
    def _commit(self, pending: tuple[Restriction, ...]) -> Any:
        for restriction in pending:
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
                self._view.restrictions.discard(restriction.operation_id)

    def _commit_finished(self, _: Any) -> None:
        self._committing = False

    def _commit_failed(self, failure: Any) -> None:
        logs.warn("restriction_commit_failed", detail=failure.getErrorMessage())


def _command(restriction: Restriction) -> Any:
    operation_id, name = restriction.operation_id, restriction.name
    if restriction.kind == "key":
        return cmd.WithdrawKey(operation_id, name)
    if restriction.kind == "data_centre":
        return cmd.SetDataCentre(operation_id, name, False)
    return cmd.DrainTarget(operation_id, name, True)
