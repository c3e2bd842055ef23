"""Order in which the state of a session decides about its next statement.

A lost transaction is reported first, then what the stop of the process refuses.
What needs no instance is answered locally.
"""

import typing

from jacinthhaven.sql import local_statements, sessions, statements


class Gateway(local_statements.LocalGateway, typing.Protocol):
    """The part of a gateway that this module uses."""

    refused_verbs: frozenset[statements.Verb]


_TRANSACTION_ENDS = frozenset(
    (statements.Verb.COMMIT, statements.Verb.ROLLBACK)
)


def handle(
    gateway: Gateway,
    session: sessions.Session,
    statement: statements.Statement,
    now_ms: int,
) -> None:
    """Answer a statement locally, let an instance execute it, or refuse it."""
    transaction = session.transaction
    verb = statement.verb
    if transaction is not None:
        transaction.active_ms = now_ms
        ends_transaction = verb in _TRANSACTION_ENDS
        if transaction.failure_unreported and not ends_transaction:
            transaction.failure_unreported = False
            gateway.answer_error(
                session, statements.Code.ABORTED, 'transaction lost'
            )
            return
        if transaction.failed:
            _handle_failed(gateway, session, ends_transaction, now_ms)
            return
    if verb in gateway.refused_verbs:
        _refuse(gateway, session)
        return
    handler = local_statements.HANDLERS.get(verb)
    if handler is not None:
        handler(gateway, session, statement, now_ms)
        return
    gateway.execute(session, statement, now_ms)


def _refuse(gateway: Gateway, session: sessions.Session) -> None:
    """Refuse a statement, since the process is about to exit."""
    transaction = session.transaction
    code = statements.Code.BUSY
    if transaction is not None:
        code = statements.Code.ABORTED
    gateway.answer_error(session, code, 'stopping')


def _handle_failed(
    gateway: Gateway,
    session: sessions.Session,
    ends_transaction: bool,
    now_ms: int,
) -> None:
    """Answer a statement of a failed transaction."""
    if ends_transaction:
        lost = session.transaction.failure_unreported
        gateway.end_transaction(session, now_ms)
        if lost:
            gateway.answer_error(
                session, statements.Code.ABORTED, 'transaction lost'
            )
        else:
            gateway.answer_success(session)
    else:
        gateway.answer_error(
            session, statements.Code.MALFORMED, 'failed transaction'
        )
