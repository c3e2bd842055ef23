"""One database instance of a group as a pure model without sockets.

The stand-in process and the scenarios drive the same model, so that the
proxy meets the same refusals and the same replication in both.
"""

import typing

from jacinthhaven.kernel import failures
from jacinthhaven.records import backend
from jacinthhaven.standins import (
    connection_table,
    database_copy,
    execution,
    statements,
)

Reply = backend.Reply | backend.ErrorReply


class InstanceModel:
    """One instance with a copy of every database of its group.

    Attributes:
      table: Open connections; its `on_closed` reports the connections
        that the instance closes.
      lag_ms: Delay until replicated entries become visible.
      calls: Number of requests on open connections.
    """

    def __init__(
        self,
        name: str,
        databases: typing.Iterable[str],
        connection_limit: int,
        boot: str = '1',
    ) -> None:
        """Start with empty logs.

        Args:
          name: Name of the instance.
          databases: Names of the databases.
          connection_limit: Largest number of open connections.
          boot: Identifier of this start.
        """
        self.name = name
        self.copies = {
            database: database_copy.DatabaseCopy(database)
            for database in databases
        }
        self.boot = boot
        self.table = connection_table.ConnectionTable(connection_limit)
        self.leaving = False
        self.lag_ms = 0
        self.calls = 0
        # Versions start at 1 so that a status request with `seen` 0 is
        # answered at once.
        self.own_changes = 1

    @property
    def version(self) -> int:
        """Return a number that rises with every change of a copy."""
        return self.own_changes + sum(
            copy.changes for copy in self.copies.values()
        )

    def start_as(self, primaries: dict[str, str], now_ms: int) -> None:
        """Assign the first primary of each database that has no term yet.

        Args:
          primaries: Names of the instances by database.
          now_ms: Time of the start.
        """
        for database, copy in self.copies.items():
            # Silence counts from the start, since earlier contacts of a
            # restarted instance are not known.
            copy.contact_ms = now_ms
            primary = primaries.get(database)
            if copy.term or primary is None:
                continue
            copy.fence(1)
            if primary == self.name:
                copy.promote(1)
            else:
                copy.follow(
                    backend.FollowRequest(database, 1, primary),
                    now_ms,
                )

    def open(
        self,
        connection: connection_table.Connection,
        request: backend.ConnectRequest,
    ) -> backend.ErrorReply | None:
        """Open a connection of a slot; close those of lower epochs.

        Returns:
          None if the connection is open, else the refusal.
        """
        return self.table.open(connection, request)

    def close(self, connection: connection_table.Connection) -> None:
        """Forget a connection; its open transaction is discarded."""
        self.table.forget(connection)

    def call(
        self,
        connection: connection_table.Connection,
        request: backend.Request,
        now_ms: int,
    ) -> Reply:
        """Run one request of an open connection.

        A status request is answered at once; the driver implements its
        long poll with `version`.

        Args:
          connection: Identifier given to `open`.
          request: Any request except `ConnectRequest`.
          now_ms: Current time.

        Returns:
          The reply or the refusal.
        """
        self.calls += 1
        self.advance(now_ms)
        try:
            return self._dispatch(connection, request, now_ms)
        except database_copy.RefusedError as refused:
            return refused.reply
        except statements.RejectedError as rejected:
            return backend.ErrorReply(
                failures.STATEMENT_REJECTED.code,
                str(rejected),
            )

    def pull_request(self, database: str) -> database_copy.PullRequest | None:
        """Return the next replication request, or None without a primary."""
        copy = self.copies[database]
        return copy.pull_request(self.name) if copy.upstream else None

    def serve_pull(
        self,
        request: database_copy.PullRequest,
    ) -> database_copy.PullReply | backend.ErrorReply:
        """Answer the replication request of another instance."""
        try:
            return self._copy(request.database).serve_pull(request, self.name)
        except database_copy.RefusedError as refused:
            return refused.reply

    def accept_pull(
        self,
        database: str,
        reply: database_copy.PullReply,
        now_ms: int,
    ) -> bool:
        """Take over the entries of a primary.

        Returns:
          Whether the reply came from the followed primary, fits the log
          and has a term that is not lower than the copy's.
        """
        return self.copies[database].accept_pull(reply, now_ms, self.lag_ms)

    def advance(self, now_ms: int) -> None:
        """Make received entries visible whose delay has passed."""
        for copy in self.copies.values():
            copy.log.show_due(now_ms)

    def next_due_ms(self) -> int | None:
        """Return when the next received entries become visible, or None."""
        dues = [
            copy.log.delayed[0][0]
            for copy in self.copies.values()
            if copy.log.delayed
        ]
        return min(dues, default=None)

    def announce_leaving(self, leaving: bool) -> None:
        """Set the flag that the instance was told to shut down."""
        self.leaving = leaving
        self.own_changes += 1

    def restart(self, boot: str, now_ms: int) -> None:
        """Lose all connections and roles but keep terms and visible logs."""
        self.boot = boot
        self.leaving = False
        self.table.close_all()
        for copy in self.copies.values():
            copy.restart(now_ms)

    def _dispatch(
        self,
        connection: connection_table.Connection,
        request: backend.Request,
        now_ms: int,
    ) -> backend.Reply:
        state = self.table.connections.get(connection)
        if state is None:
            raise database_copy.RefusedError(
                failures.CONNECTION_REFUSED,
                'the connection was not opened',
            )
        if isinstance(request, backend.StatusRequest):
            return self._status(now_ms)
        copy = self._copy(request.database)
        if isinstance(request, backend.ExecuteRequest):
            return execution.execute(copy, state, request)
        return copy.command(request, now_ms)

    def _copy(self, database: str) -> database_copy.DatabaseCopy:
        copy = self.copies.get(database)
        if copy is None:
            raise database_copy.RefusedError(
                failures.UNKNOWN_DATABASE,
                f'no database {database}',
            )
        return copy

    def _status(self, now_ms: int) -> backend.InstanceStatus:
        return backend.InstanceStatus(
            instance=self.name,
            boot=self.boot,
            version=self.version,
            leaving=self.leaving,
            connections=len(self.table.connections),
            databases=[copy.status(now_ms) for copy in self.copies.values()],
        )
