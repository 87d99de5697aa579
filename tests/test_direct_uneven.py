"""Compare the placement on workers of uneven speed with the former rule, in virtual time.

The load has the three queues of two deployments: one with a quarter of the workers at less than
half the speed of the others, and one with speeds from 0.8 to 1.25.
"""

from __future__ import annotations

import asyncio
import collections
import math
import random
from collections.abc import Sequence

import msgspec
import pytest

from currantbarrow.direct import placing
from currantbarrow.direct.health import WorkerHealth
from currantbarrow.direct.job import OpenJob
from currantbarrow.direct.model import JobSpec, JobState, Resources, StepSpec, WorkQueue
from currantbarrow.direct.placement import (
    Placement,
    PlacementReason,
    ReleaseForecast,
    TaskRequest,
    WorkerOffer,
    choose_worker,
)
from currantbarrow.direct.speeds import FleetSpeeds, survey_speeds
from currantbarrow.direct.worker import InstanceName
from currantbarrow.standins.direct_fleet import DirectFleet, DirectPlan
from currantbarrow.standins.virtual import run_virtual

ENTRIES, SIDES, CORES = 3, 16, 32
LOAD_S = 3.0
TASK_CORES = 2.9
STRETCH, TARGET_MS = 1.6, 61.0
CALLER_TIMEOUT_MS = 1540.0
LONG_SHARE, LONG_FACTOR = 0.03, 7.0
SPREAD = 0.4
UNEVEN_SPEEDS = (0.55, 1.2, 1.2, 1.2)
SIMILAR_SPEEDS = (0.8, 1.0, 1.25)
SEEDS = (1, 2, 3)
# Results in virtual time vary by this much with the order of simultaneous events.
RESULT_TOLERANCE = 0.03


class JobType(msgspec.Struct, frozen=True):
    """A type of job, and its relative frequency."""

    name: str
    share: float
    tasks: int
    run_ms: float


UNEVEN_TYPES = (
    JobType("short", 24.0, 8, 51.0),
    JobType("middle", 71.5, 2, 170.0),
    JobType("long", 4.5, 4, 760.0),
)
SIMILAR_TYPES = (
    JobType("short", 24.0, 8, 60.0),
    JobType("middle", 71.5, 2, 200.0),
    JobType("long", 4.5, 4, 900.0),
)


class Load(msgspec.Struct, frozen=True):
    """Describe the workers, the jobs, and the share of the workers' cores that they need."""

    speeds: tuple[float, ...]
    types: tuple[JobType, ...]
    utilisation: float

    @property
    def jobs_per_s(self) -> float:
        """Return the rate of jobs."""
        cores = CORES * SIDES * sum(self.speeds) / len(self.speeds)
        long_factor = 1 + LONG_SHARE * (LONG_FACTOR - 1)
        core_s = sum(
            each.share * each.tasks * each.run_ms * TASK_CORES / 1000 * long_factor
            for each in self.types
        ) / sum(each.share for each in self.types)
        return self.utilisation * cores / core_s


class Outcome:
    """Count the jobs of each queue, and those that were in time."""

    def __init__(self) -> None:
        self.sent: collections.Counter[str] = collections.Counter()
        self.in_time: collections.Counter[str] = collections.Counter()
        self.counters: dict[str, float] = {}

    def share(self, queue: str) -> float:
        """Return the share of a queue's jobs that were in time."""
        return self.in_time[queue] / self.sent[queue]

    @property
    def total_share(self) -> float:
        """Return the share of all jobs that were in time."""
        return self.in_time.total() / self.sent.total()

    def add(self, other: Outcome) -> None:
        """Add the counts of another replay."""
        self.sent += other.sent
        self.in_time += other.in_time


def former_choice(
    request: TaskRequest,
    offers: Sequence[WorkerOffer],
    speeds: FleetSpeeds,
    rng: random.Random,
    forecast: ReleaseForecast,
) -> Placement:
    """Choose as before: among workers with room, those up to half slower than the fastest one."""
    eligible = [
        offer
        for offer in offers
        if offer.free.covers(request.resources)
        and request.is_allowed(offer)
        and (offer.on_probation or offer.is_healthy)
    ]
    if not eligible:
        return Placement(None, PlacementReason.NO_ROOM)
    eligible = [offer for offer in eligible if offer.instance not in request.avoid] or eligible
    best = min(offer.slowness for offer in eligible)
    similar = [offer for offer in eligible if offer.slowness <= best * 1.5]
    local = [offer for offer in similar if offer.is_local]
    drawn = rng.choices(local or similar, k=2)
    return Placement(max(drawn, key=lambda offer: offer.free.cpu_millis / offer.slowness))


async def play(load: Load, seed: int, outcome: Outcome) -> None:
    """Submit jobs at the load's rate, and wait until they end."""
    fleet = DirectFleet(
        DirectPlan(entries=ENTRIES, sides=SIDES, cpu_millis=CORES * 1000, seed=seed)
    )
    await fleet.start()
    for index, worker in enumerate(fleet.workers.values()):
        worker.faults.slowness = 1 / load.speeds[index % len(load.speeds)]
    rng = random.Random(seed)
    loop = asyncio.get_running_loop()
    until_s = loop.time() + LOAD_S
    jobs: list[asyncio.Task[None]] = []
    while loop.time() < until_s:
        await asyncio.sleep(rng.expovariate(load.jobs_per_s))
        jobs.append(asyncio.create_task(send(fleet, load, rng, len(jobs), outcome)))
    await asyncio.gather(*jobs)
    assert fleet.runs.double_runs == []
    assert fleet.runs.over_capacity == []
    outcome.counters = dict(fleet.metrics.counters)
    await fleet.stop()


async def send(
    fleet: DirectFleet, load: Load, rng: random.Random, number: int, outcome: Outcome
) -> None:
    """Submit one job, and count it."""
    job_type = rng.choices(load.types, [each.share for each in load.types])[0]
    tasks = max(1, round(job_type.tasks * lognormal(rng)))
    run_ms = job_type.run_ms * lognormal(rng)
    if rng.random() < LONG_SHARE:
        run_ms *= LONG_FACTOR
    cpu = int(TASK_CORES * 1000)
    step = StepSpec(tasks, Resources(cpu, 64, 0), run_ms * lognormal(rng))
    spec = JobSpec(f"{number:016x}", f"{run_ms}/{cpu}", (step,))
    queue = WorkQueue(
        job_type.name, "host", f"/{job_type.name}/", "work", 0, TARGET_MS, STRETCH, 3, 0.0
    )
    loop = asyncio.get_running_loop()
    began_s = loop.time()
    outcome.sent[job_type.name] += 1
    entry = rng.choice(list(fleet.entries.values()))
    job = await entry.submit(spec, queue, CALLER_TIMEOUT_MS + 2.6 * run_ms)
    if isinstance(job, OpenJob):
        await job.ended.wait()
        took_ms = (loop.time() - began_s) * 1000
        if job.state is JobState.COMPLETED and took_ms <= STRETCH * run_ms + TARGET_MS:
            outcome.in_time[job_type.name] += 1


def lognormal(rng: random.Random) -> float:
    """Return a log-normal factor of mean 1."""
    sigma = math.sqrt(math.log(1 + SPREAD**2))
    return min(4.0, rng.lognormvariate(-(sigma**2) / 2, sigma))


def replay(load: Load, seeds: Sequence[int] = (1,)) -> Outcome:
    """Play a load with several seeds and return the sum of the outcomes."""
    total = Outcome()
    for seed in seeds:
        outcome = Outcome()
        run_virtual(play(load, seed, outcome))
        total.add(outcome)
        total.counters = outcome.counters
    return total


def assert_no_loss(former: Outcome, new: Outcome) -> None:
    """Check that no queue has a smaller share in time than with the former rule."""
    for queue in former.sent:
        shares = f"{queue}: {former.share(queue):.3f} before, {new.share(queue):.3f} now"
        assert new.share(queue) > former.share(queue) - RESULT_TOLERANCE, shares


class TestReplay:
    def test_more_jobs_are_in_time_on_uneven_workers_without_loss_in_any_queue(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        load = Load(UNEVEN_SPEEDS, UNEVEN_TYPES, 0.95)
        new = replay(load, SEEDS)
        monkeypatch.setattr(placing, "choose_worker", former_choice)
        former = replay(load, SEEDS)
        assert_no_loss(former, new)
        assert new.total_share > former.total_share
        assert new.counters["entry.task_placed.spares_fast"] > 0

    def test_workers_of_similar_speed_serve_as_many_jobs_in_time_as_before(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        load = Load(SIMILAR_SPEEDS, SIMILAR_TYPES, 0.9)
        new = replay(load, SEEDS)
        monkeypatch.setattr(placing, "choose_worker", former_choice)
        assert_no_loss(replay(load, SEEDS), new)


def offer(
    name: str, slowness: float = 1.0, free_cores: float = 8.0, *, is_local: bool = True
) -> WorkerOffer:
    capacity = Resources(CORES * 1000, 64_000, 0)
    free = Resources(int(free_cores * 1000), 64_000, 0)
    return WorkerOffer(InstanceName(name), free, slowness, is_local, False, frozenset(), capacity)


def request(expected_ms: float, time_left_ms: float) -> TaskRequest:
    return TaskRequest(Resources(2900, 64, 0), expected_ms=expected_ms, time_left_ms=time_left_ms)


SHORT = request(51.0, 1.6 * 51 + 61)
LONG = request(760.0, 1.6 * 760 + 61)
# The entry gets a core of a worker of 32 cores every 16 ms.
FORECAST = ReleaseForecast(1 / 512)


def choose(
    task: TaskRequest, offers: list[WorkerOffer], forecast: ReleaseForecast = FORECAST
) -> Placement:
    return choose_worker(task, offers, survey_speeds(offers), random.Random(1), forecast)


class TestChoice:
    """A quarter of the workers take more than twice as long as the others."""

    @staticmethod
    def fleet(fast_free: float, slow_free: float = 30.0) -> list[WorkerOffer]:
        fast = [offer(f"fast-{number}", 0.87, fast_free) for number in range(6)]
        return [*fast, *(offer(f"slow-{number}", 1.9, slow_free) for number in range(2))]

    def test_slow_workers_get_nothing_while_fast_ones_have_room(self) -> None:
        for task in (SHORT, LONG):
            chosen = choose(task, self.fleet(fast_free=16.0))
            assert chosen.offer is not None
            assert chosen.offer.instance.worker.startswith("fast")
            assert chosen.reason is PlacementReason.USUAL

    def test_short_task_leaves_the_last_fast_cores_to_long_ones(self) -> None:
        chosen = choose(SHORT, self.fleet(fast_free=4.0))
        assert chosen.offer is not None
        assert chosen.offer.instance.worker.startswith("slow")
        assert chosen.reason is PlacementReason.SPARES_FAST
        chosen = choose(LONG, self.fleet(fast_free=4.0))
        assert chosen.offer is not None
        assert chosen.offer.instance.worker.startswith("fast")

    def test_delayed_short_task_is_not_put_on_a_slow_worker(self) -> None:
        """A slow worker takes 97 of the 90 ms that are left."""
        chosen = choose(request(51.0, 90.0), self.fleet(fast_free=4.0))
        assert chosen.offer is not None
        assert chosen.offer.instance.worker.startswith("fast")

    def test_long_task_waits_for_a_fast_worker_that_ends_it_sooner(self) -> None:
        chosen = choose(LONG, self.fleet(fast_free=0.0))
        assert chosen.offer is None
        assert chosen.reason is PlacementReason.HELD

    def test_long_task_does_not_wait_longer_than_a_slow_worker_takes(self) -> None:
        behind_others = ReleaseForecast(FORECAST.share_per_ms, held_cores=400.0)
        chosen = choose(LONG, self.fleet(fast_free=0.0), behind_others)
        assert chosen.reason is PlacementReason.LATE_EVERYWHERE
        assert chosen.offer is not None

    def test_late_task_takes_the_room_that_there_is(self) -> None:
        chosen = choose(request(760.0, 300.0), self.fleet(fast_free=0.0))
        assert chosen.offer is not None
        assert chosen.offer.instance.worker.startswith("slow")

    def test_probe_is_not_held_back(self) -> None:
        """A worker whose slowness is the reason of its probation recovers only through a probe."""
        probed = offer("probed", 6.0)
        probed.on_probation = True
        chosen = choose(LONG, [*self.fleet(fast_free=0.0, slow_free=0.0), probed])
        assert chosen.offer is probed

    def test_local_worker_that_is_too_slow_is_passed_over(self) -> None:
        near, far = offer("near", 1.3), offer("far", 1.0, is_local=False)
        delayed = request(100.0, 125.0)
        assert choose(delayed, [near, far]).offer is far
        assert choose(SHORT, [near, far]).offer is near

    def test_worker_that_reports_impossible_speed_attracts_no_work(self) -> None:
        offers = [offer(f"w{number}", 1.0) for number in range(9)] + [offer("false", 0.05)]
        rng = random.Random(1)
        chosen = collections.Counter(
            placement.offer.instance.worker
            for placement in (
                choose_worker(LONG, offers, survey_speeds(offers), rng) for _ in range(2000)
            )
            if placement.offer is not None
        )
        assert chosen["false"] < 2000 * 2 / len(offers)

    def test_choice_among_similar_workers_with_room_is_the_former_one(self) -> None:
        rng = random.Random(1)
        for seed in range(300):
            offers = [
                offer(
                    f"w{number}",
                    1 / rng.choice(SIMILAR_SPEEDS),
                    rng.uniform(9.0, 30.0),
                    is_local=rng.random() < 0.5,
                )
                for number in range(12)
            ]
            speeds = survey_speeds(offers)
            task = rng.choice((SHORT, LONG))
            now = choose_worker(task, offers, speeds, random.Random(seed), FORECAST)
            before = former_choice(task, offers, speeds, random.Random(seed), FORECAST)
            assert now == before


def test_recovered_worker_is_not_reported_as_faster_than_expected() -> None:
    """A probe that happens to be short must not make the worker look fast."""
    health = WorkerHealth()
    assert health.check_running(0.0, [6.0, 6.0])
    health.record_success(20.0, 100.0, 500.0)
    assert not health.on_probation
    assert health.slowness >= 1.0
    for _ in range(40):
        health.record_success(80.0, 100.0, 600.0)
    assert health.slowness == pytest.approx(0.8, rel=0.02)
