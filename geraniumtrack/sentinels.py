"""A sentinel that stands for a missing result and carries the reason."""

from __future__ import annotations

from typing import Any, TypeGuard

__all__ = ["Absent", "is_absent"]


class Absent:
    """A falsy value that is returned instead of a result and says why there is none.

    Args:
        reason: Short reason code, such as `no_capacity`.
        detail: Message for people, with the remedy if there is one.
    """

    __slots__ = ("detail", "reason")

    def __init__(self, reason: str, detail: str = "") -> None:
        self.reason = reason
        self.detail = detail

    def __bool__(self) -> bool:
        return False

    def __repr__(self) -> str:
        return f"Absent({self.reason!r}, {self.detail!r})"

    def __eq__(self, other: object) -> bool:
        return isinstance(other, Absent) and other.reason == self.reason

    def __hash__(self) -> int:
        return hash(self.reason)


def is_absent(value: Any) -> TypeGuard[Absent]:
    """Returns whether a value is `Absent` rather than a result."""
    return isinstance(value, Absent)


if __name__ == "__main__":
    nothing = Absent("no_capacity", "all slots are in use; retry after 1 s")
    print(bool(nothing), nothing)
