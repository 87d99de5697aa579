"""Decide at the door whether a job can be served.

Load pattern: a burst beyond what the fleet can carry. What is refused at once costs its caller
nothing but the call, and tells when to come back; what waits in vain costs the wait as well.

How long a job waits depends on how fast room is given back, not on how long those before it run:
four long tasks take the next four places, and leave the fifth to whoever follows. What comes later
and is more urgent is not seen there; that it holds up a queue shows in the oldest job of the queue.
"""

from __future__ import annotations

import msgspec

__all__ = ["Backlog", "ReleaseRate", "Refusal", "check_admission"]

# A job begins in parts while it waits, so only so much of its own room has to be waited for.
OWN_CORES_SHARE = 0.5
# Jobs of a queue begin in the order of their coming, so a new one waits for longer than the oldest
# has until now; while a burst lasts, by about half.
WAIT_GROWTH_FACTOR = 1.5
# A caller is asked to stay away for no less and no more than this.
MIN_RETRY_S = 1
MAX_RETRY_S = 30
# The weight of one more run in how long runs hold their room; some fifty make up the memory.
LEARNING_RATE = 0.02
# What runs are taken to last before any has ended.
INITIAL_RUN_MS = 500.0


class Backlog(msgspec.Struct, frozen=True):
    """Describe what stands before a job."""

    # Cores of tasks that wait and go first.
    ahead_cores: float
    # Cores that the job itself needs.
    own_cores: float
    # Cores that are free now.
    free_cores: float
    # Core-milliseconds of all tasks that wait here.
    total_core_ms: float
    # Cores that this entry may count on.
    cores: float
    # Cores a second that runs give back to this entry while the fleet is full.
    released_per_s: float
    # How long the oldest job of the same queue has waited that goes first and has not begun. Late
    # ones go last, so that they wait for long tells nothing.
    oldest_ms: float = 0.0

    def wait_ms(self) -> float:
        """Return how long the job is expected to wait for room."""
        missing_cores = self.ahead_cores + OWN_CORES_SHARE * self.own_cores - self.free_cores
        return max(
            max(0.0, missing_cores) / self.released_per_s * 1000,
            WAIT_GROWTH_FACTOR * self.oldest_ms,
        )

    def retry_after_s(self) -> int:
        """Return when what waits now will have been served."""
        drain_s = round(self.total_core_ms / self.cores / 1000) if self.cores > 0 else 0
        return min(MAX_RETRY_S, max(MIN_RETRY_S, drain_s))


class Refusal(msgspec.Struct, frozen=True):
    """Tell why a job is not taken, and when to come back."""

    reason: str
    retry_after_s: int
    wait_ms: float
    backlog: Backlog | None = None


class ReleaseRate:
    """Learn how fast a full fleet gives room back."""

    __slots__ = ("_core_ms", "_cores")

    def __init__(self) -> None:
        self._cores = 1.0
        self._core_ms = INITIAL_RUN_MS

    def record_run(self, cores: float, ran_ms: float) -> None:
        """Take in a run that has ended."""
        self._cores += LEARNING_RATE * (cores - self._cores)
        self._core_ms += LEARNING_RATE * (cores * ran_ms - self._core_ms)

    def per_s(self, cores: float) -> float:
        """Return how many of a number of busy cores are given back each second."""
        return cores * self._cores / self._core_ms * 1000


def check_admission(backlog: Backlog, slack_ms: float) -> Refusal | None:
    """Return a refusal when the wait is longer than a job's slack."""
    if backlog.cores <= 0:
        return Refusal("no_worker", MIN_RETRY_S, 0.0)
    wait_ms = backlog.wait_ms()
    if wait_ms <= max(0.0, slack_ms):
        return None
    return Refusal("overload", backlog.retry_after_s(), wait_ms, backlog)
