"""What clients send: commands that can and cannot be read, silence, crowds and slow readers."""

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
from thymehinge.net import client_connection, clients
from thymehinge.net.resp import CommandParser, ProtocolError


@pytest.mark.parametrize(
    ("words", "reason"),
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
            for reason, tries in {
                "nonsensical d": (b"d=", b"d=soon", b"d=nan", b"d=-5", b"d=1e3", b"d=1_0", b"d= 1", b"d=+1"),
                "nonsensical units": (b"d=9,units=nan", b"d=9,units=-400", b"d=9,units=1e12", b"d=9,units="),
                "nonsensical spread": (b"d=9,spread=-1", b"d=9,spread=x", b"d=9,spread=1.5"),
                "nonsensical first": (b"d=9,first=-1", b"d=9,first=99999999999999999999"),
                "out of range": (b"d=0", b"d=60001", b"d=9,units=0", b"d=9,units=7", b"d=9,spread=3"),
                "spread or first": (b"d=9,spread=0", b"d=9,first=2"),
            }.items()
            for fields in tries
        ),
    ],
)
def test_a_malformed_command_gets_a_reason_and_the_connection_goes_on(words, reason):
    async def test() -> None:
        kit = GatewayHarness()
        client = await kit.connect_client()
        client.write(hiredis.pack_command(words) + hiredis.pack_command((b"SELECT", b"0")))
        answer = await client.read()
        assert isinstance(answer, hiredis.ReplyError) and reason in str(answer)
        assert await client.read() == b"OK"

    run_on_uvloop(test())


@pytest.mark.parametrize(
    "bad",
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
def test_what_cannot_be_read_is_answered_and_the_connection_closed(bad):
    """Guards servers against commands that no client meant: a wrong length yields another one.

    What stood before it is answered first, also a request whose answer is still to come; others go on.
    """

    async def test() -> None:
        kit, came = await harness_with_server()
        other, client = await kit.connect_client(), await kit.connect_client()
        client.write(hiredis.pack_command(("SELECT", "0")) + pack_request())
        server = await next_item(came)
        await server.read()
        client.write(bad)
        assert await client.read() == b"OK"
        (connection,) = [c for c in kit.driver.clients.connections if c.pending]
        async with asyncio.timeout(WAIT_TIMEOUT):
            while connection.phase is not client_connection.Phase.DRAINING:
                await asyncio.sleep(0)
        client.write(
            pack_request().replace(REQUEST_ID, REQUEST_ID[::-1])
        )  # reading has stopped at the nonsense
        server.write(success_reply(b"value"))
        assert await client.read() == b"value"
        assert "Protocol error" in str(await client.read())
        assert await client.wait_closed()
        assert came.empty() and not kit.driver.exchanges
        other.write(hiredis.pack_command(("CLIENT", "SETNAME", "x")))
        assert await other.read() == b"OK"

    run_on_uvloop(test())


def test_a_class_may_have_any_deadline():
    """Guards other deployments: a minute was the most that any class could allow."""

    async def test() -> None:
        settings = raw_settings()
        settings["classes"][0] |= {"aim_s": 60.0, "give_up_s": 300.0}
        kit, came = await harness_with_server(settings=settings)
        client = await kit.connect_client()
        client.write(pack_request(fields=b"c=lookup,t=village,d=300000"))
        server = await next_item(came)
        await server.read()
        server.write(success_reply(b"value"))
        assert await client.read() == b"value"

    run_on_uvloop(test())


def test_an_id_that_is_open_elsewhere_is_turned_away_and_the_first_served():
    """Guards two clients against each other's answers: a server drops a repeat, or answers it alike."""

    async def test() -> None:
        kit, came = await harness_with_server()
        first, second = await kit.connect_client(), await kit.connect_client()
        for value in (b"one", b"two"):  # the second time the id is free again
            first.write(pack_request())
            server = await next_item(came)
            await server.read()
            second.write(pack_request().replace(REQUEST_ID, REQUEST_ID.upper()))
            assert "this id is open" in str(await second.read())
            server.write(success_reply(value))
            assert await first.read() == value
            server.writer.close()
            await kit.wait_for_event(api.Outcome)

    run_on_uvloop(test())


def test_who_goes_on_with_nonsense_is_closed():
    async def test() -> None:
        kit = GatewayHarness()
        client = await kit.connect_client()
        client.write(hiredis.pack_command((b"NONSENSE",)) * 600)
        for _ in range(client_connection.MAX_INVALID_COMMANDS):
            assert isinstance(await client.read(), hiredis.ReplyError)
        assert await client.wait_closed()

    run_on_uvloop(test())


def test_silence_and_half_commands_end_and_a_client_between_requests_stays():
    """Guards descriptors against those who connect and say nothing, and 3 s for who sends half a command."""

    async def test() -> None:
        kit, came = await harness_with_server()
        usual, half, silent, asking = [await kit.connect_client() for _ in range(4)]
        for client in (usual, half):
            client.write(pack_request())
            server = await next_item(came)
            await server.read()
            server.write(success_reply(b"value"))
            assert await client.read() == b"value"
            server.writer.close()
        half.write(pack_request()[:40])
        asking.write(hiredis.pack_command(("PING",)))
        assert await asking.read() == b"PONG"
        async with asyncio.timeout(10):
            while not kit.driver.clients.mid_command:
                await asyncio.sleep(0)
        kit.sweep_after(1.0)
        assert len(kit.driver.clients.connections) == 4
        kit.sweep_after(2.5)
        assert "does not come" in str(await half.read())
        assert await half.wait_closed() and await silent.wait_closed() and await asking.wait_closed()
        assert len(kit.driver.clients.connections) == 1
        usual.write(pack_request())
        await (await next_item(came)).read()
        kit.sweep_after(60.0)
        assert len(kit.driver.clients.connections) == 1  # with a request in hand it stays
        usual.writer.close()

    run_on_uvloop(test())


def test_a_crowd_of_silent_connections_takes_no_more_descriptors_than_there_are():
    """Guards usual clients at the bound: the silent make way, and a closing one counts until it is gone."""

    async def test() -> None:
        kit, came = await harness_with_server()
        usual = await kit.connect_client()
        usual.write(pack_request())
        server = await next_item(came)
        await server.read()
        most, seen = kit.driver.clients.max_connections, []
        forget = kit.driver.clients.remove_connection
        kit.driver.clients.remove_connection = lambda c: (
            seen.append(kit.driver.clients.open_connections),
            forget(c),
        )
        address = kit.listener.getsockname()
        crowd = []
        for _ in range(3 * most):
            sock = socket.socket()
            sock.setblocking(False)
            sock.connect_ex(address)
            crowd.append(sock)
        async with asyncio.timeout(WAIT_TIMEOUT):
            while len(seen) < 2 * most:
                await asyncio.sleep(0)
            assert max(seen) <= most
            server.write(success_reply(b"value"))
            assert await usual.read() == b"value"
            last = await kit.connect_client()
            last.write(hiredis.pack_command(("PING",)))
            assert await last.read() == b"PONG"
        for sock in crowd:
            sock.close()

    run_on_uvloop(test())


def test_ping_tells_of_readiness():
    async def test() -> None:
        kit = GatewayHarness()
        client = await kit.connect_client()
        client.write(hiredis.pack_command(("PING",)))
        assert isinstance(await client.read(), hiredis.ReplyError)
        kit.driver.on_list(host_list(s1="127.0.0.1:1"))
        client.write(hiredis.pack_command(("PING",)))
        assert await client.read() == b"PONG"

    run_on_uvloop(test())


def test_a_client_that_does_not_read_is_not_read_from(monkeypatch):
    """Guards the memory limit: answers pile up only to the transport's bound."""
    # a busy machine may take long to fill all buffers
    monkeypatch.setattr(clients, "FIRST_REQUEST_TIMEOUT", 600.0)

    async def test() -> None:
        kit = GatewayHarness()
        client = await kit.connect_client()
        ping = hiredis.pack_command(("PING",)) * 1000
        client.stream_reader._transport.pause_reading()
        async with asyncio.timeout(10):
            while not kit.driver.clients.slow_readers:
                client.write(ping)
                await asyncio.sleep(0)
        kit.sweep_after(60.0)
        client.stream_reader._transport.resume_reading()
        with pytest.raises((EOFError, ConnectionError)):
            while True:
                await client.read()

    run_on_uvloop(test())


@pytest.mark.parametrize("cut", range(1, 60))
def test_a_command_is_the_same_wherever_the_stream_is_cut(cut):
    """Guards bodies that look like headers, too."""
    words = (b"A", b"*99999\r\n*12", b"*1", b"")
    data = hiredis.pack_command(words) * 2
    commands, got = CommandParser(), []
    for part in (data[:cut], data[cut:]):
        commands.feed(part)
        while (command := commands.next_command()) is not None:
            got.append(command)
    assert got == [list(words)] * 2 and not commands.has_unparsed()


@pytest.mark.parametrize("cut", range(1, 11))
def test_an_absurd_length_is_refused_wherever_it_is_cut(cut):
    commands = CommandParser()
    commands.feed(b"*4000000000\r\n"[:cut])
    with pytest.raises(ProtocolError):
        commands.next_command()
        commands.feed(b"*4000000000\r\n"[cut:])
        commands.next_command()
