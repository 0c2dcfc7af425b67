"""A simulated fleet: instances of the real decision module with simulated traffic, network and servers."""

from __future__ import annotations

import math
from collections import Counter
from dataclasses import dataclass, field

from thymehinge import interface as api
from thymehinge.decisions import Gateway, QuotaCodec
from thymehinge.emulator.clock import Clock
from thymehinge.emulator.customers import CUSTOMERS_PER_GATEWAY, Customers, make_plans
from thymehinge.emulator.discovery import Discovery, EventRates, Layout
from thymehinge.emulator.network import LOSS_RATE, Network, TrafficCounters
from thymehinge.emulator.servers import Attempt, ServerSpec, TableServer
from thymehinge.interface import Idempotency, LifecycleState, Result

RECEIVE_LIMIT = 60.0  # datagrams/s that a gateway accepts from its peers
NETWORK_DELAY = 0.001  # seconds, one way between a gateway and a table server
MEAN_SERVICE_TIME = 0.02  # seconds of one core
SERVICE_TIME_SHAPE = 2.0  # of the gamma distribution of service times
TARGET_UTILIZATION = 0.5  # of the table servers, if FleetSpec.servers is 0
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
VIEW_SHARE = 0.7  # of the requests, which are of the first class
ANSWER_KINDS = (
    QuotaCodec.GRANT,
    QuotaCodec.GRANT_OVERAGE,
    QuotaCodec.DENY,
    QuotaCodec.QUEUED,
)  # kinds of quota entry that answer a quota request


@dataclass(frozen=True, slots=True)
class FleetSpec:
    """Size and load of a fleet."""

    gateways: int
    request_rate: float  # requests/s at a gateway
    servers: int = 0  # table servers; 0 means as many as TARGET_UTILIZATION requires
    customers_per_gateway: int = CUSTOMERS_PER_GATEWAY
    regions: int = 3
    peers_enabled: bool = True
    receive_limit: float = RECEIVE_LIMIT
    loss_rate: float = LOSS_RATE
    event_rates: EventRates = field(default_factory=EventRates)

    def __post_init__(self) -> None:
        """Raise ValueError if a number is out of range."""
        if self.servers < 0 or self.regions < 1 or not 0 <= self.receive_limit < math.inf:
            raise ValueError(
                f"invalid fleet {self}: servers and receive_limit must be 0 or more, regions 1 or more"
            )

    def server_count(self) -> int:
        """Return the number of table servers."""
        cores = self.gateways * self.request_rate * MEAN_SERVICE_TIME / TARGET_UTILIZATION
        return self.servers or max(2, math.ceil(cores / ServerSpec().cores))


class Fleet:
    """Connects gateways with their traffic, network, discovery and table servers.

    Counters cover the time since the start or the last reset_counters().
    """

    def __init__(self, spec: FleetSpec, seed: int) -> None:
        self.spec, self.clock, self.server_spec = spec, Clock(seed), ServerSpec()
        self.customers = Customers(self.clock, spec.gateways, spec.request_rate, spec.customers_per_gateway)
        indexes, regions = range(spec.gateways), [i % spec.regions for i in range(spec.gateways)]
        self.settings = [self.make_settings(i, f"r{regions[i]}z0") for i in indexes]
        self.gateways = [self.make_gateway(i) for i in indexes]
        self.incarnations = [0] * spec.gateways
        self.attempts: list[dict[int, list[Attempt]]] = [{} for _ in indexes]  # by gateway and request id
        self.service_times: dict[int, float] = {}  # by request id, seconds of one core
        self.unmetered: dict[int, int] = {}  # customers by request id, until the request is metered
        self.last_request_id = 0
        self.network = Network(self.clock, regions, spec.receive_limit, self.deliver_message, spec.loss_rate)
        self.servers: dict[str, TableServer] = {}
        self.reset_counters()
        layout = Layout(spec.server_count(), spec.regions)
        self.discovery = Discovery(
            self.clock, layout, spec.event_rates, spec.gateways, self.deliver_list, self.on_server_change
        )
        for i in indexes:
            self.discovery.send_snapshot(i)
        if self.customers.total_rate > 0:
            self.schedule_arrival()

    def make_settings(self, index: int, zone: str) -> api.Settings:
        spec, server_spec = self.spec, self.server_spec
        return api.Settings(
            CLASSES,
            make_plans(),
            index,
            spec.gateways,
            zone,
            peers_enabled=spec.peers_enabled,
            peer_messages_per_s=spec.receive_limit,
            slow_start_capacity=server_spec.slow_start_capacity,
            slow_start_duration=server_spec.slow_start_duration,
            overload_multiple=2.0,
            overload_window=2.0,
        )

    def make_gateway(self, index: int) -> Gateway:
        return Gateway(self.settings[index], int(self.clock.rng.integers(2**32)), self.clock.now)

    def run(self, seconds: float) -> None:
        self.clock.run(seconds)

    def reset_counters(self) -> None:
        self.request_count, self.counting_since = 0, self.clock.now
        self.quota_entries_sent: Counter[int] = Counter()  # to peers, by kind of entry
        self.quota_answers_delivered = 0  # entries that answer a quota request
        self.network.traffic = TrafficCounters()
        self.contacted_servers: list[set[str]] = [set() for _ in self.gateways]  # by gateway
        for server in self.servers.values():
            server.client_gateways.clear()
        for meter in self.customers.meters:
            meter.used = meter.over_quota = 0.0

    def restart_gateways(self) -> None:
        """Restart all gateways at once, with a snapshot of the server list; requests in flight are lost."""
        for i in range(len(self.gateways)):
            self.incarnations[i] += 1
            self.gateways[i], self.attempts[i] = self.make_gateway(i), {}
            self.discovery.send_snapshot(i)

    # Requests.

    def schedule_arrival(self) -> None:
        delay, customer, gateway = self.customers.draw_arrival()
        self.clock.call_later(delay, self.generate_request, customer, gateway)

    def generate_request(self, customer: int, gateway: int) -> None:
        """Deliver a customer's new request to a gateway, and schedule the next arrival."""
        self.schedule_arrival()
        self.last_request_id += 1
        self.request_count += 1
        rng, customers = self.clock.rng, self.customers
        request_class = CLASSES[rng.random() >= VIEW_SHARE]
        self.service_times[self.last_request_id], self.unmetered[self.last_request_id] = (
            MEAN_SERVICE_TIME * rng.gamma(SERVICE_TIME_SHAPE, 1 / SERVICE_TIME_SHAPE),
            customer,
        )
        self.attempts[gateway][self.last_request_id] = []
        plan, spread, first_gateway = (
            customers.plans[customer].name,
            customers.spread[customer],
            customers.first_gateway[customer],
        )
        request = api.Request(
            self.last_request_id,
            request_class.timeout,
            request_class.name,
            plan,
            customer,
            spread=spread,
            first_gateway=first_gateway,
        )
        self.deliver(gateway, self.incarnations[gateway], request)
        self.clock.call_later(
            request_class.timeout + 1.0, self.discard_request, gateway, self.last_request_id
        )

    def discard_request(self, gateway: int, request_id: int) -> None:
        """Drop the state of a request that has passed its deadline."""
        self.attempts[gateway].pop(request_id, None)
        self.service_times.pop(request_id, None)
        self.unmetered.pop(request_id, None)

    def deliver(self, gateway: int, incarnation: int, event: api.Event) -> None:
        """Pass an event to a gateway, unless it has restarted since, and carry out the actions it returns."""
        if incarnation != self.incarnations[gateway]:
            return
        for action in self.gateways[gateway].handle(self.clock.now, event):
            match action:
                case api.SetTimer():
                    timer_due = api.TimerDue(action.tag)
                    self.clock.call_later(
                        action.due_at - self.clock.now, self.deliver, gateway, incarnation, timer_due
                    )
                case api.Send():
                    self.send_attempt(gateway, incarnation, action)
                case api.SendToPeer():
                    self.send_to_peers(gateway, action)
                case api.Cancel():
                    self.finish_attempt(
                        self.attempts[gateway][action.request_id][action.attempt], Result.CANCELLED
                    )

    def send_attempt(self, gateway: int, incarnation: int, action: api.Send) -> None:
        """Send an attempt to a table server; the first attempt of a request is metered."""
        attempts, request_id, now = (
            self.attempts[gateway][action.request_id],
            action.request_id,
            self.clock.now,
        )
        attempt = Attempt(
            gateway,
            incarnation,
            request_id,
            len(attempts),
            action.server,
            self.service_times[request_id],
            now,
        )
        attempts.append(attempt)
        if (customer := self.unmetered.pop(request_id, None)) is not None:
            self.customers.meters[customer].record(now, 1.0)
        self.contacted_servers[gateway].add(action.server)
        self.clock.call_later(NETWORK_DELAY, self.servers[action.server].receive, attempt)
        self.clock.call_later(action.deadline - now, self.finish_attempt, attempt, Result.TIMEOUT)

    def on_server_answer(self, attempt: Attempt, result: Result) -> None:
        """Send a table server's answer, with its load report, back to the gateway."""
        self.clock.call_later(
            NETWORK_DELAY, self.finish_attempt, attempt, result, self.servers[attempt.server].load_report()
        )

    def finish_attempt(
        self, attempt: Attempt, result: Result, load_report: dict[str, float] | None = None
    ) -> None:
        """Report an attempt's outcome to its gateway, unless it is finished already."""
        if attempt.finished:
            return
        attempt.finished, final = True, result in (Result.OK, Result.CANCELLED)
        elapsed = self.clock.now - attempt.sent_at
        outcome = api.Outcome(
            attempt.request_id,
            attempt.index,
            attempt.server,
            result,
            elapsed,
            final,
            load_report=load_report or {},
        )
        self.clock.call_later(0.0, self.deliver, attempt.gateway, attempt.incarnation, outcome)

    # Peers and discovery.

    def send_to_peers(self, gateway: int, action: api.SendToPeer) -> None:
        """Send a message to one peer, or to all if the action names none."""
        message = QuotaCodec.decode(action.body)
        peers = [i for i in range(len(self.gateways)) if i != gateway]
        for receiver in peers if action.peer is None else [action.peer]:
            self.quota_entries_sent.update(entry[0] for entry in (message[1] if message else ()))
            self.network.send(gateway, receiver, action.body)

    def deliver_message(self, receiver: int, sender: int, body: bytes) -> None:
        """Pass a peer's message to a gateway."""
        message = QuotaCodec.decode(body)
        self.quota_answers_delivered += sum(
            entry[0] in ANSWER_KINDS for entry in (message[1] if message else ())
        )
        self.deliver(receiver, self.incarnations[receiver], api.PeerMessage(sender, body))

    def deliver_list(self, gateway: int, event: api.ServerList) -> None:
        self.deliver(gateway, self.incarnations[gateway], event)

    def on_server_change(self, entry: api.Server) -> None:
        """Start, drain or stop a table server."""
        if entry.state is LifecycleState.RUNNING:
            self.servers[entry.name] = TableServer(self.clock, entry, self.server_spec, self.on_server_answer)
        else:
            self.servers[entry.name].state = entry.state
