"""Connections of other nodes to the store through this one."""

import typing

from jacinthhaven.adapters import poller, streams
from jacinthhaven.platform import sockets
from jacinthhaven.sql import records


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
        sockets.limit_silence(upstream)
        node.on_bytes = upstream.send
        node.on_close = upstream.finish
        upstream.on_bytes = node.send
        upstream.on_close = node.finish
        if first:
            upstream.send(first)


def _never() -> bool:
    """Return that no tunnel may be opened; default of an unset callback."""
    return False
