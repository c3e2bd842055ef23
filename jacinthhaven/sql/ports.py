"""Interfaces between the logic of the SQL proxy and its I/O."""

import abc
import typing

from jacinthhaven.records import history, store
from jacinthhaven.sql import commands, records, statements

Fields = dict[str, typing.Any]
OnOrder = typing.Callable[['OrderResult'], None]
OnCopy = typing.Callable[[history.EraNumber, str], None]
# Gets the era of the store (0 if unknown), and a reply or a failure.
OnStore = typing.Callable[[int, typing.Any], None]


class Databases(abc.ABC):
    """Connections to database instances, addressed by number."""

    @abc.abstractmethod
    def open(
        self,
        instance: records.Instance,
        lender: records.Address | None = None,
        customer: str = '',
    ) -> int:
        """Start to connect and return the number of the new connection.

        Args:
          instance: Instance to connect to.
          lender: Address of a node that lends its connection; None to
            connect directly.
          customer: Name of the customer that the link belongs to, or ''.
        """

    @abc.abstractmethod
    def send(self, number: int, command: commands.Command) -> None:
        """Send a command; its reply is reported asynchronously."""

    @abc.abstractmethod
    def send_line(self, number: int, line: str) -> None:
        """Send a protocol line of another node unchanged."""

    @abc.abstractmethod
    def close(self, number: int) -> None:
        """Close a connection; nothing is reported about it afterwards."""


class Relays(abc.ABC):
    """Connections to owners that execute relayed sessions, by number."""

    @abc.abstractmethod
    def open(
        self,
        address: records.Address,
        database: str,
        version: int,
        key_digest: str = '',
    ) -> int:
        """Ask an owner to execute a session.

        Args:
          address: Address at which the owner accepts other nodes.
          database: Database that the client connects to.
          version: Minimum version of the configuration at the owner.
          key_digest: Digest of the client's key, or ''.

        Returns:
          Number of the connection.
        """

    @abc.abstractmethod
    def send(self, number: int, statement: statements.Statement) -> None:
        """Forward a statement."""

    @abc.abstractmethod
    def ping(self, number: int) -> None:
        """Check whether the owner's process is alive."""

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
        """Tell the borrower that no link is free, and close the connection."""

    @abc.abstractmethod
    def send_line(self, number: int, line: str) -> None:
        """Forward a protocol line of the instance."""

    @abc.abstractmethod
    def end(self, number: int) -> None:
        """Close the connection after the link was lost."""


class ConfigurationCopies(abc.ABC):
    """Access to the configuration that other nodes have read."""

    @abc.abstractmethod
    def fetch(
        self,
        address: records.Address,
        on_copy: OnCopy,
    ) -> None:
        """Request the configuration of another node.

        Args:
          address: Address at which that node accepts others.
          on_copy: Called with the revision and the text of its
            configuration; not called if the node does not reply.
        """


class Clients(abc.ABC):
    """Connections of clients, addressed by number."""

    @abc.abstractmethod
    def answer(self, number: int, answer: statements.Answer) -> None:
        """Send the answer to the oldest unanswered statement."""

    @abc.abstractmethod
    def send_line(self, number: int, line: str) -> None:
        """Forward a protocol line of an owner."""

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
        """Return whether received bytes of the client are still unread."""

    @abc.abstractmethod
    def stop_accepting(self) -> None:
        """Stop accepting connections."""


class Journal(abc.ABC):
    """Log lines, counters and latency histograms."""

    @abc.abstractmethod
    def write(self, event: str, fields: Fields) -> None:
        """Write one log line about a decision."""

    @abc.abstractmethod
    def count(self, name: str, label: str = '') -> None:
        """Increase a counter."""

    @abc.abstractmethod
    def observe(self, name: str, label: str, spent_ms: float) -> None:
        """Add a duration to a histogram."""


class OrderResult(typing.NamedTuple):
    """Result of an order to promote an instance.

    Attributes:
      accepted: Whether the platform has accepted the order.
      refused: Whether the order was certainly not carried out.
      reason: Text for the log.
    """

    accepted: bool
    refused: bool
    reason: str


class Platform(abc.ABC):
    """Store and promotion interface of the platform."""

    @abc.abstractmethod
    def call(self, request: store.Request, on_reply: OnStore) -> int:
        """Call the store; the callback gets the era, and a reply or a failure.

        Returns:
          Number of the call, to be passed to `end_watch` for a watch.
        """

    @abc.abstractmethod
    def use_way(self, node: records.Address | None) -> None:
        """Send the next store calls through another node, or directly.

        Args:
          node: Address at which that node accepts others; None for the
            direct way.
        """

    @abc.abstractmethod
    def end_watch(self, number: int) -> None:
        """End a watch; nothing is reported about it afterwards."""

    @abc.abstractmethod
    def promote(
        self,
        service: str,
        instance: str,
        fence: history.EraNumber,
        on_result: OnOrder,
    ) -> None:
        """Order the platform to promote an instance to primary.

        Args:
          service: Name of the service.
          instance: Instance to promote.
          fence: Fencing token.
          on_result: Called with the result of the order.
        """
