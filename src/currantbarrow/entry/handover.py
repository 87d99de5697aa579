"""Send the job tables of shards to their next owners and apply those of former owners."""

from __future__ import annotations

from collections.abc import Iterator

import msgspec

from currantbarrow.background import BackgroundTasks
from currantbarrow.cluster import ClusterState
from currantbarrow.entry.dispatch import Dispatcher
from currantbarrow.entry.ownership import Ownership
from currantbarrow.entry.peers import EntryPool
from currantbarrow.exceptions import LinkClosed, LinkError
from currantbarrow.jobs import MAX_PART_BYTES, TaskAnswer, count_bytes, shard_of
from currantbarrow.jobs.table import Job, JobTable
from currantbarrow.protocol import Handover, HandoverDone, JobRow, RecoveredRow, TaskRow
from currantbarrow.types import Clock, Metrics

__all__ = ["HandoverSender", "apply_handover", "build_handovers", "job_to_row", "restore_job"]

JOBS_PER_PART = 64
PART_TIMEOUT_MS = 1000.0
SEND_TIMEOUT_MS = 4000.0
RETRY_MS = 20.0


def job_to_row(job: Job, now_ms: float) -> JobRow:
    """Convert a job to a row of a handover message."""
    tasks = []
    for progress in job.tasks:
        row = TaskRow(progress.attempt, progress.side)
        # The values of an answered job are in its answer, so they are not repeated here.
        if progress.answer is not None and job.answer is None:
            answer = progress.answer
            row = TaskRow(progress.attempt, progress.side, answer.state, answer.value, answer.error)
        tasks.append(row)
    return JobRow(
        job.job_id,
        job.digest,
        job.request.created_at_ms,
        job.request,
        tasks,
        job.answer,
        now_ms - job.accepted_ms,
    )


def restore_job(row: JobRow, now_ms: float) -> Job | None:
    """Return the job that a row describes, None if the row has no request."""
    if row.request is None:
        return None
    job = Job(row.job_id, row.request, now_ms - row.accepted_ago_ms)
    # The request of a completed job has no tasks, so its digest can't be computed here.
    job.digest = row.digest
    for index, task in enumerate(row.tasks):
        progress = job.tasks[index]
        progress.attempt = task.attempt
        progress.side = task.side
        if task.state is not None:
            job.record_task_end(index, TaskAnswer(task.state, task.value, task.error))
            job.answer_bytes += count_bytes(task.value)
    if row.answer is not None:
        job.answer_bytes = count_bytes(row.answer)
        job.finish(row.answer)
    return job


def build_handovers(
    ownership: Ownership, table: JobTable, shards: set[int], version: int, now_ms: float
) -> list[Handover]:
    """Return the messages that hand over shards; their call ids are set on sending."""
    # Wall-clock time; for jobs created later, the records here are complete.
    certain_from_ms = ownership.certain_from_ms(shards)
    recovered = [
        RecoveredRow(job_id, sides) for job_id, sides in ownership.recovered_in(shards).items()
    ]
    shard_numbers = sorted(shards)
    parts = [
        Handover(0, version, shard_numbers, rows, [], certain_from_ms, False)
        for rows in _chunks(table.jobs_in_shards(shards), now_ms)
    ]
    cancelled = table.cancelled_in_shards(shards)
    parts.append(
        Handover(0, version, shard_numbers, [], recovered, certain_from_ms, True, cancelled)
    )
    return parts


def _chunks(jobs: list[Job], now_ms: float) -> Iterator[list[JobRow]]:
    """Yield the rows of jobs in chunks that stay well below the maximum frame size."""
    rows: list[JobRow] = []
    chunk_bytes = 0
    for job in jobs:
        job_bytes = job.request_bytes + job.answer_bytes
        if rows and (len(rows) >= JOBS_PER_PART or chunk_bytes + job_bytes > MAX_PART_BYTES):
            yield rows
            rows, chunk_bytes = [], 0
        rows.append(job_to_row(job, now_ms))
        chunk_bytes += job_bytes
    if rows:
        yield rows


def apply_handover(
    call: Handover,
    former_owner: str,
    ownership: Ownership,
    dispatcher: Dispatcher,
    clock: Clock,
    targets_by_class: dict[str, float],
) -> HandoverDone:
    """Apply one part of a handover from the former owner of shards."""
    expected_shards = {
        shard
        for shard in call.shards
        if ownership.record_handover_part(shard, former_owner, call.version)
    }
    for row in call.jobs:
        if shard_of(row.job_id) not in expected_shards or dispatcher.table.find(row.job_id):
            continue
        job = restore_job(row, clock.monotonic_ms())
        if job is None:
            continue
        if job.answer is not None:
            dispatcher.table.add(job)
            dispatcher.table.record_answer(job)
        else:
            dispatcher.resume(job, targets_by_class.get(job.request.job_class, 0.0))
    for recovered in call.recovered:
        if shard_of(recovered.job_id) in expected_shards:
            ownership.add_recovered(recovered.job_id, recovered.sides)
    for job_id in call.cancelled:
        if shard_of(job_id) in expected_shards:
            dispatcher.table.record_early_cancel(job_id)
    if call.last:
        ownership.make_ready(expected_shards, call.certain_from_ms)
    accepted = expected_shards or ownership.are_ready_at(call.shards, call.version)
    return HandoverDone(call.call_id, bool(accepted))


class HandoverSender:
    """Release lost shards and send their job tables to the next owners."""

    __slots__ = (
        "_background",
        "_clock",
        "_cluster",
        "_dispatcher",
        "_entries",
        "_metrics",
        "active_sends",
    )

    def __init__(
        self,
        *,
        clock: Clock,
        metrics: Metrics,
        background: BackgroundTasks,
        cluster: ClusterState,
        dispatcher: Dispatcher,
        entries: EntryPool,
    ) -> None:
        # The number of handovers that are being sent.
        self.active_sends = 0
        self._clock = clock
        self._metrics = metrics
        self._background = background
        self._cluster = cluster
        self._dispatcher = dispatcher
        self._entries = entries

    def release_shards(self, ownership: Ownership, lost: set[int], to_hand_over: set[int]) -> None:
        """Remove the jobs of lost shards, and send the job tables to be handed over."""
        assignment = self._cluster.assignment
        table = self._dispatcher.table
        groups: dict[tuple[str, int], set[int]] = {}
        for shard in sorted(to_hand_over):
            key = (assignment.owner_of(shard), assignment.since[shard])
            groups.setdefault(key, set()).add(shard)
        for (owner, since_version), shards in groups.items():
            now_ms = self._clock.monotonic_ms()
            parts = build_handovers(ownership, table, shards, since_version, now_ms)
            self.active_sends += 1
            self._background.spawn(self._send(owner, parts))
        for job in table.jobs_in_shards(lost):
            self._dispatcher.release_job(job)

    async def _send(self, owner: str, parts: list[Handover]) -> None:
        try:
            for part in parts:
                if not await self._send_part(owner, part):
                    self._metrics.incr("entry.handover_rejected")
                    return
        except LinkError:
            # The next owner then performs a takeover: it learns the started tasks from the records
            # of the side processes.
            self._metrics.incr("entry.handover_failed")
        finally:
            self.active_sends -= 1

    async def _send_part(self, owner: str, part: Handover) -> bool:
        """Send a part until it is accepted; on timeout return False or raise the LinkError."""
        deadline_ms = self._clock.monotonic_ms() + SEND_TIMEOUT_MS
        while True:
            try:
                if await self._try_send_part(owner, part):
                    return True
                # The next owner may not have read the record of its assignment yet.
                if self._clock.monotonic_ms() > deadline_ms:
                    return False
            except LinkError:
                if self._clock.monotonic_ms() > deadline_ms:
                    raise
            await self._clock.sleep_ms(RETRY_MS)

    async def _try_send_part(self, owner: str, part: Handover) -> bool:
        peer = self._entries.peers.get(owner)
        if peer is None:
            raise LinkClosed("the next owner is not known")
        done = await peer.require_rpc().call(
            lambda call_id: msgspec.structs.replace(part, call_id=call_id),
            HandoverDone,
            PART_TIMEOUT_MS,
        )
        return done.accepted
