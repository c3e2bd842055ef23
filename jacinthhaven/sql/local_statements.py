"""Statements that are answered without an instance.

SET, PREPARE and BEGIN change only the session. Its state is replayed on a link when
a statement needs one.
"""

import types
import typing

from jacinthhaven.limits import kept_texts
from jacinthhaven.sql import records, sessions, statements


class LocalGateway(typing.Protocol):
    """The part of a gateway that these statements use."""

    configuration: records.Configuration
    journal: typing.Any
    kept: kept_texts.KeptTexts

    def execute(
        self,
        session: sessions.Session,
        statement: statements.Statement,
        now_ms: int,
    ) -> None:
        """Let an instance execute a statement."""

    def refusal_code(self, session: sessions.Session) -> statements.Code:
        """Return the error for a session that may use no route now."""

    def answer_success(self, session: sessions.Session) -> None:
        """Answer a statement that was not sent to an instance."""

    def answer_error(
        self, session: sessions.Session, code: statements.Code, detail: str
    ) -> None:
        """Refuse a statement that was not sent to an instance."""

    def end_transaction(self, session: sessions.Session, now_ms: int) -> None:
        """Roll back the open transaction, if any."""


Handler = typing.Callable[
    [LocalGateway, sessions.Session, statements.Statement, int], None
]


def begin(
    gateway: LocalGateway,
    session: sessions.Session,
    statement: statements.Statement,
    now_ms: int,
) -> None:
    """Begin a transaction; no instance is involved yet."""
    if session.transaction is not None:
        gateway.answer_error(
            session, statements.Code.MALFORMED, 'nested transaction'
        )
        return
    routing = sessions.find_routing(session, gateway.configuration)
    if routing is None:
        gateway.answer_error(session, gateway.refusal_code(session), '')
        return
    read_only = (
        statement.verb is statements.Verb.BEGIN_READ
        and routing.route.mode is not records.ConsistencyLevel.PRIMARY
    )
    session.transaction = sessions.Transaction(routing, read_only, now_ms)
    gateway.answer_success(session)


def rollback(
    gateway: LocalGateway,
    session: sessions.Session,
    statement: statements.Statement,
    now_ms: int,
) -> None:
    """Roll back the open transaction, if any."""
    gateway.end_transaction(session, now_ms)
    gateway.answer_success(session)


def commit(
    gateway: LocalGateway,
    session: sessions.Session,
    statement: statements.Statement,
    now_ms: int,
) -> None:
    """Let an instance commit the open transaction."""
    if session.transaction is None:
        gateway.answer_error(
            session, statements.Code.MALFORMED, 'no transaction'
        )
    else:
        gateway.execute(session, statement, now_ms)


def set_value(
    gateway: LocalGateway,
    session: sessions.Session,
    statement: statements.Statement,
    now_ms: int,
) -> None:
    """Store a session setting."""
    known = session.settings.get(statement.name)
    if known is None and len(session.settings) >= kept_texts.MAX_SETTINGS:
        _refuse_text(gateway, session)
        return
    argument = statement.argument
    if not _keep(gateway, session, statement.name, argument, known):
        return
    session.settings[statement.name] = statement.argument
    gateway.answer_success(session)


def prepare(
    gateway: LocalGateway,
    session: sessions.Session,
    statement: statements.Statement,
    now_ms: int,
) -> None:
    """Store a prepared statement."""
    kind, _, shape = statement.argument.partition(' ')
    known = session.prepared.get(statement.name)
    if not _keep(
        gateway, session, statement.name, shape, known and known.shape
    ):
        return
    session.prepared[statement.name] = statements.Prepared(
        kind == statements.Verb.WRITE.value,
        shape,
    )
    gateway.answer_success(session)


def deallocate(
    gateway: LocalGateway,
    session: sessions.Session,
    statement: statements.Statement,
    now_ms: int,
) -> None:
    """Forget a prepared statement."""
    known = session.prepared.pop(statement.name, None)
    if known is None:
        gateway.answer_error(
            session,
            statements.Code.UNKNOWN_STATEMENT,
            statement.name,
        )
    else:
        size = kept_texts.size(statement.name, known.shape)
        gateway.kept.replace(session, size, 0)
        gateway.answer_success(session)


def _keep(
    gateway: LocalGateway,
    session: sessions.Session,
    name: str,
    text: str,
    known: str | None,
) -> bool:
    """Count a text in place of the known one of that name, or refuse it.

    Returns:
      Whether the session may keep the text.
    """
    replaced = 0 if known is None else kept_texts.size(name, known)
    if gateway.kept.replace(session, replaced, kept_texts.size(name, text)):
        return True
    _refuse_text(gateway, session)
    return False


def _refuse_text(gateway: LocalGateway, session: sessions.Session) -> None:
    gateway.answer_error(
        session, statements.Code.TOO_LARGE, 'session keeps too much'
    )


def refuse_invalid(
    gateway: LocalGateway,
    session: sessions.Session,
    statement: statements.Statement,
    now_ms: int,
) -> None:
    """Refuse a statement that is not known."""
    gateway.journal.count('clients_invalid', 'statement')
    gateway.answer_error(
        session, statements.Code.MALFORMED, 'unknown statement'
    )


HANDLERS: typing.Mapping[statements.Verb, Handler] = types.MappingProxyType(
    {
        statements.Verb.BEGIN: begin,
        statements.Verb.BEGIN_READ: begin,
        statements.Verb.ROLLBACK: rollback,
        statements.Verb.COMMIT: commit,
        statements.Verb.SET: set_value,
        statements.Verb.PREPARE: prepare,
        statements.Verb.DEALLOCATE: deallocate,
        statements.Verb.INVALID: refuse_invalid,
    },
)
