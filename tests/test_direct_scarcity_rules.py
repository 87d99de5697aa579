"""Test each rule for a lack of capacity separately, on the load that it handles."""

from __future__ import annotations

import math
import random

import pytest

from currantbarrow.direct.admission import Backlog
from currantbarrow.direct.demand import (
    BAND_COUNT,
    BAND_EDGES_MS,
    DEMAND_MAX_AGE_MS,
    DemandBands,
    PeerDemand,
    find_band,
)
from currantbarrow.direct.fleet import FleetCapacity
from currantbarrow.direct.health import UNHEALTHY_SLOWNESS
from currantbarrow.direct.inflow import WINDOW_MS, FleetInflow, InflowMeter, RunCost, sum_inflow
from currantbarrow.direct.job import OpenJob
from currantbarrow.direct.model import JobSpec, Resources, StepSpec, WorkQueue
from currantbarrow.direct.retry import MEMORY_MS, RefusedWork, choose_retry_s
from currantbarrow.direct.scarcity import Scarcity
from currantbarrow.direct.urgency import create_times
from currantbarrow.protocol.direct import DemandRow, EntryPing

CAPACITY = FleetCapacity(Resources(32_000, 64_000, 0), 400.0, 0.0)


def ping(
    address: str, demand: list[DemandRow] | None, offered: list[DemandRow] | None = None
) -> EntryPing:
    return EntryPing(1, [], address, demand=demand, offered=offered)


def row(slack_ms: float, cores: float, core_ms: float = 0.0) -> DemandRow:
    bands = DemandBands()
    bands.add(slack_ms, cores, core_ms)
    return bands.row("work")


def create_job(key: str, run_ms: float, tasks: int = 4, now_ms: float = 0.0) -> OpenJob:
    queue = WorkQueue(f"q{run_ms}", "host", "/", "work", 0, 61.0, 1.6, 3, 0.0)
    spec = JobSpec(key, "", (StepSpec(tasks, Resources(2900, 64, 0), run_ms),))
    times = create_times(now_ms, run_ms, queue.stretch, queue.target_ms, 0.0)
    return OpenJob(spec, queue, times, [run_ms], 0)


def create_scarcity(peers: tuple[str, ...] = ()) -> Scarcity:
    scarcity = Scarcity(random.Random(1))
    scarcity.set_peers(peers)
    return scarcity


class TestPeerDemand:
    def test_only_work_with_less_slack_is_ahead(self) -> None:
        peers = PeerDemand()
        peers.record(ping("a", [row(100.0, 8.0), row(900.0, 40.0)]), 0.0)
        assert peers.work_ahead("work", 130.0, ["a"], 0.0).cores == 8.0
        assert peers.work_ahead("work", 2000.0, ["a"], 0.0).cores == 48.0

    def test_slack_shrinks_with_the_age_of_the_report(self) -> None:
        peers = PeerDemand()
        peers.record(ping("a", [row(600.0, 10.0)]), 0.0)
        ahead = [peers.work_ahead("work", 500.0, ["a"], age).cores for age in (0.0, 200.0, 600.0)]
        assert ahead[0] == 0.0 < ahead[1] < ahead[2] == 10.0

    def test_late_work_is_never_ahead(self) -> None:
        bands = DemandBands()
        bands.add(-50.0, 10.0, 500.0, is_late=True)
        peers = PeerDemand()
        peers.record(ping("a", [bands.row("work")]), 0.0)
        ahead = peers.work_ahead("work", 10_000.0, ["a"], 0.0)
        assert ahead.cores == 0.0
        assert ahead.total_core_ms == 500.0

    def test_peer_without_work_is_known_and_one_without_a_fresh_report_is_not(self) -> None:
        peers = PeerDemand()
        peers.record(ping("empty", []), 0.0)
        peers.record(ping("former version", None), 0.0)
        asked = ["empty", "former version", "silent"]
        assert peers.work_ahead("work", 100.0, asked, 0.0).unknown_entries == 2
        stale_ms = DEMAND_MAX_AGE_MS + 1
        assert peers.work_ahead("work", 100.0, asked, stale_ms).unknown_entries == 3

    def test_work_of_another_service_is_not_ahead(self) -> None:
        peers = PeerDemand()
        peers.record(ping("a", [DemandRow("other", [50.0] * BAND_COUNT, [1.0])]), 0.0)
        assert peers.work_ahead("work", 5000.0, ["a"], 0.0).cores == 0.0

    def test_report_has_a_fixed_size(self) -> None:
        bands = DemandBands()
        for number in range(10_000):
            bands.add(number, 2.9, 200.0)
        assert len(bands.row("work").cores) == BAND_COUNT


class TestBacklogOfAllEntries:
    def test_idle_peers_leave_the_whole_fleet_to_a_busy_entry(self) -> None:
        """An entry with all the demand refused jobs, although its peers used nothing."""
        waiting = [create_job(f"w{number}", 60.0) for number in range(10)]
        peers = ("a", "b", "c")
        job = create_job("new", 200.0)
        former = create_scarcity(peers)
        shared = create_scarcity(peers)
        for address in peers:
            shared.peers.record(ping(address, []), 0.0)
        assert former.admit(job, waiting, CAPACITY, 0.0) is not None
        assert shared.admit(job, waiting, CAPACITY, 0.0) is None

    def test_busy_peers_delay_the_jobs_of_an_idle_entry(self) -> None:
        peers = ("a", "b", "c")
        scarcity = create_scarcity(peers)
        for address in peers:
            arriving = row(500.0, 100.0, 50_000.0)
            scarcity.peers.record(ping(address, [row(50.0, 100.0)], [arriving]), 0.0)
        assert scarcity.admit(create_job("new", 60.0), [], CAPACITY, 0.0) is not None

    def test_without_reports_each_entry_has_its_share_of_the_capacity(self) -> None:
        scarcity = create_scarcity(("a", "b", "c"))
        backlog = scarcity.create_backlog(create_job("new", 60.0), [], CAPACITY, 0.0)
        assert backlog.cores == 100.0
        # One of three peers is known.
        scarcity.peers.record(ping("a", []), 0.0)
        backlog = scarcity.create_backlog(create_job("new", 60.0), [], CAPACITY, 0.0)
        assert backlog.cores == 200.0

    def test_peer_that_left_is_not_counted(self) -> None:
        scarcity = create_scarcity(("a", "b"))
        scarcity.peers.record(ping("a", [row(10.0, 100.0)]), 0.0)
        scarcity.set_peers(("b",))
        scarcity.set_peers(("a", "b"))
        ahead = scarcity.create_backlog(create_job("new", 60.0), [], CAPACITY, 0.0)
        assert ahead.ahead_cores == 0.0


class TestFleetInflow:
    def test_long_jobs_are_admitted_to_free_cores_whatever_arrives(self) -> None:
        scarcity = create_scarcity()
        free = FleetCapacity(CAPACITY.largest, 400.0, 380.0)
        for number in range(500):
            job = create_job(str(number), 900.0, now_ms=float(number))
            assert scarcity.admit(job, [], free, float(number)) is None

    def test_inflow_of_peers_counts_and_that_of_silent_ones_does_not(self) -> None:
        scarcity = create_scarcity(("a", "b"))
        scarcity.peers.record(ping("a", [], [row(60.0, 10.0, 6000.0)]), 0.0)
        assert sum(scarcity.inflow("work", 0.0).busy_cores) == pytest.approx(6.0)
        assert sum(scarcity.inflow("work", DEMAND_MAX_AGE_MS + 1).busy_cores) == 0.0

    def test_rows_of_another_length_are_summed_as_far_as_they_go(self) -> None:
        inflow = sum_inflow([DemandRow("work", [1.0], [1000.0] * 20), DemandRow("work", [], [])])
        assert inflow.cores_per_s == [1.0, *[0.0] * (BAND_COUNT - 1)]

    @pytest.mark.parametrize("value", [math.nan, math.inf, -1.0])
    def test_malformed_row_of_a_peer_does_not_count(self, value: float) -> None:
        rows = [DemandRow("work", [value], [5.0]), DemandRow("work", [2.0], [1000.0])]
        assert sum_inflow(rows) == sum_inflow(rows[1:])

    def test_cores_are_released_at_the_mean_run_time_of_what_arrives(self) -> None:
        inflow = sum_inflow([row(60.0, 300.0, 300.0 * 60), row(900.0, 100.0, 100.0 * 900)])
        assert inflow.released_per_s(108.0) == pytest.approx(400.0)
        assert sum_inflow([]).released_per_s(108.0) == 0.0

    def test_only_shorter_tasks_are_below_a_run_time(self) -> None:
        inflow = FleetInflow([64.0, 0.0, 128.0, *[0.0] * (BAND_COUNT - 3)], [])
        below = [inflow.cores_below(run_ms) for run_ms in (32.0, 64.0, 128.0, 192.0, 256.0, 5000.0)]
        assert below == [32.0, 64.0, 64.0, 128.0, 192.0, 192.0]

    def test_entry_that_has_just_started_decides_by_the_first_jobs(self) -> None:
        """Without any end of a run, the wait follows from the work that was submitted."""
        scarcity = create_scarcity()
        waiting = [create_job(str(number), 900.0) for number in range(9)]
        assert scarcity.admit(create_job("short", 60.0), waiting, CAPACITY, 0.0) is None
        for number in range(20):
            scarcity.admit(create_job(f"long{number}", 900.0), waiting, CAPACITY, 1.0)
        backlog = scarcity.create_backlog(create_job("new", 900.0), waiting, CAPACITY, 30.0)
        assert backlog.released_per_s == pytest.approx(400.0 / 0.9, rel=0.1)


class TestInflowMeter:
    def test_rate_follows_a_surge_and_fades(self) -> None:
        meter = InflowMeter()
        for number in range(1000):
            meter.record(60.0, 20.0, 1200.0, number * 10.0)
        measured = meter.row("work", 10_000.0)
        assert sum(measured.cores) == pytest.approx(2000.0, rel=0.05)
        assert sum(measured.core_ms) / 1000 == pytest.approx(120.0, rel=0.05)
        assert sum(meter.row("work", 10_000.0 + 10 * WINDOW_MS).cores) < 1.0

    def test_cost_follows_slow_runs_up_to_the_slowest_worker_that_counts(self) -> None:
        cost = RunCost()
        for _ in range(2000):
            cost.record_run(2.0, 125.0, 100.0)
        assert cost.ratio == pytest.approx(1.25, rel=0.05)
        for _ in range(2000):
            cost.record_run(2.0, 3000.0, 100.0)
        assert cost.ratio == UNHEALTHY_SLOWNESS
        for _ in range(2000):
            cost.record_run(2.0, 0.0, 100.0)
        assert cost.ratio == 1 / UNHEALTHY_SLOWNESS

    def test_each_band_holds_times_up_to_its_edge(self) -> None:
        assert [find_band(edge) for edge in BAND_EDGES_MS] == list(range(1, len(BAND_EDGES_MS) + 1))


class TestRetry:
    @staticmethod
    def backlog(waiting_core_ms: float) -> Backlog:
        return Backlog(0.0, 0.0, 0.0, waiting_core_ms, 100.0, 200.0)

    def test_callers_are_spread_until_refused_work_could_be_done(self) -> None:
        rng = random.Random(1)
        backlog = self.backlog(200_000.0)
        drawn = {choose_retry_s(backlog, 400_000.0, rng.random()) for _ in range(500)}
        assert drawn == {2, 3, 4, 5, 6}

    def test_delay_is_at_least_a_second_and_bounded(self) -> None:
        assert choose_retry_s(self.backlog(0.0), 0.0, 0.0) == 1
        assert choose_retry_s(self.backlog(0.0), 0.0, 0.999) == 1
        assert choose_retry_s(self.backlog(1e9), 1e9, 0.5) == 30
        assert choose_retry_s(Backlog(0.0, 0.0, 0.0, 1.0, 0.0, 0.0), 1.0, 0.5) == 1

    def test_refused_work_is_forgotten(self) -> None:
        refused = RefusedWork()
        refused.record(1000.0, 0.0)
        refused.record(1000.0, 0.0)
        assert refused.core_ms(0.0) == 2000.0
        assert refused.core_ms(10 * MEMORY_MS) < 1.0
