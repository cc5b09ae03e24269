"""Commands that explain: trace, version."""

from __future__ import annotations

import sys

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
            sys.stderr.write(
                f"error: no span of {identifier} in {len(files)} files; give the trace files of"
                " every process, and check that the request was sampled\n"
            )
            sys.exit(EXIT_FAILED)
        print(render_tree(spans))

    @command
    def version(self) -> None:
        """Prints the version."""
        print(f"geraniumtrack {__version__}")
