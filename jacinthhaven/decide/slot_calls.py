"""Store calls about connection slots, in flight and due.

A reply can be lost after the call took effect, so every creation without a
reply is followed by a check of the key, and deletions are repeated until
one is answered.
"""

import dataclasses
import enum
import typing

from jacinthhaven.decide import messages, slot_ranking
from jacinthhaven.kernel import failures
from jacinthhaven.records import store

# Pause before a call is repeated while the store is slow or unavailable,
# or after another member created the key first.
RETRY_MS = 2000


class Kind(enum.Enum):
    """Purpose of a store call."""

    CREATE = 'create'
    CHECK = 'check'
    DELETE = 'delete'


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """Store call in flight; `lease` is the one that a new key is bound to."""

    kind: Kind
    place: slot_ranking.Place
    lease: int = 0


class SlotCalls:
    """Store calls of one slot keeper.

    Attributes:
      flying: Calls in flight by number.
      checks: Keys to read back and the earliest time, by slot.
      releases: Modification revisions of the keys to delete, by slot.
      retry_ms: Earliest time of the next creation or deletion, by group.
    """

    def __init__(self, numbers: typing.Iterator[int]) -> None:
        """Start without calls; `numbers` yields unique call numbers."""
        self.flying: dict[int, Call] = {}
        self.checks: dict[slot_ranking.Place, int] = {}
        self.releases: dict[slot_ranking.Place, int] = {}
        self.retry_ms: dict[str, int] = {}
        self._numbers = numbers

    def idle(self) -> bool:
        """Return whether nothing is in flight or due."""
        return not (self.flying or self.checks or self.releases)

    def busy(self) -> set[str]:
        """Return the groups that wait for a call or a check."""
        places = [call.place for call in self.flying.values()]
        places += [*self.checks, *self.releases]
        return {place.group for place in places}

    def take(self, reply: messages.StoreReply, now_ms: int) -> Call | None:
        """Return the call that a reply belongs to.

        Args:
          reply: Reply or failure. After a failure the key is checked, or
            the deletion is repeated, once the pause is over.
          now_ms: Current time.

        Returns:
          The call if it was answered by the store; otherwise None.
        """
        call = self.flying.pop(reply.number, None)
        if call is None:
            return None
        place = call.place
        if isinstance(reply.reply, failures.Failure):
            self.retry_ms[place.group] = now_ms + RETRY_MS
            if call.kind != Kind.DELETE:
                self.checks[place] = now_ms + RETRY_MS
            return None
        if call.kind == Kind.DELETE:
            self.releases.pop(place, None)
        return call

    def due(self, now_ms: int) -> list[messages.StoreCall]:
        """Return the deletions and checks that are due."""
        flying = {call.place.group for call in self.flying.values()}
        out = []
        for place, revision in self.releases.items():
            if place.group not in flying and self.rested(place.group, now_ms):
                out.append(self._delete(place, revision))
                flying.add(place.group)
        for place, due_ms in list(self.checks.items()):
            if place.group not in flying and now_ms >= due_ms:
                self.checks.pop(place)
                request = store.ReadRequest(place.key)
                out.append(self._call(Call(Kind.CHECK, place), request))
                flying.add(place.group)
        return out

    def create(
        self,
        place: slot_ranking.Place,
        document: str,
        lease: int,
    ) -> messages.StoreCall:
        """Return a call that creates a slot's key if it is absent."""
        request = store.SwapRequest(
            (store.Compare(place.key, 0),),
            (store.Put(place.key, document, lease),),
        )
        return self._call(Call(Kind.CREATE, place, lease), request)

    def rested(self, group: str, now_ms: int) -> bool:
        """Return whether the pause after a failed call is over."""
        return now_ms >= self.retry_ms.get(group, now_ms)

    def _delete(
        self,
        place: slot_ranking.Place,
        revision: int,
    ) -> messages.StoreCall:
        request = store.SwapRequest(
            (store.Compare(place.key, revision),),
            (store.Delete(place.key),),
        )
        return self._call(Call(Kind.DELETE, place), request)

    def _call(self, call: Call, request: store.Request) -> messages.StoreCall:
        number = next(self._numbers)
        self.flying[number] = call
        return messages.StoreCall(number, request)
