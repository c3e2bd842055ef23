"""Bounded exponential delay with jitter between attempts.

The jitter keeps the members of a cluster from retrying at the same time
after an outage that all of them saw.
"""

import random


class Backoff:
    """Delay before the next attempt, doubled with each failure.

    Attributes:
      retry_ms: When the next attempt is allowed.
    """

    __slots__ = ('rng', 'first_ms', 'last_ms', 'limit_ms', 'retry_ms')

    def __init__(
        self,
        rng: random.Random,
        first_ms: int = 100,
        last_ms: int = 5000,
    ) -> None:
        """Allow the first attempt at once.

        Args:
          rng: Source of the jitter.
          first_ms: Longest delay after one failure.
          last_ms: Longest delay after any number of failures.
        """
        self.rng = rng
        self.first_ms = first_ms
        self.last_ms = last_ms
        self.limit_ms = first_ms
        self.retry_ms = 0

    def fail(self, now_ms: int) -> None:
        """Delay the next attempt by half to all of the current limit."""
        delay_ms = self.rng.randint(self.limit_ms // 2, self.limit_ms)
        self.retry_ms = now_ms + delay_ms
        self.limit_ms = min(self.limit_ms * 2, self.last_ms)

    def reset(self) -> None:
        """Allow the next attempt at once after a success."""
        self.limit_ms = self.first_ms
        self.retry_ms = 0
