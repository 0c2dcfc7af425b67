"""Simulated table servers: several cores, one bounded FIFO queue, slow start, and a drain before a stop."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from thymehinge import interface as api
from thymehinge.emulator.clock import Clock
from thymehinge.interface import LifecycleState, Result


@dataclass(frozen=True, slots=True)
class ServerSpec:
    """Capacity of a table server."""

    cores: int = 4
    queue_limit: int = 80  # requests
    slow_start_capacity: float = 0.25  # fraction of its speed just after its start
    slow_start_duration: float = 10.0  # seconds until full speed

    def __post_init__(self) -> None:
        """Raise ValueError if a value is out of range."""
        if (
            self.cores < 1
            or self.queue_limit < 0
            or not 0 < self.slow_start_capacity <= 1
            or self.slow_start_duration < 0
        ):
            raise ValueError(f"invalid table server: {self}")


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt of a gateway's request."""

    gateway: int  # index of the gateway
    incarnation: int  # of the gateway, which may have restarted since
    request_id: int
    index: int  # among the request's attempts
    server: str
    service_time: float  # seconds of one core at full speed
    sent_at: float  # seconds, simulated time
    finished: bool = False


class TableServer:
    """A table server from one start to the next; calls `on_finish` for each attempt that it answers."""

    def __init__(
        self,
        clock: Clock,
        entry: api.Server,
        spec: ServerSpec,
        on_finish: Callable[[Attempt, Result], None],
    ) -> None:
        self.clock, self.entry, self.spec, self.on_finish = clock, entry, spec, on_finish
        self.state, self.busy_cores = LifecycleState.RUNNING, 0
        self.queue: deque[Attempt] = deque()
        self.client_gateways: set[int] = set()  # gateways that have sent an attempt

    def capacity_fraction(self) -> float:
        """Return the fraction of full speed that the server has reached."""
        spec, age = self.spec, self.clock.now - self.entry.started_at
        if self.entry.started_at <= 0 or age >= spec.slow_start_duration:
            return 1.0
        return spec.slow_start_capacity + (1 - spec.slow_start_capacity) * age / spec.slow_start_duration

    def load_report(self) -> dict[str, float]:
        """Return the load that the server reports with an answer."""
        return {"inflight": float(self.busy_cores + len(self.queue)), "queue": float(len(self.queue))}

    def receive(self, attempt: Attempt) -> None:
        """Start, queue or reject an attempt; a stopped server does not answer."""
        if self.state is LifecycleState.GONE:
            return
        self.client_gateways.add(attempt.gateway)
        full = self.busy_cores >= self.spec.cores and len(self.queue) >= self.spec.queue_limit
        if full or self.state is LifecycleState.DRAINING:
            self.on_finish(attempt, Result.REJECTED)
        elif self.busy_cores < self.spec.cores:
            self.start_work(attempt)
        else:
            self.queue.append(attempt)

    def start_work(self, attempt: Attempt) -> None:
        self.busy_cores += 1
        self.clock.call_later(attempt.service_time / self.capacity_fraction(), self.finish_work, attempt)

    def finish_work(self, attempt: Attempt) -> None:
        """Free the core for queued attempts that the gateway still waits for, and answer."""
        if self.state is LifecycleState.GONE:
            return
        self.busy_cores -= 1
        while self.queue and self.busy_cores < self.spec.cores:
            queued = self.queue.popleft()
            if not queued.finished:
                self.start_work(queued)
        self.on_finish(attempt, Result.OK)
