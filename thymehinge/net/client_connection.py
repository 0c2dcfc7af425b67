"""One client connection: commands in, replies out in the order of the commands, and how the connection ends.

A request is owed a reply once its last byte has arrived. The gateway therefore has one way to end a
connection whose client still reads, `ClientConnection.close_gracefully`: it stops reading, answers all
pending requests in order, adds an optional final reply and closes.

| trigger                                                 | effect on requests                              |
| ------------------------------------------------------- | ----------------------------------------------- |
| `close_with_protocol_error`: data that is not RESP2     | earlier commands are answered, then the error   |
| `reject_command`: MAX_INVALID_COMMANDS invalid commands | the same; later commands are ignored            |
| `Clients.sweep`: a partial command times out            | the same; the partial command is discarded      |
| `track_partial_command`: no memory for a partial one    | the same; the partial command is discarded      |
| `Clients.sweep`: no first request, or idle for too long | none pending; unread data keeps it open         |
| `Clients.evict_connection`: descriptors are needed      | none pending, see `choose_evicted`              |
| `Clients.drain`: the process ends                       | pending, partial or unread ones keep it open    |
| `Driver.abandon_all`: the drain reaches its deadline    | all pending are answered, then as for a drain   |
| process exit, shortly before SIGKILL                    | replies that the client has not read are lost   |
| `abort`: the client has closed                          | pending requests are cancelled                  |
| `hides_close`: no memory to read on (it stays open)     | refused, as their client may have closed        |
| `abort`: replies left unread past every deadline        | pending requests are cancelled                  |
| `abort`: linger timeout after the gateway has closed    | replies stay readable until their deadlines     |
"""

from __future__ import annotations

import asyncio
import enum
import math
import socket
from collections import deque
from contextlib import suppress
from typing import TYPE_CHECKING

from thymehinge.net.arrivals import ArrivalTimes, seconds_since_last_data, unread_bytes
from thymehinge.net.client_memory import REQUEST_OVERHEAD_BYTES
from thymehinge.net.exchange import BUSY_REPLY, READ_COMMAND, WRITE_COMMAND, CommandError, Exchange
from thymehinge.net.resp import CommandParser, ProtocolError

if TYPE_CHECKING:
    from thymehinge.net.clients import Clients

MAX_PIPELINED_COMMANDS = 256  # pending commands of one connection at which reading pauses
READ_BUFFER_BYTES = 32 * 1024  # read at once
MAX_DISCARDED_READS = 32  # at the close of a connection
MAX_INVALID_COMMANDS = 8  # on a connection before it is closed
MIN_LINGER_TIMEOUT = 1.0  # seconds; a client always has this long after the close to read its last replies
ANSWER_GRACE = 0.5  # seconds after its deadline for which a reply still counts as on time, by protocol
# Linux TCP states after the remote end has closed: TIME_WAIT, CLOSE, CLOSE_WAIT, LAST_ACK and CLOSING
CLIENT_CLOSED_TCP_STATES = frozenset((6, 7, 8, 9, 11))
PONG_REPLY = b"+PONG\r\n"
OK_REPLY = b"+OK\r\n"


class Phase(enum.Enum):
    """Life cycle of a connection."""

    OPEN = enum.auto()
    DRAINING = enum.auto()  # reads no more commands, and closes once all pending ones are answered
    CLOSED = enum.auto()  # writes nothing more; buffered replies may still be in transit


class LocalReply:
    """A reply that needs no table server, queued behind those of earlier commands; it has no deadline (0)."""

    __slots__ = ("deadline", "reply")
    held_bytes = 0  # it is too small to be counted

    def __init__(self, reply: bytes) -> None:
        self.reply, self.deadline = reply, 0.0


class ClientConnection(asyncio.BufferedProtocol):
    """Protocol of one client connection."""

    __slots__ = (
        "arrival_times",
        "batching",
        "clients",
        "command_started_at",
        "discards_input",
        "held_bytes",
        "idle_since",
        "invalid_commands",
        "latest_deadline",
        "parser",
        "pending",
        "phase",
        "pipeline_full",
        "queued",
        "queued_at",
        "slow_reader",
        "sock",
        "transport",
        "unparsed_bytes",
        "unsent_bytes",
        "used_time",
    )

    def __init__(self, clients: Clients, sock: socket.socket) -> None:
        self.clients, self.sock, self.parser = clients, sock, CommandParser()
        self.arrival_times = ArrivalTimes()
        self.pending: deque[Exchange | LocalReply] = deque()
        self.transport: asyncio.Transport | None = None
        self.phase = Phase.OPEN
        self.pipeline_full = self.batching = self.slow_reader = self.discards_input = False
        self.queued_at = 0.0  # when it last began to wait for a turn
        self.queued = False  # whether it waits for its turn to process commands, or has it
        self.used_time: float | None = None  # see FairQueue
        self.invalid_commands, self.idle_since = 0, clients.clock()  # idle_since: initially the connect time
        self.command_started_at = math.inf  # when the current partial command was first seen
        self.held_bytes = 0  # for pending requests, replies, and unparsed data
        self.unparsed_bytes = 0  # the part of them that is unparsed data
        self.unsent_bytes = 0  # the part that is replies to a slow reader
        self.latest_deadline = 0.0  # of the requests whose replies have been written

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport
        self.clients.connections.add(self)
        self.clients.awaiting_first_request[self] = None

    def connection_lost(self, exc: Exception | None) -> None:
        self.phase = Phase.CLOSED
        self.clients.remove_connection(self)
        self.cancel_pending()
        self.parser.discard()
        self.hold(-self.held_bytes)
        self.unparsed_bytes = self.unsent_bytes = 0

    # Closing.

    def close_gracefully(self, final_reply: bytes = b"", discard_input: bool = False) -> None:
        """Stop reading, and close once all pending requests are answered and the final reply is written.

        With `discard_input`, what the client has sent behind is owed no answer and is discarded at the close.
        """
        if self.phase is Phase.OPEN:
            self.phase = Phase.DRAINING
            self.discards_input = discard_input
            self.transport.pause_reading()
            self.clients.clear_timeouts(self)
            self.parser.discard()
            self.hold_unparsed()
            if final_reply:
                self.pending.append(LocalReply(final_reply))
        self.flush()

    def close_unless_unread(self) -> None:
        """Close gracefully, unless data waits to be read or processed: it may contain a request."""
        if not self.has_unread_input():
            self.close_gracefully()

    def has_unread_input(self) -> bool:
        """Return whether data waits to be read, or for a turn to be processed."""
        return self.queued or unread_bytes(self.sock) > 0

    def close_transport(self) -> None:
        """Close with no command pending; written replies stay readable until the linger deadline."""
        self.phase = Phase.CLOSED
        self.clients.start_linger(
            self, max(self.clients.clock() + MIN_LINGER_TIMEOUT, self.latest_deadline + ANSWER_GRACE)
        )
        if self.discards_input:
            self.discard_unread()
        self.transport.close()

    def discard_unread(self) -> None:
        """Take unread data from the kernel: a close over it would reset the connection and lose replies."""
        with suppress(OSError):  # nothing is left, or the client has closed
            for _ in range(MAX_DISCARDED_READS):
                if not self.sock.recv(READ_BUFFER_BYTES):
                    return

    def abort(self) -> None:
        """Cancel all pending requests and free the descriptor; buffered replies are discarded."""
        self.phase = Phase.CLOSED
        self.cancel_pending()
        self.transport.abort()

    def cancel_pending(self) -> None:
        """Mark all pending requests as done and report that their client is gone."""
        pending, self.pending = self.pending, deque()
        for exchange in pending:
            self.hold(-exchange.held_bytes)
            if isinstance(exchange, Exchange) and not exchange.done:
                exchange.done = True
                self.clients.ids.release(exchange)
                self.clients.on_client_gone(exchange)

    def abort_if_client_closed(self) -> None:
        """Abort if the client has closed, even if reading has not reached the end of the stream.

        The end of the stream is read only after all data before it, hence late if reading is paused or the
        event loop has stalled. The kernel's TCP state shows the close at once.
        """
        if self.sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0] in CLIENT_CLOSED_TCP_STATES:
            self.abort()

    # Memory.

    def hold(self, change: int) -> None:
        """Count bytes that the connection holds from now on, or releases if `change` is negative."""
        self.held_bytes += change
        self.clients.memory.held_bytes += change

    def hold_exchange(self, exchange: Exchange, size: int) -> None:
        """Set the number of bytes that a pending request holds."""
        self.hold(size - exchange.held_bytes)
        exchange.held_bytes = size

    def hold_unparsed(self) -> None:
        """Count the data that the parser holds."""
        size = self.parser.buffered_bytes()
        self.hold(size - self.unparsed_bytes)
        self.unparsed_bytes = size

    def hold_unsent(self) -> None:
        """Count the replies that a slow reader has not read; others are sent at once."""
        size = self.transport.get_write_buffer_size() if self.slow_reader else 0
        self.hold(size - self.unsent_bytes)
        self.unsent_bytes = size

    def has_to_wait(self, exchange: Exchange) -> bool:
        """Return whether a reply has to wait for the client to read, or for those of earlier commands."""
        return self.slow_reader or (bool(self.pending) and self.pending[0] is not exchange)

    # Reading commands.

    def pause_writing(self) -> None:
        """Stop reading and processing commands while the client is slow to read its replies."""
        self.slow_reader = True
        self.clients.slow_readers[self] = self.clients.clock()
        self.hold_unsent()
        self.pause_reading()

    def resume_writing(self) -> None:
        self.slow_reader = False
        self.clients.slow_readers.pop(self, None)
        self.hold_unsent()
        self.resume_processing()

    def resume_processing(self) -> None:
        """Continue with commands after a pause; the timeout of a partial command restarts."""
        self.command_started_at = math.inf
        if self.phase is Phase.OPEN and not self.is_blocked():
            self.clients.turns.enqueue(self)

    def is_blocked(self) -> bool:
        """Return whether commands have to wait for the client to read, or for earlier ones to be answered."""
        return self.slow_reader or self.pipeline_full

    def update_reading(self) -> None:
        """Pause reading while the client is slow to read, or there is no memory for data that has to wait.

        Otherwise reading goes on while commands wait, so that the client's close is noticed.
        """
        if self.phase is not Phase.OPEN:
            return
        if self.slow_reader or (self.has_waiting_commands() and not self.may_read_ahead()):
            self.pause_reading()
        else:
            self.resume_reading()

    def has_waiting_commands(self) -> bool:
        """Return whether commands that have been read are not processed yet."""
        return self.queued or self.pipeline_full

    def may_read_ahead(self) -> bool:
        """Return whether more data may be read although commands that were read before wait."""
        return self.clients.memory.allows_read_ahead(self.unparsed_bytes)

    def hides_close(self) -> bool:
        """Return whether the client may have closed without notice, behind data that is left unread."""
        return (
            self.phase is Phase.OPEN
            and not self.slow_reader
            and self in self.clients.read_paused
            and unread_bytes(self.sock) > 0
        )

    def resume_reading(self) -> None:
        """Resume reading if it is paused."""
        if self in self.clients.read_paused:
            self.record_unread()
            self.clients.read_paused.discard(self)
            self.transport.resume_reading()

    def pause_reading(self) -> None:
        """Pause reading; the arrival times of unread data are recorded periodically from now on."""
        if self not in self.clients.read_paused:
            self.transport.pause_reading()
            self.clients.read_paused.add(self)
            self.arrival_times.start_pause(unread_bytes(self.sock), self.clients.clock())

    def record_unread(self) -> None:
        """Record arrival times for the data in the kernel's receive buffer."""
        self.arrival_times.record_unread(unread_bytes(self.sock), self.clients.clock())

    def get_buffer(self, sizehint: int) -> bytearray:
        """Return the buffer to read into, which connections share: each read is taken before the next one."""
        return self.clients.read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        self.data_received(bytes(memoryview(self.clients.read_buffer)[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Take in data and wait for a turn to process it, see `TurnScheduler`."""
        if self.phase is Phase.OPEN:
            if not self.has_waiting_commands():  # then the next command ends in the new data
                self.arrival_times.discard_read()
            data_age = seconds_since_last_data(self.sock) or 0.0  # the event loop may have stalled meanwhile
            arrived_at = self.clients.clock() - data_age
            self.arrival_times.record_read(len(data), arrived_at)
            if len(data) == READ_BUFFER_BYTES:  # what did not fit has arrived too, and is read later
                self.arrival_times.record_arrived(unread_bytes(self.sock), arrived_at)
            self.parser.feed(data)
            self.hold_unparsed()
            if not self.is_blocked():
                self.clients.turns.enqueue(self)
            self.update_reading()

    def process_commands(self, until: float) -> bool:
        """Process complete commands, up to the limit on pending ones or this time of the clock.

        At least one command is processed. Return whether the connection needs another turn.
        """
        more = True
        while more and self.phase is Phase.OPEN and not self.is_blocked():
            try:
                more = self.process_batch(until)
            except ProtocolError as error:
                self.close_with_protocol_error(str(error))
            self.flush()
            if len(self.pending) >= MAX_PIPELINED_COMMANDS and self.phase is Phase.OPEN:
                self.pipeline_full = True
            if self.clients.clock() >= until:
                break
        self.queued = more and self.phase is Phase.OPEN and not self.is_blocked()
        self.track_partial_command()
        self.update_reading()
        return self.queued

    def process_batch(self, until: float) -> bool:
        """Process commands whose immediate replies are written together; return whether more may follow."""
        self.batching = True
        try:
            while len(self.pending) < MAX_PIPELINED_COMMANDS and self.phase is Phase.OPEN:
                arguments = self.parser.next_command()
                if arguments is None:
                    return False
                self.command_started_at = math.inf
                self.handle_command(arguments)
                if self.clients.clock() >= until:
                    return self.parser.has_unparsed()
            return True
        finally:
            self.batching = False

    def track_partial_command(self) -> None:
        """Record whether a command has partly arrived, and the time of its latest data."""
        self.hold_unparsed()
        mid_command = self.clients.mid_command
        mid_command.pop(self, None)
        is_partial = self.parser.has_unparsed() and not self.has_waiting_commands()
        if is_partial and self.phase is Phase.OPEN:
            if not self.clients.memory.admits(self.unparsed_bytes):
                return self.close_gracefully(b"-ERR not enough memory for this command\r\n", True)
            mid_command[self] = now = self.clients.clock()
            self.command_started_at = min(self.command_started_at, now)
            self.clients.idle.pop(self, None)
        return None

    def close_with_protocol_error(self, reason: str) -> None:
        self.close_gracefully(b"-ERR Protocol error: %b\r\n" % reason.encode(), discard_input=True)

    def handle_command(self, arguments: list[bytes]) -> None:
        """Reply to a command locally, or pass it on as a request."""
        if arguments[0] in (READ_COMMAND, WRITE_COMMAND):
            return self.handle_request(arguments)
        name = arguments[0].upper()
        if name == b"PING":
            return self.queue_reply(PONG_REPLY if self.clients.is_ready() else b"-ERR starting\r\n")
        if name in (b"CLIENT", b"SELECT"):
            return self.queue_reply(OK_REPLY)
        return self.reject_command("unknown command")

    def handle_request(self, arguments: list[bytes]) -> None:
        """Pass on a request; it is refused if there is no memory for it, and rejected if it is invalid."""
        try:
            exchange = Exchange(arguments, self.clients.accepted_values)
            self.check_id(exchange)
        except CommandError as error:
            return self.reject_command(str(error))
        self.clients.awaiting_first_request.pop(self, None)
        request_bytes = REQUEST_OVERHEAD_BYTES + sum(map(len, arguments))
        if not self.fits_into_memory(request_bytes):
            return self.queue_reply(BUSY_REPLY)
        self.clients.ids.register(exchange)
        exchange.connection = self
        self.hold_exchange(exchange, request_bytes)
        exchange.received_at = self.arrival_times.time_of(
            self.arrival_times.received_bytes - self.parser.unparsed_bytes()
        )
        self.pending.append(exchange)
        self.clients.idle.pop(self, None)
        return self.clients.on_request(exchange)

    def check_id(self, exchange: Exchange) -> None:
        """Raise CommandError, and count it, if the id of a request is not a new one."""
        try:
            self.clients.ids.check(exchange)
        except CommandError:
            self.clients.report.rejected_ids += 1
            raise

    def fits_into_memory(self, request_bytes: int) -> bool:
        """Return whether there is memory for a request, and for the data that has arrived behind it."""
        memory = self.clients.memory
        if self.hides_close():
            memory.refused_requests += 1
            return False
        return memory.admits(self.held_bytes + request_bytes)

    def reject_command(self, reason: str) -> None:
        """Reply with an error; close the connection after MAX_INVALID_COMMANDS of them."""
        self.queue_reply(b"-ERR %b\r\n" % reason.encode())
        self.invalid_commands += 1
        if self.invalid_commands >= MAX_INVALID_COMMANDS:
            self.close_gracefully(discard_input=True)

    # Writing replies.

    def queue_reply(self, reply: bytes) -> None:
        """Queue a local reply behind those of earlier commands."""
        self.pending.append(LocalReply(reply))
        self.flush()

    def pop_ready_replies(self) -> bytes:
        """Remove the replies at the head of the queue that are ready, and return them."""
        pending, ready = self.pending, []
        while pending and pending[0].reply is not None:
            answered = pending.popleft()
            self.hold(-answered.held_bytes)
            ready.append(answered.reply)
            self.latest_deadline = max(self.latest_deadline, answered.deadline)
        return b"".join(ready)

    def flush(self) -> None:
        """Write the replies that are ready, then close if draining, or resume reading if possible."""
        if self.batching or self.phase is Phase.CLOSED:
            return
        ready = self.pop_ready_replies()
        if ready:
            self.transport.write(ready)
            if self.slow_reader:
                self.hold_unsent()
        if not self.pending:
            self.on_all_answered(bool(ready))
        if self.pipeline_full and len(self.pending) < MAX_PIPELINED_COMMANDS // 2:
            self.pipeline_full = False
            self.resume_processing()

    def has_no_input(self) -> bool:
        """Return whether no received data is pending, in the parser or in the kernel's receive buffer."""
        return not self.parser.has_unparsed() and not unread_bytes(self.sock)

    def on_all_answered(self, wrote_replies: bool) -> None:
        """Close if the connection is draining, or the process is and no input is left.

        Otherwise restart the idle timeout if replies were written and the first request has been received.
        """
        if self.phase is Phase.DRAINING or (self.clients.draining and self.has_no_input()):
            self.clients.clear_timeouts(self)
            self.close_transport()
        elif wrote_replies and self not in self.clients.awaiting_first_request:
            self.clients.idle.pop(self, None)
            self.clients.idle[self], self.idle_since = None, self.clients.clock()
