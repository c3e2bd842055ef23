"""Commands to instances."""

import msgspec

from jacinthhaven.sql import records, statements


class Run(msgspec.Struct, frozen=True):
    """Execute a client's read, write or commit with its text unchanged.

    Attributes:
      statement: The client's statement.
      after: Position that the instance must have applied, if any.
      prepared_name: Name of the prepared statement on the link, if any.
    """

    statement: statements.Statement
    after: records.Position | None = None
    prepared_name: str = ''


class Begin(msgspec.Struct, frozen=True):
    """Open a transaction."""

    read_only: bool
    after: records.Position | None = None


class Rollback(msgspec.Struct, frozen=True):
    """End a transaction without its changes."""


class Reset(msgspec.Struct, frozen=True):
    """Clear session values and prepared statements of a link."""


class SetValue(msgspec.Struct, frozen=True):
    """Set one session value on a link."""

    name: str
    text: str


class Prepare(msgspec.Struct, frozen=True):
    """Prepare a statement on a link."""

    name: str
    prepared: statements.Prepared


class AskStatus(msgspec.Struct, frozen=True):
    """Ask an instance for its role, term and position."""


class Pause(msgspec.Struct, frozen=True):
    """Stop a replica from receiving until it is resumed or promoted."""

    term: int


class Resume(msgspec.Struct, frozen=True):
    """Let a paused replica receive again."""


class Demote(msgspec.Struct, frozen=True):
    """Make a primary of an earlier term a replica."""

    term: int


Command = (
    Run
    | Begin
    | Rollback
    | Reset
    | SetValue
    | Prepare
    | AskStatus
    | Pause
    | Resume
    | Demote
)

# Commands whose reply holds the status of the instance.
ASKS_STATUS = (AskStatus, Pause, Resume, Demote)
