"""Gateway on loopback sockets: forwarding, server connections, timeouts and internal errors."""

from __future__ import annotations

import asyncio
import dataclasses
import socket
import time
from contextlib import closing

import hiredis
from netkit import (
    CUSTOMER_ID,
    HOST,
    REQUEST_ID,
    WAIT_TIMEOUT,
    GatewayHarness,
    UnresponsiveListener,
    harness_with_server,
    host_list,
    next_item,
    pack_request,
    request_in_flight,
    run_on_uvloop,
    success_reply,
)

from thymehinge import interface as api
from thymehinge.interface import Result
from thymehinge.net import server_connection
from thymehinge.net.resp import MAX_VALUE_BYTES


def refused_address() -> str:
    """Return an address on which nothing listens."""
    with closing(socket.socket()) as probe:
        probe.bind((HOST, 0))
        return "{}:{}".format(*probe.getsockname())


def test_forwards_request_with_remaining_timeout():
    """Guards against forwarding a command that differs from the client's in more than its timeout."""

    async def test() -> None:
        harness, connections = await harness_with_server()
        client = await harness.connect_client()
        fields = b"c=order,t=village,d=2000,k=5c0f6e1a2b3d4c59,units=2,spread=2,first=1"
        client.write(pack_request(b"API.WRITE", fields, b"BODY\r\n*1234"))
        server = await next_item(connections)
        name, customer_id, request_id, forwarded_fields, body = await server.read()
        assert (name, customer_id, request_id, body) == (
            b"API.WRITE",
            CUSTOMER_ID,
            REQUEST_ID,
            b"BODY\r\n*1234",
        )
        before_timeout, _, remainder = forwarded_fields.partition(b",d=")
        timeout, _, after_timeout = remainder.partition(b",")
        assert (
            before_timeout == b"c=order,t=village"
            and after_timeout == b"k=5c0f6e1a2b3d4c59,units=2,spread=2,first=1"
        )
        assert 1500 < int(timeout) < 2000
        server.write(success_reply(b"value", b"inflight=7,queue=2,util=0.61"))
        assert await client.read() == b"value"
        outcome = await harness.wait_for_event(api.Outcome)
        assert outcome.load_report == {"inflight": 7, "queue": 2, "util": 0.61} and outcome.final
        assert not harness.driver.exchanges

    run_on_uvloop(test())


def test_pipelined_commands_answered_in_order():
    async def test() -> None:
        harness, connections = await harness_with_server()
        client = await harness.connect_client()
        other_id = REQUEST_ID[::-1]
        client.write(
            pack_request() + pack_request().replace(REQUEST_ID, other_id) + hiredis.pack_command(("PING",))
        )
        servers = [await next_item(connections), await next_item(connections)]
        by_id = {(await server.read())[2]: server for server in servers}
        by_id[other_id].write(success_reply(b"second"))
        await harness.wait_for_event(api.Outcome)
        by_id[REQUEST_ID].write(success_reply(b"first"))
        assert [await client.read() for _ in range(3)] == [b"first", b"second", b"PONG"]

    run_on_uvloop(test())


def test_refused_connection_is_connect_failure():
    async def test() -> None:
        harness = GatewayHarness()
        harness.driver.on_list(host_list(s1=refused_address()))
        client = await harness.connect_client()
        client.write(pack_request(fields=b"c=lookup,t=village,d=1000"))
        assert (await harness.wait_for_event(api.Outcome)).result is Result.CONNECT_FAILED

    run_on_uvloop(test())


def test_connect_timeout_is_connect_failure():
    """Guards against waiting for an unreachable server until the request times out."""

    async def test() -> None:
        with UnresponsiveListener() as address:
            harness = GatewayHarness()
            harness.driver.on_list(host_list(s1=address))
            client = await harness.connect_client()
            client.write(pack_request())
            outcome = await harness.wait_for_event(api.Outcome)
            assert outcome.result is Result.CONNECT_FAILED and 0.2 < outcome.elapsed < 2

    run_on_uvloop(test())


def test_reset_before_full_write_is_connect_failure():
    """Guards against reporting an attempt as possibly executed when its command was only partly sent."""

    async def test() -> None:
        harness = GatewayHarness()
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2048)
        listener.bind((HOST, 0))
        listener.listen()
        listener.setblocking(False)
        harness.driver.on_list(host_list(s1="{}:{}".format(*listener.getsockname())))
        client = await harness.connect_client()
        fields = b"c=order,t=village,d=3000,k=1"
        pool = harness.driver.servers.pools["s1"]
        accept = asyncio.get_running_loop().sock_accept(listener)
        # Both socket buffers are small, so that the kernel can't accept the whole command.
        create_connection = harness.driver.servers.loop.create_connection

        async def connect_with_small_buffer(factory, host, port):
            sock = socket.socket()
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
            sock.setblocking(False)
            await harness.driver.loop.sock_connect(sock, (host, port))
            return await create_connection(factory, sock=sock)

        harness.driver.servers.loop = type(
            "Loop",
            (),
            {
                "create_connection": staticmethod(connect_with_small_buffer),
                "create_task": harness.driver.loop.create_task,
            },
        )()
        client.write(pack_request(b"API.WRITE", fields, b"y" * MAX_VALUE_BYTES))
        server, _ = await accept
        async with asyncio.timeout(5):
            while not (
                pool.open_connections
                and any(
                    attempt.connection
                    for exchange in harness.driver.exchanges.values()
                    for attempt in exchange.attempts
                )
            ):
                await asyncio.sleep(0)
        server.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
        server.close()
        assert (await harness.wait_for_event(api.Outcome)).result is Result.CONNECT_FAILED
        listener.close()

    run_on_uvloop(test())


def test_waiting_attempt_not_sent_to_draining_server():
    """Guards against sending on a connection that is established after its server began to drain."""

    async def test() -> None:
        with UnresponsiveListener() as address:
            harness = GatewayHarness()
            harness.driver.on_list(host_list(s1=address))
            client = await harness.connect_client()
            client.write(pack_request())
            await harness.wait_for_event(api.Request)
            harness.driver.on_list(host_list(2, False, s1=(address, "Terminating")))
            assert (await harness.wait_for_event(api.Outcome)).result is Result.NOT_SENT
            assert "s1" not in harness.driver.servers.pools

    run_on_uvloop(test())


def test_client_disconnect_cancels_attempts():
    async def test() -> None:
        harness, connections = await harness_with_server()
        client, server = await request_in_flight(harness, connections)
        client.writer.close()
        await harness.wait_for_event(api.ClientGone, request_id=1)
        assert await server.wait_closed()
        assert (await harness.wait_for_event(api.Outcome)).result is Result.CANCELLED
        assert not harness.driver.exchanges and not harness.driver.servers.pools["s1"].open_connections

    run_on_uvloop(test())


def test_silent_server_yields_one_timely_error():
    """Guards against a request without a reply and against a second reply to it."""

    async def test() -> None:
        harness, connections = await harness_with_server()
        client = await harness.connect_client()
        started_at = time.monotonic()
        client.write(pack_request(fields=b"c=lookup,t=village,d=300"))
        server = await next_item(connections)
        await server.read()
        assert isinstance(await client.read(), hiredis.ReplyError)
        assert 0.2 < time.monotonic() - started_at < 1.0
        assert await server.wait_closed()
        client.write(hiredis.pack_command(("PING",)))
        assert await client.read() == b"PONG"

    run_on_uvloop(test())


def test_one_lost_request_does_not_exclude_server():
    """Guards against taking one lost request for a queue and excluding the only server."""

    async def test() -> None:
        harness, connections = await harness_with_server()
        client = await harness.connect_client()
        client.write(pack_request().replace(REQUEST_ID, b"0" * 16))
        unanswering_server = await next_item(connections)
        await unanswering_server.read()
        harness.clock_offset = 1.2
        other_client = await harness.connect_client()
        other_client.write(pack_request())
        server = await next_item(connections)
        await server.read()
        server.write(success_reply(b"value"))
        assert await other_client.read() == b"value"
        harness.clock_offset = 1.6
        await harness.wait_reusable("s1")
        other_client.write(pack_request())
        await server.read()  # if the server were excluded, the request would be queued and refused
        server.write(success_reply(b"value"))
        assert await other_client.read() == b"value"

    run_on_uvloop(test())


def test_internal_error_fails_only_its_request(caplog):
    """Guards against an exception in the decision module that loses other requests or ends the gateway."""

    async def test() -> None:
        harness, connections = await harness_with_server()
        handle = harness.driver.gateway.handle

        def handle_with_error(now: float, event: api.Event) -> list[api.Action]:
            if isinstance(event, api.Request) and event.request_id == 1:
                raise IndexError("planted")
            return handle(now, event)

        harness.driver.gateway.handle = handle_with_error
        client = await harness.connect_client()
        started_at = time.monotonic()
        client.write(pack_request() + pack_request().replace(REQUEST_ID, REQUEST_ID[::-1]))
        server = await next_item(connections)
        await server.read()
        server.write(success_reply(b"fine"))
        first = await client.read()
        assert isinstance(first, hiredis.ReplyError) and str(first).startswith("ERR")
        assert await client.read() == b"fine"
        assert "planted" in caplog.text
        assert time.monotonic() - started_at < 2  # well before the client's timeout of 3 s

    run_on_uvloop(test())


def test_failed_action_does_not_stop_next_action(caplog):
    async def test() -> None:
        harness = GatewayHarness()
        client = await harness.connect_client()
        handle = harness.driver.gateway.handle
        harness.driver.gateway.handle = lambda now, event: [api.Cancel(1, 7), *handle(now, event)]
        client.write(pack_request(fields=b"c=lookup,t=village,d=100"))
        assert isinstance(await client.read(), hiredis.ReplyError)
        assert "IndexError" in caplog.text

    run_on_uvloop(test())


def test_sockets_read_before_timers_after_stall():
    """Guards against timing out a request whose answer is already in the receive buffer."""

    async def test() -> None:
        harness, connections = await harness_with_server()
        client = await harness.connect_client()
        client.write(pack_request(fields=b"c=lookup,t=village,d=400"))
        server = await next_item(connections)
        await server.read()
        server_socket = server.writer.get_extra_info("socket").dup()
        server_socket.setblocking(True)

        def stall() -> bool:
            """Block the event loop until the first client's timeout has passed."""
            server_socket.sendall(success_reply(b"in time"))
            server_socket.close()
            time.sleep(0.5)
            return True

        harness.driver.clients.is_ready = stall
        other_client = await harness.connect_client()
        other_client.write(hiredis.pack_command(("PING",)))
        assert await client.read() == b"in time"

    run_on_uvloop(test())


def test_idle_connection_reused_until_idle_limit():
    async def test() -> None:
        harness, connections = await harness_with_server()
        client = await harness.connect_client()
        client.write(pack_request())
        server = await next_item(connections)
        for value in (b"one", b"two"):
            await server.read()
            server.write(success_reply(value))
            assert await client.read() == value
            if value == b"one":
                await harness.wait_reusable("s1")
                client.write(pack_request())
        assert connections.empty()
        await harness.wait_reusable("s1")
        harness.driver.servers.idle_limit = 0.0  # no idle connection is young enough for reuse
        client.write(pack_request())
        new_server = await next_item(connections)
        assert await server.wait_closed()
        await new_server.read()
        new_server.write(success_reply(b"three"))
        assert await client.read() == b"three"

    run_on_uvloop(test())


def test_stale_reset_lowers_idle_limit(monkeypatch):
    """Guards against further resets by a server that closes idle connections early."""
    monkeypatch.setattr(server_connection, "STALE_RESET_WINDOW", WAIT_TIMEOUT)

    async def test() -> None:
        harness, connections = await harness_with_server()
        client, servers = await harness.connect_client(), harness.driver.servers
        initial_limit = servers.idle_limit
        client.write(pack_request())
        server = await next_item(connections)
        await server.read()
        server.write(success_reply(b"one"))
        assert await client.read() == b"one"
        await harness.wait_reusable("s1")
        client.write(pack_request(b"API.WRITE", b"c=order,t=village,d=3000,k=1", b"x"))
        await server.read()
        sock = server.writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
        server.writer.transport.abort()
        assert (await harness.wait_for_event(api.Outcome, result=Result.RESET)).server == "s1"
        assert servers.idle_limit < 1.0 < initial_limit
        for _ in range(400):
            servers.sweep()
        assert servers.idle_limit == initial_limit

    run_on_uvloop(test())


def test_restarted_server_gets_new_connection():
    """Guards against a reset on a connection from before a restart, which the server never closed."""

    async def test() -> None:
        harness = GatewayHarness()
        address, connections = await harness.start_server()
        harness.driver.on_list(host_list(s1=address))
        client = await harness.connect_client()
        client.write(pack_request())
        old_connection = await next_item(connections)
        await old_connection.read()
        old_connection.write(success_reply(b"one"))
        assert await client.read() == b"one"
        harness.clock_offset += 20.0  # since the last list, so that a start 15 s ago is plausible
        entry = dataclasses.replace(
            harness.driver.gateway.fleet.servers["s1"].entry, started_at=time.time() - 15.0
        )
        new_list = dataclasses.replace(host_list(2, False, s1=address), servers=(entry,))
        harness.driver.on_list(new_list)
        assert await old_connection.wait_closed()
        client.write(pack_request())
        new_connection = await next_item(connections)
        await new_connection.read()
        new_connection.write(success_reply(b"two"))
        assert await client.read() == b"two"

    run_on_uvloop(test())


def test_connection_in_use_is_not_reused_after_address_change():
    """Guards against a request to the server that now stands at the former address of another."""

    async def test() -> None:
        harness, old_connections = await harness_with_server()
        new_address, new_connections = await harness.start_server()
        client, old_connection = await request_in_flight(harness, old_connections)
        harness.driver.on_list(host_list(2, False, s1=new_address))
        old_connection.write(success_reply(b"one"))
        assert await client.read() == b"one"
        assert await old_connection.wait_closed()
        client.write(pack_request())
        new_connection = await next_item(new_connections)
        await new_connection.read()
        new_connection.write(success_reply(b"two"))
        assert await client.read() == b"two"

    run_on_uvloop(test())


def test_snapshot_closes_connections_to_unlisted_servers():
    """Guards table servers that a snapshot leaves out against connections that stay open."""

    async def test() -> None:
        harness, connections = await harness_with_server()
        client, connection = await request_in_flight(harness, connections)
        connection.write(success_reply(b"one"))
        assert await client.read() == b"one"
        harness.driver.on_list(host_list(2, s2="127.0.0.1:1"))
        assert await connection.wait_closed()

    run_on_uvloop(test())
