"""Track an accepted job and its tasks until the job ends."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from currantbarrow.direct.model import JobSpec, JobState, StepSpec, WorkQueue
from currantbarrow.direct.racks import rack_of
from currantbarrow.direct.spread import JobSpread
from currantbarrow.direct.urgency import JobTimes
from currantbarrow.direct.worker import InstanceName
from currantbarrow.protocol.direct import RunEnd

if TYPE_CHECKING:
    from currantbarrow.direct.fleet import SideHandle

__all__ = ["JobTask", "OpenJob", "following_chains_ms", "longest_chain_ms"]


def longest_chain_ms(steps: tuple[StepSpec, ...], expected_ms: list[float]) -> float:
    """Return the duration of the critical path of a job's steps, without waiting times."""
    ends_ms: list[float] = []
    for step, own_ms in zip(steps, expected_ms, strict=True):
        ends_ms.append(own_ms + max((ends_ms[position] for position in step.after), default=0.0))
    return max(ends_ms, default=0.0)


def following_chains_ms(steps: tuple[StepSpec, ...], expected_ms: list[float]) -> list[float]:
    """Return the duration of the longest chain of steps after each step."""
    following_ms = [0.0] * len(steps)
    # Steps come after earlier ones only.
    for position in reversed(range(len(steps))):
        chain_ms = expected_ms[position] + following_ms[position]
        for before in steps[position].after:
            following_ms[before] = max(following_ms[before], chain_ms)
    return following_ms


class JobTask:
    """Track the state of one task across its runs."""

    __slots__ = (
        "attempts",
        "avoid",
        "done",
        "failures",
        "index",
        "lost_ms",
        "not_before_ms",
        "rejections",
        "run_factor",
        "side",
        "step",
    )

    def __init__(self, step: int, index: int, attempts: int) -> None:
        self.step = step
        self.index = index
        self.attempts = attempts
        self.failures = 0
        # Orders that side processes returned without starting the task.
        self.rejections = 0
        self.done = False
        # The link over which the current run was ordered, or None while the task waits.
        self.side: SideHandle | None = None
        # How much longer the current run is expected to take, because it is far from its data.
        self.run_factor = 1.0
        # Workers on which the task failed or was lost; other workers are preferred.
        self.avoid: frozenset[InstanceName] = frozenset()
        # The worker instances on which a run was lost, and when.
        self.lost_ms: dict[InstanceName, float] = {}
        # The earliest time of the next order.
        self.not_before_ms = 0.0

    @property
    def is_waiting(self) -> bool:
        """Return whether the task is neither done nor ordered."""
        return not self.done and self.side is None


class OpenJob:
    """Track the state of a job from its acceptance to its end."""

    __slots__ = (
        "_remaining",
        "_waiting_counts",
        "ended",
        "expected_ms",
        "following_ms",
        "held",
        "queue",
        "reason",
        "retry_after_s",
        "spec",
        "spread",
        "started",
        "state",
        "tasks",
        "times",
        "unordered_count",
        "waiters",
    )

    def __init__(
        self,
        spec: JobSpec,
        queue: WorkQueue,
        times: JobTimes,
        expected_ms: list[float],
        attempts: int,
    ) -> None:
        self.spec = spec
        self.queue = queue
        self.times = times
        # The expected run time of a task of each step.
        self.expected_ms = expected_ms
        # The expected duration of the steps after each step.
        self.following_ms = following_chains_ms(spec.steps, expected_ms)
        # Whether a task has waited for a faster worker while others had room.
        self.held = False
        self.state = JobState.OPEN
        self.ended = asyncio.Event()
        # Whether any task was ordered, so that a worker may have started it.
        self.started = False
        self.reason = ""
        self.retry_after_s = 0
        # Callers that wait for the end of the job.
        self.waiters = 0
        self.tasks = {
            (position, index): JobTask(position, index, attempts)
            for position, step in enumerate(spec.steps)
            for index in range(step.count)
        }
        self.spread = JobSpread()
        self._remaining = [step.count for step in spec.steps]
        # Tasks of each step neither done nor ordered, whether or not the steps before are complete.
        self._waiting_counts = [step.count for step in spec.steps]
        self.unordered_count = len(self.tasks)

    def rank(self, now_ms: float) -> tuple[int, float]:
        """Return the sort key of the job; the smallest key is dispatched first."""
        return self.times.rank(now_ms, self.started)

    def ready_tasks(self, now_ms: float) -> list[JobTask]:
        """Return the waiting tasks whose pause is over and whose preceding steps are complete."""
        if not self.unordered_count:
            return []
        return [
            task
            for task in self.tasks.values()
            if task.is_waiting and now_ms >= task.not_before_ms and self._is_ready(task.step)
        ]

    def time_left_ms(self, step: int, now_ms: float) -> float:
        """Return the time until a task of a step has to end for the job to be on time."""
        return self.times.due_ms - self.following_ms[step] - now_ms

    def mark_ordered(self, task: JobTask, side: SideHandle) -> None:
        """Mark a waiting task as ordered over a link."""
        task.side = side
        self.unordered_count -= 1
        self._waiting_counts[task.step] -= 1
        if self.spec.steps[task.step].same_rack and side.report is not None:
            self.spread.record_rack(task.step, rack_of(side.report.state.labels))

    def record_placement(self, task: JobTask, instance: InstanceName) -> None:
        """Record the worker chosen for a task, before the order is sent."""
        if self.spec.steps[task.step].max_per_worker:
            self.spread.record_order(task.step, task.index, instance)

    def record_run_end(self, task: JobTask, side: SideHandle, end: RunEnd) -> None:
        """Record the end of a placed task's run for the limit of its step."""
        if self.spec.steps[task.step].max_per_worker:
            self.spread.record_end(task.step, task.index, side.instance, end)

    def record_workers(self) -> None:
        """Record the workers that are now behind the links of ordered tasks."""
        if not any(step.max_per_worker for step in self.spec.steps):
            return
        for task in self.ordered_tasks():
            if task.side is not None and self.spec.steps[task.step].max_per_worker:
                self.spread.record_worker(task.step, task.index, task.side.instance)

    def mark_waiting(self, task: JobTask) -> None:
        """Mark an ordered task as waiting again."""
        task.side = None
        self.unordered_count += 1
        self._waiting_counts[task.step] += 1

    def finish_task(self, task: JobTask) -> None:
        """Mark an ordered task as done."""
        task.done = True
        task.side = None
        self._remaining[task.step] -= 1

    @property
    def complete(self) -> bool:
        """Return whether all tasks are done."""
        return not any(self._remaining)

    def ordered_tasks(self) -> list[JobTask]:
        """Return the tasks that were ordered and have not ended."""
        return [task for task in self.tasks.values() if task.side is not None]

    def has_ordered_tasks(self) -> bool:
        """Return whether any task was ordered and has not ended."""
        return any(task.side is not None for task in self.tasks.values())

    def highest_attempt(self) -> int:
        """Return the highest attempt number of any task."""
        return max((task.attempts for task in self.tasks.values()), default=0)

    def waiting_count(self, step: int) -> int:
        """Return the number of tasks of a step that are neither done nor ordered."""
        return self._waiting_counts[step]

    def waiting_core_ms(self) -> float:
        """Return the expected core-milliseconds of all waiting tasks."""
        return sum(
            count * step.resources.cpu_millis / 1000 * expected_ms
            for count, step, expected_ms in zip(
                self._waiting_counts, self.spec.steps, self.expected_ms, strict=True
            )
        )

    def waiting_cores(self) -> float:
        """Return the cores required by all waiting tasks."""
        return sum(
            count * step.resources.cpu_millis / 1000
            for count, step in zip(self._waiting_counts, self.spec.steps, strict=True)
        )

    def end(self, state: JobState, reason: str = "", retry_after_s: int = 0) -> None:
        """Set the final state and wake the callers that wait for it."""
        self.state = state
        self.reason = reason
        self.retry_after_s = retry_after_s
        self.ended.set()

    def _is_ready(self, step: int) -> bool:
        return not any(self._remaining[position] for position in self.spec.steps[step].after)
