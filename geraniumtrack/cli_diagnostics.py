"""Commands that explain: trace, why, version."""

from __future__ import annotations

import sys
from typing import NoReturn

from geraniumtrack import __version__
from geraniumtrack.cli_output import EXIT_FAILED, command

__all__ = ["DiagnosticCommands"]


class DiagnosticCommands:
    """Commands that read and change nothing."""

    @command
    def trace(self, identifier: str, *files: str) -> None:
        """Prints the spans of a request as a tree.

        Args:
            identifier: Request id (Idempotency-Key) or trace id.
            files: Trace files of entries and controllers.
        """
        from geraniumtrack.trace_reader import find_trace, read_spans, render_tree

        spans = find_trace(read_spans(files), identifier)
        if not spans:
            _end_without(
                f"no span of {identifier} in {len(files)} files",
                remedy="give the trace files of every process, and check that the request was"
                " sampled",
            )
        print(render_tree(spans))

    @command
    def why(self, job_id: str, *files: str) -> None:
        """Prints what all processes logged about a job, its workers and the owner, in order.

        Args:
            job_id: The last part of the job's path.
            files: Log files of entries and controllers.
        """
        from geraniumtrack.log_story import find_story, read_lines, render_story

        story = find_story(read_lines(files), job_id)
        if not story:
            _end_without(
                f"no line of job {job_id} in {len(files)} files",
                remedy="give the logs of every process, and check log_lines_left_out in their"
                " metrics",
            )
        print(render_story(story, job_id))

    @command
    def version(self) -> None:
        """Prints the version."""
        print(f"geraniumtrack {__version__}")


def _end_without(missing: str, *, remedy: str) -> NoReturn:
    """Says what was not found and how to find it, and ends the process."""
    sys.stderr.write(f"error: {missing}; {remedy}\n")
    sys.exit(EXIT_FAILED)
