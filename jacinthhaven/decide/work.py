"""One request on its way through an owner."""

import dataclasses

from jacinthhaven.decide import admission, tokens
from jacinthhaven.kernel import failures
from jacinthhaven.records import callers

READ = 'read'
WRITE = 'write'
BEGIN = 'begin'
STATEMENT = 'statement'
COMMIT = 'commit'
ROLLBACK = 'rollback'
RESOLVE = 'resolve'
KINDS = frozenset((READ, WRITE, BEGIN, STATEMENT, COMMIT, ROLLBACK))
# Steps of an open transaction; they need the connection that it holds.
STEPS = frozenset((STATEMENT, COMMIT, ROLLBACK))
# Kinds that finish earlier work; an isolated node still executes them.
ONGOING = STEPS | {RESOLVE}
# Kinds that choose the copy whose data the session will read.
READING = frozenset((READ, BEGIN))
# Kinds that put an entry into the log, under a request key.
LOGGED = frozenset((WRITE, COMMIT, RESOLVE))


@dataclasses.dataclass(frozen=True, slots=True)
class Origin:
    """Where the answer goes: entry, its request number and attempt."""

    member: str
    number: int
    attempt: int = 1


@dataclasses.dataclass(slots=True, eq=False)
class Work:
    """State of one request at an owner.

    Attributes:
      origin: Where the answer goes.
      database: Name of the database.
      kind: One of the kind constants of this module.
      session: Session that sent the request.
      deadline_ms: Time on the owner's clock after which it is given up.
      arrived_ms: When it arrived at the owner.
      request_key: Key that the database keeps with the change.
      fingerprint: Hash of kind and statement.
      statement: Statement for the backend server.
      transaction: Id of the transaction that it belongs to.
      needed: Position that a read must see, or None.
      strict: Whether the answer must wait until the term of the data was
        proved current after the arrival.
      max_age_ms: Allowed age of the data; 0 for current data.
      priority: Priority of `records.callers`.
      lane: Queue lane.
      instance: Instance that it was sent to last.
      connection: Connection that it was sent on last.
      term: Term that it was sent with last.
      lost: Whether a copy was sent whose result will not be seen.
      refusal: Failure to report once the request key is cancelled.
      finished: Whether it was answered.
      parked_until_ms: How long it waits for a replica; 0 if it never did.
      answer: Answer that waits for confirmation.
      position: Log position to confirm, or 0.
      reason: Why the route was chosen, for the decision log.
    """

    origin: Origin
    database: str
    kind: str
    session: str
    deadline_ms: int
    arrived_ms: int = 0
    request_key: str = ''
    fingerprint: str = ''
    statement: bytes = b'null'
    transaction: str = ''
    needed: tokens.Position | None = None
    strict: bool = False
    max_age_ms: int = 0
    priority: str = callers.NORMAL
    lane: str = admission.PRIMARY_LANE
    instance: str = ''
    connection: int = 0
    term: int = 0
    lost: bool = False
    refusal: failures.Failure | None = None
    finished: bool = False
    parked_until_ms: int = 0
    answer: callers.Answer | None = None
    position: int = 0
    reason: str = ''

    @property
    def logged(self) -> bool:
        """Return whether the request puts an entry into the log."""
        return self.kind in LOGGED


@dataclasses.dataclass(slots=True)
class OwnerAnswer:
    """Owner to node: answer to one request.

    Attributes:
      origin: Where the answer goes.
      answer: Body of the answer.
      failure: Failure that the answer reports, or None.
    """

    origin: Origin
    answer: callers.Answer
    failure: failures.Failure | None = None
