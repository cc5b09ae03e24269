"""Chooses the data centre that runs a request. It does no I/O; time is passed in.

The local data centre is preferred. A request spills over to another one if the expected wait there
is shorter by a margin. Requests sent since the last gossip are added to the gossiped wait, since
otherwise every entry would send its whole surplus to the data centre that gossiped the shortest
wait.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass, field

from geraniumtrack.protocol.messages import PoolLoad
from geraniumtrack.state.view import ConfigView

__all__ = ["MAX_HOPS", "Ramp", "Router"]

# Maximum number of times that a request is forwarded: enough to reach the chosen dispatcher, the
# entry that took over its pool, and one other data centre.
MAX_HOPS = 3
# A request spills over only if the remote wait times SPILL_FACTOR plus SPILL_MARGIN_S is below the
# local wait. The margin exceeds the round-trip time and the usual variation of a wait.
SPILL_MARGIN_S = 0.05
SPILL_FACTOR = 1.25
RAMP_DURATION_S = 10.0  # time after a return to service until all slots are used
INITIAL_RAMP_FRACTION = 0.1  # of the slots, used immediately after a return to service


class Ramp:
    """Limits the use of a data centre for a time after it returned to service."""

    def __init__(self) -> None:
        self._in_service: dict[str, bool] = {}
        self._returned_at: dict[str, float] = {}

    def observe(self, view: ConfigView, now: float) -> None:
        """Records which data centres are in service.

        A data centre that is in service when first observed does not count as returned.
        """
        for name in view.sections["data_centres"]:
            in_service = view.in_service(name)
            if in_service and self._in_service.get(name) is False:
                self._returned_at[name] = now
            self._in_service[name] = in_service

    def factor(self, data_centre: str, now: float) -> float:
        """Returns the fraction of the slots to use, from `INITIAL_RAMP_FRACTION` to 1."""
        returned_at = self._returned_at.get(data_centre)
        if returned_at is None or now - returned_at >= RAMP_DURATION_S:
            return 1.0
        return max(INITIAL_RAMP_FRACTION, (now - returned_at) / RAMP_DURATION_S)


@dataclass(slots=True)
class _Load:
    """Load of a pool as its dispatcher gossiped it, and the requests sent there since.

    Attributes:
        slots: Number of slots.
        wait: Expected wait of a new request, in seconds.
        run_time: Average run time of a task, in seconds.
        spare: Number of slots without a running or queued task.
        keyed: Whether the dispatcher has a session, which the tasks of teams need.
        heard_at: Time at which the gossip arrived, in seconds.
        sent: Number of requests sent to the data centre since then.
    """

    slots: int
    wait: float
    run_time: float
    spare: int
    keyed: bool
    heard_at: float
    sent: int = 0

    def expected_wait(self, ramp: float, now: float) -> float:
        """Returns the gossiped wait, corrected for the requests sent and the time passed since."""
        surplus = self.sent - self.spare * ramp
        wait = (self.wait + surplus * self.run_time / self.slots) / ramp
        return max(0.0, wait - (now - self.heard_at))


@dataclass(slots=True)
class Router:
    """Chooses data centres by the loads that their entries gossip.

    Attributes:
        data_centre: Data centre of this entry.
        view: Configuration view.
        ramp: Limits the use of data centres that returned to service.
        max_age_s: Maximum age of gossip; an entry whose last gossip is older is not live.
        spill: Whether requests may leave a data centre that could run them.
        count_sent: Whether requests sent since the last gossip add to the expected wait.
    """

    data_centre: str
    view: ConfigView
    ramp: Ramp = field(default_factory=Ramp)
    max_age_s: float = 3.0
    spill: bool = True
    count_sent: bool = True
    _loads: dict[tuple[str, str], dict[str, _Load]] = field(default_factory=dict)

    def update_loads(
        self, entry: str, data_centre: str, loads: dict[str, PoolLoad], now: float
    ) -> None:
        """Replaces the known loads of the pools that an entry dispatches."""
        for (_, pool), by_entry in self._loads.items():
            if pool not in loads:
                by_entry.pop(entry, None)
        for pool, load in loads.items():
            self._loads.setdefault((data_centre, pool), {})[entry] = _Load(
                slots=load.slots,
                wait=load.wait_ms / 1000,
                run_time=load.run_time_ms / 1000,
                spare=max(0, load.slots - load.running - load.queued),
                keyed=load.keyed,
                heard_at=now,
            )

    def forget(self, entry: str) -> None:
        """Drops the loads of an entry that left or whose link was lost."""
        for by_entry in self._loads.values():
            by_entry.pop(entry, None)

    def record_sent(self, pool: str, data_centre: str) -> None:
        """Counts a request that is sent to a data centre."""
        for load in self._loads.get((data_centre, pool), {}).values():
            load.sent += self.count_sent

    def choose_data_centre(
        self, pool: str, *, keyed: bool, now: float, excluded: Iterable[str] = ()
    ) -> str | None:
        """Returns the data centre that should run a request, or None if none can.

        Args:
            pool: The request's pool.
            keyed: Whether the request needs a dispatcher with a session.
            now: Clock value in seconds.
            excluded: Data centres that may not be chosen, for instance after a lost link.
        """
        waits = self._expected_waits(pool, keyed, now, set(excluded))
        if not waits:
            return None
        best = min(waits, key=lambda name: (waits[name], name != self.data_centre, name))
        local = waits.get(self.data_centre)
        if local is None:
            return best
        if not self.spill or waits[best] * SPILL_FACTOR + SPILL_MARGIN_S >= local:
            return self.data_centre
        return best

    def _expected_waits(
        self, pool: str, keyed: bool, now: float, excluded: set[str]
    ) -> dict[str, float]:
        waits: dict[str, float] = {}
        for (data_centre, loaded_pool), by_entry in self._loads.items():
            if loaded_pool != pool or data_centre in excluded:
                continue
            if not self.view.in_service(data_centre):
                continue
            ramp = self.ramp.factor(data_centre, now)
            for load in by_entry.values():
                fresh = now - load.heard_at <= self.max_age_s
                if fresh and load.slots and (load.keyed or not keyed):
                    wait = load.expected_wait(ramp, now)
                    waits[data_centre] = min(wait, waits.get(data_centre, math.inf))
        return waits


if __name__ == "__main__":
    from geraniumtrack.state.records import DataCentre

    example = ConfigView()
    example.sections["data_centres"] = {name: DataCentre(name) for name in ("dc1", "dc2")}
    router = Router("dc1", example)
    busy = PoolLoad(slots=8, running=8, queued=40, wait_ms=2000, run_time_ms=400)
    idle = PoolLoad(slots=8, running=1, queued=0, wait_ms=0, run_time_ms=400)
    router.update_loads("e1a", "dc1", {"proofs": busy}, 0.0)
    router.update_loads("e2a", "dc2", {"proofs": idle}, 0.0)
    print(router.choose_data_centre("proofs", keyed=True, now=0.1))
