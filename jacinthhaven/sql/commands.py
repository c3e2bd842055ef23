"""Commands that the proxy sends to instances."""

import msgspec

from jacinthhaven.sql import records, statements


class Run(msgspec.Struct, frozen=True):
    """Execute a client's read, write or commit with the original text.

    Attributes:
      statement: The client's statement.
      after: Log position that the instance must have applied first, if any.
      prepared_name: Name of the prepared statement on the link, if any.
    """

    statement: statements.Statement
    after: records.Position | None = None
    prepared_name: str = ''


class Begin(msgspec.Struct, frozen=True):
    """Begin a transaction.

    Attributes:
      read_only: Whether it only reads; other instances than the primary
        begin only such transactions.
      after: Log position that the instance must have applied first, if any.
    """

    read_only: bool
    after: records.Position | None = None


class Rollback(msgspec.Struct, frozen=True):
    """Roll back the transaction of a link."""


class Reset(msgspec.Struct, frozen=True):
    """Discard the session settings and prepared statements of a link."""


class SetValue(msgspec.Struct, frozen=True):
    """Set one session setting on a link."""

    name: str
    text: str


class Prepare(msgspec.Struct, frozen=True):
    """Prepare a statement on a link."""

    name: str
    prepared: statements.Prepared


class AskStatus(msgspec.Struct, frozen=True):
    """Request the role, term and log position of an instance."""


class Pause(msgspec.Struct, frozen=True):
    """Stop replication to a replica until it is resumed or promoted."""

    term: int


class Resume(msgspec.Struct, frozen=True):
    """Resume replication to a paused replica."""


class Demote(msgspec.Struct, frozen=True):
    """Demote a primary of an earlier term to a replica."""

    term: int


class Setup(msgspec.Struct, frozen=True):
    """Several commands that prepare a link for a statement, sent together.

    The instance executes each of them even if an earlier one fails, so none
    may change data.

    Attributes:
      steps: Commands in the order in which they are sent.
    """

    steps: tuple[Reset | SetValue | Prepare | Begin, ...]


Command = (
    Run
    | Begin
    | Rollback
    | Reset
    | SetValue
    | Prepare
    | Setup
    | AskStatus
    | Pause
    | Resume
    | Demote
)

# Commands whose reply contains the status of the instance.
STATUS_COMMANDS = (AskStatus, Pause, Resume, Demote)
# Commands that wait for a slot of the instance.
IN_SLOTS = (Run, AskStatus)


def steps_of(command: Command) -> tuple[Command, ...]:
    """Return the commands that are sent for a command, in order."""
    return command.steps if isinstance(command, Setup) else (command,)
