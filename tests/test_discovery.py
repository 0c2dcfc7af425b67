"""Discovery client: snapshots, watches, and each way in which a call can fail."""

from __future__ import annotations

import asyncio
import copy
import json
from collections.abc import Awaitable, Callable, Sequence
from contextlib import suppress
from itertools import product

import pytest
from aiohttp import web
from discoverykit import NO_ANSWER, SERVER_ENTRY, hosts_response, scripted_discovery
from netkit import HOST, WAIT_TIMEOUT, UnresponsiveListener, next_item, raw_config, run_on_uvloop

from thymehinge import interface as api
from thymehinge.net import call_schedule
from thymehinge.net import discovery as discovery_module
from thymehinge.net.call_schedule import CallSchedule
from thymehinge.net.config import parse_config
from thymehinge.net.discovery import Discovery, HostList, HostWatcher, watch_hosts


def collect_lists(answers: list, count: int, max_body_bytes: int = 2**24) -> tuple[list[HostList], list[str]]:
    """Return the first `count` lists delivered from these answers, and the paths of the calls made."""
    lists: list[HostList] = []
    paths: list[str] = []

    async def test() -> None:
        address, calls = await scripted_discovery(answers)
        received: asyncio.Queue[HostList] = asyncio.Queue()
        task = asyncio.create_task(watch_hosts(address, received.put_nowait, max_body_bytes))
        lists.extend([await next_item(received) for _ in range(count)])
        task.cancel()
        with suppress(asyncio.CancelledError):
            await task
        paths.extend(calls)

    run_on_uvloop(test())
    return lists, paths


def test_snapshot_followed_by_delta():
    gone = {"host": "s1", "health": "Gone"}
    lists, calls = collect_lists(
        [hosts_response(41, SERVER_ENTRY | {"born_ms": 5000}), hosts_response(43, gone, snapshot=False)], 2
    )
    assert (
        lists[0].is_snapshot
        and lists[0].servers[0].started_at == 5.0
        and lists[0].addresses == {"s1": (HOST, 1)}
    )
    assert not lists[1].is_snapshot and lists[1].servers[0].state is api.LifecycleState.GONE
    assert calls[0] == "/discovery/hosts" and calls[1].startswith("/discovery/hosts?since=41&timeout_ms=")


@pytest.mark.parametrize(
    "invalid",
    [
        None,
        web.Response(text="{not json"),
        web.Response(text="[]"),
        web.Response(status=500),
        web.Response(text="[" * 100_000),
    ],
)
def test_failed_call_followed_by_snapshot(invalid):
    """Guards against a gateway that keeps an old list after a failed call."""
    lists, calls = collect_lists(
        [hosts_response(41, SERVER_ENTRY), invalid, hosts_response(44, SERVER_ENTRY)], 2
    )
    assert [host_list.version for host_list in lists] == [41, 44]
    # a watch whose connection was reset may be repeated first
    assert calls[2] == "/discovery/hosts" or invalid is None


@pytest.mark.parametrize(
    "invalid",
    [
        SERVER_ENTRY | {"health": "Odd"},
        {k: v for k, v in SERVER_ENTRY.items() if k != "dial"},
        SERVER_ENTRY | {"dial": "127.0.0.1:99999"},
        SERVER_ENTRY | {"born_ms": "soon"},
        "no object",
    ],
)
def test_invalid_entry_keeps_others_and_requests_snapshot(invalid):
    """Guards against dropping a whole list for one invalid entry, and against losing that entry's change."""
    valid = SERVER_ENTRY | {"host": "s2"}
    lists, calls = collect_lists(
        [hosts_response(41, invalid, valid), hosts_response(44, SERVER_ENTRY, valid)], 2
    )
    assert [[server.name for server in host_list.servers] for host_list in lists] == [["s2"], ["s1", "s2"]]
    assert calls[:2] == ["/discovery/hosts"] * 2


def test_silent_watch_followed_by_snapshot(monkeypatch):
    """Guards against missing a drain that a silent watch does not deliver."""
    monkeypatch.setattr(call_schedule, "WATCH_TIMEOUT", 0.1)
    monkeypatch.setattr(call_schedule, "MIN_WATCH_TIMEOUT", 0.1)
    monkeypatch.setattr(call_schedule, "ANSWER_TIMEOUT", 0.2)
    draining = hosts_response(9, SERVER_ENTRY | {"health": "Terminating"})
    lists, calls = collect_lists([hosts_response(1, SERVER_ENTRY), NO_ANSWER, NO_ANSWER, draining], 2)
    assert [server.state for server in lists[1].servers] == [api.LifecycleState.DRAINING]
    assert calls[:4] == [calls[0], f"{calls[0]}?since=1&timeout_ms=100", calls[0], calls[0]]


def retry_delays(schedule: CallSchedule, *outcomes: str, duration: float = 0.0) -> list[float]:
    """Return the seconds from the end of each failed call until the next call is due.

    A call fails as "unreachable" or as "unusable" (invalid response), `duration` seconds after its start, or
    succeeds at once as "snapshot" or "watch".
    """
    delays, now = [], schedule.next_call_at
    for outcome in outcomes:
        schedule.start_call(now, is_watch=outcome == "watch")
        if outcome in ("snapshot", "watch"):
            schedule.on_answer(now, 0.0, outcome == "watch")
        else:
            schedule.on_failure(now + duration, now, unreachable=outcome == "unreachable")
            delays.append(schedule.next_call_at - now - duration)
        now = schedule.next_call_at
    return delays


@pytest.mark.parametrize("unreachable", [True, False])
def test_retry_delay_grows_only_while_discovery_is_reachable(unreachable):
    """Guards against late calls after an outage, and against overloading a discovery that rejects calls."""
    outcome = "unreachable" if unreachable else "unusable"
    delays = retry_delays(CallSchedule(0.0), *[outcome] * 6)
    assert delays == pytest.approx([0.1] * 6 if unreachable else [0.1, 0.2, 0.4, 0.8, 1.0, 1.0])


def test_snapshot_delivered_after_mixed_failures(monkeypatch):
    monkeypatch.setattr(call_schedule, "MAX_RETRY_DELAY", 0.1)
    lists, calls = collect_lists(
        [None, web.Response(status=503), None, web.Response(status=503), hosts_response(1, SERVER_ENTRY)], 1
    )
    assert lists[0].version == 1 and set(calls) == {"/discovery/hosts"}


def test_retry_delay_grows_while_watches_are_rejected():
    """Guards against overloading a discovery that answers snapshots but rejects watches."""
    schedule = CallSchedule(0.0)
    rejected_watches = ["snapshot", "unusable"] * 5
    assert retry_delays(schedule, *rejected_watches) == pytest.approx([0.1, 0.2, 0.4, 0.8, 1.0])
    # an answered watch resets the delay
    assert retry_delays(schedule, "snapshot", "watch", "unusable") == pytest.approx([0.1])


def test_retry_delay_counts_from_start_of_failed_call():
    """Guards the propagation time: the duration of a failed call counts towards the delay after it."""
    delays = retry_delays(CallSchedule(0.0), *["unusable"] * 6, duration=0.25)
    assert delays == pytest.approx([0.1, 0.1, 0.15, 0.55, 0.75, 0.75])


def test_worst_case_failures_meet_propagation_time():
    """Guards the propagation time when a watch falls silent and the calls after it fail in the worst order.

    Each call fails at once or late, as unreachable or with an invalid response, or gets no answer, from each
    state of the retry delay. The change comes just after the list from which the watch starts.
    """
    timing = call_schedule

    def latest_answer(schedule: CallSchedule, failures: int) -> float:
        """Return the latest time of a valid answer after `failures` + 1 failed calls, the first due now."""
        now = schedule.next_call_at
        if failures < 0:
            return now + timing.ANSWER_TIMEOUT
        answer_times = []
        for duration in (0.0, timing.MIN_RETRY_DELAY, timing.ANSWER_TIMEOUT, None):
            for unreachable, others in product((True, False), repeat=2):
                branch = copy.copy(schedule)
                branch.start_call(now, is_watch=False)
                if duration is None:
                    branch.on_overdue()
                else:
                    branch.on_failure(now + duration, now, unreachable, others)
                    branch.next_call_at = max(branch.next_call_at, now + duration)
                answer_times.append(latest_answer(branch, failures - 1))
        return max(answer_times)

    worst = 0.0
    for retry_delay in (timing.MIN_RETRY_DELAY, 0.2, 0.4, 0.8, timing.MAX_RETRY_DELAY):
        schedule = CallSchedule(0.0)
        schedule.retry_delay = retry_delay
        schedule.on_answer(0.0, 0.0, is_watch=False)
        schedule.start_call(schedule.next_call_at, is_watch=True)
        schedule.on_overdue()
        worst = max(worst, latest_answer(schedule, timing.TOLERATED_FAILURES - 1))
    assert worst <= timing.PROPAGATION_TIME - timing.LAG_MARGIN
    assert (
        timing.TOLERATED_FAILURES >= 2
        and timing.LAG_MARGIN >= 0.4
        and timing.MIN_RETRY_DELAY + timing.ANSWER_TIMEOUT <= timing.MAX_RETRY_DELAY
    )


ConnectionHandler = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]
RESPONSE_HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"


async def send(writer: asyncio.StreamWriter, data: bytes) -> None:
    writer.write(data)
    await writer.drain()


async def never_respond(reader, writer) -> None:
    """Send no response."""
    await asyncio.sleep(60)


async def trickle_body(reader, writer) -> None:
    """Send an endless body a byte at a time."""
    await send(writer, RESPONSE_HEAD + b"\r\n")
    while True:
        await send(writer, b" ")
        await asyncio.sleep(0.005)


async def send_endless_body(reader, writer) -> None:
    """Send an endless body at full speed."""
    await send(writer, RESPONSE_HEAD + b"\r\n" + b'{"seq":2,"whole":true,"hosts":[')
    while True:
        await send(writer, b" " * 65536)


async def stall_in_head(reader, writer) -> None:
    """Send an incomplete head, then nothing."""
    await send(writer, RESPONSE_HEAD)
    await asyncio.sleep(60)


async def reset_before_response(reader, writer) -> None:
    """Reset the connection before any response, after which the client may repeat the call."""
    writer.transport.abort()


async def reset_in_body(reader, writer) -> None:
    """Reset the connection within a body without a Content-Length, which only a regular close ends."""
    await send(writer, RESPONSE_HEAD + b"\r\n" + b'{"seq":2,"whole":true,"hosts":[')
    await asyncio.sleep(0.02)
    writer.transport.abort()


async def truncate_body(reader, writer) -> None:
    """Close the connection before the Content-Length is reached."""
    await send(writer, RESPONSE_HEAD + b'Content-Length: 500\r\n\r\n{"seq":2,"whole":true,"hosts":[]}')
    writer.close()


async def stall_error_body(reader, writer) -> None:
    """Send status 503 with a body that never arrives."""
    await send(writer, b"HTTP/1.1 503 Overbooked\r\nContent-Length: 500\r\n\r\n")
    await asyncio.sleep(60)


async def send_invalid_entry(reader, writer) -> None:
    """Send a snapshot with an invalid entry."""
    body = json.dumps({"seq": 2, "whole": True, "hosts": ["odd"]}).encode()
    await send(writer, RESPONSE_HEAD + b"Content-Length: %d\r\n\r\n" % len(body) + body)


async def raw_scripted_discovery(script: list[ConnectionHandler]) -> tuple[str, list[str]]:
    """Start a discovery server that handles its n-th call with the n-th handler, without an HTTP library.

    Return its address and the paths of the calls, which grow as calls arrive.
    """
    calls: list[str] = []

    async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(ConnectionError, asyncio.IncompleteReadError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                calls.append(head.split()[1].decode())
                await script[len(calls) - 1](reader, writer)

    server = await asyncio.start_server(handle, HOST, 0)
    return "{}:{}".format(*server.sockets[0].getsockname()), calls


def encode_snapshot(version: int, entries: Sequence[dict]) -> bytes:
    return json.dumps({"seq": version, "whole": True, "hosts": entries}, indent=4).encode()


def snapshot_handler(version: int, *entries: dict, content_length: bool = True) -> ConnectionHandler:
    """Return a handler that sends a snapshot in pieces.

    Without a Content-Length, closing the connection ends the body.
    """

    async def send_snapshot(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        body = encode_snapshot(version, entries)
        await send(
            writer, RESPONSE_HEAD + (b"Content-Length: %d\r\n\r\n" % len(body) if content_length else b"\r\n")
        )
        piece_size = max(50, len(body) // 100)
        for offset in range(0, len(body), piece_size):
            await send(writer, body[offset : offset + piece_size])
            await asyncio.sleep(0)
        if not content_length:
            writer.close()

    return send_snapshot


UNENDING_FAULTS = [never_respond, trickle_body, stall_in_head]  # only a timeout ends these calls
FAULTS = [
    *UNENDING_FAULTS,
    reset_before_response,
    send_endless_body,
    reset_in_body,
    truncate_body,
    stall_error_body,
    send_invalid_entry,
]


@pytest.mark.parametrize("watching", [True, False])
@pytest.mark.parametrize("fault", FAULTS)
def test_faulty_call_does_not_delay_next_call(fault, watching, monkeypatch, caplog):
    """Guards the propagation time: the next call starts when due, even if the faulty call has not ended."""
    timeouts = (
        {"WATCH_TIMEOUT": 0.2, "ANSWER_TIMEOUT": 0.1}
        if fault in UNENDING_FAULTS
        else {"WATCH_TIMEOUT": 600.0, "ANSWER_TIMEOUT": 600.0}
    )
    for name, value in (
        timeouts | {"PROPAGATION_TIME": 2000.0, "MIN_RETRY_DELAY": 0.01, "MAX_RETRY_DELAY": 0.02}
    ).items():
        monkeypatch.setattr(call_schedule, name, value)
    started_at: list[float] = []  # loop time of the start of each call
    fetch = discovery_module.fetch_hosts

    async def timed_fetch(*args):
        started_at.append(asyncio.get_running_loop().time())
        return await fetch(*args)

    monkeypatch.setattr(discovery_module, "fetch_hosts", timed_fetch)

    async def test() -> None:
        preceding = [snapshot_handler(1, SERVER_ENTRY)] if watching else []
        draining = snapshot_handler(3, SERVER_ENTRY | {"health": "Terminating"}, content_length=False)
        address, calls = await raw_scripted_discovery([*preceding, fault, draining])
        received: asyncio.Queue[HostList] = asyncio.Queue()
        task = asyncio.create_task(watch_hosts(address, received.put_nowait, 2**20))
        while [server.state for server in (await next_item(received)).servers] != [
            api.LifecycleState.DRAINING
        ]:
            pass
        task.cancel()
        with suppress(asyncio.CancelledError):
            await task
        assert ("since=1" in calls[len(preceding)]) is watching

    run_on_uvloop(test())
    if fault in UNENDING_FAULTS:  # the next call starts once this one is overdue
        gap = started_at[int(watching) + 1] - started_at[int(watching)]
        assert gap >= (0.3 if watching else 0.1) - 0.01
    assert (f"{2**20} are the most" in caplog.text) is (fault is send_endless_body)


def test_repeated_watch_is_overdue_as_one_call(monkeypatch):
    """Guards the propagation time: repeating a call after a reset does not extend its timeout."""
    for name, value in {"WATCH_TIMEOUT": 0.2, "ANSWER_TIMEOUT": 0.3, "MIN_RETRY_DELAY": 0.01}.items():
        monkeypatch.setattr(call_schedule, name, value)
    called_at: list[float] = []

    def timed(handler: ConnectionHandler) -> ConnectionHandler:
        async def timed_handler(reader, writer) -> None:
            called_at.append(asyncio.get_running_loop().time())
            await handler(reader, writer)

        return timed_handler

    async def late_reset(reader, writer) -> None:
        await asyncio.sleep(0.15)
        writer.transport.abort()

    async def test() -> None:
        script = [
            snapshot_handler(1, SERVER_ENTRY),
            late_reset,
            never_respond,
            snapshot_handler(3, SERVER_ENTRY),
        ]
        address, calls = await raw_scripted_discovery([timed(handler) for handler in script])
        received: asyncio.Queue[HostList] = asyncio.Queue()
        task = asyncio.create_task(watch_hosts(address, received.put_nowait, 2**20))
        assert [(await next_item(received)).version, (await next_item(received)).version] == [1, 3]
        task.cancel()
        with suppress(asyncio.CancelledError):
            await task
        assert ["since=1" in call for call in calls[:4]] == [False, True, True, False]
        assert called_at[3] - called_at[1] < 0.2 + 0.3 + 0.1  # not extended by the 0.15 s before the reset

    run_on_uvloop(test())


@pytest.mark.parametrize("known_versions", [[], [5]])
def test_hanging_connect_does_not_delay_next_call(known_versions, monkeypatch, caplog):
    """Guards the propagation time when connects hang, for snapshot calls and for watches."""
    for name, value in {
        "WATCH_TIMEOUT": 0.1,
        "MIN_WATCH_TIMEOUT": 0.1,
        "ANSWER_TIMEOUT": 0.1,
        "MAX_OVERDUE_TIMEOUT": 0.1,
    }.items():
        monkeypatch.setattr(call_schedule, name, value)

    async def test() -> None:
        with UnresponsiveListener() as address:
            watcher = HostWatcher(address, lambda hosts: None, 2**20)
            watcher.version = next(iter(known_versions), None)
            task = asyncio.create_task(watcher.run())
            async with asyncio.timeout(WAIT_TIMEOUT):
                while caplog.text.count("no answer for") < 5:
                    await asyncio.sleep(0.01)
            assert 1 < len(watcher.calls) <= call_schedule.MAX_CALLS
            task.cancel()
            watcher.close()

    run_on_uvloop(test())


@pytest.mark.parametrize("shortfall", [0, 1])
def test_body_is_read_up_to_size_limit(shortfall, monkeypatch, caplog):
    """Guards against exceeding the memory limit and against rejecting the list of a large fleet.

    The size limit is the body's length less `shortfall` bytes.
    """
    monkeypatch.setattr(call_schedule, "ANSWER_TIMEOUT", 600.0)
    entries = [SERVER_ENTRY | {"host": f"s{i}"} for i in range(5000)]
    length = len(encode_snapshot(1, entries))

    async def test() -> None:
        address, _ = await raw_scripted_discovery(
            [
                snapshot_handler(1, *entries, content_length=False),
                snapshot_handler(2, SERVER_ENTRY),
                never_respond,
            ]
        )
        received: asyncio.Queue[HostList] = asyncio.Queue()
        task = asyncio.create_task(watch_hosts(address, received.put_nowait, length - shortfall))
        first = await next_item(received)
        assert (first.version, len(first.servers)) == ((2, 1) if shortfall else (1, 5000))
        task.cancel()
        with suppress(asyncio.CancelledError):
            await task

    run_on_uvloop(test())
    assert ("given up after" in caplog.text) is bool(shortfall)


def test_size_limit_is_fraction_of_memory():
    config = parse_config(raw_config(limits={"memory_mb": 96, "sockets": 256}), {})
    assert config.memory_bytes == 96 * 2**20
    assert Discovery(lambda hosts: None, config.memory_bytes).max_body_bytes == 8 * 2**20


def test_address_change_cancels_watch():
    """Guards against a reload that waits for a watch at the old address to end."""

    async def test() -> None:
        old_address, old_calls = await scripted_discovery([hosts_response(41, SERVER_ENTRY)])
        new_address, new_calls = await scripted_discovery([hosts_response(7, SERVER_ENTRY)])
        received: asyncio.Queue[HostList] = asyncio.Queue()
        discovery = Discovery(received.put_nowait, 2**27)
        discovery.set_address(old_address)
        assert (await next_item(received)).version == 41
        async with asyncio.timeout(10):
            while len(old_calls) < 2:  # the watch is pending and is never answered
                await asyncio.sleep(0)
            discovery.set_address(new_address)
            assert (await received.get()).version == 7
        assert new_calls[0] == "/discovery/hosts"
        discovery.stop()

    run_on_uvloop(test())
