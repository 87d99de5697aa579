"""Break each promise deliberately, and check that a scenario detects it."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from typing import Any, NamedTuple

import pytest

from currantbarrow.classes import ClassState, change
from currantbarrow.cluster import Lease
from currantbarrow.entry.failures import refused
from currantbarrow.entry.node import EntryNode
from currantbarrow.entry.ownership import Ownership
from currantbarrow.entry.reconciler import TaskReconciler
from currantbarrow.entry.router import Router
from currantbarrow.entry.sides import SidePeer
from currantbarrow.exceptions import AppendUnknown, LogUnavailable
from currantbarrow.jobs import JobAnswer, JobStatus, TaskAnswer, TaskState
from currantbarrow.jobs.table import Job, JobTable
from currantbarrow.logservice import ClassChanged, Record, encode_record
from currantbarrow.logservice.replica import StreamReplica
from currantbarrow.protocol import FencedTasks, Records, RecordsWanted
from currantbarrow.scenario import Promise, load_scenario, run_scenario
from currantbarrow.side.gate import StartGate
from currantbarrow.side.ledger import StartLedger
from currantbarrow.side.node import SideNode
from currantbarrow.types import LogService

FOLDER = Path(__file__).parent / "scenarios"
PAGE = Path(__file__).parent.parent / "docs" / "testing.md"
Patch = pytest.MonkeyPatch


def skip_fence(patch: Patch) -> None:
    patch.setattr(StartGate, "is_fenced", lambda gate, job_id, epoch: False)


def ignore_lease(patch: Patch) -> None:
    patch.setattr(Lease, "is_held", lambda lease: True)


def forget_ledger(patch: Patch) -> None:
    patch.setattr(StartLedger, "started_tasks", lambda ledger, shards: [])


def skip_duplicate_check(patch: Patch) -> None:
    patch.setattr(StartLedger, "find", lambda ledger, job_id, index: None)


def ignore_window(patch: Patch) -> None:
    submit_here = Router._submit_locally

    async def without_window(router: Router, *args: Any) -> JobAnswer:
        router._options.window_ms = float("inf")
        return await submit_here(router, *args)

    patch.setattr(Router, "_submit_locally", without_window)


def treat_silent_as_empty(patch: Patch) -> None:
    fence = Ownership._fence

    async def fence_or_assume_empty(owner: Ownership, side: str, *args: Any) -> FencedTasks:
        return await fence(owner, side, *args) or FencedTasks(0, [], 0)

    patch.setattr(Ownership, "_fence", fence_or_assume_empty)
    patch.setattr(Ownership, "_departures_certain_from_ms", lambda owner: 0.0)


def treat_lost_as_never_started(patch: Patch) -> None:
    def requeue(reconciler: TaskReconciler, peer: SidePeer) -> None:
        for sent in reconciler._sent.of_peer(peer):
            reconciler._on_failure(sent, refused(None))

    patch.setattr(TaskReconciler, "abandon", requeue)


def call_lost_not_run(patch: Patch) -> None:
    record_task_end = Job.record_task_end

    def end(job: Job, index: int, answer: TaskAnswer) -> bool:
        if answer.state is TaskState.UNKNOWN:
            answer = TaskAnswer(TaskState.NOT_RUN)
        return record_task_end(job, index, answer)

    patch.setattr(Job, "record_task_end", end)


def complete_with_one_missing(patch: Patch) -> None:
    def end(job: Job, index: int, answer: TaskAnswer) -> bool:
        if job.tasks[index].answer is not None or job.answer is not None:
            return False
        job.tasks[index].answer = answer
        job.open_tasks = sum(task.answer is None for task in job.tasks[1:])
        return True

    patch.setattr(Job, "record_task_end", end)


def swap_results(patch: Patch) -> None:
    complete = Job.completed_answer

    def reversed_answer(job: Job) -> JobAnswer:
        return JobAnswer(JobStatus.COMPLETE, complete(job).tasks[::-1])

    patch.setattr(Job, "completed_answer", reversed_answer)


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


def call_lost_reply_not_written(patch: Patch) -> None:
    async def append(log: LogService, stream: str, record: Record, **options: Any) -> int:
        try:
            return await log.append(stream, encode_record(record))
        except AppendUnknown as error:
            raise LogUnavailable(str(error)) from error

    patch.setattr(change, "append_once", append)


def take_any_state_of_a_peer(patch: Patch) -> None:
    def answer(replica: StreamReplica, call: RecordsWanted) -> Records:
        return Records(
            call.call_id, replica.stream, replica.offset, snapshot=replica._compressed_state()
        )

    def load(state: ClassState, offset: int, plain: Any) -> bool:
        state.offset = -1
        return load_newer(state, offset, plain)

    load_newer = ClassState.load
    patch.setattr(StreamReplica, "answer", answer)
    patch.setattr(ClassState, "load", load)


def never_ask_peers(patch: Patch) -> None:
    patch.setattr(StreamReplica, "merge", lambda replica, reply: False)


def work_on_while_leaving(patch: Patch) -> None:
    patch.setattr(SideNode, "leave", lambda side: side.announce(side.runner.slots))


def drain_without_waiting(patch: Patch) -> None:
    patch.setattr(EntryNode, "_is_busy", lambda entry: False)


def answer_without_lease(patch: Patch) -> None:
    patch.setattr(Router, "_require_lease", lambda router: None)


def never_let_callers_know(patch: Patch) -> None:
    patch.setattr(Job, "redirect_waiters", lambda job: None)


class Mutation(NamedTuple):
    """A fault in the code, the promise that it breaks, and the scenario that detects it."""

    apply: Callable[[Patch], None]
    promise: Promise
    scenario: str


MUTATIONS = [
    Mutation(skip_fence, Promise.STARTS_ONCE, "starts-overtaken-by-fence"),
    Mutation(ignore_lease, Promise.STARTS_ONCE, "split-brain"),
    Mutation(forget_ledger, Promise.STARTS_ONCE, "entry-crash-silent"),
    Mutation(skip_duplicate_check, Promise.STARTS_ONCE, "all-entries-crash"),
    Mutation(ignore_window, Promise.STARTS_ONCE, "key-outlives-window"),
    Mutation(treat_silent_as_empty, Promise.STARTS_ONCE, "crash-with-silent-worker"),
    Mutation(treat_lost_as_never_started, Promise.STARTS_ONCE, "side-crash"),
    Mutation(call_lost_not_run, Promise.NOT_RUN, "side-crash"),
    Mutation(answer_without_lease, Promise.NOT_RUN, "owner-cut-off-from-all"),
    Mutation(complete_with_one_missing, Promise.WHOLE_ANSWER, "side-crash"),
    Mutation(swap_results, Promise.WHOLE_ANSWER, "caller-hangs-up"),
    Mutation(accept_stale_change, Promise.IN_FORCE, "racing-operators"),
    Mutation(never_ask_peers, Promise.IN_FORCE, "start-while-log-down"),
    Mutation(take_any_state_of_a_peer, Promise.FORWARD_ONLY, "late-state-of-peer"),
    Mutation(call_lost_reply_not_written, Promise.OPERATOR_INFORMED, "racing-operators"),
    Mutation(work_on_while_leaving, Promise.LEAVING, "leaving-worker"),
    Mutation(drain_without_waiting, Promise.GRACEFUL, "planned-restart"),
    Mutation(never_let_callers_know, Promise.GRACEFUL, "planned-restart"),
]


class TestMutations:
    @pytest.mark.parametrize("mutation", MUTATIONS, ids=lambda m: m.apply.__name__)
    def test_scenario_detects_a_broken_promise(
        self, mutation: Mutation, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        mutation.apply(monkeypatch)
        outcome = run_scenario(load_scenario(FOLDER / f"{mutation.scenario}.yaml"))
        assert mutation.promise in {violation.promise for violation in outcome.violations}

    def test_forgotten_cancellation_is_an_unmet_expectation(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(JobTable, "is_cancelled", lambda table, job_id: False)
        outcome = run_scenario(load_scenario(FOLDER / "cancellation-waves.yaml"))
        assert any(failure.startswith("refused") for failure in outcome.failures)

    def test_page_lists_every_mutation_with_promise_and_scenario(self) -> None:
        page = PAGE.read_text()
        for mutation in MUTATIONS:
            row = f"| `{mutation.apply.__name__}` | {mutation.promise} | {mutation.scenario} |"
            assert row in page
