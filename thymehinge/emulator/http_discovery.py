"""A fake discovery service that serves a synthetic server list over HTTP, in a thread of its own."""

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
NETWORK = IPv4Address("127.64.0.0")  # first of the synthetic servers, on loopback; nothing listens there
ADDRESS_COUNT, FIRST_PORT = 2**17, 6379  # further servers reuse the addresses with the next port
MAX_TIMEOUT_MS = 60_000  # of a watch, by the protocol
WHOLE_NUMBER = re.compile(r"[0-9]{1,15}")
THREAD_CALL_TIMEOUT = 30.0  # seconds to wait for the server thread
SHUTDOWN_TIMEOUT = 0.1  # seconds that open watches may take to finish at shutdown

T = TypeVar("T")


class HostTable:
    """A synthetic server list over several zones, with its version and its recent changes."""

    def __init__(self, servers: int, seed: int) -> None:
        """Raise ValueError if the list would be empty."""
        if servers < 1:
            raise ValueError(f"servers must be at least 1, got {servers}")
        self.target_count, self.rng, self.added_count = servers, random.Random(seed), 0
        self.version = self.oldest_version = 1  # changes are known since oldest_version
        self.names: list[str] = []
        self.entries: dict[str, dict[str, Any]] = {}
        self.encoded_entries: dict[str, bytes] = {}
        self.changes: dict[str, tuple[int, bytes]] = {}  # last change of each server, oldest first
        self.snapshot, self.snapshot_version = b"", 0  # cached body of a snapshot
        for _ in range(servers):
            self.add_server()

    def add_server(self) -> str:
        """Add a new server to the list and return its name."""
        address, port = (
            NETWORK + self.added_count % ADDRESS_COUNT,
            FIRST_PORT + self.added_count // ADDRESS_COUNT,
        )
        name = f"s-{self.rng.getrandbits(20):05x}{self.added_count:x}"
        self.added_count += 1
        self.names.append(name)
        self.entries[name] = {
            "host": name,
            "dial": f"{address}:{port}",
            "site": ZONES[self.added_count % len(ZONES)],
            "class": "m2",
            "block": self.added_count // 100,
            "health": "Ready",
            "share": 1.0,
            "born_ms": 0,
        }
        self.encoded_entries[name] = encode_entry(self.entries[name])
        return name

    def apply_change(self) -> None:
        """Make a new version in which one server drains, changes its weight, restarts, leaves or is added."""
        self.version += 1
        if len(self.names) < self.target_count:
            return self.record_change(self.add_server())
        index = self.rng.randrange(len(self.names))
        name = self.names[index]
        entry = self.entries[name]
        if entry["health"] == "Ready":
            entry |= self.rng.choice(({"health": "Terminating"}, {"share": 0.5}, {"share": 2.0}))
        elif self.rng.random() < 0.5:
            entry |= {"health": "Ready", "born_ms": int(time.time() * 1000)}
        else:
            self.names[index] = self.names[-1]
            self.names.pop()
            del self.entries[name], self.encoded_entries[name]
            return self.record_change(name, encode_entry(entry | {"health": "Gone"}))
        self.encoded_entries[name] = encode_entry(entry)
        return self.record_change(name)

    def record_change(self, name: str, encoded: bytes = b"") -> None:
        self.changes.pop(name, None)
        self.changes[name] = self.version, encoded or self.encoded_entries[name]

    def discard_changes(self) -> None:
        """Make a new version without known changes, so that watches get a snapshot."""
        self.version += 1
        self.oldest_version = self.version
        self.changes.clear()

    def response(self, since: int | None) -> tuple[bytes, int]:
        """Return a response body and its number of entries.

        The body holds the changes since version `since`, or a snapshot if `since` is None or unknown.
        """
        if since is None or not self.oldest_version <= since <= self.version:
            if self.snapshot_version != self.version:
                self.snapshot_version, self.snapshot = (
                    self.version,
                    self.body(True, list(self.encoded_entries.values())),
                )
            return self.snapshot, len(self.names)
        changed: list[bytes] = []
        for version, encoded in reversed(self.changes.values()):
            if version <= since:
                break
            changed.append(encoded)
        return self.body(False, changed[::-1]), len(changed)

    def body(self, whole: bool, encoded: list[bytes]) -> bytes:
        """Return a response body with these encoded entries."""
        head = b'{"seq":%d,"whole":%b,"hosts":[' % (self.version, b"true" if whole else b"false")
        return b"%b%b]}" % (head, b",".join(encoded))


def encode_entry(entry: dict[str, Any]) -> bytes:
    """Encode a list entry as JSON without whitespace."""
    return json.dumps(entry, separators=(",", ":")).encode()


def parse_query(query: Mapping[str, str]) -> tuple[int | None, int]:
    """Return the version that a call watches from, None for a snapshot, and its timeout in ms.

    Raises ValueError, with the text of the response, for an invalid query.
    """
    if not query:
        return None, 0
    for name in ("since", "timeout_ms"):
        if not WHOLE_NUMBER.fullmatch(query.get(name, "")):
            raise ValueError(f"{name}: not a whole number {query.get(name)!r}")
    if int(query["timeout_ms"]) > MAX_TIMEOUT_MS:
        raise ValueError(f"timeout_ms: more than {MAX_TIMEOUT_MS}")
    return int(query["since"]), int(query["timeout_ms"])


@dataclass(frozen=True, slots=True)
class Counts:
    """Calls and traffic since the start; bytes are those of HTTP, headers included."""

    calls: int = 0
    watches: int = 0
    aborted: int = 0  # responses whose client disconnected; not part of entries_sent and bytes_sent
    entries_sent: int = 0
    bytes_sent: int = 0
    bytes_received: int = 0
    last_call_at: float = 0.0  # seconds, monotonic clock


class HttpDiscovery:
    """Serves a HostTable on loopback at `address` within a `with` block.

    The server runs in a thread of its own. Other threads call the public methods of this class only, never
    those of the table.
    """

    def __init__(self, table: HostTable) -> None:
        self.table, self.counts, self.address = table, Counts(), ""
        self.acknowledged_version = 0  # version that the last watch started from; its client has applied it

    def __enter__(self) -> HttpDiscovery:
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(target=self.loop.run_forever, name="discovery", daemon=True)
        self.thread.start()
        try:
            self.run_in_thread(self.start_server())
        except BaseException:
            self.__exit__()
            raise
        return self

    def __exit__(self, *_: object) -> None:
        try:
            self.run_in_thread(self.stop_server())
        finally:
            self.loop.call_soon_threadsafe(self.loop.stop)
            self.thread.join()
            self.loop.close()

    def run_in_thread(self, coroutine: Coroutine[Any, Any, T], timeout: float = THREAD_CALL_TIMEOUT) -> T:
        """Run a coroutine in the server thread and return its result; raise TimeoutError after `timeout`."""
        return asyncio.run_coroutine_threadsafe(coroutine, self.loop).result(timeout)

    async def start_server(self) -> None:
        self.changed = asyncio.Condition()  # notified of each watch and of each new version
        app = web.Application()
        app.router.add_get("/discovery/hosts", self.handle_hosts)
        self.runner = web.AppRunner(app, access_log=None, shutdown_timeout=SHUTDOWN_TIMEOUT)
        await self.runner.setup()
        await web.TCPSite(self.runner, HOST, 0).start()
        self.address = "{}:{}".format(*self.runner.addresses[0][:2])

    async def stop_server(self) -> None:
        await self.runner.cleanup()
        remaining = asyncio.all_tasks() - {asyncio.current_task()}  # watches of disconnected clients
        for task in remaining:
            task.cancel()
        await asyncio.gather(*remaining, return_exceptions=True)

    async def handle_hosts(self, request: web.Request) -> web.Response:
        """Answer and count one call; a watch waits for a new version or its timeout."""
        request_line = len(f"{request.method} {request.raw_path} HTTP/1.1\r\n\r\n")
        counts = self.counts
        self.counts = replace(
            counts,
            calls=counts.calls + 1,
            bytes_received=counts.bytes_received
            + request_line
            + sum(len(k) + len(v) + 4 for k, v in request.raw_headers),
            last_call_at=time.monotonic(),
        )
        try:
            since, timeout_ms = parse_query(request.query)
        except ValueError as error:
            return await self.send_response(request, web.Response(status=400, text=f"{error}\n"))
        if since is not None:
            self.acknowledged_version, self.counts = (
                since,
                replace(self.counts, watches=self.counts.watches + 1),
            )
            with suppress(TimeoutError):
                async with asyncio.timeout(timeout_ms / 1000), self.changed:
                    self.changed.notify_all()
                    await self.changed.wait_for(lambda: self.table.version != since)
        body, entries = self.table.response(since)
        return await self.send_response(
            request, web.Response(body=body, content_type="application/json"), entries
        )

    async def send_response(
        self, request: web.Request, response: web.Response, entries: int = 0
    ) -> web.Response:
        try:
            await response.prepare(request)
            await response.write_eof()
        except ConnectionError:  # the client disconnected
            self.counts = replace(self.counts, aborted=self.counts.aborted + 1)
            return response
        counts = self.counts
        self.counts = replace(
            counts,
            entries_sent=counts.entries_sent + entries,
            bytes_sent=counts.bytes_sent + response.body_length,
        )  # aiohttp's body_length counts all bytes written for the response, headers included
        return response

    async def update_table(self, update: Callable[[], None], times: int = 1) -> int:
        """Call `update` repeatedly, notify the watches, and return the new version."""
        async with self.changed:
            for _ in range(times):
                update()
            self.changed.notify_all()
        return self.table.version

    def apply_changes(self, count: int = 1) -> int:
        """Make changes, each in a version of its own, and return the last version."""
        return self.run_in_thread(self.update_table(self.table.apply_change, count))

    def send_snapshot(self) -> int:
        """Make a new version that watches receive as a snapshot, and return the version."""
        return self.run_in_thread(self.update_table(self.table.discard_changes))

    def snapshot_bytes(self) -> int:
        """Return the size of a snapshot in bytes, without HTTP headers."""

        async def size() -> int:
            return len(self.table.response(None)[0])

        return self.run_in_thread(size())

    def wait_acknowledged(self, version: int, timeout: float) -> bool:
        """Wait until a watch starts from `version` or a later one; return False after `timeout` seconds."""

        async def wait() -> bool:
            try:
                async with asyncio.timeout(timeout), self.changed:
                    return await self.changed.wait_for(lambda: self.acknowledged_version >= version)
            except TimeoutError:
                return False

        return self.run_in_thread(wait(), timeout + THREAD_CALL_TIMEOUT)

    @contextmanager
    def background_updates(self, change_rate: float, snapshot_rate: float) -> Iterator[None]:
        """Within the `with` block, make changes and send snapshots at these rates per second."""

        async def repeat(update: Callable[[], None], rate: float) -> None:
            due_at = self.loop.time()
            while True:
                await self.update_table(update)
                due_at += 1 / rate
                await asyncio.sleep(due_at - self.loop.time())

        updates = ((self.table.apply_change, change_rate), (self.table.discard_changes, snapshot_rate))
        tasks = [
            asyncio.run_coroutine_threadsafe(repeat(update, rate), self.loop)
            for update, rate in updates
            if rate
        ]
        try:
            yield
        finally:
            for task in tasks:
                task.cancel()
