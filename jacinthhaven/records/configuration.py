"""Validation of a configuration document before it is accepted.

The command line and the proxy use the same checks, so that an operator
learns of an error before the document is sent.
"""

import re
import types
import typing

import msgspec

from jacinthhaven.records import presets

Loc = tuple[str | int, ...]
Located = list[tuple[Loc, str]]

_NAME = re.compile('[A-Za-z0-9][A-Za-z0-9_.-]{0,62}')
_HOUR_MS = 3_600_000

# Lowest and highest accepted value of each numeric parameter. The lower
# limits of the suspicion times leave room for one status round trip.
_BOUNDS = types.MappingProxyType(
    {
        'queue_limit': (1, 1_000_000),
        'deadline_ms': (1, _HOUR_MS),
        'replica_wait_ms': (0, _HOUR_MS),
        'default_max_age_ms': (0, _HOUR_MS),
        'suspect_ms': (50, 60_000),
        'unreachable_ms': (50, 60_000),
        'decider_stagger_ms': (0, 60_000),
        'primary_confirm_ms': (50, 60_000),
        'transaction_idle_ms': (100, _HOUR_MS),
        'retry_ratio': (0, 1),
        'slow_start_ms': (0, _HOUR_MS),
    },
)


def check(document: typing.Any) -> Located:
    """Return all errors of a configuration document.

    Args:
      document: Plain data as parsed from JSON or YAML, without `change_id`,
        which the proxy adds.

    Returns:
      The path and the message of each error; empty if the document is
      acceptable.
    """
    if not isinstance(document, dict):
        return [((), 'must be a mapping')]
    located: Located = [
        ((str(key),), 'unknown key') for key in document if key != 'presets'
    ]
    found = document.get('presets')
    if not isinstance(found, dict) or not found:
        located.append((('presets',), 'must name at least one preset'))
        return located
    for name, preset in found.items():
        located.extend(_check_preset(name, preset))
    return located


def convert(document: typing.Any) -> presets.Configuration:
    """Return a checked document as a record.

    Raises:
      msgspec.ValidationError: If `check` reports a wrong type or key.
    """
    return msgspec.convert(document, presets.Configuration)


def _check_preset(name: typing.Any, preset: typing.Any) -> Located:
    path: Loc = ('presets', str(name))
    located: Located = []
    if not isinstance(name, str) or not _NAME.fullmatch(name):
        located.append((path, 'not a valid preset name'))
    if not isinstance(preset, dict):
        located.append((path, 'must be a mapping'))
        return located
    for key, setting in preset.items():
        problem = _check_parameter(key, setting)
        if problem:
            located.append(((*path, str(key)), problem))
    if not located and _suspects_late(preset):
        message = 'must not be less than suspect_ms'
        located.append(((*path, 'unreachable_ms'), message))
    return located


def _suspects_late(preset: dict[str, typing.Any]) -> bool:
    found = msgspec.convert(preset, presets.Preset)
    return found.unreachable_ms < found.suspect_ms


def _check_parameter(key: typing.Any, setting: typing.Any) -> str:
    """Return what is wrong with one parameter, or an empty string."""
    # A preset has a default for every parameter, so each can be converted
    # alone and all type errors are found.
    if key not in presets.Preset.__struct_fields__:
        return 'unknown key'
    try:
        msgspec.convert({key: setting}, presets.Preset)
    except msgspec.ValidationError as error:
        return str(error).partition(' - at ')[0]
    bounds = _BOUNDS.get(key)
    # The comparison is false for NaN as well.
    if bounds and not bounds[0] <= setting <= bounds[1]:
        return f'must be between {bounds[0]} and {bounds[1]}'
    return ''
