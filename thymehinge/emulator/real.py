"""Slopes of real gateway processes: what the server list costs in memory, bytes and processor time."""

from __future__ import annotations

import subprocess
import sys
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from statistics import median

from thymehinge.emulator.gateway_process import (
    DEFAULT_LIMITS,
    GatewayError,
    GatewayProcess,
    Prober,
    ping,
    process_memory,
)
from thymehinge.emulator.http_discovery import Counts, HostTable, HttpDiscovery
from thymehinge.emulator.slopes import Slope

SHORT_LIST = 20  # table servers
MB = 10**6
INTERPRETER_SCRIPT = "import sys, asyncio, uvloop, hiredis, h11, json; print(flush=True); sys.stdin.read()"
MEMORY_MB = 192  # limit of a gateway with fewer than LARGE_LIST servers
LARGE_LIST = 100_000  # servers
LARGE_LIST_MEMORY_MB = 1024  # discovery responses are limited to a twelfth of the memory
ACKNOWLEDGE_TIMEOUT = 30.0  # seconds for the gateway to apply a version of the list
SETTLE_TIME = 0.5  # seconds from the first list until the gateway is idle
ROUNDS = 7  # of PINGs and a snapshot each
PINGS_PER_WRITE = 200
WRITES_PER_ROUND = 15
CHANGE_COUNT = 60  # applied one at a time, over more than 1 s: the gateway waits 20 ms between watches
CHANGE_RATE = 10.0  # changes/s while the prober runs
SNAPSHOT_RATE = 1.0  # snapshots/s while the prober runs
TAIL_PERCENTILE = 99.0  # of the PING latencies


@dataclass(frozen=True, slots=True)
class Sizes:
    """Sizes and durations of the measurements."""

    long_list: int  # servers, compared with SHORT_LIST
    list_sizes: tuple[int, ...]  # servers, at which times are measured
    idle_watches: int  # over which the traffic of an idle gateway is counted
    probe_time: float  # seconds
    large_list_probe_time: float = 15.0  # seconds; a gateway takes seconds to apply such a list


SMALL_SIZES = Sizes(
    long_list=5_000,
    list_sizes=(SHORT_LIST, 2_000, 5_000, 20_000),
    idle_watches=2,
    probe_time=2.0,
)
FULL_SIZES = Sizes(
    long_list=20_000,
    list_sizes=(SHORT_LIST, 2_000, 20_000, 200_000),
    idle_watches=5,
    probe_time=10.0,
)


@dataclass(slots=True)
class StartResult:
    """Measurements of a gateway's start."""

    ready_time: float  # seconds until +PONG
    has_list: bool  # whether the gateway applied the list within ACKNOWLEDGE_TIMEOUT
    snapshot_bytes: int
    rss: int  # bytes
    peak_rss: int = 0  # bytes, after some more snapshots


@dataclass(frozen=True, slots=True)
class Cost:
    """Processor time of a gateway, in seconds, and the traffic of discovery."""

    ping_time: float
    entry_time: float  # for each entry of a snapshot
    change_time: float
    change_bytes: float  # that discovery sends


def measure(small: bool, seed: int) -> Iterator[Slope]:
    """Measure all slopes of real gateways, one gateway after the other."""
    sizes = SMALL_SIZES if small else FULL_SIZES
    interpreter_rss = interpreter_memory()
    yield Slope(
        "process.memory.interpreter", interpreter_rss / MB, "MB", "RSS of Python with the libraries imported"
    )
    starts: dict[int, StartResult] = {}
    costs: dict[int, Cost] = {}
    for servers in sizes.list_sizes:
        memory_mb = LARGE_LIST_MEMORY_MB if servers >= LARGE_LIST else MEMORY_MB
        with (
            HttpDiscovery(HostTable(servers, seed)) as discovery,
            GatewayProcess(discovery.address, limits=DEFAULT_LIMITS | {"memory_mb": memory_mb}) as gateway,
        ):
            start = starts[servers] = wait_until_idle(gateway, discovery)
            if servers == SHORT_LIST:
                yield from idle_slopes(gateway, discovery, start, sizes.idle_watches)
            if servers in (SHORT_LIST, sizes.long_list):
                costs[servers] = measure_cost(gateway, discovery)
                start.peak_rss = gateway.peak_rss()
            yield from time_slopes(
                gateway,
                discovery,
                start,
                sizes.large_list_probe_time if servers >= LARGE_LIST else sizes.probe_time,
            )
    yield from growth_slopes(starts, costs, sizes.long_list)


def interpreter_memory() -> int:
    """Return the RSS in bytes of an interpreter that has imported only the libraries that a gateway uses."""
    pipe = subprocess.PIPE
    with subprocess.Popen([sys.executable, "-c", INTERPRETER_SCRIPT], stdin=pipe, stdout=pipe) as process:
        try:
            if process.stdout.readline() != b"\n":
                raise GatewayError("libraries are missing: install requirements.txt")
            return process_memory(process.pid)
        finally:
            process.kill()


def wait_until_idle(gateway: GatewayProcess, discovery: HttpDiscovery) -> StartResult:
    """Wait until a gateway is ready, has applied the list and is idle; return what was measured."""
    ready_time = gateway.wait_ready()
    has_list = discovery.wait_acknowledged(discovery.table.version, ACKNOWLEDGE_TIMEOUT)
    time.sleep(SETTLE_TIME)
    return StartResult(ready_time, has_list, discovery.snapshot_bytes(), gateway.rss())


def idle_slopes(
    gateway: GatewayProcess, discovery: HttpDiscovery, start: StartResult, watches: int
) -> Iterator[Slope]:
    """Measure memory, descriptors and discovery traffic of an idle gateway, at SHORT_LIST servers."""
    yield Slope("process.memory.bare", start.rss / MB, "MB", f"RSS, {SHORT_LIST} servers, idle")
    entry_bytes = start.snapshot_bytes / SHORT_LIST
    yield Slope(
        "discovery.bytes.entry", entry_bytes, "bytes an entry", f"body of a whole list of {SHORT_LIST}"
    )
    first = wait_for_calls(discovery, 1)
    last = wait_for_calls(discovery, watches)
    seconds = last.last_call_at - first.last_call_at
    conditions = f"between {watches + 1} calls"
    yield Slope("discovery.calls.second", (last.calls - first.calls) / seconds, "calls a second", conditions)
    transferred = last.bytes_sent + last.bytes_received - first.bytes_sent - first.bytes_received
    yield Slope(
        "discovery.bytes.idle", transferred / seconds, "bytes a second", f"HTTP both ways, {conditions}"
    )
    yield Slope("process.descriptors.idle", gateway.descriptor_count(), "descriptors", "without clients")


def wait_for_calls(discovery: HttpDiscovery, calls: int) -> Counts:
    """Wait for `calls` more calls and return the counts; raise GatewayError after ACKNOWLEDGE_TIMEOUT."""
    target, deadline = discovery.counts.calls + calls, time.monotonic() + ACKNOWLEDGE_TIMEOUT
    while (counts := discovery.counts).calls < target:
        if time.monotonic() > deadline:
            raise GatewayError(f"{target - counts.calls} expected calls to discovery did not arrive")
        time.sleep(0.005)
    return counts


def wait_for_version(discovery: HttpDiscovery, version: int) -> None:
    """Wait until the gateway has applied a version; raise GatewayError after ACKNOWLEDGE_TIMEOUT."""
    if not discovery.wait_acknowledged(version, ACKNOWLEDGE_TIMEOUT):
        raise GatewayError(
            f"gateway did not apply version {version} of the list within {ACKNOWLEDGE_TIMEOUT:g} s"
        )


def measure_cost(gateway: GatewayProcess, discovery: HttpDiscovery) -> Cost:
    """Measure the processor time of PINGs, snapshots and changes.

    Medians exclude the gateway's own timers. PINGs are sent many per write: the cost of a single one is
    mostly the wake-up of the process, which depends on the load of the machine.
    """

    def cpu_time_of(action: Callable[[], object]) -> float:
        before = gateway.cpu_time()
        action()
        return gateway.cpu_time() - before

    servers, pings, entries = len(discovery.table.names), [], []
    for _ in range(ROUNDS):
        with gateway.connect() as client:
            pings.append(
                cpu_time_of(lambda: [ping(client, PINGS_PER_WRITE) for _ in range(WRITES_PER_ROUND)])
                / (PINGS_PER_WRITE * WRITES_PER_ROUND)
            )
        entries.append(cpu_time_of(lambda: wait_for_version(discovery, discovery.send_snapshot())) / servers)
    bytes_sent = discovery.counts.bytes_sent
    changes = [
        cpu_time_of(lambda: wait_for_version(discovery, discovery.apply_changes()))
        for _ in range(CHANGE_COUNT)
    ]
    bytes_sent = discovery.counts.bytes_sent - bytes_sent
    return Cost(median(pings), median(entries), median(changes), bytes_sent / CHANGE_COUNT)


def time_slopes(
    gateway: GatewayProcess, discovery: HttpDiscovery, start: StartResult, seconds: float
) -> Iterator[Slope]:
    """Measure start-up time, and PING latencies while the list changes; both depend on the machine too."""
    servers, warnings = len(discovery.table.names), gateway.discovery_warnings()
    description = f"list {start.snapshot_bytes / MB:.3f} MB, RSS {start.rss / MB:.0f} MB"
    description += "" if start.has_list else f", WITHOUT THE LIST after {ACKNOWLEDGE_TIMEOUT:g} s"
    yield Slope(
        f"time.ready.{servers}",
        start.ready_time,
        "s",
        description + describe_warnings(warnings),
        checked=False,
    )
    prober, before = Prober(gateway), discovery.counts
    with discovery.background_updates(CHANGE_RATE, SNAPSHOT_RATE):
        prober.run(seconds)
    counts, warnings = discovery.counts, gateway.discovery_warnings()[len(warnings) :]
    description = (
        f"{counts.entries_sent - before.entries_sent:,} entries in {counts.calls - before.calls} answers"
    )
    description += f", peak RSS {gateway.peak_rss() / MB:.0f} MB{describe_warnings(warnings)}"
    yield Slope(
        f"time.ping_p99.{servers}", prober.percentile(TAIL_PERCENTILE), "ms", description, checked=False
    )
    yield Slope(f"time.ping_max.{servers}", prober.percentile(100.0), "ms", description, checked=False)


def describe_warnings(warnings: list[str]) -> str:
    """Return the part of a slope's description about failed calls to discovery, empty if there are none."""
    return f", {len(warnings)} CALLS FAILED, the last: {warnings[-1]}" if warnings else ""


def growth_slopes(starts: dict[int, StartResult], costs: dict[int, Cost], long_list: int) -> Iterator[Slope]:
    """Measure memory and processor time of one more server, and how a change's cost grows with the list."""
    short_start, long_start, added_servers = starts[SHORT_LIST], starts[long_list], long_list - SHORT_LIST
    conditions = f"between {SHORT_LIST} and {long_list:,} servers"
    yield Slope(
        "process.memory.server",
        (long_start.rss - short_start.rss) / added_servers,
        "bytes a server",
        f"RSS, {conditions}",
    )
    peak = (long_start.peak_rss - short_start.peak_rss) / added_servers
    peak_conditions = f"VmHWM after {ROUNDS} more whole lists, {conditions}"
    yield Slope("process.memory.server_peak", peak, "bytes a server", peak_conditions)
    short_cost, long_cost = costs[SHORT_LIST], costs[long_list]
    change_conditions = f"answers, heads included, to {CHANGE_COUNT} changes at {SHORT_LIST}"
    yield Slope("discovery.bytes.change", short_cost.change_bytes, "bytes a change", change_conditions)
    entry_conditions = (
        f"{long_cost.entry_time * 1e6:.1f} us in {long_list:,} applied again, over a PING, "
        f"{PINGS_PER_WRITE} in one write"
    )
    yield Slope(
        "process.cpu.entry", long_cost.entry_time / long_cost.ping_time, "PINGs an entry", entry_conditions
    )
    description = (
        f"median change: {long_cost.change_time * 1e3:.2f} over {short_cost.change_time * 1e3:.2f} ms, "
        f"{conditions}"
    )
    yield Slope("process.cpu.change", long_cost.change_time / short_cost.change_time, "times", description)
