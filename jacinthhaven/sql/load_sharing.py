"""Messages between the owners of all services that share execution slots."""

import typing

from jacinthhaven.kernel import ranking
from jacinthhaven.scheduling import dispatcher, permits
from jacinthhaven.sql import group, peer_messages, peering, records

Groups = typing.Mapping[str, group.Group]
Addresses = typing.Mapping[str, records.Address]


class LoadSharing:
    """Permits of one node, and the dispatchers that it may have to be.

    Attributes:
      addresses: Message addresses of the listed nodes, this one included.
      dispatchers: Dispatchers by service; each is idle unless other owners
        send it their reports.
    """

    def __init__(
        self,
        node: str,
        groups: Groups,
        messenger: peering.Messenger,
    ) -> None:
        """Start without other nodes.

        Args:
          node: Name of this node.
          groups: Service groups by service name. The mapping is updated when
            the configuration changes.
          messenger: Sends messages to nodes, this one included.
        """
        self.node = node
        self.groups = groups
        self.messenger = messenger
        self.addresses: Addresses = {}
        self.dispatchers: dict[str, dispatcher.Dispatcher] = {}

    def update_owners(self, addresses: Addresses) -> None:
        """Apply the owners of all services and the addresses of nodes."""
        self.addresses = addresses
        for name, service_group in self.groups.items():
            own = service_group.scheduler.permits
            own.node = self.node
            own.send = self.send
            own.candidates = tuple(
                ranking.ranked(name, service_group.owners)[
                    : permits.MAX_CANDIDATES
                ]
            )

    def on_message(
        self, message: peer_messages.PermitMessage, now_ms: int
    ) -> None:
        """Handle a message of another owner, or of this one."""
        service_group = self.groups.get(message.service)
        if service_group is None:
            return
        if isinstance(message, peer_messages.PermitReply):
            service_group.scheduler.permits.on_reply(message, now_ms)
            service_group.dispatch(now_ms)
            return
        known = self._dispatcher(service_group)
        known.on_request(message, now_ms)
        self._send_replies(known, now_ms)

    def tick(self, now_ms: int) -> None:
        """Send the messages of dispatchers that are due."""
        for name in self.dispatchers.keys() - self.groups.keys():
            self.dispatchers.pop(name)
        for known in self.dispatchers.values():
            self._send_replies(known, now_ms)

    def send(self, name: str, message: peer_messages.Message) -> None:
        """Send a message to the node with a name, if it is listed."""
        address = self.addresses.get(name)
        if address is not None:
            self.messenger.send(address, message)

    def _dispatcher(self, service_group: group.Group) -> dispatcher.Dispatcher:
        """Return the dispatcher of a service with its present inputs."""
        name = service_group.name
        known = self.dispatchers.get(name)
        if known is None:
            known = dispatcher.Dispatcher(name, self.node)
            self.dispatchers[name] = known
        known.update_owners({*service_group.owners, self.node})
        known.slots = {
            instance: state.entry.slots
            for instance, state in service_group.pool.states.items()
        }
        known.leader = service_group.leadership.leader or ''
        known.limits_ms = service_group.limits_ms
        return known

    def _send_replies(self, known: dispatcher.Dispatcher, now_ms: int) -> None:
        for name, reply in known.replies(now_ms):
            self.send(name, reply)
