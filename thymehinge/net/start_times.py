"""When table servers started, on this process's own clock, which no step of the wall clock moves.

Discovery tells the start of a server in Unix time. Wall clocks may be set while we run, before we start, or
between a server's start and our hearing of it, so that the difference from our wall clock is worth no more
than what else is known: a server that the last list lacked has not run for long.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Iterable, Sequence
from dataclasses import replace
from typing import NamedTuple

from thymehinge.interface import LifecycleState, ListKind, Server

LISTING_LAG = 5.0  # s at most from a server's start until discovery lists it
LAG_PART = 0.25  # of the warm-up that this lag may be taken for at most: more would overrate a cold server
DEPARTED_MOST = 1024  # servers no longer listed whose starts are still known


class Start(NamedTuple):
    """The start of a server: as discovery told it (Unix time, s), and on our clock (s)."""

    told: float
    local: float


class StartTimes:
    """Turns the Unix times of starts into times of `clock` (s); `warm_up` is how long servers are cold (s).

    `wall` is the wall clock (Unix time, s).
    """

    def __init__(
        self, warm_up: float, clock: Callable[[], float], wall: Callable[[], float] = time.time
    ) -> None:
        self.clock, self.wall = clock, wall
        self.lag = min(LISTING_LAG, LAG_PART * warm_up)
        self.listed: dict[str, Start] = {}  # by server
        self.departed: dict[str, Start] = {}  # of servers no longer listed, which may come back as they were
        self.told_at: float | None = None  # when discovery last told anything

    def resolve(self, servers: Sequence[Server], kind: ListKind) -> tuple[Server, ...]:
        """The servers of a list with their starts on our clock; 0, which is long ago, stays 0."""
        now, age_most = self.clock(), None
        if kind is not ListKind.CACHED:  # that one is from before our own start
            if self.told_at is not None:
                age_most = now - self.told_at + self.lag
            self.told_at = now
        if kind is not ListKind.DELTA:
            self.depart(self.listed.keys() - {server.name for server in servers})
        resolved = tuple(self.resolve_one(server, now, age_most) for server in servers)
        self.depart({server.name for server in servers if server.state is LifecycleState.GONE})
        return resolved

    def resolve_one(self, server: Server, now: float, age_most: float | None) -> Server:
        name, known = server.name, self.listed.get(server.name) or self.departed.pop(server.name, None)
        if server.started_at <= 0:  # most servers of a large fleet: nothing is kept of them
            self.listed.pop(name, None)
            return server
        if known is None or known.told != server.started_at:
            known = Start(server.started_at, now - self.age(server.started_at, age_most))
        self.listed[name] = known
        return replace(server, started_at=known.local)

    def age(self, started: float, age_most: float | None) -> float:
        """Seconds since a start that was not known: 0 where the wall clock can't be right.

        Then the start lies in the future, or long before a list that lacked the server.
        """
        age = self.wall() - started
        if age < 0 or (age_most is not None and age > age_most):
            return 0.0
        return age

    def depart(self, names: Iterable[str]) -> None:
        """These servers are no longer listed; the starts of the latest such are kept."""
        for name in names:
            if (start := self.listed.pop(name, None)) is not None:
                self.departed[name] = start
        for name in list(self.departed)[: max(0, len(self.departed) - DEPARTED_MOST)]:
            del self.departed[name]
