"""Conversion of pydantic errors to errors with a position in a YAML file."""

import types

import pydantic

from jacinthhaven.adapters import yaml_file

_MESSAGES = types.MappingProxyType(
    {
        'extra_forbidden': 'unknown key',
        'missing': 'required key is missing',
        'model_type': 'must be a mapping',
    },
)


def locate_errors(
    document: yaml_file.Document,
    error: pydantic.ValidationError,
) -> list[yaml_file.FileError]:
    """Return all errors of a validation, ordered by position in the file."""
    return sorted(
        document.error_at(
            detail['loc'],
            _MESSAGES.get(detail['type'], detail['msg']),
        )
        for detail in error.errors(include_url=False)
    )
