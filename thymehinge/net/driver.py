"""Connects the sockets to the decision module: passes events to it, carries out its actions, runs timers."""

from __future__ import annotations

import asyncio
import heapq
import logging
import math
import time
from collections import deque
from collections.abc import Callable, Iterator

from thymehinge import interface as api
from thymehinge.decisions import Gateway
from thymehinge.interface import Result
from thymehinge.net.clients import Clients
from thymehinge.net.config import Config
from thymehinge.net.discovery import HostList
from thymehinge.net.exchange import BUSY_REPLY, FAILED_REPLY, Exchange
from thymehinge.net.peers import PeerSocket
from thymehinge.net.rate_limit import SenderLimit
from thymehinge.net.server_connection import Attempt
from thymehinge.net.servers import Servers
from thymehinge.net.slices import SLICE_ENTRIES
from thymehinge.net.start_times import StartTimes
from thymehinge.timers import MIN_COMPACTED_SIZE, compact

CLIENT_ROUND_TRIP = 0.004  # seconds of a client's timeout reserved for the network
MAX_LAG = 0.05  # seconds; limit of the part of a client's timeout reserved for event loop lag
LAG_DECAY = 0.9  # fraction of the lag estimate that is kept from one timer to the next
STALL_THRESHOLD = 0.02  # seconds; if a timer is later than this, sockets are read before timers run
SWEEP_INTERVAL = 0.25  # seconds between checks of connections for their timeouts
RESERVED_DESCRIPTORS = 32  # for the listener, discovery, peers, files and connections that are closing
SERVER_CONNECTION_FRACTION = 0.5  # of the other descriptors, for connections to servers
FIRST_LIST_TIMEOUT = 3.0  # seconds until PING reports readiness without a list; fits two unanswered calls

log = logging.getLogger(__name__)

Callback = Callable[[], None]
NO_REQUEST = 0  # in place of a request's id


def monotonic_unix_clock() -> Callable[[], float]:
    """Return a clock that starts at the Unix time and then follows the monotonic clock."""
    offset, monotonic = time.time() - time.monotonic(), time.monotonic
    return lambda: monotonic() + offset


class Driver:
    """Owns the decision module and the sockets of a gateway; `clock` gives the time in seconds."""

    def __init__(self, config: Config, clock: Callable[[], float]) -> None:
        self.clock, self.loop = clock, asyncio.get_running_loop()
        self.gateway = Gateway(config.settings, config.seed, clock())
        descriptors = config.max_sockets - RESERVED_DESCRIPTORS
        max_server_connections = int(descriptors * SERVER_CONNECTION_FRACTION)
        self.servers = Servers(
            config.idle_timeout,
            config.connect_timeout,
            max_server_connections,
            config.memory_bytes,
            clock,
            self.call_at,
            self.on_outcome,
        )
        self.clients = Clients(
            config.settings,
            descriptors - max_server_connections,
            config.memory_bytes,
            self.on_request,
            self.on_client_gone,
            self.is_ready,
            clock,
        )
        self.start_times = StartTimes(config.settings.slow_start_duration, clock)
        self.peers = PeerSocket(
            config.peers, config.broadcast_address, config.settings.gateway_index, self.on_peer
        )
        self.peer_limit = SenderLimit(config.settings.peer_messages_per_s)
        self.list_steps: Iterator[None] = iter(())  # of the list that is being applied
        self.exchanges: dict[int, Exchange] = {}  # by request id, until their last attempt has ended
        self.events: deque[api.Event] = deque()
        # A heap, by time and sequence number; with the id of the request that a timer belongs to
        self.timers: list[tuple[float, int, Callback, int]] = []
        self.compact_timers_at = MIN_COMPACTED_SIZE  # number of timers
        self.armed_at, self.timer_handle = math.inf, None  # the event loop's timer for the earliest of them
        self.sequence, self.last_request_id = 0, NO_REQUEST
        self.loop_lag, self.dispatching, self.has_list = 0.0, False, False
        self.listening_since = math.inf  # when all listeners were open and calls to discovery had begun
        self.drain_deadline = math.inf  # when all requests have to be answered because the process ends
        if config.known_hosts is not None:
            self.on_list(config.known_hosts, api.ListKind.CACHED)
        self.call_at(clock() + SWEEP_INTERVAL, self.sweep)

    def is_ready(self) -> bool:
        """Return whether PING reports readiness: there is a server list, or FIRST_LIST_TIMEOUT has passed.

        Requests are accepted before that too. Without a list, they wait for one or are refused, as the
        decision module determines.
        """
        return self.clock() >= self.listening_since + (0.0 if self.has_list else FIRST_LIST_TIMEOUT)

    # Events.

    def on_request(self, exchange: Exchange) -> None:
        """Pass on a client's request with the time left, less an allowance for network and event loop lag.

        A request with no time left is refused here, since an attempt would need a timeout above 0.
        """
        now = self.clock()
        time_left = min(
            exchange.timeout + exchange.received_at - now - CLIENT_ROUND_TRIP - self.loop_lag,
            self.drain_deadline - now,
        )
        if time_left <= 0:
            return exchange.answer(BUSY_REPLY)
        self.last_request_id += 1
        exchange.request_id = self.last_request_id
        self.exchanges[self.last_request_id] = exchange
        exchange.deadline = now + time_left
        request_id = exchange.request_id  # the timer may outlive the request and must not keep it in memory
        self.call_at(exchange.deadline, lambda: self.on_deadline(request_id), request_id)
        return self.deliver(
            api.Request(
                exchange.request_id,
                time_left,
                exchange.class_name,
                exchange.plan_name,
                exchange.customer_id,
                exchange.units,
                exchange.spread,
                exchange.first_gateway,
                exchange.is_retry,
            )
        )

    def on_client_gone(self, exchange: Exchange) -> None:
        """Have the decision module cancel a request whose client has closed its connection."""
        self.deliver(api.ClientGone(exchange.request_id))

    def on_outcome(
        self, attempt: Attempt, result: Result, load_report: dict[str, float], value: bytes | None
    ) -> None:
        """Handle the end of an attempt; the first value is sent to the client at once."""
        exchange = attempt.exchange
        if value is not None:
            self.answer(exchange, b"$%d\r\n%b\r\n" % (len(value), value))
        elapsed = self.clock() - attempt.started_at
        self.deliver(
            api.Outcome(
                exchange.request_id,
                attempt.index,
                attempt.server,
                result,
                elapsed,
                exchange.done,
                load_report=load_report,
            )
        )

    def on_list(self, hosts: HostList, kind: api.ListKind | None = None) -> None:
        """Handle a snapshot or delta from discovery at once."""
        for _ in self.apply_list(hosts, kind):
            pass

    def apply_list(self, hosts: HostList, kind: api.ListKind | None = None) -> Iterator[None]:
        """Return the steps in which a list is applied; the list before it is finished first."""
        for _ in self.list_steps:
            pass
        if kind is None:
            kind = api.ListKind.SNAPSHOT if hosts.is_snapshot else api.ListKind.DELTA
        self.list_steps = self.apply_in_slices(hosts, kind)
        return self.list_steps

    def apply_in_slices(self, hosts: HostList, kind: api.ListKind) -> Iterator[None]:
        """Apply a list, a long one as deltas of SLICE_ENTRIES; a snapshot then shows what has been removed.

        The first list is applied whole, since the decision module derives limits from its size.
        """
        received, servers = self.start_times.start_list(hosts.servers, kind), hosts.servers
        if len(servers) <= SLICE_ENTRIES or not self.servers.pools:
            return self.apply_servers(kind, hosts, self.start_times.resolve_part(servers, received))
        resolved: list[api.Server] = []
        for start in range(0, len(servers), SLICE_ENTRIES):
            part = self.start_times.resolve_part(servers[start : start + SLICE_ENTRIES], received)
            self.apply_servers(api.ListKind.DELTA, hosts, part)
            resolved += part
            yield
        if kind is not api.ListKind.DELTA:
            servers = self.servers.mark_superseded(tuple(resolved), hosts.addresses)
            self.deliver(api.ServerList(kind, hosts.version, servers))
            self.servers.remove(servers, is_snapshot=True)
        return None

    def apply_servers(self, kind: api.ListKind, hosts: HostList, servers: tuple[api.Server, ...]) -> None:
        """Apply servers of a list.

        Pools are closed only after the decision module has the servers, so that it sends the attempts that
        waited in them to other servers.
        """
        self.has_list = self.has_list or bool(servers) or kind is api.ListKind.SNAPSHOT
        servers = self.servers.mark_superseded(servers, hosts.addresses)
        self.servers.add(servers, hosts.addresses)
        self.deliver(api.ServerList(kind, hosts.version, servers))
        self.servers.remove(servers, kind is not api.ListKind.DELTA)

    def on_peer(self, sender: int, body: bytes) -> None:
        """Pass on a peer's message, unless the peer sends more than a gateway takes in by the settings."""
        if self.peer_limit.admits(sender, self.clock()):
            self.deliver(api.PeerMessage(sender, body))

    def deliver(self, event: api.Event) -> None:
        """Dispatch an event; events that its actions cause are dispatched after it, in order."""
        self.events.append(event)
        if self.dispatching:
            return
        self.dispatching = True
        try:
            while self.events:
                self.dispatch(self.events.popleft())
        finally:
            self.dispatching = False

    def dispatch(self, event: api.Event) -> None:
        """Have the decision module handle an event, and execute its actions.

        An exception fails the request concerned and no other. A finished request is removed only once the
        module has been notified of its end, because until then the module may return actions for it.
        """
        try:
            actions = self.gateway.handle(self.clock(), event)
        except Exception:
            log.exception("unexpected exception while handling %s", type(event).__name__)
            # Any timer event makes the module set its timer again.
            self.call_at(self.clock(), lambda: self.deliver(api.TimerDue(-1)))
            return self.fail_request(event)
        for action in actions:
            try:
                self.execute(action)
            except Exception:
                log.exception("unexpected exception while executing %s", type(action).__name__)
                self.fail_request(action)
        if isinstance(event, (api.Outcome, api.ClientGone)):
            self.remove_if_finished(self.exchanges.get(event.request_id))
        return None

    def fail_request(self, cause: api.Event | api.Action) -> None:
        """Answer the request of an event or action that raised an exception, unless its client has gone."""
        exchange = self.exchanges.get(getattr(cause, "request_id", NO_REQUEST))
        if exchange is not None and not isinstance(cause, api.ClientGone):
            self.abandon(exchange, FAILED_REPLY)

    # Actions.

    def execute(self, action: api.Action) -> None:
        """Execute an action; raises TypeError if its type is unknown."""
        match action:
            case api.Send():
                self.send_attempt(action)
            case api.SetTimer():
                self.call_at(action.due_at, lambda: self.deliver(api.TimerDue(action.tag)))
            case api.Refuse():
                self.refuse(action)
            case api.Fail():
                self.answer(self.exchanges.get(action.request_id), FAILED_REPLY)
            case api.Cancel():
                exchange = self.exchanges.get(action.request_id)
                if exchange is not None:
                    self.servers.abort_attempt(exchange.attempts[action.attempt], Result.CANCELLED)
            case api.SendToPeer():
                self.peers.send(action.body, action.peer)
            case api.Log():
                log.info("%s", action.text)
            case api.WatchServers() | api.FetchServers():
                pass  # discovery is always watched, and a snapshot fetched after each failure
            case _:
                raise TypeError(f"unknown action {action!r}")

    def send_attempt(self, action: api.Send) -> None:
        """Start an attempt, with timers for its deadlines if they are earlier than the request's."""
        exchange, deadline, start_deadline = (
            self.exchanges[action.request_id],
            action.deadline,
            action.start_deadline,
        )
        attempt = Attempt(
            exchange,
            len(exchange.attempts),
            action.server,
            self.clock(),
            min(deadline, exchange.deadline),
            start_deadline,
        )
        exchange.attempts.append(attempt)
        if start_deadline < exchange.deadline:
            self.call_at(start_deadline, lambda: self.servers.abort_if_waiting(attempt), exchange.request_id)
        if deadline < exchange.deadline:
            self.call_at(
                deadline,
                lambda: self.servers.abort_attempt(attempt, Result.TIMEOUT),
                exchange.request_id,
            )
        self.servers.start_attempt(attempt)

    def refuse(self, action: api.Refuse) -> None:
        """Answer BUSY, with the advised retry delay in milliseconds if there is one."""
        retry_after_ms = math.ceil(action.retry_after * 1000)
        self.answer(
            self.exchanges.get(action.request_id),
            b"-BUSY %d\r\n" % retry_after_ms if retry_after_ms > 0 else BUSY_REPLY,
        )

    def answer(self, exchange: Exchange | None, reply: bytes) -> None:
        if exchange is not None:
            exchange.answer(reply)
            self.remove_if_finished(exchange)

    def remove_if_finished(self, exchange: Exchange | None) -> None:
        """Remove a request that is answered and has no attempts in flight."""
        if exchange is not None and exchange.is_finished():
            self.exchanges.pop(exchange.request_id, None)
            self.clients.ids.release(exchange)

    def on_deadline(self, request_id: int) -> None:
        """Time out the attempts of a request at its deadline, and answer it if it is still unanswered."""
        exchange = self.exchanges.get(request_id)
        if exchange is None:
            return
        for attempt in list(exchange.attempts):
            self.servers.abort_attempt(attempt, Result.TIMEOUT)
        if not exchange.done:
            self.abandon(exchange)

    def abandon(self, exchange: Exchange, reply: bytes | None = None) -> None:
        """Answer a request, cancel its attempts and have the decision module drop it.

        The default reply is BUSY if no attempt has been made, else an error.
        """
        exchange.answer(reply or (FAILED_REPLY if exchange.attempts else BUSY_REPLY))
        for attempt in list(exchange.attempts):
            self.servers.abort_attempt(attempt, Result.CANCELLED)
        self.deliver(api.ClientGone(exchange.request_id))

    def abandon_all(self) -> None:
        """Answer all pending requests as the process ends; later ones are refused at once."""
        self.drain_deadline = -math.inf
        for exchange in list(self.exchanges.values()):
            if not exchange.done:
                self.abandon(exchange)

    # Timers.

    def call_at(self, when: float, callback: Callback, request_id: int = NO_REQUEST) -> None:
        """Call a function at a time of the clock, or as soon as possible after it.

        With `request_id`, it may not be called any more once that request is finished.
        """
        self.sequence += 1
        heapq.heappush(self.timers, (when, self.sequence, callback, request_id))
        if len(self.timers) >= self.compact_timers_at:
            self.compact_timers_at = compact(self.timers, self.is_stale_timer)
        if when < self.armed_at:
            self.set_timer(when)

    def is_stale_timer(self, timer: tuple[float, int, Callback, int]) -> bool:
        """Return whether a timer belongs to a request that is finished."""
        return timer[3] != NO_REQUEST and timer[3] not in self.exchanges

    def set_timer(self, when: float) -> None:
        """Replace the event loop's timer."""
        if self.timer_handle is not None:
            self.timer_handle.cancel()
        # The event loop rounds to milliseconds.
        delay = math.ceil(max(0.0, when - self.clock()) * 1000) / 1000
        self.armed_at, self.timer_handle = when, self.loop.call_later(delay, self.on_timer)

    def on_timer(self) -> None:
        """Update the lag estimate and run due timers; after a stall, read the sockets first."""
        lateness = self.clock() - self.armed_at
        self.armed_at, self.timer_handle = math.inf, None
        self.loop_lag = max(min(lateness, MAX_LAG), LAG_DECAY * self.loop_lag)
        if lateness > STALL_THRESHOLD:  # the event loop polls the sockets before it runs the inner callback
            self.loop.call_soon(self.loop.call_soon, self.run_due_timers)
        else:
            self.run_due_timers()

    def run_due_timers(self) -> None:
        """Run all timers that are due, then set the event loop's timer for the next one."""
        self.armed_at, now = -math.inf, self.clock()  # -inf keeps `call_at` from setting the timer
        try:
            while self.timers and self.timers[0][0] <= now:
                heapq.heappop(self.timers)[2]()
        finally:
            self.set_timer(self.timers[0][0])

    def sweep(self) -> None:
        self.call_at(self.clock() + SWEEP_INTERVAL, self.sweep)
        self.servers.sweep()
        self.clients.sweep()
