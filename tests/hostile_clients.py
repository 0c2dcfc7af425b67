"""Usual clients beside hostile senders, against the program as a process.

    python tests/hostile_clients.py --behaviour ping --senders 6 --seconds 6 --seed 1

Hostile senders run in threads of other processes and send at full speed on a connection each, or, with a
behaviour of RECONNECTING_BEHAVIOURS, on one short connection after another. Prints how the usual requests
fared and the gateway's highest memory; the exit code is 1 if an answer was late or missing, if the gateway
ended, or if it exceeded its memory limit.
"""

from __future__ import annotations

import argparse
import asyncio
import enum
import multiprocessing
import random
import socket
import struct
import sys
import tempfile
import threading
import time
from collections.abc import Callable, Iterator
from contextlib import suppress
from dataclasses import dataclass, field
from itertools import count
from pathlib import Path

import hiredis
import uvloop
from discoverykit import SERVER_ENTRY, FakeDiscovery
from netkit import HOST, RespConnection, raw_config, raw_settings, success_reply
from processkit import free_port, running_gateway

from thymehinge.net.client_connection import MAX_INVALID_COMMANDS

SERVER_COUNT = 8
SERVICE_TIME = 0.03  # seconds that a table server works on a request
ANSWER_GRACE = 0.5  # seconds past its timeout for which an answer is not lost, by the operators' terms
SOCKET_SLACK = 0.05  # seconds by which each limit is longer on sockets
USUAL_CLIENTS = 10
USUAL_PAUSE = 0.1  # seconds between two requests of a usual client
USUAL_TIMEOUTS_MS = (20, 50, 250, 1000, 3000)
MEMORY_MB = 192
SOCKETS = 1024
CONNECT_TIMEOUT = 2.0  # seconds of a hostile sender
SEND_BYTES = 64 * 1024  # written at once by a hostile sender
HOSTILE_CUSTOMERS_FROM = 2**20  # usual customers are below
CUSTOMERS_PER_PROCESS = 2**24  # of hostile senders
LONG_BODY_BYTES = 64_000
SLOW_WRITE_PAUSE = 0.3  # seconds between two bytes of a client that writes slowly
TIMEOUT_MS = 60_000  # of a hostile request, the longest that is accepted

hostile_numbers = count(HOSTILE_CUSTOMERS_FROM)


def repeat_to_block(command: bytes) -> bytes:
    """Return as many copies of a command as fit into one write."""
    return command * max(1, SEND_BYTES // len(command))


def request_of_new_customer(timeout_ms: int = TIMEOUT_MS) -> bytes:
    """Encode a valid request with a new id and a new customer."""
    name = b"%016x" % next(hostile_numbers)
    fields = b"c=lookup,t=village,d=%d,units=1,spread=1,first=0" % timeout_ms
    return hiredis.pack_command((b"API.READ", name, name, fields))


def new_customers(rng: random.Random) -> Iterator[bytes]:
    """Yield requests of ever new customers."""
    while True:
        yield b"".join(request_of_new_customer() for _ in range(400))


def one_customer(rng: random.Random) -> Iterator[bytes]:
    """Yield requests of one customer, far beyond its quota."""
    customer = b"%016x" % next(hostile_numbers)
    fields = b"c=lookup,t=village,d=%d" % TIMEOUT_MS
    while True:
        yield b"".join(
            hiredis.pack_command((b"API.READ", customer, b"%016x" % next(hostile_numbers), fields))
            for _ in range(400)
        )


def repeated(command: bytes) -> Callable[[random.Random], Iterator[bytes]]:
    """Return a behaviour that repeats one command."""

    def blocks(rng: random.Random) -> Iterator[bytes]:
        block = repeat_to_block(command)
        while True:
            yield block

    return blocks


def unsound(rng: random.Random) -> Iterator[bytes]:
    """Yield commands and data that the gateway rejects, which ends the connection."""
    lines = (
        repeat_to_block(hiredis.pack_command(("NONSENSE", "x"))),
        b"GET / HTTP\r\n\r\n" * 4000,
        b"*1\r\n$99999999999\r\n" + b"x" * SEND_BYTES,
        repeat_to_block(hiredis.pack_command(("API.READ", "1", "2", "c=none,t=none,d=x"))),
        repeat_to_block(hiredis.pack_command(("API.READ", b"0" * 16, b"1" * 16, b"," * 60_000))),
    )
    while True:
        yield rng.choice(lines)


def long_request() -> bytes:
    """Encode a valid request with a long body, a new id and a new customer."""
    name = b"%016x" % next(hostile_numbers)
    return hiredis.pack_command(
        (
            b"API.WRITE",
            name,
            name,
            b"c=order,t=village,d=%d,k=%b" % (TIMEOUT_MS, name),
            b"m" * LONG_BODY_BYTES,
        )
    )


def half_requests(rng: random.Random) -> Iterator[bytes]:
    """Yield most of a long request, then a byte at a time, slowly."""
    request = long_request()
    yield request[: -LONG_BODY_BYTES // 10]
    for byte in request[-LONG_BODY_BYTES // 10 :]:
        time.sleep(SLOW_WRITE_PAUSE)
        yield bytes((byte,))


def long_requests(rng: random.Random) -> Iterator[bytes]:
    """Yield long requests."""
    while True:
        yield long_request()


def short_fields(rng: random.Random) -> Iterator[bytes]:
    """Yield requests whose field text, or whose list of arguments, is long and made of short parts."""
    name = b"%016x" % next(hostile_numbers)
    many_fields = hiredis.pack_command((b"API.READ", name, name, b"c=lookup,t=village" + b",d=1" * 16_000))
    many_arguments = hiredis.pack_command((b"API.READ", *[b"x"] * 63))
    while True:
        yield rng.choice((many_fields, many_arguments * 200))


BEHAVIOURS = {
    "half requests": half_requests,
    "long requests": long_requests,
    "short fields": short_fields,
    "ping": repeated(hiredis.pack_command(("PING",))),
    "select": repeated(hiredis.pack_command(("SELECT", "0"))),
    "unsound": unsound,
    "new customers": new_customers,
    "one customer": one_customer,
    "no time": lambda rng: iter(
        lambda: b"".join(request_of_new_customer(timeout_ms=1) for _ in range(400)), None
    ),
}


class Ending(enum.Enum):
    """What a sender that opens one connection after another does once it has written its data."""

    READ_TO_END = enum.auto()  # wait until the gateway closes
    READ_ONCE = enum.auto()  # close after the first data from the gateway
    CLOSE = enum.auto()  # close at once
    RESET = enum.auto()  # reset the connection at once


def unknown_classes(rng: random.Random) -> bytes:
    """Encode as many requests of a class that does not exist as end a connection."""
    return b"".join(
        hiredis.pack_command(
            (
                b"API.READ",
                b"%016x" % rng.getrandbits(32),
                b"%016x" % rng.getrandbits(64),
                b"c=no,t=club,d=900",
            )
        )
        for _ in range(MAX_INVALID_COMMANDS)
    )


# What a sender writes on each new connection, and how it ends the connection.
RECONNECTING_BEHAVIOURS: dict[str, tuple[Callable[[random.Random], bytes], Ending]] = {
    "reconnect, unknown classes": (unknown_classes, Ending.READ_TO_END),
    "reconnect, protocol error": (lambda rng: b"GET / HTTP\r\n\r\n", Ending.READ_TO_END),
    "reconnect, ping": (lambda rng: hiredis.pack_command(("PING",)), Ending.READ_ONCE),
    "reconnect, half request": (lambda rng: request_of_new_customer()[:-10], Ending.CLOSE),
    "reconnect, request": (lambda rng: request_of_new_customer(), Ending.READ_ONCE),
    "reconnect, reset": (lambda rng: b"", Ending.RESET),
    "reconnect, silent": (lambda rng: b"", Ending.READ_TO_END),
}

ALL_BEHAVIOURS = (*BEHAVIOURS, *RECONNECTING_BEHAVIOURS)

# Behaviours of which no request reaches a table server.
BEHAVIOURS_WITHOUT_REQUESTS = (
    "half requests",
    "no time",
    "ping",
    "select",
    "short fields",
    "unsound",
    "reconnect, unknown classes",
    "reconnect, protocol error",
    "reconnect, ping",
    "reconnect, half request",
    "reconnect, reset",
    "reconnect, silent",
)


def send_at_full_speed(
    address: tuple[str, int], behaviour: str, seed: int, ended: threading.Event, leave: bool = False
) -> None:
    """Send until `ended`, reading what comes back, on a new connection after each end of one.

    With `leave`, the sender closes after each block with a reset and connects anew.
    """
    rng = random.Random(seed)
    while not ended.is_set():
        with suppress(OSError), socket.create_connection(address) as sock:
            sock.settimeout(1.0)
            reader = threading.Thread(target=read_to_end, args=(sock,), daemon=True)
            if leave:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            else:
                reader.start()
            for block in BEHAVIOURS[behaviour](rng):
                sock.sendall(block)
                if leave or ended.is_set():
                    break
            if not leave:
                sock.shutdown(socket.SHUT_RDWR)
                reader.join()


def reconnect_at_full_speed(address: tuple[str, int], behaviour: str, seed: int) -> None:
    """Open one connection after another until the process is killed, see RECONNECTING_BEHAVIOURS."""
    rng = random.Random(seed)
    next_data, ending = RECONNECTING_BEHAVIOURS[behaviour]
    while True:
        with suppress(OSError), socket.create_connection(address, CONNECT_TIMEOUT) as sock:
            sock.sendall(next_data(rng))
            if ending is Ending.RESET:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            elif ending is Ending.READ_ONCE:
                sock.recv(SEND_BYTES)
            elif ending is Ending.READ_TO_END:
                read_to_end(sock)


def run_senders(address: tuple[str, int], options: argparse.Namespace, process_index: int = 0) -> None:
    """Run the hostile senders of one of the processes until it is killed."""
    global hostile_numbers
    hostile_numbers = count(HOSTILE_CUSTOMERS_FROM + process_index * CUSTOMERS_PER_PROCESS)
    for i in range(process_index, options.senders, options.processes):
        behaviour = options.behaviour[i // options.processes % len(options.behaviour)]
        arguments: tuple = (address, behaviour, options.seed + i)
        sender: Callable[..., None] = reconnect_at_full_speed
        if behaviour in BEHAVIOURS:
            sender, arguments = send_at_full_speed, (*arguments, threading.Event(), options.leave)
        threading.Thread(target=sender, args=arguments, daemon=True).start()
    threading.Event().wait()


def start_senders(
    address: tuple[str, int], options: argparse.Namespace
) -> list[multiprocessing.context.SpawnProcess]:
    """Start all hostile senders, and return their processes."""
    processes = [
        multiprocessing.get_context("spawn").Process(
            target=run_senders, args=(address, options, index), daemon=True
        )
        for index in range(options.processes if options.senders else 0)
    ]
    for process in processes:
        process.start()
    return processes


def read_to_end(sock: socket.socket) -> None:
    """Read and discard until the connection ends."""
    while True:
        try:
            if not sock.recv(SEND_BYTES):
                return
        except TimeoutError:
            continue
        except OSError:
            return


@dataclass
class UsualResults:
    """How the usual requests fared; times are in seconds."""

    sent: int = 0
    served: int = 0
    missing: int = 0
    late: list[float] = field(default_factory=list)  # time past the allowed one
    latencies: list[float] = field(default_factory=list)


class UsualClient:
    """One request at a time, of random classes and timeouts, on a kept connection or each on a new one."""

    def __init__(
        self, number: int, seed: int, address: tuple[str, int], results: UsualResults, connects_anew: bool
    ) -> None:
        self.number, self.address, self.results = number, address, results
        self.rng, self.requests, self.connects_anew = random.Random(f"{seed} {number}"), 0, connects_anew

    def next_request(self) -> tuple[bytes, float]:
        """Return an encoded request and its timeout in seconds."""
        self.requests += 1
        timeout_ms = self.rng.choice(USUAL_TIMEOUTS_MS)
        words = (b"%016x" % self.number, b"%08x%08x" % (self.number, self.requests))
        if self.rng.random() < 0.5:
            command = (b"API.READ", *words, b"c=lookup,t=village,d=%d" % timeout_ms)
        else:
            command = (b"API.WRITE", *words, b"c=order,t=village,d=%d,k=%b" % (timeout_ms, words[1]), b"body")
        return hiredis.pack_command(command), timeout_ms / 1000

    async def run(self, until: float) -> None:
        """Send requests until this time of the monotonic clock."""
        connection = RespConnection(*await asyncio.open_connection(*self.address))
        while time.monotonic() < until:
            data, timeout = self.next_request()
            sent_at = time.monotonic()
            connection.write(data)
            self.results.sent += 1
            try:
                answer = await connection.read()
            except (EOFError, OSError):
                self.results.missing += 1
                connection = RespConnection(*await asyncio.open_connection(*self.address))
                continue
            elapsed = time.monotonic() - sent_at
            self.results.latencies.append(elapsed)
            if elapsed > timeout + ANSWER_GRACE + SOCKET_SLACK:
                self.results.late.append(elapsed - timeout - ANSWER_GRACE - SOCKET_SLACK)
            self.results.served += isinstance(answer, bytes) and elapsed <= timeout
            await asyncio.sleep(USUAL_PAUSE * self.rng.random() * 2)
            if self.connects_anew:
                connection.writer.close()
                connection = RespConnection(*await asyncio.open_connection(*self.address))


async def serve_table(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Answer requests as a table server."""
    connection = RespConnection(reader, writer)
    with suppress(EOFError, OSError):
        while True:
            words = await connection.read()
            await asyncio.sleep(SERVICE_TIME)
            connection.write(success_reply(words[2]))
    writer.close()


def memory_mb(process_id: int) -> float:
    """Return a process's anonymous resident memory in MB."""
    for line in Path(f"/proc/{process_id}/status").read_text().splitlines():
        if line.startswith("RssAnon"):
            return int(line.split()[1]) / 1024
    return 0.0


async def play(options: argparse.Namespace) -> tuple[UsualResults, float, int | None]:
    """Run a gateway beside the senders; return the results, the peak memory in MB and its exit code."""
    entries = []
    for number in range(SERVER_COUNT):
        listener = await asyncio.start_server(serve_table, HOST, 0)
        dial = "{}:{}".format(*listener.sockets[0].getsockname())
        entries.append({**SERVER_ENTRY, "host": f"s{number}", "dial": dial})
    discovery = FakeDiscovery(entries)
    settings = raw_settings()
    settings["contracts"][0] |= {"refill": 100.0, "burst": 100.0}
    port = free_port()
    config = raw_config(
        settings=settings,
        listen=f"{HOST}:{port}",
        discovery=await discovery.listen(),
        known={"seq": 1, "whole": True, "hosts": entries},
        limits={"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": SOCKETS},
        peers=[],
    )
    results, peak = UsualResults(), 0.0
    with tempfile.TemporaryDirectory() as name:
        async with running_gateway(Path(name) / "config.json", config, root=options.tree) as gateway:
            senders = start_senders((HOST, port), options)
            until = time.monotonic() + options.seconds
            usual = [
                asyncio.create_task(
                    UsualClient(i, options.seed, (HOST, port), results, options.usual_connect_anew).run(until)
                )
                for i in range(USUAL_CLIENTS)
            ]
            while not all(client.done() for client in usual):
                if gateway.poll() is None:
                    peak = max(peak, memory_mb(gateway.pid))
                await asyncio.sleep(0.02)
            for process in senders:
                process.kill()
            await asyncio.gather(*usual)
            code = gateway.poll()
            if options.show_log:
                gateway.terminate()
                print((Path(name) / "config.log").read_text())
    return results, peak, code


def run(options: argparse.Namespace) -> tuple[UsualResults, float, int | None]:
    """Play one run on an event loop of its own, see `play`."""
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(play(options))


def parse_options(arguments: list[str] | None = None) -> argparse.Namespace:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument(
        "--behaviour",
        choices=sorted(ALL_BEHAVIOURS),
        nargs="+",
        default=["ping"],
        help="one or more, which the senders have in turn",
    )
    parser.add_argument("--senders", type=int, default=6)
    parser.add_argument("--processes", type=int, default=1, help="that the senders are spread over")
    parser.add_argument("--seconds", type=float, default=6.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--leave", action="store_true", help="senders leave after each write")
    parser.add_argument(
        "--usual-connect-anew", action="store_true", help="usual clients open a connection for each request"
    )
    parser.add_argument("--tree", type=Path, default=Path(__file__).parent.parent, help="checkout to run")
    parser.add_argument("--show-log", action="store_true", help="print the gateway's log")
    return parser.parse_args(arguments)


def main() -> int:
    """Play one run and print its results; return 1 if a term was violated."""
    options = parse_options()
    results, peak, code = run(options)
    latencies = sorted(results.latencies) or [0.0]
    print(
        f"{' + '.join(options.behaviour)}, {options.senders} senders, seed {options.seed}: "
        f"{results.sent} usual requests, {results.served} served, "
        f"{len(results.late)} late (worst by {max(results.late, default=0.0):.3f} s), "
        f"{results.missing} without an answer; median {latencies[len(latencies) // 2] * 1000:.0f} ms, "
        f"p99 {latencies[len(latencies) * 99 // 100] * 1000:.0f} ms, longest {latencies[-1] * 1000:.0f} ms; "
        f"highest memory {peak:.0f} MB of {MEMORY_MB}; exit code {code}"
    )
    return int(bool(results.late or results.missing or code is not None or peak > MEMORY_MB))


if __name__ == "__main__":
    sys.exit(main())
