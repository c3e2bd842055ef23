"""What a client may be told about a statement that has no reply.

An answer that says that nothing was kept is true only if the statement was
not sent, or if its transaction can no longer be committed.
"""

from jacinthhaven.sql import sessions, statements

_UNKNOWN = statements.Code.OUTCOME_UNKNOWN


def after_loss(work: sessions.Work) -> statements.Code | None:
    """Return the answer after the link was lost, or None to try again.

    Args:
      work: Statement that was on the link.
    """
    in_doubt = work.sent and work.commits
    if work.session.transaction is not None:
        return _UNKNOWN if in_doubt else statements.Code.ABORTED
    return _UNKNOWN if in_doubt else None


def after_deadline(work: sessions.Work) -> statements.Code:
    """Return the answer when the time of a statement is over."""
    if work.sent and work.commits:
        return _UNKNOWN
    if work.session.transaction is not None:
        return statements.Code.ABORTED
    if work.sent:
        return statements.Code.TIMEOUT
    return statements.Code.BUSY


def in_transaction(code: statements.Code) -> statements.Code:
    """Return the answer to a statement of a transaction that was refused."""
    if code in statements.NOT_RUN:
        return statements.Code.ABORTED
    if code is statements.Code.UNKNOWN_STATEMENT:
        return statements.Code.ABORTED
    return code
