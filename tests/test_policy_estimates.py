"""Run time estimates from measured runs, and the straggler timeout."""

from __future__ import annotations

import pytest

from currantbarrow.policy.estimates import (
    create_mean_estimator,
    create_median_estimator,
    create_straggler_timeout,
)


class TestMedianEstimator:
    @pytest.mark.parametrize("declared_ms", [10.0, 100.0, 1000.0])
    def test_first_measured_run_replaces_the_declared_time(self, declared_ms: float) -> None:
        estimator = create_median_estimator()
        assert estimator.estimate_ms("a", "hold", declared_ms) == declared_ms
        estimator.record("a", "hold", declared_ms, 100.0)
        assert estimator.estimate_ms("a", "hold", declared_ms) == 100.0

    def test_new_customer_is_estimated_by_its_class(self) -> None:
        estimator = create_median_estimator()
        estimator.record("a", "hold", 0.0, 100.0)
        assert estimator.estimate_ms("b", "hold", 5.0) == 100.0

    def test_one_long_task_changes_the_mean_but_not_the_median(self) -> None:
        median, mean = create_median_estimator(), create_mean_estimator()
        for estimator in (median, mean):
            for run_ms in [100.0] * 10 + [4000.0]:
                estimator.record("a", "hold", 100.0, run_ms)
        assert median.estimate_ms("a", "hold", 0.0) == 100.0
        assert mean.estimate_ms("a", "hold", 0.0) > 400.0

    def test_median_follows_a_change_of_run_time(self) -> None:
        estimator = create_median_estimator()
        for run_ms in [100.0] * 100 + [500.0] * 20:
            estimator.record("a", "hold", 100.0, run_ms)
        assert estimator.estimate_ms("a", "hold", 0.0) == 500.0


class TestStragglerTimeout:
    def test_timeout_exceeds_the_longest_expected_tasks(self) -> None:
        assert create_straggler_timeout().stop_after_ms("a", "hold", 100.0) > 10_000.0
