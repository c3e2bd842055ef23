"""Loading of configuration documents from YAML or JSON files."""

from jacinthhaven.adapters import text_file, yaml_file
from jacinthhaven.records import configuration, presets


def validate(
    document: yaml_file.Document,
) -> presets.Configuration | list[yaml_file.FileError]:
    """Validate a parsed configuration document.

    Returns:
      The configuration, or all errors ordered by position.
    """
    if document.errors:
        return sorted(document.errors)
    located_errors = configuration.check(document.root)
    if located_errors:
        return sorted(
            document.error_at(path, message) for path, message in located_errors
        )
    return configuration.convert(document.root)


def load(name: str) -> presets.Configuration | list[yaml_file.FileError]:
    """Read and validate a configuration document.

    Raises:
      text_file.UnreadableFileError: If the file cannot be read.
    """
    return validate(yaml_file.parse(text_file.read_text(name)))


def is_configuration(document: yaml_file.Document) -> bool:
    """Return whether a file holds a configuration, not proxy settings."""
    return isinstance(document.root, dict) and 'presets' in document.root
