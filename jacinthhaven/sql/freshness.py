"""What a node knows about the age of its configuration.

That no change was reported proves nothing, since the watch that would report
it may be silent. A configuration is therefore trusted only as long as some
reply of the store, made to this node or to another one, shows that it was the
newest one.

A store that was restored may have lost a configuration that was in force, until the
operator writes it again. So configurations are ordered by their versions,
and the revision tells in which state of the store one was the newest.
"""

import typing

from jacinthhaven.records import history

# Version of a node without a configuration, and of one that does not tell it.
NO_VERSION = -1


class Edition(typing.NamedTuple):
    """Configuration, and a state of the store that has no newer one.

    Attributes:
      version: Version of the configuration.
      revision: Revision of its key in the store.
    """

    version: int
    revision: history.EraNumber

    def covers(self, other: 'Edition') -> bool:
        """Return whether it is as new as another one in both respects."""
        return self.version >= other.version and self.revision >= other.revision

    def merge(self, other: 'Edition') -> 'Edition':
        """Return the newest version and the newest revision of both."""
        return Edition(
            max(self.version, other.version),
            max(self.revision, other.revision),
        )


NO_EDITION = Edition(NO_VERSION, history.NONE)


class Freshness:
    """Newest known configuration, and how old that of this node may be.

    Attributes:
      max_age_ms: Age up to which the configuration is certain to contain all
        changes that must be in force.
      edition: Configuration that this node has.
      current_ms: Time up to which that configuration contains all changes, or
        None.
      newest: Newest edition that any node has reported.
      reported_ms: When `newest` was reported.
      certain: Whether the configuration was certain when that was last logged.
    """

    __slots__ = (
        'max_age_ms',
        'edition',
        'current_ms',
        'newest',
        'reported_ms',
        'certain',
    )

    def __init__(self, max_age_ms: int) -> None:
        """Start without a configuration."""
        self.max_age_ms = max_age_ms
        self.edition = NO_EDITION
        self.current_ms: int | None = None
        self.newest = NO_EDITION
        self.reported_ms = 0
        self.certain = False

    @property
    def outdated(self) -> bool:
        """Return whether a newer configuration is known to exist."""
        return not self.edition.covers(self.newest)

    def age_ms(self, now_ms: int) -> int | None:
        """Return the time since `current_ms`, or None."""
        return None if self.current_ms is None else now_ms - self.current_ms

    def is_younger(self, limit_ms: int, now_ms: int) -> bool:
        """Return whether the age is known and below a limit."""
        age_ms = self.age_ms(now_ms)
        return age_ms is not None and age_ms < limit_ms

    def is_certain(self, now_ms: int) -> bool:
        """Return whether all changes that must be in force are known."""
        if self.edition.version < self.newest.version:
            return False
        return self.is_younger(self.max_age_ms, now_ms)

    def on_received(self, edition: Edition) -> None:
        """Handle the arrival of a configuration; older ones are ignored."""
        self.edition = self.edition.merge(edition)

    def on_report(self, edition: Edition, now_ms: int) -> bool:
        """Handle the edition of another node; return whether it is news."""
        if NO_VERSION < edition.version <= self.edition.version:
            # This node has what the store has in that state.
            self.edition = self.edition.merge(edition)
        if self.edition.merge(self.newest).covers(edition):
            return False
        self.newest = self.newest.merge(edition)
        self.reported_ms = now_ms
        return True

    def on_proof(self, edition: Edition, at_ms: int) -> None:
        """Handle the proof that an edition was the newest one at a time.

        It counts if this node has that configuration, and if it is not from
        before a restore of the store.
        """
        before_restore = edition.revision.era < self.edition.revision.era
        if before_restore or not self.edition.covers(edition):
            return
        if self.current_ms is None or at_ms > self.current_ms:
            self.current_ms = at_ms

    def on_store_proof(self, at_ms: int) -> None:
        """Handle the proof of the store itself for the edition of this node.

        It refutes a report that nothing has confirmed for a long time.
        """
        self.on_proof(self.edition, at_ms)
        if at_ms - self.reported_ms >= self.max_age_ms:
            self.newest = self.edition
