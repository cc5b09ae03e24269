"""Checks every model of this package; exits with 1 if a verdict is not the expected one."""

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
    """Returns the models of all modules of the package, sorted by module name."""
    names = sorted(info.name for info in pkgutil.iter_modules(spec.__path__))
    modules = [importlib.import_module(f"spec.{name}") for name in names if name != "__main__"]
    return [model for module in modules for model in getattr(module, "MODELS", [])]


def find_deviations(model: Model, properties: dict) -> list[str]:
    """Returns a line for each deviation from the expected verdict.

    A mutant must violate the invariant named in `refutes`; its other invariants are ignored.
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
    """Explores one model, prints its verdict and returns whether it is the expected one."""
    started = time.monotonic()
    protocol = (
        _stop_at_violation(model.protocol, model.refutes) if model.refutes else model.protocol
    )
    result = check_safety(protocol, max_states=model.max_states)
    seconds = time.monotonic() - started
    deviations = find_deviations(model, result["properties"])
    expected = f"refutes {model.refutes}" if model.refutes else "all invariants hold"
    print(
        f"{'WRONG' if deviations else 'ok':5} {model.protocol.name}: {expected}; "
        f"{result['reachable_states']} states in {seconds:.1f} s; {model.bounds}",
        flush=True,
    )
    for line in deviations:
        print(f"      {line}", flush=True)
    return not deviations


def main() -> int:
    """Checks all models.

    Returns:
        Exit code: 1 if a verdict is wrong or there is no model.
    """
    verdicts = [check(model) for model in find_models()]
    print(f"{len(verdicts)} models, {verdicts.count(False)} wrong")
    return 0 if verdicts and all(verdicts) else 1


def _stop_at_violation(protocol: Protocol, name: str) -> Protocol:
    """Returns a protocol whose exploration ends at the first violation of the named invariant."""
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
