"""Summarize a load run by class."""

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

# The histogram stores integers: ratios of response to ideal in thousandths, capped at 1000.
RATIO_SCALE = 1000
RATIO_LIMIT = 1_000_000
PRECISION_DIGITS = 3
# Added to the ideal time: the overhead of a job on an idle fleet.
BASE_OVERHEAD_MS = 1.0
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
    """Report the results of one class in a load run."""

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


class _ClassTally:
    """Count the results and collect the response ratios of one class."""

    def __init__(self) -> None:
        self.statuses: collections.Counter[str] = collections.Counter()
        self.codes: collections.Counter[str] = collections.Counter()
        self.tasks = 0
        self.met_target = 0
        self.double_starts = 0
        self.ratios = HdrHistogram(1, RATIO_LIMIT, PRECISION_DIGITS)


class LoadReport:
    """Collect the outcomes of a load run and format them as tables and JSON."""

    def __init__(self, title: str, slots: int) -> None:
        self.title = title
        self.partial_answers = 0
        self.traffic = Traffic()
        self._slots = slots
        self._tallies: dict[str, _ClassTally] = collections.defaultdict(_ClassTally)

    def record_answer(
        self, job: PlannedJob, status: str, code: str, tasks: int, response_ms: float
    ) -> None:
        """Record the answer of a job; tasks is the number of results in it."""
        tally = self._tallies[job.job_class]
        tally.statuses[status] += 1
        if code:
            tally.codes[code] += 1
        tally.tasks += len(job.run_ms)
        if status == "complete":
            if tasks != len(job.run_ms):
                self.partial_answers += 1
            tally.met_target += response_ms <= job.target_ms
            ratio = int(response_ms / ideal_ms(job.run_ms, self._slots) * RATIO_SCALE)
            tally.ratios.record_value(min(max(ratio, 1), RATIO_LIMIT))

    def record_double_start(self, job_class: str) -> None:
        """Record a task that was started more than once."""
        self._tallies[job_class].double_starts += 1

    def figures(self) -> list[ClassFigures]:
        """Return the figures of each class."""
        return [self._class_figures(name, tally) for name, tally in sorted(self._tallies.items())]

    def curves(self) -> dict[str, list[tuple[float, float]]]:
        """Return pairs of percentile and ratio of response to ideal, by class."""
        return {
            name: [(percentile, _ratio(tally, percentile)) for percentile in CURVE_PERCENTILES]
            for name, tally in sorted(self._tallies.items())
            if tally.ratios.get_total_count()
        }

    def double_starts(self) -> int:
        """Return the number of tasks that were started more than once."""
        return sum(tally.double_starts for tally in self._tallies.values())

    def answered(self) -> int:
        """Return the number of jobs that have an outcome."""
        return sum(sum(tally.statuses.values()) for tally in self._tallies.values())

    def promises_held(self) -> bool:
        """Return whether no task started twice and no complete answer lacked results."""
        return self.double_starts() == 0 and self.partial_answers == 0

    def as_table(self) -> str:
        """Return the figures as a Markdown table."""
        lines = [
            f"## {self.title}",
            "",
            _markdown_row(HEADINGS),
            _markdown_row(["---"] * len(HEADINGS)),
        ]
        lines += [_markdown_row(_cells(figures)) for figures in self.figures()]
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

    def as_dict(self) -> Any:
        """Return the figures as JSON-compatible data."""
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
        (folder / f"{self.title}.json").write_bytes(msgspec.json.encode(self.as_dict()))

    def _causes(self) -> str:
        codes: collections.Counter[str] = collections.Counter()
        for tally in self._tallies.values():
            codes.update(tally.codes)
        return ", ".join(f"{code} {count}" for code, count in codes.most_common())

    @staticmethod
    def _class_figures(name: str, tally: _ClassTally) -> ClassFigures:
        complete = tally.statuses["complete"]
        return ClassFigures(
            name,
            sum(tally.statuses.values()),
            complete,
            tally.statuses["failed"],
            tally.statuses["refused"],
            tally.statuses["no answer"],
            tally.codes["cancelled"],
            tally.double_starts,
            tally.tasks,
            _ratio(tally, 50),
            _ratio(tally, 99),
            _ratio(tally, 99.9),
            100 * tally.met_target / complete if complete else 0.0,
            dict(tally.codes),
        )


def ideal_ms(run_ms: Sequence[float], slots: int) -> float:
    """Return a job's response in ms on an idle fleet that starts its longest tasks first."""
    if len(run_ms) <= slots:
        return max(run_ms) + BASE_OVERHEAD_MS
    ends = [0.0] * slots
    for task_ms in sorted(run_ms, reverse=True):
        heapq.heapreplace(ends, ends[0] + task_ms)
    return max(ends) + BASE_OVERHEAD_MS


def _ratio(tally: _ClassTally, percentile: float) -> float:
    return float(tally.ratios.get_value_at_percentile(percentile)) / RATIO_SCALE


def _markdown_row(cells: Sequence[str]) -> str:
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
