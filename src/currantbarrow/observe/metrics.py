"""Collect metrics in memory and flush them to statsd."""

from __future__ import annotations

import collections

from currantbarrow.types import Clock

__all__ = ["MetricsRegistry", "flush_to_statsd"]

FLUSH_INTERVAL_MS = 1000


class MetricsRegistry:
    """Collect counters, gauges, and the sum and count of each timing since the last flush."""

    __slots__ = ("counters", "gauges", "timings")

    def __init__(self) -> None:
        self.counters: collections.Counter[str] = collections.Counter()
        self.gauges: dict[str, float] = {}
        self.timings: dict[str, list[float]] = {}

    def incr(self, name: str, count: int = 1) -> None:
        """Add to a counter."""
        self.counters[name] += count

    def timing(self, name: str, duration_ms: float) -> None:
        """Add a duration in milliseconds to the sum and count of a timing."""
        totals = self.timings.setdefault(name, [0.0, 0.0])
        totals[0] += duration_ms
        totals[1] += 1

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        self.gauges[name] = value


async def flush_to_statsd(
    metrics: MetricsRegistry, address: str, prefix: str, clock: Clock
) -> None:
    """Send metrics to statsd every second, counters only if changed, batched into packets."""
    # The platform's programs serve their metrics instead, and start sooner without this library.
    import statsd

    host, _, port = address.rpartition(":")
    client = statsd.StatsClient(host, int(port), prefix=prefix)
    sent: collections.Counter[str] = collections.Counter()
    while True:
        await clock.sleep_ms(FLUSH_INTERVAL_MS)
        with client.pipeline() as pipe:
            for name, count in metrics.counters.items():
                if count != sent[name]:
                    pipe.incr(name, count - sent[name])
                    sent[name] = count
            for name, value in metrics.gauges.items():
                pipe.gauge(name, value)
            for name, (total_ms, number) in metrics.timings.items():
                pipe.timing(name, total_ms / number)
        metrics.timings.clear()
