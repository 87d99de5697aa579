"""Place the waiting tasks of jobs on workers in one dispatch pass."""

from __future__ import annotations

import random
from collections.abc import Mapping

import msgspec

from currantbarrow.direct.candidates import WorkerCandidate
from currantbarrow.direct.crash_risks import CrashRisks
from currantbarrow.direct.fleet import SideFleet, SideHandle
from currantbarrow.direct.job import JobTask, OpenJob
from currantbarrow.direct.model import Resources, StepSpec
from currantbarrow.direct.placement import (
    Placement,
    PlacementReason,
    ReleaseForecast,
    TaskRequest,
    choose_worker,
)
from currantbarrow.direct.racks import choose_rack
from currantbarrow.direct.separation import TaskSeparation
from currantbarrow.direct.speeds import FleetSpeeds, WorkerOffer, survey_speeds
from currantbarrow.direct.worker import InstanceName
from currantbarrow.types import Metrics

__all__ = ["PlacedTasks", "PlacementPass", "TaskBatch", "WorkerCandidate"]


class TaskBatch(msgspec.Struct):
    """Collect the tasks of one job that are ordered from one worker."""

    handle: SideHandle
    tasks: list[JobTask]
    # How much longer each task is expected to take, because it is far from its data.
    run_factors: list[float]
    # Whether the batch is a task that may crash its worker.
    isolated: bool = False
    # The last unusual reason for which one of the tasks was placed there.
    reason: PlacementReason = PlacementReason.USUAL


class PlacedTasks(msgspec.Struct):
    """Describe which ready tasks of a job were placed."""

    batches: list[TaskBatch]
    # Whether a task found no worker with room.
    no_room: bool = False
    # Whether less urgent jobs of the service are not to be placed in the same pass.
    service_full: bool = False
    # Whether a task waits for a worker on which it is in time, although others have room.
    held: bool = False

    @property
    def all_placed(self) -> bool:
        """Return whether all ready tasks were placed."""
        return not self.no_room and not self.held


class _ServicePass:
    """Track the state of one service during a dispatch pass."""

    __slots__ = ("candidates", "closed_slowness", "held_cores", "offers", "separation", "speeds")

    def __init__(self, name: str, candidates: list[WorkerCandidate], risks: CrashRisks) -> None:
        self.candidates = candidates
        self.separation = TaskSeparation(name, candidates, risks)
        self.offers = [each.offer for each in candidates]
        self.speeds: FleetSpeeds = survey_speeds(self.offers)
        # Cores of the tasks that were held back in this pass, by the rack that they wait for.
        self.held_cores: dict[str, float] = {}
        # Workers up to this slowness are left to the more urgent tasks that wait for them.
        self.closed_slowness = 0.0

    def open_offers(self) -> list[WorkerOffer]:
        """Return the offers of the workers that no more urgent task waits for."""
        if not self.closed_slowness:
            return self.offers
        return [
            offer
            for offer in self.offers
            if self.speeds.slowness_of(offer) > self.closed_slowness or not offer.is_healthy
        ]


class PlacementPass:
    """Choose workers for jobs in order of urgency, from one view of the fleet."""

    __slots__ = (
        "_candidates",
        "_chosen_racks",
        "_far_factor",
        "_fleet",
        "_metrics",
        "_release_shares",
        "_risks",
        "_rng",
        "_services",
    )

    def __init__(
        self,
        fleet: SideFleet,
        candidates: dict[str, list[WorkerCandidate]],
        release_shares: Mapping[str, float],
        far_factor: float,
        risks: CrashRisks,
        rng: random.Random,
        metrics: Metrics,
    ) -> None:
        self._risks = risks
        self._fleet = fleet
        self._candidates = candidates
        self._far_factor = far_factor
        # The racks chosen in this pass for steps without an ordered task.
        self._chosen_racks: dict[tuple[str, int], str] = {}
        # The cores of each service that this entry gets from one busy core in a millisecond.
        self._release_shares = release_shares
        self._rng = rng
        self._metrics = metrics
        self._services: dict[str, _ServicePass] = {}

    def place(self, job: OpenJob, now_ms: float) -> PlacedTasks:
        """Choose workers for a job's ready tasks, until one of them finds none."""
        service = self._service(job.queue.service)
        batches: dict[InstanceName, TaskBatch] = {}
        placed = PlacedTasks([])
        offers = service.open_offers()
        job.record_workers()
        separation = service.separation
        release_share = self._release_shares.get(job.queue.service, 0.0)
        for task in job.ready_tasks(now_ms):
            if task.lost_ms and self._risks.must_wait(job, task):
                continue
            is_suspect = separation.is_suspect(job, task)
            request = self._create_request(job, task, service, now_ms)
            request = separation.limit(request, job, task, now_ms)
            if request.near_rack and self._fleet.warm_rack(request.near_rack):
                placement = Placement(None, PlacementReason.HELD)
            else:
                held_cores = service.held_cores.get(request.near_rack, 0.0)
                forecast = ReleaseForecast(release_share, held_cores)
                placement = choose_worker(request, offers, service.speeds, self._rng, forecast)
            if placement.reason is PlacementReason.NO_ROOM:
                placed.no_room = True
                if is_suspect:
                    # The job's other tasks may run on more workers.
                    continue
                # A job that only some workers may run does not block others.
                placed.service_full = not separation.is_confined(job) and not any(
                    step.required_label or step.max_per_worker for step in job.spec.steps
                )
                break
            if placement.offer is None:
                placed.held = True
                self._hold(job, request, service)
                continue
            self._add_to_batch(batches, placement, request, task, job, service)
            separation.record(placement.offer.instance, is_suspect=is_suspect)
            batches[placement.offer.instance].isolated = is_suspect
            job.record_placement(task, placement.offer.instance)
        placed.batches = list(batches.values())
        return placed

    def _service(self, name: str) -> _ServicePass:
        if name not in self._services:
            candidates = self._candidates.get(name, [])
            self._services[name] = _ServicePass(name, candidates, self._risks)
        return self._services[name]

    def _create_request(
        self, job: OpenJob, task: JobTask, service: _ServicePass, now_ms: float
    ) -> TaskRequest:
        step = job.spec.steps[task.step]
        near_rack, factor = self._locality(job, task, service)
        if step.max_per_worker:
            # Links may have come to count as lost since the offers were made.
            instances = {offer.instance for offer in service.offers}
            instances.update(self._fleet.instances(job.queue.service))
            excluded = job.spread.excluded_workers(task.step, task.index, step, instances)
        else:
            excluded = frozenset()
        return TaskRequest(
            step.resources,
            step.required_label,
            task.avoid,
            job.expected_ms[task.step],
            job.time_left_ms(task.step, now_ms),
            near_rack,
            factor,
            excluded,
        )

    def _locality(self, job: OpenJob, task: JobTask, service: _ServicePass) -> tuple[str, float]:
        """Return the rack that a task prefers, if any, and the factor for other racks."""
        step = job.spec.steps[task.step]
        if self._far_factor <= 1 or not (step.affinity or step.same_rack):
            return "", 1.0
        if step.affinity:
            return step.affinity, self._far_factor
        rack = job.spread.rack(task.step) or self._chosen_racks.get((job.spec.job_id, task.step))
        if not rack:
            rack = choose_rack(
                [offer for offer in service.open_offers() if _may_run(step, offer)],
                step.resources,
                job.waiting_count(task.step),
                step.max_per_worker,
                self._rng,
            )
            self._chosen_racks[job.spec.job_id, task.step] = rack
        return rack, self._far_factor

    def _hold(self, job: OpenJob, request: TaskRequest, service: _ServicePass) -> None:
        """Leave the workers on which a task is in time to it, as a full service is left to it."""
        held = service.held_cores
        cores = request.resources.cpu_millis / 1000
        held[request.near_rack] = held.get(request.near_rack, 0.0) + cores
        # A rack stays open to all.
        if not request.required_label and not request.near_rack and not request.excluded:
            limit = request.time_left_ms / max(1.0, request.expected_ms)
            service.closed_slowness = max(service.closed_slowness, limit)
        self._metrics.incr("entry.task_held")

    def _add_to_batch(
        self,
        batches: dict[InstanceName, TaskBatch],
        placement: Placement,
        request: TaskRequest,
        task: JobTask,
        job: OpenJob,
        service: _ServicePass,
    ) -> None:
        chosen = placement.offer
        assert chosen is not None
        # A worker on probation gets one task at a time.
        chosen.free = Resources() if chosen.on_probation else chosen.free.minus(request.resources)
        if chosen.instance not in batches:
            handle = next(each.handle for each in service.candidates if each.offer is chosen)
            batches[chosen.instance] = TaskBatch(handle, [], [])
        batch = batches[chosen.instance]
        is_far = not request.is_near(chosen) or job.spread.spans_racks(task.step)
        batch.tasks.append(task)
        batch.run_factors.append(request.far_factor if is_far else 1.0)
        if placement.reason:
            batch.reason = placement.reason
            self._metrics.incr(f"entry.task_placed.{placement.reason.value}")


def _may_run(step: StepSpec, offer: WorkerOffer) -> bool:
    return not step.required_label or step.required_label in offer.labels
