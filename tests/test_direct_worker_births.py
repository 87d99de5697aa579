"""Test that a worker which restarts under its id neither runs a task twice nor loses its place."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from currantbarrow.direct.model import JobState, Resources
from currantbarrow.direct.reporting import needs_prompt_report
from currantbarrow.direct.worker import InstanceName, PollResult, create_unknown_announcement
from currantbarrow.exceptions import AnnouncementInvalid
from currantbarrow.platform.announcements import parse_announcement
from currantbarrow.standins.direct_fleet import DirectFleet, DirectPlan
from currantbarrow.standins.direct_worker import MemoryWorker
from direct_scenarios import run_fleet

LONG_RUN_MS = 3000.0
PLAN = DirectPlan(worker_born_ms=1)
WORKER = "worker-0.1"
ANNOUNCE_S = 0.5


def submit_long_job(
    fleet: DirectFleet, tasks: int = 12, run_ms: float = LONG_RUN_MS
) -> asyncio.Task[JobState]:
    spec = fleet.build_job("e" * 16, tasks, run_ms)
    return asyncio.create_task(fleet.submit("entry-0", spec))


def get_state(fleet: DirectFleet) -> tuple[int, bool]:
    """Return the birth at the first side process, and whether it accepts runs."""
    state = fleet.sides["side-0"].driver.state()
    return state.born_ms, state.accepting


def wrap_polls(worker: MemoryWorker, wrapper: Callable[[PollResult], Awaitable[None]]) -> None:
    """Call a wrapper with each result of a poll before it is returned."""
    poll = worker.poll

    async def wrapped(*args: object, **fields: object) -> PollResult | None:
        result: PollResult | None = await poll(*args, **fields)  # type: ignore[arg-type]
        if result is not None:
            await wrapper(result)
        return result

    worker.poll = wrapped  # type: ignore[method-assign]


class TestRestartUnderTheSameId:
    @pytest.mark.parametrize("restarted_after_s", [0.02, 0.05, 0.5])
    def test_runs_of_the_former_instance_are_repeated(self, restarted_after_s: float) -> None:
        """Guards against runs that never end, as the new instance does not know them."""

        async def scenario(fleet: DirectFleet) -> None:
            job = submit_long_job(fleet)
            await asyncio.sleep(restarted_after_s)
            await fleet.restart_worker("side-0")
            await asyncio.sleep(0.1)
            assert get_state(fleet) == (fleet.workers["side-0"].born_ms, True)
            assert await job is JobState.COMPLETED

        fleet = run_fleet(scenario, PLAN)
        assert fleet.metrics.counters["side.worker_restarted"] == 1
        assert fleet.metrics.counters["entry.worker_restarted"] == len(fleet.entries)

    @pytest.mark.parametrize("late_ms", [30.0, 100.0, 800.0, 2000.0, 4000.0])
    @pytest.mark.parametrize("announces_after_ms", [0.0, 600.0])
    def test_late_start_does_not_run_beside_its_repetition(
        self, late_ms: float, announces_after_ms: float
    ) -> None:
        """Guards against a start whose stop only the former instance knows."""

        async def scenario(fleet: DirectFleet) -> None:
            worker = fleet.workers["side-0"]
            worker.faults.late_starts, worker.faults.late_ms = 3, late_ms
            job = submit_long_job(fleet)
            await asyncio.sleep(0.2 if late_ms > 200.0 else 0.02)
            await fleet.restart_worker("side-0", announces_after_ms)
            assert await job is JobState.COMPLETED

        run_fleet(scenario, PLAN)

    def test_unanswered_start_is_not_counted_as_lost_before_the_restarted_worker_is_fenced(
        self,
    ) -> None:
        """Guards against the expired lease as a proof: the clock of the new instance is behind."""

        async def scenario(fleet: DirectFleet) -> None:
            worker = fleet.workers["side-0"]
            worker.faults.late_starts, worker.faults.late_ms = 3, 2500.0
            job = submit_long_job(fleet)
            await asyncio.sleep(0.005)
            worker.faults.silent = True
            await asyncio.sleep(2.0)
            worker.restart()
            # The start is carried out before any other command arrives.
            await asyncio.sleep(1.0)
            worker.faults.silent = False
            assert await job is JobState.COMPLETED

        run_fleet(scenario, PLAN)

    def test_stray_run_on_the_new_instance_ends_before_the_former_runs_are_reported(self) -> None:
        async def scenario(fleet: DirectFleet) -> None:
            worker = fleet.workers["side-0"]
            worker.faults.late_starts, worker.faults.late_ms = 3, 25.0
            job = submit_long_job(fleet)
            await asyncio.sleep(0.01)
            worker.restart()
            await asyncio.sleep(0.015)
            worker.faults.lost_stop_share = 0.5
            await fleet.sides["side-0"].handle_announcement(worker.announcement())
            assert await job is JobState.COMPLETED

        run_fleet(scenario, PLAN)

    @pytest.mark.parametrize("pause_s", [0.0, 0.001, 0.0025, 0.01, 0.3])
    def test_two_restarts_in_quick_succession(self, pause_s: float) -> None:
        async def scenario(fleet: DirectFleet) -> None:
            job = submit_long_job(fleet)
            await asyncio.sleep(0.5)
            await fleet.restart_worker("side-0")
            await asyncio.sleep(pause_s)
            await fleet.restart_worker("side-0")
            await asyncio.sleep(0.1)
            assert get_state(fleet) == (fleet.workers["side-0"].born_ms, True)
            assert await job is JobState.COMPLETED

        run_fleet(scenario, PLAN)

    def test_start_that_is_awaited_is_not_repeated_with_a_higher_token(self) -> None:
        """Guards against a fenced start of the former instance that raises its token."""

        async def scenario(fleet: DirectFleet) -> None:
            worker = fleet.workers["side-0"]
            worker.faults.late_answers_ms = 20.0
            job = submit_long_job(fleet)
            await asyncio.sleep(0.0035)
            await fleet.restart_worker("side-0")
            await asyncio.sleep(0.5)
            worker.faults.late_answers_ms = 0.0
            assert await job is JobState.COMPLETED

        run_fleet(scenario, PLAN)

    def test_poll_answer_of_the_former_instance_changes_nothing_after_the_takeover(self) -> None:
        """Guards against ends and clock readings that are applied to the new instance."""

        async def scenario(fleet: DirectFleet) -> None:
            worker, driver = fleet.workers["side-0"], fleet.sides["side-0"].driver

            async def delay(result: PollResult) -> None:
                if result.born_ms == 1:
                    await asyncio.sleep(0.3)

            job = submit_long_job(fleet)
            await asyncio.sleep(0.4)
            wrap_polls(worker, delay)
            await asyncio.sleep(0.3)
            await fleet.restart_worker("side-0")
            await asyncio.sleep(1.0)
            instance = driver.instance
            assert instance is not None
            assert instance.born_ms == worker.born_ms
            assert instance.lease.clock_ms(fleet.clock.steady_ms()) < 5000.0
            assert await job is JobState.COMPLETED

        run_fleet(scenario, PLAN)

    def test_former_instance_in_a_poll_answer_proves_nothing(self) -> None:
        async def scenario(fleet: DirectFleet) -> None:
            worker, driver = fleet.workers["side-0"], fleet.sides["side-0"].driver
            await fleet.restart_worker("side-0")
            await asyncio.sleep(0.1)
            born_ms, worker.born_ms = worker.born_ms, 1
            job = submit_long_job(fleet)
            await asyncio.sleep(0.3)
            worker.born_ms = born_ms
            instance = driver.instance
            assert instance is not None
            assert instance.born_ms == born_ms
            assert await job is JobState.COMPLETED

        fleet = run_fleet(scenario, PLAN)
        assert fleet.metrics.counters["side.late_poll_answer"] > 0

    def test_new_instance_starts_healthy_and_with_higher_run_numbers(self) -> None:
        async def scenario(fleet: DirectFleet) -> None:
            worker, driver = fleet.workers["side-0"], fleet.sides["side-0"].driver
            former = driver.instance
            assert former is not None
            former.record_number(("e" * 16, 0, 0), 17)
            for job in "abc":
                former.health.record_failure(job, fleet.clock.monotonic_ms())
            assert driver.state().on_trial
            await fleet.restart_worker("side-0")
            await asyncio.sleep(0.1)
            assert not driver.state().on_trial
            assert driver.state().slowness == 1.0
            instance = driver.instance
            assert instance is not None
            assert instance.former_numbers["e" * 16, 0, 0] == 17
            assert instance.run_numbers == {}
            assert (instance.applied_end, instance.acknowledged_end) == (0, 0)
            assert worker.born_ms == instance.born_ms

        run_fleet(scenario, PLAN)

    def test_ends_of_the_new_instance_are_applied_although_their_positions_start_anew(self) -> None:
        async def scenario(fleet: DirectFleet) -> None:
            for number in range(3):
                spec = fleet.build_job(f"{number:016x}", 16, 50.0)
                assert await fleet.submit("entry-0", spec) is JobState.COMPLETED
                await asyncio.sleep(0.3)
                for name in fleet.sides:
                    await fleet.restart_worker(name)
                await asyncio.sleep(0.1)

        run_fleet(scenario, PLAN)

    def test_late_announcement_of_the_former_instance_changes_nothing(self) -> None:
        async def scenario(fleet: DirectFleet) -> None:
            late = fleet.workers["side-0"].announcement()
            await fleet.restart_worker("side-0")
            await asyncio.sleep(0.1)
            state = get_state(fleet)
            await fleet.sides["side-0"].handle_announcement(late)
            await asyncio.sleep(0.1)
            assert get_state(fleet) == state
            stored = await fleet.stored_announcements["side-0"].load()
            assert stored is not None
            assert stored.born_ms == fleet.workers["side-0"].born_ms

        run_fleet(scenario, PLAN)

    def test_announced_birth_that_the_worker_does_not_answer_with_is_ignored(self) -> None:
        """Guards against announcements by another writer."""

        async def scenario(fleet: DirectFleet) -> None:
            announcement = fleet.workers["side-0"].announcement()
            wrong = type(announcement)(
                WORKER, "work", announcement.capacity, frozenset(), False, 1, born_ms=1 << 40
            )
            await fleet.sides["side-0"].handle_announcement(wrong)
            await asyncio.sleep(0.1)
            assert get_state(fleet) == (1, True)

        fleet = run_fleet(scenario, PLAN)
        assert fleet.metrics.counters["side.birth_unconfirmed"] == 1

    def test_restarted_worker_gets_no_runs_before_it_has_announced_itself(self) -> None:
        async def scenario(fleet: DirectFleet) -> None:
            worker = fleet.workers["side-0"]
            job = submit_long_job(fleet)
            await asyncio.sleep(0.1)
            worker.announcement = lambda: create_unknown_announcement("other", 0)  # type: ignore
            worker.restart()
            await asyncio.sleep(0.3)
            assert get_state(fleet) == (worker.born_ms, False)
            assert fleet.sides["side-0"].driver.state().capacity_cpu_millis == 0
            assert await job is JobState.COMPLETED

        run_fleet(scenario, PLAN)

    def test_worker_without_births_keeps_its_instance(self) -> None:
        async def scenario(fleet: DirectFleet) -> None:
            instance = fleet.sides["side-0"].driver.instance
            assert instance is not None
            token = instance.token
            assert await submit_long_job(fleet) is JobState.COMPLETED
            assert fleet.sides["side-0"].driver.instance is instance
            assert instance.token == token
            fleet.sides["side-0"].driver.handle_departure(WORKER)
            await asyncio.sleep(2 * ANNOUNCE_S)
            # Its report of its shutdown is its own.
            assert fleet.sides["side-0"].driver.instance is None

        run_fleet(scenario)


class TestRestartOfTheSideProcess:
    @pytest.mark.parametrize("restarted_first", [True, False])
    def test_stored_announcement_of_the_former_instance_is_not_used(
        self, restarted_first: bool
    ) -> None:
        async def scenario(fleet: DirectFleet) -> None:
            job = submit_long_job(fleet)
            await asyncio.sleep(0.5)
            if restarted_first:
                fleet.workers["side-0"].restart()
            await fleet.kill_side("side-0")
            if not restarted_first:
                fleet.workers["side-0"].restart()
            await fleet.start_side("side-0")
            await asyncio.sleep(0.1)
            born_ms = fleet.workers["side-0"].born_ms
            assert get_state(fleet) == (born_ms, False)
            await asyncio.sleep(ANNOUNCE_S)
            assert get_state(fleet) == (born_ms, True)
            assert await job is JobState.COMPLETED

        run_fleet(scenario, PLAN)

    @pytest.mark.parametrize("delay_s", [0.0, 0.001, 0.002, 0.003])
    def test_worker_restarts_while_the_side_process_starts(self, delay_s: float) -> None:
        async def scenario(fleet: DirectFleet) -> None:
            job = submit_long_job(fleet)
            await asyncio.sleep(0.5)
            await fleet.kill_side("side-0")
            await fleet.start_side("side-0")
            await asyncio.sleep(delay_s)
            await fleet.restart_worker("side-0")
            await asyncio.sleep(0.1)
            assert get_state(fleet) == (fleet.workers["side-0"].born_ms, True)
            assert await job is JobState.COMPLETED

        run_fleet(scenario, PLAN)


class TestLateDeparture:
    def test_report_of_the_former_shutdown_does_not_remove_the_new_instance_for_good(self) -> None:
        async def scenario(fleet: DirectFleet) -> None:
            job = submit_long_job(fleet)
            await asyncio.sleep(0.5)
            await fleet.restart_worker("side-0")
            await asyncio.sleep(0.2)
            fleet.sides["side-0"].driver.handle_departure(WORKER)
            assert not get_state(fleet)[1]
            await asyncio.sleep(2 * ANNOUNCE_S)
            assert get_state(fleet) == (fleet.workers["side-0"].born_ms, True)
            assert await job is JobState.COMPLETED

        fleet = run_fleet(scenario, PLAN)
        assert fleet.metrics.counters["side.worker_returned"] == 1

    def test_delayed_announcement_does_not_bring_back_a_departed_instance(self) -> None:
        async def scenario(fleet: DirectFleet) -> None:
            worker = fleet.workers["side-0"]
            late = worker.announcement()
            worker.leaving = True
            await fleet.sides["side-0"].handle_announcement(worker.announcement())
            fleet.sides["side-0"].driver.handle_departure(WORKER)
            await fleet.sides["side-0"].handle_announcement(late)
            await asyncio.sleep(2 * ANNOUNCE_S)
            assert fleet.sides["side-0"].driver.instance is None

        run_fleet(scenario, PLAN)

    def test_returning_worker_gets_no_runs_before_its_former_ones_have_ended(self) -> None:
        async def scenario(fleet: DirectFleet) -> None:
            worker, side = fleet.workers["side-0"], fleet.sides["side-0"]
            job = submit_long_job(fleet)
            await asyncio.sleep(0.5)
            worker.faults.lost_stop_share = 1.0
            side.driver.handle_departure(WORKER)
            await side.handle_announcement(worker.announcement())
            await asyncio.sleep(0.1)
            assert not get_state(fleet)[1]
            worker.faults.lost_stop_share = 0.0
            await asyncio.sleep(0.4)
            assert get_state(fleet) == (1, True)
            assert await job is JobState.COMPLETED

        run_fleet(scenario, PLAN)


class TestReports:
    def test_change_of_birth_is_reported_at_once(self) -> None:
        async def scenario(fleet: DirectFleet) -> None:
            before = fleet.sides["side-0"].driver.state()
            await fleet.restart_worker("side-0")
            await asyncio.sleep(0.015)
            after = fleet.sides["side-0"].driver.state()
            assert needs_prompt_report(before, after)
            for entry in fleet.entries.values():
                (handle,) = (each for each in entry.fleet.handles() if each.worker == WORKER)
                assert handle.born_ms == after.born_ms
                assert handle.instance == InstanceName(WORKER, after.born_ms)

        run_fleet(scenario, PLAN)


class TestAnnouncementDecoding:
    BODY = (
        b'{"service": "s", "state": "ready", "capacity": {"cpu": 8, "mem_mb": 9, "gpus": 1},'
        b' "labels": ["a"], "sequence": 3, "born": 1700000000123, "slots": 8}'
    )

    def test_all_fields_are_decoded(self) -> None:
        known = parse_announcement("w", self.BODY, "s", None)
        assert known.capacity == Resources(8, 9, 1)
        assert (known.sequence, known.born_ms, known.leaving) == (3, 1700000000123, False)
        assert parse_announcement("w", self.BODY, "s", known) == known
        assert parse_announcement("w", self.BODY, "", None) == known

    def test_worker_of_an_earlier_version_sends_no_birth(self) -> None:
        body = self.BODY.replace(b', "born": 1700000000123', b"")
        known = parse_announcement("w", body, "s", None)
        assert known.born_ms == 0
        assert parse_announcement("w", body, "s", known) == known

    @pytest.mark.parametrize(
        ("former", "changed"),
        [
            (b'"s"', b'"t"'),
            (b'"s"', b"1"),
            (b'"service": "s", ', b""),
            (b'"ready"', b'"starting"'),
            (b'"ready"', b"7"),
            (b'"state": "ready", ', b""),
            (b'"cpu": 8', b'"cpu": "8"'),
            (b'"cpu": 8', b'"cpu": -8'),
            (b'"cpu": 8, ', b""),
            (b'"mem_mb": 9, ', b""),
            (b', "gpus": 1', b""),
            (b'"labels": ["a"], ', b""),
            (b'["a"]', b"[1]"),
            (b'["a"]', b'"a"'),
            (b'"sequence": 3, ', b""),
            (b'"sequence": 3', b'"sequence": 3.5'),
            (b'"sequence": 3', b'"sequence": -3'),
            (b', "born": 1700000000123', b""),
            (b"1700000000123", b'"1700000000123"'),
            (b"1700000000123", b"true"),
            (b"1700000000123", b"null"),
            (b"1700000000123", b"-1"),
            (b"{", b"\xff{"),
            (b'"s"', b'"\xff"'),
            (b"}", b""),
        ],
    )
    def test_faulty_announcement_is_rejected(self, former: bytes, changed: bytes) -> None:
        """Guards against defaults that replace what the worker announced before."""
        known = parse_announcement("w", self.BODY, "s", None)
        with pytest.raises(AnnouncementInvalid):
            parse_announcement("w", self.BODY.replace(former, changed), "s", known)
