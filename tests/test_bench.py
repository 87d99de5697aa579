"""Test that bench runs are reproducible and that their figures are computed correctly."""

from __future__ import annotations

import pytest

from currantbarrow.bench.cases import CASES, find_cases
from currantbarrow.bench.figures import percentile, recovery_s, target_met_pct
from currantbarrow.bench.outcomes import COMPLETE, REFUSED, IdleFleet, JobOutcome
from currantbarrow.bench.runner import plan_case, run_case
from currantbarrow.bench.variants import CHOSEN, REFERENCE
from currantbarrow.load.workload import VAJA, PlannedJob


def make_outcome(sent_ms: float, response_ms: float, status: str = COMPLETE) -> JobOutcome:
    job = PlannedJob(0.0, "", "a", "quote", [100.0], False, False, False, [100.0])
    return JobOutcome(job, b"", sent_ms, response_ms, 100.0, status)


class TestBench:
    @pytest.mark.parametrize("name", ["entry-crash", "black-hole"])
    def test_same_seed_gives_same_figures(self, name: str) -> None:
        (case,) = find_cases(name)
        first = run_case(case, VAJA, CHOSEN, seed=3, load_s=4.0)
        assert run_case(case, VAJA, CHOSEN, seed=3, load_s=4.0) == first

    def test_case_names_are_unique(self) -> None:
        assert len({case.name for case in CASES}) == len(CASES)

    def test_cancel_wave_submits_ten_thousand_tasks_within_a_second(self) -> None:
        (case,) = find_cases("cancel-wave")
        jobs = [job for job in plan_case(case, VAJA, 88, 8.0, 1) if job.customer == "wave"]
        assert sum(len(job.run_ms) for job in jobs) == 10_000
        assert jobs[-1].at_s - jobs[0].at_s < 1.0
        assert all(job.cancel for job in jobs)

    def test_reference_matches_an_idle_fleet_under_light_load(self) -> None:
        (case,) = find_cases("small-alone")
        row = run_case(case, VAJA, REFERENCE, seed=3, load_s=10.0)
        assert row.figures.p50 <= 1.0


class TestFigures:
    def test_ideal_time_includes_waiting_for_a_slot(self) -> None:
        assert IdleFleet(2, 1.0).ideal_ms([100.0, 100.0, 100.0]) == 201.0

    def test_percentile_is_the_nearest_rank(self) -> None:
        assert percentile([1.0, 2.0, 3.0, 4.0], 0.5) == 2.0
        assert percentile([1.0, 2.0, 3.0, 4.0], 0.99) == 4.0

    def test_refused_job_misses_its_target(self) -> None:
        outcomes = [make_outcome(0.0, 100.0), make_outcome(0.0, 1.0, REFUSED)]
        assert target_met_pct(outcomes, {"quote": 300.0}) == 50.0

    def test_recovery_ends_with_the_last_job_that_missed_its_target(self) -> None:
        outcomes = [make_outcome(1500.0, 900.0), make_outcome(4000.0, 100.0)]
        assert recovery_s(outcomes, {"quote": 300.0}, 1000.0) == 0.5
