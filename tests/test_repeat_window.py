"""Requests with an idempotency key are retried only within their dedup window and dedup scope."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence

import hiredis
import pytest
from netkit import (
    WAIT_TIMEOUT,
    GatewayHarness,
    RespConnection,
    host_list,
    next_item,
    pack_request,
    raw_settings,
    run_on_uvloop,
    success_reply,
)
from rules import CheckedGateway, make_settings
from test_endings import StubExchange

from thymehinge import interface as api
from thymehinge.interface import DedupScope, Idempotency, Result
from thymehinge.net.server_connection import Attempt

KEYED_REQUEST = pack_request(b"API.WRITE", b"c=order,t=village,d=3000,k=5c0f", b"BODY")
MAX_PROCESS_STALL = 0.15  # seconds between reading the clock and writing


async def next_connection(connections: Sequence[asyncio.Queue[RespConnection]]) -> RespConnection:
    """Return the next connection that any of these servers accepts."""
    tasks = [asyncio.create_task(queue.get()) for queue in connections]
    async with asyncio.timeout(WAIT_TIMEOUT):
        (finished,), pending = await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
    for task in pending:
        task.cancel()
    return finished.result()


async def client_with_failed_attempt(
    harness: GatewayHarness,
) -> tuple[RespConnection, list[asyncio.Queue[RespConnection]], asyncio.Event]:
    """Fail the first attempt of a keyed request at one of two servers and delay further connections.

    Return the client, the connections that the servers accept, and an event that ends the delay.
    """
    addresses, connections = zip(*[await harness.start_server() for _ in range(2)], strict=True)
    harness.driver.on_list(host_list(s1=addresses[0], s2=addresses[1]))
    client = await harness.connect_client()
    client.write(KEYED_REQUEST)
    server = await next_connection(connections)
    await server.read()
    connect_gate = harness.hold_connects()
    server.write(b"-ERR failed\r\n")
    await harness.wait_for_event(api.Outcome)
    return client, list(connections), connect_gate


def harness_with_dedup_window(seconds: float) -> GatewayHarness:
    settings = raw_settings()
    settings["classes"][1]["dedup_window_s"] = seconds
    return GatewayHarness(settings=settings)


async def assert_nothing_written(connections: list[asyncio.Queue[RespConnection]]) -> None:
    """Check that accepted connections end or carry no data for 0.3 s."""
    for queue in connections:
        while not queue.empty():
            with pytest.raises((TimeoutError, EOFError, ConnectionError)):
                async with asyncio.timeout(0.3):
                    await queue.get_nowait().read()


def test_retry_connected_after_dedup_window_is_not_written():
    """Guards against a second execution after the dedup window has ended."""

    async def test() -> None:
        harness = harness_with_dedup_window(0.4)
        client, connections, connect_gate = await client_with_failed_attempt(harness)
        harness.clock_offset += 0.6
        connect_gate.set()
        assert str(await client.read()) == "ERR failed"
        await assert_nothing_written(connections)

    run_on_uvloop(test())


def test_waiting_retry_fails_when_dedup_window_ends():
    """Guards against a client that waits for a retry which can no longer be sent."""

    async def test() -> None:
        harness = harness_with_dedup_window(0.4)
        client, _, _ = await client_with_failed_attempt(harness)
        async with asyncio.timeout(1.5):
            assert isinstance(await client.read(), hiredis.ReplyError)

    run_on_uvloop(test())


def test_retry_within_dedup_window_is_written():
    async def test() -> None:
        harness = harness_with_dedup_window(5.0)
        client, connections, connect_gate = await client_with_failed_attempt(harness)
        harness.clock_offset += 1.0
        connect_gate.set()
        server = await next_connection(connections)
        await server.read()
        server.write(success_reply(b"value"))
        assert await client.read() == b"value"

    run_on_uvloop(test())


@pytest.mark.parametrize(
    ("window", "delay", "retried"), [(0.4, 0.2, True), (0.4, 0.3, False), (0.1, 0.0, False)]
)
def test_dedup_window_is_shortened_by_max_stall(window, delay, retried):
    """Guards short windows against a process that stalls between reading the clock and writing."""
    keyed_class = api.RequestClass(
        "pay",
        latency_target=1.0,
        timeout=3.0,
        idempotency=Idempotency.KEYED,
        dedup_scope=DedupScope.ALL,
        dedup_window=window,
    )
    gateway = CheckedGateway(make_settings(classes=(keyed_class,), hedging_enabled=False))
    gateway.deliver(api.ServerList(api.ListKind.SNAPSHOT, 1, tuple(api.Server(f"s{i}") for i in range(3))))
    gateway.request(class_name="pay")
    gateway.run(delay)
    gateway.end_attempt(1, Result.RESET)
    assert (len(gateway.attempts[1]) == 2) is retried
    sends = [action for _, action in gateway.action_log if isinstance(action, api.Send)]
    if retried:
        assert sends[1].start_deadline <= gateway.requests[1][1] + window - MAX_PROCESS_STALL


@pytest.mark.parametrize("result", [Result.RESET, Result.CONNECT_FAILED])
def test_dedup_window_starts_only_if_attempt_may_have_run(result):
    gateway = CheckedGateway(make_settings(hedging_enabled=False))
    gateway.deliver(
        api.ServerList(api.ListKind.SNAPSHOT, 1, tuple(api.Server(f"s{i}", zone="a") for i in range(3)))
    )
    gateway.request(class_name="pay")
    gateway.run(0.5)
    gateway.end_attempt(1, result)
    sends = [action for _, action in gateway.action_log if isinstance(action, api.Send)]
    assert len(sends) == 2
    assert (sends[1].start_deadline < sends[1].deadline) is (result is Result.RESET)


def test_retry_stays_in_zone_of_first_attempt():
    """Guards the dedup scope against a server that changes its zone while the attempt is in flight."""
    gateway = CheckedGateway(make_settings(hedging_enabled=False))
    gateway.deliver(api.ServerList(api.ListKind.SNAPSHOT, 1, (api.Server("s1", zone="a"),)))
    gateway.request(class_name="pay")
    others = [api.Server(f"a{i}", zone="a") for i in range(3)] + [
        api.Server(f"b{i}", zone="b") for i in range(9)
    ]
    gateway.deliver(api.ServerList(api.ListKind.DELTA, 2, (api.Server("s1", zone="b"), *others)))
    gateway.end_attempt(1, Result.RESET)
    assert gateway.attempts[1][-1][0].startswith("a")


def test_slow_write_is_aborted_before_last_byte():
    """Guards the deadline and the dedup window: a server starts when the last byte has arrived."""

    async def test() -> None:
        harness = GatewayHarness()
        address, connections = await harness.start_server()
        harness.driver.on_list(host_list(s1=address))
        outcomes: asyncio.Queue[Result] = asyncio.Queue()
        harness.driver.servers.on_outcome = lambda a, result, report, value: outcomes.put_nowait(result)
        large_request = StubExchange()
        large_request.encode_command = lambda wait_ms: b"x" * 2**24  # more than the socket buffers hold
        attempt = Attempt(large_request, 0, "s1", harness.driver.clock(), harness.driver.clock() + 60.0)
        harness.driver.servers.start_attempt(attempt)
        await next_item(connections)
        assert await next_item(outcomes) is Result.CONNECT_FAILED

    run_on_uvloop(test())
