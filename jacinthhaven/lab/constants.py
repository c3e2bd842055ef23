"""Constants of the decisions that an experiment may change.

Each is a named constant of the module that decides. A variant changes it for
its own plays only.
"""

import contextlib
import dataclasses
import types
import typing

from jacinthhaven.scheduling import admission, backlog, placement, window
from jacinthhaven.sql import instances


@dataclasses.dataclass(frozen=True, slots=True)
class Constant:
    """Constant of one module.

    Attributes:
      module: Module that decides with it.
      attribute: Its name there.
      meaning: What it says, with its unit.
    """

    module: types.ModuleType
    attribute: str
    meaning: str


KNOWN: typing.Mapping[str, Constant] = types.MappingProxyType(
    {
        'statements_per_slot': Constant(
            window,
            '_PER_SLOT',
            'statements of all owners in flight for each slot',
        ),
        'window_shrink': Constant(
            window,
            '_SHRINK',
            'factor of the window after a refusal',
        ),
        'admission_share': Constant(
            admission,
            '_ADMISSION_SHARE',
            'part of the target that a statement in time may expect to wait',
        ),
        'no_primary_share': Constant(
            backlog,
            '_NO_PRIMARY_SHARE',
            'part of the target to wait for a primary that is missing',
        ),
        'lost_reply_ms': Constant(
            instances,
            'LOST_REPLY_MS',
            'milliseconds after which a missing reply counts as lost',
        ),
        'suspect_ms': Constant(
            instances,
            'SUSPECT_MS',
            'milliseconds of silence that make an instance suspect',
        ),
        'primary_disadvantage_ms': Constant(
            placement,
            '_PRIMARY_MS',
            'milliseconds added to the primary when reads are placed',
        ),
    },
)


@contextlib.contextmanager
def changed(changes: typing.Mapping[str, float]) -> typing.Iterator[None]:
    """Change constants while the context lasts."""
    before = {name: _read(KNOWN[name]) for name in changes}
    try:
        for name, number in changes.items():
            kind = type(before[name])
            setattr(KNOWN[name].module, KNOWN[name].attribute, kind(number))
        yield
    finally:
        for changed_name, number_before in before.items():
            constant = KNOWN[changed_name]
            setattr(constant.module, constant.attribute, number_before)


def _read(constant: Constant) -> float:
    return getattr(constant.module, constant.attribute)
