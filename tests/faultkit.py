"""Fault injection into a gateway process: an LD_PRELOAD library (tests/faults.c) and its control file.

System calls fail, are interrupted, transfer fewer bytes or stall, and the wall clock steps.
"""

from __future__ import annotations

import functools
import mmap
import os
import shutil
import struct
import subprocess
import tempfile
from pathlib import Path

import pytest

FAULTS_SOURCE = Path(__file__).with_name("faults.c")
CONTROL_FIELDS = (  # of `struct control` in faults.c, in its order; *_share: affected calls per 1,000
    "clock_step_ms",
    "error",  # errno of calls that fail
    "socket_share",
    "accept_share",
    "connect_share",
    "open_share",
    "epoll_share",
    "interrupt_share",
    "short_share",
    "stall_share",
    "stall_ms",
    "seed",
    "longest_stall_ms",  # written by the process
)


@functools.cache
def build_library() -> Path:
    """Compile faults.c and return the shared library; skip the test if there is no C compiler."""
    compiler = shutil.which("cc")
    if compiler is None:
        pytest.skip("fault injection needs a C compiler (cc), and none was found")
    path = Path(tempfile.mkdtemp(prefix="faults-")) / "faults.so"
    subprocess.run([compiler, "-O1", "-shared", "-fPIC", "-o", path, FAULTS_SOURCE, "-ldl"], check=True)
    return path


class FaultInjector:
    """Controls the faults of one process, which must be started with `environ` in its environment."""

    def __init__(self, folder: Path, **fields: int) -> None:
        self.path = folder / "faults"
        self.path.write_bytes(bytes(8 * len(CONTROL_FIELDS)))
        with self.path.open("r+b") as file:
            self.control = mmap.mmap(file.fileno(), 8 * len(CONTROL_FIELDS))
        self.environ = {"LD_PRELOAD": os.fspath(build_library()), "FAULTS_CONTROL": os.fspath(self.path)}
        self.set(**{"seed": 1} | fields)

    def excess_stall(self) -> float:
        """Return the seconds by which the longest stall exceeded stall_ms, as happens on a busy machine."""
        longest, configured = self.get("longest_stall_ms"), self.get("stall_ms")
        return max(0, longest - configured) / 1000

    def get(self, name: str) -> int:
        return struct.unpack_from("q", self.control, 8 * CONTROL_FIELDS.index(name))[0]

    def set(self, **fields: int) -> None:
        """Set the named control fields; the others keep their values."""
        for name, value in fields.items():
            struct.pack_into("q", self.control, 8 * CONTROL_FIELDS.index(name), value)
