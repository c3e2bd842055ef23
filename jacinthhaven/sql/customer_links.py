"""Choice of links where each link belongs to one customer.

An instance is told the customer when a link is opened, so that a customer
cannot use the links of others. Where links are scarce, customers that wait
replace the ones that were idle for the longest time.
"""

import collections
import typing

from jacinthhaven.sql import links


# Time after which an idle link of a customer gives way to any other customer.
_RECENT_MS = 500

Links = typing.Iterable[links.Link]


def missing(wanted: typing.Sequence[str], own: Links, limit: int) -> list[str]:
    """Return the customers that need one more link, first come first.

    Args:
      wanted: Customer of each statement that waits for a link, in the order of
        the queue.
      own: Links to the instance that this node has opened.
      limit: Statements that may be in flight; no customer can use more links.
    """
    usable = [link for link in own if link.pinned is None]
    count = collections.Counter(link.customer for link in usable)
    needed = collections.Counter(wanted)
    for link in usable:
        if link.free or not link.ready:
            needed[link.customer] -= 1
    return [
        customer
        for customer in dict.fromkeys(wanted)
        if needed[customer] > 0 and count[customer] < limit
    ]


def removable(
    own: Links, customer: str, wanted: typing.Container[str], now_ms: int
) -> links.Link | None:
    """Return the least recently used link that may make room for a customer.

    A link that was used recently, or that is needed, is closed only if its
    customer has more links than the other one keeps. Otherwise a customer with
    many statements would keep all links, or the links of customers that take
    turns would be opened again and again.

    Args:
      own: Links to the instance that this node has opened.
      customer: Customer that needs a link.
      wanted: Customers whose statements wait for a link.
      now_ms: Current time.
    """
    count = collections.Counter(link.customer for link in own)

    def may_go(link: links.Link) -> bool:  # noqa: WPS430
        needed = link.customer in wanted
        if count[link.customer] > count[customer] + needed:
            return True
        return not needed and now_ms - link.idle_since_ms >= _RECENT_MS

    idle = (link for link in own if link.free and link.unused)
    return min(
        filter(may_go, idle),
        key=lambda link: link.idle_since_ms,
        default=None,
    )
