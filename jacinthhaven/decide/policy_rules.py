"""Validation of presets and of the documents that hold them.

All problems are collected, so that an operator can correct a document in
one step.
"""

import typing

import msgspec

from jacinthhaven.records import configuration as rules
from jacinthhaven.records import operators, presets

# The store accepts values of at most 1 MB; this leaves a wide margin.
MAX_DOCUMENT_BYTES = 500_000

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
    document = {'presets': msgspec.to_builtins(configuration.presets)}
    problems = [
        operators.Problem('.'.join(map(str, loc)), reason)
        for loc, reason in rules.check(document)
    ]
    if routing_names:
        problems += _check_routing(configuration, routing_names)
    return problems


def _check_routing(
    configuration: presets.Configuration,
    routing_names: typing.Collection[str],
) -> Problems:
    allowed = ', '.join(sorted(routing_names))
    return [
        operators.Problem(
            f'presets.{name}.routing',
            f'must be one of {allowed}',
        )
        for name, preset in configuration.presets.items()
        if preset.routing not in routing_names
    ]
