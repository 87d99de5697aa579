"""Break each promise on purpose, and see a scenario catch it."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import pytest

from currantbarrow.classes import ClassState
from currantbarrow.cluster import Lease
from currantbarrow.entry.dispatch import Dispatcher
from currantbarrow.entry.ownership import Ownership
from currantbarrow.entry.router import Router
from currantbarrow.jobs import JobAnswer, JobStatus, TaskAnswer, TaskState
from currantbarrow.jobs.table import Job, JobTable
from currantbarrow.logservice import ClassChanged, appender
from currantbarrow.logservice.copy import StreamCopy
from currantbarrow.protocol import FencedTasks
from currantbarrow.side.gate import StartGate
from currantbarrow.side.ledger import StartLedger
from currantbarrow.side.node import SideNode

FOLDER = Path(__file__).parent / "scenarios"
Patch = pytest.MonkeyPatch


def skip_fence(patch: Patch) -> None:
    patch.setattr(StartGate, "is_fenced", lambda gate, job_id, epoch: False)


def ignore_lease(patch: Patch) -> None:
    patch.setattr(Lease, "held", lambda lease: True)


def forget_ledger(patch: Patch) -> None:
    patch.setattr(StartLedger, "started_in", lambda ledger, shards: [])


def skip_duplicate_check(patch: Patch) -> None:
    patch.setattr(StartLedger, "find", lambda ledger, job_id, index: None)


def ignore_window(patch: Patch) -> None:
    submit_here = Router._submit_here

    async def without_window(router: Router, *args: Any) -> JobAnswer:
        router._options.window_ms = float("inf")
        return await submit_here(router, *args)

    patch.setattr(Router, "_submit_here", without_window)


def treat_silent_as_empty(patch: Patch) -> None:
    fence = Ownership._fence

    async def answer_for_it(owner: Ownership, side: str, *args: Any) -> FencedTasks:
        return await fence(owner, side, *args) or FencedTasks(0, [], 0)

    patch.setattr(Ownership, "_fence", answer_for_it)
    patch.setattr(Ownership, "_departures_certain_from_ms", lambda owner: 0.0)


def treat_lost_as_never_started(patch: Patch) -> None:
    def requeue(dispatcher: Dispatcher, peer: Any) -> None:
        for sent in [each for each in dispatcher._sent.values() if each.peer is peer]:
            dispatcher._unsend(sent)
            dispatcher._requeue(sent)

    patch.setattr(Dispatcher, "_lose", requeue)


def call_lost_not_run(patch: Patch) -> None:
    end_task = Job.end_task

    def end(job: Job, index: int, answer: TaskAnswer) -> bool:
        if answer.state is TaskState.UNKNOWN:
            answer = TaskAnswer(TaskState.NOT_RUN)
        return end_task(job, index, answer)

    patch.setattr(Job, "end_task", end)


def complete_with_one_missing(patch: Patch) -> None:
    def end(job: Job, index: int, answer: TaskAnswer) -> bool:
        if job.tasks[index].answer is not None or job.answer is not None:
            return False
        job.tasks[index].answer = answer
        job.open_tasks = sum(task.answer is None for task in job.tasks[1:])
        return True

    patch.setattr(Job, "end_task", end)


def swap_results(patch: Patch) -> None:
    complete = Job.complete

    def reversed_answer(job: Job) -> JobAnswer:
        return JobAnswer(JobStatus.COMPLETE, complete(job).tasks[::-1])

    patch.setattr(Job, "complete", reversed_answer)


def accept_stale_change(patch: Patch) -> None:
    def apply(state: ClassState, offset: int, record: Any) -> None:
        if isinstance(record, ClassChanged):
            patched = record.__class__(
                record.record_id,
                record.name,
                state.revision_of(record.name),
                record.definition,
                record.at_ms,
                record.operator,
            )
            apply_change(state, offset, patched)

    apply_change = ClassState.apply
    patch.setattr(ClassState, "apply", apply)


def skip_read_back(patch: Patch) -> None:
    async def find_nothing(*args: Any) -> None:
        return None

    patch.setattr(appender, "_find", find_nothing)


def go_back_to_older_state(patch: Patch) -> None:
    load = ClassState.load

    def load_anything(state: ClassState, offset: int, plain: Any) -> bool:
        state.offset = -1
        return load(state, offset, plain)

    patch.setattr(ClassState, "load", load_anything)


def never_ask_peers(patch: Patch) -> None:
    patch.setattr(StreamCopy, "merge", lambda copy, reply: False)


def work_on_while_leaving(patch: Patch) -> None:
    def leave(side: SideNode) -> None:
        return

    patch.setattr(SideNode, "leave", leave)


def drop_table_on_drain(patch: Patch) -> None:
    patch.setattr(Ownership, "_to_hand_over", lambda owner, lost, assignment: set())


def answer_without_lease(patch: Patch) -> None:
    patch.setattr(Router, "_require_lease", lambda router: None)


def forget_cancellation(patch: Patch) -> None:
    patch.setattr(JobTable, "is_cancelled", lambda table, job_id: False)


def never_let_callers_know(patch: Patch) -> None:
    patch.setattr(Job, "move", lambda job: None)


ALL = [
    value
    for name, value in list(globals().items())
    if callable(value) and getattr(value, "__module__", "") == __name__ and name.islower()
]
