"""State of a caller's request at the entry and its forwards to owners."""

import dataclasses

import msgspec

from jacinthhaven.decide import tokens
from jacinthhaven.records import callers, peers

# Subtracted from the deadline sent to the owner, so that the owner's more
# precise answer arrives before the entry's own deadline.
_ANSWER_MARGIN_MS = 30


@dataclasses.dataclass(slots=True)
class PendingRequest:
    """One caller request that waits for its answer.

    Attributes:
      number: Number of the request.
      database: Name of the database.
      kind: Kind of the work.
      body: Request with session and request id filled in.
      token: Session token; extended by the answer.
      sent_token: Session token as the caller sent it.
      deadline_ms: When the request fails without an answer.
      owner: Owner that is executing it; empty if none is.
      attempt: Number of the latest attempt, from 1; 0 before the first.
      tried: Owners not to be tried again before the next retry.
      maybe_run: Whether an attempt without a known result may have run.
      strict: Whether the answer needs a proof that the term of the data was
        current after the arrival.
      retry_ms: When to look for an owner again, while none is usable.
    """

    number: int
    database: str
    kind: str
    body: callers.StatementRequest | callers.OutcomeRequest
    token: tokens.Token
    deadline_ms: int
    owner: str = ''
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
    pending: PendingRequest,
    now_ms: int,
) -> peers.StatementForward:
    """Return the forward of a statement request.

    Instead of the token it carries the position that a read must see.
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


def outcome_forward(
    pending: PendingRequest, now_ms: int
) -> peers.OutcomeForward:
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


def has_time(pending: PendingRequest, now_ms: int) -> bool:
    """Return whether another attempt can be answered before the deadline."""
    return _remaining_ms(pending, now_ms) > _ANSWER_MARGIN_MS


def _remaining_ms(pending: PendingRequest, now_ms: int) -> int:
    return max(pending.deadline_ms - now_ms - _ANSWER_MARGIN_MS, 1)
