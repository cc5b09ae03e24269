"""Helpers of the commands: exit codes, deferred commands, replies and tables."""

from __future__ import annotations

import functools
import inspect
import json
import sys
from collections.abc import Callable, Iterable
from typing import Any

from fire import decorators

__all__ = [
    "EXIT_BAD_INPUT",
    "EXIT_DONE",
    "EXIT_FAILED",
    "EXIT_REFUSED",
    "STDIN",
    "DeferredCommand",
    "command",
    "finish",
    "finish_restriction",
    "table",
]

STDIN = "<stdin>"  # replaces the argument -, which Fire treats as a separator
# Fire lists the public attributes of a function as subcommands. The private name keeps the metadata
# that Fire itself adds to a function out of that list.
decorators.FIRE_METADATA = "_fire_metadata"

EXIT_DONE, EXIT_FAILED, EXIT_BAD_INPUT, EXIT_REFUSED = 0, 1, 2, 3


class DeferredCommand:
    """A command whose arguments were accepted and that has not run yet.

    Args:
        action: Runs the command.
    """

    def __init__(self, action: Callable[[], None]) -> None:
        self._action = action


def command(function: Callable[..., None]) -> Callable[..., DeferredCommand]:
    """Decorates a method as a command that runs only after its whole command line was accepted.

    Fire calls a method as soon as its own arguments are complete and reports surplus arguments
    afterwards, which is too late for a command that changes the cluster. Arguments annotated as
    `str` are not parsed, since Fire would parse the operation id `1e10` as a number.
    """

    @functools.wraps(function)
    def defer(*args: Any, **kwargs: Any) -> DeferredCommand:
        return DeferredCommand(functools.partial(function, *args, **kwargs))

    parameters = inspect.signature(function).parameters.values()
    parsers = {p.name: str for p in parameters if str(p.annotation).startswith("str")}
    return decorators.SetParseFns(**parsers)(defer)


def finish(answer: tuple[int, dict[str, Any]]) -> None:
    """Prints the controllers' reply; ends the process with EXIT_REFUSED if they refused.

    Args:
        answer: HTTP status and reply.
    """
    status, reply = answer
    print(json.dumps(reply))
    if status == 200:
        return
    sys.stderr.write(f"refused: {reply.get('error', status)}: {reply.get('message', '')}\n")
    conflicting = reply.get("details") or {}
    if reply.get("error") == "version_conflict":
        sys.stderr.write(
            f"winner: version {reply.get('version')}"
            f" by operator {conflicting.get('operator') or 'unknown'}"
            f" with operation id {conflicting.get('operation_id') or 'unknown'}\n"
        )
    sys.exit(EXIT_REFUSED)


def finish_restriction(answer: tuple[int, dict[str, Any]]) -> None:
    """Prints the reply to a restriction, and the data centres in which it is not in force.

    Ends the process with EXIT_REFUSED if the controllers refused the restriction, and with
    EXIT_FAILED if no leading controller answered in time: the restriction may be committed or not.

    Args:
        answer: Status and reply of `restriction_client.restrict`.
    """
    status, reply = answer
    for name, result in reply.get("data_centres", {}).items():
        if not result["in_force"]:
            sys.stderr.write(f"not in force in {name}: {result['reason']}\n")
    if reply.get("view_error"):
        sys.stderr.write(
            "committed, but the list of data centres could not be read, so that some may be missing"
            f" here: {reply['view_error']}; check with `geraniumtrack status`\n"
        )
    if status != 0:
        finish(answer)
        return
    print(json.dumps(reply))
    sys.stderr.write(
        "not known to be committed: no leading controller answered in time; resend it under the"
        " operation id"
        f" {reply['operation_id']}\n"
    )
    sys.exit(EXIT_FAILED)


def table(headings: Iterable[str], rows: Iterable[Iterable[Any]]) -> str:
    """Formats rows in aligned columns."""
    lines = [[str(cell) for cell in row] for row in (headings, *rows)]
    widths = [max(len(line[i]) for line in lines) for i in range(len(lines[0]))]
    return "\n".join(
        "  ".join(cell.ljust(width) for cell, width in zip(line, widths, strict=True)).rstrip()
        for line in lines
    )


if __name__ == "__main__":
    print(table(("data centre", "in service"), [("dc1", "yes"), ("dc2", "no")]))
