"""Fit straight lines to measured points."""

from __future__ import annotations

import statistics
from collections.abc import Sequence

import msgspec

__all__ = ["Slope", "fit_slope", "format_slopes"]


class Slope(msgspec.Struct, frozen=True):
    """Report the cost of one more unit of `over`, and at none, fitted to measured points."""

    name: str
    role: str
    over: str
    unit: str
    slope: float
    base: float
    points: list[tuple[float, float]]


def fit_slope(
    name: str, role: str, over: str, unit: str, points: Sequence[tuple[float, float]]
) -> Slope:
    """Return the least squares line through the points."""
    xs = [x for x, _ in points]
    ys = [y for _, y in points]
    line = statistics.linear_regression(xs, ys)
    return Slope(name, role, over, unit, line.slope, line.intercept, list(points))


def format_slopes(slopes: list[Slope]) -> str:
    """Return the slopes as a Markdown table."""
    rows = [
        "| what | role | one more | costs | at none | points |",
        "|---|---|---|---:|---:|---|",
    ]
    for each in slopes:
        points = ", ".join(f"{x:g}: {y:.4g}" for x, y in each.points)
        rows.append(
            f"| {each.name} | {each.role} | {each.over} | {each.slope:.4g} {each.unit} "
            f"| {each.base:.4g} | {points} |"
        )
    return "\n".join(rows)
