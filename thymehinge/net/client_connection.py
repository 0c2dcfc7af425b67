"""One client's connection: commands in, answers out in the order of the commands, and how it ends.

A request is owed its answer once its last byte has come, so this side ends a connection in one way only,
`ClientConnection.end`: it reads no further, answers what is in hand in order, adds last words and closes.

| who ends it, and when                               | what is owed, and what happens to it                |
| --------------------------------------------------- | --------------------------------------------------- |
| `unreadable`: bytes that are no command             | what was taken before is answered, then the error   |
| `turn_away`: BAD_MOST commands that make no sense   | the same; what stands behind the last is not taken  |
| `Clients.sweep`: a command's rest does not come     | the same; that command itself has not been taken    |
| `Clients.sweep`: no request ever, or none for long  | nothing; what has come, also unread, keeps it open  |
| `Clients.make_way`: others wait for a descriptor    | only who has nothing in hand, half a command last   |
| `Clients.drain`: the process ends                   | what is in hand, begun or unread keeps it open      |
| `Driver.abandon_all`: the end of a drain            | all in hand is answered, then as for a drain        |
| the exit, shortly before the kill                   | what the client has not read by then is lost        |
| `drop`: the client has closed                       | nothing: its requests are called off                |
| `drop`: answers lie unread past every deadline      | nothing: nobody waits for them any more             |
| `drop`: closed here, the last answers lie unread    | they stay until the deadlines of their requests     |
"""

from __future__ import annotations

import asyncio
import enum
import math
import socket
from collections import deque
from typing import TYPE_CHECKING

from thymehinge.net.arrivals import Arrivals, since_last_data, unread_bytes
from thymehinge.net.exchange import READ, WRITE, CommandError, Exchange
from thymehinge.net.resp import Commands, ProtocolError

if TYPE_CHECKING:
    from thymehinge.net.clients import Clients

PIPELINED = 256  # commands of one connection in hand before reading on waits
BAD_MOST = 8  # commands of one connection that make no sense before it is closed
LINGER = 1.0  # s that a closed connection may take at least to read its last answers
LATE_MOST = 0.5  # s past its time in which an answer still counts as one, by protocol
CLOSED_STATES = frozenset((6, 7, 8, 9, 11))  # TCP states, as Linux counts them, once the other end has closed
FAILED, BUSY, PONG, OK = b"-ERR failed\r\n", b"-BUSY\r\n", b"+PONG\r\n", b"+OK\r\n"


class Phase(enum.Enum):
    """The life of a connection."""

    OPEN = enum.auto()
    ENDING = enum.auto()  # reads no more, and closes once all that is in hand is answered
    CLOSED = enum.auto()  # nothing more is written; what was written may still be on its way


class Reply:
    """An answer that needs no server, waiting for its turn."""

    __slots__ = ("deadline", "reply")

    def __init__(self, reply: bytes) -> None:
        self.reply, self.deadline = reply, 0.0


class ClientConnection(asyncio.Protocol):
    """One client's connection."""

    __slots__ = (
        "arrivals",
        "awaited_until",
        "bad",
        "begun_at",
        "clients",
        "commands",
        "full",
        "pending",
        "phase",
        "reading",
        "since",
        "slow",
        "sock",
        "transport",
    )

    def __init__(self, clients: Clients, sock: socket.socket) -> None:
        self.clients, self.sock, self.commands = clients, sock, Commands()
        self.arrivals = Arrivals()
        self.pending: deque[Exchange | Reply] = deque()
        self.transport: asyncio.Transport | None = None
        self.phase = Phase.OPEN
        self.full = self.reading = self.slow = False
        self.bad, self.since = 0, clients.clock()  # commands turned away; idle, or connected, since
        self.begun_at = math.inf  # since when the command that is coming has been coming
        self.awaited_until = 0.0  # until when a client waits for an answer that has been written

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport
        self.clients.connections.add(self)
        self.clients.newcomers[self] = None

    def connection_lost(self, exc: Exception | None) -> None:
        self.phase = Phase.CLOSED
        self.clients.forget(self)
        self.leave()

    # The end.

    def end(self, last_words: bytes = b"") -> None:
        """End the connection from this side, once all that was taken has been answered."""
        if self.phase is Phase.OPEN:
            self.phase = Phase.ENDING
            self.transport.pause_reading()
            self.clients.stop_watching(self)
            if last_words:
                self.pending.append(Reply(last_words))
        self.flush()

    def end_at_rest(self) -> None:
        """End a connection that has nothing in hand, unless a request lies unread: that is read first."""
        if not unread_bytes(self.sock):
            self.end()

    def close_now(self) -> None:
        """Close with nothing in hand; what is written still goes out, unless the client leaves it unread."""
        self.phase = Phase.CLOSED
        self.clients.closed(self, max(self.clients.clock() + LINGER, self.awaited_until + LATE_MOST))
        self.transport.close()

    def drop(self) -> None:
        """Nobody waits for an answer here any more: call off what is in hand, and free the descriptor."""
        self.phase = Phase.CLOSED
        self.leave()
        self.transport.abort()

    def leave(self) -> None:
        """Nobody is there any more to answer what is in hand."""
        pending, self.pending = self.pending, deque()
        for exchange in pending:
            if isinstance(exchange, Exchange) and not exchange.done:
                exchange.done = True
                self.clients.ended(exchange)
                self.clients.left(exchange)

    def notice_close(self) -> None:
        """End here if the client has closed, also where reading has not come so far.

        A close stands behind commands that are not read while reading is paused, and after a stall behind
        whatever the loop does first. The kernel knows of it at once.
        """
        if self.sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0] in CLOSED_STATES:
            self.drop()

    # Commands in.

    def pause_writing(self) -> None:
        """The client reads slowly: take in nothing more from it until it has caught up."""
        self.slow = True
        self.clients.slow[self] = self.clients.clock()
        self.stop_reading()

    def resume_writing(self) -> None:
        self.slow = False
        self.clients.slow.pop(self, None)
        self.read_on()

    def read_on(self) -> None:
        """Read again after a pause of our own, which no client is to blame for."""
        if self.phase is Phase.OPEN and not (self.slow or self.full):
            self.look_at_unread()
            self.clients.unread.discard(self)
            self.transport.resume_reading()
            self.begun_at = math.inf
            self.watch_partial()

    def stop_reading(self) -> None:
        """Pause reading; what comes meanwhile is looked at now and then, since its time has begun."""
        self.transport.pause_reading()
        if self not in self.clients.unread:
            self.clients.unread.add(self)
            self.arrivals.pause(unread_bytes(self.sock), self.clients.clock())

    def look_at_unread(self) -> None:
        self.arrivals.look(unread_bytes(self.sock), self.clients.clock())

    def data_received(self, data: bytes) -> None:
        if self.phase is Phase.OPEN:
            if not self.full:  # all commands that had come whole are taken: the next one ends further on
                self.arrivals.forget_read()
            waited = since_last_data(self.sock) or 0.0  # this process may have stood still meanwhile
            self.arrivals.read(len(data), self.clients.clock() - waited)
            self.commands.feed(data)
            self.take_all()

    def take_all(self) -> None:
        """Take the commands that have come whole, as many at a time as may be in hand."""
        more = True
        while more and self.phase is Phase.OPEN and not self.full:
            try:
                more = self.take_some()
            except ProtocolError as error:
                return self.unreadable(str(error))
            self.flush()
            if len(self.pending) >= PIPELINED and self.phase is Phase.OPEN:
                self.full = True
                self.stop_reading()
        return self.watch_partial()

    def take_some(self) -> bool:
        """Take commands whose answers leave together; whether there may be more."""
        self.reading = True
        try:
            while len(self.pending) < PIPELINED and self.phase is Phase.OPEN:
                words = self.commands.next()
                if words is None:
                    return False
                self.begun_at = math.inf
                self.take(words)
            return True
        finally:
            self.reading = False

    def watch_partial(self) -> None:
        """Note that the beginning of a command has come, and when its latest bytes did."""
        partial = self.clients.partial
        partial.pop(self, None)
        if self.commands.begun() and self.phase is Phase.OPEN and not self.full:
            partial[self] = now = self.clients.clock()
            self.begun_at = min(self.begun_at, now)
            self.clients.idle.pop(self, None)

    def unreadable(self, reason: str) -> None:
        """What can't be read is the last that is read."""
        self.end(b"-ERR Protocol error: %b\r\n" % reason.encode())

    def take(self, words: list[bytes]) -> None:
        """One command: answered here, or a request for the module."""
        if words[0] in (READ, WRITE):
            try:
                exchange = Exchange(words, self.clients.accepted)
                self.clients.begin(exchange)
            except CommandError as error:
                return self.turn_away(str(error))
            exchange.connection = self
            exchange.came = self.arrivals.of(self.arrivals.received - self.commands.left())
            self.pending.append(exchange)
            self.clients.newcomers.pop(self, None)
            self.clients.idle.pop(self, None)
            return self.clients.asked(exchange)
        name = words[0].upper()
        if name == b"PING":
            return self.put(PONG if self.clients.ready() else b"-ERR starting\r\n")
        if name in (b"CLIENT", b"SELECT"):
            return self.put(OK)
        return self.turn_away("unknown command")

    def turn_away(self, reason: str) -> None:
        """Tell what is wrong; who goes on so is not read from any more."""
        self.put(b"-ERR %b\r\n" % reason.encode())
        self.bad += 1
        if self.bad >= BAD_MOST:
            self.end()

    # Answers out.

    def put(self, reply: bytes) -> None:
        self.pending.append(Reply(reply))
        self.flush()

    def due(self) -> bytes:
        """The answers whose turn it is."""
        pending, ready = self.pending, []
        while pending and pending[0].reply is not None:
            answered = pending.popleft()
            ready.append(answered.reply)
            self.awaited_until = max(self.awaited_until, answered.deadline)
        return b"".join(ready)

    def flush(self) -> None:
        """Write the answers whose turn it is, and close where nothing more is to come."""
        if self.reading or self.phase is Phase.CLOSED:
            return
        ready = self.due()
        if ready:
            self.transport.write(ready)
        if not self.pending:
            self.between_requests(bool(ready))
        if self.full and len(self.pending) < PIPELINED // 2:
            self.full = False
            self.read_on()
            if self.commands.begun():
                self.take_all()

    def at_rest(self) -> bool:
        """Whether nothing of a command has come that is not taken, read or unread."""
        return not self.commands.begun() and not unread_bytes(self.sock)

    def between_requests(self, answered: bool) -> None:
        """Nothing is in hand: close where that was waited for, else the client is between requests."""
        if self.phase is Phase.ENDING or (self.clients.draining and self.at_rest()):
            self.clients.stop_watching(self)
            self.close_now()
        elif answered and self not in self.clients.newcomers:
            self.clients.idle.pop(self, None)
            self.clients.idle[self], self.since = None, self.clients.clock()
