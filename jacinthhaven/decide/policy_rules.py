"""Validation of presets and of the documents that hold them.

All problems are collected, so that an operator can correct a document in
one go.
"""

import types
import typing

import msgspec

from jacinthhaven.records import operators, presets

_MAX_MS = 3_600_000
_MAX_NAME = 64
# Largest value of a store key is 1 MB; JSON of this size is well below.
MAX_DOCUMENT_BYTES = 500_000
# Smallest and largest value of each number.
_RANGES = types.MappingProxyType(
    {
        'queue_limit': (1, 1_000_000),
        'deadline_ms': (1, _MAX_MS),
        'replica_wait_ms': (0, _MAX_MS),
        'default_max_age_ms': (0, _MAX_MS),
        'suspect_ms': (1, _MAX_MS),
        'unreachable_ms': (1, _MAX_MS),
        'decider_stagger_ms': (0, _MAX_MS),
        'primary_confirm_ms': (1, _MAX_MS),
        'transaction_idle_ms': (1, _MAX_MS),
        'retry_ratio': (0, 1),
        'slow_start_ms': (0, _MAX_MS),
    },
)

Problems = list[operators.Problem]
Document = typing.TypeVar('Document')


def decode(
    document: bytes | str,
    record: type[Document],
) -> Document | operators.Problem:
    """Return the record that a document holds, or why it is not valid.

    Unknown fields and wrong types are refused.
    """
    try:
        return msgspec.json.decode(document, type=record)
    except (msgspec.MsgspecError, UnicodeError) as error:
        reason, _, place = str(error).partition(' - at ')
        return operators.Problem(place.strip('`'), reason)


def check_configuration(
    configuration: presets.Configuration,
    routing_names: typing.Collection[str],
) -> Problems:
    """Return all problems of a configuration.

    Args:
      configuration: Decoded configuration.
      routing_names: Registered routing policies; empty to accept any.
    """
    problems = []
    if not configuration.presets:
        problems.append(operators.Problem('presets', 'must not be empty'))
    for name, preset in configuration.presets.items():
        place = f'presets.{name}'
        if not 0 < len(name) <= _MAX_NAME:
            reason = f'name must have 1 to {_MAX_NAME} characters'
            problems.append(operators.Problem(place, reason))
        if routing_names and preset.routing not in routing_names:
            known = ', '.join(sorted(routing_names))
            problems.append(
                operators.Problem(f'{place}.routing', f'must be one of {known}')
            )
        problems += _check_ranges(place, preset)
    return problems


def _check_ranges(place: str, preset: presets.Preset) -> Problems:
    problems = []
    for field, (lowest, highest) in _RANGES.items():
        found = getattr(preset, field)
        # Written this way, NaN is refused as well.
        if not lowest <= found <= highest:
            reason = f'must be from {lowest} to {highest}'
            problems.append(operators.Problem(f'{place}.{field}', reason))
    if preset.unreachable_ms < preset.suspect_ms:
        problems.append(
            operators.Problem(
                f'{place}.unreachable_ms',
                'must not be less than suspect_ms',
            ),
        )
    return problems
