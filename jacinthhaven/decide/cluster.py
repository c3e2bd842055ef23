"""Cluster services of one node: membership, directory, slots and policy.

The services share the directory. After every message the cluster compares
its state with what it last reported and sends the node only the changes.
"""

import dataclasses
import itertools
import random
import typing

from jacinthhaven.decide import (
    configuration,
    directory,
    gossip,
    liveness,
    membership,
    messages,
    operator,
    partners,
    slots,
    store_reader,
)
from jacinthhaven.kernel import plugins
from jacinthhaven.records import backend, presets, topology


@dataclasses.dataclass(slots=True)
class ClusterSettings:
    """Settings of the cluster services.

    Attributes:
      seeds: Members named in the settings.
      exchange: Parameters of the gossip protocol.
      lease_ttl_floor_ms: Shortest time to live of this node's lease.
    """

    seeds: tuple[topology.Member, ...] = ()
    exchange: gossip.Settings = dataclasses.field(
        default_factory=gossip.Settings,
    )
    lease_ttl_floor_ms: int = membership.TTL_FLOOR_MS


@dataclasses.dataclass(slots=True)
class TopologyChanged:
    """Cluster to node: members, slots or this node's slots have changed.

    Attributes:
      members: Members by name.
      slots: Slots that have a store key or that this node holds.
      held: Slots that this node holds, by group.
    """

    members: dict[str, topology.Member]
    slots: tuple[topology.Slot, ...]
    held: dict[str, topology.Slot]


@dataclasses.dataclass(slots=True)
class PolicyChanged:
    """Cluster to node: another policy is in force."""

    policy: presets.Policy


@dataclasses.dataclass(slots=True)
class FreshnessChanged:
    """Cluster to node: freshness state that decides on accepting work."""

    state: configuration.Freshness


@dataclasses.dataclass(slots=True)
class LeavingChanged:
    """Cluster to node: the set of leaving backend servers has changed."""

    instances: frozenset[str]


class Cluster:
    """Cluster services of one node.

    Attributes:
      directory: Known members, slots and stored documents.
      membership: Registration and lease of this node.
      configuration: Policy in force and its freshness.
      operator: Changes requested by operators.
      slots: Connection slots of this node.
    """

    def __init__(
        self,
        member: topology.Member,
        groups: tuple[topology.Group, ...],
        call_numbers: itertools.count,
        rng: random.Random,
        settings: ClusterSettings,
    ) -> None:
        """Create the services with an empty directory."""
        self.member = member
        self.directory = directory.Directory()
        self.liveness = liveness.Liveness(
            member.name,
            self.directory,
            settings.exchange.freshness_ms,
        )
        self.gossip = gossip.Gossip(
            self.directory,
            self.liveness,
            partners.Partners(member.name, member.zone, rng, settings.seeds),
            rng,
            settings.exchange,
        )
        self.membership = membership.Membership(
            member,
            self.directory,
            call_numbers,
            rng,
        )
        self.membership.ttl_floor_ms = settings.lease_ttl_floor_ms
        self.reader = store_reader.StoreReader(
            member.name,
            member.zone,
            self.directory,
            call_numbers,
            rng,
        )
        self.configuration = configuration.PolicyTracker(
            self.directory,
            self.liveness,
            self.gossip,
            settings.seeds,
        )
        self.operator = operator.ChangeCoordinator(
            self.configuration,
            call_numbers,
            rng,
            plugins.names(plugins.ROUTING_POLICY),
        )
        self.slots = slots.SlotManager(member, call_numbers)
        self.slots.on_groups(groups, 0)
        self.instance_boots: dict[str, str] = {}
        self.listed_leaving: frozenset[str] = frozenset()
        self.reported_hash = -1
        self.reported_held: dict[str, topology.Slot] = {}
        self.reported_policy = 0
        self.reported_freshness = configuration.Freshness.ISOLATED
        self.reported_leaving: frozenset[str] = frozenset()

    def handle(self, message: typing.Any, now_ms: int) -> list[typing.Any]:
        """Process a store reply, a gossip message or an operator's change.

        Returns:
          Messages for the tasks and for the node.
        """
        out = self.reader.handle(message, now_ms)
        out += self.membership.handle(message, now_ms)
        out += self.gossip.handle(message, now_ms)
        out += self.operator.handle(message, now_ms)
        if isinstance(message, messages.StoreReply):
            out += self._without_slot_events(
                self.slots.on_reply(message, now_ms),
            )
        return out + self._report_changes(now_ms)

    def tick(self, now_ms: int) -> list[typing.Any]:
        """Advance the timers of all services."""
        out = self.reader.tick(now_ms)
        out += self.membership.tick(now_ms)
        out += self.gossip.tick(now_ms)
        out += self.operator.tick(now_ms)
        out += self.slots.tick(now_ms)
        return out + self._report_changes(now_ms)

    def on_status(
        self,
        status: backend.InstanceStatus,
        now_ms: int,
    ) -> list[typing.Any]:
        """Apply the boot and the leaving flag that an instance reports."""
        flags = self.directory.leaving_flags
        self.instance_boots[status.instance] = status.boot
        flags.record_start(status.instance, status.boot, now_ms)
        if status.leaving:
            flags.set_flag(status.instance, status.boot, now_ms)
        return self._leaving_changes()

    def on_vm_list(
        self,
        leaving: typing.AbstractSet[str],
        now_ms: int,
    ) -> list[typing.Any]:
        """Apply the names of the leaving instances in the VM list.

        The list lags behind: an entry that remains after a restart does not
        mark the new boot as leaving, and a missing entry clears no flag.
        """
        for instance in sorted(leaving - self.listed_leaving):
            boot = self.instance_boots.get(instance, '')
            self.directory.leaving_flags.set_flag(instance, boot, now_ms)
        self.listed_leaving = frozenset(leaving)
        return self._leaving_changes()

    def drain(self, now_ms: int) -> list[typing.Any]:
        """Announce that this node is leaving."""
        return self.membership.drain(now_ms)

    def release_slots(self, now_ms: int) -> list[typing.Any]:
        """Release the slots after the work of this node is finished."""
        self.slots.drain(now_ms)
        return self.slots.tick(now_ms) + self._report_changes(now_ms)

    def stop(self, now_ms: int) -> list[typing.Any]:
        """Revoke the lease of this node."""
        return self.membership.stop(now_ms)

    # Changes reported to the node.

    def _without_slot_events(self, out: list[typing.Any]) -> list[typing.Any]:
        # `_report_changes` compares the held slots, which covers every way
        # in which they change.
        event_types = (slots.SlotAcquired, slots.SlotLost)
        return [
            message for message in out if not isinstance(message, event_types)
        ]

    def _report_changes(self, now_ms: int) -> list[typing.Any]:
        out = self.configuration.tick(now_ms)
        self.slots.on_lease(self.membership.lease or 0, now_ms)
        current = self.directory
        state_hash = hash((current.live_hash, current.complete))
        changed = state_hash != self.reported_hash
        if changed:
            self.reported_hash = state_hash
            self.slots.on_directory(
                current.slots.values(),
                current.members.values(),
                current.complete,
                now_ms,
            )
        if changed or self.slots.held != self.reported_held:
            self.reported_held = dict(self.slots.held)
            out.append(self._topology())
        return out + self._policy_changes() + self._leaving_changes()

    def _topology(self) -> TopologyChanged:
        slots_by_id = {
            (slot.group, slot.number): slot
            for slot in self.directory.slots.values()
        }
        for slot in self.reported_held.values():
            slots_by_id[slot.group, slot.number] = slot
        return TopologyChanged(
            dict(self.directory.members),
            tuple(slots_by_id.values()),
            self.reported_held,
        )

    def _policy_changes(self) -> list[typing.Any]:
        out: list[typing.Any] = []
        policy = self.configuration.policy
        if policy is not None and policy.revision != self.reported_policy:
            self.reported_policy = policy.revision
            out.append(PolicyChanged(policy))
        if self.configuration.state is not self.reported_freshness:
            self.reported_freshness = self.configuration.state
            out.append(FreshnessChanged(self.reported_freshness))
        return out

    def _leaving_changes(self) -> list[typing.Any]:
        leaving = frozenset(
            name
            for name, boot in self.instance_boots.items()
            if self.directory.leaving_flags.is_leaving(name, boot)
        )
        if leaving == self.reported_leaving:
            return []
        self.reported_leaving = leaving
        return [LeavingChanged(leaving)]
