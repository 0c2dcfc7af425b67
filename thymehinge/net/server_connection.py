"""One connection to a table server, and the attempt that it carries."""

from __future__ import annotations

import asyncio
import logging
import math
import re
from typing import TYPE_CHECKING, Protocol

from thymehinge.interface import Result
from thymehinge.net.config import Address
from thymehinge.net.resp import AnswerParser, ProtocolError

if TYPE_CHECKING:
    from thymehinge.net.servers import Pool

STALE_RESET_WINDOW = 0.02  # seconds after a write; a reset within it shows that the server had closed earlier
TIMEOUT_MARGIN = 0.01  # seconds subtracted from the timeout sent to a server, for network and other delays
WRITE_TIMEOUT = 0.1  # seconds for writing a command; subtracted from the timeout sent with a large command
MAX_IMMEDIATE_WRITE_BYTES = 16 * 1024  # a longer command may not fit into the socket's buffer at once
PARTIAL_ANSWER_TIMEOUT = 0.5  # seconds without further data in the middle of an answer
REPORT_FIELD = rb"[a-z_0-9]{1,16}=[0-9]{1,6}(?:\.[0-9]{1,9})?"
LOAD_REPORT = re.compile(REPORT_FIELD + rb"(?:," + REPORT_FIELD + rb")*")
log = logging.getLogger(__name__)

EMPTY_REPORT: dict[str, float] = {}


class RequestSource(Protocol):
    """The part of a request that its attempts need; see `thymehinge.net.exchange.Exchange`."""

    def is_over(self) -> bool: ...

    def encode_command(self, timeout_ms: int) -> bytes: ...


class Attempt:
    """One attempt of a request; in flight until its only outcome is reported.

    `started_at`, `deadline` and `start_deadline`, the latest time to write the command, are in seconds on the
    gateway's clock.
    """

    __slots__ = (
        "connection",
        "deadline",
        "exchange",
        "in_flight",
        "index",
        "pool",
        "result",
        "server",
        "start_deadline",
        "started_at",
    )

    def __init__(
        self,
        exchange: RequestSource,
        index: int,
        server: str,
        started_at: float,
        deadline: float,
        start_deadline: float = math.inf,
    ) -> None:
        self.exchange, self.index, self.server = exchange, index, server
        self.started_at, self.deadline, self.start_deadline, self.in_flight = (
            started_at,
            deadline,
            start_deadline,
            True,
        )
        self.pool: Pool | None = None
        self.connection: ServerConnection | None = None
        self.result: Result | None = None  # None while in flight


class ServerConnection(asyncio.Protocol):
    """A connection to a table server; carries at most one attempt at a time.

    `write_pending` is set while part of a command has not been passed to the kernel. `reusable` is set once
    nothing unexpected has followed the latest answer for REUSE_DELAY. `idle_since` is 0 until the connection
    is idle for the first time.
    """

    __slots__ = (
        "address",
        "answer_parser",
        "attempt",
        "closed",
        "held_bytes",
        "idle_since",
        "pool",
        "reusable",
        "transport",
        "write_pending",
        "written_at",
    )

    def __init__(self, pool: Pool, address: Address) -> None:
        self.pool, self.address = pool, address
        self.answer_parser, self.held_bytes = AnswerParser(), 0  # held_bytes: of a partial answer
        self.attempt: Attempt | None = None
        self.transport: asyncio.Transport | None = None
        self.write_pending = self.closed = self.reusable = False
        self.idle_since = self.written_at = 0.0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport
        transport.set_write_buffer_limits(high=0)  # pause_writing is called if any byte is left unwritten
        self.pool.open_connections += 1
        self.pool.servers.open_connections += 1

    def pause_writing(self) -> None:
        self.write_pending = True

    def resume_writing(self) -> None:
        self.write_pending = False

    def send_command(self, attempt: Attempt, now: float) -> None:
        """Write the attempt's command; it counts as not written if the write fails at once."""
        self.attempt, attempt.connection, self.written_at = attempt, self, now
        time_left = attempt.deadline - TIMEOUT_MARGIN - now
        command = attempt.exchange.encode_command(max(1, int(time_left * 1000)))
        if len(command) > MAX_IMMEDIATE_WRITE_BYTES:
            command = attempt.exchange.encode_command(max(1, int((time_left - WRITE_TIMEOUT) * 1000)))
        self.transport.write(command)
        if self.transport.is_closing():
            self.write_pending = True
        elif self.write_pending:
            self.pool.servers.call_at(now + WRITE_TIMEOUT, lambda: self.check_written(attempt))

    def check_written(self, attempt: Attempt) -> None:
        """Abort an attempt whose command is not completely written yet and so has not run."""
        if self.attempt is attempt and self.write_pending:
            self.abort_attempt(Result.CONNECT_FAILED)

    def data_received(self, data: bytes) -> None:
        attempt = self.attempt
        if attempt is None:  # unsolicited data: the stream can no longer be trusted
            return self.abort()
        servers, was_partial = self.pool.servers, self.held_bytes > 0
        try:
            answer = self.answer_parser.feed(data)
        except ProtocolError:
            return self.abort_attempt(Result.ERROR)
        self.hold(self.answer_parser.buffered_bytes())
        if answer is None:
            if servers.partial_answer_bytes > servers.max_partial_answer_bytes:
                log.warning("an answer does not fit into the memory for partial answers")
                return self.abort_attempt(Result.ERROR)
            if not was_partial:
                size = self.held_bytes
                servers.call_at(
                    servers.clock() + PARTIAL_ANSWER_TIMEOUT, lambda: self.check_progress(attempt, size)
                )
            return None
        value, text, is_all_data = answer
        self.attempt = None
        if not is_all_data or self.write_pending:
            self.abort()
        servers.finish_attempt(attempt, *classify_answer(value, text, is_all_data), value)
        return self.pool.release(self, reusable=False)

    def hold(self, size: int) -> None:
        """Count the bytes of a partial answer that the connection holds."""
        self.pool.servers.partial_answer_bytes += size - self.held_bytes
        self.held_bytes = size

    def check_progress(self, attempt: Attempt, previous_size: int) -> None:
        """Abort an attempt whose partial answer has not grown since the previous check.

        The result is an error, since the command may have run.
        """
        if self.attempt is not attempt:
            return
        if self.held_bytes == previous_size:
            return self.abort_attempt(Result.ERROR)
        size, servers = self.held_bytes, self.pool.servers
        return servers.call_at(
            servers.clock() + PARTIAL_ANSWER_TIMEOUT, lambda: self.check_progress(attempt, size)
        )

    def abort_attempt(self, result: Result) -> None:
        """Abort the connection and finish the attempt on it, if any, with this result."""
        attempt, self.attempt = self.attempt, None
        self.abort()
        if attempt is not None:
            self.pool.servers.finish_attempt(attempt, result)

    def abort(self) -> None:
        """Abort the connection and remove it from its pool at once, before `connection_lost` is called."""
        self.remove_from_pool()
        self.transport.abort()

    def remove_from_pool(self) -> None:
        """Update the pool's counts and idle connections, unless this has been done."""
        if not self.closed:
            self.closed = True
            self.hold(0)
            self.pool.open_connections -= 1
            self.pool.servers.open_connections -= 1
            if self in self.pool.idle:
                self.pool.idle.remove(self)

    def connection_lost(self, exc: Exception | None) -> None:
        had_answer = self.held_bytes > 0
        self.remove_from_pool()
        attempt, self.attempt = self.attempt, None
        if attempt is not None:
            servers = self.pool.servers
            if self.idle_since and not had_answer and servers.clock() - self.written_at < STALE_RESET_WINDOW:
                servers.on_stale_connection(self.written_at - self.idle_since)
            servers.finish_attempt(attempt, Result.CONNECT_FAILED if self.write_pending else Result.RESET)
        self.pool.connect_as_needed()


def classify_answer(
    value: bytes | None, text: bytes | None, is_all_data: bool
) -> tuple[Result, dict[str, float]]:
    """Return the result and the load report of a parsed answer.

    `text` is the load report that came with a value, else the error line. `is_all_data` tells whether nothing
    followed the answer. Only a well-formed `-BUSY` with nothing after it proves that the command has not run.
    """
    if value is not None:
        return Result.OK, parse_load_report(text)
    code, _, report = (text or b"").rpartition(b" ")
    code, report = (code, parse_load_report(report)) if code else (report, EMPTY_REPORT)
    rejected = code == b"BUSY" and is_all_data and (report is not EMPTY_REPORT or text == code)
    return Result.REJECTED if rejected else Result.ERROR, report


def parse_load_report(text: bytes | None) -> dict[str, float]:
    """Parse a load report; EMPTY_REPORT if there is none or any part of it is malformed."""
    if text is None or not LOAD_REPORT.fullmatch(text):
        return EMPTY_REPORT
    pairs = (pair.split("=") for pair in text.decode().split(","))
    return {name: float(value) for name, value in pairs}
