"""Answers to `geraniumtrack explain`: what is so now, and the recorded events that led to it."""

from __future__ import annotations

import dataclasses
from typing import Any

from geraniumtrack.state.availability import health_state, unavailable, unavailable_reason
from geraniumtrack.state.records import Event, Instance
from geraniumtrack.state.replicated import ReplicatedState

__all__ = ["events_of", "explain", "maintenance_status"]

MAX_EVENTS_SHOWN = 50

# Refusals of requests are not recorded one by one, so their kinds are explained by what they mean.
_REFUSALS = {
    "missing_key": "the request carried no key; send Authorization: Bearer <key>",
    "unknown_key": "the key was never issued, or it was withdrawn; issue a new one",
    "other_team": "the key belongs to another team than the request names",
    "no_authority": "the entry has not reached a controller within key_freshness_s",
    "no_controller": "no controller leads or can be reached; check that a majority runs",
    "unknown_queue": "the queue is not declared; compare with geraniumtrack show",
    "queue_full": "more requests wait than the queue's max_length",
    "over_limit": "the team runs as many tasks as its limit allows",
    "deadline": "no slot was free before the request's deadline; see explain <pool>",
    "not_started": "the task's deadline passed or authority was lost before it was sent",
    "targets_failed": "the request failed on several targets and is given up",
    "outcome_unknown": "the connection was lost after the request was sent; ask again by its id",
    "still_running": "a request with the same id is on a target; ask again later",
    "claims_full": "the claim table is full; older claims expire after 24 hours",
}


def explain(state: ReplicatedState, subject: str) -> dict[str, Any]:
    """Explains an instance, a pool, `maintenance`, a rack (`dc1/r1`) or a kind of refusal.

    Args:
        state: The replicated state.
        subject: What to explain.

    Returns:
        A JSON object with `subject`, `kind`, `now` and `events`; `kind` is `unknown` if there is
        neither such a subject nor an event about it.
    """
    kind, now, names = _describe(state, subject)
    events = events_of(state, names)
    if kind == "unknown" and events:
        kind = "former"
    return {"subject": subject, "kind": kind, "now": now, "events": events}


def events_of(state: ReplicatedState, subjects: set[str] | None = None) -> list[dict[str, Any]]:
    """Returns the last recorded events, oldest first; of all subjects if none are given."""
    found = [e for e in state.events if subjects is None or _concerns(e, subjects)]
    return [dataclasses.asdict(event) for event in found[-MAX_EVENTS_SHOWN:]]


def maintenance_status(state: ReplicatedState) -> dict[str, Any]:
    """Returns the campaign, its instances by phase, and how long it has taken in seconds."""
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
    away = unavailable(state, name)
    lines = [f"{size} instances, {len(away)} unavailable of {pool.max_unavailable} allowed"]
    lines += [f"{instance}: {reason}" for instance, reason in sorted(away.items())]
    lines += [
        f"{move.instance} moves to {move.to_pool}: {move.reason}"
        for move in state.moves.values()
        if name in (move.from_pool, move.to_pool)
    ]
    return lines


def _campaign_lines(state: ReplicatedState) -> list[str]:
    status = maintenance_status(state)
    if status["phase"] == "none":
        return ["no campaign was planned"]
    line = f"campaign {status['campaign_id']} is {status['phase']}"
    if status["reason"]:
        line += f": {status['reason']}"
    counts = {phase: len(names) for phase, names in status["instances"].items()}
    return [line, f"instances by phase: {counts}"]


def _concerns(event: Event, subjects: set[str]) -> bool:
    if event.subject in subjects:
        return True
    return any(event.details.get(end) in subjects for end in ("from", "to"))
