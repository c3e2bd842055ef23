"""Port to the platform's list of live and leaving VMs."""

import abc
import typing

from jacinthhaven.decide import messages


class VmList(abc.ABC):
    """Reads the list of VMs.

    Attributes:
      deliver: Called with the names of the instances listed as leaving,
        after each successful read.
    """

    def __init__(
        self,
        deliver: typing.Callable[[messages.VmListUpdate], None],
    ) -> None:
        """Remember the receiver of the lists."""
        self.deliver = deliver

    @abc.abstractmethod
    def read(self) -> None:
        """Start to read the list; a failed read delivers nothing."""
