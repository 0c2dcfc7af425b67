"""Compares the resources that a gateway uses with 200 and with 3,200 table servers. Run by hand.

    python tests/fleet_needs.py

Prints each resource with the operators' bound; the exit code is 1 if a bound is violated.
"""

from __future__ import annotations

import asyncio
import os
import random
import resource
import sys
import tempfile
import time
from contextlib import suppress
from dataclasses import dataclass
from pathlib import Path

import uvloop
from discoverykit import SERVER_ENTRY, FakeDiscovery
from netkit import (
    CUSTOMER_ID,
    HOST,
    REQUEST_ID,
    RespConnection,
    pack_request,
    raw_config,
    raw_settings,
    success_reply,
)
from processkit import ROOT, free_port, running_gateway

BASELINE_SERVERS = 200
LARGE_SERVERS = 3200
REQUEST_RATE = 50.0  # per second
DURATION = 20.0  # seconds
MEAN_SERVICE_TIME = 0.05  # seconds
CLOCK_TICKS = os.sysconf("SC_CLK_TCK")  # per second of processor time


@dataclass
class ResourceUsage:
    """What a gateway used during a run."""

    cpu: float = 0.0  # seconds
    memory: float = 0.0  # MiB, peak
    descriptors: int = 0  # peak
    connections: int = 0  # made to table servers
    list_bytes: int = 0  # of server lists received
    served: int = 0  # requests

    def bounds(self, servers: int) -> ResourceUsage:
        """Return the operators' bounds for this many servers, where this is the baseline's usage.

        `served` has a lower bound, the others upper ones.
        """
        thousands = servers / 1000
        return ResourceUsage(
            1.4 * self.cpu + 0.02 + 0.12 * thousands,
            1.5 * self.memory + 8 + 4 * thousands,
            2 * self.descriptors + 40,
            int(2.5 * self.connections + 40),
            int(2 * self.list_bytes + 64_000 + 500_000 * thousands),
            int(0.85 * self.served),
        )


class TableServers:
    """Table servers in this process, with exponentially distributed service times."""

    def __init__(self, count: int) -> None:
        self.count, self.connections_made, self.rng = count, 0, random.Random(1)

    async def listen(self) -> list[dict]:
        """Start the servers and return their discovery entries."""
        entries = []
        for i in range(self.count):
            listener = await asyncio.start_server(self.serve, HOST, 0)
            address = "{}:{}".format(*listener.sockets[0].getsockname())
            entries.append(
                SERVER_ENTRY | {"host": f"s-{i:08x}", "dial": address, "class": "m2", "born_ms": 0}
            )
        return entries

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections_made += 1
        connection = RespConnection(reader, writer)
        with suppress(EOFError, ConnectionError, TimeoutError):
            while True:
                words = await connection.read()
                await asyncio.sleep(self.rng.expovariate(1 / MEAN_SERVICE_TIME))
                connection.write(success_reply(words[2]))


async def measure(server_count: int) -> ResourceUsage:
    """Run a gateway with this many table servers under load and return what it used."""
    servers, usage = TableServers(server_count), ResourceUsage()
    entries = await servers.listen()
    discovery = FakeDiscovery(entries)
    settings = raw_settings()
    settings["contracts"][0] |= {"refill": 10**4, "burst": 10**5}
    limits = {"cores": 1.0, "memory_mb": 192, "sockets": 1024}
    discovery_address, port = await discovery.listen(), free_port()
    addresses = {"listen": f"{HOST}:{port}", "discovery": discovery_address, "known": None}
    config = raw_config(settings=settings, limits=limits, **addresses)
    with tempfile.TemporaryDirectory() as folder:
        async with running_gateway(Path(folder) / "config.json", config) as process:
            requests, rng, started_at = [], random.Random(1), time.monotonic()
            while time.monotonic() < started_at + DURATION:
                requests.append(asyncio.create_task(send_request(port, len(requests), usage)))
                await asyncio.sleep(rng.expovariate(REQUEST_RATE))
                usage.descriptors = max(usage.descriptors, len(os.listdir(f"/proc/{process.pid}/fd")))
            await asyncio.gather(*requests)
            stat = Path(f"/proc/{process.pid}/stat").read_text().rsplit(")", 1)[1].split()
            usage.cpu = (int(stat[11]) + int(stat[12])) / CLOCK_TICKS
            status = Path(f"/proc/{process.pid}/status").read_text()
            usage.memory = int(status.split("VmHWM:")[1].split()[0]) / 1024
    usage.connections, usage.list_bytes = servers.connections_made, discovery.bytes_sent
    return usage


async def send_request(port: int, number: int, usage: ResourceUsage) -> None:
    """Send one request of a separate customer on a new connection, and count it if it is served."""
    client = RespConnection(*await asyncio.open_connection(HOST, port))
    client.write(
        pack_request().replace(REQUEST_ID, b"%016x" % number).replace(CUSTOMER_ID, b"%016x" % number)
    )
    answer = await client.read()
    usage.served += isinstance(answer, bytes)
    client.writer.close()


async def main() -> int:
    resource.setrlimit(resource.RLIMIT_NOFILE, (resource.getrlimit(resource.RLIMIT_NOFILE)[1],) * 2)
    baseline = await measure(BASELINE_SERVERS)
    large, bounds = await measure(LARGE_SERVERS), baseline.bounds(LARGE_SERVERS)
    violations = 0
    for name in vars(baseline):
        values = [getattr(usage, name) for usage in (baseline, large, bounds)]
        violated = values[1] < values[2] if name == "served" else values[1] > values[2]
        violations += violated
        print(f"{name}: {values[0]:.5g} -> {values[1]:.5g}, bound {values[2]:.5g}{' VIOLATED' * violated}")
    return int(violations > 0)


if __name__ == "__main__":
    os.chdir(ROOT)
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        sys.exit(runner.run(main()))
