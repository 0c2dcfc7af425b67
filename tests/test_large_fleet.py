"""Fleets with sixteen times the table servers: the servers that a gateway uses stay bounded."""

from __future__ import annotations

import heapq
import random

import pytest
from rules import CheckedGateway, make_settings

from thymehinge import interface as api
from thymehinge.interface import DedupScope, Idempotency, Result

BASELINE_SERVERS, LARGE_SERVERS = 200, 3200  # table servers
MEAN_SERVICE_TIME = 0.05  # seconds of service for a request


def server_entries(count: int) -> tuple[api.Server, ...]:
    return tuple(api.Server(f"s{i}", zone="abc"[i % 3], cell=i // 10) for i in range(count))


def attempts_by_server(
    servers: int, requests: int, rate: float, seed: int = 1, failing: frozenset[str] = frozenset()
):
    """Attempts by server at `rate` requests/s, in a fleet of which the servers in `failing` fail."""
    classes = (api.RequestClass("lookup", latency_target=1.0, timeout=3.0),)
    plan = api.Plan("hard", rate=10**4, burst=10**5)
    checked = CheckedGateway(
        make_settings(
            classes=classes, plans=(plan,), gateway_count=1, peers_enabled=False, hedging_enabled=False
        ),
        seed,
    )
    checked.deliver(api.ServerList(api.ListKind.SNAPSHOT, 1, server_entries(servers)))
    rng, counts, ends = random.Random(seed), {}, []
    for _ in range(requests):
        due = checked.now + rng.expovariate(rate)
        while ends and ends[0][0] <= due:
            at, request = heapq.heappop(ends)
            checked.run(max(0.0, at - checked.now))
            bad = checked.attempts[request][-1][0] in failing
            checked.end_attempt(request, Result.ERROR if bad else Result.OK)
            if request not in checked.final_actions:
                heapq.heappush(ends, (checked.now + MEAN_SERVICE_TIME * rng.expovariate(1.0), request))
        checked.run(max(0.0, due - checked.now))
        request = checked.request()
        if checked.in_flight(request):
            heapq.heappush(ends, (checked.now + MEAN_SERVICE_TIME * rng.expovariate(1.0), request))
    for tries in checked.attempts.values():
        for attempt in tries:
            counts[attempt[0]] = counts.get(attempt[0], 0) + 1
    return counts


@pytest.mark.parametrize(("requests", "rate"), [(100, 5.0), (1000, 50.0), (3000, 50.0), (2000, 200.0)])
def test_a_gateway_uses_few_servers_of_a_large_fleet(requests, rate):
    """Guards file descriptors: a connection is opened to each server used."""
    baseline, large = (
        len(attempts_by_server(servers, requests, rate)) for servers in (BASELINE_SERVERS, LARGE_SERVERS)
    )
    assert large <= 2 * baseline + 40


def test_a_gateway_of_a_large_fleet_replaces_failing_preferred_servers():
    """Guards service where half of the servers fail."""
    failing = frozenset(f"s{i}" for i in range(0, LARGE_SERVERS, 2))
    counts = attempts_by_server(LARGE_SERVERS, 2000, 50.0, failing=failing)
    good = sum(n for name, n in counts.items() if name not in failing)
    assert good > 0.75 * sum(counts.values())


def test_a_keyed_retry_finds_the_servers_of_its_cell_in_a_large_fleet():
    """Guards the dedup scope: the cell has ten servers, none of them preferred yet."""
    keyed = api.RequestClass(
        "pay",
        latency_target=1.0,
        timeout=3.0,
        idempotency=Idempotency.KEYED,
        dedup_scope=DedupScope.CELL,
        dedup_window=2.0,
    )
    checked = CheckedGateway(make_settings(classes=(keyed,), hedging_enabled=False))
    checked.deliver(api.ServerList(api.ListKind.SNAPSHOT, 1, server_entries(LARGE_SERVERS)))
    for _ in range(3):
        request = checked.request(cls="pay", customer=checked.last_request)
        checked.end_attempt(request, Result.RESET)
        assert len(checked.attempts[request]) == 2
        checked.end_attempt(request)
