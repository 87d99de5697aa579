"""Merge the events of all processes into one time line, and draw it."""

from currantbarrow.timeline.merge import Timeline, merge_events
from currantbarrow.timeline.rendering import render_html

__all__ = ["Timeline", "merge_events", "render_html"]
