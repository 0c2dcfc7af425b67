"""Discovery as an agent that answers from a script; what the tests of discovery and of the process share."""

from __future__ import annotations

import asyncio
import socket
import time
from collections.abc import Sequence
from contextlib import suppress

from aiohttp import web
from netkit import HOST

ENTRY = {"host": "s1", "dial": "127.0.0.1:1", "site": "a", "block": 0, "health": "Ready", "share": 1.0}
SILENT = "a call that is never answered"


def whole(version: int, *entries: dict, complete: bool = True) -> web.Response:
    return web.json_response({"seq": version, "whole": complete, "hosts": list(entries)})


async def discovery(answers: list, at: socket.socket | None = None) -> tuple[str, list[str]]:
    """An agent with an answer for each call, or a coroutine function that gives it, silent after the last.

    It listens at a socket or a new one; returned are its address and its calls.
    """
    calls: list[str] = []

    async def handle(request: web.Request) -> web.StreamResponse:
        calls.append(request.path_qs)
        if len(calls) > len(answers):
            await asyncio.sleep(60)
        answer = answers[len(calls) - 1]
        if answer == SILENT:
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
    site = web.SockSite(runner, at) if at else web.TCPSite(runner, HOST, 0)
    await site.start()
    return "{}:{}".format(*site._server.sockets[0].getsockname()), calls


class Agent:
    """An agent that holds a list and its changes, and answers a delay after it knows what to say."""

    def __init__(self, entries: Sequence[dict], delay: float = 0.0) -> None:
        self.entries = {entry["host"]: entry for entry in entries}
        self.delay, self.version, self.news = delay, 1, asyncio.Event()
        self.versions = dict.fromkeys(self.entries, 1)  # of each entry's last change
        self.silent_before = 0.0  # calls that came before this time are never answered
        self.calls, self.sent = 0, 0  # that have come; bytes of lists, also to who has gone meanwhile

    async def listen(self) -> str:
        """Its address."""
        app = web.Application()
        app.router.add_get("/discovery/hosts", self.answer)
        self.runner = web.AppRunner(app, shutdown_timeout=0.1)
        await self.runner.setup()
        site = web.TCPSite(self.runner, HOST, 0)
        await site.start()
        return "{}:{}".format(*site._server.sockets[0].getsockname())

    def change(self, host: str, **fields: object) -> None:
        """The next version, in which an entry has other fields."""
        self.version += 1
        self.entries[host] = self.entries[host] | fields
        self.versions[host] = self.version
        self.news.set()
        self.news = asyncio.Event()

    async def answer(self, request: web.Request) -> web.Response:
        self.calls += 1
        came, since = time.monotonic(), request.query.get("since")
        if since is not None and int(since) >= self.version:
            with suppress(TimeoutError):
                async with asyncio.timeout(int(request.query["timeout_ms"]) / 1000):
                    await self.news.wait()
        known = 0 if since is None else int(since)
        told = [entry for host, entry in self.entries.items() if self.versions[host] > known]
        response = whole(self.version, *told, complete=since is None)
        await asyncio.sleep(self.delay)
        if came < self.silent_before:
            await asyncio.sleep(60)
        self.sent += len(response.body)
        return response
