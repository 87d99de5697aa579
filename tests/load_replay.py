"""Replay a load against a simulated fleet in virtual time, and count the outcomes of its jobs."""

from __future__ import annotations

import asyncio
import collections
import math
import random
from collections.abc import Awaitable, Callable, Collection, Iterable
from typing import Any

import msgspec
import pytest

from currantbarrow.direct.admission import OWN_CORES_SHARE, Backlog, Refusal
from currantbarrow.direct.job import OpenJob
from currantbarrow.direct.model import JobSpec, JobState, Resources, StepSpec, WorkQueue
from currantbarrow.direct.scarcity import Scarcity
from currantbarrow.standins.direct_fleet import DirectFleet, DirectPlan
from currantbarrow.standins.virtual import run_virtual

STRETCH, TARGET_MS = 1.6, 61.0
SIZE_SPREAD = 0.4
BUCKET_MS = 10.0
# The former rule expected a new job to wait longer than the oldest one by this factor.
OLDEST_WAIT_FACTOR = 1.5
# Jobs are of the largest of their queue if they need more than this many times its mean core time.
LARGEST_FACTOR = 2.0


class JobType(msgspec.Struct, frozen=True):
    """Describe the jobs of a queue: arrivals, sizes, and the share that is much longer."""

    name: str
    jobs_per_s: float
    tasks: float
    run_ms: float
    priority: int = 0
    cores: float = 2.9
    long_share: float = 0.0
    long_factor: float = 7.0

    @property
    def mean_core_ms(self) -> float:
        """Return the mean core-milliseconds of a job, without the much longer ones."""
        return self.tasks * self.run_ms * self.cores


class Surge(msgspec.Struct, frozen=True):
    """Multiply the arrival rate of a queue for a time."""

    queue: str
    factor: float
    from_s: float
    until_s: float


class Arrival(msgspec.Struct, frozen=True):
    """Describe one job of a load."""

    at_s: float
    queue: JobType
    entry: int
    tasks: int
    run_ms: float
    cpu_millis: int
    declared_ms: float

    @property
    def core_ms(self) -> float:
        """Return the core-milliseconds of the job at ordinary speed."""
        return self.tasks * self.run_ms * self.cpu_millis / 1000

    @property
    def objective_ms(self) -> float:
        """Return the response time within which the job is in time."""
        return STRETCH * self.run_ms + TARGET_MS

    @property
    def is_largest(self) -> bool:
        """Return whether the job is one of the largest of its queue."""
        return self.core_ms > LARGEST_FACTOR * self.queue.mean_core_ms


class Load(msgspec.Struct, frozen=True):
    """Describe a fleet and the jobs sent to it."""

    types: tuple[JobType, ...]
    seconds: float
    surges: tuple[Surge, ...] = ()
    # The relative arrival rates at the entries.
    entry_weights: tuple[float, ...] = (1.0, 1.0, 1.0, 1.0)
    # The arrival rate at entry `i` varies by this share over the period, out of phase.
    wave_share: float = 0.0
    wave_s: float = 4.0
    worker_cores: tuple[int, ...] = (26, 39)
    speeds: tuple[float, ...] = (0.8, 1.0, 1.25)
    sides: int = 12
    declared_error: float = 0.4
    seed: int = 1
    # Applies faults to the fleet during the load.
    faults: Callable[[DirectFleet, random.Random], Awaitable[None]] | None = None

    @property
    def capacity_cores(self) -> float:
        """Return the cores of all workers at ordinary speed."""
        return sum(
            self.worker_cores[side % len(self.worker_cores)] * self.speeds[side % len(self.speeds)]
            for side in range(self.sides)
        )


class Tally(msgspec.Struct):
    """Count the outcomes of jobs."""

    in_time: int = 0
    late: int = 0
    refused_at_once: int = 0
    refused_late: int = 0
    failed: int = 0

    @property
    def total(self) -> int:
        """Return the number of jobs."""
        return self.in_time + self.late + self.refused_at_once + self.refused_late + self.failed

    @property
    def share(self) -> float:
        """Return the share of jobs that were in time; 1 without jobs."""
        return self.in_time / self.total if self.total else 1.0

    def __str__(self) -> str:
        """Return the counts as a row of a table."""
        return (
            f"{self.share:.3f} {self.in_time:5d} {self.late:5d} {self.refused_at_once:5d}"
            f" {self.refused_late:5d} {self.failed:5d}"
        )


class LoadResult:
    """Collect the outcomes of a load's jobs, in all and by queue, entry and size."""

    def __init__(self) -> None:
        self.total = Tally()
        self.queues: dict[str, Tally] = collections.defaultdict(Tally)
        self.entries: dict[int, Tally] = collections.defaultdict(Tally)
        self.largest: dict[str, Tally] = collections.defaultdict(Tally)
        self.retry_after_s: collections.Counter[int] = collections.Counter()
        self.core_ms_done = 0.0

    def record(self, arrival: Arrival, outcome: str) -> None:
        """Count the outcome of a job."""
        tallies = [self.total, self.queues[arrival.queue.name], self.entries[arrival.entry]]
        if arrival.is_largest:
            tallies.append(self.largest[arrival.queue.name])
        for tally in tallies:
            setattr(tally, outcome, getattr(tally, outcome) + 1)
        if outcome in ("in_time", "late"):
            self.core_ms_done += arrival.core_ms

    def table(self) -> str:
        """Return the counts as a text table."""
        lines = ["                share in-ti  late at-on waitd  fail"]
        rows = [("all", self.total), *sorted(self.queues.items())]
        rows += [(f"{name} largest", tally) for name, tally in sorted(self.largest.items())]
        rows += [(f"entry {entry}", tally) for entry, tally in sorted(self.entries.items())]
        return "\n".join([*lines, *(f"{name:15s} {tally}" for name, tally in rows)])


def lognormal(rng: random.Random) -> float:
    """Return a log-normal factor of mean 1 with the spread of the workload sheets."""
    sigma = math.sqrt(math.log(1 + SIZE_SPREAD**2))
    return min(4.0, rng.lognormvariate(-(sigma**2) / 2, sigma))


def create_arrivals(load: Load) -> list[Arrival]:
    """Return the jobs of a load in order of arrival."""
    rng = random.Random(load.seed)
    arrivals = []
    for job_type in load.types:
        peak = max([1.0, *(each.factor for each in load.surges if each.queue == job_type.name)])
        at_s = 0.0
        while job_type.jobs_per_s:
            at_s += rng.expovariate(job_type.jobs_per_s * peak)
            if at_s >= load.seconds:
                break
            if rng.random() * peak < _surge_factor(load, job_type.name, at_s):
                arrivals.append(_create_arrival(load, job_type, at_s, rng))
    return sorted(arrivals, key=lambda arrival: arrival.at_s)


def _surge_factor(load: Load, queue: str, at_s: float) -> float:
    return math.prod(
        each.factor
        for each in load.surges
        if each.queue == queue and each.from_s <= at_s < each.until_s
    )


def _create_arrival(load: Load, job_type: JobType, at_s: float, rng: random.Random) -> Arrival:
    count = len(load.entry_weights)
    weights = [
        weight
        * (1 + load.wave_share * math.sin(2 * math.pi * (at_s / load.wave_s + entry / count)))
        for entry, weight in enumerate(load.entry_weights)
    ]
    entry = rng.choices(range(count), weights)[0]
    run_ms = job_type.run_ms * lognormal(rng)
    if rng.random() < job_type.long_share:
        run_ms *= job_type.long_factor
    tasks = max(1, round(job_type.tasks * lognormal(rng)))
    cpu_millis = int(1000 * max(0.5, rng.gauss(job_type.cores, job_type.cores / 5)))
    error = load.declared_error
    declared_ms = run_ms * rng.uniform(1 - error, 1 + error)
    return Arrival(at_s, job_type, entry, tasks, run_ms, cpu_millis, declared_ms)


class LoadReplay:
    """Play a load against a simulated fleet."""

    def __init__(self, load: Load) -> None:
        self.load = load
        self.result = LoadResult()
        self.fleet: DirectFleet | None = None

    async def run(self) -> None:
        """Submit the jobs of the load, and wait until all have ended."""
        load = self.load
        sizes = tuple(1000 * cores for cores in load.worker_cores)
        plan = DirectPlan(
            entries=len(load.entry_weights), sides=load.sides, seed=load.seed, cpu_sizes=sizes
        )
        self.fleet = fleet = DirectFleet(plan)
        await fleet.start()
        for index, worker in enumerate(fleet.workers.values()):
            worker.faults.slowness = 1 / load.speeds[index % len(load.speeds)]
        faults: asyncio.Future[None] | None = None
        if load.faults is not None:
            faults = asyncio.ensure_future(load.faults(fleet, random.Random(load.seed)))
        began_s = asyncio.get_running_loop().time()
        jobs = []
        for number, arrival in enumerate(create_arrivals(load)):
            wait_s = began_s + arrival.at_s - asyncio.get_running_loop().time()
            if wait_s > 0:
                await asyncio.sleep(wait_s)
            jobs.append(asyncio.create_task(self._send(fleet, arrival, number)))
        await asyncio.gather(*jobs)
        if faults is not None:
            await faults
        assert not fleet.runs.over_capacity
        assert not fleet.runs.double_runs
        await fleet.stop()

    async def _send(self, fleet: DirectFleet, arrival: Arrival, number: int) -> None:
        job_type = arrival.queue
        step = StepSpec(arrival.tasks, Resources(arrival.cpu_millis, 64, 0), arrival.declared_ms)
        spec = JobSpec(f"{number:016x}", f"{arrival.run_ms}/{arrival.cpu_millis}", (step,))
        path = f"/{job_type.name}/"
        queue = WorkQueue(
            job_type.name, "host", path, "work", job_type.priority, TARGET_MS, STRETCH, 3, 0.0
        )
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        entry = fleet.entries[f"entry-{arrival.entry}"]
        outcome = await entry.submit(spec, queue, 1540.0 + 2.6 * arrival.run_ms)
        if isinstance(outcome, Refusal):
            self.result.retry_after_s[outcome.retry_after_s] += 1
            self.result.record(arrival, "refused_at_once")
            return
        assert isinstance(outcome, OpenJob)
        await outcome.ended.wait()
        in_time = (loop.time() - began_s) * 1000 <= arrival.objective_ms
        if outcome.state is JobState.COMPLETED:
            self.result.record(arrival, "in_time" if in_time else "late")
        else:
            is_refused = outcome.state is JobState.REFUSED
            self.result.record(arrival, "refused_late" if is_refused else "failed")


def replay_load(load: Load) -> LoadResult:
    """Play a load, and return the outcomes of its jobs."""
    replayed = LoadReplay(load)
    run_virtual(replayed.run())
    return replayed.result


def replay_former_rule(load: Load) -> LoadResult:
    """Replay a load with the wait estimated from the oldest unstarted job of the queue."""
    create_backlog = Scarcity.create_backlog

    def create_former_backlog(
        scarcity: Scarcity,
        job: OpenJob,
        waiting: Collection[OpenJob],
        capacity: Any,
        now_ms: float,
        **options: Any,
    ) -> Backlog:
        backlog = create_backlog(scarcity, job, waiting, capacity, now_ms, **options)
        oldest_ms = max(
            (
                now_ms - each.times.received_ms
                for each in waiting
                if each.queue.name == job.queue.name
                and not each.started
                and each.rank(now_ms) < job.rank(now_ms)
            ),
            default=0.0,
        )
        backlog = msgspec.structs.replace(backlog, urgent_per_s=0.0)
        wait_ms = max(backlog.wait_ms(), OLDEST_WAIT_FACTOR * oldest_ms)
        missing_cores = wait_ms / 1000 * backlog.released_per_s
        ahead_cores = missing_cores + backlog.free_cores - OWN_CORES_SHARE * backlog.own_cores
        return msgspec.structs.replace(backlog, ahead_cores=max(0.0, ahead_cores))

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(Scarcity, "create_backlog", create_former_backlog)
        return replay_load(load)


def replay_in_order_of_arrival(load: Load) -> LoadResult:
    """Replay a load with every job admitted and dispatched in order of arrival."""
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(Scarcity, "admit", lambda *_: None)
        patch.setattr(OpenJob, "rank", lambda job, now_ms: (0, job.times.received_ms))
        return replay_load(load)


def find_clairvoyant_result(load: Load, capacity_cores: float, floor: float) -> LoadResult:
    """Return the outcomes if all arrivals and run times were known, and cores were one pool.

    A share `floor` of each queue is scheduled first, then the jobs with the least core time. Cores
    are divisible and tasks can be interrupted, so that the result is more than any rule can reach.
    """
    rng = random.Random(load.seed)
    arrivals = create_arrivals(load)
    free_core_ms: dict[int, float] = collections.defaultdict(lambda: capacity_cores * BUCKET_MS)
    result = LoadResult()
    chosen = [arrival for arrival in arrivals if rng.random() < floor]
    chosen.sort(key=lambda arrival: arrival.at_s * 1000 + arrival.objective_ms)
    kept = set(map(id, chosen))
    rest = [arrival for arrival in arrivals if id(arrival) not in kept]
    for arrival in [*chosen, *sorted(rest, key=lambda arrival: arrival.core_ms)]:
        fits = _schedule(arrival, free_core_ms)
        result.record(arrival, "in_time" if fits else "refused_at_once")
    return result


def _schedule(arrival: Arrival, free_core_ms: dict[int, float]) -> bool:
    """Take the core time of a job from the earliest free buckets; return whether it fits."""
    first = math.ceil(arrival.at_s * 1000 / BUCKET_MS)
    last = int((arrival.at_s * 1000 + arrival.objective_ms) / BUCKET_MS)
    most_core_ms = arrival.tasks * arrival.cpu_millis / 1000 * BUCKET_MS
    left_core_ms = arrival.core_ms
    taken: list[tuple[int, float]] = []
    for bucket in range(first, last):
        used = min(left_core_ms, most_core_ms, free_core_ms[bucket])
        taken.append((bucket, used))
        left_core_ms -= used
        if left_core_ms <= 0:
            break
    if left_core_ms > 0:
        return False
    for bucket, used in taken:
        free_core_ms[bucket] -= used
    return True


def offered_cores(types: Iterable[JobType]) -> float:
    """Return the cores that types of jobs need on average at ordinary speed."""
    return sum(each.jobs_per_s * each.mean_core_ms / 1000 for each in types)
