"""A start while system calls fail for a moment, and signals in it."""

from __future__ import annotations

import asyncio
import errno
import json
import signal
import socket
import threading
import time
from pathlib import Path

import pytest
from discoverykit import SERVER_ENTRY, FakeDiscovery
from faultkit import FaultInjector
from netkit import (
    CUSTOMER_ID,
    HOST,
    RespConnection,
    next_item,
    pack_request,
    raw_config,
    run_on_uvloop,
    success_reply,
)
from processkit import free_port, is_ready, running_gateway, start_gateway

FAILING = 1.0  # s of the start in which calls fail
ALL = 1000  # of 1,000 calls
KNOWN = {"seq": 1, "whole": True, "hosts": [SERVER_ENTRY]}


def config_at(port: int, **changes: object) -> dict:
    """A gateway with a known list and a datagram socket, discovery being down."""
    own = f"{HOST}:{free_port()}"
    where = {"listen": f"{HOST}:{port}", "discovery": f"{HOST}:1", "peer_listen": own, "peers": [own]}
    return raw_config(known=KNOWN, **where, **changes)


@pytest.mark.parametrize("call", ["socket_share", "open_share", "epoll_share"])
@pytest.mark.parametrize("error", [errno.ENFILE, errno.ENOBUFS, errno.ENOMEM])
def test_a_start_outlasts_system_calls_that_fail_for_a_moment(tmp_path, call, error):
    """Guards the start: a machine where many processes start at once lacks memory or files for a moment."""

    async def test() -> None:
        faults, port = FaultInjector(tmp_path, error=error, **{call: ALL}), free_port()
        threading.Timer(FAILING, lambda: faults.set(**{call: 0})).start()
        async with running_gateway(tmp_path / "config.json", config_at(port), **faults.environ) as process:
            assert process.poll() is None

    run_on_uvloop(test())


@pytest.mark.parametrize("seed", range(4))
def test_a_start_outlasts_sockets_of_which_every_other_fails(tmp_path, seed):
    """Guards each step of the start: the event loop opens sockets of its own, before and after ours."""

    async def test() -> None:
        faults = FaultInjector(
            tmp_path, error=errno.ENFILE, socket_share=ALL // 2, epoll_share=ALL // 5, seed=seed
        )
        threading.Timer(FAILING, lambda: faults.set(socket_share=0, epoll_share=0)).start()
        async with running_gateway(
            tmp_path / "config.json", config_at(free_port()), **faults.environ
        ) as process:
            assert process.poll() is None

    run_on_uvloop(test())


@pytest.mark.parametrize("which", ["listen", "peer_listen"])
def test_a_port_that_a_predecessor_still_holds_is_waited_for(tmp_path, which):
    """Guards the restart: a process just killed may still hold its addresses for a moment."""

    async def test() -> None:
        port = free_port()
        config = config_at(port)
        held = socket.socket(type=socket.SOCK_STREAM if which == "listen" else socket.SOCK_DGRAM)
        host, _, number = config[which].rpartition(":")
        held.bind((host, int(number)))
        if which == "listen":
            held.listen()
        threading.Timer(FAILING, held.close).start()
        async with running_gateway(tmp_path / "config.json", config) as process:
            assert process.poll() is None

    run_on_uvloop(test())


def test_what_stays_wrong_ends_the_start_at_once(tmp_path):
    """Guards the operator: an address that is not this machine's is no trouble that passes."""
    process = start_gateway(
        tmp_path / "config.json", config_at(free_port(), name="n") | {"listen": "192.0.2.1:7"}
    )
    begun = time.monotonic()
    error = process.communicate(timeout=20)[1]
    assert process.returncode == 2 and error.startswith("thymehinge: ") and error.count("\n") == 1
    assert time.monotonic() - begun < 5.0


@pytest.mark.parametrize("delay", [0.0, 0.02, 0.04, 0.07, 0.1, 0.15, 0.2, 0.3])
def test_sighup_at_any_moment_of_a_start_ends_nothing(tmp_path, delay):
    """Guards the start: `run` in the deploy file ignores SIGHUP until the program listens for it."""

    async def test() -> None:
        port = free_port()
        process = start_gateway(tmp_path / "config.json", config_at(port), as_deployed=True)
        try:
            while b"python" not in Path(f"/proc/{process.pid}/cmdline").read_bytes().split(b"\0")[0]:
                await asyncio.sleep(0)  # it is still the shell
            await asyncio.sleep(delay)
            process.send_signal(signal.SIGHUP)
            async with asyncio.timeout(10):
                while not await is_ready(HOST, port):
                    assert process.poll() is None
                    await asyncio.sleep(0.01)
        finally:
            process.kill()
            process.communicate()

    run_on_uvloop(test())


@pytest.mark.parametrize(
    "error", [errno.ENFILE, errno.ENOBUFS, errno.ECONNABORTED, errno.EINTR, errno.EMFILE]
)
def test_accepts_that_fail_now_and_then_hold_nobody_up(tmp_path, error):
    """Guards requests with short deadlines: after a failure nobody was taken in for a quarter of a second."""

    async def test() -> None:
        came: asyncio.Queue[RespConnection] = asyncio.Queue()
        server = await asyncio.start_server(lambda r, w: came.put_nowait(RespConnection(r, w)), HOST, 0)
        dial = "{}:{}".format(*server.sockets[0].getsockname())
        faults, port = FaultInjector(tmp_path, error=error), free_port()
        known = {"seq": 1, "whole": True, "hosts": [SERVER_ENTRY | {"dial": dial}]}
        config = config_at(port) | {"known": known}
        async with running_gateway(tmp_path / "config.json", config, **faults.environ):
            faults.set(accept_share=400)
            stay = []  # a connection that ends has the next one taken in
            for i in range(12):
                client = RespConnection(*await asyncio.open_connection(HOST, port))
                client.write(
                    pack_request(fields=b"c=lookup,t=village,d=200").replace(CUSTOMER_ID, b"%016x" % i)
                )
                answering = asyncio.create_task(answer(came))
                assert await client.read() == b"value"
                await answering
                stay.append(client)

    run_on_uvloop(test())


async def answer(came: asyncio.Queue[RespConnection]) -> None:
    """Serve one request on a new connection, and close it."""
    server = await next_item(came)
    await server.read()
    server.write(success_reply(b"value"))
    server.writer.close()


def test_a_new_configuration_is_read_as_soon_as_the_system_lets_it(tmp_path):
    """Guards the 4 s after SIGHUP: the file can't be opened for a moment, for want of descriptors."""

    async def test() -> None:
        faults, path, agent = (
            FaultInjector(tmp_path, error=errno.ENFILE),
            tmp_path / "config.json",
            FakeDiscovery([SERVER_ENTRY]),
        )
        config, address = config_at(free_port()), await agent.listen()
        async with running_gateway(path, config, **faults.environ) as process:
            path.write_text(json.dumps(config | {"discovery": address}))
            faults.set(open_share=ALL)
            begun = time.monotonic()
            process.send_signal(signal.SIGHUP)
            await asyncio.sleep(FAILING)
            faults.set(open_share=0)
            while not agent.calls:
                assert time.monotonic() < begun + 4.0
                await asyncio.sleep(0.01)

    run_on_uvloop(test())
