"""Random clients against the program as a process: what is taken is answered, whatever they do. Run by hand.

    python tests/crossing_clients.py --seed 1

prints each request that got no whole answer, a late one or another's, and counts; its exit code is 1 if there
was one. The timing is the machine's, so that a seed gives the clients' choices and not the same run twice:
what it finds becomes a test of its own with the crossing forced, as in test_connection_end.py.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import random
import signal
import socket
import sys
import tempfile
import time
from collections import Counter
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path

import hiredis
from discoverykit import ENTRY, discovery, whole
from netkit import HOST, configuration, options, served
from processkit import ROOT

SERVERS = 12
LATE = 0.55  # s past its time in which an answer still counts, and a little for this process
CROSSING = 0.02  # s before the end of a connection in which a request may not have been read
DRAIN = 5.0  # s for which clients go on asking after SIGTERM
NONSENSE = hiredis.pack_command(("NONSENSE",))
KINDS = ("pipelined", "half", "nonsense", "unknown", "slow reader", "chain", "chain", "idle", "large body")


@dataclass(slots=True)
class Sent:
    """A request whose last byte has been written."""

    id: bytes
    at: float
    wait: float


@dataclass(slots=True)
class Connection:
    """One connection of a client: what went out, what came back, and when it ended."""

    kind: str
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    sent: list[Sent] = field(default_factory=list)
    answers: list[tuple[object, float]] = field(default_factory=list)
    ended: float | None = None

    async def read(self) -> None:
        parser = hiredis.Reader()
        with suppress(OSError):
            while data := await self.reader.read(65536):
                parser.feed(data)
                while (answer := parser.gets()) is not False:
                    self.answers.append((answer, time.monotonic()))
                if self.kind == "slow reader":
                    await asyncio.sleep(0.1)
        self.ended = time.monotonic()

    async def answered(self) -> bool:
        """Wait for all answers, the end, or a time past the last deadline; whether all answers came."""
        until = max((s.at + s.wait for s in self.sent), default=0.0) + LATE + 2.0
        while self.ended is None and len(self.answers) < len(self.sent) and time.monotonic() < until:
            await asyncio.sleep(0.005)
        return len(self.answers) >= len(self.sent)


class Client:
    """One client that opens connection after connection, each of a kind drawn at random."""

    def __init__(self, number: int, seed: int, address: tuple[str, int], counts: Counter[str]) -> None:
        self.number, self.address, self.counts = number, address, counts
        self.rng, self.requests = random.Random(f"{seed} {number}"), 0

    async def run(self, stopped: asyncio.Event) -> None:
        while not stopped.is_set():
            try:
                streams = await asyncio.open_connection(*self.address)
            except OSError:
                await asyncio.sleep(0.05)
                continue
            connection = Connection(self.rng.choice(KINDS), *streams)
            reading = asyncio.create_task(connection.read())
            with suppress(OSError):
                await self.play(connection)
            await connection.answered()
            self.judge(connection)
            reading.cancel()
            connection.writer.close()

    async def play(self, connection: Connection) -> None:
        """Write what a client of this kind writes."""
        if connection.kind == "idle":
            await asyncio.sleep(self.rng.choice((1.0, 9.9, 10.0, 10.1)))
        many = connection.kind in ("pipelined", "slow reader")
        for _ in range(self.rng.randint(2, 8) if many else self.rng.randint(1, 3)):
            await self.ask(connection)
        match connection.kind:
            case "half":
                connection.writer.write(self.command(connection.kind)[1][:20])
            case "nonsense":
                connection.writer.write(b"GET / HTTP\r\n\r\n" * self.rng.choice((1, 50, 2000)))
            case "unknown":
                connection.writer.write(NONSENSE * self.rng.choice((8, 9, 600)))
            case "chain":
                for _ in range(30):
                    if not await connection.answered() or connection.ended:
                        return
                    await asyncio.sleep(self.rng.choice((0.0, 0.003, 0.01, 0.05, 0.3)))
                    await self.ask(connection)

    async def ask(self, connection: Connection) -> None:
        """Write one request, in pieces now and then."""
        request, data, wait = self.command(connection.kind)
        size = len(data) // self.rng.choice((1, 1, 3)) + 1
        for start in range(0, len(data), size):
            if start:
                await asyncio.sleep(self.rng.choice((0.0, 0.05, 0.4, 1.2)))
            connection.writer.write(data[start : start + size])
        if connection.ended is None:
            connection.sent.append(Sent(request, time.monotonic(), wait))

    def command(self, kind: str) -> tuple[bytes, bytes, float]:
        """A new request's id, its command, and how long its client waits (s)."""
        self.requests += 1
        request, wait = b"%08x%08x" % (self.number, self.requests), self.rng.choice((500, 1000, 3000, 6000))
        customer = b"%016x" % self.rng.randrange(2**30)
        if kind != "large body":
            words = (b"API.READ", customer, request, b"c=lookup,t=village,d=%d" % wait)
        else:
            fields = b"c=order,t=village,d=%d,k=%b" % (wait, request)
            words = (b"API.WRITE", customer, request, fields, b"y" * self.rng.choice((10, 5000, 64000)))
        return request, hiredis.pack_command(words), wait / 1000

    def judge(self, connection: Connection) -> None:
        """Count what became of each request, and print what should not be."""
        for i, sent in enumerate(connection.sent):
            fate = self.fate(connection, i, sent)
            self.counts[fate] += 1
            if fate.isupper():
                print(fate, connection.kind, sent, f"answer {i} of {len(connection.answers)}")

    def fate(self, connection: Connection, i: int, sent: Sent) -> str:
        """In capitals what should not be."""
        if i >= len(connection.answers):
            crossed = connection.ended is not None and connection.ended - sent.at < CROSSING
            return "crossed the end" if crossed else "NO ANSWER"
        answer, at = connection.answers[i]
        if "Protocol error" in str(answer):
            return "ERROR BEFORE ITS ANSWER"
        if isinstance(answer, bytes) and not answer.startswith(sent.id):
            return "ANOTHER'S ANSWER"
        begun = max(sent.at, connection.answers[i - 1][1]) if i else sent.at
        if connection.kind != "slow reader" and at - begun > sent.wait + LATE:
            return "LATE"
        return "served" if isinstance(answer, bytes) else "refused or failed"


async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, rng: random.Random) -> None:
    """A server that is quick or slow, answers much or little, and now and then breaks off or falls silent."""
    parser = hiredis.Reader()
    with suppress(OSError):
        while data := await reader.read(65536):
            parser.feed(data)
            while (words := parser.gets()) is not False:
                await asyncio.sleep(rng.choice((0.005, 0.02, 0.05, 0.05, 0.1, 0.2, 0.5, 1.5, 3.0)))
                if rng.random() < 0.03:
                    return writer.transport.abort()
                writer.write(served(words[2] + b"x" * rng.choice((0, 10, 100, 100, 200_000))))
    return writer.close()


async def stand_ins(rng: random.Random) -> tuple[str, dict]:
    """Servers, and discovery that tells of them once and falls silent: its address, and the list."""
    entries = []
    for i in range(SERVERS):
        listener = await asyncio.start_server(lambda r, w: serve(r, w, rng), HOST, 0)
        dial = "{}:{}".format(*listener.sockets[0].getsockname())
        entries.append(ENTRY | {"host": f"s{i}", "dial": dial})
    address, _ = await discovery([whole(1, *entries)])
    return address, {"seq": 1, "whole": True, "hosts": entries}


def gateway_configuration(address: str, hosts: dict, port: int, sockets: int) -> dict:
    """A gateway whose quotas bind nobody."""
    settings = options()
    for cls in settings["classes"]:
        cls["give_up_s"] = 6.0
    for plan in settings["contracts"]:
        plan.update(refill=500.0, burst=1000.0, max_out=0, cap_rate=0.0)
    limits = {"cores": 1.0, "memory_mb": 192, "sockets": sockets}
    where = {"listen": f"{HOST}:{port}", "discovery": address, "known": hosts}
    return configuration(settings=settings, limits=limits, **where)


async def main(options: argparse.Namespace) -> int:
    """Play, end the gateway with SIGTERM while clients go on, and tell what was found."""
    agent, hosts = await stand_ins(random.Random(options.seed))
    with socket.create_server((HOST, 0)) as probe:
        address = probe.getsockname()
    with tempfile.NamedTemporaryFile("w", suffix=".json") as file:
        json.dump(gateway_configuration(agent, hosts, address[1], options.sockets), file)
        file.flush()
        environ = {**os.environ, "EDGE_CONFIG": file.name}
        gateway = await asyncio.create_subprocess_exec(
            *(sys.executable, "-m", "thymehinge"),
            cwd=options.tree,
            env=environ,
            stderr=asyncio.subprocess.DEVNULL,
        )
        counts: Counter[str] = Counter()
        stopped = asyncio.Event()
        clients = [Client(i, options.seed, address, counts) for i in range(options.clients)]
        playing = [asyncio.create_task(client.run(stopped)) for client in clients]
        await asyncio.sleep(options.seconds)
        gateway.send_signal(signal.SIGTERM)
        await asyncio.sleep(DRAIN)
        stopped.set()
        await asyncio.gather(*playing)
        code = await gateway.wait()
    print(f"seed {options.seed}: exit code {code}, {dict(counts)}")
    return int(code != 0 or any(fate.isupper() for fate in counts))


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--clients", type=int, default=85, help="a third of the descriptors by default")
    parser.add_argument("--sockets", type=int, default=256, help="descriptors of the gateway")
    parser.add_argument("--seconds", type=float, default=12.0, help="before SIGTERM")
    parser.add_argument("--tree", type=Path, default=ROOT, help="a checkout whose program is played")
    sys.exit(asyncio.run(main(parser.parse_args())))
