"""Connection pools to the table servers, with one attempt at a time on a connection.

Aborting an attempt closes its connection, so a connection must not carry other attempts.
"""

from __future__ import annotations

import asyncio
import bisect
import math
from collections import deque
from collections.abc import Callable

from thymehinge.interface import LifecycleState, Result, Server
from thymehinge.net.config import Address
from thymehinge.net.server_connection import EMPTY_REPORT, Attempt, ServerConnection

IDLE_LIMIT_FRACTION = 0.7  # of the servers' idle timeout; connections idle for longer are not reused
MAX_CONNECTIONS_PER_SERVER = 128
REUSE_DELAY = 0.02  # seconds from an answer to the reuse of its connection, since unexpected data may follow
PARTIAL_ANSWERS_FRACTION = 1 / 8  # of the memory limit, for answers that have partly come
IDLE_LIMIT_GROWTH = 1.2  # factor by which a lowered idle limit recovers with each sweep

# Called with an attempt, its result, the load report, and the value if the result is OK.
OutcomeCallback = Callable[[Attempt, Result, dict[str, float], bytes | None], None]


class Pool:
    """The connections to one server; the most recently used idle one is reused first."""

    def __init__(self, servers: Servers, address: Address, started_at: float) -> None:
        self.servers, self.address, self.started_at, self.running = servers, address, started_at, True
        self.open_connections = self.connecting = 0
        self.idle: list[ServerConnection] = []  # in the order in which they became idle, oldest first
        self.waiting: deque[Attempt] = deque()

    def start_attempt(self, attempt: Attempt) -> None:
        """Send the attempt on a reusable connection, or queue it for the next one that is available."""
        attempt.pool, now = self, self.servers.clock()
        connection = self.take_reusable(now)
        if connection is not None:
            return connection.send_command(attempt, now)
        self.waiting.append(attempt)
        return self.connect_as_needed()

    def take_reusable(self, now: float) -> ServerConnection | None:
        """Remove the most recently used reusable connection from the idle ones and return it.

        Closes reusable connections that exceed the idle limit.
        """
        for index in range(len(self.idle) - 1, -1, -1):
            connection = self.idle[index]
            if connection.reusable:
                del self.idle[index]
                is_fresh = now - connection.idle_since < self.servers.idle_limit
                if is_fresh and not connection.transport.is_closing():
                    return connection
                connection.abort()
        return None

    def connect_as_needed(self) -> None:
        """Open a connection for each waiting attempt, within the limits on connections.

        If the limits leave this pool without any connection, waiting attempts end as NOT_SENT.
        """
        while self.connecting < len(self.waiting) and self.running:
            if not self.servers.ensure_capacity(self):
                if self.open_connections + self.connecting == 0:  # not a failure of the server
                    self.servers.finish_attempt(self.waiting.popleft(), Result.NOT_SENT)
                    continue
                return
            self.connecting += 1
            self.servers.connecting += 1
            self.servers.spawn(self.connect())

    async def connect(self) -> None:
        """Open one connection; if that fails, the attempt that has waited longest fails."""
        address, connection = self.address, None
        try:
            async with asyncio.timeout(self.servers.connect_timeout):
                _, connection = await self.servers.loop.create_connection(
                    lambda: ServerConnection(self, address), address[0], address[1]
                )
        except OSError:  # includes TimeoutError
            pass
        self.connecting -= 1
        self.servers.connecting -= 1
        if connection is not None and not connection.closed:
            self.release(connection, reusable=True)
        elif address == self.address and len(self.waiting) > self.connecting:
            self.servers.finish_attempt(self.waiting.popleft(), Result.CONNECT_FAILED)
        self.connect_as_needed()

    def release(self, connection: ServerConnection, reusable: bool) -> None:
        """Send the next waiting attempt on a free connection, or add the connection to the idle ones.

        A new connection is reusable at once, one that has just received an answer only after REUSE_DELAY.
        """
        if connection.closed or connection.transport.is_closing():
            return None
        if not self.running or connection.address != self.address:
            return connection.abort()
        now = self.servers.clock()
        if reusable and (attempt := self.next_waiting(now)) is not None:
            return connection.send_command(attempt, now)
        connection.idle_since, connection.reusable = now, reusable
        self.idle.append(connection)
        return None if reusable else self.servers.delay_reuse(connection)

    def next_waiting(self, now: float) -> Attempt | None:
        """Remove the first waiting attempt that may still be sent and return it.

        Attempts before it, which are past a deadline or whose request is over, end as NOT_SENT.
        """
        while self.waiting:
            attempt = self.waiting.popleft()
            if attempt.deadline > now and attempt.start_deadline >= now and not attempt.exchange.is_over():
                return attempt
            self.servers.finish_attempt(attempt, Result.NOT_SENT)
        return None

    def send_waiting(self) -> None:
        """Send waiting attempts on reusable connections."""
        now = self.servers.clock()
        while self.waiting and (connection := self.take_reusable(now)) is not None:
            attempt = self.next_waiting(now)
            if attempt is None:  # back to its place in the order: younger ones may not be reusable yet
                bisect.insort(self.idle, connection, key=lambda idle: idle.idle_since)
            else:
                connection.send_command(attempt, now)

    def update_server(self, address: Address, started_at: float) -> None:
        """Record the server's address and start time, and close idle connections if either has changed.

        The process at their other end is gone; if its machine failed, it has not closed them.
        """
        if (address, started_at) != (self.address, self.started_at):
            self.address, self.started_at = address, started_at
            self.close_idle(math.inf)

    def close_idle(self, before: float) -> None:
        """Close connections that have been idle since before this time."""
        while self.idle and self.idle[0].idle_since < before:
            self.idle[0].abort()

    def close(self) -> None:
        """Stop sending: waiting attempts end as NOT_SENT, those on a connection may finish."""
        self.running = False
        self.close_idle(math.inf)
        while self.waiting:
            self.servers.finish_attempt(self.waiting.popleft(), Result.NOT_SENT)


class Servers:
    """The pools of all servers, their common limits, and the single outcome of each attempt.

    `idle_timeout` and `connect_timeout` are in seconds; `call_at` calls a function at a time of `clock`;
    `memory_bytes` is the memory limit of this process.
    """

    def __init__(
        self,
        idle_timeout: float,
        connect_timeout: float,
        max_connections: int,
        memory_bytes: int,
        clock: Callable[[], float],
        call_at: Callable[[float, Callable[[], None]], None],
        on_outcome: OutcomeCallback,
    ) -> None:
        self.max_idle_limit, self.connect_timeout, self.max_connections = (
            IDLE_LIMIT_FRACTION * idle_timeout,
            connect_timeout,
            max_connections,
        )
        self.idle_limit = self.max_idle_limit  # seconds; lowered when a server turns out to close earlier
        self.clock, self.call_at, self.on_outcome, self.open_connections, self.connecting = (
            clock,
            call_at,
            on_outcome,
            0,
            0,
        )
        self.partial_answer_bytes = 0  # held by all connections
        self.max_partial_answer_bytes = int(memory_bytes * PARTIAL_ANSWERS_FRACTION)
        self.loop = asyncio.get_running_loop()
        self.pools: dict[str, Pool] = {}
        self.tasks: set[asyncio.Task[None]] = set()
        self.awaiting_reuse: deque[ServerConnection] = deque()  # idle but not reusable yet, oldest first

    def mark_superseded(
        self, servers: tuple[Server, ...], addresses: dict[str, Address]
    ) -> tuple[Server, ...]:
        """Return the servers of a list, with those as gone whose address a server that started later has.

        Servers of earlier lists are added as gone too: the process at their address is another one.
        """
        latest: dict[Address, Server] = {}
        for server in servers:
            if server.started_at > 0 and server.state is LifecycleState.RUNNING:
                address = addresses[server.name]
                if address not in latest or latest[address].started_at < server.started_at:
                    latest[address] = server
        if not latest:
            return servers
        listed = {server.name: (addresses.get(server.name), server.started_at) for server in servers}
        known = {name: (pool.address, pool.started_at) for name, pool in self.pools.items()}
        superseded = {
            name
            for name, (address, started_at) in (known | listed).items()
            if address in latest and started_at < latest[address].started_at
        }
        kept = [server for server in servers if server.name not in superseded]
        return (*kept, *(Server(name, LifecycleState.GONE) for name in sorted(superseded)))

    def add(self, servers: tuple[Server, ...], addresses: dict[str, Address]) -> None:
        """Add or update the pools of running servers, before the decision module gets the list."""
        for server in servers:
            if server.state is LifecycleState.RUNNING:
                name = server.name
                pool = self.pools.get(name)
                if pool is None:
                    self.pools[name] = Pool(self, addresses[name], server.started_at)
                else:
                    pool.update_server(addresses[name], server.started_at)

    def remove(self, servers: tuple[Server, ...], is_snapshot: bool) -> None:
        """Close the pools of servers that are draining, gone, or missing from a snapshot.

        Called once the decision module has the list, so that it sends waiting attempts to other servers.
        """
        running = {s.name for s in servers if s.state is LifecycleState.RUNNING}
        listed = {s.name for s in servers}
        for name in [n for n in self.pools if n not in running and (is_snapshot or n in listed)]:
            self.pools.pop(name).close()

    def start_attempt(self, attempt: Attempt) -> None:
        """Send an attempt; it ends as NOT_SENT if it is too late or if its server is not in service."""
        pool = self.pools.get(attempt.server)
        if pool is None or attempt.exchange.is_over() or attempt.start_deadline < self.clock():
            return self.finish_attempt(attempt, Result.NOT_SENT)
        return pool.start_attempt(attempt)

    def abort_attempt(self, attempt: Attempt, result: Result) -> None:
        """End an attempt in flight and close its connection.

        A timeout becomes CONNECT_FAILED if the command has not been written completely and so has not run. An
        attempt that waits for a connection ends as NOT_SENT if it is cancelled, else as CONNECT_FAILED.
        """
        if not attempt.in_flight:
            return
        if attempt.connection is not None:
            not_written = result is Result.TIMEOUT and attempt.connection.write_pending
            attempt.connection.abort_attempt(Result.CONNECT_FAILED if not_written else result)
        else:
            if attempt.pool is not None and attempt in attempt.pool.waiting:
                attempt.pool.waiting.remove(attempt)
            self.finish_attempt(
                attempt, Result.NOT_SENT if result is Result.CANCELLED else Result.CONNECT_FAILED
            )

    def abort_if_waiting(self, attempt: Attempt) -> None:
        """Abort an attempt that still waits for a connection at its start deadline."""
        if attempt.in_flight and attempt.connection is None:
            self.abort_attempt(attempt, Result.CANCELLED)

    def finish_attempt(
        self,
        attempt: Attempt,
        result: Result,
        load_report: dict[str, float] = EMPTY_REPORT,
        value: bytes | None = None,
    ) -> None:
        """Report an attempt's outcome, unless it has been reported."""
        if attempt.in_flight:
            attempt.in_flight, attempt.connection, attempt.result = False, None, result
            self.on_outcome(attempt, result, load_report, value)

    def ensure_capacity(self, pool: Pool) -> bool:
        """Return whether the pool may open a connection.

        At the total limit, the connection that has been idle for longest in any pool is closed to allow it.
        """
        if pool.open_connections + pool.connecting >= MAX_CONNECTIONS_PER_SERVER:
            return False
        if self.open_connections + self.connecting < self.max_connections:
            return True
        idle = [p.idle[0] for p in self.pools.values() if p.idle]
        if idle:
            min(idle, key=lambda c: c.idle_since).abort()
        return bool(idle)

    def delay_reuse(self, connection: ServerConnection) -> None:
        """Make a connection that has just received an answer reusable after REUSE_DELAY."""
        self.awaiting_reuse.append(connection)
        if len(self.awaiting_reuse) == 1:
            self.call_at(connection.idle_since + REUSE_DELAY, self.read_before_reuse)

    def read_before_reuse(self) -> None:
        """Make connections reusable once the data that has arrived on them has been read.

        After a stall of this process a second answer may be unread, and would be taken for the answer to the
        next request. The event loop polls the sockets before it runs the inner callback.
        """
        self.loop.call_soon(self.loop.call_soon, self.mark_reusable, self.clock() - REUSE_DELAY)

    def mark_reusable(self, idle_before: float) -> None:
        """Make connections reusable that have been idle since this time or earlier."""
        while self.awaiting_reuse and self.awaiting_reuse[0].idle_since <= idle_before:
            connection = self.awaiting_reuse.popleft()
            connection.reusable = True
            connection.pool.send_waiting()
        if self.awaiting_reuse:
            self.call_at(self.awaiting_reuse[0].idle_since + REUSE_DELAY, self.read_before_reuse)

    def on_stale_connection(self, idle_time: float) -> None:
        """Lower the idle limit, since a server had closed a connection that was idle for this long."""
        self.idle_limit = max(REUSE_DELAY, min(self.idle_limit, idle_time) / 2)

    def sweep(self) -> None:
        """Close connections that exceed the idle limit before their servers do, and raise a lowered limit."""
        self.idle_limit = min(self.max_idle_limit, IDLE_LIMIT_GROWTH * self.idle_limit)
        before = self.clock() - self.idle_limit
        for pool in self.pools.values():
            pool.close_idle(before)

    def spawn(self, coroutine: object) -> None:
        """Run a coroutine as a task, with a reference that keeps it from being garbage-collected."""
        task = self.loop.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
