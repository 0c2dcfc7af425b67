"""Records how long a process has waited for a processor while ready to run, as the kernel counts it."""

from __future__ import annotations

import time
from bisect import bisect_left, bisect_right
from pathlib import Path

NANOSECONDS = 1e-9


def read_processor_wait(process_id: int) -> float:
    """Return the seconds that the threads of a process have waited for a processor since their start.

    Raises OSError if the process has ended or the kernel does not count it.
    """
    waited = 0
    for thread in Path(f"/proc/{process_id}/task").iterdir():
        _, wait_ns, _ = (thread / "schedstat").read_text().split()
        waited += int(wait_ns)
    return waited * NANOSECONDS


class ProcessorWait:
    """Samples of a process's wait, to be taken every few milliseconds."""

    def __init__(self, process_id: int) -> None:
        self.process_id = process_id
        self.times: list[float] = []  # monotonic
        self.waits: list[float] = []  # seconds in total, at these times

    def sample(self) -> None:
        """Record the wait so far, unless the process has ended."""
        try:
            waited = read_processor_wait(self.process_id)
        except OSError:
            return
        self.times.append(time.monotonic())
        self.waits.append(waited)

    def between(self, start: float, end: float) -> float:
        """Return the seconds waited between two times, rounded up to whole intervals between samples."""
        if not self.times:
            return 0.0
        first = max(0, bisect_right(self.times, start) - 1)
        last = min(len(self.times) - 1, bisect_left(self.times, end))
        return max(0.0, self.waits[last] - self.waits[first])
