"""The work that 1 to 200 gateways together send to cold table servers.

In every window of `fall_time` a cold server may get N, the work that the settings allow, plus 2 sqrt(N) + 2
for random variation. Each test prints the worst excess over N, in units of sqrt(N) (`pytest -s`).
"""

from __future__ import annotations

import math
import random

import pytest
from fleetkit import FleetModel
from rules import CheckedGateway, make_settings, server_list

from thymehinge import interface as api
from thymehinge.decisions import DELISTED_TTL, MAX_DELISTED

GATEWAY_COUNTS, TRAFFIC_SPREADS, SEEDS = (1, 2, 3, 5, 20, 30, 200), ("even", "uneven"), range(3)
PARETO_SHAPE = 1.3  # shape of the Pareto distribution of traffic over gateways
COLD_SETTINGS = dict(
    slow_start_capacity=0.25, slow_start_duration=10.0, overload_multiple=2.0, overload_window=2.0, tick=0.001
)
WARMUP_TIME = 6.0  # seconds for gateways to estimate the work rate of warm servers


class ColdStartScenario(FleetModel):
    """A fleet with warm servers that gateways already use, and cold ones that are not started."""

    def __init__(
        self,
        gateways: int,
        spread: str,
        seed: int,
        load: float,
        warm: int = 4,
        cold: int = 3,
        work: float = 0.2,
        room: int = 80,
        other: float = 0.0,
        **changes: float,
    ) -> None:
        rng, cores = random.Random(seed), 2
        weights = [1.0 if spread == "even" else rng.paretovariate(PARETO_SHAPE) for _ in range(gateways)]
        super().__init__({**COLD_SETTINGS, **changes}, weights, seed, load * warm * cores / work, work)
        self.warm, self.cold = [f"w{i}" for i in range(warm)], [f"c{i}" for i in range(cold)]
        self.server_options = dict(cores=cores, queue_limit=room)
        for name in self.warm:
            self.add_server(name, cold=False, background_load=other, **self.server_options)
        self.publish_list(self.warm)
        self.run(WARMUP_TIME)

    def start_cold(self, spread: float = 0.5, replaced: int = 0) -> None:
        """Start the cold servers, replacing some warm ones; gateways are notified within `spread` seconds."""
        for name in self.cold:
            self.add_server(name, **self.server_options)
        self.publish_list(self.warm[replaced:] + self.cold, spread)


def cold_start(scenario: ColdStartScenario) -> None:
    """Cold servers start, and all gateways are notified at the same time."""
    scenario.start_cold(0.0)
    scenario.run(8.0)


def replacement(scenario: ColdStartScenario) -> None:
    """Cold servers replace half of the warm ones."""
    scenario.start_cold(replaced=len(scenario.warm) // 2)
    scenario.run(8.0)


def gateway_restart(scenario: ColdStartScenario) -> None:
    """70% of the gateways have just restarted."""
    scenario.restart_gateways(0.7, 1.0)
    scenario.run(0.5)
    scenario.start_cold()
    scenario.run(8.0)


def traffic_jump(scenario: ColdStartScenario) -> None:
    """Traffic grows fourfold, beyond the capacity of all servers, before the cold ones start."""
    scenario.request_rate *= 4.0
    scenario.run(3.0)
    scenario.start_cold()
    scenario.run(5.0)


def flapping_list(scenario: ColdStartScenario) -> None:
    """Traffic grows fourfold, and every other full list lacks the cold servers."""
    scenario.request_rate *= 4.0
    scenario.start_cold(0.05)
    for _ in range(12):
        scenario.run(0.2)
        scenario.publish_list(scenario.warm, 0.05)
        scenario.run(0.06)
        scenario.publish_list(scenario.warm + scenario.cold, 0.05)
    scenario.run(0.5)


SCENARIOS = {  # event and fleet: the worst cases found
    cold_start: dict(load=0.9),
    replacement: dict(load=0.6),
    gateway_restart: dict(load=0.9),
    traffic_jump: dict(load=0.9, cold=1, room=4, other=0.2, overload_multiple=1.5),
    flapping_list: dict(load=0.7, cold=2, work=0.1, room=2, overload_window=2.5, overload_multiple=3.0),
}


@pytest.mark.parametrize("event", SCENARIOS, ids=lambda event: event.__name__)
@pytest.mark.parametrize("spread", TRAFFIC_SPREADS)
@pytest.mark.parametrize("gateways", GATEWAY_COUNTS)
def test_cold_servers_are_not_overloaded_by_the_sum_of_all_gateways(event, spread, gateways):
    """Guards the cold budget, also where requests are rejected and where lists have gaps."""
    worst, used, held = -math.inf, 0.0, True
    for seed in SEEDS:
        scenario = ColdStartScenario(gateways, spread, seed, **SCENARIOS[event])
        event(scenario)
        units, kept = scenario.worst_excess()
        worst, held, used = max(worst, units), held and kept, used + scenario.cold_utilization() / len(SEEDS)
    print(
        f"{event.__name__}, {gateways} gateways, {spread}: at worst {worst:+.2f} root of N over N; "
        f"cold servers took {used:.2f} of an even share"
    )
    assert held and used > 0


def cold_list(
    *names: str, started: float = 100.0, kind: api.ListKind = api.ListKind.SNAPSHOT
) -> api.ServerList:
    return api.ServerList(kind, 1, tuple(api.Server(n, started_at=started) for n in names))


def gateway_with_delisted_server() -> CheckedGateway:
    """A gateway with a request in flight at a cold server that the last full list lacks."""
    checked = CheckedGateway(make_settings(peers_enabled=False, slow_start_capacity=0.9))
    checked.gateway.fleet.warm_work_rate = 20.0
    checked.deliver(cold_list("c"))
    assert checked.in_flight(checked.request())
    checked.deliver(server_list("w"))
    return checked


def test_a_server_that_one_full_list_lacks_keeps_its_state():
    checked = gateway_with_delisted_server()
    checked.deliver(cold_list("c"))
    server = checked.gateway.fleet.servers["c"]
    assert len(server.cold_sends) == len(server.attempts) == 1 and server.load > 0
    checked.end_attempt(1)
    assert not server.attempts and server.load == 0


@pytest.mark.parametrize("how", ["gone", "started anew", "long ago", "too many"])
def test_the_state_of_a_removed_server_is_dropped(how):
    checked = gateway_with_delisted_server()
    match how:
        case "gone":
            checked.deliver(
                api.ServerList(
                    api.ListKind.DELTA, 2, (api.Server("c", api.LifecycleState.GONE, started_at=100.0),)
                )
            )
        case "long ago":
            checked.run(DELISTED_TTL + 1.0)
            assert not checked.gateway.fleet.delisted
        case "too many":
            for i in range(2):
                checked.deliver(cold_list(*[f"x{i}.{j}" for j in range(MAX_DELISTED)]))
            checked.deliver(server_list("w"))
            assert len(checked.gateway.fleet.delisted) == MAX_DELISTED
    checked.deliver(cold_list("c", started=101.0 if how == "started anew" else 100.0))
    server = checked.gateway.fleet.servers["c"]
    assert not server.cold_sends and not server.attempts and server.load == 0


def test_a_send_to_a_cold_server_must_start_within_its_budget_window():
    """Guards against sends decided in two windows and written in one."""
    checked = CheckedGateway(make_settings(peers_enabled=False, slow_start_capacity=0.9))
    checked.gateway.fleet.warm_work_rate = 20.0
    checked.deliver(cold_list("c"))
    checked.request()
    (send,) = (action for _, action in checked.action_log if isinstance(action, api.Send))
    assert send.start_deadline <= checked.now + checked.settings.overload_window
