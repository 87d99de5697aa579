"""Check each decision of direct dispatch by itself, on the load pattern that it answers."""

from __future__ import annotations

import collections
import random
from typing import Any

import msgspec
import pytest

from currantbarrow.direct.admission import Backlog, ReleaseRate, check_admission
from currantbarrow.direct.aperture import (
    NARROW_DELAY_MS,
    WARM_LINKS,
    WIDEN_STEP_LINKS,
    Aperture,
    order_links,
)
from currantbarrow.direct.estimates import RunTimeEstimator
from currantbarrow.direct.health import CONSECUTIVE_FAILED_JOBS_LIMIT, WorkerHealth
from currantbarrow.direct.history import RETENTION_MS, JobHistory
from currantbarrow.direct.job import longest_chain_ms
from currantbarrow.direct.model import Resources, StepSpec, WorkQueue
from currantbarrow.direct.placement import WorkerOffer, choose_worker
from currantbarrow.direct.reporting import needs_prompt_report
from currantbarrow.direct.reservations import ResourceReservations
from currantbarrow.direct.routing import Configuration
from currantbarrow.direct.session import LEASE_MS, EntryLease, SideLiveness
from currantbarrow.direct.urgency import JobTimes, create_times
from currantbarrow.protocol.direct import Standing, TakenRow, WorkerState
from currantbarrow.types import Clock


class SetClock:
    def __init__(self) -> None:
        self.now_ms = 0.0

    def monotonic_ms(self) -> float:
        return self.now_ms

    def wall_ms(self) -> int:
        return int(self.now_ms)

    async def sleep_ms(self, delay_ms: float) -> None:
        self.now_ms += delay_ms


def offer(name: str, cpu: int = 8000, slowness: float = 1.0, is_local: bool = True) -> WorkerOffer:
    return WorkerOffer(name, Resources(cpu, 1000, 0), slowness, is_local, False, frozenset({"a"}))


class TestUrgency:
    def test_job_with_less_slack_goes_first(self) -> None:
        short = create_times(0.0, 120.0, 1.6, 60.0, 0.0)
        long = create_times(0.0, 1800.0, 1.6, 60.0, 0.0)
        assert short.rank(10.0) < long.rank(10.0)

    def test_long_job_goes_first_once_its_slack_is_spent(self) -> None:
        long = create_times(0.0, 1800.0, 1.6, 60.0, 0.0)
        short = create_times(1100.0, 120.0, 1.6, 60.0, 0.0)
        assert long.rank(1100.0) < short.rank(1100.0)

    def test_late_job_goes_behind_all_that_can_be_on_time(self) -> None:
        late = create_times(0.0, 120.0, 1.6, 60.0, 0.0)
        fresh = create_times(500.0, 1800.0, 1.6, 60.0, 0.0)
        assert fresh.rank(500.0) < late.rank(500.0)

    def test_late_job_that_was_begun_goes_first_while_it_is_of_use(self) -> None:
        started = create_times(0.0, 120.0, 1.6, 60.0, 0.0)
        fresh = create_times(500.0, 120.0, 1.6, 60.0, 0.0)
        assert started.rank(500.0, started=True) < fresh.rank(500.0)
        assert started.rank(700.0, started=True) > fresh.rank(500.0)

    def test_job_of_no_more_use_goes_last(self) -> None:
        useless = create_times(0.0, 120.0, 1.6, 60.0, 0.0)
        late = create_times(400.0, 120.0, 1.6, 60.0, 0.0)
        assert late.rank(700.0) < useless.rank(700.0)

    def test_late_job_is_sent_away_after_as_long_again_as_it_could_wait(self) -> None:
        times = create_times(0.0, 120.0, 1.6, 60.0, 0.0)
        assert not times.should_be_refused(260.0)
        assert times.should_be_refused(270.0)

    def test_patience_bounds_the_use_of_an_answer(self) -> None:
        assert create_times(0.0, 100.0, 1.6, 60.0, 300.0).expires_ms == 300.0


class TestAdmission:
    @staticmethod
    def backlog(
        ahead: float, own: float = 10.0, free: float = 0.0, cores: float = 100.0
    ) -> Backlog:
        # Runs of half a second give 200 of 100 cores back each second.
        return Backlog(ahead, own, free, (ahead + own) * 500, cores, 2 * cores)

    @pytest.mark.parametrize("slack_ms", [0.0, 130.0])
    def test_idle_fleet_takes_everything(self, slack_ms: float) -> None:
        assert check_admission(self.backlog(0.0, free=100.0), slack_ms) is None

    def test_job_is_refused_that_would_wait_longer_than_its_slack(self) -> None:
        refusal = check_admission(self.backlog(95.0), 130.0)
        assert refusal is not None
        assert refusal.wait_ms == 500.0
        assert refusal.retry_after_s == 1

    def test_job_with_more_slack_is_taken_at_the_same_load(self) -> None:
        assert check_admission(self.backlog(95.0), 1100.0) is None

    def test_few_long_tasks_ahead_make_a_short_wait(self) -> None:
        """Replay one long job ahead of a short one on a full fleet of 273 cores an entry."""
        rate = ReleaseRate()
        for _ in range(300):
            for cores, ran_ms in ((49.6, 120.0), (12.4, 400.0), (24.8, 1800.0 / 4)):
                rate.record_run(cores, ran_ms)
        backlog = Backlog(24.8, 12.4, 0.0, 24.8 * 1800, 273.0, rate.per_s(273.0))
        # By the work ahead it would be 163 ms, and a hold with 130 ms of slack be refused.
        assert 24.8 * 1800 / 273 > 130
        assert check_admission(backlog, 130.0) is None

    def test_wait_is_refused_that_is_told_to_last(self) -> None:
        refusal = check_admission(self.backlog(4000.0), 130.0)
        assert refusal is not None
        assert refusal.retry_after_s == 20

    def test_job_is_refused_whose_queue_is_held_up_by_what_is_more_urgent(self) -> None:
        """Replay a queue whose jobs wait, while little stands before a new one."""
        held_up = Backlog(5.0, 5.0, 0.0, 2500.0, 100.0, 200.0, oldest_ms=250.0)
        refusal = check_admission(held_up, 300.0)
        assert refusal is not None
        assert refusal.wait_ms == 375.0

    def test_fleet_without_workers_takes_nothing(self) -> None:
        refusal = check_admission(Backlog(0.0, 0.0, 0.0, 0.0, 0.0, 0.0), 1000.0)
        assert refusal is not None
        assert refusal.reason == "no_worker"


class TestPlacement:
    def choose(self, *offers: WorkerOffer, avoid: str = "", label: str = "") -> str | None:
        chosen = choose_worker(
            Resources(2000, 10, 0), label, frozenset({avoid}), list(offers), random.Random(1)
        )
        return chosen.worker if chosen is not None else None

    def test_faster_worker_is_chosen_over_a_nearer_one(self) -> None:
        assert self.choose(offer("slow", slowness=1.25), offer("fast", is_local=False)) == "fast"

    def test_nearer_worker_is_chosen_among_alike(self) -> None:
        assert self.choose(offer("far", is_local=False), offer("near", slowness=1.05)) == "near"

    def test_worker_without_room_is_left_out(self) -> None:
        assert self.choose(offer("full", cpu=1999), offer("free", slowness=1.8)) == "free"

    def test_worker_out_of_order_gets_nothing(self) -> None:
        assert self.choose(offer("stuck", slowness=6.0)) is None

    def test_worker_on_trial_is_chosen_only_when_no_other_has_room(self) -> None:
        tried = offer("tried", slowness=6.0)
        tried.on_probation = True
        assert self.choose(tried) == "tried"
        assert self.choose(tried, offer("sound", slowness=1.6)) == "sound"

    def test_task_that_failed_goes_elsewhere_if_there_is_an_elsewhere(self) -> None:
        assert self.choose(offer("a"), offer("b", slowness=1.5), avoid="a") == "b"
        assert self.choose(offer("a"), avoid="a") == "a"

    def test_label_that_no_worker_has_makes_a_task_wait(self) -> None:
        assert self.choose(offer("a"), label="gpu") is None

    def test_alike_workers_share_the_load_of_entries_that_know_the_same(self) -> None:
        offers = [offer(f"w{place}") for place in range(5)]
        chosen = set()
        for seed in range(50):
            best = choose_worker(
                Resources(2000, 10, 0), "", frozenset(), offers, random.Random(seed)
            )
            assert best is not None
            chosen.add(best.worker)
        assert len(chosen) == 5


class TestWorkerHealth:
    def test_one_job_that_fails_often_is_not_the_workers_fault(self) -> None:
        health = WorkerHealth()
        assert not any(health.record_failure("job", 0.0) for _ in range(20))

    def test_worker_that_fails_many_jobs_goes_on_trial(self) -> None:
        health = WorkerHealth()
        verdicts = [
            health.record_failure(f"job-{n}", 0.0) for n in range(CONSECUTIVE_FAILED_JOBS_LIMIT)
        ]
        assert verdicts == [False] * (CONSECUTIVE_FAILED_JOBS_LIMIT - 1) + [True]
        assert not health.can_start(10.0, 0)

    def test_success_clears_the_failures_before(self) -> None:
        health = WorkerHealth()
        for number in range(10):
            assert not health.record_failure(f"job-{number}", 0.0)
            health.record_success(100.0, 100.0, 0.0)

    def test_worker_on_trial_gets_one_run_at_a_time_and_is_trusted_after_a_good_one(self) -> None:
        health = WorkerHealth()
        assert health.record_overdue(0.0, [5.0, 6.0])
        assert not health.can_start(100.0, 0)
        assert health.can_start(500.0, 0)
        assert not health.can_start(500.0, 1)
        health.record_success(100.0, 100.0, 0.0)
        assert health.can_start(501.0, 5)

    def test_slow_run_on_trial_keeps_the_worker_there(self) -> None:
        health = WorkerHealth()
        health.record_overdue(0.0, [6.0, 6.0])
        health.record_success(600.0, 100.0, 0.0)
        assert health.on_probation

    def test_worker_that_turned_slow_goes_on_getting_trials_until_it_is_well(self) -> None:
        """Replay a worker that takes six times as long for a while, without standing still."""
        health = WorkerHealth()
        for place in range(20):
            health.record_success(600.0, 100.0, place * 10.0)
        assert health.on_probation
        assert health.can_start(100_000.0, 0)
        health.record_success(100.0, 100.0, 100_000.0)
        assert not health.on_probation

    def test_slowest_kind_of_worker_is_not_out_of_order(self) -> None:
        health = WorkerHealth()
        rng = random.Random(1)
        for _ in range(5000):
            health.record_success(160.0 * rng.lognormvariate(0, 0.35), 100.0, 0.0)
            assert not health.on_probation

    def test_single_long_job_puts_no_worker_on_trial(self) -> None:
        health = WorkerHealth()
        assert not health.record_overdue(0.0, [9.0, 1.0, 0.5])

    def test_slowness_follows_the_runs(self) -> None:
        health = WorkerHealth()
        for _ in range(60):
            health.record_success(125.0, 100.0, 0.0)
        assert health.slowness == pytest.approx(1.25, rel=0.01)


class TestAperture:
    SIDES = [f"10.0.0.{number}:1" for number in range(75)]
    ENTRIES = [f"10.1.0.{number}:1" for number in range(14)]

    def slices(self, width: int) -> collections.Counter[str]:
        return collections.Counter(
            side
            for entry in self.ENTRIES
            for side in order_links(entry, self.ENTRIES, self.SIDES)[:width]
        )

    def test_each_worker_is_in_about_as_many_slices_as_any_other(self) -> None:
        shares = self.slices(WARM_LINKS)
        assert set(shares) == set(self.SIDES)
        assert max(shares.values()) - min(shares.values()) <= 1

    def test_all_links_are_taken_in_at_last(self) -> None:
        assert sorted(order_links(self.ENTRIES[3], self.ENTRIES, self.SIDES)) == sorted(self.SIDES)

    def test_small_fleet_is_warm_as_a_whole(self) -> None:
        aperture = Aperture()
        assert aperture.width(1000.0) >= 11
        assert not aperture.widen(11, 1000.0)

    def test_full_slice_widens_until_all_are_in_and_narrows_once_the_burst_is_over(self) -> None:
        aperture = Aperture()
        now_ms = 10_000.0
        for _ in range(60):
            now_ms += 5.0
            aperture.widen(len(self.SIDES), now_ms)
        assert aperture.width(now_ms) >= len(self.SIDES)
        assert aperture.width(now_ms + NARROW_DELAY_MS) >= len(self.SIDES)
        assert aperture.width(now_ms + NARROW_DELAY_MS + 10_000.0) == WARM_LINKS

    def test_short_lack_of_room_takes_in_few(self) -> None:
        aperture = Aperture()
        assert aperture.widen(len(self.SIDES), 10_000.0)
        assert not aperture.widen(len(self.SIDES), 10_001.0)
        assert aperture.width(10_001.0) == WARM_LINKS + WIDEN_STEP_LINKS


class TestReporting:
    ROOMY = WorkerState("w", "s", True, 16_000, 32_000, 0, 8000, 30_000, 0, 0, 0, 1.0, False, [])

    def test_change_where_there_is_plenty_of_room_can_wait(self) -> None:
        assert not needs_prompt_report(
            self.ROOMY, msgspec.structs.replace(self.ROOMY, free_cpu_millis=6400)
        )

    @pytest.mark.parametrize(
        "change",
        [
            {"free_cpu_millis": 4000},
            {"free_memory_mb": 4000},
            {"waiting_cpu_millis": 6000},
            {"accepting": False},
            {"on_trial": True},
            {"worker": "v"},
        ],
    )
    def test_change_that_placing_depends_on_is_told_at_once(self, change: dict[str, Any]) -> None:
        changed = msgspec.structs.replace(self.ROOMY, **change)
        assert needs_prompt_report(self.ROOMY, changed)
        # Room that is given back is waited for as well.
        assert needs_prompt_report(changed, self.ROOMY)

    def test_first_state_is_news(self) -> None:
        assert needs_prompt_report(None, self.ROOMY)


class TestResourceReservations:
    def test_room_is_never_overbooked(self) -> None:
        reservations = ResourceReservations(Resources(10_000, 100, 0))
        assert reservations.reserve("a", Resources(6000, 10, 0))
        assert not reservations.reserve("b", Resources(6000, 10, 0))
        reservations.release("a")
        assert reservations.reserve("b", Resources(6000, 10, 0))

    def test_each_measure_counts(self) -> None:
        reservations = ResourceReservations(Resources(10_000, 100, 1))
        assert not reservations.reserve("a", Resources(1000, 101, 0))
        assert not reservations.reserve("a", Resources(1000, 10, 2))

    def test_release_counts_once(self) -> None:
        reservations = ResourceReservations(Resources(10_000, 100, 0))
        reservations.reserve("a", Resources(6000, 10, 0))
        reservations.release("a")
        reservations.release("a")
        assert reservations.free == Resources(10_000, 100, 0)


class TestSession:
    def test_orders_end_a_lease_after_the_last_report_that_was_heard(self) -> None:
        lease = EntryLease(0.0)
        lease.renew(500.0)
        assert lease.is_valid(500.0 + LEASE_MS - 1)
        assert not lease.is_valid(500.0 + LEASE_MS)

    def test_cold_link_is_kept_for_longer_and_a_warm_one_gets_time_to_answer(self) -> None:
        liveness = SideLiveness(0.0)
        liveness.record_report(1.0, 100.0)
        assert not liveness.is_lost(2000.0, warm=False)
        assert liveness.is_lost(2000.0)
        liveness.expect_reports(2000.0)
        assert not liveness.has_fresh_report()
        assert not liveness.is_lost(2700.0)
        assert liveness.is_lost(2800.0)
        liveness.record_report(2.0, 2700.0)
        assert liveness.has_fresh_report()

    def test_older_proof_changes_nothing(self) -> None:
        lease = EntryLease(0.0)
        lease.renew(500.0)
        lease.renew(100.0)
        assert lease.age_ms(600.0) == 100.0

    def test_orders_have_ended_when_the_entry_gives_up(self) -> None:
        # The report is stamped before it is heard, whatever the clocks show.
        stamped_ms, heard_ms = 1000.0, 1030.0
        lease = EntryLease(0.0)
        lease.renew(stamped_ms)
        liveness = SideLiveness(0.0)
        liveness.record_report(stamped_ms, heard_ms)
        assert liveness.is_lost(heard_ms + LEASE_MS)
        assert not lease.is_valid(heard_ms + LEASE_MS)


class TestRunTimeEstimator:
    def test_declared_time_serves_while_nothing_is_known(self) -> None:
        assert RunTimeEstimator().expected_ms("q", 100.0) == pytest.approx(100.0)

    def test_what_callers_declare_is_corrected(self) -> None:
        estimator = RunTimeEstimator()
        for _ in range(400):
            estimator.record_run("q", 100.0, 200.0)
        assert estimator.expected_ms("q", 100.0) == pytest.approx(200.0, rel=0.01)


class TestRouting:
    def test_longest_prefix_of_the_host_is_found(self) -> None:
        queues = [
            WorkQueue(prefix, "h", prefix, "s", 0, 60.0, 1.6, 3, 0.0) for prefix in ("/a/", "/a/b/")
        ]
        configured = Configuration(1, queues, frozenset({"s"}), 1000, b"")
        found = configured.find("H", "/a/b/x")
        assert found is not None
        assert found.name == "/a/b/"
        assert configured.find("h", "/c/") is None
        assert configured.find("other", "/a/x") is None


class TestJobHistory:
    def test_standings_are_forgotten_after_a_while(self) -> None:
        clock = SetClock()
        checked: Clock = clock
        history = JobHistory(checked)
        history.record_ended("job", Standing.COMPLETED)
        history.record_peer_jobs("there", [TakenRow("other", 0.0)])
        assert history.final_standing("job") is Standing.COMPLETED
        assert history.accepting_peer("other") == "there"
        clock.now_ms = RETENTION_MS + 1
        history.expire()
        assert history.final_standing("job") is Standing.UNKNOWN
        assert history.accepting_peer("other") == ""

    def test_job_that_is_taken_anew_has_no_old_standing(self) -> None:
        history = JobHistory(SetClock())
        history.record_ended("job", Standing.REFUSED)
        history.record_accepted("job")
        assert history.final_standing("job") is Standing.UNKNOWN


def test_longest_chain_follows_the_steps() -> None:
    resources = Resources(1000, 1, 0)
    steps = (
        StepSpec(1, resources, 100.0),
        StepSpec(1, resources, 300.0),
        StepSpec(1, resources, 50.0, after=(0, 1)),
    )
    assert longest_chain_ms(steps, [100.0, 300.0, 50.0]) == 350.0


def test_times_hold_the_objective() -> None:
    times = create_times(0.0, 100.0, 1.6, 60.0, 0.0)
    assert times == JobTimes(0.0, 100.0, 220.0, 660.0)
