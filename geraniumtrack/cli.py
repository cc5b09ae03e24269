"""The command line. Exit codes: 0 done, 1 failed, 2 bad input, 3 refused by the controllers."""

from __future__ import annotations

import json
import secrets
import sys
import time
from pathlib import Path
from typing import Any

import fire

from geraniumtrack import logs
from geraniumtrack.errors import GeraniumtrackError, SettingsError
from geraniumtrack.fleet import parse_fleet
from geraniumtrack.operator_client import OperatorClient
from geraniumtrack.settings import ControllerSettings, EntrySettings, load_settings
from geraniumtrack.state.store import init_folder
from geraniumtrack.state.view import key_digest

__all__ = ["Commands", "main"]

EXIT_FAILED, EXIT_BAD_INPUT, EXIT_REFUSED = 1, 2, 3


class Commands:
    """geraniumtrack: fleet capacity and maintenance manager."""

    def entry(self, settings: str) -> None:
        """Runs an entry with a settings file."""
        cfg = load_settings(settings, EntrySettings)
        logs.setup(process=cfg.name, data_centre=cfg.data_centre, level=cfg.log_level)
        from geraniumtrack.daemon import run_daemon
        from geraniumtrack.entry import Entry

        sys.exit(run_daemon(Entry(_reactor(), cfg)))

    def controller(self, settings: str) -> None:
        """Runs a controller with a settings file."""
        cfg = load_settings(settings, ControllerSettings)
        logs.setup(process=cfg.name, data_centre=cfg.data_centre, level=cfg.log_level)
        from geraniumtrack.controller import Controller
        from geraniumtrack.daemon import run_daemon

        sys.exit(run_daemon(Controller(_reactor(), cfg)))

    def init_controller(self, settings: str) -> None:
        """Creates the data folder of one of the first voters."""
        cfg = load_settings(settings, ControllerSettings)
        peers = [peer.name for peer in cfg.controllers]
        identity = init_folder(cfg.data_folder, name=cfg.name, peers=peers)
        print(f"created replica {identity.replica_id} in {cfg.data_folder}")

    def check_settings(self, settings: str) -> None:
        """Checks a settings file of either daemon."""
        kind = _kind(settings)
        model = ControllerSettings if kind == "controller" else EntrySettings
        cfg = load_settings(settings, model)
        print(f"{settings}: valid settings of {cfg.kind} {cfg.name}")

    def apply(self, fleet: str, *, operator: str, expected_version: int | None = None) -> None:
        """Applies a fleet's JSON, from a file or - for standard input.

        Args:
            fleet: File with the JSON that the operator library prints.
            operator: Settings file of the command line.
            expected_version: Version the change builds on; the current one if left out.
        """
        text = sys.stdin.read() if fleet == "-" else Path(fleet).read_text()
        body = parse_fleet(json.loads(text))
        client = OperatorClient.from_file(operator)
        if expected_version is None:
            expected_version = client.view()["version"]
        _finish(
            client.command(
                "/v1/fleet",
                {
                    "fleet": body,
                    "expected_version": expected_version,
                    "operator": client.cfg.operator,
                },
            )
        )

    def show(self, *, operator: str) -> None:
        """Prints the configuration in force."""
        print(json.dumps(OperatorClient.from_file(operator).view(), indent=2))

    def status(self, *, operator: str) -> None:
        """Prints the status of each controller."""
        print(json.dumps(OperatorClient.from_file(operator).statuses(), indent=2))

    def issue_key(self, team: str, *, operator: str, key_id: str = "") -> None:
        """Issues a key and prints it once; only its digest is kept."""
        key = secrets.token_urlsafe(24)
        key_id = key_id or f"{team}-{secrets.token_hex(4)}"
        body = {"team": team, "key_id": key_id, "digest": key_digest(key).hex()}
        status, reply = OperatorClient.from_file(operator).command("/v1/keys", body)
        if status != 200:
            _finish((status, reply))
        print(json.dumps({"key_id": key_id, "key": key}))

    def withdraw_key(self, key_id: str, *, operator: str) -> None:
        """Withdraws a key for good."""
        client = OperatorClient.from_file(operator)
        _finish(client.command(f"/v1/keys/{key_id}/withdraw", {}))

    def take_out(self, data_centre: str, *, operator: str) -> None:
        """Takes a data centre out of service."""
        self._set_data_centre(data_centre, False, operator)

    def bring_back(self, data_centre: str, *, operator: str) -> None:
        """Brings a data centre back into service."""
        self._set_data_centre(data_centre, True, operator)

    def drain(self, target: str, *, operator: str, end: bool = False) -> None:
        """Drains a target, or with --end ends the drain."""
        client = OperatorClient.from_file(operator)
        _finish(client.command(f"/v1/targets/{target}/drain", {"drained": not end}))

    def _set_data_centre(self, name: str, in_service: bool, operator: str) -> None:
        client = OperatorClient.from_file(operator)
        _finish(client.command(f"/v1/data-centres/{name}", {"in_service": in_service}))


def main() -> None:
    """Runs the command line; errors go to standard error with their remedy."""
    try:
        fire.Fire(Commands, name="geraniumtrack")
    except SettingsError as exc:
        sys.stderr.write(f"error: {exc}\n")
        sys.exit(EXIT_BAD_INPUT)
    except (GeraniumtrackError, OSError, ValueError) as exc:
        sys.stderr.write(f"error: {exc}\n")
        sys.exit(EXIT_FAILED)


def _finish(answer: tuple[int, dict[str, Any]]) -> None:
    status, reply = answer
    print(json.dumps(reply))
    if status != 200:
        sys.exit(EXIT_REFUSED)


def _kind(path: str) -> str:
    try:
        return str(json.loads(Path(path).read_text()).get("kind"))
    except (OSError, ValueError, AttributeError) as exc:
        raise SettingsError(f"{path} cannot be read: {exc}", remedy="give a JSON file") from exc


def _reactor() -> Any:
    from twisted.internet import reactor

    # Twisted counts time with the wall clock; leases need one that is never set.
    reactor.seconds = time.monotonic
    return reactor
