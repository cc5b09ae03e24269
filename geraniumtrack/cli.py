"""The command line.

Exit codes: 0 done, 1 failed, 2 wrong arguments or bad input, 3 refused by the controllers. The
commands are in one module for each subject; their help imports no network code.
"""

from __future__ import annotations

import sys

import fire

from geraniumtrack.cli_daemons import DaemonCommands
from geraniumtrack.cli_diagnostics import DiagnosticCommands
from geraniumtrack.cli_fleet import FleetCommands
from geraniumtrack.cli_keys import KeyCommands
from geraniumtrack.cli_operations import OperationCommands
from geraniumtrack.cli_output import EXIT_BAD_INPUT, EXIT_FAILED, STDIN, Action
from geraniumtrack.errors import GeraniumtrackError, SettingsError

__all__ = ["Commands", "main"]


class Commands(DaemonCommands, FleetCommands, KeyCommands, OperationCommands, DiagnosticCommands):
    """geraniumtrack: fleet capacity and maintenance manager."""


def main() -> None:
    """Runs the command line; errors go to standard error with their remedy."""
    try:
        arguments = [STDIN if text == "-" else text for text in sys.argv[1:]]
        planned = fire.Fire(Commands(), arguments, "geraniumtrack", serialize=_print_nothing)
        if isinstance(planned, Action):
            planned._action()
    except SettingsError as exc:
        sys.stderr.write(f"error: {exc}\n")
        sys.exit(EXIT_BAD_INPUT)
    except (GeraniumtrackError, OSError, ValueError) as exc:
        sys.stderr.write(f"error: {exc}\n")
        sys.exit(EXIT_FAILED)


def _print_nothing(value: object) -> object:
    return None if isinstance(value, Action) else value
