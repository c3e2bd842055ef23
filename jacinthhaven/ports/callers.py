"""Abstract base class of the caller side."""

import abc
import typing

from jacinthhaven.decide import messages

CallerMessage = (
    messages.CallerRequest
    | messages.CallerOutcome
    | messages.CallerDisconnected
)
Deliver = typing.Callable[[CallerMessage], None]


class CallerSide(abc.ABC):
    """Accepts requests from callers and sends them the answers.

    Attributes:
      deliver: Called with each message for the decision code.
    """

    deliver: Deliver

    @abc.abstractmethod
    def answer(self, message: messages.CallerAnswer) -> None:
        """Send the answer to the caller of its request number."""

    @abc.abstractmethod
    def drain(self) -> None:
        """Close each connection after its next answer."""

    @abc.abstractmethod
    def close(self) -> None:
        """Stop accepting and close the idle connections."""

    @property
    @abc.abstractmethod
    def busy(self) -> int:
        """Return the number of requests that wait for an answer."""
