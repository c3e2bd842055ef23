"""Group of databases of which one is slow, silent or fails in part."""

import typing

from jacinthhaven.sql import builders, commands

# Reads are sent at this interval, as to one owner of a busy service.
_INTERVAL_MS = 5
_WORK_MS = 20
_SLOTS = 6
_WARM_UP_MS = 2000
_WINDOW_MS = 500


class UnevenDatabases(builders.FakeDatabases):
    """Connections to a group whose instances differ.

    Attributes:
      slowness: Multiple of the usual time that an instance needs.
      failing_reads: Instances that fail every other read.
      reads: Number of reads that these instances got.
    """

    def __init__(self, group: typing.Any) -> None:
        """Start with equal instances."""
        super().__init__(group)
        self.work_ms = _WORK_MS
        self.slowness: dict[str, int] = {}
        self.failing_reads: set[str] = set()
        self.reads = 0

    def send(self, number: int, command: commands.Command) -> None:
        """Schedule a command."""
        name = self.connections[number].instance.name
        self.work_ms = _WORK_MS * self.slowness.get(name, 1)
        super().send(number, command)
        self.work_ms = _WORK_MS

    def handle(self, number: int, line: str) -> list[str]:
        """Return the reply of the instance to a command."""
        connection = self.connections[number]
        if connection.instance.name in self.failing_reads and 'READ' in line:
            self.reads += 1
            if self.reads % 2:
                return ['ERROR FAILED -', f'READY {connection.state} -']
        return super().handle(number, line)


class UnevenRig(builders.Rig):
    """Gateway with a steady rate of reads.

    Attributes:
      placed: Time and instance of each read that was placed.
    """

    databases_type = UnevenDatabases

    def __init__(self) -> None:
        """Start with equal instances under load."""
        super().__init__(members=1)
        self.service.pool.max_links = 20
        for state in self.service.pool.states.values():
            state.window.resize(_SLOTS, _SLOTS)
        self.placed: list[tuple[int, str]] = []
        self.read(_WARM_UP_MS)

    def read(self, for_ms: int) -> list[int]:
        """Send reads for a time and return the numbers of their sessions."""
        numbers = []
        until_ms = self.now_ms + for_ms
        while self.now_ms < until_ms:
            number = self.connect()
            numbers.append(number)
            before = len(self.journal.lines)
            self.send(number, 'READ k', f'r{number}')
            self.run(_INTERVAL_MS)
            self.placed.extend(
                (self.now_ms, fields['instance'])
                for event, fields in self.journal.lines[before:]
                if event == 'place'
            )
        return numbers

    def reads_at(self, name: str, from_ms: int, until_ms: int) -> int:
        """Return how many reads an instance got in a time."""
        return sum(
            instance == name and from_ms <= at_ms < until_ms
            for at_ms, instance in self.placed
        )

    def most_at(self, name: str, from_ms: int, until_ms: int) -> int:
        """Return the most reads that an instance got within half a second."""
        return max(
            self.reads_at(name, begin_ms, begin_ms + _WINDOW_MS)
            for begin_ms in range(from_ms, until_ms - _WINDOW_MS, _WORK_MS)
        )
