"""Statements of clients, their answers, and replies of instances."""

import enum

import msgspec

from jacinthhaven.sql import records


class Verb(enum.Enum):
    """Kind of a client statement."""

    # Each kind exists once. The hash of the base class is not written in C, and
    # kinds are looked up several times for each statement.
    __hash__ = object.__hash__

    BEGIN = 'begin'
    BEGIN_READ = 'begin_read'
    COMMIT = 'commit'
    ROLLBACK = 'rollback'
    READ = 'read'
    WRITE = 'write'
    SET = 'set'
    PREPARE = 'prepare'
    EXECUTE = 'execute'
    DEALLOCATE = 'deallocate'
    INVALID = 'invalid'


class Code(enum.Enum):
    """Error code of an answer or a reply."""

    BUSY = 'busy'
    ABORTED = 'aborted'
    BEHIND = 'behind'
    READ_ONLY = 'read_only'
    WRONG_INSTANCE = 'wrong_instance'
    CONNECTION_LIMIT = 'connection_limit'
    FAILED = 'failed'
    TIMEOUT = 'timeout'
    OUTCOME_UNKNOWN = 'outcome_unknown'
    UNKNOWN_DATABASE = 'unknown_database'
    UNKNOWN_STATEMENT = 'unknown_statement'
    MALFORMED = 'malformed'
    TOO_LARGE = 'too_large'
    UNKNOWN_KEY = 'unknown_key'


# Refusals by an instance that guarantee that the statement was not executed.
NOT_RUN = frozenset(
    (
        Code.BUSY,
        Code.BEHIND,
        Code.READ_ONLY,
        Code.WRONG_INSTANCE,
        Code.CONNECTION_LIMIT,
    )
)


class State(enum.Enum):
    """Transaction state of a session or a link."""

    IDLE = 'idle'
    OPEN = 'open'
    FAILED = 'failed'


class Statement(msgspec.Struct, frozen=True):
    """Parsed statement of a client.

    Attributes:
      request_id: Identifier assigned by the client.
      verb: Kind of statement.
      name: Name of a session setting or a prepared statement.
      argument: Rest of the text after the name.
      text: Original text, passed to the instance unchanged.
    """

    request_id: str
    verb: Verb
    name: str = ''
    argument: str = ''
    text: str = ''


class Prepared(msgspec.Struct, frozen=True):
    """Prepared statement of a session.

    Attributes:
      writes: Whether it writes data.
      shape: Text of the statement, as given to PREPARE.
    """

    writes: bool
    shape: str


class Reply(msgspec.Struct):
    """Complete reply of an instance to one command.

    Attributes:
      rows: Result rows.
      signature: Signature of the instance, passed to the client as proof of
        execution.
      code: Error code, or None after a success.
      detail: Text of the error.
      state: Transaction state of the link after the command.
      position: Last log position that the instance has applied.
      status: Status of the instance, if the command requested it.
      succeeded: Number of commands that succeeded before the first error, if
        several were sent together.
    """

    rows: tuple[str, ...] = ()
    signature: str = '-'
    code: Code | None = None
    detail: str = ''
    state: State = State.IDLE
    position: records.Position | None = None
    succeeded: int = 0
    status: records.InstanceStatus | None = None


class Answer(msgspec.Struct):
    """Complete answer to one statement of a client."""

    rows: tuple[str, ...] = ()
    signature: str = '-'
    code: Code | None = None
    detail: str = ''
    state: State = State.IDLE
    position: records.Position | None = None
