"""A fleet of gateways and its table servers on one simulated clock, without sockets; a seed gives the day."""

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

WIRE = 0.002  # s one way between a gateway and a table server
CLASSES = {  # share of the requests and work of one, in requests of mean work
    api.RequestClass("lookup", latency_target=1.0, timeout=3.0): (2 / 3, 0.6),
    api.RequestClass("report", latency_target=2.0, timeout=5.0): (1 / 3, 1.8),
}
SHAPE = 2.0  # of the gamma distribution of a request's work within its class: a spread of 0.7
FIRST = 12.0  # s after its start over which the use of a cold server is looked at


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt on its way, at work or over; gateway -1 is load from elsewhere."""

    gateway: int
    work: float
    life: int = 0
    request: int = 0
    number: int = 0
    server: str = ""
    sent: float = 0.0
    over: bool = False


@dataclass(slots=True, eq=False)
class TableServer:
    """Cores that take from one queue in order; a full queue rejects."""

    entry: api.Server
    cores: int
    room: int
    busy: int = 0
    queue: deque[Attempt] = field(default_factory=deque)
    sent: list[tuple[float, float]] = field(default_factory=list)  # when gateways sent how much work
    taken: list[tuple[float, float]] = field(default_factory=list)  # the same without what was rejected


class FleetModel(Clock):
    """Gateways, table servers and Poisson traffic; `weights` spread the traffic over the gateways."""

    def __init__(
        self, settings: dict[str, object], weights: Sequence[float], seed: int, rate: float, work: float = 0.2
    ) -> None:
        super().__init__(seed)
        self.rng, self.rate, self.work, self.requests = random.Random(seed), rate, work, 0
        self.settings = [
            api.Settings(
                tuple(CLASSES), (api.Plan("open"),), gateway_index=i, gateway_count=len(weights), **settings
            )
            for i in range(len(weights))
        ]
        self.sums = list(accumulate(weights))
        self.servers: dict[str, TableServer] = {}
        self.listed: tuple[api.Server, ...] = ()
        self.lives = [0] * len(weights)
        self.gateways = [Gateway(s, self.rng.getrandbits(32), self.now) for s in self.settings]
        self.attempts: list[dict[int, list[Attempt]]] = [{} for _ in weights]
        self.jobs: list[dict[int, float]] = [{} for _ in weights]  # requests in hand and their work
        self.call_later(0.0, self.arrive)

    # What a day does.

    def add(self, name: str, cores: int = 4, room: int = 80, cold: bool = True, other: float = 0.0) -> None:
        """A table server that starts now; `other` is load from elsewhere, as a part of its capacity."""
        entry = api.Server(name, started_at=self.now if cold else 0.0)
        self.servers[name] = TableServer(entry, cores, room)
        if other > 0:
            self.call_later(0.0, self.foreign, self.servers[name], other * cores / self.work)

    def tell(self, names: Sequence[str], spread: float = 0.0) -> None:
        """A whole list to all gateways, to each within the spread of seconds."""
        self.listed = tuple(self.servers[name].entry for name in names)
        for i in range(len(self.gateways)):
            self.call_later(self.rng.uniform(0, spread), self.list_to, i, self.listed)

    def list_to(self, i: int, listed: tuple[api.Server, ...]) -> None:
        self.give(i, self.lives[i], api.ServerList(api.ListKind.SNAPSHOT, 1, listed))

    def restart(self, share: float, spread: float = 0.0) -> None:
        """A share of the gateways is killed and begins anew with the list."""
        for i in self.rng.sample(range(len(self.gateways)), round(share * len(self.gateways))):
            self.call_later(self.rng.uniform(0, spread), self.begin, i)

    def begin(self, i: int) -> None:
        self.lives[i] += 1
        self.gateways[i] = Gateway(self.settings[i], self.rng.getrandbits(32), self.now)
        self.attempts[i], self.jobs[i] = {}, {}
        self.list_to(i, self.listed)

    # Traffic and table servers.

    def arrive(self) -> None:
        self.call_later(self.rng.expovariate(self.rate), self.arrive)
        i = self.rng.choices(range(len(self.sums)), cum_weights=self.sums)[0]
        cls = self.rng.choices(list(CLASSES), [share for share, _ in CLASSES.values()])[0]
        self.requests += 1
        self.jobs[i][self.requests] = CLASSES[cls][1] * self.rng.gammavariate(SHAPE, 1 / SHAPE)
        customer = self.rng.randrange(4)
        self.give(i, self.lives[i], api.Request(self.requests, cls.timeout, cls.name, "open", customer))

    def foreign(self, server: TableServer, rate: float) -> None:
        self.call_later(self.rng.expovariate(rate), self.foreign, server, rate)
        self.reach(server, Attempt(-1, self.rng.gammavariate(SHAPE, 1 / SHAPE)))

    def give(self, i: int, life: int, event: api.Event) -> None:
        if life != self.lives[i]:
            return
        for action in self.gateways[i].handle(self.now, event):
            match action:
                case api.SetTimer():
                    self.call_later(
                        max(0.0, action.due_at - self.now), self.give, i, life, api.TimerDue(action.tag)
                    )
                case api.Send():
                    tries = self.attempts[i].setdefault(action.request_id, [])
                    work, server = self.jobs[i][action.request_id], self.servers[action.server]
                    a = Attempt(i, work, life, action.request_id, len(tries), action.server, self.now)
                    tries.append(a)
                    server.sent.append((self.now, work))
                    self.call_later(WIRE, self.reach, server, a)
                    self.call_later(action.deadline - self.now, self.end, a, Result.TIMEOUT)
                case api.Cancel():
                    self.end(self.attempts[i][action.request_id][action.attempt], Result.CANCELLED)

    def warmth(self, server: TableServer, now: float) -> float:
        s, age = self.settings[0], now - server.entry.started_at
        if server.entry.started_at <= 0 or age >= s.slow_start_duration:
            return 1.0
        return s.slow_start_capacity + (1 - s.slow_start_capacity) * age / s.slow_start_duration

    def reach(self, server: TableServer, a: Attempt) -> None:
        if server.busy >= server.cores and len(server.queue) >= server.room:
            return self.call_later(WIRE, self.end, a, Result.REJECTED)
        if a.gateway >= 0:
            server.taken.append((self.now, a.work))
        if server.busy < server.cores:
            self.serve(server, a)
        else:
            server.queue.append(a)

    def serve(self, server: TableServer, a: Attempt) -> None:
        server.busy += 1
        self.call_later(a.work * self.work / self.warmth(server, self.now), self.served, server, a)

    def served(self, server: TableServer, a: Attempt) -> None:
        server.busy -= 1
        while server.queue and server.busy < server.cores:
            following = server.queue.popleft()
            if not following.over:
                self.serve(server, following)
        self.call_later(WIRE, self.end, a, Result.OK)

    def end(self, a: Attempt, result: Result) -> None:
        if a.over or a.gateway < 0:
            return
        a.over, final = True, result in (Result.OK, Result.CANCELLED)
        outcome = api.Outcome(a.request, a.number, a.server, result, self.now - a.sent, final)
        self.call_later(0.0, self.give, a.gateway, a.life, outcome)

    # What a day showed.

    def excess(self) -> tuple[float, bool]:
        """Work sent less N in the worst window, in units of root N; whether all windows kept to chance.

        Windows of the cold servers are counted up to a send, when they are fullest.
        """
        s, worst, held = self.settings[0], -math.inf, True
        for server in (s for s in self.servers.values() if s.entry.started_at > 0):
            window, total = deque[tuple[float, float]](), 0.0
            for at, work in (
                x for x in server.sent if x[0] < server.entry.started_at + s.slow_start_duration
            ):
                window.append((at, work))
                total += work
                while window[0][0] <= at - s.overload_window:
                    total -= window.popleft()[1]
                n = (
                    s.overload_multiple
                    * self.warmth(server, at)
                    * server.cores
                    / self.work
                    * s.overload_window
                )
                worst = max(worst, (total - n) / math.sqrt(n))
                held = held and total <= n + 2 * math.sqrt(n) + 2
        return worst, held

    def use(self) -> float:
        """What cold servers took in their first seconds, as a part of an even share of what all took then."""
        got = even = 0.0
        for server in (s for s in self.servers.values() if s.entry.started_at > 0):
            until = server.entry.started_at + FIRST
            got += sum(work for at, work in server.taken if at < until)
            taken = (item for other in self.servers.values() for item in other.taken)
            even += sum(work for at, work in taken if server.entry.started_at <= at < until) / len(
                self.listed
            )
        return got / even if even else 0.0
