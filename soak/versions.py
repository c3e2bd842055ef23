"""Check by which version of the configuration requests were handled.

The proxies log the version that routes each statement. A version that was
acknowledged longer ago than `APPLY_S` must have been in force, unless the proxy
or the store was disturbed shortly before.
"""

import collections
import contextlib
import datetime
import json
import pathlib
import random
import threading
import time
import typing

# Longest time until a change is in force; the default of the settings.
APPLY_S = 3
# Time after a disturbance in which the bound does not hold.
CONTACT_S = 4
# Time between the log line of a statement and its arrival that is not counted.
_SLACK_S = 0.2
_LONGEST_PAUSE_S = 1.5
_EVERYBODY = -1


Spans = list[tuple[float, float]]


class Change(typing.NamedTuple):
    """Acknowledged change of the configuration; times are of the day."""

    at_s: float
    version: int


class Handled(typing.NamedTuple):
    """Request, and the version that routed it.

    A transaction arrives with its first statement, whose version it keeps.
    """

    arrived_s: float
    version: int
    request: str


class Disturbances:
    """Times in which proxies, or the store for all, were disturbed."""

    def __init__(self) -> None:
        """Start without disturbances."""
        self.spans: dict[int, Spans] = collections.defaultdict(list)

    @contextlib.contextmanager
    def during(self, number: int = _EVERYBODY) -> typing.Iterator[None]:
        """Record the time of a block.

        Args:
          number: Number of the disturbed proxy; without it, all are.
        """
        begin_s = time.time()
        try:
            yield
        finally:
            self.spans[number].append((begin_s, time.time()))

    def is_calm(self, number: int, begin_s: float, end_s: float) -> bool:
        """Return whether a proxy was undisturbed for a time."""
        spans = self.spans[number] + self.spans[_EVERYBODY]
        return not any(
            begin_s <= healed_s + CONTACT_S and end_s >= harmed_s
            for harmed_s, healed_s in spans
        )


class Operator(threading.Thread):
    """Changes the configuration at random times until stopped.

    Attributes:
      changes: Acknowledged changes, oldest first.
    """

    def __init__(
        self,
        seed: int,
        apply: typing.Callable[[int], None],
    ) -> None:
        """Prepare the draws.

        Args:
          seed: Seed of the times.
          apply: Puts a version in force, and returns once the store has it.
        """
        super().__init__(daemon=True)
        self.rng = random.Random(f'operator {seed}')
        self.apply = apply
        self.lock = threading.Lock()
        self.changes = [Change(time.time(), 1)]
        self.stopped = threading.Event()

    def run(self) -> None:
        """Change the configuration again and again."""
        while not self.stopped.wait(self.rng.uniform(0, _LONGEST_PAUSE_S)):
            self.change()

    def change(self) -> None:
        """Put the next version in force."""
        with self.lock:
            version = self.changes[-1].version + 1
            self.apply(version)
            self.changes.append(Change(time.time(), version))

    def change_often(self, count: int) -> None:
        """Put several versions in force, one right after the other."""
        until = self.changes[-1].version + count
        while self.changes[-1].version < until:
            self.change()

    def stop(self) -> None:
        """Stop changing the configuration."""
        self.stopped.set()
        if self.is_alive():
            self.join()


def read_log(log: pathlib.Path) -> list[Handled]:
    """Return the requests in the log of a proxy."""
    found: dict[str, Handled] = {}
    for entry in entries(log):
        if entry.get('event') == 'answer':
            handled = _decode(entry)
            found.setdefault(handled.request, handled)
    return list(found.values())


def log_problems(log: pathlib.Path) -> list[str]:
    """Return the versions that went back, and the unexpected errors.

    Args:
      log: Log of one proxy, which may have been started several times.
    """
    problems = []
    newest = 0
    for entry in entries(log):
        if entry.get('event') == 'started':
            newest = 0
        if entry.get('message') == 'unexpected error':
            problems.append(f'{log.name}: {entry}')
        if entry.get('event') != 'configuration':
            continue
        if entry['version'] <= newest:
            problems.append(f'{log.name}: {entry} after {newest}')
        newest = entry['version']
    return problems


def late_requests(
    handled: list[Handled],
    changes: list[Change],
    is_calm: typing.Callable[[float, float], bool],
) -> list[str]:
    """Return the statements that were routed by a replaced version.

    Args:
      handled: Statements of one proxy.
      changes: Acknowledged changes, oldest first.
      is_calm: Returns whether the proxy was undisturbed for a time.
    """
    late = []
    for statement in handled:
        bound_s = statement.arrived_s - APPLY_S - _SLACK_S
        newer = [
            change.version
            for change in changes
            if change.at_s < bound_s and change.version > statement.version
        ]
        if newer and is_calm(bound_s, statement.arrived_s):
            newest = newer[-1]
            late.append(f'{statement} although {newest} was in force')
    return late


def entries(log: pathlib.Path) -> typing.Iterator[dict[str, typing.Any]]:
    """Yield the lines of a log; the last one of a killed process may be cut."""
    for line in log.read_text(errors='replace').splitlines():
        with contextlib.suppress(json.JSONDecodeError):
            yield json.loads(line)


def _decode(entry: dict[str, typing.Any]) -> Handled:
    logged = datetime.datetime.fromisoformat(entry['timestamp'])
    arrived_s = logged.timestamp() - entry['spent_ms'] / 1000
    return Handled(arrived_s, entry['version'], entry['request'])
