"""Merge the events of all processes into one time line, and draw it."""

from currantbarrow.timeline.merge import TimeLine, merge_events
from currantbarrow.timeline.picture import render_picture

__all__ = ["TimeLine", "merge_events", "render_picture"]
