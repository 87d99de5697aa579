"""Test which failed starts are retried, and that abandoned work is answered promptly."""

from __future__ import annotations

import asyncio
import time

import msgspec
import pytest

from currantbarrow.entry.failures import (
    after_start,
    before_sending,
    outcome_unknown,
    refused,
)
from currantbarrow.exceptions import OwnershipError
from currantbarrow.jobs import (
    JobAnswer,
    JobRequest,
    JobStatus,
    TaskRequest,
    TaskState,
    make_job_id,
)
from currantbarrow.jobs.table import Job, JobTable
from currantbarrow.observe import create_clock
from currantbarrow.protocol import RefusedReason, TaskReference, TaskResult
from currantbarrow.side.ledger import StartLedger
from currantbarrow.standins.fleet import Fleet, FleetPlan
from helpers import FleetTest

SMALL_PLAN = FleetPlan(sides=4, slots=2)


class TestClassification:
    def test_only_unsent_or_refused_starts_prove_that_nothing_started(self) -> None:
        result = TaskResult(b"j", 0, 1, TaskState.RAN, None, "failed")
        lost = TaskResult(b"j", 0, 1, TaskState.UNKNOWN, None, "lost")
        proven = [before_sending("no link"), refused(None), refused(RefusedReason.FULL)]
        unproven = [after_start(result), after_start(lost), outcome_unknown("silent")]
        assert all(each.proves_not_started for each in proven)
        assert not any(each.proves_not_started for each in unproven)
        assert [each.task_state for each in unproven] == ["ran", "unknown", "unknown"]


class TestAbandonedWork(FleetTest):
    def test_owner_without_lease_rejects_its_callers_promptly(self) -> None:
        async def scenario(fleet: Fleet) -> None:
            async with asyncio.timeout(120):
                jobs = [self.make_job(fleet, f"k{n}", [30_000.0] * 4) for n in range(12)]
                waiting = [asyncio.create_task(self.submit(fleet, 0, job)) for job in jobs]
                await fleet.clock.sleep_ms(9_000)
                for name in ("entry-1", "entry-2", *fleet.sides, "log"):
                    fleet.fabric.cut("entry-0", name)
                cut_ms = fleet.clock.monotonic_ms()
                results = await asyncio.gather(*waiting, return_exceptions=True)
                took_ms = fleet.clock.monotonic_ms() - cut_ms
                assert OwnershipError in {type(result) for result in results}
                # Lease duration, grace period after its loss, and one round of panel requests.
                assert took_ms < 8_000

        self.run_fleet(scenario, SMALL_PLAN)

    def test_job_past_its_deadline_is_refused_and_never_runs(self) -> None:
        async def scenario(fleet: Fleet) -> None:
            async with asyncio.timeout(120):
                long = self.make_job(fleet, "long", [20_000.0] * 16)
                running = asyncio.create_task(self.submit(fleet, 0, long))
                await fleet.clock.sleep_ms(500)
                expiring = msgspec.structs.replace(
                    self.make_job(fleet, "hasty", [50.0] * 3), timeout_ms=2_000.0
                )
                began_ms = fleet.clock.monotonic_ms()
                answer = await self.submit(fleet, 1, expiring)
                assert (answer.code, answer.not_run) == ("deadline_passed", True)
                assert fleet.clock.monotonic_ms() - began_ms < 2_100
                assert (await running).status is JobStatus.COMPLETE
                assert not any(
                    job_id == make_job_id(expiring) for job_id, _ in fleet.start_counter.starts
                )

        self.run_fleet(scenario, SMALL_PLAN)

    def test_task_queued_at_a_side_process_expires_there(self) -> None:
        async def scenario(fleet: Fleet) -> None:
            async with asyncio.timeout(120):
                long = self.make_job(fleet, "long", [20_000.0] * 8)
                running = asyncio.create_task(self.submit(fleet, 0, long))
                await fleet.clock.sleep_ms(500)
                expiring = msgspec.structs.replace(
                    self.make_job(fleet, "hasty", [50.0]), timeout_ms=2_000.0
                )
                began_ms = fleet.clock.monotonic_ms()
                answer = await self.submit(fleet, 1, expiring)
                assert (answer.code, answer.not_run) == ("deadline_passed", True)
                assert fleet.clock.monotonic_ms() - began_ms < 2_100
                assert (await running).status is JobStatus.COMPLETE
                assert not any(
                    job_id == make_job_id(expiring) for job_id, _ in fleet.start_counter.starts
                )

        self.run_fleet(scenario, SMALL_PLAN)

    def test_refusals_for_a_dead_owner_do_not_block_its_successor(self) -> None:
        async def scenario(fleet: Fleet) -> None:
            async with asyncio.timeout(120):
                job = self.make_job(fleet, "k", [50.0] * 4)
                for side in fleet.sides.values():
                    for index in range(4):
                        side.node.ledger.refuse(TaskReference(make_job_id(job), index, 14))
                assert (await self.submit(fleet, 0, job)).status is JobStatus.COMPLETE

        fleet = self.run_fleet(scenario, SMALL_PLAN)
        refusals = sum(
            entry.metrics.counters["entry.starts_refused"] for entry in fleet.entries.values()
        )
        assert refusals == 0


class TestBounds:
    def test_ledger_drops_old_values_but_keeps_that_a_task_ran(self) -> None:
        ledger = StartLedger(create_clock(), 60_000.0, budget_bytes=3_000)
        for index in range(5):
            entry = ledger.get_or_create(b"job", index)
            entry.attempt = 1
            ledger.store_result(entry, TaskResult(b"job", index, 1, TaskState.DONE, "x" * 1_000))
        found = [ledger.find(b"job", index) for index in range(5)]
        states = [entry.result.state for entry in found if entry and entry.result]
        assert states == [TaskState.RAN] * 3 + [TaskState.DONE] * 2

    def test_value_too_large_to_be_sent_is_replaced_by_an_error(self) -> None:
        ledger = StartLedger(create_clock(), 60_000.0)
        entry = ledger.get_or_create(b"job", 0)
        huge = TaskResult(b"job", 0, 1, TaskState.DONE, "x" * 2_000_000)
        kept = ledger.store_result(entry, huge)
        assert (kept.state, kept.value) == (TaskState.RAN, None)
        assert "too large" in kept.error

    def test_table_drops_old_values_but_keeps_every_job(self) -> None:
        async def scenario() -> None:
            table = JobTable(create_clock(), 60_000.0, budget_bytes=2_500)
            jobs = []
            for number in range(4):
                request = JobRequest(str(number), int(time.time()), "a", "quote", [TaskRequest()])
                job = Job(make_job_id(request), request, 0.0)
                table.add(job)
                jobs.append(job)
                job.answer_bytes = 1_000
                job.finish(JobAnswer(JobStatus.COMPLETE, [job.completed_answer().tasks[0]]))
                table.record_answer(job)
            assert [job.answer and job.answer.status for job in jobs] == [
                JobStatus.FAILED,
                JobStatus.FAILED,
                JobStatus.COMPLETE,
                JobStatus.COMPLETE,
            ]
            assert (await jobs[0].future).code == "result_dropped"
            assert len(table) == 4

        asyncio.run(scenario())


@pytest.mark.parametrize("tasks", [1, 5])
def test_job_with_large_results_fails_instead_of_never_answering(tasks: int) -> None:
    async def scenario(fleet: Fleet) -> None:
        async with asyncio.timeout(60):
            echo = "x" * 900_000
            runs = [TaskRequest({"run_ms": 10.0, "echo": echo}) for _ in range(tasks)]
            job = JobRequest("k", fleet.clock.wall_ms(), "a", "quote", runs)
            answer = await FleetTest.submit(fleet, 0, job)
            if tasks == 1:
                assert answer.status is JobStatus.COMPLETE
            else:
                assert (answer.status, answer.code) == (JobStatus.FAILED, "answer_too_large")

    FleetTest().run_fleet(scenario, SMALL_PLAN)
