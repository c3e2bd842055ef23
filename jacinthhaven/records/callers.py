"""Records of the caller protocol (HTTP/1.1 with JSON)."""

import msgspec

SETTLEMENT = 'settlement'
NORMAL = 'normal'
HISTORY = 'history'
PRIORITIES = (SETTLEMENT, NORMAL, HISTORY)


class StatementRequest(msgspec.Struct, omit_defaults=True):
    """Body of `POST /v1/databases/<name>/statements`.

    Attributes:
      kind: `read`, `write`, `begin`, `statement`, `commit` or `rollback`.
      statement: Statement for the backend server, passed on unchanged.
      session: Session id; empty starts a new session.
      request_id: Caller's id of a write, unique within the session; the
        proxy assigns one if empty.
      token: Session token of the previous answer; empty if unknown.
      transaction: Transaction id given by the answer to `begin`.
      max_age_ms: Allowed age of a read's data; 0 asks for current data.
      deadline_ms: Time the caller will wait; 0 takes the preset's value.
      repeatable: Whether the write may run more than once.
      priority: `settlement`, `normal` or `history`.
    """

    kind: str = 'read'
    statement: msgspec.Raw = msgspec.Raw(b'null')
    session: str = ''
    request_id: str = ''
    token: str = ''
    transaction: str = ''
    max_age_ms: int = 0
    deadline_ms: int = 0
    repeatable: bool = False
    priority: str = NORMAL


class OutcomeRequest(msgspec.Struct, omit_defaults=True):
    """Body of `POST /v1/databases/<name>/outcomes`."""

    session: str
    request_id: str
    token: str = ''
    deadline_ms: int = 0


class Answer(msgspec.Struct, omit_defaults=True):
    """Body of every answer to a statement or outcome request.

    Attributes:
      outcome: `done`, `not_run` or `unknown`.
      session: Session id.
      request_id: Id of the request, also when the proxy assigned it.
      result: Result of the statement.
      token: Session token to send with the next request.
      transaction: Transaction id, after `begin`.
      error: Failure code, if the outcome is not `done`.
      detail: Explanation for people.
      served_by: Instance that executed the statement.
      role: `primary` or `replica`.
      term: Term of the data.
      position: Log position of the data.
      preset_revision: Revision of the preset that decided the routing.
      duplicate: Whether a recorded result was returned.
    """

    outcome: str
    session: str = ''
    request_id: str = ''
    result: msgspec.Raw = msgspec.Raw(b'null')
    token: str = ''
    transaction: str = ''
    error: str = ''
    detail: str = ''
    served_by: str = ''
    role: str = ''
    term: int = 0
    position: int = 0
    preset_revision: int = 0
    duplicate: bool = False
