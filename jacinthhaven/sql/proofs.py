"""Positions of the primary with the time at which each was proved.

A proof is taken when a command is sent and counts only if the answer shows
that the instance led the group. All commits acknowledged before that time
are then part of the log up to the position of the answer.
"""

import collections
import dataclasses

from jacinthhaven.sql import records

# Proofs closer together than this do not help to choose an older one.
_SPACING_MS = 40
# Covers the oldest age that a route allows at the spacing above.
_MAX_PROOFS = 256
# Part of the allowed age that is used: older positions are more likely to
# be applied everywhere, and the rest covers the way to the instance.
_AGE_SHARE = 0.85
# Age of the newest proof at which the next read goes to the primary for
# another one, below the ages that routes allow in practice (1,500 ms and
# more).
_RENEW_MS = 800
# Time for the reply to such a read before another one is sent there.
_RENEW_AGAIN_MS = 200


@dataclasses.dataclass(frozen=True, slots=True)
class Proof:
    """Position of the primary at a time."""

    at_ms: int
    term: int
    position: records.Position


class Proofs:
    """History of proofs of one service, oldest first.

    Attributes:
      newest: Newest proof, if any.
      renewing_ms: When a read that brings a proof was last sent.
    """

    def __init__(self) -> None:
        """Start without a proof."""
        self.history: collections.deque[Proof] = collections.deque(
            maxlen=_MAX_PROOFS,
        )
        self.newest: Proof | None = None
        self.renewing_ms = 0

    def add(self, proof: Proof) -> None:
        """Keep a proof unless it is older than the newest one."""
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
        if last is None or proof.at_ms - last >= _SPACING_MS:
            self.history.append(proof)

    def forget(self) -> None:
        """Drop all proofs, after the primary lacked the position of one."""
        self.history.clear()
        self.newest = None
        self.renewing_ms = 0

    def renewal_due(self, term: int, now_ms: int) -> bool:
        """Return whether traffic has brought no proof for a while.

        Args:
          term: Newest known term; positions of older ones may be lost.
          now_ms: Current time.
        """
        if now_ms - self.renewing_ms < _RENEW_AGAIN_MS:
            return False
        newest = self.newest
        if newest is None or newest.term < term:
            return True
        return now_ms - newest.at_ms >= _RENEW_MS

    def oldest_within(self, max_age_ms: int, now_ms: int) -> Proof | None:
        """Return the oldest proof that is safely within an age."""
        since_ms = now_ms - int(max_age_ms * _AGE_SHARE)
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
        """Return what a read must have applied, or None if unproved.

        Args:
          max_age_ms: Oldest data that the read may return.
          now_ms: Current time.
          own: Position of the session's last commit, if any.
        """
        proof = self.oldest_within(max_age_ms, now_ms)
        if proof is None or own is None or own <= proof.position:
            return proof
        for later in self.history:
            if later.position >= own:
                return Proof(later.at_ms, later.term, own)
        newest = self.newest
        if own.term < newest.term:
            # Whatever survived of the earlier term is part of the newest
            # position; the rest was rolled back and never comes back.
            return newest
        return Proof(now_ms, newest.term, own)

    def time_of(self, position: records.Position) -> int | None:
        """Return when the primary is known to have passed a position."""
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
