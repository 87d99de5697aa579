"""Estimate task run times from completed runs and the times declared by callers."""

from __future__ import annotations

import math

__all__ = ["RunTimeEstimator"]

# The weight of a new run in the moving averages, which cover about fifty runs of a queue.
LEARNING_RATE = 0.02
# Declared times are wrong by about 40 %, and run times within a queue vary by as much, so both
# have equal weight.
DECLARED_WEIGHT = 0.5
MIN_RUN_MS = 1.0


class RunTimeEstimator:
    """Estimate run times on a worker of average speed by geometric means per queue."""

    __slots__ = ("_log_mean", "_log_ratio")

    def __init__(self) -> None:
        self._log_mean: dict[str, float] = {}
        self._log_ratio: dict[str, float] = {}

    def record_run(self, queue: str, declared_ms: float, ran_ms: float) -> None:
        """Record the run time of a successful run."""
        log_ran = math.log(max(MIN_RUN_MS, ran_ms))
        self._update_average(self._log_mean, queue, log_ran)
        if declared_ms > 0:
            self._update_average(self._log_ratio, queue, log_ran - math.log(declared_ms))

    def expected_ms(self, queue: str, declared_ms: float) -> float:
        """Return the expected run time of a task; a declared time of 0 means none."""
        mean = self._log_mean.get(queue)
        if declared_ms <= 0:
            return math.exp(mean) if mean is not None else MIN_RUN_MS
        declared = math.log(declared_ms) + self._log_ratio.get(queue, 0.0)
        if mean is None:
            return math.exp(declared)
        return math.exp(DECLARED_WEIGHT * declared + (1 - DECLARED_WEIGHT) * mean)

    @staticmethod
    def _update_average(averages: dict[str, float], queue: str, value: float) -> None:
        previous = averages.get(queue)
        averages[queue] = (
            value if previous is None else previous + LEARNING_RATE * (value - previous)
        )
