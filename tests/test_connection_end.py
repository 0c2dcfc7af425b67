"""Closing client connections: pending requests are answered first, whatever the trigger."""

from __future__ import annotations

import asyncio
import os
import socket
from collections.abc import Callable

import hiredis
import pytest
from netkit import (
    REQUEST_ID,
    WAIT_TIMEOUT,
    GatewayHarness,
    RespConnection,
    harness_with_server,
    next_item,
    pack_request,
    raw_settings,
    request_in_flight,
    run_on_uvloop,
    success_reply,
)

from thymehinge.net import client_connection, clients
from thymehinge.net.client_connection import ClientConnection, Phase

OTHER_REQUEST_ID = REQUEST_ID[::-1]
PARTIAL_REQUEST = pack_request().replace(REQUEST_ID, OTHER_REQUEST_ID)[:20]
LARGE_VALUE = b"x" * 1024 * 1024
SOCKET_BUFFER_SIZE = 64 * 1024  # bytes; about what the kernel buffers at each end
UNKNOWN_COMMAND = hiredis.pack_command(("NONSENSE",))


async def wait_for_connection(
    harness: GatewayHarness, condition: Callable[[ClientConnection], bool]
) -> ClientConnection:
    """Wait for a connection of the gateway that satisfies a condition, and return it."""
    async with asyncio.timeout(WAIT_TIMEOUT):
        while True:
            for connection in harness.driver.clients.connections:
                if condition(connection):
                    return connection
            await asyncio.sleep(0)


def test_pending_request_is_answered_before_partial_command_timeout_closes():
    async def test() -> None:
        harness, connections = await harness_with_server()
        client, server = await request_in_flight(harness, connections, PARTIAL_REQUEST)
        await wait_for_connection(harness, lambda c: c in harness.driver.clients.mid_command)
        harness.sweep_after(clients.PARTIAL_COMMAND_TIMEOUT + 0.1)
        server.write(success_reply(b"value"))
        assert await client.read() == b"value"
        assert "does not come" in str(await client.read())
        assert await client.wait_closed()

    run_on_uvloop(test())


def test_pending_request_is_answered_before_invalid_commands_close():
    async def test() -> None:
        harness, connections = await harness_with_server()
        client, server = await request_in_flight(
            harness, connections, UNKNOWN_COMMAND * client_connection.MAX_INVALID_COMMANDS
        )
        await wait_for_connection(harness, lambda c: c.phase is client_connection.Phase.DRAINING)
        server.write(success_reply(b"value"))
        assert await client.read() == b"value"
        for _ in range(client_connection.MAX_INVALID_COMMANDS):
            assert isinstance(await client.read(), hiredis.ReplyError)
        assert await client.wait_closed()

    run_on_uvloop(test())


async def write_slowly(harness: GatewayHarness, client: RespConnection, data: bytes, interval: float) -> None:
    """Write a command in three chunks, with an interval in seconds of the gateway's clock between them."""
    third = len(data) // 3
    for chunk in (data[:third], data[third : 2 * third]):
        before = dict(harness.driver.clients.mid_command)
        client.write(chunk)
        await wait_for_connection(
            harness, lambda c, before=before: harness.driver.clients.mid_command != before
        )
        harness.clock_offset += interval
        harness.driver.clients.sweep()
    client.write(data[2 * third :])


def test_slow_first_command_is_accepted():
    """Guards the partial command timeout: it counts from the latest data, not the first."""

    async def test() -> None:
        harness, connections = await harness_with_server()
        client = await harness.connect_client()
        await write_slowly(harness, client, pack_request(), 0.9 * clients.PARTIAL_COMMAND_TIMEOUT)
        server = await next_item(connections)
        await server.read()
        server.write(success_reply(b"value"))
        assert await client.read() == b"value"

    run_on_uvloop(test())


def test_idle_timeout_does_not_close_mid_command():
    """Guards a command that is still arriving when the idle timeout of its connection expires."""

    async def test() -> None:
        harness, connections = await harness_with_server()
        client, server = await request_in_flight(harness, connections)
        server.write(success_reply(b"value"))
        assert await client.read() == b"value"
        client.write(PARTIAL_REQUEST)
        await wait_for_connection(harness, lambda c: c in harness.driver.clients.mid_command)
        harness.clock_offset += 0.9 * clients.PARTIAL_COMMAND_TIMEOUT
        harness.driver.clients.clock, clock = (
            lambda: clock() + clients.IDLE_TIMEOUT,
            harness.driver.clients.clock,
        )
        (connection,) = harness.driver.clients.mid_command
        harness.driver.clients.mid_command[connection] = connection.command_started_at = (
            harness.driver.clients.clock()
        )
        harness.driver.clients.sweep()
        assert connection.phase is client_connection.Phase.OPEN

    run_on_uvloop(test())


def test_slow_command_is_limited_by_longest_timeout():
    async def test() -> None:
        harness, _ = await harness_with_server()
        longest = harness.driver.clients.longest_timeout
        client = await harness.connect_client()
        client.write(PARTIAL_REQUEST)
        connection = await wait_for_connection(harness, lambda c: c in harness.driver.clients.mid_command)
        for _ in range(int(longest)):
            harness.clock_offset += 1.0
            client.write(b"0")
            before = len(connection.parser.buffer)
            await wait_for_connection(harness, lambda c, before=before: len(c.parser.buffer) > before)
            harness.driver.clients.sweep()
        harness.clock_offset += 1.0
        harness.driver.clients.sweep()
        assert connection.phase is client_connection.Phase.CLOSED
        assert "does not come" in str(await client.read())
        assert await client.wait_closed()

    run_on_uvloop(test())


def test_slow_command_is_accepted_when_all_timeouts_are_short():
    """Guards slow writers in deployments whose timeouts are shorter than the partial command timeout."""

    async def test() -> None:
        settings = raw_settings()
        for request_class in settings["classes"]:
            request_class |= {"aim_s": 0.2, "give_up_s": 0.4}
        harness, connections = await harness_with_server(settings=settings)
        client = await harness.connect_client()
        data = pack_request(fields=b"c=lookup,t=village,d=400")
        await write_slowly(harness, client, data, 0.9 * clients.PARTIAL_COMMAND_TIMEOUT / 2)
        server = await next_item(connections)
        await server.read()
        server.write(success_reply(b"value"))
        assert await client.read() == b"value"

    run_on_uvloop(test())


def test_partial_command_is_evicted_only_without_pending_requests():
    """Guards pending requests against eviction when descriptors are needed."""

    async def test() -> None:
        harness, connections = await harness_with_server()
        pending_client, server = await request_in_flight(harness, connections, PARTIAL_REQUEST)
        partial_client = await harness.connect_client()
        partial_client.write(PARTIAL_REQUEST)
        await wait_for_connection(harness, lambda c: len(harness.driver.clients.mid_command) == 2)
        harness.driver.clients.evict_connection()  # still within its grace
        assert len(harness.driver.clients.mid_command) == 2
        harness.clock_offset += 2 * clients.FIRST_REQUEST_GRACE
        harness.driver.clients.evict_connection()
        assert await partial_client.wait_closed()
        harness.driver.clients.evict_connection()
        server.write(success_reply(b"value"))
        assert await pending_client.read() == b"value"

    run_on_uvloop(test())


def test_drain_keeps_partial_command_until_its_timeout():
    async def test() -> None:
        harness, connections = await harness_with_server()
        client, server = await request_in_flight(harness, connections, PARTIAL_REQUEST)
        await wait_for_connection(harness, lambda c: c in harness.driver.clients.mid_command)
        harness.driver.clients.drain()
        server.write(success_reply(b"value"))
        assert await client.read() == b"value"
        assert not harness.driver.clients.drain()
        harness.sweep_after(clients.PARTIAL_COMMAND_TIMEOUT + 0.1)
        assert "does not come" in str(await client.read())
        assert await client.wait_closed()

    run_on_uvloop(test())


async def send_unread_large_answer(
    harness: GatewayHarness, connections: asyncio.Queue[RespConnection], following: bytes = b""
) -> tuple[RespConnection, ClientConnection]:
    """Send an answer that is larger than the kernel's buffers to a client that does not read it.

    Return the client and the gateway's end of its connection. `following` holds one more request, if any.
    """
    client = await harness.connect_client()
    (connection,) = harness.driver.clients.connections
    connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SOCKET_BUFFER_SIZE)
    client.limit_receiving(SOCKET_BUFFER_SIZE)
    client.stream_reader._transport.pause_reading()
    client.write(pack_request() + following)
    servers = [await next_item(connections) for _ in range(2 if following else 1)]
    for server in servers:
        if (await server.read())[2] == REQUEST_ID:
            server.write(success_reply(LARGE_VALUE))
    async with asyncio.timeout(WAIT_TIMEOUT):
        while not connection.transport.get_write_buffer_size():
            await asyncio.sleep(0)
    return client, connection


def test_unread_answer_survives_close_until_deadline():
    """Guards answers in the gateway's own buffers: the minimum linger timeout ends before the deadline."""

    async def test() -> None:
        harness, connections = await harness_with_server()
        client, connection = await send_unread_large_answer(harness, connections)
        harness.driver.clients.drain()
        assert connection.phase is client_connection.Phase.CLOSED
        harness.sweep_after(client_connection.MIN_LINGER_TIMEOUT + 0.5)  # before the deadline of 3 s
        client.stream_reader._transport.resume_reading()
        assert await client.read() == LARGE_VALUE
        assert await client.wait_closed()

    run_on_uvloop(test())


def test_unread_answer_is_dropped_after_deadline():
    """Guards descriptors against clients that never read."""

    async def test() -> None:
        harness, connections = await harness_with_server()
        _, connection = await send_unread_large_answer(harness, connections)
        harness.driver.clients.drain()
        harness.sweep_after(3.0 + client_connection.ANSWER_GRACE)
        async with asyncio.timeout(WAIT_TIMEOUT):
            while harness.driver.clients.connections:
                await asyncio.sleep(0)
        assert connection.transport.is_closing()

    run_on_uvloop(test())


@pytest.mark.parametrize(("seconds", "stays_open"), [(40.0, True), (301.0, False)])
def test_slow_reader_timeout_follows_longest_class_timeout(seconds, stays_open):
    """Guards deployments whose timeouts exceed the minimum slow reader timeout of 30 s."""

    async def test() -> None:
        settings = raw_settings()
        settings["classes"][0] |= {"aim_s": 60.0, "give_up_s": 300.0}
        harness, connections = await harness_with_server(settings=settings)
        _, connection = await send_unread_large_answer(
            harness, connections, pack_request().replace(REQUEST_ID, OTHER_REQUEST_ID)
        )
        harness.sweep_after(seconds)
        assert (connection.phase is client_connection.Phase.OPEN) is stays_open

    run_on_uvloop(test())


def test_new_connection_is_not_evicted_before_first_request():
    """Guards first requests in transit: a new connection must not evict the one before."""

    async def test() -> None:
        harness, connections = await harness_with_server()
        harness.driver.clients.max_connections = 2
        new_clients = [await harness.connect_client() for _ in range(3)]
        async with asyncio.timeout(WAIT_TIMEOUT):
            while not harness.driver.clients.accept_paused:
                await asyncio.sleep(0)
        assert len(harness.driver.clients.awaiting_first_request) == 2
        harness.driver.clients.evict_connection()
        for index, client in enumerate(new_clients[:2]):
            client.write(pack_request().replace(REQUEST_ID, b"%016x" % index))
            server = await next_item(connections)
            await server.read()
            server.write(success_reply(b"value"))
            assert await client.read() == b"value"
        harness.driver.clients.sweep()  # both are idle now, and one of them is evicted
        new_clients[2].write(pack_request())
        server = await next_item(connections)
        await server.read()
        server.write(success_reply(b"value"))
        assert await new_clients[2].read() == b"value"

    run_on_uvloop(test())


def expire_idle(harness: GatewayHarness) -> None:
    harness.sweep_after(clients.IDLE_TIMEOUT + 1.0)


def evict_one(harness: GatewayHarness) -> None:
    harness.driver.clients.evict_connection()


def start_drain(harness: GatewayHarness) -> None:
    harness.driver.clients.drain()


@pytest.mark.parametrize("trigger_close", [expire_idle, evict_one, start_drain])
def test_unread_request_keeps_connection_open(trigger_close):
    """Guards requests that race with a close: after a stall they may be unread in the kernel's buffer."""

    async def test() -> None:
        harness, connections = await harness_with_server()
        client, server = await request_in_flight(harness, connections)
        server.write(success_reply(b"first"))
        assert await client.read() == b"first"
        await harness.wait_reusable("s1")
        os.write(
            client.writer.get_extra_info("socket").fileno(),
            pack_request().replace(REQUEST_ID, OTHER_REQUEST_ID),
        )
        trigger_close(harness)  # without a turn of the event loop since the write
        await server.read()
        server.write(success_reply(b"second"))
        assert await client.read() == b"second"

    run_on_uvloop(test())


@pytest.mark.parametrize("value_size", [10, 10**6])
def test_replies_arrive_although_data_behind_a_protocol_error_is_unread(value_size):
    """Guards against a reset by a close over unread data, which discards replies still in transit."""

    async def test() -> None:
        harness, connections = await harness_with_server()
        harness.driver.clients.read_buffer = bytearray(1024)  # the rest stays in the kernel
        client = await harness.connect_client()
        client.write(pack_request() + b"GET / HTTP\r\n\r\n" * 3000)
        server = await next_item(connections)
        await server.read()
        (connection,) = harness.driver.clients.connections
        async with asyncio.timeout(WAIT_TIMEOUT):
            while connection.phase is Phase.OPEN:
                await asyncio.sleep(0)
            client.stream_reader._transport.pause_reading()
            server.write(success_reply(b"x" * value_size))
            while connection.phase is not Phase.CLOSED:
                await asyncio.sleep(0)
        client.stream_reader._transport.resume_reading()
        assert await client.read() == b"x" * value_size
        assert "Protocol error" in str(await client.read())

    run_on_uvloop(test())
