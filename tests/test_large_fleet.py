"""Fleets with up to sixteen times the table servers: what a gateway needs grows only so far."""

from __future__ import annotations

import heapq
import random

import pytest
from rules import Drive, settings

from thymehinge import interface as api
from thymehinge.interface import DedupScope, Idempotency, Result

USUAL, LARGE = 200, 3200  # table servers
WORK = 0.05  # s that a server takes for a request


def entries(count: int) -> tuple[api.Server, ...]:
    return tuple(api.Server(f"s{i}", zone="abc"[i % 3], cell=i // 10) for i in range(count))


def play(servers: int, requests: int, rate: float, seed: int = 1, failing: frozenset[str] = frozenset()):
    """Who got a request, how often, at this rate (1/s) in a calm fleet of so many servers."""
    classes = (api.RequestClass("lookup", latency_target=1.0, timeout=3.0),)
    plan = api.Plan("hard", rate=10**4, burst=10**5)
    d = Drive(
        settings(classes=classes, plans=(plan,), gateway_count=1, peers_enabled=False, hedging_enabled=False),
        seed,
    )
    d.give(api.ServerList(api.ListKind.SNAPSHOT, 1, entries(servers)))
    rng, counts, ends = random.Random(seed), {}, []
    for _ in range(requests):
        due = d.now + rng.expovariate(rate)
        while ends and ends[0][0] <= due:
            at, request = heapq.heappop(ends)
            d.run(max(0.0, at - d.now))
            bad = d.sent[request][-1][0] in failing
            d.end(request, Result.ERROR if bad else Result.OK)
            if request not in d.final:
                heapq.heappush(ends, (d.now + WORK * rng.expovariate(1.0), request))
        d.run(max(0.0, due - d.now))
        request = d.request()
        if d.out(request):
            heapq.heappush(ends, (d.now + WORK * rng.expovariate(1.0), request))
    for tries in d.sent.values():
        for attempt in tries:
            counts[attempt[0]] = counts.get(attempt[0], 0) + 1
    return counts


@pytest.mark.parametrize(("requests", "rate"), [(100, 5.0), (1000, 50.0), (3000, 50.0), (2000, 200.0)])
def test_a_gateway_keeps_to_few_servers_of_a_large_fleet(requests, rate):
    """Guards descriptors and connections: each request picked among all servers, and dialled one."""
    usual, large = (len(play(servers, requests, rate)) for servers in (USUAL, LARGE))
    assert large <= 2 * usual + 40


def test_a_gateway_of_a_large_fleet_finds_others_where_those_it_knows_fail():
    """Guards service: half of the servers fail; it does not stay with those that it met first."""
    failing = frozenset(f"s{i}" for i in range(0, LARGE, 2))
    counts = play(LARGE, 2000, 50.0, failing=failing)
    good = sum(n for name, n in counts.items() if name not in failing)
    assert good > 0.75 * sum(counts.values())


def test_a_keyed_repeat_finds_the_servers_of_its_cell_in_a_large_fleet():
    """Guards the group of a key: its cell has ten servers, of which the gateway knows none yet."""
    keyed = api.RequestClass(
        "pay",
        latency_target=1.0,
        timeout=3.0,
        idempotency=Idempotency.KEYED,
        dedup_scope=DedupScope.CELL,
        dedup_window=2.0,
    )
    d = Drive(settings(classes=(keyed,), hedging_enabled=False))
    d.give(api.ServerList(api.ListKind.SNAPSHOT, 1, entries(LARGE)))
    for _ in range(3):
        request = d.request(cls="pay", customer=d.next)
        d.end(request, Result.RESET)
        assert len(d.sent[request]) == 2
        d.end(request)
