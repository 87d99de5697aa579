"""Accept jobs, place their tasks on workers, and record their outcomes."""

from __future__ import annotations

import asyncio
import math
import random

import msgspec

from currantbarrow.direct.admission import Refusal
from currantbarrow.direct.candidates import WorkerCandidate
from currantbarrow.direct.crash_risks import CrashRisks
from currantbarrow.direct.ending import EndingJobs
from currantbarrow.direct.estimates import RunTimeEstimator
from currantbarrow.direct.fleet import SideFleet, SideHandle
from currantbarrow.direct.history import JobHistory
from currantbarrow.direct.isolation import ISOLATION_MIN_MS, IsolationGuard
from currantbarrow.direct.job import JobTask, OpenJob, longest_chain_ms
from currantbarrow.direct.model import JobSpec, JobState, WorkQueue
from currantbarrow.direct.placing import PlacementPass, TaskBatch
from currantbarrow.direct.scarcity import Scarcity
from currantbarrow.direct.spread import can_be_spread
from currantbarrow.direct.urgency import create_times
from currantbarrow.exceptions import LinkError
from currantbarrow.observe import logger
from currantbarrow.protocol.direct import (
    CrashRow,
    DemandRow,
    EndRow,
    RunEnd,
    Standing,
    TaskOrder,
)
from currantbarrow.types import Clock, Metrics

__all__ = ["JobDispatcher"]

TICK_INTERVAL_MS = 25.0
# Interval while no task waits.
IDLE_TICK_INTERVAL_MS = 100.0
# After every third rejection for lack of resources, a task pauses before it is ordered again.
REJECTION_PAUSE_MS = 20.0
REJECTIONS_BEFORE_PAUSE = 3
# If no other worker has enough free resources, an order may wait this long at the side process,
# which saves a round trip; a worker releases resources about every 40 ms.
RESOURCE_WAIT_MS = 60.0
# How long an order that has to start alone may wait for the runs on its worker to end.
ISOLATED_WAIT_MS = 500.0
# A dispatch pass reads the offers of all links, and under load each link reports many times a
# second. Passes triggered by reports are therefore spaced in proportion to the number of links.
DISPATCH_INTERVAL_PER_LINK_MS = 0.1
# A process that was suspended for longer has missed messages from its peers: callers may have
# resubmitted their jobs to other entries. Leases of its orders expire after 800 ms.
STALL_THRESHOLD_MS = 500.0
# After a stall no orders are sent for this long, while links are reopened and peers report the
# jobs that they have accepted.
STALL_HOLDOFF_MS = 450.0
# After a stall, calls that arrived before or during it are read within this time.
LATE_CALLS_MS = 500.0
# The retry delay for refusals that do not depend on the backlog, such as when no worker is known.
DEFAULT_RETRY_S = 1
# The retry delay if there are too few workers for a job, which changes seldom.
SPREAD_RETRY_S = 5
# The retry delays for jobs of a confined queue while all workers of its cell are down, which come
# back after some seconds. Callers that all came back at the same time would be refused again.
CONFINED_RETRY_MIN_S = 5
CONFINED_RETRY_MAX_S = 10
STANDING_BY_STATE = {
    JobState.COMPLETED: Standing.COMPLETED,
    JobState.FAILED: Standing.FAILED,
    JobState.CANCELLED: Standing.CANCELLED,
    JobState.ABANDONED: Standing.ABANDONED,
    JobState.REFUSED: Standing.REFUSED,
    JobState.MOVED: Standing.UNKNOWN,
}


class JobDispatcher:
    """Schedule the jobs accepted by this entry and track them until they end."""

    def __init__(
        self, *, clock: Clock, metrics: Metrics, rng: random.Random, history: JobHistory
    ) -> None:
        self.fleet: SideFleet | None = None
        self.jobs: dict[str, OpenJob] = {}
        self.ending = EndingJobs(clock)
        self.isolation = IsolationGuard()
        self.risks = CrashRisks(clock, metrics)
        # The addresses of the other entries.
        self.peers: tuple[str, ...] = ()
        self.scarcity = Scarcity(rng)
        # How much longer a task takes on a worker that is far from its data.
        self.far_factor = 1.0
        self.run_time_estimator = RunTimeEstimator()
        self._clock = clock
        self._metrics = metrics
        self._rng = rng
        self._history = history
        self._last_tick_ms = clock.monotonic_ms()
        self._holdoff_until_ms = 0.0
        self._last_dispatch_ms = 0.0
        self._dispatch_timer: asyncio.TimerHandle | None = None
        # Jobs with tasks that have not been ordered; dispatch passes visit only these.
        self._waiting: dict[str, OpenJob] = {}

    # Submission.

    def submit(
        self, spec: JobSpec, queue: WorkQueue, caller_timeout_ms: float
    ) -> OpenJob | Refusal:
        """Accept a job, or return the reason for refusing it."""
        now_ms = self._clock.monotonic_ms()
        expected_ms = [
            self.run_time_estimator.expected_ms(queue.name, step.estimate_ms) for step in spec.steps
        ]
        chain_ms = longest_chain_ms(spec.steps, expected_ms)
        times = create_times(now_ms, chain_ms, queue.stretch, queue.target_ms, caller_timeout_ms)
        # Reports may still list ends of the job's earlier runs, which differ by attempt number.
        attempts = self._history.attempts_used(spec.job_id)
        job = OpenJob(spec, queue, times, expected_ms, attempts)
        self.risks.record_submission(job)
        refusal = self._check_evacuations(job) or self._check_admission(job, now_ms)
        if refusal is not None:
            self._metrics.incr(f"entry.job_refused.{refusal.reason}")
            self._log_refusal(job, refusal, now_ms)
            return refusal
        self.jobs[spec.job_id] = job
        self._waiting[spec.job_id] = job
        self._history.record_accepted(spec.job_id, times.keep_until_ms)
        self._metrics.incr("entry.job_accepted")
        self._log_job(
            "job accepted",
            job,
            "",
            tasks=len(job.tasks),
            expected_ms=round(chain_ms),
            timeout_ms=round(caller_timeout_ms),
        )
        self.dispatch_waiting()
        return job

    def give_up_submitted(self, spec: JobSpec, queue: WorkQueue) -> bool:
        """Give up a submitted job that has crashed workers before; return whether it has."""
        verdict = self.risks.verdict(spec.job_id)
        if verdict is None:
            return False
        self._metrics.incr("entry.job_crashed_workers")
        self._history.record_ended(spec.job_id, Standing.FAILED)
        logger.info(
            "job given up at submission",
            extra={"job": spec.job_id, "queue": queue.name, "reason": str(verdict)},
        )
        return True

    def check_spread(self, spec: JobSpec, queue: WorkQueue) -> Refusal | None:
        """Return a refusal if the limits of a job's steps can't be kept on the known workers."""
        workers = self.fleet.worker_states(queue.service) if self.fleet is not None else []
        if not workers or can_be_spread(spec, workers):
            return None
        refusal = Refusal("too_few_workers", SPREAD_RETRY_S, 0.0)
        self._metrics.incr(f"entry.job_refused.{refusal.reason}")
        logger.info(
            "job refused",
            extra={
                "job": spec.job_id,
                "queue": queue.name,
                "reason": refusal.reason,
                "workers": len(workers),
            },
        )
        return refusal

    def cancel(self, job: OpenJob, reason: str) -> None:
        """Cancel an open job, which then never runs again."""
        if job.state is JobState.OPEN:
            self._metrics.incr("entry.job_cancelled")
            self._end_job(job, JobState.CANCELLED, reason)

    def abandon(self, job: OpenJob) -> None:
        """Give up an open job whose caller has left, and may submit it again."""
        if job.state is JobState.OPEN:
            self._metrics.incr("entry.job_abandoned")
            self._end_job(job, JobState.ABANDONED, "its caller left")

    def move(self, job: OpenJob, reason: str = "sent again to another entry") -> None:
        """Release an open job, which its caller submits to another entry."""
        if job.state is JobState.OPEN:
            self._metrics.incr("entry.job_moved")
            self._end_job(job, JobState.MOVED, reason)

    def count_unstarted(self, queue: str) -> int:
        """Return the number of jobs of a queue with no task started."""
        return sum(job.queue.name == queue and not job.started for job in self.jobs.values())

    @property
    def entry_count(self) -> int:
        """Return the number of entries that share the workers, including this one."""
        return self.scarcity.entry_count

    def demand(self) -> tuple[list[DemandRow], list[DemandRow]]:
        """Return the work that waits at this entry, and what arrives per second."""
        return self.scarcity.rows(self._waiting.values(), self._clock.monotonic_ms())

    # Fleet events.

    def run_ended(self, handle: SideHandle, row: EndRow) -> None:
        """Handle the end of a run."""
        key = (row.job, row.step, row.index)
        entry = handle.ordered_tasks.get(key)
        if entry is None or entry[1].attempts != row.attempt:
            self._metrics.incr("entry.late_result")
            return
        del handle.ordered_tasks[key]
        self._settle_run(*entry, handle, row.end, row.ran_ms)

    def worker_crashed(self, handle: SideHandle, row: CrashRow) -> None:
        """Handle the crash of a worker, and give up the open jobs that are convicted by it."""
        for job_id, verdict in self.risks.record_crash(row, handle.address).items():
            if job_id in self.jobs:
                self._metrics.incr("entry.job_crashed_workers")
                self._end_job(self.jobs[job_id], JobState.FAILED, str(verdict))

    def runs_lost(self, handle: SideHandle) -> None:
        """Handle the loss of all runs ordered over a link."""
        ordered, handle.ordered_tasks = handle.ordered_tasks, {}
        for job, task in ordered.values():
            self._settle_run(job, task, handle, RunEnd.LOST, 0.0)
        self.dispatch_waiting()

    def capacity_changed(self) -> None:
        """Run a dispatch pass, delayed if the previous one was very recent."""
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

    def handle_evacuations(self) -> None:
        """Refuse waiting jobs that no remaining worker can serve, and place the others again."""
        for job in list(self._waiting.values()):
            refusal = None if job.started else self._check_evacuations(job)
            if refusal is not None:
                self._metrics.incr("entry.job_given_up")
                self._end_job(job, JobState.REFUSED, refusal.reason, refusal.retry_after_s)
        self.dispatch_waiting()

    # Placement and orders.

    def dispatch_waiting(self) -> None:
        """Order waiting tasks in order of urgency while workers have free resources."""
        if not self._waiting or self.fleet is None:
            return
        now_ms = self._last_dispatch_ms = self._clock.monotonic_ms()
        if now_ms < self._holdoff_until_ms or now_ms - self._last_tick_ms > STALL_THRESHOLD_MS:
            return
        candidates = self._collect_candidates(now_ms)
        release_shares = {
            service: self.scarcity.released_share_per_ms(service, now_ms) for service in candidates
        }
        placing = PlacementPass(
            self.fleet,
            candidates,
            release_shares,
            self.far_factor,
            self.risks,
            self._rng,
            self._metrics,
        )
        full_services: set[str] = set()
        for job in sorted(self._waiting.values(), key=lambda job: job.rank(now_ms)):
            if not self.isolation.may_order(job.times.received_ms, self.peers, now_ms):
                continue
            service = job.queue.service
            if service in full_services:
                continue
            placed = placing.place(job, now_ms)
            if not placed.all_placed:
                self.fleet.widen_aperture()
            if placed.service_full:
                full_services.add(service)
            if placed.held and not job.held:
                job.held = True
                self._log_held(job, now_ms)
            sent = [
                batch
                for batch in placed.batches
                if self._order_batch(job, batch, candidates[service], now_ms)
            ]
            if sent:
                self._log_orders(job, sent, now_ms)
        self._remove_fully_ordered()

    def _collect_candidates(self, now_ms: float) -> dict[str, list[WorkerCandidate]]:
        candidates: dict[str, list[WorkerCandidate]] = {}
        assert self.fleet is not None
        for handle in self.fleet.usable_handles():
            offer = handle.offer(now_ms)
            if offer is not None and handle.report is not None:
                service = handle.report.state.service
                candidates.setdefault(service, []).append(WorkerCandidate(handle, offer))
        return candidates

    def _order_batch(
        self, job: OpenJob, batch: TaskBatch, candidates: list[WorkerCandidate], now_ms: float
    ) -> bool:
        """Send the orders of a batch; return whether they were sent."""
        handle, tasks = batch.handle, batch.tasks
        start_within_ms = job.times.latest_start_ms - now_ms
        resources = job.spec.steps[tasks[0].step].resources
        others_have_resources = any(
            each.offer.free.covers(resources) for each in candidates if each.handle is not handle
        )
        wait_ms = 0.0 if others_have_resources else RESOURCE_WAIT_MS
        if batch.isolated:
            wait_ms = ISOLATED_WAIT_MS
        orders = []
        for task, factor in zip(tasks, batch.run_factors, strict=True):
            task.run_factor = factor
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
                    job.expected_ms[task.step] * factor,
                    start_within_ms,
                    wait_ms,
                    batch.isolated,
                )
            )
        try:
            handle.send_orders(job, orders, now_ms)
        except LinkError:
            # Nothing was sent; the tasks wait for the next dispatch pass.
            for task in tasks:
                job.record_run_end(task, handle, RunEnd.NOT_STARTED)
            self._metrics.incr("entry.order_unsent", len(orders))
            return False
        job.started = True
        for task in tasks:
            job.mark_ordered(task, handle)
            handle.ordered_tasks[job.spec.job_id, task.step, task.index] = (job, task)
        self._metrics.incr("entry.tasks_sent", len(tasks))
        return True

    def _log_orders(self, job: OpenJob, sent: list[TaskBatch], now_ms: float) -> None:
        oldest_ms = min(batch.handle.liveness.last_report_ms for batch in sent)
        reasons = {batch.reason.value for batch in sent if batch.reason}
        self._log_job(
            "tasks ordered",
            job,
            " ".join(sorted(reasons)),
            workers=" ".join(f"{batch.handle.worker}:{len(batch.tasks)}" for batch in sent),
            report_age_ms=round(now_ms - oldest_ms),
            slack_ms=round(job.times.latest_start_ms - now_ms),
        )

    def _log_held(self, job: OpenJob, now_ms: float) -> None:
        self._log_job(
            "tasks held back",
            job,
            "waits for a better worker",
            slack_ms=round(job.times.latest_start_ms - now_ms),
        )

    def _remove_fully_ordered(self) -> None:
        for job_id in [job_id for job_id, job in self._waiting.items() if not job.unordered_count]:
            del self._waiting[job_id]

    # Run and job ends.

    def _settle_run(
        self, job: OpenJob, task: JobTask, handle: SideHandle, end: RunEnd, ran_ms: float
    ) -> None:
        if task.side is not handle:
            return
        if job.state is not JobState.OPEN:
            task.side = None
            return
        now_ms = self._clock.monotonic_ms()
        job.record_run_end(task, handle, end)
        if end is RunEnd.DONE:
            self._record_done(job, task, handle, ran_ms)
            return
        job.mark_waiting(task)
        self._metrics.incr(f"entry.run_undone.{end.value}")
        if end in (RunEnd.LOST, RunEnd.FAILED):
            self._log_job(
                "run ended without a result",
                job,
                end.value,
                task=task.index,
                attempt=task.attempts,
                worker=handle.worker,
                report_age_ms=round(now_ms - handle.liveness.last_report_ms),
                link_lost=handle.lost,
            )
        if end is RunEnd.MOVED:
            self.move(job)
            return
        if end is RunEnd.CANCELLED:
            self.cancel(job, "cancelled through another entry")
            return
        self._waiting[job.spec.job_id] = job
        if end is RunEnd.NOT_STARTED:
            # The same report carries the worker's free resources. The pause limits retries on a
            # worker that reports free resources but keeps rejecting orders.
            task.attempts -= 1
            task.rejections += 1
            if task.rejections % REJECTIONS_BEFORE_PAUSE == 0:
                task.not_before_ms = now_ms + REJECTION_PAUSE_MS
        elif end is RunEnd.FAILED:
            task.failures += 1
            task.avoid |= {handle.ended_on}
            if task.failures >= job.queue.max_attempts:
                self._end_job(
                    job, JobState.FAILED, f"task {task.index} failed {task.failures} times"
                )
        else:
            task.avoid |= {handle.ended_on}
            if end is RunEnd.LOST:
                task.lost_ms[handle.ended_on] = now_ms

    def _record_done(self, job: OpenJob, task: JobTask, handle: SideHandle, ran_ms: float) -> None:
        job.finish_task(task)
        slowness = handle.report.state.slowness if handle.report is not None else 1.0
        declared_ms = job.spec.steps[task.step].estimate_ms
        # A run that began before its step was on more than one rack may have slowed down since.
        if task.run_factor > 1 or not job.spread.spans_racks(task.step):
            expected_ms = ran_ms / slowness / task.run_factor
            self.run_time_estimator.record_run(job.queue.name, declared_ms, expected_ms)
        cores = job.spec.steps[task.step].resources.cpu_millis / 1000
        self.scarcity.record_run(cores, ran_ms, job.expected_ms[task.step])
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
        self.ending.add(job)
        attempts = job.highest_attempt() if job.started else 0
        self._history.record_ended(job.spec.job_id, STANDING_BY_STATE[state], attempts)
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

    def was_isolated_since(self, since_ms: float) -> bool:
        """Return whether this entry was out of contact after a time."""
        # After a stall, this may be called before the tick that records it.
        stalled_ms = self._clock.monotonic_ms() - max(self._last_tick_ms, since_ms)
        return stalled_ms >= ISOLATION_MIN_MS or self.isolation.was_isolated_since(since_ms)

    def has_stalled_lately(self) -> bool:
        """Return whether this process did not run for a time, and may read calls from before."""
        now_ms = self._clock.monotonic_ms()
        return now_ms - self._last_tick_ms >= ISOLATION_MIN_MS or self.isolation.has_stalled_since(
            now_ms - LATE_CALLS_MS
        )

    # Timers.

    def tick_interval_ms(self) -> float:
        """Return the time until the next tick."""
        if self._waiting:
            return TICK_INTERVAL_MS
        kept_until_ms = min(
            (job.times.keep_until_ms for job in self.jobs.values()), default=math.inf
        )
        left_ms = kept_until_ms - self._clock.monotonic_ms()
        return min(max(left_ms, TICK_INTERVAL_MS), IDLE_TICK_INTERVAL_MS)

    def tick(self) -> None:
        """Detect stalls, refuse jobs that waited too long, and run a dispatch pass."""
        now_ms = self._clock.monotonic_ms()
        stalled_ms = now_ms - self._last_tick_ms
        self._last_tick_ms = now_ms
        self.isolation.record_stall(stalled_ms, now_ms)
        if self.fleet is not None and self.fleet.is_out_of_contact(now_ms, ISOLATION_MIN_MS):
            self.isolation.record_isolation(now_ms)
        if stalled_ms > STALL_THRESHOLD_MS:
            self._holdoff_until_ms = now_ms + STALL_HOLDOFF_MS
            self._metrics.incr("entry.stalled")
            logger.warning(
                "process was stalled", extra={"for_ms": round(stalled_ms), "jobs": len(self.jobs)}
            )
        self._give_up_outlasted(now_ms)
        for job in list(self._waiting.values()):
            if not job.started and job.times.should_be_refused(now_ms):
                assert self.fleet is not None
                capacity = self.fleet.capacity(job.queue.service)
                backlog = self.scarcity.create_backlog(
                    job, self._waiting.values(), capacity, now_ms
                )
                retry_s = self.scarcity.retry_after_s(backlog, now_ms)
                self._metrics.incr("entry.job_given_up")
                self._end_job(job, JobState.REFUSED, "its time passed", retry_s)
        self.dispatch_waiting()

    def _give_up_outlasted(self, now_ms: float) -> None:
        """Give up the started jobs whose callers may leave without a sign to this entry."""
        for job in list(self.jobs.values()):
            if job.started and now_ms >= job.times.keep_until_ms:
                self._metrics.incr("entry.job_outlasted")
                self.move(job, "its caller's time is over")

    # Admission.

    def _check_evacuations(self, job: OpenJob) -> Refusal | None:
        """Return a refusal if evacuations leave no worker for a job."""
        service, steps = job.queue.service, job.spec.steps
        if self.fleet is None or not self.fleet.is_evacuated_for(service, steps):
            return None
        return Refusal("evacuated", DEFAULT_RETRY_S, 0.0)

    def _check_admission(self, job: OpenJob, now_ms: float) -> Refusal | None:
        if self.fleet is None:
            return Refusal("no_worker", DEFAULT_RETRY_S, 0.0)
        capacity = self.fleet.capacity(job.queue.service)
        if capacity.largest is None:
            return Refusal("no_worker", DEFAULT_RETRY_S, 0.0)
        if any(not capacity.largest.covers(step.resources) for step in job.spec.steps):
            return Refusal("too_large", DEFAULT_RETRY_S, 0.0)
        waiting = list(self._waiting.values())
        is_confined = self.risks.is_confined(job.queue.name)
        if is_confined:
            cell_capacity = self.risks.cell_capacity(job)
            if cell_capacity is None:
                retry_s = self._rng.randint(CONFINED_RETRY_MIN_S, CONFINED_RETRY_MAX_S)
                return Refusal("confined", retry_s, 0.0)
            capacity = cell_capacity
            waiting = [each for each in waiting if each.queue.name == job.queue.name]
        return self.scarcity.admit(job, waiting, capacity, now_ms, confined=is_confined)

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

    def _log_job(self, message: str, job: OpenJob, reason: str, **fields: object) -> None:
        logger.info(
            message,
            extra={"job": job.spec.job_id, "queue": job.queue.name, "reason": reason, **fields},
        )
