"""State of a client session that an owner executes for another node."""

import typing

from jacinthhaven.sql import statements

# Time without a line from the owner after which its process is pinged.
_PING_AFTER_MS = 300
# Time without a reply to the ping after which the owner counts as failed.
_PONG_TIMEOUT_MS = 300
# Timeout for an owner to accept a session before the next one is tried.
_ACCEPT_TIMEOUT_MS = 150

_READS = frozenset((statements.Verb.READ, statements.Verb.BEGIN_READ))
_NO_SIDE_EFFECTS = frozenset(
    (
        statements.Verb.BEGIN,
        statements.Verb.ROLLBACK,
        statements.Verb.SET,
        statements.Verb.PREPARE,
        statements.Verb.DEALLOCATE,
        statements.Verb.INVALID,
    ),
)
# Statements that an owner answers without a database, unless they are malformed.
ANSWERED_BY_OWNER = frozenset(
    (
        statements.Verb.BEGIN,
        statements.Verb.BEGIN_READ,
        statements.Verb.ROLLBACK,
        statements.Verb.SET,
        statements.Verb.PREPARE,
        statements.Verb.DEALLOCATE,
    ),
)


class RelayedSession:
    """Client session that an owner executes.

    Attributes:
      number: Number of the client connection.
      database: Database that the client asked for.
      key_digest: Digest of the client's key, or ''.
      candidates: Owners that have not been tried yet.
      owner: Owner that executes the session or is being tried.
      relay: Number of the connection to the owner.
      accepted: Whether the owner has accepted the session.
      state: Transaction state after the last answer.
      unanswered: Statements without an answer, oldest first.
      refused: Number of statements that are refused after those.
      active_ms: When the owner was last tried or pinged, when it last sent a
        line, or when a statement was sent while none was unanswered.
      tried_ms: When the owner was asked to execute the session.
      sent_ms: When the last statement was sent; 0 if others were unanswered then.
      pinged: Whether a ping to the owner is unanswered.
    """

    __slots__ = (
        'number',
        'database',
        'key_digest',
        'candidates',
        'owner',
        'relay',
        'accepted',
        'state',
        'unanswered',
        'refused',
        'active_ms',
        'tried_ms',
        'sent_ms',
        'pinged',
    )

    def __init__(self, start: 'PendingStart', owners: list[str]) -> None:
        """Create a session that no owner has been asked to execute."""
        self.number = start.number
        self.database = start.database
        self.key_digest = start.key_digest
        self.candidates = owners
        self.owner = ''
        self.relay = 0
        self.accepted = False
        self.state = statements.State.IDLE
        self.unanswered: list[statements.Statement] = []
        self.refused = 0
        self.active_ms = 0
        self.tried_ms = 0
        self.sent_ms = 0
        self.pinged = False

    @property
    def idle(self) -> bool:
        """Return whether closing the session loses no work."""
        return self.state is statements.State.IDLE and not self.unanswered

    def inactive_for(self, now_ms: int) -> int:
        """Return for how long an accepted session has been inactive.

        Returns:
          Milliseconds; 0 if the session is active.
        """
        return now_ms - self.active_ms if self.accepted and self.idle else 0


class PendingStart(typing.NamedTuple):
    """Session that waits until it can be decided which node executes it."""

    number: int
    database: str
    arrived_ms: int
    key_digest: str = ''


def timeout_ms(session: RelayedSession) -> int:
    """Return the time without a line after which the owner is checked."""
    if not session.accepted:
        return _ACCEPT_TIMEOUT_MS
    return _PONG_TIMEOUT_MS if session.pinged else _PING_AFTER_MS


def loss_code(session: RelayedSession) -> statements.Code:
    """Return the error code of the unanswered statements of a lost owner."""
    verbs = {statement.verb for statement in session.unanswered}
    if session.state is statements.State.OPEN:
        if statements.Verb.COMMIT in verbs:
            return statements.Code.OUTCOME_UNKNOWN
        return statements.Code.ABORTED
    if verbs <= _READS | _NO_SIDE_EFFECTS:
        return statements.Code.ABORTED
    return statements.Code.OUTCOME_UNKNOWN
