"""Render a timeline as one self-contained HTML page with an SVG chart."""

from __future__ import annotations

import itertools
from collections.abc import Iterable

import jinja2
import msgspec

from currantbarrow.observe import Event
from currantbarrow.timeline.merge import Lane, Span, Timeline

__all__ = ["render_html"]

WIDTH = 1400
LABEL_WIDTH = 130
RIGHT_MARGIN = 20
TOP = 34
ROW_HEIGHT = 7
MIN_ROWS = 2
LANE_GAP = 6
MARK_RADIUS = 3
TICKS = 8
MIN_BAR_WIDTH = 0.8
TABLE_ROWS = 500
TICK_STEPS_MS = [1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000, 10_000, 30_000, 60_000]
COLOURS = ["#4477aa", "#66ccee", "#228833", "#ccbb44", "#aa3377", "#ee7733", "#009988"]
NO_CLASS_COLOUR = "#999999"
GOOD_OUTCOMES = ("done", "complete", "open")


class _Bar(msgspec.Struct, frozen=True):
    x: float
    y: float
    width: float
    colour: str
    failed: bool
    open: bool
    label: str


class _Mark(msgspec.Struct, frozen=True):
    x: float
    y: float
    label: str


class _DrawnLane(msgspec.Struct, frozen=True):
    process: str
    y: float
    height: float
    bars: list[_Bar]
    marks: list[_Mark]


class _Tick(msgspec.Struct, frozen=True):
    x: float
    label: str


class _Row(msgspec.Struct, frozen=True):
    at: str
    process: str
    kind: str
    job: str
    task: str
    job_class: str
    detail: str


class _Scale:
    """Convert times to x coordinates of the chart."""

    def __init__(self, timeline: Timeline) -> None:
        self.from_ms = timeline.from_ms
        self._span_ms = max(timeline.to_ms - timeline.from_ms, 1.0)
        self._width = WIDTH - LABEL_WIDTH - RIGHT_MARGIN

    def x(self, at_ms: float) -> float:
        """Return the x coordinate of a time."""
        return round(LABEL_WIDTH + (at_ms - self.from_ms) / self._span_ms * self._width, 2)

    def ticks(self) -> list[_Tick]:
        """Return the ticks of the time axis, at round intervals."""
        min_step_ms = self._span_ms / TICKS
        step_ms = next((step for step in TICK_STEPS_MS if step >= min_step_ms), TICK_STEPS_MS[-1])
        count = int(self._span_ms // step_ms)
        return [
            _Tick(self.x(self.from_ms + n * step_ms), _format_ms(n * step_ms))
            for n in range(count + 1)
        ]


def render_html(timeline: Timeline, title: str) -> str:
    """Render one lane for each process, and a table of the events if there are few enough."""
    scale = _Scale(timeline)
    colours = _pick_colours(timeline)
    lanes, bottom = _draw_lanes(timeline, scale, colours)
    environment = jinja2.Environment(
        loader=jinja2.PackageLoader("currantbarrow.timeline"),
        autoescape=True,
        trim_blocks=True,
        lstrip_blocks=True,
    )
    return environment.get_template("timeline.html").render(
        title=title,
        lanes=lanes,
        ticks=scale.ticks(),
        colours=colours,
        width=WIDTH,
        height=bottom,
        top=TOP,
        right=WIDTH - RIGHT_MARGIN,
        left=LABEL_WIDTH,
        bar_height=ROW_HEIGHT - 1,
        mark_radius=MARK_RADIUS,
        rows=_table_rows(timeline) if len(timeline.events) <= TABLE_ROWS else [],
        event_count=len(timeline.events),
    )


def _pick_colours(timeline: Timeline) -> dict[str, str]:
    classes = sorted({span.job_class for lane in timeline.lanes for span in lane.spans})
    named = [name for name in classes if name]
    return dict(zip(named, itertools.cycle(COLOURS), strict=False))


def _draw_lanes(
    timeline: Timeline, scale: _Scale, colours: dict[str, str]
) -> tuple[list[_DrawnLane], float]:
    lanes = []
    y: float = TOP
    for lane in timeline.lanes:
        rows, count = _assign_rows(lane.spans)
        height = max(count, MIN_ROWS) * ROW_HEIGHT
        bars = [_draw_bar(span, scale, y + row * ROW_HEIGHT, colours) for span, row in rows]
        lanes.append(
            _DrawnLane(lane.process, y, height, bars, _draw_marks(lane, scale, y + height))
        )
        y += height + LANE_GAP
    return lanes, y


def _assign_rows(spans: Iterable[Span]) -> tuple[list[tuple[Span, int]], int]:
    """Assign each span to the first row that is free at its start; return the row count too."""
    ends_ms: list[float] = []
    placed = []
    for span in spans:
        row = next((n for n, end_ms in enumerate(ends_ms) if end_ms <= span.from_ms), len(ends_ms))
        if row == len(ends_ms):
            ends_ms.append(0.0)
        ends_ms[row] = span.to_ms
        placed.append((span, row))
    return placed, len(ends_ms)


def _draw_bar(span: Span, scale: _Scale, y: float, colours: dict[str, str]) -> _Bar:
    x = scale.x(span.from_ms)
    width = max(round(scale.x(span.to_ms) - x, 2), MIN_BAR_WIDTH)
    subject = f"task {span.task} of job" if span.task >= 0 else "job"
    label = (
        f"{subject} {span.job[:8]}, {span.job_class or 'class not known'}, {span.outcome}, "
        f"{span.to_ms - span.from_ms:.1f} ms"
    )
    return _Bar(
        x,
        y,
        width,
        colours.get(span.job_class, NO_CLASS_COLOUR),
        span.outcome not in GOOD_OUTCOMES,
        span.outcome == "open",
        label,
    )


def _draw_marks(lane: Lane, scale: _Scale, y: float) -> list[_Mark]:
    return [
        _Mark(scale.x(event.stamp_ms), y, f"{event.kind} {event.detail}".strip())
        for event in lane.marks
    ]


def _table_rows(timeline: Timeline) -> list[_Row]:
    return [_table_row(event, timeline.from_ms) for event in timeline.events]


def _table_row(event: Event, from_ms: float) -> _Row:
    task = str(event.task) if event.task >= 0 else ""
    at = f"{event.stamp_ms - from_ms:.1f}"
    return _Row(at, event.process, event.kind, event.job[:8], task, event.job_class, event.detail)


def _format_ms(at_ms: float) -> str:
    return f"{at_ms / 1000:g} s" if at_ms >= 1000 else f"{at_ms:g} ms"
