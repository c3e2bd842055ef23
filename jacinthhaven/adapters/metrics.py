"""Counters and gauges, aggregated in memory and sent to statsd.

One call of the statsd client costs about 7 us because it sends a datagram.
A counter is increased several times for each statement, so increments are
added up here and sent in a few datagrams once per interval.
"""

import abc
import collections

import statsd

from jacinthhaven.adapters import poller
from jacinthhaven.decide import messages
from jacinthhaven.records import settings

# Payload that fits into one Ethernet frame with IPv6 and UDP headers.
_MAX_DATAGRAM_BYTES = 1432


class Metrics(abc.ABC):
    """Destination of counters and gauges."""

    @abc.abstractmethod
    def count(self, message: messages.Count) -> None:
        """Increase a counter."""

    @abc.abstractmethod
    def gauge(self, name: str, level: float) -> None:
        """Set a gauge to its current value."""

    @abc.abstractmethod
    def flush(self) -> None:
        """Send all counters and gauges collected since the last call."""

    @abc.abstractmethod
    def close(self) -> None:
        """Send the last values and release the socket."""


class NoMetrics(Metrics):
    """Metrics of a process without a configured destination."""

    def count(self, message: messages.Count) -> None:
        """Ignore the increment."""

    def gauge(self, name: str, level: float) -> None:
        """Ignore the value."""

    def flush(self) -> None:
        """Send nothing."""

    def close(self) -> None:
        """Release nothing."""


class StatsdMetrics(Metrics):
    """Metrics sent to a statsd server by UDP.

    Attributes:
      counters: Increments since the last transmission.
      gauges: Last values set since the last transmission.
    """

    def __init__(
        self,
        config: settings.Statsd,
        loop: poller.Poller | None = None,
    ) -> None:
        """Open the socket and start the interval timer.

        Args:
          config: Address, name prefix and interval.
          loop: Poller that runs the timer; without one, only `flush` sends.
        """
        self.counters: dict[str, int] = collections.defaultdict(int)
        self.gauges: dict[str, float] = {}
        self.interval_ms = config.interval_ms
        self.loop = loop
        self.closed = False
        self.client = statsd.StatsClient(
            host=config.host,
            port=config.port,
            prefix=config.prefix,
            maxudpsize=_MAX_DATAGRAM_BYTES,
            ipv6=':' in config.host,
        )
        self._schedule()

    def count(self, message: messages.Count) -> None:
        """Add an increment to the counter's sum."""
        self.counters[message.name] += message.amount

    def gauge(self, name: str, level: float) -> None:
        """Store the value until the next transmission."""
        self.gauges[name] = level

    def flush(self) -> None:
        """Send sums and gauge values; lost datagrams are not sent again."""
        with self.client.pipeline() as pipeline:
            for name, amount in self.counters.items():
                pipeline.incr(name, amount)
            for gauge, level in self.gauges.items():
                pipeline.gauge(gauge, level)
        self.counters.clear()
        self.gauges.clear()

    def close(self) -> None:
        """Send the last values and close the socket."""
        if not self.closed:
            self.flush()
            self.closed = True
            self.client.close()

    def _schedule(self) -> None:
        if self.loop is not None:
            self.loop.call_later(self.interval_ms, self._on_timer)

    def _on_timer(self) -> None:
        if not self.closed:
            self.flush()
            self._schedule()


def open_metrics(
    config: settings.Statsd | None,
    loop: poller.Poller | None = None,
) -> Metrics:
    """Return the destination for the settings; without any, `NoMetrics`."""
    if config is None:
        return NoMetrics()
    return StatsdMetrics(config, loop)
