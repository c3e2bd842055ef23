"""Loading of the settings of a SQL session proxy from a YAML file."""

import importlib
import typing

import msgspec

from jacinthhaven.adapters import text_file
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
    settings = _read_json(text)
    if settings is not None:
        return settings
    # Importing this parser takes a tenth of the start of a proxy.
    full = importlib.import_module('jacinthhaven.adapters.yaml_file')
    return validate(full.parse(text))


def is_sql_settings(document: 'yaml_file.Document') -> bool:
    """Return whether a file holds settings of a SQL session proxy."""
    root = document.root
    return isinstance(root, dict) and 'promotion' in root


def _read_json(text: str) -> sql_settings.SqlSettings | None:
    """Return the settings, or None if the text is no JSON or has errors.

    JSON is a part of YAML, so that the other parser reads such a text, too, and
    tells where its errors are.
    """
    try:
        root = msgspec.json.decode(text)
    except msgspec.DecodeError:
        return None
    return None if sql_settings.check(root) else sql_settings.convert(root)
