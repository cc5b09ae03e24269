"""The leading controller's session service: renewals, allotments and expiry of sessions."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Any, Protocol

from twisted.internet.defer import Deferred, DeferredList, inlineCallbacks, succeed

from geraniumtrack import logs
from geraniumtrack.coordination.consensus.replicator import Replicator
from geraniumtrack.coordination.limits.allotments import (
    AllotmentPlan,
    Renewal,
    plan_allotments,
    team_limit,
)
from geraniumtrack.coordination.limits.sessions import SessionTable
from geraniumtrack.errors import NotLeader
from geraniumtrack.protocol import messages as msgs
from geraniumtrack.settings import ControllerSettings
from geraniumtrack.state import commands as cmd

__all__ = ["SessionService"]

# Consecutive allotment plans for one team; each allots slots that the previous one released.
MAX_REALLOCATION_ROUNDS = 8
# Interval at which all teams are reallocated, to cover changes that no renewal triggers.
REALLOCATION_INTERVAL_S = 1.0
CLAIM_EXPIRY_INTERVAL_S = 60.0
CLAIM_RETENTION_S = 24 * 3600.0


class _Link(Protocol):
    def send(self, body: Any) -> bool:
        """Sends a message that expects no reply; returns whether the link was ready."""


class SessionService:
    """Manages the sessions and allotments of entries while this controller leads.

    Args:
        reactor: Twisted reactor.
        cfg: Settings of the controller.
        replicator: Raft replica of this controller.
        wall_clock: Returns seconds since the epoch, for the age of claims.
    """

    def __init__(
        self,
        reactor: Any,
        *,
        cfg: ControllerSettings,
        replicator: Replicator,
        wall_clock: Callable[[], float] = time.time,
    ) -> None:
        self.entry_versions: dict[str, int] = {}
        self._reactor = reactor
        self._cfg = cfg
        self._replicator = replicator
        self._wall_clock = wall_clock
        self._sessions: SessionTable | None = None
        self._term = -1
        self._links: dict[str, _Link] = {}
        self._reclaims: dict[str, dict[str, int]] = {}
        self._reallocating: dict[str, list[Deferred]] = {}
        self._reallocation_due = 0.0
        self._claim_expiry_due = 0.0

    def renew(self, body: msgs.RenewSession, link: _Link, reply: Callable[[Any], None]) -> None:
        """Handles a renewal: opens a new session if asked; replies with committed allotments."""
        if not self._is_leading():
            reply(msgs.LeaderHint(self._replicator.leader))
            return
        session = self._replicator.state.sessions.get(body.entry)
        if session is not None and session.session == body.session:
            self._process_renewal(body, link, reply)
        elif body.opening:
            fut = self._replicator.propose(
                cmd.OpenSession(body.entry, body.session, body.data_centre)
            )
            fut.addCallback(self._on_session_opened, body, link, reply)
            fut.addErrback(lambda failure: reply(self._failure_reply(failure)))
        else:
            reply(msgs.Failed("session_closed", "the session was closed; open a new one"))

    def run_periodic_work(self) -> None:
        """Closes sessions, expires claims and reallocates, as due, while this controller leads."""
        if not self._is_leading():
            return
        now = self._reactor.seconds()
        self._close_sessions(now)
        if now >= self._reallocation_due:
            self._reallocation_due = now + REALLOCATION_INTERVAL_S
            self._reallocate_all()
        if now >= self._claim_expiry_due:
            self._claim_expiry_due = now + CLAIM_EXPIRY_INTERVAL_S
            self._expire_claims()

    def on_applied(self, command: Any) -> None:
        """Updates the session table and the schedule after a command was applied."""
        if isinstance(command, cmd.CloseSession) and self._sessions is not None:
            self._sessions.remove(command.session)
        if isinstance(command, cmd.ApplyFleet | cmd.CloseSession):
            self._reallocation_due = 0.0

    def _is_leading(self) -> bool:
        """Whether this controller serves as leader; creates a new session table for each term."""
        if not self._replicator.is_serving():
            return False
        term = self._replicator.node.term
        if self._sessions is None or self._term != term:
            self._sessions = SessionTable(cfg=self._cfg, now=self._reactor.seconds())
            self._term = term
            self._reclaims = {}
        return True

    def _on_session_opened(self, result: cmd.Result, body: Any, link: _Link, reply: Any) -> None:
        if result.ok:
            logs.event("session_opened", entry=body.entry, session=body.session)
            self._process_renewal(body, link, reply)
        else:
            reply(msgs.Failed(result.error, result.message))

    def _process_renewal(self, body: msgs.RenewSession, link: _Link, reply: Any) -> None:
        if not self._is_leading():
            reply(msgs.LeaderHint(self._replicator.leader))
            return
        self._links[body.entry] = link
        self.entry_versions[body.entry] = body.version
        self._sessions.record_renewal(
            Renewal(body.entry, body.session, body.sequence, body.wanted, body.ceilings)
        )
        teams = set(body.wanted) | set(body.ceilings)
        futs = [self._reallocate(team, body.entry) for team in sorted(teams)]
        fut = DeferredList(futs, consumeErrors=True) if futs else succeed(None)
        fut.addCallback(lambda _: self._confirm_renewal(body, reply))

    def _confirm_renewal(self, body: msgs.RenewSession, reply: Any) -> None:
        # Checked again, because the leader lease may have expired or the session may have been
        # closed while the commands were being committed.
        state = self._replicator.state
        session = state.sessions.get(body.entry)
        is_open = session is not None and session.session == body.session
        if not self._is_leading():
            reply(msgs.LeaderHint(self._replicator.leader))
        elif not is_open or not self._sessions.mark_renewed(body.session, self._reactor.seconds()):
            reply(msgs.Failed("session_closed", "the session was closed; open a new one"))
        else:
            reply(
                msgs.SessionRenewed(
                    self._cfg.session_lease_s,
                    state.version,
                    self._allotments(body.entry),
                    self._reclaims.get(body.entry, {}),
                )
            )

    def _allotments(self, entry: str) -> dict[str, tuple[int, int]]:
        state = self._replicator.state
        return {
            team: (state.allotments.get(team, {}).get(entry, 0), sequence)
            for team, sequence in state.sequences.get(entry, {}).items()
        }

    @inlineCallbacks
    def _reallocate(self, team: str, renewing_entry: str = "") -> Any:
        """Plans and commits a team's allotments until a plan makes no change.

        If the team is already being reallocated, waits for that to finish instead.

        Args:
            team: Name of the team.
            renewing_entry: Entry that is not notified, because its renewal reply has the result.
        """
        if team in self._reallocating:
            fut: Deferred = Deferred()
            self._reallocating[team].append(fut)
            yield fut
            return
        self._reallocating[team] = []
        changed: set[str] = set()
        try:
            for _ in range(MAX_REALLOCATION_ROUNDS):
                plan = self._plan_allotments(team)
                changed |= self._update_reclaims(team, plan)
                if not plan.changes:
                    break
                futs = [self._replicator.propose(change) for change in plan.changes]
                yield DeferredList(futs, consumeErrors=True)
                changed |= {change.entry for change in plan.changes}
                if not self._is_leading():
                    break
        finally:
            for fut in self._reallocating.pop(team):
                fut.callback(None)
        self._send_allotment_notices(changed - {renewing_entry})

    def _plan_allotments(self, team: str) -> AllotmentPlan:
        state = self._replicator.state
        renewals = self._sessions.renewals(state.sessions)
        held = state.allotments.get(team, {})
        now = self._reactor.seconds()
        return plan_allotments(
            team,
            limit=team_limit(state.view["teams"].get(team)),
            held=held,
            sequences={
                entry: team_sequences.get(team, 0)
                for entry, team_sequences in state.sequences.items()
            },
            renewals=renewals,
            precedence=self._sessions.rotation.order(team, held=held, renewals=renewals, now=now),
        )

    def _update_reclaims(self, team: str, plan: AllotmentPlan) -> set[str]:
        """Stores the reclaims of a plan; returns the entries whose reclaims changed."""
        changed = set()
        for entry in set(self._reclaims) | set(plan.reclaim):
            reclaims = self._reclaims.setdefault(entry, {})
            reclaim_limit = plan.reclaim.get(entry)
            if reclaims.get(team) != reclaim_limit:
                changed.add(entry)
                if reclaim_limit is None:
                    del reclaims[team]
                else:
                    reclaims[team] = reclaim_limit
        return changed

    def _send_allotment_notices(self, entries: set[str]) -> None:
        for entry in entries:
            session = self._replicator.state.sessions.get(entry)
            link = self._links.get(entry)
            if session is not None and link is not None:
                reclaim = dict(self._reclaims.get(entry, {}))
                link.send(msgs.AllotmentNotice(session.session, self._allotments(entry), reclaim))

    def _reallocate_all(self) -> None:
        state = self._replicator.state
        teams = {team for team, by_entry in state.allotments.items() if any(by_entry.values())}
        for renewal in self._sessions.renewals(state.sessions):
            teams |= set(renewal.wanted)
        for team in sorted(teams):
            self._reallocate(team).addErrback(self._log_reallocation_failure)

    def _log_reallocation_failure(self, failure: Any) -> None:
        logs.warn("division_failed", detail=failure.getErrorMessage())

    def _close_sessions(self, now: float) -> None:
        for session in self._sessions.expired(self._replicator.state.sessions, now):
            logs.event("session_closed", entry=session.entry, session=session.session)
            self._sessions.mark_closing(session.session)
            command = cmd.CloseSession(session.entry, session.session)
            self._replicator.propose(command).addErrback(lambda failure: None)

    def _expire_claims(self) -> None:
        before = self._wall_clock() - CLAIM_RETENTION_S
        if any(claim.opened_at < before for claim in self._replicator.state.claims.values()):
            self._replicator.propose(cmd.ExpireClaims(before)).addErrback(lambda failure: None)

    def _failure_reply(self, failure: Any) -> Any:
        if failure.check(NotLeader):
            return msgs.LeaderHint(failure.value.leader)
        logs.warn("proposal_failed", detail=failure.getErrorMessage())
        return msgs.Failed("internal", "the controller failed; see its log")
