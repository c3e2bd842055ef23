"""Core of one SQL proxy process.

It connects the gateway, the relay, the peering between nodes, the store
access and the elections, and handles the planned stop.
"""

import typing

from jacinthhaven.records import history, store
from jacinthhaven.sql import (
    configuration_sync,
    coordination,
    elections,
    expiry,
    gateway,
    lending,
    node_context,
    ownership,
    peer_messages,
    peer_protocols,
    planned_stop,
    registry,
    relaying,
    store_calls,
)

# Delay before the connection shares grow because there are fewer owners. It
# exceeds the lease TTL, so that nodes that cannot reach the store for a while
# keep their shares.
_SHRINK_DELAY_MS = 20_000

# On the first start of the system, a node that finds no other node waits this
# long, so that nodes on larger VMs are listed first.
_FIRST_START_DELAY_MS = 300

# Range of the random offsets that spread borrowers over lenders.
_OFFSET_RANGE = 1000

Entries = typing.Sequence[store.KeyValue]


class Node:
    """Core of one process, without any I/O of its own.

    Attributes:
      peers: Listed nodes by name.
      members: Their sorted names.
      elections: Elections of the services.
      protocols: Protocols with the other nodes.
      planned_stop: Planned stop of the process.
      shrink_ms: When a smaller number of owners may change the shares.
    """

    def __init__(
        self, identity: node_context.Identity, adapters: node_context.Adapters
    ) -> None:
        """Create a node that knows no configuration and no other nodes."""
        self.identity = identity
        self.adapters = adapters
        self.gateway = gateway.Gateway(
            identity.peer.zone,
            adapters.databases,
            adapters.clients,
            adapters.journal,
        )
        documents = adapters.documents
        calls = store_calls.StoreCalls(adapters.platform, adapters.journal)
        calls.on_restored = self._on_restored
        self.sync = configuration_sync.ConfigurationSync(
            identity,
            adapters,
            coordination.create(identity, adapters, calls, self),
        )
        self.coordination.keeper.set_member(
            f'{documents.member_prefix}{identity.name}',
            ownership.encode(identity.peer),
        )
        self.gateway.access.is_certain = self.sync.is_certain
        self.relay = relaying.Relay(
            identity.name,
            self.gateway,
            adapters.relays,
            adapters.rng,
        )
        self.relay.choice.leaving_cost_ms = identity.leaving_cost_ms
        self.relay.choice.may_leave = identity.may_leave
        self.relay.on_unreachable = self.coordination.expedite_members
        self.lender = lending.Lender(
            self.gateway,
            adapters.borrowers,
            adapters.journal,
        )
        self.protocols = peer_protocols.PeerProtocols(
            identity, adapters, self.gateway.groups, self.sync.exchange
        )
        self.peering = self.protocols.peering
        self.gateway.quota_gate.connect(self.protocols.quotas)
        self.peers: dict[str, ownership.Peer] = {}
        self.members: tuple[str, ...] = ()
        self.elections = elections.Elections(
            self.gateway.groups, adapters, calls, self.peering
        )
        self.registry = registry.Registry(documents, adapters.journal)
        self.planned_stop = planned_stop.PlannedStop(
            identity.grace_ms,
            self.gateway,
            self.relay,
            self.lender,
            adapters.clients,
        )
        self.shrink_ms = 0
        self.now_ms = 0

    @property
    def coordination(self) -> coordination.Coordination:
        """Return the reads and watches of the store."""
        return self.sync.coordination

    @property
    def ready(self) -> bool:
        """Return whether the load balancer should send new sessions."""
        if self.peering.isolated:
            return False
        stopping = self.planned_stop.began_ms is not None
        return self.relay.routing_ready and not stopping

    @property
    def stopped(self) -> bool:
        """Return whether the process may exit."""
        return self.planned_stop.over

    def tick(self, now_ms: int) -> None:
        """Run all timers that are due."""
        self.now_ms = now_ms
        self.sync.tick(now_ms)
        role_known = self.coordination.role_known
        self.coordination.tick(now_ms)
        if self.coordination.role_known != role_known:
            self._update_link_shares()
        self.gateway.tick(now_ms)
        self.relay.tick(now_ms)
        self._tick_peering(now_ms)
        if now_ms >= self.shrink_ms:
            self._update_link_shares()
        self.planned_stop.tick(now_ms)

    def stop(self, now_ms: int) -> None:
        """Begin the planned stop, unless it has begun already."""
        count = len(self.gateway.sessions)
        if self.planned_stop.begin(now_ms):
            self.adapters.journal.write('stopping', {'sessions': count})

    def on_message(self, message: peer_messages.Message, now_ms: int) -> None:
        """Handle a message from another node."""
        calls = self.coordination.access.calls
        calls.on_report(peer_messages.newest_era(message))
        self.protocols.on_message(message, now_ms)

    def on_key(
        self,
        key: str,
        text: str | None,
        revision: history.EraNumber,
    ) -> None:
        """Handle the new value of a watched key, or None if it was removed."""
        if key != self.adapters.documents.configuration_key:
            self.elections.on_key(key, text, revision)
        elif text is not None:
            self._on_configuration(text, revision)

    def on_registry(self, entries: Entries, proved_ms: int | None) -> bool:
        """Apply all registry entries; return whether every service has some."""
        found = self.registry.read(entries)
        self.gateway.register(found, self.now_ms, proved_ms)
        listed = {entry.service for entry in found}
        services = self.gateway.configuration.services
        return bool(services) and listed.issuperset(services)

    def on_members(self, entries: Entries) -> None:
        """Apply the member keys of all nodes."""
        peers = {}
        prefix = self.adapters.documents.member_prefix
        for entry in entries:
            name = entry.key.removeprefix(prefix)
            try:
                peers[name] = ownership.decode(entry.value)
            except ownership.MALFORMED as error:
                self.adapters.journal.write(
                    'member_unusable',
                    {'member': name, 'reason': str(error)},
                )
        for name in peers.keys() ^ self.peers.keys():
            self.adapters.journal.write(
                'members',
                {'member': name, 'present': name in peers},
            )
        previous = self.peers
        self.peers = peers
        self.members = tuple(sorted(peers))
        self._update_announcement()
        if peers == previous and self.coordination.role_known:
            return
        self._update_addresses()
        self.relay.set_members(peers)
        self.protocols.set_members(peers, self.now_ms)
        self._choose_lenders()
        self._update_link_shares()

    def _update_addresses(self) -> None:
        """Apply the addresses of the other nodes."""
        others = {
            member: peer
            for member, peer in sorted(self.peers.items())
            if member != self.identity.name
        }
        routes = self.coordination.access.routes
        routes.update_nodes(tuple(peer.address for peer in others.values()))
        self.sync.exchange.set_members(others)

    def _tick_peering(self, now_ms: int) -> None:
        """Run the timers of peering and elections.

        If this node is isolated, inactive sessions are closed so that their
        clients reconnect to another node.
        """
        self.protocols.tick(now_ms)
        if self.peering.isolated:
            expiry.close_inactive(self.gateway, now_ms)
            self.relay.close_inactive(now_ms)
        self.elections.tick(
            self.members,
            self.coordination.lease,
            now_ms,
            synced=self.coordination.synced,
        )

    def _update_announcement(self) -> None:
        """List this node as a member if it may become an owner.

        When all nodes start for the first time, those on the largest VMs
        are listed by the time of the second read.
        """
        elapsed_ms = self.now_ms - (self.coordination.started_ms or self.now_ms)
        first = self.identity.first_start and not self.peers
        if first and elapsed_ms < _FIRST_START_DELAY_MS:
            return
        wanted = ownership.is_announced(
            self.identity.name,
            self.identity.peer,
            self.peers,
        )
        self.coordination.keeper.announce(wanted)

    def _on_restored(self) -> None:
        """Give up all that is known from the store, since it was restored.

        The configuration stays in force: the operator writes what was lost
        again, and a newer version replaces it.
        """
        self.coordination.on_restored()
        self.elections.on_restored()

    def _on_configuration(self, text: str, revision: history.EraNumber) -> None:
        loaded = self.adapters.documents.configuration(text)
        if isinstance(loaded, str):
            self.sync.on_received(None, revision, text)
            self.adapters.journal.write(
                'configuration_unusable',
                {'revision': revision, 'reason': loaded},
            )
            return
        self.sync.on_received(loaded.version, revision, text)
        reads = self.coordination
        self.adapters.journal.write(
            'configuration_received',
            {
                'version': loaded.version,
                'revision': revision,
                'source': reads.keys.source,
                'silent_ms': self.now_ms - reads.progress.heard_ms,
            },
        )
        if loaded.version > self.gateway.configuration.version:
            self.gateway.configure(loaded, self.now_ms)
            for service_group in self.gateway.groups.values():
                service_group.leaving_cost_ms = self.identity.leaving_cost_ms
            self.elections.configure(loaded, self.now_ms)
            self.protocols.configure(loaded, self.now_ms)
            self._choose_lenders()
            self._update_link_shares()

    def _choose_lenders(self) -> None:
        """Set the other owners as lenders of links, in rotated order.

        The random offset spreads the borrowers over the lenders.
        """
        offset = self.adapters.rng.randrange(_OFFSET_RANGE)
        for name, service_group in self.gateway.groups.items():
            zone_owners = ownership.split_by_zone(
                self.identity.peer.zone,
                name,
                self.peers,
            )
            service_group.pool.lenders = [
                self.peers[owner].address
                for owner in zone_owners.order(offset)
                if owner != self.identity.name
            ]

    def _update_link_shares(self) -> None:
        """Divide connections by the largest recent number of owners.

        Owners whose keys have disappeared may still hold connections. A node
        that starts opens none before it knows whether it is an owner: in a large
        fleet, all nodes would take the connections that the owners need.
        """
        may_own = bool(self.peers) or self.coordination.role_known
        owner_count = 1
        owned = set()
        all_owners: set[str] = set()
        for name, service_group in self.gateway.groups.items():
            owners = ownership.owners(name, self.peers)
            service_group.update_owners(owners, self.identity.name)
            owner_count = max(owner_count, len(owners))
            all_owners.update(owners)
            if self.identity.name in owners or (may_own and not owners):
                owned.add(name)
        self._update_load_sharing()
        if all_owners:
            self.protocols.quotas.update_owners(
                all_owners, self.identity.name, self.now_ms
            )
        if self.peers:
            self.coordination.update_ownership(bool(owned))
        if (
            owner_count >= self.gateway.shares.owner_count
            or self.now_ms >= self.shrink_ms
        ):
            self.shrink_ms = self.now_ms + _SHRINK_DELAY_MS
            self.gateway.set_link_shares(owner_count, owned)
        else:
            shares = self.gateway.shares
            self.gateway.set_link_shares(shares.owner_count, owned)

    def _update_load_sharing(self) -> None:
        """Apply the owners of all services and the addresses of nodes."""
        addresses = {name: peer.address for name, peer in self.peers.items()}
        addresses[self.identity.name] = self.identity.peer.address
        self.protocols.load_sharing.update_owners(addresses)
