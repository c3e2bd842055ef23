"""Checks of settings files and configuration documents for `check`.

This module is imported on demand, since the settings models take longer to
import than all other parts of the command line together.
"""

import os
import typing

from jacinthhaven.adapters import (
    config_file,
    settings_file,
    sql_settings_file,
    text_file,
    yaml_file,
)
from jacinthhaven.cli import exits
from jacinthhaven.lab import experiment_file
from jacinthhaven.records import presets, settings


def check(name: str, check_files: bool) -> list[yaml_file.FileError]:
    """Return all errors of a settings file or a configuration document.

    Raises:
      exits.UnusableInputError: If the file cannot be read.
    """
    document = yaml_file.parse(_read(name))
    if config_file.is_configuration(document):
        loaded: typing.Any = config_file.validate(document)
    elif experiment_file.is_experiment(document):
        loaded = experiment_file.validate(document)
    elif sql_settings_file.is_sql_settings(document):
        loaded = sql_settings_file.validate(document)
    else:
        loaded = settings_file.validate(
            document,
            os.path.dirname(os.path.abspath(name)),
            check_files,
        )
    return loaded if isinstance(loaded, list) else []


def load_settings(name: str) -> settings.Settings:
    """Return the settings of a proxy.

    Raises:
      exits.UnusableInputError: If the file cannot be read.
      exits.RefusedError: If the settings are invalid.
    """
    try:
        loaded = settings_file.load(name)
    except text_file.UnreadableFileError as error:
        raise exits.UnusableInputError(str(error)) from error
    if isinstance(loaded, list):
        raise _invalid(name, loaded)
    return loaded


def load_configuration(name: str) -> presets.Configuration:
    """Return a configuration document.

    Raises:
      exits.UnusableInputError: If the file cannot be read.
      exits.RefusedError: If the document is invalid.
    """
    loaded = config_file.validate(yaml_file.parse(_read(name)))
    if isinstance(loaded, list):
        raise _invalid(name, loaded)
    return loaded


def error_document(name: str, error: yaml_file.FileError) -> dict:
    """Return the machine-readable form of an error in a file."""
    return {
        'file': name,
        'line': error.line,
        'column': error.column,
        'path': error.path,
        'message': error.message,
    }


def _read(name: str) -> str:
    try:
        return text_file.read_text(name)
    except text_file.UnreadableFileError as error:
        raise exits.UnusableInputError(str(error)) from error


def _invalid(
    name: str,
    errors: list[yaml_file.FileError],
) -> exits.RefusedError:
    return exits.RefusedError(
        f'{name} is not valid',
        {
            'error': 'invalid',
            'errors': [error_document(name, error) for error in errors],
        },
    )
