"""Abstract base class of the transport between proxy processes."""

import abc
import typing

from jacinthhaven.decide import messages
from jacinthhaven.kernel import failures
from jacinthhaven.records import topology

Deliver = typing.Callable[[messages.PeerReceived | messages.PeerLost], None]
OnFailure = typing.Callable[[failures.Failure], None]


class PeerTransport(abc.ABC):
    """Sends payloads to members and delivers what they send.

    Attributes:
      deliver: Called with each received payload and each lost connection.
      on_failure: Called with each connection that was refused or closed
        because of an error.
    """

    deliver: Deliver
    on_failure: OnFailure

    @abc.abstractmethod
    def know(self, members: typing.Iterable[topology.Member]) -> None:
        """Replace the members whose addresses are known.

        Connections to members that are no longer known stay open until
        they fail or become idle.
        """

    @abc.abstractmethod
    def send(self, message: messages.PeerSend) -> None:
        """Send a payload; connect first if there is no connection.

        If the payload cannot be sent, `deliver` is called with `PeerLost`
        after this method has returned.
        """

    @abc.abstractmethod
    def close(self) -> None:
        """Close the listener and all connections without callbacks."""
