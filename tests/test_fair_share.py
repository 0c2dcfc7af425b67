"""No connection's commands delay another connection's: processor time is shared among connections."""

from __future__ import annotations

import asyncio

import hiredis
import pytest
from hostile_clients import ANSWER_GRACE, BEHAVIOURS, RECONNECTING_BEHAVIOURS, parse_options, run
from netkit import WAIT_TIMEOUT, GatewayHarness, harness_with_server, pack_request, run_on_uvloop

from thymehinge import interface as api
from thymehinge.net.client_connection import ClientConnection

COMMAND_COST = 0.001  # seconds that a command of these tests takes, by the gateway's clock
PING = hiredis.pack_command(("PING",))


def make_commands_slow(harness: GatewayHarness, monkeypatch: pytest.MonkeyPatch) -> list[ClientConnection]:
    """Let each command take COMMAND_COST on the gateway's clock; return connections in order of service."""
    handle, served = ClientConnection.handle_command, []

    def handle_slowly(connection: ClientConnection, arguments: list[bytes]) -> None:
        harness.clock_offset += COMMAND_COST
        served.append(connection)
        handle(connection, arguments)

    monkeypatch.setattr(ClientConnection, "handle_command", handle_slowly)
    return served


@pytest.mark.parametrize("flooder_count", [1, 6, 20])
def test_request_does_not_wait_for_pipelined_commands_of_others(flooder_count, monkeypatch):
    async def test() -> None:
        harness, _ = await harness_with_server()
        make_commands_slow(harness, monkeypatch)
        usual = await harness.connect_raw_client(b"")
        flooders = [await harness.connect_raw_client(PING * 2000) for _ in range(flooder_count)]
        sent_at = harness.driver.clock()
        usual.sendall(pack_request())
        await harness.wait_for_event(api.Request)
        assert harness.driver.clock() - sent_at < ANSWER_GRACE
        for sock in (usual, *flooders):
            sock.close()

    run_on_uvloop(test())


def test_connections_are_served_alike(monkeypatch):
    async def test() -> None:
        harness, _ = await harness_with_server()
        served = make_commands_slow(harness, monkeypatch)
        flooders = [await harness.connect_raw_client(PING * 2000) for _ in range(5)]
        async with asyncio.timeout(WAIT_TIMEOUT):
            while len(served) < 1000:
                await asyncio.sleep(0)
        counts = [served.count(connection) for connection in harness.driver.clients.connections]
        served_flooders = [count for count in counts if count]
        assert len(served_flooders) == 5 and max(served_flooders) < 2 * min(served_flooders)
        for sock in flooders:
            sock.close()

    run_on_uvloop(test())


def test_pipelined_commands_beside_answers_of_servers_leave_the_loop_free(monkeypatch):
    """Guards against commands that are all processed within the event that ends their pause."""
    monkeypatch.setattr("thymehinge.net.client_connection.MAX_PIPELINED_COMMANDS", 2)

    async def test() -> None:
        harness, connections = await harness_with_server()
        served = make_commands_slow(harness, monkeypatch)
        client = await harness.connect_raw_client(pack_request() + PING * 2000)
        server = await asyncio.wait_for(connections.get(), WAIT_TIMEOUT)
        await server.read()
        async with asyncio.timeout(WAIT_TIMEOUT):
            while len(served) < 2:
                await asyncio.sleep(0)
        (connection,) = [c for c in harness.driver.clients.connections if c.pending]
        connection.pending[0].answer(b"-ERR failed\r\n")
        assert len(served) * COMMAND_COST < ANSWER_GRACE
        async with asyncio.timeout(WAIT_TIMEOUT):
            while len(served) < 2001:
                await asyncio.sleep(0)
        client.close()

    run_on_uvloop(test())


def test_kept_connection_is_served_while_others_connect_anew(monkeypatch):
    """Guards against kept connections that starve while others open a new connection for each command."""

    async def test() -> None:
        harness, _ = await harness_with_server()
        served = make_commands_slow(harness, monkeypatch)
        usual = await harness.connect_client()
        usual.write(PING)
        await usual.read()

        async def connect_anew() -> None:
            while len(served) < 5000:
                client = await harness.connect_client()
                client.write(PING)
                await client.read()
                client.writer.close()

        senders = [asyncio.create_task(connect_anew()) for _ in range(40)]
        async with asyncio.timeout(WAIT_TIMEOUT):
            while len(served) < 200:
                await asyncio.sleep(0)
            sent_at = harness.driver.clock()
            usual.write(pack_request())
            await harness.wait_for_event(api.Request)
        assert harness.driver.clock() - sent_at < ANSWER_GRACE
        for sender in senders:
            sender.cancel()

    run_on_uvloop(test())


def test_burst_on_idle_connections_does_not_delay_a_busy_one(monkeypatch):
    """Guards against many connections that were silent, and may all use their credit before a busy one."""

    async def test() -> None:
        harness, _ = await harness_with_server()
        served = make_commands_slow(harness, monkeypatch)
        busy, *idle = [await harness.connect_client() for _ in range(71)]
        for client in (*idle, busy):
            client.write(PING if client is not busy else PING * 100)
            await client.read()
        async with asyncio.timeout(WAIT_TIMEOUT):
            while len(served) < 170:
                await asyncio.sleep(0)
            sent_at = harness.driver.clock()
            for client in idle:
                client.write(PING * 20)
            while len(harness.driver.clients.turns.queue) < len(idle):
                await asyncio.sleep(0)
            busy.write(pack_request())
            await harness.wait_for_event(api.Request)
        assert harness.driver.clock() - sent_at < ANSWER_GRACE

    run_on_uvloop(test())


def test_connection_that_ends_while_it_waits_leaves_the_queue(monkeypatch):
    """Guards against connections that are kept in the queue, though no descriptor bounds their number."""

    async def test() -> None:
        harness, _ = await harness_with_server()
        client = await harness.connect_client()
        gateway_clients = harness.driver.clients
        monkeypatch.setattr(gateway_clients.turns, "schedule", lambda: None)  # nobody has a turn
        client.write(PING)
        async with asyncio.timeout(WAIT_TIMEOUT):
            while not gateway_clients.turns.queue:
                await asyncio.sleep(0)
            client.writer.close()
            while gateway_clients.connections:
                await asyncio.sleep(0)
        assert not gateway_clients.turns.queue

    run_on_uvloop(test())


@pytest.mark.parametrize("behaviour", sorted(RECONNECTING_BEHAVIOURS))
def test_usual_requests_are_answered_in_time_beside_senders_that_connect_anew(behaviour):
    options = [
        "--behaviour",
        behaviour,
        "--senders",
        "60",
        "--processes",
        "6",
        "--seconds",
        "4",
        "--seed",
        "47",
    ]
    results, peak, code = run(parse_options(options))
    assert (results.late, results.missing, code) == ([], 0, None)
    assert results.sent and peak < 192


@pytest.mark.parametrize("behaviour", sorted(BEHAVIOURS))
def test_usual_requests_are_answered_in_time_beside_hostile_senders(behaviour):
    results, peak, code = run(
        parse_options(["--behaviour", behaviour, "--senders", "6", "--seconds", "3", "--seed", "39"])
    )
    assert (results.late, results.missing, code) == ([], 0, None)
    assert results.sent and peak < 192
