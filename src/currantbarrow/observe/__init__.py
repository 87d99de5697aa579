"""Observability of a process: clocks, metrics, log lines and timeline events."""

from currantbarrow.observe.clock import HybridClock, create_clock
from currantbarrow.observe.log import DEBUG_TOPICS, BoundedHandler, configure_logging, logger
from currantbarrow.observe.metrics import MetricsRegistry, flush_to_statsd
from currantbarrow.observe.timeline import Event, EventRing, parse_since_ms

__all__ = [
    "BoundedHandler",
    "DEBUG_TOPICS",
    "Event",
    "EventRing",
    "HybridClock",
    "MetricsRegistry",
    "configure_logging",
    "create_clock",
    "flush_to_statsd",
    "logger",
    "parse_since_ms",
]
