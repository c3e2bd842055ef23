"""Course of the planned stop of one process.

A statement that the process has taken is always answered before it exits. The
later it arrives, the less can still be done for it:

- At first all work goes on. Inactive sessions are closed, and their clients
  reconnect to other nodes.
- In the second half of the grace period, open transactions are rolled back and new
  ones are refused. Other sessions are closed with their next answer.
- Shortly before the exit, statements that need an instance are refused.
- At the exit, what still runs is answered by what is certain about it.
"""

import typing

from jacinthhaven.sql import (
    expiry,
    gateway,
    lending,
    ports,
    relaying,
    statements,
)

# How long a stopping process accepts new sessions: the load balancer needs two
# failed health checks before it stops sending them.
ACCEPT_AFTER_STOP_MS = 2200
# Fraction of the grace period after which open transactions are rolled back.
_TRANSACTION_GRACE_SHARE = 0.5
# Time reserved at the end of the grace period for the shutdown itself.
_GRACE_RESERVE_MS = 700
# Time before the exit in which no statement is sent to an instance any more.
_REFUSE_BEFORE_EXIT_MS = 1000

_BEGINS = frozenset((statements.Verb.BEGIN, statements.Verb.BEGIN_READ))
_NEW_WORK = _BEGINS | {
    statements.Verb.READ,
    statements.Verb.WRITE,
    statements.Verb.EXECUTE,
}


class PlannedStop:
    """Planned stop of one process.

    Attributes:
      began_ms: When it began, or None.
      over: Whether the process may exit.
    """

    def __init__(
        self,
        grace_ms: int,
        sessions: gateway.Gateway,
        relay: relaying.Relay,
        lender: lending.Lender,
        clients: ports.Clients,
    ) -> None:
        """Prepare a stop that has not begun.

        Args:
          grace_ms: Time between the signal to stop and the end by force.
          sessions: Sessions that this node executes.
          relay: Sessions that other nodes execute.
          lender: Links that other nodes use.
          clients: Connections of clients.
        """
        self.grace_ms = grace_ms
        self.gateway = sessions
        self.relay = relay
        self.lender = lender
        self.clients = clients
        self.began_ms: int | None = None
        self.over = False

    def begin(self, now_ms: int) -> bool:
        """Begin the stop; return False if it has begun already."""
        if self.began_ms is not None:
            return False
        self.began_ms = now_ms
        self.gateway.drain(now_ms)
        self.relay.close_inactive(now_ms)
        return True

    def tick(self, now_ms: int) -> None:
        """Take the steps that are due."""
        if self.began_ms is None or self.over:
            return
        elapsed_ms = now_ms - self.began_ms
        exit_ms = self.grace_ms - _GRACE_RESERVE_MS
        if elapsed_ms >= ACCEPT_AFTER_STOP_MS:
            self.clients.stop_accepting()
        if elapsed_ms >= self.grace_ms * _TRANSACTION_GRACE_SHARE:
            self._close_sessions(now_ms)
        if elapsed_ms >= exit_ms - _REFUSE_BEFORE_EXIT_MS:
            self.gateway.refused_verbs = _NEW_WORK
        if elapsed_ms >= exit_ms:
            self.relay.end_sessions()
            self.gateway.end_sessions(now_ms)
            self.over = True
        elif elapsed_ms >= ACCEPT_AFTER_STOP_MS:
            self.over = not self._is_busy()

    def _close_sessions(self, now_ms: int) -> None:
        """Roll back transactions, and close sessions with their next answer."""
        self.gateway.close_after_answer = True
        self.gateway.refused_verbs |= _BEGINS
        expiry.abort_transactions(self.gateway, now_ms)
        self.relay.abort_transactions(now_ms)
        self.lender.end_unused(now_ms)

    def _is_busy(self) -> bool:
        users: tuple[typing.Sized, ...] = (
            self.gateway.sessions,
            self.relay.sessions,
            self.lender.loans,
        )
        return any(users)
