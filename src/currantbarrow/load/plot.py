"""Plot the ratio of response time to ideal time, by class."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from pathlib import Path

import matplotlib
from matplotlib.figure import Figure

__all__ = ["Curves", "plot_ratios"]

PANEL_INCHES = (5.2, 4.0)
RATIO_TICKS = [1, 1.1, 1.25, 1.5, 2, 3, 5, 10, 20, 50, 100]
PERCENTILE_TICKS = [1, 10, 50, 90, 99, 99.9]

Curves = Mapping[str, Sequence[tuple[float, float]]]


def plot_ratios(panels: Mapping[str, Curves], path: Path) -> None:
    """Write an SVG with one plot for each title and one curve for each class."""
    # A fixed salt makes the ids in the SVG reproducible.
    matplotlib.rcParams["svg.hashsalt"] = "currantbarrow"
    width, height = PANEL_INCHES
    figure = Figure(figsize=(width * len(panels), height), layout="constrained")
    axes = figure.subplots(1, len(panels), squeeze=False)[0]
    for axis, (title, curves) in zip(axes, panels.items(), strict=True):
        _draw_panel(axis, title, curves)
    axes[0].set_ylabel("response over ideal")
    figure.savefig(path, metadata={"Date": None})


def _draw_panel(axis: matplotlib.axes.Axes, title: str, curves: Curves) -> None:
    highest = 1.25
    for name, curve in curves.items():
        percentiles = [percentile / 100 for percentile, _ in curve]
        ratios = [ratio for _, ratio in curve]
        axis.plot(percentiles, ratios, label=name, linewidth=1.6)
        highest = max(highest, *ratios)
    axis.set_title(title)
    axis.set_xscale("logit")
    axis.set_yscale("log")
    axis.set_xticks([tick / 100 for tick in PERCENTILE_TICKS], [f"{t:g}" for t in PERCENTILE_TICKS])
    axis.set_xlabel("percentile of complete jobs")
    axis.set_ylim(0.98, highest * 1.1)
    ticks = [tick for tick in RATIO_TICKS if tick <= highest * 1.1]
    axis.set_yticks(ticks, [f"{tick:g}" for tick in ticks], minor=False)
    axis.minorticks_off()
    axis.grid(alpha=0.3)
    axis.legend(frameon=False)
