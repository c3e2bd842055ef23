"""How long links may take to answer, and how long they may be idle."""

from jacinthhaven.sql import links, sessions

# Timeout for opening a link.
OPEN_TIMEOUT_MS = 900
# Timeout for borrowing a link, which the lender only has to look up.
BORROW_TIMEOUT_MS = 150
# Timeout for a reply, after which its link is closed.
REPLY_TIMEOUT_MS = 5000
# Timeout for a reply that nobody waits for any more. It is shorter, since
# otherwise few links remain when one reply after the other is lost.
_ABANDONED_TIMEOUT_MS = 700
# Idle time after which a link beyond the minimum is closed.
_IDLE_TIMEOUT_MS = 3000
# The same for a link that belongs to a customer: the next statement of the
# customer cannot use another one.
_CUSTOMER_IDLE_TIMEOUT_MS = 20_000
# Idle time after which a borrowed link is returned.
_BORROWED_IDLE_TIMEOUT_MS = 400


def timeout_ms(link: links.Link) -> int:
    """Return the timeout for the reply or the opening of a link."""
    if link.ready:
        work = link.work
        abandoned = work is None or (
            isinstance(work, sessions.Work) and work.done
        )
        return _ABANDONED_TIMEOUT_MS if abandoned else REPLY_TIMEOUT_MS
    return BORROW_TIMEOUT_MS if link.borrowed else OPEN_TIMEOUT_MS


def idle_too_long(link: links.Link, now_ms: int) -> bool:
    """Return whether a link beyond the minimum is to be closed."""
    timeout_ms = _IDLE_TIMEOUT_MS
    if link.borrowed:
        timeout_ms = _BORROWED_IDLE_TIMEOUT_MS
    elif link.customer:
        timeout_ms = _CUSTOMER_IDLE_TIMEOUT_MS
    return now_ms - link.idle_since_ms >= timeout_ms
