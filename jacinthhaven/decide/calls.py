"""Calls in flight on data connections, matched by call number.

A reply belongs to a request only if its number is still registered, so a
late reply can never become the answer of another request.
"""

import dataclasses
import itertools

from jacinthhaven.decide import work

# Time after a request's deadline at which its reply is no longer expected:
# the instance is frozen, or the network path failed without an error.
REPLY_GRACE_MS = 3000


@dataclasses.dataclass(slots=True)
class Call:
    """One call in flight.

    Attributes:
      number: Number of the call.
      connection: Connection that carries it.
      instance: Instance at the other end.
      job: Request that is executed; None once it was abandoned, so that a
        late reply only frees the connection.
      reply_deadline_ms: When the connection is closed if no reply has arrived.
      opens_transaction: Whether the call opens a transaction on the connection.
    """

    number: int
    connection: int
    instance: str
    job: work.Work | None
    reply_deadline_ms: int
    opens_transaction: bool = False


class Calls:
    """Table of the calls in flight."""

    __slots__ = ('numbers', 'by_number', 'by_connection')

    def __init__(self, numbers: itertools.count) -> None:
        """Create an empty table.

        Args:
          numbers: Allocator of call numbers of the process.
        """
        self.numbers = numbers
        self.by_number: dict[int, Call] = {}
        self.by_connection: dict[int, Call] = {}

    def start(self, connection: int, instance: str, job: work.Work) -> Call:
        """Register a call for a request."""
        call = Call(
            next(self.numbers),
            connection,
            instance,
            job,
            job.deadline_ms + REPLY_GRACE_MS,
            job.kind == work.BEGIN,
        )
        self.by_number[call.number] = call
        self.by_connection[connection] = call
        return call

    def finish(self, number: int) -> Call | None:
        """Remove and return a call; None if the number is unknown."""
        call = self.by_number.pop(number, None)
        if call is not None:
            self.by_connection.pop(call.connection, None)
        return call

    def remove_on_connection(self, connection: int) -> Call | None:
        """Remove and return the call on a lost connection."""
        call = self.by_connection.get(connection)
        return None if call is None else self.finish(call.number)

    def stalled(self, now_ms: int) -> list[Call]:
        """Return the calls whose replies are no longer expected."""
        return [
            call
            for call in self.by_number.values()
            if now_ms >= call.reply_deadline_ms
        ]

    def older_than(self, database: str, term: int) -> list[Call]:
        """Return the calls that need a database's primary of a lower term."""
        return [
            call
            for call in self.by_number.values()
            if call.job is not None
            and call.job.database == database
            and call.job.kind != work.READ
            and call.job.term < term
        ]

    def reads_at(self, instance: str) -> list[Call]:
        """Return the reads outside transactions that an instance runs."""
        return [
            call
            for call in self.by_number.values()
            if call.instance == instance
            and call.job is not None
            and call.job.kind == work.READ
        ]

    def logged_in_flight(self, database: str) -> int:
        """Return how many calls may append an entry to a database's log."""
        return sum(
            call.job is not None
            and call.job.database == database
            and call.job.kind != work.READ
            for call in self.by_number.values()
        )
