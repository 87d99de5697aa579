"""Choose the worker for a task, by one of several policies."""

from __future__ import annotations

import random
from collections.abc import Sequence

import xxhash

from currantbarrow.policy.slack import ClassSlacks, SlackView
from currantbarrow.policy.types import Placement, QueuedTask, WorkerView

__all__ = [
    "create_headroom_placement",
    "create_least_loaded_placement",
    "create_random_placement",
    "create_round_robin_placement",
    "create_two_choices_placement",
]


# A task is long if it occupies a slot for more than this many times the shortest class slack.
LONG_TASK_SLACK_FACTOR = 4.0
RESERVED_SLOTS = 1
# Slots are reserved for this share of the work of urgent classes.
RESERVED_URGENT_WORK_SHARE = 0.5
HASH_RANGE = 2**32
# Score bonuses, in free slots, for a worker in the owner's data centre and for a worker in the
# rack of the job's previous task. Another worker needs that many more free slots to be preferred.
SAME_DATA_CENTRE_BONUS_SLOTS = 3.0
SAME_RACK_BONUS_SLOTS = 3.0


class RandomPlacement:
    """Choose a random worker, ignoring load."""

    __slots__ = ("_rng",)

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    def choose(self, task: QueuedTask, workers: Sequence[WorkerView]) -> WorkerView | None:
        """Return a random worker."""
        return self._rng.choice(workers) if workers else None


class RoundRobinPlacement:
    """Choose the workers in turn, ignoring load."""

    __slots__ = ("_turn",)

    def __init__(self) -> None:
        self._turn = 0

    def choose(self, task: QueuedTask, workers: Sequence[WorkerView]) -> WorkerView | None:
        """Return the next worker in turn."""
        if not workers:
            return None
        self._turn += 1
        return workers[self._turn % len(workers)]


class TwoChoicesPlacement:
    """Choose the less loaded of two random workers (power of two choices)."""

    __slots__ = ("_rng",)

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    def choose(self, task: QueuedTask, workers: Sequence[WorkerView]) -> WorkerView | None:
        """Return the one of two random workers with more free slots."""
        if not workers:
            return None
        return max(self._rng.choices(workers, k=2), key=lambda worker: worker.free_slots)


class LeastLoadedPlacement:
    """Choose the worker with the most free slots; break ties at random."""

    __slots__ = ("_rng",)

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    def choose(self, task: QueuedTask, workers: Sequence[WorkerView]) -> WorkerView | None:
        """Return the least loaded worker that fits the task, or None to keep it queued."""
        fitting = [worker for worker in workers if worker.free_slots >= task.size_slots]
        if not fitting:
            return None
        most = max(worker.free_slots for worker in fitting)
        return self._rng.choice([worker for worker in fitting if worker.free_slots == most])


class HeadroomPlacement:
    """Bind late, reserve slots for classes with little slack, and prefer nearby workers."""

    __slots__ = ("_data_centre", "_job_id", "_rack", "_rank_by_worker", "_rng", "_slacks")

    def __init__(self, rng: random.Random, data_centre: str) -> None:
        self._rng = rng
        self._data_centre = data_centre
        self._slacks = ClassSlacks()
        self._rank_by_worker: dict[str, float] = {}
        self._job_id = b""
        self._rack = ""

    def choose(self, task: QueuedTask, workers: Sequence[WorkerView]) -> WorkerView | None:
        """Return the best worker that fits the task, or None to keep it queued."""
        self._slacks.record_task(task)
        slacks = self._slacks.view
        rack = self._rack if task.job_id == self._job_id else ""
        best: WorkerView | None = None
        best_rank = (0.0, 0.0)
        for worker in workers:
            spare_slots = self._spare_slots(task, worker, slacks)
            if spare_slots < 0:
                continue
            rank = (self._score(worker, spare_slots, rack), self._rng.random())
            if best is None or rank > best_rank:
                best, best_rank = worker, rank
        if best is not None:
            # Keeping the tasks of a job in one rack means that the loss of a rack fails fewer
            # jobs, and that each start message carries more tasks.
            self._job_id, self._rack = task.job_id, best.rack
        return best

    def _spare_slots(self, task: QueuedTask, worker: WorkerView, slacks: SlackView) -> int:
        """Return the free slots left after placing the task, negative if it must wait."""
        spare_slots = worker.free_slots - task.size_slots
        if worker.slots > task.size_slots:
            if task.cost_ms > LONG_TASK_SLACK_FACTOR * slacks.shortest_ms:
                return spare_slots - RESERVED_SLOTS
            if not slacks.is_urgent(task) and self._is_reserved(worker, slacks):
                return spare_slots - RESERVED_SLOTS
        # An owner with no task on a worker learns of its free slots by heartbeats only, so it
        # may queue one task there.
        return spare_slots + 1 if worker.own_slots == 0 else spare_slots

    def _is_reserved(self, worker: WorkerView, slacks: SlackView) -> bool:
        """Return whether a worker reserves slots for urgent classes.

        The hash of the worker's name decides, so all owners reserve on the same workers.
        """
        rank = self._rank_by_worker.get(worker.name)
        if rank is None:
            rank = xxhash.xxh32_intdigest(worker.name.encode()) / HASH_RANGE
            self._rank_by_worker[worker.name] = rank
        return rank < RESERVED_URGENT_WORK_SHARE * slacks.urgent_work_share * worker.slots

    def _score(self, worker: WorkerView, spare_slots: int, rack: str) -> float:
        score = float(spare_slots)
        if worker.data_centre == self._data_centre:
            score += SAME_DATA_CENTRE_BONUS_SLOTS
        if worker.rack == rack:
            score += SAME_RACK_BONUS_SLOTS
        return score


def create_random_placement(rng: random.Random) -> Placement:
    """Return the baseline that chooses at random."""
    return RandomPlacement(rng)


def create_round_robin_placement() -> Placement:
    """Return the round-robin baseline."""
    return RoundRobinPlacement()


def create_two_choices_placement(rng: random.Random) -> Placement:
    """Return the baseline that compares two random workers."""
    return TwoChoicesPlacement(rng)


def create_least_loaded_placement(rng: random.Random) -> Placement:
    """Return the baseline that chooses the least loaded worker."""
    return LeastLoadedPlacement(rng)


def create_headroom_placement(rng: random.Random, data_centre: str) -> Placement:
    """Return the placement used in production."""
    return HeadroomPlacement(rng, data_centre)
