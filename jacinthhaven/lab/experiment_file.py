"""Loading of experiments from YAML files, with all errors by line."""

import pydantic

from jacinthhaven.adapters import model_errors, text_file, yaml_file
from jacinthhaven.lab import experiment

Loaded = experiment.Experiment | list[yaml_file.FileError]


def validate(document: yaml_file.Document) -> Loaded:
    """Return the experiment in a document, or all errors by position."""
    if document.errors:
        return sorted(document.errors)
    try:
        described = experiment.Experiment.model_validate(document.root)
    except pydantic.ValidationError as error:
        return model_errors.locate_errors(document, error)
    located = experiment.missing_instances(described)
    if located:
        return sorted(
            document.error_at(path, message) for path, message in located
        )
    return described


def load(name: str) -> Loaded:
    """Read and validate an experiment.

    Raises:
      text_file.UnreadableFileError: If the file cannot be read.
    """
    return validate(yaml_file.parse(text_file.read_text(name)))


def is_experiment(document: yaml_file.Document) -> bool:
    """Return whether a file holds an experiment."""
    root = document.root
    return isinstance(root, dict) and 'load' in root
