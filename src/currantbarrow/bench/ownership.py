"""Compare schemes for at most one start of a task: owners, claims in the log, locks at workers."""

from __future__ import annotations

import argparse
import asyncio
import random

import msgspec

from currantbarrow.bench.claims import ClaimLog, ClaimRouter, LockTable
from currantbarrow.bench.figures import percentile
from currantbarrow.exceptions import CurrantbarrowError
from currantbarrow.jobs import JobAnswer, JobRequest, JobStatus, TaskRequest, TaskState
from currantbarrow.standins.fleet import EntryProcess, Fleet, FleetPlan
from currantbarrow.standins.virtual import run_virtual

__all__ = ["OWNERS", "OwnershipFigures", "OwnershipRun", "measure_scheme"]

OWNERS = "owners"
CLAIMS = "claims in the log"
LOCKS = "locks at side processes"
SCHEMES = (OWNERS, CLAIMS, LOCKS)

JOBS_PER_S = 60.0
TASKS_PER_JOB = (1, 6)
TASK_RUN_MS = (50.0, 250.0)
OUTAGE_AT_MS = 15_000.0
OUTAGE_MS = 60_000.0
CRASH_AT_MS = 85_000.0
LOAD_END_MS = 105_000.0
ANSWER_TIMEOUT_MS = 30_000.0
# Round trip between the caller's entry and a worker in another data centre.
ROUND_TRIP_MS = 2.0
POLL_INTERVAL_MS = 20.0
RETRY_DELAY_MS = 100.0
PAUSED_SIDE = "side-2"


class OwnershipFigures(msgspec.Struct, frozen=True):
    """Report what a scheme costs, and what callers lose in an outage and after a crash."""

    way: str
    seed: int
    p50: float
    p99: float
    messages_per_task: float
    appends_per_s: float
    refused_in_outage_share: float
    unknown_after_crash_share: float
    slowest_after_crash_ms: float
    shards_back_ms: float
    double_starts: int


class _ObservedJob(msgspec.Struct):
    """Record a job as its caller observed it; sent_ms counts from the start of the run."""

    sent_ms: float
    response_ms: float
    ratio: float
    refused: bool
    unknown: bool


class OwnershipRun:
    """Run a scheme under load, through an outage of the log and a crash of an entry."""

    def __init__(self, scheme: str, seed: int, load_end_ms: float = LOAD_END_MS) -> None:
        self.fleet = Fleet(FleetPlan(seed=seed))
        self.observed_jobs: list[_ObservedJob] = []
        self._scheme = scheme
        self._load_end_ms = load_end_ms
        self._seed = seed
        self._rng = random.Random(seed)
        self._begin_ms = 0.0
        self._tasks_sent = 0
        self._claim_readers: list[asyncio.Task[None]] = []

    async def measure(self) -> OwnershipFigures:
        """Run all phases and return the figures."""
        await self.start()
        appends, messages = self.fleet.log.appends, sum(self.fleet.fabric.sent.values())
        load = asyncio.create_task(self.run_load())
        await self.sleep_until(OUTAGE_AT_MS)
        appends = self.fleet.log.appends - appends
        messages = sum(self.fleet.fabric.sent.values()) - messages
        per_task = messages / max(1, self._tasks_sent)
        self.fleet.log.faults.down = True
        await self.sleep_until(OUTAGE_AT_MS + OUTAGE_MS)
        self.fleet.log.faults.down = False
        await self.sleep_until(CRASH_AT_MS)
        shards_back_ms = await self.crash_entry()
        await load
        for reader in self._claim_readers:
            reader.cancel()
        await self.fleet.stop()
        return self._summarize(per_task, appends / (OUTAGE_AT_MS / 1000), shards_back_ms)

    async def start(self) -> None:
        """Start the fleet and set the start of the run."""
        await self.fleet.start({"quote": 300.0})
        self._install_routers()
        self._begin_ms = self.fleet.clock.monotonic_ms()

    def _install_routers(self) -> None:
        locks = LockTable()
        for entry in self.fleet.entries.values():
            if self._scheme == CLAIMS:
                claim_log = ClaimLog(self.fleet.log, entry.clock)
                self._claim_readers.append(asyncio.create_task(claim_log.read_claims()))
                entry.node.router = ClaimRouter(entry.node, claim_log, entry.clock)
            elif self._scheme == LOCKS:
                locks.add(entry.node)
                entry.node.router = ClaimRouter(entry.node, locks, entry.clock)

    async def sleep_until(self, at_ms: float) -> None:
        """Wait until a time, in milliseconds from the start of the run."""
        await self.fleet.clock.sleep_ms(self._begin_ms + at_ms - self.fleet.clock.monotonic_ms())

    async def crash_entry(self) -> float:
        """Crash an entry and return the time in ms until the others serve all its shards."""
        await self.fleet.kill_entry("entry-1")
        began_ms = self.fleet.clock.monotonic_ms()
        while not self.is_settled():
            await self.fleet.clock.sleep_ms(POLL_INTERVAL_MS)
        return self.fleet.clock.monotonic_ms() - began_ms

    def is_settled(self) -> bool:
        """Return whether the live entries own all shards and hold their leases."""
        nodes = [entry.node for entry in self.fleet.entries.values()]
        live_owners = {node.options.incarnation for node in nodes}
        return all(
            set(node.cluster.assignment.owners) == live_owners
            and node.ownership.all_ready()
            and node.lease.is_held()
            for node in nodes
        )

    async def run_load(self) -> None:
        """Submit jobs until the end of the load, and wait for all answers."""
        callers: list[asyncio.Task[None]] = []
        while self.fleet.clock.monotonic_ms() - self._begin_ms < self._load_end_ms:
            callers.append(asyncio.create_task(self._submit_until_answered(len(callers))))
            await self.fleet.clock.sleep_ms(self._rng.expovariate(JOBS_PER_S / 1000))
        await asyncio.gather(*callers)

    async def _submit_until_answered(self, number: int) -> None:
        """Submit a job until it is answered, each time at a randomly chosen entry."""
        run_ms = [self._rng.uniform(*TASK_RUN_MS) for _ in range(self._rng.randint(*TASKS_PER_JOB))]
        tasks = [TaskRequest({"run_ms": each}, each) for each in run_ms]
        job = JobRequest(f"j{number}", self.fleet.clock.wall_ms(), "a", "quote", tasks)
        self._tasks_sent += len(tasks)
        sent_ms = self.fleet.clock.monotonic_ms()
        answer = None
        while answer is None and self.fleet.clock.monotonic_ms() - sent_ms < ANSWER_TIMEOUT_MS:
            entry = self._rng.choice(list(self.fleet.entries.values()))
            answer = await self._submit_to_entry(entry, job)
        response_ms = self.fleet.clock.monotonic_ms() - sent_ms
        unknown = answer is None or TaskState.UNKNOWN in {each.state for each in answer.tasks}
        refused = answer is not None and answer.status is JobStatus.REFUSED
        ratio = response_ms / (max(run_ms) + ROUND_TRIP_MS)
        self.observed_jobs.append(
            _ObservedJob(sent_ms - self._begin_ms, response_ms, ratio, refused, unknown)
        )

    async def _submit_to_entry(self, entry: EntryProcess, job: JobRequest) -> JobAnswer | None:
        submission = asyncio.create_task(entry.node.submit(job))
        ended = asyncio.create_task(entry.ended.wait())
        await asyncio.wait([submission, ended], return_when=asyncio.FIRST_COMPLETED)
        ended.cancel()
        if not submission.done():
            submission.cancel()
            return None
        try:
            return submission.result()
        except CurrantbarrowError:
            await self.fleet.clock.sleep_ms(RETRY_DELAY_MS)
            return None

    def _summarize(
        self, messages_per_task: float, appends_per_s: float, shards_back_ms: float
    ) -> OwnershipFigures:
        before_outage = [job for job in self.observed_jobs if job.sent_ms < OUTAGE_AT_MS]
        outage_end_ms = OUTAGE_AT_MS + OUTAGE_MS
        in_outage = [
            job for job in self.observed_jobs if OUTAGE_AT_MS <= job.sent_ms < outage_end_ms
        ]
        # Jobs that were open at the crash or were submitted after it.
        open_at_crash = [
            job for job in self.observed_jobs if job.sent_ms + job.response_ms >= CRASH_AT_MS
        ]
        response_ratios = sorted(job.ratio for job in before_outage)
        return OwnershipFigures(
            self._scheme,
            self._seed,
            percentile(response_ratios, 0.5),
            percentile(response_ratios, 0.99),
            messages_per_task,
            appends_per_s,
            sum(job.refused for job in in_outage) / len(in_outage),
            sum(job.unknown for job in open_at_crash) / len(open_at_crash),
            max(job.response_ms for job in open_at_crash),
            shards_back_ms if self._scheme == OWNERS else 0.0,
            len(self.fleet.start_counter.double_starts()),
        )


def measure_scheme(scheme: str, seed: int) -> OwnershipFigures:
    """Return the figures of a scheme."""
    return run_virtual(OwnershipRun(scheme, seed).measure())


async def _measure_paused_side(seed: int) -> float:
    """Return the takeover time in ms after an entry's crash while a side process is paused."""
    run = OwnershipRun(OWNERS, seed)
    await run.start()
    run.fleet.pause(PAUSED_SIDE)
    back_ms = await run.crash_entry()
    run.fleet.resume(PAUSED_SIDE)
    await run.fleet.stop()
    return back_ms


def main() -> None:
    """Print the figures of all schemes as a Markdown table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, nargs="+", default=[1, 2, 3])
    seeds = parser.parse_args().seeds
    print(
        "| way | seed | response/ideal p50 | p99 | messages a task | appends a second "
        "| refused in outage | unknown after crash | slowest after crash ms "
        "| shards back ms | double starts |\n|---|---|---|---|---|---|---|---|---|---|---|"
    )
    for scheme in SCHEMES:
        for seed in seeds:
            each = measure_scheme(scheme, seed)
            print(
                f"| {scheme} | {seed} | {each.p50:.3f} | {each.p99:.2f} "
                f"| {each.messages_per_task:.2f} | {each.appends_per_s:.1f} "
                f"| {each.refused_in_outage_share:.1%} | {each.unknown_after_crash_share:.2%} "
                f"| {each.slowest_after_crash_ms:.0f} | {each.shards_back_ms:.0f} "
                f"| {each.double_starts} |"
            )
    paused_side_ms = [run_virtual(_measure_paused_side(seed)) for seed in seeds]
    print("\nOwners, shards back with a silent side process, ms:", *map(round, paused_side_ms))


if __name__ == "__main__":
    main()
