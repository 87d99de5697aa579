"""Decide when to retry task starts that a worker refused."""

from __future__ import annotations

import random

from currantbarrow.policy.types import RetryPolicy
from currantbarrow.protocol import RefusedReason

__all__ = ["create_backoff_retry", "create_fixed_retry"]

FIXED_DELAY_MS = 50.0
BACKOFF_BASE_MS = 4.0
MAX_BACKOFF_MS = 500.0
MAX_ATTEMPTS = 12


class FixedRetry:
    """Retry after a fixed delay, without limit; a baseline for benchmarks."""

    __slots__ = ()

    def delay_ms(self, reason: RefusedReason, attempt: int, now_ms: float) -> float | None:
        """Return the fixed delay."""
        return FIXED_DELAY_MS


class BackoffRetry:
    """Retry with exponential backoff and full jitter, up to MAX_ATTEMPTS."""

    __slots__ = ("_rng",)

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    def delay_ms(self, reason: RefusedReason, attempt: int, now_ms: float) -> float | None:
        """Return the delay before the next attempt, or None to stop retrying."""
        if reason is RefusedReason.TOO_LARGE or attempt > MAX_ATTEMPTS:
            return None
        if attempt <= 1:
            # A refusal carries the worker's current load, so the first retry can go to another
            # worker at once.
            return 0.0
        return self._rng.uniform(0, min(BACKOFF_BASE_MS * 2**attempt, MAX_BACKOFF_MS))


def create_fixed_retry() -> RetryPolicy:
    """Return the baseline with a fixed delay."""
    return FixedRetry()


def create_backoff_retry(rng: random.Random) -> RetryPolicy:
    """Return the retry policy used in production."""
    return BackoffRetry(rng)
