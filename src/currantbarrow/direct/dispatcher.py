"""Take jobs in, have their tasks run on workers, and settle their answers."""

from __future__ import annotations

import asyncio
import random

import msgspec

from currantbarrow.direct.admission import Backlog, Refusal, ReleaseRate, check_admission
from currantbarrow.direct.estimates import RunTimeEstimator
from currantbarrow.direct.fleet import SideFleet, SideHandle
from currantbarrow.direct.history import JobHistory
from currantbarrow.direct.job import JobTask, OpenJob, longest_chain_ms
from currantbarrow.direct.model import JobSpec, JobState, Resources, WorkQueue
from currantbarrow.direct.placement import WorkerOffer, choose_worker
from currantbarrow.direct.urgency import create_times
from currantbarrow.exceptions import LinkError
from currantbarrow.observe import logger
from currantbarrow.protocol.direct import EndRow, RunEnd, Standing, TaskOrder
from currantbarrow.types import Clock, Metrics

__all__ = ["JobDispatcher"]

TICK_INTERVAL_MS = 25.0
# A task that side processes turned away several times pauses before it is ordered again.
REJECTION_PAUSE_MS = 20.0
REJECTIONS_BEFORE_PAUSE = 3
# While all workers are full, an order may wait this long for room to be given back, which saves
# the way there and back; a worker gives some back every 40 ms.
RESOURCE_WAIT_MS = 60.0
# A look at what waits takes in every link's offer, and under load each link reports many times a
# second; so looks for the sake of a report keep a distance that grows with the links.
DISPATCH_INTERVAL_PER_LINK_MS = 0.1
# A process that stood still this long has missed what its peers told it: its callers may have
# sent their jobs again elsewhere by now. Leases of its orders end after 800 ms.
STALL_THRESHOLD_MS = 500.0
# How long it then orders nothing: links are opened anew and peers tell what they took.
STALL_HOLDOFF_MS = 450.0
# While nothing is known of the fleet, callers are asked to come back after this long.
DEFAULT_RETRY_S = 1
STANDING_BY_STATE = {
    JobState.COMPLETED: Standing.COMPLETED,
    JobState.FAILED: Standing.FAILED,
    JobState.CANCELLED: Standing.CANCELLED,
    JobState.REFUSED: Standing.REFUSED,
    JobState.MOVED: Standing.UNKNOWN,
}


class _Candidate(msgspec.Struct, frozen=True):
    """Pair a worker's offer with the link over which to order."""

    handle: SideHandle
    offer: WorkerOffer


class _Batch(msgspec.Struct, frozen=True):
    """Gather the tasks of one job that go to one worker."""

    handle: SideHandle
    tasks: list[JobTask]


class JobDispatcher:
    """Own the jobs that this entry has taken."""

    def __init__(
        self, *, clock: Clock, metrics: Metrics, rng: random.Random, history: JobHistory
    ) -> None:
        self.fleet: SideFleet | None = None
        self.jobs: dict[str, OpenJob] = {}
        self.run_time_estimator = RunTimeEstimator()
        self._clock = clock
        self._metrics = metrics
        self._rng = rng
        self._history = history
        self._release_rate = ReleaseRate()
        self._entry_count = 1
        self._last_tick_ms = clock.monotonic_ms()
        self._holdoff_until_ms = 0.0
        self._last_dispatch_ms = 0.0
        self._dispatch_timer: asyncio.TimerHandle | None = None
        # Jobs with tasks that wait; the others need no look.
        self._waiting: dict[str, OpenJob] = {}

    def set_entry_count(self, count: int) -> None:
        """Tell how many entries share the workers."""
        self._entry_count = max(1, count)

    # Taking jobs in.

    def submit(
        self, spec: JobSpec, queue: WorkQueue, caller_timeout_ms: float, attempts: int = 0
    ) -> OpenJob | Refusal:
        """Take a job in, or return why it is not taken."""
        now_ms = self._clock.monotonic_ms()
        expected_ms = [
            self.run_time_estimator.expected_ms(queue.name, step.estimate_ms) for step in spec.steps
        ]
        chain_ms = longest_chain_ms(spec.steps, expected_ms)
        times = create_times(now_ms, chain_ms, queue.stretch, queue.target_ms, caller_timeout_ms)
        job = OpenJob(spec, queue, times, expected_ms, attempts)
        refusal = self._check_admission(job, now_ms)
        if refusal is not None:
            self._metrics.incr(f"entry.job_refused.{refusal.reason}")
            self._log_refusal(job, refusal, now_ms)
            return refusal
        self.jobs[spec.job_id] = job
        self._waiting[spec.job_id] = job
        self._history.record_accepted(spec.job_id)
        self._metrics.incr("entry.job_accepted")
        self._log_job("job accepted", job, "", tasks=len(job.tasks), expected_ms=round(chain_ms))
        self.dispatch_waiting()
        return job

    def cancel(self, job: OpenJob, reason: str) -> None:
        """End a job whose answer nobody wants."""
        if job.state is JobState.OPEN:
            self._metrics.incr("entry.job_cancelled")
            self._end_job(job, JobState.CANCELLED, reason)

    def move(self, job: OpenJob) -> None:
        """Let go of a job that another entry goes on with."""
        if job.state is JobState.OPEN:
            self._metrics.incr("entry.job_moved")
            self._end_job(job, JobState.MOVED, "sent again to another entry")

    def count_unstarted(self, queue: str) -> int:
        """Return how many jobs of a queue have no task begun."""
        return sum(job.queue.name == queue and not job.started for job in self.jobs.values())

    # Events of the fleet.

    def run_ended(self, handle: SideHandle, row: EndRow) -> None:
        """Take in the end of a run."""
        entry = handle.ordered.pop((row.job, row.step, row.index), None)
        if entry is None or entry[1].attempts != row.attempt:
            self._metrics.incr("entry.late_result")
            return
        self._settle_run(*entry, handle, row.end, row.ran_ms)

    def runs_lost(self, handle: SideHandle) -> None:
        """Take in that nothing ordered over a link goes on."""
        ordered, handle.ordered = handle.ordered, {}
        for job, task in ordered.values():
            self._settle_run(job, task, handle, RunEnd.LOST, 0.0)
        self.dispatch_waiting()

    def capacity_changed(self) -> None:
        """Use room that there may be now, soon if that was done a moment ago."""
        if not self._waiting or self.fleet is None or self._dispatch_timer is not None:
            return
        due_ms = self._last_dispatch_ms + DISPATCH_INTERVAL_PER_LINK_MS * self.fleet.open_links
        wait_ms = due_ms - self._clock.monotonic_ms()
        if wait_ms <= 0:
            self.dispatch_waiting()
        else:
            loop = asyncio.get_running_loop()
            self._dispatch_timer = loop.call_later(wait_ms / 1000, self._on_dispatch_timer)

    def _on_dispatch_timer(self) -> None:
        self._dispatch_timer = None
        self.dispatch_waiting()

    # Ordering runs.

    def dispatch_waiting(self) -> None:
        """Order the tasks that wait, the most urgent jobs first, as far as there is room."""
        if not self._waiting or self.fleet is None:
            return
        now_ms = self._last_dispatch_ms = self._clock.monotonic_ms()
        if now_ms < self._holdoff_until_ms or now_ms - self._last_tick_ms > STALL_THRESHOLD_MS:
            return
        candidates = self._collect_candidates()
        full_services: set[str] = set()
        for job in sorted(self._waiting.values(), key=lambda job: job.rank(now_ms)):
            service = job.queue.service
            if service in full_services:
                continue
            batches, placed_all = self._place_tasks(job, candidates.get(service, []), now_ms)
            if not placed_all:
                self.fleet.widen_aperture()
            # A task that only some workers may run holds up nobody else.
            if not placed_all and not any(step.required_label for step in job.spec.steps):
                full_services.add(service)
            sent = [
                batch
                for batch in batches.values()
                if self._order_batch(job, batch, candidates[service], now_ms)
            ]
            if sent:
                self._log_orders(job, sent, now_ms)
        self._remove_fully_ordered()

    def _place_tasks(
        self, job: OpenJob, candidates: list[_Candidate], now_ms: float
    ) -> tuple[dict[str, _Batch], bool]:
        """Choose workers for a job's tasks; tell whether there was one for each."""
        batches: dict[str, _Batch] = {}
        for task in job.ready_tasks(now_ms):
            step = job.spec.steps[task.step]
            chosen = choose_worker(
                step.resources,
                step.required_label,
                task.avoid,
                [each.offer for each in candidates],
                self._rng,
            )
            if chosen is None:
                return batches, False
            # A worker on trial gets one task at a time.
            chosen.free = Resources() if chosen.on_probation else chosen.free.minus(step.resources)
            if chosen.worker not in batches:
                handle = next(each.handle for each in candidates if each.offer is chosen)
                batches[chosen.worker] = _Batch(handle, [])
            batches[chosen.worker].tasks.append(task)
        return batches, True

    def _collect_candidates(self) -> dict[str, list[_Candidate]]:
        candidates: dict[str, list[_Candidate]] = {}
        assert self.fleet is not None
        for handle in self.fleet.handles():
            offer = handle.offer()
            if offer is not None and handle.report is not None:
                service = handle.report.state.service
                candidates.setdefault(service, []).append(_Candidate(handle, offer))
        return candidates

    def _order_batch(
        self, job: OpenJob, batch: _Batch, candidates: list[_Candidate], now_ms: float
    ) -> bool:
        """Order the runs of a batch; tell whether they were sent."""
        handle, tasks = batch.handle, batch.tasks
        start_within_ms = job.times.latest_start_ms - now_ms
        resources = job.spec.steps[tasks[0].step].resources
        others_have_resources = any(
            each.offer.free.covers(resources) for each in candidates if each.handle is not handle
        )
        wait_ms = 0.0 if others_have_resources else RESOURCE_WAIT_MS
        orders = []
        for task in tasks:
            resources = job.spec.steps[task.step].resources
            task.attempts += 1
            orders.append(
                TaskOrder(
                    task.step,
                    task.index,
                    task.attempts,
                    resources.cpu_millis,
                    resources.memory_mb,
                    resources.gpus,
                    job.expected_ms[task.step],
                    start_within_ms,
                    wait_ms,
                )
            )
        try:
            handle.send_orders(job, orders)
        except LinkError:
            # Nothing was sent; the tasks wait for the next look.
            self._metrics.incr("entry.order_unsent", len(orders))
            return False
        job.started = True
        for task in tasks:
            task.side = handle
            job.unordered_count -= 1
            handle.ordered[job.spec.job_id, task.step, task.index] = (job, task)
        self._metrics.incr("entry.tasks_sent", len(tasks))
        return True

    def _log_orders(self, job: OpenJob, sent: list[_Batch], now_ms: float) -> None:
        oldest_ms = min(batch.handle.liveness.last_report_ms for batch in sent)
        self._log_job(
            "tasks ordered",
            job,
            "",
            workers=" ".join(f"{batch.handle.worker}:{len(batch.tasks)}" for batch in sent),
            report_age_ms=round(now_ms - oldest_ms),
            slack_ms=round(job.times.latest_start_ms - now_ms),
        )

    def _remove_fully_ordered(self) -> None:
        for job_id in [job_id for job_id, job in self._waiting.items() if not job.unordered_count]:
            del self._waiting[job_id]

    # Ends.

    def _settle_run(
        self, job: OpenJob, task: JobTask, handle: SideHandle, end: RunEnd, ran_ms: float
    ) -> None:
        if task.side is not handle:
            return
        task.side = None
        job.unordered_count += 1
        if job.state is not JobState.OPEN:
            return
        now_ms = self._clock.monotonic_ms()
        if end is RunEnd.DONE:
            job.unordered_count -= 1
            self._record_done(job, task, handle, ran_ms)
            return
        self._metrics.incr(f"entry.run_undone.{end.value}")
        self._waiting[job.spec.job_id] = job
        if end is RunEnd.NOT_STARTED:
            # The report that came with it shows what room there is; a pause keeps a worker that
            # shows room and gives none from being asked without end.
            task.attempts -= 1
            task.rejections += 1
            if task.rejections % REJECTIONS_BEFORE_PAUSE == 0:
                task.not_before_ms = now_ms + REJECTION_PAUSE_MS
        elif end is RunEnd.FAILED:
            task.failures += 1
            task.avoid |= {handle.worker}
            if task.failures >= job.queue.max_attempts:
                self._end_job(
                    job, JobState.FAILED, f"task {task.index} failed {task.failures} times"
                )
        else:
            task.avoid |= {handle.worker}

    def _record_done(self, job: OpenJob, task: JobTask, handle: SideHandle, ran_ms: float) -> None:
        job.finish_task(task)
        slowness = handle.report.state.slowness if handle.report is not None else 1.0
        declared_ms = job.spec.steps[task.step].estimate_ms
        self.run_time_estimator.record_run(job.queue.name, declared_ms, ran_ms / slowness)
        self._release_rate.record_run(job.spec.steps[task.step].resources.cpu_millis / 1000, ran_ms)
        if job.complete:
            self._end_job(job, JobState.COMPLETED)

    def _end_job(
        self, job: OpenJob, state: JobState, reason: str = "", retry_after_s: int = 0
    ) -> None:
        now_ms = self._clock.monotonic_ms()
        if self.fleet is not None:
            self.fleet.cancel_runs(job)
        self._waiting.pop(job.spec.job_id, None)
        self.jobs.pop(job.spec.job_id, None)
        if STANDING_BY_STATE[state] is not Standing.UNKNOWN:
            self._history.record_ended(job.spec.job_id, STANDING_BY_STATE[state])
        job.end(state, reason, retry_after_s)
        took_ms = now_ms - job.times.received_ms
        self._metrics.incr(f"entry.job_ended.{state.value}")
        self._metrics.timing("entry.job_ms", took_ms)
        self._log_job(
            "job ended",
            job,
            reason,
            state=state.value,
            took_ms=round(took_ms),
            objective_ms=round(job.times.due_ms - job.times.received_ms),
        )

    # Time.

    def tick(self) -> None:
        """Send away jobs whose time has passed, and order tasks whose pause is over."""
        now_ms = self._clock.monotonic_ms()
        stalled_ms = now_ms - self._last_tick_ms
        self._last_tick_ms = now_ms
        if stalled_ms > STALL_THRESHOLD_MS:
            self._holdoff_until_ms = now_ms + STALL_HOLDOFF_MS
            self._metrics.incr("entry.stalled")
            logger.warning(
                "process stood still", extra={"for_ms": round(stalled_ms), "jobs": len(self.jobs)}
            )
        for job in list(self._waiting.values()):
            if not job.started and job.times.should_be_refused(now_ms):
                backlog = self._create_backlog(job, now_ms)
                self._metrics.incr("entry.job_given_up")
                self._end_job(job, JobState.REFUSED, "its time passed", backlog.retry_after_s())
        self.dispatch_waiting()

    # Decisions at the door.

    def _check_admission(self, job: OpenJob, now_ms: float) -> Refusal | None:
        if self.fleet is None:
            return Refusal("no_worker", DEFAULT_RETRY_S, 0.0)
        largest = self.fleet.largest_capacity(job.queue.service)
        if largest is None:
            return Refusal("no_worker", DEFAULT_RETRY_S, 0.0)
        if any(not largest.covers(step.resources) for step in job.spec.steps):
            return Refusal("too_large", DEFAULT_RETRY_S, 0.0)
        return check_admission(
            self._create_backlog(job, now_ms), job.times.latest_start_ms - now_ms
        )

    def _create_backlog(self, job: OpenJob, now_ms: float) -> Backlog:
        """Work out what goes before a job; other entries are taken to wait for as much."""
        assert self.fleet is not None
        service = job.queue.service
        rank = job.rank(now_ms)
        ahead_cores = oldest_ms = 0.0
        total_core_ms = job.waiting_core_ms()
        for other in self._waiting.values():
            if other is job or other.queue.service != service:
                continue
            total_core_ms += other.waiting_core_ms()
            if other.rank(now_ms) >= rank:
                continue
            ahead_cores += other.waiting_cores()
            if other.queue.name == job.queue.name and not other.started:
                oldest_ms = max(oldest_ms, now_ms - other.times.received_ms)
        cores = self.fleet.accepting_cores(service) / self._entry_count
        return Backlog(
            ahead_cores,
            job.waiting_cores(),
            self.fleet.free_cores(service),
            total_core_ms,
            cores,
            self._release_rate.per_s(cores),
            oldest_ms,
        )

    def _log_refusal(self, job: OpenJob, refusal: Refusal, now_ms: float) -> None:
        fields: dict[str, int] = {}
        if refusal.backlog is not None:
            fields = {
                name: round(value)
                for name, value in msgspec.structs.asdict(refusal.backlog).items()
            }
        slack_ms = round(job.times.latest_start_ms - now_ms)
        self._log_job(
            "job refused",
            job,
            refusal.reason,
            wait_ms=round(refusal.wait_ms),
            slack_ms=slack_ms,
            **fields,
        )

    def _log_job(self, what: str, job: OpenJob, reason: str, **fields: object) -> None:
        logger.info(
            what,
            extra={"job": job.spec.job_id, "queue": job.queue.name, "reason": reason, **fields},
        )
