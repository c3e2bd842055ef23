"""What a check finds, and where."""

import enum
import typing

import msgspec

# Names of objects and indexes of lists from the root of the document.
Path = tuple[str | int, ...]
Entry = dict[str, typing.Any]
Document = dict[str, typing.Any]


class Level(enum.Enum):
    """What a finding means for the operator.

    ERROR: The nodes cannot use the configuration, or refuse or misroute work.
    WARNING: An entry has no effect, or two limits contradict each other.
    CHANGE: A difference to the configuration in force.
    """

    ERROR = 'error'
    WARNING = 'warning'
    CHANGE = 'change'


class Finding(msgspec.Struct, frozen=True):
    """One finding.

    Attributes:
      level: What it means.
      path: Place in the checked document; for something that was removed, the
        list that it was part of.
      message: What was found, without the keys of tenants.
    """

    level: Level
    path: Path
    message: str


Findings = typing.Iterator[Finding]


def error(path: Path, message: str) -> Finding:
    """Return an error at a place."""
    return Finding(Level.ERROR, path, message)


def warning(path: Path, message: str) -> Finding:
    """Return a warning at a place."""
    return Finding(Level.WARNING, path, message)


def change(path: Path, message: str) -> Finding:
    """Return a difference to the configuration in force."""
    return Finding(Level.CHANGE, path, message)
