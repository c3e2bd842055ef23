"""Token bucket of an accountant, and the reserve of one node."""

import collections
import math

_MS_PER_S = 1000


class TokenBucket:
    """Bucket whose granted tokens count until they expire.

    The sum of the level and of the granted tokens never exceeds the capacity
    by refilling. So no more than capacity + rate x W tokens are spent in any
    window W, whenever their holders spend them.

    Attributes:
      rate_per_s: Tokens that are added per second.
      capacity: Largest sum of the level and the granted tokens.
      level: Tokens that can be granted or taken.
      granted: Expiry and number of granted tokens, the earliest first.
      outstanding: Sum of the granted tokens.
      advanced_ms: Time up to which the bucket is refilled.
    """

    __slots__ = (
        'rate_per_s',
        'capacity',
        'level',
        'granted',
        'outstanding',
        'advanced_ms',
    )

    def __init__(self) -> None:
        """Create an empty bucket without a rate."""
        self.rate_per_s: float = 0
        self.capacity: float = 0
        self.level: float = 0
        self.granted: collections.deque[tuple[int, int]] = collections.deque()
        self.outstanding = 0
        self.advanced_ms = 0

    def resize(self, rate_per_s: float, capacity: float, now_ms: int) -> None:
        """Set the rate and the capacity; no tokens are added at once."""
        self.advance(now_ms)
        self.rate_per_s = rate_per_s
        self.capacity = capacity
        self._refill(now_ms)

    def empty(self, from_ms: int) -> None:
        """Remove the tokens that are not granted, and refill from a time on."""
        self.level = 0
        self.advanced_ms = from_ms

    def advance(self, now_ms: int) -> None:
        """Refill the bucket and remove the expired tokens.

        Each expiry is a step of its own: until then, the granted tokens
        leave no room for new ones.
        """
        while self.granted and self.granted[0][0] <= now_ms:
            until_ms, tokens = self.granted.popleft()
            self._refill(until_ms)
            self.outstanding -= tokens
        self._refill(now_ms)

    def take(self, now_ms: int) -> bool:
        """Take one token that is spent at once, if there is one."""
        self.advance(now_ms)
        if self.level < 1:
            return False
        self.level -= 1
        return True

    def grant(self, wanted: int, until_ms: int, now_ms: int) -> int:
        """Return how many of the wanted tokens are granted.

        Args:
          wanted: Number of tokens.
          until_ms: Time at which they have expired; not earlier than that of
            the tokens granted before.
          now_ms: Current time.
        """
        self.advance(now_ms)
        tokens = min(wanted, math.floor(self.level))
        if tokens <= 0:
            return 0
        self.level -= tokens
        self.outstanding += tokens
        self.granted.append((until_ms, tokens))
        return tokens

    def next_token_ms(self) -> int:
        """Return the time until the next token, after an `advance`."""
        missing = max(1 - self.level, 0)
        return math.ceil(missing * _MS_PER_S / self.rate_per_s)

    def _refill(self, now_ms: int) -> None:
        elapsed_ms = now_ms - self.advanced_ms
        if elapsed_ms > 0:
            self.level += self.rate_per_s * elapsed_ms / _MS_PER_S
            self.advanced_ms = now_ms
        room = max(self.capacity - self.outstanding, 0)
        self.level = min(self.level, room)


class Reserve:
    """Operations that a node may admit without tokens in any window.

    Attributes:
      used_ms: Times of the admitted operations in the last window.
    """

    __slots__ = ('window_ms', 'used_ms')

    def __init__(self, window_ms: int) -> None:
        """Create a reserve that is unused."""
        self.window_ms = window_ms
        self.used_ms: collections.deque[int] = collections.deque()

    def left(self, size: int, now_ms: int) -> int:
        """Return how many of the operations of a window are left."""
        oldest_ms = now_ms - self.window_ms
        while self.used_ms and self.used_ms[0] < oldest_ms:
            self.used_ms.popleft()
        return size - len(self.used_ms)

    def use(self, now_ms: int) -> None:
        """Count one operation, which must be left."""
        self.used_ms.append(now_ms)
