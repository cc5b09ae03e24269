"""Runs one soak: starts processes and load, injects faults, and checks the guarantees."""

from __future__ import annotations

import random
import signal
from pathlib import Path
from typing import Any

from twisted.internet.defer import Deferred, gatherResults, inlineCallbacks
from twisted.internet.task import LoopingCall, deferLater

from soak.checker import find_violations
from soak.clients import CPU_LIMITS, JobClients, Operator
from soak.fleet import Fleet
from soak.history import History
from soak.programs import FRONT_PORT, ZONES, Cluster, Layout, Program
from soak.proxy import LinkFaults
from soak.scenario import Fault, Scenario

__all__ = ["Soak"]

START_S = 4.0  # for programs and workers to find each other before the load starts
FINISH_S = 25.0  # after the last fault, within which accepted jobs must end
CLIENT_COUNT = 10
PROCESS_CHECK_INTERVAL_S = 0.2
CONFIG_READ_INTERVAL_S = 0.7
RESTART_DELAY_S = 0.3
MAINTENANCE_WINDOW_S = 20.0
SHRUNK_CPU = (0, 1000, 2000)  # thousandths of a core; below what most workers run


class Soak:
    """One run of the soak test.

    Args:
        reactor: Twisted reactor.
        scenario: Size and fault schedule.
        folder: Folder for the files of the processes.

    Attributes:
        history: Observations of the clients and the operator.
        faults: Number of injected faults by kind.
    """

    def __init__(self, reactor: Any, scenario: Scenario, folder: Path) -> None:
        self.history = History()
        self.faults: dict[str, int] = {}
        self._reactor = reactor
        self._scenario = scenario
        self._rng = random.Random(scenario.seed)
        layout = Layout.reserve(scenario.seed)
        self._cluster = Cluster(
            reactor, layout, folder, cores=scenario.cores, fronts=scenario.fronts
        )
        controllers = self._cluster.control_addresses
        self._fleet = Fleet(
            reactor, layout, count=scenario.machines, controllers=controllers, seed=scenario.seed
        )
        fronts = [f"{program.ip}:{FRONT_PORT}" for program in self._cluster.fronts]
        self._clients = JobClients(reactor, fronts, history=self.history, rng=self._rng)
        self._operator = Operator(reactor, controllers, history=self.history, rng=self._rng)
        self._loops = [
            LoopingCall(self._restart_failed_programs),
            LoopingCall(self._operator.read_config),
        ]
        self._last_wave = 0

    @inlineCallbacks
    def run(self) -> Any:
        """Returns a Deferred that fires with the descriptions of the violated guarantees."""
        try:
            self._reactor.addSystemEventTrigger("before", "shutdown", self._cluster.close)
            yield self._fleet.open()
            yield self._cluster.open()
            yield self._pause(START_S)
            yield self._operator.configure()
            for loop, interval_s in zip(
                self._loops, (PROCESS_CHECK_INTERVAL_S, CONFIG_READ_INTERVAL_S), strict=True
            ):
                loop.start(interval_s)
            client_futs = [self._clients.run() for _ in range(CLIENT_COUNT)]
            client_futs.append(self._clients.probe_key(lambda: self._operator.extra_key))
            for fault in self._scenario.faults:
                self._reactor.callLater(fault.at, self._inject, fault)
            yield self._pause(self._scenario.load_s)
            self._clients.stop()
            yield from self._finish(client_futs)
        finally:
            self.close()
        violations = find_violations(self.history, self._fleet.run_history, CPU_LIMITS)
        for program in self._cluster.programs:
            violations += program.failures + program.reported_faults()
        return violations

    @property
    def summary(self) -> dict[str, Any]:
        """Numbers of jobs, accepted jobs, started runs and injected faults."""
        jobs = self.history.jobs.values()
        return {
            "jobs": len(jobs),
            "accepted": sum(job.accepted_at is not None for job in jobs),
            "starts": len(self._fleet.run_history.runs),
            "faults": sum(self.faults.values()),
        }

    def _finish(self, client_futs: list[Deferred]) -> Any:
        """Waits until the last fault has ended, then until accepted jobs have ended."""
        yield self._pause(max(0.0, self._last_fault_ends_s - self._scenario.load_s))
        self._end_faults()
        until_s = self._reactor.seconds() + FINISH_S
        yield gatherResults(client_futs)
        yield self._clients.finish(until_s=until_s)
        self.history.unread_config = True
        for _ in range(10):
            if (yield self._operator.read_config()):
                self.history.unread_config = False
                break
            yield self._pause(CONFIG_READ_INTERVAL_S)

    @property
    def _last_fault_ends_s(self) -> float:
        return max((f.at + f.for_s + RESTART_DELAY_S for f in self._scenario.faults), default=0.0)

    def _pause(self, seconds: float) -> Deferred:
        return deferLater(self._reactor, seconds, lambda: None)

    def _restart_failed_programs(self) -> None:
        for program in self._cluster.programs:
            program.restart_if_failed()

    def _end_faults(self) -> None:
        for proxy in self._cluster.proxies.values():
            proxy.set_faults(LinkFaults())
        self._fleet.end_faults()
        for program in self._cluster.programs:
            program.signal(signal.SIGCONT)
            self._restart(program)

    def close(self) -> None:
        """Ends all processes and workers that this soak started, also when it is interrupted."""
        for loop in self._loops:
            if loop.running:
                loop.stop()
        self._clients.close()
        self._operator.close()
        self._cluster.close()
        self._fleet.close()

    # Faults. `_inject` finds the method of a fault by the kind in its name.

    def _inject(self, fault: Fault) -> None:
        self.faults[fault.kind] = self.faults.get(fault.kind, 0) + 1
        getattr(self, f"_inject_{fault.kind}")(fault)

    def _after_fault(self, fault: Fault, func: Any, *args: Any) -> None:
        self._reactor.callLater(fault.for_s, func, *args)

    def _pick_program(self, fault: Fault) -> Program:
        return self._cluster.programs[fault.pick % len(self._cluster.programs)]

    def _restart(self, program: Program) -> None:
        """Starts a program again, as soon as its former process has ended."""
        if program.expected_running:
            return
        if program.ended:
            program.start()
        else:
            self._reactor.callLater(PROCESS_CHECK_INTERVAL_S, self._restart, program)

    def _inject_kill(self, fault: Fault) -> None:
        program = self._pick_program(fault)
        program.kill()
        self._after_fault(fault, self._restart, program)

    def _inject_stop(self, fault: Fault) -> None:
        program = self._pick_program(fault)
        program.expected_running = False
        program.signal(signal.SIGTERM)
        self._reactor.callLater(RESTART_DELAY_S, self._restart, program)

    def _inject_pause(self, fault: Fault) -> None:
        program = self._pick_program(fault)
        program.signal(signal.SIGSTOP)
        self._after_fault(fault, program.signal, signal.SIGCONT)

    def _inject_reload(self, fault: Fault) -> None:
        program = self._pick_program(fault)
        program.seeds = self._rng.sample(self._cluster.control_addresses, 3)
        program.write_settings()
        if fault.other % 2:
            program.signal(signal.SIGHUP)

    def _pick_pair(self, fault: Fault) -> list:
        programs = self._cluster.programs
        one = fault.pick % len(programs)
        other = (one + 1 + fault.other % (len(programs) - 1)) % len(programs)
        return self._cluster.proxies_between(programs[one], programs[other])

    def _set_link_faults(self, fault: Fault, proxies: list, faults: LinkFaults) -> None:
        for proxy in proxies:
            proxy.set_faults(faults)
            self._after_fault(fault, proxy.set_faults, LinkFaults())

    def _inject_cut(self, fault: Fault) -> None:
        """Holds all data between one program and all others."""
        program = self._pick_program(fault)
        proxies = [p for pair, p in self._cluster.proxies.items() if program.name in pair]
        self._set_link_faults(
            fault, proxies, LinkFaults(hold_to_target=True, hold_from_target=True)
        )

    def _inject_cut_one_way(self, fault: Fault) -> None:
        first, second = self._pick_pair(fault)
        self._set_link_faults(fault, [first], LinkFaults(hold_to_target=True))
        self._set_link_faults(fault, [second], LinkFaults(hold_from_target=True))

    def _inject_silence(self, fault: Fault) -> None:
        for proxy in (*self._pick_pair(fault), *self._pick_worker_proxies(fault)):
            proxy.silence()

    def _inject_reset(self, fault: Fault) -> None:
        for proxy in self._pick_pair(fault):
            proxy.reset()

    def _inject_delay(self, fault: Fault) -> None:
        self._set_link_faults(
            fault, self._pick_pair(fault), LinkFaults(delay_s=0.02 + fault.for_s / 20)
        )

    def _pick_worker_proxies(self, fault: Fault) -> list:
        machine = self._fleet.pick(fault.other)
        return [self._fleet.proxies[machine.name]] if machine is not None else []

    def _inject_worker_crash(self, fault: Fault) -> None:
        machine = self._fleet.pick(fault.pick)
        if machine is not None:
            self._fleet.machines.crash(machine, fault.for_s)

    def _inject_worker_cut(self, fault: Fault) -> None:
        proxies = self._pick_worker_proxies(fault)
        self._set_link_faults(
            fault, proxies, LinkFaults(hold_to_target=True, hold_from_target=bool(fault.pick % 2))
        )

    def _set_worker_faults(self, fault: Fault, **fields: Any) -> None:
        machine = self._fleet.pick(fault.pick)
        if machine is None:
            return
        worker = machine.worker
        for name, value in fields.items():
            before = getattr(worker.faults, name)
            setattr(worker.faults, name, value)
            self._after_fault(fault, setattr, worker.faults, name, before)

    def _inject_worker_late(self, fault: Fault) -> None:
        self._set_worker_faults(fault, unanswered_fraction=0.5)

    def _inject_worker_fails(self, fault: Fault) -> None:
        self._set_worker_faults(fault, fail_all_runs=True)

    def _inject_worker_mute(self, fault: Fault) -> None:
        self._set_worker_faults(fault, skip_heartbeats=True)

    def _inject_worker_shrinks(self, fault: Fault) -> None:
        machine = self._fleet.pick(fault.pick)
        if machine is not None:
            machine.worker.set_cpu(SHRUNK_CPU[fault.other % len(SHRUNK_CPU)])
            self._after_fault(fault, machine.worker.set_cpu, machine.cpu)

    def _pick_core(self, fault: Fault) -> Program:
        return self._cluster.cores[fault.pick % len(self._cluster.cores)]

    def _inject_torn_journal(self, fault: Fault) -> None:
        core = self._pick_core(fault)
        core.kill()
        core.append_torn_write(bytes(fault.other % 256 for _ in range(1 + fault.other % 40)))
        self._after_fault(fault, self._restart, core)

    def _inject_wipe(self, fault: Fault) -> None:
        core = self._pick_core(fault)
        core.kill()
        core.wipe_data()
        self._after_fault(fault, self._restart, core)

    def _inject_kill_all_cores(self, fault: Fault) -> None:
        for core in self._cluster.cores:
            core.kill()
        self._reactor.callLater(
            RESTART_DELAY_S, lambda: [self._restart(c) for c in self._cluster.cores]
        )

    # Commands of the operator.

    def _inject_configure(self, _fault: Fault) -> None:
        self._operator.configure()

    def _inject_revoke(self, _fault: Fault) -> None:
        self._operator.configure(withdraw=True)

    def _inject_evacuate(self, fault: Fault) -> None:
        self._operator.evacuate(ZONES[fault.pick % len(ZONES)], 6.0 + fault.for_s)

    def _inject_maintain(self, fault: Fault) -> None:
        self._last_wave += 1
        names = sorted(self._fleet.machines.machines)
        chosen = self._rng.sample(names, 3)
        self._fleet.machines.waves[self._last_wave] = set(chosen)
        self._operator.maintain(self._last_wave, chosen, MAINTENANCE_WINDOW_S)
