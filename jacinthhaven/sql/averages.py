"""Moving averages of what is learned only while it is used."""

# Weight of one sample that follows closely on the one before.
_SAMPLE_WEIGHT = 0.15
# Without samples an average returns to its first value within this time, so
# that what it has kept from use is tried again.
_FORGET_MS = 1500


class FadingAverage:
    """Moving average that fades while it gets no samples.

    Only use brings samples, so an average that prevents use would otherwise
    stay as it is.
    """

    __slots__ = ('first', 'average', 'sampled_ms')

    def __init__(self, first: float, now_ms: int) -> None:
        """Start with the value that is assumed without samples."""
        self.first = first
        self.average = first
        self.sampled_ms = now_ms

    def sample(self, measured: float, now_ms: int) -> None:
        """Add a sample; after a pause the old average says little."""
        pause = min((now_ms - self.sampled_ms) / _FORGET_MS, 1.0)
        weight = max(_SAMPLE_WEIGHT, pause)
        self.average += weight * (measured - self.average)
        self.sampled_ms = now_ms

    def expected(self, now_ms: int) -> float:
        """Return the value to expect now."""
        if self.average <= self.first:
            return self.average
        faded = min((now_ms - self.sampled_ms) / _FORGET_MS, 1.0)
        return self.average - faded * (self.average - self.first)
