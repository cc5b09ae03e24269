"""Commands that run a daemon or prepare one."""

from __future__ import annotations

import json
import sys
import time
from pathlib import Path
from typing import Any

from geraniumtrack.cli_output import command
from geraniumtrack.errors import SettingsError
from geraniumtrack.settings import ControllerSettings, EntrySettings, load_settings, read_secret

__all__ = ["DaemonCommands"]


class DaemonCommands:
    """Commands for the instances that run entries and controllers."""

    @command
    def entry(self, settings: str) -> None:
        """Runs an entry with a settings file."""
        cfg = _prepare(settings, EntrySettings)
        from geraniumtrack.daemon import run_daemon
        from geraniumtrack.entry import Entry

        sys.exit(run_daemon(Entry(_reactor(), cfg)))

    @command
    def controller(self, settings: str) -> None:
        """Runs a controller with a settings file."""
        cfg = _prepare(settings, ControllerSettings)
        from geraniumtrack.controller import Controller
        from geraniumtrack.daemon import run_daemon

        sys.exit(run_daemon(Controller(_reactor(), cfg)))

    @command
    def init_controller(self, settings: str) -> None:
        """Creates the data folder of one of the first voters."""
        from geraniumtrack.state.store import init_folder

        cfg = load_settings(settings, ControllerSettings)
        peers = [peer.name for peer in cfg.controllers]
        identity = init_folder(cfg.data_folder, name=cfg.name, peers=peers)
        print(f"created replica {identity.replica_id} in {cfg.data_folder}")

    @command
    def check_settings(self, settings: str) -> None:
        """Checks a settings file of either daemon, and its secret file."""
        model = ControllerSettings if _kind(settings) == "controller" else EntrySettings
        cfg = load_settings(settings, model)
        read_secret(cfg.secret_file)
        print(f"{settings}: valid settings of {cfg.kind} {cfg.name}")


def _prepare(path: str, model: Any) -> Any:
    from geraniumtrack import logs, tracing

    cfg = load_settings(path, model)
    logs.setup(process=cfg.name, data_centre=cfg.data_centre, level=cfg.log_level)
    tracing.setup(cfg)
    return cfg


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
