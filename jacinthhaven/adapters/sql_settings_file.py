"""Loading of the settings of a SQL session proxy from a YAML file."""

from jacinthhaven.adapters import text_file, yaml_file
from jacinthhaven.records import sql_settings

Loaded = sql_settings.SqlSettings | list[yaml_file.FileError]


def validate(document: yaml_file.Document) -> Loaded:
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
    return validate(yaml_file.parse(text_file.read_text(name)))


def is_sql_settings(document: yaml_file.Document) -> bool:
    """Return whether a file holds settings of a SQL session proxy."""
    root = document.root
    return isinstance(root, dict) and 'promotion' in root
