"""Choose workers for tasks."""

from __future__ import annotations

import random
from collections.abc import Sequence

from currantbarrow.policy.types import Placement, QueuedTask, WorkerView

__all__ = ["create_least_loaded", "create_random", "create_round_robin", "create_two_choices"]


class RandomPlacement:
    """Choose any worker, whatever its load."""

    __slots__ = ("_rng",)

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    def choose(self, task: QueuedTask, workers: Sequence[WorkerView]) -> WorkerView | None:
        """Return a random worker."""
        return self._rng.choice(workers) if workers else None


class RoundRobinPlacement:
    """Choose each worker in turn."""

    __slots__ = ("_turn",)

    def __init__(self) -> None:
        self._turn = 0

    def choose(self, task: QueuedTask, workers: Sequence[WorkerView]) -> WorkerView | None:
        """Return the next worker."""
        if not workers:
            return None
        self._turn += 1
        return workers[self._turn % len(workers)]


class TwoChoicesPlacement:
    """Choose the less loaded of two random workers."""

    __slots__ = ("_rng",)

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    def choose(self, task: QueuedTask, workers: Sequence[WorkerView]) -> WorkerView | None:
        """Return the one of two with more free slots."""
        if not workers:
            return None
        return max(self._rng.choices(workers, k=2), key=lambda worker: worker.free)


class LeastLoadedPlacement:
    """Choose the worker with most free slots, near ones first, ties at random."""

    __slots__ = ("_data_centre", "_rng")

    def __init__(self, rng: random.Random, data_centre: str) -> None:
        self._rng = rng
        self._data_centre = data_centre

    def choose(self, task: QueuedTask, workers: Sequence[WorkerView]) -> WorkerView | None:
        """Return the freest worker with room, None to keep the task waiting."""
        fitting = [worker for worker in workers if worker.free >= task.size_slots]
        if not fitting:
            return None
        most = max(worker.free for worker in fitting)
        return self._rng.choice([worker for worker in fitting if worker.free == most])


def create_random(rng: random.Random) -> Placement:
    """Return the baseline that ignores load."""
    return RandomPlacement(rng)


def create_round_robin() -> Placement:
    """Return the baseline that takes turns."""
    return RoundRobinPlacement()


def create_two_choices(rng: random.Random) -> Placement:
    """Return the baseline that compares two random workers."""
    return TwoChoicesPlacement(rng)


def create_least_loaded(rng: random.Random, data_centre: str) -> Placement:
    """Return the placement that looks at all workers."""
    return LeastLoadedPlacement(rng, data_centre)
