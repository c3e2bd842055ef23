"""Loading of the settings of one proxy process from a YAML file."""

import os

import pydantic

from jacinthhaven.adapters import model_errors, text_file, yaml_file
from jacinthhaven.records import settings


def parse_settings(
    text: str,
    folder: str,
    check_files: bool = True,
) -> settings.Settings | list[yaml_file.FileError]:
    """Validate the text of a settings file.

    Args:
      text: One YAML document.
      folder: Directory that relative file names refer to.
      check_files: Whether the files that the settings name must be
        readable.

    Returns:
      The settings, or all errors ordered by position.
    """
    return validate(yaml_file.parse(text), folder, check_files)


def validate(
    document: yaml_file.Document,
    folder: str,
    check_files: bool = True,
) -> settings.Settings | list[yaml_file.FileError]:
    """Validate a parsed settings file.

    Arguments and result are those of `parse_settings`.
    """
    if document.errors:
        return sorted(document.errors)
    context = {'file_check': _FileCheck(folder, check_files)}
    try:
        return settings.Settings.model_validate(document.root, context=context)
    except pydantic.ValidationError as error:
        return model_errors.locate_errors(document, error)


def load(
    name: str,
    check_files: bool = True,
) -> settings.Settings | list[yaml_file.FileError]:
    """Read and validate a settings file.

    Args:
      name: Name of the file.
      check_files: Whether the key, certificate and CA files that the
        settings name must be readable.

    Returns:
      The settings with absolute file names, or all errors by position.

    Raises:
      text_file.UnreadableFileError: If the settings file cannot be read.
    """
    text = text_file.read_text(name)
    folder = os.path.dirname(os.path.abspath(name))
    return parse_settings(text, folder, check_files)


class _FileCheck:
    """Check that the files named in the settings are readable.

    Attributes:
      folder: Directory that relative file names refer to.
      enabled: Whether the files are read at all.
    """

    def __init__(self, folder: str, enabled: bool) -> None:
        """Create a check for one settings file."""
        self.folder = folder
        self.enabled = enabled

    def __call__(self, kind: str, name: str) -> tuple[str, str]:
        """Return the absolute file name and an error message.

        The message is empty if the file is usable or checks are disabled.
        """
        absolute_name = os.path.join(self.folder, name)
        read = (
            text_file.read_key
            if kind == settings.KEY_FILE
            else text_file.read_text
        )
        try:
            if self.enabled:
                read(absolute_name)
        except text_file.UnreadableFileError as error:
            return absolute_name, str(error)
        return absolute_name, ''
