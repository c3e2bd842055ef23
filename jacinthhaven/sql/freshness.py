"""What a node knows about the age of its configuration.

That no change was reported proves nothing, since the watch that would report
it may be silent. A configuration is therefore trusted only as long as some
reply of the store, made to this node or to another one, shows that it was the
newest one.
"""


class Freshness:
    """Newest known revision of the configuration, and how old it may be.

    Attributes:
      max_age_ms: Age up to which the configuration is certain to contain all
        changes that must be in force.
      revision: Revision of the configuration that this node has; 0 for none.
      current_ms: Time up to which that configuration contains all changes, or
        None.
      newest: Newest revision that any node has reported.
      certain: Whether the configuration was certain when that was last logged.
    """

    __slots__ = ('max_age_ms', 'revision', 'current_ms', 'newest', 'certain')

    def __init__(self, max_age_ms: int) -> None:
        """Start without a configuration."""
        self.max_age_ms = max_age_ms
        self.revision = 0
        self.current_ms: int | None = None
        self.newest = 0
        self.certain = False

    @property
    def outdated(self) -> bool:
        """Return whether a newer configuration is known to exist."""
        return self.newest > self.revision

    def age_ms(self, now_ms: int) -> int | None:
        """Return the time since `current_ms`, or None."""
        return None if self.current_ms is None else now_ms - self.current_ms

    def is_younger(self, limit_ms: int, now_ms: int) -> bool:
        """Return whether the age is known and below a limit."""
        age_ms = self.age_ms(now_ms)
        return age_ms is not None and age_ms < limit_ms

    def is_certain(self, now_ms: int) -> bool:
        """Return whether all changes that must be in force are known."""
        return self.is_younger(self.max_age_ms, now_ms)

    def on_received(self, revision: int) -> None:
        """Handle the arrival of a configuration; older ones are ignored."""
        self.revision = max(self.revision, revision)
        self.newest = max(self.newest, revision)

    def on_proof(self, revision: int, at_ms: int) -> None:
        """Handle the proof that a revision was the newest one at a time."""
        self.newest = max(self.newest, revision)
        if revision > self.revision:
            return
        if self.current_ms is None or at_ms > self.current_ms:
            self.current_ms = at_ms
