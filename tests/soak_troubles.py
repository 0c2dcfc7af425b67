"""What goes wrong on a random day of crossing_clients.py: table servers, and troubles drawn by a seed."""

from __future__ import annotations

import asyncio
import errno
import random
import re
import time
from contextlib import suppress

import hiredis
from discoverykit import ENTRY, Agent
from faultkit import Faults
from netkit import HOST, served
from term_judge import Judge, ServerAttempt

TIME_TOLD = re.compile(rb"d=([0-9]+)")


class Server:
    """A table server that is quick or slow, answers much or little, fails, hangs, breaks off or closes."""

    def __init__(self, name: str, zone: str, seed: int, judge: Judge) -> None:
        self.name, self.zone, self.judge = name, zone, judge
        self.rng = random.Random(f"{seed} {name}")
        self.hangs = False

    async def listen(self) -> dict:
        """Its entry of the list."""
        listener = await asyncio.start_server(self.serve, HOST, 0)
        dial = "{}:{}".format(*listener.sockets[0].getsockname())
        return ENTRY | {"host": self.name, "dial": dial, "site": self.zone}

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """One connection; its end ends what is out on it."""
        parser, waiting, ended = hiredis.Reader(), asyncio.Queue(), asyncio.Event()
        answering = asyncio.create_task(self.answer_all(waiting, writer))
        attempts: list[ServerAttempt] = []
        with suppress(OSError):
            while data := await reader.read(65536):
                parser.feed(data)
                while (words := parser.gets()) is not False:
                    told = int(TIME_TOLD.search(words[3])[1])
                    attempts.append(self.judge.begun(words[2], self.name, self.zone, told))
                    waiting.put_nowait((words, attempts[-1]))
        ended.set()
        for attempt in attempts:
            attempt.out = False
        answering.cancel()
        writer.close()

    async def answer_all(self, waiting: asyncio.Queue, writer: asyncio.StreamWriter) -> None:
        rng = self.rng
        while True:
            words, attempt = await waiting.get()
            await asyncio.sleep(rng.choice((0.005, 0.02, 0.05, 0.05, 0.1, 0.2, 0.5, 1.5, 3.0)))
            if self.hangs or (chance := rng.random()) < 0.01:
                await asyncio.sleep(60.0)
            attempt.out = False
            if chance < 0.04:
                return writer.transport.abort()
            if chance < 0.14:
                attempt.may_have_run = chance < 0.09
                writer.write(b"-ERR failed\r\n" if attempt.may_have_run else b"-BUSY\r\n")
            else:
                writer.write(served(words[2] + b"x" * rng.choice((0, 10, 100, 100, 200_000))))
            if chance > 0.95:
                await asyncio.sleep(0.05)
                return writer.close()


class Troubles:
    """What goes wrong on a day, drawn by its seed; each trouble is a method that lasts for the day."""

    def __init__(
        self, seed: int, faults: Faults, servers: list[Server], agents: list[Agent], judge: Judge
    ) -> None:
        self.rng, self.faults, self.servers, self.agents = random.Random(seed), faults, servers, agents
        self.judge, self.agent = judge, 0  # which agent the configuration names
        kinds = (
            self.clock_steps,
            self.calls_fail,
            self.stalls,
            self.drains,
            self.moves,
            self.hangs,
            self.slow,
        )
        self.drawn = [kind for kind in kinds if self.rng.random() < 0.5]

    async def pause(self) -> None:
        await asyncio.sleep(self.rng.uniform(0.3, 2.5))

    async def clock_steps(self) -> None:
        while True:
            await self.pause()
            self.faults.set(clock_step_ms=self.rng.choice((-3_600_000, -5_000, 0, 5_000, 3_600_000)))

    async def calls_fail(self) -> None:
        self.faults.set(interrupt_share=50, short_share=100)
        while True:
            await self.pause()
            share = self.rng.choice(("accept_share", "connect_share", "socket_share"))
            self.faults.set(error=self.rng.choice((errno.ENFILE, errno.ENOBUFS)), **{share: 300})
            await self.pause()
            self.faults.set(**{share: 0})

    async def stalls(self) -> None:
        self.faults.set(stall_share=50, stall_ms=150)

    async def drains(self) -> None:
        for server in self.rng.sample(self.servers, len(self.servers) // 3):
            await self.pause()
            for agent in self.agents:
                agent.change(server.name, health="Terminating")
            self.judge.drained[server.name] = time.monotonic()

    async def moves(self) -> None:
        while True:
            await self.pause()
            self.agent = 1 - self.agent
            self.configure(self.agents[self.agent].address)

    async def hangs(self) -> None:
        for server in self.rng.sample(self.servers, len(self.servers) // 4):
            await self.pause()
            server.hangs = True

    async def slow(self) -> None:
        for agent in self.agents:
            agent.delay = self.rng.choice((0.3, 0.8, 2.0))
        await self.pause()
        for agent in self.agents:
            agent.silent_before = time.monotonic()
