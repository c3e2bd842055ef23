"""Protocols between the nodes, which share one socket for datagrams."""

import typing

from jacinthhaven.quotas import limits, quotas
from jacinthhaven.quotas import messages as quota_messages
from jacinthhaven.sql import (
    departure_exchange,
    departure_messages,
    group,
    load_sharing,
    node_context,
    ownership,
    peer_messages,
    peering,
    records,
    revision_exchange,
)

Groups = typing.Mapping[str, group.Group]


class PeerProtocols:
    """Protocols of one node.

    Attributes:
      peering: Rights to use the primaries.
      load_sharing: Sharing of the execution slots of the instances.
      departures: Departures of primaries.
      revisions: Newest revision of the configuration.
      quotas: Limits of the customers.
    """

    def __init__(
        self,
        identity: node_context.Identity,
        adapters: node_context.Adapters,
        groups: Groups,
        revisions: revision_exchange.RevisionExchange,
    ) -> None:
        """Start without other nodes.

        Args:
          identity: Settings of the node.
          adapters: Adapters of the node.
          groups: Service groups by service name. The mapping is updated when
            the configuration changes.
          revisions: Newest revision of the configuration.
        """
        node = identity.name
        messenger = adapters.messenger
        self.peering = peering.Peering(
            node, identity.peer.address, groups, messenger, adapters.journal
        )
        self.peering.required = not identity.fenced
        self.load_sharing = load_sharing.LoadSharing(node, groups, messenger)
        self.departures = departure_exchange.DepartureExchange(
            node, identity.peer.address, groups, messenger, adapters.journal
        )
        self.revisions = revisions
        self.quotas = quotas.Quotas(
            self.load_sharing.send, adapters.rng, identity.slack
        )

    def configure(
        self, configuration: records.Configuration, now_ms: int
    ) -> None:
        """Apply the limits of the customers."""
        customers = configuration.customers or {}
        self.quotas.configure(limits.of_customers(customers.values()), now_ms)

    def set_members(
        self, peers: dict[str, ownership.Peer], now_ms: int
    ) -> None:
        """Set the nodes that the store lists."""
        self.peering.set_members(peers, now_ms)
        self.departures.set_members(peers)

    def tick(self, now_ms: int) -> None:
        """Run all timers that are due."""
        self.peering.tick(now_ms)
        self.load_sharing.tick(now_ms)
        self.departures.tick(now_ms)
        self.quotas.tick(now_ms)

    def on_message(self, message: peer_messages.Message, now_ms: int) -> None:
        """Handle a message from another node."""
        if isinstance(message, peer_messages.PermitMessage):
            self.load_sharing.on_message(message, now_ms)
        elif isinstance(message, quota_messages.Message):
            self.quotas.on_message(message, now_ms)
        elif isinstance(message, departure_messages.Message):
            self.departures.on_message(message, now_ms)
        elif isinstance(message, peer_messages.RevisionMessage):
            self.revisions.on_message(message, now_ms)
        else:
            self.peering.on_message(message, now_ms)
