"""Moving averages of times that are only measured while in use."""

# Weight of a sample that closely follows the previous one.
_SAMPLE_WEIGHT = 0.15
# Time within which an average without samples decays to its initial value,
# so that an instance that it kept from being used is tried again.
_DECAY_MS = 1500


class DecayingAverage:
    """Moving average that decays to its initial value without samples.

    Samples only arrive while an instance is used. An average that is so high
    that the instance is not used would otherwise never change.
    """

    __slots__ = ('initial', 'average', 'sampled_ms')

    def __init__(self, initial: float, now_ms: int) -> None:
        """Create an average with the value that is assumed without samples."""
        self.initial = initial
        self.average = initial
        self.sampled_ms = now_ms

    def sample(self, measured: float, now_ms: int) -> None:
        """Add a sample; its weight grows with the time since the last one."""
        elapsed = min((now_ms - self.sampled_ms) / _DECAY_MS, 1.0)
        weight = max(_SAMPLE_WEIGHT, elapsed)
        self.average += weight * (measured - self.average)
        self.sampled_ms = now_ms

    def expected(self, now_ms: int) -> float:
        """Return the average, decayed if it is above the initial value."""
        if self.average <= self.initial:
            return self.average
        decayed = min((now_ms - self.sampled_ms) / _DECAY_MS, 1.0)
        return self.average - decayed * (self.average - self.initial)
