"""The program as a process: start, signals, a first list, and datagrams."""

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
from thymehinge.net.config import read
from thymehinge.net.discovery import read_list
from thymehinge.net.driver import FIRST_LIST


def test_datagrams_are_known_by_their_sender():
    """Guards the module against strangers, and against messages that no gateway may send."""

    async def test() -> None:
        kit = GatewayHarness()
        loop, peers = asyncio.get_running_loop(), kit.driver.peers
        listening, _ = await loop.create_datagram_endpoint(lambda: peers, local_addr=(HOST, 0))
        to = listening.get_extra_info("sockname")
        peer, stranger = (socket.socket(type=socket.SOCK_DGRAM) for _ in range(2))
        peer.bind(("127.0.0.2", 0))
        peers.numbers = {peer.getsockname(): 1}
        stranger.sendto(b"stranger", to)
        peer.sendto(b"x" * 257, to)
        peer.sendto(b"\xff\x00 no message of ours", to)
        assert (await kit.wait_for_event(api.PeerMessage)).body == b"\xff\x00 no message of ours"
        peers.peers = (to, peer.getsockname())
        peers.tell(b"hello", 1)
        peer.settimeout(5)
        assert await asyncio.to_thread(peer.recv, 300) == b"hello"
        peer.close(), stranger.close()

    run_on_uvloop(test())


def without(path: str) -> dict:
    """A configuration that lacks the value at a dotted path."""
    raw = raw_config()
    node = raw
    *parents, last = path.split(".")
    for name in parents:
        node = node[name]
    del node[last]
    return raw


@pytest.mark.parametrize(
    ("config", "named"),
    [
        ("{", "EDGE_CONFIG"),
        ("[]", "not an object"),
        (without("settings.balancers"), "balancers"),
        (without("settings"), "settings"),
        (without("listen"), "listen"),
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
def test_a_bad_configuration_ends_the_start_with_one_line(tmp_path, config, named):
    process = start_gateway(tmp_path / "config.json", config)
    error = process.communicate(timeout=20)[1]
    assert process.returncode == 2
    assert error.count("\n") == 1 and error.startswith("thymehinge: ") and named in error


Running = tuple[subprocess.Popen, int, asyncio.Queue[RespConnection]]


@asynccontextmanager
async def running(path: Path, *known: dict | None, **environ: str) -> AsyncIterator[Running]:
    """The program with one server: its process, its port and the connections that the server gets.

    It knows that server, discovery being down, unless it is told of another known list, or none.
    """
    came: asyncio.Queue[RespConnection] = asyncio.Queue()
    server = await asyncio.start_server(lambda r, w: came.put_nowait(RespConnection(r, w)), HOST, 0)
    dial = "{}:{}".format(*server.sockets[0].getsockname())
    with socket.socket() as free:
        free.bind((HOST, 0))
        port = free.getsockname()[1]
    mine = {"seq": 1, "whole": True, "hosts": [SERVER_ENTRY | {"dial": dial}]}
    config = raw_config(listen=f"{HOST}:{port}", discovery=f"{HOST}:1", known=[*known, mine][0])
    for cls in config["settings"]["classes"]:
        cls["give_up_s"] = 1.0
    process = start_gateway(path, config, **environ)
    try:
        async with asyncio.timeout(10):
            while True:
                with suppress(ConnectionError):
                    (await connect(port)).writer.close()
                    break
        yield process, port, came
    finally:
        process.kill()
        process.communicate()


async def connect(port: int) -> RespConnection:
    return RespConnection(*await asyncio.open_connection(HOST, port))


def test_sigterm_finishes_what_is_held_and_ends_well(tmp_path):
    """Guards the planned restart: a held request is answered, an idle connection closed, the exit code 0."""

    async def test() -> None:
        async with running(tmp_path / "config.json") as (process, port, came):
            client, idle = await connect(port), await connect(port)
            for each in (client, idle):
                each.write(hiredis.pack_command(("PING",)))
                assert await each.read() == b"PONG"
            client.write(pack_request())
            held = await next_item(came)
            await held.read()
            process.send_signal(signal.SIGTERM)
            late = await connect(port)  # these still come for a moment
            late.write(hiredis.pack_command(("PING",)))
            assert await late.read() == b"PONG"
            assert await idle.wait_closed()
            held.write(success_reply(b"held"))
            assert await client.read() == b"held"
            assert await client.wait_closed()
            assert await asyncio.to_thread(process.wait, 10) == 0

    run_on_uvloop(test())


def test_sighup_follows_the_file_and_keeps_what_is_held(tmp_path):
    """Guards the reload: the old address stays in the environment, a bad file changes nothing."""

    async def test() -> None:
        path = tmp_path / "config.json"
        new, calls = await scripted_discovery(
            [hosts_response(7, SERVER_ENTRY | {"host": "s9"}), hosts_response(8, snapshot=False)]
        )
        async with running(path, EDGE_DISCOVERY=f"{HOST}:1") as (process, port, came):
            client = await connect(port)
            client.write(pack_request())
            held = await next_item(came)
            await held.read()
            good = json.loads(path.read_text())
            path.write_text("{ half")
            process.send_signal(signal.SIGHUP)
            async with asyncio.timeout(10):
                while "old configuration stays" not in await asyncio.to_thread(process.stderr.readline):
                    pass
                path.write_text(json.dumps(good | {"discovery": new}))
                process.send_signal(signal.SIGHUP)
                while len(calls) < 2:  # the list was taken in: a watch on it is out
                    await asyncio.sleep(0)
            held.write(success_reply(b"held"))
            assert await client.read() == b"held"
            assert process.poll() is None

    run_on_uvloop(test())


@pytest.mark.parametrize("again", [signal.SIGTERM, signal.SIGINT, signal.SIGHUP])
def test_a_further_signal_while_draining_changes_nothing_for_what_is_held(tmp_path, again):
    """Guards the planned restart: a second SIGTERM, or a new configuration, may come in the middle of it."""

    async def test() -> None:
        async with running(tmp_path / "config.json") as (process, port, came):
            client, idle = await connect(port), await connect(port)
            idle.write(hiredis.pack_command(("PING",)))
            assert await idle.read() == b"PONG"
            client.write(pack_request())
            held = await next_item(came)
            await held.read()
            process.send_signal(signal.SIGTERM)
            assert await idle.wait_closed()  # it drains
            process.send_signal(again)
            held.write(success_reply(b"held"))
            assert await client.read() == b"held"
            assert await client.wait_closed()
            assert await asyncio.to_thread(process.wait, 10) == 0

    run_on_uvloop(test())


def test_what_would_outlast_the_kill_is_answered_before_it(tmp_path):
    """Guards against a lost request: SIGKILL heeds the longest deadline, not what a client says."""

    async def test() -> None:
        async with running(tmp_path / "config.json") as (process, port, came):
            client = await connect(port)
            client.write(pack_request(fields=b"c=lookup,t=village,d=9000"))
            await (await next_item(came)).read()
            process.send_signal(signal.SIGTERM)
            told = time.monotonic()
            assert isinstance(await client.read(), hiredis.ReplyError)
            assert await asyncio.to_thread(process.wait, 10) == 0
            assert time.monotonic() - told < 2.5

    run_on_uvloop(test())


PING = hiredis.pack_command(("PING",))
EMPTY = {"seq": 1, "whole": True, "hosts": []}


def down(silent: bool) -> tuple[socket.socket, str]:
    """Where discovery will be and is not yet: calls are refused, or taken and never answered."""
    at = socket.socket()
    at.bind((HOST, 0))
    if silent:
        at.listen()
    return at, "{}:{}".format(*at.getsockname())


async def admitted(port: int) -> RespConnection:
    """A connection on which the gateway has said that it is ready."""
    async with asyncio.timeout(WAIT_TIMEOUT):
        while True:
            client = await connect(port)
            client.write(PING)
            if await client.read() == b"PONG":
                return client
            client.writer.close()
            await asyncio.sleep(0.01)


@pytest.mark.parametrize("silent", [False, True])
def test_an_old_list_serves_while_discovery_is_down(tmp_path, silent):
    """Guards the restart: the first answer to PING is +PONG, and what asks then is served."""

    async def test() -> None:
        at, address = down(silent)
        async with running(tmp_path / "config.json", EDGE_DISCOVERY=address) as (_, port, came):
            client = await connect(port)
            client.write(PING + pack_request())
            assert await client.read() == b"PONG"
            held = await next_item(came)
            await held.read()
            held.write(success_reply(b"old"))
            assert await client.read() == b"old"
        at.close()

    run_on_uvloop(test())


@pytest.mark.parametrize(("known", "silent"), [(None, False), (EMPTY, True)])
def test_without_a_list_it_is_ready_after_a_while_refuses_and_serves_once_there_is_one(
    tmp_path, known, silent
):
    """Guards the restart with discovery down: what comes is answered in time, and nothing is lost."""

    async def test() -> None:
        at, address = down(silent)
        server = asyncio.Queue()
        listener = await asyncio.start_server(lambda r, w: server.put_nowait(RespConnection(r, w)), HOST, 0)
        entry = SERVER_ENTRY | {"dial": "{}:{}".format(*listener.sockets[0].getsockname())}
        async with running(tmp_path / "config.json", known, EDGE_DISCOVERY=address) as (_, port, _):
            client = await admitted(port)
            client.write(pack_request(fields=b"c=lookup,t=village,d=300"))
            assert str(await client.read()).startswith("BUSY")
            _, calls = await scripted_discovery([hosts_response(1, entry) for _ in range(9)], at)
            async with asyncio.timeout(WAIT_TIMEOUT):
                while not any("since" in call for call in calls):  # the list was taken in
                    await asyncio.sleep(0)
            client.write(pack_request())
            held = await next_item(server)
            await held.read()
            held.write(success_reply(b"new"))
            assert await client.read() == b"new"

    run_on_uvloop(test())


@pytest.mark.parametrize("known", [None, EMPTY])
def test_clients_are_kept_off_until_there_is_a_list_or_its_time_is_up(known):
    """Guards against turning clients away at a start, by a clock that stands still."""

    async def test() -> None:
        kit = GatewayHarness(known=known)
        began = kit.driver.listening

        async def ping(seconds: float) -> bool:
            kit.driver.clock = lambda: began + seconds
            client = await kit.connect_client()
            client.write(PING)
            return await client.read() == b"PONG"

        assert not await ping(0.0) and not await ping(FIRST_LIST - 0.01) and await ping(FIRST_LIST)
        assert not await ping(0.1)
        kit.driver.on_list(read_list({"seq": 2, "whole": True, "hosts": [SERVER_ENTRY]}))
        assert await ping(0.1)

    run_on_uvloop(test())


def test_a_first_list_that_comes_soon_is_waited_for(tmp_path):
    """Guards against an early +PONG: what asks a gateway that says it is ready has a server."""

    async def test() -> None:
        listener = await asyncio.start_server(lambda r, w: server.put_nowait(RespConnection(r, w)), HOST, 0)
        server: asyncio.Queue[RespConnection] = asyncio.Queue()
        entry = SERVER_ENTRY | {"dial": "{}:{}".format(*listener.sockets[0].getsockname())}
        address, _ = await scripted_discovery(
            [NO_ANSWER, hosts_response(1, entry)]
        )  # the first call goes unanswered
        async with running(tmp_path / "config.json", None, EDGE_DISCOVERY=address) as (_, port, _):
            client = await admitted(port)
            client.write(pack_request(fields=b"c=lookup,t=village,d=1000"))
            held = await next_item(server)
            await held.read()
            held.write(success_reply(b"there"))
            assert await client.read() == b"there"

    run_on_uvloop(test())


def test_the_variables_win_over_the_file():
    config = read(raw_config(), {"EDGE_LISTEN": "127.0.0.9:7", "EDGE_DISCOVERY": "127.0.0.9:8"})
    assert config.listen == ("127.0.0.9", 7) and config.discovery == "127.0.0.9:8"
