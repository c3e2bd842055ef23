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

Control = typing.Callable[..., dict[str, typing.Any]]
Entry = dict[str, typing.Any]


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


def log_problems(
    log: pathlib.Path, spans: typing.Sequence[Release]
) -> list[str]:
    """Return late work and unanswered statements in the log of a proxy.

    Args:
      log: Log of one proxy, which may have been started several times.
      spans: Releases of primaries.
    """
    problems = []
    open_requests: dict[str, Entry] = {}
    for entry in versions.entries(log):
        match entry.get('event'):
            case 'started':
                open_requests.clear()
            case 'place':
                open_requests[entry['request']] = entry
                problems += _late_work(entry, spans)
            case 'answer':
                open_requests.pop(entry['request'], None)
            case 'stopped':
                problems += [
                    f'{log.name}: no answer after {placed}'
                    for placed in open_requests.values()
                ]
    return problems


def _late_work(entry: Entry, spans: typing.Sequence[Release]) -> list[str]:
    """Return whether a placement came too long after a notice."""
    logged = datetime.datetime.fromisoformat(entry['timestamp'])
    placed_s = logged.timestamp()
    return [
        f'{entry} was placed too long after {span}'
        for span in spans
        if span.instance == entry['instance']
        and span.began_s + DRAIN_S < placed_s < span.ended_s
    ]
