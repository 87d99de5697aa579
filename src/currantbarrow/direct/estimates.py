"""Learn how long the tasks of a queue take, and correct what callers declare."""

from __future__ import annotations

import math

__all__ = ["RunTimeEstimator"]

# The weight of one more run; some fifty runs make up the memory of a queue.
LEARNING_RATE = 0.02
# Declared times are off by some 40 %, and runs of one queue differ by as much.
DECLARED_WEIGHT = 0.5
MIN_RUN_MS = 1.0


class RunTimeEstimator:
    """Keep the geometric mean of each queue's run times on a worker of common speed."""

    __slots__ = ("_log_mean", "_log_ratio")

    def __init__(self) -> None:
        self._log_mean: dict[str, float] = {}
        self._log_ratio: dict[str, float] = {}

    def record_run(self, queue: str, declared_ms: float, ran_ms: float) -> None:
        """Take in one run that ended well."""
        log_ran = math.log(max(MIN_RUN_MS, ran_ms))
        self._update_average(self._log_mean, queue, log_ran)
        if declared_ms > 0:
            self._update_average(self._log_ratio, queue, log_ran - math.log(declared_ms))

    def expected_ms(self, queue: str, declared_ms: float) -> float:
        """Return how long a task is expected to run."""
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
