"""Memory that clients can make the gateway hold."""

from __future__ import annotations

import asyncio
import threading
from contextlib import suppress
from itertools import count
from pathlib import Path

import hiredis
import uvloop
from discoverykit import SERVER_ENTRY, FakeDiscovery
from netkit import (
    CUSTOMER_ID,
    HOST,
    WAIT_TIMEOUT,
    GatewayHarness,
    RespConnection,
    harness_with_server,
    next_item,
    pack_request,
    raw_config,
    run_on_uvloop,
    success_reply,
)
from processkit import free_port, running_gateway

from thymehinge import interface as api
from thymehinge.net.client_connection import READ_BUFFER_BYTES
from thymehinge.net.client_memory import ClientMemory
from thymehinge.net.exchange import Exchange

MEMORY_MB = 96
LONG_BODY = b"m" * 64_000  # bytes; a value may hold 65,536
WRITE_FIELDS = b"c=order,t=village,d=3000,k=%d"
request_numbers = count(1)


def pack_long_request(body: bytes = LONG_BODY) -> bytes:
    """Encode a keyed request with a body, a new id, and a customer of its own."""
    number = next(request_numbers)
    name = b"%016x" % number
    return hiredis.pack_command((b"API.WRITE", name, name, WRITE_FIELDS % number, body))


def anonymous_memory_mb(process_id: int) -> float:
    """Return a process's resident memory in MB without pages of files."""
    for line in Path(f"/proc/{process_id}/status").read_text().splitlines():
        if line.startswith("RssAnon"):
            return int(line.split()[1]) / 1024
    raise RuntimeError("no RssAnon in the process's status")


def test_connection_gets_half_of_free_memory_and_leaves_the_rest_to_others():
    memory = ClientMemory(memory_bytes=4000)
    assert memory.limit_bytes == 1000
    assert memory.admits(500) and memory.admits(1000) and not memory.admits(1001)
    memory.held_bytes = 500
    assert memory.admits(500) and not memory.admits(501)
    memory.held_bytes = 990
    assert memory.admits(10) and not memory.admits(11)


def test_pipelined_requests_beyond_memory_limit_are_refused_and_others_accepted():
    """Guards the memory limit against connections that send hundreds of long commands at once."""

    async def test() -> None:
        limits = {"cores": 1.0, "memory_mb": 16, "sockets": 256}
        harness, _ = await harness_with_server(limits=limits)
        memory = harness.driver.clients.memory
        flooders = [await harness.connect_client() for _ in range(4)]
        for flooder in flooders:
            flooder.write(b"".join(pack_long_request() for _ in range(100)))
        connections = harness.driver.clients.connections
        async with asyncio.timeout(WAIT_TIMEOUT):
            while any(flooder.writer.transport.get_write_buffer_size() for flooder in flooders) or any(
                connection.unparsed_bytes or not connection.has_no_input() for connection in connections
            ):
                assert memory.held_bytes <= memory.limit_bytes
                await asyncio.sleep(0)
        assert memory.refused_requests > 300
        usual = await harness.connect_client()
        usual.write(pack_request())
        await harness.wait_for_event(api.Request, customer_id=int(CUSTOMER_ID, 16))
        replies = [await flooder.read() for flooder in flooders for _ in range(100)]
        assert sum(isinstance(r, hiredis.ReplyError) and str(r) == "BUSY" for r in replies) > 300

    run_on_uvloop(test())


def test_memory_of_answered_and_cancelled_requests_is_released():
    """Guards against a count that drifts, which would refuse all requests in the end."""

    async def test() -> None:
        harness, connections = await harness_with_server()
        memory = harness.driver.clients.memory
        client, leaving = await harness.connect_client(), await harness.connect_client()
        leaving.write(pack_long_request() + pack_long_request()[:-10])
        client.write(pack_long_request())
        for value in (b"one", b"two"):
            server = await next_item(connections)
            await server.read()
            assert memory.held_bytes > len(LONG_BODY)
            server.write(success_reply(value))
        assert await client.read() in (b"one", b"two") and await leaving.read() in (b"one", b"two")
        leaving.writer.close()
        async with asyncio.timeout(WAIT_TIMEOUT):
            while len(harness.driver.clients.connections) > 1:
                await asyncio.sleep(0)
        (connection,) = harness.driver.clients.connections
        assert memory.held_bytes == connection.held_bytes == connection.unparsed_bytes

    run_on_uvloop(test())


def send_all(address: tuple[str, int], data: bytes, received: list[int]) -> None:
    """Send the data at full speed on a connection of its own and read until the gateway closes it."""

    async def send() -> None:
        reader, writer = await asyncio.open_connection(*address)
        writer.write(data)
        while piece := await reader.read(65536):
            received.append(len(piece))

    with suppress(OSError), asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(send())


def test_process_stays_within_memory_limit_under_pipelined_commands(tmp_path):
    """Guards against a gateway killed for memory: 10 clients send 250 commands of 64,000 bytes at once."""

    async def test() -> None:
        discovery = FakeDiscovery([SERVER_ENTRY])
        host, port = HOST, free_port()
        config = raw_config(
            listen=f"{host}:{port}",
            discovery=await discovery.listen(),
            limits={"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": 256},
        )
        for name in ("peers", "peer_listen"):
            config.pop(name, None)
        data = [b"".join(pack_long_request() for _ in range(250)) for _ in range(10)]
        async with running_gateway(tmp_path / "config.json", config) as process:
            usual, received = RespConnection(*await asyncio.open_connection(host, port)), []
            threads = [
                threading.Thread(target=send_all, args=((host, port), d, received), daemon=True) for d in data
            ]
            for thread in threads:
                thread.start()
            peak_mb = 0.0
            while sum(received) < 2000 * len(b"-BUSY\r\n"):  # most requests are refused
                peak_mb = max(peak_mb, anonymous_memory_mb(process.pid))
                assert peak_mb <= MEMORY_MB
                await asyncio.sleep(0.005)
            usual.write(pack_request())
            assert await usual.read() is not None
            assert process.poll() is None
        for thread in threads:
            thread.join()
        await discovery.runner.cleanup()

    asyncio.run(test())


def test_parsed_data_is_released():
    """Guards the memory limit against idle connections that keep the data of their last commands."""

    async def test() -> None:
        harness, connections = await harness_with_server()
        client = await harness.connect_client()
        client.write(pack_long_request())
        server = await next_item(connections)
        await server.read()
        (connection,) = harness.driver.clients.connections
        assert connection.parser.buffered_bytes() == 0
        server.write(success_reply(b"value"))
        assert await client.read() == b"value"
        assert harness.driver.clients.memory.held_bytes == 0

    run_on_uvloop(test())


def test_unparsed_data_of_paused_connection_is_bounded():
    """Guards the memory limit against connections that are paused with a large part of the stream read."""

    async def test() -> None:
        limits = {"cores": 1.0, "memory_mb": 16, "sockets": 256}
        harness, _ = await harness_with_server(limits=limits)
        clients, memory = harness.driver.clients, harness.driver.clients.memory
        client = await harness.connect_client()
        client.write(hiredis.pack_command(("PING",)) * 40_000 + pack_request())  # queued behind each other
        client.write(b"".join(pack_long_request(b"m" * 100) for _ in range(30_000)))
        was_paused = False
        async with asyncio.timeout(WAIT_TIMEOUT):
            while not was_paused or client.writer.transport.get_write_buffer_size():
                was_paused = was_paused or bool(clients.read_paused)
                # half of what is free for all, and the read that reached that
                assert memory.held_bytes <= memory.limit_bytes / 2
                assert sum(c.unparsed_bytes for c in clients.connections) <= (
                    memory.limit_bytes / 4 + READ_BUFFER_BYTES
                )
                await asyncio.sleep(0)

    run_on_uvloop(test())


def test_partial_commands_beyond_memory_limit_are_rejected():
    """Guards the memory limit against half commands on many connections."""

    async def test() -> None:
        limits = {"cores": 1.0, "memory_mb": 16, "sockets": 256}
        harness, _ = await harness_with_server(limits=limits)
        memory = harness.driver.clients.memory
        clients = [await harness.connect_client() for _ in range(80)]
        for client in clients:
            client.write(pack_long_request()[:-10])
        readers = [asyncio.create_task(client.read()) for client in clients]
        async with asyncio.timeout(WAIT_TIMEOUT):
            done, _ = await asyncio.wait(readers, return_when=asyncio.FIRST_COMPLETED)
            while harness.driver.clients.mid_command and memory.held_bytes > memory.limit_bytes:
                await asyncio.sleep(0)
        assert all("not enough memory" in str(task.result()) for task in done)
        assert memory.held_bytes <= memory.limit_bytes
        small = await harness.connect_client()
        small.write(pack_request()[:-10])
        async with asyncio.timeout(WAIT_TIMEOUT):
            while not any(c.unparsed_bytes < 1000 for c in harness.driver.clients.mid_command):
                await asyncio.sleep(0)
        small.write(pack_request()[-10:])
        await harness.wait_for_event(api.Request, customer_id=int(CUSTOMER_ID, 16))
        for reader in readers:
            reader.cancel()

    run_on_uvloop(test())


def test_data_read_ahead_on_all_connections_is_bounded(monkeypatch):
    """Guards the memory limit against many connections whose commands wait for their turn."""
    monkeypatch.setattr("thymehinge.net.turns.LOOP_TURN", 0.0)  # no turn: all data waits

    async def test() -> None:
        limits = {"cores": 1.0, "memory_mb": 16, "sockets": 256}
        harness, _ = await harness_with_server(limits=limits)
        clients, memory = harness.driver.clients, harness.driver.clients.memory
        senders = [await harness.connect_client() for _ in range(60)]
        data = hiredis.pack_command(("PING",)) * 20_000
        for sender in senders:
            sender.write(data)
        bound = memory.limit_bytes / 2 + len(senders) * READ_BUFFER_BYTES  # one read each beyond the limit
        assert bound < memory.limit_bytes < len(senders) * len(data)
        complete_count = 0  # connections that are paused, or whose data has all been read
        async with asyncio.timeout(WAIT_TIMEOUT):
            while complete_count < len(senders):
                await asyncio.sleep(0)
                assert memory.held_bytes <= bound
                complete_count = sum(
                    c in clients.read_paused or c.unparsed_bytes == len(data) for c in clients.connections
                )

    run_on_uvloop(test())


def test_arrival_marks_of_commands_that_wait_are_bounded(monkeypatch):
    """Guards the memory limit against small pieces that are read while earlier commands wait."""
    monkeypatch.setattr("thymehinge.net.turns.LOOP_TURN", 0.0)

    async def test() -> None:
        harness, _ = await harness_with_server()
        await harness.connect_raw_client(b"")
        async with asyncio.timeout(WAIT_TIMEOUT):
            while not harness.driver.clients.connections:
                await asyncio.sleep(0)
        (connection,) = harness.driver.clients.connections
        now = harness.driver.clients.clock()
        harness.driver.clients.clock = lambda: now
        for piece in (hiredis.pack_command(("PING",)) * 200).decode():
            connection.data_received(piece.encode())
        assert len(connection.arrival_times.marks) <= 2

    run_on_uvloop(test())


LONG_REPLY = b"$60000\r\n" + b"v" * 60_000 + b"\r\n"


async def pipeline_requests(harness: GatewayHarness, client: RespConnection, count: int) -> list[Exchange]:
    """Send requests on one connection, and return them when they have arrived, unanswered."""
    exchanges: list[Exchange] = []
    harness.driver.clients.on_request = exchanges.append
    client.write(b"".join(pack_long_request(b"m") for _ in range(count)))
    async with asyncio.timeout(WAIT_TIMEOUT):
        while len(exchanges) < count:
            await asyncio.sleep(0)
    return exchanges


def test_replies_that_wait_for_earlier_ones_are_bounded():
    """Guards the memory limit against long values behind a request that takes long; the rest fail."""

    async def test() -> None:
        limits = {"cores": 1.0, "memory_mb": 16, "sockets": 256}
        harness, _ = await harness_with_server(limits=limits)
        memory = harness.driver.clients.memory
        client = await harness.connect_client()
        first, *others = await pipeline_requests(harness, client, 200)
        for exchange in others:
            exchange.answer(LONG_REPLY)
            assert memory.held_bytes <= memory.limit_bytes
        first.answer(LONG_REPLY)
        replies = [await client.read() for _ in range(200)]
        assert replies[0] == b"v" * 60_000
        failed = sum(isinstance(reply, hiredis.ReplyError) for reply in replies)
        assert 0 < failed < 190

    run_on_uvloop(test())


def test_replies_that_a_client_does_not_read_are_bounded():
    """Guards the memory limit against clients that leave long values unread."""

    async def test() -> None:
        limits = {"cores": 1.0, "memory_mb": 16, "sockets": 256}
        harness, _ = await harness_with_server(limits=limits)
        clients, memory = harness.driver.clients, harness.driver.clients.memory
        sender = await harness.connect_raw_client(b"")
        client = await harness.connect_client()
        client.stream_reader._transport.pause_reading()
        exchanges = await pipeline_requests(harness, client, 240)
        for exchange in exchanges:
            exchange.answer(LONG_REPLY)
            await asyncio.sleep(0)
            unsent = sum(c.transport.get_write_buffer_size() for c in clients.connections)
            assert unsent <= memory.limit_bytes + len(LONG_REPLY)
        (reader,) = clients.slow_readers
        assert memory.held_bytes >= reader.transport.get_write_buffer_size() - len(LONG_REPLY)
        client.stream_reader._transport.resume_reading()
        replies = [await client.read() for _ in range(240)]
        assert replies[0] == b"v" * 60_000 and isinstance(replies[-1], hiredis.ReplyError)
        async with asyncio.timeout(WAIT_TIMEOUT):
            while clients.slow_readers:
                await asyncio.sleep(0)
        assert memory.held_bytes == 0
        sender.close()

    run_on_uvloop(test())
