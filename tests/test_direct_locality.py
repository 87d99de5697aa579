"""Test tasks that belong near their data, on one rack, or on different workers."""

from __future__ import annotations

import asyncio
import collections
import random

import pytest

from currantbarrow.direct.candidates import WorkerCandidate
from currantbarrow.direct.job import OpenJob
from currantbarrow.direct.model import JobSpec, JobState, Resources, StepSpec
from currantbarrow.direct.placement import (
    Placement,
    PlacementReason,
    ReleaseForecast,
    TaskRequest,
    WorkerOffer,
    choose_worker,
)
from currantbarrow.direct.racks import choose_rack, rack_of
from currantbarrow.direct.speeds import survey_speeds
from currantbarrow.direct.spread import JobSpread
from currantbarrow.direct.worker import InstanceName
from currantbarrow.protocol.direct import RunEnd
from currantbarrow.standins.direct_fleet import QUEUE, DirectFleet, DirectPlan
from direct_scenarios import RESUBMIT_AFTER_S, run_fleet

# Three racks of four workers, with room for eight tasks each.
PLAN = DirectPlan(entries=3, sides=12, rack_size=4, far_factor=2.0)
NEAR = "r1-0"
LIMIT = 1
FOUR = [InstanceName(name) for name in "abcd"]


def racks_of(fleet: DirectFleet, job: str) -> collections.Counter[str]:
    """Return the number of runs of a job that were started on each rack."""
    rack_by_worker = {each.worker: each.rack for each in fleet.workers.values()}
    return collections.Counter(
        rack_by_worker[worker] for task, worker in fleet.runs.started if task[0] == job
    )


def largest_count(fleet: DirectFleet) -> int:
    """Return the largest number of tasks of one step that were started on one worker."""
    tasks: dict[tuple[str, int, str], set[int]] = {}
    for (job, step, index), worker in fleet.runs.started:
        tasks.setdefault((job, step, worker), set()).add(index)
    return max(len(indices) for indices in tasks.values())


class MostTasksAtOnce:
    """Track the largest number of tasks of one step that ran on one worker at the same time."""

    def __init__(self, fleet: DirectFleet) -> None:
        self._largest = 0
        self._runs = fleet.runs
        self._record = fleet.runs.record_start
        fleet.runs.record_start = self._record_start  # type: ignore[method-assign]

    def count(self) -> int:
        return self._largest

    def _record_start(self, task: tuple[str, int, int], worker: str) -> None:
        self._record(task, worker)
        running = collections.Counter(
            (each[0], each[1], on) for each, on in self._runs.running.items()
        )
        self._largest = max(self._largest, *running.values())


def warm_up(fleet: DirectFleet) -> None:
    """Let the entries know the run times of earlier jobs."""
    for entry in fleet.entries.values():
        for _ in range(100):
            entry.dispatcher.run_time_estimator.record_run(QUEUE.name, 100.0, 100.0)


class TestAffinity:
    def test_tasks_run_on_the_rack_near_their_data(self) -> None:
        async def scenario(fleet: DirectFleet) -> None:
            spec = fleet.build_job("a", 8, 100.0, affinity=NEAR)
            assert await fleet.submit("entry-0", spec) is JobState.COMPLETED
            assert set(racks_of(fleet, "a")) == {NEAR}

        run_fleet(scenario, PLAN)

    def test_link_to_a_near_rack_outside_the_subset_is_used(self) -> None:
        """An entry keeps 16 of 40 links warm; the rack has to be found among the others."""

        async def scenario(fleet: DirectFleet) -> None:
            for number in range(10):
                rack = f"r1-{number}"
                spec = fleet.build_job(rack, 4, 100.0, affinity=rack)
                assert await fleet.submit("entry-0", spec) is JobState.COMPLETED
                assert set(racks_of(fleet, rack)) == {rack}

        run_fleet(scenario, DirectPlan(entries=4, sides=40, rack_size=4, far_factor=2.0))

    def test_task_is_placed_far_when_the_near_rack_is_full_and_time_is_short(self) -> None:
        async def scenario(fleet: DirectFleet) -> None:
            filling = asyncio.create_task(
                fleet.submit("entry-0", fleet.build_job("long", 32, 2000.0, affinity=NEAR))
            )
            # Links without orders carry a report every 500 ms.
            await asyncio.sleep(0.6)
            spec = fleet.build_job("short", 2, 60.0, affinity=NEAR)
            began_s = asyncio.get_running_loop().time()
            assert await fleet.submit("entry-1", spec) is JobState.COMPLETED
            assert asyncio.get_running_loop().time() - began_s < (1.6 * 60 + 60) / 1000
            assert NEAR not in racks_of(fleet, "short")
            assert await filling is JobState.COMPLETED
            assert fleet.metrics.counters["entry.task_placed.far"] == 2

        run_fleet(scenario, PLAN)

    def test_many_jobs_for_one_rack_neither_wait_nor_exclude_others(self) -> None:
        """More tasks want a rack than it has room for, while the other racks are free."""

        async def scenario(fleet: DirectFleet) -> None:
            loop = asyncio.get_running_loop()
            rng = random.Random(1)
            took_ms: dict[str, float] = {}

            async def send(key: str, affinity: str) -> None:
                began_s = loop.time()
                entry = rng.choice(list(fleet.entries))
                spec = fleet.build_job(key, 2, 100.0, affinity=affinity)
                assert await fleet.submit(entry, spec) is JobState.COMPLETED
                took_ms[key] = (loop.time() - began_s) * 1000

            jobs = []
            # 70 % of the fleet's capacity, if half of the tasks for the rack run elsewhere.
            for number in range(120):
                jobs.append(asyncio.create_task(send(f"near-{number}", NEAR)))
                if number % 3 == 0:
                    jobs.append(asyncio.create_task(send(f"any-{number}", "")))
                await asyncio.sleep(0.005)
            await asyncio.gather(*jobs)
            objective_ms = 1.6 * 100 + 60
            late = [key for key, each_ms in took_ms.items() if each_ms > objective_ms]
            assert len(late) <= 0.03 * len(took_ms), late
            used = sum((racks_of(fleet, f"near-{n}") for n in range(120)), collections.Counter())
            assert used[NEAR] > 0.4 * used.total()
            assert used[NEAR] < used.total()

        run_fleet(scenario, PLAN)

    def test_estimates_and_slowness_are_not_changed_by_far_runs(self) -> None:
        async def scenario(fleet: DirectFleet) -> None:
            warm_up(fleet)
            for number in range(30):
                spec = fleet.build_job(f"far-{number}", 4, 100.0, affinity="r9-9")
                assert await fleet.submit("entry-0", spec) is JobState.COMPLETED
            estimator = fleet.entries["entry-0"].dispatcher.run_time_estimator
            assert estimator.expected_ms(QUEUE.name, 100.0) == pytest.approx(100.0, rel=0.1)
            for entry in fleet.entries.values():
                for state in entry.fleet.worker_states("work"):
                    assert state.slowness == pytest.approx(1.0, rel=0.1)

        run_fleet(scenario, PLAN)

    def test_factor_of_one_has_no_effect(self) -> None:
        """Earlier deployments set no factor: their jobs with an affinity run everywhere."""

        async def scenario(fleet: DirectFleet) -> None:
            spec = fleet.build_job("a", 24, 100.0, affinity=NEAR)
            assert await fleet.submit("entry-0", spec) is JobState.COMPLETED
            assert len(racks_of(fleet, "a")) == 3

        run_fleet(scenario, DirectPlan(entries=1, sides=12, rack_size=4))


class TestSameRack:
    def test_tasks_share_a_rack_with_room_for_all(self) -> None:
        async def scenario(fleet: DirectFleet) -> None:
            jobs = [fleet.build_job(f"job-{n}", 12, 100.0, same_rack=True) for n in range(5)]
            states = await asyncio.gather(
                *(fleet.submit(f"entry-{n % 3}", job) for n, job in enumerate(jobs))
            )
            assert set(states) == {JobState.COMPLETED}
            for job in jobs:
                assert len(racks_of(fleet, job.job_id)) == 1

        run_fleet(scenario, PLAN)

    def test_step_that_fits_on_no_rack_uses_several(self) -> None:
        async def scenario(fleet: DirectFleet) -> None:
            spec = fleet.build_job("wide", 60, 100.0, same_rack=True)
            assert await fleet.submit("entry-0", spec) is JobState.COMPLETED

        run_fleet(scenario, PLAN)

    def test_rack_with_room_for_all_tasks_is_chosen(self) -> None:
        offers = [offer("a", 30.0, "r1-0"), offer("b", 6.0, "r1-1"), offer("c", 6.0, "r1-1")]
        resources = Resources(3000, 64, 0)
        for seed in range(20):
            assert choose_rack(offers, resources, 8, 0, random.Random(seed)) == "r1-0"
            assert choose_rack(offers, resources, 2, 1, random.Random(seed)) == "r1-1"

    def test_rack_is_told_from_other_labels(self) -> None:
        assert rack_of(["kind-r1-2", "r12-30", "gpu"]) == "r12-30"
        assert rack_of(["kind"]) == ""


class TestLimitPerWorker:
    @pytest.mark.parametrize("born_ms", [0, 1])
    @pytest.mark.parametrize("seed", range(6))
    def test_limit_is_kept_over_failures_and_retries(self, seed: int, born_ms: int) -> None:
        """Workers fail runs, fall silent, crash and lose commands, and side processes end."""

        async def scenario(fleet: DirectFleet) -> None:
            rng = random.Random(seed)
            names = list(fleet.workers)
            for name in rng.sample(names, 4):
                fleet.workers[name].faults.fails = True
            for name in rng.sample(names, 3):
                fleet.workers[name].faults.lost_share = 0.2
                fleet.workers[name].faults.late_share = 0.2
            jobs = [
                asyncio.create_task(
                    fleet.submit(
                        f"entry-{number % 3}",
                        fleet.build_job(f"job-{number}", 8, 200.0, max_per_worker=LIMIT),
                        2500.0,
                    )
                )
                for number in range(12)
            ]
            await asyncio.sleep(rng.uniform(0.02, 0.2))
            silent, crashed, killed = rng.sample(names, 3)
            fleet.workers[silent].faults.silent = True
            fleet.workers[crashed].crash()
            await fleet.kill_side(killed)
            await asyncio.sleep(1.5)
            fleet.workers[silent].faults.silent = False
            await fleet.start_side(killed)
            for worker in fleet.workers.values():
                worker.faults.fails = False
                worker.faults.lost_share = worker.faults.late_share = 0.0
            await asyncio.wait(jobs, timeout=20.0)
            runs = collections.Counter(task for task, _ in fleet.runs.started)
            assert max(runs.values()) > 1
            assert largest_count(fleet) <= LIMIT

        run_fleet(scenario, DirectPlan(entries=3, sides=12, seed=seed, worker_born_ms=born_ms))

    @pytest.mark.parametrize("restarts", [False, True])
    def test_limit_is_kept_by_a_worker_that_sends_its_birth(self, restarts: bool) -> None:
        """A worker that restarts under its id stays the same worker."""

        async def scenario(fleet: DirectFleet) -> None:
            spec = fleet.build_job("a", 12, 400.0, max_per_worker=LIMIT)
            job = asyncio.create_task(fleet.submit("entry-0", spec))
            await asyncio.sleep(0.1)
            if restarts:
                for name in ("side-0", "side-1", "side-2"):
                    await fleet.restart_worker(name)
            assert await job is JobState.COMPLETED
            assert largest_count(fleet) == LIMIT

        run_fleet(scenario, DirectPlan(entries=1, sides=12, worker_born_ms=1))

    @pytest.mark.parametrize("seed", range(6))
    def test_limit_is_kept_over_takeovers_by_entries_and_workers_that_begin_to_send_births(
        self, seed: int
    ) -> None:
        """A job runs on what an earlier entry has placed, on instances with and without births."""

        async def scenario(fleet: DirectFleet) -> None:
            rng = random.Random(seed)
            most = MostTasksAtOnce(fleet)
            names = list(fleet.workers)
            # Half of the workers are replaced by instances that send a birth, some under their id.
            for name in rng.sample(names, 6):
                if rng.random() < 0.5:
                    fleet.workers[name].crash()
                await fleet.restart_worker(name)
            await asyncio.sleep(1.0)
            specs = [
                fleet.build_job(f"job-{number}", 9, 1500.0, max_per_worker=LIMIT)
                for number in range(4)
            ]
            first = [asyncio.create_task(fleet.submit("entry-0", spec)) for spec in specs]
            await asyncio.sleep(rng.uniform(0.1, 0.6))
            restarted, replaced, killed = rng.sample(names, 3)
            await fleet.kill_side(killed)
            await fleet.restart_worker(restarted)
            fleet.workers[replaced].crash()
            await fleet.restart_worker(replaced)
            await fleet.kill_entry("entry-0")
            for task in first:
                task.cancel()
            await asyncio.sleep(RESUBMIT_AFTER_S)
            # The side process does not know the birth of its worker yet.
            await fleet.start_side(killed)
            second = [asyncio.create_task(fleet.submit("entry-1", spec)) for spec in specs]
            await asyncio.wait(second, timeout=20.0)
            assert most.count() == LIMIT

        run_fleet(scenario, DirectPlan(entries=3, sides=12, seed=seed))

    def test_limit_is_kept_if_links_come_to_count_as_lost_during_a_dispatch_pass(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """A process that is held up then compares two views of the fleet."""

        async def scenario(fleet: DirectFleet) -> None:
            entry = fleet.entries["entry-0"]
            collect, handles = entry.dispatcher._collect_candidates, entry.fleet.handles

            def collect_and_stall(now_ms: float) -> dict[str, list[WorkerCandidate]]:
                candidates = collect(now_ms)
                monkeypatch.setattr(entry.fleet, "handles", list)
                asyncio.get_running_loop().call_soon(
                    monkeypatch.setattr, entry.fleet, "handles", handles
                )
                return candidates

            monkeypatch.setattr(entry.dispatcher, "_collect_candidates", collect_and_stall)
            for number in range(8):
                spec = fleet.build_job(f"job-{number}", 4, 100.0, max_per_worker=LIMIT)
                assert await fleet.submit("entry-0", spec) is JobState.COMPLETED
            assert largest_count(fleet) == LIMIT

        run_fleet(scenario, DirectPlan(entries=1, sides=4))

    def test_every_worker_is_used_up_to_the_limit(self) -> None:
        async def scenario(fleet: DirectFleet) -> None:
            spec = fleet.build_job("a", 24, 100.0, max_per_worker=2)
            assert await fleet.submit("entry-0", spec) is JobState.COMPLETED
            assert largest_count(fleet) == 2

        run_fleet(scenario, DirectPlan(entries=1, sides=12))

    def test_tasks_of_a_full_step_run_again_on_their_own_workers(self) -> None:
        """Each worker is taken, so a failed task has no other place."""

        async def scenario(fleet: DirectFleet) -> None:
            fleet.workers["side-0"].faults.fails = True
            job = asyncio.create_task(
                fleet.submit("entry-0", fleet.build_job("a", 4, 100.0, max_per_worker=1))
            )
            await asyncio.sleep(0.15)
            fleet.workers["side-0"].faults.fails = False
            assert await job is JobState.COMPLETED
            assert fleet.runs.failed
            assert largest_count(fleet) == 1

        run_fleet(scenario, DirectPlan(entries=1, sides=4))

    def test_job_that_can_never_be_placed_is_refused_at_once(self) -> None:
        async def scenario(fleet: DirectFleet) -> None:
            loop = asyncio.get_running_loop()
            began_s = loop.time()
            spec = fleet.build_job("a", 9, 100.0, max_per_worker=2)
            assert await fleet.submit("entry-0", spec) is JobState.REFUSED
            assert loop.time() == began_s
            assert not fleet.runs.started
            assert fleet.metrics.counters["entry.job_refused.too_few_workers"] == 1

        run_fleet(scenario, DirectPlan(entries=1, sides=4))

    def test_job_that_waits_for_places_does_not_block_others(self) -> None:
        async def scenario(fleet: DirectFleet) -> None:
            filling = fleet.build_job("full", 8, 3000.0, max_per_worker=2)
            others = [asyncio.create_task(fleet.submit("entry-0", filling))]
            await asyncio.sleep(0.05)
            spread = fleet.build_job("spread", 2, 100.0, 16_000, max_per_worker=1)
            others.append(asyncio.create_task(fleet.submit("entry-0", spread)))
            await asyncio.sleep(0.05)
            spec = fleet.build_job("small", 2, 50.0)
            outcome = await fleet.entries["entry-0"].submit(spec, QUEUE, 0.0)
            assert isinstance(outcome, OpenJob)
            async with asyncio.timeout(0.2):
                await outcome.ended.wait()
            for task in others:
                task.cancel()

        run_fleet(scenario, DirectPlan(entries=1, sides=4))

    def test_order_that_was_never_started_does_not_count(self) -> None:
        spread = JobSpread()
        spread.record_order(0, 0, InstanceName("a"))
        spread.record_end(0, 0, InstanceName("a"), RunEnd.NOT_STARTED)
        assert spread.count(0, InstanceName("a")) == 0

    @pytest.mark.parametrize("end", [RunEnd.DONE, RunEnd.FAILED, RunEnd.LOST])
    def test_run_that_may_have_started_counts_whatever_its_end(self, end: RunEnd) -> None:
        spread = JobSpread()
        spread.record_order(0, 0, InstanceName("a"))
        spread.record_end(0, 0, InstanceName("a"), end)
        step = StepSpec(3, Resources(), 1.0, max_per_worker=1)
        assert spread.excluded_workers(0, 1, step, FOUR) == {FOUR[0]}
        assert spread.excluded_workers(0, 0, step, FOUR) == set()

    def test_worker_that_replaced_another_behind_a_link_counts_too(self) -> None:
        """The order may have arrived before or after the replacement."""
        spread = JobSpread()
        spread.record_order(0, 0, InstanceName("a.1"))
        spread.record_worker(0, 0, InstanceName("a.2"))
        spread.record_end(0, 0, InstanceName("a.2"), RunEnd.DONE)
        assert spread.count(0, InstanceName("a.1")) == spread.count(0, InstanceName("a.2")) == 1

    def test_worker_that_restarts_under_its_id_counts_on(self) -> None:
        spread = JobSpread()
        spread.record_order(0, 0, InstanceName("a", 1))
        spread.record_end(0, 0, InstanceName("a", 2), RunEnd.LOST)
        restarted = InstanceName("a", 2)
        step = StepSpec(3, Resources(), 1.0, max_per_worker=1)
        assert spread.excluded_workers(0, 1, step, [restarted, *FOUR[1:]]) == {restarted}

    def test_task_that_runs_again_leaves_the_last_places_to_others(self) -> None:
        spread = JobSpread()
        spread.record_order(0, 0, InstanceName("a"))
        spread.record_end(0, 0, InstanceName("a"), RunEnd.FAILED)
        step = StepSpec(2, Resources(), 1.0, max_per_worker=1)
        assert spread.excluded_workers(0, 0, step, FOUR[:2]) == {FOUR[1]}
        assert spread.excluded_workers(0, 0, step, FOUR[:3]) == set()


def offer(name: str, free_cores: float, rack: str) -> WorkerOffer:
    capacity = Resources(32_000, 64_000, 0)
    free = Resources(int(free_cores * 1000), 64_000, 0)
    return WorkerOffer(InstanceName(name), free, 1.0, True, False, frozenset({rack}), capacity)


class TestChoice:
    FORECAST = ReleaseForecast(1 / 512)

    def choose(
        self,
        near_free: float,
        far_free: float,
        time_left_ms: float,
        forecast: ReleaseForecast = FORECAST,
    ) -> Placement:
        offers = [offer(f"near-{number}", near_free, "r1-0") for number in range(7)]
        offers += [offer(f"far-{number}", far_free, "r1-1") for number in range(20)]
        request = TaskRequest(
            Resources(2900, 64, 0),
            expected_ms=100.0,
            time_left_ms=time_left_ms,
            near_rack="r1-0",
            far_factor=3.0,
        )
        return choose_worker(request, offers, survey_speeds(offers), random.Random(1), forecast)

    def test_far_worker_with_time_to_spare_is_taken_at_once_while_racks_are_free(self) -> None:
        placement = self.choose(0.0, 20.0, 400.0)
        assert placement.reason is PlacementReason.FAR
        assert placement.offer is not None

    def test_near_worker_is_waited_for_while_cores_are_scarce(self) -> None:
        assert self.choose(0.0, 4.0, 400.0).reason is PlacementReason.HELD

    def test_near_worker_is_not_waited_for_behind_many_others(self) -> None:
        behind_others = ReleaseForecast(1 / 512, held_cores=200.0)
        assert self.choose(0.0, 4.0, 400.0, behind_others).reason is PlacementReason.FAR

    def test_near_worker_is_waited_for_if_far_ones_are_too_slow(self) -> None:
        assert self.choose(0.0, 20.0, 221.0).reason is PlacementReason.HELD

    def test_late_task_takes_a_far_worker(self) -> None:
        assert self.choose(0.0, 20.0, 90.0).reason is PlacementReason.LATE_EVERYWHERE


def test_spec_without_constraints_is_unchanged() -> None:
    """Jobs of earlier deployments are built from the first fields alone."""
    step = StepSpec(1, Resources(), 1.0, "a", (0,))
    assert JobSpec("a", "", (step,)).steps[0] == StepSpec(
        1, Resources(), 1.0, "a", (0,), "", 0, False
    )
