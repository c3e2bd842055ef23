"""Execution slots of the instances of one service, and what occupies them."""

import collections
import typing

from jacinthhaven.sql import peer_messages

# Statements sent ahead for each slot, so that the slot has work while a reply
# and the next permit are in transit.
_SENT_AHEAD_PER_SLOT = 0.5


class SlotTable:
    """Slots of one service and the statements that occupy them.

    Attributes:
      slots: Number of slots by instance.
      leader: Name of the primary, or ''.
      busy: Number of statements in flight, by instance.
    """

    __slots__ = ('slots', 'leader', 'busy')

    def __init__(self, slots: typing.Mapping[str, int], leader: str) -> None:
        """Start with free slots."""
        self.slots = slots
        self.leader = leader
        self.busy: collections.Counter[str] = collections.Counter()

    def needs_primary(self, waiting: peer_messages.Waiting) -> bool:
        """Return whether only the primary can execute a statement."""
        return waiting.instances == (self.leader,)

    def choose(
        self,
        waiting: peer_messages.Waiting,
        *,
        is_urgent: bool,
        primary_is_wanted: bool,
        may_queue: bool,
    ) -> str | None:
        """Return the instance that should execute a statement now.

        Args:
          waiting: Statement to place.
          is_urgent: Whether it has the highest priority of the service.
          primary_is_wanted: Whether statements wait that only the primary can
            execute. Reads do not use its slots then.
          may_queue: Whether it may be sent ahead while no slot is free.

        Returns:
          Name of the instance, or None if the statement has to wait.
        """
        needs_primary = self.needs_primary(waiting)
        names = [
            name
            for name in linked_to(waiting)
            if needs_primary or name != self.leader or not primary_is_wanted
        ]
        for name in names:
            if self.busy[name] < self.slots.get(name, 1):
                return name
        if not may_queue:
            return None
        for name in names:
            # What queues at the primary would delay urgent statements.
            ahead = name != self.leader or needs_primary and is_urgent
            if ahead and self.busy[name] < self._limit(name):
                return name
        return None

    def capacity(self, waiting: peer_messages.Waiting) -> int:
        """Return the number of slots that a statement can wait for."""
        if self.needs_primary(waiting):
            return self.slots.get(self.leader, 1)
        names = [name for name in waiting.instances if name != self.leader]
        return sum(self.slots.get(name, 1) for name in names) or 1

    def _limit(self, name: str) -> float:
        slots = self.slots.get(name, 1)
        return slots + max(int(slots * _SENT_AHEAD_PER_SLOT), 1)


def linked_to(waiting: peer_messages.Waiting) -> tuple[str, ...]:
    """Return the instances to which the owner of a statement has a link."""
    return waiting.instances if waiting.linked is None else waiting.linked
