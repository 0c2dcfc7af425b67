"""New configurations in quick succession keep the gateway from learning of a drain from a slow discovery."""

from __future__ import annotations

import asyncio
import signal
import sys
import time
from contextlib import suppress
from itertools import count, pairwise
from pathlib import Path
from typing import Any

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from standins import (  # noqa: E402
    HOST,
    Discovery,
    GatewayProcess,
    Record,
    TableServer,
    encode,
    gateway_config,
    read_message,
    run_case,
    served,
    site_settings,
)

PROPAGATION_TIME = 6.0  # seconds after which a change counts as told at the latest
GRACE = 2.0  # seconds, stop_sending_within_s of the settings
SOCKET_SLACK = 0.05  # seconds by which each time limit is longer on sockets
SLOW_ANSWER = 1.2  # seconds that each answer of discovery takes
RELOADS = 10  # new configurations
RELOAD_INTERVAL = 1.0  # seconds between them
OLD_ADDRESS_OPEN = 1.5  # seconds after SIGHUP in which the old address keeps its open connections
WATCH_FOR = 14.0  # seconds after the drain in which sends are watched
SERVERS = 4
CLIENTS = 8
CLIENT_INTERVAL = 0.02  # seconds between the requests of one client


class SlowDiscovery(Discovery):
    """An agent whose answers take a while."""

    def __init__(self, name: str, servers: list[TableServer], record: Record) -> None:
        super().__init__(servers)
        self.name, self.record, self.delay, self.writers = name, record, 0.0, []

    async def listen(self) -> SlowDiscovery:
        """Start the agent and return it."""
        self.server = await asyncio.start_server(self.on_connection, HOST, 0)
        self.address = "{}:{}".format(*self.server.sockets[0].getsockname())
        return self

    async def on_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer the calls of one connection in order."""
        self.writers.append(writer)
        await super().on_connection(reader, writer)

    async def answer(self, target: str) -> dict[str, Any]:
        """Answer a call after the delay."""
        self.record.line(f"{self.name} is asked {target}")
        answer = await super().answer(target)
        await asyncio.sleep(self.delay)
        self.record.line(f"{self.name} answers {target} with seq {answer['seq']}")
        return answer

    async def retire(self) -> None:
        """Take no new connection, and close the open ones after a while."""
        self.server.close()
        await asyncio.sleep(OLD_ADDRESS_OPEN)
        for writer in self.writers:
            writer.close()


class CountingServer(TableServer):
    """A table server that notes when it got its latest request."""

    last_at = 0.0

    async def serve(self, words: list[bytes], writer: Any) -> bytes:
        """Serve a request with its own id."""
        self.last_at = time.monotonic()
        await asyncio.sleep(self.work)
        return served(words[2])


async def client(address: list[str], numbers: Any) -> None:
    """Ask one table-view after another on one connection, each for another customer."""
    reader, writer = await asyncio.open_connection(address[0], int(address[1]))
    with suppress(OSError, asyncio.IncompleteReadError):
        while True:
            name = b"%016x" % next(numbers)
            writer.write(
                encode(b"API.READ", name, name, b"c=table-view,t=club,d=1000,units=1,spread=1,first=0")
            )
            await read_message(reader)
            await asyncio.sleep(CLIENT_INTERVAL)


async def case(record: Record, folder: Path, trouble: bool) -> bool:
    """Play the run; return whether the drained server got nothing after the grace."""
    servers = [await CountingServer(f"s-{i}", record).listen() for i in range(SERVERS)]
    agents = [await SlowDiscovery(f"agent {i}", servers, record).listen() for i in range(RELOADS + 1)]
    drained, config = servers[0], gateway_config(agents[0], site_settings())
    gateway = GatewayProcess(folder, config)
    tasks = []
    try:
        await gateway.wait_ready()
        numbers = count(1)
        tasks = [asyncio.create_task(client(gateway.listen.split(":"), numbers)) for _ in range(CLIENTS)]
        await asyncio.sleep(4.0)
        for agent in agents:
            agent.delay = SLOW_ANSWER * trouble

        async def reload() -> None:
            for old, new in pairwise(agents):
                gateway.write_config(config | {"discovery": new.address})
                gateway.process.send_signal(signal.SIGHUP)
                record.line(f"SIGHUP: discovery is {new.name}")
                tasks.append(asyncio.create_task(old.retire()))
                await asyncio.sleep(RELOAD_INTERVAL)

        if trouble:
            tasks.append(asyncio.create_task(reload()))
        await asyncio.sleep(0.5)
        drained.health = "Terminating"
        for agent in agents:
            agent.tell(drained)
        told_at = time.monotonic()
        record.line(f"every agent has that {drained.name} drains")
        await asyncio.sleep(WATCH_FOR)
        late, allowed = drained.last_at - told_at, PROPAGATION_TIME + GRACE
        record.line(f"{drained.name} got its last request {late:.3f} s after that; allowed {allowed} s")
        if not any(server.last_at > told_at + WATCH_FOR - 1.0 for server in servers[1:]):
            raise RuntimeError("the other servers get nothing")
        return late <= allowed + SOCKET_SLACK
    finally:
        for task in tasks:
            task.cancel()
        gateway.end()


if __name__ == "__main__":
    sys.exit(run_case(case, HERE))
