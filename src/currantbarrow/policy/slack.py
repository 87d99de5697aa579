"""Know how long the tasks of each class can wait, from its target and what was measured."""

from __future__ import annotations

import math

from currantbarrow.policy.types import QueuedTask

__all__ = ["ClassSlacks"]

SMOOTHING = 0.05
ACTIVE_MS = 10_000.0


class _ClassSlack:
    __slots__ = ("mean_ms", "seen_ms", "target_ms")

    def __init__(self, task: QueuedTask) -> None:
        self.mean_ms = task.cost_ms
        self.target_ms = task.target_ms
        self.seen_ms = task.arrived_ms


class ClassSlacks:
    """Follow the classes that send work."""

    __slots__ = ("_classes", "_shortest_ms", "_stale")

    def __init__(self) -> None:
        self._classes: dict[str, _ClassSlack] = {}
        self._shortest_ms = math.inf
        self._stale = True

    def note(self, task: QueuedTask) -> None:
        """Take note of a task that wants to start."""
        known = self._classes.get(task.job_class)
        if known is None:
            self._classes[task.job_class] = _ClassSlack(task)
            self._stale = True
            return
        known.mean_ms += SMOOTHING * (task.cost_ms - known.mean_ms)
        known.target_ms = task.target_ms
        # The list of active classes needs another look only now and then.
        if task.arrived_ms - known.seen_ms > ACTIVE_MS / 10:
            self._stale = True
            known.seen_ms = task.arrived_ms

    def shortest_ms(self, now_ms: float) -> float:
        """Return the shortest slack of active classes that can be met, infinite for none."""
        if self._stale:
            self._stale = False
            slacks = [
                known.target_ms - known.mean_ms
                for known in self._classes.values()
                if now_ms - known.seen_ms <= ACTIVE_MS
            ]
            # A class with a target shorter than its own tasks cannot be helped by others.
            self._shortest_ms = min((slack for slack in slacks if slack > 0), default=math.inf)
        return self._shortest_ms
