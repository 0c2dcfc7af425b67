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

    accepted_connections: int = 0
    first_turns: int = 0  # turns that were the first of their connection
    later_turns: int = 0
    # Seconds from the arrival of data to the turn that processes it
    longest_first_wait: float = 0.0
    longest_later_wait: float = 0.0
    long_waits: int = 0  # turns that came after more than NOTABLE_WAIT
    late_replies: int = 0
    latest_reply: str = ""  # id, class and lateness of the reply that was the latest
    latest_reply_by: float = 0.0  # seconds
    rejected_ids: int = 0  # requests whose id was open or may have run
    next_report_at: float = 0.0

    def record_turn(self, wait: float, is_first: bool) -> None:
        """Count a turn that came `wait` seconds after its connection was queued."""
        if is_first:
            self.first_turns += 1
            self.longest_first_wait = max(self.longest_first_wait, wait)
        else:
            self.later_turns += 1
            self.longest_later_wait = max(self.longest_later_wait, wait)
        self.long_waits += wait > NOTABLE_WAIT

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

    def is_notable(self, longest_current_wait: float) -> bool:
        """Return whether anything has to be logged."""
        return bool(
            self.long_waits or self.late_replies or self.rejected_ids or longest_current_wait > NOTABLE_WAIT
        )

    def report(self, now: float, waiting_connections: int, longest_current_wait: float = 0.0) -> None:
        """Log what is notable and start anew, at most once in REPORT_INTERVAL.

        `longest_current_wait` is in seconds, of the connections that wait for a turn now.
        """
        if now < self.next_report_at or not self.is_notable(longest_current_wait):
            return
        log.warning(
            "commands waited for their turn: %d times over %.1f s; %d first turns, %.3f s at most; "
            "%d later turns, %.3f s at most; %d connections wait, %.3f s at most; %d accepted; "
            "late replies: %d%s; repeated ids rejected: %d",
            self.long_waits,
            NOTABLE_WAIT,
            self.first_turns,
            self.longest_first_wait,
            self.later_turns,
            self.longest_later_wait,
            waiting_connections,
            longest_current_wait,
            self.accepted_connections,
            self.late_replies,
            f", the latest {self.latest_reply}" if self.late_replies else "",
            self.rejected_ids,
        )
        self.reset()
        self.next_report_at = now + REPORT_INTERVAL

    def reset(self) -> None:
        """Start counting anew."""
        self.accepted_connections = self.first_turns = self.later_turns = 0
        self.longest_first_wait = self.longest_later_wait = self.latest_reply_by = 0.0
        self.long_waits = self.late_replies = self.rejected_ids = 0
