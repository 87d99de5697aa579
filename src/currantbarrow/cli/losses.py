"""Tell from log files which jobs were not served in time, and for which cause."""

from __future__ import annotations

import collections
import datetime
import enum
from collections.abc import Iterable, Sequence
from pathlib import Path

import msgspec
from cleo.helpers import argument, option

from currantbarrow.cli.command import LocalCommand
from currantbarrow.cli.errors import EXIT_OK
from currantbarrow.cli.logs import LogLine, read_lines
from currantbarrow.cli.tables import format_table

__all__ = ["JobOutcome", "Loss", "LossesCommand", "find_outcomes"]

# An entry that starts has lost the jobs of its former process.
STARTED = "started"
JOB_MESSAGES = frozenset(
    ("job accepted", "job refused", "tasks ordered", "run ended without a result", "job ended")
)
HEADINGS = ["outcome", "cause", "jobs"]


class Loss(enum.StrEnum):
    """Define what became of a job."""

    NONE = "in time"
    REFUSED = "refused"
    # Accepted, and refused later without a start.
    GIVEN_UP = "given up untried"
    LATE = "late"
    FAILED = "failed"
    # Cancelled, or moved to an entry that logged nothing about it.
    LEFT = "left by its caller"
    # Open when the process of its entry ended.
    ENTRY_LOST = "entry lost"
    # Open when the logs ended.
    OPEN = "open"


class JobOutcome(msgspec.Struct, frozen=True):
    """Describe the outcome of a job over all its submissions."""

    job: str
    queue: str
    loss: Loss
    cause: str
    # The time of its first line.
    submitted: str


class _JobTrace:
    """Collect what the lines of one job say, in the order of time."""

    __slots__ = (
        "accepted",
        "ended",
        "entry_lost",
        "first",
        "last_order",
        "order_reasons",
        "refused",
        "submissions",
        "undone",
    )

    def __init__(self, first: LogLine) -> None:
        self.first = first
        self.submissions = 0
        self.accepted: LogLine | None = None
        self.refused: LogLine | None = None
        self.ended: LogLine | None = None
        self.last_order: LogLine | None = None
        self.order_reasons: set[str] = set()
        self.undone: set[str] = set()
        self.entry_lost = False

    def record(self, line: LogLine) -> None:
        """Record a line; the newest submission decides."""
        match line.message:
            case "job accepted":
                self.submissions += 1
                self.accepted, self.refused, self.ended = line, None, None
                self.entry_lost = False
            case "job refused":
                self.submissions += 1
                self.refused, self.accepted, self.ended = line, None, None
            case "tasks ordered":
                self.last_order = line
                self.order_reasons.update(str(line.details.get("reason", "")).split())
            case "run ended without a result":
                self.undone.add(str(line.details.get("reason", "")))
            case "job ended" if self.ended is None:
                self.ended = line

    def outcome(self) -> JobOutcome:
        """Return the outcome of the job."""
        loss, cause = self._classify()
        queue = str(self.first.details.get("queue", ""))
        return JobOutcome(self.first.job, queue, loss, cause, self.first.asctime)

    def _classify(self) -> tuple[Loss, str]:
        if self.refused is not None:
            return Loss.REFUSED, _refusal_cause(self.refused)
        if self.ended is None:
            return (Loss.ENTRY_LOST if self.entry_lost else Loss.OPEN), ""
        reason = str(self.ended.details.get("reason", ""))
        state = self.ended.details.get("state")
        if state == "refused":
            return Loss.GIVEN_UP, reason
        if state == "failed":
            return Loss.FAILED, reason
        if state != "completed":
            return Loss.LEFT, reason
        took_ms = _milliseconds_between(self.first, self.ended)
        if took_ms <= float(self.ended.details.get("objective_ms", 0)):
            return Loss.NONE, ""
        return Loss.LATE, self._late_cause()

    def _late_cause(self) -> str:
        if self.submissions > 1:
            return "submitted again"
        if self.undone:
            return f"run again ({', '.join(sorted(self.undone))})"
        if self.last_order is not None and float(self.last_order.details.get("slack_ms", 0)) < 0:
            return "waited for resources"
        if "late_everywhere" in self.order_reasons:
            return "only slow workers had room"
        return "ran longer than expected"


def find_outcomes(lines: Iterable[LogLine]) -> list[JobOutcome]:
    """Return the outcome of each job, in the order of their submission."""
    traces: dict[str, _JobTrace] = {}
    for line in sorted(lines, key=lambda line: line.asctime):
        if line.message == STARTED:
            for trace in traces.values():
                if trace.accepted is not None and trace.accepted.process == line.process:
                    trace.entry_lost = trace.ended is None
        elif line.job and line.message in JOB_MESSAGES:
            traces.setdefault(line.job, _JobTrace(line)).record(line)
    return [trace.outcome() for trace in traces.values()]


def _refusal_cause(line: LogLine) -> str:
    """Return the reason of a refusal, with what makes up most of the expected wait."""
    details = line.details
    reason = str(details.get("reason", ""))
    if reason != "overload":
        return reason
    released_per_s = float(details.get("released_per_s", 0))
    if float(details.get("urgent_per_s", 0)) > released_per_s / 2:
        return "overload: more urgent jobs arrive"
    return "overload: too few cores"


def _milliseconds_between(first: LogLine, last: LogLine) -> float:
    try:
        began, ended = (
            datetime.datetime.strptime(line.asctime, "%Y-%m-%d %H:%M:%S,%f")
            for line in (first, last)
        )
    except ValueError:
        return 0.0
    return (ended - began).total_seconds() * 1000


def _count_rows(outcomes: Sequence[JobOutcome]) -> list[list[object]]:
    counts = collections.Counter((each.loss, each.cause) for each in outcomes)
    order = list(Loss)
    keys = sorted(counts, key=lambda key: (order.index(key[0]), -counts[key]))
    return [[loss.value, cause, counts[loss, cause]] for loss, cause in keys]


class LossesCommand(LocalCommand):
    """Count the jobs that were not served in time, by outcome and cause."""

    name = "losses"
    description = "Count from log files the jobs that were not served in time, by cause."
    arguments = [argument("files", "The log files of all entries.", multiple=True)]
    options = [
        option("queue", None, "Only jobs of this queue.", flag=False),
        option("since", None, "Only jobs submitted from this time on (HH:MM:SS).", flag=False),
        option("until", None, "Only jobs submitted before this time (HH:MM:SS).", flag=False),
        option("jobs", None, "List the lost jobs instead of counts."),
        option("json", None, "Print JSON instead of a table."),
    ]

    def run_command(self) -> int:
        """Show a row for each outcome and cause, or for each lost job."""
        lines = [line for name in self.argument("files") for line in read_lines(Path(name))]
        outcomes = [each for each in find_outcomes(lines) if self._is_selected(each)]
        lost = [each for each in outcomes if each.loss is not Loss.NONE]
        if self.option("json"):
            self.show_json(lost)
        elif self.option("jobs"):
            rows = [
                [_clock_time(each), each.job, each.queue, each.loss, each.cause] for each in lost
            ]
            self.show(format_table(["time", "job", "queue", "outcome", "cause"], rows))
        else:
            self.show(format_table(HEADINGS, [*_count_rows(outcomes), ["all", "", len(outcomes)]]))
        return EXIT_OK

    def _is_selected(self, outcome: JobOutcome) -> bool:
        queue, since, until = self.option("queue"), self.option("since"), self.option("until")
        time = _clock_time(outcome)
        return (
            (not queue or outcome.queue == queue)
            and (not since or time >= since)
            and (not until or time < until)
        )


def _clock_time(outcome: JobOutcome) -> str:
    return outcome.submitted.rpartition(" ")[2]
