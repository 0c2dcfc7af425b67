"""Order in which connections have their input processed. No clock and no I/O: callers pass durations.

Start-time fair queueing: the connection that has used the least processor time comes first, and each turn is
charged to the connection that had it. Connections that use little are served before those that always have
input waiting, which share what is left evenly.
"""

from __future__ import annotations

import heapq
from typing import Protocol

# A connection that used less than the others comes first for this long, however long it used nothing.
MAX_CREDIT = 0.01  # seconds of processor time
MAX_CHARGE = 0.002  # seconds for one turn; the process may have waited for a processor for longer


class Flow(Protocol):
    """The part of a connection that its place in the queue depends on."""

    used_time: float  # seconds of processor time, on the scale of `FairQueue.virtual_time`


class FairQueue:
    """Connections with input to process, of which `pop` returns the next."""

    def __init__(self) -> None:
        self.virtual_time = 0.0  # the used time of the latest connection that was served without a credit
        self.waiting: list[tuple[float, int, Flow]] = []  # heap, by used time and order of arrival
        self.sequence = 0

    def __len__(self) -> int:
        return len(self.waiting)

    def add(self, flow: Flow) -> None:
        """Queue a connection that is not queued yet."""
        flow.used_time = max(flow.used_time, self.virtual_time - MAX_CREDIT)
        self.sequence += 1
        heapq.heappush(self.waiting, (flow.used_time, self.sequence, flow))

    def pop(self) -> Flow:
        """Remove the next connection and return it; raises IndexError if there is none."""
        used_time, _, flow = heapq.heappop(self.waiting)
        self.virtual_time = max(self.virtual_time, used_time)
        return flow

    def charge(self, flow: Flow, duration: float) -> None:
        """Record the seconds that a connection's turn has taken."""
        flow.used_time += min(max(duration, 0.0), MAX_CHARGE)
