"""Route each submission to the owner of its shard and return its answer."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from currantbarrow.classes import ClassState
from currantbarrow.cluster import ClusterState
from currantbarrow.entry.dispatch import Dispatcher
from currantbarrow.entry.ownership import Ownership, OwnershipOptions
from currantbarrow.entry.peers import EntryPool
from currantbarrow.entry.refusals import RefusedSubmissions
from currantbarrow.exceptions import (
    JobConflict,
    JobInvalid,
    JobUnknown,
    LinkError,
    OwnershipError,
    RemoteError,
)
from currantbarrow.jobs import (
    JobAnswer,
    JobRequest,
    JobStatus,
    TaskAnswer,
    TaskState,
    make_job_id,
    shard_of,
)
from currantbarrow.jobs.table import Job
from currantbarrow.protocol import CancelJob, Forward, Forwarded, JobShown, RpcClient, ShowJob
from currantbarrow.types import Clock, Metrics

__all__ = ["Router"]

# How long a submission is retried before it fails, while the owner of its shard is unreachable.
OWNER_WAIT_MS = 8000.0
OWNER_RETRY_MS = 50.0
FORWARD_TIMEOUT_MS = 120_000.0
CONTROL_TIMEOUT_MS = 2000.0
MAX_HOPS = 2
CLASS_UNKNOWN = "class_unknown"


class Router:
    """Answer submissions, cancellations and queries, whichever entry owns the shard."""

    def __init__(
        self,
        owner: str,
        options: OwnershipOptions,
        *,
        clock: Clock,
        metrics: Metrics,
        cluster: ClusterState,
        classes: ClassState,
        ownership: Ownership,
        entries: EntryPool,
        dispatcher: Dispatcher,
        lease_held: Callable[[], bool],
        classes_known: Callable[[], bool],
    ) -> None:
        self._refused = RefusedSubmissions(clock)
        self._submissions = 0
        self._lease_held = lease_held
        self._classes_known = classes_known
        self._owner = owner
        self._options = options
        self._clock = clock
        self._metrics = metrics
        self._cluster = cluster
        self._classes = classes
        self._ownership = ownership
        self._entries = entries
        self._dispatcher = dispatcher

    async def submit(self, request: JobRequest, hops: int = 0, submission: str = "") -> JobAnswer:
        """Return the answer to a job; raise JobInvalid, JobConflict or OwnershipError."""
        if not submission:
            self._submissions += 1
            submission = f"{self._owner}/{self._submissions}"
        job_id = make_job_id(request)
        deadline_ms = self._clock.monotonic_ms() + OWNER_WAIT_MS
        while True:
            try:
                self._check_time(request)
                return await self._submit_once(request, job_id, hops, submission)
            except (OwnershipError, LinkError) as error:
                # A retry can't start a job twice, because the owner returns the answer of the
                # first job for a duplicate of its key.
                if hops or self._clock.monotonic_ms() > deadline_ms:
                    raise OwnershipError(str(error)) from error
            self._metrics.incr("entry.owner_retry")
            await self._clock.sleep_ms(OWNER_RETRY_MS)

    async def cancel(self, customer: str, key: str, created_at_ms: int) -> JobAnswer | None:
        """Cancel a job; return its answer, None if the job has not been submitted yet."""
        job_id, owner = self._locate(customer, key, created_at_ms)
        if owner != self._owner:
            reply = await self._ask_owner(
                owner, lambda call_id: CancelJob(call_id, customer, key, created_at_ms)
            )
            return reply.answer
        await self._ownership.wait_ready(shard_of(job_id), CONTROL_TIMEOUT_MS)
        job = self._dispatcher.table.find(job_id)
        if job is None:
            self._require_lease()
            self._dispatcher.table.record_early_cancel(job_id)
            return None
        self._dispatcher.cancel(job)
        return job.answer

    async def show(self, customer: str, key: str, created_at_ms: int) -> JobAnswer | None:
        """Return a job's answer, None while it runs; raise JobUnknown or OwnershipError."""
        job_id, owner = self._locate(customer, key, created_at_ms)
        if owner != self._owner:
            reply = await self._ask_owner(
                owner, lambda call_id: ShowJob(call_id, customer, key, created_at_ms)
            )
            if not reply.known:
                raise JobUnknown("no job is known for the key")
            return reply.answer
        await self._ownership.wait_ready(shard_of(job_id), CONTROL_TIMEOUT_MS)
        job = self._dispatcher.table.find(job_id)
        if job is None:
            self._require_lease()
            raise JobUnknown("no job is known for the key")
        return job.answer

    def _require_lease(self) -> None:
        """Raise OwnershipError unless this process holds its lease.

        An owner that was paused may have been replaced without knowing it. A job that is missing
        from its table may then have run at the new owner.
        """
        if not self._lease_held():
            raise OwnershipError("this entry's lease is not confirmed")

    def check(self, request: JobRequest) -> None:
        """Raise JobInvalid for a job that no owner can admit, OwnershipError to retry later."""
        self._check_time(request)
        # The job may have run before its class was removed, which only its owner can know.
        self._check_class(request, not_run=False)

    def _check_time(self, request: JobRequest) -> None:
        ahead_ms = request.created_at_ms - self._clock.wall_ms()
        if ahead_ms > 2 * self._options.skew_ms:
            raise JobInvalid("the key's creation time is in the future", field="created_at_ms")
        if ahead_ms > self._options.skew_ms:
            # Another entry whose clock is ahead may have admitted the job, so it can't be
            # reported as never run. A retry succeeds once this clock has caught up.
            raise OwnershipError("the key's creation time is ahead of this entry's clock")

    def _check_class(self, request: JobRequest, *, not_run: bool) -> None:
        if self._classes.find(request.job_class) is None:
            if not self._classes_known():
                raise OwnershipError("this entry has not read the classes yet")
            raise _class_unknown(request.job_class, not_run=not_run)

    async def _submit_once(
        self, request: JobRequest, job_id: bytes, hops: int, submission: str
    ) -> JobAnswer:
        shard = shard_of(job_id)
        owner = self._cluster.assignment.owner_of(shard)
        if owner == self._owner:
            await self._ownership.wait_ready(shard, OWNER_WAIT_MS)
            return await self._submit_locally(request, job_id, submission)
        if not owner or hops >= MAX_HOPS:
            raise OwnershipError("the owner of the shard cannot be reached")
        try:
            reply = await self._route_to(owner, hops).call(
                lambda call_id: Forward(call_id, request, hops + 1, submission),
                Forwarded,
                FORWARD_TIMEOUT_MS,
            )
        except RemoteError as error:
            if error.remote_code == JobConflict.code:
                raise JobConflict("the key was used before with another body") from error
            if error.remote_code == CLASS_UNKNOWN:
                raise _class_unknown(request.job_class, not_run=True) from error
            raise
        return reply.answer

    def _route_to(self, owner: str, hops: int) -> RpcClient:
        """Return a client for the owner, else for an entry that relays; raise OwnershipError."""
        peer = self._entries.peers.get(owner)
        if peer is not None and peer.rpc is not None:
            return peer.rpc
        relays = [peer.rpc for peer in self._entries.peers.values() if peer.rpc is not None]
        if not relays or hops + 1 >= MAX_HOPS:
            raise OwnershipError("the owner of the shard cannot be reached")
        self._metrics.incr("entry.relayed")
        return relays[0]

    async def _submit_locally(
        self, request: JobRequest, job_id: bytes, submission: str
    ) -> JobAnswer:
        shard = shard_of(job_id)
        job = self._dispatcher.table.find_duplicate(job_id, request)
        if job is not None:
            if job.has_waiting:
                # Without a lease the waiting tasks can't be started, so the call would not return.
                self._require_lease()
            self._metrics.incr("entry.job_joined")
            return await asyncio.shield(job.future)
        self._require_lease()
        repeated = self._refused.find(submission, request)
        if repeated is not None:
            self._metrics.incr("entry.late_submission")
            return repeated
        oldest_ms = self._clock.wall_ms() - self._options.window_ms
        if request.created_at_ms <= oldest_ms:
            return self._refuse_unknown(request, "key_expired", "the key is older than the window")
        started = self._ownership.recovered(shard, job_id)
        records_complete = self._ownership.has_complete_records(shard, request.created_at_ms)
        if started is None and not records_complete:
            self._metrics.incr("entry.outcome_unknown")
            reason = "the job's former owner is gone, and it may have started the job"
            return self._refuse_unknown(request, "outcome_unknown", reason)
        cancelled = self._dispatcher.table.is_cancelled(job_id)
        if cancelled and started is None:
            return self._refuse_cancelled(request)
        if started is None:
            self._check_class(request, not_run=True)
        job = Job(job_id, request, self._clock.monotonic_ms())
        target_ms = self._target_ms(request.job_class)
        if started is not None:
            self._recover(job, started, records_complete, target_ms)
            if cancelled:
                self._dispatcher.cancel(job)
        else:
            refusal = self._dispatcher.submit(job, target_ms)
            if refusal is not None:
                self._refused.record(submission, refusal)
                return refusal
        return await asyncio.shield(job.future)

    def _recover(
        self, job: Job, started: dict[int, str], records_complete: bool, target_ms: float
    ) -> None:
        """Continue a job that a former owner had started.

        `started` maps the index of each task that is known to have started to its side process.
        Without complete records, the other tasks may have started too.
        """
        self._metrics.incr("entry.job_recovered")
        for index, progress in enumerate(job.tasks):
            progress.side = started.get(index, "")
            if not progress.side and not records_complete:
                job.record_task_end(index, TaskAnswer(TaskState.UNKNOWN))
        if any(progress.answer is not None for progress in job.tasks):
            self._dispatcher.table.add(job)
            job.finish(job.failed_answer("outcome_unknown", "some tasks may have been started"))
            return
        self._dispatcher.recover(job, target_ms)

    def _target_ms(self, job_class: str) -> float:
        revision = self._classes.find(job_class)
        return revision.definition.target_ms if revision and revision.definition else 0.0

    @staticmethod
    def _refuse_unknown(request: JobRequest, code: str, reason: str) -> JobAnswer:
        """Return a failed answer that does not say whether the job ran before."""
        tasks = [TaskAnswer(TaskState.UNKNOWN) for _ in request.tasks]
        return JobAnswer(JobStatus.FAILED, tasks, code, reason)

    @staticmethod
    def _refuse_cancelled(request: JobRequest) -> JobAnswer:
        tasks = [TaskAnswer(TaskState.NOT_RUN) for _ in request.tasks]
        reason = "the caller cancelled the job before it came"
        return JobAnswer(JobStatus.REFUSED, tasks, "cancelled", reason, 0, True)

    def _locate(self, customer: str, key: str, created_at_ms: int) -> tuple[bytes, str]:
        job_id = make_job_id(JobRequest(key, created_at_ms, customer, "", []))
        return job_id, self._cluster.assignment.owner_of(shard_of(job_id))

    async def _ask_owner(self, owner: str, build: Callable[[int], CancelJob | ShowJob]) -> JobShown:
        peer = self._entries.peers.get(owner)
        if peer is None:
            raise OwnershipError("the owner of the shard cannot be reached")
        try:
            return await peer.require_rpc().call(build, JobShown, CONTROL_TIMEOUT_MS)
        except LinkError as error:
            raise OwnershipError(str(error)) from error


def _class_unknown(name: str, *, not_run: bool) -> JobInvalid:
    message = f"there is no class named {name}"
    return JobInvalid(message, field="class", code=CLASS_UNKNOWN, not_run=not_run)
