"""When a table server started: wall clocks may be stepped by an hour before and after the gateway's start."""

from __future__ import annotations

import asyncio
import time
from collections import Counter

import pytest
from discoverykit import SERVER_ENTRY, hosts_response, scripted_discovery
from faultkit import FaultInjector
from netkit import (
    CUSTOMER_ID,
    HOST,
    REQUEST_ID,
    RespConnection,
    pack_request,
    raw_config,
    raw_settings,
    run_on_uvloop,
)
from processkit import free_port, running_gateway
from test_descriptors import TableServer

from thymehinge.interface import LifecycleState, ListKind, Server
from thymehinge.net.start_times import DEPARTED_MOST, StartTimes

HOUR = 3600.0
DELAY = 0.02  # s that servers take: so much that two are better than one
SECONDS = 1.0  # of traffic that is counted


async def table_server(name: str) -> tuple[TableServer, dict]:
    """A server that answers with its name, and its entry, started long ago."""
    server = await TableServer(name, DELAY).listen()
    return server, SERVER_ENTRY | {"host": name, "dial": server.address, "born_ms": 0}


async def shares(port: int, seconds: float) -> Counter[bytes]:
    """Who answered the requests of four clients, each of a customer of its own."""
    counts: Counter[bytes] = Counter()

    async def client(number: int) -> None:
        wire, until = RespConnection(*await asyncio.open_connection(HOST, port)), time.monotonic() + seconds
        for i in range(10**6):
            if time.monotonic() >= until:
                return wire.writer.close()
            wanted = pack_request().replace(REQUEST_ID, b"%08x%08x" % (number, i))
            wire.write(wanted.replace(CUSTOMER_ID, b"%016x" % (number * 10**5 + i)))
            counts[await wire.read()] += 1
            await asyncio.sleep(0.02)

    await asyncio.gather(*(client(i) for i in range(4)))
    return counts


def gateway_configuration(discovery_address: str, port: int, cold_time: float, known: dict | None) -> dict:
    settings = raw_settings()
    settings["obligations"] |= {"cold_from": 0.2, "cold_s": cold_time, "fall_s": 1.0, "fall_multiple": 1.0}
    settings["bounds"]["peers"] = False
    where = {"listen": f"{HOST}:{port}", "discovery": discovery_address, "known": known}
    return raw_config(settings=settings, **where)


@pytest.mark.parametrize(
    ("before", "after"),
    [
        (0.0, 0.0),
        (0.0, -HOUR),
        (0.0, HOUR),
        (HOUR, 0.0),
        (HOUR, -HOUR),
        (-HOUR, 0.0),
        (0.0, -8.0),
        (0.0, 8.0),
    ],
)
def test_a_server_told_as_newly_started_is_cold_whatever_the_clock_says(tmp_path, before, after):
    """Guards cold servers: one started just now got as much as a warm one after a step of an hour.

    The clock of the gateway is wrong by `before` at its start; all clocks step by `after` before the server
    starts.
    """

    async def test() -> None:
        faults = FaultInjector(tmp_path, clock_step_ms=round(before * 1000))
        started = asyncio.Event()
        _, warm = await table_server("warm")
        _, cold = await table_server("cold")

        async def news():
            await started.wait()
            return hosts_response(2, cold | {"born_ms": round((time.time() + after) * 1000)}, snapshot=False)

        address, calls = await scripted_discovery(
            [hosts_response(1, warm), news, hosts_response(2, snapshot=False)]
        )
        port = free_port()
        config = gateway_configuration(address, port, 10.0, None)
        async with running_gateway(tmp_path / "config.json", config, **faults.environ):
            await shares(port, 1.2)  # it learns what a warm server bears
            faults.set(clock_step_ms=round((before + after) * 1000))
            while len(calls) < 2:
                await asyncio.sleep(0.01)
            started.set()
            while len(calls) < 3:
                await asyncio.sleep(0.01)
            counts = await shares(port, SECONDS)
        assert counts[b"warm"] > 20 and counts[b"cold"] < 0.25 * counts[b"warm"]

    run_on_uvloop(test())


@pytest.mark.parametrize("kind", ["known", "told"])
def test_a_server_that_started_in_the_future_of_a_slow_clock_does_not_stay_cold(tmp_path, kind):
    """Guards service: the gateway's clock is an hour behind; the server is warm after its own time."""

    async def test() -> None:
        faults = FaultInjector(tmp_path, clock_step_ms=round(-HOUR * 1000))
        _, server = await table_server("recent")
        entry = server | {"born_ms": round((time.time() - 60.0) * 1000)}
        known = {"seq": 1, "whole": True, "hosts": [entry]}
        address, _ = await scripted_discovery([hosts_response(1, entry)])
        port = free_port()
        config = gateway_configuration(address, port, 1.0, known if kind == "known" else None)
        async with running_gateway(tmp_path / "config.json", config, **faults.environ):
            await asyncio.sleep(1.2)
            assert (await shares(port, SECONDS))[b"recent"] > 20

    run_on_uvloop(test())


class Clocks:
    """Both clocks of a process, and the starts that it works out from them."""

    def __init__(self, wall: float = 10_000.0) -> None:
        self.now, self.wall = 50.0, wall
        self.starts = StartTimes(COLD, lambda: self.now, lambda: self.wall)

    def age(self, born: float, kind: ListKind = ListKind.DELTA, name: str = "s") -> float:
        """The age of a server that is told with this start."""
        (server,) = self.starts.resolve((Server(name, started_at=born),), kind)
        return self.now - server.started_at


COLD = 10.0


def test_a_start_is_taken_from_the_wall_clock_as_it_is_when_it_is_told():
    clocks = Clocks()
    assert clocks.age(9997.0, ListKind.CACHED) == 3.0 and clocks.age(9900.0, ListKind.SNAPSHOT, "t") == 100.0
    clocks.wall -= 3600.0
    clocks.now += 1.0
    assert clocks.age(9997.0) == 4.0  # known: the step changes nothing
    assert clocks.age(clocks.wall - 2.0, name="u") == 2.0


@pytest.mark.parametrize("born", [10_000.1, 10_008.0, 13_600.0, 6400.0, 9985.0])
def test_a_start_that_cannot_be_is_now_and_moves_on_with_our_clock(born):
    clocks = Clocks()
    clocks.age(0.0, ListKind.SNAPSHOT, "other")
    assert clocks.age(born, ListKind.DELTA) == 0.0
    clocks.now += COLD
    assert clocks.age(born) == COLD


def test_what_was_told_after_a_gap_may_have_started_in_it():
    clocks = Clocks()
    clocks.age(0.0, ListKind.SNAPSHOT, "other")
    clocks.now, clocks.wall = clocks.now + 20.0, clocks.wall + 20.0
    assert clocks.age(clocks.wall - 19.0, ListKind.SNAPSHOT) == 19.0


def test_a_server_that_comes_back_as_it_was_keeps_its_start():
    clocks = Clocks()
    clocks.age(9400.0, ListKind.SNAPSHOT)
    clocks.age(0.0, ListKind.SNAPSHOT, "other")
    clocks.now += 5.0
    assert clocks.age(9400.0) == 605.0


def test_the_starts_of_servers_that_have_gone_are_bounded():
    clocks = Clocks()
    for i in range(3):
        names = [f"s{i}.{j}" for j in range(2000)]
        clocks.starts.resolve([Server(name, started_at=9990.0) for name in names], ListKind.SNAPSHOT)
    clocks.starts.resolve([Server(name, LifecycleState.GONE) for name in names], ListKind.DELTA)
    assert not clocks.starts.listed and len(clocks.starts.departed) == DEPARTED_MOST
