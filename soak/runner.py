"""Plays one soak: starts everything, injects the planned faults, heals, and judges."""

from __future__ import annotations

import random
import signal
from pathlib import Path
from typing import Any

from twisted.internet.defer import Deferred, gatherResults, inlineCallbacks
from twisted.internet.task import LoopingCall, deferLater

from soak.callers import LIMITS, Callers, Operator
from soak.fleet import Fleet
from soak.judge import judge
from soak.ledger import Ledger
from soak.programs import FRONT_PORT, ZONES, Cluster, Layout, Program
from soak.proxy import Way
from soak.scenario import Fault, Plan

__all__ = ["Soak"]

START_S = 4.0  # until the programs and workers know each other
FINISH_S = 25.0  # after the last fault, until accepted jobs must have ended
CLIENTS = 10
WATCH_S = 0.2
READ_S = 0.7
RESTART_S = 0.3
UPKEEP_S = 20.0


class Soak:
    """One run.

    Args:
        reactor: Twisted reactor.
        plan: Sizes and faults.
        folder: Where the processes' files go.
    """

    def __init__(self, reactor: Any, plan: Plan, folder: Path) -> None:
        self.ledger = Ledger()
        self.faults: dict[str, int] = {}
        self._reactor = reactor
        self._plan = plan
        self._rng = random.Random(plan.seed)
        layout = Layout.reserve(plan.seed)
        self._cluster = Cluster(reactor, layout, folder, cores=plan.cores, fronts=plan.fronts)
        controls = self._cluster.control_addresses
        self._fleet = Fleet(reactor, layout, count=plan.machines, controls=controls, seed=plan.seed)
        fronts = [f"{program.ip}:{FRONT_PORT}" for program in self._cluster.fronts]
        self._callers = Callers(reactor, fronts, ledger=self.ledger, rng=self._rng)
        self._operator = Operator(reactor, controls, ledger=self.ledger, rng=self._rng)
        self._watches = [LoopingCall(self._watch), LoopingCall(self._operator.read)]
        self._waves = 0

    @inlineCallbacks
    def run(self) -> Any:
        """Returns a Deferred of the broken promises."""
        try:
            self._reactor.addSystemEventTrigger("before", "shutdown", self._cluster.close)
            yield self._fleet.open()
            yield self._cluster.open()
            yield self._pause(START_S)
            yield self._operator.configure()
            for watch, interval_s in zip(self._watches, (WATCH_S, READ_S), strict=True):
                watch.start(interval_s)
            clients = [self._callers.run() for _ in range(CLIENTS)]
            clients.append(self._callers.probe(lambda: self._operator.extra_key))
            for fault in self._plan.faults:
                self._reactor.callLater(fault.at, self._inject, fault)
            yield self._pause(self._plan.seconds)
            self._callers.stop()
            yield from self._finish(clients)
        finally:
            self.close()
        found = judge(self.ledger, self._fleet.record, LIMITS)
        for program in self._cluster.programs:
            found += program.failures
        return found

    @property
    def summary(self) -> dict[str, Any]:
        """What was played, for the report."""
        jobs = self.ledger.jobs.values()
        return {
            "jobs": len(jobs),
            "accepted": sum(job.accepted_at is not None for job in jobs),
            "starts": len(self._fleet.record.starts),
            "faults": sum(self.faults.values()),
        }

    def _finish(self, clients: list[Deferred]) -> Any:
        """Waits for the last fault to end, then until all accepted jobs have ended."""
        yield self._pause(max(0.0, self._last_fault_ends_s - self._plan.seconds))
        self._heal()
        until_s = self._reactor.seconds() + FINISH_S
        yield gatherResults(clients)
        yield self._callers.finish(until_s=until_s)
        self.ledger.unread_config = True
        for _ in range(10):
            if (yield self._operator.read()):
                self.ledger.unread_config = False
                break
            yield self._pause(READ_S)

    @property
    def _last_fault_ends_s(self) -> float:
        return max((f.at + f.for_s + RESTART_S for f in self._plan.faults), default=0.0)

    def _pause(self, seconds: float) -> Deferred:
        return deferLater(self._reactor, seconds, lambda: None)

    def _watch(self) -> None:
        for program in self._cluster.programs:
            program.check()

    def _heal(self) -> None:
        for proxy in self._cluster.proxies.values():
            proxy.set(Way())
        self._fleet.heal()
        for program in self._cluster.programs:
            program.signal(signal.SIGCONT)
            self._restart(program)

    def close(self) -> None:
        """Ends everything that this soak started, also when it is interrupted."""
        for watch in self._watches:
            if watch.running:
                watch.stop()
        self._callers.close()
        self._operator.close()
        self._cluster.close()
        self._fleet.close()

    # Faults.

    def _inject(self, fault: Fault) -> None:
        self.faults[fault.kind] = self.faults.get(fault.kind, 0) + 1
        getattr(self, f"_do_{fault.kind}")(fault)

    def _later(self, fault: Fault, call: Any, *args: Any) -> None:
        self._reactor.callLater(fault.for_s, call, *args)

    def _program(self, fault: Fault) -> Program:
        return self._cluster.programs[fault.pick % len(self._cluster.programs)]

    def _restart(self, program: Program) -> None:
        """Starts a program again, once its former process has ended."""
        if program.wanted:
            return
        if program.ended:
            program.start()
        else:
            self._reactor.callLater(WATCH_S, self._restart, program)

    def _do_kill(self, fault: Fault) -> None:
        program = self._program(fault)
        program.kill()
        self._later(fault, self._restart, program)

    def _do_stop(self, fault: Fault) -> None:
        program = self._program(fault)
        program.wanted = False
        program.signal(signal.SIGTERM)
        self._reactor.callLater(RESTART_S, self._restart, program)

    def _do_pause(self, fault: Fault) -> None:
        program = self._program(fault)
        program.signal(signal.SIGSTOP)
        self._later(fault, program.signal, signal.SIGCONT)

    def _do_reload(self, fault: Fault) -> None:
        program = self._program(fault)
        program.seeds = self._rng.sample(self._cluster.control_addresses, 3)
        program.write_settings()
        if fault.other % 2:
            program.signal(signal.SIGHUP)

    def _pair(self, fault: Fault) -> list:
        programs = self._cluster.programs
        one = fault.pick % len(programs)
        other = (one + 1 + fault.other % (len(programs) - 1)) % len(programs)
        return self._cluster.between(programs[one], programs[other])

    def _set_ways(self, fault: Fault, proxies: list, way: Way) -> None:
        for proxy in proxies:
            proxy.set(way)
            self._later(fault, proxy.set, Way())

    def _do_cut(self, fault: Fault) -> None:
        """Cuts one process off from all others."""
        program = self._program(fault)
        proxies = [p for pair, p in self._cluster.proxies.items() if program.name in pair]
        self._set_ways(fault, proxies, Way(to_held=True, from_held=True))

    def _do_cut_one_way(self, fault: Fault) -> None:
        first, second = self._pair(fault)
        self._set_ways(fault, [first], Way(to_held=True))
        self._set_ways(fault, [second], Way(from_held=True))

    def _do_silence(self, fault: Fault) -> None:
        for proxy in (*self._pair(fault), *self._worker_proxies(fault)):
            proxy.silence()

    def _do_reset(self, fault: Fault) -> None:
        for proxy in self._pair(fault):
            proxy.reset()

    def _do_delay(self, fault: Fault) -> None:
        self._set_ways(fault, self._pair(fault), Way(delay_s=0.02 + fault.for_s / 20))

    def _worker_proxies(self, fault: Fault) -> list:
        machine = self._fleet.pick(fault.other)
        return [self._fleet.proxies[machine.name]] if machine is not None else []

    def _do_worker_crash(self, fault: Fault) -> None:
        machine = self._fleet.pick(fault.pick)
        if machine is not None:
            self._fleet.machines.crash(machine, fault.for_s)

    def _do_worker_cut(self, fault: Fault) -> None:
        proxies = self._worker_proxies(fault)
        self._set_ways(fault, proxies, Way(to_held=True, from_held=bool(fault.pick % 2)))

    def _set_worker_fault(self, fault: Fault, **fields: Any) -> None:
        machine = self._fleet.pick(fault.pick)
        if machine is None:
            return
        worker = machine.worker
        for name, value in fields.items():
            before = getattr(worker.faults, name)
            setattr(worker.faults, name, value)
            self._later(fault, setattr, worker.faults, name, before)

    def _do_worker_late(self, fault: Fault) -> None:
        self._set_worker_fault(fault, unanswered=0.5)

    def _do_worker_fails(self, fault: Fault) -> None:
        self._set_worker_fault(fault, fails=True)

    def _do_worker_mute(self, fault: Fault) -> None:
        self._set_worker_fault(fault, mute=True)

    def _core(self, fault: Fault) -> Program:
        return self._cluster.cores[fault.pick % len(self._cluster.cores)]

    def _do_torn_journal(self, fault: Fault) -> None:
        core = self._core(fault)
        core.kill()
        core.tear(bytes(fault.other % 256 for _ in range(1 + fault.other % 40)))
        self._later(fault, self._restart, core)

    def _do_wipe(self, fault: Fault) -> None:
        core = self._core(fault)
        core.kill()
        core.wipe()
        self._later(fault, self._restart, core)

    def _do_kill_all_cores(self, fault: Fault) -> None:
        for core in self._cluster.cores:
            core.kill()
        self._reactor.callLater(RESTART_S, lambda: [self._restart(c) for c in self._cluster.cores])

    # Orders of the operator.

    def _do_configure(self, _fault: Fault) -> None:
        self._operator.configure()

    def _do_revoke(self, _fault: Fault) -> None:
        self._operator.configure(withdraw=True)

    def _do_evacuate(self, fault: Fault) -> None:
        self._operator.evacuate(ZONES[fault.pick % len(ZONES)], 6.0 + fault.for_s)

    def _do_maintain(self, fault: Fault) -> None:
        self._waves += 1
        names = sorted(self._fleet.machines.machines)
        chosen = self._rng.sample(names, 3)
        self._fleet.machines.waves[self._waves] = set(chosen)
        self._operator.maintain(self._waves, chosen, UPKEEP_S)
