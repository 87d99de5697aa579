"""Test the order of the merged timeline and its rendered page."""

from __future__ import annotations

from xml.etree import ElementTree

import pytest
from hypothesis import given
from hypothesis import strategies as st

from currantbarrow.observe import Event, EventRing, HybridClock, parse_since_ms
from currantbarrow.standins.fleet import LoopClock
from currantbarrow.standins.virtual import run_virtual
from currantbarrow.timeline import merge_events, render_html

MS = 1 << 16


def event(at_ms: float, process: str, kind: str, job: str = "j", task: int = -1) -> Event:
    return Event(int(at_ms * MS), process, kind, job, task, "hold" if task < 0 else "")


class TestOrder:
    def test_effect_comes_after_its_cause_when_clocks_are_skewed(self) -> None:
        async def scenario() -> list[Event]:
            early, late = LoopClock(skew_ms=-5000.0), LoopClock(skew_ms=5000.0)
            sender, receiver = HybridClock(late), HybridClock(early)
            first, second = EventRing("a", sender), EventRing("b", receiver)
            first.record("sent")
            receiver.merge(sender.tick())
            second.record("received")
            return [*second.select(), *first.select()]

        line = merge_events(run_virtual(scenario()))
        assert [each.kind for each in line.events] == ["sent", "received"]

    @given(st.permutations([event(n, f"p{n % 3}", "side_up") for n in range(6)]))
    def test_merge_does_not_depend_on_the_order_of_its_input(self, events: list[Event]) -> None:
        assert [each.stamp_ms for each in merge_events(events).events] == [0, 1, 2, 3, 4, 5]


class TestLanes:
    def test_spans_pair_starts_with_ends(self) -> None:
        line = merge_events(
            [
                event(10, "entry", "job_accepted"),
                event(11, "side", "task_started", task=0),
                event(12, "side", "task_started", task=1),
                event(31, "side", "task_ended", task=0),
                event(32, "entry", "job_failed"),
            ]
        )
        entry, side = line.lanes
        assert [(span.from_ms, span.to_ms, span.outcome) for span in entry.spans] == [
            (10, 32, "failed")
        ]
        assert [span.outcome for span in side.spans] == ["", "open"]
        assert {span.job_class for span in side.spans} == {"hold"}

    def test_spans_are_clipped_to_the_time_range(self) -> None:
        events = [
            event(0, "side", "task_started", task=0),
            event(5, "side", "side_up", job=""),
            event(9, "side", "side_up", job=""),
            event(20, "side", "task_ended", task=0),
        ]
        (lane,) = merge_events(events, from_ms=4, to_ms=10).lanes
        assert [(span.from_ms, span.to_ms) for span in lane.spans] == [(5, 9)]


class TestRendering:
    def test_names_are_escaped_and_the_chart_is_well_formed(self) -> None:
        hostile = "<script>alert(1)</script>"
        page = render_html(merge_events([event(1, hostile, "side_up", job="")]), hostile)
        assert "<script>" not in page
        svg = page[page.index("<svg") : page.index("</svg>") + len("</svg>")]
        assert ElementTree.fromstring(svg).tag.endswith("svg")

    def test_empty_timeline_is_rendered(self) -> None:
        assert "0 events" in render_html(merge_events([]), "nothing")

    def test_page_has_no_external_references(self) -> None:
        page = render_html(merge_events([event(1, "a", "side_up")]), "t")
        assert "src=" not in page
        assert "href=" not in page


@pytest.mark.parametrize("text", ["x", "-1", "1.5", "\u0663"])
def test_since_ms_that_is_no_whole_number_is_an_error(text: str) -> None:
    with pytest.raises(ValueError, match="since_ms"):
        parse_since_ms(text)
