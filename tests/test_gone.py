"""A client that closes has gone: nothing is sent on for it any more, also where the close is read late."""

from __future__ import annotations

import asyncio

import hiredis
import pytest
from netkit import (
    HOST,
    REQUEST_ID,
    WAIT_TIMEOUT,
    GatewayHarness,
    harness_with_server,
    host_list,
    next_item,
    pack_request,
    raw_settings,
    run_on_uvloop,
)

from thymehinge import interface as api
from thymehinge.decisions import QuotaCodec
from thymehinge.net import client_connection
from thymehinge.net.client_connection import Phase

OTHER = REQUEST_ID[::-1]


async def nothing_goes_out(kit: GatewayHarness, server) -> None:
    """What was in hand is over, and the connection to the server ends with nothing written on it."""
    await kit.wait_reusable("s1")
    assert not kit.driver.exchanges and not kit.driver.gateway.jobs and not kit.driver.clients.pending_ids
    kit.driver.servers.pools["s1"].close()
    assert await server.wait_closed()


def pause_full(kit: GatewayHarness) -> bytes:
    return pack_request().replace(REQUEST_ID, OTHER)


def pause_bad(kit: GatewayHarness) -> bytes:
    return hiredis.pack_command(("NONSENSE",)) * client_connection.MAX_INVALID_COMMANDS


def pause_slow(kit: GatewayHarness) -> bytes:
    (connection,) = [c for c in kit.driver.clients.connections if c.pending]
    connection.pause_writing()
    return b""


@pytest.mark.parametrize("pause", [pause_full, pause_bad, pause_slow])
def test_a_close_is_noticed_while_reading_is_paused(pause, monkeypatch):
    """Guards the term on clients that have left: the request waits for a connection."""
    if pause is pause_full:
        monkeypatch.setattr(client_connection, "MAX_PIPELINED_COMMANDS", 2)

    async def test() -> None:
        kit = GatewayHarness()
        dial, came = await kit.start_server()
        gate = kit.hold_connects()
        kit.driver.on_list(host_list(s1=dial))
        client = await kit.connect_raw_client(pack_request())
        await kit.wait_for_event(api.Request)
        client.sendall(pause(kit))
        (connection,) = [c for c in kit.driver.clients.connections if c.pending]
        async with asyncio.timeout(WAIT_TIMEOUT):
            while not (
                connection.pipeline_full or connection.phase is not Phase.OPEN or connection.slow_reader
            ):
                await asyncio.sleep(0)
        client.close()
        gate.set()
        await nothing_goes_out(kit, await next_item(came))

    run_on_uvloop(test())


@pytest.mark.parametrize(
    "bad", [b"", hiredis.pack_command(("NONSENSE",)) * client_connection.MAX_INVALID_COMMANDS]
)
def test_no_further_attempt_begins_for_a_client_that_has_closed(bad):
    """Guards it for what failed: the server's refusal and the close come in the same turn of the loop."""

    async def test() -> None:
        kit, came = await harness_with_server()
        client = await kit.connect_raw_client(pack_request() + bad)
        server = await next_item(came)
        await server.read()
        (exchange,) = kit.driver.exchanges.values()
        client.close()
        (attempt,) = exchange.attempts
        kit.driver.servers.give_up(attempt, api.Result.REJECTED)  # as if its answer had been read first
        assert not any(a.connection or a.out for a in exchange.attempts)
        assert not kit.driver.exchanges and not kit.driver.gateway.jobs
        assert await server.wait_closed() and came.empty()

    run_on_uvloop(test())


def test_a_request_read_only_after_its_client_closed_is_not_sent_on():
    """Guards it after a stall: the command and the close stand in the socket together."""

    async def test() -> None:
        kit, came = await harness_with_server()
        pool = kit.driver.servers.pools["s1"]
        kit.driver.servers.spawn(pool.connect())
        pool.connecting, kit.driver.servers.connecting = 1, 1
        server = await next_item(came)
        await kit.wait_reusable("s1")
        (await kit.connect_raw_client(pack_request())).close()
        await kit.wait_for_event(api.ClientGone)
        await nothing_goes_out(kit, server)

    run_on_uvloop(test())


def test_a_grant_that_crosses_the_close_sends_nothing():
    """Guards it for a request that waits for its customer's home: the grant is read first."""

    async def test() -> None:
        settings = raw_settings()
        settings["balancers"], settings["bounds"]["peers"] = 2, True
        settings["family_info"] = {**settings["family_info"], "peer_in_per_s": 100.0}
        kit = GatewayHarness(settings=settings, peer_listen=f"{HOST}:1")
        dial, _ = await kit.start_server()
        kit.driver.on_list(host_list(s1=dial))
        gateway, client = kit.driver.gateway, None
        for key in range(100):  # a customer whose home is the other gateway
            data = pack_request(fields=b"c=lookup,t=village,d=3000,spread=2,first=0").replace(
                b"00000000b4d65521", b"%016x" % key
            )
            client = await kit.connect_raw_client(data)
            await kit.wait_for_event(api.Request)
            job = next(iter(gateway.jobs.values()), None)
            if job is not None and job.owner == 1:
                break
            client.close()
            await kit.wait_for_event(api.ClientGone)
        client.close()
        entry = QuotaCodec.pack_entry(QuotaCodec.GRANT, job.tag, key, 0, job.units, 0.0, 1.0)
        kit.driver.on_peer(1, QuotaCodec.encode(4.0, [entry]))
        assert not kit.driver.exchanges and not gateway.jobs
        assert not any(p.waiting or p.connecting for p in kit.driver.servers.pools.values())

    run_on_uvloop(test())
