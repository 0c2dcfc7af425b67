"""One simulated clock: a heap of events, and the generator that all of a run's chance comes from."""

from __future__ import annotations

import heapq
from collections.abc import Callable

import numpy

START = 100.0  # s on the simulated clock at which a run begins: above 0, which means "long ago" in a list


class Clock:
    """Simulated time in seconds; equal times keep the order in which they were set."""

    def __init__(self, seed: int) -> None:
        self.rng = numpy.random.default_rng(seed)
        self.now = START
        self.heap: list[tuple[float, int, Callable[..., None], tuple[object, ...]]] = []
        self.order = 0

    def after(self, delay: float, what: Callable[..., None], *args: object) -> None:
        """Call `what` in so many seconds, at once where that is below 0."""
        self.order += 1
        heapq.heappush(self.heap, (self.now + max(0.0, delay), self.order, what, args))

    def run(self, seconds: float) -> None:
        """Let so many seconds pass."""
        until = self.now + seconds
        while self.heap and self.heap[0][0] <= until:
            self.now, _, what, args = heapq.heappop(self.heap)
            what(*args)
        self.now = until
