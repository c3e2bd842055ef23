"""Pure functions on terms and log positions.

They determine which copy of a database contains which write, and which
log position a majority of the instances has.
"""

import typing

from jacinthhaven.decide import tokens, views
from jacinthhaven.records import backend


class LogEnd(typing.Protocol):
    """Term and position of the last log entry of a copy."""

    log_term: int
    position: int


def covers(log_end: LogEnd, needed: tokens.Position | None) -> bool:
    """Return whether a log contains a confirmed write.

    Every later term includes a confirmed write, so a log that ends in a
    later term at the same position or beyond contains it. A log that ends
    in an earlier term may have a different entry at that position.
    """
    if needed is None:
        return True
    return (
        log_end.log_term >= needed.term and log_end.position >= needed.position
    )


def is_lost(
    starts: list[backend.TermStart],
    needed: tokens.Position,
) -> bool:
    """Return whether the log of a later term lacks a confirmed write.

    Args:
      starts: Start of every term in the primary's log, oldest first.
      needed: Term and position of a write that was confirmed.
    """
    for start in starts:
        if start.term > needed.term:
            return start.position <= needed.position
    return False


def confirmed_position(
    instances: views.Instances,
    database: str,
    term: int,
) -> int:
    """Return the position that a majority has in a term.

    The primary of the term counts for every position, since it wrote them
    all. After its restart it reports its position like any other copy, and
    must not be counted twice. A copy that has accepted a higher term does
    not count, so nothing is acknowledged for a primary that is known to be
    replaced.

    Returns:
      The highest position that enough other copies have; 0 if too few of
      them have any entry of the term.
    """
    needed = views.majority(instances)
    if _primary_position(instances, database, term):
        needed -= 1
    reached = sorted(
        (
            copy.position
            for copy in _copies(instances, database)
            if copy.term == term and copy.log_term == term and not copy.primary
        ),
        reverse=True,
    )
    if needed == 0:
        return _primary_position(instances, database, term)
    return reached[needed - 1] if len(reached) >= needed else 0


def term_proved_ms(
    instances: views.Instances,
    database: str,
    term: int,
) -> int:
    """Return the latest time at which a majority proves a term current.

    Returns:
      The latest time such that a majority answered status requests sent at
      or after it with this term; `views.NEVER_MS` if there is none.
    """
    asked = sorted(
        (
            view.asked_ms
            for view in instances.values()
            if _shows_term(view, database, term)
        ),
        reverse=True,
    )
    needed = views.majority(instances)
    return asked[needed - 1] if len(asked) >= needed else views.NEVER_MS


def _shows_term(view: views.InstanceView, database: str, term: int) -> bool:
    copy = view.copies.get(database)
    return copy is not None and copy.term == term


def _copies(
    instances: views.Instances,
    database: str,
) -> typing.Iterator[backend.DatabaseStatus]:
    for view in instances.values():
        copy = view.copies.get(database)
        if copy is not None:
            yield copy


def _primary_position(
    instances: views.Instances,
    database: str,
    term: int,
) -> int:
    return max(
        (
            copy.position
            for copy in _copies(instances, database)
            if copy.primary and copy.term == term
        ),
        default=0,
    )
