"""Client input: valid and malformed commands, silent connections, connection floods and slow readers."""

from __future__ import annotations

import asyncio
import socket

import hiredis
import pytest
from netkit import (
    CUSTOMER_ID,
    REQUEST_ID,
    WAIT_TIMEOUT,
    GatewayHarness,
    harness_with_server,
    host_list,
    next_item,
    pack_request,
    raw_settings,
    run_on_uvloop,
    success_reply,
)

from thymehinge import interface as api
from thymehinge.net import client_connection, clients, resp
from thymehinge.net.resp import MAX_VALUE_BYTES, CommandParser, ProtocolError


@pytest.mark.parametrize(
    ("arguments", "reason"),
    [
        ((b"API.READ",), "arguments"),
        ((b"API.READ", CUSTOMER_ID, REQUEST_ID, b"c=lookup,t=village,d=10", b"BODY"), "arguments"),
        ((b"API.WRITE", CUSTOMER_ID, REQUEST_ID, b"c=order,t=village,d=10,k=1"), "arguments"),
        ((b"API.READ", b"xyz", REQUEST_ID, b"c=lookup,t=village,d=10"), "hexadecimal"),
        ((b"API.READ", CUSTOMER_ID, b"", b"c=lookup,t=village,d=10"), "hexadecimal"),
        ((b"API.READ", b"0000000200000000", REQUEST_ID, b"c=lookup,t=village,d=10"), "no such customer"),
        ((b"API.READ", CUSTOMER_ID, REQUEST_ID, b"t=village,d=10"), "c is missing"),
        ((b"API.READ", CUSTOMER_ID, REQUEST_ID, b"c=other,t=village,d=10"), "unknown class"),
        ((b"API.READ", CUSTOMER_ID, REQUEST_ID, b"c=lookup,t=other,d=10"), "unknown class or plan"),
        ((b"API.WRITE", CUSTOMER_ID, REQUEST_ID, b"c=lookup,t=village,d=10", b""), "another command"),
        ((b"API.WRITE", CUSTOMER_ID, REQUEST_ID, b"c=order,t=village,d=10", b""), "nonsensical k"),
        ((b"API.READ", CUSTOMER_ID, REQUEST_ID, b"c=lookup,t=village,d=10,k=1"), "nonsensical k"),
        ((b"API.READ", CUSTOMER_ID, REQUEST_ID, b"c=lookup,t=village,d=10,d=20"), "repeated"),
        ((b"API.READ", CUSTOMER_ID, REQUEST_ID, b"c=lookup,t=village,d=10,x=1"), "nonsensical or repeated"),
        ((b"API.READ", CUSTOMER_ID, REQUEST_ID, b"c=lookup,t=village,d=10,r=2"), "nonsensical r"),
        ((b"HELLO", b"3"), "unknown command"),
        *(
            ((b"API.READ", CUSTOMER_ID, REQUEST_ID, b"c=lookup,t=village," + fields), reason)
            for reason, examples in {
                "nonsensical d": (b"d=", b"d=soon", b"d=nan", b"d=-5", b"d=1e3", b"d=1_0", b"d= 1", b"d=+1"),
                "nonsensical units": (b"d=9,units=nan", b"d=9,units=-400", b"d=9,units=1e12", b"d=9,units="),
                "nonsensical spread": (b"d=9,spread=-1", b"d=9,spread=x", b"d=9,spread=1.5"),
                "nonsensical first": (b"d=9,first=-1", b"d=9,first=99999999999999999999"),
                "out of range": (b"d=0", b"d=60001", b"d=9,units=0", b"d=9,units=7", b"d=9,spread=3"),
                "spread or first": (b"d=9,spread=0", b"d=9,first=2"),
            }.items()
            for fields in examples
        ),
    ],
)
def test_malformed_command_gets_error_and_connection_stays_open(arguments, reason):
    async def test() -> None:
        harness = GatewayHarness()
        client = await harness.connect_client()
        client.write(hiredis.pack_command(arguments) + hiredis.pack_command((b"SELECT", b"0")))
        answer = await client.read()
        assert isinstance(answer, hiredis.ReplyError) and reason in str(answer)
        assert await client.read() == b"OK"

    run_on_uvloop(test())


@pytest.mark.parametrize(
    "invalid_data",
    [
        b"GET /\r\n\r\n",
        b"k" * 100,
        b"*x\r\n",
        b"*-3\r\n",
        b"*0\r\n",
        b"*4000000000\r\n",
        b"*1\r\n*1\r\n",
        b"*2\r\n:1\r\n:2\r\n",
        b"%1000000000\r\n",
        b"*1\r\n$9999999999\r\n",
        b"*1\r\n$65537\r\n",
        b"*1\r\n$-1\r\n",
        b"*1\r\n$-4\r\nabcd\r\n",
        b"*1\r\n$ten\r\n",
        pack_request(b"API.WRITE", b"c=order,t=village,d=3000,k=1", b"BODY").replace(b"BODY", b"BODYXX"),
        pack_request()[:-2] + b"XX",
        pack_request(fields=b"c=lookup,t=village,d=3000").replace(b"$25", b"$24"),
    ],
)
def test_protocol_error_is_sent_after_pending_replies_and_closes(invalid_data):
    """Guards table servers against commands parsed with a wrong length, which no client sent.

    Earlier commands, even pending ones, are answered before the error; other connections stay open.
    """

    async def test() -> None:
        harness, connections = await harness_with_server()
        other_client, client = await harness.connect_client(), await harness.connect_client()
        client.write(hiredis.pack_command(("SELECT", "0")) + pack_request())
        server = await next_item(connections)
        await server.read()
        client.write(invalid_data)
        assert await client.read() == b"OK"
        (connection,) = [c for c in harness.driver.clients.connections if c.pending]
        async with asyncio.timeout(WAIT_TIMEOUT):
            while connection.phase is not client_connection.Phase.DRAINING:
                await asyncio.sleep(0)
        # ignored: reading has stopped at the protocol error
        client.write(pack_request().replace(REQUEST_ID, REQUEST_ID[::-1]))
        server.write(success_reply(b"value"))
        assert await client.read() == b"value"
        assert "Protocol error" in str(await client.read())
        assert await client.wait_closed()
        assert connections.empty() and not harness.driver.exchanges
        other_client.write(hiredis.pack_command(("CLIENT", "SETNAME", "x")))
        assert await other_client.read() == b"OK"

    run_on_uvloop(test())


def test_class_timeout_above_one_minute_is_accepted():
    """Guards against a fixed upper bound on the timeouts of request classes."""

    async def test() -> None:
        settings = raw_settings()
        settings["classes"][0] |= {"aim_s": 60.0, "give_up_s": 300.0}
        harness, connections = await harness_with_server(settings=settings)
        client = await harness.connect_client()
        client.write(pack_request(fields=b"c=lookup,t=village,d=300000"))
        server = await next_item(connections)
        await server.read()
        server.write(success_reply(b"value"))
        assert await client.read() == b"value"

    run_on_uvloop(test())


def test_duplicate_pending_id_is_rejected_and_first_request_served():
    """Guards clients against each other's answers: servers drop duplicate ids or repeat the first answer."""

    async def test() -> None:
        harness, connections = await harness_with_server()
        first, second = await harness.connect_client(), await harness.connect_client()
        for value in (b"one", b"two"):  # the id is free again the second time
            first.write(pack_request())
            server = await next_item(connections)
            await server.read()
            second.write(pack_request().replace(REQUEST_ID, REQUEST_ID.upper()))
            assert "this id is open" in str(await second.read())
            server.write(success_reply(value))
            assert await first.read() == value
            server.writer.close()
            await harness.wait_for_event(api.Outcome)

    run_on_uvloop(test())


def test_repeated_invalid_commands_close_connection():
    async def test() -> None:
        harness = GatewayHarness()
        client = await harness.connect_client()
        client.write(hiredis.pack_command((b"NONSENSE",)) * 600)
        for _ in range(client_connection.MAX_INVALID_COMMANDS):
            assert isinstance(await client.read(), hiredis.ReplyError)
        assert await client.wait_closed()

    run_on_uvloop(test())


def test_silent_and_partial_connections_time_out_and_idle_ones_stay():
    """Guards descriptors against silent clients; a partial command gets an error within 3 s."""

    async def test() -> None:
        harness, connections = await harness_with_server()
        regular, partial, silent, ping_only = [await harness.connect_client() for _ in range(4)]
        for client in (regular, partial):
            client.write(pack_request())
            server = await next_item(connections)
            await server.read()
            server.write(success_reply(b"value"))
            assert await client.read() == b"value"
            server.writer.close()
        partial.write(pack_request()[:40])
        ping_only.write(hiredis.pack_command(("PING",)))
        assert await ping_only.read() == b"PONG"
        async with asyncio.timeout(10):
            while not harness.driver.clients.mid_command:
                await asyncio.sleep(0)
        harness.sweep_after(1.0)
        assert len(harness.driver.clients.connections) == 4
        harness.sweep_after(2.5)
        assert "does not come" in str(await partial.read())
        assert await partial.wait_closed() and await silent.wait_closed() and await ping_only.wait_closed()
        assert len(harness.driver.clients.connections) == 1
        regular.write(pack_request())
        await (await next_item(connections)).read()
        harness.sweep_after(60.0)
        assert len(harness.driver.clients.connections) == 1  # its request is pending
        regular.writer.close()

    run_on_uvloop(test())


def test_silent_connections_stay_within_descriptor_limit():
    """Guards regular clients at the limit: silent ones are evicted, and closing ones count towards it."""

    async def test() -> None:
        harness, connections = await harness_with_server()
        regular = await harness.connect_client()
        regular.write(pack_request())
        server = await next_item(connections)
        await server.read()
        max_connections, observed = harness.driver.clients.max_connections, []
        remove_connection = harness.driver.clients.remove_connection
        harness.driver.clients.remove_connection = lambda c: (
            observed.append(harness.driver.clients.open_connections),
            remove_connection(c),
        )
        address = harness.listener.getsockname()
        silent_sockets = []
        for _ in range(3 * max_connections):
            sock = socket.socket()
            sock.setblocking(False)
            sock.connect_ex(address)
            silent_sockets.append(sock)
        async with asyncio.timeout(WAIT_TIMEOUT):
            while len(observed) < 2 * max_connections:
                await asyncio.sleep(0)
            assert max(observed) <= max_connections
            server.write(success_reply(b"value"))
            assert await regular.read() == b"value"
            new_client = await harness.connect_client()
            new_client.write(hiredis.pack_command(("PING",)))
            assert await new_client.read() == b"PONG"
        for sock in silent_sockets:
            sock.close()

    run_on_uvloop(test())


def test_ping_reports_readiness():
    async def test() -> None:
        harness = GatewayHarness()
        client = await harness.connect_client()
        client.write(hiredis.pack_command(("PING",)))
        assert isinstance(await client.read(), hiredis.ReplyError)
        harness.driver.on_list(host_list(s1="127.0.0.1:1"))
        client.write(hiredis.pack_command(("PING",)))
        assert await client.read() == b"PONG"

    run_on_uvloop(test())


def test_slow_reader_is_paused_and_closed(monkeypatch):
    """Guards the memory limit: replies are buffered only up to the transport's high-water mark."""
    # filling all buffers may take long on a busy machine
    monkeypatch.setattr(clients, "FIRST_REQUEST_TIMEOUT", 600.0)

    async def test() -> None:
        harness = GatewayHarness()
        client = await harness.connect_client()
        ping = hiredis.pack_command(("PING",)) * 1000
        client.stream_reader._transport.pause_reading()
        async with asyncio.timeout(10):
            while not harness.driver.clients.slow_readers:
                client.write(ping)
                await asyncio.sleep(0)
        harness.sweep_after(60.0)
        client.stream_reader._transport.resume_reading()
        with pytest.raises((EOFError, ConnectionError)):
            while True:
                await client.read()

    run_on_uvloop(test())


@pytest.mark.parametrize("split_at", range(1, 60))
def test_command_split_at_any_byte_parses_the_same(split_at):
    """Guards the parser at every split point, also in arguments that look like headers."""
    arguments = (b"A", b"*99999\r\n*12", b"*1", b"")
    data = hiredis.pack_command(arguments) * 2
    parser, parsed = CommandParser(), []
    for chunk in (data[:split_at], data[split_at:]):
        parser.feed(chunk)
        while (command := parser.next_command()) is not None:
            parsed.append(command)
    assert parsed == [list(arguments)] * 2 and not parser.has_unparsed()


@pytest.mark.parametrize("split_at", range(1, 11))
def test_excessive_length_split_at_any_byte_is_rejected(split_at):
    parser = CommandParser()
    parser.feed(b"*4000000000\r\n"[:split_at])
    with pytest.raises(ProtocolError):
        parser.next_command()
        parser.feed(b"*4000000000\r\n"[split_at:])
        parser.next_command()


def test_long_value_in_small_pieces_is_not_parsed_anew_with_each_piece(monkeypatch):
    """Guards the processor against clients that send a long command in many small pieces."""
    parsed_headers = []
    parse_header = resp.parse_header
    monkeypatch.setattr(
        resp, "parse_header", lambda *arguments: parsed_headers.append(1) or parse_header(*arguments)
    )
    parser, body = CommandParser(), b"m" * MAX_VALUE_BYTES
    command = pack_request(b"API.WRITE", b"c=order,t=village,d=3000,k=1", body)
    for start in range(0, len(command), 100):
        assert parser.next_command() is None
        parser.feed(command[start : start + 100])
    assert parser.next_command()[-1] == body
    assert len(parsed_headers) < 30
