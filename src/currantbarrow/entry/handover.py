"""Give job tables to next owners, and take them from former ones."""

from __future__ import annotations

from currantbarrow.entry.dispatch import Dispatcher
from currantbarrow.entry.ownership import Ownership
from currantbarrow.jobs import TaskAnswer, shard_of
from currantbarrow.jobs.table import Job, JobTable
from currantbarrow.protocol import Handover, HandoverDone, JobRow, RecoveredRow, TaskRow
from currantbarrow.types import Clock

__all__ = ["build_handovers", "describe_job", "restore_job", "take_handover"]

JOBS_PER_PART = 64


def describe_job(job: Job, now_ms: float) -> JobRow:
    """Return a job as a row of a handover."""
    tasks = []
    for entry in job.tasks:
        row = TaskRow(entry.attempt, entry.side)
        if entry.answer is not None:
            answer = entry.answer
            row = TaskRow(entry.attempt, entry.side, answer.state, answer.value, answer.error)
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
    """Return the job that a row describes."""
    if row.request is None:
        return None
    job = Job(row.job_id, row.request, now_ms - row.accepted_ago_ms)
    for index, task in enumerate(row.tasks):
        entry = job.tasks[index]
        entry.attempt = task.attempt
        entry.side = task.side
        if task.state is not None:
            job.end_task(index, TaskAnswer(task.state, task.value, task.error))
    if row.answer is not None:
        job.finish(row.answer)
    return job


def build_handovers(
    ownership: Ownership, table: JobTable, shards: set[int], version: int, now_ms: float
) -> list[Handover]:
    """Return the parts of a handover of ready shards; the call id is set on sending."""
    certain_from_ms = ownership.certain_from_ms(shards)
    recovered = [
        RecoveredRow(job_id, sides) for job_id, sides in ownership.recovered_in(shards).items()
    ]
    rows = [describe_job(job, now_ms) for job in table.in_shards(shards)]
    chunks = [rows[start : start + JOBS_PER_PART] for start in range(0, len(rows), JOBS_PER_PART)]
    numbers = sorted(shards)
    parts = [Handover(0, version, numbers, chunk, [], certain_from_ms, False) for chunk in chunks]
    cancelled = table.cancelled_in(shards)
    parts.append(Handover(0, version, numbers, [], recovered, certain_from_ms, True, cancelled))
    return parts


def take_handover(
    call: Handover,
    former: str,
    ownership: Ownership,
    dispatcher: Dispatcher,
    clock: Clock,
    target_of: dict[str, float],
) -> HandoverDone:
    """Take in one part of a handover from the former owner of shards."""
    expected = {
        shard for shard in call.shards if ownership.expects_handover(shard, former, call.version)
    }
    for row in call.jobs:
        if shard_of(row.job_id) not in expected or dispatcher.table.find(row.job_id):
            continue
        job = restore_job(row, clock.monotonic_ms())
        if job is None:
            continue
        if job.answer is not None:
            dispatcher.table.add(job)
        else:
            dispatcher.adopt(job, target_of.get(job.request.job_class, 0.0))
    for recovered in call.recovered:
        if shard_of(recovered.job_id) in expected:
            ownership.add_recovered(recovered.job_id, recovered.sides)
    for job_id in call.cancelled:
        if shard_of(job_id) in expected:
            dispatcher.table.cancel_early(job_id)
    if call.last:
        ownership.make_ready(expected, call.certain_from_ms)
    return HandoverDone(call.call_id, bool(expected))
