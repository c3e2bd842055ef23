"""The store call that a component waits for, with a timeout.

Components that make one call at a time track it here, so that late replies to
abandoned calls are recognised and dropped.
"""

import typing

from jacinthhaven.decide import messages
from jacinthhaven.records import store

# A store that does not answer within this time is treated as down.
_TIMEOUT_MS = 5000


class PendingCall:
    """Tracks at most one call whose reply is awaited.

    Attributes:
      request: Request of the call; None if nothing is awaited.
      sent_ms: When it was sent.
    """

    __slots__ = ('numbers', 'number', 'request', 'sent_ms')

    def __init__(self, numbers: typing.Iterator[int]) -> None:
        """Start without a call.

        Args:
          numbers: Source of call numbers, shared within the process.
        """
        self.numbers = numbers
        self.number = 0
        self.request: store.Request | None = None
        self.sent_ms = 0

    def start(
        self,
        request: store.Request,
        now_ms: int,
    ) -> messages.StoreCall:
        """Return the call for a request and await its reply."""
        self.number = next(self.numbers)
        self.request = request
        self.sent_ms = now_ms
        return messages.StoreCall(self.number, request)

    def finish(self, reply: messages.StoreReply) -> store.Request | None:
        """Stop waiting if a reply matches; return its request, or None."""
        if self.request is None or reply.number != self.number:
            return None
        request = self.request
        self.request = None
        return request

    def expire(self, now_ms: int) -> bool:
        """Stop waiting if the reply is overdue; return whether it is."""
        if self.request is None or now_ms - self.sent_ms < _TIMEOUT_MS:
            return False
        self.request = None
        return True
