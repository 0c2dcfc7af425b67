"""Tests of simulated fleets: the accounting of their parts, and the sensitivity of each slope."""

from __future__ import annotations

import pytest

from thymehinge import decisions
from thymehinge import interface as api
from thymehinge.emulator import hollow
from thymehinge.emulator.clock import Clock
from thymehinge.emulator.customers import Customers, QuotaMeter
from thymehinge.emulator.discovery import Discovery, EventRates, Layout
from thymehinge.emulator.fleet import Fleet, FleetSpec
from thymehinge.emulator.network import Network
from thymehinge.emulator.servers import Attempt, ServerSpec, TableServer
from thymehinge.emulator.slopes import read_ranges
from thymehinge.interface import LifecycleState, ListKind, Result

TINY_SIZES = hollow.Sizes((4, 8), 4, 6, (6, 24), 2.0)

CUSTOMER_INIT = decisions.CustomerQuota.__init__


def init_owned_by_every_gateway(self, plan, request, settings, now):
    """Make each gateway the owner of its customers."""
    CUSTOMER_INIT(self, plan, request, settings, now)
    self.owners = [settings.gateway_index] if self.owners else []


def slope_values(seed: int, *measurements) -> dict[str, float]:
    return {
        slope.name: slope.value for measurement in measurements for slope in measurement(TINY_SIZES, seed)
    }


def test_slopes_repeat_for_same_seed_and_their_ranges_are_readable(monkeypatch, tmp_path):
    monkeypatch.setattr(hollow, "SMALL_SIZES", TINY_SIZES)
    slopes = list(hollow.measure(True, 1))
    assert slopes == list(hollow.measure(True, 1)) != list(hollow.measure(True, 2))
    assert all(len(slope.description) < 90 and slope.value >= 0 for slope in slopes)
    page = tmp_path / "page.md"
    page.write_text("".join(f"| `{slope.name}` | 1 | 0 to 1 | x |\n" for slope in slopes))
    assert list(read_ranges(page)) == [slope.name for slope in slopes]


@pytest.mark.parametrize(
    ("measurement", "name", "target", "attribute", "value"),
    [
        (hollow.peer_send_rate_slopes, "gateway.messages.at_200", decisions, "PEER_INTAKE_FRACTION", 100.0),
        (hollow.peer_send_rate_slopes, "gateway.messages.at_200", decisions.QuotaCodec, "MAX_ENTRIES", 1),
        (hollow.peer_message_slopes, "gateway.messages.request", decisions, "QUOTA_RETRY_INTERVAL", 0.002),
        (
            hollow.customer_state_slopes,
            "gateway.customers.request",
            decisions.CustomerQuota,
            "is_idle",
            lambda self: False,
        ),
        (
            hollow.peer_message_slopes,
            "home.buckets.customer",
            decisions.CustomerQuota,
            "__init__",
            init_owned_by_every_gateway,
        ),
        (hollow.server_contact_slopes, "gateway.servers.met", decisions, "SELECTION_JITTER", 100.0),
    ],
)
def test_slope_grows_with_what_it_measures(monkeypatch, measurement, name, target, attribute, value):
    before = slope_values(1, measurement)[name]
    monkeypatch.setattr(target, attribute, value)
    assert slope_values(1, measurement)[name] > 1.2 * before


def test_no_peer_messages_if_peers_are_disabled():
    assert hollow.run_and_count(FleetSpec(4, 20.0), 1, 1.0).network.traffic.sent > 0
    fleet = hollow.run_and_count(FleetSpec(4, 20.0, peers_enabled=False), 1, 1.0)
    assert fleet.request_count > 0 and fleet.network.traffic.sent == 0
    assert not any(gateway.owned_quotas for gateway in fleet.gateways)


def test_every_datagram_is_delivered_lost_partitioned_or_over_limit():
    clock, delivered = Clock(1), []
    network = Network(
        clock,
        [0, 0, 1],
        20.0,
        lambda receiver, sender, body: delivered.append((receiver, sender)),
        loss_rate=0.2,
    )
    network.partitioned_regions.add(1)
    for _ in range(50):
        for sender, receiver in (0, 1), (0, 2), (2, 1):
            network.send(sender, receiver, b"12345")
    clock.run(1.0)
    traffic = network.traffic
    assert (
        traffic.sent == 150 == traffic.delivered + traffic.lost + traffic.partitioned + traffic.over_limit
        and traffic.bytes_sent == 750
    )
    assert traffic.partitioned == 100 and set(delivered) == {(1, 0)}
    assert (
        traffic.delivered == len(delivered) == 20
        and traffic.lost > 0
        and traffic.received_by == {1: 20 + traffic.over_limit}
    )
    network.partitioned_regions.clear()
    network.send(0, 1, b"")  # in another second, so within the receiver's limit
    network.loss_rate = 0.0
    network.send(0, 2, b"")
    clock.run(1.0)
    assert (2, 0) in delivered
    with pytest.raises(ValueError, match="257 bytes"):
        network.send(0, 1, bytes(257))


def test_deltas_applied_in_order_yield_full_list():
    clock, server_states = Clock(3), {}
    lists: list[dict[str, api.Server]] = [{}, {}, {}]
    kinds = []

    def deliver_list(gateway: int, event: api.ServerList) -> None:
        kinds.append(event.kind)
        if event.kind is ListKind.SNAPSHOT:
            lists[gateway].clear()
        for entry in event.servers:
            lists[gateway][entry.name] = entry
            if entry.state is LifecycleState.GONE:
                del lists[gateway][entry.name]

    rates = EventRates(restart=0.02, server=0.01, rack=0.005, zone=0.002)
    discovery = Discovery(
        clock,
        Layout(40),
        rates,
        3,
        deliver_list,
        lambda entry: server_states.update({entry.name: entry.state}),
    )
    discovery.send_snapshot(0)
    discovery.send_snapshot(1)
    assert lists[0] == discovery.server_list and len(lists[0]) == 40
    clock.run(60.0)
    discovery.send_snapshot(2)
    clock.run(60.0)
    for gateway in range(3):
        discovery.send_delta(gateway)
    assert lists[0] == lists[1] == lists[2] == discovery.server_list and ListKind.DELTA in kinds
    assert (
        any(entry.started_at > 0 for entry in discovery.server_list.values())
        and LifecycleState.GONE in server_states.values()
    )


def test_restart_and_zone_crash_send_only_changed_entries():
    fleet = Fleet(FleetSpec(2, 0.0, servers=12), 1)
    fleet.discovery.restart("t0")
    assert not fleet.discovery.restart("t0")  # its restart is in progress
    fleet.run(10.0)
    assert fleet.discovery.entries_sent == [12 + 3] * 2 and fleet.servers["t0"].entry.started_at > 0
    zone = fleet.discovery.groups["zone"][1]
    fleet.discovery.crash(zone)
    fleet.run(3.0)
    assert fleet.discovery.entries_sent == [15 + len(zone)] * 2
    assert all(zone[0] not in g.fleet.servers for g in fleet.gateways)
    fleet.run(10.0)
    assert all(len(g.fleet.servers) == 12 for g in fleet.gateways)


def table_server(**capacity: float) -> tuple[Clock, TableServer, list[tuple[float, Result]]]:
    clock, results = Clock(1), []
    entry = api.Server("t", started_at=clock.now)
    server = TableServer(
        clock,
        entry,
        ServerSpec(**capacity),
        lambda attempt, result: results.append((clock.now - entry.started_at, result)),
    )
    return clock, server, results


def send_attempts(server: TableServer, count: int) -> None:
    for i in range(count):
        server.receive(Attempt(i, 0, i, 0, "t", 1.0, 0.0))


def test_table_server_rejects_attempts_beyond_queue_limit():
    clock, server, results = table_server(cores=2, queue_limit=3, slow_start_duration=0.0)
    send_attempts(server, 7)
    assert results == [(0.0, Result.REJECTED)] * 2 and server.load_report() == {"inflight": 5.0, "queue": 3.0}
    server.state = LifecycleState.DRAINING  # finishes its attempts and accepts no new ones
    send_attempts(server, 1)
    assert len(results) == 3
    clock.run(10.0)
    assert [finished_at for finished_at, result in results if result is Result.OK] == [
        1.0,
        1.0,
        2.0,
        2.0,
        3.0,
    ]
    server.state = LifecycleState.GONE
    send_attempts(server, 1)
    assert len(results) == 8 and server.client_gateways == set(range(7))


def test_table_server_has_slow_start():
    clock, server, results = table_server(cores=1, slow_start_capacity=0.25, slow_start_duration=10.0)
    send_attempts(server, 1)
    clock.run(20.0)
    send_attempts(server, 1)
    clock.run(2.0)
    assert results == [(4.0, Result.OK), (21.0, Result.OK)]


def test_quota_meter_counts_units_over_quota():
    meter = QuotaMeter(rate=1.0, burst=2.0, tokens=2.0, updated_at=0.0)
    for now in 0.0, 0.0, 0.0, 1.0, 1.5:
        meter.record(now, 1.0)
    assert (meter.used, meter.over_quota) == (5.0, 1.5)


def test_arrivals_follow_rate_popularity_and_gateway_sets():
    customers = Customers(Clock(1), 10, 5.0)
    arrivals = [customers.draw_arrival() for _ in range(5000)]
    assert sum(delay for delay, _, _ in arrivals) == pytest.approx(100.0, rel=0.1)
    drawn_customers = [customer for _, customer, _ in arrivals]
    assert drawn_customers.count(0) > 3 * drawn_customers.count(9) > 0
    assert all(
        (gateway - customers.first_gateway[customer]) % 10 < customers.spread[customer]
        for _, customer, gateway in arrivals
    )


@pytest.mark.parametrize(
    "create",
    [
        lambda: Layout(0),
        lambda: EventRates(zone=-1.0),
        lambda: ServerSpec(cores=0),
        lambda: ServerSpec(slow_start_capacity=0.0),
        lambda: FleetSpec(3, 1.0, regions=0),
        lambda: Fleet(FleetSpec(0, 1.0), 1),
        lambda: Fleet(FleetSpec(3, -1.0), 1),
        lambda: Network(Clock(1), [0], 1.0, print, loss_rate=2.0),
    ],
)
def test_invalid_parameters_raise(create):
    with pytest.raises(ValueError):
        create()
