"""Specifications of the core protocols, checked exhaustively within bounds by `python -m spec`.

Each module of this package has a list `MODELS` of `Model`. A model without `refutes` must satisfy
all its invariants. A mutant is the same protocol with one mechanism removed; its `refutes` names
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
        protocol: Initial state, transitions and invariants of the protocol.
        bounds: Bounds of the exploration, as text for the output.
        refutes: Invariant that a mutant must violate; empty if every invariant must hold.
        max_states: Most states to explore. If there are more and no violation was found, the
            verdict is undetermined, which counts as wrong.
    """

    protocol: Protocol
    bounds: str
    refutes: str = ""
    max_states: int = 1_000_000
