"""Upper bound of the age of a database copy's data.

The bound uses only the owner's own clock: a primary position sampled by a
request sent at time T includes everything committed before T, so a copy that
has applied that position or a later one lacks nothing older than T.
"""

import collections

from jacinthhaven.decide import views
from jacinthhaven.records import backend

# Two sampling intervals limit the memory: 1024 samples cover about 10 s at
# 10 ms for strict age limits and about 4 min at 250 ms for lenient ones.
_FINE_STEP_MS = 10
_COARSE_STEP_MS = 250
_MAX_SAMPLES = 1024

Sample = tuple[int, int]
Samples = collections.deque[Sample]


class PrimaryHistory:
    """Sampled positions of one database's primary within one term."""

    __slots__ = ('term', 'fine', 'coarse')

    def __init__(self) -> None:
        """Start with no samples."""
        self.term = 0
        self.fine: Samples = collections.deque(
            maxlen=_MAX_SAMPLES,
        )
        self.coarse: Samples = collections.deque(
            maxlen=_MAX_SAMPLES,
        )

    def add(self, copy: backend.DatabaseStatus, asked_ms: int) -> None:
        """Record a sample of the primary's position.

        Args:
          copy: Status of the primary's copy.
          asked_ms: When the status request was sent.
        """
        if copy.term < self.term:
            return
        if copy.term > self.term:
            self.term = copy.term
            self.fine.clear()
            self.coarse.clear()
        _append(self.fine, (asked_ms, copy.position), _FINE_STEP_MS)
        _append(self.coarse, (asked_ms, copy.position), _COARSE_STEP_MS)

    def complete_until_ms(
        self,
        copy: backend.DatabaseStatus,
        proved_ms: int,
    ) -> int:
        """Return the time up to which a copy's data is proved complete.

        Args:
          copy: Status of the copy.
          proved_ms: Latest time at which the term was proved to be current.

        Returns:
          Time on the owner's clock, or `views.NEVER_MS` without a proof.
        """
        if copy.log_term != self.term or copy.term != self.term:
            return views.NEVER_MS
        return max(
            _newest(self.fine, copy.applied, proved_ms),
            _newest(self.coarse, copy.applied, proved_ms),
        )


def _newest(
    samples: Samples,
    applied: int,
    proved_ms: int,
) -> int:
    for asked_ms, position in reversed(samples):
        if position > applied or asked_ms > proved_ms:
            continue
        return asked_ms
    return views.NEVER_MS


def _append(
    samples: Samples,
    sample: Sample,
    step_ms: int,
) -> None:
    # The newest sample is replaced while it is too close to the previous
    # one, so that the newest position is always recorded.
    too_close = False
    if len(samples) > 1:
        previous_ms, _position = samples[-2]
        too_close = samples[-1][0] - previous_ms < step_ms
    if too_close:
        samples[-1] = sample
    else:
        samples.append(sample)
