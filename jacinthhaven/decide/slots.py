"""Acquisition and release of connection slots of this member.

A slot is held through a store key that exists as long as the holder's lease.
The slot manager works from the slot directory that members exchange and calls
the store only to create, check or delete a key, so a stable cluster causes no
store traffic.
"""

import collections
import dataclasses
import itertools
import typing

from jacinthhaven.decide import messages, slot_calls, slot_ranking
from jacinthhaven.records import store, topology

# Delay of each further rank before it tries to create a slot. It is longer
# than the time in which the directory spreads between members, so that a
# member sees the key of a better ranked one before it tries itself.
STAGGER_MS = 1500

# Ranking 2,000 members for one group takes some milliseconds, and hundreds
# of groups lack a slot after a zone failure. Each node therefore computes at
# most this many rendezvous weights per interval, but at least one group's.
MAX_PLANNED_WEIGHTS = 2000
PLAN_INTERVAL_MS = 100


@dataclasses.dataclass(slots=True)
class SlotAcquired:
    """Slot manager to owner: connections may be opened with this epoch."""

    slot: topology.Slot


@dataclasses.dataclass(slots=True)
class SlotLost:
    """Slot manager to owner: open no more connections with this epoch.

    Attributes:
      slot: The slot that was held.
      reason: Why it is no longer held.
    """

    slot: topology.Slot
    reason: str


# Absent slots and holders of one group.
_PlanInputs = tuple[list[slot_ranking.SlotId], list[str]]


class SlotManager:
    """Acquires, checks and releases this member's connection slots.

    A slot is absent if the directory lists no store key for it.

    Attributes:
      member: This member.
      groups: All groups by name.
      lease: Lease of this member; 0 without one.
      revision: Store revision of the newest directory.
      slots: Slots in the newest directory, by group and number.
      members: Live members in the newest directory.
      held: Slots that this member holds, by group.
      planned_creations: Slot that this member may create and when, by group.
      unplanned_inputs: Absent slots and holders of the groups for which this
        member has not computed a planned creation yet.
      absent_since_ms: When each absent slot was first seen absent.
      checked_epochs: Epochs of own keys that need no further check.
      calls: Store calls in flight and due.
      draining: Whether the member is releasing its slots.
    """

    def __init__(
        self,
        member: topology.Member,
        call_numbers: typing.Iterator[int],
        stagger_ms: int = STAGGER_MS,
    ) -> None:
        """Start without groups, lease and directory.

        Args:
          member: This member.
          call_numbers: Source of call numbers, unique within the process.
          stagger_ms: Delay of each further rank before it creates a slot.
        """
        self.member = member
        self.groups: dict[str, topology.Group] = {}
        self.lease = 0
        self.revision = -1
        self.slots: dict[slot_ranking.SlotId, topology.Slot] = {}
        self.members: tuple[topology.Member, ...] = ()
        self.held: dict[str, topology.Slot] = {}
        self.planned_creations: dict[str, slot_ranking.PlannedCreation] = {}
        self.unplanned_inputs: dict[str, _PlanInputs] = {}
        self.absent_since_ms: dict[slot_ranking.SlotId, int] = {}
        self.checked_epochs: set[int] = set()
        self.calls = slot_calls.SlotCalls(call_numbers)
        self.draining = False
        self._stagger_ms = stagger_ms
        self._planned_inputs: dict[str, _PlanInputs] = {}
        self._next_plan_ms = 0

    def on_groups(
        self,
        groups: typing.Iterable[topology.Group],
        now_ms: int,
    ) -> list[SlotLost]:
        """Apply the configured groups and release slots no longer in them."""
        self.groups = {group.name: group for group in groups}
        removed = [
            slot
            for slot in self.held.values()
            if slot.group not in self.groups
            or slot.number >= self.groups[slot.group].owners
        ]
        lost = self._release(removed, 'slot is no longer configured')
        self._update_plan(now_ms)
        return lost

    def on_lease(self, lease: int, now_ms: int) -> list[SlotLost]:
        """Apply this member's lease.

        Args:
          lease: Current lease; 0 if the store reported that it is gone. A
            store that does not respond does not change the lease.
          now_ms: Current time.

        Returns:
          `SlotLost` for every slot attached to the former lease.
        """
        if lease == self.lease:
            return []
        self.lease = lease
        lost = [SlotLost(slot, 'lease is gone') for slot in self.held.values()]
        self.held.clear()
        # The result of a check depends on the lease.
        self.checked_epochs.clear()
        self._update_plan(now_ms)
        return lost

    def on_directory(
        self,
        directory: typing.Iterable[topology.Slot],
        members: typing.Iterable[topology.Member],
        revision: int,
        now_ms: int,
    ) -> list[SlotLost]:
        """Apply a changed directory.

        Args:
          directory: All slots that have a store key.
          members: All live members.
          revision: Store revision of the slots; an older one than the current
            is ignored.
          now_ms: Current time.

        Returns:
          `SlotLost` for held slots whose key is gone.
        """
        if revision < self.revision:
            return []
        self.revision = revision
        live = tuple(members)
        if live != self.members:
            self.members = live
            self._planned_inputs.clear()
        self.slots = {slot_ranking.slot_id_of(slot): slot for slot in directory}
        lost = [held for held in self.held.values() if self._key_is_gone(held)]
        for slot in lost:
            self.held.pop(slot.group)
        self._update_plan(now_ms)
        return [SlotLost(gone, 'store key is gone') for gone in lost]

    def on_reply(
        self,
        message: messages.StoreReply,
        now_ms: int,
    ) -> list[typing.Any]:
        """Process the reply to a call of this slot manager.

        Args:
          message: Reply; replies to other components' calls are ignored.
          now_ms: Current time.

        Returns:
          `SlotAcquired` and `DecisionLine` messages.
        """
        call = self.calls.finish(message, now_ms)
        reply = message.reply
        if call is None or call.kind == slot_calls.Kind.DELETE:
            return []
        slot_id = call.slot_id
        if call.kind == slot_calls.Kind.CHECK:
            found = [kv for kv in reply.entries if kv.key == slot_id.key]
            return self._on_check_reply(slot_id, found[0]) if found else []
        if not reply.succeeded:
            self.calls.retry_at_ms[slot_id.group] = now_ms + slot_calls.RETRY_MS
            return []
        if call.lease != self.lease:
            return []
        return self._add_held_slot(slot_id, reply.revision)

    def tick(self, now_ms: int) -> list[messages.StoreCall]:
        """Return the due store calls, at most one for each group."""
        out = self.calls.due(now_ms)
        if self.unplanned_inputs and now_ms >= self._next_plan_ms:
            self._next_plan_ms = now_ms + PLAN_INTERVAL_MS
            self._plan_creations()
        if not self.planned_creations:
            return out
        busy_groups = self.calls.busy_groups() | self.held.keys()
        document = slot_ranking.document(self.member)
        for group, planned in self.planned_creations.items():
            due_ms = self.absent_since_ms[planned.slot_id] + planned.delay_ms
            ready = now_ms >= due_ms and self.calls.may_retry(group, now_ms)
            if ready and group not in busy_groups:
                out.append(
                    self.calls.create(planned.slot_id, document, self.lease),
                )
        return out

    def drain(self, now_ms: int) -> list[SlotLost]:
        """Release all slots and acquire no more.

        The owner should already have closed the connections of its slots;
        otherwise the next holder's higher epoch closes them.
        """
        self.draining = True
        lost = self._release(list(self.held.values()), 'member is draining')
        self._update_plan(now_ms)
        return lost

    def _key_is_gone(self, slot: topology.Slot) -> bool:
        """Return whether the directory proves that a held slot's key is gone.

        The key is gone if it is absent at or after its creation revision, or
        if it was created again later.
        """
        listed = self.slots.get(slot_ranking.slot_id_of(slot))
        if listed is None:
            return self.revision >= slot.epoch
        return listed.epoch > slot.epoch

    def _update_plan(self, now_ms: int) -> None:
        """Queue the keys to check and update the groups with absent slots."""
        self._queue_checks(now_ms)
        absent = {
            name: self._absent_slots(group)
            for name, group in self.groups.items()
        }
        self.absent_since_ms = {
            slot_id: self.absent_since_ms.get(slot_id, now_ms)
            for slot_id in itertools.chain.from_iterable(absent.values())
        }
        holders = collections.defaultdict(list)
        for slot in sorted(self.slots.values(), key=slot_ranking.slot_id_of):
            holders[slot.group].append(slot.holder)
        inputs = {
            name: (slot_ids, holders[name])
            for name, slot_ids in absent.items()
            if slot_ids and self.lease and not self.draining
        }
        kept = [
            name
            for name, planned in self._planned_inputs.items()
            if inputs.get(name) == planned
        ]
        self._planned_inputs = {name: inputs.pop(name) for name in kept}
        self.planned_creations = {
            name: self.planned_creations[name]
            for name in kept
            if name in self.planned_creations
        }
        self.unplanned_inputs = inputs

    def _queue_checks(self, now_ms: int) -> None:
        """Queue checks of this member's keys that it has not checked yet."""
        epochs = {slot.epoch for slot in self.slots.values()}
        self.checked_epochs = {
            epoch
            for epoch in self.checked_epochs
            if epoch in epochs or epoch > self.revision
        }
        for slot_id, slot in self.slots.items():
            mine = slot.holder == self.member.name
            if mine and slot.epoch not in self.checked_epochs:
                self.calls.checks.setdefault(slot_id, now_ms)

    def _plan_creations(self) -> None:
        """Plan this member's creations in some of the unplanned groups."""
        limit = max(1, MAX_PLANNED_WEIGHTS // max(1, len(self.members)))
        for group in list(self.unplanned_inputs)[:limit]:
            absent, holders = self.unplanned_inputs.pop(group)
            self._planned_inputs[group] = (absent, holders)
            planned = slot_ranking.plan_creation(
                absent,
                slot_ranking.candidates(group, holders, self.members),
                self.member.name,
                self._stagger_ms,
            )
            if planned is not None:
                offset_ms = slot_ranking.creation_offset_ms(
                    planned.slot_id,
                    len(self.absent_since_ms),
                )
                self.planned_creations[group] = dataclasses.replace(
                    planned,
                    delay_ms=planned.delay_ms + offset_ms,
                )

    def _absent_slots(self, group: topology.Group) -> list[slot_ranking.SlotId]:
        slot_ids = [
            slot_ranking.SlotId(group.name, number)
            for number in range(group.owners)
        ]
        return [slot_id for slot_id in slot_ids if slot_id not in self.slots]

    def _on_check_reply(
        self,
        slot_id: slot_ranking.SlotId,
        entry: store.KeyValue,
    ) -> list[typing.Any]:
        """Adopt or delete a key that this member may have created.

        A key of this member with another lease belongs to an earlier process
        or an earlier lease, and expires without being deleted.
        """
        slot = slot_ranking.parse_slot(entry)
        if slot is None or slot.holder != self.member.name:
            return []
        self.checked_epochs.add(slot.epoch)
        if not self.lease or entry.lease != self.lease:
            return []
        held = self.held.get(slot_id.group)
        if held is not None and held.epoch == slot.epoch:
            return []
        if self.draining or held is not None:
            self.calls.deletions[slot_id] = entry.mod_revision
            return []
        return self._add_held_slot(slot_id, slot.epoch)

    def _add_held_slot(
        self,
        slot_id: slot_ranking.SlotId,
        epoch: int,
    ) -> list[typing.Any]:
        slot = topology.Slot(
            slot_id.group,
            slot_id.number,
            self.member.name,
            epoch,
        )
        self.checked_epochs.add(epoch)
        if self.draining:
            self.calls.deletions[slot_id] = epoch
            return []
        self.held[slot_id.group] = slot
        fields = {'slot': slot.key, 'holder': slot.holder, 'epoch': epoch}
        return [
            SlotAcquired(slot),
            messages.DecisionLine('slot_acquired', fields),
        ]

    def _release(
        self,
        slots: list[topology.Slot],
        reason: str,
    ) -> list[SlotLost]:
        for slot in slots:
            self.held.pop(slot.group)
        # A slot key is written once, so its epoch is its revision.
        self.calls.deletions |= {
            slot_ranking.slot_id_of(released): released.epoch
            for released in slots
        }
        return [SlotLost(released, reason) for released in slots]
