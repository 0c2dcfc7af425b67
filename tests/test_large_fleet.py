"""Gateways in fleets of thousands of table servers: servers used, failures and keyed retries."""

from __future__ import annotations

import heapq
import random

import pytest
from rules import CheckedGateway, make_settings

from thymehinge import interface as api
from thymehinge.interface import DedupScope, Idempotency, Result

BASELINE_SERVERS = 200
LARGE_SERVERS = 3200
MEAN_SERVICE_TIME = 0.05  # seconds


def server_entries(count: int) -> tuple[api.Server, ...]:
    return tuple(api.Server(f"s{i}", zone="abc"[i % 3], cell=i // 10) for i in range(count))


def attempts_by_server(
    server_count: int,
    request_count: int,
    request_rate: float,
    seed: int = 1,
    failing_servers: frozenset[str] = frozenset(),
):
    """Return the number of attempts per server; `request_rate` is per second."""
    classes = (api.RequestClass("lookup", latency_target=1.0, timeout=3.0),)
    plan = api.Plan("hard", rate=10**4, burst=10**5)
    gateway = CheckedGateway(
        make_settings(
            classes=classes, plans=(plan,), gateway_count=1, peers_enabled=False, hedging_enabled=False
        ),
        seed,
    )
    gateway.deliver(api.ServerList(api.ListKind.SNAPSHOT, 1, server_entries(server_count)))
    rng, counts, completions = random.Random(seed), {}, []
    for _ in range(request_count):
        arrival_at = gateway.now + rng.expovariate(request_rate)
        while completions and completions[0][0] <= arrival_at:
            ends_at, request = heapq.heappop(completions)
            gateway.run(max(0.0, ends_at - gateway.now))
            fails = gateway.attempts[request][-1][0] in failing_servers
            gateway.end_attempt(request, Result.ERROR if fails else Result.OK)
            if request not in gateway.final_actions:
                heapq.heappush(completions, (gateway.now + MEAN_SERVICE_TIME * rng.expovariate(1.0), request))
        gateway.run(max(0.0, arrival_at - gateway.now))
        request = gateway.request()
        if gateway.in_flight(request):
            heapq.heappush(completions, (gateway.now + MEAN_SERVICE_TIME * rng.expovariate(1.0), request))
    for attempts in gateway.attempts.values():
        for attempt in attempts:
            counts[attempt[0]] = counts.get(attempt[0], 0) + 1
    return counts


@pytest.mark.parametrize(
    ("request_count", "request_rate"), [(100, 5.0), (1000, 50.0), (3000, 50.0), (2000, 200.0)]
)
def test_gateway_uses_few_servers_of_large_fleet(request_count, request_rate):
    """Guards against running out of file descriptors: each server that is used needs a connection."""
    baseline_used, large_used = (
        len(attempts_by_server(server_count, request_count, request_rate))
        for server_count in (BASELINE_SERVERS, LARGE_SERVERS)
    )
    assert large_used <= 2 * baseline_used + 40


def test_failing_preferred_servers_are_replaced():
    """Guards against failed requests while half of the servers fail."""
    failing_servers = frozenset(f"s{i}" for i in range(0, LARGE_SERVERS, 2))
    counts = attempts_by_server(LARGE_SERVERS, 2000, 50.0, failing_servers=failing_servers)
    healthy_attempts = sum(count for name, count in counts.items() if name not in failing_servers)
    assert healthy_attempts > 0.75 * sum(counts.values())


def test_keyed_retry_finds_servers_of_its_cell():
    """Guards against retries without a server because none in the cell is among the preferred ones."""
    keyed = api.RequestClass(
        "pay",
        latency_target=1.0,
        timeout=3.0,
        idempotency=Idempotency.KEYED,
        dedup_scope=DedupScope.CELL,
        dedup_window=2.0,
    )
    gateway = CheckedGateway(make_settings(classes=(keyed,), hedging_enabled=False))
    gateway.deliver(api.ServerList(api.ListKind.SNAPSHOT, 1, server_entries(LARGE_SERVERS)))
    for _ in range(3):
        request = gateway.request(class_name="pay", customer=gateway.last_request_id)
        gateway.end_attempt(request, Result.RESET)
        assert len(gateway.attempts[request]) == 2
        gateway.end_attempt(request)
