"""A gateway process: its start, resource usage and stop, and a prober of its latency."""

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

ROOT = Path(__file__).parents[2]  # of the checkout
HOST = "127.0.0.1"
PING, PONG = b"*1\r\n$4\r\nPING\r\n", b"+PONG\r\n"
READY_POLL_INTERVAL = 0.002  # seconds
READY_TIMEOUT = 60.0  # seconds; enough for hundreds of thousands of servers on a busy machine
PING_TIMEOUT = 30.0  # seconds without an answer after which the gateway counts as hung
STOP_TIMEOUT = 10.0  # seconds from SIGTERM to SIGKILL; a drain takes up to the longest deadline
DEFAULT_LIMITS = {"cores": 1.0, "memory_mb": 192, "sockets": 1024}
DEFAULT_SETTINGS: dict[str, Any] = {
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
    """A gateway process failed to start, ended, stopped responding or did not apply its server list."""


def process_memory(pid: int, field: str = "VmRSS") -> int:
    """Return a process's memory in bytes from /proc/PID/status: VmRSS is current, VmHWM is the peak.

    Raises GatewayError if the process has ended.
    """
    found = re.search(rf"^{field}:\s*(\d+) kB$", Path(f"/proc/{pid}/status").read_text(), re.MULTILINE)
    if found is None:
        raise GatewayError(f"process {pid} has no {field}: it has ended")
    return int(found[1]) * 1024


class GatewayProcess:
    """A gateway of this checkout on a free port, running within a `with` block.

    `known` is a list of servers, in the format of discovery, that the gateway starts with.
    """

    def __init__(
        self,
        discovery: str,
        *,
        settings: dict[str, Any] = DEFAULT_SETTINGS,
        limits: dict[str, Any] = DEFAULT_LIMITS,
        known: dict[str, Any] | None = None,
    ) -> None:
        self.config = {"name": "n0", "discovery": discovery, "seed": "1", "limits": limits, "known": known}
        self.config["settings"] = settings
        self.process: subprocess.Popen[bytes] | None = None

    def __enter__(self) -> GatewayProcess:
        self.directory = tempfile.TemporaryDirectory(prefix="gateway-")
        self.port_holder = socket.socket()  # bound, never listens: reserves the port until the gateway has it
        try:
            self.start(Path(self.directory.name))
        except BaseException:
            self.__exit__()
            raise
        return self

    def start(self, directory: Path) -> None:
        """Write the configuration and start the process, which logs to a file in `directory`."""
        self.port_holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.port_holder.bind((HOST, 0))
        self.address: tuple[str, int] = self.port_holder.getsockname()
        config_path, self.log_path = directory / "config.json", directory / "log"
        config_path.write_text(json.dumps(self.config | {"listen": "{}:{}".format(*self.address)}))
        environ = {k: v for k, v in os.environ.items() if not k.startswith("EDGE_")}
        environ |= {"EDGE_CONFIG": str(config_path), "PYTHONPATH": str(ROOT)}
        with self.log_path.open("wb") as log:
            self.started_at = time.monotonic()
            self.process = subprocess.Popen(
                [sys.executable, "-m", "thymehinge"], cwd=ROOT, env=environ, stdout=log, stderr=log
            )
        self.pid = self.process.pid

    def __exit__(self, *_: object) -> None:
        """Stop the process, by SIGTERM and then SIGKILL, and remove its files."""
        try:
            if self.process is not None:
                self.process.send_signal(signal.SIGTERM)
                self.process.wait(STOP_TIMEOUT)
        except subprocess.TimeoutExpired:
            pass
        finally:
            if self.process is not None:
                self.process.kill()
                self.process.wait()
            self.port_holder.close()
            self.directory.cleanup()

    def wait_ready(self) -> float:
        """Wait until the gateway answers +PONG; return the seconds since the process was started.

        Raises GatewayError if the process ends, or is not ready within READY_TIMEOUT.
        """
        while time.monotonic() < self.started_at + READY_TIMEOUT:
            if self.process.poll() is not None:
                raise GatewayError(f"gateway exited with {self.process.returncode}: {self.last_log_line()}")
            try:
                with self.connect() as client:
                    if ping(client) == PONG:
                        return time.monotonic() - self.started_at
            except ConnectionError:
                pass
            time.sleep(READY_POLL_INTERVAL)
        raise GatewayError(f"gateway not ready after {READY_TIMEOUT:g} s: {self.last_log_line()}")

    def connect(self) -> socket.socket:
        """Open a client connection."""
        return socket.create_connection(self.address, PING_TIMEOUT)

    def read_log(self) -> str:
        return self.log_path.read_text(encoding="utf-8", errors="replace")

    def last_log_line(self) -> str:
        return (self.read_log().splitlines() or ["nothing was logged"])[-1]

    def discovery_warnings(self) -> list[str]:
        """Return the log lines about failed calls to discovery."""
        return [line for line in self.read_log().splitlines() if "WARNING discovery:" in line]

    def rss(self) -> int:
        """Return the resident memory in bytes."""
        return process_memory(self.pid)

    def peak_rss(self) -> int:
        """Return the peak resident memory in bytes."""
        return process_memory(self.pid, "VmHWM")

    def cpu_time(self) -> float:
        """Return the processor time used so far, in seconds.

        Reads the process's CPU clock, see clock_getcpuclockid(3): /proc/PID/stat counts in steps of 10 ms.
        """
        return time.clock_gettime((~self.pid << 3) | 2)

    def descriptor_count(self) -> int:
        """Return the number of open file descriptors."""
        return len(os.listdir(f"/proc/{self.pid}/fd"))


def ping(client: socket.socket, count: int = 1) -> bytes:
    """Send `count` PINGs in one write and return the answers.

    Raises ConnectionError if the gateway closes the connection.
    """
    client.sendall(PING * count)
    answers = b""
    while answers.count(b"\r\n") < count:
        data = client.recv(4096)
        if not data:
            raise ConnectionError("connection closed before all PINGs were answered")
        answers += data
    return answers


class Prober:
    """Sends PINGs at a fixed interval on one connection and records their latencies.

    A slow answer delays the PINGs after it. The histogram corrects for this coordinated omission and counts
    them with the latency that they would have had.
    """

    PING_INTERVAL = 0.004  # seconds
    RECONNECT_INTERVAL = 1.5  # seconds; a gateway closes connections that only send PING after 2 s
    RESOLUTION = 1e-6  # seconds per unit of the histogram

    def __init__(self, gateway: GatewayProcess) -> None:
        self.gateway = gateway
        self.latencies = HdrHistogram(1, int(2 * PING_TIMEOUT / self.RESOLUTION), 3)

    def run(self, seconds: float) -> None:
        """Send PINGs for `seconds`, and wait for the last answer."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            with self.gateway.connect() as client:
                client.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                self.probe(client, min(end, time.monotonic() + self.RECONNECT_INTERVAL))

    def probe(self, client: socket.socket, end: float) -> None:
        """Send PINGs on one connection until `end`; raise GatewayError if an answer is not +PONG."""
        while (sent_at := time.monotonic()) < end:
            if ping(client) != PONG:
                raise GatewayError(f"gateway is no longer ready: {self.gateway.last_log_line()}")
            latency = time.monotonic() - sent_at
            histogram_value = max(1, round(latency / self.RESOLUTION))
            self.latencies.record_corrected_value(
                histogram_value, round(self.PING_INTERVAL / self.RESOLUTION)
            )
            time.sleep(max(0.0, self.PING_INTERVAL - latency))

    def percentile(self, percent: float) -> float:
        """Return a percentile of the latencies, in ms."""
        return self.latencies.get_value_at_percentile(percent) * self.RESOLUTION * 1000
