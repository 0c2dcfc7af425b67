"""A hollow fleet: instances of the real decision module among stand-ins, on one simulated clock."""

from __future__ import annotations

import math
from collections import Counter
from dataclasses import dataclass, field

from thymehinge import interface as api
from thymehinge.decisions import Gateway, QuotaCodec
from thymehinge.emulator.clock import Clock
from thymehinge.emulator.customers import FOR_EACH_GATEWAY, Customers, plans
from thymehinge.emulator.discovery import Discovery, Layout, Rates
from thymehinge.emulator.network import LOSS, Network, Traffic
from thymehinge.emulator.servers import Attempt, Kind, TableServer
from thymehinge.interface import Idempotency, LifecycleState, Result

INTAKE = 60.0  # datagrams/s that a gateway takes in
WIRE = 0.001  # s one way between a gateway and a table server
WORK, WORK_SHAPE = 0.02, 2.0  # s of a core for a mean request, and the shape of its gamma distribution
LOAD = 0.5  # of the table servers' capacity, where their number follows the traffic
CLASSES = (
    api.RequestClass("table-view", latency_target=0.3, timeout=1.0, idempotency=Idempotency.SAFE),
    api.RequestClass(
        "move-submit",
        latency_target=0.5,
        timeout=1.5,
        value=2.0,
        idempotency=Idempotency.KEYED,
        dedup_window=5.0,
    ),
)
VIEWS = 0.7  # of the requests are of the first class
ANSWERS = QuotaCodec.GRANT, QuotaCodec.GRANT_EXCESS, QuotaCodec.DENY, QuotaCodec.QUEUED


@dataclass(frozen=True, slots=True)
class Shape:
    """How large a fleet is, and what it has to do."""

    gateways: int
    rate: float  # requests/s at a gateway
    servers: int = 0  # table servers; 0: as many as the traffic needs
    customers: int = FOR_EACH_GATEWAY  # for each gateway
    regions: int = 3
    peers: bool = True
    intake: float = INTAKE
    loss: float = LOSS
    rates: Rates = field(default_factory=Rates)

    def __post_init__(self) -> None:
        if self.servers < 0 or self.regions < 1 or not 0 <= self.intake < math.inf:
            raise ValueError(f"{self} is no fleet: servers and intake are 0 or more, regions 1 or more")

    def listed(self) -> int:
        """The table servers in all."""
        cores = self.gateways * self.rate * WORK / LOAD
        return self.servers or max(2, math.ceil(cores / Kind().cores))


class Fleet:
    """Joins gateways, their traffic, network, discovery and table servers; counts from `count` on."""

    def __init__(self, shape: Shape, seed: int) -> None:
        self.shape, self.clock, self.kind = shape, Clock(seed), Kind()
        self.customers = Customers(self.clock, shape.gateways, shape.rate, shape.customers)
        size, places = range(shape.gateways), [i % shape.regions for i in range(shape.gateways)]
        self.settings = [self.settings_of(i, f"r{places[i]}z0") for i in size]
        self.gateways = [self.gateway(i) for i in size]
        self.lives = [0] * shape.gateways
        self.attempts: list[dict[int, list[Attempt]]] = [{} for _ in size]  # by request, while in hand
        self.work: dict[int, float] = {}  # s of a core that each request in hand takes
        self.owner: dict[int, int] = {}  # its customer, until its units are used
        self.serial = 0
        self.network = Network(self.clock, places, shape.intake, self.deliver, shape.loss)
        self.servers: dict[str, TableServer] = {}
        self.count()
        layout = Layout(shape.listed(), shape.regions)
        self.discovery = Discovery(self.clock, layout, shape.rates, shape.gateways, self.listing, self.change)
        for i in size:
            self.discovery.send_list(i)
        if self.customers.total > 0:
            self.next_arrival()

    def settings_of(self, i: int, zone: str) -> api.Settings:
        s, k = self.shape, self.kind
        return api.Settings(
            CLASSES,
            plans(),
            i,
            s.gateways,
            zone,
            peers_enabled=s.peers,
            peer_messages_per_s=s.intake,
            slow_start_capacity=k.cold_share,
            slow_start_duration=k.cold_time,
            overload_multiple=2.0,
            overload_window=2.0,
        )

    def gateway(self, i: int) -> Gateway:
        return Gateway(self.settings[i], int(self.clock.rng.integers(2**32)), self.clock.now)

    def run(self, seconds: float) -> None:
        self.clock.run(seconds)

    def count(self) -> None:
        """Begin to count anew."""
        self.requests, self.began = 0, self.clock.now
        self.entries: Counter[int] = Counter()  # sent to peers, by kind
        self.answers = 0  # entries delivered that answer an ask
        self.network.traffic = Traffic()
        self.met: list[set[str]] = [set() for _ in self.gateways]  # table servers that each sent to
        for server in self.servers.values():
            server.gateways.clear()
        for meter in self.customers.meters:
            meter.used = meter.beyond = 0.0

    def restart(self) -> None:
        """All gateways end at once and begin anew with the whole list; what they had in hand is lost."""
        for i in range(len(self.gateways)):
            self.lives[i] += 1
            self.gateways[i], self.attempts[i] = self.gateway(i), {}
            self.discovery.send_list(i)

    # Requests.

    def next_arrival(self) -> None:
        gap, who, gateway = self.customers.draw()
        self.clock.after(gap, self.arrive, who, gateway)

    def arrive(self, who: int, gateway: int) -> None:
        self.next_arrival()
        self.serial += 1
        self.requests += 1
        rng, customers = self.clock.rng, self.customers
        cls = CLASSES[rng.random() >= VIEWS]
        self.work[self.serial], self.owner[self.serial] = WORK * rng.gamma(WORK_SHAPE, 1 / WORK_SHAPE), who
        self.attempts[gateway][self.serial] = []
        plan, spread, first = customers.plans[who].name, customers.spread[who], customers.first[who]
        request = api.Request(
            self.serial, cls.timeout, cls.name, plan, who, spread=spread, first_gateway=first
        )
        self.give(gateway, self.lives[gateway], request)
        self.clock.after(cls.timeout + 1.0, self.forget, gateway, self.serial)

    def forget(self, gateway: int, request: int) -> None:
        """Long over by now, whatever became of it."""
        self.attempts[gateway].pop(request, None)
        self.work.pop(request, None)
        self.owner.pop(request, None)

    def give(self, i: int, life: int, event: api.Event) -> None:
        """One event for one life of a gateway; then do what it asks for."""
        if life != self.lives[i]:
            return
        for action in self.gateways[i].handle(self.clock.now, event):
            match action:
                case api.SetTimer():
                    due = api.TimerDue(action.tag)
                    self.clock.after(action.due_at - self.clock.now, self.give, i, life, due)
                case api.Send():
                    self.send(i, life, action)
                case api.SendToPeer():
                    self.tell(i, action)
                case api.Cancel():
                    self.end(self.attempts[i][action.request_id][action.attempt], Result.CANCELLED)

    def send(self, i: int, life: int, action: api.Send) -> None:
        """An attempt goes out; the first of a request uses units of its customer."""
        tries, request, now = self.attempts[i][action.request_id], action.request_id, self.clock.now
        attempt = Attempt(i, life, request, len(tries), action.server, self.work[request], now)
        tries.append(attempt)
        if (who := self.owner.pop(request, None)) is not None:
            self.customers.meters[who].use(now, 1.0)
        self.met[i].add(action.server)
        self.clock.after(WIRE, self.servers[action.server].reach, attempt)
        self.clock.after(action.deadline - now, self.end, attempt, Result.TIMEOUT)

    def answer(self, attempt: Attempt, result: Result) -> None:
        """A table server's answer, with a report on its load."""
        self.clock.after(WIRE, self.end, attempt, result, self.servers[attempt.server].report())

    def end(self, attempt: Attempt, result: Result, report: dict[str, float] | None = None) -> None:
        """The attempt's outcome, once."""
        if attempt.over:
            return
        attempt.over, final = True, result in (Result.OK, Result.CANCELLED)
        elapsed = self.clock.now - attempt.sent
        outcome = api.Outcome(
            attempt.request, attempt.number, attempt.server, result, elapsed, final, load_report=report or {}
        )
        self.clock.after(0.0, self.give, attempt.gateway, attempt.life, outcome)

    # Peers and discovery.

    def tell(self, i: int, action: api.SendToPeer) -> None:
        note = QuotaCodec.decode(action.body)
        everyone = [j for j in range(len(self.gateways)) if j != i]
        for to in everyone if action.peer is None else [action.peer]:
            self.entries.update(entry[0] for entry in (note[1] if note else ()))
            self.network.send(i, to, action.body)

    def deliver(self, to: int, sender: int, body: bytes) -> None:
        note = QuotaCodec.decode(body)
        self.answers += sum(entry[0] in ANSWERS for entry in (note[1] if note else ()))
        self.give(to, self.lives[to], api.PeerMessage(sender, body))

    def listing(self, i: int, event: api.ServerList) -> None:
        self.give(i, self.lives[i], event)

    def change(self, entry: api.Server) -> None:
        """A table server starts, drains or stops."""
        if entry.state is LifecycleState.RUNNING:
            self.servers[entry.name] = TableServer(self.clock, entry, self.kind, self.answer)
        else:
            self.servers[entry.name].state = entry.state
