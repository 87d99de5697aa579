"""Compute the figures of a run: response times, met targets, goodput and messages."""

from __future__ import annotations

import math
from collections.abc import Iterable, Sequence

import msgspec

from currantbarrow.bench.oracle import RunSpan
from currantbarrow.bench.outcomes import COMPLETE, JobOutcome

__all__ = [
    "Figures",
    "Row",
    "Window",
    "goodput",
    "percentile",
    "recovery_s",
    "response_ratios",
    "target_met_pct",
]


class Window(msgspec.Struct, frozen=True):
    """Describe the measured part of a run, and the number of slots in it."""

    begin_ms: float
    end_ms: float
    slots: int


class Figures(msgspec.Struct):
    """Report one run; percentiles are of response over ideal time, 0 if no job completed."""

    jobs: int
    p50: float
    p99: float
    p999: float
    small_p50: float
    small_p99: float
    small_p999: float
    large_p99: float
    target_met_pct: float
    small_target_met_pct: float
    goodput_pct: float
    wasted_per_task: float
    overhead_per_task: float
    refused_starts_per_task: float
    refused: int
    failed: int
    no_answer: int
    broken_promises: int
    recovery_s: float = 0.0
    messages_per_cancelled_task: float = 0.0
    worst_class: str = ""
    worst_class_met_pct: float = 100.0
    messages: dict[str, int] = {}


class Row(msgspec.Struct, frozen=True):
    """Represent one row of the report: a case under a policy."""

    case: str
    policy: str
    figures: Figures
    seed: int


def response_ratios(outcomes: Iterable[JobOutcome]) -> list[float]:
    """Return response time over ideal time of complete jobs, in ascending order."""
    return sorted(
        outcome.response_ms / outcome.ideal_ms for outcome in outcomes if outcome.status == COMPLETE
    )


def percentile(sorted_values: Sequence[float], fraction: float) -> float:
    """Return the smallest value that at least this fraction of values does not exceed, or 0."""
    if not sorted_values:
        return 0.0
    return sorted_values[max(0, math.ceil(fraction * len(sorted_values)) - 1)]


def target_met_pct(outcomes: Sequence[JobOutcome], targets_ms: dict[str, float]) -> float:
    """Return the percentage of jobs that met their target, without cancelled or infeasible ones."""
    # A job whose ideal time exceeds its target could not meet it on an idle fleet either.
    counted = [
        outcome
        for outcome in outcomes
        if not outcome.cancelled and outcome.ideal_ms <= targets_ms[outcome.job.job_class]
    ]
    if not counted:
        return 100.0
    met_count = sum(outcome.met_target(targets_ms[outcome.job.job_class]) for outcome in counted)
    return 100.0 * met_count / len(counted)


def goodput(spans: Iterable[RunSpan], complete: set[bytes], window: Window) -> float:
    """Return the percentage of the window's slot time that was used for complete jobs."""
    useful_ms = 0.0
    for span in spans:
        if span.job_id in complete:
            began_ms = max(span.began_ms, window.begin_ms)
            useful_ms += max(0.0, min(span.ended_ms, window.end_ms) - began_ms)
    return 100.0 * useful_ms / (window.slots * (window.end_ms - window.begin_ms))


def recovery_s(
    outcomes: Iterable[JobOutcome], targets_ms: dict[str, float], burst_end_ms: float
) -> float:
    """Return how long after a burst the last job was submitted that missed its target."""
    last_ms = burst_end_ms
    for outcome in outcomes:
        target_ms = targets_ms[outcome.job.job_class]
        missed = not outcome.met_target(target_ms) and not outcome.cancelled
        # Jobs with little slack may miss their targets without the burst as well.
        if missed and outcome.ideal_ms <= target_ms / 2:
            last_ms = max(last_ms, outcome.sent_ms)
    return (last_ms - burst_end_ms) / 1000
