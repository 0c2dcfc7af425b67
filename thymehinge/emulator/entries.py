"""What one more entry of each kind of state costs one gateway: bytes, and processor time.

Bytes are those that tracemalloc counts between two sizes, divided by the entries between them: they depend on
the version of Python alone. Processor time is the module's, in units of one request at 20 servers.
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
from thymehinge.net.discovery import HostList, read_list
from thymehinge.net.driver import Driver
from thymehinge.net.exchange import READ_COMMAND, AcceptedValues, Exchange
from thymehinge.net.servers import Servers

FEW, MANY = 20, 2_000  # servers or customers; the first is the small fleet whose request is the unit
FLEETS = (20_000, 200_000)  # servers of the fleets that are timed in full alone: the last takes 0.5 GB
CROWD = 50_000  # customers of the longest beat, in full alone
GROWTH = 4  # times between two sizes in bytes: a power of two, so that hash tables are as full at both
SIZES = {True: 500, False: 4_000}  # entries at the smaller size, at small sizes or in full
KEPT = 250  # servers kept aside at the smaller size: the module keeps 1,024 at most
HAND = 250  # requests in hand at the smaller size: each needs a server, and looks at all of them
ROUNDS = 40  # each times everything once; the median of their ratios is taken
REQUESTS = 40  # requests, or asks, that are timed together: some ms, long against the clock's grain
ANSWER = 0.01  # s from a request to its answer; the next request comes then, so 100 each second
QUICK = 1e-5  # s of the same where many customers come before the first is forgotten
NOTE_GAP = 0.001  # s between two asks
ASK_WAIT = 60.0  # s that an ask may wait: its answer is known for longer than the measuring's own clock runs
GATEWAYS = 200  # of the tier whose asks a home answers
CUSTOMERS = 200  # that requests and asks come from, in turn
NOW = 1_000.0  # s on the measuring's own clock at its start
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
PLAN = api.Plan(
    "club", rate=100.0, burst=400.0, overage_value=0.3
)  # so wide that no request waits for tokens
ALONE = api.Settings(CLASSES, (PLAN,), slow_start_capacity=0.2, slow_start_duration=10.0)
FREE = api.Settings(CLASSES, (api.Plan("club"),))  # without quotas
HOME = api.Settings(  # what a peer takes in does not bound it: each answer goes out by itself
    CLASSES, (PLAN,), gateway_count=GATEWAYS, peers_enabled=True, peer_messages_per_s=1e6
)

Grow = Callable[[int, int], object]  # adds the entries from one number up to another
Work = tuple[Callable[[], object], int]  # what is timed, and how often in a row


def host_entries(count: int, rng: random.Random, first: int = 0) -> list[dict[str, Any]]:
    """Entries of a list as discovery writes them, each address its own and all as long.

    They are read from JSON, so that each entry holds its own strings.
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
    """A list with that many servers, which have been up for long."""
    return read_list({"seq": 1, "whole": True, "hosts": host_entries(count, rng, first)})


# Bytes.


def bytes_each(grow: Grow, few: int) -> float:
    """Bytes that stay allocated for an entry, between `few` entries and GROWTH times as many."""
    tracemalloc.start()
    try:
        grow(0, few)
        gc.collect()  # also empties the free lists, which count as allocated
        before, _ = tracemalloc.get_traced_memory()
        grow(few, GROWTH * few)
        gc.collect()
        after, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    return (after - before) / ((GROWTH - 1) * few)


class Clock:
    """Gives a later time at each call, by a microsecond, as an object of its own."""

    def __init__(self) -> None:
        self.now = NOW

    def __call__(self) -> float:
        self.now += 1e-6
        return self.now


def customer_key(number: int, rng: random.Random) -> int:
    """A customer's key, of 33 bits as all keys."""
    return 1 << 32 | number << 16 | rng.getrandbits(16)


def server_bytes(few: int, seed: int) -> float:
    """Bytes for a server not sent to yet: TrackedServer, Server, its place in `ServerFleet.servers`."""
    rng, gateway = random.Random(seed), Gateway(ALONE, seed, NOW)

    def grow(first: int, last: int) -> None:
        gateway.handle(NOW, api.ServerList(ListKind.DELTA, 1, host_list(last - first, rng, first).servers))

    return bytes_each(grow, few)


async def pool_bytes(few: int, seed: int) -> float:
    """Bytes for a server at the sockets: Pool, its address, and its place in `Servers.pools`."""
    rng, clock, gateway = random.Random(seed), Clock(), Gateway(ALONE, seed, NOW)
    servers = Servers(15.0, 0.25, 1024, clock, lambda when, what: None, lambda *end: None)

    def grow(first: int, last: int) -> None:
        hosts = host_list(last - first, rng, first)
        servers.add(hosts.servers, hosts.dials)
        gateway.handle(NOW, api.ServerList(ListKind.DELTA, 1, hosts.servers))  # owns the names, as always

    return bytes_each(grow, few) - server_bytes(few, seed)


def departed_bytes(few: int, seed: int) -> float:
    """Bytes for a server that a whole list lacked and that is kept aside for a while."""
    rng, gateway = random.Random(seed), Gateway(ALONE, seed, NOW)

    def grow(first: int, last: int) -> None:
        gateway.handle(NOW, api.ServerList(ListKind.SNAPSHOT, 1, host_list(last - first, rng, first).servers))
        gateway.handle(NOW, api.ServerList(ListKind.SNAPSHOT, 2))

    return bytes_each(grow, few)


def customer_bytes(few: int, seed: int) -> float:
    """Bytes for a customer that has sent a request, answered by now, with its SlotPool."""
    rng = random.Random(seed)
    load = Load(host_list(FEW, rng), seed)

    def grow(first: int, last: int) -> None:
        for i in range(first, last):
            load.request(customer_key(i, rng), QUICK)
        load.settle()

    return bytes_each(grow, few)


def bucket_bytes(few: int, seed: int) -> float:
    """Bytes for a customer whose home this gateway is, with its SlotPool, once units were granted."""
    rng, clock, gateway = random.Random(seed), Clock(), Gateway(HOME, seed, NOW)

    def grow(first: int, last: int) -> None:
        for i in range(first, last):
            bucket = gateway.owned_quota(clock(), customer_key(i, rng), PLAN, 1.0)
            bucket.draw(clock(), 1.0, 0.0)

    return bytes_each(grow, few)


def given_bytes(few: int, seed: int) -> float:
    """Bytes for an answer that a home knows again; its customers' buckets are there before."""
    home = Home(seed)

    def grow(first: int, last: int) -> None:
        for _ in range(first, last):
            home.ask(ASK_WAIT)

    return bytes_each(grow, few)


async def request_bytes(few: int, seed: int) -> float:
    """Bytes for a request in hand at the driver, sent to a server and not answered.

    Its command, Exchange, Job, the attempt at the module and at the sockets, and what waits in
    `Gateway.timers` and `Driver.due`. Its customer is known before; its two connections are left out.
    """
    rng, clock = random.Random(seed), Clock()
    config = Config(
        "", ("", 0), "", seed, 1024, 2**28, None, (), None, host_list(2 * GROWTH * few, rng), 15.0, 0.25, FREE
    )
    driver, known = Driver(config, clock), AcceptedValues(FREE)
    driver.servers.start = lambda attempt: None
    client = SimpleNamespace()  # nothing is written to it while all are in hand

    def grow(first: int, last: int) -> None:
        for i in range(first, last):
            words = [bytes(bytearray(READ_COMMAND)), b"%016x" % 7, b"%016x" % rng.getrandbits(64)]
            exchange = Exchange([*words, b"c=table-view,t=club,d=%d" % (900 + i % 100)], known)
            exchange.connection, exchange.received_at = client, driver.clock()
            driver.on_request(exchange)

    found, sent = bytes_each(grow, few), sum(len(e.attempts) for e in driver.exchanges.values())
    if sent != GROWTH * few:
        raise RuntimeError(f"{sent} of {GROWTH * few} requests were sent: these are no requests in hand")
    return found


def message_bytes() -> tuple[int, float]:
    """Bytes of a message between gateways without any entry, and for an entry."""
    entry = QuotaCodec.pack_entry(QuotaCodec.REQUEST, 1, 7, 0, 1.0, 0.3, 1.0)
    head, full = (len(QuotaCodec.encode(1.0, [entry] * count)) for count in (0, QuotaCodec.MAX_ENTRIES))
    return head, (full - head) / QuotaCodec.MAX_ENTRIES


# Processor time.


class Load:
    """A gateway without peers that serves one request after the other, its timers coming due meanwhile.

    What it does once a second is left out: that has slopes of its own.
    """

    def __init__(self, hosts: HostList, seed: int) -> None:
        self.now, self.number, self.timer = NOW, 0, (math.inf, 0)
        self.gateway = Gateway(ALONE, seed, NOW)
        self.gateway.next_control_at = math.inf
        self.give(api.ServerList(ListKind.SNAPSHOT, 1, hosts.servers))

    def give(self, event: api.Event) -> list[api.Action]:
        actions = self.gateway.handle(self.now, event)
        for action in actions:
            if isinstance(action, api.SetTimer):
                self.timer = action.due_at, action.tag
        return actions

    def request(self, customer: int | None = None, answer: float = ANSWER) -> None:
        """One request, sent, and answered well after so many seconds; customers take turns unless told."""
        self.number += 1
        customer = self.number % CUSTOMERS if customer is None else customer
        name = CLASSES[self.number % len(CLASSES)].name
        sent = self.give(api.Request(self.number, 1.0, name, PLAN.name, customer))
        server = next(action.server for action in sent if isinstance(action, api.Send))
        self.now += answer
        if self.timer[0] <= self.now:
            self.give(api.TimerDue(self.timer[1]))
        self.give(
            api.Outcome(self.number, 0, server, api.Result.OK, answer, True, load_report={"queue": 1.0})
        )

    def settle(self) -> None:
        """Let time pass until nothing waits but the beat, and the second's work is done once."""
        while len(self.gateway.timers) > 1:
            self.now += ANSWER
            self.give(api.TimerDue(self.timer[1]))
        self.gateway.run_controller(self.now)


class Home:
    """A gateway that answers other gateways' asks, one in a message."""

    def __init__(self, seed: int) -> None:
        self.now, self.number, self.gateway = NOW, 0, Gateway(HOME, seed, NOW)
        self.gateway.next_control_at = math.inf
        for key in range(CUSTOMERS):
            self.gateway.owned_quota(NOW, key, PLAN, 1.0)

    def ask(self, wait: float) -> None:
        """One ask, whose answer goes out with the next event."""
        self.now, self.number = self.now + NOTE_GAP, self.number + 1
        tag, sender = divmod(self.number, GATEWAYS - 1)
        entry = QuotaCodec.pack_entry(QuotaCodec.REQUEST, tag, self.number % CUSTOMERS, 0, 1.0, wait, 1.0)
        self.gateway.handle(self.now, api.PeerMessage(sender + 1, QuotaCodec.encode(4.0, [entry])))


def seconds_each(work: Work) -> float:
    """Processor time of one go, in seconds, over all that are timed in a row."""
    act, times = work
    began = time.process_time()
    for _ in range(times):
        act()
    return (time.process_time() - began) / times


def with_servers(hosts: HostList, seed: int) -> Gateway:
    """A gateway with these servers, each of which has answered."""
    gateway, rng = Gateway(ALONE, seed, NOW), random.Random(seed)
    gateway.handle(NOW, api.ServerList(ListKind.SNAPSHOT, 1, hosts.servers))
    for backend in gateway.fleet.servers.values():
        backend.unit_latency = rng.uniform(0.01, 0.02)
    return gateway


def with_customers(count: int, seed: int) -> Gateway:
    """A gateway with so many customers, each of which has just sent a request."""
    gateway = Gateway(ALONE, seed, NOW)
    for key in range(count):
        request = api.Request(key, 1.0, CLASSES[0].name, PLAN.name, key)
        gateway.find_quota(NOW, request).demand = 1.0
    return gateway


def works(small: bool, seed: int) -> dict[str, Work]:
    """All that is timed, by name; where it grows with a size, the size ends the name."""
    rng, found = random.Random(seed), {}
    for size in (FEW, MANY):
        entries = host_entries(size, rng)
        raw = {"seq": 1, "whole": True, "hosts": entries}
        hosts, gateway = read_list(raw), Gateway(ALONE, seed, NOW)
        whole, change = (
            api.ServerList(kind, 2, servers)
            for kind, servers in ((ListKind.SNAPSHOT, hosts.servers), (ListKind.DELTA, hosts.servers[:1]))
        )
        gateway.handle(NOW, whole)
        often = MANY // size  # as long for few entries as for many
        found |= {
            f"request {size}": (Load(hosts, seed).request, REQUESTS),
            f"servers {size}": (partial(with_servers(hosts, seed).run_controller, NOW), often),
            f"customers {size}": (partial(with_customers(size, seed).run_controller, NOW), often),
            f"list {size}": (partial(gateway.handle, NOW, whole), often),
            f"change {size}": (partial(gateway.handle, NOW, change), 5 * REQUESTS),
            f"read {size}": (partial(read_list, raw), often),
        }
    found["ask"] = partial(Home(seed).ask, 0.0), REQUESTS
    if not small:
        for size in FLEETS:
            found[f"request {size}"] = Load(host_list(size, rng), seed).request, max(1, FLEETS[0] // size * 4)
        found["crowd"] = partial(with_customers(CROWD, seed).run_controller, NOW), 1
    return found


def rounds(small: bool, seed: int) -> list[dict[str, float]]:
    """Processor time of each go, in seconds, by name, round after round.

    Within a round all are timed one after the other, so that what else the machine does weighs on all alike.
    Garbage collection is off: its cost follows from all that this process holds, not from the gateway timed.
    """
    todo = works(small, seed)
    gc.collect()
    gc.disable()
    try:
        for work in todo.values():  # the first go also fills caches, and is not counted
            seconds_each(work)
        return [{name: seconds_each(work) for name, work in todo.items()} for _ in range(ROUNDS)]
    finally:
        gc.enable()


def processor_slopes(small: bool, seed: int) -> Iterator[Slope]:
    """The slopes of processor time, and two times to know them by."""
    measured, unit = rounds(small, seed), f"request {FEW}"

    def ratio(above: Callable[[dict[str, float]], float], below: str = unit) -> float:
        return statistics.median(above(taken) / taken[below] for taken in measured)

    def each(name: str) -> float:
        """What a thousand entries cost in requests, from the cost of many less that of few."""
        part = 1_000 / (MANY - FEW)
        return ratio(lambda taken: part * (taken[f"{name} {MANY}"] - taken[f"{name} {FEW}"]))

    def times(name: str) -> float:
        return ratio(lambda taken: taken[name])

    def milliseconds(name: str) -> float:
        return statistics.median(taken[name] for taken in measured) * 1000

    over = f"{MANY:,} over {FEW} servers"
    yield Slope("gateway.cpu.servers", times(f"request {MANY}"), "times", f"request, {over}")
    for size in () if small else FLEETS:
        name, how = f"gateway.cpu.servers_{size}", f"request, {size:,} over {FEW} servers"
        yield Slope(name, times(f"request {size}"), "times", how, checked=False)
    for name, what, how in (
        ("beat_server", "servers", "run_controller()"),
        ("beat_customer", "customers", "run_controller()"),
        ("list_entry", "list", "a whole list known before"),
        ("read_entry", "read", "read_list"),
    ):
        yield Slope(f"gateway.cpu.{name}", each(what), "requests/1,000 entries", f"{how}, {FEW} to {MANY:,}")
    change = ratio(lambda taken: taken[f"change {MANY}"], f"change {FEW}")
    yield Slope("gateway.cpu.change", change, "times", f"one entry's change, {over}")
    yield Slope("gateway.cpu.ask", times("ask"), "requests an ask", "heard and answered, one in a message")
    yield Slope("time.request", milliseconds(unit), "ms", f"module, {FEW} servers", checked=False)
    if not small:
        yield Slope(
            "time.beat", milliseconds("crowd"), "ms", f"run_controller(), {CROWD:,} customers", checked=False
        )


def byte_slopes(small: bool, seed: int) -> Iterator[Slope]:
    """The slopes of bytes."""
    few, name = SIZES[small], "gateway.memory"
    between = f"{few:,} to {GROWTH * few:,}"
    yield Slope(f"{name}.server", server_bytes(few, seed), "bytes a server", f"module, {between}")
    pool = asyncio.run(pool_bytes(few, seed))
    yield Slope(f"{name}.pool", pool, "bytes a server", f"pool without connections, {between}")
    yield Slope(f"{name}.customer", customer_bytes(few, seed), "bytes a customer", f"customers, {between}")
    yield Slope(f"{name}.bucket", bucket_bytes(few, seed), "bytes a customer", f"buckets at home, {between}")
    yield Slope(f"{name}.given", given_bytes(few, seed), "bytes an answer", f"answers known again, {between}")
    how = f"sent, no connections, {HAND} to {GROWTH * HAND:,}"
    request = asyncio.run(request_bytes(HAND, seed))
    yield Slope(f"{name}.request", request, "bytes a request", how)
    how = f"servers kept aside, {KEPT} to {GROWTH * KEPT:,}"
    yield Slope(f"{name}.departed", departed_bytes(KEPT, seed), "bytes a server", how)
    head, entry = message_bytes()
    yield Slope("message.bytes.entry", entry, "bytes an entry", f"0 to {QuotaCodec.MAX_ENTRIES} entries")
    yield Slope("message.bytes.head", head, "bytes a message", "without an entry")


def measure(small: bool, seed: int) -> Iterator[Slope]:
    """What one more entry of each kind of state costs a gateway."""
    yield from byte_slopes(small, seed)
    yield from processor_slopes(small, seed)
