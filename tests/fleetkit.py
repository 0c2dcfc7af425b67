"""A simulated fleet: gateways, table servers and seeded random traffic on one clock, without sockets."""

from __future__ import annotations

import math
import random
from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass, field
from itertools import accumulate

from thymehinge import interface as api
from thymehinge.decisions import Gateway
from thymehinge.emulator.clock import Clock
from thymehinge.interface import Result

NETWORK_DELAY = 0.002  # seconds one way between a gateway and a table server
CLASS_MIX = {  # share of all requests, and mean work of one in units of the overall mean
    api.RequestClass("lookup", latency_target=1.0, timeout=3.0): (2 / 3, 0.6),
    api.RequestClass("report", latency_target=2.0, timeout=5.0): (1 / 3, 1.8),
}
WORK_SHAPE = 2.0  # of the gamma distribution of work within a class
EARLY_PERIOD = 12.0  # seconds after its start in which the utilization of a cold server is measured


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt of a request at a table server; gateway -1 stands for background load.

    `work` is relative to the mean work of a request.
    """

    gateway: int
    work: float
    incarnation: int = 0
    request_id: int = 0
    index: int = 0
    server: str = ""
    sent_at: float = 0.0
    finished: bool = False


@dataclass(slots=True, eq=False)
class TableServer:
    """Cores that serve one FIFO queue; attempts beyond the queue limit are rejected."""

    entry: api.Server
    cores: int
    queue_limit: int
    busy_cores: int = 0
    queue: deque[Attempt] = field(default_factory=deque)
    sent_work: list[tuple[float, float]] = field(default_factory=list)  # (time sent, work), from gateways
    accepted_work: list[tuple[float, float]] = field(default_factory=list)  # (time received, work)


class FleetModel(Clock):
    """Gateways, table servers and Poisson traffic.

    `settings` are keyword arguments of api.Settings, `weights` distribute the requests over the gateways,
    `rate` is in requests per second and `mean_service_time` in seconds.
    """

    def __init__(
        self,
        settings: dict[str, object],
        weights: Sequence[float],
        seed: int,
        rate: float,
        mean_service_time: float = 0.2,
    ) -> None:
        super().__init__(seed)
        self.rng, self.request_rate, self.mean_service_time, self.request_count = (
            random.Random(seed),
            rate,
            mean_service_time,
            0,
        )
        self.settings = [
            api.Settings(
                tuple(CLASS_MIX), (api.Plan("open"),), gateway_index=i, gateway_count=len(weights), **settings
            )
            for i in range(len(weights))
        ]
        self.cumulative_weights = list(accumulate(weights))
        self.servers: dict[str, TableServer] = {}
        self.server_list: tuple[api.Server, ...] = ()
        self.incarnations = [0] * len(weights)
        self.gateways = [Gateway(s, self.rng.getrandbits(32), self.now) for s in self.settings]
        self.attempts: list[dict[int, list[Attempt]]] = [{} for _ in weights]
        self.pending_work: list[dict[int, float]] = [{} for _ in weights]  # request id -> its work
        self.call_later(0.0, self.generate_request)

    # Events of a scenario.

    def add_server(
        self,
        name: str,
        cores: int = 4,
        queue_limit: int = 80,
        cold: bool = True,
        background_load: float = 0.0,
    ) -> None:
        """Start a table server now; background load is a fraction of its capacity."""
        entry = api.Server(name, started_at=self.now if cold else 0.0)
        self.servers[name] = TableServer(entry, cores, queue_limit)
        if background_load > 0:
            self.call_later(
                0.0,
                self.generate_background,
                self.servers[name],
                background_load * cores / self.mean_service_time,
            )

    def publish_list(self, names: Sequence[str], spread: float = 0.0) -> None:
        """Send a snapshot to all gateways, to each within `spread` seconds."""
        self.server_list = tuple(self.servers[name].entry for name in names)
        for gateway in range(len(self.gateways)):
            self.call_later(self.rng.uniform(0, spread), self.deliver_list, gateway, self.server_list)

    def deliver_list(self, gateway: int, servers: tuple[api.Server, ...]) -> None:
        self.deliver(gateway, self.incarnations[gateway], api.ServerList(api.ListKind.SNAPSHOT, 1, servers))

    def restart_gateways(self, share: float, spread: float = 0.0) -> None:
        """Restart a random share of the gateways, each within `spread` seconds."""
        for gateway in self.rng.sample(range(len(self.gateways)), round(share * len(self.gateways))):
            self.call_later(self.rng.uniform(0, spread), self.restart_gateway, gateway)

    def restart_gateway(self, gateway: int) -> None:
        """Replace a gateway by a new one with the current list; its requests are lost."""
        self.incarnations[gateway] += 1
        self.gateways[gateway] = Gateway(self.settings[gateway], self.rng.getrandbits(32), self.now)
        self.attempts[gateway], self.pending_work[gateway] = {}, {}
        self.deliver_list(gateway, self.server_list)

    # Traffic and table servers.

    def generate_request(self) -> None:
        """Give one request to a random gateway and schedule the next."""
        self.call_later(self.rng.expovariate(self.request_rate), self.generate_request)
        gateway = self.rng.choices(range(len(self.cumulative_weights)), cum_weights=self.cumulative_weights)[
            0
        ]
        request_class = self.rng.choices(list(CLASS_MIX), [share for share, _ in CLASS_MIX.values()])[0]
        self.request_count += 1
        self.pending_work[gateway][self.request_count] = CLASS_MIX[request_class][1] * self.rng.gammavariate(
            WORK_SHAPE, 1 / WORK_SHAPE
        )
        customer = self.rng.randrange(4)
        self.deliver(
            gateway,
            self.incarnations[gateway],
            api.Request(self.request_count, request_class.timeout, request_class.name, "open", customer),
        )

    def generate_background(self, server: TableServer, rate: float) -> None:
        """Send one attempt of background load to a server and schedule the next; `rate` is per second."""
        self.call_later(self.rng.expovariate(rate), self.generate_background, server, rate)
        self.receive(server, Attempt(-1, self.rng.gammavariate(WORK_SHAPE, 1 / WORK_SHAPE)))

    def deliver(self, gateway: int, incarnation: int, event: api.Event) -> None:
        """Pass an event to a gateway and perform its actions.

        Ignore events for an earlier incarnation of the gateway.
        """
        if incarnation != self.incarnations[gateway]:
            return
        for action in self.gateways[gateway].handle(self.now, event):
            match action:
                case api.SetTimer():
                    self.call_later(
                        max(0.0, action.due_at - self.now),
                        self.deliver,
                        gateway,
                        incarnation,
                        api.TimerDue(action.tag),
                    )
                case api.Send():
                    attempts = self.attempts[gateway].setdefault(action.request_id, [])
                    work, server = self.pending_work[gateway][action.request_id], self.servers[action.server]
                    attempt = Attempt(
                        gateway, work, incarnation, action.request_id, len(attempts), action.server, self.now
                    )
                    attempts.append(attempt)
                    server.sent_work.append((self.now, work))
                    self.call_later(NETWORK_DELAY, self.receive, server, attempt)
                    self.call_later(action.deadline - self.now, self.finish_attempt, attempt, Result.TIMEOUT)
                case api.Cancel():
                    self.finish_attempt(
                        self.attempts[gateway][action.request_id][action.attempt], Result.CANCELLED
                    )

    def capacity_fraction(self, server: TableServer, now: float) -> float:
        """Return the fraction of its full speed that a server has reached, 1 once it is warm."""
        settings, age = self.settings[0], now - server.entry.started_at
        if server.entry.started_at <= 0 or age >= settings.slow_start_duration:
            return 1.0
        return (
            settings.slow_start_capacity
            + (1 - settings.slow_start_capacity) * age / settings.slow_start_duration
        )

    def receive(self, server: TableServer, attempt: Attempt) -> None:
        """Start, queue or reject an attempt that has reached a server."""
        if server.busy_cores >= server.cores and len(server.queue) >= server.queue_limit:
            return self.call_later(NETWORK_DELAY, self.finish_attempt, attempt, Result.REJECTED)
        if attempt.gateway >= 0:
            server.accepted_work.append((self.now, attempt.work))
        if server.busy_cores < server.cores:
            self.start_work(server, attempt)
        else:
            server.queue.append(attempt)

    def start_work(self, server: TableServer, attempt: Attempt) -> None:
        server.busy_cores += 1
        self.call_later(
            attempt.work * self.mean_service_time / self.capacity_fraction(server, self.now),
            self.finish_work,
            server,
            attempt,
        )

    def finish_work(self, server: TableServer, attempt: Attempt) -> None:
        """Free a core, start queued attempts that are not cancelled or timed out, and answer."""
        server.busy_cores -= 1
        while server.queue and server.busy_cores < server.cores:
            following = server.queue.popleft()
            if not following.finished:
                self.start_work(server, following)
        self.call_later(NETWORK_DELAY, self.finish_attempt, attempt, Result.OK)

    def finish_attempt(self, attempt: Attempt, result: Result) -> None:
        """Report the outcome of an attempt to its gateway, once."""
        if attempt.finished or attempt.gateway < 0:
            return
        attempt.finished, final = True, result in (Result.OK, Result.CANCELLED)
        outcome = api.Outcome(
            attempt.request_id, attempt.index, attempt.server, result, self.now - attempt.sent_at, final
        )
        self.call_later(0.0, self.deliver, attempt.gateway, attempt.incarnation, outcome)

    # Results of a scenario.

    def worst_excess(self) -> tuple[float, bool]:
        """Return how far the work sent to a cold server exceeded the limit N in the worst window.

        The excess is in units of sqrt(N); the flag tells whether all windows stayed within
        N + 2 sqrt(N) + 2. Windows end at a send, where the sum is largest.
        """
        settings, worst, within_limit = self.settings[0], -math.inf, True
        for server in (s for s in self.servers.values() if s.entry.started_at > 0):
            window, total = deque[tuple[float, float]](), 0.0
            for sent_at, work in (
                x for x in server.sent_work if x[0] < server.entry.started_at + settings.slow_start_duration
            ):
                window.append((sent_at, work))
                total += work
                while window[0][0] <= sent_at - settings.overload_window:
                    total -= window.popleft()[1]
                limit = (
                    settings.overload_multiple
                    * self.capacity_fraction(server, sent_at)
                    * server.cores
                    / self.mean_service_time
                    * settings.overload_window
                )
                worst = max(worst, (total - limit) / math.sqrt(limit))
                within_limit = within_limit and total <= limit + 2 * math.sqrt(limit) + 2
        return worst, within_limit

    def cold_utilization(self) -> float:
        """Return the work that cold servers accepted in EARLY_PERIOD, relative to an even share of it."""
        accepted = even_share = 0.0
        for server in (s for s in self.servers.values() if s.entry.started_at > 0):
            end = server.entry.started_at + EARLY_PERIOD
            accepted += sum(work for at, work in server.accepted_work if at < end)
            all_work = (item for other in self.servers.values() for item in other.accepted_work)
            even_share += sum(work for at, work in all_work if server.entry.started_at <= at < end) / len(
                self.server_list
            )
        return accepted / even_share if even_share else 0.0
