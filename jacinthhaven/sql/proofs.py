"""History of log positions that the primary is proved to have reached.

A proof carries the time at which a command was sent and the position in its
reply. It counts only if the reply shows that the instance was the primary.
All commits acknowledged before that time are then part of the log up to that
position.
"""

import collections

import msgspec

from jacinthhaven.sql import records

# Minimum distance between stored proofs; closer ones hardly change which
# proof is the oldest within an age.
_MIN_SPACING_MS = 40
# At the spacing above, these cover the oldest age that a route allows.
_MAX_PROOFS = 256
# Fraction of the allowed age that is used. Older positions are more likely to
# be applied on all replicas; the rest covers the time to reach the instance.
_AGE_FRACTION = 0.85
# Age of the newest proof at which the next read is sent to the primary to
# obtain another; below the ages that routes allow in practice (1,500 ms and
# more).
_RENEW_AGE_MS = 800
# Time for the reply to such a read before another read is sent to the primary.
_RENEW_RETRY_MS = 200


class Proof(msgspec.Struct, frozen=True):
    """Position that the primary had reached.

    Attributes:
      at_ms: When the command was sent whose reply had the position.
      term: Term in which the instance was the primary.
      position: Position in the reply.
    """

    at_ms: int
    term: int
    position: records.Position


class ProofHistory:
    """Proofs of one service.

    Attributes:
      history: Stored proofs, oldest first.
      newest: Newest proof, if any.
      renewal_sent_ms: When a read was last sent to the primary for a proof.
    """

    def __init__(self) -> None:
        """Start without proofs."""
        self.history: collections.deque[Proof] = collections.deque(
            maxlen=_MAX_PROOFS,
        )
        self.newest: Proof | None = None
        self.renewal_sent_ms = 0

    def add(self, proof: Proof) -> None:
        """Store a proof unless it is older than the newest one."""
        newest = self.newest
        if newest is not None:
            if proof.term < newest.term:
                return
            if proof.term > newest.term:
                self._start_term(proof)
            elif proof.at_ms <= newest.at_ms:
                return
        self.newest = proof
        last = self.history[-1].at_ms if self.history else None
        if last is None or proof.at_ms - last >= _MIN_SPACING_MS:
            self.history.append(proof)

    def clear(self) -> None:
        """Drop all proofs, since a proved position turned out to be lost."""
        self.history.clear()
        self.newest = None
        self.renewal_sent_ms = 0

    def renewal_due(self, term: int, now_ms: int) -> bool:
        """Return whether a read should be sent to the primary for a proof.

        That is so if other traffic has brought no proof recently.

        Args:
          term: Newest known term; positions of older terms may be lost.
          now_ms: Current time.
        """
        if now_ms - self.renewal_sent_ms < _RENEW_RETRY_MS:
            return False
        newest = self.newest
        if newest is None or newest.term < term:
            return True
        return now_ms - newest.at_ms >= _RENEW_AGE_MS

    def oldest_within(self, max_age_ms: int, now_ms: int) -> Proof | None:
        """Return the oldest proof within the usable part of an age."""
        since_ms = now_ms - int(max_age_ms * _AGE_FRACTION)
        for proof in self.history:
            if proof.at_ms >= since_ms:
                return proof
        newest = self.newest
        if newest is not None and newest.at_ms >= since_ms:
            return newest
        return None

    def required(
        self,
        max_age_ms: int,
        now_ms: int,
        own: records.Position | None,
    ) -> Proof | None:
        """Return the position that an instance must have applied for a read.

        Args:
          max_age_ms: Maximum age of the data that the read may return.
          now_ms: Current time.
          own: Position of the session's last commit, if any.

        Returns:
          A proof with that position, or None if none is recent enough.
        """
        proof = self.oldest_within(max_age_ms, now_ms)
        if proof is None or own is None or own <= proof.position:
            return proof
        for later in self.history:
            if later.position >= own:
                return Proof(later.at_ms, later.term, own)
        newest = self.newest
        if own.term < newest.term:
            # Commits of the earlier term that survived are included in the
            # newest position; the others were rolled back for good.
            return newest
        return Proof(now_ms, newest.term, own)

    def time_passed(self, position: records.Position) -> int | None:
        """Return the time of the first proof beyond a position, or None."""
        for proof in self.history:
            if proof.position > position:
                return proof.at_ms
        return None

    def _start_term(self, first: Proof) -> None:
        # Commits after the first position of a term may be rolled back.
        kept = [
            proof
            for proof in self.history
            if proof.position.number <= first.position.number
        ]
        self.history.clear()
        self.history.extend(kept)
