"""Ends a process that gets SIGTERM while it still starts.

The reactor handles SIGTERM only once it runs. Before that, a controller reads its journal, which
may take seconds.
"""

from __future__ import annotations

import signal
import sys
from typing import Any

from geraniumtrack import logs

__all__ = ["exit_on_sigterm"]


def exit_on_sigterm() -> None:
    """Makes SIGTERM end the process with exit code 0, until the reactor handles the signal.

    Nothing has to be stopped before: no port is open, and the journal may end at any byte.
    """
    signal.signal(signal.SIGTERM, _exit)


def _exit(*_: Any) -> None:
    logs.event("stopped")
    sys.exit(0)
