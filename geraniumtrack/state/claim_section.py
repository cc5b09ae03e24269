"""Claims of non-idempotent requests, and their stored answers, in the replicated state."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import replace
from functools import singledispatchmethod
from typing import Any

from geraniumtrack.state import commands as cmd
from geraniumtrack.state.records import Claim, Session

__all__ = ["MAX_CLAIMS", "ClaimSection"]

MAX_CLAIMS = 200_000  # further claims are refused; evicting old ones would let their requests rerun
# Limit of all stored answer bodies together; beyond it, the bodies of the oldest are dropped.
MAX_TOTAL_ANSWER_BYTES = 64 * 1024 * 1024


class ClaimSection:
    """State and commands of claims.

    A base class of `ReplicatedState`, which handles the sessions that hold open claims.
    """

    sessions: dict[str, Session]

    def _init_claims(self) -> None:
        self.claims: dict[tuple[str, str], Claim] = {}
        # Sizes of the stored answer bodies by claim, the oldest first.
        self._answer_sizes: OrderedDict[tuple[str, str], int] = OrderedDict()
        self._answer_bytes = 0

    def _capture_claims(self) -> dict[str, Any]:
        return {
            "claims": list(self.claims.values()),
            "held": list(self._answer_sizes.items()),
        }

    def _load_claims(self, body: dict[str, Any]) -> None:
        self.claims = {(claim.team, claim.request_id): claim for claim in body["claims"]}
        self._answer_sizes = OrderedDict((tuple(key), size) for key, size in body["held"])
        self._answer_bytes = sum(self._answer_sizes.values())

    @singledispatchmethod
    def _apply_claim_command(self, command: Any) -> cmd.Result:
        raise TypeError(f"{type(command).__name__} is not a command of claims")

    @_apply_claim_command.register
    def _(self, command: cmd.OpenClaim) -> cmd.Result:
        stored = self._current_claim(command)
        if stored is not None:
            if stored.phase == "open" and stored.attempt == command.attempt:
                return self._accept(claim=stored)
            return self._refuse_existing(stored, command.fingerprint)
        if len(self.claims) >= MAX_CLAIMS:
            return self._refuse("claims_full", "the claim table is full; retry later")
        claim = Claim(
            team=command.team,
            request_id=command.request_id,
            phase="open",
            fingerprint=command.fingerprint,
            entry=command.entry,
            session=command.session,
            opened_at=command.at,
            attempt=command.attempt,
        )
        self.claims[(command.team, command.request_id)] = claim
        return self._accept(claim=claim)

    @_apply_claim_command.register
    def _(self, command: cmd.FinishClaim) -> cmd.Result:
        stored = self._current_claim(command)
        if stored is None or stored.phase not in ("open", "unknown"):
            return self._refuse("no_open_claim", "the claim is not open", claim=stored)
        if stored.attempt != command.attempt:
            return self._refuse("not_holder", "another attempt holds the claim", claim=stored)
        phase = "finished" if command.outcome is not None else "unknown"
        finished = replace(stored, phase=phase, outcome=command.outcome)
        key = (command.team, command.request_id)
        self.claims[key] = finished
        self._limit_answer_bytes(key, finished)
        return self._accept(claim=finished)

    @_apply_claim_command.register
    def _(self, command: cmd.CloseClaim) -> cmd.Result:
        stored = self._current_claim(command)
        if stored is not None:
            if not command.attempt or stored.attempt != command.attempt or stored.phase != "open":
                return self._refuse_existing(stored, command.fingerprint)
        elif len(self.claims) >= MAX_CLAIMS:
            return self._refuse("claims_full", "the claim table is full; retry later")
        claim = Claim(
            team=command.team,
            request_id=command.request_id,
            phase="not_run",
            fingerprint=command.fingerprint,
            opened_at=command.at,
        )
        self.claims[(command.team, command.request_id)] = claim
        return self._accept(claim=claim)

    @_apply_claim_command.register
    def _(self, command: cmd.ExpireClaims) -> cmd.Result:
        open_sessions = {session.session for session in self.sessions.values()}
        self.claims = {
            key: claim
            for key, claim in self.claims.items()
            if claim.opened_at >= command.before
            or (claim.phase == "open" and claim.session in open_sessions)
        }
        for key in [key for key in self._answer_sizes if key not in self.claims]:
            self._answer_bytes -= self._answer_sizes.pop(key)
        return self._accept()

    def _limit_answer_bytes(self, key: tuple[str, str], claim: Claim) -> None:
        """Counts a stored answer and drops the bodies of the oldest answers beyond the limit."""
        if claim.outcome is None or not claim.outcome.body:
            return
        self._answer_bytes += len(claim.outcome.body) - self._answer_sizes.pop(key, 0)
        self._answer_sizes[key] = len(claim.outcome.body)
        while self._answer_bytes > MAX_TOTAL_ANSWER_BYTES:
            oldest, size = self._answer_sizes.popitem(last=False)
            self._answer_bytes -= size
            stored = self.claims[oldest]
            outcome = replace(stored.outcome, body=b"", held=False)
            self.claims[oldest] = replace(stored, outcome=outcome)

    def _current_claim(self, command: Any) -> Claim | None:
        """Returns the claim of a command, or None.

        An open claim whose session is closed becomes `unknown` first.
        """
        key = (command.team, command.request_id)
        claim = self.claims.get(key)
        if claim is None or claim.phase != "open":
            return claim
        if all(session.session != claim.session for session in self.sessions.values()):
            claim = self.claims[key] = replace(claim, phase="unknown")
        return claim

    def _refuse_existing(self, stored: Claim, fingerprint: bytes) -> cmd.Result:
        """Refuses to claim or close a request id that has a claim already."""
        if stored.fingerprint != fingerprint:
            return self._refuse(
                "fingerprint_mismatch", "the request id was used for another request; use a new one"
            )
        return self._refuse("claim_exists", "the request id was used", claim=stored)
