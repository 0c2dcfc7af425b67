"""Counts what delays or rejects clients' commands, for a log line at most every REPORT_INTERVAL."""

from __future__ import annotations

import logging
from dataclasses import dataclass

REPORT_INTERVAL = 5.0  # seconds between two log lines
NOTABLE_WAIT = 0.1  # seconds that a command waits for its turn, from which on it is logged
LATE_REPLY_SLACK = 0.05  # seconds past the request's deadline, from which on a reply counts as late

log = logging.getLogger(__name__)


@dataclass(slots=True)
class IntakeReport:
    """What has happened since the last log line."""

    longest_wait: float = 0.0  # seconds from the arrival of data to the turn that processes it
    long_waits: int = 0  # turns that came after more than NOTABLE_WAIT
    late_replies: int = 0
    latest_reply: str = ""  # id, class and lateness of the reply that was the latest
    latest_reply_by: float = 0.0  # seconds
    rejected_ids: int = 0  # requests whose id was open or may have run
    next_report_at: float = 0.0

    def record_wait(self, seconds: float) -> None:
        """Count a turn that came this many seconds after its connection was queued."""
        if seconds > NOTABLE_WAIT:
            self.long_waits += 1
            self.longest_wait = max(self.longest_wait, seconds)

    def record_reply(self, request_id: bytes, class_name: str, attempts: int, late_by: float) -> None:
        """Count a reply if it is late; `late_by` is in seconds past the request's deadline."""
        if late_by <= LATE_REPLY_SLACK:
            return
        self.late_replies += 1
        if late_by > self.latest_reply_by:
            self.latest_reply_by = late_by
            self.latest_reply = (
                f"{request_id.decode()} of {class_name}, {attempts} attempts, {late_by:.3f} s late"
            )

    def report(self, now: float, waiting_connections: int) -> None:
        """Log what is notable and start anew, at most once in REPORT_INTERVAL."""
        if now < self.next_report_at or not (self.long_waits or self.late_replies or self.rejected_ids):
            return
        log.warning(
            "commands waited for their turn: %d times, %.3f s at most, %d connections wait; "
            "late replies: %d%s; repeated ids rejected: %d",
            self.long_waits,
            self.longest_wait,
            waiting_connections,
            self.late_replies,
            f", the latest {self.latest_reply}" if self.late_replies else "",
            self.rejected_ids,
        )
        self.longest_wait = self.latest_reply_by = 0.0
        self.long_waits = self.late_replies = self.rejected_ids = 0
        self.next_report_at = now + REPORT_INTERVAL
