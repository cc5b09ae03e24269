"""Chooses the standby pool to which an instance moves."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Collection, Iterable, Mapping

from geraniumtrack.jobs.instances.machine_port import Instance

__all__ = ["KindsByPool", "choose_standby_pool", "kinds_by_pool"]

KindsByPool = Mapping[str, Collection[frozenset[str]]]


def kinds_by_pool(instances: Iterable[Instance]) -> KindsByPool:
    """Returns the kinds of the instances in each pool."""
    kinds: dict[str, set[frozenset[str]]] = defaultdict(set)
    for instance in instances:
        kinds[instance.pool].add(_kind(instance))
    return kinds


def choose_standby_pool(
    instance: Instance | None, candidates: Collection[str], kinds: KindsByPool
) -> str:
    """Returns the standby pool to which an instance may move, or an empty string.

    The platform takes only some instances into a pool and does not say which. Pools with an
    instance of the same kind come first.

    Args:
        instance: The instance, or None if the instance list does not show it.
        candidates: The standby pools that have not refused it.
        kinds: Kinds of the instances in each pool.
    """
    kind = _kind(instance) if instance is not None else None
    return min(candidates, key=lambda pool: (kind not in kinds.get(pool, ()), pool), default="")


def _kind(instance: Instance) -> frozenset[str]:
    """Returns the labels of an instance without its rack, which say of what kind it is."""
    return frozenset(instance.labels) - {instance.rack}
