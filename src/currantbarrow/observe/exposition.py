"""Serve counters, gauges and latency histograms in the Prometheus text format."""

from __future__ import annotations

from aiohttp import web
from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, generate_latest

__all__ = ["PrometheusMetrics", "create_metrics_app"]

METRICS_PATH = "/metrics"
# Cover the range from a round trip within a data centre to the longest jobs.
BUCKETS_MS = (1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000, 10000)


class PrometheusMetrics:
    """Record the metrics of one process in a Prometheus registry of its own."""

    __slots__ = ("_counters", "_gauges", "_histograms", "registry")

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self._counters: dict[str, Counter] = {}
        self._gauges: dict[str, Gauge] = {}
        self._histograms: dict[str, Histogram] = {}

    def incr(self, name: str, count: int = 1) -> None:
        """Add to a counter."""
        counter = self._counters.get(name)
        if counter is None:
            counter = Counter(_prometheus_name(name), name, registry=self.registry)
            self._counters[name] = counter
        counter.inc(count)

    def timing(self, name: str, duration_ms: float) -> None:
        """Record a duration in milliseconds."""
        histogram = self._histograms.get(name)
        if histogram is None:
            histogram = Histogram(
                _prometheus_name(name), name, registry=self.registry, buckets=BUCKETS_MS
            )
            self._histograms[name] = histogram
        histogram.observe(duration_ms)

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        gauge = self._gauges.get(name)
        if gauge is None:
            gauge = Gauge(_prometheus_name(name), name, registry=self.registry)
            self._gauges[name] = gauge
        gauge.set(value)


def create_metrics_app(metrics: PrometheusMetrics) -> web.Application:
    """Return the application that serves a process's metrics."""

    async def serve_metrics(request: web.Request) -> web.Response:
        return web.Response(body=generate_latest(metrics.registry), content_type="text/plain")

    app = web.Application()
    app.router.add_get(METRICS_PATH, serve_metrics)
    return app


def _prometheus_name(name: str) -> str:
    return "".join(character if character.isalnum() else "_" for character in name)
