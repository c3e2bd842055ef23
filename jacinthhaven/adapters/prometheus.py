"""Counters and latency histograms served as text over HTTP."""

import functools
import http
import importlib
import typing

from jacinthhaven.adapters import http_server, poller

# Bounds of the histograms in milliseconds: from one round trip within a
# zone to the longest timeout of a statement.
_BOUNDS = 13
_BOUNDS_MS = tuple(2**power for power in range(_BOUNDS))
_PREFIX = 'jacinthhaven'


# The library takes long to import; a restarted process serves first.
_LOAD_MS = 1500
_MAX_EARLY = 100_000


class MetricsPage:
    """Metrics of one process and the page that shows them.

    Attributes:
      library: Metrics library, once it is loaded.
      early: Updates from before that.
    """

    def __init__(self, loop: poller.Poller) -> None:
        """Create an empty page."""
        self.library: typing.Any = None
        self.registry: typing.Any = None
        self.early: list[typing.Callable[[], None]] = []
        self.counters: dict[str, typing.Any] = {}
        self.histograms: dict[str, typing.Any] = {}
        self.gauges: dict[str, typing.Any] = {}
        self.server = http_server.Server(loop, self._on_request)
        loop.call_later(_LOAD_MS, self.load)

    def load(self) -> None:
        """Load the library and make the early updates."""
        if self.library is not None:
            return
        self.library = importlib.import_module('prometheus_client')
        self.registry = self.library.CollectorRegistry()
        for update in self.early:
            update()
        self.early = []

    def count(self, name: str, label: str, amount: int = 1) -> None:
        """Increase a counter."""
        if self._postpone(functools.partial(self.count, name, label, amount)):
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

    def observe(self, name: str, label: str, spent_ms: float) -> None:
        """Add a time to a histogram."""
        if self._postpone(
            functools.partial(self.observe, name, label, spent_ms),
        ):
            return
        histogram = self.histograms.get(name)
        if histogram is None:
            histogram = self.library.Histogram(
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
        if self._postpone(functools.partial(self.gauge, name, level)):
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
        """Return all metrics as text."""
        self.load()
        return self.library.generate_latest(self.registry)

    def _postpone(self, update: typing.Callable[[], None]) -> bool:
        if self.library is not None:
            return False
        if len(self.early) < _MAX_EARLY:
            self.early.append(update)
        return True

    def _on_request(self, exchange: http_server.Exchange) -> None:
        exchange.respond(http.HTTPStatus.OK, self.render())
