"""Table servers: cores that take from one bounded queue in order, slow at first, drained before a stop."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from thymehinge import interface as api
from thymehinge.emulator.clock import Clock
from thymehinge.interface import LifecycleState, Result


@dataclass(frozen=True, slots=True)
class Kind:
    """What a table server is made of."""

    cores: int = 4
    room: int = 80  # requests that its queue holds
    cold_share: float = 0.25  # of its speed when it has just started
    cold_time: float = 10.0  # s until it has all of it

    def __post_init__(self) -> None:
        if self.cores < 1 or self.room < 0 or not 0 < self.cold_share <= 1 or self.cold_time < 0:
            raise ValueError(f"no table server can be made of {self}")


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt of a gateway's request: on its way, at work or over."""

    gateway: int
    life: int  # of the gateway, which may have been restarted since
    request: int
    number: int
    server: str
    work: float  # s of one core
    sent: float  # s on the clock
    over: bool = False


class TableServer:
    """One life of a table server; `answer` is called for each attempt that it ends."""

    def __init__(
        self, clock: Clock, entry: api.Server, kind: Kind, answer: Callable[[Attempt, Result], None]
    ) -> None:
        self.clock, self.entry, self.kind, self.answer = clock, entry, kind, answer
        self.state, self.busy = LifecycleState.RUNNING, 0
        self.queue: deque[Attempt] = deque()
        self.gateways: set[int] = set()  # whose attempts came

    def warmth(self) -> float:
        """The part of its speed that it has by now."""
        k, age = self.kind, self.clock.now - self.entry.started_at
        if self.entry.started_at <= 0 or age >= k.cold_time:
            return 1.0
        return k.cold_share + (1 - k.cold_share) * age / k.cold_time

    def report(self) -> dict[str, float]:
        """Its load, as an answer tells it."""
        return {"inflight": float(self.busy + len(self.queue)), "queue": float(len(self.queue))}

    def reach(self, attempt: Attempt) -> None:
        """An attempt comes in: a lost server is silent, a draining or full one turns it away."""
        if self.state is LifecycleState.GONE:
            return
        self.gateways.add(attempt.gateway)
        full = self.busy >= self.kind.cores and len(self.queue) >= self.kind.room
        if full or self.state is LifecycleState.DRAINING:
            self.answer(attempt, Result.REJECTED)
        elif self.busy < self.kind.cores:
            self.serve(attempt)
        else:
            self.queue.append(attempt)

    def serve(self, attempt: Attempt) -> None:
        self.busy += 1
        self.clock.after(attempt.work / self.warmth(), self.served, attempt)

    def served(self, attempt: Attempt) -> None:
        if self.state is LifecycleState.GONE:
            return
        self.busy -= 1
        while self.queue and self.busy < self.kind.cores:
            following = self.queue.popleft()
            if not following.over:
                self.serve(following)
        self.answer(attempt, Result.OK)
