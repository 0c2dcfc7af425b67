"""What is heard from discovery: lists, watches, and each way in which a call can fail."""

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
from thymehinge.net.config import read
from thymehinge.net.discovery import Discovery, Follower, HostList, follow


def heard(answers: list, count: int, size_most: int = 2**24) -> tuple[list[HostList], list[str]]:
    """What is told from these answers, up to a number of lists, and the calls made for it."""
    lists: list[HostList] = []
    seen: list[str] = []

    async def test() -> None:
        address, calls = await scripted_discovery(answers)
        told: asyncio.Queue[HostList] = asyncio.Queue()
        task = asyncio.create_task(follow(address, told.put_nowait, size_most))
        lists.extend([await next_item(told) for _ in range(count)])
        task.cancel()
        with suppress(asyncio.CancelledError):
            await task
        seen.extend(calls)

    run_on_uvloop(test())
    return lists, seen


def test_discovery_gives_the_list_and_then_its_changes():
    gone = {"host": "s1", "health": "Gone"}
    lists, calls = heard(
        [hosts_response(41, SERVER_ENTRY | {"born_ms": 5000}), hosts_response(43, gone, snapshot=False)], 2
    )
    assert lists[0].whole and lists[0].servers[0].started_at == 5.0 and lists[0].dials == {"s1": (HOST, 1)}
    assert not lists[1].whole and lists[1].servers[0].state is api.LifecycleState.GONE
    assert calls[0] == "/discovery/hosts" and calls[1].startswith("/discovery/hosts?since=41&timeout_ms=")


@pytest.mark.parametrize(
    "bad",
    [
        None,
        web.Response(text="{not json"),
        web.Response(text="[]"),
        web.Response(status=500),
        web.Response(text="[" * 100_000),
    ],
)
def test_discovery_comes_back_with_the_whole_list_after_a_bad_answer(bad):
    """Guards against a gateway that stays on an old list for good."""
    lists, calls = heard([hosts_response(41, SERVER_ENTRY), bad, hosts_response(44, SERVER_ENTRY)], 2)
    assert [each.version for each in lists] == [41, 44]
    # a watch whose connection broke may be asked once more as it was
    assert calls[2] == "/discovery/hosts" or bad is None


@pytest.mark.parametrize(
    "bad",
    [
        SERVER_ENTRY | {"health": "Odd"},
        {k: v for k, v in SERVER_ENTRY.items() if k != "dial"},
        SERVER_ENTRY | {"dial": "127.0.0.1:99999"},
        SERVER_ENTRY | {"born_ms": "soon"},
        "no object",
    ],
)
def test_a_bad_entry_discards_no_other_and_has_the_whole_list_asked_for(bad):
    """Guards against staying on an old list over one entry, and against missing what that one told."""
    good = SERVER_ENTRY | {"host": "s2"}
    lists, calls = heard([hosts_response(41, bad, good), hosts_response(44, SERVER_ENTRY, good)], 2)
    assert [[s.name for s in each.servers] for each in lists] == [["s2"], ["s1", "s2"]]
    assert calls[:2] == ["/discovery/hosts"] * 2


def test_a_watch_that_has_fallen_silent_is_opened_anew_with_the_whole_list(monkeypatch):
    """Guards the rule on drains: what a silent watch misses counts as told some seconds later."""
    monkeypatch.setattr(call_schedule, "WATCH", 0.1)
    monkeypatch.setattr(call_schedule, "WATCH_LEAST", 0.1)
    monkeypatch.setattr(call_schedule, "ANSWER", 0.2)
    draining = hosts_response(9, SERVER_ENTRY | {"health": "Terminating"})
    lists, calls = heard([hosts_response(1, SERVER_ENTRY), NO_ANSWER, NO_ANSWER, draining], 2)
    assert [s.state for s in lists[1].servers] == [api.LifecycleState.DRAINING]
    assert calls[:4] == [calls[0], f"{calls[0]}?since=1&timeout_ms=100", calls[0], calls[0]]


def pauses(schedule: CallSchedule, *ends: str, took: float = 0.0) -> list[float]:
    """How long after the end of each call that failed the next one is due.

    A call's end is "away", "unusable", "whole" or "watch"; the first two fail, so long after they began.
    """
    found, now = [], schedule.next_at
    for end in ends:
        schedule.begin(now, watch=end == "watch")
        if end in ("whole", "watch"):
            schedule.answered(now, 0.0, end == "watch")
        else:
            schedule.failed(now + took, now, away=end == "away")
            found.append(schedule.next_at - now - took)
        now = schedule.next_at
    return found


@pytest.mark.parametrize("away", [True, False])
def test_discovery_that_is_away_is_called_on_and_one_that_is_overbooked_less_and_less(away):
    """Guards the rule on drains: what discovery has at its return counts as told from that moment on."""
    end = "away" if away else "unusable"
    failed = pauses(CallSchedule(0.0), *[end] * 6)
    assert failed == pytest.approx([0.1] * 6 if away else [0.1, 0.2, 0.4, 0.8, 1.0, 1.0])


def test_after_many_failures_of_either_kind_the_whole_list_is_told(monkeypatch):
    monkeypatch.setattr(call_schedule, "PAUSE_MOST", 0.1)
    lists, calls = heard(
        [None, web.Response(status=503), None, web.Response(status=503), hosts_response(1, SERVER_ENTRY)], 1
    )
    assert lists[0].version == 1 and set(calls) == {"/discovery/hosts"}


def test_watches_that_are_turned_away_are_opened_less_and_less():
    """Guards an overbooked discovery, which may still give the whole list: 200 gateways would ask on."""
    schedule = CallSchedule(0.0)
    turned_away = ["whole", "unusable"] * 5
    assert pauses(schedule, *turned_away) == pytest.approx([0.1, 0.2, 0.4, 0.8, 1.0])
    # a watch that was answered proves that it can again
    assert pauses(schedule, "whole", "watch", "unusable") == pytest.approx([0.1])


def test_the_pause_counts_from_the_start_of_the_call_that_failed():
    """Guards the 6 s: a call that fails late has itself been pause enough, but for what the agent is due."""
    failed = pauses(CallSchedule(0.0), *["unusable"] * 6, took=0.25)
    assert failed == pytest.approx([0.1, 0.1, 0.15, 0.55, 0.75, 0.75])


def test_the_worst_order_of_failures_tells_a_change_in_time():
    """Guards the 6 s: after a watch that falls silent two calls fail in the worst way, one is slow.

    From each state of the pause. A call fails at once or late, as away or with what can't be used, or has no
    answer at all; the change comes just after the list that the watch begins with.
    """
    d = call_schedule

    def longest(schedule: CallSchedule, failures: int) -> float:
        """The time of the good answer, where so many calls fail before it; the next call is due."""
        now = schedule.next_at
        if failures < 0:
            return now + d.ANSWER
        found = []
        for took in (0.0, d.PAUSE, d.ANSWER, None):
            for away, others in product((True, False), repeat=2):
                after = copy.copy(schedule)
                after.begin(now, watch=False)
                if took is None:
                    after.overdue()
                else:
                    after.failed(now + took, now, away, others)
                    after.next_at = max(after.next_at, now + took)
                found.append(longest(after, failures - 1))
        return max(found)

    worst = 0.0
    for pause in (d.PAUSE, 0.2, 0.4, 0.8, d.PAUSE_MOST):
        schedule = CallSchedule(0.0)
        schedule.pause = pause
        schedule.answered(0.0, 0.0, watch=False)
        schedule.begin(schedule.next_at, watch=True)
        schedule.overdue()
        worst = max(worst, longest(schedule, d.FAILURES - 1))
    assert worst <= d.TOLD - d.MARGIN
    assert d.FAILURES >= 2 and d.MARGIN >= 0.4 and d.PAUSE + d.ANSWER <= d.PAUSE_MOST


Trouble = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]
HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"


async def say(writer: asyncio.StreamWriter, data: bytes) -> None:
    writer.write(data)
    await writer.drain()


async def is_silent(reader, writer) -> None:
    """No answer at all."""
    await asyncio.sleep(60)


async def trickles(reader, writer) -> None:
    """An answer that comes on and on, a few bytes at a time."""
    await say(writer, HEAD + b"\r\n")
    while True:
        await say(writer, b" ")
        await asyncio.sleep(0.005)


async def floods(reader, writer) -> None:
    """An answer that never ends, at full speed."""
    await say(writer, HEAD + b"\r\n" + b'{"seq":2,"whole":true,"hosts":[')
    while True:
        await say(writer, b" " * 65536)


async def stops_in_the_head(reader, writer) -> None:
    """Half a head, then nothing."""
    await say(writer, HEAD)
    await asyncio.sleep(60)


async def is_reset(reader, writer) -> None:
    """A reset before any answer, which the library may take as a reason to ask once more."""
    writer.transport.abort()


async def is_cut(reader, writer) -> None:
    """No length, and reset after a part: a reset is no end."""
    await say(writer, HEAD + b"\r\n" + b'{"seq":2,"whole":true,"hosts":[')
    await asyncio.sleep(0.02)
    writer.transport.abort()


async def is_cut_short(reader, writer) -> None:
    """A length that is not reached."""
    await say(writer, HEAD + b'Content-Length: 500\r\n\r\n{"seq":2,"whole":true,"hosts":[]}')
    writer.close()


async def refuses(reader, writer) -> None:
    """503 with a body that never comes."""
    await say(writer, b"HTTP/1.1 503 Overbooked\r\nContent-Length: 500\r\n\r\n")
    await asyncio.sleep(60)


async def has_a_bad_entry(reader, writer) -> None:
    """A list with an entry that makes no sense."""
    body = json.dumps({"seq": 2, "whole": True, "hosts": ["odd"]}).encode()
    await say(writer, HEAD + b"Content-Length: %d\r\n\r\n" % len(body) + body)


async def scripted(script: list[Trouble]) -> tuple[str, list[str]]:
    """A peer that takes one call after another as the script says, bare of any HTTP library; its calls."""
    calls: list[str] = []

    async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(ConnectionError, asyncio.IncompleteReadError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                calls.append(head.split()[1].decode())
                await script[len(calls) - 1](reader, writer)

    server = await asyncio.start_server(handle, HOST, 0)
    return "{}:{}".format(*server.sockets[0].getsockname()), calls


def indented(version: int, entries: Sequence[dict]) -> bytes:
    return json.dumps({"seq": version, "whole": True, "hosts": entries}, indent=4).encode()


def gives(version: int, *entries: dict, sized: bool = True) -> Trouble:
    """A good list, indented and in pieces; where it is not sized, its end is the connection's."""

    async def answer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        body = indented(version, entries)
        await say(writer, HEAD + (b"Content-Length: %d\r\n\r\n" % len(body) if sized else b"\r\n"))
        size = max(50, len(body) // 100)
        for i in range(0, len(body), size):
            await say(writer, body[i : i + size])
            await asyncio.sleep(0)
        if not sized:
            writer.close()

    return answer


ENDLESS = [is_silent, trickles, stops_in_the_head]  # only a budget ends these
TROUBLES = [*ENDLESS, is_reset, floods, is_cut, is_cut_short, refuses, has_a_bad_entry]


@pytest.mark.parametrize("watching", [True, False])
@pytest.mark.parametrize("trouble", TROUBLES)
def test_after_each_trouble_the_change_is_told_and_no_call_holds_up_the_next(
    trouble, watching, monkeypatch, caplog
):
    """Guards the 6 s: the next call begins when it is due, not when the one in trouble ends, and is told."""
    budgets = {"WATCH": 0.2, "ANSWER": 0.1} if trouble in ENDLESS else {"WATCH": 600.0, "ANSWER": 600.0}
    for name, value in (budgets | {"TOLD": 2000.0, "PAUSE": 0.01, "PAUSE_MOST": 0.02}).items():
        monkeypatch.setattr(call_schedule, name, value)
    begun: list[float] = []  # when each call began
    ask = discovery_module.ask

    async def timed(*args):
        begun.append(asyncio.get_running_loop().time())
        return await ask(*args)

    monkeypatch.setattr(discovery_module, "ask", timed)

    async def test() -> None:
        before = [gives(1, SERVER_ENTRY)] if watching else []
        draining = gives(3, SERVER_ENTRY | {"health": "Terminating"}, sized=False)
        address, calls = await scripted([*before, trouble, draining])
        told: asyncio.Queue[HostList] = asyncio.Queue()
        task = asyncio.create_task(follow(address, told.put_nowait, 2**20))
        while [s.state for s in (await next_item(told)).servers] != [api.LifecycleState.DRAINING]:
            pass
        task.cancel()
        with suppress(asyncio.CancelledError):
            await task
        assert ("since=1" in calls[len(before)]) is watching

    run_on_uvloop(test())
    if trouble in ENDLESS:  # nothing else ends the wait for it
        gap = begun[int(watching) + 1] - begun[int(watching)]
        assert gap >= (0.3 if watching else 0.1) - 0.01
    assert (f"{2**20} are the most" in caplog.text) is (trouble is floods)


def test_a_watch_that_is_reset_and_asked_once_more_is_overdue_as_one_call(monkeypatch):
    """Guards the 6 s: a call is repeated where a kept connection breaks; its time goes on."""
    for name, value in {"WATCH": 0.2, "ANSWER": 0.3, "PAUSE": 0.01}.items():
        monkeypatch.setattr(call_schedule, name, value)
    times: list[float] = []

    def timed(trouble: Trouble) -> Trouble:
        async def answer(reader, writer) -> None:
            times.append(asyncio.get_running_loop().time())
            await trouble(reader, writer)

        return answer

    async def late_reset(reader, writer) -> None:
        await asyncio.sleep(0.15)
        writer.transport.abort()

    async def test() -> None:
        script = [gives(1, SERVER_ENTRY), late_reset, is_silent, gives(3, SERVER_ENTRY)]
        address, calls = await scripted([timed(trouble) for trouble in script])
        told: asyncio.Queue[HostList] = asyncio.Queue()
        task = asyncio.create_task(follow(address, told.put_nowait, 2**20))
        assert [(await next_item(told)).version, (await next_item(told)).version] == [1, 3]
        task.cancel()
        with suppress(asyncio.CancelledError):
            await task
        assert ["since=1" in call for call in calls[:4]] == [False, True, True, False]
        assert times[3] - times[1] < 0.2 + 0.3 + 0.1  # not 0.15 s more

    run_on_uvloop(test())


@pytest.mark.parametrize("versions", [[], [5]])
def test_a_connect_that_never_comes_up_does_not_hold_up_the_next_call(versions, monkeypatch, caplog):
    """Guards the 6 s: also before a watch, whose wait does not count before it is asked for."""
    for name, value in {"WATCH": 0.1, "WATCH_LEAST": 0.1, "ANSWER": 0.1, "OVERDUE_MOST": 0.1}.items():
        monkeypatch.setattr(call_schedule, name, value)

    async def test() -> None:
        with UnresponsiveListener() as address:
            follower = Follower(address, lambda hosts: None, 2**20)
            follower.version = next(iter(versions), None)
            task = asyncio.create_task(follower.run())
            async with asyncio.timeout(WAIT_TIMEOUT):
                while caplog.text.count("no answer for") < 5:
                    await asyncio.sleep(0.01)
            assert 1 < len(follower.calls) <= call_schedule.CALLS_MOST
            task.cancel()
            follower.close()

    run_on_uvloop(test())


@pytest.mark.parametrize("lacking", [0, 1])
def test_an_answer_of_many_servers_is_read_up_to_the_most_that_memory_allows(lacking, monkeypatch, caplog):
    """Guards the memory limit without shutting out a large fleet."""
    monkeypatch.setattr(call_schedule, "ANSWER", 600.0)
    entries = [SERVER_ENTRY | {"host": f"s{i}"} for i in range(5000)]
    length = len(indented(1, entries))

    async def test() -> None:
        address, _ = await scripted([gives(1, *entries, sized=False), gives(2, SERVER_ENTRY), is_silent])
        told: asyncio.Queue[HostList] = asyncio.Queue()
        task = asyncio.create_task(follow(address, told.put_nowait, length - lacking))
        first = await next_item(told)
        assert (first.version, len(first.servers)) == ((2, 1) if lacking else (1, 5000))
        task.cancel()
        with suppress(asyncio.CancelledError):
            await task

    run_on_uvloop(test())
    assert ("given up after" in caplog.text) is bool(lacking)


def test_an_answer_may_take_a_part_of_what_the_configuration_allows():
    config = read(raw_config(limits={"memory_mb": 96, "sockets": 256}), {})
    assert config.memory == 96 * 2**20
    assert Discovery(lambda hosts: None, config.memory).size_most == 8 * 2**20


def test_discovery_that_moves_breaks_off_its_watch():
    """Guards the 4 s after a reload: a watch that is out at the old address may wait for longer."""

    async def test() -> None:
        old, old_calls = await scripted_discovery([hosts_response(41, SERVER_ENTRY)])
        new, new_calls = await scripted_discovery([hosts_response(7, SERVER_ENTRY)])
        told: asyncio.Queue[HostList] = asyncio.Queue()
        follower = Discovery(told.put_nowait, 2**27)
        follower.move(old)
        assert (await next_item(told)).version == 41
        async with asyncio.timeout(10):
            while len(old_calls) < 2:  # the watch is out, and is never answered
                await asyncio.sleep(0)
            follower.move(new)
            assert (await told.get()).version == 7
        assert new_calls[0] == "/discovery/hosts"
        follower.stop()

    run_on_uvloop(test())
