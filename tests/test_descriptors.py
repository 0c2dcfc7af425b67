"""Idle clients fill what the gateway takes while discovery is away: everything else has its descriptors."""

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
from thymehinge.net.driver import RESERVE, SERVER_PART

SOCKETS = 128  # descriptors of the process, by its limit and by its configuration
MOST = SOCKETS - RESERVE - int((SOCKETS - RESERVE) * SERVER_PART)  # of them for clients
SILENT = 3 * MOST  # clients that say nothing: more wait at any time than the gateway takes


def requests(fields: bytes = b"c=lookup,t=village,d=3000", first: int = 1) -> Iterator[bytes]:
    """Commands with an id each, of a customer each, so that no quota is in the way."""
    for number in count(first):
        yield (
            pack_request(fields=fields)
            .replace(REQUEST_ID, b"%016x" % number)
            .replace(CUSTOMER_ID, b"%016x" % number)
        )


class TableServer:
    """Serves all, at once or after a delay (s), with its name as the value."""

    def __init__(self, name: str, delay: float = 0.0) -> None:
        self.name, self.delay, self.wires, self.made = name, delay, [], 0

    async def listen(self) -> TableServer:
        server = await asyncio.start_server(self.serve, HOST, 0)
        self.dial = "{}:{}".format(*server.sockets[0].getsockname())
        return self

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        wire = RespConnection(reader, writer)
        self.wires.append(wire)
        self.made += 1
        with suppress(EOFError, ConnectionError, TimeoutError):
            while True:
                await wire.read()
                if self.delay:
                    await asyncio.sleep(self.delay)
                wire.write(success_reply(self.name.encode()))

    def hang_up(self) -> None:
        """Close all connections, so that the next request needs a new one."""
        for wire in self.wires:
            wire.writer.close()
        self.wires.clear()


class Agent:
    """Discovery that is away, by refusing or by saying nothing, until it returns."""

    def __init__(self, refuses: bool) -> None:
        self.refuses, self.back, self.sock = refuses, asyncio.Event(), socket.socket()
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.sock.bind((HOST, 0))
        self.address = "{}:{}".format(*self.sock.getsockname())

    async def begin(self) -> None:
        if not self.refuses:
            await asyncio.start_server(self.answer, sock=self.sock)

    async def come_back(self, entry: dict) -> None:
        self.entry = entry
        self.back.set()
        if self.refuses:
            await asyncio.start_server(self.answer, sock=self.sock)

    async def answer(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                asked = await reader.readuntil(b"\r\n\r\n")
                if not self.back.is_set() or b"since=" in asked:
                    await asyncio.sleep(600)  # also once it has returned, a call that came before is lost
                body = json.dumps({"seq": 2, "whole": True, "hosts": [self.entry]}).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))


async def ask(port: int, request: bytes) -> tuple[RespConnection, object]:
    """A new client's request and its answer."""
    async with asyncio.timeout(WAIT_TIMEOUT):
        client = RespConnection(*await asyncio.open_connection(HOST, port))
    client.write(request)
    return client, await client.read()


async def value(port: int, request: bytes) -> object:
    client, answer = await ask(port, request)
    client.writer.close()
    return answer


@dataclass(frozen=True)
class Crowded:
    """A gateway as a process of its own, with a peer, that may hold `SOCKETS` descriptors and no more."""

    process: subprocess.Popen
    port: int
    peer: socket.socket

    def held(self) -> int:
        return len(os.listdir(f"/proc/{self.process.pid}/fd"))


@asynccontextmanager
async def crowded(path: Path, agent: Agent, dial: str, names: int = 1) -> AsyncIterator[Crowded]:
    """The program with so many table servers at an address in its configuration, ready to serve."""
    await agent.begin()
    with socket.socket() as free, socket.socket(type=socket.SOCK_DGRAM) as free_peer:
        free.bind((HOST, 0)), free_peer.bind((HOST, 0))
        port, own = free.getsockname()[1], "{}:{}".format(*free_peer.getsockname())
    with socket.socket(type=socket.SOCK_DGRAM) as peer, agent.sock:
        peer.bind(("127.0.0.2", 0))
        peer.settimeout(WAIT_TIMEOUT)
        entries = [SERVER_ENTRY | {"host": f"s{i}", "dial": dial} for i in range(names)]
        config = raw_config(
            listen=f"{HOST}:{port}",
            discovery=agent.address,
            limits={"cores": 1.0, "memory_mb": 192, "sockets": SOCKETS},
            peer_listen=own,
            peers=[own, "{}:{}".format(*peer.getsockname())],
            known={"seq": 1, "whole": True, "hosts": entries},
        )
        process = start_gateway(path, config)
        try:
            resource.prlimit(process.pid, resource.RLIMIT_NOFILE, (SOCKETS, SOCKETS))
            async with asyncio.timeout(2 * WAIT_TIMEOUT):
                while True:
                    with suppress(ConnectionError):
                        if await value(port, hiredis.pack_command(("PING",))) == b"PONG":
                            break
                    await asyncio.sleep(0.01)
            yield Crowded(process, port, peer)
        finally:
            process.kill()
            process.communicate()


@pytest.mark.parametrize("refuses", [True, False], ids=["refused", "silent"])
@pytest.mark.parametrize("resting", [0, MOST // 2, 2 * MOST])
def test_a_full_gateway_serves_who_asks_and_reaches_everyone_else(tmp_path, refuses, resting):
    """Guards calls to discovery, table servers and peers while clients take all that is for them."""

    async def test() -> None:
        old, new, agent = await TableServer("old").listen(), await TableServer("new").listen(), Agent(refuses)
        with ExitStack() as stack:
            async with crowded(tmp_path / "config.json", agent, old.dial) as gateway:
                before, port, request = gateway.held(), gateway.port, requests()
                rest = [await ask(port, next(request)) for _ in range(resting)]
                assert {answer for _, answer in rest} <= {b"old"}
                for _ in range(SILENT if resting < MOST else 0):
                    sock = stack.enter_context(socket.socket())
                    sock.setblocking(False)
                    sock.connect_ex((HOST, port))
                async with asyncio.timeout(WAIT_TIMEOUT):
                    while gateway.held() < before + MOST - 4:  # some of those before were just closing
                        await asyncio.sleep(0)
                old.hang_up()
                made = old.made
                assert await value(port, next(request)) == b"old"
                assert old.made > made
                shared = requests(b"c=lookup,t=village,d=3000,spread=2,first=0", 10000)  # the peer has a say
                asking = [asyncio.create_task(value(port, next(shared))) for _ in range(8)]
                assert await asyncio.to_thread(gateway.peer.recv, 300)
                assert await asyncio.gather(*asking) == [b"old"] * 8
                await agent.come_back(SERVER_ENTRY | {"host": "new", "dial": new.dial})
                async with asyncio.timeout(WAIT_TIMEOUT):
                    while await value(port, next(request)) != b"new":
                        await asyncio.sleep(0.01)
                assert gateway.held() <= SOCKETS and gateway.process.poll() is None
                for client, _ in rest:
                    client.writer.close()

    run_on_uvloop(test())


@pytest.mark.parametrize("refuses", [True, False], ids=["refused", "silent"])
def test_connects_that_never_come_up_leave_discovery_its_descriptors(tmp_path, refuses):
    """Guards discovery's return while every client waits for a table server, each with a connect out."""

    async def test() -> None:
        new, agent = await TableServer("new").listen(), Agent(refuses)
        with UnresponsiveListener() as mute:
            async with crowded(tmp_path / "config.json", agent, mute, names=20) as gateway:
                request, most, done = requests(b"c=lookup,t=village,d=5000"), 0, asyncio.Event()

                async def go_on() -> None:
                    while not done.is_set():
                        with suppress(EOFError, ConnectionError):
                            client, answer = await ask(gateway.port, next(request))
                            client.writer.close()
                            if answer == b"new":
                                done.set()

                asking = [asyncio.create_task(go_on()) for _ in range(2 * MOST)]
                async with asyncio.timeout(WAIT_TIMEOUT):
                    while most < MOST + 20:  # the clients, what was there before, and connects on their way
                        most = max(most, gateway.held())
                        await asyncio.sleep(0.01)
                await agent.come_back(SERVER_ENTRY | {"host": "new", "dial": new.dial})
                async with asyncio.timeout(2 * WAIT_TIMEOUT):
                    while not done.is_set():
                        most = max(most, gateway.held())
                        await asyncio.sleep(0.01)
                    await asyncio.gather(*asking)
                assert most <= SOCKETS and gateway.process.poll() is None

    run_on_uvloop(test())


async def resting_kit(request: Iterator[bytes]) -> tuple[GatewayHarness, list[RespConnection]]:
    """A gateway whose clients have all asked once and rest, with the clients' clock standing still."""
    kit, server = GatewayHarness(), await TableServer("s1").listen()
    now = kit.driver.clients.clock()
    kit.driver.clients.clock = lambda: now
    kit.driver.clients.max_connections = MOST
    kit.driver.on_list(host_list(s1=server.dial))
    rest = [await kit.connect_client() for _ in range(MOST)]
    for client in rest:
        client.write(next(request))
        assert await client.read() == b"s1"
    return kit, rest


def test_who_asks_is_let_in_at_once_where_all_others_have_just_asked():
    """Guards a new client's request, which our machine has accepted: it would wait there past its time."""

    async def test() -> None:
        request = requests()
        kit, rest = await resting_kit(request)
        client = await kit.connect_client()
        client.write(next(request))
        assert await client.read() == b"s1"
        assert await rest[0].wait_closed()  # it had rested for longest
        rest[1].write(next(request))
        assert await rest[1].read() == b"s1"

    run_on_uvloop(test())


def test_clients_that_come_at_once_to_a_full_gateway_do_not_push_each_other_out():
    """Guards requests that are on their way: those who rest make way, not those just taken in."""

    async def test() -> None:
        request = requests()
        kit, _ = await resting_kit(request)
        now = kit.driver.clients.clock() + 3.0
        kit.driver.clients.clock = lambda: now
        burst = await asyncio.gather(*(kit.connect_client() for _ in range(MOST // 2)))
        async with asyncio.timeout(WAIT_TIMEOUT):
            # all are in before the first one asks
            while len(kit.driver.clients.awaiting_first_request) < len(burst):
                await asyncio.sleep(0)
        for client in burst:
            client.write(next(request))
        assert [await client.read() for client in burst] == [b"s1"] * len(burst)

    run_on_uvloop(test())


def test_the_silent_make_way_before_those_who_rest_once_they_had_their_time():
    """Guards usual clients between requests against a crowd that says nothing."""

    async def test() -> None:
        request = requests()
        kit, rest = await resting_kit(request)
        silent = await kit.connect_client()
        async with asyncio.timeout(WAIT_TIMEOUT):
            while not kit.driver.clients.awaiting_first_request:
                await asyncio.sleep(0)
        now = kit.driver.clients.clock() + 2 * clients.FIRST_REQUEST_GRACE
        kit.driver.clients.clock = lambda: now
        client = await kit.connect_client()
        client.write(next(request))
        assert await client.read() == b"s1" and await silent.wait_closed()
        rest[1].write(next(request))
        assert await rest[1].read() == b"s1"

    run_on_uvloop(test())


def test_the_last_connection_that_there_is_room_for_closes_no_other():
    """Guards against closing a client that may just be asking, where nobody waits for its place."""

    async def test() -> None:
        kit = GatewayHarness()
        kit.driver.clients.max_connections = 3
        held = [await kit.connect_client() for _ in range(3)]
        for client in held:
            client.write(hiredis.pack_command(("PING",)))
        assert [str(await client.read()) for client in held] == ["ERR starting"] * 3

    run_on_uvloop(test())
