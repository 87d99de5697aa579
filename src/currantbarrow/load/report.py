"""Sum up a run of load, per class."""

from __future__ import annotations

import collections
from pathlib import Path
from typing import Any

import msgspec
from hdrh.histogram import HdrHistogram

from currantbarrow.load.workload import PlannedJob

__all__ = ["ClassFigures", "LoadReport"]

# Ratios of response over ideal are kept in thousandths, up to 1000.
RATIO_SCALE = 1000
RATIO_LIMIT = 1_000_000
PRECISION_DIGITS = 3
UNAVOIDABLE_MS = 1.0


class ClassFigures(msgspec.Struct):
    """Hold the figures of one class."""

    job_class: str
    jobs: int
    complete: int
    failed: int
    refused: int
    no_answer: int
    tasks: int
    ratio_p50: float
    ratio_p99: float
    ratio_p999: float


class _ClassBook:
    def __init__(self) -> None:
        self.statuses: collections.Counter[str] = collections.Counter()
        self.codes: collections.Counter[str] = collections.Counter()
        self.tasks = 0
        self.ratios = HdrHistogram(1, RATIO_LIMIT, PRECISION_DIGITS)


class LoadReport:
    """Collect answers and make them into tables."""

    def __init__(self, title: str) -> None:
        self.title = title
        self.partial_answers = 0
        self.double_starts = 0
        self.messages = 0
        self.started_tasks = 0
        self._books: dict[str, _ClassBook] = collections.defaultdict(_ClassBook)

    def note(self, job: PlannedJob, status: str, code: str, tasks: int, response_ms: float) -> None:
        """Take in one answer."""
        book = self._books[job.job_class]
        book.statuses[status] += 1
        if code:
            book.codes[code] += 1
        book.tasks += len(job.run_ms)
        if status == "complete":
            if tasks != len(job.run_ms):
                self.partial_answers += 1
            ideal_ms = max(job.run_ms) + UNAVOIDABLE_MS
            ratio = int(response_ms / ideal_ms * RATIO_SCALE)
            book.ratios.record_value(min(max(ratio, 1), RATIO_LIMIT))

    def figures(self) -> list[ClassFigures]:
        """Return the figures of each class."""
        return [self._figure(name, book) for name, book in sorted(self._books.items())]

    def wasted_per_task(self) -> float:
        """Return the inner messages a task beyond one start and one result."""
        if not self.started_tasks:
            return 0.0
        return max(0.0, self.messages / self.started_tasks - 2)

    def promises_held(self) -> bool:
        """Tell whether no promise was broken."""
        return self.double_starts == 0 and self.partial_answers == 0

    def as_table(self) -> str:
        """Return the figures as a Markdown table."""
        lines = [
            f"## {self.title}",
            "",
            "| class | jobs | complete | failed | refused | no answer | p50 | p99 | p99.9 |",
            "|---|---|---|---|---|---|---|---|---|",
        ]
        for row in self.figures():
            lines.append(
                f"| {row.job_class} | {row.jobs} | {row.complete} | {row.failed} "
                f"| {row.refused} | {row.no_answer} | {row.ratio_p50:.3f} "
                f"| {row.ratio_p99:.3f} | {row.ratio_p999:.3f} |"
            )
        lines += [
            "",
            f"double starts {self.double_starts}, partial answers {self.partial_answers}, "
            f"wasted messages a task {self.wasted_per_task():.3f}",
            "",
        ]
        return "\n".join(lines)

    def as_plain(self) -> Any:
        """Return the figures as plain data."""
        return {
            "title": self.title,
            "classes": msgspec.to_builtins(self.figures()),
            "double_starts": self.double_starts,
            "partial_answers": self.partial_answers,
            "wasted_messages_per_task": self.wasted_per_task(),
        }

    def write(self, folder: Path) -> None:
        """Write the report as Markdown and JSON."""
        folder.mkdir(parents=True, exist_ok=True)
        (folder / f"{self.title}.md").write_text(self.as_table())
        (folder / f"{self.title}.json").write_bytes(msgspec.json.encode(self.as_plain()))

    @staticmethod
    def _figure(name: str, book: _ClassBook) -> ClassFigures:
        def ratio(percentile: float) -> float:
            return float(book.ratios.get_value_at_percentile(percentile)) / RATIO_SCALE

        return ClassFigures(
            name,
            sum(book.statuses.values()),
            book.statuses["complete"],
            book.statuses["failed"],
            book.statuses["refused"],
            book.statuses["no answer"],
            book.tasks,
            ratio(50),
            ratio(99),
            ratio(99.9),
        )
