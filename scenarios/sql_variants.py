"""Deliberately broken variants of the SQL proxy, which a search must find."""

import contextlib
import types
import typing
from unittest import mock

from jacinthhaven.sql import (
    departures,
    execution,
    gateway,
    leadership,
    planned_stop,
    relaying,
    rights,
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
    return max(departure.leaving_ms + _FIRST_SIGHT_GRACE_MS - now_ms, 0)


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


Variant = typing.Callable[[], typing.ContextManager[None]]

VARIANTS: typing.Mapping[str, Variant] = types.MappingProxyType(
    {'ignore_lead': ignore_lead}
)
