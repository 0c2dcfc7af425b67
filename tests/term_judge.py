"""Checks what clients and table servers observe of a gateway against the operators' terms."""

from __future__ import annotations

import asyncio
import math
import time
from collections import Counter
from dataclasses import dataclass, field

from processor_wait import ProcessorWait

TIMING_SLACK = 0.05  # seconds added to each limit when it is measured on sockets
DEADLINE_SLACK = 0.15  # seconds by which a forwarded timeout may exceed the client's remaining time
CLIENT_CLOSE_DELAY = 0.1  # seconds after a client's close in which an attempt may still start
PROPAGATION_TIME = 6.0  # seconds after which the gateway must know a change of the server list
LAG_CONFIRM_DELAY = 0.5  # seconds until this process has measured its own lag
END_READ_DELAY = 0.1  # seconds in which this process may read an attempt's end after the next one's start


@dataclass(slots=True)
class ServerAttempt:
    """An attempt that a table server has received in full."""

    zone: str
    received_at: float
    may_have_run: bool = True
    in_flight: bool = True


@dataclass(slots=True)
class RequestRecord:
    """A request that a client has sent in full, with its attempts; times are monotonic."""

    idempotency: str  # the value of `repeat` in the settings
    sent_at: float
    timeout: float  # seconds
    closed_at: float | None = None  # when the client closed its connection before the answer
    attempts: list[ServerAttempt] = field(default_factory=list)


class TermsChecker:
    """Counts violations of the terms; the window and the grace are those of the settings, in seconds."""

    def __init__(self, dedup_window: float, drain_grace: float) -> None:
        self.dedup_window, self.drain_grace = dedup_window, drain_grace
        self.records: dict[bytes, RequestRecord] = {}
        self.drained_at: dict[str, float] = {}  # server -> when a reachable discovery listed it as draining
        self.violations: Counter[str] = Counter()
        self.max_lag = 0.0  # seconds by which this process's event loop was late at most
        self.gateway_stall = lambda: 0.0  # seconds by which stalls of the gateway exceeded stall_ms
        self.processor_wait: ProcessorWait | None = None  # of the gateway

    async def measure_lag(self) -> None:
        """Keep max_lag up to date, and sample the gateway's wait for a processor, until cancelled."""
        while True:
            if self.processor_wait is not None:
                self.processor_wait.sample()
            before = time.monotonic()
            await asyncio.sleep(0.01)
            self.max_lag = max(self.max_lag, time.monotonic() - before - 0.01)

    def record_violation(self, kind: str, request: bytes, text: str = "") -> None:
        self.violations[kind] += 1
        print(f"{kind} {request.decode()} {self.records.get(request)} {text}")

    def check_late(self, kind: str, request: bytes, overrun: float) -> None:
        """Record a violation if an event was `overrun` seconds past its limit.

        Lag of this process and excess stalls of the gateway are allowed for; the decision waits until the
        current lag has been measured.
        """
        if overrun > self.max_lag:
            asyncio.get_running_loop().call_later(
                LAG_CONFIRM_DELAY, self.confirm_late, kind, request, overrun, time.monotonic()
            )

    def confirm_late(self, kind: str, request: bytes, overrun: float, noticed_at: float) -> None:
        if overrun > self.max_lag + self.gateway_stall():
            self.record_violation(kind, request, f"by {overrun:.3f} s; {self.describe(request, noticed_at)}")

    def describe(self, request: bytes, noticed_at: float) -> str:
        """Return what held up the gateway and this process from the request's sending until `noticed_at`."""
        sent_at = self.records[request].sent_at
        waited = self.processor_wait.between(sent_at, noticed_at) if self.processor_wait else math.nan
        return (
            f"gateway waited {waited:.3f} s for a processor, stalled {self.gateway_stall():.3f} s too long; "
            f"this process was late by {self.max_lag:.3f} s at most"
        )

    def request_sent(self, request: bytes, idempotency: str, sent_at: float, timeout: float) -> None:
        self.records[request] = RequestRecord(idempotency, sent_at, timeout)

    def attempt_received(self, request: bytes, server: str, zone: str, timeout_ms: int) -> ServerAttempt:
        """Check an attempt that a server has just received in full, with its forwarded timeout."""
        now, record = time.monotonic(), self.records.get(request)
        attempt = ServerAttempt(zone, now)
        if record is None:
            self.record_violation("UNKNOWN REQUEST", request)
            return attempt
        self.check_late(
            "FORWARDED TIMEOUT TOO LONG",
            request,
            now + timeout_ms / 1000 - record.sent_at - record.timeout - DEADLINE_SLACK,
        )
        if record.closed_at is not None:
            self.check_late(
                "STARTED AFTER CLIENT CLOSE",
                request,
                now - record.closed_at - CLIENT_CLOSE_DELAY - TIMING_SLACK,
            )
        if server in self.drained_at:
            overrun = now - self.drained_at[server] - PROPAGATION_TIME - self.drain_grace
            self.check_late("SENT TO A DRAINED SERVER", request, overrun - TIMING_SLACK)
        self.check_retry(request, record, attempt)
        record.attempts.append(attempt)
        return attempt

    def check_retry(self, request: bytes, record: RequestRecord, attempt: ServerAttempt) -> None:
        """Check that an attempt may follow the earlier ones of its request."""
        possibly_executed = [before for before in record.attempts if before.may_have_run]
        if possibly_executed and record.idempotency == "non_idempotent":
            self.record_violation("NON-IDEMPOTENT REQUEST RETRIED", request)
        if possibly_executed and record.idempotency == "idempotency_key":
            self.check_late(
                "RETRIED AFTER DEDUP WINDOW",
                request,
                attempt.received_at - possibly_executed[0].received_at - self.dedup_window - TIMING_SLACK,
            )
            if attempt.zone != possibly_executed[0].zone:
                self.record_violation("RETRIED OUTSIDE DEDUP SCOPE", request)
        if any(before.in_flight for before in record.attempts):
            earlier = list(record.attempts)
            asyncio.get_running_loop().call_later(
                END_READ_DELAY + self.max_lag, self.check_ended, request, earlier
            )

    def check_ended(self, request: bytes, earlier: list[ServerAttempt]) -> None:
        if any(attempt.in_flight for attempt in earlier):
            self.record_violation("CONCURRENT ATTEMPTS", request)

    def request_refused(self, request: bytes) -> None:
        """Check a request that the gateway refused; a refusal promises that a retry is harmless."""
        record = self.records[request]
        if record.idempotency != "read_like" and any(attempt.may_have_run for attempt in record.attempts):
            self.record_violation("REFUSED THOUGH IT MAY HAVE RUN", request)
