"""Open transactions of an owner and the connections that they hold."""

import dataclasses
import random

_ID_BITS = 64


@dataclasses.dataclass(slots=True)
class Transaction:
    """One open transaction.

    Attributes:
      transaction_id: Id given to the caller; starts with the owner's name.
      session: Session that began it; other sessions cannot use it.
      database: Name of the database.
      instance: Instance that executes it.
      connection: Connection that it holds.
      term: Term of the primary when it began.
      used_ms: When its latest step started or ended.
      busy: Whether a step is in flight.
    """

    transaction_id: str
    session: str
    database: str
    instance: str
    connection: int
    term: int
    used_ms: int
    busy: bool = False


class Transactions:
    """Table of the open transactions of one owner."""

    __slots__ = ('member', 'rng', 'by_id')

    def __init__(self, member: str, rng: random.Random) -> None:
        """Create an empty table.

        Args:
          member: Name of the owner; becomes part of each id.
          rng: Source of ids; must be unpredictable in production.
        """
        self.member = member
        self.rng = rng
        self.by_id: dict[str, Transaction] = {}

    def new_id(self) -> str:
        """Return an unused transaction id."""
        unique = self.rng.getrandbits(_ID_BITS)
        return f'{self.member}~{unique:x}'

    def add(self, transaction: Transaction) -> None:
        """Add a transaction that has begun."""
        self.by_id[transaction.transaction_id] = transaction

    def find(self, transaction_id: str, session: str) -> Transaction | None:
        """Return the transaction if it belongs to the session."""
        transaction = self.by_id.get(transaction_id)
        if transaction is None or transaction.session != session:
            return None
        return transaction

    def end(self, transaction_id: str) -> None:
        """Remove a transaction; unknown ids are ignored."""
        self.by_id.pop(transaction_id, None)

    def on_connection(self, connection: int) -> Transaction | None:
        """Return the transaction that holds a connection."""
        for transaction in self.by_id.values():
            if transaction.connection == connection:
                return transaction
        return None

    def idle_since(self, limit_ms: int) -> list[Transaction]:
        """Return the transactions without a step since a time."""
        return [
            transaction
            for transaction in self.by_id.values()
            if not transaction.busy and transaction.used_ms < limit_ms
        ]

    def older_than(self, database: str, term: int) -> list[Transaction]:
        """Return the transactions of a database begun in a lower term."""
        return [
            transaction
            for transaction in self.by_id.values()
            if transaction.database == database and transaction.term < term
        ]

    def count_open(self, database: str) -> int:
        """Return how many transactions of a database are open."""
        return sum(
            transaction.database == database
            for transaction in self.by_id.values()
        )


def owner_of(transaction_id: str) -> str:
    """Return the member name in a transaction id; empty if malformed."""
    member, separator, _unique = transaction_id.rpartition('~')
    return member if separator else ''
