"""Faulty table servers and random faults for the soak test crossing_clients.py."""

from __future__ import annotations

import asyncio
import errno
import random
import re
import time
from contextlib import suppress

import hiredis
from discoverykit import SERVER_ENTRY, FakeDiscovery
from faultkit import FaultInjector
from netkit import HOST, success_reply
from term_judge import ServerAttempt, TermsChecker

TIMEOUT_FIELD = re.compile(rb"d=([0-9]+)")


class FaultyTableServer:
    """A table server with random latencies and value sizes, which may fail, hang, reset or close."""

    def __init__(self, name: str, zone: str, seed: int, checker: TermsChecker) -> None:
        self.name, self.zone, self.checker = name, zone, checker
        self.rng = random.Random(f"{seed} {name}")
        self.hanging = False

    async def listen(self) -> dict:
        """Start the server and return its discovery entry."""
        listener = await asyncio.start_server(self.serve, HOST, 0)
        address = "{}:{}".format(*listener.sockets[0].getsockname())
        return SERVER_ENTRY | {"host": self.name, "dial": address, "site": self.zone}

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection, whose end cancels its attempts."""
        parser, queue = hiredis.Reader(), asyncio.Queue()
        answering = asyncio.create_task(self.answer_requests(queue, writer))
        attempts: list[ServerAttempt] = []
        with suppress(OSError):
            while data := await reader.read(65536):
                parser.feed(data)
                while (words := parser.gets()) is not False:
                    timeout_ms = int(TIMEOUT_FIELD.search(words[3])[1])
                    attempts.append(self.checker.attempt_received(words[2], self.name, self.zone, timeout_ms))
                    queue.put_nowait((words, attempts[-1]))
        for attempt in attempts:
            attempt.in_flight = False
        answering.cancel()
        writer.close()

    async def answer_requests(self, queue: asyncio.Queue, writer: asyncio.StreamWriter) -> None:
        """Answer the requests of one connection in order."""
        rng = self.rng
        while True:
            words, attempt = await queue.get()
            await asyncio.sleep(rng.choice((0.005, 0.02, 0.05, 0.05, 0.1, 0.2, 0.5, 1.5, 3.0)))
            if self.hanging or (chance := rng.random()) < 0.01:
                await asyncio.sleep(60.0)
            attempt.in_flight = False
            if chance < 0.04:
                return writer.transport.abort()
            if chance < 0.14:
                attempt.may_have_run = chance < 0.09
                writer.write(b"-ERR failed\r\n" if attempt.may_have_run else b"-BUSY\r\n")
            else:
                writer.write(success_reply(words[2] + b"x" * rng.choice((0, 10, 100, 100, 200_000))))
            if chance > 0.95:
                await asyncio.sleep(0.05)
                return writer.close()


class FaultSchedule:
    """The faults of one run, selected by its seed. Each is a coroutine method, cancelled at its end."""

    def __init__(
        self,
        seed: int,
        injector: FaultInjector,
        servers: list[FaultyTableServer],
        discoveries: list[FakeDiscovery],
        checker: TermsChecker,
    ) -> None:
        self.rng, self.injector, self.servers, self.discoveries = (
            random.Random(seed),
            injector,
            servers,
            discoveries,
        )
        self.checker, self.active_discovery = checker, 0  # index of the one that the configuration names
        kinds = (
            self.clock_steps,
            self.syscall_failures,
            self.stalls,
            self.drains,
            self.discovery_switches,
            self.hangs,
            self.slow_discovery,
        )
        self.selected = [kind for kind in kinds if self.rng.random() < 0.5]

    async def pause(self) -> None:
        await asyncio.sleep(self.rng.uniform(0.3, 2.5))

    async def clock_steps(self) -> None:
        """Step the gateway's wall clock by up to an hour."""
        while True:
            await self.pause()
            self.injector.set(clock_step_ms=self.rng.choice((-3_600_000, -5_000, 0, 5_000, 3_600_000)))

    async def syscall_failures(self) -> None:
        """Interrupt and shorten transfers; make socket calls fail for a while."""
        self.injector.set(interrupt_share=50, short_share=100)
        while True:
            await self.pause()
            share = self.rng.choice(("accept_share", "connect_share", "socket_share"))
            self.injector.set(error=self.rng.choice((errno.ENFILE, errno.ENOBUFS)), **{share: 300})
            await self.pause()
            self.injector.set(**{share: 0})

    async def stalls(self) -> None:
        """Stall the gateway for 150 ms in some of its writes."""
        self.injector.set(stall_share=50, stall_ms=150)

    async def drains(self) -> None:
        """Drain a third of the servers, one after another."""
        for server in self.rng.sample(self.servers, len(self.servers) // 3):
            await self.pause()
            for discovery in self.discoveries:
                discovery.update_entry(server.name, health="Terminating")
            self.checker.drained_at[server.name] = time.monotonic()

    async def discovery_switches(self) -> None:
        """Switch the gateway's configuration between the two discovery servers."""
        while True:
            await self.pause()
            self.active_discovery = 1 - self.active_discovery
            self.set_discovery(self.discoveries[self.active_discovery].address)

    async def hangs(self) -> None:
        """Make a quarter of the servers hang, one after another."""
        for server in self.rng.sample(self.servers, len(self.servers) // 4):
            await self.pause()
            server.hanging = True

    async def slow_discovery(self) -> None:
        """Delay the answers of discovery and never answer the calls that are pending after a pause."""
        for discovery in self.discoveries:
            discovery.delay = self.rng.choice((0.3, 0.8, 2.0))
        await self.pause()
        for discovery in self.discoveries:
            discovery.unanswered_before = time.monotonic()
