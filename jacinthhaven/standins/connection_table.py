"""Open connections of one database instance, their limit and slot epochs.

The table never exceeds the connection limit, and at most one epoch of a
slot holds connections, so the proxies' shares add up to the limit.
"""

import typing

import msgspec

from jacinthhaven.kernel import failures
from jacinthhaven.records import backend
from jacinthhaven.standins import statements

Connection = typing.Hashable


class Transaction(msgspec.Struct):
    """Statements of an open transaction that are not in the log yet."""

    database: str
    term: int
    steps: list[statements.Statement]


class OpenConnection(msgspec.Struct):
    """State of one database connection."""

    slot: str
    epoch: int
    transaction: Transaction | None = None


class ConnectionTable:
    """Connections by the identifier that the driver chose.

    The driver may set `on_closed(connection)`, which is called for each
    connection that the instance closes.
    """

    def __init__(self, limit: int) -> None:
        """Start without connections.

        Args:
          limit: Largest number of open connections.
        """
        self.limit = limit
        self.connections: dict[Connection, OpenConnection] = {}
        self.epochs: dict[str, int] = {}
        self.peak = 0
        self.refused = 0
        self.on_closed: typing.Callable[[Connection], None] = _ignore

    def open(
        self,
        connection: Connection,
        request: backend.ConnectRequest,
    ) -> backend.ErrorReply | None:
        """Open a connection of a slot; close those of lower epochs.

        Returns:
          None if the connection is open, else the refusal.
        """
        if connection in self.connections:
            return self._refuse(failures.BAD_REQUEST, 'already connected')
        if request.epoch < self.epochs.get(request.slot, 0):
            return self._refuse(
                failures.STALE_EPOCH,
                'the slot has a newer holder',
            )
        self.epochs[request.slot] = request.epoch
        self._close_lower(request)
        if len(self.connections) >= self.limit:
            return self._refuse(
                failures.CONNECTION_REFUSED,
                'connection limit reached',
            )
        self.connections[connection] = OpenConnection(
            request.slot,
            request.epoch,
        )
        self.peak = max(self.peak, len(self.connections))
        return None

    def forget(self, connection: Connection) -> None:
        """Remove a connection; its open transaction is discarded."""
        self.connections.pop(connection, None)

    def close_all(self) -> None:
        """Close every connection and forget the epochs, as a restart does."""
        self.epochs.clear()
        for connection in tuple(self.connections):
            self._close(connection)

    def _close_lower(self, request: backend.ConnectRequest) -> None:
        lower = [
            connection
            for connection, state in self.connections.items()
            if state.slot == request.slot and state.epoch < request.epoch
        ]
        for connection in lower:
            self._close(connection)

    def _close(self, connection: Connection) -> None:
        self.forget(connection)
        self.on_closed(connection)

    def _refuse(self, kind: failures.Kind, detail: str) -> backend.ErrorReply:
        self.refused += 1
        return backend.ErrorReply(kind.code, detail)


def _ignore(_connection: Connection) -> None:
    """Do nothing; default of an unset callback."""
