"""Simulated discovery: the table servers, their restarts and crashes, and the lists sent to gateways."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace

from thymehinge import interface as api
from thymehinge.emulator.clock import Clock
from thymehinge.interface import LifecycleState, ListKind

UPDATE_DELAY = 0.05, 0.5  # seconds from a change until a gateway receives it, uniformly distributed
DETECTION_DELAY = 1.0  # seconds until discovery detects a crash
DRAIN_TIME = 2.0  # seconds from the start of a restart until the server stops
STARTUP_TIME = 3.0  # seconds from the stop until the server runs again
REPAIR_TIME = 10.0  # seconds until a crashed server runs again


@dataclass(frozen=True, slots=True)
class Layout:
    """Number of table servers, and of the regions, zones and racks that they are spread over."""

    servers: int
    regions: int = 3
    zones_per_region: int = 2
    racks_per_zone: int = 4

    def __post_init__(self) -> None:
        """Raise ValueError if a number is below 1."""
        if min(self.servers, self.regions, self.zones_per_region, self.racks_per_zone) < 1:
            raise ValueError(f"layout needs at least one of each: {self}")

    def zone_and_rack(self, number: int) -> tuple[str, int]:
        """Return a server's zone and its rack, numbered over all zones; successive servers differ in zone."""
        zone = number % (self.regions * self.zones_per_region)
        rack = number // (self.regions * self.zones_per_region) % self.racks_per_zone
        return f"r{zone % self.regions}z{zone // self.regions}", zone * self.racks_per_zone + rack


@dataclass(frozen=True, slots=True)
class EventRates:
    """Events per second: restarts and crashes of each table server, crashes of each whole rack and zone."""

    restart: float = 0.0
    server: float = 0.0
    rack: float = 0.0
    zone: float = 0.0

    def __post_init__(self) -> None:
        """Raise ValueError if a rate is negative."""
        if min(self.restart, self.server, self.rack, self.zone) < 0:
            raise ValueError(f"event rates must not be negative: {self}")


class Discovery:
    """Keeps the server list and sends each gateway snapshots and deltas of it.

    `deliver_list` passes a list to a gateway; `on_state_change` is called when a server starts, drains or
    stops.
    """

    def __init__(
        self,
        clock: Clock,
        layout: Layout,
        rates: EventRates,
        gateways: int,
        deliver_list: Callable[[int, api.ServerList], None],
        on_state_change: Callable[[api.Server], None],
    ) -> None:
        self.clock, self.deliver_list, self.on_state_change = clock, deliver_list, on_state_change
        self.server_list: dict[str, api.Server] = {}
        self.changes: list[api.Server] = []  # since the start; the number of changes is the list's version
        self.sent_versions: list[int | None] = [None] * gateways  # None before a gateway's first list
        self.delta_scheduled = [False] * gateways
        self.entries_sent = [0] * gateways  # list entries, by gateway
        self.out_of_service: set[str] = set()  # servers that restart or have crashed
        racks: dict[int, list[str]] = {}
        zones: dict[str, list[str]] = {}
        for number in range(layout.servers):
            name, (zone, rack) = f"t{number}", layout.zone_and_rack(number)
            entry = self.server_list[name] = api.Server(name, zone=zone, cell=rack)
            on_state_change(entry)
            racks.setdefault(rack, []).append(name)
            zones.setdefault(zone, []).append(name)
        single_servers = [[name] for name in self.server_list]
        self.groups: dict[str, list[list[str]]] = {  # servers hit by one event, by kind of event
            "restart": single_servers,
            "server": single_servers,
            "rack": list(racks.values()),
            "zone": list(zones.values()),
        }
        for kind, groups in self.groups.items():
            self.schedule_event(kind, getattr(rates, kind) * len(groups))

    # Restarts and crashes of table servers.

    def schedule_event(self, kind: str, rate: float) -> None:
        if rate > 0:
            self.clock.call_later(self.clock.rng.exponential(1 / rate), self.run_event, kind, rate)

    def run_event(self, kind: str, rate: float) -> None:
        """Restart or crash a random group, and schedule the next event of this kind."""
        group = self.groups[kind][self.clock.rng.integers(len(self.groups[kind]))]
        if kind == "restart":
            self.restart(group[0])
        else:
            self.crash(group)
        self.schedule_event(kind, rate)

    def restart(self, name: str) -> bool:
        """Drain, stop and start a server; return False if it is out of service already."""
        if name in self.out_of_service:
            return False
        self.out_of_service.add(name)
        self.on_state_change(replace(self.server_list[name], state=LifecycleState.DRAINING))
        self.publish(name, LifecycleState.DRAINING)
        self.clock.call_later(DRAIN_TIME, self.stop, name)
        return True

    def stop(self, name: str) -> None:
        entry = self.server_list[name]
        self.on_state_change(replace(entry, state=LifecycleState.GONE))
        self.publish(name, LifecycleState.GONE)
        self.clock.call_later(STARTUP_TIME, self.start, entry)

    def crash(self, names: Iterable[str]) -> None:
        """Stop servers without a drain; delist them after DETECTION_DELAY, start them after REPAIR_TIME."""
        for name in names:
            if name not in self.out_of_service:
                self.out_of_service.add(name)
                self.on_state_change(replace(self.server_list[name], state=LifecycleState.GONE))
                self.clock.call_later(DETECTION_DELAY, self.publish, name, LifecycleState.GONE)
                self.clock.call_later(REPAIR_TIME, self.start, self.server_list[name])

    def start(self, entry: api.Server) -> None:
        started = replace(entry, state=LifecycleState.RUNNING, started_at=self.clock.now)
        self.out_of_service.discard(entry.name)
        self.on_state_change(started)
        self.server_list[entry.name] = started
        self.publish(entry.name, LifecycleState.RUNNING)

    # Updates to gateways.

    def publish(self, name: str, state: LifecycleState) -> None:
        """Record a change of the list, and schedule a delta for every gateway that has a list."""
        entry = replace(self.server_list[name], state=state)
        if state is LifecycleState.GONE:
            del self.server_list[name]
        else:
            self.server_list[name] = entry
        self.changes.append(entry)
        for gateway, version in enumerate(self.sent_versions):
            if version is not None:
                self.schedule_delta(gateway)

    def schedule_delta(self, gateway: int) -> None:
        if not self.delta_scheduled[gateway]:
            self.delta_scheduled[gateway] = True
            self.clock.call_later(self.clock.rng.uniform(*UPDATE_DELAY), self.send_delta, gateway)

    def send_delta(self, gateway: int) -> None:
        """Send the last change of each server since the version that the gateway has."""
        self.delta_scheduled[gateway], version = False, self.sent_versions[gateway]
        if version is not None and version < len(self.changes):
            changed = {entry.name: entry for entry in self.changes[version:]}
            self.send(gateway, ListKind.DELTA, tuple(changed.values()))

    def send_snapshot(self, gateway: int) -> None:
        """Send a snapshot without delay, as to a gateway that has just started."""
        self.send(gateway, ListKind.SNAPSHOT, tuple(self.server_list.values()))

    def send(self, gateway: int, kind: ListKind, entries: tuple[api.Server, ...]) -> None:
        self.sent_versions[gateway] = len(self.changes)
        self.entries_sent[gateway] += len(entries)
        self.deliver_list(gateway, api.ServerList(kind, len(self.changes), entries))
