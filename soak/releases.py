"""Releases of primaries, and what their proxies must keep meanwhile."""

import datetime
import pathlib
import random
import threading
import time
import typing

from soak import versions

# Time after the notice of a primary in which new work may be sent to it, and time
# until it is back as a new instance.
DRAIN_S = 7.0
_RELEASE_S = 8.5
_LONGEST_PAUSE_S = 6.0
_STATEMENT_EVENTS = frozenset(('place', 'answer'))

Control = typing.Callable[..., dict[str, typing.Any]]
Entry = dict[str, typing.Any]
# Time and number of a step of a client.
Step = tuple[float, int]


class Release(typing.NamedTuple):
    """Time between the notice of an instance and its return."""

    instance: str
    began_s: float
    ended_s: float


class Releases(threading.Thread):
    """Releases the primary again and again.

    Attributes:
      spans: Releases so far.
    """

    def __init__(self, seed: int, control: Control) -> None:
        """Prepare the draws.

        Args:
          seed: Seed of the run.
          control: Changes the faults of the stand-ins and returns their state.
        """
        super().__init__(daemon=True)
        self.rng = random.Random(f'releases {seed}')
        self.control = control
        self.spans: list[Release] = []
        self.stopped = threading.Event()

    def run(self) -> None:
        """Release a primary after each pause."""
        while not self.stopped.wait(self.rng.uniform(0, _LONGEST_PAUSE_S)):
            primary = self.control()['primary']
            self.control(leaving=[primary])
            began_s = time.time()
            self.stopped.wait(_RELEASE_S)
            self.spans.append(Release(primary, began_s, time.time()))
            self.control(leaving=[])

    def stop(self) -> None:
        """End the releases."""
        self.stopped.set()
        if self.is_alive():
            self.join()


class Progress:
    """When each client was seen at its steps, in the logs of all proxies.

    A client goes on with its next step once it has an answer, or once its
    connection has ended.
    """

    def __init__(self, logs: typing.Iterable[pathlib.Path]) -> None:
        """Read the logs."""
        self.seen: dict[str, list[Step]] = {}
        for log in logs:
            for entry in versions.entries(log):
                if entry.get('event') in _STATEMENT_EVENTS:
                    client, _, step = entry['request'].partition('x')
                    steps = self.seen.setdefault(client, [])
                    steps.append((_time_s(entry), int(step)))

    def has_passed(self, request: str, before_s: float) -> bool:
        """Return whether a client was at a later step before a time."""
        client, _, step = request.partition('x')
        return any(
            at_s < before_s and later > int(step)
            for at_s, later in self.seen.get(client, ())
        )


def log_problems(
    log: pathlib.Path,
    spans: typing.Sequence[Release],
    progress: Progress,
    is_calm: typing.Callable[[float, float], bool],
) -> list[str]:
    """Return late work and unanswered statements in the log of a proxy.

    Args:
      log: Log of one proxy, which may have been started several times.
      spans: Releases of primaries.
      progress: Steps of the clients.
      is_calm: Returns whether the proxy and the store were undisturbed for a time.
    """
    problems = []
    open_requests: dict[str, Entry] = {}
    for entry in versions.entries(log):
        match entry.get('event'):
            case 'started':
                open_requests.clear()
            case 'place':
                open_requests[entry['request']] = entry
                at_s = _time_s(entry)
                if is_calm(at_s, at_s):
                    problems += _late_work(entry, spans)
            case 'answer':
                open_requests.pop(entry['request'], None)
            case 'stopped':
                problems += [
                    f'{log.name}: no answer after {placed}'
                    for request, placed in open_requests.items()
                    if not progress.has_passed(request, _time_s(entry))
                ]
    return problems


def _late_work(entry: Entry, spans: typing.Sequence[Release]) -> list[str]:
    """Return whether a placement came too long after a notice."""
    placed_s = _time_s(entry)
    return [
        f'{entry} was placed too long after {span}'
        for span in spans
        if span.instance == entry['instance']
        and span.began_s + DRAIN_S < placed_s < span.ended_s
    ]


def _time_s(entry: Entry) -> float:
    return datetime.datetime.fromisoformat(entry['timestamp']).timestamp()
