"""Cold table servers under the sum of what one to 200 gateways send.

In every window of the settings' length a cold server may get N, what the settings allow it then, and 2 root
of N + 2 for chance. Each test prints the worst excess over N, in units of root N (`pytest -s`).
"""

from __future__ import annotations

import math
import random

import pytest
from fleetkit import FleetModel
from rules import Drive, servers, settings

from thymehinge import interface as api
from thymehinge.decisions import DEPARTED_LIFE, DEPARTED_MOST

SIZES, SPREADS, SEEDS = (1, 2, 3, 5, 20, 30, 200), ("even", "uneven"), range(3)
TAIL = 1.3  # of the Pareto distribution of traffic over gateways: some see several times the mean
RULE = dict(
    slow_start_capacity=0.25, slow_start_duration=10.0, overload_multiple=2.0, overload_window=2.0, tick=0.001
)
LEARN = 6.0  # s for gateways to learn what warm servers bear


class Day(FleetModel):
    """Warm servers that gateways have learnt, and cold ones that are not yet started."""

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
        **rule: float,
    ) -> None:
        rng, cores = random.Random(seed), 2
        weights = [1.0 if spread == "even" else rng.paretovariate(TAIL) for _ in range(gateways)]
        super().__init__({**RULE, **rule}, weights, seed, load * warm * cores / work, work)
        self.warm, self.cold = [f"w{i}" for i in range(warm)], [f"c{i}" for i in range(cold)]
        self.kind = dict(cores=cores, room=room)
        for name in self.warm:
            self.add(name, cold=False, other=other, **self.kind)
        self.tell(self.warm)
        self.run(LEARN)

    def start_cold(self, spread: float = 0.5, replaced: int = 0) -> None:
        """The cold servers start, in place of some warm ones; gateways hear of it within the spread."""
        for name in self.cold:
            self.add(name, **self.kind)
        self.tell(self.warm[replaced:] + self.cold, spread)


def steady(day: Day) -> None:
    """Nothing but the start of cold servers, all gateways told in one moment."""
    day.start_cold(0.0)
    day.run(8.0)


def replaced(day: Day) -> None:
    """Cold servers take the place of half of the warm ones."""
    day.start_cold(replaced=len(day.warm) // 2)
    day.run(8.0)


def restarted(day: Day) -> None:
    """Seven gateways in ten have just begun anew."""
    day.restart(0.7, 1.0)
    day.run(0.5)
    day.start_cold()
    day.run(8.0)


def jump(day: Day) -> None:
    """Traffic grows to four times as much, past what all servers bear, before the cold ones start."""
    day.rate *= 4.0
    day.run(3.0)
    day.start_cold()
    day.run(5.0)


def flapping(day: Day) -> None:
    """After such a jump every other whole list lacks the cold servers."""
    day.rate *= 4.0
    day.start_cold(0.05)
    for _ in range(12):
        day.run(0.2)
        day.tell(day.warm, 0.05)
        day.run(0.06)
        day.tell(day.warm + day.cold, 0.05)
    day.run(0.5)


DAYS = {  # what happens, on which fleet: the hardest that a search over several hundred fleets and days found
    steady: dict(load=0.9),
    replaced: dict(load=0.6),
    restarted: dict(load=0.9),
    jump: dict(load=0.9, cold=1, room=4, other=0.2, overload_multiple=1.5),
    flapping: dict(load=0.7, cold=2, work=0.1, room=2, overload_window=2.5, overload_multiple=3.0),
}


@pytest.mark.parametrize("happens", DAYS, ids=lambda happens: happens.__name__)
@pytest.mark.parametrize("spread", SPREADS)
@pytest.mark.parametrize("gateways", SIZES)
def test_cold_servers_bear_the_sum_of_what_all_gateways_send(happens, spread, gateways):
    """Rejections counted as borne brought 6 root of N too much, a gap in a list taken as a new start 10."""
    worst, used, held = -math.inf, 0.0, True
    for seed in SEEDS:
        day = Day(gateways, spread, seed, **DAYS[happens])
        happens(day)
        units, kept = day.excess()
        worst, held, used = max(worst, units), held and kept, used + day.use() / len(SEEDS)
    print(
        f"{happens.__name__}, {gateways} gateways, {spread}: at worst {worst:+.2f} root of N over N; "
        f"cold servers took {used:.2f} of an even share"
    )
    assert held and used > 0


def cold_list(
    *names: str, started: float = 100.0, kind: api.ListKind = api.ListKind.SNAPSHOT
) -> api.ServerList:
    return api.ServerList(kind, 1, tuple(api.Server(n, started_at=started) for n in names))


def with_history() -> Drive:
    """A gateway that has one request out at a cold server, which the last whole list lacks."""
    d = Drive(settings(peers_enabled=False, slow_start_capacity=0.9))
    d.gateway.fleet.warm_rate = 20.0
    d.give(cold_list("c"))
    assert d.out(d.request())
    d.give(servers("w"))
    return d


def test_a_server_that_one_whole_list_lacked_keeps_its_history():
    d = with_history()
    d.give(cold_list("c"))
    b = d.gateway.fleet.backends["c"]
    assert len(b.sent) == len(b.pending) == 1 and b.out > 0
    d.end(1)
    assert not b.pending and b.out == 0


@pytest.mark.parametrize("how", ["gone", "started anew", "long ago", "too many"])
def test_a_server_that_has_gone_is_forgotten(how):
    d = with_history()
    match how:
        case "gone":
            d.give(
                api.ServerList(
                    api.ListKind.DELTA, 2, (api.Server("c", api.LifecycleState.GONE, started_at=100.0),)
                )
            )
        case "long ago":
            d.run(DEPARTED_LIFE + 1.0)
            assert not d.gateway.fleet.departed
        case "too many":
            for i in range(2):
                d.give(cold_list(*[f"x{i}.{j}" for j in range(DEPARTED_MOST)]))
            d.give(servers("w"))
            assert len(d.gateway.fleet.departed) == DEPARTED_MOST
    d.give(cold_list("c", started=101.0 if how == "started anew" else 100.0))
    b = d.gateway.fleet.backends["c"]
    assert not b.sent and not b.pending and b.out == 0


def test_a_send_to_a_cold_server_does_not_wait_past_the_time_of_its_budget():
    """What is decided in two windows may be written in one: the budget is half of what is allowed."""
    d = Drive(settings(peers_enabled=False, slow_start_capacity=0.9))
    d.gateway.fleet.warm_rate = 20.0
    d.give(cold_list("c"))
    d.request()
    (send,) = (action for _, action in d.log if isinstance(action, api.Send))
    assert send.start_deadline <= d.now + d.settings.overload_window
