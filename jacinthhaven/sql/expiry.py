"""Sessions and transactions that a node ends by itself.

Transactions end that are idle for too long, whose key was removed, or that
still run when the process stops. Inactive sessions are closed, since their
clients only have to connect again.
"""

import typing

from jacinthhaven.sql import access, ports, records, sessions

# A session counts as inactive after this time without traffic. An active client
# sends its next statement sooner; closing the session earlier could lose a
# statement in transit.
INACTIVITY_MS = 400


class Host(typing.Protocol):
    """The part of a gateway that this module uses."""

    sessions: dict[int, sessions.Session]
    groups: typing.Mapping[str, typing.Any]
    configuration: records.Configuration
    access: access.Access
    clients: ports.Clients
    journal: ports.Journal
    executor: typing.Any

    def on_closed(self, number: int, now_ms: int) -> None:
        """Remove a closed session and roll back its open transaction."""


def close_inactive(host: Host, now_ms: int) -> None:
    """Close all inactive sessions."""
    for session in tuple(host.sessions.values()):
        close_if_inactive(host, session, now_ms)


def close_if_inactive(
    host: Host, session: sessions.Session, now_ms: int
) -> bool:
    """Close a session if it is inactive; return whether it was closed."""
    if not session.idle or now_ms - session.active_ms < INACTIVITY_MS:
        return False
    # A statement in the receive buffer must still be answered.
    if host.clients.has_more(session.number):
        return False
    host.clients.close(session.number)
    host.on_closed(session.number, now_ms)
    return True


def abort_transactions(host: Host, now_ms: int) -> None:
    """Roll back the transactions that have no running statement."""
    for session in tuple(host.sessions.values()):
        _abort_if_open(host, session, now_ms, 'stopping')


def end_revoked(host: Host, now_ms: int) -> None:
    """End the transactions and inactive sessions of removed keys.

    A statement that runs is still answered, and its transaction ends after it.
    """
    for session in tuple(host.sessions.values()):
        if host.access.allows(session.database, session.key_digest):
            continue
        if session.database in host.configuration.routes:
            _abort_if_open(host, session, now_ms, 'key_removed')
            close_if_inactive(host, session, now_ms)


def end_idle(host: Host, now_ms: int) -> None:
    """Roll back the transactions that exceed the idle timeout."""
    limit_ms = host.configuration.transaction_idle_ms
    if not limit_ms:
        return
    for session in tuple(host.sessions.values()):
        if session.work is None and _is_idle_for(
            session.transaction, limit_ms, now_ms
        ):
            _expire(host, session, now_ms, 'idle')


def _abort_if_open(
    host: Host, session: sessions.Session, now_ms: int, reason: str
) -> None:
    """Roll back the transaction of a session unless a statement runs."""
    transaction = session.transaction
    if transaction is None or session.work is not None:
        return
    if not transaction.failed:
        _expire(host, session, now_ms, reason)


def _expire(
    host: Host, session: sessions.Session, now_ms: int, reason: str
) -> None:
    """Roll back a transaction; the next answer tells the client."""
    transaction = session.transaction
    host.journal.write(
        'transaction_expired',
        {
            'session': session.number,
            'database': session.database,
            'reason': reason,
        },
    )
    if transaction.link is not None:
        service_group = host.groups[transaction.route.service]
        host.executor.release(service_group, transaction.link, now_ms)
    transaction.fail_unreported()


def _is_idle_for(
    transaction: sessions.Transaction | None, limit_ms: int, now_ms: int
) -> bool:
    """Return whether a transaction holds a link and has been idle."""
    if transaction is None or transaction.link is None:
        return False
    return now_ms - transaction.active_ms >= limit_ms
