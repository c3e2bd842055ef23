"""Deliberately broken variants of single decisions.

A scenario that names a variant must find a violation with it. This shows
that the scenario would notice if the product code had the same fault.
"""

import contextlib
import sys
import types
import typing
from unittest import mock

from jacinthhaven.decide import (
    positions,
)

Patches = typing.Iterable[typing.Any]


def _acknowledge_at_once() -> Patches:
    """Confirm a write as soon as the primary alone has it."""

    def reached(*_args: typing.Any) -> int:  # noqa: WPS430
        return sys.maxsize

    yield mock.patch.object(positions, 'confirmed_position', reached)


def _ignore_needed_position() -> Patches:
    """Let any replica serve a session."""

    def covers(*_args: typing.Any) -> bool:  # noqa: WPS430
        return True

    yield mock.patch.object(positions, 'covers', covers)


VARIANTS = types.MappingProxyType(
    {
        'acknowledge_at_once': _acknowledge_at_once,
        'ignore_needed_position': _ignore_needed_position,
    },
)


@contextlib.contextmanager
def applied(name: str) -> typing.Iterator[None]:
    """Replace a decision by a broken variant; an empty name changes nothing."""
    with contextlib.ExitStack() as stack:
        if name:
            for patch in VARIANTS[name]():
                stack.enter_context(patch)
        yield
