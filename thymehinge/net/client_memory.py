"""Accounting of the memory that a gateway holds for its clients' data, over all connections."""

from __future__ import annotations

import logging
from collections.abc import Iterable
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from thymehinge.net.client_connection import ClientConnection

REPORT_FRACTION = 1 / 8  # of the memory limit; more than this held for clients is logged
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
    """Counts the bytes held for all clients; `memory_bytes` is the memory limit of the process."""

    def __init__(self, memory_bytes: int) -> None:
        self.held_bytes = 0
        self.report_threshold = int(memory_bytes * REPORT_FRACTION)
        self.next_report_at = 0.0

    def report(self, connections: Iterable[ClientConnection], now: float) -> None:
        """Log what the connections hold if it exceeds the threshold, at most once in REPORT_INTERVAL."""
        if self.held_bytes > self.report_threshold and now >= self.next_report_at:
            self.next_report_at = now + REPORT_INTERVAL
            log.warning("%d bytes held for clients: %s", self.held_bytes, measure_held_data(connections))
