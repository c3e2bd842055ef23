"""Servers that answer reads with errors while their health check passes.

A server that has turned slow or silent is left because of its latency and its
missing replies (`sql/instances`, `sql/averages`). Errors come fast, so they look
like the work of a fast server. Here a server is left if its share of failed reads
is far above that of the others of its group; errors that the statements themselves
cause occur at all of them.
"""

import typing

# Weight of one answer in the share of failed reads.
_WEIGHT = 0.1
# Share of failed reads from which a server is left, and how many times as high as
# that of each other server it must be. Three failures in a row are enough.
_MAX_FAILED = 0.2
_RATIO = 3
# Share after a successful probe. The next failure exceeds the maximum again, since
# a server that fails in part may well pass one probe.
_PROBATION = 0.15
# Time before the first probe, and at most; it doubles with each further failure.
_PAUSE_MS = 1000
_MAX_PAUSE_MS = 4000
# Time without a failure after which the pause is the shortest again.
_FORGET_MS = 10_000
# Time after which another probe is sent if the last one was not answered.
_PROBE_TIMEOUT_MS = 1000
# At most one of so many servers is left, so that suspicion empties no group.
_SERVERS_PER_SUSPECT = 3


class ServerHealth:
    """Failed reads of one server.

    Attributes:
      failed: Moving average of the share of reads that failed.
      failed_ms: Time of the last failure.
      left: Whether it gets no reads but probes.
      probe_ms: Time of the next probe while it is left.
      probed_ms: When the last probe was sent, or None if none was.
      pause_ms: Time until the first probe when it is left.
    """

    __slots__ = (
        'failed',
        'failed_ms',
        'left',
        'probe_ms',
        'probed_ms',
        'pause_ms',
    )

    def __init__(self) -> None:
        """Start without failures."""
        self.failed = float(0)
        self.failed_ms = 0
        self.left = False
        self.probe_ms = 0
        self.probed_ms: int | None = None
        self.pause_ms = _PAUSE_MS

    def allows(self, now_ms: int) -> bool:
        """Return whether a read may be sent, if only as a probe."""
        return not self.left or now_ms >= self.probe_ms

    def on_sent(self, now_ms: int) -> None:
        """Handle the sending of a read; while it is left, only one may run."""
        if self.left:
            self.probed_ms = now_ms
            self.probe_ms = now_ms + _PROBE_TIMEOUT_MS

    def on_success(self, sent_ms: int) -> bool:
        """Handle a successful read; return whether the server is used again.

        Args:
          sent_ms: When it was sent. Answers to what was sent before a probe show
            nothing about a server that is left.
        """
        if not self.left:
            self.failed -= _WEIGHT * self.failed
            return False
        if not self._is_probe(sent_ms):
            return False
        self.left = False
        self.failed = _PROBATION
        return True

    def on_failure(
        self,
        group: typing.Iterable['ServerHealth'],
        sent_ms: int,
        now_ms: int,
    ) -> bool:
        """Handle a failed read; return whether the server is left now.

        Args:
          group: All servers of the group, this one included.
          sent_ms: When it was sent.
          now_ms: Current time.
        """
        if now_ms - self.failed_ms >= _FORGET_MS:
            self.pause_ms = _PAUSE_MS
        self.failed += _WEIGHT * (1 - self.failed)
        self.failed_ms = now_ms
        if self.left:
            if self._is_probe(sent_ms):
                self._pause(now_ms)
            return False
        servers = tuple(group)
        others = [server for server in servers if server is not self]
        left = sum(server.left for server in others)
        worst = max((server.failed for server in others), default=1)
        if left >= len(servers) // _SERVERS_PER_SUSPECT:
            return False
        if self.failed < _MAX_FAILED or self.failed < _RATIO * worst:
            return False
        self.left = True
        self._pause(now_ms)
        return True

    def _is_probe(self, sent_ms: int) -> bool:
        return self.probed_ms is not None and sent_ms >= self.probed_ms

    def _pause(self, now_ms: int) -> None:
        self.probed_ms = None
        self.probe_ms = now_ms + self.pause_ms
        self.pause_ms = min(2 * self.pause_ms, _MAX_PAUSE_MS)
