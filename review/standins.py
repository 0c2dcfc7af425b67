"""Stand-ins for clients, table servers and discovery, and the start of gateways, for the review cases.

They follow the protocol page. Everything listens on loopback addresses and free ports.
"""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from contextlib import suppress
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
# how the wait for a message of a connection may end
ENDS = OSError, asyncio.IncompleteReadError, asyncio.CancelledError
READY_TIMEOUT = 30.0  # seconds in which a gateway has to be ready


class CannotRunError(Exception):
    """The case could not run; says nothing about the rule."""


class Record:
    """The record of a run: one line for each event, with the seconds since the start."""

    def __init__(self, path: Path) -> None:
        self.file, self.started_at = path.open("w"), time.monotonic()

    def line(self, text: str) -> None:
        self.file.write(f"{time.monotonic() - self.started_at:9.3f} {text}\n")
        self.file.flush()


def free_port(kind: int = socket.SOCK_STREAM) -> int:
    """Return a port of the loopback address that is free at the moment."""
    with socket.socket(type=kind) as probe:
        probe.bind((HOST, 0))
        return probe.getsockname()[1]


def encode(*words: bytes) -> bytes:
    """Encode a command as an array of bulk strings."""
    return b"*%d\r\n" % len(words) + b"".join(b"$%d\r\n%b\r\n" % (len(word), word) for word in words)


async def read_message(reader: asyncio.StreamReader) -> Any:
    """Read one RESP2 message: bytes for a bulk string, a list for an array, a str for any line."""
    line = await reader.readuntil(b"\r\n")
    kind, rest = line[:1], line[1:-2]
    if kind == b"$":
        size = int(rest)
        return None if size < 0 else (await reader.readexactly(size + 2))[:-2]
    if kind == b"*":
        return [await read_message(reader) for _ in range(int(rest))]
    return line[:-2].decode()


def request_fields(words: list[bytes]) -> dict[str, str]:
    """Return the names and values of a request's list."""
    return dict(pair.split("=", 1) for pair in words[3].decode().split(","))


class TableServer:
    """A table server: runs each command after its last byte, one connection's answers in order.

    `run` is a coroutine function that is given the words of a command and the connection's writer, and
    returns the answer, or None to say nothing. The default serves the request's id after `work` seconds.
    """

    def __init__(self, name: str, record: Record, work: float = 0.05, run: Any = None) -> None:
        self.name, self.record, self.work, self.run = name, record, work, run or self.serve
        self.health, self.born_ms = "Ready", 0

    async def listen(self) -> TableServer:
        """Start the server and return it."""
        server = await asyncio.start_server(self.on_connection, HOST, 0, backlog=1024, limit=2**18)
        self.address = "{}:{}".format(*server.sockets[0].getsockname())
        return self

    def entry(self) -> dict[str, Any]:
        """Return the server's entry in the list of discovery."""
        return {
            "host": self.name,
            "dial": self.address,
            "site": "vantaa-room",
            "class": "c2-standard",
            "block": 0,
            "health": self.health,
            "share": 1.0,
            "born_ms": self.born_ms,
        }

    async def serve(self, words: list[bytes], _: asyncio.StreamWriter) -> bytes:
        """Serve a request with its own id."""
        await asyncio.sleep(self.work)
        return served(words[2])

    async def on_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Run the commands of one connection; its end cancels what runs."""
        answers: asyncio.Queue[asyncio.Task] = asyncio.Queue()
        running: list[asyncio.Task] = []

        async def write_answers() -> None:
            while True:
                answer = await (await answers.get())
                if answer is not None:
                    writer.write(answer)

        writing = asyncio.create_task(write_answers())
        with suppress(*ENDS):
            while True:
                words = await read_message(reader)
                running.append(asyncio.create_task(self.run(words, writer)))
                answers.put_nowait(running[-1])
        for task in (writing, *running):
            task.cancel()
        writer.close()


def served(value: bytes) -> bytes:
    """Encode a table server's answer that serves a value."""
    return b"*3\r\n$%d\r\n%b\r\n$-1\r\n$-1\r\n" % (len(value), value)


class Discovery:
    """A discovery agent with whole lists and watches."""

    def __init__(self, servers: list[TableServer], seq: int = 1) -> None:
        self.servers, self.seq, self.changes, self.changed = servers, seq, {}, asyncio.Event()

    async def listen(self) -> Discovery:
        """Start the agent and return it."""
        server = await asyncio.start_server(self.on_connection, HOST, 0)
        self.address = "{}:{}".format(*server.sockets[0].getsockname())
        return self

    def tell(self, server: TableServer) -> None:
        """Tell a change of this server."""
        self.seq += 1
        self.changes[self.seq] = server
        self.changed.set()
        self.changed = asyncio.Event()

    def whole_list(self) -> dict[str, Any]:
        """Return the whole list, as in the configuration's `known`."""
        return {"seq": self.seq, "whole": True, "hosts": [s.entry() for s in self.servers]}

    async def answer(self, target: str) -> dict[str, Any]:
        """Return the answer to a call; a watch waits until there is something newer."""
        query = dict(p.split("=") for p in target.partition("?")[2].split("&") if p)
        if "since" not in query:
            return self.whole_list()
        since = int(query["since"])
        if since >= self.seq:
            with suppress(TimeoutError):
                await asyncio.wait_for(self.changed.wait(), int(query.get("timeout_ms", "0")) / 1000)
        newer = {s.name: s for seq, s in self.changes.items() if seq > since}
        return {"seq": self.seq, "whole": False, "hosts": [s.entry() for s in newer.values()]}

    async def on_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer the calls of one connection in order."""
        with suppress(*ENDS):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                body = json.dumps(await self.answer(head.split()[1].decode())).encode()
                writer.write(
                    b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%b"
                    % (len(body), body)
                )


def site_settings(gateway_count: int = 1, index: int = 0) -> dict[str, Any]:
    """Return the settings of a small deployment, with figures from inside the site's ranges."""
    plan = {"cap_rate": 0.0, "cap_slack": 0.0, "never_over_depth": 0.0, "excess_worth": 0.0, "max_out": 0}
    return {
        "azs": ["vantaa-room"],
        "balancers": gateway_count,
        "bounds": {
            "cancel": True,
            "conn_idle_s": 30.0,
            "connect_timeout_s": 0.25,
            "cpu_us_per_request": 0.0,
            "cpu_us_per_s": 693063,
            "max_open": 27722,
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
            request_class("table-view", 0.3, 1.0, 1.0, "read_like"),
            request_class("move-submit", 1.2, 5.0, 5.0, "idempotency_key"),
            request_class("dice-shuffle", 1.5, 6.0, 2.0, "non_idempotent"),
        ],
        "contracts": [
            plan | {"name": "free", "refill": 1.5, "burst": 8.0, "over_cost": 0.8, "value_factor": 0.5},
            plan | {"name": "club", "refill": 3.3, "burst": 13.0, "over_cost": 0.8, "value_factor": 0.72},
            plan
            | {"name": "association", "refill": 0.0, "burst": 0.0, "over_cost": 1.2, "value_factor": 1.2}
            | {"max_out": 4},
            plan
            | {"name": "federation", "refill": 18.0, "burst": 37.0, "over_cost": 0.0}
            | {"value_factor": 1.4, "excess_worth": 0.1},
        ],
        "discovery": "automatic",
        "family": "gate",
        "family_info": {
            "count_limit_s": 0.0,
            "counter_price": 0.0,
            "max_units": 6,
            "may_count": False,
            "meter_s": 0.0,
            "peer_in_per_s": 100.0,
            "post_paid": False,
        },
        "fees": {"cross_zone": 0.0, "late_fail": 0.069, "peer": 0.023, "probe": 0.0089, "waste": 0.16},
        "host_types": ["c2-standard"],
        "obligations": {
            "ask_within_s": 10.0,
            "cold_from": 0.21,
            "cold_s": 18.0,
            "fall_multiple": 3.0,
            "fall_s": 1.5,
            "grace_to_answer_s": 0.008,
            "stop_sending_within_s": 2.0,
        },
        "slot_no": index,
        "stage": 0,
        "stats": {"how": "pull", "names": ["qps"]},
        "tick_s": 0.002,
        "tiers": ["table-servers"],
        "weight_source": "nominal",
        "zone": "vantaa-room",
    }


def request_class(name: str, aim: float, give_up: float, worth: float, repeat: str) -> dict[str, Any]:
    """Return one class of the settings; keys are remembered by all table servers for 5 s."""
    return {
        "name": name,
        "aim_s": aim,
        "give_up_s": give_up,
        "importance": worth,
        "late_worth": 0.0,
        "repeat": repeat,
        "dedup_scope": "all",
        "dedup_window_s": 5.0,
        "streamed": False,
    }


class GatewayProcess:
    """A gateway started with the deploy file's `run` line, in a process group of its own."""

    def __init__(self, folder: Path, config: dict[str, Any]) -> None:
        self.path, self.listen = folder / "config.json", config["listen"]
        self.write_config(config)
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        inherited = {k: v for k, v in os.environ.items() if not k.startswith("EDGE_")}
        self.log = (folder / "gateway.log").open("w")
        self.process = subprocess.Popen(
            ["/bin/sh", "-c", run],
            cwd=ROOT,
            env=inherited | {"EDGE_CONFIG": str(self.path), "TMPDIR": str(folder)},
            stdin=subprocess.DEVNULL,
            stdout=self.log,
            stderr=self.log,
        )

    def write_config(self, config: dict[str, Any]) -> None:
        """Replace the configuration file."""
        fresh = self.path.with_suffix(".new")
        fresh.write_text(json.dumps(config))
        fresh.rename(self.path)

    async def wait_ready(self) -> None:
        """Wait until the gateway answers PING; raises CannotRunError if it doesn't in time."""
        host, port = self.listen.split(":")
        until = time.monotonic() + READY_TIMEOUT
        while time.monotonic() < until and self.process.poll() is None:
            with suppress(OSError, asyncio.IncompleteReadError):
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(encode(b"PING"))
                answer = await asyncio.wait_for(read_message(reader), 5.0)
                writer.close()
                if answer == "+PONG":
                    return
            await asyncio.sleep(0.02)
        raise CannotRunError("the gateway does not get ready")

    def memory_mb(self) -> float:
        """Return the resident memory in MB without pages of files, 0 once the process has ended."""
        with suppress(OSError):
            for line in Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
                if line.startswith("RssAnon"):
                    return int(line.split()[1]) / 1024
        return 0.0

    def end(self) -> None:
        """Kill the process, if it still runs, and wait for its end."""
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
        self.process.wait()
        self.log.close()


def gateway_config(
    discovery: Discovery, settings: dict[str, Any], sockets: int = 1024, memory_mb: int = 192
) -> dict[str, Any]:
    """Return the configuration of a gateway without peers, which knows the servers of discovery."""
    peer = f"{HOST}:{free_port(socket.SOCK_DGRAM)}"
    return {
        "name": "n0",
        "listen": f"{HOST}:{free_port()}",
        "discovery": discovery.address,
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
        "peer_listen": peer,
        "peers": [peer],
        "known": discovery.whole_list(),
        "settings": settings,
    }


def run_case(case: Any, folder: Path) -> int:
    """Run a case and return the script's exit code: 0 the rule held, 1 it was broken, 2 it could not run.

    `case` is a coroutine function that is given the record, a temporary folder, and whether to make trouble;
    it returns whether the rule held.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder / "record.txt")
    record.line(f"trouble: {'yes' if trouble else 'no'}")
    with tempfile.TemporaryDirectory() as name:
        try:
            held = asyncio.run(asyncio.wait_for(case(record, Path(name), trouble), 110.0))
        except Exception as error:
            record.line(f"could not run: {type(error).__name__}: {error}")
            return 2
    record.line("the rule held" if held else "the rule was broken")
    return 0 if held else 1
