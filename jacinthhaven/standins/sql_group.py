"""Model of a group of SQL instances that replicate asynchronously.

The model speaks in lines, so that decision tests and socket tests run the
same codec. Time passes only through `now_ms`.
"""

import bisect
import dataclasses
import itertools

from jacinthhaven.sql import records

_LAG_MS = 60


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """One committed transaction.

    Attributes:
      position: Place in the log.
      writes: Written values by item.
      requests: Identifiers of the client statements that wrote.
      at_ms: When the primary committed it.
    """

    position: records.Position
    writes: tuple[tuple[str, str], ...]
    requests: tuple[str, ...]
    at_ms: int


class SqlInstance:
    """One copy of the data.

    Attributes:
      log: Entries that it has received.
      lag_ms: Delay between receiving and applying an entry.
      deaf: Whether it receives nothing.
      shown: Entries that it has applied.
      paused: Term of the last pause; 0 if it is not paused.
      down: Whether it has crashed.
      replaced_term: Term in which it goes on as a primary although another
        was promoted; 0 if it does not.
    """

    def __init__(self, name: str, group: 'SqlGroup') -> None:
        """Start an empty replica."""
        self.name = name
        self.group = group
        self.log: list[Entry] = []
        self.term = 1
        self.lag_ms = _LAG_MS
        self.deaf = False
        self.shown = 0
        self.paused = 0
        self.down = False
        self.replaced_term = 0

    @property
    def leads(self) -> bool:
        """Return whether this instance acts as the primary."""
        return self.name == self.group.primary or self.replaced_term > 0

    @property
    def receives(self) -> bool:
        """Return whether it receives the commits of the primary."""
        apart = self.deaf or self.paused or self.down
        return not (apart or self.replaced_term)

    @property
    def received(self) -> records.Position:
        """Return the position of the last received entry."""
        return self.log[-1].position if self.log else _START

    def applied(self, now_ms: int) -> int:
        """Return how many entries a read sees."""
        if self.leads:
            self.shown = len(self.log)
        while self.shown < len(self.log):
            if self.log[self.shown].at_ms + self.lag_ms > now_ms:
                break
            self.shown += 1
        return self.shown

    def position(self, now_ms: int) -> records.Position:
        """Return the position of the last applied entry."""
        applied = self.applied(now_ms)
        return self.log[applied - 1].position if applied else _START

    def has_applied(self, wanted: records.Position, now_ms: int) -> bool:
        """Return whether a read sees the entry at a position.

        A later entry under the same number shows that it was rolled back.
        """
        applied = self.applied(now_ms)
        index = bisect.bisect_left(
            self.log,
            wanted.number,
            hi=applied,
            key=lambda entry: entry.position.number,
        )
        if index == applied:
            return wanted <= self.position(now_ms)
        return self.log[index].position.term <= wanted.term

    def read(self, key: str, now_ms: int) -> str:
        """Return the newest applied value of an item."""
        for index in reversed(range(self.applied(now_ms))):
            for name, text in reversed(self.log[index].writes):
                if name == key:
                    return text
        return 'none'


class SqlGroup:
    """A primary and its replicas.

    Attributes:
      instances: Instances by name.
      primary: Name of the primary.
      rolled_back: Entries that a promotion has removed.
      committed: Number of commits by client statement.
      violations: What a client or proxy did against the protocol.
      fenced: Whether a promotion ends the lead of the old primary.
      split_commits: Statements that wrote at a replaced primary.
      ran: When each client request ran first, by the name of the caller.
    """

    def __init__(
        self,
        name: str,
        members: tuple[str, ...],
        *,
        fenced: bool = True,
    ) -> None:
        """Start with the first member as primary of term 1."""
        self.name = name
        self.fenced = fenced
        self.split_commits: list[str] = []
        self.instances = {
            member: SqlInstance(member, self) for member in members
        }
        self.primary = members[0]
        self.term = 1
        self.rolled_back: list[Entry] = []
        self.committed: dict[str, int] = {}
        self.ran: dict[str, dict[str, int]] = {}
        self.violations: list[str] = []

    def commit(
        self,
        writes: tuple[tuple[str, str], ...],
        requests: tuple[str, ...],
        now_ms: int,
    ) -> Entry:
        """Append a transaction at the primary and replicate it."""
        leader = self.instances[self.primary]
        position = records.Position(self.term, leader.received.number + 1)
        entry = Entry(position, writes, requests, now_ms)
        for instance in self.instances.values():
            if instance is leader or instance.receives:
                instance.log.append(entry)
        for request in requests:
            self.committed[request] = self.committed.get(request, 0) + 1
        return entry

    def commit_apart(
        self,
        instance: SqlInstance,
        writes: tuple[tuple[str, str], ...],
        requests: tuple[str, ...],
        now_ms: int,
    ) -> Entry:
        """Append a transaction at a primary that was replaced."""
        position = records.Position(
            instance.replaced_term,
            instance.received.number + 1,
        )
        entry = Entry(position, writes, requests, now_ms)
        instance.log.append(entry)
        self.split_commits.extend(requests)
        return entry

    def demote(self, name: str) -> None:
        """Make a replaced primary a replica of the present one."""
        instance = self.instances[name]
        instance.replaced_term = 0
        instance.log = list(self.instances[self.primary].log)
        instance.shown = min(instance.shown, len(instance.log))
        instance.term = self.term

    def promote(self, name: str) -> None:
        """Make an instance the primary with what it has received."""
        if name == self.primary:
            return
        old = self.instances[self.primary]
        if not self.fenced:
            old.replaced_term = self.term
        self.instances[name].replaced_term = 0
        self.term += 1
        self.primary = name
        kept = self.instances[name].log
        positions = {entry.position for entry in kept}
        lost = {
            entry.position: entry
            for instance in self.instances.values()
            for entry in instance.log
            if entry.position not in positions
        }
        self.rolled_back.extend(lost.values())
        for entry in lost.values():
            for request in entry.requests:
                self.committed[request] -= 1
        for instance in self.instances.values():
            if instance.replaced_term:
                continue
            instance.log = list(kept)
            instance.shown = min(instance.shown, len(kept))
            instance.term = self.term
            instance.paused = 0


class SqlConnection:
    """Session of a proxy at one instance.

    Attributes:
      lose_answers: Whether replies to statements are swallowed.
      handled: Lines that arrived, for assertions.
      caller: Name of the caller in the first line.
    """

    def __init__(self, instance: SqlInstance) -> None:
        """Open a session."""
        self.instance = instance
        self.group = instance.group
        self.state = 'I'
        self.read_only = False
        self.writes: list[tuple[str, str]] = []
        self.requests: list[str] = []
        self.settings: dict[str, str] = {}
        self.prepared: dict[str, tuple[str, str]] = {}
        self.numbers = itertools.count(1)
        self.handled: list[str] = []
        self.caller = ''

    def start(self, line: str, now_ms: int) -> list[str]:
        """Return the reply to the first line."""
        service, caller, expected = line.split(' ')[1:]
        self.caller = caller
        if service != self.group.name or expected != self.instance.name:
            return ['ERROR MISROUTED -']
        return [self._ready(now_ms)]

    def handle(self, line: str, now_ms: int) -> list[str]:
        """Return the reply to one statement."""
        self.handled.append(line)
        request, text = line.split(' ', 2)[1:]
        if request != '-':
            self.group.ran.setdefault(self.caller, {}).setdefault(
                request, now_ms
            )
        after = None
        if text.startswith('WAITPOS '):
            after, text = text.split(' ', 2)[1:]
        lines = self._run(request, text, after, now_ms)
        return [*lines, self._ready(now_ms)]

    def _ready(self, now_ms: int) -> str:
        position = self.instance.position(now_ms)
        return f'READY {self.state} {position}'

    def _run(
        self,
        request: str,
        text: str,
        after: str | None,
        now_ms: int,
    ) -> list[str]:
        if after is not None:
            term, number = map(int, after.split('.'))
            wanted = records.Position(term, number)
            if not self.instance.has_applied(wanted, now_ms):
                return ['ERROR LAGGING -']
        words = text.split(' ')
        verb = words[0].lower()
        method = getattr(self, f'_on_{verb}', None)
        if method is None:
            self.group.violations.append(f'unknown statement {text}')
            return ['ERROR MALFORMED -']
        return method(request, words[1:], now_ms)

    def _done(self, request: str, *rows: str) -> list[str]:
        name = self.instance.name
        signature = f'{name}.{request}'
        shown = [f'DATAROW {row}' for row in rows]
        return [*shown, f'COMPLETE {signature}']

    def _refuse(self) -> list[str]:
        if self.state == 'T':
            self.state = 'E'
        return ['ERROR READONLY -']

    def _lost_lead(self) -> bool:
        return (
            self.state == 'T' and not self.read_only and not self.instance.leads
        )

    def _on_begin(
        self,
        _request: str,
        words: list[str],
        _now_ms: int,
    ) -> list[str]:
        self.read_only = words == ['READ']
        if not self.read_only and not self.instance.leads:
            return self._refuse()
        self.state = 'T'
        return ['COMPLETE -']

    def _on_read(
        self,
        request: str,
        words: list[str],
        now_ms: int,
    ) -> list[str]:
        if self._lost_lead():
            return self._refuse()
        for key, text in reversed(self.writes):
            if key == words[0]:
                return self._done(request, text)
        return self._done(request, self.instance.read(words[0], now_ms))

    def _on_write(
        self,
        request: str,
        words: list[str],
        now_ms: int,
    ) -> list[str]:
        if not self.instance.leads or self.state == 'T' and self.read_only:
            return self._refuse()
        write = (words[0], ' '.join(words[1:]))
        if self.state == 'T':
            self.writes.append(write)
            self.requests.append(request)
        else:
            self._commit((write,), (request,), now_ms)
        return self._done(request)

    def _commit(
        self,
        writes: tuple[tuple[str, str], ...],
        requests: tuple[str, ...],
        now_ms: int,
    ) -> None:
        if self.instance.replaced_term:
            self.group.commit_apart(self.instance, writes, requests, now_ms)
        else:
            self.group.commit(writes, requests, now_ms)

    def _on_commit(
        self,
        request: str,
        _words: list[str],
        now_ms: int,
    ) -> list[str]:
        if self.state != 'T':
            return ['ERROR MALFORMED -']
        if self.writes and not self.instance.leads:
            return self._refuse()
        if self.writes:
            self._commit(
                tuple(self.writes),
                tuple(self.requests),
                now_ms,
            )
        self._end()
        return self._done(request)

    def _on_rollback(
        self,
        _request: str,
        _words: list[str],
        _now_ms: int,
    ) -> list[str]:
        self._end()
        return ['COMPLETE -']

    def _end(self) -> None:
        self.state = 'I'
        self.writes.clear()
        self.requests.clear()

    def _on_set(
        self,
        _request: str,
        words: list[str],
        _now_ms: int,
    ) -> list[str]:
        self.settings[words[0]] = ' '.join(words[1:])
        return ['COMPLETE -']

    def _on_reset(
        self,
        _request: str,
        _words: list[str],
        _now_ms: int,
    ) -> list[str]:
        self.settings.clear()
        self.prepared.clear()
        return ['COMPLETE -']

    def _on_prepare(
        self,
        _request: str,
        words: list[str],
        _now_ms: int,
    ) -> list[str]:
        self.prepared[words[0]] = (words[1], words[2])
        return ['COMPLETE -']

    def _on_execute(
        self,
        request: str,
        words: list[str],
        now_ms: int,
    ) -> list[str]:
        known = self.prepared.get(words[0])
        if known is None:
            return ['ERROR NOSTMT -']
        if known[0] == 'WRITE':
            return self._on_write(request, words[1:], now_ms)
        return self._on_read(request, words[1:], now_ms)

    def _on_status(
        self,
        _request: str,
        _words: list[str],
        now_ms: int,
    ) -> list[str]:
        instance = self.instance
        role = 'primary' if instance.leads else 'replica'
        fields = (role, instance.term, instance.received, instance.paused)
        row = ' '.join(map(str, fields))
        return [f'DATAROW {row} 0 0 1', 'COMPLETE -']

    def _on_pause(
        self,
        request: str,
        words: list[str],
        now_ms: int,
    ) -> list[str]:
        self.instance.paused = int(words[0])
        return self._on_status(request, words, now_ms)

    def _on_demote(
        self,
        request: str,
        words: list[str],
        now_ms: int,
    ) -> list[str]:
        if self.instance.replaced_term and int(words[0]) <= self.group.term:
            self.group.demote(self.instance.name)
        return self._on_status(request, words, now_ms)

    def _on_resume(
        self,
        request: str,
        words: list[str],
        now_ms: int,
    ) -> list[str]:
        self.instance.paused = 0
        return self._on_status(request, words, now_ms)


_START = records.Position(1, 0)
