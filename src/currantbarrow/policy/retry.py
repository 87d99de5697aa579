"""Decide about starts that were refused before they ran."""

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
    """Try again after a fixed delay, forever."""

    __slots__ = ()

    def delay_ms(self, reason: RefusedReason, attempt: int, now_ms: float) -> float | None:
        """Return the fixed delay."""
        return FIXED_DELAY_MS


class BackoffRetry:
    """Back off exponentially with full jitter, and give up in the end."""

    __slots__ = ("_rng",)

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    def delay_ms(self, reason: RefusedReason, attempt: int, now_ms: float) -> float | None:
        """Return how long to wait before the next attempt, None to give up."""
        if reason is RefusedReason.TOO_LARGE or attempt > MAX_ATTEMPTS:
            return None
        if attempt <= 1:
            # The refusal brought fresh load, so the first retry goes to another worker at once.
            return 0.0
        return self._rng.uniform(0, min(BACKOFF_BASE_MS * 2**attempt, MAX_BACKOFF_MS))


def create_fixed_retry() -> RetryPolicy:
    """Return the plain baseline."""
    return FixedRetry()


def create_backoff_retry(rng: random.Random) -> RetryPolicy:
    """Return the retry policy that the daemons use."""
    return BackoffRetry(rng)
