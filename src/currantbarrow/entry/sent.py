"""Keep the tasks that were handed to side processes and have not ended."""

from __future__ import annotations

from collections.abc import Iterable

from currantbarrow.entry.sides import SidePeer
from currantbarrow.jobs.table import Job
from currantbarrow.policy import QueuedTask
from currantbarrow.protocol import TaskReference

__all__ = ["SentTask", "SentTasks", "group_by_peer"]


class SentTask:
    """Hold a task that was handed to a side process."""

    __slots__ = ("attempt", "checked_ms", "job", "peer", "task")

    def __init__(self, task: QueuedTask, job: Job, peer: SidePeer, now_ms: float) -> None:
        # When the side process was last told of the task, or asked about it.
        self.checked_ms = now_ms
        self.task = task
        self.attempt = job.tasks[task.index].attempt
        self.job = job
        self.peer = peer

    @property
    def key(self) -> tuple[bytes, int]:
        """Return the job's id and the task's index."""
        return self.task.job_id, self.task.index

    @property
    def reference(self) -> TaskReference:
        """Return the name of this attempt."""
        return TaskReference(self.task.job_id, self.task.index, self.attempt)


class SentTasks:
    """Find sent tasks by key, job or side process, and count the slots that they hold."""

    __slots__ = ("_tasks",)

    def __init__(self) -> None:
        self._tasks: dict[tuple[bytes, int], SentTask] = {}

    def add(self, sent: SentTask) -> None:
        """Add a task, which holds slots of its worker from now on."""
        self._tasks[sent.key] = sent
        sent.peer.view.outstanding += sent.task.size_slots

    def remove(self, sent: SentTask) -> None:
        """Take a task out, which frees its slots."""
        del self._tasks[sent.key]
        sent.peer.view.outstanding -= sent.task.size_slots

    def find(self, job_id: bytes, index: int) -> SentTask | None:
        """Return a task, None when it is not out."""
        return self._tasks.get((job_id, index))

    def find_attempt(self, peer: SidePeer, reference: TaskReference) -> SentTask | None:
        """Return just this attempt at a side process, None when it is not out there."""
        sent = self._tasks.get((reference.job_id, reference.index))
        if sent is None or sent.peer is not peer or sent.attempt != reference.attempt:
            return None
        return sent

    def is_outstanding(self, sent: SentTask) -> bool:
        """Tell whether just this attempt is still out."""
        return self._tasks.get(sent.key) is sent

    def of_job(self, job: Job) -> list[SentTask]:
        """Return the tasks of a job that are out."""
        found = (self._tasks.get((job.job_id, index)) for index in range(len(job.tasks)))
        return [sent for sent in found if sent is not None]

    def last_checked_before(self, time_ms: float) -> list[SentTask]:
        """Return the tasks that are out and were not asked about since a time."""
        return [sent for sent in self._tasks.values() if sent.checked_ms < time_ms]

    def of_peer(self, peer: SidePeer) -> list[SentTask]:
        """Return the tasks that are out at a side process."""
        return [sent for sent in self._tasks.values() if sent.peer is peer]


def group_by_peer(tasks: Iterable[SentTask]) -> dict[SidePeer, list[SentTask]]:
    """Return tasks by the side process that has them."""
    groups: dict[SidePeer, list[SentTask]] = {}
    for sent in tasks:
        groups.setdefault(sent.peer, []).append(sent)
    return groups
