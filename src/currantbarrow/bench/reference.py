"""Schedule with one queue that knows every run time and has no delays, as a reference."""

from __future__ import annotations

import heapq
from collections.abc import Sequence

from currantbarrow.bench.outcomes import COMPLETE, IdleFleet, JobOutcome
from currantbarrow.load.workload import PlannedJob
from currantbarrow.policy import QueuedTask, TaskQueue
from currantbarrow.policy.queues import create_fair_queue

__all__ = ["run_reference"]


def run_reference(
    jobs: Sequence[PlannedJob], idle_fleet: IdleFleet, targets_ms: dict[str, float]
) -> list[JobOutcome]:
    """Return the outcomes of jobs if all slots and true run times are known and nothing fails."""
    queue = create_fair_queue()
    running: list[tuple[float, int, bytes, int]] = []
    open_tasks: dict[bytes, int] = {}
    outcomes = []
    for number, job in enumerate([*jobs, None]):
        until_ms = job.at_s * 1000 if job is not None else float("inf")
        while running and running[0][0] <= until_ms:
            now_ms, _, job_id, _ = heapq.heappop(running)
            open_tasks[job_id] -= 1
            if not open_tasks[job_id]:
                ended_job = jobs[int.from_bytes(job_id, "big")]
                sent_ms = ended_job.at_s * 1000
                ideal_ms = idle_fleet.ideal_ms(ended_job.run_ms)
                outcomes.append(
                    JobOutcome(ended_job, job_id, sent_ms, now_ms - sent_ms, ideal_ms, COMPLETE)
                )
            _start_queued(queue, running, jobs, idle_fleet.slots, now_ms)
        if job is None or job.cancel:
            continue
        job_id = number.to_bytes(16, "big")
        open_tasks[job_id] = len(job.run_ms)
        for index, run_ms in enumerate(job.run_ms):
            queue.add(
                QueuedTask(
                    job_id,
                    index,
                    customer=job.customer,
                    job_class=job.job_class,
                    arrived_ms=until_ms,
                    target_ms=targets_ms[job.job_class],
                    cost_ms=run_ms,
                    job_task_count=len(job.run_ms),
                )
            )
        _start_queued(queue, running, jobs, idle_fleet.slots, until_ms)
    return outcomes


def _start_queued(
    queue: TaskQueue,
    running: list[tuple[float, int, bytes, int]],
    jobs: Sequence[PlannedJob],
    slots: int,
    now_ms: float,
) -> None:
    """Start queued tasks on all free slots; running is a heap ordered by end time."""
    while len(running) < slots:
        task = queue.take(now_ms)
        if task is None:
            return
        number = int.from_bytes(task.job_id, "big")
        run_ms = jobs[number].run_ms[task.index]
        heapq.heappush(running, (now_ms + run_ms, number, task.job_id, task.index))
