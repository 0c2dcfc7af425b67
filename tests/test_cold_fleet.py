"""The work that 1 to 200 gateways together send to cold table servers.

In each window of `overload_window` a cold server may be sent N, the work that the settings allow, plus
2 sqrt(N) + 2 for random variation. `pytest -s` prints the worst excess over N in units of sqrt(N).
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


class ColdStartFleet(FleetModel):
    """A fleet with warm servers that the gateways already use, and cold servers that have not started.

    `utilization` and `background_load` (traffic from elsewhere) are fractions of the warm capacity;
    `mean_service_time` is in seconds.
    """

    def __init__(
        self,
        gateway_count: int,
        traffic_spread: str,
        seed: int,
        utilization: float,
        warm_count: int = 4,
        cold_count: int = 3,
        mean_service_time: float = 0.2,
        queue_limit: int = 80,
        background_load: float = 0.0,
        **overrides: float,
    ) -> None:
        rng, cores = random.Random(seed), 2
        weights = [
            1.0 if traffic_spread == "even" else rng.paretovariate(PARETO_SHAPE) for _ in range(gateway_count)
        ]
        super().__init__(
            {**COLD_SETTINGS, **overrides},
            weights,
            seed,
            utilization * warm_count * cores / mean_service_time,
            mean_service_time,
        )
        self.warm_servers, self.cold_servers = (
            [f"w{i}" for i in range(warm_count)],
            [f"c{i}" for i in range(cold_count)],
        )
        self.server_options = dict(cores=cores, queue_limit=queue_limit)
        for name in self.warm_servers:
            self.add_server(name, cold=False, background_load=background_load, **self.server_options)
        self.publish_list(self.warm_servers)
        self.run(WARMUP_TIME)

    def start_cold_servers(self, spread: float = 0.5, replaced_count: int = 0) -> None:
        """Start the cold servers, replace some warm ones and notify all gateways within `spread` seconds."""
        for name in self.cold_servers:
            self.add_server(name, **self.server_options)
        self.publish_list(self.warm_servers[replaced_count:] + self.cold_servers, spread)


def cold_start(fleet: ColdStartFleet) -> None:
    """Start the cold servers, and notify all gateways at once."""
    fleet.start_cold_servers(0.0)
    fleet.run(8.0)


def replacement(fleet: ColdStartFleet) -> None:
    """Replace half of the warm servers by cold ones."""
    fleet.start_cold_servers(replaced_count=len(fleet.warm_servers) // 2)
    fleet.run(8.0)


def gateway_restart(fleet: ColdStartFleet) -> None:
    """Restart 70% of the gateways shortly before the cold servers start."""
    fleet.restart_gateways(0.7, 1.0)
    fleet.run(0.5)
    fleet.start_cold_servers()
    fleet.run(8.0)


def traffic_jump(fleet: ColdStartFleet) -> None:
    """Increase traffic fourfold, beyond the capacity of all servers, before the cold servers start."""
    fleet.request_rate *= 4.0
    fleet.run(3.0)
    fleet.start_cold_servers()
    fleet.run(5.0)


def flapping_list(fleet: ColdStartFleet) -> None:
    """Increase traffic fourfold, and leave the cold servers out of every other snapshot."""
    fleet.request_rate *= 4.0
    fleet.start_cold_servers(0.05)
    for _ in range(12):
        fleet.run(0.2)
        fleet.publish_list(fleet.warm_servers, 0.05)
        fleet.run(0.06)
        fleet.publish_list(fleet.warm_servers + fleet.cold_servers, 0.05)
    fleet.run(0.5)


SCENARIOS = {  # with the parameters of the fleet
    cold_start: dict(utilization=0.9),
    replacement: dict(utilization=0.6),
    gateway_restart: dict(utilization=0.9),
    traffic_jump: dict(
        utilization=0.9, cold_count=1, queue_limit=4, background_load=0.2, overload_multiple=1.5
    ),
    flapping_list: dict(
        utilization=0.7,
        cold_count=2,
        mean_service_time=0.1,
        queue_limit=2,
        overload_window=2.5,
        overload_multiple=3.0,
    ),
}


@pytest.mark.parametrize("scenario", SCENARIOS, ids=lambda scenario: scenario.__name__)
@pytest.mark.parametrize("traffic_spread", TRAFFIC_SPREADS)
@pytest.mark.parametrize("gateway_count", GATEWAY_COUNTS)
def test_gateways_together_do_not_overload_cold_servers(scenario, traffic_spread, gateway_count):
    """Guards the cold budget of a server against the sum of what all gateways send."""
    worst_excess, cold_utilization, within_limit = -math.inf, 0.0, True
    for seed in SEEDS:
        fleet = ColdStartFleet(gateway_count, traffic_spread, seed, **SCENARIOS[scenario])
        scenario(fleet)
        excess, fleet_within_limit = fleet.worst_excess()
        worst_excess, within_limit, cold_utilization = (
            max(worst_excess, excess),
            within_limit and fleet_within_limit,
            cold_utilization + fleet.cold_utilization() / len(SEEDS),
        )
    print(
        f"{scenario.__name__}, {gateway_count} gateways, {traffic_spread} traffic: worst excess "
        f"{worst_excess:+.2f} sqrt(N); cold servers took {cold_utilization:.2f} of an even share"
    )
    assert within_limit and cold_utilization > 0


def cold_server_list(
    *names: str, started_at: float = 100.0, kind: api.ListKind = api.ListKind.SNAPSHOT
) -> api.ServerList:
    return api.ServerList(kind, 1, tuple(api.Server(n, started_at=started_at) for n in names))


def gateway_with_delisted_server() -> CheckedGateway:
    """Return a gateway with a request in flight at a cold server that the latest snapshot lacks."""
    gateway = CheckedGateway(make_settings(peers_enabled=False, slow_start_capacity=0.9))
    gateway.wrapped.fleet.warm_work_rate = 20.0
    gateway.deliver(cold_server_list("c"))
    assert gateway.in_flight(gateway.request())
    gateway.deliver(server_list("w"))
    return gateway


def test_delisted_server_keeps_state_when_listed_again():
    gateway = gateway_with_delisted_server()
    gateway.deliver(cold_server_list("c"))
    server = gateway.wrapped.fleet.servers["c"]
    assert len(server.cold_sends) == len(server.attempts) == 1 and server.load > 0
    gateway.end_attempt(1)
    assert not server.attempts and server.load == 0


@pytest.mark.parametrize("reason", ["gone", "started anew", "long ago", "too many"])
def test_removed_server_state_is_dropped(reason):
    gateway = gateway_with_delisted_server()
    match reason:
        case "gone":
            gateway.deliver(
                api.ServerList(
                    api.ListKind.DELTA, 2, (api.Server("c", api.LifecycleState.GONE, started_at=100.0),)
                )
            )
        case "long ago":
            gateway.run(DELISTED_TTL + 1.0)
            assert not gateway.wrapped.fleet.delisted
        case "too many":
            for i in range(2):
                gateway.deliver(cold_server_list(*[f"x{i}.{j}" for j in range(MAX_DELISTED)]))
            gateway.deliver(server_list("w"))
            assert len(gateway.wrapped.fleet.delisted) == MAX_DELISTED
    gateway.deliver(cold_server_list("c", started_at=101.0 if reason == "started anew" else 100.0))
    server = gateway.wrapped.fleet.servers["c"]
    assert not server.cold_sends and not server.attempts and server.load == 0


def test_cold_send_must_start_within_budget_window():
    """Guards against sends that are counted in two budget windows but written in the same one."""
    gateway = CheckedGateway(make_settings(peers_enabled=False, slow_start_capacity=0.9))
    gateway.wrapped.fleet.warm_work_rate = 20.0
    gateway.deliver(cold_server_list("c"))
    gateway.request()
    (send,) = (action for _, action in gateway.action_log if isinstance(action, api.Send))
    assert send.start_deadline <= gateway.now + gateway.settings.overload_window
