"""How this side ends a client's connection: what is in hand is answered first, whatever ends it."""

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
from thymehinge.net.client_connection import ClientConnection

OTHER = REQUEST_ID[::-1]
HALF = pack_request().replace(REQUEST_ID, OTHER)[:20]
LARGE = b"x" * 1024 * 1024
KERNEL = 64 * 1024  # bytes that each end of a connection takes in unread, about
NONSENSE = hiredis.pack_command(("NONSENSE",))


async def connection_where(
    kit: GatewayHarness, condition: Callable[[ClientConnection], bool]
) -> ClientConnection:
    """Wait for a connection that this side sees in some condition."""
    async with asyncio.timeout(WAIT_TIMEOUT):
        while True:
            for connection in kit.driver.clients.connections:
                if condition(connection):
                    return connection
            await asyncio.sleep(0)


def test_a_request_is_answered_before_silence_in_the_next_command_ends_the_connection():
    async def test() -> None:
        kit, came = await harness_with_server()
        client, server = await request_in_flight(kit, came, HALF)
        await connection_where(kit, lambda c: c in kit.driver.clients.mid_command)
        kit.sweep_after(clients.PARTIAL_COMMAND_TIMEOUT + 0.1)
        server.write(success_reply(b"value"))
        assert await client.read() == b"value"
        assert "does not come" in str(await client.read())
        assert await client.wait_closed()

    run_on_uvloop(test())


def test_a_request_is_answered_before_nonsensical_commands_end_the_connection():
    async def test() -> None:
        kit, came = await harness_with_server()
        client, server = await request_in_flight(kit, came, NONSENSE * client_connection.MAX_INVALID_COMMANDS)
        await connection_where(kit, lambda c: c.phase is client_connection.Phase.DRAINING)
        server.write(success_reply(b"value"))
        assert await client.read() == b"value"
        for _ in range(client_connection.MAX_INVALID_COMMANDS):
            assert isinstance(await client.read(), hiredis.ReplyError)
        assert await client.wait_closed()

    run_on_uvloop(test())


async def write_slowly(kit: GatewayHarness, client: RespConnection, data: bytes, gap: float) -> None:
    """Write a command in three pieces with so many seconds of the gateway's clock between them."""
    third = len(data) // 3
    for piece in (data[:third], data[third : 2 * third]):
        before = dict(kit.driver.clients.mid_command)
        client.write(piece)
        await connection_where(kit, lambda c, before=before: kit.driver.clients.mid_command != before)
        kit.clock_offset += gap
        kit.driver.clients.sweep()
    client.write(data[2 * third :])


def test_a_new_client_may_write_its_first_command_slowly():
    """Guards the limit on silence: it counts from the latest byte, not from the first."""

    async def test() -> None:
        kit, came = await harness_with_server()
        client = await kit.connect_client()
        await write_slowly(kit, client, pack_request(), 0.9 * clients.PARTIAL_COMMAND_TIMEOUT)
        server = await next_item(came)
        await server.read()
        server.write(success_reply(b"value"))
        assert await client.read() == b"value"

    run_on_uvloop(test())


def test_a_client_that_asks_again_at_last_is_not_ended_as_one_that_rests():
    """Guards a command that is coming when its connection has been idle for as long as it may."""

    async def test() -> None:
        kit, came = await harness_with_server()
        client, server = await request_in_flight(kit, came)
        server.write(success_reply(b"value"))
        assert await client.read() == b"value"
        client.write(HALF)
        await connection_where(kit, lambda c: c in kit.driver.clients.mid_command)
        kit.clock_offset += 0.9 * clients.PARTIAL_COMMAND_TIMEOUT
        kit.driver.clients.clock, clock = lambda: clock() + clients.IDLE_TIMEOUT, kit.driver.clients.clock
        (connection,) = kit.driver.clients.mid_command
        kit.driver.clients.mid_command[connection] = connection.command_started_at = (
            kit.driver.clients.clock()
        )
        kit.driver.clients.sweep()
        assert connection.phase is client_connection.Phase.OPEN

    run_on_uvloop(test())


def test_a_command_in_pieces_is_bounded_by_the_longest_deadline():
    async def test() -> None:
        kit, _ = await harness_with_server()
        longest = kit.driver.clients.longest_timeout
        client = await kit.connect_client()
        client.write(HALF)
        connection = await connection_where(kit, lambda c: c in kit.driver.clients.mid_command)
        for _ in range(int(longest)):
            kit.clock_offset += 1.0
            client.write(b"0")
            before = len(connection.parser.buffer)
            await connection_where(kit, lambda c, before=before: len(c.parser.buffer) > before)
            kit.driver.clients.sweep()
        kit.clock_offset += 1.0
        kit.driver.clients.sweep()
        assert connection.phase is client_connection.Phase.CLOSED
        assert "does not come" in str(await client.read())
        assert await client.wait_closed()

    run_on_uvloop(test())


def test_a_command_in_pieces_has_its_time_also_where_all_deadlines_are_short():
    """Guards slow writers on days whose requests have less than the silence that is borne."""

    async def test() -> None:
        settings = raw_settings()
        for cls in settings["classes"]:
            cls |= {"aim_s": 0.2, "give_up_s": 0.4}
        kit, came = await harness_with_server(settings=settings)
        client = await kit.connect_client()
        data = pack_request(fields=b"c=lookup,t=village,d=400")
        await write_slowly(kit, client, data, 0.9 * clients.PARTIAL_COMMAND_TIMEOUT / 2)
        server = await next_item(came)
        await server.read()
        server.write(success_reply(b"value"))
        assert await client.read() == b"value"

    run_on_uvloop(test())


def test_half_a_command_makes_way_only_with_nothing_in_hand():
    """Guards requests where others wait for a descriptor."""

    async def test() -> None:
        kit, came = await harness_with_server()
        busy, server = await request_in_flight(kit, came, HALF)
        halfway = await kit.connect_client()
        halfway.write(HALF)
        await connection_where(kit, lambda c: len(kit.driver.clients.mid_command) == 2)
        kit.driver.clients.evict_connection()  # it has been at it for a moment only
        assert len(kit.driver.clients.mid_command) == 2
        kit.clock_offset += 2 * clients.FIRST_REQUEST_GRACE
        kit.driver.clients.evict_connection()
        assert await halfway.wait_closed()
        kit.driver.clients.evict_connection()
        server.write(success_reply(b"value"))
        assert await busy.read() == b"value"

    run_on_uvloop(test())


def test_a_drain_leaves_half_a_command_its_time_and_ends_it_after_silence():
    async def test() -> None:
        kit, came = await harness_with_server()
        client, server = await request_in_flight(kit, came, HALF)
        await connection_where(kit, lambda c: c in kit.driver.clients.mid_command)
        kit.driver.clients.drain()
        server.write(success_reply(b"value"))
        assert await client.read() == b"value"
        assert not kit.driver.clients.drain()
        kit.sweep_after(clients.PARTIAL_COMMAND_TIMEOUT + 0.1)
        assert "does not come" in str(await client.read())
        assert await client.wait_closed()

    run_on_uvloop(test())


async def large_answer_unread(
    kit: GatewayHarness, came: asyncio.Queue[RespConnection], behind: bytes = b""
) -> tuple[RespConnection, ClientConnection]:
    """A client that reads nothing, and an answer on its way that is more than the kernel takes."""
    client = await kit.connect_client()
    (connection,) = kit.driver.clients.connections
    connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, KERNEL)
    client.limit_receiving(KERNEL)
    client.stream_reader._transport.pause_reading()
    client.write(pack_request() + behind)
    servers = [await next_item(came) for _ in range(2 if behind else 1)]
    for server in servers:
        if (await server.read())[2] == REQUEST_ID:
            server.write(success_reply(LARGE))
    async with asyncio.timeout(WAIT_TIMEOUT):
        while not connection.transport.get_write_buffer_size():
            await asyncio.sleep(0)
    return client, connection


def test_an_answer_that_lies_unread_at_the_close_stays_until_its_deadline():
    """Guards answers that wait in our own buffers: a second was all that they had."""

    async def test() -> None:
        kit, came = await harness_with_server()
        client, connection = await large_answer_unread(kit, came)
        kit.driver.clients.drain()
        assert connection.phase is client_connection.Phase.CLOSED
        kit.sweep_after(client_connection.LINGER_TIMEOUT + 0.5)  # its client waits for 3 s
        client.stream_reader._transport.resume_reading()
        assert await client.read() == LARGE
        assert await client.wait_closed()

    run_on_uvloop(test())


def test_an_answer_that_lies_unread_past_its_deadline_is_dropped():
    """Guards descriptors against clients that read nothing."""

    async def test() -> None:
        kit, came = await harness_with_server()
        _, connection = await large_answer_unread(kit, came)
        kit.driver.clients.drain()
        kit.sweep_after(3.0 + client_connection.ANSWER_GRACE)
        async with asyncio.timeout(WAIT_TIMEOUT):
            while kit.driver.clients.connections:
                await asyncio.sleep(0)
        assert connection.transport.is_closing()

    run_on_uvloop(test())


@pytest.mark.parametrize(("seconds", "kept"), [(40.0, True), (301.0, False)])
def test_answers_may_lie_unread_for_as_long_as_a_class_may_wait(seconds, kept):
    """Guards deployments whose requests may take longer than the half minute that was the bound."""

    async def test() -> None:
        settings = raw_settings()
        settings["classes"][0] |= {"aim_s": 60.0, "give_up_s": 300.0}
        kit, came = await harness_with_server(settings=settings)
        _, connection = await large_answer_unread(kit, came, pack_request().replace(REQUEST_ID, OTHER))
        kit.sweep_after(seconds)
        assert (connection.phase is client_connection.Phase.OPEN) is kept

    run_on_uvloop(test())


def test_who_has_just_come_does_not_make_way_before_asking():
    """Guards first requests on their way: where nobody was idle, each newcomer pushed out the last one."""

    async def test() -> None:
        kit, came = await harness_with_server()
        kit.driver.clients.max_connections = 2
        crowd = [await kit.connect_client() for _ in range(3)]
        async with asyncio.timeout(WAIT_TIMEOUT):
            while not kit.driver.clients.accept_paused:
                await asyncio.sleep(0)
        assert len(kit.driver.clients.awaiting_first_request) == 2
        kit.driver.clients.evict_connection()
        for i, client in enumerate(crowd[:2]):
            client.write(pack_request().replace(REQUEST_ID, b"%016x" % i))
            server = await next_item(came)
            await server.read()
            server.write(success_reply(b"value"))
            assert await client.read() == b"value"
        kit.driver.clients.sweep()  # those two are idle now, and one of them makes way
        crowd[2].write(pack_request())
        server = await next_item(came)
        await server.read()
        server.write(success_reply(b"value"))
        assert await crowd[2].read() == b"value"

    run_on_uvloop(test())


def end_of_idleness(kit: GatewayHarness) -> None:
    kit.sweep_after(clients.IDLE_TIMEOUT + 1.0)


def need_of_a_descriptor(kit: GatewayHarness) -> None:
    kit.driver.clients.evict_connection()


def end_of_the_process(kit: GatewayHarness) -> None:
    kit.driver.clients.drain()


@pytest.mark.parametrize("ends", [end_of_idleness, need_of_a_descriptor, end_of_the_process])
def test_a_request_that_lies_unread_keeps_its_connection_open(ends):
    """Guards what crosses an end: after a stall a request may have lain in the kernel for a while."""

    async def test() -> None:
        kit, came = await harness_with_server()
        client, server = await request_in_flight(kit, came)
        server.write(success_reply(b"first"))
        assert await client.read() == b"first"
        await kit.wait_reusable("s1")
        os.write(client.writer.get_extra_info("socket").fileno(), pack_request().replace(REQUEST_ID, OTHER))
        ends(kit)  # with no turn of the loop since
        await server.read()
        server.write(success_reply(b"second"))
        assert await client.read() == b"second"

    run_on_uvloop(test())
