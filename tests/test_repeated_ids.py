"""A request's id runs once: it is rejected while its attempts are out, and later if it may have run."""

from __future__ import annotations

import asyncio

import hiredis
import pytest
from netkit import (
    CUSTOMER_ID,
    REQUEST_ID,
    GatewayHarness,
    RespConnection,
    harness_with_server,
    next_item,
    raw_settings,
    run_on_uvloop,
    success_reply,
)

from thymehinge import interface as api
from thymehinge.net import request_ids

KEYED_FIELDS = b"c=order,t=village,d=5000,k=5c0f"
UNSAFE_FIELDS = b"c=once,t=village,d=5000"
SAFE_FIELDS = b"c=lookup,t=village,d=5000"


def encode(fields: bytes, request_id: bytes = REQUEST_ID) -> bytes:
    """Encode a request of the class that the fields name."""
    if fields is SAFE_FIELDS:
        return hiredis.pack_command((b"API.READ", CUSTOMER_ID, request_id, fields))
    return hiredis.pack_command((b"API.WRITE", CUSTOMER_ID, request_id, fields, b"body"))


async def start_harness(**bounds: object) -> tuple[GatewayHarness, asyncio.Queue[RespConnection]]:
    settings = raw_settings()
    settings["classes"].append({**settings["classes"][0], "name": "once", "repeat": "non_idempotent"})
    settings["bounds"] |= bounds
    return await harness_with_server(settings=settings)


async def send_and_leave(
    harness: GatewayHarness, connections: asyncio.Queue[RespConnection], fields: bytes
) -> RespConnection:
    """Send a request, close its connection while it runs, and return the server's connection."""
    client = await harness.connect_client()
    client.write(encode(fields))
    server = await next_item(connections)
    await server.read()
    client.writer.close()
    await harness.wait_for_event(api.ClientGone)
    return server


@pytest.mark.parametrize("fields", [UNSAFE_FIELDS, KEYED_FIELDS])
@pytest.mark.parametrize("request_id", [REQUEST_ID, REQUEST_ID.upper()])
def test_id_of_departed_client_does_not_run_again(fields, request_id):
    async def test() -> None:
        harness, connections = await start_harness()
        await send_and_leave(harness, connections, fields)
        client = await harness.connect_client()
        client.write(encode(fields, request_id))
        assert "id" in str(await client.read())
        assert connections.empty() and not harness.driver.exchanges

    run_on_uvloop(test())


@pytest.mark.parametrize("fields", [UNSAFE_FIELDS, KEYED_FIELDS])
def test_id_of_answered_request_does_not_run_again(fields):
    async def test() -> None:
        harness, connections = await start_harness()
        client = await harness.connect_client()
        client.write(encode(fields))
        server = await next_item(connections)
        await server.read()
        server.write(success_reply(b"value"))
        assert await client.read() == b"value"
        client.write(encode(fields))
        assert "id" in str(await client.read())
        assert not harness.driver.exchanges

    run_on_uvloop(test())


def test_id_of_safe_request_may_be_sent_again():
    async def test() -> None:
        harness, connections = await start_harness()
        await send_and_leave(harness, connections, SAFE_FIELDS)
        client = await harness.connect_client()
        client.write(encode(SAFE_FIELDS))
        server = await next_item(connections)
        await server.read()
        server.write(success_reply(b"value"))
        assert await client.read() == b"value"

    run_on_uvloop(test())


def test_id_that_never_ran_may_be_sent_again():
    """Guards against an error for a request that was refused with the promise that a retry is harmless."""

    async def test() -> None:
        harness, connections = await start_harness(send_cap=1)
        client = await harness.connect_client()
        client.write(encode(UNSAFE_FIELDS))
        server = await next_item(connections)
        await server.read()
        server.write(b"-BUSY\r\n")
        assert str(await client.read()).startswith("BUSY")
        await harness.wait_reusable("s1")
        client.write(encode(UNSAFE_FIELDS))
        assert (await server.read())[2] == REQUEST_ID

    run_on_uvloop(test())


@pytest.mark.parametrize("fields", [SAFE_FIELDS, UNSAFE_FIELDS])
def test_id_stays_open_until_attempts_that_cannot_be_cancelled_end(fields):
    """Guards against two attempts of one id at the same time where attempts may not be cancelled."""

    async def test() -> None:
        harness, connections = await start_harness(cancel=False)
        await send_and_leave(harness, connections, fields)
        client = await harness.connect_client()
        client.write(encode(fields))
        assert "id" in str(await client.read())
        assert connections.empty()

    run_on_uvloop(test())


def test_ids_of_ended_requests_are_kept_for_a_time_and_bounded(monkeypatch):
    """Guards the memory limit, and that an id is kept for as long as any request may run."""
    monkeypatch.setattr(request_ids, "MAX_ENDED_IDS", 3)

    async def test() -> None:
        harness, _ = await start_harness()
        ids, clock = harness.driver.clients.ids, harness.driver.clock
        for number in range(5):
            ids.keep(b"%d" % number)
        assert list(ids.ended_ids) == [b"2", b"3", b"4"]
        assert ids.ended_ids[b"4"] >= clock() + harness.driver.gateway.settings.longest_timeout
        harness.clock_offset += 1000.0
        ids.keep(b"5")
        assert list(ids.ended_ids) == [b"5"]

    run_on_uvloop(test())
