"""Memory and processor time that one more entry of each kind of state costs a gateway.

Memory is measured by tracemalloc as the growth between two sizes, divided by the entries in between; it
depends only on the version of Python. Processor time is that of the decision module, relative to a request at
20 servers.
"""

from __future__ import annotations

import asyncio
import gc
import json
import math
import random
import statistics
import time
import tracemalloc
from collections.abc import Callable, Iterator
from functools import partial
from types import SimpleNamespace
from typing import Any

from thymehinge import interface as api
from thymehinge.decisions import Gateway, QuotaCodec
from thymehinge.emulator.slopes import Slope
from thymehinge.interface import ListKind
from thymehinge.net.config import Config
from thymehinge.net.discovery import HostList, parse_host_list
from thymehinge.net.driver import Driver
from thymehinge.net.exchange import READ_COMMAND, AcceptedValues, Exchange
from thymehinge.net.servers import Servers

FEW_ENTRIES = 20  # servers or customers, the smaller size for processor time
MANY_ENTRIES = 2_000  # the larger size
LARGE_LIST_SIZES = (20_000, 200_000)  # servers, at full sizes only; the larger list takes 0.5 GB
LARGE_CUSTOMER_COUNT = 16_000  # at full sizes only; the module keeps at most 16,384
GROWTH_FACTOR = 4  # between the two sizes for memory: a power of two, so hash tables are equally full at both
ENTRY_COUNTS = {True: 500, False: 4_000}  # the smaller size for memory, keyed by `small`
DELISTED_SERVERS = 250  # the smaller size for delisted servers; the module keeps at most 1,024
PENDING_REQUESTS = 250  # the smaller size for pending requests; the time of each grows with the servers
TIMING_ROUNDS = 40
CALLS_PER_ROUND = 40  # requests timed together, as the clock is too coarse for one
RESPONSE_TIME = 0.01  # seconds from a request to its answer; the next request is sent then
SHORT_RESPONSE_TIME = 1e-5  # seconds; so short that no customer becomes idle before all have sent a request
QUOTA_REQUEST_INTERVAL = 0.001  # seconds
QUOTA_REQUEST_WAIT = 60.0  # seconds that a quota request may wait; its answer is kept for longer
GATEWAY_COUNT = 200  # gateways in the tier of a quota owner
CUSTOMER_COUNT = 200  # customers that send requests and quota requests in turn
START_TIME = 1_000.0  # seconds, simulated time
CLASSES = (
    api.RequestClass("table-view", latency_target=0.3, timeout=1.0),
    api.RequestClass(
        "move",
        0.5,
        1.0,
        value=3.0,
        idempotency=api.Idempotency.KEYED,
        dedup_scope=api.DedupScope.ZONE,
        dedup_window=2.0,
    ),
    api.RequestClass("dice-shuffle", 0.8, 1.0, value=2.0, idempotency=api.Idempotency.UNSAFE),
)
# Large enough that no request waits for tokens.
PLAN = api.Plan("club", rate=100.0, burst=400.0, overage_value=0.3)
SINGLE_GATEWAY_SETTINGS = api.Settings(CLASSES, (PLAN,), slow_start_capacity=0.2, slow_start_duration=10.0)
NO_QUOTA_SETTINGS = api.Settings(CLASSES, (api.Plan("club"),))
# The limit on peer messages is so high that each answer is sent in a message of its own.
QUOTA_OWNER_SETTINGS = api.Settings(
    CLASSES, (PLAN,), gateway_count=GATEWAY_COUNT, peers_enabled=True, peer_messages_per_s=1e6
)

AddEntries = Callable[[int, int], object]  # adds entries numbered from the first argument up to the second
TimedCall = tuple[Callable[[], object], int]  # a function, and the number of calls to time together


def host_entries(count: int, rng: random.Random, first: int = 0) -> list[dict[str, Any]]:
    """Return entries of a server list in discovery's format, with distinct addresses of equal length.

    The entries are parsed from JSON, so that they share no strings.
    """
    entries = [
        {
            "host": f"t{i:07d}",
            "dial": f"10.{100 + i // 40_000}.{100 + i // 200 % 100}.{100 + i % 100}:{6000 + i // 100 % 2}",
            "site": f"zone-{rng.randrange(3)}",
            "block": rng.randrange(3),
            "health": "Ready",
            "share": 1,
            "born_ms": rng.randrange(10**5),
        }
        for i in range(first, first + count)
    ]
    return json.loads(json.dumps(entries))


def host_list(count: int, rng: random.Random, first: int = 0) -> HostList:
    """Return a list of servers that have passed their slow start."""
    return parse_host_list({"seq": 1, "whole": True, "hosts": host_entries(count, rng, first)})


# Memory.


def bytes_per_entry(add_entries: AddEntries, count: int) -> float:
    """Return the bytes allocated per entry, between `count` entries and GROWTH_FACTOR times as many."""
    tracemalloc.start()
    try:
        add_entries(0, count)
        gc.collect()  # also clears free lists, which tracemalloc counts as allocated
        before, _ = tracemalloc.get_traced_memory()
        add_entries(count, GROWTH_FACTOR * count)
        gc.collect()
        after, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    return (after - before) / ((GROWTH_FACTOR - 1) * count)


class SteppingClock:
    """A clock that advances by a microsecond per call.

    Each call returns a new float object, as a real clock does, so that stored times count as memory.
    """

    def __init__(self) -> None:
        self.now = START_TIME

    def __call__(self) -> float:
        self.now += 1e-6
        return self.now


def customer_key(number: int, rng: random.Random) -> int:
    """Return a customer's key of 33 bits, so that all keys take the same memory."""
    return 1 << 32 | number << 16 | rng.getrandbits(16)


def server_bytes(count: int, seed: int) -> float:
    """Return the bytes of a listed server in the decision module, before any request was sent to it."""
    rng, gateway = random.Random(seed), Gateway(SINGLE_GATEWAY_SETTINGS, seed, START_TIME)

    def add_entries(first: int, last: int) -> None:
        gateway.handle(
            START_TIME, api.ServerList(ListKind.DELTA, 1, host_list(last - first, rng, first).servers)
        )

    return bytes_per_entry(add_entries, count)


async def pool_bytes(count: int, seed: int) -> float:
    """Return the bytes of a server's connection pool without connections."""
    rng, clock, gateway = (
        random.Random(seed),
        SteppingClock(),
        Gateway(SINGLE_GATEWAY_SETTINGS, seed, START_TIME),
    )
    servers = Servers(15.0, 0.25, 1024, 2**27, clock, lambda when, callback: None, lambda *outcome: None)

    def add_entries(first: int, last: int) -> None:
        hosts = host_list(last - first, rng, first)
        servers.add(hosts.servers, hosts.addresses)
        gateway.handle(  # also holds the servers' names, as in a gateway process
            START_TIME, api.ServerList(ListKind.DELTA, 1, hosts.servers)
        )

    return bytes_per_entry(add_entries, count) - server_bytes(count, seed)


def delisted_bytes(count: int, seed: int) -> float:
    """Return the bytes of a delisted server, which the decision module keeps until it expires."""
    rng, gateway = random.Random(seed), Gateway(SINGLE_GATEWAY_SETTINGS, seed, START_TIME)

    def add_entries(first: int, last: int) -> None:
        gateway.handle(
            START_TIME, api.ServerList(ListKind.SNAPSHOT, 1, host_list(last - first, rng, first).servers)
        )
        gateway.handle(START_TIME, api.ServerList(ListKind.SNAPSHOT, 2))

    return bytes_per_entry(add_entries, count)


def customer_bytes(count: int, seed: int) -> float:
    """Return the bytes of a customer whose only request has been answered."""
    rng = random.Random(seed)
    load = RequestLoad(host_list(FEW_ENTRIES, rng), seed)

    def add_entries(first: int, last: int) -> None:
        for i in range(first, last):
            load.send_request(customer_key(i, rng), SHORT_RESPONSE_TIME)
        load.drain()

    return bytes_per_entry(add_entries, count)


def bucket_bytes(count: int, seed: int) -> float:
    """Return the bytes of a customer's bucket at its owner, after a grant."""
    rng, clock, gateway = (
        random.Random(seed),
        SteppingClock(),
        Gateway(QUOTA_OWNER_SETTINGS, seed, START_TIME),
    )

    def add_entries(first: int, last: int) -> None:
        for i in range(first, last):
            bucket = gateway.owned_quota(clock(), customer_key(i, rng), PLAN, 1.0)
            bucket.draw(clock(), 1.0, 0.0)

    return bytes_per_entry(add_entries, count)


def quota_answer_bytes(count: int, seed: int) -> float:
    """Return the bytes of an answer that an owner keeps in case a request is repeated, without the bucket."""
    owner = QuotaOwner(seed)

    def add_entries(first: int, last: int) -> None:
        for _ in range(first, last):
            owner.receive_quota_request(QUOTA_REQUEST_WAIT)

    return bytes_per_entry(add_entries, count)


async def request_bytes(count: int, seed: int) -> float:
    """Return the bytes of a pending request in the driver, sent to a server and not answered.

    They cover the command, the exchange, the attempt in the decision module and in the driver, and the timers
    of both; not the customer's state, nor the connections to client and server. Raises RuntimeError if
    requests are not sent.
    """
    rng, clock = random.Random(seed), SteppingClock()
    config = Config(
        "",
        ("", 0),
        "",
        seed,
        1024,
        2**28,
        None,
        (),
        None,
        host_list(2 * GROWTH_FACTOR * count, rng),
        15.0,
        0.25,
        NO_QUOTA_SETTINGS,
    )
    driver, accepted_values = Driver(config, clock), AcceptedValues(NO_QUOTA_SETTINGS)
    driver.servers.start_attempt = lambda attempt: None
    client = SimpleNamespace()  # nothing is written to it, as no request is answered

    def add_entries(first: int, last: int) -> None:
        for i in range(first, last):
            arguments = [bytes(bytearray(READ_COMMAND)), b"%016x" % 7, b"%016x" % rng.getrandbits(64)]
            exchange = Exchange([*arguments, b"c=table-view,t=club,d=%d" % (900 + i % 100)], accepted_values)
            exchange.connection, exchange.received_at = client, driver.clock()
            driver.on_request(exchange)

    request_size, sent_count = (
        bytes_per_entry(add_entries, count),
        sum(len(e.attempts) for e in driver.exchanges.values()),
    )
    if sent_count != GROWTH_FACTOR * count:
        raise RuntimeError(
            f"{sent_count} of {GROWTH_FACTOR * count} requests were sent; all must be in flight"
        )
    return request_size


def message_bytes() -> tuple[int, float]:
    """Return the size in bytes of a peer message without entries, and of each entry."""
    entry = QuotaCodec.pack_entry(QuotaCodec.REQUEST, 1, 7, 0, 1.0, 0.3, 1.0)
    empty, full = (len(QuotaCodec.encode(1.0, [entry] * count)) for count in (0, QuotaCodec.MAX_ENTRIES))
    return empty, (full - empty) / QuotaCodec.MAX_ENTRIES


# Processor time.


class RequestLoad:
    """A gateway without peers that serves one request after another and runs its timers when they are due.

    Its controller, which runs once per second, is disabled; `processor_slopes` measures it separately.
    """

    def __init__(self, hosts: HostList, seed: int) -> None:
        self.now, self.last_request_id, self.timer = START_TIME, 0, (math.inf, 0)
        self.gateway = Gateway(SINGLE_GATEWAY_SETTINGS, seed, START_TIME)
        self.gateway.next_control_at = math.inf
        self.deliver(api.ServerList(ListKind.SNAPSHOT, 1, hosts.servers))

    def deliver(self, event: api.Event) -> list[api.Action]:
        """Pass an event to the gateway, record the timer that it sets, and return its actions."""
        actions = self.gateway.handle(self.now, event)
        for action in actions:
            if isinstance(action, api.SetTimer):
                self.timer = action.due_at, action.tag
        return actions

    def send_request(self, customer: int | None = None, response_time: float = RESPONSE_TIME) -> None:
        """Send a request and answer it after `response_time` seconds; by default, customers take turns."""
        self.last_request_id += 1
        customer = self.last_request_id % CUSTOMER_COUNT if customer is None else customer
        class_name = CLASSES[self.last_request_id % len(CLASSES)].name
        actions = self.deliver(api.Request(self.last_request_id, 1.0, class_name, PLAN.name, customer))
        server = next(action.server for action in actions if isinstance(action, api.Send))
        self.now += response_time
        if self.timer[0] <= self.now:
            self.deliver(api.TimerDue(self.timer[1]))
        self.deliver(
            api.Outcome(
                self.last_request_id,
                0,
                server,
                api.Result.OK,
                response_time,
                True,
                load_report={"queue": 1.0},
            )
        )

    def drain(self) -> None:
        """Advance until only the gateway's periodic timer is left, then run its controller once."""
        while len(self.gateway.timers) > 1:
            self.now += RESPONSE_TIME
            self.deliver(api.TimerDue(self.timer[1]))
        self.gateway.run_controller(self.now)


class QuotaOwner:
    """A gateway that owns customers' buckets and answers quota requests, each in a message of its own."""

    def __init__(self, seed: int) -> None:
        self.now, self.request_count, self.gateway = (
            START_TIME,
            0,
            Gateway(QUOTA_OWNER_SETTINGS, seed, START_TIME),
        )
        self.gateway.next_control_at = math.inf
        for key in range(CUSTOMER_COUNT):
            self.gateway.owned_quota(START_TIME, key, PLAN, 1.0)

    def receive_quota_request(self, wait: float) -> None:
        """Handle a quota request that may wait `wait` seconds; its answer is sent at the next event."""
        self.now, self.request_count = self.now + QUOTA_REQUEST_INTERVAL, self.request_count + 1
        tag, sender = divmod(self.request_count, GATEWAY_COUNT - 1)
        entry = QuotaCodec.pack_entry(
            QuotaCodec.REQUEST, tag, self.request_count % CUSTOMER_COUNT, 0, 1.0, wait, 1.0
        )
        self.gateway.handle(self.now, api.PeerMessage(sender + 1, QuotaCodec.encode(4.0, [entry])))


def seconds_per_call(timed_call: TimedCall) -> float:
    """Return the processor time of one call in seconds, averaged over the calls timed together."""
    function, calls = timed_call
    started_at = time.process_time()
    for _ in range(calls):
        function()
    return (time.process_time() - started_at) / calls


def gateway_with_servers(hosts: HostList, seed: int) -> Gateway:
    """Return a gateway with these servers, each of which has a latency estimate."""
    gateway, rng = Gateway(SINGLE_GATEWAY_SETTINGS, seed, START_TIME), random.Random(seed)
    gateway.handle(START_TIME, api.ServerList(ListKind.SNAPSHOT, 1, hosts.servers))
    for server in gateway.fleet.servers.values():
        server.unit_latency = rng.uniform(0.01, 0.02)
    return gateway


def gateway_with_customers(count: int, seed: int) -> Gateway:
    """Return a gateway with `count` customers, each of which has just sent a request."""
    gateway = Gateway(SINGLE_GATEWAY_SETTINGS, seed, START_TIME)
    for key in range(count):
        request = api.Request(key, 1.0, CLASSES[0].name, PLAN.name, key)
        gateway.find_quota(START_TIME, request).demand = 1.0
    return gateway


def run_whole_controller(gateway: Gateway) -> None:
    """Run the controller and the updates of records that it spreads over later events."""
    gateway.run_controller(START_TIME)
    while gateway.records_to_update:
        gateway.update_records(START_TIME)


def timed_calls(small: bool, seed: int) -> dict[str, TimedCall]:
    """Return the functions to time, by name; a name ends with the size that the cost depends on."""
    rng, calls = random.Random(seed), {}
    for size in (FEW_ENTRIES, MANY_ENTRIES):
        entries = host_entries(size, rng)
        raw = {"seq": 1, "whole": True, "hosts": entries}
        hosts, gateway = parse_host_list(raw), Gateway(SINGLE_GATEWAY_SETTINGS, seed, START_TIME)
        snapshot, delta = (
            api.ServerList(kind, 2, servers)
            for kind, servers in ((ListKind.SNAPSHOT, hosts.servers), (ListKind.DELTA, hosts.servers[:1]))
        )
        gateway.handle(START_TIME, snapshot)
        repeats = MANY_ENTRIES // size  # so that both sizes take about as long
        calls |= {
            f"request {size}": (RequestLoad(hosts, seed).send_request, CALLS_PER_ROUND),
            f"servers {size}": (
                partial(run_whole_controller, gateway_with_servers(hosts, seed)),
                repeats,
            ),
            f"customers {size}": (
                partial(run_whole_controller, gateway_with_customers(size, seed)),
                repeats,
            ),
            f"list {size}": (partial(gateway.handle, START_TIME, snapshot), repeats),
            f"change {size}": (partial(gateway.handle, START_TIME, delta), 5 * CALLS_PER_ROUND),
            f"read {size}": (partial(parse_host_list, raw), repeats),
        }
    calls["quota request"] = partial(QuotaOwner(seed).receive_quota_request, 0.0), CALLS_PER_ROUND
    if not small:
        for size in LARGE_LIST_SIZES:
            calls[f"request {size}"] = (
                RequestLoad(host_list(size, rng), seed).send_request,
                max(1, LARGE_LIST_SIZES[0] // size * 4),
            )
        calls["many customers"] = (
            partial(run_whole_controller, gateway_with_customers(LARGE_CUSTOMER_COUNT, seed)),
            1,
        )
    return calls


def time_rounds(small: bool, seed: int) -> list[dict[str, float]]:
    """Return the processor time of each function in seconds per call, by name, for each round.

    Each round times all functions, so that other load on the machine affects all alike. Garbage collection is
    disabled: its cost depends on all objects of this process, not only on the gateway being timed.
    """
    calls = timed_calls(small, seed)
    gc.collect()
    gc.disable()
    try:
        for call in calls.values():  # warm up caches
            seconds_per_call(call)
        return [{name: seconds_per_call(call) for name, call in calls.items()} for _ in range(TIMING_ROUNDS)]
    finally:
        gc.enable()


def processor_slopes(small: bool, seed: int) -> Iterator[Slope]:
    """Measure the slopes of processor time, and two absolute times for reference."""
    rounds, base_call = time_rounds(small, seed), f"request {FEW_ENTRIES}"

    def median_ratio(cost: Callable[[dict[str, float]], float], base: str = base_call) -> float:
        return statistics.median(cost(seconds) / seconds[base] for seconds in rounds)

    def per_thousand_entries(name: str) -> float:
        """Return the cost of 1,000 entries, relative to a request, from the difference between two sizes."""
        scale = 1_000 / (MANY_ENTRIES - FEW_ENTRIES)
        return median_ratio(
            lambda seconds: scale * (seconds[f"{name} {MANY_ENTRIES}"] - seconds[f"{name} {FEW_ENTRIES}"])
        )

    def per_request(name: str) -> float:
        """Return the cost of a call, relative to a request."""
        return median_ratio(lambda seconds: seconds[name])

    def milliseconds(name: str) -> float:
        return statistics.median(seconds[name] for seconds in rounds) * 1000

    sizes = f"{MANY_ENTRIES:,} over {FEW_ENTRIES} servers"
    yield Slope("gateway.cpu.servers", per_request(f"request {MANY_ENTRIES}"), "times", f"request, {sizes}")
    for size in () if small else LARGE_LIST_SIZES:
        name, description = f"gateway.cpu.servers_{size}", f"request, {size:,} over {FEW_ENTRIES} servers"
        yield Slope(name, per_request(f"request {size}"), "times", description, checked=False)
    for name, call_name, description in (
        ("beat_server", "servers", "controller run"),
        ("beat_customer", "customers", "controller run"),
        ("list_entry", "list", "applying an unchanged list"),
        ("read_entry", "read", "parsing a list"),
    ):
        yield Slope(
            f"gateway.cpu.{name}",
            per_thousand_entries(call_name),
            "requests/1,000 entries",
            f"{description}, {FEW_ENTRIES} to {MANY_ENTRIES:,}",
        )
    change = median_ratio(lambda seconds: seconds[f"change {MANY_ENTRIES}"], f"change {FEW_ENTRIES}")
    yield Slope("gateway.cpu.change", change, "times", f"one entry's change, {sizes}")
    yield Slope(
        "gateway.cpu.ask",
        per_request("quota request"),
        "requests an ask",
        "quota request and answer, one in a message",
    )
    yield Slope(
        "time.request", milliseconds(base_call), "ms", f"module, {FEW_ENTRIES} servers", checked=False
    )
    if not small:
        yield Slope(
            "time.beat",
            milliseconds("many customers"),
            "ms",
            f"controller run, {LARGE_CUSTOMER_COUNT:,} customers",
            checked=False,
        )


def memory_slopes(small: bool, seed: int) -> Iterator[Slope]:
    """Measure the slopes of memory and of message sizes."""
    count, prefix = ENTRY_COUNTS[small], "gateway.memory"
    sizes = f"{count:,} to {GROWTH_FACTOR * count:,}"
    yield Slope(f"{prefix}.server", server_bytes(count, seed), "bytes a server", f"module, {sizes}")
    pool = asyncio.run(pool_bytes(count, seed))
    yield Slope(f"{prefix}.pool", pool, "bytes a server", f"pool without connections, {sizes}")
    yield Slope(f"{prefix}.customer", customer_bytes(count, seed), "bytes a customer", f"customers, {sizes}")
    yield Slope(
        f"{prefix}.bucket", bucket_bytes(count, seed), "bytes a customer", f"buckets at their owner, {sizes}"
    )
    yield Slope(
        f"{prefix}.given",
        quota_answer_bytes(count, seed),
        "bytes an answer",
        f"quota answers kept, {sizes}",
    )
    description = f"sent, no connections, {PENDING_REQUESTS} to {GROWTH_FACTOR * PENDING_REQUESTS:,}"
    request = asyncio.run(request_bytes(PENDING_REQUESTS, seed))
    yield Slope(f"{prefix}.request", request, "bytes a request", description)
    description = f"delisted servers, {DELISTED_SERVERS} to {GROWTH_FACTOR * DELISTED_SERVERS:,}"
    yield Slope(f"{prefix}.departed", delisted_bytes(DELISTED_SERVERS, seed), "bytes a server", description)
    empty, entry = message_bytes()
    yield Slope("message.bytes.entry", entry, "bytes an entry", f"0 to {QuotaCodec.MAX_ENTRIES} entries")
    yield Slope("message.bytes.head", empty, "bytes a message", "without an entry")


def measure(small: bool, seed: int) -> Iterator[Slope]:
    """Measure what one more entry of each kind of state costs a gateway."""
    yield from memory_slopes(small, seed)
    yield from processor_slopes(small, seed)
