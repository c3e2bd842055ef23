"""Records of the protocol between proxy processes."""

import msgspec


class StatementForward(msgspec.Struct):
    """Entry to owner: execute a caller's statement.

    Attributes:
      number: Request number of the entry.
      database: Name of the database.
      body: `callers.StatementRequest` as JSON, with session and request id
        filled in.
      remaining_ms: Time left until the caller's deadline.
      needed_term: Term of the newest write that the session has seen.
      needed_position: Its log position; 0 if the session has none.
      strict: Whether the answer needs a proof that the term of the data
        was current after the request arrived.
      attempt: Number of this attempt, from 1.
    """

    number: int
    database: str
    body: bytes
    remaining_ms: int
    needed_term: int = 0
    needed_position: int = 0
    strict: bool = False
    attempt: int = 1


class OutcomeForward(msgspec.Struct):
    """Entry to owner: find out what became of a write.

    Attributes:
      number: Request number of the entry.
      database: Name of the database.
      body: `callers.OutcomeRequest` as JSON.
      remaining_ms: Time left until the caller's deadline.
      attempt: Number of this attempt, from 1.
    """

    number: int
    database: str
    body: bytes
    remaining_ms: int
    attempt: int = 1


class ForwardAnswer(msgspec.Struct):
    """Owner to entry: answer to a forward.

    Attributes:
      number: Request number of the entry.
      attempt: Attempt that is answered.
      answer: `callers.Answer` as JSON.
      failure: Failure code; empty if the outcome is `done`.
      reason: Explanation of the failure.
    """

    number: int
    attempt: int
    answer: bytes
    failure: str = ''
    reason: str = ''


class ForwardCancel(msgspec.Struct):
    """Entry to owner: the caller is gone; drop the request if queued."""

    number: int


class Probe(msgspec.Struct):
    """Entry to a quiet owner: show that you are not frozen."""

    number: int


class ProbeReply(msgspec.Struct):
    """Owner to entry: answer to a probe."""

    number: int


class InstanceSilence(msgspec.Struct):
    """Owner to the other owners of a group: how long instances are silent.

    Attributes:
      group: Name of the group.
      silent_ms: Milliseconds since the last status response, by instance.
    """

    group: str
    silent_ms: dict[str, int]
