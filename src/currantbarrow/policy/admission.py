"""Decide which jobs are let in."""

from __future__ import annotations

from currantbarrow.policy.types import Admission, AdmissionQuestion, Refusal

__all__ = ["create_backlog_admission", "create_open_admission"]

NO_WORKERS_RETRY_MS = 2000
# A customer whose share of the backlog would take this many targets to work off is refused.
BACKLOG_TARGETS = 8.0
LEAST_RETRY_MS = 500


class OpenAdmission:
    """Let every job in."""

    __slots__ = ()

    def decide(self, question: AdmissionQuestion) -> Refusal | None:
        """Refuse nothing."""
        return None


class BacklogAdmission:
    """Refuse jobs that can never run, and customers whose own backlog is too long."""

    __slots__ = ()

    def decide(self, question: AdmissionQuestion) -> Refusal | None:
        """Return a refusal, None to let the job in."""
        slots = sum(worker.slots for worker in question.workers)
        if slots == 0:
            return Refusal("no_workers", "no worker is available", NO_WORKERS_RETRY_MS)
        largest = max(worker.slots for worker in question.workers)
        if question.largest_task_slots > largest:
            wanted = question.largest_task_slots
            reason = f"a task wants {wanted} slots, the largest worker has {largest}"
            return Refusal("never_runs", reason)
        wait_ms = question.queue.backlog_ms(question.customer) / slots
        if wait_ms > BACKLOG_TARGETS * question.target_ms:
            reason = "the customer's own waiting work is too much to meet the target"
            return Refusal("overloaded", reason, max(LEAST_RETRY_MS, int(wait_ms)))
        return None


def create_open_admission() -> Admission:
    """Return the baseline that lets everything in."""
    return OpenAdmission()


def create_backlog_admission() -> Admission:
    """Return the admission that the daemons use."""
    return BacklogAdmission()
