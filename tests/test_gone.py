"""Clients that close their connection: nothing is sent for them, even if the close is read late."""

from __future__ import annotations

import asyncio
import time
from contextlib import suppress

import hiredis
import pytest
from netkit import (
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
)
from term_judge import CLIENT_CLOSE_DELAY, TIMING_SLACK

from thymehinge import interface as api
from thymehinge.decisions import QuotaCodec
from thymehinge.net import client_connection
from thymehinge.net.client_connection import Phase

MAX_BLOCKED_TURNS = 100  # event loop turns without progress after which a client stops sending
OTHER_REQUEST_ID = REQUEST_ID[::-1]


async def assert_nothing_sent(harness: GatewayHarness, server) -> None:
    """Assert that no request is left, and that the server's connection closes without any data."""
    await harness.wait_reusable("s1")
    assert (
        not harness.driver.exchanges
        and not harness.driver.gateway.jobs
        and not harness.driver.clients.ids.open_ids
    )
    harness.driver.servers.pools["s1"].close()
    assert await server.wait_closed()


def fill_pipeline(harness: GatewayHarness) -> bytes:
    """Return another request, which reaches the limit on pending commands."""
    return pack_request().replace(REQUEST_ID, OTHER_REQUEST_ID)


def exceed_invalid_commands(harness: GatewayHarness) -> bytes:
    """Return enough invalid commands to close the connection."""
    return hiredis.pack_command(("NONSENSE",)) * client_connection.MAX_INVALID_COMMANDS


def mark_slow_reader(harness: GatewayHarness) -> bytes:
    """Pause reading as for a client that does not read its replies; return no data."""
    (connection,) = [c for c in harness.driver.clients.connections if c.pending]
    connection.pause_writing()
    return b""


@pytest.mark.parametrize("pause_reading", [fill_pipeline, exceed_invalid_commands, mark_slow_reader])
def test_client_close_is_detected_while_reading_is_paused(pause_reading, monkeypatch):
    """Guards against sending for a client that has closed while its request waits for a connection."""
    if pause_reading is fill_pipeline:
        monkeypatch.setattr(client_connection, "MAX_PIPELINED_COMMANDS", 2)

    async def test() -> None:
        harness = GatewayHarness()
        address, connections = await harness.start_server()
        connect_gate = harness.hold_connects()
        harness.driver.on_list(host_list(s1=address))
        client = await harness.connect_raw_client(pack_request())
        await harness.wait_for_event(api.Request)
        client.sendall(pause_reading(harness))
        (connection,) = [c for c in harness.driver.clients.connections if c.pending]
        async with asyncio.timeout(WAIT_TIMEOUT):
            while not (
                connection.pipeline_full or connection.phase is not Phase.OPEN or connection.slow_reader
            ):
                await asyncio.sleep(0)
        client.close()
        connect_gate.set()
        await assert_nothing_sent(harness, await next_item(connections))

    run_on_uvloop(test())


@pytest.mark.parametrize(
    "following", [b"", hiredis.pack_command(("NONSENSE",)) * client_connection.MAX_INVALID_COMMANDS]
)
def test_no_retry_starts_after_client_close(following):
    """Guards against a retry if the server's rejection and the close arrive in the same loop turn."""

    async def test() -> None:
        harness, connections = await harness_with_server()
        client = await harness.connect_raw_client(pack_request() + following)
        server = await next_item(connections)
        await server.read()
        (exchange,) = harness.driver.exchanges.values()
        client.close()
        (attempt,) = exchange.attempts
        # as if the rejection had been read before the close
        harness.driver.servers.abort_attempt(attempt, api.Result.REJECTED)
        assert not any(a.connection or a.in_flight for a in exchange.attempts)
        assert not harness.driver.exchanges and not harness.driver.gateway.jobs
        assert await server.wait_closed() and connections.empty()

    run_on_uvloop(test())


def test_request_read_after_client_close_is_not_sent():
    """Guards against sending after a stall: the command and the close are read from the socket together."""

    async def test() -> None:
        harness, connections = await harness_with_server()
        pool = harness.driver.servers.pools["s1"]
        harness.driver.servers.spawn(pool.connect())
        pool.connecting, harness.driver.servers.connecting = 1, 1
        server = await next_item(connections)
        await harness.wait_reusable("s1")
        (await harness.connect_raw_client(pack_request())).close()
        await harness.wait_for_event(api.ClientGone)
        await assert_nothing_sent(harness, server)

    run_on_uvloop(test())


def test_grant_read_before_client_close_sends_nothing():
    """Guards against sending for a request that waits for a quota grant, which is read before the close."""

    async def test() -> None:
        settings = raw_settings()
        settings["balancers"], settings["bounds"]["peers"] = 2, True
        settings["family_info"] = {**settings["family_info"], "peer_in_per_s": 100.0}
        harness = GatewayHarness(settings=settings, peer_listen=f"{HOST}:1")
        address, _ = await harness.start_server()
        harness.driver.on_list(host_list(s1=address))
        gateway, client = harness.driver.gateway, None
        for customer_id in range(100):  # until one is owned by the other gateway
            data = pack_request(fields=b"c=lookup,t=village,d=3000,spread=2,first=0").replace(
                b"00000000b4d65521", b"%016x" % customer_id
            )
            client = await harness.connect_raw_client(data)
            await harness.wait_for_event(api.Request)
            job = next(iter(gateway.jobs.values()), None)
            if job is not None and job.owner == 1:
                break
            client.close()
            await harness.wait_for_event(api.ClientGone)
        client.close()
        entry = QuotaCodec.pack_entry(QuotaCodec.GRANT, job.tag, customer_id, 0, job.units, 0.0, 1.0)
        harness.driver.on_peer(1, QuotaCodec.encode(4.0, [entry]))
        assert not harness.driver.exchanges and not gateway.jobs
        assert not any(p.waiting or p.connecting for p in harness.driver.servers.pools.values())

    run_on_uvloop(test())


def request_of_one_customer(number: int) -> bytes:
    name = b"%016x" % number
    return hiredis.pack_command((b"API.READ", b"%016x" % 7, name, b"c=lookup,t=village,d=5000"))


@pytest.mark.parametrize(
    ("request_count", "memory_mb"), [(1_000, 192), (3_000, 192), (20_000, 192), (60_000, 192), (60_000, 8)]
)
def test_no_attempt_starts_after_close_behind_unread_requests(request_count, memory_mb):
    """Guards against sending requests that wait for tokens while their client's close is not read yet."""

    async def test() -> None:
        harness = GatewayHarness(limits={"cores": 1.0, "memory_mb": memory_mb, "sockets": 256})
        received_at = []

        async def record_attempts(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while await RespConnection(reader, writer).read():
                received_at.append(time.monotonic())

        listener = await asyncio.start_server(record_attempts, HOST, 0)
        address = "{}:{}".format(*listener.sockets[0].getsockname())
        harness.driver.on_list(host_list(**{f"s{number}": address for number in range(12)}))
        client = await harness.connect_raw_client(b"")
        data = b"".join(request_of_one_customer(number) for number in range(request_count))
        sent = blocked_turns = 0
        client.setblocking(False)
        async with asyncio.timeout(WAIT_TIMEOUT):
            while sent < len(data) and blocked_turns < MAX_BLOCKED_TURNS:
                try:
                    sent += client.send(data[sent:])
                    blocked_turns = 0
                except BlockingIOError:  # the kernel's buffers are full
                    blocked_turns += 1
                await asyncio.sleep(0)
        client.close()
        closed_at = time.monotonic()
        with suppress(TimeoutError):
            async with asyncio.timeout(1.5):  # further tokens come after 0.5 and 1 s
                await harness.wait_for_event(api.ClientGone)
                while harness.driver.exchanges:
                    await asyncio.sleep(0.01)
        assert not [at for at in received_at if at > closed_at + CLIENT_CLOSE_DELAY + TIMING_SLACK]

    run_on_uvloop(test())
