"""Port through which the decision code uses backend servers.

Each backend kind is a plug-in that implements this class, so that the
decision code does not depend on a database's protocol.
"""

import abc
import typing

from jacinthhaven.decide import messages
from jacinthhaven.records import topology

Report = messages.BackendOpened | messages.BackendReply | messages.BackendLost


class Backends(abc.ABC):
    """Connections to backend servers, addressed by number.

    Attributes:
      instances: Known instances by name.
      deliver: Called with each report. It is never called from within the
        methods of this class.
    """

    def __init__(
        self,
        instances: typing.Iterable[topology.Instance],
        deliver: typing.Callable[[Report], None],
    ) -> None:
        """Start without connections.

        Args:
          instances: Instances that connections can be opened to.
          deliver: Receiver of the reports.
        """
        self.instances = {instance.name: instance for instance in instances}
        self.deliver = deliver

    def replace_instances(
        self,
        instances: typing.Iterable[topology.Instance],
    ) -> None:
        """Use other instances for new connections; open ones stay."""
        self.instances = {instance.name: instance for instance in instances}

    @abc.abstractmethod
    def open(self, message: messages.BackendOpen) -> None:
        """Open a connection; `BackendOpened` or `BackendLost` follows."""

    @abc.abstractmethod
    def call(self, message: messages.BackendCall) -> None:
        """Send a request; `BackendReply` or `BackendLost` follows.

        A call on a connection that was lost or closed is dropped, since
        the loss was already reported.
        """

    @abc.abstractmethod
    def close(self, message: messages.BackendClose) -> None:
        """Close a connection; no report about it follows."""
