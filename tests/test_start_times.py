"""Start times of table servers when wall clocks are wrong or step before or after the gateway's start."""

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
from thymehinge.net.start_times import MAX_DELISTED, StartTimes

HOUR = 3600.0  # seconds
ANSWER_DELAY = 0.02  # seconds; long enough that load is spread over two servers
COUNT_DURATION = 1.0  # seconds


async def start_table_server(name: str) -> tuple[TableServer, dict]:
    """Start a server that answers with its name; return it and its entry, with a start long ago."""
    server = await TableServer(name, ANSWER_DELAY).listen()
    return server, SERVER_ENTRY | {"host": name, "dial": server.address, "born_ms": 0}


async def count_answers(port: int, seconds: float) -> Counter[bytes]:
    """Count answers by server while four clients send requests, each for a customer of its own."""
    counts: Counter[bytes] = Counter()

    async def client(client_number: int) -> None:
        connection, stops_at = (
            RespConnection(*await asyncio.open_connection(HOST, port)),
            time.monotonic() + seconds,
        )
        for request_number in range(10**6):
            if time.monotonic() >= stops_at:
                return connection.writer.close()
            request = pack_request().replace(REQUEST_ID, b"%08x%08x" % (client_number, request_number))
            connection.write(
                request.replace(CUSTOMER_ID, b"%016x" % (client_number * 10**5 + request_number))
            )
            counts[await connection.read()] += 1
            await asyncio.sleep(0.02)

    await asyncio.gather(*(client(client_number) for client_number in range(4)))
    return counts


def gateway_config(discovery_address: str, port: int, slow_start_duration: float, known: dict | None) -> dict:
    settings = raw_settings()
    settings["obligations"] |= {
        "cold_from": 0.2,
        "cold_s": slow_start_duration,
        "fall_s": 1.0,
        "fall_multiple": 1.0,
    }
    settings["bounds"]["peers"] = False
    overrides = {"listen": f"{HOST}:{port}", "discovery": discovery_address, "known": known}
    return raw_config(settings=settings, **overrides)


@pytest.mark.parametrize(
    ("initial_offset", "step"),
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
def test_new_server_is_cold_despite_clock_steps(tmp_path, initial_offset, step):
    """Guards against sending a server that has just started as much as a warm one.

    The gateway's wall clock is wrong by `initial_offset` at its start; all wall clocks step by `step` before
    the server starts (both in seconds).
    """

    async def test() -> None:
        faults = FaultInjector(tmp_path, clock_step_ms=round(initial_offset * 1000))
        server_started = asyncio.Event()
        _, warm = await start_table_server("warm")
        _, cold = await start_table_server("cold")

        async def respond_with_new_server():
            await server_started.wait()
            return hosts_response(2, cold | {"born_ms": round((time.time() + step) * 1000)}, snapshot=False)

        address, calls = await scripted_discovery(
            [hosts_response(1, warm), respond_with_new_server, hosts_response(2, snapshot=False)]
        )
        port = free_port()
        config = gateway_config(address, port, 10.0, None)
        async with running_gateway(tmp_path / "config.json", config, **faults.environ):
            await count_answers(port, 1.2)  # the gateway learns a warm server's capacity
            faults.set(clock_step_ms=round((initial_offset + step) * 1000))
            while len(calls) < 2:
                await asyncio.sleep(0.01)
            server_started.set()
            while len(calls) < 3:
                await asyncio.sleep(0.01)
            counts = await count_answers(port, COUNT_DURATION)
        assert counts[b"warm"] > 20 and counts[b"cold"] < 0.25 * counts[b"warm"]

    run_on_uvloop(test())


@pytest.mark.parametrize("source", ["known", "received"])
def test_start_in_future_of_slow_clock_does_not_stay_cold(tmp_path, source):
    """Guards against a server that stays cold because the gateway's wall clock is an hour behind."""

    async def test() -> None:
        faults = FaultInjector(tmp_path, clock_step_ms=round(-HOUR * 1000))
        _, server = await start_table_server("recent")
        entry = server | {"born_ms": round((time.time() - 60.0) * 1000)}
        known = {"seq": 1, "whole": True, "hosts": [entry]}
        address, _ = await scripted_discovery([hosts_response(1, entry)])
        port = free_port()
        config = gateway_config(address, port, 1.0, known if source == "known" else None)
        async with running_gateway(tmp_path / "config.json", config, **faults.environ):
            await asyncio.sleep(1.2)
            assert (await count_answers(port, COUNT_DURATION))[b"recent"] > 20

    run_on_uvloop(test())


class SimulatedClocks:
    """A monotonic and a wall clock, set by hand, and the start times resolved with them."""

    def __init__(self, wall_time: float = 10_000.0) -> None:
        self.now, self.wall_time = 50.0, wall_time
        self.start_times = StartTimes(SLOW_START_DURATION, lambda: self.now, lambda: self.wall_time)

    def resolve_age(self, start_time: float, kind: ListKind = ListKind.DELTA, name: str = "s") -> float:
        """Return the age (s) of a server listed with this start time (Unix time, s)."""
        (server,) = self.start_times.resolve((Server(name, started_at=start_time),), kind)
        return self.now - server.started_at


SLOW_START_DURATION = 10.0  # seconds for which a new server is cold


def test_start_time_resolved_by_wall_clock_at_listing():
    clocks = SimulatedClocks()
    assert (
        clocks.resolve_age(9997.0, ListKind.CACHED) == 3.0
        and clocks.resolve_age(9900.0, ListKind.SNAPSHOT, "t") == 100.0
    )
    clocks.wall_time -= 3600.0
    clocks.now += 1.0
    assert clocks.resolve_age(9997.0) == 4.0  # already known: the step has no effect
    assert clocks.resolve_age(clocks.wall_time - 2.0, name="u") == 2.0


@pytest.mark.parametrize("start_time", [10_000.1, 10_008.0, 13_600.0, 6400.0, 9985.0])
def test_impossible_start_time_resolved_as_now(start_time):
    clocks = SimulatedClocks()
    clocks.resolve_age(0.0, ListKind.SNAPSHOT, "other")
    assert clocks.resolve_age(start_time, ListKind.DELTA) == 0.0
    clocks.now += SLOW_START_DURATION
    assert clocks.resolve_age(start_time) == SLOW_START_DURATION


def test_start_between_two_lists_is_accepted():
    clocks = SimulatedClocks()
    clocks.resolve_age(0.0, ListKind.SNAPSHOT, "other")
    clocks.now, clocks.wall_time = clocks.now + 20.0, clocks.wall_time + 20.0
    assert clocks.resolve_age(clocks.wall_time - 19.0, ListKind.SNAPSHOT) == 19.0


def test_relisted_server_keeps_start_time():
    clocks = SimulatedClocks()
    clocks.resolve_age(9400.0, ListKind.SNAPSHOT)
    clocks.resolve_age(0.0, ListKind.SNAPSHOT, "other")
    clocks.now += 5.0
    assert clocks.resolve_age(9400.0) == 605.0


def test_delisted_start_times_are_bounded():
    clocks = SimulatedClocks()
    for generation in range(3):
        names = [f"s{generation}.{index}" for index in range(2000)]
        clocks.start_times.resolve([Server(name, started_at=9990.0) for name in names], ListKind.SNAPSHOT)
    clocks.start_times.resolve([Server(name, LifecycleState.GONE) for name in names], ListKind.DELTA)
    assert not clocks.start_times.listed and len(clocks.start_times.delisted) == MAX_DELISTED
