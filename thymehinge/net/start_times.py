"""Start times of table servers on this process's clock, unaffected by steps of the wall clock.

Discovery gives start times in Unix time. Wall clocks may be stepped at any time, here or at the server, so an
age computed from them is accepted only if it agrees with the lists: a server that was missing from the
previous list has started since.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Iterable, Sequence
from dataclasses import replace
from typing import NamedTuple

from thymehinge.interface import LifecycleState, ListKind, Server

MAX_LISTING_DELAY = 5.0  # seconds from a server's start until discovery lists it
LISTING_DELAY_FRACTION = (
    0.25  # limit of that delay as a fraction of the slow start; more overrates cold servers
)
MAX_DELISTED = 1024  # delisted servers whose start times are kept


class StartTime(NamedTuple):
    """A server's start time in seconds, in Unix time as given by discovery and on the local clock."""

    unix_time: float
    local_time: float


class ListTime(NamedTuple):
    """When a list came, and the age in seconds above which a new start time in it is rejected, if any."""

    now: float
    max_age: float | None


class StartTimes:
    """Converts start times from Unix time to the time of `clock`, all in seconds.

    `slow_start_duration` is the time from a server's start until it has its full capacity; `wall_clock` gives
    the Unix time.
    """

    def __init__(
        self,
        slow_start_duration: float,
        clock: Callable[[], float],
        wall_clock: Callable[[], float] = time.time,
    ) -> None:
        self.clock, self.wall_clock = clock, wall_clock
        self.listing_delay = min(MAX_LISTING_DELAY, LISTING_DELAY_FRACTION * slow_start_duration)
        self.listed: dict[str, StartTime] = {}  # by server name
        self.delisted: dict[str, StartTime] = {}  # servers that may be listed again, oldest first
        self.last_list_at: float | None = None  # when discovery last sent a list

    def resolve(self, servers: Sequence[Server], kind: ListKind) -> tuple[Server, ...]:
        """Return the servers of a list with local start times; 0, for long ago, stays 0."""
        return self.resolve_part(servers, self.start_list(servers, kind))

    def start_list(self, servers: Sequence[Server], kind: ListKind) -> ListTime:
        """Record that a list has come; its parts are resolved by `resolve_part`."""
        now, max_age = self.clock(), None
        if kind is not ListKind.CACHED:  # a cached list is older than this process
            if self.last_list_at is not None:
                max_age = now - self.last_list_at + self.listing_delay
            self.last_list_at = now
        if kind is not ListKind.DELTA:
            self.delist(self.listed.keys() - {server.name for server in servers})
        return ListTime(now, max_age)

    def resolve_part(self, servers: Sequence[Server], received: ListTime) -> tuple[Server, ...]:
        """Return some servers of a list with local start times."""
        resolved = tuple(self.resolve_server(server, received.now, received.max_age) for server in servers)
        self.delist({server.name for server in servers if server.state is LifecycleState.GONE})
        return resolved

    def resolve_server(self, server: Server, now: float, max_age: float | None) -> Server:
        """Return the server with its local start time.

        A new start time is rejected if the age would exceed `max_age` (seconds), see `estimate_age`.
        """
        name, start = server.name, self.listed.get(server.name) or self.delisted.pop(server.name, None)
        if server.started_at <= 0:  # most servers of a large fleet; nothing needs to be stored
            self.listed.pop(name, None)
            return server
        if start is None or start.unix_time != server.started_at:
            start = StartTime(server.started_at, now - self.estimate_age(server.started_at, max_age))
        self.listed[name] = start
        return replace(server, started_at=start.local_time)

    def estimate_age(self, started_at: float, max_age: float | None) -> float:
        """Return the seconds since a new start time, given in Unix time.

        Returns 0 if the wall clocks are evidently wrong: the start time is in the future, or long before a
        list that did not contain the server.
        """
        age = self.wall_clock() - started_at
        if age < 0 or (max_age is not None and age > max_age):
            return 0.0
        return age

    def delist(self, names: Iterable[str]) -> None:
        """Move servers to the delisted ones, of which the latest MAX_DELISTED are kept."""
        for name in names:
            if (start := self.listed.pop(name, None)) is not None:
                self.delisted[name] = start
        for name in list(self.delisted)[: max(0, len(self.delisted) - MAX_DELISTED)]:
            del self.delisted[name]
