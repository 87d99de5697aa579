"""Start the tasks of accepted jobs on workers, and bring their results together."""

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
from currantbarrow.policy import AdmissionQuestion, Policies, QueuedTask, WorkerView
from currantbarrow.protocol import (
    Refused,
    RefusedReason,
    Result,
    Start,
    TaskResult,
)
from currantbarrow.types import Clock, Metrics

__all__ = ["Dispatcher"]

# Attempts of one owner at one task are numbered below this many bits.
ATTEMPT_BITS = 16
MIN_REMAINING_MS = 1.0
CANCEL_REPLY_TIMEOUT_MS = 200.0
QUERY_RETRY_MS = 100.0
CANCEL_REPLY_POLL_MS = 2.0
DEADLINE_PASSED = "the time within which the answer was of use has passed"


class Dispatcher:
    """Own accepted jobs from admission to answer."""

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
        # Jobs whose time has passed, while their tasks are being called back.
        self._expiring: set[bytes] = set()
        self._background = BackgroundTasks(metrics)

    def submit(self, job: Job, target_ms: float) -> JobAnswer | None:
        """Let a job in and queue its tasks, or return the refusal."""
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
        """Take over a job from another owner and go on with it."""
        waiting = self._resume_started(job, target_ms)
        if job.answer is None:
            for task in waiting:
                self.policies.queue.add(task)
        self.start_queued()

    def recover(self, job: Job, target_ms: float) -> None:
        """Go on with a job of an owner that is gone, once its started tasks have told how.

        If one of them ended badly, that owner has failed the job and said of the rest that
        it never ran.
        """
        waiting = self._resume_started(job, target_ms)
        self._background.spawn(self._resume_waiting(job, waiting))

    def _resume_started(self, job: Job, target_ms: float) -> list[QueuedTask]:
        """Attach a job's started tasks, and return those that wait."""
        job.target_ms = target_ms
        self.table.add(job)
        self._event("job_adopted", job)
        by_side: dict[str, list[QueuedTask]] = {}
        waiting = []
        for index, entry in enumerate(job.tasks):
            if entry.answer is not None:
                continue
            task = self._create_queued_task(job, index, self._estimate(job, index))
            if entry.side:
                by_side.setdefault(entry.side, []).append(task)
            else:
                waiting.append(task)
        for side, tasks in by_side.items():
            self._track_started(job, side, tasks)
        self._watch_deadline(job)
        return waiting

    async def _resume_waiting(self, job: Job, waiting: list[QueuedTask]) -> None:
        for peer in group_by_peer(self._sent.of_job(job)):
            while self._is_open(job):
                left = [sent for sent in self._sent.of_job(job) if sent.peer is peer]
                if not left or await self._reconcile(peer, left):
                    break
                await self._clock.sleep_ms(QUERY_RETRY_MS)
        if self._is_open(job) and job.job_id not in self._expiring:
            for task in waiting:
                self.policies.queue.add(task)
            self.start_queued()

    def cancel(self, job: Job) -> None:
        """Drop a job's waiting tasks, stop its running ones and answer at once."""
        if job.answer is None:
            self._metrics.incr("entry.job_cancelled")
            self._fail(job, "cancelled", "the caller cancelled the job")

    def release_job(self, job: Job) -> None:
        """Let go of a job that another owner goes on with."""
        self.policies.queue.discard(job.job_id)
        for sent in self._sent.of_job(job):
            self._sent.remove(sent)
        self.table.remove(job.job_id)
        job.move()

    def release_waiting(self) -> None:
        """Send callers away whose tasks may not be started now, and may not be for long."""
        for job in self.table.open_jobs():
            if job.has_waiting:
                self._metrics.incr("entry.job_released")
                job.release()

    def start_queued(self) -> None:
        """Start waiting tasks while workers have room."""
        if self.pool is None or not len(self.policies.queue) or not self._may_start():
            return
        now_ms = self._clock.monotonic_ms()
        workers = [
            view
            for view in self.pool.views()
            if self.policies.health.usable(view.incarnation, now_ms)
        ]
        batches: dict[str, list[TaskRun]] = {}
        shorter_than_ms = math.inf
        while True:
            task = self.policies.queue.take(now_ms, shorter_than_ms)
            if task is None:
                break
            worker = self.policies.placement.choose(task, workers)
            if worker is None:
                # Slots may be kept for classes with a shorter target, which go on.
                self.policies.queue.requeue(task)
                shorter_than_ms = task.target_ms
                continue
            batches.setdefault(worker.incarnation, []).append(self._assign(task, worker))
            self.policies.health.started(worker.incarnation, now_ms)
            if not self.policies.health.usable(worker.incarnation, now_ms):
                workers.remove(worker)
        for incarnation, runs in batches.items():
            for part in self._split_starts(runs):
                self._send(incarnation, part)

    def _split_starts(self, runs: list[TaskRun]) -> list[list[TaskRun]]:
        """Divide starts, so that each message stays well below the largest frame."""
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
        """Ask a side process that is back about the tasks that were left with it."""
        self._events.record("side_up", detail=peer.member.name)
        left = self._sent.of_peer(peer)
        if left:
            self._background.spawn(self._reconcile(peer, left))

    def side_disconnected(self, peer: SidePeer) -> None:
        """Give a side process a while to come back."""
        self._events.record("side_down", detail=peer.member.name)
        self._metrics.incr("entry.side_down")
        self._background.spawn(self._reconciler.abandon_after_timeout(peer))

    def side_removed(self, peer: SidePeer) -> None:
        """Give up the tasks that were left with a side process that is gone."""
        self._reconciler.abandon(peer)

    def load_changed(self, peer: SidePeer) -> None:
        """Use room that a worker has now."""
        self.start_queued()

    def results_received(self, peer: SidePeer, message: Result) -> None:
        """Take in results."""
        for result in message.results:
            self._handle_result(peer, result)

    def starts_refused(self, peer: SidePeer, message: Refused) -> None:
        """Queue refused tasks again; a refusal proves that they did not start."""
        self._metrics.incr("entry.starts_refused", len(message.tasks))
        for reference in message.tasks:
            sent = self._sent.find_attempt(peer, reference)
            if sent is None:
                self._metrics.incr("entry.late_refusal")
                continue
            self._handle_failure(sent, refused(message.reason), message.reason)

    async def run(self) -> None:
        """Look after tasks that have been out for long, until cancelled."""
        await self._reconciler.query_overdue()

    def stop(self) -> None:
        """End the work in the background."""
        self._background.cancel_all()

    def _refuse(
        self, request: JobRequest, target_ms: float, costs: list[float]
    ) -> JobAnswer | None:
        question = AdmissionQuestion(
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
        refusal = self.policies.admission.decide(question)
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
        await self._clock.sleep_ms(self._remaining_ms(job))
        if not self._is_open(job):
            return
        self._expiring.add(job.job_id)
        self.policies.queue.discard(job.job_id)
        self._reconciler.send_cancels(self._sent.of_job(job))
        # The side processes' replies tell what never started; they take one round trip.
        until_ms = self._clock.monotonic_ms() + CANCEL_REPLY_TIMEOUT_MS
        while self._sent.of_job(job) and self._clock.monotonic_ms() < until_ms:
            await self._clock.sleep_ms(CANCEL_REPLY_POLL_MS)
        self._expiring.discard(job.job_id)
        if self._is_open(job):
            self._fail(job, "deadline_passed", DEADLINE_PASSED)

    def _is_open(self, job: Job) -> bool:
        return job.answer is None and self.table.find(job.job_id) is job

    def _remaining_ms(self, job: Job) -> float:
        """Return the time until a job's answer is of no use, 0 when there is no such time."""
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
            job_tasks=len(request.tasks),
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
        entry = job.tasks[task.index]
        # Attempts of a later owner are above all of an earlier one, so what side processes
        # refuse for the earlier one never stands in the way.
        entry.attempt = max(entry.attempt, self._epoch() << ATTEMPT_BITS) + 1
        entry.side = worker.incarnation
        peer = self.pool.peers[worker.incarnation]
        self._sent.add(SentTask(task, job, peer, self._clock.monotonic_ms()))
        waited_ms = self._clock.monotonic_ms() - task.arrived_ms
        return TaskRun(
            task.job_id,
            task.index,
            entry.attempt,
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
        """Take back a task that surely did not start."""
        self._sent.remove(sent)
        sent.job.tasks[sent.task.index].side = ""

    def _handle_failure(
        self, sent: SentTask, failure: DispatchFailure, reason: RefusedReason | None = None
    ) -> None:
        """Go on after a failed dispatch: try again only what surely did not start."""
        self._metrics.incr(f"entry.dispatch_failed.{failure.phase}")
        if failure.proves_not_started:
            self._withdraw(sent)
            self._retry(sent, failure, reason)
            return
        self._sent.remove(sent)
        answer = TaskAnswer(failure.task_state, None, failure.cause)
        first = sent.job.end_task(sent.task.index, answer)
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
            # It may be late, a second copy, or of a job that has its answer.
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
        if not job.end_task(result.index, TaskAnswer(result.state, result.value)):
            return
        job.answer_bytes += value_bytes
        if job.open_tasks == 0:
            self._finish(job, job.complete())

    def _record_run(self, sent: SentTask, result: TaskResult) -> None:
        task = sent.task
        if sent.job.answer is not None:
            # A task that was stopped with its job says nothing of its worker or kind.
            self.policies.queue.ended(task.customer, task.job_class, task.cost_ms, result.run_ms)
            return
        if result.run_ms > task.target_ms:
            # Such a task misses its target in any order; operators see which class has many.
            self._metrics.incr(f"entry.run_over_target.{task.job_class}")
        ok = result.state is TaskState.DONE
        declared_ms = sent.job.request.tasks[task.index].declared_ms
        if ok:
            self.policies.estimator.record(
                task.customer, task.job_class, declared_ms, result.run_ms
            )
        self.policies.queue.ended(task.customer, task.job_class, task.cost_ms, result.run_ms)
        self.policies.health.ended(
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
        self.table.keep_answer(job)

    def _fail(self, job: Job, code: str, reason: str) -> None:
        """Answer a job that cannot complete: waiting tasks are dropped, others stopped."""
        self.policies.queue.discard(job.job_id)
        answer = job.fail(code, reason, owned=self._may_start())
        self._reconciler.send_cancels(self._sent.of_job(job))
        self._finish(job, answer)

    def _track_started(self, job: Job, side: str, tasks: list[QueuedTask]) -> None:
        peer = self.pool.peers.get(side) if self.pool else None
        if peer is None:
            for task in tasks:
                job.end_task(task.index, TaskAnswer(TaskState.UNKNOWN))
            self._fail(job, "outcome_unknown", "the worker of a started task is gone")
            return
        now_ms = self._clock.monotonic_ms()
        left = [SentTask(task, job, peer, now_ms) for task in tasks]
        for sent in left:
            self._sent.add(sent)
        if peer.up:
            self._background.spawn(self._reconcile(peer, left))
        else:
            self._background.spawn(self._reconciler.abandon_after_timeout(peer))

    async def _reconcile(self, peer: SidePeer, left: list[SentTask]) -> bool:
        answered = await self._reconciler.reconcile(peer, left)
        self.start_queued()
        return answered

    def _event(self, kind: str, job: Job, detail: str = "") -> None:
        self._events.record(
            kind, job=job.job_id.hex(), job_class=job.request.job_class, detail=detail
        )
