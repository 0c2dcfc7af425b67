"""Tests that the memory of entries is reproducible and shows added fields; no test asserts a speed."""

from __future__ import annotations

import asyncio

import pytest

from thymehinge import decisions
from thymehinge.emulator import entries
from thymehinge.net import servers

ENTRY_COUNT = 64  # at the smaller size
REPEAT_TOLERANCE = 8.0  # bytes per entry: hash tables and free lists of the process differ between runs
EXTRA_BYTES = 1_000  # size of a field that is added

MEASUREMENTS = {
    "server": entries.server_bytes,
    "pool": lambda count, seed: asyncio.run(entries.pool_bytes(count, seed)),
    "customer": entries.customer_bytes,
    "bucket": entries.bucket_bytes,
    "given": entries.quota_answer_bytes,
    "request": lambda count, seed: asyncio.run(entries.request_bytes(count, seed)),
    "departed": entries.delisted_bytes,
}


@pytest.mark.parametrize("kind", MEASUREMENTS)
def test_bytes_per_entry_repeat_for_same_seed(kind):
    MEASUREMENTS[kind](ENTRY_COUNT, 1)  # warms up what the process caches
    first, second = MEASUREMENTS[kind](ENTRY_COUNT, 1), MEASUREMENTS[kind](ENTRY_COUNT, 1)
    assert first > 0 and abs(first - second) <= REPEAT_TOLERANCE


@pytest.mark.parametrize(
    ("state_class", "kinds"),
    [
        (decisions.TrackedServer, ("server", "departed")),
        (decisions.SlotPool, ("customer", "bucket")),
        (decisions.Job, ("request",)),
        (servers.Pool, ("pool",)),
    ],
)
def test_added_field_is_detected(monkeypatch, state_class, kinds):
    before, init = {kind: MEASUREMENTS[kind](ENTRY_COUNT, 1) for kind in kinds}, state_class.__init__

    def init_with_extra_field(self, *args):
        init(self, *args)
        self.extra = bytearray(EXTRA_BYTES)

    monkeypatch.setattr(state_class, "__init__", init_with_extra_field)
    assert all(MEASUREMENTS[kind](ENTRY_COUNT, 1) >= before[kind] + EXTRA_BYTES for kind in kinds)


def test_leaked_quota_answers_are_detected(monkeypatch):
    """Guards against a leak that belongs to no entry: every quota request leaves something allocated."""
    leaked, before, receive = (
        [],
        entries.quota_answer_bytes(ENTRY_COUNT, 1),
        entries.QuotaOwner.receive_quota_request,
    )
    monkeypatch.setattr(
        entries.QuotaOwner,
        "receive_quota_request",
        lambda owner, wait: (receive(owner, wait), leaked.append(bytes(EXTRA_BYTES))),
    )
    assert entries.quota_answer_bytes(ENTRY_COUNT, 1) >= before + EXTRA_BYTES


def test_request_bytes_raises_if_requests_are_not_sent(monkeypatch):
    monkeypatch.setattr(decisions.Gateway, "send", lambda *args, **kwargs: False)
    with pytest.raises(RuntimeError, match="0 of 256 requests were sent"):
        MEASUREMENTS["request"](ENTRY_COUNT, 1)


def test_all_slopes_are_measured(monkeypatch):
    monkeypatch.setattr(entries, "ENTRY_COUNTS", {True: ENTRY_COUNT})
    monkeypatch.setattr(entries, "TIMING_ROUNDS", 1)
    monkeypatch.setattr(entries, "MANY_ENTRIES", 100)
    slopes = {slope.name: slope for slope in entries.measure(True, 1)}
    assert slopes["message.bytes.entry"].value == 14 and slopes["message.bytes.head"].value == 7
    assert {name.rsplit(".", 1)[0] for name in slopes if slopes[name].checked} == {
        "gateway.memory",
        "gateway.cpu",
        "message.bytes",
    }
    assert len([slope for slope in slopes.values() if slope.checked]) == 16
