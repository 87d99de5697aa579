"""Estimate run times from declared and measured values."""

from __future__ import annotations

from currantbarrow.policy.types import Estimator, StragglerPolicy

__all__ = ["create_declared_estimator", "create_learning_estimator", "create_no_stragglers"]

DEFAULT_RUN_MS = 200.0
SMOOTHING = 0.1


class DeclaredEstimator:
    """Believe what the caller declared."""

    __slots__ = ()

    def estimate_ms(self, customer: str, job_class: str, declared_ms: float) -> float:
        """Return the declared run time."""
        return declared_ms or DEFAULT_RUN_MS

    def record(self, customer: str, job_class: str, declared_ms: float, run_ms: float) -> None:
        """Learn nothing."""


class LearningEstimator:
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
        self._means_ms[key] = mean_ms + SMOOTHING * (run_ms - mean_ms)


class NoStragglers:
    """Let every task run to its end."""

    __slots__ = ()

    def stop_after_ms(self, customer: str, job_class: str, estimate_ms: float) -> float:
        """Return no bound."""
        return 0.0


def create_declared_estimator() -> Estimator:
    """Return the baseline that believes what was declared."""
    return DeclaredEstimator()


def create_learning_estimator() -> Estimator:
    """Return the estimator that the daemons use."""
    return LearningEstimator()


def create_no_stragglers() -> StragglerPolicy:
    """Return the baseline that stops nothing."""
    return NoStragglers()
