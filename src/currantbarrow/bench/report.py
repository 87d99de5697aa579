"""Write benchmark results as Markdown and JSON."""

from __future__ import annotations

from collections.abc import Sequence
from pathlib import Path

import msgspec

from currantbarrow.bench.figures import Row

__all__ = ["as_table", "write_report"]

HEADER = (
    "case",
    "policy",
    "jobs",
    "p50",
    "p99",
    "p99.9",
    "small p50",
    "small p99",
    "small p99.9",
    "large p99",
    "target met %",
    "small met %",
    "worst class %",
    "goodput %",
    "wasted",
    "overhead",
    "refused starts",
    "refused",
    "failed",
    "no answer",
    "recovery s",
    "messages a cancelled task",
    "broken",
)


def as_table(rows: Sequence[Row]) -> str:
    """Return the rows as a Markdown table."""
    lines = ["| " + " | ".join(HEADER) + " |", "|" + "---|" * len(HEADER)]
    lines += ["| " + " | ".join(_cells(row)) + " |" for row in rows]
    return "\n".join(lines) + "\n"


def write_report(rows: Sequence[Row], folder: Path) -> None:
    """Write the table to bench.md and all figures to bench.json."""
    folder.mkdir(parents=True, exist_ok=True)
    (folder / "bench.json").write_bytes(msgspec.json.format(msgspec.json.encode(list(rows))))
    (folder / "bench.md").write_text(as_table(rows))


def _cells(row: Row) -> list[str]:
    figures = row.figures
    response_ratios = (
        figures.p50,
        figures.p99,
        figures.p999,
        figures.small_p50,
        figures.small_p99,
        figures.small_p999,
        figures.large_p99,
    )
    return [
        row.case,
        row.policy,
        str(figures.jobs),
        *(f"{ratio:.3f}" for ratio in response_ratios),
        f"{figures.target_met_pct:.2f}",
        f"{figures.small_target_met_pct:.2f}",
        f"{figures.worst_class} {figures.worst_class_met_pct:.1f}",
        f"{figures.goodput_pct:.1f}",
        f"{figures.wasted_per_task:.3f}",
        f"{figures.overhead_per_task:.3f}",
        f"{figures.refused_starts_per_task:.3f}",
        str(figures.refused),
        str(figures.failed),
        str(figures.no_answer),
        f"{figures.recovery_s:.1f}",
        f"{figures.messages_per_cancelled_task:.3f}",
        str(figures.broken_promises),
    ]
