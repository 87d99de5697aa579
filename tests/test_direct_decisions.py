"""Test each decision of direct dispatch separately, on the load pattern that it handles."""

from __future__ import annotations

import collections
import random
from typing import Any

import msgspec
import pytest

from currantbarrow.direct.admission import Backlog, check_admission
from currantbarrow.direct.aperture import (
    NARROW_DELAY_MS,
    WARM_LINKS,
    WIDEN_STEP_LINKS,
    Aperture,
    connect_delays_ms,
    order_links,
)
from currantbarrow.direct.estimates import RunTimeEstimator
from currantbarrow.direct.health import FAILED_JOBS_LIMIT, WorkerHealth
from currantbarrow.direct.history import RETENTION_MS, JobHistory
from currantbarrow.direct.inflow import InflowMeter, sum_inflow
from currantbarrow.direct.isolation import ANSWER_LIMIT_MS, ISOLATION_MIN_MS, IsolationGuard
from currantbarrow.direct.job import longest_chain_ms
from currantbarrow.direct.model import Resources, StepSpec, WorkQueue
from currantbarrow.direct.placement import TaskRequest, WorkerOffer, choose_worker
from currantbarrow.direct.reporting import (
    DELAY_PER_LINK_MS,
    NO_DELAY_MS,
    needs_prompt_report,
    report_delay_ms,
)
from currantbarrow.direct.reservations import ResourceReservations
from currantbarrow.direct.routing import Configuration
from currantbarrow.direct.session import (
    CLOCK_DRIFT_FACTOR,
    LEASE_MS,
    EntryLease,
    LinkActivity,
    SideLiveness,
)
from currantbarrow.direct.speeds import survey_speeds
from currantbarrow.direct.urgency import JobTimes, create_times
from currantbarrow.direct.worker import InstanceName
from currantbarrow.protocol.direct import Standing, TakenRow, WorkerState
from currantbarrow.types import Clock


class ManualClock:
    def __init__(self) -> None:
        self.now_ms = 0.0

    def monotonic_ms(self) -> float:
        return self.now_ms

    def steady_ms(self) -> float:
        return self.now_ms

    def wall_ms(self) -> int:
        return int(self.now_ms)

    async def sleep_ms(self, delay_ms: float) -> None:
        self.now_ms += delay_ms


def offer(name: str, cpu: int = 8000, slowness: float = 1.0, is_local: bool = True) -> WorkerOffer:
    free = Resources(cpu, 1000, 0)
    return WorkerOffer(InstanceName(name), free, slowness, is_local, False, frozenset({"a"}))


class TestUrgency:
    def test_job_with_less_slack_goes_first(self) -> None:
        short = create_times(0.0, 120.0, 1.6, 60.0, 0.0)
        long = create_times(0.0, 1800.0, 1.6, 60.0, 0.0)
        assert short.rank(10.0) < long.rank(10.0)

    def test_long_job_goes_first_when_its_slack_is_used_up(self) -> None:
        long = create_times(0.0, 1800.0, 1.6, 60.0, 0.0)
        short = create_times(1100.0, 120.0, 1.6, 60.0, 0.0)
        assert long.rank(1100.0) < short.rank(1100.0)

    def test_late_job_goes_after_jobs_that_can_be_on_time(self) -> None:
        late = create_times(0.0, 120.0, 1.6, 60.0, 0.0)
        fresh = create_times(500.0, 1800.0, 1.6, 60.0, 0.0)
        assert fresh.rank(500.0) < late.rank(500.0)

    def test_started_late_job_goes_first_until_it_expires(self) -> None:
        started = create_times(0.0, 120.0, 1.6, 60.0, 0.0)
        fresh = create_times(500.0, 120.0, 1.6, 60.0, 0.0)
        assert started.rank(500.0, started=True) < fresh.rank(500.0)
        assert started.rank(700.0, started=True) > fresh.rank(500.0)

    def test_expired_job_goes_last(self) -> None:
        useless = create_times(0.0, 120.0, 1.6, 60.0, 0.0)
        late = create_times(400.0, 120.0, 1.6, 60.0, 0.0)
        assert late.rank(700.0) < useless.rank(700.0)

    def test_late_job_is_refused_after_twice_its_initial_slack(self) -> None:
        times = create_times(0.0, 120.0, 1.6, 60.0, 0.0)
        assert not times.should_be_refused(260.0)
        assert times.should_be_refused(270.0)

    def test_caller_timeout_limits_the_expiry_time(self) -> None:
        assert create_times(0.0, 100.0, 1.6, 60.0, 300.0).expires_ms == 300.0


class TestAdmission:
    @staticmethod
    def backlog(
        ahead: float, own: float = 10.0, free: float = 0.0, cores: float = 100.0
    ) -> Backlog:
        # With runs of 500 ms, 100 busy cores release 200 cores per second.
        return Backlog(ahead, own, free, (ahead + own) * 500, cores, 2 * cores)

    @pytest.mark.parametrize("slack_ms", [0.0, 130.0])
    def test_idle_fleet_admits_every_job(self, slack_ms: float) -> None:
        assert check_admission(self.backlog(0.0, free=100.0), slack_ms) is None

    def test_job_with_less_slack_than_the_expected_wait_is_refused(self) -> None:
        refusal = check_admission(self.backlog(95.0), 130.0)
        assert refusal is not None
        assert refusal.wait_ms == 500.0
        assert refusal.retry_after_s == 1

    def test_job_with_more_slack_is_admitted_at_the_same_load(self) -> None:
        assert check_admission(self.backlog(95.0), 1100.0) is None

    def test_few_long_tasks_ahead_cause_a_short_wait(self) -> None:
        """Admit a short job behind a long one on a full fleet with 273 cores per entry."""
        meter = InflowMeter()
        for number in range(300):
            for cores, run_ms in ((49.6, 120.0), (12.4, 400.0), (24.8, 1800.0 / 4)):
                meter.record(run_ms, cores, cores * run_ms, number * 20.0)
        released_per_s = sum_inflow([meter.row("", 300 * 20.0)]).released_per_s(273.0)
        backlog = Backlog(24.8, 12.4, 0.0, 24.8 * 1800, 273.0, released_per_s)
        # An estimate by the amount of work ahead would be 163 ms and refuse a job with 130 ms of
        # slack.
        assert 24.8 * 1800 / 273 > 130
        assert check_admission(backlog, 130.0) is None

    def test_refusal_reports_how_long_the_backlog_lasts(self) -> None:
        refusal = check_admission(self.backlog(4000.0), 130.0)
        assert refusal is not None
        assert refusal.retry_after_s == 20

    def test_job_is_refused_if_more_urgent_arrivals_take_what_is_released(self) -> None:
        """Refuse a job although little work is ahead of it."""
        delayed = Backlog(5.0, 5.0, 0.0, 2500.0, 100.0, 200.0, urgent_per_s=180.0)
        refusal = check_admission(delayed, 300.0)
        assert refusal is not None
        assert refusal.wait_ms == 375.0

    def test_job_with_little_work_ahead_is_admitted_while_more_urgent_work_arrives(self) -> None:
        assert check_admission(Backlog(92.0, 21.0, 38.0, 77e3, 672.0, 2937.0, 850.0), 229.0) is None

    @pytest.mark.parametrize("urgent_per_s", [200.0, 300.0])
    def test_job_with_much_slack_outlasts_a_surge_of_more_urgent_work(
        self, urgent_per_s: float
    ) -> None:
        backlog = Backlog(25.0, 10.0, 0.0, 2500.0, 100.0, 200.0, urgent_per_s)
        assert check_admission(backlog, 300.0) is not None
        assert check_admission(backlog, 1000.0) is None

    def test_wait_is_continuous_at_the_horizon_of_the_measured_arrivals(self) -> None:
        shorter, longer = (
            Backlog(missing, 0.0, 0.0, 0.0, 100.0, 200.0, 100.0).wait_ms()
            for missing in (49.999, 50.001)
        )
        assert shorter == pytest.approx(longer, abs=0.1)

    def test_fleet_without_workers_refuses_every_job(self) -> None:
        refusal = check_admission(Backlog(0.0, 0.0, 0.0, 0.0, 0.0, 0.0), 1000.0)
        assert refusal is not None
        assert refusal.reason == "no_worker"


class TestPlacement:
    def choose(self, *offers: WorkerOffer, avoid: str = "", label: str = "") -> str | None:
        request = TaskRequest(Resources(2000, 10, 0), label, frozenset({InstanceName(avoid)}))
        chosen = choose_worker(request, offers, survey_speeds(offers), random.Random(1)).offer
        return chosen.instance.worker if chosen is not None else None

    def test_worker_of_ordinary_speed_is_preferred_to_a_slow_local_one(self) -> None:
        assert self.choose(offer("slow", slowness=1.6), offer("fast", is_local=False)) == "fast"

    def test_local_worker_is_preferred_to_one_of_a_faster_kind(self) -> None:
        assert self.choose(offer("local", slowness=1.3), offer("fast", is_local=False)) == "local"

    def test_local_worker_is_preferred_at_similar_speed(self) -> None:
        assert self.choose(offer("far", is_local=False), offer("near", slowness=1.05)) == "near"

    def test_worker_without_free_resources_is_excluded(self) -> None:
        assert self.choose(offer("full", cpu=1999), offer("free", slowness=1.8)) == "free"

    def test_unhealthy_worker_gets_no_tasks(self) -> None:
        assert self.choose(offer("stuck", slowness=6.0)) is None

    def test_worker_on_probation_is_chosen_only_if_no_other_is_free(self) -> None:
        probed = offer("probed", slowness=6.0)
        probed.on_probation = True
        assert self.choose(probed) == "probed"
        assert self.choose(probed, offer("healthy", slowness=1.6)) == "healthy"

    def test_failed_task_goes_to_another_worker_if_possible(self) -> None:
        assert self.choose(offer("a"), offer("b", slowness=1.5), avoid="a") == "b"
        assert self.choose(offer("a"), avoid="a") == "a"

    def test_label_that_no_worker_has_makes_a_task_wait(self) -> None:
        assert self.choose(offer("a"), label="gpu") is None

    def test_similar_workers_share_the_load_of_entries_with_equal_information(self) -> None:
        offers = [offer(f"w{number}") for number in range(5)]
        chosen = set()
        for seed in range(50):
            request = TaskRequest(Resources(2000, 10, 0))
            best = choose_worker(request, offers, survey_speeds(offers), random.Random(seed)).offer
            assert best is not None
            chosen.add(best.instance)
        assert len(chosen) == 5


class TestWorkerHealth:
    def test_repeated_failures_of_one_job_start_no_probation(self) -> None:
        health = WorkerHealth()
        assert not any(health.record_failure("job", 0.0) for _ in range(20))

    def test_failures_of_several_jobs_start_a_probation(self) -> None:
        health = WorkerHealth()
        verdicts = [health.record_failure(f"job-{n}", 0.0) for n in range(FAILED_JOBS_LIMIT)]
        assert verdicts == [False] * (FAILED_JOBS_LIMIT - 1) + [True]
        assert not health.can_start(10.0, 0)

    def test_success_clears_earlier_failures(self) -> None:
        health = WorkerHealth()
        for number in range(10):
            assert not health.record_failure(f"job-{number}", 0.0)
            health.record_success(100.0, 100.0, 0.0)

    def test_probation_allows_one_run_at_a_time_and_ends_after_a_success(self) -> None:
        health = WorkerHealth()
        assert health.check_running(0.0, [5.0, 6.0])
        assert not health.can_start(100.0, 0)
        assert health.can_start(500.0, 0)
        assert not health.can_start(500.0, 1)
        health.record_success(100.0, 100.0, 0.0)
        assert health.can_start(501.0, 5)

    def test_slow_run_prolongs_probation(self) -> None:
        health = WorkerHealth()
        health.check_running(0.0, [6.0, 6.0])
        health.record_success(600.0, 100.0, 0.0)
        assert health.on_probation

    def test_slow_worker_is_probed_until_it_recovers(self) -> None:
        """Recover from a period of runs that take six times as long but do end."""
        health = WorkerHealth()
        for turn in range(20):
            health.record_success(600.0, 100.0, turn * 10.0)
        assert health.on_probation
        assert health.can_start(100_000.0, 0)
        health.record_success(100.0, 100.0, 100_000.0)
        assert not health.on_probation

    def test_slowest_type_of_worker_is_healthy(self) -> None:
        health = WorkerHealth()
        rng = random.Random(1)
        for _ in range(5000):
            health.record_success(160.0 * rng.lognormvariate(0, 0.35), 100.0, 0.0)
            assert not health.on_probation

    def test_single_overdue_job_starts_no_probation(self) -> None:
        health = WorkerHealth()
        assert not health.check_running(0.0, [9.0, 1.0, 0.5])

    def test_slowness_converges_to_the_ratio_of_run_times(self) -> None:
        health = WorkerHealth()
        for _ in range(60):
            health.record_success(125.0, 100.0, 0.0)
        assert health.slowness == pytest.approx(1.25, rel=0.01)


class TestAperture:
    SIDES = [f"10.0.0.{number}:1" for number in range(75)]
    ENTRIES = [f"10.1.0.{number}:1" for number in range(14)]

    def subsets(self, width: int) -> collections.Counter[str]:
        return collections.Counter(
            side
            for entry in self.ENTRIES
            for side in order_links(entry, self.ENTRIES, self.SIDES)[:width]
        )

    def test_workers_are_in_about_equally_many_subsets(self) -> None:
        counts = self.subsets(WARM_LINKS)
        assert set(counts) == set(self.SIDES)
        assert max(counts.values()) - min(counts.values()) <= 1

    def test_order_contains_all_links(self) -> None:
        assert sorted(order_links(self.ENTRIES[3], self.ENTRIES, self.SIDES)) == sorted(self.SIDES)

    def test_all_links_of_a_small_fleet_are_warm(self) -> None:
        aperture = Aperture()
        assert aperture.width(1000.0) >= 11
        assert not aperture.widen(11, 1000.0)

    def test_subset_widens_to_all_links_and_narrows_after_the_burst(self) -> None:
        aperture = Aperture()
        now_ms = 10_000.0
        for _ in range(60):
            now_ms += 5.0
            aperture.widen(len(self.SIDES), now_ms)
        assert aperture.width(now_ms) >= len(self.SIDES)
        assert aperture.width(now_ms + NARROW_DELAY_MS) >= len(self.SIDES)
        assert aperture.width(now_ms + NARROW_DELAY_MS + 10_000.0) == WARM_LINKS

    def test_links_of_the_subset_are_opened_first(self) -> None:
        ring = order_links("b", ["a", "b"], self.SIDES)
        delays_ms = connect_delays_ms(ring, set(self.SIDES))
        assert {delays_ms[address] for address in ring[:WARM_LINKS]} == {0.0}
        others = [delays_ms[address] for address in ring[WARM_LINKS:]]
        assert others == sorted(others)
        assert others[0] > 0

    def test_few_new_side_processes_are_linked_at_once(self) -> None:
        new = set(self.SIDES[:WARM_LINKS])
        assert set(connect_delays_ms(self.SIDES, new).values()) == {0.0}

    def test_brief_shortage_adds_few_links(self) -> None:
        aperture = Aperture()
        assert aperture.widen(len(self.SIDES), 10_000.0)
        assert not aperture.widen(len(self.SIDES), 10_001.0)
        assert aperture.width(10_001.0) == WARM_LINKS + WIDEN_STEP_LINKS


class TestIsolationGuard:
    """An entry lost all its links, or did not run, until the time 1000."""

    @staticmethod
    def create_guard(stalled_ms: float | None = None) -> IsolationGuard:
        guard = IsolationGuard()
        guard.record_answer("a", 900.0)
        if stalled_ms is None:
            guard.record_isolation(1000.0)
        else:
            guard.record_stall(stalled_ms, 1000.0)
        return guard

    def test_job_accepted_before_waits_for_the_answers_of_all_peers(self) -> None:
        guard = self.create_guard()
        guard.record_answer("a", 1100.0)
        assert not guard.may_order(500.0, ("a", "b"), 1200.0)
        guard.record_answer("b", 1150.0)
        assert guard.may_order(500.0, ("a", "b"), 1200.0)

    def test_job_accepted_later_does_not_wait(self) -> None:
        assert self.create_guard().may_order(1001.0, ("a", "b"), 1200.0)

    def test_peer_that_has_ended_is_not_waited_for_long(self) -> None:
        guard = self.create_guard()
        assert not guard.may_order(500.0, ("a",), 1000.0 + ANSWER_LIMIT_MS)
        assert guard.may_order(500.0, ("a",), 1001.0 + ANSWER_LIMIT_MS)

    def test_only_a_stall_after_which_callers_resubmit_holds_jobs_back(self) -> None:
        assert self.create_guard(ISOLATION_MIN_MS - 1).may_order(500.0, ("a",), 1200.0)
        assert not self.create_guard(ISOLATION_MIN_MS).may_order(500.0, ("a",), 1200.0)


class TestReporting:
    UNLOADED = WorkerState("w", "s", True, 16_000, 32_000, 0, 8000, 30_000, 0, 0, 0, 1.0, False, [])

    def test_change_with_ample_free_resources_is_not_prompt(self) -> None:
        assert not needs_prompt_report(
            self.UNLOADED, msgspec.structs.replace(self.UNLOADED, free_cpu_millis=6400)
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
    def test_change_relevant_to_placement_is_reported_promptly(
        self, change: dict[str, Any]
    ) -> None:
        changed = msgspec.structs.replace(self.UNLOADED, **change)
        assert needs_prompt_report(self.UNLOADED, changed)
        # The reverse change is reported as well, since tasks may wait for released resources.
        assert needs_prompt_report(changed, self.UNLOADED)

    def test_first_state_is_reported_promptly(self) -> None:
        assert needs_prompt_report(None, self.UNLOADED)

    @pytest.mark.parametrize("change", [{"worker": "v"}, {"accepting": False}, {"on_trial": True}])
    def test_new_or_leaving_worker_is_reported_without_the_delay_of_many_links(
        self, change: dict[str, Any]
    ) -> None:
        changed = msgspec.structs.replace(self.UNLOADED, **change)
        assert report_delay_ms(self.UNLOADED, changed, warm_links=35) == NO_DELAY_MS
        released = msgspec.structs.replace(self.UNLOADED, free_cpu_millis=4000)
        assert report_delay_ms(self.UNLOADED, released, warm_links=35) == 35 * DELAY_PER_LINK_MS


class TestResourceReservations:
    def test_reservations_never_exceed_the_capacity(self) -> None:
        reservations = ResourceReservations(Resources(10_000, 100, 0))
        assert reservations.reserve("a", Resources(6000, 10, 0))
        assert not reservations.reserve("b", Resources(6000, 10, 0))
        reservations.release("a")
        assert reservations.reserve("b", Resources(6000, 10, 0))

    def test_each_resource_is_limited(self) -> None:
        reservations = ResourceReservations(Resources(10_000, 100, 1))
        assert not reservations.reserve("a", Resources(1000, 101, 0))
        assert not reservations.reserve("a", Resources(1000, 10, 2))

    def test_second_release_has_no_effect(self) -> None:
        reservations = ResourceReservations(Resources(10_000, 100, 0))
        reservations.reserve("a", Resources(6000, 10, 0))
        reservations.release("a")
        reservations.release("a")
        assert reservations.free == Resources(10_000, 100, 0)


class TestSession:
    def test_lease_expires_a_fixed_time_after_the_last_acknowledged_report(self) -> None:
        lease = EntryLease(0.0)
        lease.renew(500.0)
        assert lease.is_valid(500.0 + LEASE_MS - 1)
        assert not lease.is_valid(500.0 + LEASE_MS)

    def test_cold_link_tolerates_longer_silence_and_gets_time_after_a_request(self) -> None:
        liveness = SideLiveness(0.0)
        liveness.record_report(1.0, 100.0)
        assert not liveness.is_lost(10_000.0, LinkActivity.COLD)
        assert liveness.is_lost(10_000.0, LinkActivity.IDLE)
        assert liveness.is_lost(10_000.0)
        liveness.request_report(10_000.0)
        assert not liveness.has_fresh_report(10_000.0)
        assert not liveness.is_lost(10_700.0)
        assert liveness.is_lost(10_000.0 + LEASE_MS * CLOCK_DRIFT_FACTOR)
        liveness.record_report(2.0, 10_700.0)
        assert liveness.has_fresh_report(10_700.0)

    def test_idle_link_gets_no_orders_once_it_would_have_been_closed_with_runs(self) -> None:
        liveness = SideLiveness(0.0)
        liveness.record_report(1.0, 100.0)
        assert liveness.has_fresh_report(100.0 + LEASE_MS - 1)
        assert not liveness.has_fresh_report(100.0 + LEASE_MS)
        assert not liveness.is_lost(100.0 + LEASE_MS, LinkActivity.IDLE)

    @pytest.mark.parametrize("side_speed", [1 / CLOCK_DRIFT_FACTOR, 1.0, CLOCK_DRIFT_FACTOR])
    def test_order_on_an_idle_link_has_expired_when_the_entry_closes_the_link(
        self, side_speed: float
    ) -> None:
        """The newest report is old, and the clocks run at different speeds."""
        received_ms, ordered_ms = 1000.0, 1700.0

        def side_clock_ms(entry_clock_ms: float) -> float:
            return 50_000.0 + (entry_clock_ms - received_ms) * side_speed

        liveness = SideLiveness(0.0)
        liveness.record_report(side_clock_ms(received_ms), received_ms)
        lease = EntryLease(0.0)
        lease.renew(liveness.sender_clock_ms(ordered_ms))
        liveness.record_order(ordered_ms)
        assert lease.is_valid(side_clock_ms(ordered_ms) + LEASE_MS / 2)
        lost_ms = ordered_ms + LEASE_MS * CLOCK_DRIFT_FACTOR
        assert not liveness.is_lost(lost_ms - 1)
        assert liveness.is_lost(lost_ms)
        assert not lease.is_valid(side_clock_ms(lost_ms))

    def test_older_renewal_has_no_effect(self) -> None:
        lease = EntryLease(0.0)
        lease.renew(500.0)
        lease.renew(100.0)
        assert lease.age_ms(600.0) == 100.0

    def test_lease_has_expired_when_the_entry_closes_the_link(self) -> None:
        # A report is stamped before it is received, whatever the clock offset.
        stamped_ms, received_ms = 1000.0, 1030.0
        lease = EntryLease(0.0)
        lease.renew(stamped_ms)
        liveness = SideLiveness(0.0)
        liveness.record_report(stamped_ms, received_ms)
        assert liveness.is_lost(received_ms + LEASE_MS * CLOCK_DRIFT_FACTOR)
        assert not lease.is_valid(received_ms + LEASE_MS)


class TestRunTimeEstimator:
    def test_declared_time_is_used_before_the_first_run(self) -> None:
        assert RunTimeEstimator().expected_ms("q", 100.0) == pytest.approx(100.0)

    def test_declared_times_are_corrected(self) -> None:
        estimator = RunTimeEstimator()
        for _ in range(400):
            estimator.record_run("q", 100.0, 200.0)
        assert estimator.expected_ms("q", 100.0) == pytest.approx(200.0, rel=0.01)


class TestRouting:
    def test_longest_prefix_matches(self) -> None:
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
    def test_records_expire(self) -> None:
        clock = ManualClock()
        checked: Clock = clock
        history = JobHistory(checked)
        history.record_ended("job", Standing.COMPLETED)
        history.record_peer_jobs("there", "there.1", [TakenRow("other", 0.0)])
        assert history.final_standing("job") is Standing.COMPLETED
        acceptance = history.accepted_elsewhere("other")
        assert acceptance is not None
        assert acceptance.address == "there"
        clock.now_ms = RETENTION_MS + 1
        history.expire()
        assert history.final_standing("job") is Standing.UNKNOWN
        assert history.accepted_elsewhere("other") is None

    def test_accepting_a_job_again_removes_its_outcome(self) -> None:
        history = JobHistory(ManualClock())
        history.record_ended("job", Standing.REFUSED)
        history.record_accepted("job")
        assert history.final_standing("job") is Standing.UNKNOWN


def test_longest_chain_follows_step_dependencies() -> None:
    resources = Resources(1000, 1, 0)
    steps = (
        StepSpec(1, resources, 100.0),
        StepSpec(1, resources, 300.0),
        StepSpec(1, resources, 50.0, after=(0, 1)),
    )
    assert longest_chain_ms(steps, [100.0, 300.0, 50.0]) == 350.0


def test_due_and_expiry_times_follow_from_the_objective() -> None:
    times = create_times(0.0, 100.0, 1.6, 60.0, 0.0)
    assert times == JobTimes(0.0, 100.0, 220.0, 660.0)
