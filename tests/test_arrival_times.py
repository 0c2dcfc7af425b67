"""A request's timeout counts from the arrival of its last byte, even if it is read later."""

from __future__ import annotations

import asyncio
import os
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
from processor_wait import read_processor_wait

from thymehinge import interface as api
from thymehinge.net.client_connection import READ_BUFFER_BYTES
from thymehinge.net.exchange import Exchange

DEADLINE_SLACK = 0.15  # seconds by which a server's deadline may be later than the client's
ANSWER_GRACE = 0.5  # seconds after its deadline for which an answer still counts as on time
TIMEOUT_FIELD = re.compile(rb"d=([0-9]+)")


def numbered_request(number: int, fields: bytes) -> bytes:
    """Encode a request with an id and a customer of this number."""
    return (
        pack_request(fields=fields)
        .replace(REQUEST_ID, b"%016x" % number)
        .replace(CUSTOMER_ID, b"%016x" % number)
    )


class SlowServer:
    """A table server that answers after a delay in seconds and records the deadline of each request."""

    def __init__(self, delay: float, clock) -> None:
        self.delay, self.clock, self.deadlines = delay, clock, []

    async def listen(self) -> str:
        """Start the server and return its address."""
        listener = await asyncio.start_server(self.serve, HOST, 0)
        return "{}:{}".format(*listener.sockets[0].getsockname())

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        connection = RespConnection(reader, writer)
        with suppress(EOFError, ConnectionError, TimeoutError):
            while True:
                arguments = await connection.read()
                self.deadlines.append(self.clock() + int(TIMEOUT_FIELD.search(arguments[3])[1]) / 1000)
                await asyncio.sleep(self.delay)
                connection.write(success_reply(arguments[2]))


def test_timeout_of_pipelined_commands_counts_from_arrival():
    """Guards the forwarded timeout of commands beyond the pipeline limit, which are parsed late."""

    async def test() -> None:
        settings = raw_settings()
        settings["contracts"][0] |= {"refill": 1000.0, "burst": 1000.0}
        harness = GatewayHarness(settings=settings)
        servers = [SlowServer(0.7, harness.driver.clock) for _ in range(4)]
        addresses = {f"s{index}": await server.listen() for index, server in enumerate(servers)}
        harness.driver.on_list(host_list(**addresses))
        client, request_count = await harness.connect_client(), 900
        client.write(
            b"".join(numbered_request(index, b"c=lookup,t=village,d=1000") for index in range(request_count))
        )
        sent_at, waited_before = harness.driver.clock(), read_processor_wait(os.getpid())
        for _ in range(request_count):
            await client.read()
        elapsed = harness.driver.clock() - sent_at
        waited = read_processor_wait(os.getpid()) - waited_before
        assert elapsed < 1.0 + ANSWER_GRACE, f"{elapsed:.3f} s, {waited:.3f} s of it without a processor"
        deadlines = [deadline for server in servers for deadline in server.deadlines]
        assert deadlines and max(deadlines) <= sent_at + 1.0 + DEADLINE_SLACK

    run_on_uvloop(test())


def test_arrival_of_data_beyond_one_read_is_not_delayed_by_processing():
    """Guards the forwarded timeout of commands that are read only after the ones before were processed."""

    async def test() -> None:
        harness, received_at = GatewayHarness(), []

        def process_slowly(exchange: Exchange) -> None:
            received_at.append(exchange.received_at)
            harness.clock_offset += 0.01
            exchange.answer(b"-BUSY\r\n")

        harness.driver.clients.on_request = process_slowly
        request_count = 3 * READ_BUFFER_BYTES // 100
        data = b"".join(numbered_request(n, b"c=lookup,t=village,d=1000") for n in range(request_count))
        client = await harness.connect_raw_client(data)
        sent_at = harness.driver.clock()
        async with asyncio.timeout(WAIT_TIMEOUT):
            while len(received_at) < request_count:
                await asyncio.sleep(0)
        client.close()
        assert max(received_at) <= sent_at + DEADLINE_SLACK

    run_on_uvloop(test())


@pytest.mark.parametrize("pause_reason", ["full", "slow"])
def test_timeout_counts_while_reading_is_paused(pause_reason, monkeypatch):
    """Guards the forwarded timeout of a request that is in the kernel's buffer while reading is paused."""
    monkeypatch.setattr("thymehinge.net.client_connection.MAX_PIPELINED_COMMANDS", 2)
    first_count = 2 if pause_reason == "full" else 1

    async def test() -> None:
        harness, connections = await harness_with_server()
        client = await harness.connect_client()
        client.write(
            b"".join(numbered_request(number, b"c=lookup,t=village,d=3000") for number in range(first_count))
        )
        servers = [await next_item(connections) for _ in range(first_count)]
        (connection,) = harness.driver.clients.connections
        if pause_reason == "slow":
            connection.pause_writing()
        for _ in range(first_count):
            await harness.wait_for_event(api.Request)
        await asyncio.sleep(0.6)
        harness.driver.clients.sweep()
        client.write(numbered_request(7, b"c=lookup,t=village,d=1000"))
        await asyncio.sleep(0.6)
        if pause_reason == "slow":
            connection.resume_writing()
        for server in servers:
            await server.read()
            server.write(success_reply(b"value"))
        second = await harness.wait_for_event(api.Request)
        assert second.time_left <= 0.4 + 0.02
        assert second.time_left > 0.0  # it arrived after reading was paused

    run_on_uvloop(test())


def test_timeout_counts_while_connection_is_in_backlog():
    """Guards the forwarded timeout of a request whose connection waits in the backlog for a descriptor."""

    async def test() -> None:
        harness, connections = await harness_with_server()
        first_client = await harness.connect_client()
        first_client.write(pack_request())
        await (await next_item(connections)).read()
        await harness.wait_for_event(api.Request)
        harness.driver.clients.max_connections = 1
        backlog_client = await harness.connect_client()
        async with asyncio.timeout(WAIT_TIMEOUT):
            while not harness.driver.clients.accept_paused:
                await asyncio.sleep(0)
        await asyncio.sleep(0.3)
        backlog_client.write(numbered_request(2, b"c=lookup,t=village,d=1000"))
        await asyncio.sleep(0.5)
        harness.driver.clients.max_connections = 2
        harness.driver.clients.sweep()
        second = await harness.wait_for_event(api.Request)
        assert 0.3 < second.time_left <= 0.5 + 0.02

    run_on_uvloop(test())


@pytest.mark.parametrize("timeout_ms", [b"1", b"3"])
def test_request_without_time_left_is_refused(timeout_ms):
    """Guards the forwarded timeout, which is at least 1 ms: a request with less time left is not sent."""

    async def test() -> None:
        harness, connections = await harness_with_server()
        client = await harness.connect_client()
        client.write(pack_request(fields=b"c=lookup,t=village,d=" + timeout_ms))
        assert str(await client.read()).startswith("BUSY")
        assert (
            connections.empty() and not harness.driver.exchanges and not harness.driver.clients.ids.open_ids
        )
        assert harness.events.empty() or not isinstance(harness.events.get_nowait(), api.Request)

    run_on_uvloop(test())


def test_retry_is_sent_remaining_time():
    """Guards the forwarded timeout of a retry after a first attempt that failed late."""

    async def test() -> None:
        harness, connections = await harness_with_server()
        client = await harness.connect_client()
        client.write(pack_request(fields=b"c=lookup,t=village,d=3000"))
        server = await next_item(connections)
        await server.read()
        harness.clock_offset += 2.0
        server.write(b"-ERR failed\r\n")
        retry_server = await next_item(connections)
        arguments = await retry_server.read()
        assert int(TIMEOUT_FIELD.search(arguments[3])[1]) <= 1000
        retry_server.write(success_reply(b"value"))
        assert await client.read() == b"value"

    run_on_uvloop(test())


def test_refusal_for_lack_of_time_does_not_affect_next_request():
    async def test() -> None:
        harness, connections = await harness_with_server()
        client = await harness.connect_client()
        client.write(
            numbered_request(1, b"c=lookup,t=village,d=2") + numbered_request(1, b"c=lookup,t=village,d=3000")
        )
        server = await next_item(connections)
        assert (await server.read())[2] == b"%016x" % 1
        server.write(success_reply(b"value"))
        assert isinstance(await client.read(), hiredis.ReplyError)
        assert await client.read() == b"value"

    run_on_uvloop(test())


def test_timeout_counts_while_process_is_stalled():
    """Guards the forwarded timeout of a request that arrives during a stall, by the kernel's arrival time."""

    async def test() -> None:
        harness, _ = await harness_with_server()
        client = await harness.connect_raw_client(b"")
        while not harness.driver.clients.connections:
            await asyncio.sleep(0)
        client.sendall(pack_request(fields=b"c=lookup,t=village,d=1000"))
        time.sleep(0.3)
        assert 0.5 < (await harness.wait_for_event(api.Request)).time_left <= 0.7 + 0.02
        client.close()

    run_on_uvloop(test())


def test_forwarded_timeout_leaves_margin_for_transit():
    """Guards the forwarded timeout if the process stalls between reading its clock and the write."""

    async def test() -> None:
        harness, connections = await harness_with_server()
        client = await harness.connect_client()
        client.write(pack_request(fields=b"c=lookup,t=village,d=1000"))
        arguments = await (await next_item(connections)).read()
        assert int(TIMEOUT_FIELD.search(arguments[3])[1]) <= 1000 - 10

    run_on_uvloop(test())


@pytest.mark.parametrize("data", [hiredis.pack_command(("PING",)), pack_request()[:60]])
def test_arrival_marks_stay_bounded(data):
    """Guards the memory limit: thousands of small chunks without a complete request."""

    async def test() -> None:
        harness, _ = await harness_with_server()
        client = await harness.connect_client()
        client.write(hiredis.pack_command(("PING",)))
        await client.read()
        (connection,) = harness.driver.clients.connections
        for index in range(2000):
            connection.data_received(data if len(data) < 60 else data[index : index + 1])
        assert len(connection.arrival_times.marks) <= 2

    run_on_uvloop(test())


def test_forwarded_timeout_leaves_time_to_write_large_body():
    """Guards the forwarded timeout: a slow write delays the last byte, at which the server starts."""

    async def test() -> None:
        harness, connections = await harness_with_server()
        client = await harness.connect_client()
        client.write(pack_request(b"API.WRITE", b"c=order,t=village,d=1000,k=5c0f", b"y" * 60_000))
        arguments = await (await next_item(connections)).read()
        assert int(TIMEOUT_FIELD.search(arguments[3])[1]) <= 1000 - 10 - 100

    run_on_uvloop(test())
