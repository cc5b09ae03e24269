"""Chooses the rack for a step whose tasks are slow on several racks, before any is placed."""

from __future__ import annotations

import math
from collections import Counter

from geraniumtrack.jobs.scheduling.pass_slots import SlotsByRack
from geraniumtrack.jobs.scheduling.rack_slots import SlotRequest, WorkerSlots, expected_slots

__all__ = ["first_rack", "most_common_rack", "starting_rack"]

# Racks whose expected slots are compared, those with the most capacity that is free within the
# gain. Comparing all 46 racks of 550 workers would take most of the time of a scheduling pass.
MAX_COMPARED_RACKS = 4


def starting_rack(racks: SlotsByRack, request: SlotRequest, count: int, gain_s: float) -> str:
    """Returns the rack on which a step is to start, or an empty string if none is better.

    It is a rack that can hold all tasks now, the one with the least free capacity, so that larger
    steps find room elsewhere. If there is none, it is the one where the tasks wait the least; a
    gang then starts on several racks or waits as a whole.

    Args:
        racks: Expected slots by rack.
        request: What each task needs.
        count: Number of waiting tasks.
        gain_s: Time in seconds that a task loses away from its rack.
    """
    places = {
        rack: sum(item.places_now(request) for item in workers) for rack, workers in racks.items()
    }
    whole = [rack for rack, number in places.items() if number >= count]
    if whole:
        return min(whole, key=lambda rack: (_freed_cpu(racks[rack], 0.0), rack))
    if request.step.gang or not any(places.values()):
        return ""
    return first_rack(racks, request, count, gain_s)


def first_rack(racks: SlotsByRack, request: SlotRequest, count: int, gain_s: float) -> str:
    """Returns the rack with the earliest slots for a number of tasks, or an empty string.

    The arguments are those of `starting_rack`. Racks whose slots come after the gain are left out.
    """
    likely = sorted(racks, key=lambda rack: -_freed_cpu(racks[rack], gain_s))
    rows = [
        (_wait_s(racks[rack], request, count, gain_s), rack) for rack in likely[:MAX_COMPARED_RACKS]
    ]
    wait_s, rack = min(rows, default=(math.inf, ""))
    return rack if wait_s < gain_s else ""


def most_common_rack(racks: Counter[str]) -> str:
    """Returns the rack with most of a step's assigned tasks, or an empty string."""
    known = {rack: number for rack, number in racks.items() if rack and number > 0}
    return max(known, key=known.__getitem__, default="")


def _wait_s(workers: list[WorkerSlots], request: SlotRequest, count: int, gain_s: float) -> float:
    """Returns the mean wait in seconds of tasks on a rack, for a gang the longest one."""
    slots = expected_slots(workers, request, count)
    waits = [min(slot.wait_s, gain_s) for slot in slots] + [gain_s] * (count - len(slots))
    return max(waits) if request.step.gang else sum(waits) / count


def _freed_cpu(workers: list[WorkerSlots], within_s: float) -> int:
    return sum(item.freed_cpu(within_s) for item in workers)
