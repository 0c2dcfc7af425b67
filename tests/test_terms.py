"""Clauses of docs/terms-audit.md at their limits, where no other test file covers them."""

from __future__ import annotations

import ast
import asyncio
import json
import signal
import socket
import time
from contextlib import suppress

import hiredis
import pytest
from discoverykit import SERVER_ENTRY, FakeDiscovery
from faultkit import FaultInjector
from netkit import (
    CUSTOMER_ID,
    HOST,
    REQUEST_ID,
    RespConnection,
    harness_with_server,
    host_list,
    next_item,
    pack_request,
    raw_config,
    raw_settings,
    request_in_flight,
    run_on_uvloop,
    success_reply,
)
from processkit import ROOT, free_port, running_gateway
from rules import CheckedGateway, make_settings

from thymehinge import interface as api

STALL_DURATION = 0.15  # seconds


def test_64_kib_body_is_forwarded_unchanged():
    """P1: the largest body."""

    async def test() -> None:
        harness, connections = await harness_with_server()
        client, body = await harness.connect_client(), b"y" * 65536
        client.write(pack_request(b"API.WRITE", b"c=order,t=village,d=3000,k=5c0f", body))
        server = await next_item(connections)
        assert (await server.read())[4] == body
        server.write(success_reply(b"value"))
        assert await client.read() == b"value"

    run_on_uvloop(test())


def test_program_writes_no_file():
    """D1: no state on disk; a full $TMPDIR has no effect."""
    for path in (ROOT / "thymehinge").rglob("*.py"):
        if "emulator" in path.parts:
            continue
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.Call) and isinstance(node.func, ast.Name) and node.func.id == "open":
                modes = [a.value for a in node.args[1:2] if isinstance(a, ast.Constant)]
                assert not modes or set(modes[0]) <= set("rbt"), f"{path}:{node.lineno}"


@pytest.mark.parametrize("enabled", [True, False])
@pytest.mark.parametrize("retry_after", [0.0, 0.5, 60.0])
def test_retry_after_respects_settings(enabled, retry_after):
    """W13: no retry time unless enabled, and never above the maximum."""
    checked = CheckedGateway(make_settings(retry_after_enabled=enabled, max_retry_after=1.0))
    checked.request()
    job = next(iter(checked.wrapped.jobs.values()))
    checked.wrapped.actions = []
    checked.wrapped.reject(checked.now, job, refuse=True, retry_after=retry_after)
    (refusal,) = (a for a in checked.wrapped.actions if isinstance(a, api.Refuse))
    assert refusal.retry_after == (min(retry_after, 1.0) if enabled else 0.0)


PARTIAL_COMMANDS = [
    b"*",
    b"*4",
    b"*4\r",
    b"*4\r\n",
    b"*4\r\n$8\r\nAPI.",
    b"*4\r\n$8\r\nAPI.READ\r",
    pack_request()[:-1],
    pack_request(b"API.WRITE", b"c=order,t=village,d=3000,k=1", b"y" * 60_000)[:-30_000],
    pack_request().replace(REQUEST_ID, REQUEST_ID[::-1]) + pack_request()[:40],
]


def test_partial_command_is_answered_or_closed_within_three_seconds(tmp_path):
    """O4 and Y1: clients stop in the middle of a command and keep the connection open."""

    async def measure_end(port: int, data: bytes) -> float:
        """Return the seconds until the gateway answers with the timeout error or closes."""
        client, started_at = RespConnection(*await asyncio.open_connection(HOST, port)), time.monotonic()
        client.write(data)
        with suppress(EOFError, ConnectionError):
            while "does not come" not in str(await client.read()):
                pass
        return time.monotonic() - started_at

    async def test() -> None:
        port = free_port()
        config = raw_config(listen=f"{HOST}:{port}", discovery=f"{HOST}:1", known=KNOWN_HOSTS)
        async with running_gateway(tmp_path / "config.json", config):
            durations = await asyncio.gather(*(measure_end(port, data) for data in PARTIAL_COMMANDS))
        assert max(durations) < 3.0, durations

    run_on_uvloop(test())


KNOWN_HOSTS = {"seq": 1, "whole": True, "hosts": [SERVER_ENTRY]}


def test_last_of_several_reloads_takes_effect(tmp_path):
    """Y5 and O5: repeated SIGHUP, one of them with a partly written file, and a return to an old address."""

    async def test() -> None:
        port, path = free_port(), tmp_path / "config.json"
        discoveries = [FakeDiscovery([SERVER_ENTRY]) for _ in range(3)]
        addresses = [await discovery.listen() for discovery in discoveries]
        config = raw_config(listen=f"{HOST}:{port}", discovery=addresses[0], known=KNOWN_HOSTS)
        async with running_gateway(path, config) as process:
            for address in (addresses[1], addresses[2], None, addresses[0], addresses[2]):
                path.write_text(json.dumps(config | {"discovery": address}) if address else "{ half")
                process.send_signal(signal.SIGHUP)
                await asyncio.sleep(0.02)
            sent_before, started_at = discoveries[2].bytes_sent, time.monotonic()
            # answers to cancelled watches count too
            while discoveries[2].bytes_sent <= sent_before:
                await asyncio.sleep(0.01)
                assert time.monotonic() - started_at < 4.0
            calls_before = discoveries[0].calls, discoveries[1].calls
            await asyncio.sleep(2.5)  # longer than a watch: the others get no more calls
            assert (discoveries[0].calls, discoveries[1].calls) == calls_before and process.poll() is None

    run_on_uvloop(test())


@pytest.mark.parametrize("timeout", [0.3, 1.0, 3.0, 6.0])
def test_drain_with_hanging_servers_answers_all_before_earliest_kill(tmp_path, timeout):
    """P27, S8, O9 and O24: servers never answer, and clients send requests until the kill."""

    async def test() -> None:
        connections: asyncio.Queue[RespConnection] = asyncio.Queue()
        listener = await asyncio.start_server(
            lambda r, w: connections.put_nowait(RespConnection(r, w)), HOST, 0
        )
        address = "{}:{}".format(*listener.sockets[0].getsockname())
        port = free_port()
        settings = raw_settings()
        for request_class in settings["classes"]:
            request_class["give_up_s"] = timeout
        known = {"seq": 1, "whole": True, "hosts": [SERVER_ENTRY | {"dial": address}]}
        config = raw_config(listen=f"{HOST}:{port}", discovery=f"{HOST}:1", known=known, settings=settings)
        async with running_gateway(tmp_path / "config.json", config) as process:
            client = RespConnection(*await asyncio.open_connection(HOST, port))
            fields, sent_count, answer_count = b"c=lookup,t=village,d=%d" % (timeout * 1000), 0, 0
            client.write(pack_request(fields=fields))
            await (await next_item(connections)).read()
            process.send_signal(signal.SIGTERM)
            sent_count, kill_at = 1, time.monotonic() + min(timeout, 3.0) + 0.7
            with suppress(EOFError, ConnectionError):
                while time.monotonic() < kill_at:
                    read_task = asyncio.create_task(client.read())
                    await asyncio.wait([read_task], timeout=0.1)
                    if not read_task.done():
                        number = b"%016x" % sent_count
                        client.write(
                            pack_request(fields=fields)
                            .replace(REQUEST_ID, number)
                            .replace(CUSTOMER_ID, number)
                        )
                        sent_count += 1
                    assert isinstance(await read_task, hiredis.ReplyError)
                    answer_count += 1
            for repeated_signal in (signal.SIGHUP, signal.SIGTERM):
                if process.poll() is None:
                    process.send_signal(repeated_signal)
            assert await asyncio.to_thread(process.wait, max(0.01, kill_at - time.monotonic())) == 0
            # the last request may be unread when the gateway closes
            assert answer_count >= 1 and sent_count - answer_count <= 1

    run_on_uvloop(test())


def test_small_writes_are_sent_without_delay():
    """S19: TCP_NODELAY is set towards clients and servers, so no answer waits for an acknowledgement."""

    async def test() -> None:
        harness, connections = await harness_with_server()
        await request_in_flight(harness, connections)
        (client,) = harness.driver.clients.connections
        (exchange,) = harness.driver.exchanges.values()
        server_transport = exchange.attempts[0].connection.transport
        for sock in (client.sock, server_transport.get_extra_info("socket")):
            assert sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY) != 0

    run_on_uvloop(test())


def test_stalled_process_sends_nothing_to_drained_server_past_grace(tmp_path):
    """O10 and O12: half of the writes stall for 0.15 s while discovery lists a server as draining."""

    async def test() -> None:
        received_at: list[float] = []

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            connection = RespConnection(reader, writer)
            with suppress(EOFError, ConnectionError, TimeoutError):
                while True:
                    arguments = await connection.read()
                    received_at.append(time.monotonic())
                    connection.write(success_reply(arguments[2]))

        listener = await asyncio.start_server(serve, HOST, 0)
        entry = SERVER_ENTRY | {"dial": "{}:{}".format(*listener.sockets[0].getsockname())}
        discovery, port = FakeDiscovery([entry]), free_port()
        config = raw_config(listen=f"{HOST}:{port}", discovery=await discovery.listen(), known=None)
        injector = FaultInjector(tmp_path, stall_ms=round(STALL_DURATION * 1000))
        async with running_gateway(tmp_path / "config.json", config, **injector.environ):
            injector.set(stall_share=500)
            client = RespConnection(*await asyncio.open_connection(HOST, port))

            async def send_request(number: int) -> None:
                fields = b"c=lookup,t=village,d=900"
                client.write(
                    pack_request(fields=fields)
                    .replace(REQUEST_ID, b"%016x" % number)
                    .replace(CUSTOMER_ID, b"%016x" % number)
                )
                await client.read()

            for number in range(5):
                await send_request(number)
            discovery.update_entry(entry["host"], health="Terminating")
            drained_at = time.monotonic()
            for number in range(5, 15):
                await send_request(number)
                if time.monotonic() > drained_at + 2.0:
                    break
        # the drain grace of the settings; the change is published at once here
        assert received_at and max(received_at) <= drained_at + 1.0

    run_on_uvloop(test())


def test_unknown_server_in_delta_is_accepted():
    """P17 and S20: a server that was never listed is gone, or drains."""

    async def test() -> None:
        harness, _ = await harness_with_server()
        harness.driver.on_list(host_list(2, False, s9=None))
        harness.driver.on_list(host_list(3, False, s8=(f"{HOST}:1", "Terminating")))
        assert harness.driver.gateway.fleet.servers.keys() == {"s1", "s8"}
        assert harness.driver.servers.pools.keys() == {"s1"}

    run_on_uvloop(test())


def test_signals_during_exit_are_ignored(tmp_path):
    """D2 and Y4: SIGHUP may arrive until a process that drains has exited."""

    async def test() -> None:
        for _ in range(4):
            port = free_port()
            config = raw_config(listen=f"{HOST}:{port}", discovery=f"{HOST}:1", known=KNOWN_HOSTS)
            async with running_gateway(tmp_path / "config.json", config) as process:
                process.send_signal(signal.SIGTERM)
                while process.poll() is None:
                    process.send_signal(signal.SIGHUP)
                    await asyncio.sleep(0.0005)
                assert process.returncode == 0

    run_on_uvloop(test())


def test_server_drained_before_start_receives_nothing_after_first_list(tmp_path):
    """S1: the known list is out of date; discovery's list applies from the start of the process."""

    async def test() -> None:
        receivers: list[str] = []

        async def table_server(name: str) -> dict:
            async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
                connection = RespConnection(reader, writer)
                with suppress(EOFError, ConnectionError, TimeoutError):
                    while True:
                        arguments = await connection.read()
                        receivers.append(name)
                        connection.write(success_reply(arguments[2]))

            listener = await asyncio.start_server(serve, HOST, 0)
            return SERVER_ENTRY | {"host": name, "dial": "{}:{}".format(*listener.sockets[0].getsockname())}

        old, new = await table_server("old"), await table_server("new")
        discovery, port = FakeDiscovery([old | {"health": "Terminating"}, new], 0.5), free_port()
        known = {"seq": 1, "whole": True, "hosts": [old, new]}
        config = raw_config(listen=f"{HOST}:{port}", discovery=await discovery.listen(), known=known)
        started_at = time.monotonic()
        async with running_gateway(tmp_path / "config.json", config):
            client, number = RespConnection(*await asyncio.open_connection(HOST, port)), 0
            while time.monotonic() < started_at + 3.0:
                number += 1
                request = (
                    pack_request()
                    .replace(REQUEST_ID, b"%016x" % number)
                    .replace(CUSTOMER_ID, b"%016x" % number)
                )
                client.write(request)
                await client.read()
                if time.monotonic() < started_at + 1.0:  # the drain grace of the settings
                    receivers.clear()
                await asyncio.sleep(0.01)
        assert receivers and set(receivers) == {"new"}

    run_on_uvloop(test())
