"""Client sessions: values, prepared statements and transaction state."""

import collections
import typing

from jacinthhaven.sql import records, statements


class Transaction:
    """Open transaction of a session.

    Attributes:
      route: Route that was in force when the transaction began.
      read_only: Whether the client announced that it only reads.
      link: Link that executes it, once its first statement has run.
      begun: Whether the instance has begun it.
      failed: Whether only its end is accepted.
      lost: Whether it failed without the client knowing it yet.
      active_ms: When the client or the proxy last did something.
    """

    __slots__ = (
        'route',
        'read_only',
        'link',
        'begun',
        'failed',
        'lost',
        'active_ms',
    )

    def __init__(
        self,
        route: records.Route,
        read_only: bool,
        now_ms: int,
    ) -> None:
        """Begin a transaction without a link."""
        self.route = route
        self.read_only = read_only
        self.link: typing.Any = None
        self.begun = False
        self.failed = False
        self.lost = False
        self.active_ms = now_ms


class Session:
    """One client connection.

    Attributes:
      number: Number of the connection within the process.
      database: Database name that the client connects to.
      settings: Acknowledged session values.
      prepared: Prepared statements by the client's names.
      position: Position of the last commit of this session.
      transaction: Open transaction, if any.
      work: Statement that is being executed, if any.
      waiting: Statements that arrived before the previous answer.
      active_ms: When it was opened or last had a statement or an answer.
    """

    __slots__ = (
        'number',
        'database',
        'settings',
        'prepared',
        'position',
        'transaction',
        'work',
        'waiting',
        'active_ms',
    )

    def __init__(self, number: int, database: str, now_ms: int) -> None:
        """Start an idle session."""
        self.active_ms = now_ms
        self.number = number
        self.database = database
        self.settings: dict[str, str] = {}
        self.prepared: dict[str, statements.Prepared] = {}
        self.position: records.Position | None = None
        self.transaction: Transaction | None = None
        self.work: typing.Any = None
        self.waiting: collections.deque[statements.Statement] = (
            collections.deque()
        )

    @property
    def idle(self) -> bool:
        """Return whether neither a statement nor a transaction is open."""
        return self.work is None and self.transaction is None

    @property
    def state(self) -> statements.State:
        """Return the transaction state that the client sees."""
        if self.transaction is None:
            return statements.State.IDLE
        if self.transaction.failed:
            return statements.State.FAILED
        return statements.State.OPEN

    def writes(self, statement: statements.Statement) -> bool:
        """Return whether a statement changes data."""
        if statement.verb is statements.Verb.EXECUTE:
            return self.prepared[statement.name].writes
        return statement.verb is statements.Verb.WRITE

    def committed(self, position: records.Position | None) -> None:
        """Remember the position of a commit of this session."""
        if position is None:
            return
        if self.position is None or position > self.position:
            self.position = position


class Work:
    """One statement of a client that needs an instance.

    Attributes:
      session: Session of the client.
      statement: Statement to execute.
      route: Route in force.
      needs_primary: Whether only the primary may execute it.
      strict_read: Whether it reads the newest data outside a transaction.
      repeatable: Whether it may run again after an unknown outcome.
      arrived_ms: When it arrived.
      deadline_ms: When it must be answered.
      service_ms: Expected time of its execution when it was queued.
      link: Link that executes it, if any.
      started_ms: When the statement itself was sent.
      sent: Whether the statement itself was sent.
      guarded: Whether it runs inside a transaction of its own, which only
        succeeds while the instance leads.
      tried: Instances that cannot execute it now.
      done: Whether the client has its answer.
    """

    __slots__ = (
        'session',
        'statement',
        'route',
        'needs_primary',
        'strict_read',
        'repeatable',
        'arrived_ms',
        'deadline_ms',
        'service_ms',
        'link',
        'started_ms',
        'sent',
        'guarded',
        'tried',
        'done',
    )

    def __init__(
        self,
        session: Session,
        statement: statements.Statement,
        route: records.Route,
        now_ms: int,
    ) -> None:
        """Classify a statement of a session."""
        self.session = session
        self.statement = statement
        self.route = route
        transaction = session.transaction
        writes = session.writes(statement)
        strict = route.mode is records.Mode.PRIMARY
        plain = transaction is not None and not transaction.read_only
        self.needs_primary = writes or strict or plain
        self.repeatable = transaction is None and not writes
        self.strict_read = strict and self.repeatable
        self.arrived_ms = now_ms
        self.deadline_ms = now_ms + route.timeout_ms
        self.service_ms: float = 0
        self.link: typing.Any = None
        self.started_ms = 0
        self.sent = False
        self.guarded = False
        self.tried: set[str] = set()
        self.done = False

    @property
    def commits(self) -> bool:
        """Return whether a success makes changes last."""
        return (
            self.statement.verb is statements.Verb.COMMIT
            or self.session.transaction is None
            and not self.repeatable
        )
