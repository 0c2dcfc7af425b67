"""Clauses of docs/terms-audit.md at their limits, where no other file of tests holds them."""

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

STALL = 0.15  # s that a gateway may be held up


def test_a_body_of_64_kib_is_forwarded_whole():
    """P1."""

    async def test() -> None:
        kit, came = await harness_with_server()
        client, body = await kit.connect_client(), b"y" * 65536
        client.write(pack_request(b"API.WRITE", b"c=order,t=village,d=3000,k=5c0f", body))
        server = await next_item(came)
        assert (await server.read())[4] == body
        server.write(success_reply(b"value"))
        assert await client.read() == b"value"

    run_on_uvloop(test())


def test_the_program_writes_no_file():
    """D1: nothing lasts, and a full $TMPDIR changes nothing."""
    for path in (ROOT / "thymehinge").rglob("*.py"):
        if "emulator" in path.parts:
            continue
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.Call) and isinstance(node.func, ast.Name) and node.func.id == "open":
                modes = [a.value for a in node.args[1:2] if isinstance(a, ast.Constant)]
                assert not modes or set(modes[0]) <= set("rbt"), f"{path}:{node.lineno}"


@pytest.mark.parametrize("allowed", [True, False])
@pytest.mark.parametrize("advice", [0.0, 0.5, 60.0])
def test_advice_keeps_to_the_settings(allowed, advice):
    """W13: none where it is not allowed, never more than the most."""
    d = CheckedGateway(make_settings(retry_after_enabled=allowed, max_retry_after=1.0))
    d.request()
    job = next(iter(d.gateway.jobs.values()))
    d.gateway.actions = []
    d.gateway.reject(d.now, job, refuse=True, retry_after=advice)
    (refusal,) = (a for a in d.gateway.actions if isinstance(a, api.Refuse))
    assert refusal.retry_after == (min(advice, 1.0) if allowed else 0.0)


HALVES = [  # beginnings of commands, of nine kinds
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


def test_half_a_command_is_answered_or_closed_within_three_seconds(tmp_path):
    """O4 and Y1, at the program: its clients stop in the middle and stay."""

    async def half(port: int, data: bytes) -> float:
        client, begun = RespConnection(*await asyncio.open_connection(HOST, port)), time.monotonic()
        client.write(data)
        with suppress(EOFError, ConnectionError):
            while "does not come" not in str(await client.read()):
                pass
        return time.monotonic() - begun

    async def test() -> None:
        port = free_port()
        config = raw_config(listen=f"{HOST}:{port}", discovery=f"{HOST}:1", known=LISTED)
        async with running_gateway(tmp_path / "config.json", config):
            took = await asyncio.gather(*(half(port, data) for data in HALVES))
        assert max(took) < 3.0, took

    run_on_uvloop(test())


LISTED = {"seq": 1, "whole": True, "hosts": [SERVER_ENTRY]}


def test_the_last_of_several_configurations_counts(tmp_path):
    """Y5 and O5: SIGHUP after SIGHUP, the file half written in between, back and forth."""

    async def test() -> None:
        port, path = free_port(), tmp_path / "config.json"
        agents = [FakeDiscovery([SERVER_ENTRY]) for _ in range(3)]
        addresses = [await agent.listen() for agent in agents]
        config = raw_config(listen=f"{HOST}:{port}", discovery=addresses[0], known=LISTED)
        async with running_gateway(path, config) as process:
            for address in (addresses[1], addresses[2], None, addresses[0], addresses[2]):
                path.write_text(json.dumps(config | {"discovery": address}) if address else "{ half")
                process.send_signal(signal.SIGHUP)
                await asyncio.sleep(0.02)
            before, begun = agents[2].bytes_sent, time.monotonic()
            while agents[2].bytes_sent <= before:  # a watch that was broken off is answered too, to nobody
                await asyncio.sleep(0.01)
                assert time.monotonic() - begun < 4.0
            seen = agents[0].calls, agents[1].calls
            await asyncio.sleep(2.5)  # longer than a watch: the others are asked no more
            assert (agents[0].calls, agents[1].calls) == seen and process.poll() is None

    run_on_uvloop(test())


@pytest.mark.parametrize("deadline", [0.3, 1.0, 3.0, 6.0])
def test_a_drain_with_hanging_servers_answers_all_before_the_earliest_kill(tmp_path, deadline):
    """P27, S8, O9, O24: servers hang through all of it, and clients go on asking up to the kill."""

    async def test() -> None:
        came: asyncio.Queue[RespConnection] = asyncio.Queue()
        server = await asyncio.start_server(lambda r, w: came.put_nowait(RespConnection(r, w)), HOST, 0)
        dial = "{}:{}".format(*server.sockets[0].getsockname())
        port = free_port()
        raw = raw_settings()
        for cls in raw["classes"]:
            cls["give_up_s"] = deadline
        known = {"seq": 1, "whole": True, "hosts": [SERVER_ENTRY | {"dial": dial}]}
        config = raw_config(listen=f"{HOST}:{port}", discovery=f"{HOST}:1", known=known, settings=raw)
        async with running_gateway(tmp_path / "config.json", config) as process:
            client = RespConnection(*await asyncio.open_connection(HOST, port))
            fields, sent, answers = b"c=lookup,t=village,d=%d" % (deadline * 1000), 0, 0
            client.write(pack_request(fields=fields))
            await (await next_item(came)).read()
            process.send_signal(signal.SIGTERM)
            sent, kill = 1, time.monotonic() + min(deadline, 3.0) + 0.7
            with suppress(EOFError, ConnectionError):
                while time.monotonic() < kill:
                    reading = asyncio.create_task(client.read())
                    await asyncio.wait([reading], timeout=0.1)
                    if not reading.done():
                        number = b"%016x" % sent
                        client.write(
                            pack_request(fields=fields)
                            .replace(REQUEST_ID, number)
                            .replace(CUSTOMER_ID, number)
                        )
                        sent += 1
                    assert isinstance(await reading, hiredis.ReplyError)
                    answers += 1
            for signal_again in (signal.SIGHUP, signal.SIGTERM):
                if process.poll() is None:
                    process.send_signal(signal_again)
            assert await asyncio.to_thread(process.wait, max(0.01, kill - time.monotonic())) == 0
            assert answers >= 1 and sent - answers <= 1  # the last one may cross the end unread

    run_on_uvloop(test())


def test_small_writes_leave_at_once():
    """S19: both sides' sockets, so that no answer waits for the acknowledgement of the one before."""

    async def test() -> None:
        kit, came = await harness_with_server()
        await request_in_flight(kit, came)
        (client,) = kit.driver.clients.connections
        (exchange,) = kit.driver.exchanges.values()
        server = exchange.attempts[0].connection.transport
        for sock in (client.sock, server.get_extra_info("socket")):
            assert sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY) != 0

    run_on_uvloop(test())


def test_a_process_that_is_held_up_sends_nothing_to_a_drained_server_past_its_grace(tmp_path):
    """O10 and O12: each second write is held up for 0.15 s while a server is told to drain."""

    async def test() -> None:
        begun: list[float] = []

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            wire = RespConnection(reader, writer)
            with suppress(EOFError, ConnectionError, TimeoutError):
                while True:
                    words = await wire.read()
                    begun.append(time.monotonic())
                    wire.write(success_reply(words[2]))

        server = await asyncio.start_server(serve, HOST, 0)
        entry = SERVER_ENTRY | {"dial": "{}:{}".format(*server.sockets[0].getsockname())}
        agent, port = FakeDiscovery([entry]), free_port()
        config = raw_config(listen=f"{HOST}:{port}", discovery=await agent.listen(), known=None)
        faults = FaultInjector(tmp_path, stall_ms=round(STALL * 1000))
        async with running_gateway(tmp_path / "config.json", config, **faults.environ):
            faults.set(stall_share=500)
            client = RespConnection(*await asyncio.open_connection(HOST, port))

            async def ask(number: int) -> None:
                fields = b"c=lookup,t=village,d=900"
                client.write(
                    pack_request(fields=fields)
                    .replace(REQUEST_ID, b"%016x" % number)
                    .replace(CUSTOMER_ID, b"%016x" % number)
                )
                await client.read()

            for number in range(5):
                await ask(number)
            agent.update_entry(entry["host"], health="Terminating")
            told = time.monotonic()
            for number in range(5, 15):
                await ask(number)
                if time.monotonic() > told + 2.0:
                    break
        assert begun and max(begun) <= told + 1.0  # the settings' grace; they are told at once here

    run_on_uvloop(test())


def test_an_unknown_server_in_the_list_of_changes_is_no_fault():
    """P17 and S20: a server that was never named goes, or drains."""

    async def test() -> None:
        kit, _ = await harness_with_server()
        kit.driver.on_list(host_list(2, False, s9=None))
        kit.driver.on_list(host_list(3, False, s8=(f"{HOST}:1", "Terminating")))
        assert kit.driver.gateway.fleet.servers.keys() == {"s1", "s8"}
        assert kit.driver.servers.pools.keys() == {"s1"}

    run_on_uvloop(test())


def test_signals_after_the_last_answer_of_a_drain_change_nothing(tmp_path):
    """D2 and Y4: a new configuration may come up to the very end of a process that was told to end."""

    async def test() -> None:
        for _ in range(4):
            port = free_port()
            config = raw_config(listen=f"{HOST}:{port}", discovery=f"{HOST}:1", known=LISTED)
            async with running_gateway(tmp_path / "config.json", config) as process:
                process.send_signal(signal.SIGTERM)
                while process.poll() is None:
                    process.send_signal(signal.SIGHUP)
                    await asyncio.sleep(0.0005)
                assert process.returncode == 0

    run_on_uvloop(test())


def test_a_server_that_drained_before_the_start_is_not_sent_to_once_the_list_has_come(tmp_path):
    """S1: the known list is old; what the agent has counts as told from the first moment of a process."""

    async def test() -> None:
        asked: list[str] = []

        async def table_server(name: str) -> dict:
            async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
                wire = RespConnection(reader, writer)
                with suppress(EOFError, ConnectionError, TimeoutError):
                    while True:
                        words = await wire.read()
                        asked.append(name)
                        wire.write(success_reply(words[2]))

            server = await asyncio.start_server(serve, HOST, 0)
            return SERVER_ENTRY | {"host": name, "dial": "{}:{}".format(*server.sockets[0].getsockname())}

        old, new = await table_server("old"), await table_server("new")
        agent, port = FakeDiscovery([old | {"health": "Terminating"}, new], 0.5), free_port()
        known = {"seq": 1, "whole": True, "hosts": [old, new]}
        config = raw_config(listen=f"{HOST}:{port}", discovery=await agent.listen(), known=known)
        begun = time.monotonic()
        async with running_gateway(tmp_path / "config.json", config):
            client, number = RespConnection(*await asyncio.open_connection(HOST, port)), 0
            while time.monotonic() < begun + 3.0:
                number += 1
                ids = (
                    pack_request()
                    .replace(REQUEST_ID, b"%016x" % number)
                    .replace(CUSTOMER_ID, b"%016x" % number)
                )
                client.write(ids)
                await client.read()
                if time.monotonic() < begun + 1.0:  # the settings' grace
                    asked.clear()
                await asyncio.sleep(0.01)
        assert asked and set(asked) == {"new"}

    run_on_uvloop(test())
