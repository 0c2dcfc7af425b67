"""A keyed request goes again only within its window and group, from the first attempt that may have run."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence

import hiredis
import pytest
from netkit import PATIENCE, Kit, Wire, command, hosts, options, run, served, soon
from rules import Drive, settings
from test_endings import Order

from thymehinge import interface as api
from thymehinge.interface import DedupScope, Idempotency, Result
from thymehinge.net.server_connection import Attempt

KEYED = command(b"API.WRITE", b"c=order,t=village,d=3000,k=5c0f", b"BODY")
STALL = 0.15  # s that a gateway may be held up between reading its clock and writing, by the standing test


async def first_of(came: Sequence[asyncio.Queue[Wire]]) -> Wire:
    """The first connection that comes to any of these servers."""
    waiting = [asyncio.create_task(queue.get()) for queue in came]
    async with asyncio.timeout(PATIENCE):
        (first,), others = await asyncio.wait(waiting, return_when=asyncio.FIRST_COMPLETED)
    for task in others:
        task.cancel()
    return first.result()


async def failed_first_attempt(kit: Kit) -> tuple[Wire, list[asyncio.Queue[Wire]], asyncio.Event]:
    """A client whose keyed request has failed at one of two servers; the next connection is held back."""
    dials, came = zip(*[await kit.server() for _ in range(2)], strict=True)
    kit.driver.on_list(hosts(s1=dials[0], s2=dials[1]))
    client = await kit.client()
    client.write(KEYED)
    server = await first_of(came)
    await server.read()
    gate = kit.hold_connects()
    server.write(b"-ERR failed\r\n")
    await kit.until(api.Outcome)
    return client, list(came), gate


def with_window(seconds: float) -> Kit:
    raw = options()
    raw["classes"][1]["dedup_window_s"] = seconds
    return Kit(settings=raw)


async def nothing_was_written(came: list[asyncio.Queue[Wire]]) -> None:
    """The connection that came up at last ends, or carries nothing for a while."""
    for queue in came:
        while not queue.empty():
            with pytest.raises((TimeoutError, EOFError, ConnectionError)):
                async with asyncio.timeout(0.3):
                    await queue.get_nowait().read()


def test_a_repeat_that_waits_for_a_connection_past_its_window_is_not_written():
    """Guards against a second execution: the connection came up 0.2 s after the window had ended."""

    async def test() -> None:
        kit = with_window(0.4)
        client, came, gate = await failed_first_attempt(kit)
        kit.ahead += 0.6
        gate.set()
        assert str(await client.read()) == "ERR failed"
        await nothing_was_written(came)

    run(test())


def test_a_repeat_whose_window_ends_while_it_waits_is_answered_then():
    """Guards service: nothing can come of it any more, and its client hears at once."""

    async def test() -> None:
        kit = with_window(0.4)
        client, _, _ = await failed_first_attempt(kit)
        async with asyncio.timeout(1.5):
            assert isinstance(await client.read(), hiredis.ReplyError)

    run(test())


def test_a_repeat_within_its_window_is_written():
    async def test() -> None:
        kit = with_window(5.0)
        client, came, gate = await failed_first_attempt(kit)
        kit.ahead += 1.0
        gate.set()
        server = await first_of(came)
        await server.read()
        server.write(served(b"value"))
        assert await client.read() == b"value"

    run(test())


@pytest.mark.parametrize(
    ("window", "after", "again"), [(0.4, 0.2, True), (0.4, 0.3, False), (0.1, 0.0, False)]
)
def test_the_window_ends_early_by_what_a_process_may_be_held_up(window, after, again):
    """Guards the window against 0.15 s between the clock and the write; a tenth of 0.4 s was kept for it."""
    keyed = api.RequestClass(
        "pay",
        latency_target=1.0,
        timeout=3.0,
        idempotency=Idempotency.KEYED,
        dedup_scope=DedupScope.ALL,
        dedup_window=window,
    )
    d = Drive(settings(classes=(keyed,), hedging_enabled=False))
    d.give(api.ServerList(api.ListKind.SNAPSHOT, 1, tuple(api.Server(f"s{i}") for i in range(3))))
    d.request(cls="pay")
    d.run(after)
    d.end(1, Result.RESET)
    assert (len(d.sent[1]) == 2) is again
    sends = [action for _, action in d.log if isinstance(action, api.Send)]
    if again:
        assert sends[1].start_deadline <= d.requests[1][1] + window - STALL


@pytest.mark.parametrize("result", [Result.RESET, Result.CONNECT_FAILED])
def test_only_an_attempt_that_may_have_run_begins_the_window(result):
    d = Drive(settings(hedging_enabled=False))
    d.give(api.ServerList(api.ListKind.SNAPSHOT, 1, tuple(api.Server(f"s{i}", zone="a") for i in range(3))))
    d.request(cls="pay")
    d.run(0.5)
    d.end(1, result)
    sends = [action for _, action in d.log if isinstance(action, api.Send)]
    assert len(sends) == 2
    assert (sends[1].start_deadline < sends[1].deadline) is (result is Result.RESET)


def test_a_repeat_stays_with_the_zone_that_its_first_attempt_went_to():
    """Guards the group of a key: the list tells another zone of the same server while the attempt is out."""
    d = Drive(settings(hedging_enabled=False))
    d.give(api.ServerList(api.ListKind.SNAPSHOT, 1, (api.Server("s1", zone="a"),)))
    d.request(cls="pay")
    others = [api.Server(f"a{i}", zone="a") for i in range(3)] + [
        api.Server(f"b{i}", zone="b") for i in range(9)
    ]
    d.give(api.ServerList(api.ListKind.DELTA, 2, (api.Server("s1", zone="b"), *others)))
    d.end(1, Result.RESET)
    assert d.sent[1][-1][0].startswith("a")


def test_a_request_that_is_written_slowly_is_given_up_before_its_last_byte():
    """Guards the time told and the window: the server begins only once the last byte has come."""

    async def test() -> None:
        kit = Kit()
        dial, came = await kit.server()
        kit.driver.on_list(hosts(s1=dial))
        outcomes: asyncio.Queue[Result] = asyncio.Queue()
        kit.driver.servers.report = lambda a, result, report, value: outcomes.put_nowait(result)
        huge = Order()
        huge.encode_command = lambda wait_ms: b"x" * 2**24  # more than the kernel takes without a reader
        attempt = Attempt(huge, 0, "s1", kit.driver.clock(), kit.driver.clock() + 60.0)
        kit.driver.servers.start(attempt)
        await soon(came)
        assert await soon(outcomes) is Result.CONNECT_FAILED

    run(test())
