"""Commands on the declared fleet: apply, diff, show."""

from __future__ import annotations

import json
import sys
from pathlib import Path
from typing import Any

from geraniumtrack.cli_output import STDIN, command, finish
from geraniumtrack.errors import SettingsError
from geraniumtrack.fleet import Fleet, parse_fleet
from geraniumtrack.operator_client import OperatorClient

__all__ = ["FleetCommands", "compare"]

SECTIONS = ("data_centres", "pools", "queues", "teams")


class FleetCommands:
    """Commands on the configuration."""

    @command
    def apply(
        self,
        fleet: str,
        *,
        operator: str,
        expected_version: int | None = None,
        operation_id: str = "",
    ) -> None:
        """Applies a fleet's JSON: a file, or - for `python fleet.py | geraniumtrack apply -`.

        Args:
            fleet: File with the JSON that the operator library prints, or -.
            operator: Settings file of the command line.
            expected_version: Version the change builds on; the current one if left out.
            operation_id: Id of the operation; give the id of the first try when resending.
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
        """Compares a fleet's JSON, a file or -, with the configuration in force.

        Args:
            fleet: File with the JSON that the operator library prints, or -.
            operator: Settings file of the command line.
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
    """Returns one line for each declared record that is new (+), removed (-) or changed (~)."""
    lines = []
    for section in SECTIONS:
        held = view.get(section, {})
        wanted = {record["name"]: record for record in declared[section]}
        for name in sorted(held.keys() | wanted.keys()):
            lines += _compare_record(f"{section} {name}", held.get(name), wanted.get(name))
    return lines


def _compare_record(
    title: str, held: dict[str, Any] | None, wanted: dict[str, Any] | None
) -> list[str]:
    if held is None:
        return [f"+ {title}"]
    if wanted is None:
        return [f"- {title}"]
    return [
        f"~ {title} {field}: {held[field]!r} -> {value!r}"
        for field, value in wanted.items()
        if field in held and held[field] != value
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
            f"fleet {path} is not JSON: {exc}", remedy="give what the operator library prints"
        ) from exc


if __name__ == "__main__":
    example = Fleet(data_centres=[{"name": "dc1"}], pools=[{"name": "proofs"}])
    print(compare({}, example.model_dump()))
