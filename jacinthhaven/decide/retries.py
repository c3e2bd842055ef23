"""Retry budget: a token bucket filled by requests and emptied by retries.

After a failover all requests would be retried at once. The budget limits
the extra load to a share of the normal load plus a small reserve.
"""

_RESERVE = 10  # Retries allowed before any request was counted.


class RetryBudget:
    """Allows retries as a share of the requests counted."""

    __slots__ = ('tokens', 'capacity')

    def __init__(self, capacity: int = 100) -> None:
        """Start with a small reserve.

        Args:
          capacity: Maximum number of retries that can accumulate.
        """
        self.tokens = float(_RESERVE)
        self.capacity = capacity

    def deposit(self, ratio: float) -> None:
        """Count one request that earns `ratio` retries."""
        self.tokens = min(self.tokens + ratio, self.capacity)

    def withdraw(self) -> bool:
        """Take one retry; return whether the budget allowed it."""
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True
