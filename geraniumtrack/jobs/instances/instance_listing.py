"""The platform's instance list: when it is requested, and which workers it omits."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from geraniumtrack import logs
from geraniumtrack.jobs.instances.machine_port import (
    Instance,
    InstanceList,
    InstanceState,
    MachinePort,
)
from geraniumtrack.jobs.instances.standby import KindsByPool, kinds_by_pool
from geraniumtrack.jobs.state.model import WorkerInfo
from geraniumtrack.metrics import metrics

__all__ = ["InstanceListing"]


class InstanceListing:
    """Keeps the newest instance list.

    No page of the platform promises that the list is current, so it is a basis for plans but no
    proof that a worker has ended.

    Args:
        reactor: Twisted reactor.
        port: Calls to the machine API.
        on_list: Called after each list that was read.

    Attributes:
        instances: The listed instances by id.
        kinds_by_pool: Kinds of the listed instances, by pool.
        requested_at: Clock value in seconds at which the newest list was requested.
    """

    def __init__(self, reactor: Any, *, port: MachinePort, on_list: Callable[[], None]) -> None:
        self.instances: dict[str, Instance] = {}
        self.kinds_by_pool: KindsByPool = {}
        self.requested_at = float("-inf")
        self._reactor = reactor
        self._port = port
        self._on_list = on_list
        self._complete = False
        self._listed_workers: set[str] = set()  # ids of the workers in the newest list
        self._shown_workers: set[str] = set()  # and in any list of this owner
        self._pending = False
        self._next_at = 0.0

    def request_if_due(self, interval_s: float) -> None:
        """Requests the list when due; `interval_s` is the time until the next one."""
        now = self._reactor.seconds()
        if self._pending or now < self._next_at:
            return
        self._pending = True
        self._next_at = now + interval_s
        self._port.instances().addCallbacks(self._handle, self._handle_failure, callbackArgs=(now,))

    def omits(self, worker: WorkerInfo) -> bool:
        """Whether the newest list lacks a worker that was in an earlier one.

        It does if it has the worker's instance without the worker, or is complete and lacks the
        instance. A worker that no list has shown may not be in the lists yet.
        """
        if worker.id not in self._shown_workers:
            return False
        if worker.id in self._listed_workers:
            return False
        instance = self.instances.get(worker.instance)
        if instance is None:
            return self._complete
        if instance.state is InstanceState.UNKNOWN:
            return False
        # An instance that is up has a worker, so an entry without one is in error.
        return instance.state is not InstanceState.UP or bool(instance.worker)

    def _handle(self, listed: InstanceList | None, requested_at: float) -> None:
        self._pending = False
        if listed is None:
            return
        self.requested_at = requested_at
        self.instances = {instance.id: instance for instance in listed.instances}
        self.kinds_by_pool = kinds_by_pool(listed.instances)
        self._complete = listed.complete
        self._listed_workers = {item.worker for item in listed.instances if item.worker}
        self._shown_workers |= self._listed_workers
        self._on_list()

    def _handle_failure(self, failure: Any) -> None:
        """Keeps the last list; the next one is requested as usual."""
        self._pending = False
        metrics.count("owner_work_failures", work="instance_list")
        logs.warn("owner_work_failed", work="instance_list", detail=failure.getErrorMessage())
