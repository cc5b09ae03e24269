"""Commands that run a daemon, prepare its data folder or check its settings."""

from __future__ import annotations

import json
import sys
from pathlib import Path
from typing import Any

from geraniumtrack.cli.output import command
from geraniumtrack.errors import SettingsError
from geraniumtrack.settings import ControllerSettings, EntrySettings, load_settings, read_secret

__all__ = ["DaemonCommands"]


class DaemonCommands:
    """Commands that run on the machines of entries and controllers."""

    @command
    def entry(self, settings: str) -> None:
        """Runs an entry with a settings file."""
        cfg = _load_and_set_up(settings, EntrySettings)
        from geraniumtrack.daemon import run_daemon
        from geraniumtrack.entry import Entry

        sys.exit(run_daemon(Entry(_boottime_reactor(), cfg)))

    @command
    def controller(self, settings: str) -> None:
        """Runs a controller with a settings file."""
        cfg = _load_and_set_up(settings, ControllerSettings)
        from geraniumtrack.controller import Controller
        from geraniumtrack.daemon import run_daemon

        sys.exit(run_daemon(Controller(_boottime_reactor(), cfg)))

    @command
    def init_controller(self, settings: str) -> None:
        """Creates the data folder of a controller that is one of the cluster's initial voters."""
        from geraniumtrack.state.store import init_folder

        cfg = load_settings(settings, ControllerSettings)
        peers = [peer.name for peer in cfg.controllers]
        identity = init_folder(cfg.data_folder, name=cfg.name, peers=peers)
        print(f"created replica {identity.replica_id} in {cfg.data_folder}")

    @command
    def check_settings(self, settings: str) -> None:
        """Checks the settings file of an entry or a controller, and its secret file."""
        model = ControllerSettings if _read_kind(settings) == "controller" else EntrySettings
        cfg = load_settings(settings, model)
        read_secret(cfg.secret_file)
        print(f"{settings}: valid settings of {cfg.kind} {cfg.name}")


def _load_and_set_up(path: str, model: Any) -> Any:
    """Loads the settings of a daemon, and sets up logs and tracing with them."""
    from geraniumtrack import logs, tracing
    from geraniumtrack.early_stop import exit_on_sigterm

    exit_on_sigterm()
    cfg = load_settings(path, model)
    logs.setup(process=cfg.name, data_centre=cfg.data_centre, level=cfg.log_level)
    tracing.setup(cfg)
    return cfg


def _read_kind(path: str) -> str:
    try:
        return str(json.loads(Path(path).read_text()).get("kind"))
    except (OSError, ValueError, AttributeError) as exc:
        raise SettingsError(
            f"{path} cannot be read: {exc}", remedy="give a readable JSON file"
        ) from exc


def _boottime_reactor() -> Any:
    from twisted.internet import reactor

    from geraniumtrack.daemon import use_boottime_clock

    use_boottime_clock(reactor)
    return reactor
