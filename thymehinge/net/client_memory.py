"""Limits of the memory that a gateway holds for its clients' data, over all connections."""

from __future__ import annotations

import logging
from collections.abc import Iterable
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from thymehinge.net.client_connection import ClientConnection

TOTAL_FRACTION = 1 / 4  # of the memory limit of the process, for the data of all clients
READ_AHEAD_FRACTION = 1 / 2  # of that memory, above which no data is read before it can be processed
REPORT_INTERVAL = 5.0  # seconds between two such log lines
REQUEST_OVERHEAD_BYTES = 4 * 1024  # objects and timers of a pending request, beside its command

log = logging.getLogger(__name__)


@dataclass(slots=True)
class HeldData:
    """Pending requests, and bytes held for clients, by kind."""

    unanswered_requests: int = 0
    unanswered_bytes: int = 0  # commands of requests without a reply, with REQUEST_OVERHEAD_BYTES each
    answered_requests: int = 0  # whose replies wait for those of earlier commands
    answered_bytes: int = 0
    unparsed_bytes: int = 0  # received data that has not been parsed into commands


def measure_held_data(connections: Iterable[ClientConnection]) -> HeldData:
    """Return what these connections hold, by kind."""
    held = HeldData()
    for connection in connections:
        held.unparsed_bytes += connection.unparsed_bytes
        for reply in connection.pending:
            if reply.reply is None:
                held.unanswered_requests += 1
                held.unanswered_bytes += reply.held_bytes
            else:
                held.answered_requests += 1
                held.answered_bytes += reply.held_bytes
    return held


class ClientMemory:
    """Counts the bytes held for all clients and limits them by `memory_bytes`, the limit of the process.

    A request that does not fit is to be refused at once, and a part of one ends its connection. A connection
    may hold as much as is left over for all others (a dynamic threshold, as in shared packet buffers), so
    that clients with many requests at once leave memory for those with few.
    """

    def __init__(self, memory_bytes: int) -> None:
        self.held_bytes = 0
        self.limit_bytes = int(memory_bytes * TOTAL_FRACTION)
        self.refused_requests = 0  # since the last report
        self.next_report_at = 0.0

    def admits(self, size: int) -> bool:
        """Return whether this many bytes are not above the free memory; if they are, count a refusal.

        For a request, `size` is what its connection would hold with it; for a part of one, the part's size.
        """
        if size <= self.limit_bytes - self.held_bytes:
            return True
        self.refused_requests += 1
        return False

    def allows_read_ahead(self, size: int) -> bool:
        """Return whether a connection with this much unparsed data may read more before it can process it.

        The size is compared with what is free for all connections, as in `admits`.
        """
        return size < READ_AHEAD_FRACTION * self.limit_bytes - self.held_bytes

    def report(self, connections: Iterable[ClientConnection], now: float) -> None:
        """Log refused requests and what the connections hold, at most once in REPORT_INTERVAL."""
        if self.refused_requests and now >= self.next_report_at:
            self.next_report_at = now + REPORT_INTERVAL
            log.warning(
                "%d requests refused for lack of memory, %d bytes held for clients: %s",
                self.refused_requests,
                self.held_bytes,
                measure_held_data(connections),
            )
            self.refused_requests = 0
