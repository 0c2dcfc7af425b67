"""Datagrams between gateways: a peer that sends more than it may has no effect on others."""

from __future__ import annotations

import asyncio

import pytest
from netkit import HOST, GatewayHarness, raw_settings, run_on_uvloop

from thymehinge import interface as api

MESSAGES_PER_S = 40.0
PEER_ADDRESSES = [(HOST, 7946), ("127.0.0.2", 7946), ("127.0.0.3", 7946)]


def start_harness() -> GatewayHarness:
    settings = raw_settings()
    settings["balancers"] = len(PEER_ADDRESSES)
    settings["family_info"]["peer_in_per_s"] = MESSAGES_PER_S
    return GatewayHarness(settings=settings, peers=[f"{host}:{port}" for host, port in PEER_ADDRESSES])


def count_messages(harness: GatewayHarness, sender: int) -> int:
    """Remove the recorded events and return how many were messages of this gateway."""
    events = [harness.events.get_nowait() for _ in range(harness.events.qsize())]
    return sum(isinstance(event, api.PeerMessage) and event.sender == sender for event in events)


def test_peer_above_its_rate_is_dropped_and_others_are_heard():
    async def test() -> None:
        harness = start_harness()
        harness.driver.clock = lambda: 1000.0 + harness.clock_offset
        for _ in range(1000):
            harness.driver.peers.datagram_received(b"x" * 200, PEER_ADDRESSES[1])
        harness.driver.peers.datagram_received(b"x" * 200, PEER_ADDRESSES[2])
        await asyncio.sleep(0)
        events = [harness.events.get_nowait() for _ in range(harness.events.qsize())]
        senders = [event.sender for event in events if isinstance(event, api.PeerMessage)]
        assert senders.count(1) <= MESSAGES_PER_S and senders.count(2) == 1
        harness.clock_offset += 0.5
        for _ in range(1000):
            harness.driver.peers.datagram_received(b"x" * 200, PEER_ADDRESSES[1])
        assert 0 < count_messages(harness, 1) <= MESSAGES_PER_S / 2 + 1

    run_on_uvloop(test())


@pytest.mark.parametrize("interval", [1.0 / MESSAGES_PER_S, 1.0])
def test_peer_within_its_rate_is_heard(interval):
    async def test() -> None:
        harness = start_harness()
        harness.driver.clock = lambda: 1000.0 + harness.clock_offset
        for _ in range(200):
            harness.driver.peers.datagram_received(b"x" * 200, PEER_ADDRESSES[1])
            harness.clock_offset += interval
        assert count_messages(harness, 1) == 200

    run_on_uvloop(test())
