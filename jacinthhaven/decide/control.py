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

_INITIAL_BACKOFF_MS = 50
_MAX_BACKOFF_MS = 500
# If a reply is overdue by this time, the network path may have failed without
# an error on the connection, so the channel opens a new one.
STALL_TIMEOUT_MS = 3000


@dataclasses.dataclass(slots=True)
class StatusReceived:
    """Status response that a control connection received.

    Attributes:
      status: Status of the instance.
      asked_ms: When the request was sent.
      max_wait_ms: Longest time that the instance was asked to wait.
    """

    status: backend.InstanceStatus
    asked_ms: int
    max_wait_ms: int


@dataclasses.dataclass(slots=True)
class OrderAnswered:
    """Answer to an order, or the failure that ended it."""

    order: messages.InstanceOrder
    reply: backend.Reply | failures.Failure


class ControlChannel:
    """Control connection of an owner to one instance."""

    def __init__(
        self,
        instance: str,
        connect_request: backend.ConnectRequest,
        numbers: itertools.count,
        wait_ms: int,
    ) -> None:
        """Create a channel that is not connected.

        Args:
          instance: Name of the instance.
          connect_request: Slot and epoch of the connection.
          numbers: Process-wide counter of connection and call numbers.
          wait_ms: Longest time that a status request may wait.
        """
        self.instance = instance
        self.connect_request = connect_request
        self.numbers = numbers
        self.wait_ms = wait_ms
        self.connection = 0
        self.opened = False
        self.call = 0
        self.sent_ms = 0
        self.seen_version = 0
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
        if (
            self.call
            and now_ms - self.sent_ms > STALL_TIMEOUT_MS + self.wait_ms
        ):
            return [
                messages.BackendClose(self.connection),
                *self.on_lost(now_ms),
            ]
        return self.send_next(now_ms)

    def add_order(self, order: messages.InstanceOrder) -> None:
        """Queue an order unless an equal one is already queued."""
        if order not in self.orders:
            self.orders.append(order)

    def on_opened(self, now_ms: int) -> list[typing.Any]:
        """Send the first call on the new connection."""
        self.opened = True
        self.call = 0
        self.backoff_ms = 0
        self.sent_ms = now_ms
        self.seen_version = 0
        return self.send_next(now_ms)

    def on_lost(self, now_ms: int) -> list[OrderAnswered]:
        """Drop the connection; fail the order in flight and queued ones."""
        doubled = max(_INITIAL_BACKOFF_MS, 2 * self.backoff_ms)
        self.backoff_ms = min(doubled, _MAX_BACKOFF_MS)
        self.retry_at_ms = now_ms + self.backoff_ms
        self.connection = 0
        self.opened = False
        self.call = 0
        failed_orders = [self.order] if self.order else []
        failed_orders.extend(self.orders)
        self.order = None
        self.orders.clear()
        failure = failures.CONNECTION_LOST.because('control connection lost')
        return [OrderAnswered(order, failure) for order in failed_orders]

    def on_reply(
        self,
        message: messages.BackendReply,
        now_ms: int,
    ) -> StatusReceived | OrderAnswered | None:
        """Accept the answer to the call in flight.

        Returns:
          The status or the answer to an order; None for a late answer or a
          refused status request.
        """
        if message.number != self.call:
            return None
        self.call = 0
        order = self.order
        self.order = None
        if order is not None:
            return OrderAnswered(order, message.reply)
        if isinstance(message.reply, backend.InstanceStatus):
            self.seen_version = message.reply.version
            return StatusReceived(message.reply, self.sent_ms, self.wait_ms)
        return None

    def send_next(self, now_ms: int) -> list[typing.Any]:
        """Send the next order or status request if nothing is in flight."""
        if not self.opened or self.call:
            return []
        self.call = next(self.numbers)
        self.sent_ms = now_ms
        request: backend.Request = backend.StatusRequest(
            self.seen_version,
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
            messages.BackendOpen(
                self.connection, self.instance, self.connect_request
            ),
        ]
