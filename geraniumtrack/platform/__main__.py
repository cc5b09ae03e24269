"""Runs a program of the deployment: `python -m geraniumtrack.platform front` or `core`."""

from __future__ import annotations

import sys

from geraniumtrack import logs
from geraniumtrack.errors import SettingsError
from geraniumtrack.platform.boot import load_boot

EXIT_BAD_INPUT = 2


def main() -> int:
    """Runs the named program until it is told to stop; returns the exit code."""
    from twisted.internet import reactor

    from geraniumtrack.daemon import run_daemon
    from geraniumtrack.platform.programs import CoreProgram, FrontProgram, set_clock

    programs = {"front": FrontProgram, "core": CoreProgram}
    if len(sys.argv) != 2 or sys.argv[1] not in programs:
        sys.stderr.write("usage: python -m geraniumtrack.platform front|core\n")
        return EXIT_BAD_INPUT
    try:
        boot = load_boot()
    except SettingsError as exc:
        sys.stderr.write(f"error: {exc}\n")
        return EXIT_BAD_INPUT
    logs.setup(process=boot.node, data_centre=boot.data_centre)
    set_clock(reactor)
    return run_daemon(programs[sys.argv[1]](reactor, boot))


if __name__ == "__main__":
    sys.exit(main())
