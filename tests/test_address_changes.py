"""Changes of the discovery address while calls to the previous one are in progress."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from aiohttp import web
from discoverykit import NO_ANSWER, SERVER_ENTRY, FakeDiscovery, hosts_response, scripted_discovery
from netkit import WAIT_TIMEOUT, next_item, run_on_uvloop

from thymehinge.net import discovery as discovery_module
from thymehinge.net.discovery import MAX_PREVIOUS_CALLS, Discovery, HostList

MEMORY_BYTES = 2**27
DRAINING = SERVER_ENTRY | {"health": "Terminating"}


def answer_when(event: asyncio.Event, *answer: object) -> Callable[[], Awaitable[web.Response]]:
    """Return an answer of a scripted discovery that is given once the event is set."""

    async def give_answer() -> web.Response:
        await event.wait()
        return hosts_response(*answer)

    return give_answer


async def wait_for_calls(calls: list[str], count: int) -> None:
    """Wait until a scripted discovery has received this many calls."""
    async with asyncio.timeout(WAIT_TIMEOUT):
        while len(calls) < count:
            await asyncio.sleep(0.001)


def test_lists_arrive_while_address_changes_faster_than_discovery_answers():
    """Guards a drain against reloads in quick succession, each of which cancelled the call in progress."""

    async def test() -> None:
        answer_delay, change_interval = 0.6, 0.3  # seconds
        agents = [FakeDiscovery([DRAINING], answer_delay) for _ in range(20)]
        addresses = [await agent.listen() for agent in agents]
        received: asyncio.Queue[HostList] = asyncio.Queue()
        discovery = Discovery(received.put_nowait, MEMORY_BYTES)
        for address in addresses:
            discovery.set_address(address)
            await asyncio.sleep(change_interval)
            if not received.empty():
                break
        assert not received.empty(), "no list in 20 changes of the address"
        discovery.stop()
        for agent in agents:
            await agent.runner.cleanup()

    run_on_uvloop(test())


def test_previous_address_gives_change_until_new_one_answers():
    """Guards against a change that the previous address tells and the new one is slow to tell."""

    async def test() -> None:
        changed = asyncio.Event()
        old_address, old_calls = await scripted_discovery(
            [hosts_response(41, SERVER_ENTRY), answer_when(changed, 42, DRAINING)]
        )
        new_address, new_calls = await scripted_discovery([NO_ANSWER])
        received: asyncio.Queue[HostList] = asyncio.Queue()
        discovery = Discovery(received.put_nowait, MEMORY_BYTES)
        discovery.set_address(old_address)
        assert (await next_item(received)).version == 41
        await wait_for_calls(old_calls, 2)
        discovery.set_address(new_address)
        await wait_for_calls(new_calls, 1)
        changed.set()
        assert (await next_item(received)).version == 42
        assert len(old_calls) == 2
        discovery.stop()

    run_on_uvloop(test())


def test_older_lists_do_not_replace_newer_ones_after_address_change(monkeypatch):
    """Guards against a drained server that an address which lags behind, or a late call, brings back."""
    monkeypatch.setattr(discovery_module, "STALE_LIST_PERIOD", 60.0)

    async def test() -> None:
        changed, overtaken = asyncio.Event(), asyncio.Event()
        first_address, first_calls = await scripted_discovery([answer_when(overtaken, 41, SERVER_ENTRY)])
        second_address, second_calls = await scripted_discovery([answer_when(changed, 42, DRAINING)])
        third_address, _ = await scripted_discovery(
            [answer_when(overtaken, 41, SERVER_ENTRY), hosts_response(42, DRAINING)]
        )
        received: asyncio.Queue[HostList] = asyncio.Queue()
        discovery = Discovery(received.put_nowait, MEMORY_BYTES)
        discovery.set_address(first_address)
        await wait_for_calls(first_calls, 1)
        discovery.set_address(second_address)
        await wait_for_calls(second_calls, 1)
        discovery.set_address(third_address)
        changed.set()
        assert (await next_item(received)).version == 42
        overtaken.set()
        hosts = await next_item(received)  # the third address's second list
        assert hosts.version == 42 and received.empty()
        discovery.stop()

    run_on_uvloop(test())


def test_calls_to_previous_addresses_are_bounded_and_end(monkeypatch):
    """Guards the descriptors of discovery against reloads in quick succession with silent addresses."""
    monkeypatch.setattr(discovery_module, "PREVIOUS_ADDRESS_TIMEOUT", 0.2)

    async def test() -> None:
        discovery = Discovery(lambda hosts: None, MEMORY_BYTES)
        for _ in range(MAX_PREVIOUS_CALLS + 3):
            address, calls = await scripted_discovery([NO_ANSWER])
            discovery.set_address(address)
            await wait_for_calls(calls, 1)
            assert len(discovery.previous_calls) <= MAX_PREVIOUS_CALLS
        async with asyncio.timeout(WAIT_TIMEOUT):
            while discovery.previous_calls:
                await asyncio.sleep(0.001)
        discovery.stop()

    run_on_uvloop(test())
