"""Log of one database copy and the rows that it produces.

Replicas compute rows, results and recorded request keys from the log
alone, so they know the keys when they are promoted.
"""

import collections
import typing

import msgspec

from jacinthhaven.records import backend
from jacinthhaven.standins import statements

START = 'start'
WRITE = 'write'
COMMIT = 'commit'
CANCEL = 'cancel'
# A replica that is far behind catches up in several replies of this size.
_MAX_PULLED = 256


class Entry(msgspec.Struct, array_like=True, frozen=True):
    """One log entry.

    Attributes:
      term: Term in which the entry was written.
      kind: `start`, `write`, `commit` or `cancel`.
      steps: Statements that are applied together.
      request_key: Unique key of the change; may be empty.
      fingerprint: Hash of the caller's statement.
    """

    term: int
    kind: str
    steps: tuple[statements.Statement, ...] = ()
    request_key: str = ''
    fingerprint: str = ''


class Recorded(msgspec.Struct, frozen=True):
    """Outcome that the log holds for a request key."""

    fingerprint: str
    position: int
    cancelled: bool
    result: msgspec.Raw


class Log:
    """Log entries, of which the first `position` ones are visible.

    Received entries that are not visible yet model replication lag.

    Attributes:
      changes: Counter of all changes of the visible log.
      on_entry: Called with each entry that becomes visible.
      on_cut: Called with the new end when visible entries are dropped.
    """

    def __init__(self) -> None:
        """Start with an empty log."""
        self.entries: list[Entry] = []
        self.starts: list[backend.TermStart] = []
        self.position = 0
        self.delayed: collections.deque[tuple[int, int]] = collections.deque()
        self.rows: dict[str, typing.Any] = {}
        self.recorded: dict[str, Recorded] = {}
        self.changes = 0
        self.on_entry: typing.Callable[[Entry], None] = _ignore
        self.on_cut: typing.Callable[[int], None] = _ignore

    @property
    def term(self) -> int:
        """Return the term of the last visible entry; 0 for an empty log."""
        return self.term_at(self.position)

    def term_at(self, position: int) -> int:
        """Return the term of the received entry at a position."""
        return self.entries[position - 1].term if position else 0

    def visible_starts(self) -> list[backend.TermStart]:
        """Return the start of every term in the visible log."""
        return [
            start for start in self.starts if start.position <= self.position
        ]

    def write(self, entry: Entry) -> Recorded:
        """Append an entry of the primary and apply it.

        Raises:
          statements.RejectedError: If a statement does not fit the rows;
            nothing is appended.
        """
        outcome = self._apply(entry, self.position + 1)
        self._append(entry)
        self.position += 1
        self.changes += 1
        self.on_entry(entry)
        return outcome

    def entries_after(self, prefix: int) -> list[Entry]:
        """Return the next entries after a position, a limited number."""
        return self.entries[prefix : prefix + _MAX_PULLED]

    def common_prefix(
        self,
        starts: list[backend.TermStart],
        position: int,
    ) -> int:
        """Return the position up to which another log is the same.

        A term has one primary, so logs with the same start of a term are
        the same up to the end of the shorter one within that term.

        Args:
          starts: Start of every term in the other log.
          position: Position of the other log's last entry.
        """
        theirs = _term_ends(starts, position)
        own = _term_ends(self.starts, self.position)
        return max(
            (
                min(own[start], theirs[start])
                for start in own
                if start in theirs
            ),
            default=0,
        )

    def receive(self, prefix: int, entries: list[Entry], due_ms: int) -> None:
        """Append entries of the primary; drop those that it replaced.

        Only an entry of another term at the same position is dropped, so
        that entries that arrive late do not remove newer ones.

        Args:
          prefix: Position before the first entry.
          entries: Consecutive entries.
          due_ms: When they become visible.
        """
        for position, entry in enumerate(entries, start=prefix + 1):
            if position <= len(self.entries):
                if self.term_at(position) == entry.term:
                    continue
                self._truncate(position - 1)
            self._append(entry)
        if len(self.entries) > self.position:
            self.delayed.append((due_ms, len(self.entries)))

    def show_due(self, now_ms: int) -> None:
        """Make received entries visible whose delay has passed."""
        while self.delayed and self.delayed[0][0] <= now_ms:
            end = self.delayed.popleft()[1]
            while self.position < end:
                self.position += 1
                entry = self.entries[self.position - 1]
                self._apply(entry, self.position)
                self.changes += 1
                self.on_entry(entry)

    def drop_received(self) -> None:
        """Drop the entries that are not visible yet."""
        self._truncate(self.position)

    def _append(self, entry: Entry) -> None:
        if entry.term != self.term_at(len(self.entries)):
            self.starts.append(
                backend.TermStart(entry.term, len(self.entries) + 1),
            )
        self.entries.append(entry)

    def _truncate(self, position: int) -> None:
        self.entries = self.entries[:position]
        self.starts = [
            start for start in self.starts if start.position <= position
        ]
        self.delayed = collections.deque(
            (due, min(end, position)) for due, end in self.delayed
        )
        if self.position > position:
            self._rebuild()
            self.on_cut(position)

    def _rebuild(self) -> None:
        self.position = len(self.entries)
        self.rows = {}
        self.recorded = {}
        for position, entry in enumerate(self.entries, start=1):
            self._apply(entry, position)
        self.changes += 1

    def _apply(self, entry: Entry, position: int) -> Recorded:
        outcomes = statements.run_all(entry.steps, self.rows)
        result = outcomes if entry.kind == COMMIT else (outcomes or [None])[0]
        recorded = Recorded(
            entry.fingerprint,
            position,
            entry.kind == CANCEL,
            msgspec.Raw(msgspec.json.encode(result)),
        )
        if entry.request_key:
            self.recorded[entry.request_key] = recorded
        return recorded


def _term_ends(
    starts: list[backend.TermStart],
    position: int,
) -> dict[backend.TermStart, int]:
    ends = [start.position - 1 for start in starts[1:]]
    return dict(zip(starts, [*ends, position], strict=False))


def _ignore(_change: typing.Any) -> None:
    """Do nothing; default of an unset callback."""
