"""Descriptor limits: clients at their limit leave descriptors for table servers, peers and discovery."""

from __future__ import annotations

import asyncio
import json
import os
import resource
import socket
import subprocess
from collections.abc import AsyncIterator, Iterator
from contextlib import ExitStack, asynccontextmanager, suppress
from dataclasses import dataclass
from itertools import count
from pathlib import Path

import hiredis
import pytest
from discoverykit import SERVER_ENTRY
from netkit import (
    CUSTOMER_ID,
    HOST,
    REQUEST_ID,
    WAIT_TIMEOUT,
    GatewayHarness,
    RespConnection,
    UnresponsiveListener,
    host_list,
    pack_request,
    raw_config,
    run_on_uvloop,
    success_reply,
)
from processkit import start_gateway

from thymehinge.net import clients
from thymehinge.net.driver import RESERVED_DESCRIPTORS, SERVER_CONNECTION_FRACTION
from thymehinge.net.eviction import KEPT_GRACE, choose_evicted

MAX_SOCKETS = 128  # descriptors of the process, by its rlimit and by its configuration
# Descriptors left for clients.
MAX_CLIENTS = (
    MAX_SOCKETS
    - RESERVED_DESCRIPTORS
    - int((MAX_SOCKETS - RESERVED_DESCRIPTORS) * SERVER_CONNECTION_FRACTION)
)
SILENT_CLIENTS = 3 * MAX_CLIENTS  # connections without a request, more than the gateway accepts


def numbered_requests(fields: bytes = b"c=lookup,t=village,d=3000", first_number: int = 1) -> Iterator[bytes]:
    """Yield requests, each with its own id and customer, so that no quota applies."""
    for number in count(first_number):
        yield (
            pack_request(fields=fields)
            .replace(REQUEST_ID, b"%016x" % number)
            .replace(CUSTOMER_ID, b"%016x" % number)
        )


class TableServer:
    """A table server that answers every request with its name, after a delay in seconds."""

    def __init__(self, name: str, delay: float = 0.0) -> None:
        self.name, self.delay, self.connections, self.connections_made = name, delay, [], 0

    async def listen(self) -> TableServer:
        """Start the server and return it."""
        server = await asyncio.start_server(self.serve, HOST, 0)
        self.address = "{}:{}".format(*server.sockets[0].getsockname())
        return self

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        connection = RespConnection(reader, writer)
        self.connections.append(connection)
        self.connections_made += 1
        with suppress(EOFError, ConnectionError, TimeoutError):
            while True:
                await connection.read()
                if self.delay:
                    await asyncio.sleep(self.delay)
                connection.write(success_reply(self.name.encode()))

    def close_connections(self) -> None:
        """Close all connections, so that the next request needs a new one."""
        for connection in self.connections:
            connection.writer.close()
        self.connections.clear()


class UnavailableDiscovery:
    """A discovery server that refuses connections or does not answer until it recovers."""

    def __init__(self, refuses_connections: bool) -> None:
        self.refuses_connections, self.available, self.sock = (
            refuses_connections,
            asyncio.Event(),
            socket.socket(),
        )
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.sock.bind((HOST, 0))
        self.address = "{}:{}".format(*self.sock.getsockname())

    async def start(self) -> None:
        if not self.refuses_connections:
            await asyncio.start_server(self.handle, sock=self.sock)

    async def recover(self, entry: dict) -> None:
        """Answer new calls from now on, with a snapshot of one entry."""
        self.entry = entry
        self.available.set()
        if self.refuses_connections:
            await asyncio.start_server(self.handle, sock=self.sock)

    async def handle(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                if not self.available.is_set() or b"since=" in head:
                    await asyncio.sleep(600)  # watches, and calls before the recovery, get no answer
                body = json.dumps({"seq": 2, "whole": True, "hosts": [self.entry]}).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))


async def send_request(port: int, request: bytes) -> tuple[RespConnection, object]:
    """Send a request on a new connection; return the connection and the answer."""
    async with asyncio.timeout(WAIT_TIMEOUT):
        client = RespConnection(*await asyncio.open_connection(HOST, port))
    client.write(request)
    return client, await client.read()


async def fetch_answer(port: int, request: bytes) -> object:
    """Send a request on a new connection and close it; return the answer."""
    client, answer = await send_request(port, request)
    client.writer.close()
    return answer


@dataclass(frozen=True)
class LimitedGateway:
    """A gateway process with a peer and a limit of MAX_SOCKETS descriptors."""

    process: subprocess.Popen
    port: int
    peer: socket.socket

    def open_descriptors(self) -> int:
        return len(os.listdir(f"/proc/{self.process.pid}/fd"))


@asynccontextmanager
async def limited_gateway(
    path: Path, discovery: UnavailableDiscovery, address: str, server_count: int = 1
) -> AsyncIterator[LimitedGateway]:
    """Run a gateway that is ready to serve and knows `server_count` table servers at one address."""
    await discovery.start()
    with socket.socket() as probe, socket.socket(type=socket.SOCK_DGRAM) as peer_probe:
        probe.bind((HOST, 0)), peer_probe.bind((HOST, 0))
        port, peer_listen = probe.getsockname()[1], "{}:{}".format(*peer_probe.getsockname())
    with socket.socket(type=socket.SOCK_DGRAM) as peer, discovery.sock:
        peer.bind(("127.0.0.2", 0))
        peer.settimeout(WAIT_TIMEOUT)
        entries = [SERVER_ENTRY | {"host": f"s{i}", "dial": address} for i in range(server_count)]
        config = raw_config(
            listen=f"{HOST}:{port}",
            discovery=discovery.address,
            limits={"cores": 1.0, "memory_mb": 192, "sockets": MAX_SOCKETS},
            peer_listen=peer_listen,
            peers=[peer_listen, "{}:{}".format(*peer.getsockname())],
            known={"seq": 1, "whole": True, "hosts": entries},
        )
        process = start_gateway(path, config)
        try:
            resource.prlimit(process.pid, resource.RLIMIT_NOFILE, (MAX_SOCKETS, MAX_SOCKETS))
            async with asyncio.timeout(2 * WAIT_TIMEOUT):
                while True:
                    with suppress(ConnectionError):
                        if await fetch_answer(port, hiredis.pack_command(("PING",))) == b"PONG":
                            break
                    await asyncio.sleep(0.01)
            yield LimitedGateway(process, port, peer)
        finally:
            process.kill()
            process.communicate()


@pytest.mark.parametrize("refuses_connections", [True, False], ids=["refused", "silent"])
@pytest.mark.parametrize("idle_count", [0, MAX_CLIENTS // 2, 2 * MAX_CLIENTS])
def test_full_gateway_serves_clients_and_reaches_servers_peers_and_discovery(
    tmp_path, refuses_connections, idle_count
):
    """Guards connections to discovery, table servers and peers while clients are at their limit."""

    async def test() -> None:
        old, new, discovery = (
            await TableServer("old").listen(),
            await TableServer("new").listen(),
            UnavailableDiscovery(refuses_connections),
        )
        with ExitStack() as stack:
            async with limited_gateway(tmp_path / "config.json", discovery, old.address) as gateway:
                descriptors_before, port, requests = (
                    gateway.open_descriptors(),
                    gateway.port,
                    numbered_requests(),
                )
                idle_clients = [await send_request(port, next(requests)) for _ in range(idle_count)]
                assert {answer for _, answer in idle_clients} <= {b"old"}
                for _ in range(SILENT_CLIENTS if idle_count < MAX_CLIENTS else 0):
                    sock = stack.enter_context(socket.socket())
                    sock.setblocking(False)
                    sock.connect_ex((HOST, port))
                async with asyncio.timeout(WAIT_TIMEOUT):
                    # some of the descriptors counted before were about to close
                    while gateway.open_descriptors() < descriptors_before + MAX_CLIENTS - 4:
                        await asyncio.sleep(0)
                old.close_connections()
                made_before = old.connections_made
                assert await fetch_answer(port, next(requests)) == b"old"
                assert old.connections_made > made_before
                # their quota is shared with the peer
                shared_requests = numbered_requests(b"c=lookup,t=village,d=3000,spread=2,first=0", 10000)
                tasks = [asyncio.create_task(fetch_answer(port, next(shared_requests))) for _ in range(8)]
                assert await asyncio.to_thread(gateway.peer.recv, 300)
                assert await asyncio.gather(*tasks) == [b"old"] * 8
                await discovery.recover(SERVER_ENTRY | {"host": "new", "dial": new.address})
                async with asyncio.timeout(WAIT_TIMEOUT):
                    while await fetch_answer(port, next(requests)) != b"new":
                        await asyncio.sleep(0.01)
                assert gateway.open_descriptors() <= MAX_SOCKETS and gateway.process.poll() is None
                for client, _ in idle_clients:
                    client.writer.close()

    run_on_uvloop(test())


@pytest.mark.parametrize("refuses_connections", [True, False], ids=["refused", "silent"])
def test_hanging_connects_leave_descriptors_for_discovery(tmp_path, refuses_connections):
    """Guards the recovery of discovery while every request waits for a connection to a table server."""

    async def test() -> None:
        new, discovery = await TableServer("new").listen(), UnavailableDiscovery(refuses_connections)
        with UnresponsiveListener() as unresponsive:
            async with limited_gateway(
                tmp_path / "config.json", discovery, unresponsive, server_count=20
            ) as gateway:
                requests, max_open, served_by_new = (
                    numbered_requests(b"c=lookup,t=village,d=5000"),
                    0,
                    asyncio.Event(),
                )

                async def repeat_requests() -> None:
                    while not served_by_new.is_set():
                        with suppress(EOFError, ConnectionError):
                            client, answer = await send_request(gateway.port, next(requests))
                            client.writer.close()
                            if answer == b"new":
                                served_by_new.set()

                tasks = [asyncio.create_task(repeat_requests()) for _ in range(2 * MAX_CLIENTS)]
                async with asyncio.timeout(WAIT_TIMEOUT):
                    # the clients, the gateway's own descriptors and pending connects
                    while max_open < MAX_CLIENTS + 20:
                        max_open = max(max_open, gateway.open_descriptors())
                        await asyncio.sleep(0.01)
                await discovery.recover(SERVER_ENTRY | {"host": "new", "dial": new.address})
                async with asyncio.timeout(2 * WAIT_TIMEOUT):
                    while not served_by_new.is_set():
                        max_open = max(max_open, gateway.open_descriptors())
                        await asyncio.sleep(0.01)
                    await asyncio.gather(*tasks)
                assert max_open <= MAX_SOCKETS and gateway.process.poll() is None

    run_on_uvloop(test())


async def harness_with_idle_clients(requests: Iterator[bytes]) -> tuple[GatewayHarness, list[RespConnection]]:
    """Return a gateway at its client limit and its clients, idle after one request; its clock is frozen."""
    harness, server = GatewayHarness(), await TableServer("s1").listen()
    now = harness.driver.clients.clock()
    harness.driver.clients.clock = lambda: now
    harness.driver.clients.max_connections = MAX_CLIENTS
    harness.driver.on_list(host_list(s1=server.address))
    idle_clients = [await harness.connect_client() for _ in range(MAX_CLIENTS)]
    for client in idle_clients:
        client.write(next(requests))
        assert await client.read() == b"s1"
    return harness, idle_clients


def test_new_client_replaces_longest_idle_client():
    """Guards a new client's request, which could wait in the backlog past its deadline."""

    async def test() -> None:
        requests = numbered_requests()
        harness, idle_clients = await harness_with_idle_clients(requests)
        client = await harness.connect_client()
        client.write(next(requests))
        assert await client.read() == b"s1"
        assert await idle_clients[0].wait_closed()  # idle for longest
        idle_clients[1].write(next(requests))
        assert await idle_clients[1].read() == b"s1"

    run_on_uvloop(test())


def test_burst_of_new_clients_does_not_evict_its_own():
    """Guards first requests in transit: idle clients are evicted, not connections just accepted."""

    async def test() -> None:
        requests = numbered_requests()
        harness, _ = await harness_with_idle_clients(requests)
        now = harness.driver.clients.clock() + 3.0
        harness.driver.clients.clock = lambda: now
        burst = await asyncio.gather(*(harness.connect_client() for _ in range(MAX_CLIENTS // 2)))
        async with asyncio.timeout(WAIT_TIMEOUT):
            # all are accepted before the first request
            while len(harness.driver.clients.awaiting_first_request) < len(burst):
                await asyncio.sleep(0)
        for client in burst:
            client.write(next(requests))
        assert [await client.read() for client in burst] == [b"s1"] * len(burst)

    run_on_uvloop(test())


def test_silent_client_is_evicted_before_idle_ones_after_grace():
    """Guards regular clients between requests against silent connections."""

    async def test() -> None:
        requests = numbered_requests()
        harness, idle_clients = await harness_with_idle_clients(requests)
        silent = await harness.connect_client()
        async with asyncio.timeout(WAIT_TIMEOUT):
            while not harness.driver.clients.awaiting_first_request:
                await asyncio.sleep(0)
        now = harness.driver.clients.clock() + 2 * clients.FIRST_REQUEST_GRACE
        harness.driver.clients.clock = lambda: now
        client = await harness.connect_client()
        client.write(next(requests))
        assert await client.read() == b"s1" and await silent.wait_closed()
        idle_clients[1].write(next(requests))
        assert await idle_clients[1].read() == b"s1"

    run_on_uvloop(test())


def test_connection_that_reaches_the_limit_evicts_no_other():
    """Guards against evicting a client while no connection waits for its descriptor."""

    async def test() -> None:
        harness = GatewayHarness()
        harness.driver.clients.max_connections = 3
        open_clients = [await harness.connect_client() for _ in range(3)]
        for client in open_clients:
            client.write(hiredis.pack_command(("PING",)))
        assert [str(await client.read()) for client in open_clients] == ["ERR starting"] * 3

    run_on_uvloop(test())


@dataclass(frozen=True, eq=False)
class StubConnection:
    """The part of a client connection that eviction depends on; `idle_since` is in seconds."""

    idle_since: float
    has_data: bool = False

    def has_unread_input(self) -> bool:
        return self.has_data


def test_new_connection_with_unread_data_does_not_keep_silent_ones_open():
    """Guards the places of silent clients behind a request out of the backlog that has not been read yet."""
    arrived, silent = StubConnection(0.0, has_data=True), StubConnection(0.0)
    assert choose_evicted({arrived: None, silent: None}, {}, {}, max_connections=100, now=100.0) is silent


def test_partial_commands_do_not_count_as_silent_connections():
    """Guards new clients: they would wait for the timeout of partial commands while others are idle."""
    idle_connection, partial = StubConnection(100.0), {StubConnection(0.0): 99.0 for _ in range(50)}
    evicted = choose_evicted(dict.fromkeys(partial), {idle_connection: None}, partial, 100, now=100.0)
    assert evicted is idle_connection


async def connect_silent_clients(harness: GatewayHarness, count: int) -> list[RespConnection]:
    """Connect clients that say nothing, as many as the gateway accepts until it pauses accepting."""
    silent = [await harness.connect_client() for _ in range(count)]
    async with asyncio.timeout(WAIT_TIMEOUT):
        while not harness.driver.clients.accept_paused:
            await asyncio.sleep(0)
    return silent


def test_used_connection_is_not_evicted_for_silent_ones():
    """Guards kept connections between requests, which were closed one by one for a crowd of silent ones."""

    async def test() -> None:
        requests = numbered_requests()
        harness, kept_clients = await harness_with_idle_clients(requests)
        now = harness.driver.clients.clock()
        gateway_clients = harness.driver.clients
        gateway_clients.max_connections = 2 * MAX_CLIENTS
        silent = await connect_silent_clients(harness, MAX_CLIENTS + 10)
        gateway_clients.evict_connection()
        now += 2 * clients.FIRST_REQUEST_GRACE
        gateway_clients.clock = lambda: now
        gateway_clients.sweep()
        new_client = await harness.connect_client()
        new_client.write(next(requests))
        assert await new_client.read() == b"s1" and await silent[0].wait_closed()
        for client in kept_clients:
            client.write(next(requests))
            assert await client.read() == b"s1"

    run_on_uvloop(test())


@pytest.mark.parametrize(
    ("silent_count", "idle_for", "kept"),
    [(25, 0.0, True), (24, 0.0, False), (25, KEPT_GRACE + 0.1, False)],
    ids=["many silent", "few silent", "unused"],
)
def test_connection_in_use_is_kept_while_silent_ones_hold_their_share(silent_count, idle_for, kept):
    """New connections that will be used find a place, as a few silent ones protect no other connection."""
    now = 100.0
    idle_connection = StubConnection(now - idle_for)
    silent = {StubConnection(now): None for _ in range(silent_count)}
    evicted = choose_evicted(silent, {idle_connection: None}, {}, max_connections=100, now=now)
    assert evicted is (None if kept else idle_connection)


def test_grace_for_the_first_request_begins_in_the_backlog(monkeypatch):
    """Guards requests in the backlog, which waited for the whole grace of each silent client before them."""
    waited = 2 * clients.FIRST_REQUEST_GRACE  # seconds of all connections in the backlog

    async def test() -> None:
        harness, server = GatewayHarness(), await TableServer("s1").listen()
        harness.driver.on_list(host_list(s1=server.address))
        gateway_clients = harness.driver.clients
        now = gateway_clients.clock()
        gateway_clients.clock = lambda: now
        gateway_clients.max_connections = 2
        silent = await connect_silent_clients(harness, 8)
        usual = await harness.connect_client()
        usual.write(next(numbered_requests()))
        monkeypatch.setattr(clients, "seconds_since_last_data", lambda sock: waited)
        now += waited
        gateway_clients.sweep()
        assert await usual.read() == b"s1"
        assert await silent[-2].wait_closed()

    run_on_uvloop(test())
