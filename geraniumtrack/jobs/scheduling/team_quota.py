"""Keeps teams within their limits during a scheduling pass."""

from __future__ import annotations

from collections import defaultdict

from geraniumtrack.jobs.scheduling.occupancy import Occupancy
from geraniumtrack.jobs.state.jobs_state import JobsState
from geraniumtrack.jobs.state.model import Resources, StepSpec

__all__ = ["TeamQuota"]


class TeamQuota:
    """Tracks the resources that each team uses, to keep them within its limits."""

    def __init__(self, state: JobsState, occupancy: Occupancy) -> None:
        teams = state.config.teams if state.config is not None else ()
        self._caps = {team.name: team.cap for team in teams}
        self._used = defaultdict(Resources, occupancy.size_by_team())

    def allows(self, team: str, step: StepSpec) -> bool:
        """Whether the team stays within its limits with one more task of a step."""
        cap = self._caps.get(team)
        if cap is None:
            return True
        after = self._used[team].plus(step.size)
        return all(
            not limit or used <= limit
            for used, limit in (
                (after.cpu, cap.cpu),
                (after.memory_mb, cap.memory_mb),
                (after.accelerators, cap.accelerators),
            )
        )

    def used(self, team: str) -> Resources:
        """Returns the resources that a team uses."""
        return self._used[team]

    def charge(self, team: str, step: StepSpec) -> None:
        """Adds the resources of one task of a step to the team's usage."""
        self._used[team] = self._used[team].plus(step.size)

    def refund(self, team: str, step: StepSpec) -> None:
        """Removes the resources of one task of a step from the team's usage."""
        self._used[team] = self._used[team].minus(step.size)
