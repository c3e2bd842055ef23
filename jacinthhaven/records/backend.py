"""Records of the protocol between an owner and a backend server.

One backend server is one instance of a database group. Positions count
log entries of one database; a position is only meaningful with its term.
"""

import msgspec


class TermStart(msgspec.Struct, array_like=True, frozen=True):
    """First log position that was written in a term."""

    term: int
    position: int


class DatabaseStatus(msgspec.Struct, omit_defaults=True):
    """State of one instance's copy of one database.

    Attributes:
      database: Name of the database.
      primary: Whether this copy accepts writes of its term.
      term: Highest term this copy has accepted by fence, promote or follow.
      log_term: Term of the last log entry.
      position: Position of the last log entry; 0 for an empty log.
      applied: Position up to which reads on this copy see the log.
      starts: Start of every term in the log, oldest first.
      upstream_silent_ms: Milliseconds since the last contact with the
        primary that this copy follows; 0 on a primary.
    """

    database: str
    primary: bool
    term: int
    log_term: int
    position: int
    applied: int
    starts: list[TermStart] = msgspec.field(default_factory=list)
    upstream_silent_ms: int = 0


class StatusRequest(msgspec.Struct):
    """Long poll for the state of an instance.

    The instance answers at once when its version differs from `seen`, else
    after a change or after `wait_ms` milliseconds.
    """

    seen: int
    wait_ms: int


class InstanceStatus(msgspec.Struct):
    """State of one instance.

    Attributes:
      instance: Name of the instance.
      boot: Identifier that changes with each start of the instance.
      version: Counter that changes with every change of a copy's state.
      leaving: Whether the instance was told to shut down.
      connections: Number of open connections.
      databases: State of every database copy.
    """

    instance: str
    boot: str
    version: int
    leaving: bool
    connections: int
    databases: list[DatabaseStatus]


class ConnectRequest(msgspec.Struct):
    """First request on a connection; names the slot that it belongs to.

    The instance closes connections of the same slot with a lower epoch and
    refuses this one with `stale_epoch` if its epoch is lower.
    """

    slot: str
    epoch: int


class ExecuteRequest(msgspec.Struct, omit_defaults=True):
    """One statement.

    Attributes:
      database: Name of the database.
      term: Term of the primary that the sender knows; writes are refused
        with `stale_term` if the copy is not primary of exactly this term.
      kind: `read`, `write`, `begin`, `statement`, `commit` or `rollback`.
      statement: Statement in the form that the backend kind understands.
      request_key: Unique key of the change, kept with it; empty for reads
        and for statements inside a transaction except `commit`.
      fingerprint: Hash of the statement; a known key with another
        fingerprint is refused with `request_id_reused`.
    """

    database: str
    term: int
    kind: str
    statement: msgspec.Raw = msgspec.Raw(b'null')
    request_key: str = ''
    fingerprint: str = ''


class ExecuteReply(msgspec.Struct, omit_defaults=True):
    """Result of a statement.

    Attributes:
      log_term: Term of the last log entry that the statement saw.
      position: For a write or commit, the position of its log entry; for a
        read, the applied position that it saw.
      result: Result rows.
      duplicate: Whether the key was known and the recorded result returned.
    """

    log_term: int
    position: int
    result: msgspec.Raw = msgspec.Raw(b'null')
    duplicate: bool = False


class ResolveRequest(msgspec.Struct):
    """Question whether a request key was recorded; cancels it if absent."""

    database: str
    term: int
    request_key: str


class ResolveReply(msgspec.Struct, omit_defaults=True):
    """Final state of a request key.

    Attributes:
      done: Whether the change is in the log; otherwise it is cancelled.
      log_term: Term of the last log entry.
      position: Position of the change or of its cancellation.
      result: Recorded result of the change.
    """

    done: bool
    log_term: int
    position: int
    result: msgspec.Raw = msgspec.Raw(b'null')


class FenceRequest(msgspec.Struct):
    """Order to refuse writes and replication of all terms below `term`.

    Accepted only if `term` is higher than the copy's term; otherwise
    refused with `stale_term`.
    """

    database: str
    term: int


class FenceReply(msgspec.Struct):
    """Log end of a fenced copy."""

    term: int
    log_term: int
    position: int


class PromoteRequest(msgspec.Struct):
    """Order to become primary; accepted only if the copy's term equals."""

    database: str
    term: int


class FollowRequest(msgspec.Struct):
    """Order to replicate from a primary.

    Accepted if `term` is at least the copy's term; the copy drops log
    entries that the primary does not have.
    """

    database: str
    term: int
    primary: str


class ErrorReply(msgspec.Struct, omit_defaults=True):
    """Typed refusal; nothing was executed.

    Attributes:
      error: Code of a failure kind.
      detail: Explanation for people.
      term: Current term of the copy, where it matters.
    """

    error: str
    detail: str = ''
    term: int = 0


Request = (
    ConnectRequest
    | ExecuteRequest
    | ResolveRequest
    | StatusRequest
    | FenceRequest
    | PromoteRequest
    | FollowRequest
)
Reply = ExecuteReply | ResolveReply | InstanceStatus | FenceReply
