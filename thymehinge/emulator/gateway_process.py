"""A real gateway as a process: its start, what the kernel tells of it, and its end; and a prober of it."""

from __future__ import annotations

import json
import os
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

from hdrh.histogram import HdrHistogram

ROOT = Path(__file__).parents[2]
HOST = "127.0.0.1"
PING, PONG = b"*1\r\n$4\r\nPING\r\n", b"+PONG\r\n"
LOOK = 0.002  # s between looks whether it is ready: short against a start
READY_MOST = 60.0  # s for a start, with a list of hundreds of thousands on a busy machine
ANSWER_MOST = 30.0  # s that a PING may wait before the gateway counts as hung
STOP_MOST = 10.0  # s from SIGTERM to SIGKILL: a drain takes as long as the longest deadline
LIMITS = {"cores": 1.0, "memory_mb": 192, "sockets": 1024}  # the most on the operators' days
SETTINGS: dict[str, Any] = {
    "balancers": 1,
    "slot_no": 0,
    "zone": "a",
    "discovery": "automatic",
    "bounds": {"cancel": True, "send_cap": 3, "conn_idle_s": 30.0, "connect_timeout_s": 0.25},
    "classes": [{"name": "lookup", "aim_s": 0.5, "give_up_s": 1.0, "repeat": "read_like"}],
    "contracts": [{"name": "village", "refill": 2.0, "burst": 8.0}],
    "obligations": {"cold_from": 0.3, "cold_s": 10.0, "stop_sending_within_s": 1.0}
    | {"fall_multiple": 3.0, "fall_s": 2.0},
}


class GatewayError(Exception):
    """A gateway that did not start or no longer answers; the text tells what it logged last."""


def resident(pid: int, field: str = "VmRSS") -> int:
    """Bytes of a process's memory from /proc/PID/status: VmRSS now, VmHWM at the most so far."""
    found = re.search(rf"^{field}:\s*(\d+) kB$", Path(f"/proc/{pid}/status").read_text(), re.MULTILINE)
    if found is None:
        raise GatewayError(f"process {pid} has no {field}: it has ended")
    return int(found[1]) * 1024


class GatewayProcess:
    """A gateway of this checkout, on a port that the system chose, as long as its `with` block lasts."""

    def __init__(
        self,
        discovery: str,
        *,
        settings: dict[str, Any] = SETTINGS,
        limits: dict[str, Any] = LIMITS,
        known: dict[str, Any] | None = None,
    ) -> None:
        self.config = {"name": "n0", "discovery": discovery, "seed": "1", "limits": limits, "known": known}
        self.config["settings"] = settings
        self.process: subprocess.Popen[bytes] | None = None

    def __enter__(self) -> GatewayProcess:
        self.folder = tempfile.TemporaryDirectory(prefix="gateway-")
        self.held = socket.socket()  # never listens: keeps the port from others until the gateway has it
        try:
            self.start(Path(self.folder.name))
        except BaseException:
            self.__exit__()
            raise
        return self

    def start(self, folder: Path) -> None:
        self.held.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.held.bind((HOST, 0))
        self.address: tuple[str, int] = self.held.getsockname()
        path, self.log_path = folder / "config.json", folder / "log"
        path.write_text(json.dumps(self.config | {"listen": "{}:{}".format(*self.address)}))
        environ = {k: v for k, v in os.environ.items() if not k.startswith("EDGE_")}
        environ |= {"EDGE_CONFIG": str(path), "PYTHONPATH": str(ROOT)}
        with self.log_path.open("wb") as log:
            self.started = time.monotonic()
            self.process = subprocess.Popen(
                [sys.executable, "-m", "thymehinge"], cwd=ROOT, env=environ, stdout=log, stderr=log
            )
        self.pid = self.process.pid

    def __exit__(self, *_: object) -> None:
        """Stop it, by SIGTERM first, and remove its files."""
        try:
            if self.process is not None:
                self.process.send_signal(signal.SIGTERM)
                self.process.wait(STOP_MOST)
        except subprocess.TimeoutExpired:
            pass
        finally:
            if self.process is not None:
                self.process.kill()
                self.process.wait()
            self.held.close()
            self.folder.cleanup()

    def ready(self) -> float:
        """Wait for +PONG; s since the process was started."""
        while time.monotonic() < self.started + READY_MOST:
            if self.process.poll() is not None:
                raise GatewayError(f"the gateway ended with {self.process.returncode}: {self.last_log()}")
            try:
                with self.connect() as client:
                    if ping(client) == PONG:
                        return time.monotonic() - self.started
            except ConnectionError:
                pass
            time.sleep(LOOK)
        raise GatewayError(f"not ready after {READY_MOST:g} s: {self.last_log()}")

    def connect(self) -> socket.socket:
        """A client's connection."""
        return socket.create_connection(self.address, ANSWER_MOST)

    def log(self) -> str:
        return self.log_path.read_text(encoding="utf-8", errors="replace")

    def last_log(self) -> str:
        return (self.log().splitlines() or ["it logged nothing"])[-1]

    def failures(self) -> list[str]:
        """What it has logged of calls to discovery that failed, a line each."""
        return [line for line in self.log().splitlines() if "WARNING discovery:" in line]

    def rss(self) -> int:
        """Bytes of memory now."""
        return resident(self.pid)

    def peak(self) -> int:
        """Bytes of memory at the most so far."""
        return resident(self.pid, "VmHWM")

    def cpu(self) -> float:
        """s of processor time so far, by the clock that clock_getcpuclockid(3) names.

        It is that of /proc/PID/stat, which counts in hundredths of a second, to the nanosecond.
        """
        return time.clock_gettime((~self.pid << 3) | 2)

    def descriptors(self) -> int:
        """File descriptors that are open now."""
        return len(os.listdir(f"/proc/{self.pid}/fd"))


def ping(client: socket.socket, times: int = 1) -> bytes:
    """So many PINGs in one write; their answers."""
    client.sendall(PING * times)
    answers = b""
    while answers.count(b"\r\n") < times:
        piece = client.recv(4096)
        if not piece:
            raise ConnectionError("closed in the middle of a PING")
        answers += piece
    return answers


class Prober:
    """Sends a PING each `PERIOD` on one connection and records how long each waits for its answer.

    A PING that waits for longer keeps those after it from being sent; the histogram counts them as if they
    had waited for what was left (coordinated omission).
    """

    PERIOD = 0.004  # s between PINGs
    RENEW = 1.5  # s after which it connects anew: who only sends PING is closed after 2 s
    UNIT = 1e-6  # s a count of the histogram

    def __init__(self, gateway: GatewayProcess) -> None:
        self.gateway = gateway
        self.waits = HdrHistogram(1, int(2 * ANSWER_MOST / self.UNIT), 3)

    def run(self, seconds: float) -> None:
        """Probe for so long, and until the answer to the last PING."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            with self.gateway.connect() as client:
                client.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                self.probe(client, min(end, time.monotonic() + self.RENEW))

    def probe(self, client: socket.socket, end: float) -> None:
        while (sent := time.monotonic()) < end:
            if ping(client) != PONG:
                raise GatewayError(f"no longer ready: {self.gateway.last_log()}")
            wait = time.monotonic() - sent
            counts = max(1, round(wait / self.UNIT))
            self.waits.record_corrected_value(counts, round(self.PERIOD / self.UNIT))
            time.sleep(max(0.0, self.PERIOD - wait))

    def percentile(self, share: float) -> float:
        """ms that this share (percent) of PINGs waited at most."""
        return self.waits.get_value_at_percentile(share) * self.UNIT * 1000
