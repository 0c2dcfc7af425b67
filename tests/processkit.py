"""Starts the program as a process and waits until it serves."""

from __future__ import annotations

import asyncio
import json
import os
import socket
import subprocess
import sys
import tomllib
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

ROOT = Path(__file__).parent.parent
HOST = "127.0.0.1"
PING = b"*1\r\n$4\r\nPING\r\n"
PONG = b"+PONG\r\n"


def start_gateway(
    path: Path,
    config: object,
    as_deployed: bool = False,
    root: Path = ROOT,
    log: Any = subprocess.PIPE,
    **environ: str,
) -> subprocess.Popen:
    """Write the configuration to `path` and start the program of the checkout at `root` with it.

    A string is written as it is, anything else as JSON. With `as_deployed`, a shell runs the deploy file's
    `run` command. `log` receives standard error, `environ` is added to the environment.
    """
    program = [sys.executable, "-m", "thymehinge"]
    if as_deployed:
        deployed = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        program = ["/bin/sh", "-c", deployed.replace(".venv/bin/python", sys.executable)]
    path.write_text(config if isinstance(config, str) else json.dumps(config))
    inherited = {k: v for k, v in os.environ.items() if not k.startswith("EDGE_")}
    return subprocess.Popen(
        program,
        cwd=root,
        env=inherited | {"EDGE_CONFIG": str(path)} | environ,
        stderr=log,
        text=True,
    )


def free_port() -> int:
    """Return a TCP port of the loopback address that is free at the moment."""
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return probe.getsockname()[1]


@asynccontextmanager
async def running_gateway(
    path: Path, config: dict[str, Any], start_timeout: float = 10.0, root: Path = ROOT, **environ: str
) -> AsyncIterator[subprocess.Popen]:
    """Run the program as a process that is ready to serve, and kill it at the end.

    Raises TimeoutError if it is not ready within `start_timeout` seconds. Its log goes to a file, since a
    full pipe that nobody reads would block the process.
    """
    log = path.with_suffix(".log")
    with log.open("w") as file:
        process = start_gateway(path, config, root=root, log=file, **environ)
    try:
        await wait_until_ready(process, config["listen"], start_timeout, log)
        yield process
    finally:
        process.kill()
        process.communicate()


async def wait_until_ready(process: subprocess.Popen, address: str, timeout: float, log: Path) -> None:
    """Wait until the gateway answers PING.

    Raises TimeoutError after `timeout` seconds, with the gateway's log and exit code. If its port was taken,
    the process that has it may not answer.
    """
    host, port = address.rsplit(":", 1)
    try:
        async with asyncio.timeout(timeout):
            while not await is_ready(host, int(port)):
                assert process.poll() is None, (
                    f"gateway exited with code {process.returncode}: {log.read_text()}"
                )
                await asyncio.sleep(0.01)
    except TimeoutError:
        raise TimeoutError(f"not ready, exit code {process.poll()}: {log.read_text()}") from None


async def is_ready(host: str, port: int) -> bool:
    """Return whether the gateway answers PING with +PONG on a new connection."""
    try:
        reader, writer = await asyncio.open_connection(host, port)
    except ConnectionError:
        return False
    try:
        writer.write(PING)
        return await reader.readline() == PONG
    except ConnectionError:
        return False
    finally:
        writer.close()
