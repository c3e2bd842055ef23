"""Counters and latency histograms served as text over HTTP."""

import http

import prometheus_client

from jacinthhaven.adapters import http_server, poller

# Bounds of the histograms in milliseconds: from one round trip within a
# zone to the longest timeout of a statement.
_BOUNDS_MS = (1, 2, 5, 10, 20, 50, 100, 200, 400, 600, 1000, 2000, 4000)
_PREFIX = 'jacinthhaven'


class MetricsPage:
    """Metrics of one process and the page that shows them.

    Attributes:
      registry: Registry of the metrics of this process.
    """

    def __init__(self, loop: poller.Poller) -> None:
        """Create an empty page."""
        self.registry = prometheus_client.CollectorRegistry()
        self.counters: dict[str, prometheus_client.Counter] = {}
        self.histograms: dict[str, prometheus_client.Histogram] = {}
        self.gauges: dict[str, prometheus_client.Gauge] = {}
        self.server = http_server.Server(loop, self._on_request)

    def count(self, name: str, label: str) -> None:
        """Increase a counter."""
        counter = self.counters.get(name)
        if counter is None:
            counter = prometheus_client.Counter(
                f'{_PREFIX}_{name}',
                name,
                ['kind'],
                registry=self.registry,
            )
            self.counters[name] = counter
        counter.labels(label).inc()

    def observe(self, name: str, label: str, spent_ms: float) -> None:
        """Add a time to a histogram."""
        histogram = self.histograms.get(name)
        if histogram is None:
            histogram = prometheus_client.Histogram(
                f'{_PREFIX}_{name}',
                name,
                ['kind'],
                buckets=_BOUNDS_MS,
                registry=self.registry,
            )
            self.histograms[name] = histogram
        histogram.labels(label).observe(spent_ms)

    def gauge(self, name: str, level: float) -> None:
        """Set a gauge."""
        gauge = self.gauges.get(name)
        if gauge is None:
            gauge = prometheus_client.Gauge(
                f'{_PREFIX}_{name}',
                name,
                registry=self.registry,
            )
            self.gauges[name] = gauge
        gauge.set(level)

    def _on_request(self, exchange: http_server.Exchange) -> None:
        page = prometheus_client.generate_latest(self.registry)
        exchange.respond(http.HTTPStatus.OK, page)
