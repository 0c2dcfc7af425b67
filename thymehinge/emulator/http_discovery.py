"""A stand-in for discovery over HTTP, as the protocol page tells it, in a thread of its own."""

from __future__ import annotations

import asyncio
import json
import random
import re
import threading
import time
from collections.abc import Callable, Coroutine, Iterator, Mapping
from contextlib import contextmanager, suppress
from dataclasses import dataclass, replace
from ipaddress import IPv4Address
from typing import Any, TypeVar

from aiohttp import web

HOST = "127.0.0.1"
ZONES = ("a", "b", "c")
NETWORK = IPv4Address("127.64.0.0")  # where table servers would be: loopback, and nobody listens there
ADDRESSES, FIRST_PORT = 2**17, 6379  # addresses of that network; who finds none left takes the next port
WAIT_MOST = 60_000  # ms that a watch may wait, from the protocol page
NUMBER = re.compile(r"[0-9]{1,15}")
PATIENCE = 30.0  # s before an order to the thread counts as lost
SHUTDOWN = 0.1  # s that watches get at the end: nobody needs their answers any more

T = TypeVar("T")


class HostTable:
    """A list of synthetic table servers over zones, its versions and the changes between them."""

    def __init__(self, servers: int, seed: int) -> None:
        if servers < 1:
            raise ValueError(f"servers: {servers} are no list")
        self.servers, self.random, self.number = servers, random.Random(seed), 0
        self.version = self.oldest = 1  # oldest: the version since which changes are known
        self.names: list[str] = []
        self.entries: dict[str, dict[str, Any]] = {}
        self.texts: dict[str, bytes] = {}
        self.changed: dict[str, tuple[int, bytes]] = {}  # the last change of each, oldest first
        self.text, self.text_version = b"", 0  # the whole list as last written
        for _ in range(servers):
            self.add()

    def add(self) -> str:
        """Put a new server in the list; its name."""
        address, port = NETWORK + self.number % ADDRESSES, FIRST_PORT + self.number // ADDRESSES
        name = f"s-{self.random.getrandbits(20):05x}{self.number:x}"
        self.number += 1
        self.names.append(name)
        self.entries[name] = {
            "host": name,
            "dial": f"{address}:{port}",
            "site": ZONES[self.number % len(ZONES)],
            "class": "m2",
            "block": self.number // 100,
            "health": "Ready",
            "share": 1.0,
            "born_ms": 0,
        }
        self.texts[name] = encode(self.entries[name])
        return name

    def change(self) -> None:
        """The next version, in which one server drains, weighs otherwise, starts anew, goes or comes."""
        self.version += 1
        if len(self.names) < self.servers:
            return self.note(self.add())
        index = self.random.randrange(len(self.names))
        name = self.names[index]
        entry = self.entries[name]
        if entry["health"] == "Ready":
            entry |= self.random.choice(({"health": "Terminating"}, {"share": 0.5}, {"share": 2.0}))
        elif self.random.random() < 0.5:
            entry |= {"health": "Ready", "born_ms": int(time.time() * 1000)}
        else:
            self.names[index] = self.names[-1]
            self.names.pop()
            del self.entries[name], self.texts[name]
            return self.note(name, encode(entry | {"health": "Gone"}))
        self.texts[name] = encode(entry)
        return self.note(name)

    def note(self, name: str, text: bytes = b"") -> None:
        self.changed.pop(name, None)
        self.changed[name] = self.version, text or self.texts[name]

    def forget(self) -> None:
        """The next version, with nothing changed and no change known: who watches gets the whole list."""
        self.version += 1
        self.oldest = self.version
        self.changed.clear()

    def answer(self, since: int | None) -> tuple[bytes, int]:
        """What a call gets, and its number of entries: changes, or the whole list where they aren't known."""
        if since is None or not self.oldest <= since <= self.version:
            if self.text_version != self.version:
                self.text_version, self.text = self.version, self.body(True, list(self.texts.values()))
            return self.text, len(self.names)
        found: list[bytes] = []
        for version, text in reversed(self.changed.values()):
            if version <= since:
                break
            found.append(text)
        return self.body(False, found[::-1]), len(found)

    def body(self, whole: bool, texts: list[bytes]) -> bytes:
        head = b'{"seq":%d,"whole":%b,"hosts":[' % (self.version, b"true" if whole else b"false")
        return b"%b%b]}" % (head, b",".join(texts))


def encode(entry: dict[str, Any]) -> bytes:
    return json.dumps(entry, separators=(",", ":")).encode()


def read_query(query: Mapping[str, str]) -> tuple[int | None, int]:
    """The version that a call watches from, None for the whole list, and how long (ms); or a ValueError."""
    if not query:
        return None, 0
    for name in ("since", "timeout_ms"):
        if not NUMBER.fullmatch(query.get(name, "")):
            raise ValueError(f"{name}: not a whole number {query.get(name)!r}")
    if int(query["timeout_ms"]) > WAIT_MOST:
        raise ValueError(f"timeout_ms: more than {WAIT_MOST}")
    return int(query["since"]), int(query["timeout_ms"])


@dataclass(frozen=True, slots=True)
class Counts:
    """What has come and gone since the start; bytes are those of HTTP, heads included."""

    calls: int = 0
    watches: int = 0
    broken: int = 0  # answers that their callers did not wait for; the next two leave them out
    entries: int = 0  # sent
    sent: int = 0  # bytes of answers
    received: int = 0  # bytes of calls
    last_call: float = 0.0  # s, monotonic, at which the last one came


class HttpDiscovery:
    """Serves a HostTable on loopback, at `address`, as long as its `with` block lasts.

    The methods are for the thread that opened it, those of the table for the thread inside.
    """

    def __init__(self, table: HostTable) -> None:
        self.table, self.counts, self.address = table, Counts(), ""
        self.seen = 0  # the version that the last watch began from: its caller has taken that one in

    def __enter__(self) -> HttpDiscovery:
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(target=self.loop.run_forever, name="discovery", daemon=True)
        self.thread.start()
        try:
            self.run(self.serve())
        except BaseException:
            self.__exit__()
            raise
        return self

    def __exit__(self, *_: object) -> None:
        try:
            self.run(self.stop())
        finally:
            self.loop.call_soon_threadsafe(self.loop.stop)
            self.thread.join()
            self.loop.close()

    def run(self, order: Coroutine[Any, Any, T], patience: float = PATIENCE) -> T:
        """Have the thread do something; its result."""
        return asyncio.run_coroutine_threadsafe(order, self.loop).result(patience)

    async def serve(self) -> None:
        self.news = asyncio.Condition()  # a call or a new version
        app = web.Application()
        app.router.add_get("/discovery/hosts", self.hosts)
        self.runner = web.AppRunner(app, access_log=None, shutdown_timeout=SHUTDOWN)
        await self.runner.setup()
        await web.TCPSite(self.runner, HOST, 0).start()
        self.address = "{}:{}".format(*self.runner.addresses[0][:2])

    async def stop(self) -> None:
        await self.runner.cleanup()
        left = asyncio.all_tasks() - {asyncio.current_task()}  # watches whose callers have gone
        for task in left:
            task.cancel()
        await asyncio.gather(*left, return_exceptions=True)

    async def hosts(self, request: web.Request) -> web.Response:
        """One call, answered and counted."""
        line = len(f"{request.method} {request.raw_path} HTTP/1.1\r\n\r\n")
        counts = self.counts
        self.counts = replace(
            counts,
            calls=counts.calls + 1,
            received=counts.received + line + sum(len(k) + len(v) + 4 for k, v in request.raw_headers),
            last_call=time.monotonic(),
        )
        try:
            since, wait = read_query(request.query)
        except ValueError as error:
            return await self.send(request, web.Response(status=400, text=f"{error}\n"))
        if since is not None:
            self.seen, self.counts = since, replace(self.counts, watches=self.counts.watches + 1)
            with suppress(TimeoutError):
                async with asyncio.timeout(wait / 1000), self.news:
                    self.news.notify_all()
                    await self.news.wait_for(lambda: self.table.version != since)
        body, entries = self.table.answer(since)
        return await self.send(request, web.Response(body=body, content_type="application/json"), entries)

    async def send(self, request: web.Request, response: web.Response, entries: int = 0) -> web.Response:
        try:
            await response.prepare(request)
            await response.write_eof()
        except ConnectionError:  # the caller has given up
            self.counts = replace(self.counts, broken=self.counts.broken + 1)
            return response
        counts = self.counts
        self.counts = replace(
            counts, entries=counts.entries + entries, sent=counts.sent + response.body_length
        )  # aiohttp's body_length is that of all it has written for the answer, head included
        return response

    async def do(self, what: Callable[[], None], times: int = 1) -> int:
        async with self.news:
            for _ in range(times):
                what()
            self.news.notify_all()
        return self.table.version

    def change(self, times: int = 1) -> int:
        """Make changes, each a version of its own; the last version."""
        return self.run(self.do(self.table.change, times))

    def resend(self) -> int:
        """Have the whole list go to whoever watches; its version."""
        return self.run(self.do(self.table.forget))

    def list_bytes(self) -> int:
        """Bytes of the whole list as it is now, without the HTTP head."""

        async def size() -> int:
            return len(self.table.answer(None)[0])

        return self.run(size())

    def taken(self, version: int, patience: float) -> bool:
        """Wait (s) until a watch has begun from this version or a later one; whether one has."""

        async def wait() -> bool:
            try:
                async with asyncio.timeout(patience), self.news:
                    return await self.news.wait_for(lambda: self.seen >= version)
            except TimeoutError:
                return False

        return self.run(wait(), patience + PATIENCE)

    @contextmanager
    def changing(self, changes: float, lists: float) -> Iterator[None]:
        """Meanwhile so many changes come up a second, and whole lists."""

        async def repeat(what: Callable[[], None], rate: float) -> None:
            due = self.loop.time()
            while True:
                await self.do(what)
                due += 1 / rate
                await asyncio.sleep(due - self.loop.time())

        orders = ((self.table.change, changes), (self.table.forget, lists))
        tasks = [
            asyncio.run_coroutine_threadsafe(repeat(what, rate), self.loop) for what, rate in orders if rate
        ]
        try:
            yield
        finally:
            for task in tasks:
                task.cancel()
