"""Fake discovery servers over HTTP: one that plays scripted responses, one that holds a list of servers."""

from __future__ import annotations

import asyncio
import socket
import time
from collections.abc import Sequence
from contextlib import suppress

from aiohttp import web
from netkit import HOST

SERVER_ENTRY = {
    "host": "s1",
    "dial": "127.0.0.1:1",
    "site": "a",
    "block": 0,
    "health": "Ready",
    "share": 1.0,
}
NO_ANSWER = "a call that is never answered"


def hosts_response(version: int, *entries: dict, snapshot: bool = True) -> web.Response:
    """Return the HTTP response for a list: a snapshot, or a delta with the changed entries alone."""
    return web.json_response({"seq": version, "whole": snapshot, "hosts": list(entries)})


async def scripted_discovery(answers: list, listener: socket.socket | None = None) -> tuple[str, list[str]]:
    """Start a discovery server that gives one answer per call, and none after the last.

    An answer is a response, a coroutine function that returns one, NO_ANSWER, or None to abort the
    connection. Listen on the given socket or a new one. Return the address and the paths of the calls,
    which grow as calls arrive.
    """
    calls: list[str] = []

    async def handle(request: web.Request) -> web.StreamResponse:
        calls.append(request.path_qs)
        if len(calls) > len(answers):
            await asyncio.sleep(60)
        answer = answers[len(calls) - 1]
        if answer == NO_ANSWER:
            await asyncio.sleep(60)
        if callable(answer):
            answer = await answer()
        if answer is None:
            request.transport.abort()
        return answer or web.Response()

    app = web.Application()
    app.router.add_get("/discovery/hosts", handle)
    runner = web.AppRunner(app, shutdown_timeout=0.1)
    await runner.setup()
    site = web.SockSite(runner, listener) if listener else web.TCPSite(runner, HOST, 0)
    await site.start()
    return "{}:{}".format(*site._server.sockets[0].getsockname()), calls


class FakeDiscovery:
    """A discovery server with snapshots and long polls; each response is sent `delay` seconds late."""

    def __init__(self, entries: Sequence[dict], delay: float = 0.0) -> None:
        self.entries = {entry["host"]: entry for entry in entries}
        self.delay, self.version, self.changed = delay, 1, asyncio.Event()
        self.entry_versions = dict.fromkeys(self.entries, 1)  # host -> version of its last change
        self.unanswered_before = 0.0  # monotonic time: calls received earlier are never answered
        self.calls, self.bytes_sent = 0, 0  # calls received; bytes of bodies, also to closed connections

    async def listen(self) -> str:
        """Start the server and return its address."""
        app = web.Application()
        app.router.add_get("/discovery/hosts", self.handle_hosts)
        self.runner = web.AppRunner(app, shutdown_timeout=0.1)
        await self.runner.setup()
        site = web.TCPSite(self.runner, HOST, 0)
        await site.start()
        return "{}:{}".format(*site._server.sockets[0].getsockname())

    def update_entry(self, host: str, **fields: object) -> None:
        """Change fields of one entry in a new version and wake the long polls."""
        self.version += 1
        self.entries[host] = self.entries[host] | fields
        self.entry_versions[host] = self.version
        self.changed.set()
        self.changed = asyncio.Event()

    async def handle_hosts(self, request: web.Request) -> web.Response:
        """Answer with a snapshot, or a long poll with the changes since a version, if any by its timeout."""
        self.calls += 1
        received_at, since = time.monotonic(), request.query.get("since")
        if since is not None and int(since) >= self.version:
            with suppress(TimeoutError):
                async with asyncio.timeout(int(request.query["timeout_ms"]) / 1000):
                    await self.changed.wait()
        known = 0 if since is None else int(since)
        entries = [entry for host, entry in self.entries.items() if self.entry_versions[host] > known]
        response = hosts_response(self.version, *entries, snapshot=since is None)
        await asyncio.sleep(self.delay)
        if received_at < self.unanswered_before:
            await asyncio.sleep(60)
        self.bytes_sent += len(response.body)
        return response
