"""Judge workers by how their tasks end."""

from __future__ import annotations

from currantbarrow.policy.types import WorkerHealth

__all__ = ["create_trusting_health"]


class TrustingHealth:
    """Use every worker, whatever happens on it."""

    __slots__ = ()

    def ended(self, worker: str, customer: str, job_class: str, ok: bool, now_ms: float) -> None:
        """Take no note."""

    def usable(self, worker: str, now_ms: float) -> bool:
        """Allow every worker."""
        return True


def create_trusting_health() -> WorkerHealth:
    """Return the baseline that ejects nobody."""
    return TrustingHealth()
