"""Lists of thousands of table servers leave the event loop free in between."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

import pytest
from discoverykit import SERVER_ENTRY, FakeDiscovery
from netkit import WAIT_TIMEOUT, GatewayHarness, host_list, run_on_uvloop

from thymehinge import interface as api
from thymehinge.net import discovery as discovery_module
from thymehinge.net.discovery import Discovery
from thymehinge.net.start_times import StartTimes

SERVER_COUNT = 4_000
MAX_ENTRIES_PER_TURN = 1_000  # of which each is parsed, resolved or applied in one turn of the event loop


def count_calls(monkeypatch: pytest.MonkeyPatch, owner: Any, name: str, counts: list[int]) -> None:
    """Increment the last of the counts with each call of a function."""
    function: Callable = getattr(owner, name)

    def counting(*args: Any) -> Any:
        counts[-1] += 1
        return function(*args)

    monkeypatch.setattr(owner, name, counting)


def test_large_list_is_processed_in_slices(monkeypatch):
    async def test() -> None:
        harness, counts = GatewayHarness(), [0]
        harness.driver.on_list(host_list(s0="127.0.0.1:1", old="127.0.0.1:2"))
        count_calls(monkeypatch, discovery_module, "parse_host", counts)
        count_calls(monkeypatch, StartTimes, "resolve_server", counts)
        entries = [
            {**SERVER_ENTRY, "host": f"s{n}", "health": "Terminating" if n == 5 else "Ready"}
            for n in range(SERVER_COUNT)
        ]
        agent = FakeDiscovery(entries)
        discovery = Discovery(harness.driver.apply_list, 2**27)
        discovery.set_address(await agent.listen())
        servers = harness.driver.gateway.fleet.servers
        async with asyncio.timeout(WAIT_TIMEOUT):
            while len(servers) < SERVER_COUNT or "old" in servers:
                counts.append(0)
                await asyncio.sleep(0)
        discovery.stop()
        assert max(counts) <= MAX_ENTRIES_PER_TURN
        assert servers["s5"].entry.state is api.LifecycleState.DRAINING
        pools = harness.driver.servers.pools
        assert set(pools) == {f"s{n}" for n in range(SERVER_COUNT) if n != 5}

    run_on_uvloop(test())


def test_list_that_has_begun_is_applied_whole_when_the_address_changes(monkeypatch):
    """Guards against a drain that is told and not applied, since its list was applied in part."""

    async def test() -> None:
        harness = GatewayHarness()
        harness.driver.on_list(host_list(s0="127.0.0.1:1"))
        agent = FakeDiscovery([{**SERVER_ENTRY, "host": f"s{n}"} for n in range(SERVER_COUNT)])
        discovery = Discovery(harness.driver.apply_list, 2**27)
        discovery.set_address(await agent.listen())
        servers = harness.driver.gateway.fleet.servers
        async with asyncio.timeout(WAIT_TIMEOUT):
            while len(servers) < 2:
                await asyncio.sleep(0)
        discovery.set_address("127.0.0.1:1")
        async with asyncio.timeout(WAIT_TIMEOUT):
            while len(servers) < SERVER_COUNT:
                await asyncio.sleep(0)
        discovery.stop()

    run_on_uvloop(test())
