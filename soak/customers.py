"""Customers of a soak: keys, limits, and the checks of both.

The instances record under which name each request ran, and when it ran first.
"""

import typing

from jacinthhaven.quotas import limits

# Clients of each customer, by their numbers.
_CLIENTS_EACH = 4
# First runs are recorded by the clock of the instances; a request that was
# admitted at the start of a window may run a little later.
_SLACK_MS = 250

Ran = typing.Mapping[str, typing.Mapping[str, int]]


class Customer(typing.NamedTuple):
    """One customer.

    Attributes:
      name: Name that the instances are told.
      key: Key of its clients.
      limit: Limit of its operations.
    """

    name: str
    key: str
    limit: limits.Limit


CUSTOMERS = (
    Customer('free', 'key-of-free', limits.Limit(1000, 1000)),
    # Its clients ask for several times as much.
    Customer('busy', 'key-of-busy', limits.Limit(10, 10)),
)


def of_client(number: int) -> Customer:
    """Return the customer of a client."""
    return CUSTOMERS[number // _CLIENTS_EACH % len(CUSTOMERS)]


def documents() -> list[dict[str, typing.Any]]:
    """Return the customers as the operator's configuration lists them."""
    return [
        {
            'name': customer.name,
            'apiKeys': [customer.key],
            'ratePerS': customer.limit.rate_per_s,
            'burst': customer.limit.burst,
        }
        for customer in CUSTOMERS
    ]


def problems(ran: Ran) -> list[str]:
    """Return the broken rules of customers.

    Args:
      ran: First time in milliseconds at which each request ran, by the name
        under which it ran. A request is the number of its client, an `x` and
        the number of a step.
    """
    found = []
    for name, requests in ran.items():
        for request in requests:
            owner = of_client(int(request.partition('x')[0]))
            if owner.name != name:
                found.append(f'{request} of {owner.name} ran for {name}')
    for customer in CUSTOMERS:
        times = sorted(ran.get(customer.name, {}).values())
        most = _most_in_window(times)
        bound = limits.DEFAULT_SLACK.bound(customer.limit)
        if most > bound:
            found.append(f'{customer.name}: {most} operations, limit {bound}')
    return found


def _most_in_window(times: list[int]) -> int:
    """Return the most operations in any window, less the recording slack."""
    width_ms = limits.DEFAULT_SLACK.window_ms - _SLACK_MS
    most = 0
    first = 0
    for last, when_ms in enumerate(times):
        while when_ms - times[first] >= width_ms:
            first += 1
        most = max(most, last - first + 1)
    return most
