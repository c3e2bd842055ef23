"""Connections of other nodes to the store through this one."""

import functools
import typing

from jacinthhaven.adapters import poller, streams
from jacinthhaven.platform import connections
from jacinthhaven.sql import records

# Longer than a poll of a watch waits, after which bytes pass in both directions.
# Otherwise the user has vanished without a close.
IDLE_MS = 30_000
_IDLE_CHECK_MS = 5000


class _Tunnel:
    """Both connections of one tunnel.

    Attributes:
      passed_ms: When bytes last passed in either direction.
    """

    __slots__ = ('poller', 'node', 'upstream', 'passed_ms')

    def __init__(
        self,
        loop: poller.Poller,
        node: streams.Stream,
        upstream: streams.Stream,
    ) -> None:
        """Connect both streams with each other."""
        self.poller = loop
        self.node = node
        self.upstream = upstream
        self.passed_ms = loop.clock.now_ms()
        node.on_bytes = functools.partial(self.forward, upstream)
        node.on_close = upstream.finish
        upstream.on_bytes = functools.partial(self.forward, node)
        upstream.on_close = node.finish
        loop.call_later(_IDLE_CHECK_MS, self._close_if_idle)

    def forward(self, target: streams.Stream, chunk: bytes) -> None:
        """Pass bytes on."""
        self.passed_ms = self.poller.clock.now_ms()
        target.send(chunk)

    def _close_if_idle(self) -> None:
        if self.node.closed and self.upstream.closed:
            return
        if self.poller.clock.now_ms() - self.passed_ms >= IDLE_MS:
            self.node.close()
            self.upstream.close()
            return
        self.poller.call_later(_IDLE_CHECK_MS, self._close_if_idle)


class StoreTunnels:
    """Passes bytes between other nodes and the store, unchanged.

    Attributes:
      may_open: Returns whether this node reaches the store.
      opened: Number of tunnels that were opened.
    """

    def __init__(self, loop: poller.Poller, store: records.Address) -> None:
        """Start without tunnels.

        Args:
          loop: Poller of the process.
          store: Address of the store.
        """
        self.poller = loop
        self.store = store
        self.may_open: typing.Callable[[], bool] = _never
        self.opened = 0

    def open(self, node: streams.Stream, first: bytes) -> None:
        """Connect another node to the store, or close its connection.

        Args:
          node: Connection of the node.
          first: Bytes for the store that were already received.
        """
        if not self.may_open():
            node.close()
            return
        self.opened += 1
        upstream = streams.connect(self.poller, self.store)
        connections.limit_silence(upstream)
        tunnel = _Tunnel(self.poller, node, upstream)
        if first:
            tunnel.forward(upstream, first)


def _never() -> bool:
    """Return that no tunnel may be opened; default of an unset callback."""
    return False
