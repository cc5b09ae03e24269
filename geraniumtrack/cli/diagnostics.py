"""Commands for diagnosis: trace, why and version."""

from __future__ import annotations

import sys
from typing import NoReturn

from geraniumtrack import __version__
from geraniumtrack.cli.output import EXIT_FAILED, command

__all__ = ["DiagnosticCommands"]


class DiagnosticCommands:
    """Commands that read trace and log files, or print the version."""

    @command
    def trace(self, identifier: str, *files: str) -> None:
        """Prints the spans of a request as a tree.

        Args:
            identifier: Request id (Idempotency-Key) or trace id.
            files: Trace files of entries and controllers.
        """
        from geraniumtrack.cli.trace_reader import find_trace, read_spans, render_tree

        spans = find_trace(read_spans(files), identifier)
        if not spans:
            _exit_not_found(
                f"no span of {identifier} in {len(files)} files",
                remedy="give the trace files of every process, and check that the request was"
                " sampled",
            )
        print(render_tree(spans))

    @command
    def why(self, job_id: str, *files: str) -> None:
        """Prints the log lines of all processes about a job, its workers and the leader, by time.

        Args:
            job_id: Last part of the job's path.
            files: Log files of entries and controllers.
        """
        from geraniumtrack.cli.job_log import find_job_lines, read_lines, render_job_lines

        lines = find_job_lines(read_lines(files), job_id)
        if not lines:
            _exit_not_found(
                f"no log line of job {job_id} in {len(files)} files",
                remedy="give the logs of every process, and check them for log_lines_left_out",
            )
        print(render_job_lines(lines, job_id))

    @command
    def version(self) -> None:
        """Prints the version."""
        print(f"geraniumtrack {__version__}")


def _exit_not_found(missing: str, *, remedy: str) -> NoReturn:
    """Prints what was not found and the remedy, and ends the process with EXIT_FAILED."""
    sys.stderr.write(f"error: {missing}; {remedy}\n")
    sys.exit(EXIT_FAILED)
