"""View of one node on which instance leads a service."""

from jacinthhaven.sql import records

# Pause between two rounds of questions while no leader is known.
_ASK_MS = 150
# First estimate of the time of a promotion.
_FIRST_PROMOTE_MS = 1200
# Time within which a new process usually knows the leader.
_LEARN_MS = 300


class Leadership:
    """Leader of one service as far as this node knows.

    Attributes:
      leader: Name of the leading instance, or None while unknown.
      term: Newest term that was seen.
      expected_ms: When a promotion that is under way should be over.
      promote_ms: How long the last promotion took.
      asked_ms: When the instances were last asked.
    """

    def __init__(self, now_ms: int) -> None:
        """Know no leader, but expect to learn it soon."""
        self.leader: str | None = None
        self.term = 0
        self.expected_ms: int | None = now_ms + _LEARN_MS
        self.promote_ms = _FIRST_PROMOTE_MS
        self.asked_ms: int | None = None

    def expect(self, now_ms: int) -> None:
        """Let statements wait for the successor of the leader."""
        self.expected_ms = now_ms + self.promote_ms

    def observe(self, instance: str, term: int) -> bool:
        """Note that an instance led a term; return whether this is news."""
        if term < self.term:
            return False
        news = term > self.term or self.leader != instance
        self.term = term
        self.leader = instance
        if news:
            self.expected_ms = None
        return news

    def deny(self, instance: str, term: int) -> bool:
        """Note that an instance does not lead; return whether this is news."""
        self.term = max(self.term, term)
        if self.leader != instance:
            return False
        self.leader = None
        self.asked_ms = None
        return True

    def should_ask(self, now_ms: int, *, silent: bool) -> bool:
        """Return whether it is time to look for the leader.

        Args:
          now_ms: Current time.
          silent: Whether the leader does not answer, so that another one
            may have been promoted.
        """
        if self.leader is not None and not silent:
            return False
        if self.asked_ms is not None and now_ms - self.asked_ms < _ASK_MS:
            return False
        self.asked_ms = now_ms
        return True


def presumed(
    leadership: Leadership,
    entries: list[records.Instance],
) -> str:
    """Return the instance that should lead, or '' if none is named."""
    if leadership.leader is not None:
        return leadership.leader
    for entry in entries:
        if entry.claims_primary:
            return entry.name
    return ''
