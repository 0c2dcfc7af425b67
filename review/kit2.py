"""Stand-ins and checks shared by the cases from 6 on: gateway processes, table servers, discovery, clients.

Only the standard library is used. All stand-ins run in the process of a case, on loopback addresses; the
gateways are processes of their own, started by the `run` line of the deploy file. Times are in seconds on the
monotonic clock, counted from the start of the case.
"""

from __future__ import annotations

import asyncio
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from contextlib import suppress
from itertools import pairwise
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
SLACK = 0.05  # seconds by which every time limit is longer on sockets, by PROTOCOL
ANSWER_GRACE = 0.5  # seconds after its time in which an answer is not lost, by STANDING
HELD, BROKEN, NOT_RUN = 0, 1, 2  # exit codes of a case

CLASSES = [  # of kit/sites/nappula-tables.toml
    {"name": "table-view", "aim_s": 0.3, "give_up_s": 1.0, "importance": 1.0, "repeat": "read_like"},
    {"name": "move-submit", "aim_s": 1.2, "give_up_s": 5.0, "importance": 5.0, "repeat": "idempotency_key"},
    {"name": "dice-shuffle", "aim_s": 1.5, "give_up_s": 6.0, "importance": 2.0, "repeat": "non_idempotent"},
]
PLANS = [
    {"name": "free", "refill": 1.5, "burst": 8.0, "value_factor": 0.5, "over_cost": 0.8},
    {"name": "club", "refill": 3.3, "burst": 13.0, "value_factor": 0.72, "over_cost": 0.8},
    {"name": "association", "refill": 0.0, "burst": 0.0, "max_out": 2, "value_factor": 1.2, "over_cost": 1.2},
    {"name": "federation", "refill": 18.0, "burst": 37.0, "value_factor": 1.4, "excess_worth": 0.1},
]


class CannotRun(Exception):  # noqa: N818
    """The case could not be set up; it ends with NOT_RUN."""


def settings(slot: int = 0, gateways: int = 1, **changes: Any) -> dict[str, Any]:
    """Return the settings of a small deployment, after kit/sites/nappula-tables.toml."""
    return {
        "azs": ["vantaa-room"],
        "zone": "vantaa-room",
        "balancers": gateways,
        "slot_no": slot,
        "discovery": "automatic",
        "tick_s": 0.004,
        "stage": 0,
        "tiers": ["table-servers"],
        "weight_source": "nominal",
        "host_types": ["c2-standard"],
        "bounds": {
            "cancel": True,
            "conn_idle_s": 30.0,
            "connect_timeout_s": 0.25,
            "cpu_us_per_request": 0.0,
            "cpu_us_per_s": 500000,
            "max_open": 20000,
            "max_retry_after_s": 1.0,
            "may_probe": True,
            "peers": True,
            "retry_after": True,
            "second_copies": False,
            "send_cap": 6,
            "streams_per_conn": 32,
        },
        "callers": {"marks_retry": True},
        "classes": [
            {**c, "dedup_scope": "all", "dedup_window_s": 5.0, "late_worth": 0.0, "streamed": False}
            for c in CLASSES
        ],
        "contracts": [
            {
                "cap_rate": 0.0,
                "cap_slack": 0.0,
                "excess_worth": 0.0,
                "max_out": 0,
                "never_over_depth": 0.0,
                "over_cost": 0.0,
                **plan,
            }
            for plan in PLANS
        ],
        "family_info": {
            "may_count": False,
            "count_limit_s": 0.0,
            "meter_s": 0.0,
            "max_units": 8,
            "peer_in_per_s": 100.0,
            "post_paid": False,
        },
        "fees": {"cross_zone": 0.0},
        "obligations": {
            "grace_to_answer_s": 0.05,
            "ask_within_s": 6.0,
            "cold_from": 0.21,
            "cold_s": 18.0,
            "stop_sending_within_s": 2.0,
            "fall_multiple": 3.0,
            "fall_s": 1.5,
        },
        "stats": {"how": "pull", "names": ["qps"]},
        **changes,
    }


def free_port(kind: socket.SocketKind = socket.SOCK_STREAM) -> int:
    """Return a port of the loopback address that is free at the moment."""
    with socket.socket(socket.AF_INET, kind) as probe:
        probe.bind((HOST, 0))
        return probe.getsockname()[1]


def pack(*words: bytes) -> bytes:
    """Encode a command."""
    return b"*%d\r\n" % len(words) + b"".join(b"$%d\r\n%b\r\n" % (len(w), w) for w in words)


async def read_line(reader: asyncio.StreamReader) -> bytes:
    """Read a line and return it without its end; raises EOFError at the end of the stream."""
    line = await reader.readline()
    if not line.endswith(b"\r\n"):
        raise EOFError
    return line[:-2]


async def read_bulk(reader: asyncio.StreamReader, header: bytes) -> bytes | None:
    """Read the rest of a bulk string whose header has been read."""
    size = int(header[1:])
    if size < 0:
        return None
    data = await reader.readexactly(size + 2)
    return data[:-2]


async def read_command(reader: asyncio.StreamReader, on_first: Callable[[], None]) -> list[bytes]:
    """Read a command; `on_first` is called at its first byte."""
    first = await reader.readexactly(1)
    on_first()
    line = first + await read_line(reader)
    return [await read_bulk(reader, await read_line(reader)) or b"" for _ in range(int(line[1:]))]


async def read_reply(reader: asyncio.StreamReader) -> bytes | list:
    """Read a reply: an error or status line as it is, a value with `$` before it."""
    line = await read_line(reader)
    if line[:1] == b"$":
        value = await read_bulk(reader, line)
        return b"$-1" if value is None else b"$" + value
    if line[:1] == b"*":
        return [await read_reply(reader) for _ in range(int(line[1:]))]
    return line


class Case:
    """The time, record and verdict of a case, and its processes and folder."""

    def __init__(self, folder: str | Path) -> None:
        self.folder = Path(folder).resolve()
        if self.folder.is_file():
            self.folder = self.folder.parent
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.started_at = time.monotonic()
        self.record = (self.folder / "record.txt").open("w")
        self.temporary = tempfile.TemporaryDirectory(prefix="review-")
        self.directory = Path(self.temporary.name)
        self.processes: list[subprocess.Popen] = []
        self.breaks: list[str] = []
        self.attempts: list[Attempt] = []
        self.requests: dict[str, Request] = {}
        self.servers: dict[str, TableServer] = {}
        self.rng = random.Random(int(os.environ.get("SEED", "1")))

    def now(self) -> float:
        return time.monotonic() - self.started_at

    def log(self, text: str) -> None:
        self.record.write(f"{self.now():9.4f} {text}\n")

    def fail(self, text: str) -> None:
        self.breaks.append(text)
        self.log(f"BROKEN {text}")

    def start_clients(self, words: list[str]) -> None:
        """Start clients as a process, whose output goes to the record."""
        self.record.flush()
        self.processes.append(subprocess.Popen(words, stdout=self.record))

    def close(self) -> None:
        """End all processes that the case started."""
        for process in self.processes:
            with suppress(ProcessLookupError):
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes:
            process.wait()
        self.record.flush()
        self.temporary.cleanup()


def run_case(file: str, body: Callable[[Case], Awaitable[None]], time_limit: float = 110.0) -> None:
    """Run a case and exit with its code."""
    case, code = Case(file), NOT_RUN
    sys.unraisablehook = lambda *_: None  # streams that the end of the case cuts off
    try:

        async def limited() -> None:
            asyncio.get_running_loop().set_exception_handler(lambda *_: None)  # connections cut by the end
            async with asyncio.timeout(time_limit):
                await body(case)

        asyncio.run(limited())
        code = BROKEN if case.breaks else HELD
    except Exception as error:  # any error of the case itself: it shows nothing of the gateway
        case.log(f"could not run: {type(error).__name__}: {error}")
        print(f"could not run: {type(error).__name__}: {error}")
    finally:
        case.close()
    for text in case.breaks[:10]:
        print("broken:", text)
    print({HELD: "held", BROKEN: f"broken ({len(case.breaks)})", NOT_RUN: "not run"}[code])
    case.record.close()
    sys.exit(code)


class Attempt:
    """One command that a table server was sent."""

    def __init__(self, case: Case, server: TableServer, words: list[bytes], first_at: float) -> None:
        self.server, self.words, self.first_at, self.at = server, words, first_at, case.now()
        self.request_id = words[2].decode()
        self.fields = dict(pair.split("=", 1) for pair in words[3].decode().split(","))
        self.timeout = int(self.fields["d"]) / 1000
        self.ended_at: float | None = None
        self.outcome = "out"  # out, value, error, busy, closed
        self.ran = False


class TableServer:
    """A table server; `behave` decides what becomes of each attempt."""

    def __init__(self, case: Case, name: str, port: int = 0) -> None:
        self.case, self.name, self.port = case, name, port
        self.born_ms = 0
        self.behave: Callable[[Attempt], Awaitable[bytes | None]] = self.serve
        self.service = {"table-view": 0.04, "move-submit": 0.08, "dice-shuffle": 0.12}
        self.idle_limit = 30.0  # seconds after which it closes an idle connection
        self.connections: set[asyncio.StreamWriter] = set()
        self.keys: dict[str, tuple[float, bytes]] = {}
        self.accepted = 0

    async def start(self) -> None:
        self.listener = await asyncio.start_server(self.handle, HOST, self.port, backlog=512, limit=2**18)
        self.port = self.listener.sockets[0].getsockname()[1]
        self.case.servers[self.name] = self

    @property
    def address(self) -> str:
        return f"{HOST}:{self.port}"

    async def stop(self) -> None:
        """End like a process that dies: the listener and all connections."""
        self.listener.close()
        for writer in list(self.connections):
            writer.transport.abort()

    async def serve(self, attempt: Attempt) -> bytes | None:
        """Run the command for its service time and return its value."""
        mean = self.service.get(attempt.fields["c"], 0.05)
        attempt.ran = True
        await asyncio.sleep(mean * self.case.rng.uniform(0.5, 1.5))
        return self.value(attempt)

    def value(self, attempt: Attempt) -> bytes:
        return b"%b of %b" % (attempt.request_id.encode(), self.name.encode())

    async def handle(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        case = self.case
        self.connections.add(writer)
        self.accepted += 1
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            while True:
                first: list[float] = []
                async with asyncio.timeout(self.idle_limit) as limit:
                    words = await read_command(
                        reader,
                        lambda first=first, limit=limit: (first.append(case.now()), limit.reschedule(None)),
                    )
                if words[0] in (b"PING", b"INFO", b"CLIENT", b"SELECT"):
                    writer.write(b"+PONG\r\n" if words[0] == b"PING" else b"+OK\r\n")
                    continue
                attempt = Attempt(case, self, words, first[0])
                case.attempts.append(attempt)
                case.log(
                    f"{self.name} gets {attempt.request_id} {attempt.fields['c']} d={attempt.fields['d']}"
                )
                await self.answer(attempt, reader, writer)
        except (EOFError, ConnectionError, TimeoutError, ValueError):
            pass
        finally:
            self.connections.discard(writer)
            writer.transport.abort()

    async def answer(
        self, attempt: Attempt, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer an attempt; work stops if the connection ends first."""
        work = asyncio.ensure_future(self.behave(attempt))
        while not work.done():
            await asyncio.wait([work], timeout=0.005)
            if reader.at_eof() or reader.exception() is not None or writer.is_closing():
                work.cancel()
                break
        try:
            value = await work
        except asyncio.CancelledError:
            value, attempt.outcome = None, "closed"
            attempt.ended_at = self.case.now()
            self.case.log(f"{self.name} loses {attempt.request_id}, its connection has ended")
            raise EOFError from None
        if value is not None and not value.startswith((b"-", b"raw:")):
            attempt.outcome, attempt.ran = "value", True
            writer.write(b"*3\r\n$%d\r\n%b\r\n$-1\r\n$-1\r\n" % (len(value), value))
        elif value is not None:
            attempt.outcome = "busy" if value.startswith(b"-BUSY") else "error"
            attempt.ran = attempt.ran or attempt.outcome == "error"
            writer.write(value.removeprefix(b"raw:"))
        attempt.ended_at = self.case.now()
        self.case.log(f"{self.name} answers {attempt.request_id}: {attempt.outcome}")
        if value is None:
            attempt.outcome = "closed"
            raise EOFError


class Discovery:
    """Discovery's agent: whole lists and watches over HTTP/1.1."""

    def __init__(self, case: Case) -> None:
        self.case, self.port, self.version = case, 0, 1
        self.entries: dict[str, dict] = {}
        self.versions: dict[str, int] = {}
        self.changed = asyncio.Event()
        self.silent = False
        self.delay = 0.0
        self.connections: set[asyncio.StreamWriter] = set()
        self.listener: asyncio.Server | None = None
        self.told: dict[str, float] = {}  # server -> when it was first written as draining or gone
        self.listens = True

    async def start(self) -> None:
        self.listener = await asyncio.start_server(self.handle, HOST, self.port)
        self.port = self.listener.sockets[0].getsockname()[1]

    @property
    def address(self) -> str:
        return f"{HOST}:{self.port}"

    def share(self, other: Discovery) -> None:
        """Hold the same list as another agent."""
        self.entries, self.versions, self.version = other.entries, other.versions, other.version

    def set(self, server: TableServer, health: str = "Ready") -> None:
        """List a server, or change its entry."""
        self.version += 1
        self.entries[server.name] = {
            "host": server.name,
            "dial": server.address,
            "site": "vantaa-room",
            "class": "c2-standard",
            "block": 0,
            "health": health,
            "share": 1.0,
            "born_ms": server.born_ms,
        }
        self.versions[server.name] = self.version
        self.case.log(f"discovery has {server.name} {health}, version {self.version}")
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    def list(self, since: int | None = None) -> dict:
        whole = since is None
        hosts = [
            e
            for name, e in self.entries.items()
            if (whole and e["health"] != "Gone") or (since is not None and self.versions[name] > since)
        ]
        return {"seq": self.version, "whole": whole, "hosts": hosts}

    async def handle(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections.add(writer)
        try:
            while True:
                target = (await read_line(reader)).split()[1].decode()
                while await read_line(reader):
                    pass
                query = dict(q.split("=") for q in target.partition("?")[2].split("&") if q)
                since = int(query["since"]) if "since" in query else None
                self.case.log(f"discovery gets {target}")
                if since is not None and since >= self.version:
                    with suppress(TimeoutError):
                        async with asyncio.timeout(int(query["timeout_ms"]) / 1000):
                            await self.changed.wait()
                await asyncio.sleep(self.delay)
                while self.silent:
                    await asyncio.sleep(0.01)
                answer = self.list(since)
                body = json.dumps(answer).encode()
                writer.write(
                    b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
                    % len(body)
                    + body
                )
                self.note_told(answer)
                await writer.drain()
        except (EOFError, ConnectionError, IndexError):
            pass
        finally:
            self.connections.discard(writer)
            writer.transport.abort()

    def note_told(self, answer: dict) -> None:
        for name, entry in self.entries.items():
            if entry["health"] != "Ready" and name not in self.told:
                self.told[name] = self.case.now()
                self.case.log(f"discovery tells that {name} is {entry['health']}")

    async def stop(self, after: float = 0.0) -> None:
        """Take no new connection, and close the open ones after a time."""
        self.listener.close()
        await asyncio.sleep(after)
        for writer in list(self.connections):
            writer.transport.abort()


class GatewayProcess:
    """A gateway, as a process started by the `run` line of the deploy file."""

    def __init__(self, case: Case, name: str, discovery: str, **options: Any) -> None:
        self.case, self.name, self.port = case, name, free_port()
        self.path = case.directory / f"{name}.json"
        self.config = {
            "name": name,
            "listen": f"{HOST}:{self.port}",
            "discovery": discovery,
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 512},
            "known": None,
            "settings": settings(),
            **options,
        }
        if self.config["known"] is None:
            del self.config["known"]
        self.process: subprocess.Popen | None = None

    def start(self) -> None:
        self.path.write_text(json.dumps(self.config))
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        environ = {k: v for k, v in os.environ.items() if not k.startswith("EDGE_")}
        environ |= {
            "EDGE_NAME": self.name,
            "EDGE_CONFIG": str(self.path),
            "EDGE_LISTEN": self.config["listen"],
            "EDGE_DISCOVERY": self.config["discovery"],
            "TMPDIR": str(self.case.directory),
        }
        self.log_file = self.path.with_suffix(".log").open("a")
        self.process = subprocess.Popen(
            ["/bin/sh", "-c", run], cwd=ROOT, env=environ, stdout=self.log_file, stderr=self.log_file
        )
        self.case.processes.append(self.process)
        self.case.log(f"{self.name} starts as process {self.process.pid}")

    def reload(self, discovery: str) -> None:
        """Replace the configuration's discovery address and send SIGHUP."""
        self.config["discovery"] = discovery
        new = self.path.with_suffix(".new")
        new.write_text(json.dumps(self.config))
        new.replace(self.path)
        self.signal(signal.SIGHUP)

    def signal(self, number: int) -> None:
        self.case.log(f"{self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    async def ready(self, limit: float = 30.0) -> None:
        """Wait until PING is answered with +PONG."""
        until = time.monotonic() + limit
        while time.monotonic() < until:
            with suppress(ConnectionError, EOFError, TimeoutError):
                async with asyncio.timeout(1.0):
                    reader, writer = await asyncio.open_connection(HOST, self.port)
                    try:
                        writer.write(pack(b"PING"))
                        if await read_line(reader) == b"+PONG":
                            self.case.log(f"{self.name} is ready")
                            return
                    finally:
                        writer.transport.abort()
            await asyncio.sleep(0.02)
        raise CannotRun(f"{self.name} is not ready")

    def log_text(self) -> str:
        return self.path.with_suffix(".log").read_text()


class Request:
    """A client's request and what became of it."""

    def __init__(self, request_id: str, class_name: str, timeout: float, at: float) -> None:
        self.request_id, self.class_name, self.timeout, self.sent_at = request_id, class_name, timeout, at
        self.answer: bytes | None = None
        self.answered_at: float | None = None
        self.ended = ""  # how it ended without an answer
        self.closed_at: float | None = None  # when its client closed the connection
        self.excused = False

    @property
    def kind(self) -> str:
        if self.answer is None:
            return self.ended or "open"
        if self.answer[:1] == b"$":
            return "served"
        return "refused" if self.answer.startswith(b"-BUSY") else "failed"


class Client:
    """A client's connection to a gateway; requests may be pipelined."""

    def __init__(self, case: Case, port: int) -> None:
        self.case, self.port = case, port
        self.waiting: list[tuple[Request, asyncio.Future]] = []
        self.closed = False

    async def connect(self) -> Client:
        self.reader, self.writer = await asyncio.open_connection(HOST, self.port, limit=2**18)
        self.writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.task = asyncio.ensure_future(self.read())
        return self

    def encode(
        self,
        class_name: str = "table-view",
        timeout: float | None = None,
        plan: str = "federation",
        customer: int = 5,
        key: str = "",
        body: bytes = b"x",
        units: float = 1,
        request_id: str = "",
        retry: bool = False,
        spread: int = 1,
        first: int = 0,
    ) -> tuple[Request, bytes]:
        spec = next(c for c in CLASSES if c["name"] == class_name)
        timeout = timeout or spec["give_up_s"]
        request_id = request_id or f"{self.case.rng.getrandbits(64):016x}"
        fields = f"c={class_name},t={plan},d={round(timeout * 1000)}"
        if spec["repeat"] == "idempotency_key":
            fields += f",k={key or request_id}"
        fields += f",units={units},spread={spread},first={first}" + ",r=1" * retry
        words = [b"%016x" % customer, request_id.encode(), fields.encode()]
        if spec["repeat"] == "read_like":
            data = pack(b"API.READ", *words)
        else:
            data = pack(b"API.WRITE", *words, body)
        request = Request(request_id, class_name, timeout, self.case.now())
        self.case.requests[request_id] = request
        return request, data

    def send(self, **options: Any) -> tuple[Request, asyncio.Future]:
        """Send a request; the future is done with its answer, or with None if the connection ends."""
        request, data = self.encode(**options)
        future = asyncio.get_running_loop().create_future()
        self.waiting.append((request, future))
        self.case.log(
            f"client sends {request.request_id} {request.class_name} d={round(request.timeout * 1000)}"
        )
        self.writer.write(data)
        return request, future

    async def call(self, **options: Any) -> Request:
        """Send a request and wait for its answer, or up to a second past its time."""
        request, future = self.send(**options)
        with suppress(TimeoutError):
            async with asyncio.timeout(request.timeout + 1.0):
                await asyncio.shield(future)
        if request.answer is None and not request.ended:
            request.ended = "no answer"
            self.case.log(f"client has no answer to {request.request_id}, gives up and closes")
            self.close()
        return request

    async def read(self) -> None:
        try:
            while True:
                reply = await read_reply(self.reader)
                if not self.waiting:
                    raise EOFError
                request, future = self.waiting.pop(0)
                request.answer = reply if isinstance(reply, bytes) else repr(reply).encode()
                request.answered_at = self.case.now()
                self.case.log(f"client gets {request.kind} for {request.request_id}: {request.answer[:60]!r}")
                if not future.done():
                    future.set_result(request)
        except (EOFError, ConnectionError, ValueError) as error:
            if not self.closed:
                self.closed = True
                for request, future in self.waiting:
                    request.end_at = self.case.now()
                    request.ended = f"connection ended ({type(error).__name__})"
                    self.case.log(f"client's connection ends before the answer to {request.request_id}")
                    if not future.done():
                        future.set_result(request)
                self.writer.transport.abort()

    def close(self, reset: bool = False) -> None:
        """Close; the clients of requests without an answer have gone."""
        self.closed = True
        for request, future in self.waiting:
            if not request.ended:
                request.closed_at, request.ended = self.case.now(), "client gone"
                self.case.log(f"client of {request.request_id} closes")
            if not future.done():
                future.set_result(request)
        if reset:
            self.writer.transport.abort()
        else:
            self.writer.close()


class Pool:
    """A client program: it keeps its connections and opens more when every one is busy."""

    def __init__(self, case: Case, port: int) -> None:
        self.case, self.port = case, port
        self.idle: list[Client] = []

    async def ask(self, **options: Any) -> Request | None:
        """Send a request and return it once it has ended; None if the gateway takes no connection.

        If the gateway closes a kept connection without an answer, the request is sent one more time on a new
        connection, as PROTOCOL says.
        """
        while self.idle and self.idle[-1].closed:
            self.idle.pop()
        kept = bool(self.idle)
        client = self.idle.pop() if kept else await self.connect()
        if client is None:
            return None
        request = await client.call(**options)
        if kept and request.ended.startswith("connection"):
            crossed = not any(a.request_id == request.request_id for a in self.case.attempts)
            client = await self.connect() if crossed else None
            if client is None:
                request.excused = crossed
                return request
            request = await client.call(**options | {"request_id": request.request_id})
        if not client.closed:
            self.idle.append(client)
        return request

    async def connect(self) -> Client | None:
        try:
            return await Client(self.case, self.port).connect()
        except OSError:
            return None

    def close(self) -> None:
        for client in self.idle:
            client.close()


def random_request(case: Case) -> dict[str, Any]:
    """Return options of a request with the shares and times of kit/sites/nappula-tables.toml."""
    spec = case.rng.choices(CLASSES, (51, 30, 19))[0]
    return {
        "class_name": spec["name"],
        "timeout": spec["give_up_s"] * case.rng.uniform(0.5, 1.0),
        "customer": case.rng.randrange(1000),
    }


async def send_at_random(case: Case, pools: list[Pool], rate: float, until: float) -> None:
    """Have the clients send so many requests a second in the mean, until this time of the case."""
    tasks: set[asyncio.Task] = set()
    next_at = case.now()
    while (next_at := next_at + case.rng.expovariate(rate)) < until:
        await asyncio.sleep(max(0.0, next_at - case.now()))
        task = asyncio.ensure_future(case.rng.choice(pools).ask(**random_request(case)))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
    if tasks:
        await asyncio.wait(tasks)


def judge(case: Case, told: dict[str, float] | None = None, drain_grace: float = 2.0) -> None:
    """Check the rules over all requests and attempts of a case."""
    by_id: dict[str, list[Attempt]] = {}
    for attempt in case.attempts:
        by_id.setdefault(attempt.request_id, []).append(attempt)
        if told and attempt.first_at > told.get(attempt.server.name, 1e9) + drain_grace + SLACK:
            late = attempt.first_at - told[attempt.server.name]
            case.fail(
                f"drain: {attempt.server.name} gets {attempt.request_id} {late:.3f} s after it was told"
            )
    for request_id in by_id:
        if request_id not in case.requests:
            case.fail(f"foreign work: {request_id}, which nobody sent")
    for request in case.requests.values():
        if request.excused:
            continue
        attempts = by_id.get(request.request_id, [])
        judge_answer(case, request, attempts)
        judge_attempts(case, request, attempts)


def judge_answer(case: Case, request: Request, attempts: list[Attempt]) -> None:
    """Check the answer to a request."""
    name = f"{request.request_id} ({request.class_name})"
    if request.closed_at is not None:
        return
    if request.answer is None:
        return case.fail(f"lost: {name}: {request.ended or 'no answer'}")
    late = request.answered_at - request.sent_at - request.timeout
    if late > ANSWER_GRACE + SLACK:
        case.fail(f"lost: {name} answered {late:.3f} s after its time")
    if request.kind == "served":
        values = {a.server.value(a) for a in attempts if a.outcome == "value"}
        if request.answer[1:] not in values:
            case.fail(f"wrong data: {name} is served {request.answer[:60]!r}, not {values}")
    if request.kind == "refused" and request.class_name == "dice-shuffle":
        ran = [a for a in attempts if a.outcome != "busy"]
        if ran:
            case.fail(f"refused: {name} refused though {len(ran)} attempts may have run")
    return None


def judge_attempts(case: Case, request: Request, attempts: list[Attempt]) -> None:
    """Check the attempts of a request."""
    name = f"{request.request_id} ({request.class_name})"
    for earlier, later in pairwise(attempts):
        if earlier.ended_at is None or earlier.ended_at > later.at + SLACK:
            case.fail(f"second copy: {name} at {later.server.name} while one is out at {earlier.server.name}")
        if request.class_name == "dice-shuffle" and earlier.outcome != "busy":
            case.fail(f"duplicate: {name} sent again after one that may have run ({earlier.outcome})")
        if request.class_name == "move-submit" and later.at - attempts[0].at > 5.0 + SLACK:
            case.fail(f"duplicate: {name} repeated {later.at - attempts[0].at:.3f} s after its first attempt")
    for attempt in attempts:
        if request.closed_at is not None and attempt.at > request.closed_at + 0.1 + SLACK:
            case.fail(f"lost: {name} begun {attempt.at - request.closed_at:.3f} s after its client closed")
        left = request.sent_at + request.timeout - attempt.first_at
        if attempt.timeout > max(left, 0) + 0.15 + SLACK:
            case.fail(f"time told: {name} {attempt.timeout:.3f} s with {left:.3f} s left")
        if request.answered_at is not None and attempt.at > request.answered_at + SLACK:
            case.fail(f"begun after the answer: {name}")


def summary(case: Case) -> str:
    """Return how the requests have ended, as one line."""
    kinds: dict[str, int] = {}
    for request in case.requests.values():
        kinds[request.kind] = kinds.get(request.kind, 0) + 1
    return f"{len(case.requests)} requests {kinds}, {len(case.attempts)} attempts"
