"""Hollow fleets: their stand-ins keep their books, and each slope follows what it measures."""

from __future__ import annotations

import pytest

from thymehinge import decisions
from thymehinge import interface as api
from thymehinge.emulator import hollow
from thymehinge.emulator.clock import Clock
from thymehinge.emulator.customers import Customers, Meter
from thymehinge.emulator.discovery import Discovery, Layout, Rates
from thymehinge.emulator.fleet import Fleet, Shape
from thymehinge.emulator.network import Network
from thymehinge.emulator.servers import Attempt, Kind, TableServer
from thymehinge.emulator.slopes import stated
from thymehinge.interface import LifecycleState, ListKind, Result

TINY = hollow.Sizes((4, 8), 4, 6, (6, 24), 2.0)


CUSTOMER = decisions.CustomerQuota.__init__


def at_home_everywhere(self, plan, request, settings, now):
    """Each gateway takes itself for a customer's home."""
    CUSTOMER(self, plan, request, settings, now)
    self.owners = [settings.gateway_index] if self.owners else []


def figures(seed: int, *parts) -> dict[str, float]:
    return {slope.name: slope.value for part in parts for slope in part(TINY, seed)}


def test_the_same_seed_gives_the_same_slopes_and_a_page_can_state_them_all(monkeypatch, tmp_path):
    monkeypatch.setattr(hollow, "SMALL", TINY)
    slopes = list(hollow.measure(True, 1))
    assert slopes == list(hollow.measure(True, 1)) != list(hollow.measure(True, 2))
    assert all(len(slope.how) < 90 and slope.value >= 0 for slope in slopes)
    page = tmp_path / "page.md"
    page.write_text("".join(f"| `{slope.name}` | 1 | 0 to 1 | x |\n" for slope in slopes))
    assert list(stated(page)) == [slope.name for slope in slopes]


@pytest.mark.parametrize(
    ("part", "name", "owner", "attribute", "value"),
    [
        (hollow.bounded, "gateway.messages.at_200", decisions, "PEER_INTAKE_FRACTION", 100.0),
        (hollow.bounded, "gateway.messages.at_200", decisions.QuotaCodec, "MAX_ENTRIES", 1),
        (hollow.sending, "gateway.messages.request", decisions, "QUOTA_RETRY_INTERVAL", 0.002),
        (hollow.holding, "gateway.customers.request", decisions.CustomerQuota, "is_idle", lambda self: False),
        (hollow.sending, "home.buckets.customer", decisions.CustomerQuota, "__init__", at_home_everywhere),
        (hollow.meeting, "gateway.servers.met", decisions, "SELECTION_JITTER", 100.0),
    ],
)
def test_a_slope_grows_with_what_it_measures(monkeypatch, part, name, owner, attribute, value):
    before = figures(1, part)[name]
    monkeypatch.setattr(owner, attribute, value)
    assert figures(1, part)[name] > 1.2 * before


def test_without_peers_nothing_is_sent_between_gateways():
    assert hollow.counted(Shape(4, 20.0), 1, 1.0).network.traffic.sent > 0
    fleet = hollow.counted(Shape(4, 20.0, peers=False), 1, 1.0)
    assert fleet.requests > 0 and fleet.network.traffic.sent == 0
    assert not any(gateway.owned_quotas for gateway in fleet.gateways)


def test_every_datagram_sent_is_delivered_lost_cut_or_refused():
    clock, heard = Clock(1), []
    network = Network(clock, [0, 0, 1], 20.0, lambda to, sender, body: heard.append((to, sender)), loss=0.2)
    network.cut_off.add(1)
    for _ in range(50):
        for sender, to in (0, 1), (0, 2), (2, 1):
            network.send(sender, to, b"12345")
    clock.run(1.0)
    t = network.traffic
    assert t.sent == 150 == t.delivered + t.lost + t.cut + t.refused and t.bytes == 750
    assert t.cut == 100 and set(heard) == {(1, 0)}
    assert t.delivered == len(heard) == 20 and t.lost > 0 and t.received == {1: 20 + t.refused}
    network.cut_off.clear()
    network.send(0, 1, b"")  # a new second
    network.loss = 0.0
    network.send(0, 2, b"")
    clock.run(1.0)
    assert (2, 0) in heard
    with pytest.raises(ValueError, match="257 bytes"):
        network.send(0, 1, bytes(257))


def test_changes_applied_in_order_give_the_whole_list():
    clock, alive = Clock(3), {}
    lists: list[dict[str, api.Server]] = [{}, {}, {}]
    kinds = []

    def tell(gateway: int, event: api.ServerList) -> None:
        kinds.append(event.kind)
        if event.kind is ListKind.SNAPSHOT:
            lists[gateway].clear()
        for entry in event.servers:
            lists[gateway][entry.name] = entry
            if entry.state is LifecycleState.GONE:
                del lists[gateway][entry.name]

    rates = Rates(restart=0.02, server=0.01, rack=0.005, zone=0.002)
    discovery = Discovery(
        clock, Layout(40), rates, 3, tell, lambda entry: alive.update({entry.name: entry.state})
    )
    discovery.send_list(0)
    discovery.send_list(1)
    assert lists[0] == discovery.listed and len(lists[0]) == 40
    clock.run(60.0)
    discovery.send_list(2)
    clock.run(60.0)
    for gateway in range(3):
        discovery.send_changes(gateway)
    assert lists[0] == lists[1] == lists[2] == discovery.listed and ListKind.DELTA in kinds
    assert (
        any(entry.started_at > 0 for entry in discovery.listed.values())
        and LifecycleState.GONE in alive.values()
    )


def test_a_restart_and_a_lost_zone_are_told_entry_by_entry():
    fleet = Fleet(Shape(2, 0.0, servers=12), 1)
    fleet.discovery.restart("t0")
    assert not fleet.discovery.restart("t0")  # it is under way
    fleet.run(10.0)
    assert fleet.discovery.entries == [12 + 3] * 2 and fleet.servers["t0"].entry.started_at > 0
    zone = fleet.discovery.groups["zone"][1]
    fleet.discovery.lose(zone)
    fleet.run(3.0)
    assert fleet.discovery.entries == [15 + len(zone)] * 2
    assert all(zone[0] not in g.fleet.servers for g in fleet.gateways)
    fleet.run(10.0)
    assert all(len(g.fleet.servers) == 12 for g in fleet.gateways)


def table_server(**kind: float) -> tuple[Clock, TableServer, list[tuple[float, Result]]]:
    clock, ends = Clock(1), []
    entry = api.Server("t", started_at=clock.now)
    server = TableServer(
        clock,
        entry,
        Kind(**kind),
        lambda attempt, result: ends.append((clock.now - entry.started_at, result)),
    )
    return clock, server, ends


def attempts(server: TableServer, count: int) -> None:
    for i in range(count):
        server.reach(Attempt(i, 0, i, 0, "t", 1.0, 0.0))


def test_a_table_server_turns_away_what_its_queue_does_not_hold():
    clock, server, ends = table_server(cores=2, room=3, cold_time=0.0)
    attempts(server, 7)
    assert ends == [(0.0, Result.REJECTED)] * 2 and server.report() == {"inflight": 5.0, "queue": 3.0}
    server.state = LifecycleState.DRAINING  # it ends what it has and takes nothing new
    attempts(server, 1)
    assert len(ends) == 3
    clock.run(10.0)
    assert [at for at, result in ends if result is Result.OK] == [1.0, 1.0, 2.0, 2.0, 3.0]
    server.state = LifecycleState.GONE
    attempts(server, 1)
    assert len(ends) == 8 and server.gateways == set(range(7))


def test_a_table_server_is_slow_at_first():
    clock, server, ends = table_server(cores=1, cold_share=0.25, cold_time=10.0)
    attempts(server, 1)
    clock.run(20.0)
    attempts(server, 1)
    clock.run(2.0)
    assert ends == [(4.0, Result.OK), (21.0, Result.OK)]


def test_a_meter_counts_what_no_quota_covers():
    meter = Meter(rate=1.0, burst=2.0, level=2.0, at=0.0)
    for at in 0.0, 0.0, 0.0, 1.0, 1.5:
        meter.use(at, 1.0)
    assert (meter.used, meter.beyond) == (5.0, 1.5)


def test_arrivals_keep_to_the_rate_the_ranks_and_the_sets():
    customers = Customers(Clock(1), 10, 5.0)
    drawn = [customers.draw() for _ in range(5000)]
    assert sum(gap for gap, _, _ in drawn) == pytest.approx(100.0, rel=0.1)
    whose = [who for _, who, _ in drawn]
    assert whose.count(0) > 3 * whose.count(9) > 0
    assert all((gateway - customers.first[who]) % 10 < customers.spread[who] for _, who, gateway in drawn)


@pytest.mark.parametrize(
    "make",
    [
        lambda: Layout(0),
        lambda: Rates(zone=-1.0),
        lambda: Kind(cores=0),
        lambda: Kind(cold_share=0.0),
        lambda: Shape(3, 1.0, regions=0),
        lambda: Fleet(Shape(0, 1.0), 1),
        lambda: Fleet(Shape(3, -1.0), 1),
        lambda: Network(Clock(1), [0], 1.0, print, loss=2.0),
    ],
)
def test_what_makes_no_sense_is_an_error(make):
    with pytest.raises(ValueError):
        make()
