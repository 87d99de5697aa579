"""Separate tasks that may crash their workers from other tasks in a dispatch pass."""

from __future__ import annotations

import msgspec

from currantbarrow.direct.candidates import WorkerCandidate
from currantbarrow.direct.crash_history import Task
from currantbarrow.direct.crash_risks import CrashRisks
from currantbarrow.direct.job import JobTask, OpenJob
from currantbarrow.direct.placement import TaskRequest
from currantbarrow.direct.worker import InstanceName

__all__ = ["TaskSeparation"]

# A task that may have crashed a worker waits so long for an idle one on another host, and for the
# whole cell to be up. After that it waits at one that is busy, where nothing else is started
# meanwhile.
IDLE_WAIT_MS = 5000.0


class TaskSeparation:
    """Limit the workers of one service that each task may be placed on in a dispatch pass."""

    __slots__ = (
        "_candidates",
        "_cells",
        "_risks",
        "_with_new_suspects",
        "_with_orders",
        "_with_suspects",
    )

    def __init__(self, service: str, candidates: list[WorkerCandidate], risks: CrashRisks) -> None:
        self._candidates = candidates
        self._risks = risks
        # The side processes that each confined queue may use.
        self._cells = risks.cells(service)
        # Workers on which this entry has ordered a suspect, that is a task that may well crash its
        # worker.
        self._with_suspects = {
            each.offer.instance
            for each in candidates
            if risks.has_crashes() and any(map(self._is_suspected, each.handle.ordered_tasks))
        }
        # Workers that got a suspect, or any task, in this pass.
        self._with_new_suspects: set[InstanceName] = set()
        self._with_orders: set[InstanceName] = set()

    def is_confined(self, job: OpenJob) -> bool:
        """Return whether the job's tasks may run only in the cell of its queue."""
        return job.queue.name in self._cells

    def is_suspect(self, job: OpenJob, task: JobTask) -> bool:
        """Return whether a task may well crash its worker."""
        return self._is_suspected((job.spec.job_id, task.step, task.index))

    def limit(
        self, request: TaskRequest, job: OpenJob, task: JobTask, now_ms: float
    ) -> TaskRequest:
        """Return a request with the workers that the task may not, or should not, be placed on."""
        suspected_ms = self._risks.suspected_ms((job.spec.job_id, task.step, task.index))
        if suspected_ms is not None:
            return self._isolate(request, job, now_ms - suspected_ms)
        if not self._cells and not self._with_suspects:
            return request
        excluded = request.excluded | self._with_new_suspects
        others = dict(self._cells)
        if self.is_confined(job):
            excluded |= self._workers(others.pop(job.queue.name), outside=True)
        # As long as the rest has room.
        avoid = request.avoid | self._with_suspects
        avoid |= self._workers(frozenset[str]().union(*others.values()))
        return msgspec.structs.replace(request, avoid=avoid, excluded=excluded)

    def record(self, instance: InstanceName, *, is_suspect: bool) -> None:
        """Record that a task is placed on a worker."""
        self._with_orders.add(instance)
        if is_suspect:
            self._with_suspects.add(instance)
            # A task that started at the same time would be blamed as well.
            self._with_new_suspects.add(instance)

    def _isolate(self, request: TaskRequest, job: OpenJob, suspected_for_ms: float) -> TaskRequest:
        """Keep a suspect in its cell, and away from workers with other runs.

        It starts alone, so that a crash tells whether it has caused it, and ends nothing else.
        """
        cell = self._cells.get(job.queue.name)
        if cell is None:
            cell = self._risks.cell(job.queue.name, job.queue.service)
        excluded = request.excluded | self._workers(cell, outside=True)
        excluded |= self._with_suspects | self._with_orders
        # A second crash on the same host may be due to the host.
        tried = self._workers(self._risks.crashed_hosts(job.spec.job_id))
        if suspected_for_ms < IDLE_WAIT_MS:
            excluded |= self._busy_workers() | tried
            if len(self._workers(cell)) < len(cell):
                # The workers that are left serve the other tasks of the queue.
                excluded |= self._workers(cell)
        return msgspec.structs.replace(request, avoid=request.avoid | tried, excluded=excluded)

    def _is_suspected(self, task: Task) -> bool:
        return self._risks.suspected_ms(task) is not None

    def _workers(
        self, addresses: frozenset[str], *, outside: bool = False
    ) -> frozenset[InstanceName]:
        """Return the workers of some side processes, or those of all others."""
        return frozenset(
            each.offer.instance
            for each in self._candidates
            if (each.handle.address in addresses) is not outside
        )

    def _busy_workers(self) -> frozenset[InstanceName]:
        return frozenset(
            each.offer.instance
            for each in self._candidates
            if not each.offer.free.covers(each.offer.capacity)
        )
