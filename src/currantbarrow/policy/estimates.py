"""Estimate run times from declared and measured values, and bound stragglers."""

from __future__ import annotations

import collections
import statistics

from currantbarrow.policy.types import Estimator, StragglerPolicy

__all__ = [
    "create_straggler_timeout",
    "create_declared_estimator",
    "create_mean_estimator",
    "create_median_estimator",
    "create_no_straggler_timeout",
]

DEFAULT_RUN_MS = 200.0
SMOOTHING_FACTOR = 0.1
MEDIAN_WINDOW_RUNS = 31
STRAGGLER_FACTOR = 50.0
MIN_STRAGGLER_TIMEOUT_MS = 20_000.0


class DeclaredEstimator:
    """Believe what the caller declared."""

    __slots__ = ()

    def estimate_ms(self, customer: str, job_class: str, declared_ms: float) -> float:
        """Return the declared run time."""
        return declared_ms or DEFAULT_RUN_MS

    def record(self, customer: str, job_class: str, declared_ms: float, run_ms: float) -> None:
        """Learn nothing."""


class MeanEstimator:
    """Average what was measured, per customer and class."""

    __slots__ = ("_means_ms",)

    def __init__(self) -> None:
        self._means_ms: dict[tuple[str, str], float] = {}

    def estimate_ms(self, customer: str, job_class: str, declared_ms: float) -> float:
        """Return the measured mean, and the declared run time until there is one."""
        return self._means_ms.get((customer, job_class), declared_ms or DEFAULT_RUN_MS)

    def record(self, customer: str, job_class: str, declared_ms: float, run_ms: float) -> None:
        """Move the mean towards a measured run time."""
        key = (customer, job_class)
        mean_ms = self._means_ms.get(key, run_ms)
        self._means_ms[key] = mean_ms + SMOOTHING_FACTOR * (run_ms - mean_ms)


class _RecentRuns:
    """Keep the latest run times of one kind and their median."""

    __slots__ = ("median_ms", "runs_ms")

    def __init__(self) -> None:
        self.runs_ms: collections.deque[float] = collections.deque(maxlen=MEDIAN_WINDOW_RUNS)
        self.median_ms: float | None = None


class MedianEstimator:
    """Take the median of what was measured lately, which a few long tasks don't move."""

    __slots__ = ("_by_class", "_by_customer")

    def __init__(self) -> None:
        self._by_customer: dict[tuple[str, str], _RecentRuns] = {}
        self._by_class: dict[str, _RecentRuns] = {}

    def estimate_ms(self, customer: str, job_class: str, declared_ms: float) -> float:
        """Return the customer's median in a class, else the class's, else what was declared."""
        for runs in (self._by_customer.get((customer, job_class)), self._by_class.get(job_class)):
            if runs is not None:
                if runs.median_ms is None:
                    runs.median_ms = statistics.median(runs.runs_ms)
                return runs.median_ms
        return declared_ms or DEFAULT_RUN_MS

    def record(self, customer: str, job_class: str, declared_ms: float, run_ms: float) -> None:
        """Keep a measured run time."""
        for runs in (
            self._by_customer.setdefault((customer, job_class), _RecentRuns()),
            self._by_class.setdefault(job_class, _RecentRuns()),
        ):
            runs.runs_ms.append(run_ms)
            runs.median_ms = None


class NoStragglerTimeout:
    """Let every task run to its end."""

    __slots__ = ()

    def stop_after_ms(self, customer: str, job_class: str, estimate_ms: float) -> float:
        """Return no bound."""
        return 0.0


class StragglerTimeout:
    """Stop tasks that run far longer than their kind; they are never started again."""

    __slots__ = ()

    def stop_after_ms(self, customer: str, job_class: str, estimate_ms: float) -> float:
        """Return a bound that no ordinary long task reaches."""
        return max(STRAGGLER_FACTOR * estimate_ms, MIN_STRAGGLER_TIMEOUT_MS)


def create_declared_estimator() -> Estimator:
    """Return the baseline that believes what was declared."""
    return DeclaredEstimator()


def create_mean_estimator() -> Estimator:
    """Return the baseline that averages."""
    return MeanEstimator()


def create_median_estimator() -> Estimator:
    """Return the estimator that the daemons use."""
    return MedianEstimator()


def create_no_straggler_timeout() -> StragglerPolicy:
    """Return the baseline that stops nothing."""
    return NoStragglerTimeout()


def create_straggler_timeout() -> StragglerPolicy:
    """Return the straggler policy that the daemons use."""
    return StragglerTimeout()
