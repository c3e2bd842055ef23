"""Tokens and reserve of one node for one customer."""

import collections
import math
import random
import typing

from jacinthhaven.quotas import accountant, buckets, limits, messages, pending

_MS_PER_S = 1000
# Tokens are ordered for the operations expected in this time.
_AHEAD_MS = 200
# Expected operations in the lifetime of a token from which on tokens are
# ordered ahead. With fewer, more than a fifth of the tokens would expire
# unspent, which takes operations from a customer that is near its limit.
_MIN_EXPECTED = 1.6
# Time over which the rate of the operations is averaged.
_AVERAGE_MS = 1000
# Part of the reserve that serves instead of waiting for a reply; the rest is
# kept for the time in which no accountant answers.
_PROMPT_PART = 0.5


class Admission(typing.NamedTuple):
    """Answer to an operation.

    Attributes:
      admitted: Whether it may be executed now.
      wait_until_ms: Time at which it has to be asked for again, unless
        `on_granted` is called before, or None.
      retry_ms: Time after which the client should try again, if the operation
        is refused, or None.
    """

    admitted: bool
    wait_until_ms: int | None = None
    retry_ms: int | None = None


ADMITTED = Admission(True)


class OperationRate:
    """Recent rate of the operations of a customer at one node."""

    __slots__ = ('per_s', 'updated_ms')

    def __init__(self) -> None:
        """Start without operations."""
        self.per_s: float = 0
        self.updated_ms = 0

    def count(self, now_ms: int) -> float:
        """Count one operation; return the rate per second."""
        elapsed_ms = now_ms - self.updated_ms
        if elapsed_ms:
            self.per_s *= math.exp(-elapsed_ms / _AVERAGE_MS)
            self.updated_ms = now_ms
        self.per_s += _MS_PER_S / _AVERAGE_MS
        return self.per_s


class Holder:
    """Stock, reserve and requests of one node for one customer.

    Attributes:
      limit: Limit of the customer.
      accountant: Name of its accountant; '' if none is known.
      reserve_size: Operations in the reserve in one window.
      owner_count: Number of nodes that share the limit.
      stock: Expiry and number of tokens, the earliest first.
      requests: Requests to the accountant.
      unmet: Operations that wait since the last grant.
      admitted: Number of admitted operations.
      refused: Number of refused operations.
    """

    __slots__ = (
        'customer',
        'limit',
        'accountant',
        'reserve_size',
        'owner_count',
        'stock',
        'reserve',
        'rate',
        'requests',
        'unmet',
        'admitted',
        'refused',
    )

    def __init__(
        self,
        customer: str,
        limit: limits.Limit,
        reserve: buckets.Reserve,
    ) -> None:
        """Start without tokens."""
        self.customer = customer
        self.limit = limit
        self.reserve = reserve
        self.accountant = ''
        self.reserve_size = 0
        self.owner_count = 1
        self.stock: collections.deque[list[int]] = collections.deque()
        self.rate = OperationRate()
        self.requests = pending.Requests()
        self.unmet = 0
        self.admitted = 0
        self.refused = 0

    def follow(self, name: str) -> None:
        """Set the accountant; requests to another one are not waited for."""
        if name != self.accountant:
            self.accountant = name
            self.requests.reset()

    def take_token(self, now_ms: int) -> bool:
        """Spend a token, if there is a valid one."""
        stock = self.stock
        while stock:
            first = stock[0]
            if first[0] > now_ms:
                first[1] -= 1
                if not first[1]:
                    stock.popleft()
                return True
            stock.popleft()
        return False

    def take_reserve(self, prompt: bool, now_ms: int) -> bool:
        """Use the reserve, if enough is left.

        Args:
          prompt: Whether an accountant may still answer, so that a part is
            kept.
          now_ms: Current time.
        """
        size = self.reserve_size
        if not size:
            return False
        kept = size * _PROMPT_PART if prompt else 0
        if self.reserve.left(size, now_ms) <= kept:
            return False
        self.reserve.use(now_ms)
        return True

    def wanted(self, now_ms: int) -> int:
        """Return the number of tokens to request now, or 0."""
        if not self.requests.may_send(self.unmet > 0, now_ms):
            return 0
        ahead = self._ahead()
        held = sum(tokens for _until_ms, tokens in self.stock)
        if not self.unmet and held > ahead / 2:
            return 0
        return max(math.floor(ahead) + self.unmet - held, 0)

    def on_grant(self, grant: messages.QuotaGrant, now_ms: int) -> bool:
        """Add granted tokens; return whether the request was known.

        The tokens expire counted from the sending of the request.
        """
        sent_ms = self.requests.on_answer(grant.number)
        if sent_ms is None:
            return False
        valid_ms = min(grant.valid_ms, limits.TOKEN_LIFETIME_MS)
        if grant.tokens > 0:
            self.stock.append([sent_ms + valid_ms, grant.tokens])
            self.stock = collections.deque(sorted(self.stock))
        if grant.retry_ms != accountant.UNKNOWN_RETRY_MS:
            self.requests.blocked_until_ms = now_ms + max(
                grant.retry_ms, pending.INTERVAL_MS
            )
        elif not grant.tokens:
            # The accountant cannot serve yet: use the reserve meanwhile.
            self.requests.silent = True
        return True

    def refuse(
        self, wait_ms: int, longest_ms: int, rng: random.Random
    ) -> Admission:
        """Refuse an operation, and say when to try again.

        The retries of the operations of the last second are spread over the
        time in which this node's share of the limit admits them.

        Args:
          wait_ms: Time until a token is expected.
          longest_ms: Longest time over which retries are spread.
          rng: Source of random numbers.
        """
        self.refused += 1
        share_per_s = self.limit.rate_per_s / self.owner_count
        spread_ms = _MS_PER_S * self.rate.per_s / share_per_s
        spread_ms = max(min(spread_ms, longest_ms), pending.INTERVAL_MS)
        retry_ms = max(wait_ms, 1) + rng.randrange(round(spread_ms))
        return Admission(False, retry_ms=retry_ms)

    def _ahead(self) -> float:
        """Return the stock to which tokens are ordered ahead of need."""
        per_s = self.rate.per_s
        if per_s * limits.TOKEN_LIFETIME_MS < _MIN_EXPECTED * _MS_PER_S:
            return 0
        return per_s * _AHEAD_MS / _MS_PER_S + 1
