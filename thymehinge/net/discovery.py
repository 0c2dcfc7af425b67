"""Service discovery over HTTP: a snapshot of the server list, then long polls for changes."""

from __future__ import annotations

import asyncio
import json
import logging
import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from time import monotonic
from typing import Any

from thymehinge import interface as api
from thymehinge.net.call_schedule import CALL_TIMEOUT, MAX_CALLS, CallSchedule
from thymehinge.net.http import HttpClient
from thymehinge.net.slices import SLICE_ENTRIES, run_in_slices

MAX_PREVIOUS_CALLS = 3  # to addresses before the current one, without an answer at the same time
PREVIOUS_ADDRESS_TIMEOUT = 2.0  # seconds; by protocol a previous address closes its connections after 1.5
STALE_LIST_PERIOD = 1.0  # seconds after a previous address's list in which no older one is taken
BODY_MEMORY_FRACTION = 1 / 12  # of the memory limit, for a response's body: parsing it takes 8 times its size

log = logging.getLogger(__name__)

UNREACHABLE_ERRORS = OSError  # no response, or none in time (TimeoutError): the call has added no load
LIFECYCLE_STATES = {
    "Ready": api.LifecycleState.RUNNING,
    "Terminating": api.LifecycleState.DRAINING,
    "Gone": api.LifecycleState.GONE,
}


@dataclass(frozen=True, slots=True)
class HostList:
    """A snapshot or delta of the server list, with the servers' addresses by name."""

    version: int
    is_snapshot: bool
    servers: tuple[api.Server, ...]
    addresses: dict[str, tuple[str, int]]
    entry_errors: tuple[str, ...] = ()  # one message for each invalid entry, which is left out


class HostListParser:
    """Parses a decoded response, a slice of its entries at a time; invalid entries are left out.

    Raises ValueError if the response is not a list.
    """

    def __init__(self, raw: Any) -> None:
        if not isinstance(raw, dict) or not isinstance(raw.get("hosts"), list):
            raise ValueError("server list: not an object with a list of hosts")
        version = raw.get("seq")
        if not isinstance(version, int) or isinstance(version, bool):
            raise ValueError(f"server list: invalid seq {version!r}")
        self.version, self.is_snapshot, self.entries = version, bool(raw.get("whole")), raw["hosts"]
        self.parsed_count = 0  # entries
        self.servers: list[api.Server] = []
        self.addresses: dict[str, tuple[str, int]] = {}
        self.entry_errors: list[str] = []

    def parse_slice(self, size: int) -> bool:
        """Parse the next entries, `size` at most; return whether there are more."""
        for entry in self.entries[self.parsed_count : self.parsed_count + size]:
            try:
                server, address = parse_host(entry)
            except ValueError as error:
                self.entry_errors.append(str(error))
                continue
            self.servers.append(server)
            if address is not None:
                self.addresses[server.name] = address
        self.parsed_count += size
        return self.parsed_count < len(self.entries)

    def result(self) -> HostList:
        """Return the list of the entries that have been parsed."""
        return HostList(
            self.version, self.is_snapshot, tuple(self.servers), self.addresses, tuple(self.entry_errors)
        )


def parse_host_list(raw: Any) -> HostList:
    """Parse a decoded response at once, see HostListParser."""
    parser = HostListParser(raw)
    parser.parse_slice(len(parser.entries))
    return parser.result()


async def parse_host_list_in_slices(raw: Any) -> HostList:
    """Parse a decoded response in slices, between which the event loop runs."""
    parser = HostListParser(raw)
    while parser.parse_slice(SLICE_ENTRIES):
        await asyncio.sleep(0)
    return parser.result()


def parse_host(entry: Any) -> tuple[api.Server, tuple[str, int] | None]:
    """Parse one entry into a server and its address, which is optional if the server is gone.

    Raises ValueError if the entry is invalid.
    """
    try:
        state = LIFECYCLE_STATES[entry["health"]]
        host, _, port = str(entry.get("dial") or "").rpartition(":")
        address = (host, int(port)) if host else None
        if address is not None and not 0 < address[1] < 65536:
            raise ValueError("port out of range")
        if address is None and state is not api.LifecycleState.GONE:
            raise ValueError("dial is missing")
        weight, started_ms = float(entry.get("share") or 0.0), float(entry.get("born_ms") or 0)
        if not (math.isfinite(weight) and math.isfinite(started_ms)):
            raise ValueError("share or born_ms is not finite")
        server = api.Server(
            str(entry["host"]),
            state,
            str(entry.get("site", "")),
            int(entry.get("block") or 0),
            weight,
            started_ms / 1000,
        )
    except (KeyError, TypeError, AttributeError, ValueError, OverflowError) as error:
        raise ValueError(f"server list: invalid entry {str(entry)[:200]} ({error})") from None
    return server, address


# Called with a list; may return the steps in which it is to be applied.
ListCallback = Callable[[HostList], Iterable[None] | None]


class StaleListError(Exception):
    """A new discovery address gave an older list than the address before it."""


class Discovery:
    """Passes every snapshot and delta from the configured discovery address to `on_list`.

    A change of the address does not cancel the oldest call to the previous one: if discovery is slow and the
    address changes often, no call would ever complete. Until the new address has given a list, newer lists of
    previous addresses are passed on.

    `memory_bytes` is the memory limit of this process; it bounds the size of a response.
    """

    def __init__(self, on_list: ListCallback, memory_bytes: int) -> None:
        self.on_list, self.max_body_bytes, self.address = (
            on_list,
            int(memory_bytes * BODY_MEMORY_FRACTION),
            "",
        )
        self.watcher: HostWatcher | None = None  # of the current address
        self.previous_calls: set[asyncio.Task[None]] = set()  # to previous addresses
        self.version: int | None = None  # of the latest list that was passed on
        self.previous_list_at = -math.inf  # monotonic time of the latest list of a previous address

    def set_address(self, address: str) -> None:
        """Switch to this address, starting with a snapshot."""
        if address == self.address:
            return
        self.address = address
        if self.watcher is not None:
            self.keep_oldest_call(self.watcher)
            self.watcher.stop()
        self.watcher = HostWatcher(address, self.on_current_list, self.max_body_bytes)
        self.watcher.start()

    def keep_oldest_call(self, watcher: HostWatcher) -> None:
        """Have the watcher's oldest call finished without it, unless MAX_PREVIOUS_CALLS are."""
        if len(self.previous_calls) < MAX_PREVIOUS_CALLS and watcher.calls:
            task = asyncio.get_running_loop().create_task(self.finish_call(watcher.calls.pop(0)))
            self.previous_calls.add(task)
            task.add_done_callback(self.previous_calls.discard)

    async def finish_call(self, call: Call) -> None:
        """Pass on the list of a call to a previous address if it comes within PREVIOUS_ADDRESS_TIMEOUT."""
        try:
            async with asyncio.timeout(PREVIOUS_ADDRESS_TIMEOUT):
                hosts = await call.task
            await run_in_slices(self.on_previous_list(hosts))
        except Exception as error:  # any error: the current address is called anyway
            log.info("discovery: previous address: %s: %s", type(error).__name__, str(error)[:200])
        finally:
            call.cancel()

    def on_previous_list(self, hosts: HostList) -> Iterable[None] | None:
        """Pass on a list of a previous address if it is newer than the latest one."""
        if self.version is not None and hosts.version <= self.version:
            return None
        log.info("discovery: list %d comes from a previous address", hosts.version)
        self.version, self.previous_list_at = hosts.version, monotonic()
        return self.on_list(hosts)

    def on_current_list(self, hosts: HostList) -> Iterable[None] | None:
        """Pass on a list of the current address.

        Raises StaleListError if a previous address has just given a newer list. Later, any version is passed
        on, since the addresses may number their lists differently.
        """
        is_older = self.version is not None and hosts.version < self.version
        if is_older and monotonic() < self.previous_list_at + STALE_LIST_PERIOD:
            raise StaleListError(f"version {hosts.version} after {self.version}")
        self.cancel_previous_calls()
        self.version = hosts.version
        return self.on_list(hosts)

    def cancel_previous_calls(self) -> None:
        for task in self.previous_calls:
            task.cancel()

    def stop(self) -> None:
        self.cancel_previous_calls()
        if self.watcher is not None:
            self.watcher.stop()


async def watch_hosts(address: str, on_list: ListCallback, max_body_bytes: int) -> None:
    """Pass the lists from one address to `on_list` until cancelled."""
    watcher = HostWatcher(address, on_list, max_body_bytes)
    try:
        await watcher.run()
    finally:
        watcher.close()


class Call:
    """A call without a response yet.

    `watch_timeout` is how long discovery may hold a watch (seconds), 0 for a snapshot.
    """

    def __init__(self, client: HttpClient, version: int | None, watch_timeout: float, now: float) -> None:
        self.client, self.watch_timeout, self.started_at = client, watch_timeout, now
        self.is_watch = version is not None
        self.task = asyncio.get_running_loop().create_task(fetch_hosts(client, version, watch_timeout))

    def cancel(self) -> None:
        if not self.task.cancel() and not self.task.cancelled():
            self.task.exception()  # retrieve it, or asyncio logs it as never retrieved
        self.client.close()


class HostWatcher:
    """Watches one address on a kept connection, and fetches a snapshot after any failure.

    If a call is overdue, another is started on a connection of its own, since the first may be slow or lost.
    The first valid response counts, and the other calls are cancelled.
    """

    def __init__(self, address: str, on_list: ListCallback, max_body_bytes: int) -> None:
        self.address, self.on_list, self.max_body_bytes = address, on_list, max_body_bytes
        self.schedule = CallSchedule(monotonic())
        self.version: int | None = None  # of the latest list; None if a snapshot is needed
        self.calls: list[Call] = []  # without a response, oldest first
        self.idle_client: HttpClient | None = None  # its connection carried the latest valid response
        self.task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Run in the background until `stop`."""
        self.task = asyncio.get_running_loop().create_task(self.run())
        self.task.add_done_callback(lambda _: self.close())

    def stop(self) -> None:
        if self.task is not None:
            self.task.cancel()

    async def run(self) -> None:
        """Make calls until cancelled."""
        while True:
            now = monotonic()
            if now >= self.schedule.next_call_at:
                self.start_call(now)
            delay = max(0.0, self.schedule.next_call_at - monotonic())
            if not self.calls:
                await asyncio.sleep(delay)
                continue
            done, _ = await asyncio.wait(
                [call.task for call in self.calls], timeout=delay, return_when=asyncio.FIRST_COMPLETED
            )
            for call in [call for call in self.calls if call.task in done]:
                if call in self.calls:
                    await self.finish_call(call)

    def start_call(self, now: float) -> None:
        """Start the next call: a watch, or a snapshot if another call is overdue or has failed.

        The oldest call is cancelled once it exceeds CALL_TIMEOUT; else, at MAX_CALLS, the second oldest is.
        """
        others_pending = bool(self.calls)
        if others_pending:
            log.warning("discovery: no answer for %.1f s", now - self.calls[-1].started_at)
            self.version = None
            self.schedule.on_overdue()
        while len(self.calls) >= MAX_CALLS or (self.calls and now - self.calls[0].started_at > CALL_TIMEOUT):
            keep_oldest = len(self.calls) > 1 and now - self.calls[0].started_at <= CALL_TIMEOUT
            self.calls.pop(int(keep_oldest)).cancel()
        client, self.idle_client = self.idle_client or HttpClient(self.address, self.max_body_bytes), None
        watch_timeout = self.schedule.start_call(now, self.version is not None, others_pending)
        self.calls.append(Call(client, self.version, watch_timeout, now))

    async def finish_call(self, call: Call) -> None:
        """Pass on the list of a completed call, or schedule a snapshot if the call has failed.

        A list with invalid entries is passed on without them, and counts as a failure.
        """
        self.calls.remove(call)
        now = monotonic()
        try:
            hosts = call.task.result()
            await run_in_slices(self.on_list(hosts))
            if hosts.entry_errors:
                raise ValueError(
                    f"{hosts.entry_errors[0]}; invalid entries left out: {len(hosts.entry_errors)}"
                )
        except Exception as error:  # any error: the next call may succeed
            log.warning("discovery: %s: %s", type(error).__name__, str(error)[:200])
            call.client.close()
            self.version = None
            return self.schedule.on_failure(
                now, call.started_at, isinstance(error, UNREACHABLE_ERRORS), bool(self.calls)
            )
        self.version, self.idle_client = hosts.version, call.client
        for other in self.calls:
            other.cancel()
        self.calls.clear()
        return self.schedule.on_answer(now, now - call.started_at - call.watch_timeout, call.is_watch)

    def close(self) -> None:
        """Cancel all calls and close the kept connection."""
        for call in self.calls:
            call.cancel()
        if self.idle_client is not None:
            self.idle_client.close()


async def fetch_hosts(client: HttpClient, version: int | None, watch_timeout: float) -> HostList:
    """Make one call and parse the response: a watch from this version, or a snapshot if it is None.

    Raises the errors of `HttpClient.get`, and ValueError if the body is not a list in JSON.
    """
    target = "/discovery/hosts"
    if version is not None:
        target = f"{target}?since={version}&timeout_ms={round(watch_timeout * 1000)}"
    body = await client.get(target, watch_timeout + CALL_TIMEOUT)
    return await parse_host_list_in_slices(json.loads(body))
