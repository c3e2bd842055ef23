"""Error codes for statements without a successful reply.

An answer may say that a statement had no effect only if the statement was
not sent, or if its transaction can no longer be committed.
"""

from jacinthhaven.sql import sessions, statements

_UNKNOWN = statements.Code.OUTCOME_UNKNOWN


def after_loss(work: sessions.Work) -> statements.Code | None:
    """Return the error code after a lost link, or None to retry.

    Args:
      work: Statement that was executing on the link.
    """
    in_doubt = work.sent and work.commits
    if work.session.transaction is not None:
        return _UNKNOWN if in_doubt else statements.Code.ABORTED
    return _UNKNOWN if in_doubt else None


def after_deadline(work: sessions.Work) -> statements.Code:
    """Return the error code of a statement that has passed its deadline."""
    if work.sent and work.commits:
        return _UNKNOWN
    if work.session.transaction is not None:
        return statements.Code.ABORTED
    if work.sent:
        return statements.Code.TIMEOUT
    return statements.Code.BUSY


def in_transaction(code: statements.Code) -> statements.Code:
    """Return the error code for a refused statement of a transaction.

    Args:
      code: Error code of the instance.
    """
    if code in statements.NOT_RUN:
        return statements.Code.ABORTED
    if code is statements.Code.UNKNOWN_STATEMENT:
        return statements.Code.ABORTED
    return code
