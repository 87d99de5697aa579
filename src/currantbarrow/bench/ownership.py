"""Compare ways to start each task at most once: owners, claims in the log, locks at workers."""

from __future__ import annotations

import argparse
import asyncio
import random

import msgspec

from currantbarrow.bench.claims import ClaimLedger, ClaimRouter, LockTable
from currantbarrow.bench.figures import percentile
from currantbarrow.exceptions import CurrantbarrowError
from currantbarrow.jobs import JobAnswer, JobRequest, JobStatus, TaskRequest, TaskState
from currantbarrow.standins.fleet import EntryProcess, Fleet, FleetPlan
from currantbarrow.standins.virtual import run_virtual

__all__ = ["OWNERS", "OwnershipFigures", "OwnershipRun", "measure_way"]

OWNERS = "owners"
CLAIMS = "claims in the log"
LOCKS = "locks at side processes"
WAYS = (OWNERS, CLAIMS, LOCKS)

JOBS_PER_S = 60.0
TASKS = (1, 6)
RUN_MS = (50.0, 250.0)
OUTAGE_AT_MS = 15_000.0
OUTAGE_MS = 60_000.0
CRASH_AT_MS = 85_000.0
END_MS = 105_000.0
LAST_ANSWER_MS = 30_000.0
# The way there and back between a caller's entry and the farthest worker.
UNAVOIDABLE_MS = 2.0
LOOK_MS = 20.0
AGAIN_MS = 100.0
SILENT_SIDE = "side-2"


class OwnershipFigures(msgspec.Struct, frozen=True):
    """Hold what one way cost and lost."""

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


class _Seen(msgspec.Struct):
    sent_ms: float
    response_ms: float
    ratio: float
    refused: bool
    unknown: bool


class OwnershipRun:
    """Run one way through a quiet time, an outage of the log and a crash of an entry."""

    def __init__(self, way: str, seed: int, end_ms: float = END_MS) -> None:
        self.fleet = Fleet(FleetPlan(seed=seed))
        self.seen: list[_Seen] = []
        self._way = way
        self._end_ms = end_ms
        self._seed = seed
        self._rng = random.Random(seed)
        self._begin_ms = 0.0
        self._tasks_sent = 0
        self._followers: list[asyncio.Task[None]] = []

    async def measure(self) -> OwnershipFigures:
        """Return the figures of the whole run."""
        await self.begin()
        appends, messages = self.fleet.log.appends, sum(self.fleet.fabric.sent.values())
        load = asyncio.create_task(self.load())
        await self.until(OUTAGE_AT_MS)
        appends = self.fleet.log.appends - appends
        messages = sum(self.fleet.fabric.sent.values()) - messages
        per_task = messages / max(1, self._tasks_sent)
        self.fleet.log.faults.down = True
        await self.until(OUTAGE_AT_MS + OUTAGE_MS)
        self.fleet.log.faults.down = False
        await self.until(CRASH_AT_MS)
        shards_back_ms = await self.crash()
        await load
        for follower in self._followers:
            follower.cancel()
        await self.fleet.stop()
        return self._figures(per_task, appends / (OUTAGE_AT_MS / 1000), shards_back_ms)

    async def begin(self) -> None:
        """Start the fleet, and count the time from here."""
        await self.fleet.start({"quote": 300.0})
        self._install()
        self._begin_ms = self.fleet.clock.monotonic_ms()

    def _install(self) -> None:
        locks = LockTable()
        for entry in self.fleet.entries.values():
            if self._way == CLAIMS:
                ledger = ClaimLedger(self.fleet.log, entry.clock)
                self._followers.append(asyncio.create_task(ledger.follow()))
                entry.node.router = ClaimRouter(entry.node, ledger, entry.clock)
            elif self._way == LOCKS:
                locks.add(entry.node)
                entry.node.router = ClaimRouter(entry.node, locks, entry.clock)

    async def until(self, at_ms: float) -> None:
        """Wait until a time of the run."""
        await self.fleet.clock.sleep_ms(self._begin_ms + at_ms - self.fleet.clock.monotonic_ms())

    async def crash(self) -> float:
        """Kill an entry; return how long the others took to work on all its shards."""
        await self.fleet.kill_entry("entry-1")
        began_ms = self.fleet.clock.monotonic_ms()
        while not self.is_settled():
            await self.fleet.clock.sleep_ms(LOOK_MS)
        return self.fleet.clock.monotonic_ms() - began_ms

    def is_settled(self) -> bool:
        """Tell whether the living entries own all shards and may work on them."""
        nodes = [entry.node for entry in self.fleet.entries.values()]
        living = {node.options.incarnation for node in nodes}
        return all(
            set(node.cluster.assignment.owners) == living
            and node.ownership.all_ready()
            and node.lease.is_held()
            for node in nodes
        )

    async def load(self) -> None:
        """Send jobs to the end of the run, and wait for the last answer."""
        callers: list[asyncio.Task[None]] = []
        while self.fleet.clock.monotonic_ms() - self._begin_ms < self._end_ms:
            callers.append(asyncio.create_task(self._call(len(callers))))
            await self.fleet.clock.sleep_ms(self._rng.expovariate(JOBS_PER_S / 1000))
        await asyncio.gather(*callers)

    async def _call(self, number: int) -> None:
        """Submit a job, again at another entry where one is lost, until there is an answer."""
        run_ms = [self._rng.uniform(*RUN_MS) for _ in range(self._rng.randint(*TASKS))]
        tasks = [TaskRequest({"run_ms": each}, each) for each in run_ms]
        job = JobRequest(f"j{number}", self.fleet.clock.wall_ms(), "a", "quote", tasks)
        self._tasks_sent += len(tasks)
        sent_ms = self.fleet.clock.monotonic_ms()
        answer = None
        while answer is None and self.fleet.clock.monotonic_ms() - sent_ms < LAST_ANSWER_MS:
            entry = self._rng.choice(list(self.fleet.entries.values()))
            answer = await self._ask(entry, job)
        response_ms = self.fleet.clock.monotonic_ms() - sent_ms
        unknown = answer is None or TaskState.UNKNOWN in {each.state for each in answer.tasks}
        refused = answer is not None and answer.status is JobStatus.REFUSED
        ratio = response_ms / (max(run_ms) + UNAVOIDABLE_MS)
        self.seen.append(_Seen(sent_ms - self._begin_ms, response_ms, ratio, refused, unknown))

    async def _ask(self, entry: EntryProcess, job: JobRequest) -> JobAnswer | None:
        asking = asyncio.create_task(entry.node.submit(job))
        ended = asyncio.create_task(entry.ended.wait())
        await asyncio.wait([asking, ended], return_when=asyncio.FIRST_COMPLETED)
        ended.cancel()
        if not asking.done():
            asking.cancel()
            return None
        try:
            return asking.result()
        except CurrantbarrowError:
            await self.fleet.clock.sleep_ms(AGAIN_MS)
            return None

    def _figures(
        self, messages_per_task: float, appends_per_s: float, shards_back_ms: float
    ) -> OwnershipFigures:
        quiet = [seen for seen in self.seen if seen.sent_ms < OUTAGE_AT_MS]
        outage_end_ms = OUTAGE_AT_MS + OUTAGE_MS
        outage = [seen for seen in self.seen if OUTAGE_AT_MS <= seen.sent_ms < outage_end_ms]
        # Jobs that were open at the crash, and those that came after it.
        crash = [seen for seen in self.seen if seen.sent_ms + seen.response_ms >= CRASH_AT_MS]
        ratios = sorted(seen.ratio for seen in quiet)
        return OwnershipFigures(
            self._way,
            self._seed,
            percentile(ratios, 0.5),
            percentile(ratios, 0.99),
            messages_per_task,
            appends_per_s,
            sum(seen.refused for seen in outage) / len(outage),
            sum(seen.unknown for seen in crash) / len(crash),
            max(seen.response_ms for seen in crash),
            shards_back_ms if self._way == OWNERS else 0.0,
            len(self.fleet.start_counter.double_starts()),
        )


def measure_way(way: str, seed: int) -> OwnershipFigures:
    """Return the figures of one way."""
    return run_virtual(OwnershipRun(way, seed).measure())


async def _measure_silent(seed: int) -> float:
    """Return how long a crashed entry's shards rest while a side process is silent."""
    run = OwnershipRun(OWNERS, seed)
    await run.begin()
    run.fleet.pause(SILENT_SIDE)
    back_ms = await run.crash()
    run.fleet.resume(SILENT_SIDE)
    await run.fleet.stop()
    return back_ms


def main() -> None:
    """Print the figures of all ways as a Markdown table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, nargs="+", default=[1, 2, 3])
    seeds = parser.parse_args().seeds
    print(
        "| way | seed | response/ideal p50 | p99 | messages a task | appends a second "
        "| refused in outage | unknown after crash | slowest after crash ms "
        "| shards back ms | double starts |\n|---|---|---|---|---|---|---|---|---|---|---|"
    )
    for way in WAYS:
        for seed in seeds:
            each = measure_way(way, seed)
            print(
                f"| {way} | {seed} | {each.p50:.3f} | {each.p99:.2f} "
                f"| {each.messages_per_task:.2f} | {each.appends_per_s:.1f} "
                f"| {each.refused_in_outage_share:.1%} | {each.unknown_after_crash_share:.2%} "
                f"| {each.slowest_after_crash_ms:.0f} | {each.shards_back_ms:.0f} "
                f"| {each.double_starts} |"
            )
    silent_ms = [run_virtual(_measure_silent(seed)) for seed in seeds]
    print("\nOwners, shards back with a silent side process, ms:", *map(round, silent_ms))


if __name__ == "__main__":
    main()
