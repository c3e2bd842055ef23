"""Execution of statements on a database copy, with transactions.

A transaction is buffered on its connection and becomes one log entry at
commit, so nothing of it is visible before and nothing remains if the
connection closes.
"""

import collections
import types
import typing

import msgspec

from jacinthhaven.kernel import failures
from jacinthhaven.records import backend
from jacinthhaven.standins import (
    connection_table,
    database_copy,
    replicated_log,
    statements,
)


def execute(
    copy: database_copy.DatabaseCopy,
    connection: connection_table.OpenConnection,
    request: backend.ExecuteRequest,
) -> backend.ExecuteReply:
    """Execute one request.

    Args:
      copy: Copy of the request's database.
      connection: Connection that the request arrived on.
      request: Statement and its kind.

    Returns:
      The result with the log position that it belongs to.

    Raises:
      database_copy.RefusedError: If the request is refused.
      statements.RejectedError: If the statement is malformed or does not
        fit the stored values.
    """
    executor = _EXECUTORS.get(request.kind)
    if executor is None:
        raise database_copy.RefusedError(
            failures.BAD_REQUEST,
            f'unknown kind {request.kind}',
        )
    return executor(copy, connection, request)


def _read(
    copy: database_copy.DatabaseCopy,
    _connection: connection_table.OpenConnection,
    request: backend.ExecuteRequest,
) -> backend.ExecuteReply:
    statement = statements.parse(request.statement)
    if not isinstance(statement, statements.READS):
        raise statements.RejectedError('the statement is not a read')
    return _reply(copy, statement.run(copy.log.rows))


def _write(
    copy: database_copy.DatabaseCopy,
    _connection: connection_table.OpenConnection,
    request: backend.ExecuteRequest,
) -> backend.ExecuteReply:
    copy.require_primary(request.term)
    known = _find_recorded(copy, request)
    if known is not None:
        return known
    entry = replicated_log.Entry(
        copy.term,
        replicated_log.WRITE,
        (statements.parse(request.statement),),
        request.request_key,
        request.fingerprint,
    )
    return _append(copy, entry)


def _begin(
    copy: database_copy.DatabaseCopy,
    connection: connection_table.OpenConnection,
    request: backend.ExecuteRequest,
) -> backend.ExecuteReply:
    copy.require_primary(request.term)
    if connection.transaction is not None:
        raise statements.RejectedError('a transaction is already open')
    connection.transaction = connection_table.Transaction(
        copy.name,
        copy.term,
        [],
    )
    return _reply(copy, None)


def _statement(
    copy: database_copy.DatabaseCopy,
    connection: connection_table.OpenConnection,
    request: backend.ExecuteRequest,
) -> backend.ExecuteReply:
    copy.require_primary(request.term)
    transaction = _open_transaction(copy, connection, request.term)
    statement = statements.parse(request.statement)
    planned = [*transaction.steps, statement]
    outcomes = statements.run_all(
        planned,
        collections.ChainMap({}, copy.log.rows),
    )
    transaction.steps = planned
    return _reply(copy, outcomes[-1])


def _commit(
    copy: database_copy.DatabaseCopy,
    connection: connection_table.OpenConnection,
    request: backend.ExecuteRequest,
) -> backend.ExecuteReply:
    # A commit ends the transaction also when it is refused.
    transaction = connection.transaction
    connection.transaction = None
    copy.require_primary(request.term)
    known = _find_recorded(copy, request)
    if known is not None:
        return known
    transaction = _check_transaction(copy, transaction, request.term)
    entry = replicated_log.Entry(
        copy.term,
        replicated_log.COMMIT,
        tuple(transaction.steps),
        request.request_key,
        request.fingerprint,
    )
    return _append(copy, entry)


def _rollback(
    copy: database_copy.DatabaseCopy,
    connection: connection_table.OpenConnection,
    _request: backend.ExecuteRequest,
) -> backend.ExecuteReply:
    if connection.transaction is None:
        raise _unknown_transaction(copy)
    connection.transaction = None
    return _reply(copy, None)


def _open_transaction(
    copy: database_copy.DatabaseCopy,
    connection: connection_table.OpenConnection,
    term: int,
) -> connection_table.Transaction:
    return _check_transaction(copy, connection.transaction, term)


def _check_transaction(
    copy: database_copy.DatabaseCopy,
    transaction: connection_table.Transaction | None,
    term: int,
) -> connection_table.Transaction:
    # A transaction that began in an earlier term is lost with that term.
    if transaction is None or (transaction.database, transaction.term) != (
        copy.name,
        term,
    ):
        raise _unknown_transaction(copy)
    return transaction


def _unknown_transaction(
    copy: database_copy.DatabaseCopy,
) -> database_copy.RefusedError:
    return database_copy.RefusedError(
        failures.UNKNOWN_TRANSACTION,
        'no transaction of this database and term is open here',
        copy.term,
    )


def _find_recorded(
    copy: database_copy.DatabaseCopy,
    request: backend.ExecuteRequest,
) -> backend.ExecuteReply | None:
    known = copy.log.recorded.get(request.request_key)
    if known is None:
        return None
    if known.cancelled:
        raise database_copy.RefusedError(
            failures.CANCELLED,
            'the request key was cancelled',
            copy.term,
        )
    if known.fingerprint != request.fingerprint:
        raise database_copy.RefusedError(
            failures.REQUEST_ID_REUSED,
            'the request key was recorded with another statement',
            copy.term,
        )
    return backend.ExecuteReply(
        log_term=copy.log.term,
        position=known.position,
        result=known.result,
        duplicate=True,
    )


def _append(
    copy: database_copy.DatabaseCopy,
    entry: replicated_log.Entry,
) -> backend.ExecuteReply:
    recorded = copy.log.write(entry)
    return backend.ExecuteReply(
        log_term=copy.log.term,
        position=recorded.position,
        result=recorded.result,
    )


def _reply(
    copy: database_copy.DatabaseCopy,
    result: typing.Any,
) -> backend.ExecuteReply:
    return backend.ExecuteReply(
        log_term=copy.log.term,
        position=copy.log.position,
        result=msgspec.Raw(msgspec.json.encode(result)),
    )


_EXECUTORS = types.MappingProxyType(
    {
        'read': _read,
        'write': _write,
        'begin': _begin,
        'statement': _statement,
        'commit': _commit,
        'rollback': _rollback,
    },
)
