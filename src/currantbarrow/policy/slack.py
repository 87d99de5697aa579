"""Track the slack of each class: how long its tasks can wait and still meet their target."""

from __future__ import annotations

import math

from currantbarrow.policy.types import QueuedTask

__all__ = ["ClassSlacks", "SlackView"]

SMOOTHING_FACTOR = 0.05
REFRESH_MS = 1000.0
# The work counted for a class decays by this share with each refresh.
WORK_DECAY = 0.1
# A class whose decayed work falls to this is no longer active.
MIN_ACTIVE_WORK_MS = 1.0
# Classes with at most this many times the shortest slack count as urgent.
URGENT_SLACK_FACTOR = 2.0


class _ClassStatistics:
    __slots__ = ("mean_ms", "target_ms", "work_ms")

    def __init__(self, task: QueuedTask) -> None:
        self.mean_ms = task.cost_ms
        self.target_ms = task.target_ms
        self.work_ms = task.cost_ms

    @property
    def slack_ms(self) -> float:
        """Return how long an average task of the class can wait."""
        return self.target_ms - self.mean_ms


class SlackView:
    """Report the shortest slack among active classes, and the share of work in urgent classes."""

    __slots__ = ("shortest_ms", "urgent_work_share")

    def __init__(self, shortest_ms: float, urgent_work_share: float) -> None:
        self.shortest_ms = shortest_ms
        self.urgent_work_share = urgent_work_share

    def is_urgent(self, task: QueuedTask) -> bool:
        """Return whether a task's slack is close to that of the most urgent class."""
        return task.target_ms - task.cost_ms <= URGENT_SLACK_FACTOR * self.shortest_ms


class ClassSlacks:
    """Estimate slack and work of the classes with recent tasks."""

    __slots__ = ("_classes", "_refreshed_ms", "view")

    def __init__(self) -> None:
        self.view = SlackView(math.inf, 0.0)
        self._classes: dict[str, _ClassStatistics] = {}
        self._refreshed_ms = -math.inf

    def record_task(self, task: QueuedTask) -> None:
        """Record a task that is about to be placed."""
        statistics = self._classes.get(task.job_class)
        if statistics is None:
            self._classes[task.job_class] = _ClassStatistics(task)
            self._refresh()
            return
        statistics.mean_ms += SMOOTHING_FACTOR * (task.cost_ms - statistics.mean_ms)
        statistics.work_ms += task.cost_ms
        statistics.target_ms = task.target_ms
        if task.arrived_ms - self._refreshed_ms >= REFRESH_MS:
            self._refreshed_ms = task.arrived_ms
            for each in self._classes.values():
                each.work_ms *= 1 - WORK_DECAY
            self._refresh()

    def _refresh(self) -> None:
        self._classes = {
            name: statistics
            for name, statistics in self._classes.items()
            if statistics.work_ms > MIN_ACTIVE_WORK_MS
        }
        # A class whose target is shorter than its run time cannot meet it in any order.
        feasible = [statistics for statistics in self._classes.values() if statistics.slack_ms > 0]
        shortest_ms = min((statistics.slack_ms for statistics in feasible), default=math.inf)
        urgent_ms = sum(
            statistics.work_ms
            for statistics in feasible
            if statistics.slack_ms <= URGENT_SLACK_FACTOR * shortest_ms
        )
        total_ms = sum(statistics.work_ms for statistics in self._classes.values())
        self.view = SlackView(shortest_ms, urgent_ms / total_ms if total_ms else 0.0)
