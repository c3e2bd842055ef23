"""State of a request at an owner, from arrival to answer."""

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
# Steps of an open transaction, sent on the connection that it holds.
TRANSACTION_STEPS = frozenset((STATEMENT, COMMIT, ROLLBACK))
# Kinds that complete earlier requests; an isolated node executes them too.
ALLOWED_WHEN_ISOLATED = TRANSACTION_STEPS | {RESOLVE}
# Kinds that choose the copy whose data the session reads, so that
# read-your-writes is checked for them.
READ_YOUR_WRITES = frozenset((READ, BEGIN))
# Kinds that append an entry to the log, under a request key.
LOGGED = frozenset((WRITE, COMMIT, RESOLVE))


@dataclasses.dataclass(frozen=True, slots=True)
class Origin:
    """Destination of the answer: entry, its request number and attempt."""

    member: str
    number: int
    attempt: int = 1


@dataclasses.dataclass(slots=True, eq=False)
class Work:
    """State of one request at an owner.

    Attributes:
      origin: Destination of the answer.
      database: Name of the database.
      kind: One of the kind constants of this module.
      session: Session that sent the request.
      deadline_ms: Time on the owner's clock at which it fails.
      arrived_ms: When it arrived at the owner.
      request_key: Idempotency key that the database stores with the change.
      fingerprint: Hash of kind and statement.
      statement: Statement for the backend server, as JSON.
      transaction: Id of the transaction that it belongs to.
      needed: Position that a read must see, or None.
      strict: Whether the answer must wait for a proof that the term of the
        data was current after the arrival.
      max_age_ms: Allowed age of the data; 0 for current data.
      priority: Priority of `records.callers`.
      lane: Queue lane, `primary` or `replica`.
      instance: Instance that it was last sent to.
      connection: Connection that it was last sent on.
      term: Term that it was last sent with.
      maybe_run: Whether a copy may have run whose result is not received.
      refusal: Failure to report once the request key is cancelled.
      finished: Whether it was answered.
      parked_until_ms: Until when it waits for a replica; 0 if it has not
        waited for one.
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
    maybe_run: bool = False
    refusal: failures.Failure | None = None
    finished: bool = False
    parked_until_ms: int = 0
    answer: callers.Answer | None = None
    position: int = 0
    reason: str = ''

    @property
    def logged(self) -> bool:
        """Return whether the request appends an entry to the log."""
        return self.kind in LOGGED


@dataclasses.dataclass(slots=True)
class OwnerAnswer:
    """Owner to node: answer to one request.

    Attributes:
      origin: Destination of the answer.
      answer: Body of the answer.
      failure: Failure that the answer reports, or None.
    """

    origin: Origin
    answer: callers.Answer
    failure: failures.Failure | None = None
