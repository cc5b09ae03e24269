"""The examples of the documentation are valid, and every setting is documented."""

import json
import logging
import os
import subprocess
import sys
from pathlib import Path

import pytest

from geraniumtrack.cli.operator_client import OperatorSettings
from geraniumtrack.fleet import parse_fleet
from geraniumtrack.settings import (
    ControllerSettings,
    EntrySettings,
    load_settings,
    read_secret,
)

ROOT = Path(__file__).parent.parent


@pytest.mark.parametrize("name", ["brazos_bend", "casqueiro"])
def test_example_fleet_has_the_expected_size(name):
    result = subprocess.run(
        [sys.executable, f"examples/{name}.py"],
        capture_output=True,
        text=True,
        cwd=ROOT,
        env={**os.environ, "PYTHONPATH": str(ROOT)},
    )
    fleet = parse_fleet(json.loads(result.stdout))
    assert len(fleet["data_centres"]) == 4
    assert (len(fleet["pools"]), sum(pool["spare"] for pool in fleet["pools"])) == (5, 1)
    assert len(fleet["teams"]) == 6


def test_sample_settings_are_valid():
    load_settings(ROOT / "examples/controller.json", ControllerSettings)
    load_settings(ROOT / "examples/entry.json", EntrySettings)
    OperatorSettings.model_validate_json((ROOT / "examples/operator.json").read_text())


@pytest.mark.parametrize("model", [ControllerSettings, EntrySettings, OperatorSettings])
def test_every_setting_is_documented(model):
    """Guards against a setting that operators can find only in the source."""
    text = (ROOT / "docs/OPERATIONS.md").read_text()
    missing = [name for name in model.model_fields if f"`{name}`" not in text]
    assert missing == []


def test_world_readable_secret_is_reported(tmp_path, caplog):
    """Guards against a secret that other users of the machine read without anyone noticing."""
    secret = tmp_path / "secret"
    secret.write_text("0123456789abcdef")
    secret.chmod(0o644)
    with caplog.at_level(logging.WARNING):
        read_secret(secret)
    assert "secret_world_readable" in caplog.text
    caplog.clear()
    secret.chmod(0o600)
    read_secret(secret)
    assert "secret_world_readable" not in caplog.text
