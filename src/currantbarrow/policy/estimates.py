"""Estimate task run times, and set the timeout of stragglers."""

from __future__ import annotations

import collections
import statistics

from currantbarrow.policy.types import Estimator, StragglerPolicy

__all__ = [
    "create_declared_estimator",
    "create_mean_estimator",
    "create_median_estimator",
    "create_no_straggler_timeout",
    "create_straggler_timeout",
]

DEFAULT_RUN_MS = 200.0
SMOOTHING_FACTOR = 0.1
MEDIAN_WINDOW_RUNS = 31
STRAGGLER_FACTOR = 50.0
MIN_STRAGGLER_TIMEOUT_MS = 20_000.0


class DeclaredEstimator:
    """Use the run time that the caller declared."""

    __slots__ = ()

    def estimate_ms(self, customer: str, job_class: str, declared_ms: float) -> float:
        """Return the declared run time."""
        return declared_ms or DEFAULT_RUN_MS

    def record(self, customer: str, job_class: str, declared_ms: float, run_ms: float) -> None:
        """Ignore the measured run time."""


class MeanEstimator:
    """Estimate with an exponential moving average per customer and class."""

    __slots__ = ("_means_ms",)

    def __init__(self) -> None:
        self._means_ms: dict[tuple[str, str], float] = {}

    def estimate_ms(self, customer: str, job_class: str, declared_ms: float) -> float:
        """Return the moving average, or the declared run time before the first measurement."""
        return self._means_ms.get((customer, job_class), declared_ms or DEFAULT_RUN_MS)

    def record(self, customer: str, job_class: str, declared_ms: float, run_ms: float) -> None:
        """Update the moving average with a measured run time."""
        key = (customer, job_class)
        mean_ms = self._means_ms.get(key, run_ms)
        self._means_ms[key] = mean_ms + SMOOTHING_FACTOR * (run_ms - mean_ms)


class _RecentRuns:
    """Store the most recent run times of one group of tasks, with their cached median."""

    __slots__ = ("median_ms", "runs_ms")

    def __init__(self) -> None:
        self.runs_ms: collections.deque[float] = collections.deque(maxlen=MEDIAN_WINDOW_RUNS)
        self.median_ms: float | None = None


class MedianEstimator:
    """Estimate with the median of recent run times, which is robust to a few long tasks."""

    __slots__ = ("_by_class", "_by_customer")

    def __init__(self) -> None:
        self._by_customer: dict[tuple[str, str], _RecentRuns] = {}
        self._by_class: dict[str, _RecentRuns] = {}

    def estimate_ms(self, customer: str, job_class: str, declared_ms: float) -> float:
        """Return the customer's median for the class, else the class's, else the declared time."""
        for runs in (self._by_customer.get((customer, job_class)), self._by_class.get(job_class)):
            if runs is not None:
                if runs.median_ms is None:
                    runs.median_ms = statistics.median(runs.runs_ms)
                return runs.median_ms
        return declared_ms or DEFAULT_RUN_MS

    def record(self, customer: str, job_class: str, declared_ms: float, run_ms: float) -> None:
        """Record a measured run time for the customer and for the class."""
        for runs in (
            self._by_customer.setdefault((customer, job_class), _RecentRuns()),
            self._by_class.setdefault(job_class, _RecentRuns()),
        ):
            runs.runs_ms.append(run_ms)
            runs.median_ms = None


class NoStragglerTimeout:
    """Never stop a task; a baseline for benchmarks."""

    __slots__ = ()

    def stop_after_ms(self, customer: str, job_class: str, estimate_ms: float) -> float:
        """Return 0: no timeout."""
        return 0.0


class StragglerTimeout:
    """Stop tasks that run far longer than estimated; a stopped task is not retried."""

    __slots__ = ()

    def stop_after_ms(self, customer: str, job_class: str, estimate_ms: float) -> float:
        """Return a timeout well above the run time of ordinary long tasks."""
        return max(STRAGGLER_FACTOR * estimate_ms, MIN_STRAGGLER_TIMEOUT_MS)


def create_declared_estimator() -> Estimator:
    """Return the baseline that uses declared run times."""
    return DeclaredEstimator()


def create_mean_estimator() -> Estimator:
    """Return the baseline that uses a moving average."""
    return MeanEstimator()


def create_median_estimator() -> Estimator:
    """Return the estimator used in production."""
    return MedianEstimator()


def create_no_straggler_timeout() -> StragglerPolicy:
    """Return the baseline without a timeout."""
    return NoStragglerTimeout()


def create_straggler_timeout() -> StragglerPolicy:
    """Return the straggler policy used in production."""
    return StragglerTimeout()
