"""The program as a process, and what it hears from discovery and its peers."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import subprocess
import sys
import time
from collections.abc import AsyncIterator, Awaitable, Callable, Sequence
from contextlib import asynccontextmanager, suppress
from itertools import count as count_from
from pathlib import Path
from types import SimpleNamespace

import hiredis
import pytest
from aiohttp import web
from netkit import HOST, PATIENCE, Kit, Mute, Wire, command, configuration, options, run, served, soon

from thymehinge import interface as api
from thymehinge.net import discovery as discovery_module
from thymehinge.net import http
from thymehinge.net.config import read
from thymehinge.net.discovery import Discovery, HostList, follow, read_list
from thymehinge.net.driver import FIRST_LIST
from thymehinge.net.http import HttpClient

ROOT = Path(__file__).parent.parent
ENTRY = {"host": "s1", "dial": "127.0.0.1:1", "site": "a", "block": 0, "health": "Ready", "share": 1.0}


SILENT = "a call that is never answered"


def whole(version: int, *entries: dict, complete: bool = True) -> web.Response:
    return web.json_response({"seq": version, "whole": complete, "hosts": list(entries)})


async def discovery(answers: list, at: socket.socket | None = None) -> tuple[str, list[str]]:
    """An agent with an answer for each call, silent after the last, at a socket or a new one; its calls."""
    calls: list[str] = []

    async def handle(request: web.Request) -> web.StreamResponse:
        calls.append(request.path_qs)
        if len(calls) > len(answers):
            await asyncio.sleep(60)
        answer = answers[len(calls) - 1]
        if answer == SILENT:
            await asyncio.sleep(60)
        if answer is None:
            request.transport.abort()
        return answer or web.Response()

    app = web.Application()
    app.router.add_get("/discovery/hosts", handle)
    runner = web.AppRunner(app, shutdown_timeout=0.1)
    await runner.setup()
    site = web.SockSite(runner, at) if at else web.TCPSite(runner, HOST, 0)
    await site.start()
    return "{}:{}".format(*site._server.sockets[0].getsockname()), calls


def heard(answers: list, count: int, size_most: int = 2**24) -> tuple[list[HostList], list[str]]:
    """What is told from these answers, up to a number of lists, and the calls made for it."""
    lists: list[HostList] = []
    seen: list[str] = []

    async def test() -> None:
        address, calls = await discovery(answers)
        told: asyncio.Queue[HostList] = asyncio.Queue()
        task = asyncio.create_task(follow(address, told.put_nowait, size_most))
        lists.extend([await soon(told) for _ in range(count)])
        task.cancel()
        with suppress(asyncio.CancelledError):
            await task
        seen.extend(calls)

    run(test())
    return lists, seen


def test_discovery_gives_the_list_and_then_its_changes():
    gone = {"host": "s1", "health": "Gone"}
    lists, calls = heard([whole(41, ENTRY | {"born_ms": 5000}), whole(43, gone, complete=False)], 2)
    assert lists[0].whole and lists[0].servers[0].started == 5.0 and lists[0].dials == {"s1": (HOST, 1)}
    assert not lists[1].whole and lists[1].servers[0].state is api.State.GONE
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
    lists, calls = heard([whole(41, ENTRY), bad, whole(44, ENTRY)], 2)
    assert [each.version for each in lists] == [41, 44]
    # a watch whose connection broke may be asked once more as it was
    assert calls[2] == "/discovery/hosts" or bad is None


@pytest.mark.parametrize(
    "bad",
    [
        ENTRY | {"health": "Odd"},
        {k: v for k, v in ENTRY.items() if k != "dial"},
        ENTRY | {"dial": "127.0.0.1:99999"},
        ENTRY | {"born_ms": "soon"},
        "no object",
    ],
)
def test_a_bad_entry_discards_no_other_and_has_the_whole_list_asked_for(bad):
    """Guards against staying on an old list over one entry, and against missing what that one told."""
    good = ENTRY | {"host": "s2"}
    lists, calls = heard([whole(41, bad, good), whole(44, ENTRY, good)], 2)
    assert [[s.server for s in each.servers] for each in lists] == [["s2"], ["s1", "s2"]]
    assert calls[:2] == ["/discovery/hosts"] * 2


def test_a_watch_that_has_fallen_silent_is_opened_anew_with_the_whole_list(monkeypatch):
    """Guards the rule on drains: what a silent watch misses counts as told some seconds later."""
    monkeypatch.setattr("thymehinge.net.discovery.WATCH", 0.1)
    monkeypatch.setattr("thymehinge.net.discovery.ANSWER", 0.2)
    draining = whole(9, ENTRY | {"health": "Terminating"})
    lists, calls = heard([whole(1, ENTRY), SILENT, SILENT, draining], 2)
    assert [s.state for s in lists[1].servers] == [api.State.DRAINING]
    assert calls[:4] == [calls[0], f"{calls[0]}?since=1&timeout_ms=100", calls[0], calls[0]]


@pytest.mark.parametrize("away", [True, False])
def test_discovery_that_is_away_is_called_on_and_one_that_is_overbooked_less_and_less(away, monkeypatch):
    """Guards the rule on drains: what discovery has at its return counts as told from that moment on."""
    pauses, sleep = [], asyncio.sleep

    async def pause(seconds: float) -> None:
        pauses.append(seconds)
        await sleep(0)

    monkeypatch.setattr("thymehinge.net.discovery.asyncio", SimpleNamespace(sleep=pause))
    monkeypatch.setattr("thymehinge.net.discovery.monotonic", lambda: 0.0)  # each call fails at once
    answers = [None if away else web.Response(status=503) for _ in range(6)]
    lists, _ = heard([*answers, whole(1, ENTRY)], 1)
    assert lists[0].version == 1
    failed = [p for p in pauses if p >= 0.1]  # the others follow good answers
    assert (len(failed) >= 3 and set(failed) == {0.1}) if away else failed == [0.1, 0.2, 0.4, 0.8, 1.0, 1.0]


def test_watches_that_are_turned_away_are_opened_less_and_less(monkeypatch):
    """Guards an overbooked discovery, which may still give the whole list: 200 gateways would ask on."""
    pauses, sleep = [], asyncio.sleep

    async def pause(seconds: float) -> None:
        pauses.append(seconds)
        await sleep(0)

    monkeypatch.setattr("thymehinge.net.discovery.asyncio", SimpleNamespace(sleep=pause))
    monkeypatch.setattr("thymehinge.net.discovery.monotonic", lambda: 0.0)
    answers = [answer for _ in range(5) for answer in (whole(1, ENTRY), web.Response(status=503))]
    heard([*answers, whole(2, ENTRY), whole(3, complete=False), web.Response(status=503), whole(4)], 8)
    failed = [p for p in pauses if p >= 0.1]
    assert failed == [0.1, 0.2, 0.4, 0.8, 1.0, 0.1]  # a watch that was answered proves that it can again


def test_the_pause_counts_from_the_start_of_the_call_that_failed(monkeypatch):
    """Guards the 6 s: a call that fails late has itself been pause enough, but for what the agent is due."""
    pauses, sleep, clock = [], asyncio.sleep, count_from(0.0, 0.25)  # each call takes a quarter of a second

    async def pause(seconds: float) -> None:
        pauses.append(seconds)
        await sleep(0)

    monkeypatch.setattr("thymehinge.net.discovery.asyncio", SimpleNamespace(sleep=pause))
    monkeypatch.setattr("thymehinge.net.discovery.monotonic", lambda: next(clock))
    heard([*(web.Response(status=503) for _ in range(6)), whole(1, ENTRY)], 1)
    assert [p for p in pauses if p >= 0.1] == pytest.approx([0.1, 0.1, 0.15, 0.55, 0.75, 0.75])


def test_the_worst_order_of_failures_tells_a_change_in_time():
    """Guards the 6 s: after the call that was out, two that fail as late as they may, then a slow good one.

    From each state of the backoff, and each way to fail: at once or late, as away or with what can't be used.
    """
    d = discovery_module

    def longest(budget: float, pause: float, failures: int) -> float:
        """s from a call's start to the good answer, where it and so many after it fail in the worst way."""
        if failures < 0:
            return budget
        ways = []
        for after in (pause, d.PAUSE):  # kept, or reset by an agent that is away
            for took in (0.0, min(budget, after), budget):
                rest = longest(d.ANSWER, min(2 * after, d.PAUSE_MOST), failures - 1)
                ways.append(took + max(d.PAUSE, after - took) + rest)
        return max(ways)

    out = [(d.GAP + d.WATCH + d.ANSWER, p) for p in (d.PAUSE, 0.2, 0.4, 0.8, d.PAUSE_MOST)]
    out += [(d.ANSWER, p) for p in (d.PAUSE, 0.2, 0.4, 0.8, d.PAUSE_MOST)]
    worst = max(longest(budget, pause, d.FAILURES) for budget, pause in out)
    assert worst == pytest.approx(d.GAP + d.WATCH + 2 * d.ANSWER + d.PAUSE + d.FAILURES * d.PAUSE_MOST)
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
def test_after_each_trouble_the_change_is_told_and_no_call_outlasts_its_budget(
    trouble, watching, monkeypatch, caplog
):
    """Guards the 6 s: each step ends by the constant that it is counted with, and what comes next is told."""
    budgets = {"WATCH": 0.2, "ANSWER": 0.1} if trouble in ENDLESS else {"WATCH": 600.0, "ANSWER": 600.0}
    for name, value in (budgets | {"PAUSE": 0.01, "PAUSE_MOST": 0.02}).items():
        monkeypatch.setattr(discovery_module, name, value)
    took: list[float] = []  # s of each call
    ask = discovery_module.ask

    async def timed(*args):
        begun = asyncio.get_running_loop().time()
        try:
            return await ask(*args)
        finally:
            took.append(asyncio.get_running_loop().time() - begun)

    monkeypatch.setattr(discovery_module, "ask", timed)

    async def test() -> None:
        before = [gives(1, ENTRY)] if watching else []
        draining = gives(3, ENTRY | {"health": "Terminating"}, sized=False)
        address, calls = await scripted([*before, trouble, draining])
        told: asyncio.Queue[HostList] = asyncio.Queue()
        task = asyncio.create_task(follow(address, told.put_nowait, 2**20))
        while [s.state for s in (await soon(told)).servers] != [api.State.DRAINING]:
            pass
        task.cancel()
        with suppress(asyncio.CancelledError):
            await task
        assert ("since=1" in calls[len(before)]) is watching

    run(test())
    if trouble in ENDLESS:
        assert took[int(watching)] >= (0.3 if watching else 0.1) - 0.01  # its budget, no other end
    assert (f"{2**20} are the most" in caplog.text) is (trouble is floods)


def test_a_watch_that_is_reset_and_asked_once_more_has_one_budget_for_both(monkeypatch):
    """Guards the 6 s: a call is repeated where a kept connection breaks, on a new one with its own budget."""
    monkeypatch.setattr(discovery_module, "WATCH", 0.2)
    monkeypatch.setattr(discovery_module, "ANSWER", 0.3)
    monkeypatch.setattr(discovery_module, "PAUSE", 0.01)
    budgets: list[float | None] = []
    timeout = asyncio.timeout

    def counted(delay: float | None) -> asyncio.Timeout:
        budgets.append(delay)
        return timeout(delay)

    patched = SimpleNamespace(timeout=counted, open_connection=asyncio.open_connection)
    monkeypatch.setattr(http, "asyncio", patched)

    async def test() -> None:
        address, calls = await scripted([gives(1, ENTRY), is_reset, is_silent, gives(3, ENTRY)])
        told: asyncio.Queue[HostList] = asyncio.Queue()
        task = asyncio.create_task(follow(address, told.put_nowait, 2**20))
        assert [(await soon(told)).version, (await soon(told)).version] == [1, 3]
        task.cancel()
        with suppress(asyncio.CancelledError):
            await task
        assert ["since=1" in call for call in calls[:4]] == [False, True, True, False]
        assert budgets[:6] == [0.3, 0.3, 0.5, 0.3, 0.3, 0.3]  # of a call, then of its connect

    run(test())


@pytest.mark.parametrize("version", [None, 5])
def test_a_connect_that_never_comes_up_is_given_up_as_an_answer_is(version, monkeypatch):
    """Guards the 6 s: also before a watch, whose wait does not count before it is asked for."""
    monkeypatch.setattr(discovery_module, "WATCH", 600.0)
    monkeypatch.setattr(discovery_module, "ANSWER", 0.1)

    async def test() -> None:
        with Mute() as address:
            async with asyncio.timeout(PATIENCE):
                with pytest.raises(discovery_module.AWAY):
                    await discovery_module.ask(HttpClient(address, 2**20), version)

    run(test())


@pytest.mark.parametrize("lacking", [0, 1])
def test_an_answer_of_many_servers_is_read_up_to_the_most_that_memory_allows(lacking, monkeypatch, caplog):
    """Guards the memory limit without shutting out a large fleet."""
    monkeypatch.setattr(discovery_module, "ANSWER", 600.0)
    entries = [ENTRY | {"host": f"s{i}"} for i in range(5000)]
    length = len(indented(1, entries))

    async def test() -> None:
        address, _ = await scripted([gives(1, *entries, sized=False), gives(2, ENTRY), is_silent])
        told: asyncio.Queue[HostList] = asyncio.Queue()
        task = asyncio.create_task(follow(address, told.put_nowait, length - lacking))
        first = await soon(told)
        assert (first.version, len(first.servers)) == ((2, 1) if lacking else (1, 5000))
        task.cancel()
        with suppress(asyncio.CancelledError):
            await task

    run(test())
    assert ("given up after" in caplog.text) is bool(lacking)


def test_an_answer_may_take_a_part_of_what_the_configuration_allows():
    config = read(configuration(limits={"memory_mb": 96, "sockets": 256}), {})
    assert config.memory == 96 * 2**20
    assert Discovery(lambda hosts: None, config.memory).size_most == 8 * 2**20


def test_discovery_that_moves_breaks_off_its_watch():
    """Guards the 4 s after a reload: a watch that is out at the old address may wait for longer."""

    async def test() -> None:
        old, old_calls = await discovery([whole(41, ENTRY)])
        new, new_calls = await discovery([whole(7, ENTRY)])
        told: asyncio.Queue[HostList] = asyncio.Queue()
        follower = Discovery(told.put_nowait, 2**27)
        follower.move(old)
        assert (await soon(told)).version == 41
        async with asyncio.timeout(10):
            while len(old_calls) < 2:  # the watch is out, and is never answered
                await asyncio.sleep(0)
            follower.move(new)
            assert (await told.get()).version == 7
        assert new_calls[0] == "/discovery/hosts"
        follower.stop()

    run(test())


def test_datagrams_are_known_by_their_sender():
    """Guards the module against strangers, and against messages that no gateway may send."""

    async def test() -> None:
        kit = Kit()
        loop, peers = asyncio.get_running_loop(), kit.driver.peers
        listening, _ = await loop.create_datagram_endpoint(lambda: peers, local_addr=(HOST, 0))
        to = listening.get_extra_info("sockname")
        peer, stranger = (socket.socket(type=socket.SOCK_DGRAM) for _ in range(2))
        peer.bind(("127.0.0.2", 0))
        peers.numbers = {peer.getsockname(): 1}
        stranger.sendto(b"stranger", to)
        peer.sendto(b"x" * 257, to)
        peer.sendto(b"\xff\x00 no message of ours", to)
        assert (await kit.until(api.PeerMessage)).body == b"\xff\x00 no message of ours"
        peers.peers = (to, peer.getsockname())
        peers.tell(b"hello", 1)
        peer.settimeout(5)
        assert await asyncio.to_thread(peer.recv, 300) == b"hello"
        peer.close(), stranger.close()

    run(test())


def start(path: Path, config: object, **environ: str) -> subprocess.Popen:
    path.write_text(config if isinstance(config, str) else json.dumps(config))
    own = {k: v for k, v in os.environ.items() if not k.startswith("EDGE_")}
    return subprocess.Popen(
        [sys.executable, "-m", "thymehinge"],
        cwd=ROOT,
        env=own | {"EDGE_CONFIG": str(path)} | environ,
        stderr=subprocess.PIPE,
        text=True,
    )


def without(path: str) -> dict:
    """A configuration that lacks the value at a dotted path."""
    raw = configuration()
    node = raw
    *parents, last = path.split(".")
    for name in parents:
        node = node[name]
    del node[last]
    return raw


@pytest.mark.parametrize(
    ("config", "named"),
    [
        ("{", "EDGE_CONFIG"),
        ("[]", "not an object"),
        (without("settings.balancers"), "balancers"),
        (without("settings"), "settings"),
        (without("listen"), "listen"),
        (configuration(listen="nowhere"), "listen"),
        (configuration(limits={"sockets": 3}), "limits.sockets"),
        (configuration(limits={"memory_mb": 0}), "limits.memory_mb"),
        (configuration(seed="xyz"), "seed"),
        (configuration(settings={**options(), "discovery": ["automatic"]}), "discovery"),
        (configuration(peers=["a:b"]), "peers"),
        (configuration(known={"seq": 1, "hosts": {}}), "server list"),
        (configuration(listen="127.0.0.1:1", peer_listen="192.0.2.1:7"), "listen"),
    ],
)
def test_a_bad_configuration_ends_the_start_with_one_line(tmp_path, config, named):
    process = start(tmp_path / "config.json", config)
    error = process.communicate(timeout=20)[1]
    assert process.returncode == 2
    assert error.count("\n") == 1 and error.startswith("thymehinge: ") and named in error


Running = tuple[subprocess.Popen, int, asyncio.Queue[Wire]]


@asynccontextmanager
async def running(path: Path, *known: dict | None, **environ: str) -> AsyncIterator[Running]:
    """The program with one server: its process, its port and the connections that the server gets.

    It knows that server, discovery being down, unless it is told of another known list, or none.
    """
    came: asyncio.Queue[Wire] = asyncio.Queue()
    server = await asyncio.start_server(lambda r, w: came.put_nowait(Wire(r, w)), HOST, 0)
    dial = "{}:{}".format(*server.sockets[0].getsockname())
    with socket.socket() as free:
        free.bind((HOST, 0))
        port = free.getsockname()[1]
    mine = {"seq": 1, "whole": True, "hosts": [ENTRY | {"dial": dial}]}
    config = configuration(listen=f"{HOST}:{port}", discovery=f"{HOST}:1", known=[*known, mine][0])
    for cls in config["settings"]["classes"]:
        cls["give_up_s"] = 1.0
    process = start(path, config, **environ)
    try:
        async with asyncio.timeout(10):
            while True:
                with suppress(ConnectionError):
                    (await connect(port)).writer.close()
                    break
        yield process, port, came
    finally:
        process.kill()
        process.communicate()


async def connect(port: int) -> Wire:
    return Wire(*await asyncio.open_connection(HOST, port))


def test_sigterm_finishes_what_is_held_and_ends_well(tmp_path):
    """Guards the planned restart: a held request is answered, an idle connection closed, the exit code 0."""

    async def test() -> None:
        async with running(tmp_path / "config.json") as (process, port, came):
            client, idle = await connect(port), await connect(port)
            for each in (client, idle):
                each.write(hiredis.pack_command(("PING",)))
                assert await each.read() == b"PONG"
            client.write(command())
            held = await soon(came)
            await held.read()
            process.send_signal(signal.SIGTERM)
            late = await connect(port)  # these still come for a moment
            late.write(hiredis.pack_command(("PING",)))
            assert await late.read() == b"PONG"
            assert await idle.ended()
            held.write(served(b"held"))
            assert await client.read() == b"held"
            assert await client.ended()
            assert await asyncio.to_thread(process.wait, 10) == 0

    run(test())


def test_sighup_follows_the_file_and_keeps_what_is_held(tmp_path):
    """Guards the reload: the old address stays in the environment, a bad file changes nothing."""

    async def test() -> None:
        path = tmp_path / "config.json"
        new, calls = await discovery([whole(7, ENTRY | {"host": "s9"}), whole(8, complete=False)])
        async with running(path, EDGE_DISCOVERY=f"{HOST}:1") as (process, port, came):
            client = await connect(port)
            client.write(command())
            held = await soon(came)
            await held.read()
            good = json.loads(path.read_text())
            path.write_text("{ half")
            process.send_signal(signal.SIGHUP)
            async with asyncio.timeout(10):
                while "old configuration stays" not in await asyncio.to_thread(process.stderr.readline):
                    pass
                path.write_text(json.dumps(good | {"discovery": new}))
                process.send_signal(signal.SIGHUP)
                while len(calls) < 2:  # the list was taken in: a watch on it is out
                    await asyncio.sleep(0)
            held.write(served(b"held"))
            assert await client.read() == b"held"
            assert process.poll() is None

    run(test())


@pytest.mark.parametrize("again", [signal.SIGTERM, signal.SIGINT, signal.SIGHUP])
def test_a_further_signal_while_draining_changes_nothing_for_what_is_held(tmp_path, again):
    """Guards the planned restart: a second SIGTERM, or a new configuration, may come in the middle of it."""

    async def test() -> None:
        async with running(tmp_path / "config.json") as (process, port, came):
            client, idle = await connect(port), await connect(port)
            idle.write(hiredis.pack_command(("PING",)))
            assert await idle.read() == b"PONG"
            client.write(command())
            held = await soon(came)
            await held.read()
            process.send_signal(signal.SIGTERM)
            assert await idle.ended()  # it drains
            process.send_signal(again)
            held.write(served(b"held"))
            assert await client.read() == b"held"
            assert await client.ended()
            assert await asyncio.to_thread(process.wait, 10) == 0

    run(test())


def test_what_would_outlast_the_kill_is_answered_before_it(tmp_path):
    """Guards against a lost request: SIGKILL heeds the longest deadline, not what a client says."""

    async def test() -> None:
        async with running(tmp_path / "config.json") as (process, port, came):
            client = await connect(port)
            client.write(command(fields=b"c=lookup,t=village,d=9000"))
            await (await soon(came)).read()
            process.send_signal(signal.SIGTERM)
            told = time.monotonic()
            assert isinstance(await client.read(), hiredis.ReplyError)
            assert await asyncio.to_thread(process.wait, 10) == 0
            assert time.monotonic() - told < 2.5

    run(test())


PING = hiredis.pack_command(("PING",))
EMPTY = {"seq": 1, "whole": True, "hosts": []}


def down(silent: bool) -> tuple[socket.socket, str]:
    """Where discovery will be and is not yet: calls are refused, or taken and never answered."""
    at = socket.socket()
    at.bind((HOST, 0))
    if silent:
        at.listen()
    return at, "{}:{}".format(*at.getsockname())


async def admitted(port: int) -> Wire:
    """A connection on which the gateway has said that it is ready."""
    async with asyncio.timeout(PATIENCE):
        while True:
            client = await connect(port)
            client.write(PING)
            if await client.read() == b"PONG":
                return client
            client.writer.close()
            await asyncio.sleep(0.01)


@pytest.mark.parametrize("silent", [False, True])
def test_an_old_list_serves_while_discovery_is_down(tmp_path, silent):
    """Guards the restart: the first answer to PING is +PONG, and what asks then is served."""

    async def test() -> None:
        at, address = down(silent)
        async with running(tmp_path / "config.json", EDGE_DISCOVERY=address) as (_, port, came):
            client = await connect(port)
            client.write(PING + command())
            assert await client.read() == b"PONG"
            held = await soon(came)
            await held.read()
            held.write(served(b"old"))
            assert await client.read() == b"old"
        at.close()

    run(test())


@pytest.mark.parametrize(("known", "silent"), [(None, False), (EMPTY, True)])
def test_without_a_list_it_is_ready_after_a_while_refuses_and_serves_once_there_is_one(
    tmp_path, known, silent
):
    """Guards the restart with discovery down: what comes is answered in time, and nothing is lost."""

    async def test() -> None:
        at, address = down(silent)
        server = asyncio.Queue()
        listener = await asyncio.start_server(lambda r, w: server.put_nowait(Wire(r, w)), HOST, 0)
        entry = ENTRY | {"dial": "{}:{}".format(*listener.sockets[0].getsockname())}
        async with running(tmp_path / "config.json", known, EDGE_DISCOVERY=address) as (_, port, _):
            client = await admitted(port)
            client.write(command(fields=b"c=lookup,t=village,d=300"))
            assert str(await client.read()).startswith("BUSY")
            _, calls = await discovery([whole(1, entry) for _ in range(9)], at)
            async with asyncio.timeout(PATIENCE):
                while not any("since" in call for call in calls):  # the list was taken in
                    await asyncio.sleep(0)
            client.write(command())
            held = await soon(server)
            await held.read()
            held.write(served(b"new"))
            assert await client.read() == b"new"

    run(test())


@pytest.mark.parametrize("known", [None, EMPTY])
def test_clients_are_kept_off_until_there_is_a_list_or_its_time_is_up(known):
    """Guards against turning clients away at a start, by a clock that stands still."""

    async def test() -> None:
        kit = Kit(known=known)
        began = kit.driver.listening

        async def ping(seconds: float) -> bool:
            kit.driver.clock = lambda: began + seconds
            client = await kit.client()
            client.write(PING)
            return await client.read() == b"PONG"

        assert not await ping(0.0) and not await ping(FIRST_LIST - 0.01) and await ping(FIRST_LIST)
        assert not await ping(0.1)
        kit.driver.on_list(read_list({"seq": 2, "whole": True, "hosts": [ENTRY]}))
        assert await ping(0.1)

    run(test())


def test_a_first_list_that_comes_soon_is_waited_for(tmp_path):
    """Guards against an early +PONG: what asks a gateway that says it is ready has a server."""

    async def test() -> None:
        listener = await asyncio.start_server(lambda r, w: server.put_nowait(Wire(r, w)), HOST, 0)
        server: asyncio.Queue[Wire] = asyncio.Queue()
        entry = ENTRY | {"dial": "{}:{}".format(*listener.sockets[0].getsockname())}
        address, _ = await discovery([SILENT, whole(1, entry)])  # the first call goes unanswered
        async with running(tmp_path / "config.json", None, EDGE_DISCOVERY=address) as (_, port, _):
            client = await admitted(port)
            client.write(command(fields=b"c=lookup,t=village,d=1000"))
            held = await soon(server)
            await held.read()
            held.write(served(b"there"))
            assert await client.read() == b"there"

    run(test())


def test_the_variables_win_over_the_file():
    config = read(configuration(), {"EDGE_LISTEN": "127.0.0.9:7", "EDGE_DISCOVERY": "127.0.0.9:8"})
    assert config.listen == ("127.0.0.9", 7) and config.discovery == "127.0.0.9:8"
