"""Check that run times are learned from what was measured."""

from __future__ import annotations

import pytest

from currantbarrow.policy.estimates import (
    create_mean_estimator,
    create_median_estimator,
    create_straggler_timeout,
)


class TestMedianEstimator:
    @pytest.mark.parametrize("declared_ms", [10.0, 100.0, 1000.0])
    def test_wrong_declaration_stops_counting_after_the_first_run(self, declared_ms: float) -> None:
        estimator = create_median_estimator()
        assert estimator.estimate_ms("a", "hold", declared_ms) == declared_ms
        estimator.record("a", "hold", declared_ms, 100.0)
        assert estimator.estimate_ms("a", "hold", declared_ms) == 100.0

    def test_new_customer_is_taken_as_its_class(self) -> None:
        estimator = create_median_estimator()
        estimator.record("a", "hold", 0.0, 100.0)
        assert estimator.estimate_ms("b", "hold", 5.0) == 100.0

    def test_one_long_task_moves_the_mean_and_not_the_median(self) -> None:
        median, mean = create_median_estimator(), create_mean_estimator()
        for estimator in (median, mean):
            for run_ms in [100.0] * 10 + [4000.0]:
                estimator.record("a", "hold", 100.0, run_ms)
        assert median.estimate_ms("a", "hold", 0.0) == 100.0
        assert mean.estimate_ms("a", "hold", 0.0) > 400.0

    def test_change_of_run_time_is_followed(self) -> None:
        estimator = create_median_estimator()
        for run_ms in [100.0] * 100 + [500.0] * 20:
            estimator.record("a", "hold", 100.0, run_ms)
        assert estimator.estimate_ms("a", "hold", 0.0) == 500.0


class TestStragglerTimeout:
    def test_bound_lies_above_the_longest_tasks_that_users_name(self) -> None:
        assert create_straggler_timeout().stop_after_ms("a", "hold", 100.0) > 10_000.0
