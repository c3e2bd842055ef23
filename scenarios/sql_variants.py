"""Deliberately broken variants of the SQL proxy, which a search must find."""

import contextlib
import types
import typing
from unittest import mock

from jacinthhaven.sql import (
    departures,
    execution,
    expiry,
    gateway,
    leadership,
    planned_stop,
    relaying,
    rights,
    store_records,
)

# Below the time that operators allow, but counted from the wrong moment.
_FIRST_SIGHT_GRACE_MS = 4500


def _covers_newest_term(
    right: rights.Right, _lead: leadership.Lead | None, now_ms: int
) -> bool:
    """Let the right for the newest term cover work of earlier terms."""
    return right.held(now_ms)


def _may_continue_in_newest_term(
    right: rights.Right, _lead: leadership.Lead | None, now_ms: int
) -> bool:
    """Let a transaction go on under the right for the newest term."""
    return right.may_send(now_ms)


def _remaining_since_first_sight(
    departure: departures.Departure, now_ms: int
) -> int:
    """Count the time of new work from when this node saw the notice."""
    if departure.leaving_ms is None:
        return 0
    return max(departure.leaving_ms + _FIRST_SIGHT_GRACE_MS - now_ms, 0)


def _moves(orders: store_records.PendingOrders, _term: int) -> bool:
    """Let a moving record hinder nodes also when its term has begun."""
    return orders.record is not None and orders.record.moving


def _abort_on_links(known: gateway.Gateway, now_ms: int) -> None:
    """Roll back the transactions that have a link, and no others."""
    for session in tuple(known.sessions.values()):
        transaction = session.transaction
        if transaction is not None and transaction.link is not None:
            if session.work is None:
                known.executor.release(
                    known.groups[transaction.route.service],
                    transaction.link,
                    now_ms,
                )
                transaction.fail_unreported()


def _do_nothing(*_args: typing.Any) -> None:
    """Replace a method that has an effect."""


@contextlib.contextmanager
def ignore_lead() -> typing.Iterator[None]:
    """Ask for the right of the newest term only, not for that of the work."""
    with (
        mock.patch.object(rights.Right, 'covers', _covers_newest_term),
        mock.patch.object(
            rights.Right, 'may_continue', _may_continue_in_newest_term
        ),
        mock.patch.object(execution.Executor, 'end_replaced', _do_nothing),
    ):
        yield


@contextlib.contextmanager
def exit_without_answers() -> typing.Iterator[None]:
    """Take every statement until the exit, and drop what is not answered."""
    none = frozenset()
    with (
        mock.patch.object(planned_stop, '_BEGINS', none),
        mock.patch.object(planned_stop, '_NEW_WORK', none),
        mock.patch.object(gateway.Gateway, 'end_sessions', _do_nothing),
        mock.patch.object(expiry, 'abort_transactions', _abort_on_links),
        mock.patch.object(relaying.Relay, 'end_sessions', _do_nothing),
    ):
        yield


@contextlib.contextmanager
def count_from_first_sight() -> typing.Iterator[None]:
    """Give work to a leaving instance for a time after its notice was seen."""
    with mock.patch.object(
        departures.Departure, 'remaining_ms', _remaining_since_first_sight
    ):
        yield


@contextlib.contextmanager
def wait_for_lost_holder() -> typing.Iterator[None]:
    """Confirm no term until the holder of a promotion has finished its record."""
    with mock.patch.object(store_records.PendingOrders, 'moves_beyond', _moves):
        yield


Variant = typing.Callable[[], typing.ContextManager[None]]

VARIANTS: typing.Mapping[str, Variant] = types.MappingProxyType(
    {
        'ignore_lead': ignore_lead,
        'exit_without_answers': exit_without_answers,
        'count_from_first_sight': count_from_first_sight,
        'wait_for_lost_holder': wait_for_lost_holder,
    },
)
