"""Choice of the data centre that runs a request. Pure: time is passed in.

The local data centre comes first. A request spills over when the expected wait elsewhere is shorter
by a margin. What was sent since the last gossip is added to the gossiped wait, since otherwise
every entry would send its whole surplus to the one data centre that reported the shortest wait.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass, field

from geraniumtrack.protocol.messages import PoolLoad
from geraniumtrack.state.view import ConfigView

__all__ = ["MAX_HOPS", "Ramp", "Router"]

MAX_HOPS = 3  # to the chosen dispatcher, to its successor, and to one more data centre
SPILL_MARGIN_S = 0.05  # more than the round trip and the scatter of a wait
SPILL_FACTOR = 1.25
RAMP_S = 10.0
RAMP_FIRST = 0.1  # part of the slots used at once after a return


class Ramp:
    """How much of a data centre is used after it returned to service."""

    def __init__(self) -> None:
        self._in_service: dict[str, bool] = {}
        self._returned_at: dict[str, float] = {}

    def observe(self, view: ConfigView, now: float) -> None:
        """Notes which data centres are in service; one first seen in service has not returned."""
        for name in view.sections["data_centres"]:
            in_service = view.in_service(name)
            if in_service and self._in_service.get(name) is False:
                self._returned_at[name] = now
            self._in_service[name] = in_service

    def factor(self, data_centre: str, now: float) -> float:
        """Returns the part of the slots to use, from `RAMP_FIRST` to 1."""
        returned_at = self._returned_at.get(data_centre)
        if returned_at is None or now - returned_at >= RAMP_S:
            return 1.0
        return max(RAMP_FIRST, (now - returned_at) / RAMP_S)


@dataclass(slots=True)
class _Load:
    """What a dispatcher gossiped of a pool, and what was sent to it since."""

    slots: int
    wait: float
    run_time: float
    spare: int
    keyed: bool
    heard_at: float
    sent: int = 0

    def expected_wait(self, ramp: float, now: float) -> float:
        """Adds what was sent since the gossip, less what has ended since."""
        surplus = self.sent - self.spare * ramp
        wait = (self.wait + surplus * self.run_time / self.slots) / ramp
        return max(0.0, wait - (now - self.heard_at))


@dataclass(slots=True)
class Router:
    """Loads of all data centres, as one entry knows them.

    Attributes:
        data_centre: The entry's own.
        view: Configuration view.
        ramp: Returns of data centres.
        max_age_s: Older gossip is of an entry that is no longer live.
        spill: Whether requests leave a data centre that could run them.
        count_sent: Whether requests sent since the last gossip count.
    """

    data_centre: str
    view: ConfigView
    ramp: Ramp = field(default_factory=Ramp)
    max_age_s: float = 3.0
    spill: bool = True
    count_sent: bool = True
    _loads: dict[tuple[str, str], dict[str, _Load]] = field(default_factory=dict)

    def heard(self, entry: str, data_centre: str, loads: dict[str, PoolLoad], now: float) -> None:
        """Takes the loads of the pools that an entry dispatches."""
        for (_, pool), known in self._loads.items():
            if pool not in loads:
                known.pop(entry, None)
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
        """Drops what an entry gossiped, when it left or the link to it was lost."""
        for known in self._loads.values():
            known.pop(entry, None)

    def sent(self, pool: str, data_centre: str) -> None:
        """Counts a request that goes to a data centre."""
        for load in self._loads.get((data_centre, pool), {}).values():
            load.sent += self.count_sent

    def choose(
        self, pool: str, *, keyed: bool, now: float, excluded: Iterable[str] = ()
    ) -> str | None:
        """Returns the data centre that is to run a request, or None if none can.

        Args:
            pool: The request's pool.
            keyed: Whether the request needs a dispatcher with a session.
            now: Clock value in seconds.
            excluded: Data centres that it has failed to reach.
        """
        waits = self._waits(pool, keyed, now, set(excluded))
        if not waits:
            return None
        best = min(waits, key=lambda name: (waits[name], name != self.data_centre, name))
        local = waits.get(self.data_centre)
        if local is None:
            return best
        if not self.spill or waits[best] * SPILL_FACTOR + SPILL_MARGIN_S >= local:
            return self.data_centre
        return best

    def _waits(self, pool: str, keyed: bool, now: float, excluded: set[str]) -> dict[str, float]:
        found: dict[str, float] = {}
        for (data_centre, of_pool), known in self._loads.items():
            if of_pool != pool or data_centre in excluded:
                continue
            if not self.view.in_service(data_centre):
                continue
            ramp = self.ramp.factor(data_centre, now)
            for load in known.values():
                fresh = now - load.heard_at <= self.max_age_s
                if fresh and load.slots and (load.keyed or not keyed):
                    wait = load.expected_wait(ramp, now)
                    found[data_centre] = min(wait, found.get(data_centre, math.inf))
        return found


if __name__ == "__main__":
    from geraniumtrack.state.records import DataCentre

    example = ConfigView()
    example.sections["data_centres"] = {name: DataCentre(name) for name in ("dc1", "dc2")}
    router = Router("dc1", example)
    busy = PoolLoad(slots=8, running=8, queued=40, wait_ms=2000, run_time_ms=400)
    idle = PoolLoad(slots=8, running=1, queued=0, wait_ms=0, run_time_ms=400)
    router.heard("e1a", "dc1", {"proofs": busy}, 0.0)
    router.heard("e2a", "dc2", {"proofs": idle}, 0.0)
    print(router.choose("proofs", keyed=True, now=0.1))
