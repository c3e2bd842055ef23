"""Whether a node can use the primary of a service, and why not."""

import enum

from jacinthhaven.sql import instances, ports, rights

# Time without a usable primary after which it is logged. An ordinary promotion
# takes longer, an answer that is late does not.
_LOG_AFTER_MS = 1000


class Obstacle(enum.Enum):
    """Why the primary cannot be used."""

    UNKNOWN = 'no leader is known'
    SILENT = 'the leader does not answer'
    LEFT = 'the leader has left'
    NOT_CONFIRMED = 'no majority confirms the term'


def find_obstacle(
    state: instances.InstanceState | None, right: rights.Right, now_ms: int
) -> Obstacle | None:
    """Return why new work cannot be sent to the primary, or None.

    Args:
      state: State of the leader, or None while it is unknown.
      right: Right of this node to use it.
      now_ms: Current time.
    """
    if state is None:
        return Obstacle.UNKNOWN
    if state.silent_for(now_ms) >= instances.SUSPECT_MS:
        return Obstacle.SILENT
    if not state.departure.allows_work(now_ms):
        return Obstacle.LEFT
    return None if right.may_send(now_ms) else Obstacle.NOT_CONFIRMED


class Availability:
    """Time for which the primary of one service cannot be used.

    Attributes:
      since_ms: When this began, or None.
      logged: Whether it was logged.
    """

    __slots__ = ('service', 'journal', 'since_ms', 'logged')

    def __init__(self, service: str, journal: ports.Journal) -> None:
        """Start with a usable primary."""
        self.service = service
        self.journal = journal
        self.since_ms: int | None = None
        self.logged = False

    def missing_for(self, now_ms: int) -> int:
        """Return for how many milliseconds there is no usable primary."""
        return 0 if self.since_ms is None else now_ms - self.since_ms

    def update(self, obstacle: Obstacle | None, now_ms: int) -> None:
        """Record whether there is an obstacle, and log a long one once."""
        if obstacle is None:
            if self.logged:
                self._log('primary_usable', 'usable', now_ms)
            self.since_ms = None
            self.logged = False
            return
        if self.since_ms is None:
            self.since_ms = now_ms
        if not self.logged and self.missing_for(now_ms) >= _LOG_AFTER_MS:
            self.logged = True
            self._log('primary_unusable', obstacle.value, now_ms)

    def _log(self, event: str, reason: str, now_ms: int) -> None:
        self.journal.write(
            event,
            {
                'service': self.service,
                'reason': reason,
                'missing_ms': self.missing_for(now_ms),
            },
        )
