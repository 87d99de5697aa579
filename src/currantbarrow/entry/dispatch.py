"""Dispatch the tasks of accepted jobs to workers and combine their results."""

from __future__ import annotations

import math
from collections.abc import Callable

from currantbarrow.background import BackgroundTasks
from currantbarrow.entry.failures import (
    DispatchFailure,
    FailurePhase,
    after_start,
    answer_too_large,
    before_sending,
    refused,
)
from currantbarrow.entry.reconciler import TaskReconciler
from currantbarrow.entry.sent import SentTask, SentTasks, group_by_peer
from currantbarrow.entry.sides import SidePeer, SidePool
from currantbarrow.exceptions import LinkError
from currantbarrow.jobs import (
    MAX_ANSWER_BYTES,
    MAX_PART_BYTES,
    JobAnswer,
    JobRequest,
    JobStatus,
    TaskAnswer,
    TaskRun,
    TaskState,
    count_bytes,
)
from currantbarrow.jobs.table import Job, JobTable
from currantbarrow.observe import EventRing
from currantbarrow.policy import AdmissionRequest, Policies, QueuedTask, WorkerView
from currantbarrow.protocol import (
    Refused,
    RefusedReason,
    Result,
    Start,
    TaskResult,
)
from currantbarrow.types import Clock, Metrics

__all__ = ["Dispatcher"]

# The low bits of an attempt number count attempts. The bits above hold the owner's epoch, which is
# the assignment version that it has applied.
ATTEMPT_BITS = 16
# Minimum remaining time that is sent for a job with a deadline, since 0 means no deadline.
MIN_REMAINING_MS = 1.0
# How long an expired job waits for side processes to report which tasks never started.
CANCEL_REPLY_TIMEOUT_MS = 200.0
QUERY_RETRY_MS = 100.0
CANCEL_REPLY_POLL_MS = 2.0
DEADLINE_PASSED = "the time within which the answer was of use has passed"


class Dispatcher:
    """Run accepted jobs from admission to answer.

    A task is sent again only if its previous attempt is proven not to have started. A job fails
    as soon as one of its tasks fails or has an unknown outcome.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        metrics: Metrics,
        events: EventRing,
        policies: Policies,
        table: JobTable,
        may_start: Callable[[], bool],
        epoch: Callable[[], int],
        owners: Callable[[], int] = lambda: 1,
    ) -> None:
        self.policies = policies
        self.table = table
        self.pool: SidePool | None = None
        self._clock = clock
        self._metrics = metrics
        self._events = events
        self._may_start = may_start
        self._epoch = epoch
        self._owners = owners
        self._sent = SentTasks()
        self._reconciler = TaskReconciler(
            self._sent,
            clock=clock,
            metrics=metrics,
            on_result=self._handle_result,
            on_failure=self._handle_failure,
        )
        # Jobs past their deadline whose tasks are being cancelled.
        self._expiring: set[bytes] = set()
        self._background = BackgroundTasks(metrics)

    def submit(self, job: Job, target_ms: float) -> JobAnswer | None:
        """Admit a job and queue its tasks; return the refusal if it is not admitted."""
        request = job.request
        costs = [
            self.policies.estimator.estimate_ms(
                request.customer, request.job_class, task.declared_ms
            )
            for task in request.tasks
        ]
        refusal = self._refuse(request, target_ms, costs)
        if refusal is not None:
            return refusal
        job.target_ms = target_ms
        self.table.add(job)
        self._event("job_accepted", job)
        for index, cost_ms in enumerate(costs):
            self.policies.queue.add(self._create_queued_task(job, index, cost_ms))
        self._watch_deadline(job)
        self.start_queued()
        return None

    def resume(self, job: Job, target_ms: float) -> None:
        """Continue a job that another owner has handed over."""
        waiting = self._resume_started(job, target_ms)
        if job.answer is None:
            for task in waiting:
                self.policies.queue.add(task)
        self.start_queued()

    def recover(self, job: Job, target_ms: float) -> None:
        """Continue a job that was not handed over, once the state of its started tasks is known.

        Waiting tasks are not queued until then. If a started task failed, the former owner may
        have failed the job and reported the waiting tasks as never run.
        """
        waiting = self._resume_started(job, target_ms)
        self._background.spawn(self._resume_waiting(job, waiting))

    def _resume_started(self, job: Job, target_ms: float) -> list[QueuedTask]:
        """Track the started tasks of a job, and return its waiting tasks."""
        job.target_ms = target_ms
        self.table.add(job)
        self._event("job_adopted", job)
        by_side: dict[str, list[QueuedTask]] = {}
        waiting = []
        for index, progress in enumerate(job.tasks):
            if progress.answer is not None:
                continue
            task = self._create_queued_task(job, index, self._estimate(job, index))
            if progress.side:
                by_side.setdefault(progress.side, []).append(task)
            else:
                waiting.append(task)
        for side, tasks in by_side.items():
            self._track_started(job, side, tasks)
        self._watch_deadline(job)
        return waiting

    async def _resume_waiting(self, job: Job, waiting: list[QueuedTask]) -> None:
        """Queue a job's waiting tasks once its started tasks have ended or were queried."""
        for peer in group_by_peer(self._sent.of_job(job)):
            while self._is_open(job):
                outstanding = [sent for sent in self._sent.of_job(job) if sent.peer is peer]
                if not outstanding or await self._reconcile(peer, outstanding):
                    break
                await self._clock.sleep_ms(QUERY_RETRY_MS)
        if self._is_open(job) and job.job_id not in self._expiring:
            for task in waiting:
                self.policies.queue.add(task)
            self.start_queued()

    def cancel(self, job: Job) -> None:
        """Cancel a job: drop waiting tasks, stop running ones and answer at once."""
        if job.answer is None:
            self._metrics.incr("entry.job_cancelled")
            self._fail(job, "cancelled", "the caller cancelled the job")

    def release_job(self, job: Job) -> None:
        """Remove a job that another owner continues, without cancelling its running tasks."""
        self.policies.queue.discard(job.job_id)
        for sent in self._sent.of_job(job):
            self._sent.remove(sent)
        self.table.remove(job.job_id)
        job.redirect_waiters()

    def release_waiting(self) -> None:
        """Fail the calls of jobs with waiting tasks, so that their callers submit again later."""
        for job in self.table.open_jobs():
            if job.has_waiting:
                self._metrics.incr("entry.job_released")
                job.reject_waiters()

    def start_queued(self) -> None:
        """Start queued tasks while workers have free slots."""
        if self.pool is None or not len(self.policies.queue) or not self._may_start():
            return
        now_ms = self._clock.monotonic_ms()
        workers = [
            view
            for view in self.pool.views()
            if self.policies.health.is_usable(view.incarnation, now_ms)
        ]
        batches: dict[str, list[TaskRun]] = {}
        target_below_ms = math.inf
        while True:
            task = self.policies.queue.take(now_ms, target_below_ms)
            if task is None:
                break
            worker = self.policies.placement.choose(task, workers)
            if worker is None:
                # The placement policy may reserve slots for classes with a shorter target, so
                # only tasks of such classes are taken from here on.
                self.policies.queue.requeue(task)
                target_below_ms = task.target_ms
                continue
            batches.setdefault(worker.incarnation, []).append(self._assign(task, worker))
            self.policies.health.record_start(worker.incarnation, now_ms)
            if not self.policies.health.is_usable(worker.incarnation, now_ms):
                workers.remove(worker)
        for incarnation, runs in batches.items():
            for part in self._split_starts(runs):
                self._send(incarnation, part)

    def _split_starts(self, runs: list[TaskRun]) -> list[list[TaskRun]]:
        """Split starts into messages that stay well below the maximum frame size."""
        parts: list[list[TaskRun]] = [[]]
        part_bytes, part_job = 0, b""
        for run in runs:
            if run.job_id != part_job:
                part_job = run.job_id
                job = self.table.find(run.job_id)
                job_bytes = job.request_bytes if job is not None else 0
                if parts[-1] and part_bytes + job_bytes > MAX_PART_BYTES:
                    parts.append([])
                    part_bytes = 0
                part_bytes += job_bytes
            parts[-1].append(run)
        return parts

    def side_connected(self, peer: SidePeer) -> None:
        """Query a reconnected side process about the tasks that were sent to it before."""
        self._events.record("side_up", detail=peer.member.name)
        outstanding = self._sent.of_peer(peer)
        if outstanding:
            self._background.spawn(self._reconcile(peer, outstanding))

    def side_disconnected(self, peer: SidePeer) -> None:
        """Abandon the tasks at a side process unless it reconnects in time."""
        self._events.record("side_down", detail=peer.member.name)
        self._metrics.incr("entry.side_down")
        self._background.spawn(self._reconciler.abandon_after_timeout(peer))

    def side_removed(self, peer: SidePeer) -> None:
        """Abandon the tasks at a side process that has left the cluster."""
        self._reconciler.abandon(peer)

    def load_changed(self, peer: SidePeer) -> None:
        """Start queued tasks on slots that a worker has free now."""
        self.start_queued()

    def results_received(self, peer: SidePeer, message: Result) -> None:
        """Handle the results in a message."""
        for result in message.results:
            self._handle_result(peer, result)

    def starts_refused(self, peer: SidePeer, message: Refused) -> None:
        """Queue refused tasks again, since a refusal proves that they did not start."""
        self._metrics.incr("entry.starts_refused", len(message.tasks))
        for reference in message.tasks:
            sent = self._sent.find_attempt(peer, reference)
            if sent is None:
                self._metrics.incr("entry.late_refusal")
                continue
            self._handle_failure(sent, refused(message.reason), message.reason)

    async def run(self) -> None:
        """Query tasks that have been outstanding for long, until cancelled."""
        await self._reconciler.query_overdue()

    def stop(self) -> None:
        """Cancel all background work."""
        self._background.cancel_all()

    def _refuse(
        self, request: JobRequest, target_ms: float, costs: list[float]
    ) -> JobAnswer | None:
        admission_request = AdmissionRequest(
            request.customer,
            request.job_class,
            target_ms,
            costs,
            max(task.size_slots for task in request.tasks),
            self._clock.monotonic_ms(),
            self.policies.queue,
            self.pool.views() if self.pool else [],
            self._owners(),
        )
        refusal = self.policies.admission.decide(admission_request)
        if refusal is None:
            return None
        self._metrics.incr(f"entry.job_refused.{refusal.code}")
        tasks = [TaskAnswer(TaskState.NOT_RUN) for _ in request.tasks]
        return JobAnswer(
            JobStatus.REFUSED, tasks, refusal.code, refusal.reason, refusal.retry_after_ms, True
        )

    def _watch_deadline(self, job: Job) -> None:
        if job.request.timeout_ms > 0 and job.answer is None:
            self._background.spawn(self._expire_later(job))

    async def _expire_later(self, job: Job) -> None:
        """Cancel and fail a job at its deadline unless it has its answer by then."""
        await self._clock.sleep_ms(self._remaining_ms(job))
        if not self._is_open(job):
            return
        self._expiring.add(job.job_id)
        self.policies.queue.discard(job.job_id)
        self._reconciler.send_cancels(self._sent.of_job(job))
        # Side processes report within one round trip which tasks never started.
        until_ms = self._clock.monotonic_ms() + CANCEL_REPLY_TIMEOUT_MS
        while self._sent.of_job(job) and self._clock.monotonic_ms() < until_ms:
            await self._clock.sleep_ms(CANCEL_REPLY_POLL_MS)
        self._expiring.discard(job.job_id)
        if self._is_open(job):
            self._fail(job, "deadline_passed", DEADLINE_PASSED)

    def _is_open(self, job: Job) -> bool:
        """Return whether a job has no answer yet and still belongs to this process."""
        return job.answer is None and self.table.find(job.job_id) is job

    def _remaining_ms(self, job: Job) -> float:
        """Return the time until a job's deadline, 0 if it has none."""
        timeout_ms = job.request.timeout_ms
        if timeout_ms <= 0:
            return 0.0
        passed_ms = self._clock.monotonic_ms() - job.accepted_ms
        return max(MIN_REMAINING_MS, timeout_ms - passed_ms)

    def _create_queued_task(self, job: Job, index: int, cost_ms: float) -> QueuedTask:
        request = job.request
        return QueuedTask(
            job.job_id,
            index,
            customer=request.customer,
            job_class=request.job_class,
            arrived_ms=job.accepted_ms,
            target_ms=job.target_ms,
            cost_ms=cost_ms,
            size_slots=request.tasks[index].size_slots,
            job_task_count=len(request.tasks),
        )

    def _estimate(self, job: Job, index: int) -> float:
        request = job.request
        return self.policies.estimator.estimate_ms(
            request.customer, request.job_class, request.tasks[index].declared_ms
        )

    def _assign(self, task: QueuedTask, worker: WorkerView) -> TaskRun:
        job = self.table.find(task.job_id)
        if job is None or self.pool is None:
            raise LookupError("a queued task has no job")
        task.attempt += 1
        progress = job.tasks[task.index]
        # A later owner has a higher epoch, so its attempt numbers are above all those of an
        # earlier owner. A side process that refuses the earlier attempts accepts the later ones.
        progress.attempt = max(progress.attempt, self._epoch() << ATTEMPT_BITS) + 1
        progress.side = worker.incarnation
        peer = self.pool.peers[worker.incarnation]
        self._sent.add(SentTask(task, job, peer, self._clock.monotonic_ms()))
        waited_ms = self._clock.monotonic_ms() - task.arrived_ms
        return TaskRun(
            task.job_id,
            task.index,
            progress.attempt,
            task.job_class,
            task.customer,
            job.request.tasks[task.index].payload,
            task.target_ms - task.cost_ms - waited_ms,
            self.policies.stragglers.stop_after_ms(task.customer, task.job_class, task.cost_ms),
            task.size_slots,
            self._remaining_ms(job),
        )

    def _send(self, incarnation: str, runs: list[TaskRun]) -> None:
        if self.pool is None:
            return
        peer = self.pool.peers[incarnation]
        try:
            if peer.link is None:
                raise LinkError("the link is down")
            peer.link.post(Start(self._epoch(), peer.stamp_ms, runs))
        except LinkError as error:
            failure = before_sending(str(error))
            for run in runs:
                sent = self._sent.find(run.job_id, run.index)
                if sent is not None:
                    self._handle_failure(sent, failure)
            return
        self._metrics.incr("entry.tasks_sent", len(runs))
        for run in runs:
            self._events.record(
                "task_sent",
                job=run.job_id.hex(),
                task=run.index,
                job_class=run.job_class,
                detail=peer.member.name,
            )

    def _withdraw(self, sent: SentTask) -> None:
        """Remove a sent task that is proven not to have started."""
        self._sent.remove(sent)
        sent.job.tasks[sent.task.index].side = ""

    def _handle_failure(
        self, sent: SentTask, failure: DispatchFailure, reason: RefusedReason | None = None
    ) -> None:
        """Retry a task if it is proven not to have started, else fail its job."""
        self._metrics.incr(f"entry.dispatch_failed.{failure.phase}")
        if failure.proves_not_started:
            self._withdraw(sent)
            self._retry(sent, failure, reason)
            return
        self._sent.remove(sent)
        answer = TaskAnswer(failure.task_state, None, failure.cause)
        first = sent.job.record_task_end(sent.task.index, answer)
        if first and sent.job.job_id not in self._expiring:
            if failure.phase is FailurePhase.UNKNOWN:
                self._metrics.incr("entry.task_unknown")
            self._fail(sent.job, failure.code, failure.cause)

    def _retry(
        self, sent: SentTask, failure: DispatchFailure, reason: RefusedReason | None
    ) -> None:
        if sent.job.answer is not None or sent.job.job_id in self._expiring:
            return
        if reason is RefusedReason.EXPIRED:
            self._fail(sent.job, "deadline_passed", DEADLINE_PASSED)
            return
        delay_ms: float | None = 0.0
        if reason is not None:
            now_ms = self._clock.monotonic_ms()
            delay_ms = self.policies.retry.delay_ms(reason, sent.task.attempt, now_ms)
        if delay_ms is None:
            self._fail(sent.job, failure.code, failure.cause)
            return
        self._metrics.incr("entry.task_retried")
        self._requeue_later(sent, delay_ms)

    def _requeue_later(self, sent: SentTask, delay_ms: float) -> None:
        if delay_ms <= 0:
            self._requeue(sent)
        else:
            self._background.spawn(self._requeue_after(sent, delay_ms))

    async def _requeue_after(self, sent: SentTask, delay_ms: float) -> None:
        await self._clock.sleep_ms(delay_ms)
        self._requeue(sent)
        self.start_queued()

    def _requeue(self, sent: SentTask) -> None:
        if self._is_open(sent.job) and sent.job.job_id not in self._expiring:
            self.policies.queue.requeue(sent.task)

    def _handle_result(self, peer: SidePeer, result: TaskResult) -> None:
        sent = self._sent.find(result.job_id, result.index)
        if sent is None or sent.peer is not peer:
            # The result may be late, a duplicate, or of a job that is already answered.
            self._metrics.incr("entry.late_result")
            return
        self._record_run(sent, result)
        if result.state is not TaskState.DONE:
            self._handle_failure(sent, after_start(result))
            return
        job = sent.job
        value_bytes = count_bytes(result.value)
        if job.answer_bytes + value_bytes > MAX_ANSWER_BYTES:
            self._metrics.incr("entry.answer_too_large")
            self._handle_failure(sent, answer_too_large())
            return
        self._sent.remove(sent)
        if not job.record_task_end(result.index, TaskAnswer(result.state, result.value)):
            return
        job.answer_bytes += value_bytes
        if job.open_tasks == 0:
            self._finish(job, job.completed_answer())

    def _record_run(self, sent: SentTask, result: TaskResult) -> None:
        """Report a task's run time and outcome to the policies."""
        task = sent.task
        if sent.job.answer is not None:
            # A task stopped along with its job gives no evidence on its worker or its class.
            self.policies.queue.record_run_time(
                task.customer, task.job_class, task.cost_ms, result.run_ms
            )
            return
        if result.run_ms > task.target_ms:
            # Such a task misses its target however it is scheduled. The metric shows operators
            # which classes have targets that are too short.
            self._metrics.incr(f"entry.run_over_target.{task.job_class}")
        ok = result.state is TaskState.DONE
        declared_ms = sent.job.request.tasks[task.index].declared_ms
        if ok:
            self.policies.estimator.record(
                task.customer, task.job_class, declared_ms, result.run_ms
            )
        self.policies.queue.record_run_time(
            task.customer, task.job_class, task.cost_ms, result.run_ms
        )
        self.policies.health.record_end(
            sent.peer.member.incarnation,
            task.customer,
            task.job_class,
            ok,
            self._clock.monotonic_ms(),
        )

    def _finish(self, job: Job, answer: JobAnswer) -> None:
        self._metrics.incr(f"entry.job_{answer.status}")
        self._metrics.timing("entry.response", self._clock.monotonic_ms() - job.accepted_ms)
        self._event(f"job_{answer.status}", job, answer.code)
        job.finish(answer)
        self.table.record_answer(job)

    def _fail(self, job: Job, code: str, reason: str) -> None:
        """Answer a job that cannot complete; drop its waiting tasks and stop the others."""
        self.policies.queue.discard(job.job_id)
        answer = job.failed_answer(code, reason, owned=self._may_start())
        self._reconciler.send_cancels(self._sent.of_job(job))
        self._finish(job, answer)

    def _track_started(self, job: Job, side: str, tasks: list[QueuedTask]) -> None:
        """Track tasks that an earlier owner started at a side process, and query their state."""
        peer = self.pool.peers.get(side) if self.pool else None
        if peer is None:
            for task in tasks:
                job.record_task_end(task.index, TaskAnswer(TaskState.UNKNOWN))
            self._fail(job, "outcome_unknown", "the worker of a started task is gone")
            return
        now_ms = self._clock.monotonic_ms()
        outstanding = [SentTask(task, job, peer, now_ms) for task in tasks]
        for sent in outstanding:
            self._sent.add(sent)
        if peer.up:
            self._background.spawn(self._reconcile(peer, outstanding))
        else:
            self._background.spawn(self._reconciler.abandon_after_timeout(peer))

    async def _reconcile(self, peer: SidePeer, outstanding: list[SentTask]) -> bool:
        """Query tasks at a side process, then start queued ones; return whether it replied."""
        answered = await self._reconciler.reconcile(peer, outstanding)
        self.start_queued()
        return answered

    def _event(self, kind: str, job: Job, detail: str = "") -> None:
        self._events.record(
            kind, job=job.job_id.hex(), job_class=job.request.job_class, detail=detail
        )
