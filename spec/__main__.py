"""Checks every model of this package; exits with 1 on any verdict that is not the expected one."""

from __future__ import annotations

import importlib
import pkgutil
import sys
import time
from dataclasses import replace
from typing import Any

from minicheck import Protocol, check_safety

import spec
from spec import Model


def find_models() -> list[Model]:
    """Returns the models of all modules of the package, in the order of the modules' names."""
    names = sorted(info.name for info in pkgutil.iter_modules(spec.__path__))
    modules = [importlib.import_module(f"spec.{name}") for name in names if name != "__main__"]
    return [model for module in modules for model in getattr(module, "MODELS", [])]


def wrong_verdicts(model: Model, properties: dict) -> list[str]:
    """Returns what differs from the expected verdict, one line each.

    A mutant may violate further invariants, but only a violation of the one it names counts.
    """
    if model.refutes:
        if properties[model.refutes]["holds"] is False:
            return []
        return [f"{model.refutes} was not refuted"]
    return [
        f"{name}: {_describe(result)}"
        for name, result in properties.items()
        if result["holds"] is not True
    ]


def check(model: Model) -> bool:
    """Explores one model and prints a line for it; returns whether the verdict is as expected."""
    started = time.monotonic()
    protocol = _until(model.protocol, model.refutes) if model.refutes else model.protocol
    found = check_safety(protocol, max_states=model.max_states)
    seconds = time.monotonic() - started
    wrong = wrong_verdicts(model, found["properties"])
    expected = f"refutes {model.refutes}" if model.refutes else "all invariants hold"
    print(
        f"{'WRONG' if wrong else 'ok':5} {model.protocol.name}: {expected}; "
        f"{found['reachable_states']} states in {seconds:.1f} s; {model.bounds}",
        flush=True,
    )
    for line in wrong:
        print(f"      {line}", flush=True)
    return not wrong


def main() -> int:
    """Checks all models.

    Returns:
        Exit code: 1 if a verdict is wrong or there is no model.
    """
    verdicts = [check(model) for model in find_models()]
    print(f"{len(verdicts)} models, {verdicts.count(False)} wrong")
    return 0 if verdicts and all(verdicts) else 1


def _until(protocol: Protocol, name: str) -> Protocol:
    """Returns a protocol whose exploration ends with the first violation of an invariant."""
    violated = False

    def holds(state: dict[str, Any]) -> bool:
        nonlocal violated
        violated = violated or not protocol.invariants[name](state)
        return not violated

    def transitions(state: tuple) -> list:
        return [] if violated else protocol.transitions(state)

    return replace(protocol, transitions=transitions, invariants={name: holds})


def _describe(result: dict) -> str:
    if result["holds"] is None:
        return f"undetermined, {result['reason']}"
    steps = " -> ".join(str(step["label"]) for step in result["counterexample"][1:])
    return f"violated after {steps}\n      in state {result['counterexample'][-1]['state']}"


if __name__ == "__main__":
    sys.exit(main())
