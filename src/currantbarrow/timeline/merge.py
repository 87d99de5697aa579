"""Order the events of all processes and pair the starts and ends of jobs and tasks."""

from __future__ import annotations

import math
from collections.abc import Iterable

import msgspec

from currantbarrow.observe import Event

__all__ = ["Lane", "Span", "Timeline", "merge_events"]

TASK_START = "task_started"
TASK_END = "task_ended"
JOB_STARTS = ("job_accepted", "job_adopted")
JOB_ENDS = ("job_complete", "job_failed", "job_refused")
# Tasks are shown in the lane of the process that runs them, not in that of the entry.
HIDDEN_KINDS = ("task_sent",)


class Span(msgspec.Struct, frozen=True):
    """Describe one job or task of a process, from its start event to its end event."""

    from_ms: float
    to_ms: float
    job: str
    task: int
    job_class: str
    outcome: str


class Lane(msgspec.Struct):
    """Contain the spans of one process and its remaining events, shown as marks."""

    process: str
    spans: list[Span]
    marks: list[Event]


class Timeline(msgspec.Struct):
    """Contain all events in order, and one lane for each process."""

    events: list[Event]
    lanes: list[Lane]

    @property
    def from_ms(self) -> float:
        """Return the time of the first event."""
        return self.events[0].stamp_ms if self.events else 0.0

    @property
    def to_ms(self) -> float:
        """Return the time of the last event."""
        return self.events[-1].stamp_ms if self.events else 0.0


def merge_events(
    events: Iterable[Event], *, from_ms: float = 0.0, to_ms: float = math.inf
) -> Timeline:
    """Return the timeline of the events between two times; events may come in any order."""
    # The stamps order an effect after its cause; process names order concurrent events.
    ordered = sorted(events, key=lambda event: (event.stamp, event.process))
    classes = {event.job: event.job_class for event in ordered if event.job_class}
    selected = [event for event in ordered if from_ms <= event.stamp_ms <= to_ms]
    timeline = Timeline(selected, [])
    by_process: dict[str, list[Event]] = {}
    for event in ordered:
        by_process.setdefault(event.process, []).append(event)
    timeline.lanes = [
        _clip(_build_lane(process, process_events, classes, timeline), timeline)
        for process, process_events in sorted(by_process.items())
    ]
    return timeline


def _build_lane(
    process: str, events: list[Event], classes: dict[str, str], timeline: Timeline
) -> Lane:
    lane = Lane(process, [], [])
    open_events: dict[tuple[str, int], Event] = {}
    for event in events:
        key = (event.job, event.task)
        if event.kind == TASK_START or event.kind in JOB_STARTS:
            open_events[key] = event
        elif event.kind == TASK_END or event.kind in JOB_ENDS:
            start = open_events.pop(key, None)
            start_ms = start.stamp_ms if start else timeline.from_ms
            outcome = event.detail if event.kind == TASK_END else event.kind.removeprefix("job_")
            lane.spans.append(_span(start_ms, event.stamp_ms, event, classes, outcome))
        elif event.kind not in HIDDEN_KINDS:
            lane.marks.append(event)
    for event in open_events.values():
        lane.spans.append(_span(event.stamp_ms, timeline.to_ms, event, classes, "open"))
    lane.spans.sort(key=lambda span: span.from_ms)
    return lane


def _span(
    from_ms: float, to_ms: float, event: Event, classes: dict[str, str], outcome: str
) -> Span:
    job_class = classes.get(event.job, "")
    return Span(from_ms, to_ms, event.job, event.task, job_class, outcome)


def _clip(lane: Lane, timeline: Timeline) -> Lane:
    """Clip the spans and marks of a lane to the time range of the timeline."""
    spans = [
        msgspec.structs.replace(
            span,
            from_ms=max(span.from_ms, timeline.from_ms),
            to_ms=min(span.to_ms, timeline.to_ms),
            outcome=span.outcome if span.to_ms <= timeline.to_ms else "open",
        )
        for span in lane.spans
        if span.to_ms >= timeline.from_ms and span.from_ms <= timeline.to_ms
    ]
    marks = [mark for mark in lane.marks if timeline.from_ms <= mark.stamp_ms <= timeline.to_ms]
    return Lane(lane.process, spans, marks)
