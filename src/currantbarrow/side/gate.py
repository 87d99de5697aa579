"""Admit starts; a refused start is guaranteed not to have run and never to run."""

from __future__ import annotations

import enum

from currantbarrow.jobs import TaskRun, shard_of
from currantbarrow.protocol import RefusedReason, Start, TaskReference
from currantbarrow.side.ledger import StartLedger
from currantbarrow.types import Clock

__all__ = ["Duplicate", "StartGate"]


class Duplicate(enum.Enum):
    """Mark a repeated copy of a start that was already accepted."""

    DUPLICATE = "duplicate"


class StartGate:
    """Check starts against the fences of their shards and the start ledger."""

    __slots__ = ("_clock", "_fences", "_ledger", "_permission_ms")

    def __init__(self, clock: Clock, ledger: StartLedger, permission_ms: float) -> None:
        self._clock = clock
        self._ledger = ledger
        self._permission_ms = permission_ms
        self._fences: dict[int, int] = {}

    def fence(self, shards: list[int], epoch: int) -> None:
        """Refuse starts for these shards with an epoch below the given one from now on."""
        for shard in shards:
            self._fences[shard] = max(epoch, self._fences.get(shard, 0))

    def is_fenced(self, job_id: bytes, epoch: int) -> bool:
        """Return whether an epoch is below the fence of a job's shard."""
        return epoch < self._fences.get(shard_of(job_id), 0)

    def check(self, start: Start, task: TaskRun) -> RefusedReason | Duplicate | None:
        """Return why a task must not start, or None if it may."""
        entry = self._ledger.find(task.job_id, task.index)
        if entry is not None and entry.attempt is not None:
            return Duplicate.DUPLICATE
        if self.is_fenced(task.job_id, start.epoch):
            return RefusedReason.FENCED
        # The stamp was read from this process's clock and echoed by the owner, so a start that
        # was delayed anywhere, for example in a paused owner, is detected without comparing the
        # clocks of two hosts.
        if self._clock.monotonic_ms() - start.stamp_ms > self._permission_ms:
            return RefusedReason.STALE
        if entry is not None and task.attempt < entry.min_attempt:
            return RefusedReason.CANCELLED
        return None

    @staticmethod
    def reference(task: TaskRun) -> TaskReference:
        """Return the reference that identifies this attempt at a task."""
        return TaskReference(task.job_id, task.index, task.attempt)
