"""Limits of customers, and how far all nodes together may exceed them.

In any window of W seconds, the nodes together admit no more than
(rate x W + burst) x (1 + overage) + extra operations. What exceeds rate x W +
burst is the slack. One part of it covers tokens that were granted and are not
spent yet; the rest is divided into the reserves of the owners.
"""

import math
import typing

import msgspec

_MS_PER_S = 1000
# Lifetime of granted tokens, from the sending of the request. It covers the
# stock of 200 ms that a node orders ahead, and one lost request.
TOKEN_LIFETIME_MS = 400
# Tokens that the accountant keeps ready beyond the burst. Without them, a
# bucket for a low rate and no burst would never hold a whole token.
_MIN_GRANTED = 5
# Largest part of the slack that covers granted tokens. The rest must serve
# while no accountant answers.
_MAX_GRANTED_PART = 0.6


class Limit(msgspec.Struct, frozen=True):
    """Limit of one customer.

    Attributes:
      rate_per_s: Operations per second over all nodes; 0 for no limit.
      burst: Operations beyond the rate at once.
    """

    rate_per_s: float = 0
    burst: float = 0


class Slack(msgspec.Struct, frozen=True):
    """How far the nodes together may exceed a limit.

    Attributes:
      window_ms: Length of the window in which operations count.
      overage: Share of the allowed operations that may be admitted beyond
        them.
      extra: Operations that may be admitted beyond that.
    """

    window_ms: int = 5000
    overage: float = 0.1
    extra: float = 20

    def allowed(self, limit: Limit) -> float:
        """Return the operations that a limit allows in one window."""
        window_s = self.window_ms / _MS_PER_S
        return limit.rate_per_s * window_s + limit.burst

    def bound(self, limit: Limit) -> float:
        """Return the operations that may be admitted in one window."""
        return self.allowed(limit) + self.total(limit)

    def total(self, limit: Limit) -> float:
        """Return the slack of a limit in one window, in operations."""
        return self.allowed(limit) * self.overage + self.extra

    def granted(self, limit: Limit) -> float:
        """Return the part of the slack that covers granted tokens."""
        alive = limit.rate_per_s * TOKEN_LIFETIME_MS / _MS_PER_S
        return min(alive + _MIN_GRANTED, self.total(limit) * _MAX_GRANTED_PART)

    def reserve(self, limit: Limit, owner_count: int) -> int:
        """Return the operations in the reserve of one owner in one window."""
        left = self.total(limit) - self.granted(limit)
        return math.floor(left / max(owner_count, 1))


DEFAULT_SLACK = Slack()


class _Customer(typing.Protocol):
    """What a limit needs of a customer of the configuration."""

    name: str
    rate_per_s: float
    burst: float


def of_customers(
    customers: typing.Iterable[_Customer],
) -> dict[str, Limit]:
    """Return the limits of the customers that have one, by name."""
    return {
        customer.name: Limit(customer.rate_per_s, customer.burst)
        for customer in customers
        if customer.rate_per_s > 0
    }
