"""One caller request at the entry, and the forwards made from it."""

import dataclasses

import msgspec

from jacinthhaven.decide import tokens
from jacinthhaven.records import callers, peers

# The owner's more precise answer at its deadline must arrive first.
_ANSWER_MARGIN_MS = 30


@dataclasses.dataclass(slots=True)
class Pending:
    """One caller request that waits for its answer.

    Attributes:
      number: Number of the request.
      database: Name of the database.
      kind: Kind of the work.
      body: Request with session and request id filled in.
      token: Session token; extended by the answer.
      sent_token: Session token as the caller sent it.
      deadline_ms: When the request is given up.
      member: Owner that has it now; empty if none has.
      attempt: Number of the newest attempt.
      tried: Owners that could not execute it.
      maybe_run: Whether an owner was lost that may have executed it.
      strict: Whether it needs a proof of the term after its arrival.
      retry_ms: When to look for an owner again.
    """

    number: int
    database: str
    kind: str
    body: callers.StatementRequest | callers.OutcomeRequest
    token: tokens.Token
    deadline_ms: int
    member: str = ''
    attempt: int = 0
    tried: set[str] = dataclasses.field(default_factory=set)
    maybe_run: bool = False
    strict: bool = False
    retry_ms: int = 0
    sent_token: tokens.Token | None = None

    def __post_init__(self) -> None:
        """Remember the token before the answer extends it."""
        self.sent_token = self.token


def statement_forward(
    pending: Pending,
    now_ms: int,
) -> peers.StatementForward:
    """Return the forward of a statement request.

    The owner gets the position that a read must see instead of the token.
    """
    body = msgspec.structs.replace(pending.body, token='')
    forward = peers.StatementForward(
        pending.number,
        pending.database,
        msgspec.json.encode(body),
        _remaining_ms(pending, now_ms),
        attempt=pending.attempt,
        strict=pending.strict,
    )
    needed = pending.token.positions.get(pending.database)
    if needed is not None:
        forward.needed_term = needed.term
        forward.needed_position = needed.position
    return forward


def outcome_forward(pending: Pending, now_ms: int) -> peers.OutcomeForward:
    """Return the forward that asks for the outcome of a write."""
    question = callers.OutcomeRequest(
        pending.token.session,
        pending.body.request_id,
    )
    return peers.OutcomeForward(
        pending.number,
        pending.database,
        msgspec.json.encode(question),
        _remaining_ms(pending, now_ms),
        pending.attempt,
    )


def has_time(pending: Pending, now_ms: int) -> bool:
    """Return whether another attempt could still be answered in time."""
    return _remaining_ms(pending, now_ms) > _ANSWER_MARGIN_MS


def _remaining_ms(pending: Pending, now_ms: int) -> int:
    return max(pending.deadline_ms - now_ms - _ANSWER_MARGIN_MS, 1)
