"""The leading controller's work for entries: renewals, division of limits, end of sessions."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Any, Protocol

from twisted.internet.defer import Deferred, DeferredList, inlineCallbacks, succeed

from geraniumtrack import logs
from geraniumtrack.coordination.allotments import Division, Renewal, divide, team_limit
from geraniumtrack.coordination.replicator import Replicator
from geraniumtrack.coordination.sessions import SessionTable
from geraniumtrack.errors import NotLeader
from geraniumtrack.protocol import messages as msgs
from geraniumtrack.settings import ControllerSettings
from geraniumtrack.state import commands as cmd

__all__ = ["SessionService"]

MAX_ROUNDS = 8  # divisions of one team in a row; each grants what the one before set free
DIVIDE_S = 1.0  # all teams are divided this often, for what changes without a renewal
EXPIRE_CLAIMS_S = 60.0
CLAIM_RETENTION_S = 24 * 3600.0


class _Link(Protocol):
    def send(self, body: Any) -> bool:
        """Sends a message that wants no reply."""


class SessionService:
    """Sessions and allotments of a controller while it leads.

    Args:
        reactor: Twisted reactor.
        cfg: Settings of the controller.
        replicator: Its replica.
        wall_clock: Seconds since the epoch, for the age of claims.
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
        self._table: SessionTable | None = None
        self._term = -1
        self._links: dict[str, _Link] = {}
        self._reclaims: dict[str, dict[str, int]] = {}
        self._settling: dict[str, list[Deferred]] = {}
        self._divide_due = 0.0
        self._expire_due = 0.0

    def renew(self, body: msgs.RenewSession, link: _Link, reply: Callable[[Any], None]) -> None:
        """Handles a renewal: opens the session if it is new, and answers with what is committed."""
        if not self._leads():
            reply(msgs.LeaderHint(self._replicator.leader))
            return
        current = self._replicator.state.sessions.get(body.entry)
        if current is not None and current.session == body.session:
            self._take(body, link, reply)
        elif body.opening:
            fut = self._replicator.propose(
                cmd.OpenSession(body.entry, body.session, body.data_centre)
            )
            fut.addCallback(self._opened, body, link, reply)
            fut.addErrback(lambda failure: reply(self._failure_reply(failure)))
        else:
            reply(msgs.Failed("session_closed", "the session was closed; open a new one"))

    def work(self) -> None:
        """Does the timed work of a leader: closes sessions, expires claims, divides limits."""
        if not self._leads():
            return
        now = self._reactor.seconds()
        self._close_sessions(now)
        if now >= self._divide_due:
            self._divide_due = now + DIVIDE_S
            self._settle_all()
        if now >= self._expire_due:
            self._expire_due = now + EXPIRE_CLAIMS_S
            self._expire_claims()

    def applied(self, command: Any) -> None:
        """Notes an applied command."""
        if isinstance(command, cmd.CloseSession) and self._table is not None:
            self._table.ended(command.session)
        if isinstance(command, cmd.ApplyFleet | cmd.CloseSession):
            self._divide_due = 0.0

    def _leads(self) -> bool:
        """Whether this controller serves as leader; starts a new table with each term it leads."""
        if not self._replicator.serves():
            return False
        term = self._replicator.node.term
        if self._table is None or self._term != term:
            self._table = SessionTable(cfg=self._cfg, now=self._reactor.seconds())
            self._term = term
            self._reclaims = {}
        return True

    def _opened(self, result: cmd.Result, body: Any, link: _Link, reply: Any) -> None:
        if result.ok:
            logs.event("session_opened", entry=body.entry, session=body.session)
            self._take(body, link, reply)
        else:
            reply(msgs.Failed(result.error, result.message))

    def _take(self, body: msgs.RenewSession, link: _Link, reply: Any) -> None:
        if not self._leads():
            reply(msgs.LeaderHint(self._replicator.leader))
            return
        self._links[body.entry] = link
        self.entry_versions[body.entry] = body.version
        self._table.heard(
            Renewal(body.entry, body.session, body.sequence, body.wanted, body.ceilings)
        )
        teams = set(body.wanted) | set(body.ceilings)
        futs = [self._settle(team, body.entry) for team in sorted(teams)]
        fut = DeferredList(futs, consumeErrors=True) if futs else succeed(None)
        fut.addCallback(lambda _: self._confirm(body, reply))

    def _confirm(self, body: msgs.RenewSession, reply: Any) -> None:
        # Checked again: the lease may have lapsed and the session been closed during the commits.
        state = self._replicator.state
        current = state.sessions.get(body.entry)
        is_open = current is not None and current.session == body.session
        if not self._leads():
            reply(msgs.LeaderHint(self._replicator.leader))
        elif not is_open or not self._table.renewed(body.session, self._reactor.seconds()):
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
    def _settle(self, team: str, asking: str = "") -> Any:
        """Divides a team's limit until nothing changes any more."""
        if team in self._settling:
            fut: Deferred = Deferred()
            self._settling[team].append(fut)
            yield fut
            return
        self._settling[team] = []
        changed: set[str] = set()
        try:
            for _ in range(MAX_ROUNDS):
                division = self._division(team)
                changed |= self._note_reclaims(team, division)
                if not division.changes:
                    break
                futs = [self._replicator.propose(change) for change in division.changes]
                yield DeferredList(futs, consumeErrors=True)
                changed |= {change.entry for change in division.changes}
                if not self._leads():
                    break
        finally:
            for fut in self._settling.pop(team):
                fut.callback(None)
        self._notify(changed - {asking})

    def _division(self, team: str) -> Division:
        state = self._replicator.state
        renewals = self._table.renewals(state.sessions)
        held = state.allotments.get(team, {})
        now = self._reactor.seconds()
        return divide(
            team,
            limit=team_limit(state.view["teams"].get(team)),
            held=held,
            sequences={entry: of.get(team, 0) for entry, of in state.sequences.items()},
            renewals=renewals,
            waiting=self._table.turns.order(team, held=held, renewals=renewals, now=now),
        )

    def _note_reclaims(self, team: str, division: Division) -> set[str]:
        """Keeps what entries are asked to give back; returns those for whom it changed."""
        changed = set()
        for entry in set(self._reclaims) | set(division.reclaim):
            asked = self._reclaims.setdefault(entry, {})
            part = division.reclaim.get(entry)
            if asked.get(team) != part:
                changed.add(entry)
                if part is None:
                    del asked[team]
                else:
                    asked[team] = part
        return changed

    def _notify(self, entries: set[str]) -> None:
        for entry in entries:
            session = self._replicator.state.sessions.get(entry)
            link = self._links.get(entry)
            if session is not None and link is not None:
                reclaim = dict(self._reclaims.get(entry, {}))
                link.send(msgs.AllotmentNotice(session.session, self._allotments(entry), reclaim))

    def _settle_all(self) -> None:
        state = self._replicator.state
        teams = {team for team, shares in state.allotments.items() if any(shares.values())}
        for renewal in self._table.renewals(state.sessions):
            teams |= set(renewal.wanted)
        for team in sorted(teams):
            self._settle(team).addErrback(self._settle_failed)

    def _settle_failed(self, failure: Any) -> None:
        logs.warn("division_failed", detail=failure.getErrorMessage())

    def _close_sessions(self, now: float) -> None:
        for session in self._table.to_close(self._replicator.state.sessions, now):
            logs.event("session_closed", entry=session.entry, session=session.session)
            self._table.begin_close(session.session)
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
