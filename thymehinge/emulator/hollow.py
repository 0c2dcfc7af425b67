"""Slopes of hollow fleets: what a gateway sends, hears, holds and is told, in counts and bytes."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass

from thymehinge.decisions import PEER_INTAKE_FRACTION, QuotaCodec
from thymehinge.emulator.fleet import INTAKE, Fleet, Shape
from thymehinge.emulator.slopes import Slope

RATE = 10.0  # requests/s at a gateway, where nothing else is said
FAST = 50.0, 200.0  # requests/s at a gateway, to hold what it sends against its bound
BOUND = PEER_INTAKE_FRACTION * INTAKE  # datagrams/s that a gateway's pace allows it
SETTLE = 3.0  # s before counting begins: gateways learn latencies and meet their customers
CROWD = 500  # customers for each gateway, to see how many of them it keeps: most are seldom there
FORGOTTEN = 25.0  # s after which a gateway has forgotten a customer that stays away
ZONE_AWAY = 15.0  # s within which a lost zone is noticed, gone and back


@dataclass(frozen=True, slots=True)
class Sizes:
    """How large the fleets are, and how long they are looked at."""

    fleets: tuple[int, ...]  # gateways, from the smallest up
    fast: int  # gateways at the higher rates
    worst: int  # gateways of the worst cases
    lists: tuple[int, int]  # table servers in a short list and in a long one
    seconds: float  # of each window


SMALL = Sizes((20, 60), 8, 20, (20, 80), 5.0)
FULL = Sizes((25, 100, 400), 25, 60, (50, 200), 10.0)


def counted(shape: Shape, seed: int, seconds: float, settle: float = SETTLE) -> Fleet:
    """A fleet that has settled, and then was counted for so long."""
    fleet = Fleet(shape, seed)
    fleet.run(settle)
    fleet.count()
    fleet.run(seconds)
    return fleet


def each(total: float, of: float) -> float:
    """A ratio, 0 where there is nothing to divide by."""
    return total / of if of else 0.0


def sending(sizes: Sizes, seed: int) -> Iterator[Slope]:
    """What gateways send each other, by the fleet's size, and how uneven it comes in."""
    found = []
    for gateways in sizes.fleets:
        fleet = counted(Shape(gateways, RATE), seed, sizes.seconds)
        found.append(each(fleet.network.traffic.sent, fleet.requests))
    least, most = sizes.fleets[0], sizes.fleets[-1]
    traffic, how = fleet.network.traffic, f"{most} gateways, {RATE:g} requests/s each"
    received = traffic.received
    yield Slope("gateway.messages.request", found[-1], "peer messages a request", how)
    yield Slope("gateway.messages.growth", each(found[-1], found[0]), "ratio", f"{most} gateways to {least}")
    entries = each(fleet.entries.total(), traffic.sent)
    yield Slope("gateway.entries.message", entries, "entries a message", how)
    yield Slope("gateway.bytes.request", each(traffic.bytes, fleet.requests), "peer bytes a request", how)
    busiest = max(received.values(), default=0)
    yield Slope("home.asks.skew", each(busiest * most, received.total()), "ratio", f"{how}; busiest to mean")
    yield refusals("home.messages.refused", fleet)
    active = {key for gateway in fleet.gateways for key in gateway.quotas}
    buckets = sum(len(gateway.owned_quotas) for gateway in fleet.gateways)
    yield Slope("home.buckets.customer", each(buckets, len(active)), "buckets an active customer", how)


def refusals(name: str, fleet: Fleet) -> Slope:
    """The share of the messages that came to a gateway and were beyond its intake."""
    traffic, shape = fleet.network.traffic, fleet.shape
    how = f"{shape.gateways} gateways, {shape.rate:g} requests/s each; intake {shape.intake:g}/s"
    return Slope(name, each(traffic.refused, traffic.received.total()), "share of those received", how)


def bounded(sizes: Sizes, seed: int) -> Iterator[Slope]:
    """What a busy gateway sends, against the pace that the intake of its peers sets it."""
    for rate in FAST:
        fleet = counted(Shape(sizes.fast, rate), seed, sizes.seconds, settle=1.0)
        sent = fleet.network.traffic.sent / sizes.fast / sizes.seconds
        how = f"{sizes.fast} gateways, {rate:g} requests/s each; the pace is {BOUND:g}/s"
        yield Slope(f"gateway.messages.at_{rate:g}", sent, "peer messages/s a gateway", how)
    yield refusals(f"home.messages.refused_at_{rate:g}", fleet)


def holding(sizes: Sizes, seed: int) -> Iterator[Slope]:
    """What gateways keep of customers once the idle ones are forgotten."""
    gateways = sizes.fleets[0]
    seconds = 2 * FORGOTTEN  # as many are forgotten as come by then
    fleet = counted(Shape(gateways, RATE, customers=CROWD), seed, seconds)
    kept = sum(len(g.owned_quotas) + len(g.quotas) for g in fleet.gateways)
    how = f"{gateways} gateways, {RATE:g} requests/s and {CROWD} customers each, after {seconds:g} s"
    yield Slope("gateway.customers.request", kept / gateways / RATE, "entries a request/s", how)


def meeting(sizes: Sizes, seed: int) -> Iterator[Slope]:
    """How many table servers and gateways meet within a window; connections follow it."""
    gateways, met = sizes.fleets[0], []
    for servers in sizes.lists:
        fleet = counted(Shape(gateways, RATE, servers), seed, sizes.seconds)
        met.append(sum(map(len, fleet.met)) / gateways)
    short, long = sizes.lists
    how = f"{gateways} gateways, {RATE:g} requests/s each, {sizes.seconds:g} s, {long} table servers"
    yield Slope("gateway.servers.met", met[1], "table servers a gateway", how)
    yield Slope("gateway.servers.growth", met[1] / met[0], "ratio", f"list of {long} to one of {short}")
    from_all = sum(len(server.gateways) for server in fleet.servers.values()) / long
    yield Slope("server.gateways.met", from_all, "gateways a table server", how)


def telling(sizes: Sizes, seed: int) -> Iterator[Slope]:
    """What discovery tells a gateway of table servers that restart, and of a zone that is lost."""
    servers = sizes.lists[1]
    fleet = Fleet(Shape(5, 0.0, servers), seed)
    told, restarts = fleet.discovery.entries, 20
    fleet.run(1.0)
    before = sum(told)
    for name in list(fleet.servers)[:restarts]:
        fleet.discovery.restart(name)
        fleet.run(1.0)
    fleet.run(FORGOTTEN)
    entries = (sum(told) - before) / 5 / restarts
    yield Slope("discovery.entries.restart", entries, "entries a gateway", f"{restarts} of {servers} in turn")
    zone, worst = fleet.discovery.groups["zone"][0], 0
    fleet.discovery.lose(zone)
    for _ in range(int(ZONE_AWAY)):
        before = list(told)
        fleet.run(1.0)
        worst = max(worst, *(now - then for now, then in zip(told, before, strict=True)))
    how = f"a gateway's worst second, zone of {len(zone)} of {servers} servers"
    yield Slope("discovery.entries.zone", worst / len(zone), "entries a server of the zone", how)


def surge(fleet: Fleet, happens: Callable[[], None], seconds: float) -> float:
    """Messages of the worst whole second after something happens, over those of the mean second before."""
    began, before = int(fleet.clock.now), fleet.network.traffic.by_second
    mean = sum(before.values()) / (fleet.clock.now - fleet.began)
    happens()
    fleet.run(seconds)
    after = fleet.network.traffic.by_second
    return each(max(after[began + i] for i in range(int(seconds))), mean)


def worst_cases(sizes: Sizes, seed: int) -> Iterator[Slope]:
    """All gateways restarted at once; a region cut off, and back."""
    shape, seconds = Shape(sizes.worst, RATE), sizes.seconds
    how = f"{sizes.worst} gateways, {RATE:g} requests/s each"
    fleet = counted(shape, seed, seconds)
    worst = surge(fleet, fleet.restart, seconds)
    yield Slope("restart.messages.worst", worst, "ratio", f"{how}; worst second to mean")

    fleet = counted(shape, seed, seconds)
    mean = fleet.network.traffic.sent / seconds
    fleet.count()
    fleet.network.cut_off.add(0)
    fleet.run(seconds)
    unanswered = 1 - each(fleet.answers, fleet.entries[QuotaCodec.REQUEST])
    beyond = share_beyond(fleet)
    fleet.network.cut_off.clear()
    fleet.run(seconds)
    busiest = max(fleet.network.traffic.by_second.values(), default=0)
    region = f"1 region of {shape.regions} cut off for {seconds:g} s"
    yield Slope("cut.asks.unanswered", unanswered, "share of asks, repeats too", f"{how}; {region}")
    yield Slope("cut.messages.worst", each(busiest, mean), "ratio", f"{region}; worst second to mean before")
    yield Slope("cut.units.beyond", beyond, "share of units sent", f"{how}; {region}")


def share_beyond(fleet: Fleet) -> float:
    """The share of the units sent that no customer's quota covered."""
    meters = fleet.customers.meters
    return each(sum(m.beyond for m in meters), sum(m.used for m in meters))


def measure(small: bool, seed: int) -> Iterator[Slope]:
    """All slopes of hollow fleets; the same seed gives the same figures."""
    sizes = SMALL if small else FULL
    for part in (sending, bounded, holding, meeting, telling, worst_cases):
        yield from part(sizes, seed)
