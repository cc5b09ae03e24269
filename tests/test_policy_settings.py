"""The policy file: defaults, switches and errors that name the field."""

from __future__ import annotations

import pytest

from geraniumtrack.errors import SettingsError
from geraniumtrack.jobs.policy import PolicySettings, load_policy

DEPLOYMENT = PolicySettings(spread_factor=3.0)


def test_the_file_changes_only_what_it_names(tmp_path):
    """Guards against a policy file that resets what the deployment says."""
    path = tmp_path / "policy.json"
    path.write_text('{"preemption": false}')
    policy = load_policy(path, DEPLOYMENT)
    assert not policy.preemption
    assert policy.refusal
    assert policy.spread_factor == 3.0


@pytest.mark.parametrize(
    ("text", "named"),
    [
        ('{"refusals": true}', "refusals"),
        ('{"refusal": "yes"}', "refusal"),
        ('{"spread_factor": 2.0}', "spread_factor"),
        ("[]", "the file"),
        ("{", "cannot be read"),
    ],
)
def test_a_wrong_file_is_refused_with_the_field(tmp_path, text, named):
    """Guards against a misspelt switch that is silently ignored."""
    path = tmp_path / "policy.json"
    path.write_text(text)
    with pytest.raises(SettingsError, match=named):
        load_policy(path, DEPLOYMENT)


def test_a_missing_file_is_an_error(tmp_path):
    """Guards against a path that is misspelt in the deploy file."""
    with pytest.raises(SettingsError, match="cannot be read"):
        load_policy(tmp_path / "none.json", DEPLOYMENT)
