"""Decide which jobs are admitted."""

from __future__ import annotations

from currantbarrow.policy.types import Admission, AdmissionRequest, Refusal

__all__ = ["create_target_admission", "create_unlimited_admission"]

NO_WORKERS_RETRY_AFTER_MS = 2000
MIN_RETRY_AFTER_MS = 100
# A job is admitted while its expected response time is at most this multiple of its target.
MAX_EXPECTED_TARGETS = 1.0


class UnlimitedAdmission:
    """Admit every job; a baseline for benchmarks."""

    __slots__ = ()

    def decide(self, request: AdmissionRequest) -> Refusal | None:
        """Return None: nothing is refused."""
        return None


class TargetAdmission:
    """Refuse jobs that can never run, and jobs that are expected to miss their target."""

    __slots__ = ()

    def decide(self, request: AdmissionRequest) -> Refusal | None:
        """Return a refusal, or None to admit the job."""
        slots = sum(worker.slots for worker in request.workers)
        if slots == 0:
            return Refusal("no_workers", "no worker is available", NO_WORKERS_RETRY_AFTER_MS)
        largest = max(worker.slots for worker in request.workers)
        if request.largest_task_slots > largest:
            required = request.largest_task_slots
            reason = f"a task wants {required} slots, the largest worker has {largest}"
            return Refusal("never_runs", reason)
        if not len(request.queue):
            return None
        return self._check_wait(request, slots)

    @staticmethod
    def _check_wait(request: AdmissionRequest, slots: int) -> Refusal | None:
        """Refuse a job whose queueing delay at this owner's service rate is too long."""
        work_ms = sum(request.task_costs_ms)
        work_until_completion_ms = request.queue.work_until_completion_ms(
            request.customer, request.target_ms, work_ms
        )
        own_rate = sum(worker.own_slots + max(0, worker.free_slots) for worker in request.workers)
        rate = max(own_rate, slots / request.entry_count)
        # A job cannot end sooner than its own work takes on all slots. Comparing with that time
        # keeps jobs of a class whose target cannot be met from always being refused.
        unshared_run_ms = max(*request.task_costs_ms, work_ms / slots)
        latest_ms = MAX_EXPECTED_TARGETS * max(request.target_ms, unshared_run_ms)
        excess_ms = work_until_completion_ms / rate - latest_ms
        if excess_ms <= 0:
            return None
        reason = "the customer's waiting work leaves no room to meet the target"
        return Refusal("overloaded", reason, max(MIN_RETRY_AFTER_MS, int(excess_ms)))


def create_unlimited_admission() -> Admission:
    """Return the baseline that admits every job."""
    return UnlimitedAdmission()


def create_target_admission() -> Admission:
    """Return the admission control used in production."""
    return TargetAdmission()
