"""The replicated state machine.

It is deterministic and reads no clock: every controller applies the same committed commands in the
same order and reaches the same state.
"""

from __future__ import annotations

import dataclasses
from collections import OrderedDict
from dataclasses import replace
from functools import singledispatchmethod
from typing import Any

from geraniumtrack.protocol.codec import decode, encode
from geraniumtrack.state import commands as cmd
from geraniumtrack.state.claim_section import ClaimSection
from geraniumtrack.state.fleet_sections import FleetSections
from geraniumtrack.state.records import (
    VIEW_SECTIONS,
    Claim,
    DataCentre,
    Event,
    Key,
    Pool,
    Queue,
    Session,
    Team,
)

__all__ = ["ReplicatedState", "retired_holder"]

MAX_OPERATIONS = 10_000  # results kept for resent operations
MAX_EVENTS = 10_000  # events kept for `geraniumtrack explain`

_DECLARED_SECTIONS = {"data_centres": DataCentre, "pools": Pool, "queues": Queue, "teams": Team}
# Fields that ApplyFleet keeps, because operators change them by other commands.
_PRESERVED_FIELDS = {"data_centres": ("in_service",)}


def retired_holder(entry: str, session: str) -> str:
    """Returns the holder name under which a retired session and its allotments are kept.

    Names of entries contain no slash, so the holder name cannot equal one.
    """
    return f"{entry}/{session}"


class ReplicatedState(ClaimSection, FleetSections):
    """Configuration view, sessions, allotments, claims, operations and events."""

    def __init__(self) -> None:
        self.version = 0
        self.view: dict[str, dict[str, Any]] = {section: {} for section in VIEW_SECTIONS}
        self.removed: dict[str, dict[str, int]] = {section: {} for section in VIEW_SECTIONS}
        self.sessions: dict[str, Session] = {}
        # Tasks by team and holder. A holder is an entry, or `retired_holder` of a retired session.
        self.allotments: dict[str, dict[str, int]] = {}
        # By holder and team: sequence of the renewal that the last change of the allotment was
        # based on.
        self.sequences: dict[str, dict[str, int]] = {}
        # The last change by an operator; ApplyFleet is refused with an older `expected_version`.
        self.last_change: dict[str, Any] = {"version": 0}
        self.operations: OrderedDict[str, cmd.Result] = OrderedDict()
        self.events: list[Event] = []
        self._init_claims()
        self._init_instances()

    def apply(self, command: Any) -> cmd.Result:
        """Applies one committed command.

        Args:
            command: A command of `geraniumtrack.state.commands`.

        Returns:
            The result; a resent operation gets the result of its first application.
        """
        operation_id = getattr(command, "operation_id", "")
        if operation_id and operation_id in self.operations:
            return self.operations[operation_id]
        before = self.version
        result = self._apply(command)
        if operation_id and self.version > before:
            self.last_change = {
                "version": self.version,
                "operation_id": operation_id,
                "operator": getattr(command, "operator", ""),
                "command": type(command).__name__,
            }
        if operation_id:
            self.operations[operation_id] = result
            while len(self.operations) > MAX_OPERATIONS:
                self.operations.popitem(last=False)
        return result

    def delta(self, since: int) -> dict[str, Any]:
        """Returns the records changed after a version, and the names removed after it."""
        changed = {
            section: [r for r in records.values() if r.modified > since]
            for section, records in self.view.items()
        }
        removed = {
            section: [name for name, at in names.items() if at > since]
            for section, names in self.removed.items()
        }
        return {
            "changed": {section: records for section, records in changed.items() if records},
            "removed": {section: names for section, names in removed.items() if names},
        }

    def capture(self) -> dict[str, Any]:
        """Returns a copy of the state that another thread can encode.

        Records are immutable, so only the containers are copied.
        """
        return {
            "version": self.version,
            "view": {section: dict(records) for section, records in self.view.items()},
            "removed": {section: dict(names) for section, names in self.removed.items()},
            "sessions": dict(self.sessions),
            "allotments": {team: dict(amounts) for team, amounts in self.allotments.items()},
            "sequences": {holder: dict(by_team) for holder, by_team in self.sequences.items()},
            **self._capture_claims(),
            "last_change": dict(self.last_change),
            "operations": list(self.operations.items()),
            "events": list(self.events),
            **self._capture_instances(),
        }

    def dump(self) -> bytes:
        """Encodes the whole state for a snapshot."""
        return encode(self.capture())

    @classmethod
    def load(cls, data: bytes) -> ReplicatedState:
        """Decodes a state encoded by `dump`."""
        state = cls()
        body = decode(data)
        state.version = body["version"]
        state.view = body["view"]
        state.removed = body["removed"]
        state.sessions = body["sessions"]
        state.allotments = body["allotments"]
        state.sequences = body["sequences"]
        state._load_claims(body)
        state.last_change = body["last_change"]
        state.operations = OrderedDict((key, result) for key, result in body["operations"])
        state.events = list(body["events"])
        state._load_instances(body)
        return state

    @singledispatchmethod
    def _apply(self, command: Any) -> cmd.Result:
        return self._refuse("unknown_command", f"{type(command).__name__} is not a command")

    @_apply.register
    def _(self, command: cmd.Noop) -> cmd.Result:
        return self._accept()

    @_apply.register
    def _(self, command: cmd.ApplyFleet) -> cmd.Result:
        # Commands without an operation id, such as moves, admissions and maintenance steps, also
        # increase the version, but do not conflict with a declared fleet.
        if not self.last_change["version"] <= command.expected_version <= self.version:
            return self._refuse_conflict()
        self.version += 1
        for section, cls in _DECLARED_SECTIONS.items():
            self._replace_section(section, cls, command.fleet.get(section, []))
        return self._accept()

    @_apply.register
    def _(self, command: cmd.IssueKey) -> cmd.Result:
        if command.team not in self.view["teams"]:
            return self._refuse("unknown_team", f"team {command.team!r} is not declared; apply it")
        if command.key_id in self.view["keys"]:
            return self._refuse("key_exists", f"key id {command.key_id!r} was used; choose another")
        self._put("keys", Key(command.key_id, command.team, command.digest))
        return self._accept()

    @_apply.register
    def _(self, command: cmd.WithdrawKey) -> cmd.Result:
        key = self.view["keys"].get(command.key_id)
        if key is None:
            return self._refuse("unknown_key", f"key id {command.key_id!r} was never issued")
        if key.active:
            self._put("keys", replace(key, active=False))
        return self._accept()

    @_apply.register
    def _(self, command: cmd.SetDataCentre) -> cmd.Result:
        data_centre = self.view["data_centres"].get(command.name)
        if data_centre is None:
            return self._refuse("unknown_data_centre", f"{command.name!r} is not declared")
        if data_centre.in_service != command.in_service:
            self._put("data_centres", replace(data_centre, in_service=command.in_service))
        return self._accept()

    @_apply.register
    def _(self, command: cmd.OpenSession) -> cmd.Result:
        current = self.sessions.get(command.entry)
        if retired_holder(command.entry, command.session) in self.sessions:
            return self._refuse(
                "session_retired", f"{command.entry} was started again; stop the older process"
            )
        if current is not None and current.session != command.session:
            self._retire_session(current)
        self.sessions[command.entry] = Session(command.entry, command.session, command.data_centre)
        return self._accept()

    @_apply.register
    def _(self, command: cmd.CloseSession) -> cmd.Result:
        for holder in (command.entry, retired_holder(command.entry, command.session)):
            current = self.sessions.get(holder)
            if current is not None and current.session == command.session:
                del self.sessions[holder]
                self.sequences.pop(holder, None)
                for amounts in self.allotments.values():
                    amounts.pop(holder, None)
        return self._accept()

    @_apply.register
    def _(self, command: cmd.SetAllotment) -> cmd.Result:
        session = self.sessions.get(command.entry)
        if session is None or session.session != command.session:
            return self._refuse("no_session", f"{command.entry} has no such session; open it")
        team = self.view["teams"].get(command.team)
        amounts = self.allotments.setdefault(command.team, {})
        current = amounts.get(command.entry, 0)
        others = sum(amounts.values()) - current
        limit = team.limit if team is not None else 0
        sequences = self.sequences.setdefault(command.entry, {})
        last = sequences.get(command.team, 0)
        if command.sequence < last or (command.sequence == last and command.amount < current):
            return self._refuse("stale_renewal", f"the allotment is based on renewal {last}")
        if command.held != current:
            return self._refuse("stale_allotment", f"the allotment is {current}; decide again")
        if command.amount > current and others + command.amount > limit:
            return self._refuse("over_limit", f"{others} of {limit} are held by other entries")
        amounts[command.entry] = max(command.amount, 0)
        sequences[command.team] = command.sequence
        return self._accept()

    @_apply.register(cmd.OpenClaim)
    @_apply.register(cmd.FinishClaim)
    @_apply.register(cmd.CloseClaim)
    @_apply.register(cmd.ExpireClaims)
    def _(self, command: Any) -> cmd.Result:
        return self._apply_claim_command(command)

    @_apply.register(cmd.AdmitInstance)
    @_apply.register(cmd.DrainTarget)
    @_apply.register(cmd.RecordHealth)
    @_apply.register(cmd.RetireInstance)
    @_apply.register(cmd.BeginMove)
    @_apply.register(cmd.CompleteMove)
    @_apply.register(cmd.CancelMove)
    @_apply.register(cmd.PlanMaintenance)
    @_apply.register(cmd.ControlMaintenance)
    @_apply.register(cmd.AdvanceMaintenance)
    @_apply.register(cmd.SetAside)
    @_apply.register(cmd.ReturnInstance)
    def _(self, command: Any) -> cmd.Result:
        return self._apply_instance_command(command)

    @_apply.register
    def _(self, command: cmd.RecordEvent) -> cmd.Result:
        self._append_event(command.event)
        return self._accept()

    def _append_event(self, event: Event) -> None:
        self.events.append(event)
        del self.events[:-MAX_EVENTS]

    def _retire_session(self, session: Session) -> None:
        """Moves a session and its allotments to the holder name of a retired session."""
        holder = retired_holder(session.entry, session.session)
        self.sessions[holder] = self.sessions.pop(session.entry)
        if session.entry in self.sequences:
            self.sequences[holder] = self.sequences.pop(session.entry)
        for amounts in self.allotments.values():
            if session.entry in amounts:
                amounts[holder] = amounts.pop(session.entry)

    def _accept(self, *, claim: Claim | None = None, **details: Any) -> cmd.Result:
        return cmd.Result(ok=True, version=self.version, claim=claim, details=details)

    def _refuse(self, error: str, message: str, *, claim: Claim | None = None) -> cmd.Result:
        return cmd.Result(False, self.version, error, message, claim)

    def _refuse_conflict(self) -> cmd.Result:
        message = f"version {self.version} is in force; read it and apply the change to it"
        details = dict(self.last_change)
        return cmd.Result(False, self.version, "version_conflict", message, None, details)

    def _put(self, section: str, record: Any) -> None:
        """Stores a record of the configuration view under a new version."""
        self.version += 1
        name = record.key_id if section == "keys" else record.name
        self.view[section][name] = replace(record, modified=self.version)
        self.removed[section].pop(name, None)

    def _replace_section(self, section: str, cls: type, declared: list[dict[str, Any]]) -> None:
        current = self.view[section]
        declared_by_name = {item["name"]: item for item in declared}
        for name in [name for name in current if name not in declared_by_name]:
            del current[name]
            self.removed[section][name] = self.version
        names = {field.name for field in dataclasses.fields(cls)} - {"modified"}
        for name, item in declared_by_name.items():
            old = current.get(name)
            values = {key: value for key, value in item.items() if key in names}
            for preserved in _PRESERVED_FIELDS.get(section, ()):
                if old is not None:
                    values[preserved] = getattr(old, preserved)
            record = cls(**values, modified=old.modified if old is not None else 0)
            if record != old:
                current[name] = replace(record, modified=self.version)
                self.removed[section].pop(name, None)
