"""Real gateways among stand-ins: what the list of table servers costs one in memory, bytes and time."""

from __future__ import annotations

import subprocess
import sys
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from statistics import median

from thymehinge.emulator.gateway_process import LIMITS, GatewayError, GatewayProcess, Prober, ping, resident
from thymehinge.emulator.http_discovery import Counts, HostTable, HttpDiscovery
from thymehinge.emulator.slopes import Slope

FEW = 20  # table servers: the list of a small site
MB = 10**6
INTERPRETER = "import sys, asyncio, uvloop, hiredis, h11, json; print(flush=True); sys.stdin.read()"
MEMORY_MB = 192  # of a gateway with up to LARGE servers, as on the operators' days
LARGE, LARGE_MEMORY_MB = 100_000, 1024  # from so many on: an answer may have a twelfth of the memory
TAKEN_MOST = 30.0  # s that a version may take until the gateway has it
SETTLE = 0.5  # s after the start before it counts as idle: what the start left over is done
ROUNDS = 7  # of PINGs and a whole list each; their median is taken
BURST, BURSTS = 200, 15  # PINGs in one write, such writes in a round: some 20 ms of processor time
CHANGES = 60  # one after the other: over a second of them, as the gateway waits 20 ms between watches
CHANGE_RATE, LIST_RATE = 10.0, 1.0  # that come up a second under the prober
LATE = 99.0  # percent of PINGs


@dataclass(frozen=True, slots=True)
class Plan:
    """The sizes of a measurement."""

    many: int  # servers against which FEW is held
    times: tuple[int, ...]  # servers at which times are taken
    watches: int  # over which an idle gateway is counted
    probe: float  # s of PINGs; longer at LARGE, where taking in a list takes seconds
    probe_large: float = 15.0


SMALL = Plan(many=5_000, times=(FEW, 2_000, 5_000, 20_000), watches=2, probe=2.0)
FULL = Plan(many=20_000, times=(FEW, 2_000, 20_000, 200_000), watches=5, probe=10.0)


@dataclass(slots=True)
class Start:
    """A gateway's start: s until +PONG, whether it has the list by then or soon after, bytes."""

    ready: float
    has_list: bool
    list_bytes: int
    rss: int
    peak: int = 0  # after some more whole lists


@dataclass(frozen=True, slots=True)
class Cost:
    """Processor time (s) of a PING, of an entry of a whole list and of a change; bytes sent for a change."""

    ping: float
    entry: float
    change: float
    change_bytes: float


def measure(small: bool, seed: int) -> Iterator[Slope]:
    """Every slope of real gateways, from one gateway after the other."""
    plan = SMALL if small else FULL
    bare = interpreter()
    yield Slope("process.memory.interpreter", bare / MB, "MB", "RSS of Python with the libraries imported")
    starts: dict[int, Start] = {}
    costs: dict[int, Cost] = {}
    for servers in plan.times:
        memory = LARGE_MEMORY_MB if servers >= LARGE else MEMORY_MB
        with (
            HttpDiscovery(HostTable(servers, seed)) as discovery,
            GatewayProcess(discovery.address, limits=LIMITS | {"memory_mb": memory}) as gateway,
        ):
            start = starts[servers] = begin(gateway, discovery)
            if servers == FEW:
                yield from idle(gateway, discovery, start, plan.watches)
            if servers in (FEW, plan.many):
                costs[servers] = cost(gateway, discovery)
                start.peak = gateway.peak()
            yield from times(gateway, discovery, start, plan.probe_large if servers >= LARGE else plan.probe)
    yield from compare(starts, costs, plan.many)


def interpreter() -> int:
    """Bytes of RSS of an interpreter that has imported what a gateway imports, and nothing of ours."""
    pipe = subprocess.PIPE
    with subprocess.Popen([sys.executable, "-c", INTERPRETER], stdin=pipe, stdout=pipe) as process:
        try:
            if process.stdout.readline() != b"\n":
                raise GatewayError("an interpreter without the libraries: install requirements.txt")
            return resident(process.pid)
        finally:
            process.kill()


def begin(gateway: GatewayProcess, discovery: HttpDiscovery) -> Start:
    """Wait until a gateway is ready, has the list and is idle."""
    ready = gateway.ready()
    has_list = discovery.taken(discovery.table.version, TAKEN_MOST)
    time.sleep(SETTLE)
    return Start(ready, has_list, discovery.list_bytes(), gateway.rss())


def idle(gateway: GatewayProcess, discovery: HttpDiscovery, start: Start, watches: int) -> Iterator[Slope]:
    """A gateway with few servers to which nothing happens."""
    yield Slope("process.memory.bare", start.rss / MB, "MB", f"RSS, {FEW} servers, idle")
    entry_bytes = start.list_bytes / FEW
    yield Slope("discovery.bytes.entry", entry_bytes, "bytes an entry", f"body of a whole list of {FEW}")
    first = next_call(discovery, 1)
    last = next_call(discovery, watches)
    seconds = last.last_call - first.last_call
    how = f"between {watches + 1} calls"
    yield Slope("discovery.calls.second", (last.calls - first.calls) / seconds, "calls a second", how)
    moved = last.sent + last.received - first.sent - first.received
    yield Slope("discovery.bytes.idle", moved / seconds, "bytes a second", f"HTTP both ways, {how}")
    yield Slope("process.descriptors.idle", gateway.descriptors(), "descriptors", "without clients")


def next_call(discovery: HttpDiscovery, calls: int) -> Counts:
    """The counts when so many further calls have come."""
    until, end = discovery.counts.calls + calls, time.monotonic() + TAKEN_MOST
    while (counts := discovery.counts).calls < until:
        if time.monotonic() > end:
            raise GatewayError(f"{until - counts.calls} calls to discovery did not come")
        time.sleep(0.005)
    return counts


def take(discovery: HttpDiscovery, version: int) -> None:
    if not discovery.taken(version, TAKEN_MOST):
        raise GatewayError(f"version {version} of the list was not taken in within {TAKEN_MOST:g} s")


def cost(gateway: GatewayProcess, discovery: HttpDiscovery) -> Cost:
    """What PINGs, whole lists and changes take of the processor: medians, which few timers of its own meet.

    PINGs go many in one write: one by one, most of their cost is the waking, which doubles on a busy machine.
    """

    def spent(what: Callable[[], object]) -> float:
        before = gateway.cpu()
        what()
        return gateway.cpu() - before

    servers, pings, entries = len(discovery.table.names), [], []
    for _ in range(ROUNDS):
        with gateway.connect() as client:
            pings.append(spent(lambda: [ping(client, BURST) for _ in range(BURSTS)]) / (BURST * BURSTS))
        entries.append(spent(lambda: take(discovery, discovery.resend())) / servers)
    sent = discovery.counts.sent
    changes = [spent(lambda: take(discovery, discovery.change())) for _ in range(CHANGES)]
    sent = discovery.counts.sent - sent
    return Cost(median(pings), median(entries), median(changes), sent / CHANGES)


def times(gateway: GatewayProcess, discovery: HttpDiscovery, start: Start, seconds: float) -> Iterator[Slope]:
    """The start and the waits for PING, which tell of the machine as well."""
    servers, failed = len(discovery.table.names), gateway.failures()
    how = f"list {start.list_bytes / MB:.3f} MB, RSS {start.rss / MB:.0f} MB"
    how += "" if start.has_list else f", WITHOUT THE LIST after {TAKEN_MOST:g} s"
    yield Slope(f"time.ready.{servers}", start.ready, "s", how + told(failed), checked=False)
    prober, before = Prober(gateway), discovery.counts
    with discovery.changing(CHANGE_RATE, LIST_RATE):
        prober.run(seconds)
    counts, failed = discovery.counts, gateway.failures()[len(failed) :]
    how = f"{counts.entries - before.entries:,} entries in {counts.calls - before.calls} answers"
    how += f", peak RSS {gateway.peak() / MB:.0f} MB{told(failed)}"
    yield Slope(f"time.ping_p99.{servers}", prober.percentile(LATE), "ms", how, checked=False)
    yield Slope(f"time.ping_max.{servers}", prober.percentile(100.0), "ms", how, checked=False)


def told(failed: list[str]) -> str:
    """Which calls to discovery failed: a list that could not be read is news."""
    return f", {len(failed)} CALLS FAILED, the last: {failed[-1]}" if failed else ""


def compare(starts: dict[int, Start], costs: dict[int, Cost], many: int) -> Iterator[Slope]:
    """What one more server costs, and how a change's cost grows with them."""
    few, most, further = starts[FEW], starts[many], many - FEW
    how = f"between {FEW} and {many:,} servers"
    yield Slope("process.memory.server", (most.rss - few.rss) / further, "bytes a server", f"RSS, {how}")
    peak = (most.peak - few.peak) / further
    more = f"VmHWM after {ROUNDS} more whole lists, {how}"
    yield Slope("process.memory.server_peak", peak, "bytes a server", more)
    one, other = costs[FEW], costs[many]
    how_change = f"answers, heads included, to {CHANGES} changes at {FEW}"
    yield Slope("discovery.bytes.change", one.change_bytes, "bytes a change", how_change)
    how_entry = f"{other.entry * 1e6:.1f} us in {many:,} taken in again, over a PING, {BURST} in one write"
    yield Slope("process.cpu.entry", other.entry / other.ping, "PINGs an entry", how_entry)
    figures = f"median change: {other.change * 1e3:.2f} over {one.change * 1e3:.2f} ms, {how}"
    yield Slope("process.cpu.change", other.change / one.change, "times", figures)
