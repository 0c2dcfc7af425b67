"""Discovery over HTTP: the whole list, then watch after watch on one connection."""

from __future__ import annotations

import asyncio
import json
import logging
import math
from collections.abc import Callable
from dataclasses import dataclass
from time import monotonic
from typing import Any

from thymehinge import interface as api
from thymehinge.net.call_schedule import CALLS_MOST, SLOWEST, CallSchedule
from thymehinge.net.http import HttpClient

SIZE_PART = 1 / 12  # of our memory that an answer's bytes may take: reading a list takes 8 times its bytes

log = logging.getLogger(__name__)

AWAY = OSError  # no answer, TimeoutError among them: calls cost it nothing
STATES = {
    "Ready": api.LifecycleState.RUNNING,
    "Terminating": api.LifecycleState.DRAINING,
    "Gone": api.LifecycleState.GONE,
}


@dataclass(frozen=True, slots=True)
class HostList:
    """An answer of discovery: the entries for the module and where each is dialled."""

    version: int
    whole: bool
    servers: tuple[api.Server, ...]
    dials: dict[str, tuple[str, int]]
    bad: tuple[str, ...] = ()  # what is wrong with the entries that are left out


def read_list(raw: Any) -> HostList:
    """A list in discovery's form; ValueError where it is not one. A bad entry harms no other."""
    if not isinstance(raw, dict) or not isinstance(raw.get("hosts"), list):
        raise ValueError("server list: not an object with hosts")
    version = raw.get("seq")
    if not isinstance(version, int) or isinstance(version, bool):
        raise ValueError(f"server list: nonsensical seq {version!r}")
    servers, dials, bad = [], {}, []
    for entry in raw["hosts"]:
        try:
            server, dial = read_host(entry)
        except ValueError as error:
            bad.append(str(error))
            continue
        servers.append(server)
        if dial is not None:
            dials[server.name] = dial
    return HostList(version, bool(raw.get("whole")), tuple(servers), dials, tuple(bad))


def read_host(entry: Any) -> tuple[api.Server, tuple[str, int] | None]:
    """One entry and its address, which one that is gone may lack."""
    try:
        state = STATES[entry["health"]]
        host, _, port = str(entry.get("dial") or "").rpartition(":")
        dial = (host, int(port)) if host else None
        if dial is not None and not 0 < dial[1] < 65536:
            raise ValueError("no port")
        if dial is None and state is not api.LifecycleState.GONE:
            raise ValueError("no dial")
        weight, born = float(entry.get("share") or 0.0), float(entry.get("born_ms") or 0)
        if not (math.isfinite(weight) and math.isfinite(born)):
            raise ValueError("not finite")
        server = api.Server(
            str(entry["host"]),
            state,
            str(entry.get("site", "")),
            int(entry.get("block") or 0),
            weight,
            born / 1000,
        )
    except (KeyError, TypeError, AttributeError, ValueError, OverflowError) as error:
        raise ValueError(f"server list: nonsensical entry {str(entry)[:200]} ({error})") from None
    return server, dial


class Discovery:
    """Tells every list and change for good, from the address that the configuration names at the time.

    `memory` is what this process may take, in bytes; it bounds how much of an answer is read.
    """

    def __init__(self, tell: Callable[[HostList], None], memory: int) -> None:
        self.tell, self.size_most, self.address = tell, int(memory * SIZE_PART), ""
        self.task: asyncio.Task[None] | None = None

    def move(self, address: str) -> None:
        """Follow another address from now on, whole list first; a watch that is out is broken off."""
        if address == self.address:
            return
        self.stop()
        self.address = address
        self.task = asyncio.get_running_loop().create_task(follow(address, self.tell, self.size_most))

    def stop(self) -> None:
        if self.task is not None:
            self.task.cancel()


async def follow(address: str, tell: Callable[[HostList], None], size_most: int) -> None:
    """Tell what one address has, for ever."""
    follower = Follower(address, tell, size_most)
    try:
        await follower.run()
    finally:
        follower.close()


class Call:
    """A call that has no answer yet; `wait` is how long discovery may hold it as a watch (s), else 0."""

    def __init__(self, client: HttpClient, version: int | None, wait: float, now: float) -> None:
        self.client, self.wait, self.begun = client, wait, now
        self.watches = version is not None
        self.task = asyncio.get_running_loop().create_task(ask(client, version, wait))

    def drop(self) -> None:
        if not self.task.cancel() and not self.task.cancelled():
            self.task.exception()  # it has ended already, and nobody asks how
        self.client.close()


class Follower:
    """Follows one address: watch after watch on a kept connection, and the whole list after any trouble.

    Where a call is overdue another one is begun beside it, on a connection of its own: the first may be slow
    or lost, which can't be told. The first good answer counts, and the other calls are dropped.
    """

    def __init__(self, address: str, tell: Callable[[HostList], None], size_most: int) -> None:
        self.address, self.tell, self.size_most = address, tell, size_most
        self.schedule = CallSchedule(monotonic())
        self.version: int | None = None  # of the list that is held; None where the whole list is needed
        self.calls: list[Call] = []  # without an answer, the earliest first
        self.kept: HttpClient | None = None  # whose connection brought the last good answer

    async def run(self) -> None:
        while True:
            now = monotonic()
            if now >= self.schedule.next_at:
                self.begin(now)
            rest = max(0.0, self.schedule.next_at - monotonic())
            if not self.calls:
                await asyncio.sleep(rest)
                continue
            done, _ = await asyncio.wait(
                [call.task for call in self.calls], timeout=rest, return_when=asyncio.FIRST_COMPLETED
            )
            for call in [call for call in self.calls if call.task in done]:
                if call in self.calls:
                    self.end(call)

    def begin(self, now: float) -> None:
        """The next call: a watch, or for the whole list where one is overdue or has failed."""
        if self.calls:
            log.warning("discovery: no answer for %.1f s", now - self.calls[-1].begun)
            self.version = None
            self.schedule.overdue()
        while len(self.calls) >= CALLS_MOST or (self.calls and now - self.calls[0].begun > SLOWEST):
            patient = len(self.calls) > 1 and now - self.calls[0].begun <= SLOWEST
            self.calls.pop(int(patient)).drop()
        client, self.kept = self.kept or HttpClient(self.address, self.size_most), None
        wait = self.schedule.begin(now, watch=self.version is not None)
        self.calls.append(Call(client, self.version, wait, now))

    def end(self, call: Call) -> None:
        """A call has ended: its answer is told, or the whole list is asked for before long."""
        self.calls.remove(call)
        now = monotonic()
        try:
            hosts = read_list(call.task.result())
            self.tell(hosts)
            if hosts.bad:
                raise ValueError(f"{hosts.bad[0]}; {len(hosts.bad)} such entries are passed over")
        except Exception as error:  # whatever it was, the next call may do better
            log.warning("discovery: %s: %s", type(error).__name__, str(error)[:200])
            call.client.close()
            self.version = None
            return self.schedule.failed(now, call.begun, isinstance(error, AWAY), bool(self.calls))
        self.version, self.kept = hosts.version, call.client
        for other in self.calls:
            other.drop()
        self.calls.clear()
        return self.schedule.answered(now, now - call.begun - call.wait, call.watches)

    def close(self) -> None:
        """Break off all that is out."""
        for call in self.calls:
            call.drop()
        if self.kept is not None:
            self.kept.close()


async def ask(client: HttpClient, version: int | None, wait: float) -> Any:
    """One call: a watch where a version is held, else the whole list, which comes at once."""
    target = "/discovery/hosts"
    if version is not None:
        target = f"{target}?since={version}&timeout_ms={round(wait * 1000)}"
    return json.loads(await client.get(target, wait + SLOWEST))
