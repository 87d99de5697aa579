"""Decide which jobs are let in."""

from __future__ import annotations

from currantbarrow.policy.types import Admission, AdmissionQuestion, Refusal

__all__ = ["create_target_admission", "create_open_admission"]

NO_WORKERS_RETRY_MS = 2000
LEAST_RETRY_MS = 100
# A job is let in while it is expected to end within so many targets.


EXPECTED_TARGETS = 1.0


class OpenAdmission:
    """Let every job in."""

    __slots__ = ()

    def decide(self, question: AdmissionQuestion) -> Refusal | None:
        """Refuse nothing."""
        return None


class TargetAdmission:
    """Refuse jobs that can never run, and those that could not end in useful time."""

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
        if not len(question.queue):
            return None
        return self._check_wait(question, slots)

    @staticmethod
    def _check_wait(question: AdmissionQuestion, slots: int) -> Refusal | None:
        """Refuse a job when the work before it takes too long at this owner's rate."""
        work_ms = sum(question.task_costs_ms)
        before_ms = question.queue.work_before_ms(question.customer, question.target_ms, work_ms)
        mine = sum(worker.outstanding + max(0, worker.free) for worker in question.workers)
        rate = max(mine, slots / question.owners)
        # The job cannot be faster than its own work is on all slots, so the target of a
        # class that never meets it is not held against its jobs.
        alone_ms = max(*question.task_costs_ms, work_ms / slots)
        useful_ms = EXPECTED_TARGETS * max(question.target_ms, alone_ms)
        late_ms = before_ms / rate - useful_ms
        if late_ms <= 0:
            return None
        reason = "the customer's waiting work leaves no room to meet the target"
        return Refusal("overloaded", reason, max(LEAST_RETRY_MS, int(late_ms)))


def create_open_admission() -> Admission:
    """Return the baseline that lets everything in."""
    return OpenAdmission()


def create_target_admission() -> Admission:
    """Return the admission that the daemons use."""
    return TargetAdmission()
