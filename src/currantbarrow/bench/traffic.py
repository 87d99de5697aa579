"""Simulate callers that submit planned jobs to a fleet through a load balancer."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Sequence

from currantbarrow.bench.oracle import Oracle
from currantbarrow.bench.outcomes import NO_ANSWER, IdleFleet, JobOutcome
from currantbarrow.exceptions import CurrantbarrowError
from currantbarrow.jobs import JobAnswer, JobRequest, TaskRequest, make_job_id
from currantbarrow.load.workload import PlannedJob
from currantbarrow.standins.fleet import EntryProcess, Fleet

__all__ = ["Traffic"]

RESUBMIT_AFTER_MS = 50.0
CANCEL_AFTER_MS = 50.0
RECONNECT_DELAY_MS = 6.0
ANSWER_TIMEOUT_MS = 60_000.0


class Traffic:
    """Submit jobs at their planned times, whatever the answers to earlier ones."""

    def __init__(
        self, fleet: Fleet, idle_fleet: IdleFleet, seed: int, declared_factors: Sequence[float]
    ) -> None:
        self.oracle = Oracle(fleet)
        self.outcomes: list[JobOutcome] = []
        self._fleet = fleet
        self._idle_fleet = idle_fleet
        self._rng = random.Random(seed)
        self._declared_factors = declared_factors
        self._crash_events = {name: asyncio.Event() for name in fleet.entries}

    async def run(self, jobs: Sequence[PlannedJob]) -> None:
        """Submit all jobs in an open loop and wait until each has an answer or times out."""
        began_ms = self._fleet.clock.monotonic_ms()
        async with asyncio.TaskGroup() as group:
            for number, job in enumerate(jobs):
                due_ms = began_ms + job.at_s * 1000
                await asyncio.sleep(max(0.0, due_ms - self._fleet.clock.monotonic_ms()) / 1000)
                request = self._create_request(number, job)
                group.create_task(self._run_job(job, request, self._rng.random()))
                entry_choice = self._rng.random()
                if job.resubmit:
                    group.create_task(self._resubmit(request, entry_choice))
                if job.cancel:
                    group.create_task(self._cancel(request, entry_choice))

    async def crash_entry(self, name: str) -> None:
        """Crash an entry; callers that wait for it detect this and submit to another one."""
        await self._fleet.kill_entry(name)
        self._crash_events.pop(name).set()

    def _create_request(self, number: int, job: PlannedJob) -> JobRequest:
        tasks = []
        for index, run_ms in enumerate(job.run_ms):
            declared_ms = job.expected_ms[index] * self._rng.choice(self._declared_factors)
            tasks.append(TaskRequest({"run_ms": run_ms}, declared_ms, 1, job.idempotent))
        now_ms = self._fleet.clock.wall_ms()
        return JobRequest(f"job-{number}", now_ms, job.customer, job.job_class, tasks)

    async def _run_job(self, job: PlannedJob, request: JobRequest, entry_choice: float) -> None:
        sent_ms = self._fleet.clock.monotonic_ms()
        answer = await self._submit_until_answered(request, entry_choice)
        response_ms = self._fleet.clock.monotonic_ms() - sent_ms
        job_id = make_job_id(request)
        status, code = NO_ANSWER, ""
        if answer is not None:
            status, code = answer.status.value, answer.code
        ideal_ms = self._idle_fleet.ideal_ms(job.run_ms)
        outcome = JobOutcome(job, job_id, sent_ms, response_ms, ideal_ms, status, code)
        self.outcomes.append(outcome)

    async def _submit_until_answered(
        self, request: JobRequest, entry_choice: float
    ) -> JobAnswer | None:
        deadline_ms = self._fleet.clock.monotonic_ms() + ANSWER_TIMEOUT_MS
        while self._fleet.clock.monotonic_ms() < deadline_ms:
            entry = self._select_entry(entry_choice)
            answer = await self._submit_to_entry(entry, request)
            if answer is not None:
                self.oracle.record_answer(make_job_id(request), answer)
                return answer
            await self._fleet.clock.sleep_ms(RECONNECT_DELAY_MS)
        return None

    async def _submit_to_entry(self, entry: EntryProcess, request: JobRequest) -> JobAnswer | None:
        crashed = self._crash_events.setdefault(entry.name, asyncio.Event())
        submission = asyncio.create_task(entry.node.submit(request))
        crash = asyncio.create_task(crashed.wait())
        await asyncio.wait(
            {submission, crash},
            timeout=ANSWER_TIMEOUT_MS / 1000,
            return_when=asyncio.FIRST_COMPLETED,
        )
        crash.cancel()
        if not submission.done():
            submission.cancel()
            return None
        try:
            return submission.result()
        except CurrantbarrowError:
            return None

    async def _resubmit(self, request: JobRequest, entry_choice: float) -> None:
        await self._fleet.clock.sleep_ms(RESUBMIT_AFTER_MS)
        await self._submit_until_answered(request, entry_choice)

    async def _cancel(self, request: JobRequest, entry_choice: float) -> None:
        await self._fleet.clock.sleep_ms(CANCEL_AFTER_MS)
        entry = self._select_entry(entry_choice)
        try:
            await entry.node.router.cancel(request.customer, request.key, request.created_at_ms)
        except CurrantbarrowError:
            entry.metrics.incr("bench.cancel_failed")

    def _select_entry(self, entry_choice: float) -> EntryProcess:
        names = sorted(self._fleet.entries)
        return self._fleet.entries[names[int(entry_choice * len(names))]]
