"""Startup, accepts and reload under transient failures of system calls, and signals during startup."""

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

FAULT_DURATION = 1.0  # seconds for which system calls fail
ALL_CALLS = 1000  # in thousandths, as the *_share fields of FaultInjector
KNOWN_HOSTS = {"seq": 1, "whole": True, "hosts": [SERVER_ENTRY]}


def gateway_config(port: int, **overrides: object) -> dict:
    """Return a configuration with a known list and a peer socket; discovery is down."""
    peer_address = f"{HOST}:{free_port()}"
    addresses = {
        "listen": f"{HOST}:{port}",
        "discovery": f"{HOST}:1",
        "peer_listen": peer_address,
        "peers": [peer_address],
    }
    return raw_config(known=KNOWN_HOSTS, **addresses, **overrides)


@pytest.mark.parametrize("call", ["socket_share", "open_share", "epoll_share"])
@pytest.mark.parametrize("error", [errno.ENFILE, errno.ENOBUFS, errno.ENOMEM])
def test_startup_survives_transient_syscall_failures(tmp_path, call, error):
    """Guards against giving up a start when memory, buffers or descriptors are short for a moment."""

    async def test() -> None:
        faults, port = FaultInjector(tmp_path, error=error, **{call: ALL_CALLS}), free_port()
        threading.Timer(FAULT_DURATION, lambda: faults.set(**{call: 0})).start()
        async with running_gateway(
            tmp_path / "config.json", gateway_config(port), **faults.environ
        ) as process:
            assert process.poll() is None

    run_on_uvloop(test())


@pytest.mark.parametrize("seed", range(4))
def test_startup_survives_intermittent_socket_failures(tmp_path, seed):
    """Guards each step of the startup, including the sockets that the event loop opens for itself."""

    async def test() -> None:
        faults = FaultInjector(
            tmp_path, error=errno.ENFILE, socket_share=ALL_CALLS // 2, epoll_share=ALL_CALLS // 5, seed=seed
        )
        threading.Timer(FAULT_DURATION, lambda: faults.set(socket_share=0, epoll_share=0)).start()
        async with running_gateway(
            tmp_path / "config.json", gateway_config(free_port()), **faults.environ
        ) as process:
            assert process.poll() is None

    run_on_uvloop(test())


@pytest.mark.parametrize("key", ["listen", "peer_listen"])
def test_startup_waits_for_address_in_use(tmp_path, key):
    """Guards restarts: a process that was just killed may still hold its addresses for a moment."""

    async def test() -> None:
        port = free_port()
        config = gateway_config(port)
        holder = socket.socket(type=socket.SOCK_STREAM if key == "listen" else socket.SOCK_DGRAM)
        host, _, holder_port = config[key].rpartition(":")
        holder.bind((host, int(holder_port)))
        if key == "listen":
            holder.listen()
        threading.Timer(FAULT_DURATION, holder.close).start()
        async with running_gateway(tmp_path / "config.json", config) as process:
            assert process.poll() is None

    run_on_uvloop(test())


def test_permanent_error_fails_startup_at_once(tmp_path):
    """Guards against retrying an address that this host doesn't have."""
    process = start_gateway(
        tmp_path / "config.json", gateway_config(free_port(), name="n") | {"listen": "192.0.2.1:7"}
    )
    started_at = time.monotonic()
    error = process.communicate(timeout=20)[1]
    assert process.returncode == 2 and error.startswith("thymehinge: ") and error.count("\n") == 1
    assert time.monotonic() - started_at < 5.0


@pytest.mark.parametrize("delay", [0.0, 0.02, 0.04, 0.07, 0.1, 0.15, 0.2, 0.3])
def test_sighup_during_startup_does_not_end_process(tmp_path, delay):
    """Guards the deploy file's `run` command, which ignores SIGHUP until the program handles it."""

    async def test() -> None:
        port = free_port()
        process = start_gateway(tmp_path / "config.json", gateway_config(port), as_deployed=True)
        try:
            while b"python" not in Path(f"/proc/{process.pid}/cmdline").read_bytes().split(b"\0")[0]:
                await asyncio.sleep(0)  # the shell has not yet executed Python
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
def test_failed_accepts_do_not_delay_clients(tmp_path, error):
    """Guards requests with short deadlines against a pause in accepting after a failed accept."""

    async def test() -> None:
        connections: asyncio.Queue[RespConnection] = asyncio.Queue()
        server = await asyncio.start_server(
            lambda r, w: connections.put_nowait(RespConnection(r, w)), HOST, 0
        )
        address = "{}:{}".format(*server.sockets[0].getsockname())
        faults, port = FaultInjector(tmp_path, error=error), free_port()
        known = {"seq": 1, "whole": True, "hosts": [SERVER_ENTRY | {"dial": address}]}
        config = gateway_config(port) | {"known": known}
        async with running_gateway(tmp_path / "config.json", config, **faults.environ):
            faults.set(accept_share=400)
            open_clients = []  # kept open, since a closed connection makes the gateway accept again
            for client_number in range(12):
                client = RespConnection(*await asyncio.open_connection(HOST, port))
                client.write(
                    pack_request(fields=b"c=lookup,t=village,d=200").replace(
                        CUSTOMER_ID, b"%016x" % client_number
                    )
                )
                answer_task = asyncio.create_task(answer_request(connections))
                assert await client.read() == b"value"
                await answer_task
                open_clients.append(client)

    run_on_uvloop(test())


async def answer_request(connections: asyncio.Queue[RespConnection]) -> None:
    """Answer one request on the next new connection and close it."""
    server = await next_item(connections)
    await server.read()
    server.write(success_reply(b"value"))
    server.writer.close()


def test_reload_retries_until_file_can_be_opened(tmp_path):
    """Guards the 4 s for a reload when the file can't be opened for lack of descriptors."""

    async def test() -> None:
        faults, path, discovery = (
            FaultInjector(tmp_path, error=errno.ENFILE),
            tmp_path / "config.json",
            FakeDiscovery([SERVER_ENTRY]),
        )
        config, address = gateway_config(free_port()), await discovery.listen()
        async with running_gateway(path, config, **faults.environ) as process:
            path.write_text(json.dumps(config | {"discovery": address}))
            faults.set(open_share=ALL_CALLS)
            started_at = time.monotonic()
            process.send_signal(signal.SIGHUP)
            await asyncio.sleep(FAULT_DURATION)
            faults.set(open_share=0)
            while not discovery.calls:
                assert time.monotonic() < started_at + 4.0
                await asyncio.sleep(0.01)

    run_on_uvloop(test())
