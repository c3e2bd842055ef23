"""Calls of one node to the store, which may be restored from an older copy.

A restore loses changes and all leases, and gives their numbers out again. What
a node knows from before it says nothing about the store any more. So nothing
counts that was asked before the node learned of the restore, however late the
answer comes, and no number of an earlier era is sent to the store.
"""

import functools
import typing

from jacinthhaven.kernel import failures
from jacinthhaven.records import history, store
from jacinthhaven.sql import ports, records

OnReply = typing.Callable[[typing.Any], None]


class StoreCalls:
    """Calls of one node to the store.

    Attributes:
      era: Newest era in an answer of the store; 0 while unknown.
      reported_era: Newest era that another node has reported.
      renewed: Whether all answers since that report are of that era.
      restores: How often this node has learned of a restore.
      on_restored: Called when the node learns of a restore: all numbers and
        leases that it has from the store are void.
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
        self.reported_era = 0
        self.renewed = False
        self.restores = 0
        self.on_restored: typing.Callable[[], None] = _ignore

    def call(self, request: store.Request, on_reply: OnReply) -> int:
        """Call the store; the callback gets a reply or a failure.

        If the store was restored since the call, the callback gets
        `store.Restored`; at once, if the request has a number of an earlier era.

        Returns:
          Number of the call, to be passed to `end_watch` for a watch.
        """
        if any(self._is_void(number) for number in _written_numbers(request)):
            on_reply(store.Restored())
            return 0
        return self.platform.call(
            request,
            functools.partial(self._on_answer, self.restores, on_reply),
        )

    def use_way(self, node: records.Address | None) -> None:
        """Send the next calls through another node, or directly."""
        self.platform.use_way(node)

    def end_watch(self, number: int) -> None:
        """End a watch; nothing is reported about it afterwards."""
        self.platform.end_watch(number)

    def on_report(self, era: int) -> None:
        """Handle the era in which another node has read from the store.

        A later era ends what this node knows. But only the store itself can
        set the era, so that a wrong report has no lasting effect.
        """
        if era <= max(self.era, self.reported_era):
            return
        self.reported_era = era
        self.renewed = True
        if self.era:
            self._log_era(era, 'node')
            self._give_up()

    def _on_answer(
        self,
        restores: int,
        on_reply: OnReply,
        era: int,
        reply: typing.Any,
    ) -> None:
        if era > self.era:
            self._set_era(era)
        # Without an answer, the reply is a failure in any case.
        answered = not isinstance(reply, failures.Failure)
        if (era or answered) and (restores != self.restores or era < self.era):
            on_reply(store.Restored())
            return
        if era:
            self.renewed = self.renewed and era >= self.reported_era
        on_reply(reply)

    def _set_era(self, era: int) -> None:
        previous = self.era
        self._log_era(era, 'store')
        self.era = era
        if previous and not (self.renewed and era == self.reported_era):
            self._give_up()

    def _give_up(self) -> None:
        """Give up all that this node knows from the store."""
        self.restores += 1
        self.on_restored()

    def _log_era(self, era: int, source: str) -> None:
        self.journal.write(
            'store_era',
            {'era': era, 'previous': self.era, 'source': source},
        )

    def _is_void(self, number: history.EraNumber) -> bool:
        return 0 < number and number.era < self.era


def _written_numbers(request: store.Request) -> list[history.EraNumber]:
    """Return the numbers on which the effect of a request depends."""
    if isinstance(request, (store.KeepAliveRequest, store.RevokeRequest)):
        return [request.lease]
    if not isinstance(request, store.SwapRequest):
        return []
    numbers = [compare.mod_revision for compare in request.compares]
    numbers.extend(
        change.lease
        for change in request.changes
        if isinstance(change, store.Put)
    )
    return numbers


def _ignore() -> None:
    """Do nothing; default of an unset callback."""
