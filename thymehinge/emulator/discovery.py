"""Discovery: where the table servers stand, what befalls them, and what each gateway is told, and when."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace

from thymehinge import interface as api
from thymehinge.emulator.clock import Clock
from thymehinge.interface import LifecycleState, ListKind

TOLD = 0.05, 0.5  # s from a change until a gateway hears of it: an agent's pull and its way
NOTICE = 1.0  # s until discovery sees that a server is lost
DRAIN, BOOT, REPAIR = 2.0, 3.0, 10.0  # s of a restart's drain, of a start, until what was lost is back


@dataclass(frozen=True, slots=True)
class Layout:
    """How many there are of each: regions, zones in each, racks in each zone, and table servers in all."""

    servers: int
    regions: int = 3
    zones: int = 2
    racks: int = 4

    def __post_init__(self) -> None:
        if min(self.servers, self.regions, self.zones, self.racks) < 1:
            raise ValueError(f"a layout needs one of each at least: {self}")

    def place(self, number: int) -> tuple[str, int]:
        """The zone's name and the rack, numbered through, of a table server; neighbours stand apart."""
        zone = number % (self.regions * self.zones)
        rack = number // (self.regions * self.zones) % self.racks
        return f"r{zone % self.regions}z{zone // self.regions}", zone * self.racks + rack


@dataclass(frozen=True, slots=True)
class Rates:
    """Events a second: for each table server, rack or zone."""

    restart: float = 0.0
    server: float = 0.0
    rack: float = 0.0
    zone: float = 0.0

    def __post_init__(self) -> None:
        if min(self.restart, self.server, self.rack, self.zone) < 0:
            raise ValueError(f"rates are 0 or more: {self}")


class Discovery:
    """Keeps the list; `tell` takes it to a gateway, `change` is called as a server starts, drains, stops."""

    def __init__(
        self,
        clock: Clock,
        layout: Layout,
        rates: Rates,
        gateways: int,
        tell: Callable[[int, api.ServerList], None],
        change: Callable[[api.Server], None],
    ) -> None:
        self.clock, self.tell, self.change = clock, tell, change
        self.listed: dict[str, api.Server] = {}
        self.log: list[api.Server] = []  # every change; its length is the list's version
        self.seen: list[int | None] = [None] * gateways  # the version told; None before the first list
        self.under_way = [False] * gateways  # something will soon be told
        self.entries = [0] * gateways  # told to each
        self.busy: set[str] = set()  # servers that something befalls
        racks: dict[int, list[str]] = {}
        zones: dict[str, list[str]] = {}
        for number in range(layout.servers):
            name, (zone, rack) = f"t{number}", layout.place(number)
            entry = self.listed[name] = api.Server(name, zone=zone, cell=rack)
            change(entry)
            racks.setdefault(rack, []).append(name)
            zones.setdefault(zone, []).append(name)
        alone = [[name] for name in self.listed]
        self.groups: dict[str, list[list[str]]] = {
            "restart": alone,
            "server": alone,
            "rack": list(racks.values()),
            "zone": list(zones.values()),
        }
        for kind, groups in self.groups.items():
            self.next(kind, getattr(rates, kind) * len(groups))

    # What befalls the table servers.

    def next(self, kind: str, rate: float) -> None:
        if rate > 0:
            self.clock.after(self.clock.rng.exponential(1 / rate), self.strike, kind, rate)

    def strike(self, kind: str, rate: float) -> None:
        """One of the groups is hit, and the next event is drawn."""
        group = self.groups[kind][self.clock.rng.integers(len(self.groups[kind]))]
        if kind == "restart":
            self.restart(group[0])
        else:
            self.lose(group)
        self.next(kind, rate)

    def restart(self, name: str) -> bool:
        """Drain a server, stop it and start it anew; false where something befalls it already."""
        if name in self.busy:
            return False
        self.busy.add(name)
        self.change(replace(self.listed[name], state=LifecycleState.DRAINING))
        self.publish(name, LifecycleState.DRAINING)
        self.clock.after(DRAIN, self.stop, name)
        return True

    def stop(self, name: str) -> None:
        entry = self.listed[name]
        self.change(replace(entry, state=LifecycleState.GONE))
        self.publish(name, LifecycleState.GONE)
        self.clock.after(BOOT, self.start, entry)

    def lose(self, names: Iterable[str]) -> None:
        """Servers fall silent at once; discovery sees it later, and later still they are back."""
        for name in names:
            if name not in self.busy:
                self.busy.add(name)
                self.change(replace(self.listed[name], state=LifecycleState.GONE))
                self.clock.after(NOTICE, self.publish, name, LifecycleState.GONE)
                self.clock.after(REPAIR, self.start, self.listed[name])

    def start(self, entry: api.Server) -> None:
        fresh = replace(entry, state=LifecycleState.RUNNING, started_at=self.clock.now)
        self.busy.discard(entry.name)
        self.change(fresh)
        self.listed[entry.name] = fresh
        self.publish(entry.name, LifecycleState.RUNNING)

    # What gateways are told.

    def publish(self, name: str, state: LifecycleState) -> None:
        """Note a change, and tell every gateway that has a list."""
        entry = replace(self.listed[name], state=state)
        if state is LifecycleState.GONE:
            del self.listed[name]
        else:
            self.listed[name] = entry
        self.log.append(entry)
        for gateway, seen in enumerate(self.seen):
            if seen is not None:
                self.soon(gateway)

    def soon(self, gateway: int) -> None:
        if not self.under_way[gateway]:
            self.under_way[gateway] = True
            self.clock.after(self.clock.rng.uniform(*TOLD), self.send_changes, gateway)

    def send_changes(self, gateway: int) -> None:
        """Tell the last of each server's changes since the version that the gateway has."""
        self.under_way[gateway], seen = False, self.seen[gateway]
        if seen is not None and seen < len(self.log):
            changed = {entry.name: entry for entry in self.log[seen:]}
            self.send(gateway, ListKind.DELTA, tuple(changed.values()))

    def send_list(self, gateway: int) -> None:
        """Tell the whole list now, as to a gateway that has just started."""
        self.send(gateway, ListKind.SNAPSHOT, tuple(self.listed.values()))

    def send(self, gateway: int, kind: ListKind, entries: tuple[api.Server, ...]) -> None:
        self.seen[gateway] = len(self.log)
        self.entries[gateway] += len(entries)
        self.tell(gateway, api.ServerList(kind, len(self.log), entries))
