"""Test the fit of slopes and the sizing that is computed from them."""

from __future__ import annotations

import pytest

from currantbarrow.bench.slopes_figures import fit_slope, format_slopes
from currantbarrow.bench.slopes_sizing import (
    Requirement,
    Size,
    compute_requirements,
    format_requirements,
)


class TestSlopes:
    def test_fit_of_collinear_points_is_exact(self) -> None:
        slope = fit_slope("n", "entry", "link", "KiB", [(1, 5.0), (2, 7.0), (4, 11.0)])
        assert slope.slope == pytest.approx(2.0)
        assert slope.base == pytest.approx(3.0)
        assert "| n | entry | link | 2 KiB | 3 | 1: 5, 2: 7, 4: 11 |" in format_slopes([slope])

    def test_requirement_above_its_bound_is_marked(self) -> None:
        table = format_requirements(
            [Requirement("side", "memory", 70.0, "MiB", 61.0), Requirement("s", "x", 1.0, "")]
        )
        assert "| side | memory | 70 MiB | 61 | **no** |" in table

    def test_sizing_without_slopes_raises_key_error(self) -> None:
        with pytest.raises(KeyError):
            compute_requirements(Size(), [])

    def test_smaller_subsets_reduce_the_entries_per_side_process(self) -> None:
        assert Size(entries=80, sides_per_entry=2900).entries_per_side == pytest.approx(80)
        assert Size(entries=80, sides_per_entry=58).entries_per_side == pytest.approx(1.6)
