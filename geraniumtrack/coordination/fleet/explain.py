"""Answers of `geraniumtrack explain`: the current state of a subject and its recorded events."""

from __future__ import annotations

import dataclasses
from typing import Any

from geraniumtrack.state.availability import health_state, unavailable, unavailable_reason
from geraniumtrack.state.records import Event, Instance
from geraniumtrack.state.replicated import ReplicatedState

__all__ = ["events_of", "explain", "maintenance_status"]

MAX_EVENTS_SHOWN = 50

# General explanations of reason codes, because refusals of requests are not recorded as events.
_REFUSALS = {
    "missing_key": "the request has no key; send Authorization: Bearer <key>",
    "unknown_key": "the key was never issued or has been withdrawn; issue a new one",
    "unknown_queue": "the queue is not declared; check its name with geraniumtrack show",
    "unknown_path": "the path is not part of the interface; see docs/interfaces.md",
    "wrong_method": "the path does not take this method; see docs/interfaces.md",
    "bad_urgency": "the header Geraniumtrack-Urgency is malformed; correct it",
    "bad_timeout": "the header Request-Timeout is malformed; correct it",
    "bad_request_id": "the header Idempotency-Key is malformed; correct it",
    "bad_path": "the path has unprintable characters; remove them",
    "too_large": "the body is over max_body_bytes; send a smaller one",
    "overloaded": "too many requests are in progress or arriving; see max_buffered_bytes",
    "too_slow": "the complete request did not arrive within 60 s",
    "queue_full": "the queue has reached its max_length",
    "deadline": "no slot was free before the request's deadline; see explain <pool>",
    "not_ready": "the entry starts or stops; retry on another one",
    "no_authority": "the entry has not reached a controller within key_freshness_s",
    "no_controller": "no controller leads or can be reached; check that a majority of them runs",
    "no_capacity": "no data centre in service has targets for it, or no placement completed it",
    "claims_full": "the claim table is full; older claims expire after 24 hours",
    "not_started": "the deadline or the entry's right to run the task ended before it was sent",
    "task_failed": "the request failed on several targets and is not retried any more",
    "retries_exhausted": "a target failed, and too many requests were retried already",
    "still_running": "a request with the same id is running on a target; retry later",
    "not_run": "a request with the same id was refused for good; send a new one",
    "fingerprint_mismatch": "the request id was used with another request; use a new one",
    "answer_not_held": "the request ran, but its answer was too large to be held",
    "outcome_unknown": "the connection was lost after the request was sent; query it by its id",
    "internal": "a fault in an entry; see request_failed in its log",
}


def explain(state: ReplicatedState, subject: str) -> dict[str, Any]:
    """Explains an instance, a pool, `maintenance`, a rack (`dc1/r1`) or a reason code of a refusal.

    Args:
        state: The replicated state.
        subject: What to explain.

    Returns:
        A JSON object with `subject`, `kind`, `now` and `events`. `kind` is `former` for a subject
        that exists only in events, and `unknown` for one without events.
    """
    kind, now, names = _describe(state, subject)
    events = events_of(state, names)
    if kind == "unknown" and events:
        kind = "former"
    return {"subject": subject, "kind": kind, "now": now, "events": events}


def events_of(state: ReplicatedState, subjects: set[str] | None = None) -> list[dict[str, Any]]:
    """Returns the latest events of some subjects, or of all subjects if None; oldest first."""
    matching = [e for e in state.events if subjects is None or _concerns(e, subjects)]
    return [dataclasses.asdict(event) for event in matching[-MAX_EVENTS_SHOWN:]]


def maintenance_status(state: ReplicatedState) -> dict[str, Any]:
    """Returns the campaign with its instances by phase, and its duration in seconds once ended."""
    campaign = state.campaign
    if campaign is None:
        return {"phase": "none"}
    phases: dict[str, list[str]] = {}
    for name in sorted(state.maintenance):
        instance = state.view["instances"][name]
        phases.setdefault(instance.maintenance or "none", []).append(name)
    body = dataclasses.asdict(campaign)
    body["instances"] = phases
    body["roll_out_s"] = campaign.ended_at - campaign.at if campaign.ended_at else None
    return body


def _describe(state: ReplicatedState, subject: str) -> tuple[str, list[str], set[str]]:
    instance = state.view["instances"].get(subject)
    if instance is not None:
        return "instance", _instance_lines(state, instance), {subject}
    if subject in state.view["pools"]:
        return "pool", _pool_lines(state, subject), {subject}
    if subject == "maintenance":
        return "maintenance", _campaign_lines(state), {subject}
    rack = [i for i in state.view["instances"].values() if f"{i.data_centre}/{i.rack}" == subject]
    if rack:
        lines = [f"{i.name}: {i.maintenance or 'no maintenance planned'}" for i in rack]
        return "wave", lines + _campaign_lines(state), {"maintenance", *(i.name for i in rack)}
    if subject in _REFUSALS:
        return "refusal", [_REFUSALS[subject]], {subject}
    return "unknown", ["no instance, pool, rack or refusal of that name"], {subject}


def _instance_lines(state: ReplicatedState, instance: Instance) -> list[str]:
    lines = [
        f"in pool {instance.pool}, at {instance.data_centre}/{instance.rack}, "
        f"{health_state(state, instance.name)}",
        f"serves: {'no, ' + reason if (reason := unavailable_reason(state, instance)) else 'yes'}",
    ]
    move = state.moves.get(instance.name)
    if move is not None:
        lines.append(f"moves from {move.from_pool} to {move.to_pool}: {move.reason}")
    loan = state.loans.get(instance.name)
    if loan is not None:
        lines.append(f"lent by pool {loan.home}")
    if instance.set_aside:
        lines.append(f"set aside: {instance.set_aside}")
    if instance.maintenance:
        lines.append(f"maintenance: {instance.maintenance}")
    return lines


def _pool_lines(state: ReplicatedState, name: str) -> list[str]:
    pool = state.view["pools"][name]
    size = sum(i.pool == name for i in state.view["instances"].values())
    reasons = unavailable(state, name)
    lines = [f"{size} instances, {len(reasons)} unavailable of {pool.max_unavailable} allowed"]
    lines += [f"{instance}: {reason}" for instance, reason in sorted(reasons.items())]
    lines += [
        f"{move.instance} moves to {move.to_pool}: {move.reason}"
        for move in state.moves.values()
        if name in (move.from_pool, move.to_pool)
    ]
    return lines


def _campaign_lines(state: ReplicatedState) -> list[str]:
    status = maintenance_status(state)
    if status["phase"] == "none":
        return ["no campaign has been planned"]
    line = f"campaign {status['campaign_id']} is {status['phase']}"
    if status["reason"]:
        line += f": {status['reason']}"
    counts = {phase: len(names) for phase, names in status["instances"].items()}
    return [line, f"instances by phase: {counts}"]


def _concerns(event: Event, subjects: set[str]) -> bool:
    """Whether an event is about one of the subjects, or about a move from or to one of them."""
    if event.subject in subjects:
        return True
    return any(event.details.get(key) in subjects for key in ("from", "to"))
