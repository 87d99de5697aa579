"""Detect and eject unhealthy workers by the outcomes of their tasks."""

from __future__ import annotations

import math

from currantbarrow.policy.types import WorkerHealthPolicy

__all__ = ["create_cusum_health", "create_no_ejection"]

# Assumed failure rate of a broken worker.
BROKEN_FAILURE_RATE = 0.9
# Cumulative log-likelihood ratio at which a worker is ejected.
EJECTION_THRESHOLD = 6.0
MAX_EJECTED_SHARE = 0.34
MIN_PROBE_DELAY_MS = 1000.0
MAX_PROBE_DELAY_MS = 30_000.0
PROBES_TO_READMIT = 2
# Outcome counts of a group are halved above this number, so that recent outcomes weigh more.
MAX_GROUP_OUTCOMES = 200.0
# Halved failure counts of a worker are dropped at or below this number.
MIN_WORKER_FAILURES = 0.4

# Customer and class of a task.
TaskGroup = tuple[str, str]


class NoEjection:
    """Treat every worker as healthy; a baseline for benchmarks."""

    __slots__ = ()

    def record_start(self, worker: str, now_ms: float) -> None:
        """Do nothing."""

    def record_end(
        self, worker: str, customer: str, job_class: str, ok: bool, now_ms: float
    ) -> None:
        """Do nothing."""

    def is_usable(self, worker: str, now_ms: float) -> bool:
        """Return True: every worker is usable."""
        return True


class _GroupOutcomes:
    """Count outcomes for the tasks of one customer and class, and failures per worker."""

    __slots__ = ("failures", "failures_by_worker", "successes")

    def __init__(self) -> None:
        self.successes = 0.0
        self.failures = 0.0
        self.failures_by_worker: dict[str, float] = {}

    def failure_rate_elsewhere(self, worker: str) -> float:
        """Return the failure rate without this worker's failures, with a uniform prior (1/2)."""
        failures = self.failures - self.failures_by_worker.get(worker, 0.0)
        return (failures + 1.0) / (failures + self.successes + 2.0)

    def record(self, worker: str, ok: bool) -> None:
        """Count one outcome."""
        if ok:
            self.successes += 1
        else:
            self.failures += 1
            self.failures_by_worker[worker] = self.failures_by_worker.get(worker, 0.0) + 1
        if self.successes + self.failures > MAX_GROUP_OUTCOMES:
            self._halve()

    def _halve(self) -> None:
        self.successes /= 2
        self.failures /= 2
        halved = {worker: count / 2 for worker, count in self.failures_by_worker.items()}
        self.failures_by_worker = {
            worker: count for worker, count in halved.items() if count > MIN_WORKER_FAILURES
        }


class _WorkerRecord:
    """Track the CUSUM statistic and the ejection state of one worker."""

    __slots__ = ("cusum", "ejected", "probe_at_ms", "probe_delay_ms", "probes_passed", "probing")

    def __init__(self) -> None:
        self.cusum = 0.0
        self.ejected = False
        self.probe_at_ms = 0.0
        self.probe_delay_ms = MIN_PROBE_DELAY_MS
        self.probes_passed = 0
        self.probing = False


class CusumHealth:
    """Eject workers that fail tasks which succeed elsewhere; readmit them after successful probes.

    Each outcome adds a log-likelihood ratio to the worker's cumulative sum (CUSUM): how likely it
    is on a broken worker, against the failure rate of the same customer and class on other workers.
    A bad customer or class fails on all workers, so it does not count against any of them.
    """

    __slots__ = ("_groups", "_workers")

    def __init__(self) -> None:
        self._groups: dict[TaskGroup, _GroupOutcomes] = {}
        self._workers: dict[str, _WorkerRecord] = {}

    def record_start(self, worker: str, now_ms: float) -> None:
        """Record a started task; an ejected worker gets one task per probe."""
        record = self._workers.get(worker)
        if record is not None and record.ejected:
            record.probing = True
            record.probe_at_ms = now_ms + record.probe_delay_ms

    def record_end(
        self, worker: str, customer: str, job_class: str, ok: bool, now_ms: float
    ) -> None:
        """Update a worker's statistic with the outcome of one task."""
        group = self._groups.setdefault((customer, job_class), _GroupOutcomes())
        record = self._workers.setdefault(worker, _WorkerRecord())
        expected = group.failure_rate_elsewhere(worker)
        group.record(worker, ok)
        if record.ejected:
            # Without an open probe, the outcome is of a task started before the ejection.
            if record.probing:
                self._record_probe(record, ok, now_ms)
            return
        if ok:
            change = math.log((1 - BROKEN_FAILURE_RATE) / (1 - expected))
        else:
            change = math.log(BROKEN_FAILURE_RATE / expected)
        # Clamped at zero, so that past successes do not delay the detection of a fault.
        record.cusum = max(0.0, record.cusum + change)
        if record.cusum >= EJECTION_THRESHOLD and self._can_eject():
            record.ejected = True
            record.probes_passed = 0
            record.probe_at_ms = now_ms + record.probe_delay_ms

    def is_usable(self, worker: str, now_ms: float) -> bool:
        """Return whether a worker may be given a task now."""
        record = self._workers.get(worker)
        return record is None or not record.ejected or now_ms >= record.probe_at_ms

    def _can_eject(self) -> bool:
        ejected = sum(record.ejected for record in self._workers.values())
        return ejected + 1 <= max(1.0, MAX_EJECTED_SHARE * len(self._workers))

    @staticmethod
    def _record_probe(record: _WorkerRecord, ok: bool, now_ms: float) -> None:
        record.probing = False
        if not ok:
            record.probes_passed = 0
            record.probe_delay_ms = min(record.probe_delay_ms * 2, MAX_PROBE_DELAY_MS)
            record.probe_at_ms = now_ms + record.probe_delay_ms
            return
        record.probes_passed += 1
        record.probe_at_ms = now_ms
        if record.probes_passed >= PROBES_TO_READMIT:
            record.ejected = False
            record.cusum = 0.0
            record.probe_delay_ms = MIN_PROBE_DELAY_MS


def create_no_ejection() -> WorkerHealthPolicy:
    """Return the baseline that ejects no worker."""
    return NoEjection()


def create_cusum_health() -> WorkerHealthPolicy:
    """Return the health policy used in production."""
    return CusumHealth()
