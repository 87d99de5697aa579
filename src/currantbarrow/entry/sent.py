"""Track the tasks that were sent to side processes and have not ended."""

from __future__ import annotations

from collections.abc import Iterable

from currantbarrow.entry.sides import SidePeer
from currantbarrow.jobs.table import Job
from currantbarrow.policy import QueuedTask
from currantbarrow.protocol import TaskReference

__all__ = ["SentTask", "SentTasks", "group_by_peer"]


class SentTask:
    """Store one task that was sent to a side process."""

    __slots__ = ("attempt", "checked_ms", "job", "peer", "task")

    def __init__(self, task: QueuedTask, job: Job, peer: SidePeer, now_ms: float) -> None:
        # When the task was sent to the side process, or last queried there.
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
        """Return the reference to this attempt."""
        return TaskReference(self.task.job_id, self.task.index, self.attempt)


class SentTasks:
    """Index sent tasks by key, job and side process, and count the slots that they occupy."""

    __slots__ = ("_tasks",)

    def __init__(self) -> None:
        self._tasks: dict[tuple[bytes, int], SentTask] = {}

    def add(self, sent: SentTask) -> None:
        """Add a task, and count its slots as occupied at its worker."""
        self._tasks[sent.key] = sent
        sent.peer.view.own_slots += sent.task.size_slots

    def remove(self, sent: SentTask) -> None:
        """Remove a task and free its slots."""
        del self._tasks[sent.key]
        sent.peer.view.own_slots -= sent.task.size_slots

    def find(self, job_id: bytes, index: int) -> SentTask | None:
        """Return an outstanding task, None if there is none for the key."""
        return self._tasks.get((job_id, index))

    def find_attempt(self, peer: SidePeer, reference: TaskReference) -> SentTask | None:
        """Return exactly this attempt at a side process, None if it is not outstanding there."""
        sent = self._tasks.get((reference.job_id, reference.index))
        if sent is None or sent.peer is not peer or sent.attempt != reference.attempt:
            return None
        return sent

    def is_outstanding(self, sent: SentTask) -> bool:
        """Return whether exactly this attempt is still outstanding."""
        return self._tasks.get(sent.key) is sent

    def of_job(self, job: Job) -> list[SentTask]:
        """Return the outstanding tasks of a job."""
        found = (self._tasks.get((job.job_id, index)) for index in range(len(job.tasks)))
        return [sent for sent in found if sent is not None]

    def last_checked_before(self, time_ms: float) -> list[SentTask]:
        """Return the outstanding tasks that were neither sent nor queried since a time."""
        return [sent for sent in self._tasks.values() if sent.checked_ms < time_ms]

    def of_peer(self, peer: SidePeer) -> list[SentTask]:
        """Return the outstanding tasks at a side process."""
        return [sent for sent in self._tasks.values() if sent.peer is peer]


def group_by_peer(tasks: Iterable[SentTask]) -> dict[SidePeer, list[SentTask]]:
    """Group tasks by the side process they were sent to."""
    groups: dict[SidePeer, list[SentTask]] = {}
    for sent in tasks:
        groups.setdefault(sent.peer, []).append(sent)
    return groups
