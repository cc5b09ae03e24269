"""Rules of the Makefile, in a folder of their own."""

from __future__ import annotations

import shutil
import subprocess
from pathlib import Path

ROOT = Path(__file__).parent.parent


def test_clean_removes_what_the_project_makes_and_nothing_else(tmp_path):
    """Guards against a clean that has no rule, or that removes measurements, data or a VENV."""
    made = [
        ".venv/bin/python",
        "target/deps/x.py",
        "build/x",
        ".pytest_cache/x",
        ".ruff_cache/x",
        ".hypothesis/examples/x",
        "geraniumtrack.egg-info/PKG-INFO",
        "geraniumtrack/__pycache__/cli.pyc",
        "geraniumtrack/jobs/__pycache__/core.pyc",
    ]
    kept = [
        "journal/blobs/x.txt",
        "journal/__pycache__/x",
        "var/c1/journal",
        "var/__pycache__/x",
        "data/c1/snapshot",
        "geraniumtrack/cli.py",
        "docs/measurements/x.md",
        ".git/__pycache__/x",
        "other-env/bin/python",
    ]
    for name in made + kept:
        path = tmp_path / name
        path.parent.mkdir(parents=True, exist_ok=True)
        path.write_text("")
    for name in ("Makefile", "constraints.txt"):
        shutil.copy(ROOT / name, tmp_path / name)
    command = ["make", "--silent", "clean", "VENV=other-env"]
    ended = subprocess.run(command, cwd=tmp_path, capture_output=True, text=True, timeout=30)
    assert ended.returncode == 0, ended.stderr
    assert [name for name in made if (tmp_path / name).exists()] == []
    assert [name for name in kept if not (tmp_path / name).exists()] == []
