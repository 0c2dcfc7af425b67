"""A keyed request is retried only within its dedup window and its dedup scope."""

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
from test_endings import Order

from thymehinge import interface as api
from thymehinge.interface import DedupScope, Idempotency, Result
from thymehinge.net.server_connection import Attempt

KEYED = pack_request(b"API.WRITE", b"c=order,t=village,d=3000,k=5c0f", b"BODY")
STALL = 0.15  # seconds that a gateway may stall between reading its clock and writing


async def first_connection(connections: Sequence[asyncio.Queue[RespConnection]]) -> RespConnection:
    """The first connection to any of these servers."""
    waiting = [asyncio.create_task(queue.get()) for queue in connections]
    async with asyncio.timeout(WAIT_TIMEOUT):
        (first,), others = await asyncio.wait(waiting, return_when=asyncio.FIRST_COMPLETED)
    for task in others:
        task.cancel()
    return first.result()


async def failed_first_attempt(
    kit: GatewayHarness,
) -> tuple[RespConnection, list[asyncio.Queue[RespConnection]], asyncio.Event]:
    """A client whose keyed request has failed at one of two servers; the next connection is held back."""
    dials, connections = zip(*[await kit.start_server() for _ in range(2)], strict=True)
    kit.driver.on_list(host_list(s1=dials[0], s2=dials[1]))
    client = await kit.connect_client()
    client.write(KEYED)
    server = await first_connection(connections)
    await server.read()
    connect_gate = kit.hold_connects()
    server.write(b"-ERR failed\r\n")
    await kit.wait_for_event(api.Outcome)
    return client, list(connections), connect_gate


def kit_with_window(seconds: float) -> GatewayHarness:
    raw = raw_settings()
    raw["classes"][1]["dedup_window_s"] = seconds
    return GatewayHarness(settings=raw)


async def assert_nothing_written(connections: list[asyncio.Queue[RespConnection]]) -> None:
    """The connection to a server ends or carries nothing for a while."""
    for queue in connections:
        while not queue.empty():
            with pytest.raises((TimeoutError, EOFError, ConnectionError)):
                async with asyncio.timeout(0.3):
                    await queue.get_nowait().read()


def test_a_retry_that_waits_for_a_connection_past_its_window_is_not_written():
    """Guards against a second execution after the dedup window."""

    async def test() -> None:
        kit = kit_with_window(0.4)
        client, connections, connect_gate = await failed_first_attempt(kit)
        kit.clock_offset += 0.6
        connect_gate.set()
        assert str(await client.read()) == "ERR failed"
        await assert_nothing_written(connections)

    run_on_uvloop(test())


def test_a_retry_whose_window_ends_while_it_waits_is_answered_then():
    """Guards against a client that waits for a retry that cannot start any more."""

    async def test() -> None:
        kit = kit_with_window(0.4)
        client, _, _ = await failed_first_attempt(kit)
        async with asyncio.timeout(1.5):
            assert isinstance(await client.read(), hiredis.ReplyError)

    run_on_uvloop(test())


def test_a_retry_within_its_window_is_written():
    async def test() -> None:
        kit = kit_with_window(5.0)
        client, connections, connect_gate = await failed_first_attempt(kit)
        kit.clock_offset += 1.0
        connect_gate.set()
        server = await first_connection(connections)
        await server.read()
        server.write(success_reply(b"value"))
        assert await client.read() == b"value"

    run_on_uvloop(test())


@pytest.mark.parametrize(
    ("window", "after", "retried"), [(0.4, 0.2, True), (0.4, 0.3, False), (0.1, 0.0, False)]
)
def test_the_window_is_shortened_by_the_longest_stall(window, after, retried):
    """Guards short windows against a stall between reading the clock and writing."""
    keyed = api.RequestClass(
        "pay",
        latency_target=1.0,
        timeout=3.0,
        idempotency=Idempotency.KEYED,
        dedup_scope=DedupScope.ALL,
        dedup_window=window,
    )
    checked = CheckedGateway(make_settings(classes=(keyed,), hedging_enabled=False))
    checked.deliver(api.ServerList(api.ListKind.SNAPSHOT, 1, tuple(api.Server(f"s{i}") for i in range(3))))
    checked.request(cls="pay")
    checked.run(after)
    checked.end_attempt(1, Result.RESET)
    assert (len(checked.attempts[1]) == 2) is retried
    sends = [action for _, action in checked.action_log if isinstance(action, api.Send)]
    if retried:
        assert sends[1].start_deadline <= checked.requests[1][1] + window - STALL


@pytest.mark.parametrize("result", [Result.RESET, Result.CONNECT_FAILED])
def test_only_an_attempt_that_may_have_run_starts_the_window(result):
    checked = CheckedGateway(make_settings(hedging_enabled=False))
    checked.deliver(
        api.ServerList(api.ListKind.SNAPSHOT, 1, tuple(api.Server(f"s{i}", zone="a") for i in range(3)))
    )
    checked.request(cls="pay")
    checked.run(0.5)
    checked.end_attempt(1, result)
    sends = [action for _, action in checked.action_log if isinstance(action, api.Send)]
    assert len(sends) == 2
    assert (sends[1].start_deadline < sends[1].deadline) is (result is Result.RESET)


def test_a_retry_stays_in_the_zone_of_its_first_attempt():
    """Guards the dedup scope where the server moves to another zone while the attempt is in flight."""
    checked = CheckedGateway(make_settings(hedging_enabled=False))
    checked.deliver(api.ServerList(api.ListKind.SNAPSHOT, 1, (api.Server("s1", zone="a"),)))
    checked.request(cls="pay")
    others = [api.Server(f"a{i}", zone="a") for i in range(3)] + [
        api.Server(f"b{i}", zone="b") for i in range(9)
    ]
    checked.deliver(api.ServerList(api.ListKind.DELTA, 2, (api.Server("s1", zone="b"), *others)))
    checked.end_attempt(1, Result.RESET)
    assert checked.attempts[1][-1][0].startswith("a")


def test_a_request_that_is_written_slowly_is_aborted_before_its_last_byte():
    """Guards the deadline and the window: the server starts once the last byte has arrived."""

    async def test() -> None:
        kit = GatewayHarness()
        dial, connections = await kit.start_server()
        kit.driver.on_list(host_list(s1=dial))
        outcomes: asyncio.Queue[Result] = asyncio.Queue()
        kit.driver.servers.report = lambda a, result, report, value: outcomes.put_nowait(result)
        huge = Order()
        huge.encode_command = lambda wait_ms: b"x" * 2**24  # more than the socket buffers hold
        attempt = Attempt(huge, 0, "s1", kit.driver.clock(), kit.driver.clock() + 60.0)
        kit.driver.servers.start(attempt)
        await next_item(connections)
        assert await next_item(outcomes) is Result.CONNECT_FAILED

    run_on_uvloop(test())
