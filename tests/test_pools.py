"""Connection pools to table servers."""

from __future__ import annotations

import math
import time
from types import SimpleNamespace

import pytest
from discoverykit import SERVER_ENTRY
from netkit import GatewayHarness, host_list, run_on_uvloop

from thymehinge.interface import LifecycleState, ListKind
from thymehinge.net.discovery import parse_host_list
from thymehinge.net.servers import Pool


def idle_connection(pool: Pool, idle_since: float, reusable: bool) -> SimpleNamespace:
    """Return a stand-in for an idle connection, which leaves the pool when it is aborted."""
    connection = SimpleNamespace(
        idle_since=idle_since, reusable=reusable, transport=SimpleNamespace(is_closing=lambda: False)
    )
    connection.abort = lambda: pool.idle.remove(connection)
    pool.idle.append(connection)
    return connection


def test_unused_connection_keeps_its_place_among_idle_ones():
    """Guards against an old connection behind a younger one, which was neither closed nor fit for use."""
    servers = SimpleNamespace(clock=lambda: 10.0, idle_limit=100.0, finish_attempt=lambda *arguments: None)
    pool = Pool(servers, ("127.0.0.1", 1), 0.0)
    idle_connection(pool, idle_since=1.0, reusable=True)
    young = idle_connection(pool, idle_since=9.0, reusable=False)
    ended_attempt = SimpleNamespace(
        deadline=math.inf, start_deadline=math.inf, exchange=SimpleNamespace(is_over=lambda: True)
    )
    pool.waiting.append(ended_attempt)
    pool.send_waiting()
    pool.close_idle(before=5.0)
    assert pool.idle == [young]


@pytest.mark.parametrize("kind", [ListKind.DELTA, ListKind.SNAPSHOT])
def test_server_whose_address_a_newer_one_has_taken_is_gone(kind):
    """Guards against work for a server that has gone, sent to the process at its former address."""

    async def test() -> None:
        harness = GatewayHarness()
        entry = {**SERVER_ENTRY, "dial": "127.0.0.1:7"}
        now_ms = int(time.time() * 1000)
        old, new = {**entry, "host": "old"}, {**entry, "host": "new", "born_ms": now_ms}
        harness.driver.on_list(parse_host_list({"seq": 1, "whole": True, "hosts": [old]}))
        hosts = [new] if kind is ListKind.DELTA else [new, old]
        harness.driver.on_list(
            parse_host_list({"seq": 2, "whole": kind is ListKind.SNAPSHOT, "hosts": hosts})
        )
        assert set(harness.driver.servers.pools) == {"new"}
        running = harness.driver.gateway.fleet.servers
        assert [name for name, s in running.items() if s.entry.state is LifecycleState.RUNNING] == ["new"]
        moved = {**old, "dial": "127.0.0.1:8", "born_ms": now_ms + 1}
        harness.driver.on_list(parse_host_list({"seq": 3, "whole": False, "hosts": [moved]}))
        assert set(harness.driver.servers.pools) == {"new", "old"}

    run_on_uvloop(test())


def test_servers_that_share_an_address_and_started_long_ago_are_all_used():
    async def test() -> None:
        harness = GatewayHarness()
        harness.driver.on_list(host_list(s1="127.0.0.1:7", s2="127.0.0.1:7"))
        assert set(harness.driver.servers.pools) == {"s1", "s2"}

    run_on_uvloop(test())
