"""Status requests to the primary of one service, and the search for it."""

import typing

from jacinthhaven.kernel import ranking
from jacinthhaven.sql import (
    commands,
    instances,
    leadership,
    pool,
)

# Time without a reply of the primary after which a node requests its status, so
# that a failure is detected without traffic too. The values are for the one
# node that checks often, for the other nodes, and for nodes that were told
# that another node cannot reach the primary.
_CHECK_MS = 800
_OTHERS_CHECK_MS = 5000
_REPORTED_CHECK_MS = 150

Ask = typing.Callable[
    [str, commands.Command, pool.OnReply, int],
    None,
]


class PrimaryCheck:
    """Check of one node that the primary of a service is alive.

    Attributes:
      check_ms: Time without a reply of the primary after which its status is
        requested.
      checked_ms: When the status of the primary was last requested.
      reported_unreachable: Whether another node reported that it cannot reach
        the primary.
    """

    def __init__(
        self,
        states: typing.Mapping[str, instances.InstanceState],
        leads: leadership.Leadership,
        ask: Ask,
    ) -> None:
        """Check often until the owners are known.

        Args:
          states: States of the instances by name.
          leads: Leader and term of the service as this node knows them.
          ask: Sends a control command to an instance.
        """
        self.states = states
        self.leadership = leads
        self.ask = ask
        self.check_ms = _CHECK_MS
        self.checked_ms = 0
        self.reported_unreachable = False

    def update_owners(
        self,
        service: str,
        owners: tuple[str, ...],
        node: str,
    ) -> None:
        """Let one of the owners check the primary often.

        Args:
          service: Name of the service.
          owners: Names of its owners.
          node: Name of this node.
        """
        checker = ranking.ranked(service, owners)[:1]
        checks_often = not owners or checker == [node]
        self.check_ms = _CHECK_MS if checks_often else _OTHERS_CHECK_MS

    def silent_ms(self, now_ms: int) -> int:
        """Return how long the presumed primary has not replied."""
        state = self.states.get(self.presumed_leader())
        return 0 if state is None else state.silent_for(now_ms)

    def presumed_leader(self) -> str:
        """Return the instance that should be primary, or '' if unknown."""
        entries = [state.entry for state in self.states.values()]
        return leadership.presumed_leader(self.leadership, entries)

    def tick(self, now_ms: int) -> None:
        """Request the status of a silent primary, or search for the primary."""
        self._check(now_ms)
        self._search(now_ms)

    def _check(self, now_ms: int) -> None:
        """Request the status of a primary that has not replied lately."""
        state = self.states.get(self.leadership.leader or '')
        if state is None:
            return
        wait_ms = self.check_ms
        if self.reported_unreachable:
            wait_ms = _REPORTED_CHECK_MS
        if now_ms - max(state.heard_ms, self.checked_ms) >= wait_ms:
            self.checked_ms = now_ms
            self.ask(state.entry.name, commands.AskStatus(), _ignore, now_ms)

    def _search(self, now_ms: int) -> None:
        silent = self.silent_ms(now_ms) >= instances.SUSPECT_MS
        if self.leadership.should_search(now_ms, silent=silent):
            for name in tuple(self.states):
                self.ask(name, commands.AskStatus(), _ignore, now_ms)


def _ignore(_reply: typing.Any) -> None:
    """Ignore the reply; the group reads the status in every reply."""
