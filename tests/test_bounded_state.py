"""What a gateway keeps is bounded by what is under way, however many requests and customers it has seen."""

from __future__ import annotations

import hiredis
import pytest
from netkit import harness_with_server, run_on_uvloop
from rules import HARD, CheckedGateway, make_settings, server_list

from thymehinge import interface as api
from thymehinge.decisions import CustomerQuota, Gateway

REQUEST_COUNT = 5_000
CUSTOMER_COUNT = 6_000
MAX_TIMERS = 2_000  # for a few requests under way
MAX_CUSTOMERS = 2_000  # in place of the real limit, for speed
MAX_RECORDS_PER_EVENT = 1_024
LONG_TIMEOUT = 60.0  # seconds
TIME_BETWEEN_REQUESTS = 1e-4  # seconds


def serve_customers(gateway: Gateway, customers: range, plan: str = "hard", start: float = 100.0) -> float:
    """Let each customer send a request that is served at once; return the time at the end."""
    now = start
    for customer in customers:
        now += TIME_BETWEEN_REQUESTS
        request = api.Request(customer, LONG_TIMEOUT, "lookup", plan, customer)
        sends = [a for a in gateway.handle(now, request) if isinstance(a, api.Send)]
        for send in sends:
            gateway.handle(now, api.Outcome(customer, 0, send.server, api.Result.OK, 1e-3, final=True))
    return now


@pytest.fixture
def small_tables(monkeypatch) -> None:
    monkeypatch.setattr("thymehinge.customers.MAX_CUSTOMERS", MAX_CUSTOMERS)


def gateway_with_servers(**overrides: object) -> Gateway:
    gateway = CheckedGateway(make_settings(gateway_count=1, peers_enabled=False, **overrides)).wrapped
    gateway.handle(100.0, server_list(*[f"s{i}" for i in range(20)]))
    return gateway


def test_timers_of_ended_requests_are_dropped():
    gateway = gateway_with_servers()
    serve_customers(gateway, range(1, REQUEST_COUNT))
    assert not gateway.jobs and len(gateway.timers) < MAX_TIMERS


def test_timers_of_answered_requests_are_dropped_by_driver():
    async def test() -> None:
        harness, _ = await harness_with_server()
        harness.driver.gateway.fleet.servers.clear()
        client = await harness.connect_client()
        for number in range(REQUEST_COUNT):
            name = b"%016x" % number
            client.write(hiredis.pack_command((b"API.READ", name, name, b"c=lookup,t=village,d=60000")))
        for exchange_count in range(REQUEST_COUNT):
            if exchange_count % 100 == 0:
                harness.driver.abandon_all()
                harness.driver.drain_deadline = float("inf")
            await client.read()
        assert len(harness.driver.timers) < MAX_TIMERS

    run_on_uvloop(test())


def test_customer_records_are_bounded(small_tables):
    gateway = gateway_with_servers()
    serve_customers(gateway, range(1, CUSTOMER_COUNT))
    assert len(gateway.quotas) <= MAX_CUSTOMERS


def test_records_of_customers_with_requests_in_flight_are_kept(small_tables):
    gateway = gateway_with_servers()
    steady = 2**32
    gateway.handle(100.0, api.Request(steady, LONG_TIMEOUT, "lookup", "hard", steady))
    serve_customers(gateway, range(1, CUSTOMER_COUNT))
    assert gateway.quotas[steady].in_flight == 1


def test_records_of_owned_quotas_are_bounded(small_tables):
    gateway = gateway_with_servers()
    for customer in range(CUSTOMER_COUNT):
        gateway.owned_quota(100.0, customer, HARD, 1.0)
    assert len(gateway.owned_quotas) <= MAX_CUSTOMERS


def test_customer_of_every_second_request_keeps_its_record(small_tables):
    """Guards the quota of a customer that sends all the time against a flood of other names."""
    gateway = gateway_with_servers()
    steady = 2**32
    serve_customers(gateway, range(steady, steady + 1))
    record = gateway.quotas[steady]
    for start in range(1, CUSTOMER_COUNT, 1_000):
        serve_customers(gateway, range(start, start + 1_000))
        gateway.handle(101.0, api.Request(10**6 + start, 1.0, "lookup", "hard", steady))
    assert gateway.quotas[steady] is record


def test_customer_whose_record_was_dropped_stays_within_its_cap(small_tables):
    """Guards the cap, which must not be exceeded, against a record that is dropped and made anew."""
    gateway = gateway_with_servers()
    customer, started_at = CUSTOMER_COUNT, 1_000.0  # long after the gateway's start
    serve_customers(gateway, range(customer, customer + 1), "capped", started_at)
    gateway.quotas[customer].cap_level = 0.0
    now = serve_customers(gateway, range(1, CUSTOMER_COUNT), "capped", started_at)
    gateway.handle(now, api.Request(customer + 1, 1.0, "lookup", "capped", customer))
    assert gateway.quotas[customer].cap_level <= 8.0 * (now - started_at)  # added by the cap's rate since


def test_controller_updates_a_bounded_number_of_records_in_one_event(monkeypatch):
    gateway = gateway_with_servers()
    now = serve_customers(gateway, range(1, CUSTOMER_COUNT))
    updates = []
    refill = CustomerQuota.refill
    monkeypatch.setattr(CustomerQuota, "refill", lambda quota, time: (updates.append(1), refill(quota, time)))
    for _ in range(40):
        now += 0.05
        updates.clear()
        gateway.handle(now, api.TimerDue(gateway.timer_tag))
        assert len(updates) <= MAX_RECORDS_PER_EVENT


def test_all_records_are_updated_within_a_second_by_slices():
    gateway = gateway_with_servers()
    now = serve_customers(gateway, range(1, 5_000))
    for _ in range(45):
        now += 0.05
        gateway.handle(now, api.TimerDue(gateway.timer_tag))
    assert all(now - quota.refilled_at < 1.5 for quota in gateway.quotas.values())
    for _ in range(800):
        now += 0.05
        gateway.handle(now, api.TimerDue(gateway.timer_tag))
    assert not gateway.quotas
