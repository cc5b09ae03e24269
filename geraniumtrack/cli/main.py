"""The command line.

Exit codes: 0 done, 1 failed, 2 wrong arguments or bad input, 3 refused by the controllers. The
commands of one subject are in one module of this package. Commands import Twisted only when they
run, so that their help is shown without it.
"""

from __future__ import annotations

import sys

import fire

from geraniumtrack.cli.daemons import DaemonCommands
from geraniumtrack.cli.diagnostics import DiagnosticCommands
from geraniumtrack.cli.fleet import FleetCommands
from geraniumtrack.cli.keys import KeyCommands
from geraniumtrack.cli.operations import OperationCommands
from geraniumtrack.cli.output import EXIT_BAD_INPUT, EXIT_FAILED, STDIN, DeferredCommand
from geraniumtrack.cli.placement import PlacementCommands
from geraniumtrack.errors import GeraniumtrackError, SettingsError

__all__ = ["Commands", "main"]


class Commands(
    DaemonCommands,
    FleetCommands,
    KeyCommands,
    OperationCommands,
    PlacementCommands,
    DiagnosticCommands,
):
    """geraniumtrack: fleet capacity and maintenance manager."""


def main() -> None:
    """Runs the command line; prints errors with their remedy to standard error."""
    try:
        arguments = [STDIN if argument == "-" else argument for argument in sys.argv[1:]]
        result = fire.Fire(Commands(), arguments, "geraniumtrack", serialize=_serialize_result)
        if isinstance(result, DeferredCommand):
            result._action()
    except SettingsError as exc:
        sys.stderr.write(f"error: {exc}\n")
        sys.exit(EXIT_BAD_INPUT)
    except (GeraniumtrackError, OSError, ValueError) as exc:
        sys.stderr.write(f"error: {exc}\n")
        sys.exit(EXIT_FAILED)


def _serialize_result(value: object) -> object:
    """Returns the value that Fire prints: None, and so nothing, for a deferred command."""
    return None if isinstance(value, DeferredCommand) else value
