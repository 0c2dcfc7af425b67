"""What one gateway needs with 200 and with 3,200 table servers, the rest being the same. Run by hand.

    python tests/fleet_needs.py

prints what the operators' table bounds, beside the bound, and ends with 1 where one is passed.
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
from discoverykit import ENTRY, Agent
from netkit import CUSTOMER, HOST, ID, Wire, command, configuration, options, served
from processkit import ROOT, free_port, serving

USUAL, LARGE = 200, 3200
RATE, SECONDS = 50.0, 20.0  # requests each second, and for how long
WORK = 0.05  # s of a request in the mean
TICKS = os.sysconf("SC_CLK_TCK")


@dataclass
class Needs:
    """What a gateway took for a play."""

    cpu: float = 0.0  # s
    memory: float = 0.0  # MB at the most
    descriptors: int = 0  # at the most
    connections: int = 0  # made to table servers
    list_bytes: int = 0
    served: int = 0

    def bounds(self, servers: int) -> Needs:
        """What so many servers may take, where this is what the usual number took."""
        thousands = servers / 1000
        return Needs(
            1.4 * self.cpu + 0.02 + 0.12 * thousands,
            1.5 * self.memory + 8 + 4 * thousands,
            2 * self.descriptors + 40,
            int(2.5 * self.connections + 40),
            int(2 * self.list_bytes + 64_000 + 500_000 * thousands),
            int(0.85 * self.served),
        )


class Fleet:
    """Table servers in this process, and a discovery that tells of them."""

    def __init__(self, count: int) -> None:
        self.count, self.made, self.rng = count, 0, random.Random(1)

    async def listen(self) -> list[dict]:
        entries = []
        for i in range(self.count):
            listener = await asyncio.start_server(self.serve, HOST, 0)
            dial = "{}:{}".format(*listener.sockets[0].getsockname())
            entries.append(ENTRY | {"host": f"s-{i:08x}", "dial": dial, "class": "m2", "born_ms": 0})
        return entries

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.made += 1
        wire = Wire(reader, writer)
        with suppress(EOFError, ConnectionError, TimeoutError):
            while True:
                words = await wire.read()
                await asyncio.sleep(self.rng.expovariate(1 / WORK))
                wire.write(served(words[2]))


async def play(servers: int) -> Needs:
    fleet, needs = Fleet(servers), Needs()
    entries = await fleet.listen()
    agent = Agent(entries)
    settings = options()
    settings["contracts"][0] |= {"refill": 10**4, "burst": 10**5}
    limits = {"cores": 1.0, "memory_mb": 192, "sockets": 1024}
    discovery, port = await agent.listen(), free_port()
    where = {"listen": f"{HOST}:{port}", "discovery": discovery, "known": None}
    config = configuration(settings=settings, limits=limits, **where)
    with tempfile.TemporaryDirectory() as folder:
        async with serving(Path(folder) / "config.json", config) as process:
            asking, rng, began = [], random.Random(1), time.monotonic()
            while time.monotonic() < began + SECONDS:
                asking.append(asyncio.create_task(ask(port, len(asking), needs)))
                await asyncio.sleep(rng.expovariate(RATE))
                needs.descriptors = max(needs.descriptors, len(os.listdir(f"/proc/{process.pid}/fd")))
            await asyncio.gather(*asking)
            stat = Path(f"/proc/{process.pid}/stat").read_text().rsplit(")", 1)[1].split()
            needs.cpu = (int(stat[11]) + int(stat[12])) / TICKS
            status = Path(f"/proc/{process.pid}/status").read_text()
            needs.memory = int(status.split("VmHWM:")[1].split()[0]) / 1024
    needs.connections, needs.list_bytes = fleet.made, agent.sent
    return needs


async def ask(port: int, number: int, needs: Needs) -> None:
    """One request of a customer of its own, on a connection of its own."""
    client = Wire(*await asyncio.open_connection(HOST, port))
    client.write(command().replace(ID, b"%016x" % number).replace(CUSTOMER, b"%016x" % number))
    answer = await client.read()
    needs.served += isinstance(answer, bytes)
    client.writer.close()


async def main() -> int:
    resource.setrlimit(resource.RLIMIT_NOFILE, (resource.getrlimit(resource.RLIMIT_NOFILE)[1],) * 2)
    usual = await play(USUAL)
    large, most = await play(LARGE), usual.bounds(LARGE)
    passed = 0
    for name in vars(usual):
        values = [getattr(each, name) for each in (usual, large, most)]
        fault = values[1] < values[2] if name == "served" else values[1] > values[2]
        passed += fault
        print(f"{name}: {values[0]:.5g} -> {values[1]:.5g}, bound {values[2]:.5g}{' PASSED' * fault}")
    return int(passed > 0)


if __name__ == "__main__":
    os.chdir(ROOT)
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        sys.exit(runner.run(main()))
