"""Slopes of simulated fleets: peer messages, customer state, contacted servers and discovery traffic."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass

from thymehinge.decisions import PEER_INTAKE_FRACTION, QuotaCodec
from thymehinge.emulator.fleet import RECEIVE_LIMIT, Fleet, FleetSpec
from thymehinge.emulator.slopes import Slope

REQUEST_RATE = 10.0  # requests/s at a gateway, default
HIGH_REQUEST_RATES = 50.0, 200.0  # requests/s at a gateway, at which the limit on peer messages takes effect
PEER_SEND_LIMIT = PEER_INTAKE_FRACTION * RECEIVE_LIMIT  # datagrams/s that a gateway may send
WARMUP_TIME = 3.0  # seconds before counting, in which gateways learn latencies and customers
MANY_CUSTOMERS = 500  # for each gateway; most are rarely active
CUSTOMER_EXPIRY = 25.0  # seconds after which a gateway has dropped an idle customer
ZONE_OUTAGE_WINDOW = 15.0  # seconds that cover the crash of a zone, its detection and its return


@dataclass(frozen=True, slots=True)
class Sizes:
    """Sizes of the fleets and length of the measurements."""

    fleet_sizes: tuple[int, ...]  # gateways, in ascending order
    high_rate_gateways: int  # at the high request rates
    worst_case_gateways: int  # in the worst cases
    list_sizes: tuple[int, int]  # table servers in a short and in a long list
    window: float  # seconds of counting


SMALL_SIZES = Sizes((20, 60), 8, 20, (20, 80), 5.0)
FULL_SIZES = Sizes((25, 100, 400), 25, 60, (50, 200), 10.0)


def run_and_count(spec: FleetSpec, seed: int, seconds: float, warmup: float = WARMUP_TIME) -> Fleet:
    """Run a fleet for `warmup` seconds, reset its counters, run it for `seconds` and return it."""
    fleet = Fleet(spec, seed)
    fleet.run(warmup)
    fleet.reset_counters()
    fleet.run(seconds)
    return fleet


def ratio(dividend: float, divisor: float) -> float:
    """Divide; return 0 if the divisor is 0."""
    return dividend / divisor if divisor else 0.0


def peer_message_slopes(sizes: Sizes, seed: int) -> Iterator[Slope]:
    """Measure peer messages and bytes per request, their growth with the fleet, and skew over gateways."""
    per_request = []
    for gateways in sizes.fleet_sizes:
        fleet = run_and_count(FleetSpec(gateways, REQUEST_RATE), seed, sizes.window)
        per_request.append(ratio(fleet.network.traffic.sent, fleet.request_count))
    smallest, largest = sizes.fleet_sizes[0], sizes.fleet_sizes[-1]
    traffic, conditions = fleet.network.traffic, f"{largest} gateways, {REQUEST_RATE:g} requests/s each"
    received_by = traffic.received_by
    yield Slope("gateway.messages.request", per_request[-1], "peer messages a request", conditions)
    yield Slope(
        "gateway.messages.growth",
        ratio(per_request[-1], per_request[0]),
        "ratio",
        f"{largest} gateways to {smallest}",
    )
    entries = ratio(fleet.quota_entries_sent.total(), traffic.sent)
    yield Slope("gateway.entries.message", entries, "entries a message", conditions)
    yield Slope(
        "gateway.bytes.request",
        ratio(traffic.bytes_sent, fleet.request_count),
        "peer bytes a request",
        conditions,
    )
    busiest = max(received_by.values(), default=0)
    yield Slope(
        "home.asks.skew",
        ratio(busiest * largest, received_by.total()),
        "ratio",
        f"{conditions}; busiest to mean",
    )
    yield over_limit_slope("home.messages.refused", fleet)
    active_customers = {key for gateway in fleet.gateways for key in gateway.quotas}
    buckets = sum(len(gateway.owned_quotas) for gateway in fleet.gateways)
    yield Slope(
        "home.buckets.customer",
        ratio(buckets, len(active_customers)),
        "buckets an active customer",
        conditions,
    )


def over_limit_slope(name: str, fleet: Fleet) -> Slope:
    """Return the share of the received peer messages that the receivers' rate limit dropped."""
    traffic, spec = fleet.network.traffic, fleet.spec
    conditions = (
        f"{spec.gateways} gateways, {spec.request_rate:g} requests/s each; intake {spec.receive_limit:g}/s"
    )
    return Slope(
        name,
        ratio(traffic.over_limit, traffic.received_by.total()),
        "share of those received",
        conditions,
    )


def peer_send_rate_slopes(sizes: Sizes, seed: int) -> Iterator[Slope]:
    """Measure peer messages/s of a gateway at high request rates, where PEER_SEND_LIMIT applies."""
    for rate in HIGH_REQUEST_RATES:
        fleet = run_and_count(FleetSpec(sizes.high_rate_gateways, rate), seed, sizes.window, warmup=1.0)
        send_rate = fleet.network.traffic.sent / sizes.high_rate_gateways / sizes.window
        conditions = (
            f"{sizes.high_rate_gateways} gateways, {rate:g} requests/s each; limit {PEER_SEND_LIMIT:g}/s"
        )
        yield Slope(f"gateway.messages.at_{rate:g}", send_rate, "peer messages/s a gateway", conditions)
    yield over_limit_slope(f"home.messages.refused_at_{rate:g}", fleet)


def customer_state_slopes(sizes: Sizes, seed: int) -> Iterator[Slope]:
    """Count the customers and buckets a gateway keeps once idle ones are dropped as fast as new ones come."""
    gateways = sizes.fleet_sizes[0]
    seconds = 2 * CUSTOMER_EXPIRY
    fleet = run_and_count(
        FleetSpec(gateways, REQUEST_RATE, customers_per_gateway=MANY_CUSTOMERS), seed, seconds
    )
    entries = sum(len(g.owned_quotas) + len(g.quotas) for g in fleet.gateways)
    conditions = (
        f"{gateways} gateways, {REQUEST_RATE:g} requests/s and {MANY_CUSTOMERS} customers each, "
        f"after {seconds:g} s"
    )
    yield Slope(
        "gateway.customers.request", entries / gateways / REQUEST_RATE, "entries a request/s", conditions
    )


def server_contact_slopes(sizes: Sizes, seed: int) -> Iterator[Slope]:
    """Count table servers that a gateway sends to within the window, and gateways that send to a server.

    The number of connections follows from these.
    """
    gateways, contacted = sizes.fleet_sizes[0], []
    for servers in sizes.list_sizes:
        fleet = run_and_count(FleetSpec(gateways, REQUEST_RATE, servers), seed, sizes.window)
        contacted.append(sum(map(len, fleet.contacted_servers)) / gateways)
    short, long = sizes.list_sizes
    conditions = (
        f"{gateways} gateways, {REQUEST_RATE:g} requests/s each, {sizes.window:g} s, {long} table servers"
    )
    yield Slope("gateway.servers.met", contacted[1], "table servers a gateway", conditions)
    yield Slope(
        "gateway.servers.growth", contacted[1] / contacted[0], "ratio", f"list of {long} to one of {short}"
    )
    per_server = sum(len(server.client_gateways) for server in fleet.servers.values()) / long
    yield Slope("server.gateways.met", per_server, "gateways a table server", conditions)


def discovery_slopes(sizes: Sizes, seed: int) -> Iterator[Slope]:
    """Count the list entries sent to a gateway for restarted table servers, and for a crashed zone."""
    servers = sizes.list_sizes[1]
    fleet = Fleet(FleetSpec(5, 0.0, servers), seed)
    entries_sent, restarts = fleet.discovery.entries_sent, 20
    fleet.run(1.0)
    before = sum(entries_sent)
    for name in list(fleet.servers)[:restarts]:
        fleet.discovery.restart(name)
        fleet.run(1.0)
    fleet.run(CUSTOMER_EXPIRY)
    entries = (sum(entries_sent) - before) / 5 / restarts
    yield Slope("discovery.entries.restart", entries, "entries a gateway", f"{restarts} of {servers} in turn")
    zone, worst = fleet.discovery.groups["zone"][0], 0
    fleet.discovery.crash(zone)
    for _ in range(int(ZONE_OUTAGE_WINDOW)):
        before = list(entries_sent)
        fleet.run(1.0)
        worst = max(worst, *(new - old for new, old in zip(entries_sent, before, strict=True)))
    conditions = f"a gateway's worst second, zone of {len(zone)} of {servers} servers"
    yield Slope("discovery.entries.zone", worst / len(zone), "entries a server of the zone", conditions)


def peak_to_mean(fleet: Fleet, disrupt: Callable[[], None], seconds: float) -> float:
    """Return the peak messages/s within `seconds` after a disruption, relative to the mean before it."""
    disrupted_at, sent_before = int(fleet.clock.now), fleet.network.traffic.sent_by_second
    mean = sum(sent_before.values()) / (fleet.clock.now - fleet.counting_since)
    disrupt()
    fleet.run(seconds)
    sent_after = fleet.network.traffic.sent_by_second
    return ratio(max(sent_after[disrupted_at + i] for i in range(int(seconds))), mean)


def worst_case_slopes(sizes: Sizes, seed: int) -> Iterator[Slope]:
    """Measure peer messages after a restart of all gateways, and the effects of partitioning one region."""
    spec, seconds = FleetSpec(sizes.worst_case_gateways, REQUEST_RATE), sizes.window
    conditions = f"{sizes.worst_case_gateways} gateways, {REQUEST_RATE:g} requests/s each"
    fleet = run_and_count(spec, seed, seconds)
    worst = peak_to_mean(fleet, fleet.restart_gateways, seconds)
    yield Slope("restart.messages.worst", worst, "ratio", f"{conditions}; worst second to mean")

    fleet = run_and_count(spec, seed, seconds)
    mean = fleet.network.traffic.sent / seconds
    fleet.reset_counters()
    fleet.network.partitioned_regions.add(0)
    fleet.run(seconds)
    unanswered = 1 - ratio(fleet.quota_answers_delivered, fleet.quota_entries_sent[QuotaCodec.REQUEST])
    over_quota = over_quota_share(fleet)
    fleet.network.partitioned_regions.clear()
    fleet.run(seconds)
    busiest = max(fleet.network.traffic.sent_by_second.values(), default=0)
    partition = f"1 region of {spec.regions} cut off for {seconds:g} s"
    yield Slope("cut.asks.unanswered", unanswered, "share of asks, repeats too", f"{conditions}; {partition}")
    yield Slope(
        "cut.messages.worst", ratio(busiest, mean), "ratio", f"{partition}; worst second to mean before"
    )
    yield Slope("cut.units.beyond", over_quota, "share of units sent", f"{conditions}; {partition}")


def over_quota_share(fleet: Fleet) -> float:
    """Return the share of the units sent that exceeded the customers' quotas."""
    meters = fleet.customers.meters
    return ratio(sum(m.over_quota for m in meters), sum(m.used for m in meters))


def measure(small: bool, seed: int) -> Iterator[Slope]:
    """Measure all slopes of simulated fleets; the same seed gives the same values."""
    sizes = SMALL_SIZES if small else FULL_SIZES
    for measurement in (
        peer_message_slopes,
        peer_send_rate_slopes,
        customer_state_slopes,
        server_contact_slopes,
        discovery_slopes,
        worst_case_slopes,
    ):
        yield from measurement(sizes, seed)
