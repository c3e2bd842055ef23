"""Way on which a node reaches the store: directly, or through another node.

The store may refuse some nodes while it serves the others. A node that the
store refuses sends its calls through one that reaches it, so that it learns
the configuration and may confirm terms also if it has just started.
"""

import random

from jacinthhaven.sql import records

# Nodes that are tried after each failure of the direct way.
_MAX_TRIED = 3
# Time after which the direct way is tried again.
_DIRECT_RETRY_MS = 8000


class StoreRoutes:
    """Choice of the way to the store.

    Attributes:
      nodes: Addresses of other nodes that may reach the store.
      through: Node through which calls are sent, or None for the direct way.
      untried: Nodes to be tried after the present way has failed.
      direct_ms: Time at which the direct way is tried again.
    """

    def __init__(
        self,
        nodes: tuple[records.Address, ...],
        rng: random.Random,
    ) -> None:
        """Start with the direct way.

        Args:
          nodes: Nodes that are known from the settings.
          rng: Chooses among the nodes.
        """
        self.nodes = nodes
        self.rng = rng
        self.through: records.Address | None = None
        self.untried: list[records.Address] = []
        self.direct_ms = 0

    def update_nodes(self, nodes: tuple[records.Address, ...]) -> None:
        """Set the nodes that may reach the store, unless there are none."""
        self.nodes = nodes or self.nodes

    def choose(self, now_ms: int) -> records.Address | None:
        """Return the way of the next call."""
        if self.through is not None and now_ms >= self.direct_ms:
            # If the direct way fails, this node is the first one again.
            self.untried = [self.through, *self.untried]
            self.through = None
            self.direct_ms = now_ms + _DIRECT_RETRY_MS
        return self.through

    def on_success(self, way: records.Address | None) -> None:
        """Stay with a way on which a call has succeeded."""
        if way == self.through and way is None:
            self.untried = []

    def on_failure(self, way: records.Address | None, now_ms: int) -> bool:
        """Turn to another way after a failed call.

        Args:
          way: Way of the failed call.
          now_ms: Current time.

        Returns:
          Whether there is another way, to be tried without a pause.
        """
        if way != self.through:
            # Another call has failed on the same way before.
            return True
        if way is None:
            self.direct_ms = now_ms + _DIRECT_RETRY_MS
            if not self.untried:
                count = min(_MAX_TRIED, len(self.nodes))
                self.untried = self.rng.sample(self.nodes, count)
        if self.untried:
            self.through = self.untried.pop(0)
            return True
        self.through = None
        return False
