"""Control connection to one instance: status long polls and orders.

One connection of the slot's share is reserved for control, so that a
promotion does not wait for statements. Orders go before the next status
request; a status request returns within its wait time at the latest.
"""

import collections
import dataclasses
import itertools
import typing

from jacinthhaven.decide import messages
from jacinthhaven.kernel import failures
from jacinthhaven.records import backend

_FIRST_BACKOFF_MS = 50
_LAST_BACKOFF_MS = 500
# An unanswered call after this time means that the connection's network
# path may be gone without notice; a new connection tries again.
STALLED_MS = 3000


@dataclasses.dataclass(slots=True)
class StatusArrived:
    """Result of a control reply: a status response.

    Attributes:
      status: Status of the instance.
      asked_ms: When the request was sent.
      waited_ms: Longest time that the instance was asked to wait.
    """

    status: backend.InstanceStatus
    asked_ms: int
    waited_ms: int


@dataclasses.dataclass(slots=True)
class OrderAnswered:
    """Result of a control reply or loss: the answer to an order."""

    order: messages.InstanceOrder
    reply: backend.Reply | failures.Failure


class ControlChannel:
    """Control connection of an owner to one instance."""

    def __init__(
        self,
        instance: str,
        slot: backend.ConnectRequest,
        numbers: itertools.count,
        wait_ms: int,
    ) -> None:
        """Create a channel that is not connected.

        Args:
          instance: Name of the instance.
          slot: Slot and epoch of the connection.
          numbers: Allocator of connection and call numbers of the process.
          wait_ms: Longest time that a status request may wait.
        """
        self.instance = instance
        self.slot = slot
        self.numbers = numbers
        self.wait_ms = wait_ms
        self.connection = 0
        self.opened = False
        self.call = 0
        self.sent_ms = 0
        self.seen = 0
        self.order: messages.InstanceOrder | None = None
        self.orders: collections.deque[messages.InstanceOrder] = (
            collections.deque()
        )
        self.retry_at_ms = 0
        self.backoff_ms = 0

    def tick(self, now_ms: int) -> list[typing.Any]:
        """Connect, reconnect a stalled connection, or send the next call."""
        if self.connection == 0:
            return self._connect(now_ms)
        if self.call and now_ms - self.sent_ms > STALLED_MS + self.wait_ms:
            return [
                messages.BackendClose(self.connection),
                *self.on_lost(now_ms),
            ]
        return self.send_next(now_ms)

    def add_order(self, order: messages.InstanceOrder) -> None:
        """Queue an order; a repeated waiting order is dropped."""
        if order not in self.orders:
            self.orders.append(order)

    def on_opened(self, now_ms: int) -> list[typing.Any]:
        """Start to send calls."""
        self.opened = True
        self.call = 0
        self.backoff_ms = 0
        self.sent_ms = now_ms
        self.seen = 0
        return self.send_next(now_ms)

    def on_lost(self, now_ms: int) -> list[OrderAnswered]:
        """Forget the connection and report the order in flight as lost."""
        doubled = max(_FIRST_BACKOFF_MS, 2 * self.backoff_ms)
        self.backoff_ms = min(doubled, _LAST_BACKOFF_MS)
        self.retry_at_ms = now_ms + self.backoff_ms
        self.connection = 0
        self.opened = False
        self.call = 0
        lost = [self.order] if self.order else []
        lost.extend(self.orders)
        self.order = None
        self.orders.clear()
        failure = failures.CONNECTION_LOST.because('control connection lost')
        return [OrderAnswered(order, failure) for order in lost]

    def on_reply(
        self,
        message: messages.BackendReply,
        now_ms: int,
    ) -> StatusArrived | OrderAnswered | None:
        """Accept the answer to the call in flight.

        Returns:
          What arrived, or None for a late answer or a refused status.
        """
        if message.number != self.call:
            return None
        self.call = 0
        order = self.order
        self.order = None
        if order is not None:
            return OrderAnswered(order, message.reply)
        if isinstance(message.reply, backend.InstanceStatus):
            self.seen = message.reply.version
            return StatusArrived(message.reply, self.sent_ms, self.wait_ms)
        return None

    def send_next(self, now_ms: int) -> list[typing.Any]:
        """Send the next order or status request if nothing is in flight."""
        if not self.opened or self.call:
            return []
        self.call = next(self.numbers)
        self.sent_ms = now_ms
        request: backend.Request = backend.StatusRequest(
            self.seen,
            self.wait_ms,
        )
        if self.orders:
            self.order = self.orders.popleft()
            request = self.order.request
        return [messages.BackendCall(self.connection, self.call, request)]

    def _connect(self, now_ms: int) -> list[typing.Any]:
        if now_ms < self.retry_at_ms:
            return []
        self.connection = next(self.numbers)
        self.call = self.connection
        self.sent_ms = now_ms
        return [
            messages.BackendOpen(self.connection, self.instance, self.slot),
        ]
