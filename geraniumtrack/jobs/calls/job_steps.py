"""The steps of a job as text, and what makes them invalid.

The text has the form of `steps` in the log: `8x2000m/100MB/0.8s,label=gpu;2x500m/50MB/1s` are eight
tasks of two cores, 100 MB and 0.8 s each, and then two of half a core.
"""

from __future__ import annotations

import math
import re
from dataclasses import replace

from geraniumtrack.jobs.state.model import Resources, StepSpec

__all__ = [
    "MAX_TASKS_PER_JOB",
    "parse_steps",
    "step_summary",
    "steps_problem",
    "steps_summary",
]

MAX_TASKS_PER_JOB = 100_000  # limits the memory that one call can occupy on the controllers
MAX_LOGGED_STEPS = 32
SIZE = re.compile(r"(\d{1,9})x(\d{1,12})m/(\d{1,12})MB/(\d{1,9}(?:\.\d{1,9})?(?:e-?\d{1,2})?)s")
FLAGS = ("lasting", "filler", "gang", "same_rack", "duplicates", "checkpoints")
VALUES = {"label": ("label", str), "data_rack": ("data_rack", str)}
VALUES |= {"max_per_worker": ("max_per_worker", int), "may_miss": ("may_miss", int)}
VALUES |= {"target_s": ("latency_target_s", float)}


def step_summary(step: StepSpec) -> str:
    """Returns the requirements of a step as one word for the log."""
    flags = [name for name in FLAGS if getattr(step, name)]
    if step.label:
        flags.append(f"label={step.label}")
    if step.data_rack:
        flags.append(f"data_rack={step.data_rack}")
    if step.max_per_worker:
        flags.append(f"max_per_worker={step.max_per_worker}")
    if step.may_miss:
        flags.append(f"may_miss={step.may_miss}")
    if step.latency_target_s:
        flags.append(f"target_s={step.latency_target_s}")
    text = f"{step.count}x{step.size.cpu}m/{step.size.memory_mb}MB/{step.estimate_s}s"
    return ",".join([text, *flags])


def steps_summary(steps: tuple[StepSpec, ...]) -> str:
    """Returns the requirements of a job's steps for the log, and how many were left out."""
    shown = ";".join(map(step_summary, steps[:MAX_LOGGED_STEPS]))
    left_out = len(steps) - MAX_LOGGED_STEPS
    return f"{shown};... {left_out} more" if left_out > 0 else shown


def parse_steps(text: str) -> tuple[StepSpec, ...]:
    """Returns the steps of a text; each step depends on the one before it.

    Raises:
        ValueError: If the text can't be read; the message names the part.
    """
    steps = [_parse_step(part.strip()) for part in text.split(";")]
    return tuple(
        replace(step, after=(number - 1,) if number else ()) for number, step in enumerate(steps)
    )


def _parse_step(text: str) -> StepSpec:
    size, *flags = text.split(",")
    found = SIZE.fullmatch(size)
    if found is None:
        raise ValueError(f"step {text!r} is not of the form 8x2000m/100MB/0.8s")
    count, cpu, memory_mb, estimate = found.groups()
    fields = dict(_parse_flag(flag) for flag in flags)
    size = Resources(int(cpu), int(memory_mb))
    return StepSpec(int(count), size, float(estimate), **fields)


def _parse_flag(text: str) -> tuple[str, object]:
    name, _, value = text.partition("=")
    if name in FLAGS and not value:
        return name, True
    if name not in VALUES or not value:
        raise ValueError(f"{text!r} is not a property of a step")
    field, convert = VALUES[name]
    try:
        converted = convert(value)
    except ValueError:
        converted = -1
    if convert is not str and not 0 <= converted < math.inf:
        raise ValueError(f"{name} must be a number of at least 0")
    return field, converted


def steps_problem(steps: tuple[StepSpec, ...], repetitions: int) -> str:
    """Returns the reason to refuse a job, or an empty string if it is valid."""
    if not steps:
        return "a job must have at least one step"
    for number, step in enumerate(steps):
        if step.count < 1:
            return f"step {number} has no tasks"
        if any(not 0 <= earlier < number for earlier in step.after):
            return f"step {number} depends on a step that does not come before it"
    if sum(step.count for step in steps) * max(repetitions, 1) > MAX_TASKS_PER_JOB:
        return f"a job must have at most {MAX_TASKS_PER_JOB} tasks"
    return ""
