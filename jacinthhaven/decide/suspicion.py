"""Failure detector for one instance, based on its status responses.

An owner keeps one status request outstanding as a long poll. Silence is
measured from the last response, so a refused or reset connection neither
proves a failure nor hides one.
"""

# Weights and factor of the TCP retransmission timeout (RFC 6298).
_MEAN_WEIGHT = 0.125
_DEVIATION_WEIGHT = 0.25
_DEVIATION_FACTOR = 4

# Limits the timeout on a slow link, so that a promotion still ends within
# the 6 s allowed for two faults.
MAX_TIMEOUT_MS = 2000


class FailureDetector:
    """Adaptive failure detector of one instance.

    Attributes:
      heard_ms: When the newest response arrived, or the start of the
        observation before the first response.
      asked_ms: When the outstanding request was sent; None without one.
      wait_ms: Long-poll wait of the newest answered request.
      mean_ms: Smoothed response delay beyond the long-poll wait; None
        before the first response.
      deviation_ms: Smoothed deviation of that delay.
    """

    def __init__(self, start_ms: int) -> None:
        """Start the observation as if a response had just arrived."""
        self.heard_ms = start_ms
        self.asked_ms: int | None = None
        self.wait_ms = 0
        self.mean_ms: float | None = None
        self.deviation_ms = float(0)

    def on_request(self, now_ms: int) -> None:
        """Record that a status request was sent."""
        self.asked_ms = now_ms

    def on_response(self, wait_ms: int, now_ms: int) -> None:
        """Record the response to the outstanding status request.

        A response that arrives before the wait is over counts as a delay
        of 0, so that the estimate recovers from a slow period even if the
        instance changes too often to use the whole wait.

        Args:
          wait_ms: Long-poll wait of the request, in milliseconds.
          now_ms: Time of arrival.
        """
        self.heard_ms = now_ms
        self.wait_ms = wait_ms
        if self.asked_ms is None:
            return
        self._update_estimate(max(0, now_ms - self.asked_ms - wait_ms))
        self.asked_ms = None

    def on_connection_lost(self) -> None:
        """Record that the connection was refused or reset.

        The silence continues, and the lost request gives no measurement.
        """
        self.asked_ms = None

    def silent_ms(self, now_ms: int) -> int:
        """Return the milliseconds since the last response."""
        return now_ms - self.heard_ms

    def timeout_ms(self, suspect_ms: int) -> int:
        """Return the silence after which the instance is suspected.

        The measured part includes the wait of the long poll, because an
        idle instance is silent for that long in normal operation.

        Args:
          suspect_ms: Lower bound from the preset.
        """
        if self.mean_ms is None:
            return suspect_ms
        measured = int(self.mean_ms + _DEVIATION_FACTOR * self.deviation_ms)
        return max(suspect_ms, min(MAX_TIMEOUT_MS, self.wait_ms + measured))

    def suspected(self, suspect_ms: int, now_ms: int) -> bool:
        """Return whether the silence has reached the suspicion timeout."""
        return self.silent_ms(now_ms) >= self.timeout_ms(suspect_ms)

    def _update_estimate(self, delay_ms: int) -> None:
        if self.mean_ms is None:
            self.mean_ms = float(delay_ms)
            self.deviation_ms = delay_ms / 2
            return
        error_ms = abs(self.mean_ms - delay_ms)
        self.deviation_ms += _DEVIATION_WEIGHT * (error_ms - self.deviation_ms)
        self.mean_ms += _MEAN_WEIGHT * (delay_ms - self.mean_ms)
