"""What an owner knows about the instances of its group.

The views are the input of the routing, confirmation, failure detection and
promotion code; only the owner changes them.
"""

import dataclasses
import typing

from jacinthhaven.records import backend

NEVER_MS = -1


@dataclasses.dataclass(slots=True)
class InstanceView:
    """Latest known state of one instance.

    Attributes:
      name: Name of the instance.
      zone: Availability zone of the instance.
      boot: Identifier of its current start; empty before first contact.
      leaving: Whether it is about to stop and must not get new work.
      leaving_since_ms: When it was first known to be leaving.
      asked_ms: When the newest answered status request was sent.
      heard_ms: When the newest status response arrived.
      suspected: Whether its silence exceeds the suspicion timeout.
      copies: Status of its database copies by database name.
    """

    name: str
    zone: str
    boot: str = ''
    leaving: bool = False
    leaving_since_ms: int = NEVER_MS
    asked_ms: int = NEVER_MS
    heard_ms: int = NEVER_MS
    suspected: bool = False
    copies: dict[str, backend.DatabaseStatus] = dataclasses.field(
        default_factory=dict,
    )

    def clear_status(self) -> None:
        """Discard the state that came from status responses."""
        self.copies = {}
        self.asked_ms = NEVER_MS
        self.heard_ms = NEVER_MS
        self.suspected = False

    def silent_ms(self, now_ms: int) -> int:
        """Return the milliseconds since the last status response."""
        if self.heard_ms == NEVER_MS:
            return now_ms
        return now_ms - self.heard_ms


Instances = dict[str, InstanceView]


def majority(instances: typing.Sized) -> int:
    """Return how many instances form a majority of all instances."""
    return len(instances) // 2 + 1


def primary_of(instances: Instances, database: str) -> InstanceView | None:
    """Return the instance that claims to be primary in the highest term."""
    newest = None
    newest_term = 0
    for view in instances.values():
        copy = view.copies.get(database)
        if copy is not None and copy.primary and copy.term > newest_term:
            newest = view
            newest_term = copy.term
    return newest


def newest_term(instances: Instances, database: str) -> int:
    """Return the highest term that any copy of a database has reported."""
    terms = [
        view.copies[database].term
        for view in instances.values()
        if database in view.copies
    ]
    return max(terms, default=0)
