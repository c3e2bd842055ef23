"""One clock type in integer milliseconds.

All durations, deadlines and ages are differences of two readings of the
same clock. No reading is ever compared with a reading of another process.
"""

import abc
import time

_NS_PER_MS = 1_000_000


class Clock(abc.ABC):
    """Source of monotonic time."""

    @abc.abstractmethod
    def now_ms(self) -> int:
        """Return the current reading.

        Returns:
          Milliseconds since an arbitrary fixed start; never decreases.
        """


class MonotonicClock(Clock):
    """Clock of the operating system that ignores wall-clock changes."""

    def now_ms(self) -> int:
        """Return the milliseconds of the system's monotonic clock."""
        return time.monotonic_ns() // _NS_PER_MS


class BootClock(Clock):
    """Clock that also counts the time during which the VM was suspended."""

    def now_ms(self) -> int:
        """Return the milliseconds since the start of the VM."""
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // _NS_PER_MS


class ManualClock(Clock):
    """Clock that moves only when told to, for tests and scenarios."""

    def __init__(self, start_ms: int = 0) -> None:
        """Start the clock at a reading in milliseconds."""
        self.reading_ms = start_ms

    def now_ms(self) -> int:
        """Return the reading that was set last."""
        return self.reading_ms

    def advance(self, step_ms: int) -> None:
        """Move the clock forward.

        Args:
          step_ms: Milliseconds to add; must not be negative.

        Raises:
          ValueError: If the step is negative.
        """
        if step_ms < 0:
            raise ValueError(step_ms)
        self.reading_ms += step_ms
