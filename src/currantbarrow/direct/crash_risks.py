"""Track what the crashes of workers mean for the jobs and queues of this entry."""

from __future__ import annotations

from currantbarrow.direct.containment import Containment, QueueLoads, choose_cell
from currantbarrow.direct.crash_history import (
    UNCERTAIN_LIMIT,
    UNCERTAIN_MS,
    CrashHistory,
    Task,
    Verdict,
)
from currantbarrow.direct.fleet import FleetCapacity, SideFleet
from currantbarrow.direct.job import JobTask, OpenJob
from currantbarrow.direct.spread import can_be_spread
from currantbarrow.observe import logger
from currantbarrow.protocol.direct import CrashRow
from currantbarrow.types import Clock, Metrics

__all__ = ["CrashRisks"]


class CrashRisks:
    """Decide which jobs are given up, which queues are confined, and which tasks are suspect."""

    def __init__(self, clock: Clock, metrics: Metrics) -> None:
        self.fleet: SideFleet | None = None
        # Including this one.
        self.entry_count = 1
        self._clock = clock
        self._metrics = metrics
        self._history = CrashHistory()
        self._containment = Containment()
        self._loads = QueueLoads()

    def record_crash(self, row: CrashRow, address: str) -> dict[str, Verdict]:
        """Record the crash of a worker; return the verdicts on the jobs that are given up."""
        now_ms = self._clock.monotonic_ms()
        crash = self._history.record(row, address, now_ms)
        if crash is None:
            return {}
        self._metrics.incr("entry.worker_crashed")
        jobs = sorted({each.job for each in row.suspects})
        logger.info(
            "crash of worker reported",
            extra={
                "worker": row.worker,
                "age_ms": round(row.age_ms),
                "blames": crash.blames,
                "jobs": " ".join(jobs),
            },
        )
        confined = self._containment.record(crash, now_ms)
        verdicts = {}
        for job in jobs:
            verdict = self._history.verdict(job)
            if verdict is None:
                continue
            verdicts[job] = verdict
            if crash.blames and self._containment.confine(verdict.queue, crash, now_ms):
                confined.append(verdict.queue)
        for queue in confined:
            self._metrics.incr("entry.queue_confined")
            logger.info("queue confined", extra={"queue": queue, "worker": row.worker})
        return verdicts

    def record_submission(self, job: OpenJob) -> None:
        """Record a submitted job, as a part of its queue's load."""
        now_ms = self._clock.monotonic_ms()
        self._loads.record(job.queue.name, job.waiting_core_ms(), now_ms)

    def expire(self) -> None:
        """Forget old crashes, and end confinements under which no worker has crashed lately."""
        now_ms = self._clock.monotonic_ms()
        self._history.expire(now_ms)
        for queue in self._containment.release(now_ms):
            logger.info("queue no longer confined", extra={"queue": queue})
        self._metrics.gauge("entry.queues_confined", len(self._containment.confined(now_ms)))

    # Jobs and tasks.

    def verdict(self, job: str) -> Verdict | None:
        """Return why a job is given up, or None if it is not."""
        return self._history.verdict(job)

    def has_crashes(self) -> bool:
        """Return whether any worker has crashed recently."""
        return not self._history.is_empty

    def suspected_ms(self, task: Task) -> float | None:
        """Return when the last crash was that a task may well have caused, or None."""
        return self._history.suspected_ms(task)

    def crashed_hosts(self, job: str) -> frozenset[str]:
        """Return the side processes whose workers crashed while they ran a job."""
        return self._history.hosts(job)

    def must_wait(self, job: OpenJob, task: JobTask) -> bool:
        """Return whether a task has to wait for workers that may have crashed under it."""
        now_ms = self._clock.monotonic_ms()
        uncertain = {
            instance
            for instance, lost_ms in task.lost_ms.items()
            if now_ms - lost_ms < UNCERTAIN_MS and not self._history.is_known(instance)
        }
        crashes = self._history.count((job.spec.job_id, task.step, task.index))
        if not uncertain or crashes + len(uncertain) < UNCERTAIN_LIMIT or self.fleet is None:
            return False
        uncertain -= self.fleet.accepting_instances()
        return bool(uncertain) and crashes + len(uncertain) >= UNCERTAIN_LIMIT

    # Queues and their cells.

    def is_confined(self, queue: str) -> bool:
        """Return whether tasks of a queue may run only in its cell."""
        return self._containment.is_confined(queue, self._clock.monotonic_ms())

    def cells(self, service: str) -> dict[str, frozenset[str]]:
        """Return the confined queues, and the side processes that each may use."""
        confined = self._containment.confined(self._clock.monotonic_ms())
        return {queue: self.cell(queue, service) for queue in confined}

    def cell(self, queue: str, service: str) -> frozenset[str]:
        """Return the side processes that a queue may use while it is confined."""
        if self.fleet is None:
            return frozenset()
        now_ms = self._clock.monotonic_ms()
        cores = sum(state.capacity_cpu_millis / 1000 for state in self.fleet.worker_states(service))
        # The other entries are taken to receive as much.
        load = self._loads.cores(queue, now_ms) * self.entry_count
        return choose_cell(queue, self.fleet.addresses(service), load / cores if cores else 0.0)

    def cell_capacity(self, job: OpenJob) -> FleetCapacity | None:
        """Return the capacity of the cell of a job's queue, or None if the job can't run there."""
        assert self.fleet is not None
        service = job.queue.service
        cell = self.cell(job.queue.name, service)
        capacity = self.fleet.capacity(service, cell)
        states = [each for each in self.fleet.worker_states(service, cell) if each.accepting]
        largest = capacity.largest
        if not states or largest is None:
            return None
        fits = all(largest.covers(step.resources) for step in job.spec.steps)
        return capacity if fits and can_be_spread(job.spec, states) else None
