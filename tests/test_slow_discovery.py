"""Discovery that is slow: a change is told in time, whatever a call takes, and whenever it comes."""

from __future__ import annotations

import asyncio
import time
from contextlib import suppress

from discoverykit import SERVER_ENTRY, FakeDiscovery
from netkit import run_on_uvloop

from thymehinge import interface as api
from thymehinge.net.discovery import HostList, follow

TOLD = 6.0  # s after which a change counts as told, by the standing test
SLACK = 0.2  # s for this machine, on which some twenty agents answer at once


async def told_after(delay: float, moment: float, silent: bool = False) -> float:
    """Seconds from a change to when it is told; it comes a moment after the first list was."""
    agent = FakeDiscovery([SERVER_ENTRY], delay)
    told: asyncio.Queue[HostList] = asyncio.Queue()
    task = asyncio.create_task(follow(await agent.listen(), told.put_nowait, 2**20))
    try:
        async with asyncio.timeout(10.0):
            await told.get()
        await asyncio.sleep(moment)
        if silent:
            agent.unanswered_before = time.monotonic()
        agent.update_entry(SERVER_ENTRY["host"], health="Terminating")
        changed = time.monotonic()
        with suppress(TimeoutError):
            async with asyncio.timeout(2 * TOLD):
                while [s.state for s in (await told.get()).servers] != [api.LifecycleState.DRAINING]:
                    pass
        return time.monotonic() - changed
    finally:
        task.cancel()
        with suppress(asyncio.CancelledError):
            await task
        await agent.runner.cleanup()


MOMENTS = [0.0, 0.3, 0.7, 1.1, 1.6, 1.99, 2.1, 2.6, 3.1, 3.6, 4.1]


DELAYS = [0.0, 0.3, 0.8, 1.4, 2.0]


async def slowest(silent: bool) -> dict[float, float]:
    """The longest time until a change was told, by what each call takes; all of them at once."""
    plays = [(delay, moment) for delay in DELAYS for moment in MOMENTS]
    took = await asyncio.gather(*(told_after(delay, moment, silent) for delay, moment in plays))
    return {delay: max(t for (d, _), t in zip(plays, took, strict=True) if d == delay) for delay in DELAYS}


def test_a_change_is_told_in_time_by_a_slow_discovery():
    """Guards the rule on drains: a call that is given up before it can end succeeds never."""

    async def test() -> None:
        took = await slowest(silent=False)
        assert max(took.values()) <= TOLD - SLACK, took

    run_on_uvloop(test())


def test_a_change_is_told_in_time_where_a_slow_discoverys_watch_has_fallen_silent():
    """Guards the same with another trouble in the same window."""

    async def test() -> None:
        took = await slowest(silent=True)
        assert max(took.values()) <= TOLD, took

    run_on_uvloop(test())


def test_a_move_to_a_slow_discovery_is_done_in_four_seconds():
    """Guards the 4 s after SIGHUP: its first list comes 2 s after the first call."""

    async def test() -> None:
        agent, begun = FakeDiscovery([SERVER_ENTRY], 2.0), time.monotonic()
        told: asyncio.Queue[HostList] = asyncio.Queue()
        task = asyncio.create_task(follow(await agent.listen(), told.put_nowait, 2**20))
        async with asyncio.timeout(10.0):
            await told.get()
        assert time.monotonic() - begun < 4.0
        task.cancel()
        await agent.runner.cleanup()

    run_on_uvloop(test())
