"""Elections of one node for all services, and the keys that they share."""

import bisect
import functools
import typing

from jacinthhaven.records import history, store
from jacinthhaven.sql import (
    election,
    group,
    node_context,
    peering,
    records,
    script_calls,
    scripts,
    settled_era,
    store_calls,
    store_records,
)

Groups = typing.Mapping[str, group.Group]


class Elections:
    """Elections of one node.

    Attributes:
      groups: Service groups by service name, also of removed services.
      by_service: Elections by service name.
      keys: Names of the keys that owners write.
      store_calls: Calls to the store.
      script_calls: Performs the calls of the elections.
      settled: Whether locks of before a restore may still be in use.
      now_ms: Current time.
    """

    def __init__(
        self,
        groups: Groups,
        adapters: node_context.Adapters,
        calls: store_calls.StoreCalls,
        peers: peering.Peering,
    ) -> None:
        """Start without services.

        Args:
          groups: Service groups by service name. The mapping is updated when
            the configuration changes.
          adapters: Adapters of the node.
          calls: Calls to the store.
          peers: Messages between the owners.
        """
        self.groups = groups
        self.journal = adapters.journal
        self.store_calls = calls
        self.peers = peers
        self.keys = store_records.Keys(adapters.documents.own_prefix)
        self.script_calls = script_calls.ScriptCalls(groups, adapters, calls)
        self.settled = settled_era.SettledEra(
            self.keys.settled_era, self._perform_write
        )
        self.by_service: dict[str, election.Election] = {}
        self.now_ms = 0

    def configure(
        self, configuration: records.Configuration, now_ms: int
    ) -> None:
        """Begin the elections of new services, and end those of removed ones."""
        for name in self.by_service.keys() - configuration.services.keys():
            self.by_service.pop(name).end()
        for name, service_group in self.groups.items():
            if name not in self.by_service and not service_group.removed:
                self.by_service[name] = election.Election(
                    service_group,
                    self.keys,
                    functools.partial(self.script_calls.perform, name),
                    self.journal,
                    self.peers,
                )
                self.peers.add_service(service_group, now_ms)
        for name, declared in configuration.services.items():
            failover = self.by_service[name].failover
            failover.acknowledging = declared.acknowledging_replicas

    def on_key(
        self, key: str, text: str | None, revision: history.EraNumber
    ) -> None:
        """Handle the new value of a key of the owners, or its removal."""
        if key == self.keys.settled_era:
            self.settled.on_key(text, revision)
            return
        name = key.removeprefix(self.keys.prefix)
        service = name.partition('/')[2].partition('/')[0]
        service_election = self.by_service.get(service)
        if service_election is not None:
            service_election.on_key(name, text, revision)

    def on_restored(self) -> None:
        """Give up all locks, since the store was restored."""
        self.settled.on_restored(self.now_ms)
        for service_election in self.by_service.values():
            service_election.on_restored()

    def tick(
        self,
        members: tuple[str, ...],
        lease: history.EraNumber,
        now_ms: int,
        *,
        synced: bool,
    ) -> None:
        """Run all timers that are due.

        Args:
          members: Sorted names of all listed nodes.
          lease: Lease of this node; `history.NONE` while it has none.
          now_ms: Current time.
          synced: Whether all keys of the owners are known.
        """
        self.now_ms = now_ms
        node = self.peers.node
        rank = bisect.bisect_left(members, node)
        self.settled.on_era(self.store_calls.era, now_ms)
        settled = self.settled.is_settled(now_ms)
        if synced:
            self.settled.record_if_due(rank, now_ms)
        for name, service_election in self.by_service.items():
            service_election.failover.era_settled = settled
            if synced and settled:
                service_election.on_keys_known()
            if synced:
                service_election.write_lost_record(rank, now_ms)
            owners = self.groups[name].owners
            if node in owners:
                service_election.tick(owners, lease, now_ms)
        self.script_calls.tick(now_ms)

    def _perform_write(
        self, call: store.Request, on_result: scripts.OnResult
    ) -> None:
        self.store_calls.call(call, on_result)
