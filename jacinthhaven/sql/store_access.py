"""Calls of one node to the store, with a backoff and a choice of the way."""

import functools
import typing

from jacinthhaven.kernel import backoff, failures
from jacinthhaven.records import store
from jacinthhaven.sql import ports, records, store_calls, store_routes

_RETRY_FIRST_MS = 150
_RETRY_LAST_MS = 800
_IDLE_RETRY_LAST_MS = 4000
# Shorter limit until the first reply, since no client can be served before it.
_START_RETRY_LAST_MS = 200

OnReply = typing.Callable[[typing.Any], None]


class StoreAccess:
    """Access of one node to the store.

    Attributes:
      calls: Calls to the store.
      routes: Ways to the store.
      connected: Whether the last call succeeded.
      urgent: Whether the node owns services, so that its calls are urgent.
      on_change: Called when `connected` has changed.
      now_ms: Current time.
    """

    def __init__(
        self,
        calls: store_calls.StoreCalls,
        routes: store_routes.StoreRoutes,
        journal: ports.Journal,
    ) -> None:
        """Create an access that was not used yet.

        Args:
          calls: Calls to the store.
          routes: Ways to the store.
          journal: Log and metrics.
        """
        self.calls = calls
        self.routes = routes
        self.journal = journal
        self.backoff = backoff.Backoff(
            routes.rng,
            _RETRY_FIRST_MS,
            _START_RETRY_LAST_MS,
        )
        self.connected = False
        self.urgent = False
        self.on_change: typing.Callable[[], None] = _ignore
        self.now_ms = 0

    @property
    def direct(self) -> bool:
        """Return whether other nodes may reach the store through this one."""
        return self.connected and self.routes.through is None

    @property
    def ready(self) -> bool:
        """Return whether a call may be sent now."""
        return self.now_ms >= self.backoff.retry_ms

    def retry_now(self) -> None:
        """Allow the next call at once."""
        self.backoff.retry_ms = 0

    def call(self, request: store.Request, on_reply: OnReply) -> int:
        """Call the store; the callback gets None after a failure.

        Returns:
          Number of the call.
        """
        self.journal.count('store_calls', type(request).__name__)
        way = self.routes.choose(self.now_ms)
        self.calls.use_way(way)
        return self.calls.call(
            request,
            functools.partial(self._on_reply, way, on_reply),
        )

    def _on_reply(
        self,
        way: records.Address | None,
        on_reply: OnReply,
        reply: typing.Any,
    ) -> None:
        if isinstance(reply, store.Restored):
            # The way works; the call has to be made again.
            on_reply(None)
            return
        failed = isinstance(reply, failures.Failure)
        if failed == self.connected:
            self.connected = not failed
            self.journal.write(
                'store_lost' if failed else 'store_connected',
                {
                    'reason': reply.reason if failed else '',
                    'through': way[0] if way else '',
                },
            )
            self.on_change()
        if failed:
            self._retry_later(way)
            on_reply(None)
            return
        self.routes.on_success(way)
        # The calls of a node without a service are not urgent.
        self.backoff.last_ms = (
            _RETRY_LAST_MS if self.urgent else _IDLE_RETRY_LAST_MS
        )
        self.backoff.reset()
        on_reply(reply)

    def _retry_later(self, way: records.Address | None) -> None:
        """Wait before the next call, unless there is another way."""
        if not self.routes.on_failure(way, self.now_ms):
            self.backoff.fail(self.now_ms)


def _ignore() -> None:
    """Do nothing; default of an unset callback."""
