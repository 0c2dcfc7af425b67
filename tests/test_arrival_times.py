"""A request's time counts from its last byte, wherever that lay before it was read."""

from __future__ import annotations

import asyncio
import re
import time
from contextlib import suppress

import hiredis
import pytest
from netkit import (
    CUSTOMER_ID,
    HOST,
    REQUEST_ID,
    WAIT_TIMEOUT,
    GatewayHarness,
    RespConnection,
    harness_with_server,
    host_list,
    next_item,
    pack_request,
    raw_settings,
    run_on_uvloop,
    success_reply,
)

from thymehinge import interface as api

SLACK = 0.15  # s that the time told to a server may be over what is left, by the standing test
GRACE = 0.5  # s past its time in which an answer still counts as one
TIME_TOLD = re.compile(rb"d=([0-9]+)")


def numbered(i: int, fields: bytes) -> bytes:
    """A request of its own id and customer."""
    return pack_request(fields=fields).replace(REQUEST_ID, b"%016x" % i).replace(CUSTOMER_ID, b"%016x" % i)


class SlowServer:
    """Answers after a delay, and notes until when each request was to be waited for."""

    def __init__(self, delay: float, clock) -> None:
        self.delay, self.clock, self.ends = delay, clock, []

    async def listen(self) -> str:
        listener = await asyncio.start_server(self.serve, HOST, 0)
        return "{}:{}".format(*listener.sockets[0].getsockname())

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        wire = RespConnection(reader, writer)
        with suppress(EOFError, ConnectionError, TimeoutError):
            while True:
                words = await wire.read()
                self.ends.append(self.clock() + int(TIME_TOLD.search(words[3])[1]) / 1000)
                await asyncio.sleep(self.delay)
                wire.write(success_reply(words[2]))


def test_hundreds_of_commands_at_once_have_their_time_from_when_they_came():
    """Guards the time told: commands beyond those in hand began their time when they were read on."""

    async def test() -> None:
        settings = raw_settings()
        settings["contracts"][0] |= {"refill": 1000.0, "burst": 1000.0}
        kit = GatewayHarness(settings=settings)
        servers = [SlowServer(0.7, kit.driver.clock) for _ in range(4)]
        dials = {f"s{i}": await server.listen() for i, server in enumerate(servers)}
        kit.driver.on_list(host_list(**dials))
        client, many = await kit.connect_client(), 900
        client.write(b"".join(numbered(i, b"c=lookup,t=village,d=1000") for i in range(many)))
        sent = kit.driver.clock()
        for _ in range(many):
            await client.read()
        assert kit.driver.clock() - sent < 1.0 + GRACE
        ends = [end for server in servers for end in server.ends]
        assert ends and max(ends) <= sent + 1.0 + SLACK

    run_on_uvloop(test())


@pytest.mark.parametrize("how", ["full", "slow"])
def test_what_lies_unread_while_reading_is_paused_loses_its_time(how, monkeypatch):
    """Guards the time told: the kernel holds the second request while we read no further."""
    monkeypatch.setattr("thymehinge.net.client_connection.MAX_PIPELINED_COMMANDS", 2)
    first = 2 if how == "full" else 1

    async def test() -> None:
        kit, came = await harness_with_server()
        client = await kit.connect_client()
        client.write(b"".join(numbered(i, b"c=lookup,t=village,d=3000") for i in range(first)))
        servers = [await next_item(came) for _ in range(first)]
        (connection,) = kit.driver.clients.connections
        if how == "slow":
            connection.pause_writing()
        for _ in range(first):
            await kit.wait_for_event(api.Request)
        await asyncio.sleep(0.6)
        kit.driver.clients.sweep()
        client.write(numbered(7, b"c=lookup,t=village,d=1000"))
        await asyncio.sleep(0.6)
        if how == "slow":
            connection.resume_writing()
        for server in servers:
            await server.read()
            server.write(success_reply(b"value"))
        second = await kit.wait_for_event(api.Request)
        assert second.time_left <= 0.4 + 0.02
        assert second.time_left > 0.0  # it did not lie there for as long as reading was paused

    run_on_uvloop(test())


def test_what_came_while_its_connection_waited_to_be_taken_in_loses_its_time():
    """Guards the time told: the machine has accepted the connection, which waits for a descriptor."""

    async def test() -> None:
        kit, came = await harness_with_server()
        first = await kit.connect_client()
        first.write(pack_request())
        await (await next_item(came)).read()
        await kit.wait_for_event(api.Request)
        kit.driver.clients.max_connections = 1
        waiting = await kit.connect_client()
        async with asyncio.timeout(WAIT_TIMEOUT):
            while not kit.driver.clients.accept_paused:
                await asyncio.sleep(0)
        await asyncio.sleep(0.3)
        waiting.write(numbered(2, b"c=lookup,t=village,d=1000"))
        await asyncio.sleep(0.5)
        kit.driver.clients.max_connections = 2
        kit.driver.clients.sweep()
        second = await kit.wait_for_event(api.Request)
        assert 0.3 < second.time_left <= 0.5 + 0.02

    run_on_uvloop(test())


@pytest.mark.parametrize("wait", [b"1", b"3"])
def test_a_request_with_no_time_left_is_refused_at_once(wait):
    """Guards the time told: what is sent on has a millisecond at least."""

    async def test() -> None:
        kit, came = await harness_with_server()
        client = await kit.connect_client()
        client.write(pack_request(fields=b"c=lookup,t=village,d=" + wait))
        assert str(await client.read()).startswith("BUSY")
        assert came.empty() and not kit.driver.exchanges and not kit.driver.clients.pending_ids
        assert kit.events.empty() or not isinstance(kit.events.get_nowait(), api.Request)

    run_on_uvloop(test())


def test_a_retry_is_told_what_is_left_then():
    """Guards it for a further attempt: the first took most of the time, its failure came late."""

    async def test() -> None:
        kit, came = await harness_with_server()
        client = await kit.connect_client()
        client.write(pack_request(fields=b"c=lookup,t=village,d=3000"))
        server = await next_item(came)
        await server.read()
        kit.clock_offset += 2.0
        server.write(b"-ERR failed\r\n")
        again = await next_item(came)
        words = await again.read()
        assert int(TIME_TOLD.search(words[3])[1]) <= 1000
        again.write(success_reply(b"value"))
        assert await client.read() == b"value"

    run_on_uvloop(test())


def test_what_is_refused_for_want_of_time_harms_no_other():
    async def test() -> None:
        kit, came = await harness_with_server()
        client = await kit.connect_client()
        client.write(numbered(1, b"c=lookup,t=village,d=2") + numbered(1, b"c=lookup,t=village,d=3000"))
        server = await next_item(came)
        assert (await server.read())[2] == b"%016x" % 1
        server.write(success_reply(b"value"))
        assert isinstance(await client.read(), hiredis.ReplyError)
        assert await client.read() == b"value"

    run_on_uvloop(test())


def test_what_came_while_the_process_stood_still_loses_its_time():
    """Guards the time told: the kernel knows when the data came, which this process reads only now."""

    async def test() -> None:
        kit, _ = await harness_with_server()
        client = await kit.connect_raw_client(b"")
        while not kit.driver.clients.connections:
            await asyncio.sleep(0)
        client.sendall(pack_request(fields=b"c=lookup,t=village,d=1000"))
        time.sleep(0.3)
        assert 0.5 < (await kit.wait_for_event(api.Request)).time_left <= 0.7 + 0.02
        client.close()

    run_on_uvloop(test())


def test_the_time_told_leaves_a_margin_for_the_way_to_the_server():
    """Guards it where the process is held up for all of the slack between its clock and the write."""

    async def test() -> None:
        kit, came = await harness_with_server()
        client = await kit.connect_client()
        client.write(pack_request(fields=b"c=lookup,t=village,d=1000"))
        words = await (await next_item(came)).read()
        assert int(TIME_TOLD.search(words[3])[1]) <= 1000 - 10

    run_on_uvloop(test())


@pytest.mark.parametrize("data", [hiredis.pack_command(("PING",)), pack_request()[:60]])
def test_what_is_kept_of_arrivals_does_not_grow(data):
    """Guards the memory limit: thousands of small pieces, with no request among them or of one."""

    async def test() -> None:
        kit, _ = await harness_with_server()
        client = await kit.connect_client()
        client.write(hiredis.pack_command(("PING",)))
        await client.read()
        (connection,) = kit.driver.clients.connections
        for i in range(2000):
            connection.data_received(data if len(data) < 60 else data[i : i + 1])
        assert len(connection.arrival_times.marks) <= 2

    run_on_uvloop(test())


def test_the_time_told_with_a_large_body_leaves_the_time_that_its_write_may_take():
    """Guards the time told: the server begins once the last byte has come, which a slow write delays."""

    async def test() -> None:
        kit, came = await harness_with_server()
        client = await kit.connect_client()
        client.write(pack_request(b"API.WRITE", b"c=order,t=village,d=1000,k=5c0f", b"y" * 60_000))
        words = await (await next_item(came)).read()
        assert int(TIME_TOLD.search(words[3])[1]) <= 1000 - 10 - 100

    run_on_uvloop(test())
