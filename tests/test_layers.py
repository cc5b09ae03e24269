"""Packages of jobs and coordination import one way only, and the lock holds only what is used."""

from __future__ import annotations

import ast
import importlib.metadata
import re
import tomllib
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parent.parent
JOBS = ROOT / "geraniumtrack" / "jobs"

# The packages that each package of a subsystem may import, besides itself.
ALLOWED = {
    "jobs": {
        "state": set(),
        "scheduling": {"state"},
        "capacity": {"state", "scheduling"},
        "runs": {"state", "scheduling", "capacity"},
        "instances": {"state", "scheduling", "capacity", "runs"},
        "calls": {"state", "scheduling", "capacity", "runs"},
    },
    "coordination": {
        "consensus": set(),
        "fleet": set(),
        "limits": {"consensus"},
        "entries": {"limits"},
        "serving": {"fleet", "limits", "entries"},
    },
}
PACKAGES = [(subsystem, package) for subsystem in ALLOWED for package in sorted(ALLOWED[subsystem])]
PURE = ("state", "scheduling", "capacity")
IMPURE_MODULES = {"twisted", "time", "datetime", "socket", "random"}


def imported_modules(path: Path) -> set[str]:
    modules = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            modules |= {alias.name for alias in node.names}
        elif isinstance(node, ast.ImportFrom):
            modules.add(node.module)
            modules |= {f"{node.module}.{alias.name}" for alias in node.names}
    return modules


@pytest.mark.parametrize(("subsystem", "package"), PACKAGES)
def test_packages_import_one_way(subsystem, package):
    """Guards against decisions that depend on the code that executes them."""
    allowed = ALLOWED[subsystem]
    paths = list((ROOT / "geraniumtrack" / subsystem / package).rglob("*.py"))
    assert paths, "the package was renamed or removed"
    for path in paths:
        for module in imported_modules(path):
            match = re.match(rf"geraniumtrack\.{subsystem}\.(\w+)", module)
            if match and match[1] in allowed:
                assert match[1] in allowed[package] | {package}, f"{path} imports {module}"


def test_each_module_of_coordination_is_in_a_checked_package():
    """Guards against a module or package whose imports the test above doesn't see."""
    folder = ROOT / "geraniumtrack" / "coordination"
    found = {path.relative_to(folder).parts[0] for path in folder.rglob("*.py")}
    assert found == set(ALLOWED["coordination"])


def test_the_library_does_not_depend_on_the_command_line():
    """Guards against a daemon that loads the command line, or a cycle between the two."""
    package = ROOT / "geraniumtrack"
    for path in package.rglob("*.py"):
        if package / "cli" not in path.parents and path != package / "__main__.py":
            assert not [
                m for m in imported_modules(path) if m.startswith("geraniumtrack.cli")
            ], path


@pytest.mark.parametrize("package", PURE)
def test_decisions_and_state_do_no_io(package):
    """Guards against decisions that a test can't replay because they read a clock or do I/O."""
    for path in (JOBS / package).rglob("*.py"):
        top_level = {module.split(".")[0] for module in imported_modules(path)}
        assert not top_level & IMPURE_MODULES, path


def test_the_lock_holds_only_what_the_project_asks_for():
    """Guards against locked packages that nothing uses and that some machines can't install."""
    project = tomllib.loads((ROOT / "pyproject.toml").read_text())["project"]
    pending = [*project["dependencies"], *project["optional-dependencies"]["dev"]]
    needed: set[str] = set()
    seen: set[str] = set()
    while pending:
        requirement = pending.pop()
        if "extra ==" in requirement or requirement in seen:
            continue
        seen.add(requirement)
        name = normalise(re.match(r"[\w.-]+", requirement)[0])
        try:
            distribution = importlib.metadata.distribution(name)
        except importlib.metadata.PackageNotFoundError:
            continue  # for another version of Python or another platform
        needed.add(name)
        pending += distribution.requires or ()
        pending += extras_of(requirement, distribution)
    locked = {
        normalise(line.split("==")[0]) for line in (ROOT / "constraints.txt").read_text().split()
    }
    assert locked == needed - {"setuptools"}  # comes with each environment


def extras_of(requirement: str, distribution: importlib.metadata.Distribution) -> list[str]:
    """Returns the requirements of the extras that a requirement names, without their marker."""
    extras = re.match(r"[\w.-]+\[([^\]]+)\]", requirement)
    names = {name.strip() for name in extras[1].split(",")} if extras else set()
    return [
        required.split(";")[0]
        for required in distribution.requires or ()
        if any(re.search(rf"extra == ['\"]{name}['\"]", required) for name in names)
    ]


def normalise(name: str) -> str:
    return re.sub(r"[-_.]+", "-", name).lower()
