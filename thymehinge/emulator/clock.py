"""A simulated clock: a queue of timed events, and the random generator of the whole run."""

from __future__ import annotations

import heapq
from collections.abc import Callable

import numpy

START_TIME = 100.0  # seconds; above 0, as a server's `started_at` of 0 means long ago


class Clock:
    """Simulated time in seconds; events due at the same time run in the order of scheduling."""

    def __init__(self, seed: int) -> None:
        self.rng = numpy.random.default_rng(seed)
        self.now = START_TIME
        self.events: list[tuple[float, int, Callable[..., None], tuple[object, ...]]] = []
        self.sequence = 0

    def call_later(self, delay: float, callback: Callable[..., None], *args: object) -> None:
        """Schedule a call in `delay` seconds; a negative delay counts as 0."""
        self.sequence += 1
        heapq.heappush(self.events, (self.now + max(0.0, delay), self.sequence, callback, args))

    def run(self, seconds: float) -> None:
        """Advance the clock and run the events that become due."""
        end = self.now + seconds
        while self.events and self.events[0][0] <= end:
            self.now, _, callback, args = heapq.heappop(self.events)
            callback(*args)
        self.now = end
