"""Calls of one node to the store, which may be restored from an older copy.

The era of the store rises with each restore.
"""

import functools
import typing

from jacinthhaven.records import store
from jacinthhaven.sql import ports, records

OnReply = typing.Callable[[typing.Any], None]


class StoreCalls:
    """Calls of one node to the store.

    Attributes:
      era: Era of the store; 0 while unknown.
    """

    def __init__(
        self,
        platform: ports.Platform,
        journal: ports.Journal,
    ) -> None:
        """Start without knowing the era.

        Args:
          platform: Calls to the store.
          journal: Log and metrics.
        """
        self.platform = platform
        self.journal = journal
        self.era = 0

    def call(self, request: store.Request, on_reply: OnReply) -> int:
        """Call the store; the callback gets a reply or a failure.

        Returns:
          Number of the call, to be passed to `end_watch` for a watch.
        """
        return self.platform.call(
            request,
            functools.partial(self._on_answer, on_reply),
        )

    def use_way(self, node: records.Address | None) -> None:
        """Send the next calls through another node, or directly."""
        self.platform.use_way(node)

    def end_watch(self, number: int) -> None:
        """End a watch; nothing is reported about it afterwards."""
        self.platform.end_watch(number)

    def _on_answer(
        self,
        on_reply: OnReply,
        era: int,
        reply: typing.Any,
    ) -> None:
        if era and era != self.era:
            self.journal.write(
                'store_era',
                {'era': era, 'previous': self.era},
            )
            self.era = era
        on_reply(reply)
