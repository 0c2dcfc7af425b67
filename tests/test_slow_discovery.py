"""Propagation time of changes with a discovery that answers slowly."""

from __future__ import annotations

import asyncio
import time
from contextlib import suppress
from itertools import pairwise

from discoverykit import SERVER_ENTRY, FakeDiscovery
from netkit import run_on_uvloop

from thymehinge import interface as api
from thymehinge.net.discovery import HostList, watch_hosts

PROPAGATION_TIME = 6.0  # seconds within which a change must reach the gateway
DRAIN_GRACE = 2.0  # seconds for which a drained server may get requests after the return of discovery
TIMING_SLACK = 0.2  # seconds for scheduling delays, since all scenarios run at once


async def measure_propagation(answer_delay: float, change_delay: float, silent: bool = False) -> float:
    """Return the seconds from a change until its delivery, at most 2 * PROPAGATION_TIME.

    The change comes `change_delay` seconds after the first list. With `silent`, calls received before the
    change are never answered.
    """
    discovery = FakeDiscovery([SERVER_ENTRY], answer_delay)
    received: asyncio.Queue[HostList] = asyncio.Queue()
    task = asyncio.create_task(watch_hosts(await discovery.listen(), received.put_nowait, 2**20))
    try:
        async with asyncio.timeout(10.0):
            await received.get()
        await asyncio.sleep(change_delay)
        if silent:
            discovery.unanswered_before = time.monotonic()
        discovery.update_entry(SERVER_ENTRY["host"], health="Terminating")
        changed_at = time.monotonic()
        with suppress(TimeoutError):
            async with asyncio.timeout(2 * PROPAGATION_TIME):
                while [server.state for server in (await received.get()).servers] != [
                    api.LifecycleState.DRAINING
                ]:
                    pass
        return time.monotonic() - changed_at
    finally:
        task.cancel()
        with suppress(asyncio.CancelledError):
            await task
        await discovery.runner.cleanup()


CHANGE_DELAYS = [0.0, 0.3, 0.7, 1.1, 1.6, 1.99, 2.1, 2.6, 3.1, 3.6, 4.1]  # seconds
ANSWER_DELAYS = [0.0, 0.3, 0.8, 1.4, 2.0]  # seconds


async def longest_propagation(silent: bool) -> dict[float, float]:
    """Run all scenarios at once; return the longest propagation time by answer delay."""
    scenarios = [
        (answer_delay, change_delay) for answer_delay in ANSWER_DELAYS for change_delay in CHANGE_DELAYS
    ]
    times = await asyncio.gather(
        *(measure_propagation(answer_delay, change_delay, silent) for answer_delay, change_delay in scenarios)
    )
    return {
        answer_delay: max(t for (d, _), t in zip(scenarios, times, strict=True) if d == answer_delay)
        for answer_delay in ANSWER_DELAYS
    }


def test_slow_discovery_meets_propagation_time():
    """Guards against a call timeout below the answer delay, with which no call ever succeeds."""

    async def test() -> None:
        longest_times = await longest_propagation(silent=False)
        assert max(longest_times.values()) <= PROPAGATION_TIME - TIMING_SLACK, longest_times

    run_on_uvloop(test())


def test_silent_watch_of_slow_discovery_meets_propagation_time():
    """Guards against missing the propagation time when a watch also falls silent."""

    async def test() -> None:
        longest_times = await longest_propagation(silent=True)
        assert max(longest_times.values()) <= PROPAGATION_TIME, longest_times

    run_on_uvloop(test())


def test_calls_to_silent_discovery_follow_soon_after_slow_answers():
    """Guards a drain against an outage after slow answers, whose learnt timeout exceeded the drain grace."""

    async def test() -> None:
        discovery, received = FakeDiscovery([SERVER_ENTRY], 1.6), asyncio.Queue()
        task = asyncio.create_task(watch_hosts(await discovery.listen(), received.put_nowait, 2**20))
        async with asyncio.timeout(10.0):
            await received.get()
            discovery.unanswered_before = time.monotonic() + 60.0
            call_times, calls = [], discovery.calls
            while len(call_times) < 4:
                await asyncio.sleep(0.01)
                if discovery.calls > calls:
                    calls = discovery.calls
                    call_times.append(time.monotonic())
        gaps = [later - earlier for earlier, later in pairwise(call_times[1:])]  # the first one is a watch
        assert max(gaps) < DRAIN_GRACE, gaps
        task.cancel()
        await discovery.runner.cleanup()

    run_on_uvloop(test())


def test_move_to_slow_discovery_within_four_seconds():
    """Guards the 4 s for a reload with a first list that arrives 2 s after the call."""

    async def test() -> None:
        discovery, started_at = FakeDiscovery([SERVER_ENTRY], 2.0), time.monotonic()
        received: asyncio.Queue[HostList] = asyncio.Queue()
        task = asyncio.create_task(watch_hosts(await discovery.listen(), received.put_nowait, 2**20))
        async with asyncio.timeout(10.0):
            await received.get()
        assert time.monotonic() - started_at < 4.0
        task.cancel()
        await discovery.runner.cleanup()

    run_on_uvloop(test())
