"""What a run produced, in the forms that the checks need."""

import collections
import dataclasses
import functools
import typing

import msgspec

from jacinthhaven.standins import replicated_log
from scenarios import (
    fake_instances,
    fake_proxies,
    fake_store,
    history,
)

_CHANGES = frozenset((replicated_log.WRITE, replicated_log.COMMIT))
Logs = dict[str, list[replicated_log.Entry]]
Place = tuple[str, str]


@dataclasses.dataclass(slots=True)
class Applied:
    """Entries of one request key in the surviving log of a database."""

    database: str
    key: str
    entries: list[replicated_log.Entry]

    @property
    def steps(self) -> list[Place]:
        """Return the row and value of every statement of the first entry."""
        return [(step.key, step.value) for step in self.entries[0].steps]


@dataclasses.dataclass(slots=True)
class Acknowledged:
    """One value that a caller was told to be written."""

    session: str
    at_ms: int
    tag: str


@dataclasses.dataclass(slots=True)
class Route:
    """One routing decision.

    Attributes:
      at_ms: Time of the decision.
      node: Name of the node.
      revision: Policy revision that decided it.
      preset: Preset that decided it.
    """

    at_ms: int
    node: str
    revision: int
    preset: str


@dataclasses.dataclass
class Evidence:
    """Everything that a run produced.

    Attributes:
      log: What the callers saw.
      surviving: Entries of each database after all faults have ended.
      executed: Requests as the instances executed them.
      peaks: Largest number of connections of each instance.
      connection_limit: Largest allowed number of connections.
      current_ms: Allowed age of reads that state none.
      routes: Routing decisions of all nodes by time.
      written: Accepted changes of the configuration.
      answers: Answers that operators got.
      expected: Revision that each change was based on, by change id.
      errors: Exceptions of the decision code.
      leaving_ms: When instances were marked as leaving, by name.
    """

    log: history.History
    surviving: Logs
    executed: list[fake_instances.Executed]
    peaks: dict[str, int]
    connection_limit: int
    leaving_ms: dict[str, int] = dataclasses.field(default_factory=dict)
    current_ms: int = 0
    routes: list[Route] = dataclasses.field(default_factory=list)
    written: list[fake_store.Written] = dataclasses.field(
        default_factory=list,
    )
    answers: list[fake_proxies.OperatorAnswer] = dataclasses.field(
        default_factory=list,
    )
    expected: dict[str, int] = dataclasses.field(default_factory=dict)
    errors: list[str] = dataclasses.field(default_factory=list)

    @functools.cached_property
    def applied(self) -> dict[Place, Applied]:
        """Return the surviving changes by database and request key."""
        found: dict[Place, Applied] = {}
        for database, entry in self.entries():
            if entry.kind in _CHANGES:
                place = (database, entry.request_key)
                known = found.setdefault(place, Applied(*place, []))
                known.entries.append(entry)
        return found

    @functools.cached_property
    def acknowledged(self) -> dict[Place, list[Acknowledged]]:
        """Return the acknowledged values by database and row."""
        found = collections.defaultdict(list)
        for change in self.log.changes:
            if change.acknowledged_ms < 0:
                continue
            for key, tag in change.steps:
                found[change.database, key].append(
                    Acknowledged(change.session, change.acknowledged_ms, tag),
                )
        return found

    @functools.cached_property
    def places(self) -> dict[Place, int]:
        """Return the place of every surviving value in its row, from 1."""
        places = {}
        lengths: collections.Counter[Place] = collections.Counter()
        for database, entry in self.entries():
            for step in entry.steps:
                lengths[database, step.key] += 1
                places[database, step.value] = lengths[database, step.key]
        return places

    @functools.cached_property
    def sent(self) -> dict[Place, set[str]]:
        """Return the values that callers have sent to each row."""
        sent = collections.defaultdict(set)
        for request in self.log.requests:
            if request.tag:
                sent[request.database, request.key].add(request.tag)
        return sent

    def entries(self) -> typing.Iterator[tuple[str, replicated_log.Entry]]:
        """Yield the surviving entries with their database."""
        for database, entries in self.surviving.items():
            for entry in entries:
                yield database, entry

    def entries_of(self, change: history.Change) -> int:
        """Return how often a change is in the surviving log."""
        found = self.applied.get((change.database, change.request_key))
        return len(found.entries) if found else 0


def rows(request: history.Request) -> list[str]:
    """Return the rows that a read returned."""
    decoded = msgspec.json.decode(request.answer.result)
    return decoded if isinstance(decoded, list) else []
