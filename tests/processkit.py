"""The program started as a process."""

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
PING, PONG = b"*1\r\n$4\r\nPING\r\n", b"+PONG\r\n"


def start(
    path: Path,
    config: object,
    as_deployed: bool = False,
    tree: Path = ROOT,
    log: Any = subprocess.PIPE,
    **environ: str,
) -> subprocess.Popen:
    """The program with this configuration, by the deploy file's `run` in a shell where that is asked for."""
    program = [sys.executable, "-m", "thymehinge"]
    if as_deployed:
        deployed = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        program = ["/bin/sh", "-c", deployed.replace(".venv/bin/python", sys.executable)]
    path.write_text(config if isinstance(config, str) else json.dumps(config))
    own = {k: v for k, v in os.environ.items() if not k.startswith("EDGE_")}
    return subprocess.Popen(
        program,
        cwd=tree,
        env=own | {"EDGE_CONFIG": str(path)} | environ,
        stderr=log,
        text=True,
    )


def free_port() -> int:
    """A port of the loopback address that the system has just had free."""
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return probe.getsockname()[1]


@asynccontextmanager
async def serving(
    path: Path, config: dict[str, Any], patience: float = 10.0, tree: Path = ROOT, **environ: str
) -> AsyncIterator[subprocess.Popen]:
    """The program as a process that has answered +PONG within so many seconds; killed at the end.

    Its log is a file: a pipe that nobody reads would hold it up once that is full.
    """
    log = path.with_suffix(".log")
    with log.open("w") as file:
        process = start(path, config, tree=tree, log=file, **environ)
    host, port = config["listen"].rsplit(":", 1)
    try:
        async with asyncio.timeout(patience):
            while not await is_ready(host, int(port)):
                assert process.poll() is None, f"it ended with {process.returncode}: {log.read_text()}"
                await asyncio.sleep(0.01)
        yield process
    finally:
        process.kill()
        process.communicate()


async def is_ready(host: str, port: int) -> bool:
    """Whether a new connection is answered +PONG."""
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
