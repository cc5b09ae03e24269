"""Commands for the declared fleet: apply, diff and show."""

from __future__ import annotations

import json
import sys
from pathlib import Path
from typing import Any

from geraniumtrack.cli.operator_client import OperatorClient
from geraniumtrack.cli.output import STDIN, command, finish
from geraniumtrack.errors import SettingsError
from geraniumtrack.fleet import Fleet, parse_fleet

__all__ = ["FleetCommands", "compare"]

SECTIONS = ("data_centres", "pools", "queues", "teams")


class FleetCommands:
    """Commands for the configuration."""

    @command
    def apply(
        self,
        fleet: str,
        *,
        operator: str,
        expected_version: int | None = None,
        operation_id: str = "",
    ) -> None:
        """Applies a fleet declared in JSON, for example `python fleet.py | geraniumtrack apply -`.

        Args:
            fleet: File with the JSON that the operator library prints; - for standard input.
            operator: Path of the operator's settings file.
            expected_version: Configuration version that the change is based on; by default the
                current one.
            operation_id: Id of the operation; to resend it, give the id of the first attempt.
        """
        if not isinstance(expected_version, int | None):
            raise SettingsError(
                f"--expected-version has value {expected_version!r}", remedy="give a whole number"
            )
        body = _read_fleet(fleet)
        client = OperatorClient.from_file(operator)
        if expected_version is None:
            expected_version = client.view()["version"]
        request = {
            "fleet": body,
            "expected_version": expected_version,
            "operator": client.cfg.operator,
        }
        finish(client.command("/v1/fleet", request, operation_id=operation_id))

    @command
    def diff(self, fleet: str, *, operator: str) -> None:
        """Compares a fleet declared in JSON with the configuration in force.

        Args:
            fleet: File with the JSON that the operator library prints; - for standard input.
            operator: Path of the operator's settings file.
        """
        declared = _read_fleet(fleet)
        view = OperatorClient.from_file(operator).view()
        lines = compare(view, declared)
        print(f"version {view['version']} in force, {len(lines)} differences")
        for line in lines:
            print(line)

    @command
    def show(self, *, operator: str) -> None:
        """Prints the configuration in force as JSON."""
        print(json.dumps(OperatorClient.from_file(operator).view(), indent=2))


def compare(view: dict[str, Any], declared: dict[str, Any]) -> list[str]:
    """Returns one line for each new (+) or removed (-) record and for each changed field (~)."""
    lines = []
    for section in SECTIONS:
        current = view.get(section, {})
        new = {record["name"]: record for record in declared[section]}
        for name in sorted(current.keys() | new.keys()):
            lines += _compare_record(f"{section} {name}", current.get(name), new.get(name))
    return lines


def _compare_record(
    title: str, current: dict[str, Any] | None, new: dict[str, Any] | None
) -> list[str]:
    if current is None:
        return [f"+ {title}"]
    if new is None:
        return [f"- {title}"]
    return [
        f"~ {title} {field}: {current[field]!r} -> {value!r}"
        for field, value in new.items()
        if field in current and current[field] != value
    ]


def _read_fleet(path: str) -> dict[str, Any]:
    try:
        text = sys.stdin.read() if path == STDIN else Path(path).read_text()
    except OSError as exc:
        raise SettingsError(f"fleet {path} cannot be read: {exc}", remedy="check the path") from exc
    if path.endswith(".py"):
        raise SettingsError(
            f"fleet {path} is Python, not JSON",
            remedy=f"run `python {path} | geraniumtrack apply - ...`",
        )
    try:
        return parse_fleet(json.loads(text))
    except ValueError as exc:
        raise SettingsError(
            f"fleet {path} is not JSON: {exc}",
            remedy="give the JSON that the operator library prints",
        ) from exc


if __name__ == "__main__":
    example = Fleet(data_centres=[{"name": "dc1"}], pools=[{"name": "proofs"}])
    print(compare({}, example.model_dump()))
