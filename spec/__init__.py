"""Specifications of the core protocols, checked exhaustively within bounds by `python -m spec`.

Each module of this package has a list `MODELS` of `Model`. A model without `refutes` must satisfy
all its invariants. A mutant is the same protocol with one mechanism removed; it names in `refutes`
the invariant that must then be violated.
"""

from __future__ import annotations

from dataclasses import dataclass

from minicheck import Protocol

__all__ = ["Model"]


@dataclass(frozen=True)
class Model:
    """A protocol and the verdict expected of it.

    Attributes:
        protocol: What is explored.
        bounds: The bounds of the exploration, in words.
        refutes: Invariant that a mutant must violate; empty if every invariant must hold.
        max_states: The exploration fails, rather than stops quietly, beyond this many states.
    """

    protocol: Protocol
    bounds: str
    refutes: str = ""
    max_states: int = 1_000_000
