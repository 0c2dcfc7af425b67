"""What entries cost: the bytes repeat, and a field more is seen. Nothing here asserts a speed."""

from __future__ import annotations

import asyncio

import pytest

from thymehinge import decisions
from thymehinge.emulator import entries
from thymehinge.net import servers

FEW = 64  # entries at the smaller size
REPEATS = 8.0  # bytes an entry: a table or free list that an earlier run left in another state, shared by all
MORE = 1_000  # bytes of a field that is not there today

BYTES = {
    "server": entries.server_bytes,
    "pool": lambda few, seed: asyncio.run(entries.pool_bytes(few, seed)),
    "customer": entries.customer_bytes,
    "bucket": entries.bucket_bytes,
    "given": entries.given_bytes,
    "request": lambda few, seed: asyncio.run(entries.request_bytes(few, seed)),
    "departed": entries.departed_bytes,
}


@pytest.mark.parametrize("kind", BYTES)
def test_bytes_repeat_for_a_seed(kind):
    BYTES[kind](FEW, 1)  # the first run also fills what the process keeps for good
    first, second = BYTES[kind](FEW, 1), BYTES[kind](FEW, 1)
    assert first > 0 and abs(first - second) <= REPEATS


@pytest.mark.parametrize(
    ("part", "kinds"),
    [
        (decisions.TrackedServer, ("server", "departed")),
        (decisions.SlotPool, ("customer", "bucket")),
        (decisions.Job, ("request",)),
        (servers.Pool, ("pool",)),
    ],
)
def test_a_field_more_is_seen(monkeypatch, part, kinds):
    before, init = {kind: BYTES[kind](FEW, 1) for kind in kinds}, part.__init__

    def wider(self, *given):
        init(self, *given)
        self.planted = bytearray(MORE)

    monkeypatch.setattr(part, "__init__", wider)
    assert all(BYTES[kind](FEW, 1) >= before[kind] + MORE for kind in kinds)


def test_an_answer_that_is_never_forgotten_is_seen(monkeypatch):
    """A leak that no entry owns: every ask leaves something behind."""
    kept, before, ask = [], entries.given_bytes(FEW, 1), entries.Home.ask
    monkeypatch.setattr(entries.Home, "ask", lambda home, wait: (ask(home, wait), kept.append(bytes(MORE))))
    assert entries.given_bytes(FEW, 1) >= before + MORE


def test_requests_that_are_not_sent_are_no_requests_in_hand(monkeypatch):
    monkeypatch.setattr(decisions.Gateway, "send", lambda *given, **more: False)
    with pytest.raises(RuntimeError, match="0 of 256 requests were sent"):
        BYTES["request"](FEW, 1)


def test_all_slopes_are_measured(monkeypatch):
    monkeypatch.setattr(entries, "SIZES", {True: FEW})
    monkeypatch.setattr(entries, "ROUNDS", 1)
    monkeypatch.setattr(entries, "MANY", 100)
    found = {slope.name: slope for slope in entries.measure(True, 1)}
    assert found["message.bytes.entry"].value == 14 and found["message.bytes.head"].value == 7
    assert {name.rsplit(".", 1)[0] for name in found if found[name].checked} == {
        "gateway.memory",
        "gateway.cpu",
        "message.bytes",
    }
    assert len([slope for slope in found.values() if slope.checked]) == 16
