"""Loading of the settings of a SQL session proxy from a YAML file."""

import importlib
import typing

from jacinthhaven.adapters import plain_yaml, text_file
from jacinthhaven.records import sql_settings

if typing.TYPE_CHECKING:
    from jacinthhaven.adapters import yaml_file  # noqa: WPS433

Loaded = typing.Union[sql_settings.SqlSettings, 'list[yaml_file.FileError]']


def validate(document: 'yaml_file.Document') -> Loaded:
    """Return the settings in a document, or all errors by position."""
    if document.errors:
        return sorted(document.errors)
    located_errors = sql_settings.check(document.root)
    if located_errors:
        return sorted(
            document.error_at(path, message) for path, message in located_errors
        )
    return sql_settings.convert(document.root)


def load(name: str) -> Loaded:
    """Read and validate a settings file.

    Raises:
      text_file.UnreadableFileError: If the file cannot be read.
    """
    text = text_file.read_text(name)
    plain = _read_plain(text)
    if plain is not None:
        return plain
    # The full parser is only loaded for files that need it.
    full = importlib.import_module('jacinthhaven.adapters.yaml_file')
    return validate(full.parse(text))


def is_sql_settings(document: 'yaml_file.Document') -> bool:
    """Return whether a file holds settings of a SQL session proxy."""
    root = document.root
    return isinstance(root, dict) and 'promotion' in root


def _read_plain(text: str) -> sql_settings.SqlSettings | None:
    """Return the settings, or None if the text is not plain or has errors."""
    try:
        root = plain_yaml.parse(text)
    except plain_yaml.NotPlainError:
        return None
    return None if sql_settings.check(root) else sql_settings.convert(root)
