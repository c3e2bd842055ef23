"""Store calls for connection slots, in flight and due.

A reply can be lost after the call took effect. Every creation without a
reply is therefore followed by a check of the key, and a deletion is repeated
until one is answered.
"""

import dataclasses
import enum
import typing

from jacinthhaven.decide import messages, slot_ranking
from jacinthhaven.kernel import failures
from jacinthhaven.records import store

# Delay before a call is repeated while the store is slow or unavailable, or
# after another member created the key first.
RETRY_MS = 2000


class Kind(enum.Enum):
    """Purpose of a store call."""

    CREATE = 'create'
    CHECK = 'check'
    DELETE = 'delete'


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """Store call in flight; `lease` is the lease of a key to be created."""

    kind: Kind
    slot_id: slot_ranking.SlotId
    lease: int = 0


class SlotCalls:
    """Store calls of one slot manager.

    Attributes:
      in_flight: Calls in flight by number.
      checks: Earliest times to read back the keys to check, by slot.
      deletions: Modification revisions of the keys to delete, by slot.
      retry_at_ms: Earliest time of the next creation or deletion, by group.
    """

    def __init__(self, call_numbers: typing.Iterator[int]) -> None:
        """Start without calls; `call_numbers` yields unique numbers."""
        self.in_flight: dict[int, Call] = {}
        self.checks: dict[slot_ranking.SlotId, int] = {}
        self.deletions: dict[slot_ranking.SlotId, int] = {}
        self.retry_at_ms: dict[str, int] = {}
        self._call_numbers = call_numbers

    def idle(self) -> bool:
        """Return whether no call is in flight or due."""
        return not (self.in_flight or self.checks or self.deletions)

    def busy_groups(self) -> set[str]:
        """Return the groups with a call in flight, a check or a deletion."""
        slot_ids = [call.slot_id for call in self.in_flight.values()]
        slot_ids += [*self.checks, *self.deletions]
        return {slot_id.group for slot_id in slot_ids}

    def finish(self, reply: messages.StoreReply, now_ms: int) -> Call | None:
        """Finish the call that a reply belongs to.

        Args:
          reply: Reply or failure. After a failure the key is checked, or
            the deletion is repeated, once the retry delay is over.
          now_ms: Current time.

        Returns:
          The call if the store answered it; otherwise None.
        """
        call = self.in_flight.pop(reply.number, None)
        if call is None:
            return None
        slot_id = call.slot_id
        if isinstance(reply.reply, failures.Failure):
            self.retry_at_ms[slot_id.group] = now_ms + RETRY_MS
            if call.kind != Kind.DELETE:
                self.checks[slot_id] = now_ms + RETRY_MS
            return None
        if call.kind == Kind.DELETE:
            self.deletions.pop(slot_id, None)
        return call

    def due(self, now_ms: int) -> list[messages.StoreCall]:
        """Return the deletions and checks that are due."""
        busy = {call.slot_id.group for call in self.in_flight.values()}
        out = []
        for slot_id, revision in self.deletions.items():
            if slot_id.group not in busy and self.may_retry(
                slot_id.group,
                now_ms,
            ):
                out.append(self._delete(slot_id, revision))
                busy.add(slot_id.group)
        for slot_id, due_ms in list(self.checks.items()):
            if slot_id.group not in busy and now_ms >= due_ms:
                self.checks.pop(slot_id)
                request = store.ReadRequest(slot_id.key)
                out.append(self._call(Call(Kind.CHECK, slot_id), request))
                busy.add(slot_id.group)
        return out

    def create(
        self,
        slot_id: slot_ranking.SlotId,
        document: str,
        lease: int,
    ) -> messages.StoreCall:
        """Return a call that creates a slot's key if it is absent."""
        request = store.SwapRequest(
            (store.Compare(slot_id.key, 0),),
            (store.Put(slot_id.key, document, lease),),
        )
        return self._call(Call(Kind.CREATE, slot_id, lease), request)

    def may_retry(self, group: str, now_ms: int) -> bool:
        """Return whether the retry delay after a failed call is over."""
        return now_ms >= self.retry_at_ms.get(group, now_ms)

    def _delete(
        self,
        slot_id: slot_ranking.SlotId,
        revision: int,
    ) -> messages.StoreCall:
        request = store.SwapRequest(
            (store.Compare(slot_id.key, revision),),
            (store.Delete(slot_id.key),),
        )
        return self._call(Call(Kind.DELETE, slot_id), request)

    def _call(self, call: Call, request: store.Request) -> messages.StoreCall:
        number = next(self._call_numbers)
        self.in_flight[number] = call
        return messages.StoreCall(number, request)
