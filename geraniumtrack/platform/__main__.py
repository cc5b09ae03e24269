"""Runs a program of the deployment.

`python -m geraniumtrack.platform front` runs an entry, and `python -m geraniumtrack.platform core`
runs a controller.
"""

from __future__ import annotations

import sys

from geraniumtrack import logs
from geraniumtrack.early_stop import exit_on_sigterm
from geraniumtrack.errors import GeraniumtrackError, SettingsError
from geraniumtrack.platform.boot import load_boot_settings

EXIT_FAILED = 1
EXIT_USAGE = 2  # wrong arguments or invalid settings


def main() -> int:
    """Runs the program named on the command line until it is stopped; returns the exit code."""
    exit_on_sigterm()
    from twisted.internet import reactor

    from geraniumtrack.daemon import run_daemon, use_boottime_clock
    from geraniumtrack.platform.programs import CoreProgram, FrontProgram

    programs = {"front": FrontProgram, "core": CoreProgram}
    if len(sys.argv) != 2 or sys.argv[1] not in programs:
        sys.stderr.write("usage: python -m geraniumtrack.platform front|core\n")
        return EXIT_USAGE
    try:
        boot = load_boot_settings()
    except SettingsError as exc:
        sys.stderr.write(f"error: {exc}\n")
        return EXIT_USAGE
    logs.setup(process=boot.node, data_centre=boot.data_centre)
    use_boottime_clock(reactor)
    try:
        program = programs[sys.argv[1]](reactor, boot)
    except GeraniumtrackError as exc:
        sys.stderr.write(f"error: {exc}\n")
        return EXIT_FAILED
    return run_daemon(program)


if __name__ == "__main__":
    sys.exit(main())
