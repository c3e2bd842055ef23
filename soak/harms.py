"""Harms of connections, beside the faults of processes.

They come at random times from a stream of draws of their own, so that they
overlap with whatever else happens.
"""

import functools
import random
import threading

from soak import loopback, timeline

_LONGEST_PAUSE_S = 2.0
_LONGEST_HARM_S = 3.0
_LONGEST_DELAY_S = 0.4


class Harms(threading.Thread):
    """Harms one path after the other until stopped.

    Attributes:
      recorder: What was done, in order.
    """

    def __init__(self, seed: int, paths: list[loopback.Path]) -> None:
        """Prepare the draws."""
        super().__init__(daemon=True)
        self.rng = random.Random(f'harms {seed}')
        self.paths = paths
        self.stopped = threading.Event()
        self.recorder = timeline.Recorder()

    def run(self) -> None:
        """Draw a harm and a path again and again."""
        kinds = (
            self._silence,
            self._swallow_answers,
            self._swallow_requests,
            self._delay,
            self._reset,
            self._silence_open,
        )
        while not self.stopped.wait(self.rng.uniform(0, _LONGEST_PAUSE_S)):
            path = self.rng.choice(self.paths)
            kind = self.rng.choice(kinds)
            name = kind.__name__.strip('_')
            self.recorder.record(name, functools.partial(kind, path))

    def stop(self) -> None:
        """Stop and let all paths work again."""
        self.stopped.set()
        if self.is_alive():
            self.join()
        for path in self.paths:
            path.harm = loopback.HEALTHY

    def _silence(self, path: loopback.Path) -> None:
        self._harm(path, loopback.SILENT)

    def _swallow_answers(self, path: loopback.Path) -> None:
        self._harm(path, loopback.Harm(swallow_answers=True))

    def _swallow_requests(self, path: loopback.Path) -> None:
        self._harm(path, loopback.Harm(swallow_requests=True))

    def _delay(self, path: loopback.Path) -> None:
        delay_s = self.rng.uniform(0, _LONGEST_DELAY_S)
        self._harm(path, loopback.Harm(delay_s=delay_s))

    def _reset(self, path: loopback.Path) -> None:
        path.reset()

    def _silence_open(self, path: loopback.Path) -> None:
        """Let the open connections of all paths of one kind fall silent."""
        for other in self.paths:
            if other.kind == path.kind:
                other.silence_open()

    def _harm(self, path: loopback.Path, harm: loopback.Harm) -> None:
        path.harm = harm
        self.stopped.wait(self.rng.uniform(0, _LONGEST_HARM_S))
        path.harm = loopback.HEALTHY
