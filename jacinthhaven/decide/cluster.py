"""Cluster services of one node: membership, directory, slots and policy.

The services share the directory. After every message the cluster looks
once at what has changed and tells the node only that.
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
      exchange: Parameters of the gossip.
      lease_ttl_floor_ms: Shortest time to live of this node's lease.
    """

    seeds: tuple[topology.Member, ...] = ()
    exchange: gossip.Settings = dataclasses.field(
        default_factory=gossip.Settings,
    )
    lease_ttl_floor_ms: int = membership.TTL_FLOOR_MS


@dataclasses.dataclass(slots=True)
class TopologyChanged:
    """Cluster to node: members, slots or the own slots have changed.

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
    """Cluster to node: another configuration is in force."""

    policy: presets.Policy


@dataclasses.dataclass(slots=True)
class FreshnessChanged:
    """Cluster to node: whether new work may be accepted."""

    state: configuration.Freshness


@dataclasses.dataclass(slots=True)
class LeavingChanged:
    """Cluster to node: which backend servers are leaving."""

    instances: frozenset[str]


class Cluster:
    """Cluster services of one node.

    Attributes:
      directory: Knowledge about members, slots and documents.
      membership: Registration and lease of this node.
      configuration: Policy in force and its freshness.
      operator: Changes requested by operators.
      slots: Connection slots of this node.
    """

    def __init__(
        self,
        member: topology.Member,
        groups: tuple[topology.Group, ...],
        numbers: itertools.count,
        rng: random.Random,
        settings: ClusterSettings,
    ) -> None:
        """Create the services of a node that knows nothing yet."""
        self.member = member
        self.directory = directory.Directory()
        self.live = liveness.Liveness(
            member.name,
            self.directory,
            settings.exchange.freshness_ms,
        )
        self.gossip = gossip.Gossip(
            self.directory,
            self.live,
            partners.Partners(member.name, member.zone, rng, settings.seeds),
            rng,
            settings.exchange,
        )
        self.membership = membership.Membership(
            member,
            self.directory,
            numbers,
            rng,
        )
        self.membership.ttl_floor_ms = settings.lease_ttl_floor_ms
        self.reader = store_reader.StoreReader(
            member.name,
            member.zone,
            self.directory,
            numbers,
            rng,
        )
        self.configuration = configuration.PolicyTracker(
            self.directory,
            self.live,
            self.gossip,
            settings.seeds,
        )
        self.operator = operator.ChangeCoordinator(
            self.configuration,
            numbers,
            rng,
            plugins.names(plugins.ROUTING_POLICY),
        )
        self.slots = slots.SlotKeeper(member, numbers)
        self.slots.on_groups(groups, 0)
        self.boots: dict[str, str] = {}
        self.listed: frozenset[str] = frozenset()
        self.seen_hash = -1
        self.seen_held: dict[str, topology.Slot] = {}
        self.seen_policy = 0
        self.seen_state = configuration.Freshness.ISOLATED
        self.seen_leaving: frozenset[str] = frozenset()

    def handle(self, message: typing.Any, now_ms: int) -> list[typing.Any]:
        """Accept a store reply, a gossip payload or an operator's change.

        Returns:
          Messages for the tasks and for the node.
        """
        out = self.reader.handle(message, now_ms)
        out += self.membership.handle(message, now_ms)
        out += self.gossip.handle(message, now_ms)
        out += self.operator.handle(message, now_ms)
        if isinstance(message, messages.StoreReply):
            out += self._without_slot_news(
                self.slots.on_reply(message, now_ms),
            )
        return out + self._look(now_ms)

    def tick(self, now_ms: int) -> list[typing.Any]:
        """Advance the timers of all services."""
        out = self.reader.tick(now_ms)
        out += self.membership.tick(now_ms)
        out += self.gossip.tick(now_ms)
        out += self.operator.tick(now_ms)
        out += self.slots.tick(now_ms)
        return out + self._look(now_ms)

    def on_status(
        self,
        status: backend.InstanceStatus,
        now_ms: int,
    ) -> list[typing.Any]:
        """Use the start and the leaving flag that an instance shows."""
        flags = self.directory.leaving_flags
        self.boots[status.instance] = status.boot
        flags.record_start(status.instance, status.boot, now_ms)
        if status.leaving:
            flags.set_flag(status.instance, status.boot, now_ms)
        return self._look_leaving()

    def on_vm_list(
        self,
        leaving: typing.AbstractSet[str],
        now_ms: int,
    ) -> list[typing.Any]:
        """Use the names of the leaving instances in the VM list.

        The list lags behind: an entry that stays after a restart does not
        mark the new start, and a missing entry clears nothing.
        """
        for instance in sorted(leaving - self.listed):
            boot = self.boots.get(instance, '')
            self.directory.leaving_flags.set_flag(instance, boot, now_ms)
        self.listed = frozenset(leaving)
        return self._look_leaving()

    def drain(self, now_ms: int) -> list[typing.Any]:
        """Announce that this node is leaving."""
        return self.membership.drain(now_ms)

    def release(self, now_ms: int) -> list[typing.Any]:
        """Give up the slots, after the work of this node is finished."""
        self.slots.drain(now_ms)
        return self.slots.tick(now_ms) + self._look(now_ms)

    def stop(self, now_ms: int) -> list[typing.Any]:
        """End the lease of this node."""
        return self.membership.stop(now_ms)

    # What has changed for the node.

    def _without_slot_news(self, out: list[typing.Any]) -> list[typing.Any]:
        # `_look` compares the held slots, which covers every way in which
        # they change.
        news = (slots.SlotAcquired, slots.SlotLost)
        return [message for message in out if not isinstance(message, news)]

    def _look(self, now_ms: int) -> list[typing.Any]:
        out = self.configuration.tick(now_ms)
        self.slots.on_lease(self.membership.lease or 0, now_ms)
        known = self.directory
        state_hash = hash((known.live_hash, known.complete))
        changed = state_hash != self.seen_hash
        if changed:
            self.seen_hash = state_hash
            self.slots.on_directory(
                known.slots.values(),
                known.members.values(),
                known.complete,
                now_ms,
            )
        if changed or self.slots.held != self.seen_held:
            self.seen_held = dict(self.slots.held)
            out.append(self._topology())
        return out + self._look_policy() + self._look_leaving()

    def _topology(self) -> TopologyChanged:
        by_place = {
            (slot.group, slot.number): slot
            for slot in self.directory.slots.values()
        }
        for slot in self.seen_held.values():
            by_place[slot.group, slot.number] = slot
        return TopologyChanged(
            dict(self.directory.members),
            tuple(by_place.values()),
            self.seen_held,
        )

    def _look_policy(self) -> list[typing.Any]:
        out: list[typing.Any] = []
        policy = self.configuration.policy
        if policy is not None and policy.revision != self.seen_policy:
            self.seen_policy = policy.revision
            out.append(PolicyChanged(policy))
        if self.configuration.state is not self.seen_state:
            self.seen_state = self.configuration.state
            out.append(FreshnessChanged(self.seen_state))
        return out

    def _look_leaving(self) -> list[typing.Any]:
        leaving = frozenset(
            name
            for name, boot in self.boots.items()
            if self.directory.leaving_flags.is_leaving(name, boot)
        )
        if leaving == self.seen_leaving:
            return []
        self.seen_leaving = leaving
        return [LeavingChanged(leaving)]
