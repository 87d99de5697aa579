"""Plot benchmark results, one plot for each measure."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from pathlib import Path

import matplotlib as mpl
from matplotlib.figure import Figure

from currantbarrow.bench.figures import Figures, Row
from currantbarrow.bench.variants import CHOSEN, REFERENCE

__all__ = ["write_plots"]

ROW_INCHES = 0.32
WIDTH_INCHES = 9.0

MEASURES: dict[str, tuple[str, Callable[[Figures], float]]] = {
    "p99": ("p99 of response over ideal", lambda figures: figures.p99),
    "small-p99": ("p99 of the small customer", lambda figures: figures.small_p99),
    "target-met": ("target met, % of jobs", lambda figures: figures.target_met_pct),
    "wasted": ("wasted messages a task", lambda figures: figures.wasted_per_task),
}
SERIES = (
    (CHOSEN, "o", "tab:blue"),
    (REFERENCE, "|", "black"),
    ("baselines", ".", "tab:orange"),
)


def write_plots(rows: Sequence[Row], folder: Path) -> None:
    """Write one SVG file for each measure; equal rows give identical files."""
    mpl.rcParams["svg.hashsalt"] = "bench"
    for name, (title, value) in MEASURES.items():
        figure = _draw(rows, title, value)
        figure.savefig(folder / f"bench-{name}.svg", metadata={"Date": None})


def _draw(rows: Sequence[Row], title: str, value: Callable[[Figures], float]) -> Figure:
    cases = list(dict.fromkeys(row.case for row in rows))
    figure = Figure(figsize=(WIDTH_INCHES, 1.0 + ROW_INCHES * len(cases)), layout="constrained")
    axes = figure.subplots()
    for series, marker, colour in SERIES:
        points = [row for row in rows if _series_name(row) == series]
        axes.scatter(
            [value(row.figures) for row in points],
            [cases.index(row.case) for row in points],
            marker=marker,
            color=colour,
            label=series,
        )
    axes.set_yticks(range(len(cases)), cases)
    axes.invert_yaxis()
    axes.set_xlabel(title)
    if title.startswith("p99"):
        axes.set_xscale("log")
    axes.grid(visible=True, axis="x", alpha=0.3)
    axes.legend()
    return figure


def _series_name(row: Row) -> str:
    return row.policy if row.policy in (CHOSEN, REFERENCE) else "baselines"
