"""Count the tasks of a job on each worker, to keep the limits of its steps.

The limit on tasks of a step on one worker is a rule. It is kept by what the entry itself has
ordered: a task counts on a worker from its order on, whatever becomes of the run. Only a run that
was certainly never started does not count. A task that failed or was lost may run again on a worker
on which it counts already.

A worker that restarts under its id is the same worker to the rule, so tasks count by the id.
"""

from __future__ import annotations

import collections
from collections.abc import Iterable, Sequence

from currantbarrow.direct.model import JobSpec, StepSpec
from currantbarrow.direct.worker import InstanceName
from currantbarrow.protocol.direct import RunEnd, WorkerState

__all__ = ["JobSpread", "can_be_spread"]


def can_be_spread(spec: JobSpec, workers: Sequence[WorkerState]) -> bool:
    """Return whether the limits of all steps can be kept on the workers of the job's service."""
    return all(
        step.max_per_worker * sum(_is_suitable(step, worker) for worker in workers) >= step.count
        for step in spec.steps
        if step.max_per_worker
    )


def _is_suitable(step: StepSpec, worker: WorkerState) -> bool:
    return (
        worker.capacity_cpu_millis >= step.resources.cpu_millis
        and worker.capacity_memory_mb >= step.resources.memory_mb
        and worker.capacity_gpus >= step.resources.gpus
        and (not step.required_label or step.required_label in worker.labels)
    )


class JobSpread:
    """Track the workers and racks on which the tasks of one job have been ordered."""

    __slots__ = ("_current", "_racks", "_runs")

    def __init__(self) -> None:
        # The runs of each task that may have started, by step and id of the worker.
        self._runs: dict[tuple[int, str], collections.Counter[int]] = {}
        # The workers on which the current run of a task counts: that of the order, and another one
        # if the worker was replaced before the order arrived.
        self._current: dict[tuple[int, int], set[str]] = {}
        # The racks of each step, in the order in which they were first used.
        self._racks: dict[int, list[str]] = {}

    def record_order(self, step: int, index: int, instance: InstanceName) -> None:
        """Record that a run is ordered from a worker."""
        self._current[step, index] = set()
        self.record_worker(step, index, instance)

    def record_rack(self, step: int, rack: str) -> None:
        """Record that a task of a step was ordered on a rack."""
        racks = self._racks.setdefault(step, [])
        if rack and rack not in racks:
            racks.append(rack)

    def record_worker(self, step: int, index: int, instance: InstanceName) -> None:
        """Record the worker behind the link over which the current run was ordered."""
        workers = self._current.get((step, index))
        if workers is None or instance.worker in workers:
            return
        workers.add(instance.worker)
        self._runs.setdefault((step, instance.worker), collections.Counter())[index] += 1

    def record_end(self, step: int, index: int, instance: InstanceName, end: RunEnd) -> None:
        """Record the end of the current run, reported when a worker was behind its link."""
        self.record_worker(step, index, instance)
        for each in self._current.pop((step, index), ()):
            if end is RunEnd.NOT_STARTED:
                runs = self._runs[step, each]
                runs[index] -= 1
                if not runs[index]:
                    del runs[index]

    def count(self, step: int, instance: InstanceName) -> int:
        """Return the number of tasks of a step that count on a worker."""
        return len(self._indices(step, instance))

    def excluded_workers(
        self, step: int, index: int, spec: StepSpec, instances: Iterable[InstanceName]
    ) -> frozenset[InstanceName]:
        """Return the workers, among those given, that may not run a task of a step."""
        workers = frozenset(instances)
        own = {each for each in workers if index in self._indices(step, each)}
        if own and self._are_places_scarce(step, spec, workers - own):
            # Otherwise a task that runs again may take the last place of one that has none.
            return workers - own
        return frozenset(
            each for each in workers - own if self.count(step, each) >= spec.max_per_worker
        )

    def rack(self, step: int) -> str:
        """Return the first rack on which a step was ordered, or an empty string."""
        racks = self._racks.get(step)
        return racks[0] if racks else ""

    def spans_racks(self, step: int) -> bool:
        """Return whether tasks of a step were ordered on more than one rack."""
        return len(self._racks.get(step, ())) > 1

    def _indices(self, step: int, instance: InstanceName) -> collections.Counter[int]:
        """Return the tasks of a step that count on a worker."""
        return self._runs.get((step, instance.worker), collections.Counter())

    def _are_places_scarce(
        self, step: int, spec: StepSpec, workers: frozenset[InstanceName]
    ) -> bool:
        placed = {index for (each, _), runs in self._runs.items() if each == step for index in runs}
        left = sum(max(0, spec.max_per_worker - self.count(step, each)) for each in workers)
        return left <= spec.count - len(placed)
