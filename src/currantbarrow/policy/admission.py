"""Decide which jobs are let in."""

from __future__ import annotations

from currantbarrow.policy.types import Admission, AdmissionRequest, Refusal

__all__ = ["create_target_admission", "create_unlimited_admission"]

NO_WORKERS_RETRY_AFTER_MS = 2000
MIN_RETRY_AFTER_MS = 100
# A job is let in while it is expected to end within so many targets.


MAX_EXPECTED_TARGETS = 1.0


class UnlimitedAdmission:
    """Let every job in."""

    __slots__ = ()

    def decide(self, request: AdmissionRequest) -> Refusal | None:
        """Refuse nothing."""
        return None


class TargetAdmission:
    """Refuse jobs that can never run, and those that could not end in useful time."""

    __slots__ = ()

    def decide(self, request: AdmissionRequest) -> Refusal | None:
        """Return a refusal, None to let the job in."""
        slots = sum(worker.slots for worker in request.workers)
        if slots == 0:
            return Refusal("no_workers", "no worker is available", NO_WORKERS_RETRY_AFTER_MS)
        largest = max(worker.slots for worker in request.workers)
        if request.largest_task_slots > largest:
            wanted = request.largest_task_slots
            reason = f"a task wants {wanted} slots, the largest worker has {largest}"
            return Refusal("never_runs", reason)
        if not len(request.queue):
            return None
        return self._check_wait(request, slots)

    @staticmethod
    def _check_wait(request: AdmissionRequest, slots: int) -> Refusal | None:
        """Refuse a job when the work before it takes too long at this owner's rate."""
        work_ms = sum(request.task_costs_ms)
        completion_work_ms = request.queue.completion_work_ms(
            request.customer, request.target_ms, work_ms
        )
        own_rate = sum(worker.own_slots + max(0, worker.free_slots) for worker in request.workers)
        rate = max(own_rate, slots / request.owners)
        # The job cannot be faster than its own work is on all slots, so the target of a
        # class that never meets it is not held against its jobs.
        unshared_run_ms = max(*request.task_costs_ms, work_ms / slots)
        latest_ms = MAX_EXPECTED_TARGETS * max(request.target_ms, unshared_run_ms)
        excess_ms = completion_work_ms / rate - latest_ms
        if excess_ms <= 0:
            return None
        reason = "the customer's waiting work leaves no room to meet the target"
        return Refusal("overloaded", reason, max(MIN_RETRY_AFTER_MS, int(excess_ms)))


def create_unlimited_admission() -> Admission:
    """Return the baseline that lets everything in."""
    return UnlimitedAdmission()


def create_target_admission() -> Admission:
    """Return the admission that the daemons use."""
    return TargetAdmission()
