"""The program as a process: configuration, signals, the first list, and peer datagrams."""

from __future__ import annotations

import asyncio
import json
import signal
import socket
import subprocess
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from pathlib import Path

import hiredis
import pytest
from discoverykit import NO_ANSWER, SERVER_ENTRY, hosts_response, scripted_discovery
from netkit import (
    HOST,
    WAIT_TIMEOUT,
    GatewayHarness,
    RespConnection,
    next_item,
    pack_request,
    raw_config,
    raw_settings,
    run_on_uvloop,
    success_reply,
)
from processkit import start_gateway

from thymehinge import interface as api
from thymehinge.net.config import parse_config
from thymehinge.net.discovery import parse_host_list
from thymehinge.net.driver import FIRST_LIST_TIMEOUT


def test_datagrams_identified_by_sender_address():
    """Guards the decision module against datagrams from unknown senders and oversized ones."""

    async def test() -> None:
        harness = GatewayHarness()
        loop, peers = asyncio.get_running_loop(), harness.driver.peers
        transport, _ = await loop.create_datagram_endpoint(lambda: peers, local_addr=(HOST, 0))
        gateway_address = transport.get_extra_info("sockname")
        peer, stranger = (socket.socket(type=socket.SOCK_DGRAM) for _ in range(2))
        peer.bind(("127.0.0.2", 0))
        peers.peer_indices = {peer.getsockname(): 1}
        stranger.sendto(b"stranger", gateway_address)
        peer.sendto(b"x" * 257, gateway_address)
        peer.sendto(b"\xff\x00 no message of ours", gateway_address)
        assert (await harness.wait_for_event(api.PeerMessage)).body == b"\xff\x00 no message of ours"
        peers.addresses = (gateway_address, peer.getsockname())
        peers.send(b"hello", 1)
        peer.settimeout(5)
        assert await asyncio.to_thread(peer.recv, 300) == b"hello"
        peer.close(), stranger.close()

    run_on_uvloop(test())


def config_without(path: str) -> dict:
    """Return a configuration without the value at a dotted path."""
    config = raw_config()
    node = config
    *parents, key = path.split(".")
    for parent in parents:
        node = node[parent]
    del node[key]
    return config


@pytest.mark.parametrize(
    ("config", "expected_text"),
    [
        ("{", "EDGE_CONFIG"),
        ("[]", "not an object"),
        (config_without("settings.balancers"), "balancers"),
        (config_without("settings"), "settings"),
        (config_without("listen"), "listen"),
        (raw_config(listen="nowhere"), "listen"),
        (raw_config(limits={"sockets": 3}), "limits.sockets"),
        (raw_config(limits={"memory_mb": 0}), "limits.memory_mb"),
        (raw_config(seed="xyz"), "seed"),
        (raw_config(settings={**raw_settings(), "discovery": ["automatic"]}), "discovery"),
        (raw_config(peers=["a:b"]), "peers"),
        (raw_config(known={"seq": 1, "hosts": {}}), "server list"),
        (raw_config(listen="127.0.0.1:1", peer_listen="192.0.2.1:7"), "listen"),
    ],
)
def test_invalid_config_fails_startup_with_one_line(tmp_path, config, expected_text):
    process = start_gateway(tmp_path / "config.json", config)
    error = process.communicate(timeout=20)[1]
    assert process.returncode == 2
    assert error.count("\n") == 1 and error.startswith("thymehinge: ") and expected_text in error


RunningProgram = tuple[subprocess.Popen, int, asyncio.Queue[RespConnection]]


@asynccontextmanager
async def run_program(path: Path, *known: dict | None, **environ: str) -> AsyncIterator[RunningProgram]:
    """Run the program with one server; yield its process, its port and the server's connections.

    The program's known list is `known`, by default a list with that server. Discovery is down unless
    `environ` names another address.
    """
    connections: asyncio.Queue[RespConnection] = asyncio.Queue()
    server = await asyncio.start_server(lambda r, w: connections.put_nowait(RespConnection(r, w)), HOST, 0)
    address = "{}:{}".format(*server.sockets[0].getsockname())
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        port = probe.getsockname()[1]
    own_list = {"seq": 1, "whole": True, "hosts": [SERVER_ENTRY | {"dial": address}]}
    config = raw_config(listen=f"{HOST}:{port}", discovery=f"{HOST}:1", known=[*known, own_list][0])
    for request_class in config["settings"]["classes"]:
        request_class["give_up_s"] = 1.0
    process = start_gateway(path, config, **environ)
    try:
        async with asyncio.timeout(10):
            while True:
                with suppress(ConnectionError):
                    (await connect(port)).writer.close()
                    break
        yield process, port, connections
    finally:
        process.kill()
        process.communicate()


async def connect(port: int) -> RespConnection:
    return RespConnection(*await asyncio.open_connection(HOST, port))


def test_sigterm_drains_and_exits_with_zero(tmp_path):
    """Guards planned restarts: pending requests are answered and idle connections closed."""

    async def test() -> None:
        async with run_program(tmp_path / "config.json") as (process, port, connections):
            client, idle = await connect(port), await connect(port)
            for connection in (client, idle):
                connection.write(hiredis.pack_command(("PING",)))
                assert await connection.read() == b"PONG"
            client.write(pack_request())
            server_connection = await next_item(connections)
            await server_connection.read()
            process.send_signal(signal.SIGTERM)
            late_client = await connect(port)  # new connections are accepted for a short time
            late_client.write(hiredis.pack_command(("PING",)))
            assert await late_client.read() == b"PONG"
            assert await idle.wait_closed()
            server_connection.write(success_reply(b"held"))
            assert await client.read() == b"held"
            assert await client.wait_closed()
            assert await asyncio.to_thread(process.wait, 10) == 0

    run_on_uvloop(test())


def test_sighup_reloads_config_and_keeps_pending_requests(tmp_path):
    """Guards reloads: a changed file overrides the environment's address, an invalid file is ignored."""

    async def test() -> None:
        path = tmp_path / "config.json"
        new_address, calls = await scripted_discovery(
            [hosts_response(7, SERVER_ENTRY | {"host": "s9"}), hosts_response(8, snapshot=False)]
        )
        async with run_program(path, EDGE_DISCOVERY=f"{HOST}:1") as (process, port, connections):
            client = await connect(port)
            client.write(pack_request())
            server_connection = await next_item(connections)
            await server_connection.read()
            valid_config = json.loads(path.read_text())
            path.write_text("{ half")
            process.send_signal(signal.SIGHUP)
            async with asyncio.timeout(10):
                while "old configuration stays" not in await asyncio.to_thread(process.stderr.readline):
                    pass
                path.write_text(json.dumps(valid_config | {"discovery": new_address}))
                process.send_signal(signal.SIGHUP)
                while len(calls) < 2:  # a watch shows that the list has been applied
                    await asyncio.sleep(0)
            server_connection.write(success_reply(b"held"))
            assert await client.read() == b"held"
            assert process.poll() is None

    run_on_uvloop(test())


@pytest.mark.parametrize("second_signal", [signal.SIGTERM, signal.SIGINT, signal.SIGHUP])
def test_second_signal_does_not_affect_drain(tmp_path, second_signal):
    """Guards planned restarts against a second SIGTERM or a reload during the drain."""

    async def test() -> None:
        async with run_program(tmp_path / "config.json") as (process, port, connections):
            client, idle = await connect(port), await connect(port)
            idle.write(hiredis.pack_command(("PING",)))
            assert await idle.read() == b"PONG"
            client.write(pack_request())
            server_connection = await next_item(connections)
            await server_connection.read()
            process.send_signal(signal.SIGTERM)
            assert await idle.wait_closed()  # the gateway is draining
            process.send_signal(second_signal)
            server_connection.write(success_reply(b"held"))
            assert await client.read() == b"held"
            assert await client.wait_closed()
            assert await asyncio.to_thread(process.wait, 10) == 0

    run_on_uvloop(test())


def test_drain_answers_long_requests_before_sigkill(tmp_path):
    """Guards against losing a request whose timeout is longer than the time until SIGKILL."""

    async def test() -> None:
        async with run_program(tmp_path / "config.json") as (process, port, connections):
            client = await connect(port)
            client.write(pack_request(fields=b"c=lookup,t=village,d=9000"))
            await (await next_item(connections)).read()
            process.send_signal(signal.SIGTERM)
            signalled_at = time.monotonic()
            assert isinstance(await client.read(), hiredis.ReplyError)
            assert await asyncio.to_thread(process.wait, 10) == 0
            assert time.monotonic() - signalled_at < 2.5

    run_on_uvloop(test())


PING = hiredis.pack_command(("PING",))
EMPTY_LIST = {"seq": 1, "whole": True, "hosts": []}


def unavailable_discovery(silent: bool) -> tuple[socket.socket, str]:
    """Reserve an address for discovery; calls are refused, or accepted and never answered if `silent`."""
    sock = socket.socket()
    sock.bind((HOST, 0))
    if silent:
        sock.listen()
    return sock, "{}:{}".format(*sock.getsockname())


async def connect_when_ready(port: int) -> RespConnection:
    """Return a client connection once the gateway answers PING with +PONG."""
    async with asyncio.timeout(WAIT_TIMEOUT):
        while True:
            client = await connect(port)
            client.write(PING)
            if await client.read() == b"PONG":
                return client
            client.writer.close()
            await asyncio.sleep(0.01)


@pytest.mark.parametrize("silent", [False, True])
def test_known_list_serves_while_discovery_is_down(tmp_path, silent):
    """Guards restarts: the gateway is ready at once and serves from the known list."""

    async def test() -> None:
        discovery_socket, address = unavailable_discovery(silent)
        async with run_program(tmp_path / "config.json", EDGE_DISCOVERY=address) as (_, port, connections):
            client = await connect(port)
            client.write(PING + pack_request())
            assert await client.read() == b"PONG"
            server_connection = await next_item(connections)
            await server_connection.read()
            server_connection.write(success_reply(b"old"))
            assert await client.read() == b"old"
        discovery_socket.close()

    run_on_uvloop(test())


@pytest.mark.parametrize(("known", "silent"), [(None, False), (EMPTY_LIST, True)])
def test_without_list_refuses_until_first_list(tmp_path, known, silent):
    """Guards a start without a list: the gateway becomes ready, refuses, and serves after the first list."""

    async def test() -> None:
        discovery_socket, address = unavailable_discovery(silent)
        connections = asyncio.Queue()
        listener = await asyncio.start_server(
            lambda r, w: connections.put_nowait(RespConnection(r, w)), HOST, 0
        )
        entry = SERVER_ENTRY | {"dial": "{}:{}".format(*listener.sockets[0].getsockname())}
        async with run_program(tmp_path / "config.json", known, EDGE_DISCOVERY=address) as (_, port, _):
            client = await connect_when_ready(port)
            client.write(pack_request(fields=b"c=lookup,t=village,d=300"))
            assert str(await client.read()).startswith("BUSY")
            _, calls = await scripted_discovery(
                [hosts_response(1, entry) for _ in range(9)], discovery_socket
            )
            async with asyncio.timeout(WAIT_TIMEOUT):
                while not any("since" in call for call in calls):  # the list has been applied
                    await asyncio.sleep(0)
            client.write(pack_request())
            server_connection = await next_item(connections)
            await server_connection.read()
            server_connection.write(success_reply(b"new"))
            assert await client.read() == b"new"

    run_on_uvloop(test())


@pytest.mark.parametrize("known", [None, EMPTY_LIST])
def test_not_ready_until_first_list_or_timeout(known):
    """Guards against reporting ready before there is a list, or not at all; the clock is set by hand."""

    async def test() -> None:
        harness = GatewayHarness(known=known)
        listening_since = harness.driver.listening_since

        async def ping(seconds: float) -> bool:
            harness.driver.clock = lambda: listening_since + seconds
            client = await harness.connect_client()
            client.write(PING)
            return await client.read() == b"PONG"

        assert (
            not await ping(0.0)
            and not await ping(FIRST_LIST_TIMEOUT - 0.01)
            and await ping(FIRST_LIST_TIMEOUT)
        )
        assert not await ping(0.1)
        harness.driver.on_list(parse_host_list({"seq": 2, "whole": True, "hosts": [SERVER_ENTRY]}))
        assert await ping(0.1)

    run_on_uvloop(test())


def test_readiness_waits_for_first_list(tmp_path):
    """Guards against reporting ready before the first list, and so without a server for requests."""

    async def test() -> None:
        listener = await asyncio.start_server(
            lambda r, w: connections.put_nowait(RespConnection(r, w)), HOST, 0
        )
        connections: asyncio.Queue[RespConnection] = asyncio.Queue()
        entry = SERVER_ENTRY | {"dial": "{}:{}".format(*listener.sockets[0].getsockname())}
        address, _ = await scripted_discovery([NO_ANSWER, hosts_response(1, entry)])
        async with run_program(tmp_path / "config.json", None, EDGE_DISCOVERY=address) as (_, port, _):
            client = await connect_when_ready(port)
            client.write(pack_request(fields=b"c=lookup,t=village,d=1000"))
            server_connection = await next_item(connections)
            await server_connection.read()
            server_connection.write(success_reply(b"there"))
            assert await client.read() == b"there"

    run_on_uvloop(test())


def test_environment_overrides_config_file():
    config = parse_config(raw_config(), {"EDGE_LISTEN": "127.0.0.9:7", "EDGE_DISCOVERY": "127.0.0.9:8"})
    assert config.listen == ("127.0.0.9", 7) and config.discovery == "127.0.0.9:8"
