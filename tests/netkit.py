"""Test harness of the network part: a gateway in this process, with RESP clients and servers on loopback."""

from __future__ import annotations

import asyncio
import json
import socket
from collections.abc import Coroutine
from types import SimpleNamespace
from typing import Any

import hiredis
import uvloop
from sample_settings import RAW_SETTINGS

from thymehinge import interface as api
from thymehinge.net.config import parse_config
from thymehinge.net.discovery import HostList, parse_host_list
from thymehinge.net.driver import Driver, monotonic_unix_clock

HOST = "127.0.0.1"
CUSTOMER_ID = b"00000000b4d65521"
REQUEST_ID = b"9b1f03aa5c7e2d41"
WAIT_TIMEOUT = 10.0  # seconds after which waiting for an event fails the test


def raw_settings() -> dict[str, Any]:
    """Return settings, as in a configuration file, with a read-like class and one with idempotency keys."""
    raw = json.loads(json.dumps(RAW_SETTINGS))
    raw["classes"].append(
        {**raw["classes"][0], "name": "order", "repeat": "idempotency_key", "dedup_scope": "zone"}
    )
    raw["bounds"] |= {"conn_idle_s": 30.0, "connect_timeout_s": 0.25}
    return raw


def raw_config(**overrides: Any) -> dict[str, Any]:
    """Return a complete gateway configuration, as in its file, with some top-level keys overridden."""
    return {
        "name": "n0",
        "listen": f"{HOST}:6379",
        "discovery": f"{HOST}:8500",
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256},
        "peers": [f"{HOST}:7946", "127.0.0.2:7946"],
        "settings": raw_settings(),
        **overrides,
    }


def host_list(version: int = 1, snapshot: bool = True, **servers: Any) -> HostList:
    """Return a list of servers by name: an address, (address, health), or None for a server that is gone."""
    entries = []
    for name, value in servers.items():
        dial, health = value if isinstance(value, tuple) else (value, "Ready" if value else "Gone")
        entries.append(
            {"host": name, "dial": dial, "site": "a", "block": 0, "health": health, "share": 1, "born_ms": 0}
        )
    return parse_host_list({"seq": version, "whole": snapshot, "hosts": entries})


def pack_request(
    name: bytes = b"API.READ", fields: bytes = b"c=lookup,t=village,d=3000", *body: bytes
) -> bytes:
    """Encode a request of CUSTOMER_ID with REQUEST_ID as a RESP command."""
    return hiredis.pack_command((name, CUSTOMER_ID, REQUEST_ID, fields, *body))


def success_reply(value: bytes, report: bytes = b"queue=1") -> bytes:
    """Encode a table server's successful reply with its load report."""
    return b"*3\r\n$%d\r\n%b\r\n$-1\r\n$%d\r\n%b\r\n" % (len(value), value, len(report), report)


class RespConnection:
    """One end of a connection, which writes bytes and reads RESP messages."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.stream_reader, self.writer, self.parser = reader, writer, hiredis.Reader(notEnoughData=self)

    def write(self, data: bytes) -> None:
        self.writer.write(data)

    async def read(self) -> Any:
        """Return the next message. Raises EOFError at the end of the stream, TimeoutError on a timeout."""
        async with asyncio.timeout(WAIT_TIMEOUT):
            while (message := self.parser.gets()) is self:  # incomplete
                data = await self.stream_reader.read(65536)
                if not data:
                    raise EOFError
                self.parser.feed(data)
            return message

    def limit_receiving(self, size: int) -> None:
        """Limit the kernel's receive buffer to about this many bytes."""
        self.writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size)

    async def wait_closed(self) -> bool:
        """Wait for the other end to close; return False if it sends more data instead."""
        async with asyncio.timeout(WAIT_TIMEOUT):
            try:
                return await self.stream_reader.read(1) == b""
            except ConnectionError:
                return True


class GatewayHarness:
    """A gateway on loopback sockets, whose decision module's events are recorded."""

    def __init__(self, **overrides: Any) -> None:
        # clock_offset: seconds by which the gateway's clock is ahead.
        clock, self.clock_offset = monotonic_unix_clock(), 0.0
        self.driver = Driver(parse_config(raw_config(**overrides), {}), lambda: clock() + self.clock_offset)
        self.driver.listening_since = self.driver.clock()
        self.events: asyncio.Queue[api.Event] = asyncio.Queue()
        handle = self.driver.gateway.handle

        def record(now: float, event: api.Event) -> list[api.Action]:
            self.events.put_nowait(event)
            return handle(now, event)

        self.driver.gateway.handle = record

    async def connect_client(self) -> RespConnection:
        """Connect a client; the first call opens the listener."""
        if not hasattr(self, "listener"):
            self.listener = socket.create_server((HOST, 0), backlog=1024)
            self.driver.clients.listen(self.listener)
        return RespConnection(*await asyncio.open_connection(*self.listener.getsockname()))

    async def connect_raw_client(self, data: bytes) -> socket.socket:
        """Connect a blocking socket and send data; its sends and close reach the kernel at once."""
        (await self.connect_client()).writer.close()
        sock = socket.create_connection(self.listener.getsockname())
        sock.sendall(data)
        return sock

    def hold_connects(self) -> asyncio.Event:
        """Delay new connections to servers until the returned event is set."""
        loop, gate = self.driver.loop, asyncio.Event()

        async def connect_after_gate(*args: Any) -> Any:
            await gate.wait()
            return await loop.create_connection(*args)

        self.driver.servers.loop = SimpleNamespace(
            create_connection=connect_after_gate, create_task=loop.create_task, call_soon=loop.call_soon
        )
        self.driver.servers.connect_timeout = WAIT_TIMEOUT
        return gate

    async def start_server(self) -> tuple[str, asyncio.Queue[RespConnection]]:
        """Start a server that never answers by itself; return its address and accepted connections."""
        connections: asyncio.Queue[RespConnection] = asyncio.Queue()
        listener = await asyncio.start_server(
            lambda reader, writer: connections.put_nowait(RespConnection(reader, writer)), HOST, 0
        )
        return "{}:{}".format(*listener.sockets[0].getsockname()), connections

    async def wait_reusable(self, name: str) -> None:
        """Wait until an idle connection to this server may be used for another request."""
        async with asyncio.timeout(WAIT_TIMEOUT):
            while not any(c.reusable for c in self.driver.servers.pools[name].idle):
                await asyncio.sleep(0.001)

    def sweep_after(self, seconds: float) -> None:
        """Run the periodic check of the client connections as if this much time had passed."""
        clock = self.driver.clients.clock
        self.driver.clients.clock = lambda: clock() + seconds
        self.driver.clients.sweep()
        self.driver.clients.clock = clock

    async def wait_for_event(self, kind: type, **fields: Any) -> Any:
        """Return the decision module's next event of a type with these fields; discard those before it."""
        async with asyncio.timeout(WAIT_TIMEOUT):
            while True:
                event = await self.events.get()
                if isinstance(event, kind) and all(getattr(event, k) == v for k, v in fields.items()):
                    return event


async def harness_with_server(**overrides: Any) -> tuple[GatewayHarness, asyncio.Queue[RespConnection]]:
    """Return a gateway that knows one server, s1, and the connections which that server accepts."""
    harness = GatewayHarness(**overrides)
    address, connections = await harness.start_server()
    harness.driver.on_list(host_list(s1=address))
    return harness, connections


async def request_in_flight(
    harness: GatewayHarness, connections: asyncio.Queue[RespConnection], *following: bytes
) -> tuple[RespConnection, RespConnection]:
    """Send a request, followed by other data; return the client's and the server's connection."""
    client = await harness.connect_client()
    client.write(pack_request() + b"".join(following))
    server = await next_item(connections)
    await server.read()
    return client, server


class UnresponsiveListener:
    """A listener with a full backlog: further connection attempts hang. Entering it returns its address."""

    def __enter__(self) -> str:
        self.sockets = [socket.socket()]
        self.sockets[0].bind((HOST, 0))
        self.sockets[0].listen(0)
        for _ in range(4):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(self.sockets[0].getsockname())
            self.sockets.append(filler)
        return "{}:{}".format(*self.sockets[0].getsockname())

    def __exit__(self, *_: object) -> None:
        for sock in self.sockets:
            sock.close()


async def next_item(queue: asyncio.Queue[Any]) -> Any:
    """Return the next item of a queue. Raises TimeoutError after WAIT_TIMEOUT."""
    async with asyncio.timeout(WAIT_TIMEOUT):
        return await queue.get()


def run_on_uvloop(test: Coroutine[Any, Any, None]) -> None:
    """Run an asynchronous test on uvloop, the event loop of the program."""
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(test)
