"""Checks of operator's configurations for `check-routes`.

This module is imported on demand, since the parser that finds the lines takes
longer to import than the rest of the command.
"""

import json
import typing

import msgspec

from jacinthhaven.adapters import text_file, yaml_file
from jacinthhaven.cli import exits
from jacinthhaven.configcheck import fields, findings, report, rules
from jacinthhaven.platform import documents

Rows = list[dict[str, typing.Any]]


class _Source:
    """One file with a configuration.

    Attributes:
      name: Name of the file.
      document: Decoded JSON, or None if it is not JSON.
      places: Positions of its parts.
      errors: Errors of its syntax.
    """

    def __init__(self, name: str) -> None:
        """Read a file.

        Raises:
          exits.UnusableInputError: If the file cannot be read.
        """
        self.name = name
        try:
            self.text = text_file.read_text(name)
        except text_file.UnreadableFileError as error:
            raise exits.UnusableInputError(str(error)) from error
        # JSON is YAML too, whose parser knows the lines and sees repeated fields.
        self.places = yaml_file.parse(self.text)
        self.document: typing.Any = None
        self.errors: Rows = []
        try:
            self.document = msgspec.json.decode(self.text)
        except (msgspec.DecodeError, RecursionError):
            self.errors.append(self._syntax_error())
            return
        self.errors.extend(
            self.result(findings.error(_split(error.path), 'appears twice'))
            for error in self.places.errors
            if error.path
        )

    def result(self, finding: findings.Finding) -> dict[str, typing.Any]:
        """Return a finding with its place in this file."""
        place = self.places.error_at(finding.path, finding.message)
        return {
            'file': self.name,
            'line': place.line,
            'column': place.column,
            'path': place.path,
            'level': finding.level.value,
            'message': finding.message,
        }

    def _syntax_error(self) -> dict[str, typing.Any]:
        line, column, reason = 1, 1, 'not JSON'
        try:
            json.loads(self.text)
        except json.JSONDecodeError as error:
            line, column, reason = error.lineno, error.colno, error.msg
        except RecursionError:
            reason = 'nested too deeply'
        return {
            'file': self.name,
            'line': line,
            'column': column,
            'path': '',
            'level': findings.Level.ERROR.value,
            'message': reason,
        }


def check(
    name: str, in_force: str | None, deployment: rules.Deployment
) -> Rows:
    """Return all findings about a configuration, in the order of its lines.

    Args:
      name: File with the configuration.
      in_force: File with the version in force, or None.
      deployment: Facts that the configuration does not contain.

    Returns:
      File, line, column, path, level and message of each finding.

    Raises:
      exits.UnusableInputError: If a file cannot be read.
    """
    checked = _Source(name)
    known = None if in_force is None else _Source(in_force)
    found = list(checked.errors)
    compared = None
    if known is not None:
        unusable = _unusable(known)
        found.extend(unusable)
        compared = None if unusable else known.document
    if checked.document is not None:
        rest = report.check(checked.document, deployment, compared)
        found.extend(checked.result(finding) for finding in rest)
    if not has_errors(found):
        found.extend(_decode(checked))
    return sorted(found, key=_position)


def has_errors(found: Rows) -> bool:
    """Return whether one of the findings is an error."""
    return any(
        finding['level'] == findings.Level.ERROR.value for finding in found
    )


def _unusable(known: _Source) -> Rows:
    """Return why nothing can be compared with the version in force."""
    if known.document is None:
        return known.errors
    return [
        known.result(finding)
        for finding in fields.check(known.document)
        if finding.level is findings.Level.ERROR
    ]


def _decode(checked: _Source) -> Rows:
    """Return an error if the nodes reject what the check has accepted."""
    try:
        documents.decode_configuration(checked.text)
    except documents.MALFORMED as error:
        # The text of the error could contain a part of a key.
        reason = f'the nodes cannot decode it: {type(error).__name__}'
        return [checked.result(findings.error((), reason))]
    return []


def _position(finding: dict[str, typing.Any]) -> tuple[str, int, int]:
    return finding['file'], finding['line'], finding['column']


def _split(path: str) -> findings.Path:
    """Return the parts of a path in a message of the parser."""
    parts: list[str | int] = []
    for part in path.replace('[', '.[').split('.'):
        index = part.strip('[]')
        parts.append(int(index) if part.startswith('[') else part)
    return tuple(parts)
