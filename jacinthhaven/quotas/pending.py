"""Requests of one node for the tokens of one customer."""

from jacinthhaven.quotas import limits

# Time that an operation waits for tokens at most. An answer that takes longer
# is taken as a sign that the accountant cannot be reached.
WAIT_MS = 60
# A request without an answer is repeated after this time.
REPEAT_MS = 15
# Requests without an answer after which the accountant counts as unreachable.
_MIN_TRIES = 3
# Interval of orders ahead, and of requests after the limit was used up.
INTERVAL_MS = 100


class Requests:
    """Requests that were sent, and whether the accountant answers them.

    Attributes:
      sent_ms: When the last request was sent.
      unanswered_ms: When the first request without an answer was sent, or None
        if the last one was answered.
      tries: Number of requests since then.
      silent: Whether the accountant did not answer in time, or cannot serve.
      blocked_until_ms: Time until which no more tokens are to be expected.
      by_number: When each request without an answer was sent.
    """

    __slots__ = (
        'sent_ms',
        'unanswered_ms',
        'tries',
        'silent',
        'blocked_until_ms',
        'by_number',
    )

    def __init__(self) -> None:
        """Start without requests."""
        self.by_number: dict[int, int] = {}
        self.sent_ms = -INTERVAL_MS
        self.reset()

    def reset(self) -> None:
        """Expect answers again, since another node is the accountant."""
        self.sent_ms -= INTERVAL_MS
        self.unanswered_ms: int | None = None
        self.tries = 0
        self.silent = False
        self.blocked_until_ms = 0

    def may_send(self, urgent: bool, now_ms: int) -> bool:
        """Return whether a request may be sent.

        Args:
          urgent: Whether an operation waits.
          now_ms: Current time.
        """
        since_ms = now_ms - self.sent_ms
        if self.unanswered_ms is not None:
            if since_ms < REPEAT_MS:
                return False
            late = now_ms - self.unanswered_ms >= WAIT_MS
            if late and self.tries >= _MIN_TRIES:
                self.unanswered_ms = None
                self.silent = True
        if now_ms < self.blocked_until_ms:
            return False
        prompt = urgent and not self.silent
        return prompt or since_ms >= INTERVAL_MS

    def wait_until_ms(self, asked_ms: int, now_ms: int) -> int | None:
        """Return until when an operation waits for tokens.

        Args:
          asked_ms: When it was asked for first.
          now_ms: Current time.

        Returns:
          The time at which it is to be asked for again, so that a lost request
          is repeated, or None if it does not wait.
        """
        last_ms = asked_ms + WAIT_MS
        if self.unanswered_ms is None or self.silent or now_ms >= last_ms:
            return None
        return min(last_ms, now_ms + REPEAT_MS)

    def on_sent(self, number: int, now_ms: int) -> None:
        """Note a request, and forget those whose tokens would have expired."""
        oldest_ms = now_ms - limits.TOKEN_LIFETIME_MS
        expired = [
            known
            for known, sent_ms in self.by_number.items()
            if sent_ms <= oldest_ms
        ]
        for known in expired:
            self.by_number.pop(known)
        self.by_number[number] = now_ms
        if self.unanswered_ms is None:
            self.unanswered_ms = now_ms
            self.tries = 0
        self.tries += 1
        self.sent_ms = now_ms

    def on_answer(self, number: int) -> int | None:
        """Return when a request was sent, or None if it is not known."""
        sent_ms = self.by_number.pop(number, None)
        if sent_ms is not None:
            self.unanswered_ms = None
            self.silent = False
        return sent_ms
