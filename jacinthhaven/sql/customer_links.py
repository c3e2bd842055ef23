"""Choice of links where each link belongs to one customer.

An instance is told the customer when a link is opened, so that a customer
cannot use the links of others. Where links are scarce, customers that wait
replace the ones that were idle for the longest time.
"""

import collections
import typing

from jacinthhaven.sql import links


def missing(
    wanted: typing.Sequence[str], own: typing.Iterable[links.Link]
) -> list[str]:
    """Return the customers that need one more link, first come first.

    Args:
      wanted: Customer of each statement that waits for a link, in the order of
        the queue.
      own: Links to the instance that this node has opened.
    """
    needed = collections.Counter(wanted)
    for link in own:
        if link.free or not link.ready:
            needed[link.customer] -= 1
    return [
        customer for customer in dict.fromkeys(wanted) if needed[customer] > 0
    ]


def least_recently_used(
    own: typing.Iterable[links.Link], wanted: typing.Container[str]
) -> links.Link | None:
    """Return the idle link that may be closed to make room, if any.

    Args:
      own: Links to the instance that this node has opened.
      wanted: Customers whose statements wait for a link.
    """
    idle = [
        link
        for link in own
        if link.free and link.unused and link.customer not in wanted
    ]
    return min(idle, key=lambda link: link.idle_since_ms, default=None)
