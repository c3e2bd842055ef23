"""Counters, gauges and latency histograms in Prometheus text over HTTP."""

import collections
import http
import importlib
import typing

from jacinthhaven.adapters import http_server, poller

# Upper bounds of the histogram buckets in milliseconds: from one round trip
# within a zone to the longest statement timeout.
_BUCKET_COUNT = 13
_BUCKET_BOUNDS_MS = tuple(2**exponent for exponent in range(_BUCKET_COUNT))
_PREFIX = 'jacinthhaven'


# The library takes 55 ms of a core to import, during which nothing else runs.
# After a loss of power all clients come back within the first seconds.
_IMPORT_DELAY_MS = 10_000
_MAX_POSTPONED = 100_000


class _Early:
    """Updates made before the library is imported.

    Attributes:
      counts: Amounts by name and label.
      gauges: Levels by name.
      durations: Name, label and milliseconds, up to `_MAX_POSTPONED`.
    """

    def __init__(self) -> None:
        self.counts: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self.gauges: dict[str, float] = {}
        self.durations: list[tuple[str, str, float]] = []

    def observe(self, name: str, label: str, duration_ms: float) -> None:
        """Add a duration unless there are too many."""
        if len(self.durations) < _MAX_POSTPONED:
            self.durations.append((name, label, duration_ms))


class MetricsPage:
    """Metrics of one process and the HTTP server that exposes them.

    Attributes:
      library: Module `prometheus_client`, or None until it is imported.
      early: Updates made before the import.
      more_lines: Returns lines of the text format that follow the others.
    """

    def __init__(self, loop: poller.Poller) -> None:
        """Create an empty page whose server does not listen yet."""
        self.library: typing.Any = None
        self.registry: typing.Any = None
        self.early = _Early()
        self.counters: dict[str, typing.Any] = {}
        self.histograms: dict[str, typing.Any] = {}
        self.gauges: dict[str, typing.Any] = {}
        self.more_lines: typing.Callable[[], typing.Iterable[str]] = tuple
        self.server = http_server.Server(loop, self._on_request)
        loop.call_later(_IMPORT_DELAY_MS, self.load)

    def load(self) -> None:
        """Import the library and apply the postponed updates."""
        if self.library is not None:
            return
        self.library = importlib.import_module('prometheus_client')
        self.registry = self.library.CollectorRegistry()
        for (name, label), amount in self.early.counts.items():
            self.count(name, label, amount)
        for gauge_name, level in self.early.gauges.items():
            self.gauge(gauge_name, level)
        for duration in self.early.durations:
            self.observe(*duration)
        self.early = _Early()

    def count(self, name: str, label: str, amount: int = 1) -> None:
        """Increase a counter."""
        if self.library is None:
            self.early.counts[name, label] += amount
            return
        counter = self.counters.get(name)
        if counter is None:
            counter = self.library.Counter(
                f'{_PREFIX}_{name}',
                name,
                ['kind'],
                registry=self.registry,
            )
            self.counters[name] = counter
        counter.labels(label).inc(amount)

    def observe(self, name: str, label: str, duration_ms: float) -> None:
        """Add a duration in milliseconds to a histogram."""
        if self.library is None:
            self.early.observe(name, label, duration_ms)
            return
        histogram = self.histograms.get(name)
        if histogram is None:
            histogram = self.library.Histogram(
                f'{_PREFIX}_{name}',
                name,
                ['kind'],
                buckets=_BUCKET_BOUNDS_MS,
                registry=self.registry,
            )
            self.histograms[name] = histogram
        histogram.labels(label).observe(duration_ms)

    def gauge(self, name: str, level: float) -> None:
        """Set a gauge to its current value."""
        if self.library is None:
            self.early.gauges[name] = level
            return
        gauge = self.gauges.get(name)
        if gauge is None:
            gauge = self.library.Gauge(
                f'{_PREFIX}_{name}',
                name,
                registry=self.registry,
            )
            self.gauges[name] = gauge
        gauge.set(level)

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        self.load()
        lines = ''.join(f'{line}\n' for line in self.more_lines())
        return self.library.generate_latest(self.registry) + lines.encode()

    def _on_request(self, exchange: http_server.Exchange) -> None:
        exchange.respond(http.HTTPStatus.OK, self.render())
