"""Decide at the door whether a job can be served.

Load pattern: a burst beyond what the fleet can carry. What is refused at once costs its caller
nothing but the call, and tells when to come back; what waits in vain costs the wait as well.
"""

from __future__ import annotations

import msgspec

__all__ = ["Backlog", "Refusal", "admit"]

# A wait is known only roughly, so a job is let in that seems to miss its time by this share.
WAIT_MARGIN = 1.0
# A caller is asked to stay away for no less and no more than this.
SHORTEST_RETRY_S = 1
LONGEST_RETRY_S = 30


class Backlog(msgspec.Struct, frozen=True):
    """Describe what stands before a job."""

    # Core-milliseconds of tasks that wait and go first.
    ahead_core_ms: float
    # Core-milliseconds of tasks that wait here in all.
    total_core_ms: float
    # Cores that this entry may count on.
    cores: float


class Refusal(msgspec.Struct, frozen=True):
    """Tell why a job is not taken, and when to come back."""

    reason: str
    retry_after_s: int
    wait_ms: float


def admit(backlog: Backlog, slack_ms: float) -> Refusal | None:
    """Return a refusal when the wait is longer than a job's slack."""
    if backlog.cores <= 0:
        return Refusal("no_worker", SHORTEST_RETRY_S, 0.0)
    wait_ms = backlog.ahead_core_ms / backlog.cores
    if wait_ms <= max(0.0, slack_ms) * WAIT_MARGIN:
        return None
    drain_s = round(backlog.total_core_ms / backlog.cores / 1000)
    return Refusal("overload", min(LONGEST_RETRY_S, max(SHORTEST_RETRY_S, drain_s)), wait_ms)
