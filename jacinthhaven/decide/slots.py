"""Acquisition and release of connection slots of this member.

A slot is a store key that exists while its holder's lease lives. The keeper
works from the slot directory that members exchange and calls the store only
to create, check or delete a key, so a stable cluster causes no traffic.
"""

import collections
import dataclasses
import itertools
import typing

from jacinthhaven.decide import messages, slot_calls, slot_ranking
from jacinthhaven.records import store, topology

# Longer than the time in which the directory spreads between members, so
# that a member sees the key of a better ranked one before its own turn.
STAGGER_MS = 1500

# Ranking 2,000 members for one group takes some milliseconds, and hundreds
# of groups miss a slot after a zone failure. Each node therefore computes
# at most this many weights in each interval.
PLAN_WEIGHTS = 2000
PLAN_INTERVAL_MS = 100


@dataclasses.dataclass(slots=True)
class SlotAcquired:
    """Slot keeper to owner: connections may be opened with this epoch."""

    slot: topology.Slot


@dataclasses.dataclass(slots=True)
class SlotLost:
    """Slot keeper to owner: open no more connections with this epoch.

    Attributes:
      slot: The slot that was held.
      reason: Why it is not held any more.
    """

    slot: topology.Slot
    reason: str


# Absent slots and holders of one group.
_Inputs = tuple[list[slot_ranking.Place], list[str]]


class SlotKeeper:
    """Keeper of this member's connection slots.

    Attributes:
      member: This member.
      groups: All groups by name.
      lease: Lease of this member; 0 without one.
      revision: Store revision of the newest directory.
      slots: Slots of the newest directory.
      members: Live members of the newest directory.
      held: Slots that this member holds, by group.
      turns: When absent slots may be created, by group.
      unplanned: Groups with absent slots and without a computed turn, with
        their absent slots and holders.
      absent_ms: When each absent slot was first seen absent.
      settled: Epochs of own keys that are not to be checked again.
      calls: Store calls in flight and due.
      draining: Whether the member gives up its slots.
    """

    def __init__(
        self,
        member: topology.Member,
        numbers: typing.Iterator[int],
        stagger_ms: int = STAGGER_MS,
    ) -> None:
        """Start without groups, lease and directory.

        Args:
          member: This member.
          numbers: Source of call numbers, unique within the process.
          stagger_ms: Wait of each further rank before it creates a slot.
        """
        self.member = member
        self.groups: dict[str, topology.Group] = {}
        self.lease = 0
        self.revision = -1
        self.slots: dict[slot_ranking.Place, topology.Slot] = {}
        self.members: tuple[topology.Member, ...] = ()
        self.held: dict[str, topology.Slot] = {}
        self.turns: dict[str, slot_ranking.Turn] = {}
        self.unplanned: dict[str, _Inputs] = {}
        self.absent_ms: dict[slot_ranking.Place, int] = {}
        self.settled: set[int] = set()
        self.calls = slot_calls.SlotCalls(numbers)
        self.draining = False
        self._stagger_ms = stagger_ms
        self._planned: dict[str, _Inputs] = {}
        self._plan_ms = 0

    def on_groups(
        self,
        groups: typing.Iterable[topology.Group],
        now_ms: int,
    ) -> list[SlotLost]:
        """Apply the configured groups; release slots that ceased to exist."""
        self.groups = {group.name: group for group in groups}
        surplus = [
            slot
            for slot in self.held.values()
            if slot.group not in self.groups
            or slot.number >= self.groups[slot.group].owners
        ]
        lost = self._release(surplus, 'slot is not configured any more')
        self._plan(now_ms)
        return lost

    def on_lease(self, lease: int, now_ms: int) -> list[SlotLost]:
        """Apply this member's lease.

        Args:
          lease: Current lease; 0 if the store reported that it is gone. A
            store that does not respond does not change the lease.
          now_ms: Current time.

        Returns:
          `SlotLost` for every slot bound to the former lease.
        """
        if lease == self.lease:
            return []
        self.lease = lease
        lost = [SlotLost(slot, 'lease is gone') for slot in self.held.values()]
        self.held.clear()
        # The result of a check depends on the lease.
        self.settled.clear()
        self._plan(now_ms)
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
          revision: Store revision of the slots; an older one is ignored.
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
            self._planned.clear()
        self.slots = {slot_ranking.place_of(slot): slot for slot in directory}
        lost = [held for held in self.held.values() if self._gone(held)]
        for slot in lost:
            self.held.pop(slot.group)
        self._plan(now_ms)
        return [SlotLost(gone, 'store key is gone') for gone in lost]

    def on_reply(
        self,
        message: messages.StoreReply,
        now_ms: int,
    ) -> list[typing.Any]:
        """Act on the reply to a call of this keeper.

        Args:
          message: Reply; one to a call of another component is ignored.
          now_ms: Current time.

        Returns:
          `SlotAcquired` and `DecisionLine` messages.
        """
        call = self.calls.take(message, now_ms)
        reply = message.reply
        if call is None or call.kind == slot_calls.Kind.DELETE:
            return []
        place = call.place
        if call.kind == slot_calls.Kind.CHECK:
            found = [kv for kv in reply.entries if kv.key == place.key]
            return self._on_check(place, found[0]) if found else []
        if not reply.succeeded:
            self.calls.retry_ms[place.group] = now_ms + slot_calls.RETRY_MS
            return []
        if call.lease != self.lease:
            return []
        return self._hold(place, reply.revision)

    def tick(self, now_ms: int) -> list[messages.StoreCall]:
        """Return the store calls that are due, at most one for each group."""
        out = self.calls.due(now_ms)
        if self.unplanned and now_ms >= self._plan_ms:
            self._plan_ms = now_ms + PLAN_INTERVAL_MS
            self._plan_turns()
        if not self.turns:
            return out
        busy = self.calls.busy() | self.held.keys()
        document = slot_ranking.document(self.member)
        for group, turn in self.turns.items():
            due_ms = self.absent_ms[turn.place] + turn.delay_ms
            ready = now_ms >= due_ms and self.calls.rested(group, now_ms)
            if ready and group not in busy:
                out.append(
                    self.calls.create(turn.place, document, self.lease),
                )
        return out

    def drain(self, now_ms: int) -> list[SlotLost]:
        """Release all slots and acquire no further ones.

        The owner should have closed the connections of its slots by then;
        otherwise the next holder's higher epoch closes them.
        """
        self.draining = True
        lost = self._release(list(self.held.values()), 'member is draining')
        self._plan(now_ms)
        return lost

    def _gone(self, slot: topology.Slot) -> bool:
        """Return whether the directory proves that a held key is gone."""
        shown = self.slots.get(slot_ranking.place_of(slot))
        if shown is None:
            return self.revision >= slot.epoch
        return shown.epoch > slot.epoch

    def _plan(self, now_ms: int) -> None:
        """Find the keys to check and the groups with absent slots."""
        self._queue_checks(now_ms)
        absent = {
            name: self._absent(group) for name, group in self.groups.items()
        }
        self.absent_ms = {
            place: self.absent_ms.get(place, now_ms)
            for place in itertools.chain.from_iterable(absent.values())
        }
        holders = collections.defaultdict(list)
        for slot in sorted(self.slots.values(), key=slot_ranking.place_of):
            holders[slot.group].append(slot.holder)
        inputs = {
            name: (places, holders[name])
            for name, places in absent.items()
            if places and self.lease and not self.draining
        }
        kept = [
            name
            for name, planned in self._planned.items()
            if inputs.get(name) == planned
        ]
        self._planned = {name: inputs.pop(name) for name in kept}
        self.turns = {
            name: self.turns[name] for name in kept if name in self.turns
        }
        self.unplanned = inputs

    def _queue_checks(self, now_ms: int) -> None:
        """Check keys of this member that it does not know about."""
        epochs = {slot.epoch for slot in self.slots.values()}
        self.settled = {
            epoch
            for epoch in self.settled
            if epoch in epochs or epoch > self.revision
        }
        for place, slot in self.slots.items():
            mine = slot.holder == self.member.name
            if mine and slot.epoch not in self.settled:
                self.calls.checks.setdefault(place, now_ms)

    def _plan_turns(self) -> None:
        """Compute this member's turns in some of the unplanned groups."""
        limit = max(1, PLAN_WEIGHTS // max(1, len(self.members)))
        for group in list(self.unplanned)[:limit]:
            absent, holders = self.unplanned.pop(group)
            self._planned[group] = (absent, holders)
            turn = slot_ranking.turn(
                absent,
                slot_ranking.candidates(group, holders, self.members),
                self.member.name,
                self._stagger_ms,
            )
            if turn is not None:
                gap_ms = slot_ranking.spread_ms(
                    turn.place,
                    len(self.absent_ms),
                )
                self.turns[group] = dataclasses.replace(
                    turn,
                    delay_ms=turn.delay_ms + gap_ms,
                )

    def _absent(self, group: topology.Group) -> list[slot_ranking.Place]:
        places = [
            slot_ranking.Place(group.name, number)
            for number in range(group.owners)
        ]
        return [place for place in places if place not in self.slots]

    def _on_check(
        self,
        place: slot_ranking.Place,
        entry: store.KeyValue,
    ) -> list[typing.Any]:
        """Adopt or release a key that this member may have created.

        A key of this member that is bound to another lease belongs to an
        earlier start or an earlier lease and expires by itself.
        """
        slot = slot_ranking.slot_of(entry)
        if slot is None or slot.holder != self.member.name:
            return []
        self.settled.add(slot.epoch)
        if not self.lease or entry.lease != self.lease:
            return []
        held = self.held.get(place.group)
        if held is not None and held.epoch == slot.epoch:
            return []
        if self.draining or held is not None:
            self.calls.releases[place] = entry.mod_revision
            return []
        return self._hold(place, slot.epoch)

    def _hold(
        self,
        place: slot_ranking.Place,
        epoch: int,
    ) -> list[typing.Any]:
        slot = topology.Slot(
            place.group,
            place.number,
            self.member.name,
            epoch,
        )
        self.settled.add(epoch)
        if self.draining:
            self.calls.releases[place] = epoch
            return []
        self.held[place.group] = slot
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
        self.calls.releases |= {
            slot_ranking.place_of(known): known.epoch for known in slots
        }
        return [SlotLost(known, reason) for known in slots]
