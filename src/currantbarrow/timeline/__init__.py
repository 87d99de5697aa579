"""Merge the events of all processes into one timeline and render it as an HTML page."""

from currantbarrow.timeline.merge import Timeline, merge_events
from currantbarrow.timeline.rendering import render_html

__all__ = ["Timeline", "merge_events", "render_html"]
