"""A token bucket for each sender. No clock: callers pass the time, in seconds."""

from __future__ import annotations

BURST_TIME = 1.0  # seconds of the rate that a sender may use at once


class SenderLimit:
    """Admits up to `rate` messages a second from each sender; a rate of 0 means no limit."""

    def __init__(self, rate: float) -> None:
        self.rate, self.burst = rate, max(1.0, rate * BURST_TIME)
        self.buckets: dict[int, tuple[float, float]] = {}  # tokens and the time they were counted, by sender
        self.dropped = 0  # messages that were not admitted

    def admits(self, sender: int, now: float) -> bool:
        """Return whether a message of this sender may be processed, and count it."""
        if self.rate <= 0:
            return True
        tokens, counted_at = self.buckets.get(sender, (self.burst, now))
        tokens = min(self.burst, tokens + (now - counted_at) * self.rate)
        admitted = tokens >= 1.0
        self.buckets[sender] = (tokens - admitted, now)
        self.dropped += not admitted
        return admitted
