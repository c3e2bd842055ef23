"""Client sessions: settings, prepared statements and transactions."""

import collections
import typing

from jacinthhaven.sql import customer_keys, leadership, records, statements


class Transaction:
    """Open transaction of a session.

    Attributes:
      routing: Route that was in force when the transaction began.
      read_only: Whether the client declared the transaction read-only.
      link: Link that executes it, set when its first statement is placed.
      lead: Lead under which its first statement was placed.
      begun: Whether the instance has begun the transaction.
      counted: Whether it was admitted under the limit of its customer.
      failed: Whether it failed, so that only COMMIT or ROLLBACK is accepted.
      failure_unreported: Whether it failed and the client was not told yet.
      active_ms: Time of the last statement or answer.
    """

    __slots__ = (
        'routing',
        'read_only',
        'link',
        'lead',
        'begun',
        'counted',
        'failed',
        'failure_unreported',
        'active_ms',
    )

    def __init__(
        self,
        routing: records.Routing,
        read_only: bool,
        now_ms: int,
    ) -> None:
        """Create a transaction that has no link yet."""
        self.routing = routing
        self.read_only = read_only
        self.link: typing.Any = None
        self.lead: leadership.Lead | None = None
        self.begun = False
        self.counted = False
        self.failed = False
        self.failure_unreported = False
        self.active_ms = now_ms

    @property
    def route(self) -> records.Route:
        """Return the route that was in force when the transaction began."""
        return self.routing.route

    def fail(self) -> None:
        """Mark it as failed and detach it from its link."""
        self.link = None
        self.failed = True

    def fail_unreported(self) -> None:
        """Mark it as failed; the answer to the next statement reports it."""
        self.fail()
        self.failure_unreported = True


class Session:
    """One client connection.

    Attributes:
      number: Number of the client connection within the process.
      database: Database name that the client connects to.
      key_digest: Digest of the client's key, or ''.
      settings: Session settings, as acknowledged to the client.
      prepared: Prepared statements by the names that the client gave them.
      position: Log position of the last commit of this session.
      transaction: Open transaction, if any.
      work: Statement that is queued or executing, if any.
      waiting: Pipelined statements, received before the previous answer.
      active_ms: Time of the opening, or of the last statement or answer.
      kept_bytes: Size of the settings and prepared statements.
    """

    __slots__ = (
        'number',
        'database',
        'kept_bytes',
        'key_digest',
        'settings',
        'prepared',
        'position',
        'transaction',
        'work',
        'waiting',
        'active_ms',
    )

    def __init__(
        self, number: int, database: str, now_ms: int, key_digest: str = ''
    ) -> None:
        """Create an idle session."""
        self.key_digest = key_digest
        self.active_ms = now_ms
        self.number = number
        self.database = database
        self.kept_bytes = 0
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
        """Return whether no statement is pending and no transaction is open."""
        return self.work is None and self.transaction is None

    @property
    def state(self) -> statements.State:
        """Return the transaction state as reported to the client."""
        if self.transaction is None:
            return statements.State.IDLE
        if self.transaction.failed:
            return statements.State.FAILED
        return statements.State.OPEN

    def writes(self, statement: statements.Statement) -> bool:
        """Return whether a statement writes data."""
        if statement.verb is statements.Verb.EXECUTE:
            return self.prepared[statement.name].writes
        return statement.verb is statements.Verb.WRITE

    def record_commit(self, position: records.Position | None) -> None:
        """Record the log position of a commit; it never decreases."""
        if position is None:
            return
        if self.position is None or position > self.position:
            self.position = position


class Work:
    """Execution of one client statement by an instance.

    Attributes:
      session: Session of the client.
      statement: Statement to execute.
      routing: Route that applies to the statement.
      needs_primary: Whether only the primary may execute it.
      repeatable: Whether it may run again after an unknown outcome.
      arrived_ms: Time of arrival.
      deadline_ms: Time by which it must be answered.
      turn: Its place in the queue (`backlog.Turn`), or None before it waits.
      link: Link that executes it, if any.
      lead: Lead under which it was last placed.
      started_ms: Time at which the statement, not its setup, was sent.
      sent: Whether the statement, not only its setup, was sent.
      verifies_primary: Whether it runs inside a read-write transaction of
        its own, which succeeds only while the instance is the primary.
      tried: Instances that could not execute it so far.
      done: Whether it was answered or its client has disconnected.
      permit_number: Number under which it waits for a permit, or 0.
    """

    __slots__ = (
        'session',
        'statement',
        'routing',
        'needs_primary',
        'repeatable',
        'arrived_ms',
        'deadline_ms',
        'turn',
        'link',
        'lead',
        'started_ms',
        'sent',
        'verifies_primary',
        'tried',
        'done',
        'permit_number',
    )

    def __init__(
        self,
        session: Session,
        statement: statements.Statement,
        routing: records.Routing,
        now_ms: int,
    ) -> None:
        """Derive how a statement may be executed from its session and route."""
        self.session = session
        self.statement = statement
        self.routing = routing
        route = routing.route
        transaction = session.transaction
        writes = session.writes(statement)
        needs_newest = route.mode is records.ConsistencyLevel.PRIMARY
        read_write = transaction is not None and not transaction.read_only
        self.needs_primary = writes or needs_newest or read_write
        self.repeatable = transaction is None and not writes
        self.arrived_ms = now_ms
        self.deadline_ms = now_ms + route.timeout_ms
        self.turn: typing.Any = None
        self.link: typing.Any = None
        self.lead: leadership.Lead | None = None
        self.started_ms = 0
        self.sent = False
        self.verifies_primary = False
        self.tried: set[str] = set()
        self.done = False
        self.permit_number = 0

    @property
    def route(self) -> records.Route:
        """Return the route that applies to the statement."""
        return self.routing.route

    @property
    def customer(self) -> str:
        """Return the name of the customer that it runs for, or ''."""
        return self.routing.customer

    @property
    def strict_read(self) -> bool:
        """Return whether it is a single read that requires the newest data."""
        newest = self.route.mode is records.ConsistencyLevel.PRIMARY
        return newest and self.repeatable

    @property
    def uses_primary(self) -> bool:
        """Return whether its result depends on the lead of its instance."""
        return self.needs_primary or self.verifies_primary

    @property
    def commits(self) -> bool:
        """Return whether a successful reply means that changes are durable."""
        return (
            self.statement.verb is statements.Verb.COMMIT
            or self.session.transaction is None
            and not self.repeatable
        )


def find_routing(
    session: Session, configuration: records.Configuration
) -> records.Routing | None:
    """Return the route of the open transaction, or of the database.

    Returns:
      The route, or None if the database has none or the client's key does not
      allow it.
    """
    if session.transaction is not None:
        return session.transaction.routing
    route = configuration.routes.get(session.database)
    if route is None:
        return None
    customer = customer_keys.find_customer(
        configuration, route, session.key_digest
    )
    if customer is None:
        return None
    return records.Routing(route, configuration.version, customer)
