"""Sum up a run of load, per class."""

from __future__ import annotations

import collections
import heapq
from collections.abc import Sequence
from pathlib import Path
from typing import Any

import msgspec
from hdrh.histogram import HdrHistogram

from currantbarrow.load.traffic import Traffic
from currantbarrow.load.workload import PlannedJob

__all__ = ["ClassFigures", "LoadReport", "ideal_ms"]

# Ratios of response over ideal are kept in thousandths, up to 1000.
RATIO_SCALE = 1000
RATIO_LIMIT = 1_000_000
PRECISION_DIGITS = 3
UNAVOIDABLE_MS = 1.0
CURVE_PERCENTILES = [*range(1, 100), 99.5, 99.9]
HEADINGS = [
    "class",
    "jobs",
    "complete",
    "failed",
    "refused",
    "no answer",
    "double starts",
    "p50",
    "p99",
    "p99.9",
    "target met %",
]


class ClassFigures(msgspec.Struct):
    """Hold the figures of one class."""

    job_class: str
    jobs: int
    complete: int
    failed: int
    refused: int
    no_answer: int
    cancelled: int
    double_starts: int
    tasks: int
    ratio_p50: float
    ratio_p99: float
    ratio_p999: float
    target_met_percent: float
    codes: dict[str, int]


class _ClassBook:
    def __init__(self) -> None:
        self.statuses: collections.Counter[str] = collections.Counter()
        self.codes: collections.Counter[str] = collections.Counter()
        self.tasks = 0
        self.in_target = 0
        self.double_starts = 0
        self.ratios = HdrHistogram(1, RATIO_LIMIT, PRECISION_DIGITS)


class LoadReport:
    """Collect answers and make them into tables."""

    def __init__(self, title: str, slots: int) -> None:
        self.title = title
        self.partial_answers = 0
        self.traffic = Traffic()
        self._slots = slots
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
            book.in_target += response_ms <= job.target_ms
            ratio = int(response_ms / ideal_ms(job.run_ms, self._slots) * RATIO_SCALE)
            book.ratios.record_value(min(max(ratio, 1), RATIO_LIMIT))

    def note_double_start(self, job_class: str) -> None:
        """Take in a task that was started more than once."""
        self._books[job_class].double_starts += 1

    def figures(self) -> list[ClassFigures]:
        """Return the figures of each class."""
        return [self._figure(name, book) for name, book in sorted(self._books.items())]

    def curves(self) -> dict[str, list[tuple[float, float]]]:
        """Return the percentiles of response over ideal, by class."""
        return {
            name: [(percentile, _ratio(book, percentile)) for percentile in CURVE_PERCENTILES]
            for name, book in sorted(self._books.items())
            if book.ratios.get_total_count()
        }

    def double_starts(self) -> int:
        """Return the number of tasks that were started more than once."""
        return sum(book.double_starts for book in self._books.values())

    def answered(self) -> int:
        """Return the number of jobs that have an outcome."""
        return sum(sum(book.statuses.values()) for book in self._books.values())

    def promises_held(self) -> bool:
        """Tell whether no promise was broken."""
        return self.double_starts() == 0 and self.partial_answers == 0

    def as_table(self) -> str:
        """Return the figures as a Markdown table."""
        lines = [f"## {self.title}", "", _row(HEADINGS), _row(["---"] * len(HEADINGS))]
        lines += [_row(_cells(figures)) for figures in self.figures()]
        lines += ["", "p50, p99 and p99.9 are of response over ideal, of complete jobs."]
        lines.append(
            f"All classes: wasted messages a task {self.traffic.wasted_per_task():.3f} "
            f"(neither starts nor results: {self.traffic.overhead_per_task():.3f}), "
            f"tasks started {self.traffic.started_tasks}, partial answers {self.partial_answers}."
        )
        causes = self._causes()
        if causes:
            lines.append(f"Not complete: {causes}.")
        return "\n".join([*lines, ""])

    def as_plain(self) -> Any:
        """Return the figures as plain data."""
        return {
            "title": self.title,
            "classes": msgspec.to_builtins(self.figures()),
            "double_starts": self.double_starts(),
            "partial_answers": self.partial_answers,
            "traffic": msgspec.to_builtins(self.traffic),
            "wasted_messages_per_task": self.traffic.wasted_per_task(),
            "overhead_messages_per_task": self.traffic.overhead_per_task(),
        }

    def write(self, folder: Path) -> None:
        """Write the report as Markdown and JSON."""
        folder.mkdir(parents=True, exist_ok=True)
        (folder / f"{self.title}.md").write_text(self.as_table())
        (folder / f"{self.title}.json").write_bytes(msgspec.json.encode(self.as_plain()))

    def _causes(self) -> str:
        codes: collections.Counter[str] = collections.Counter()
        for book in self._books.values():
            codes.update(book.codes)
        return ", ".join(f"{code} {count}" for code, count in codes.most_common())

    @staticmethod
    def _figure(name: str, book: _ClassBook) -> ClassFigures:
        complete = book.statuses["complete"]
        return ClassFigures(
            name,
            sum(book.statuses.values()),
            complete,
            book.statuses["failed"],
            book.statuses["refused"],
            book.statuses["no answer"],
            book.codes["cancelled"],
            book.double_starts,
            book.tasks,
            _ratio(book, 50),
            _ratio(book, 99),
            _ratio(book, 99.9),
            100 * book.in_target / complete if complete else 0.0,
            dict(book.codes),
        )


def ideal_ms(run_ms: Sequence[float], slots: int) -> float:
    """Return how long a job takes alone on an idle fleet, longest tasks first."""
    if len(run_ms) <= slots:
        return max(run_ms) + UNAVOIDABLE_MS
    ends = [0.0] * slots
    for each in sorted(run_ms, reverse=True):
        heapq.heapreplace(ends, ends[0] + each)
    return max(ends) + UNAVOIDABLE_MS


def _ratio(book: _ClassBook, percentile: float) -> float:
    return float(book.ratios.get_value_at_percentile(percentile)) / RATIO_SCALE


def _row(cells: Sequence[str]) -> str:
    return f"| {' | '.join(cells)} |"


def _cells(figures: ClassFigures) -> list[str]:
    counts = [
        figures.jobs,
        figures.complete,
        figures.failed,
        figures.refused,
        figures.no_answer,
        figures.double_starts,
    ]
    ratios = [figures.ratio_p50, figures.ratio_p99, figures.ratio_p999]
    return [
        figures.job_class,
        *(str(count) for count in counts),
        *(f"{ratio:.3f}" for ratio in ratios),
        f"{figures.target_met_percent:.1f}",
    ]
