"""History of a scenario as its callers saw it."""

import dataclasses
import typing

from jacinthhaven.records import callers

READ = 'read'
WRITE = 'write'
OUTCOME = 'outcome'
COMMIT = 'commit'
DONE = 'done'
NOT_RUN = 'not_run'
UNKNOWN = 'unknown'
CANCELLED = 'cancelled'


@dataclasses.dataclass(slots=True)
class Request:
    """One request of a caller and what it got.

    Attributes:
      session: Label of the session.
      database: Name of the database.
      kind: Kind of the statement, or `outcome`.
      key: Row that it reads or changes.
      tag: Value that a write appends; unique.
      request_id: Request id of a write.
      transaction: Transaction id.
      max_age_ms: Allowed age of a read.
      session_id: Session id sent to the proxy; empty for a new session.
      proxy: Proxy that it was sent to.
      with_token: Whether a token was sent.
      sent_ms: When it was sent.
      answered_ms: When the answer or the loss was seen; -1 for neither.
      refused: Whether the proxy accepted no connection any more.
      answer: Answer; None if the connection was lost or given up.
    """

    session: str
    database: str
    kind: str
    key: str = ''
    tag: str = ''
    request_id: str = ''
    transaction: str = ''
    max_age_ms: int = 0
    session_id: str = ''
    proxy: str = ''
    with_token: bool = False
    sent_ms: int = -1
    answered_ms: int = -1
    answer: callers.Answer | None = None
    refused: bool = False

    def __str__(self) -> str:
        """Return a short description for messages."""
        subject = self.tag or self.key
        place = f'{self.session} {self.database} {self.kind}'
        return f'{place} {subject} at {self.sent_ms} ms'

    @property
    def outcome(self) -> str:
        """Return the outcome, `unknown` without an answer."""
        return self.answer.outcome if self.answer else UNKNOWN


@dataclasses.dataclass(slots=True)
class Change:
    """One write or transaction and what its caller concluded.

    Attributes:
      session: Label of the session.
      database: Name of the database.
      request_id: Request id of the write or commit.
      session_id: Session id; empty before the first answer.
      steps: Row and tag of every statement, in order.
      conclusion: Outcome that the caller relies on.
      acknowledged_ms: When `done` was first seen; -1 if never.
      requests: All attempts and outcome questions.
    """

    session: str
    database: str
    request_id: str
    session_id: str = ''
    steps: list[tuple[str, str]] = dataclasses.field(default_factory=list)
    conclusion: str = NOT_RUN
    acknowledged_ms: int = -1
    requests: list[Request] = dataclasses.field(default_factory=list)

    def __str__(self) -> str:
        """Return a short description for messages."""
        return f'{self.session} {self.database} {self.request_id}'

    @property
    def request_key(self) -> str:
        """Return the key that the database keeps with the change."""
        return f'{self.session_id}/{self.request_id}'

    def learn(self, request: Request) -> bool:
        """Draw a conclusion from a request; return whether it is final.

        After an attempt with unknown outcome, the refusal of a further
        attempt says nothing about the earlier one, unless the request key
        was cancelled.
        """
        self.requests.append(request)
        outcome = request.outcome
        final = outcome == DONE
        if outcome == NOT_RUN:
            cancelled = request.answer.error == CANCELLED
            first = len(self.requests) == 1
            final = cancelled or first or request.kind == OUTCOME
        self.conclusion = outcome if final else UNKNOWN
        if outcome == DONE and self.acknowledged_ms < 0:
            self.acknowledged_ms = request.answered_ms
        return final


@dataclasses.dataclass(slots=True)
class Fault:
    """One fault step as it was executed."""

    at_ms: int
    verb: str
    target: str


@dataclasses.dataclass(slots=True)
class History:
    """Everything that the callers saw, and the faults."""

    requests: list[Request] = dataclasses.field(default_factory=list)
    changes: list[Change] = dataclasses.field(default_factory=list)
    faults: list[Fault] = dataclasses.field(default_factory=list)
    end_ms: int = 0

    def by_kind(self, kind: str) -> typing.Iterator[Request]:
        """Yield the requests of a kind that were answered as done."""
        for request in self.requests:
            if request.kind == kind and request.outcome == DONE:
                yield request
