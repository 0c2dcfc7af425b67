"""Order in which connections have their input processed. No clock and no I/O: callers pass durations.

Start-time fair queueing (Goyal, Vin and Cheng, 1996): the connection that has used the least processor time
comes first, and each turn is charged to the connection that had it. Connections that use little are served
before those that always have input waiting, which share what is left evenly.

What a connection has used is forgotten once it is closed, so that whoever opens connections again and again
would always have used least. New connections therefore have no place of their own: until its first turn, each
waits in a common flow, in order of arrival. The flow is charged for all of them and has NEW_FLOW_SHARES times
as many shares as there are other connections that wait. After its first turn, a connection starts behind what
the common flow had used, by a turn at least. However many connections are opened, one that uses little waits
for a bounded number of turns.
"""

from __future__ import annotations

import heapq
from typing import Protocol

# A connection that used less than the others comes first for this long, however long it used nothing. All
# connections together may have this credit at once, and one without a credit waits for them.
MAX_CREDIT = 0.0005  # seconds of processor time
MAX_CHARGE = 0.002  # seconds for one turn; the process may have waited for a processor for longer
NEW_FLOW_SHARES = 2  # of the common flow of new connections, for each other connection that waits
MIN_FIRST_CHARGE = 0.0005  # seconds for a first turn, as accepting and closing take time outside turns


class Flow(Protocol):
    """The part of a connection that its place in the queue depends on."""

    # Seconds of processor time, on the scale of `FairQueue.virtual_time`; None until the first turn has ended
    used_time: float | None


class FairQueue:
    """Connections with input to process, of which `pop` returns the next."""

    def __init__(self) -> None:
        self.virtual_time = 0.0  # the used time of the latest connection that was served without a credit
        self.waiting: list[tuple[float, int, Flow]] = []  # heap, by used time and order of arrival
        self.waiting_new: dict[Flow, None] = {}  # connections before their first turn, in order of arrival
        self.new_used_time = 0.0  # of the common flow of new connections
        self.sequence = 0

    def __len__(self) -> int:
        return len(self.waiting) + len(self.waiting_new)

    def add(self, flow: Flow) -> None:
        """Queue a connection that is not queued yet."""
        earliest = self.virtual_time - MAX_CREDIT
        if flow.used_time is None:
            if not self.waiting_new:
                self.new_used_time = max(self.new_used_time, earliest)
            self.waiting_new[flow] = None
            return
        flow.used_time = max(flow.used_time, earliest)
        self.sequence += 1
        heapq.heappush(self.waiting, (flow.used_time, self.sequence, flow))

    def pop(self) -> Flow:
        """Remove the next connection and return it; raises IndexError if there is none."""
        if self.waiting_new and not (self.waiting and self.waiting[0][0] <= self.new_used_time):
            flow = next(iter(self.waiting_new))
            del self.waiting_new[flow]
            used_time = self.new_used_time
        else:
            used_time, _, flow = heapq.heappop(self.waiting)
        self.virtual_time = max(self.virtual_time, used_time)
        return flow

    def remove(self, flow: Flow) -> None:
        """Remove a connection that has ended, if it is queued."""
        if flow.used_time is None:
            self.waiting_new.pop(flow, None)
            return
        remaining = [entry for entry in self.waiting if entry[2] is not flow]
        if len(remaining) < len(self.waiting):
            self.waiting = remaining
            heapq.heapify(self.waiting)

    def charge(self, flow: Flow, duration: float) -> None:
        """Record the seconds that a connection's turn has taken."""
        duration = min(max(duration, 0.0), MAX_CHARGE)
        if flow.used_time is not None:
            flow.used_time += duration
            return
        duration = max(duration, MIN_FIRST_CHARGE)
        flow.used_time = self.new_used_time + duration
        self.new_used_time += duration / (NEW_FLOW_SHARES * max(1, len(self.waiting)))
