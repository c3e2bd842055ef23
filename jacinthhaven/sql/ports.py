"""What the decisions of the SQL proxy need from their surroundings."""

import abc
import typing

from jacinthhaven.records import store
from jacinthhaven.sql import commands, records, statements

Fields = dict[str, typing.Any]
OnOrder = typing.Callable[['OrderResult'], None]
OnStore = typing.Callable[[typing.Any], None]


class Databases(abc.ABC):
    """Connections to instances, addressed by number."""

    @abc.abstractmethod
    def open(
        self,
        instance: records.Instance,
        lender: records.Address | None = None,
    ) -> int:
        """Start to connect and return the number of the connection.

        Args:
          instance: Instance to connect to.
          lender: Address of a node that lends a connection, or None.
        """

    @abc.abstractmethod
    def send(self, number: int, command: commands.Command) -> None:
        """Send a command; its reply is reported later."""

    @abc.abstractmethod
    def send_line(self, number: int, line: str) -> None:
        """Send a command of another node unchanged."""

    @abc.abstractmethod
    def close(self, number: int) -> None:
        """Close a connection; nothing is reported about it afterwards."""


class Relays(abc.ABC):
    """Connections to owners that execute sessions, addressed by number."""

    @abc.abstractmethod
    def open(
        self,
        address: records.Address,
        database: str,
        version: int,
    ) -> int:
        """Ask an owner to execute a session.

        Args:
          address: Where the owner accepts other nodes.
          database: Database that the client asked for.
          version: Configuration that the owner must have at least.

        Returns:
          Number of the connection.
        """

    @abc.abstractmethod
    def send(self, number: int, statement: statements.Statement) -> None:
        """Pass a statement on."""

    @abc.abstractmethod
    def ping(self, number: int) -> None:
        """Ask whether the owner's process lives."""

    @abc.abstractmethod
    def close(self, number: int) -> None:
        """Close a connection; nothing is reported about it afterwards."""


class Borrowers(abc.ABC):
    """Connections of nodes that borrow links, addressed by number."""

    @abc.abstractmethod
    def grant(self, number: int) -> None:
        """Tell the borrower that it may use the link."""

    @abc.abstractmethod
    def refuse(self, number: int) -> None:
        """Tell the borrower that no link is free and close."""

    @abc.abstractmethod
    def send_line(self, number: int, line: str) -> None:
        """Pass a line of the instance on."""

    @abc.abstractmethod
    def end(self, number: int) -> None:
        """Close the connection after the link was lost."""


class Clients(abc.ABC):
    """Connections of clients, addressed by number."""

    @abc.abstractmethod
    def answer(self, number: int, answer: statements.Answer) -> None:
        """Send the answer to the statement in turn."""

    @abc.abstractmethod
    def send_line(self, number: int, line: str) -> None:
        """Pass a line of an owner on."""

    @abc.abstractmethod
    def accept(self, number: int) -> None:
        """Tell the client that its session is open."""

    @abc.abstractmethod
    def refuse(self, number: int, code: statements.Code) -> None:
        """Refuse the session and close the connection."""

    @abc.abstractmethod
    def close(self, number: int) -> None:
        """Close a connection."""

    @abc.abstractmethod
    def has_more(self, number: int) -> bool:
        """Return whether bytes of the client wait to be read."""

    @abc.abstractmethod
    def stop_accepting(self) -> None:
        """Accept no further connections."""


class Journal(abc.ABC):
    """Log lines, counters and latency histograms."""

    @abc.abstractmethod
    def write(self, event: str, fields: Fields) -> None:
        """Write one line about a decision."""

    @abc.abstractmethod
    def count(self, name: str, label: str = '') -> None:
        """Increase a counter."""

    @abc.abstractmethod
    def observe(self, name: str, label: str, spent_ms: float) -> None:
        """Add a time to a histogram."""


class OrderResult(typing.NamedTuple):
    """Result of an order to promote an instance.

    Attributes:
      accepted: Whether the platform has accepted it.
      refused: Whether it was certainly not carried out.
      reason: Text for the log.
    """

    accepted: bool
    refused: bool
    reason: str


class Platform(abc.ABC):
    """Store and promotion orders of the platform."""

    @abc.abstractmethod
    def call(self, request: store.Request, on_reply: OnStore) -> int:
        """Call the store; the callback gets a reply or a failure.

        Returns:
          Number of the call, which ends a watch.
        """

    @abc.abstractmethod
    def end_watch(self, number: int) -> None:
        """End a watch; nothing is reported about it afterwards."""

    @abc.abstractmethod
    def promote(
        self,
        service: str,
        instance: str,
        fence: int,
        on_result: OnOrder,
    ) -> None:
        """Order the platform to make an instance the primary."""
