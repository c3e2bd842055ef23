"""The primary of a service as one node knows it."""

import enum
import typing

from jacinthhaven.sql import records

# Interval between status requests to all instances while no leader is known.
_SEARCH_PAUSE_MS = 150
# Estimate of the time that a promotion takes, until one was measured.
_DEFAULT_PROMOTE_MS = 1200
# Time in which a process usually finds the leader after its start.
_STARTUP_DISCOVERY_MS = 300


class Lead(typing.NamedTuple):
    """Lead of one instance; a term has one leader.

    Attributes:
      instance: Name of the instance.
      term: Term in which it is the primary.
    """

    instance: str
    term: int


class Source(enum.Enum):
    """Where a node learned which instance leads.

    An instance says so itself, in the reply to a status request. A record in
    the store was written by another node, and may be late.
    """

    STATUS = 'status'
    ELECTION = 'election'
    RECORD = 'store'


class Leadership:
    """Last known leader and term of one service.

    Attributes:
      leader: Name of the leading instance, or None while unknown.
      term: Newest term that was seen.
      expected_ms: Time until which a leader is expected to be known, while
        a promotion is under way or this process starts; otherwise None.
      promote_ms: Duration of the last promotion.
      searched_ms: When the instances were last asked for their status.
      named: Instance that was last believed to lead this term, or ''.
      certain: Whether that instance itself has said whether it does.
    """

    def __init__(self, now_ms: int) -> None:
        """Start without a leader, and expect to find it soon."""
        self.leader: str | None = None
        self.term = 0
        self.expected_ms: int | None = now_ms + _STARTUP_DISCOVERY_MS
        self.promote_ms = _DEFAULT_PROMOTE_MS
        self.searched_ms: int | None = None
        self.named = ''
        self.certain = False

    @property
    def lead(self) -> Lead | None:
        """Return the present lead, or None while no leader is known."""
        return None if self.leader is None else Lead(self.leader, self.term)

    def has_replaced(self, lead: Lead | None) -> bool:
        """Return whether a later term than that of a lead has begun."""
        return lead is not None and lead.term < self.term

    def expect_promotion(self, now_ms: int) -> None:
        """Let statements wait for a promotion that begins now."""
        self.expected_ms = now_ms + self.promote_ms

    def contradicts(self, instance: str, term: int) -> bool:
        """Return whether another instance is known to lead a term."""
        return term == self.term and self.named not in {'', instance}

    def observe(self, instance: str, term: int, source: Source) -> bool:
        """Record the leader of a term; return whether anything changed.

        Reports about an older term are ignored, and so is a record about a term
        of which an instance itself has told.
        """
        recorded = source is Source.RECORD
        if term < self.term or recorded and term == self.term and self.certain:
            return False
        changed = term > self.term or self.leader != instance
        self.term = term
        self.leader = instance
        self.named = instance
        self.certain = not recorded
        if changed:
            self.expected_ms = None
        return changed

    def observe_not_leading(self, instance: str, term: int) -> bool:
        """Record that an instance does not lead.

        Returns:
          Whether it was the known leader.
        """
        if term > self.term:
            self.term = term
            self.named = ''
            self.certain = False
        if self.leader != instance:
            return False
        self.certain = bool(self.named)
        self.leader = None
        self.searched_ms = None
        return True

    def should_search(self, now_ms: int, *, silent: bool) -> bool:
        """Return whether to ask all instances now, and note the time.

        Args:
          now_ms: Current time.
          silent: Whether the leader does not answer, so that another
            instance may have been promoted.
        """
        if self.leader is not None and not silent:
            return False
        if (
            self.searched_ms is not None
            and now_ms - self.searched_ms < _SEARCH_PAUSE_MS
        ):
            return False
        self.searched_ms = now_ms
        return True


def presumed_leader(
    leadership: Leadership,
    entries: list[records.Instance],
) -> str:
    """Return the known leader, or else the primary that the registry names.

    Returns:
      Name of the instance, or '' if neither names one.
    """
    if leadership.leader is not None:
        return leadership.leader
    for entry in entries:
        if entry.claims_primary:
            return entry.name
    return ''
