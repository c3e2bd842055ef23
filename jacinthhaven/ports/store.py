"""Port through which the decision code uses the platform's store."""

import abc
import typing

from jacinthhaven.decide import messages


class Store(abc.ABC):
    """Calls to the key-value service, matched by number.

    Attributes:
      deliver: Called with each reply, but never from within the methods
        of this class.
    """

    def __init__(
        self,
        deliver: typing.Callable[[messages.StoreReply], None],
    ) -> None:
        """Remember the receiver of the replies."""
        self.deliver = deliver

    @abc.abstractmethod
    def call(self, message: messages.StoreCall) -> None:
        """Send a call; one reply follows, or the events of a watch.

        A lost watch is reported as a `store_unavailable` failure with the
        number of the watch and is not restarted.
        """

    @abc.abstractmethod
    def cancel(self, message: messages.StoreCancel) -> None:
        """End a watch; nothing is reported for its number afterwards."""
