"""A customer's quota at one gateway: token bucket, wait queue, concurrency limit and cap."""

from __future__ import annotations

import dataclasses

import pytest
from quotakit import GatewayGroup, count_sent, send_paced
from rules import HARD, LOOKUP, SOFT, CheckedGateway, make_settings, server_list

from thymehinge import interface as api
from thymehinge.decisions import SlotPool


def test_customer_is_limited_to_its_quota():
    gateway = CheckedGateway()
    gateway.deliver(server_list("s1", "s2"))
    request_ids = send_paced(gateway, 10.0, 0.05)
    assert 40 <= count_sent(gateway, request_ids) <= 8 + 4 * 10 + 1


def test_waiting_requests_are_sent_in_order():
    gateway = CheckedGateway()
    gateway.deliver(server_list(*[f"s{i}" for i in range(12)]))
    request_ids = [gateway.request() for _ in range(10)]
    assert 7 <= count_sent(gateway, request_ids) < 10
    gateway.run(0.6)
    sent_ids = [a.request_id for _, a in gateway.action_log if isinstance(a, api.Send)]
    assert sent_ids == sorted(sent_ids) and len(sent_ids) == 10


def test_refusal_carries_retry_after():
    gateway = CheckedGateway()
    gateway.deliver(server_list("s1", "s2"))
    request_ids = [gateway.request() for _ in range(30)]
    last_action = gateway.final_actions[request_ids[-1]]
    assert (
        isinstance(last_action, api.Refuse)
        and 0 < last_action.retry_after <= gateway.settings.max_retry_after
    )


def test_customer_starts_with_even_share_without_peers():
    gateway = CheckedGateway(make_settings(peers_enabled=False))
    gateway.deliver(server_list("s1", "s2"))
    request_ids = [gateway.request(spread=2) for _ in range(8)]
    assert 3 <= count_sent(gateway, request_ids) <= 4


def test_only_soft_plan_exceeds_quota():
    sent_counts = {}
    for plan in ("hard", "soft"):
        gateway = CheckedGateway()
        gateway.deliver(server_list("s1", "s2"))
        sent_counts[plan] = count_sent(gateway, send_paced(gateway, 20.0, 0.05, plan=plan))
    assert sent_counts["soft"] > 1.2 * sent_counts["hard"]


def test_new_requests_wait_longer_than_client_retries():
    """Guards new requests against losing the customer's tokens to retries of the client."""
    gateway = CheckedGateway()
    gateway.deliver(server_list(*[f"s{i}" for i in range(12)]))
    for _ in range(9):
        gateway.request()
    retry = api.Request(500, 3.0, "lookup", "hard", 7, 1.0, 1, 0, True)
    gateway.requests[500] = (retry, gateway.now)
    gateway.deliver(retry)
    assert isinstance(gateway.final_actions.get(500), api.Refuse)
    assert gateway.request() not in gateway.final_actions


def test_lower_value_class_waits_less_for_tokens():
    """Guards against a class of low value that takes the tokens because its latency target is long."""
    low_value_class = dataclasses.replace(LOOKUP, name="cheap", value=0.1, latency_target=5.0, timeout=9.0)
    gateway = CheckedGateway(make_settings(classes=(LOOKUP, low_value_class)))
    gateway.deliver(server_list(*[f"s{i}" for i in range(12)]))
    for _ in range(9):
        gateway.request()
    assert gateway.request(class_name="cheap") in gateway.final_actions
    assert gateway.request() not in gateway.final_actions


def test_billed_units_are_charged():
    gateway = CheckedGateway(make_settings(postpaid=True))
    gateway.deliver(server_list("s1", "s2"))
    first = gateway.request(units=1.0)
    gateway.end_attempt(first, billed_units=8.0)
    assert not gateway.attempts.get(gateway.request())


def test_concurrency_limit_is_enforced():
    plan = api.Plan("open", max_in_flight=2)
    gateway = CheckedGateway(make_settings(plans=(HARD, SOFT, plan)))
    gateway.deliver(server_list("s1", "s2"))
    request_ids = [gateway.request(plan="open") for _ in range(5)]
    assert count_sent(gateway, request_ids) == 2
    gateway.end_attempt(request_ids[0])
    gateway.run(0.1)
    assert count_sent(gateway, request_ids) == 3


def test_cap_holds_after_waiting_for_servers():
    """Guards against sending all waiting requests in one burst once servers are listed."""
    plan = api.Plan("capped", rate=4.0, burst=100.0, cap_rate=8.0, cap_burst=4.0, cap_slack=1.0)
    long_target_class = dataclasses.replace(LOOKUP, latency_target=20.0, timeout=30.0)
    gateway = CheckedGateway(make_settings(classes=(long_target_class,), plans=(plan,)))
    request_ids = []
    for _ in range(40):
        request_ids.append(gateway.request(plan="capped", time_left=30.0))
        gateway.run(0.05)
    gateway.deliver(server_list(*[f"s{i}" for i in range(30)]))
    assert 0 < count_sent(gateway, request_ids) <= 4


def test_tokens_are_not_reserved_twice():
    """Guards against a token bucket that loses the reservations of waiting requests."""
    long_target_class = dataclasses.replace(LOOKUP, latency_target=10.0, timeout=20.0)
    plan = api.Plan("small", rate=4.0, burst=4.0, overage_cost=1.0)
    gateway = CheckedGateway(make_settings(classes=(long_target_class,), plans=(plan,), gateway_count=1))
    gateway.deliver(server_list(*[f"s{i}" for i in range(12)]))
    request_ids = [gateway.request(plan="small", time_left=20.0) for _ in range(60)]
    for step in range(1, 90):
        gateway.run(0.1)
        for request in [r for r in gateway.attempts if gateway.in_flight(r)]:
            gateway.end_attempt(request)
        assert count_sent(gateway, request_ids) <= 4 + 4 * 0.1 * step + 1
    assert count_sent(gateway, request_ids) > 20


def test_idle_quotas_are_removed():
    """Guards against memory that grows with every customer; a quota in debt is kept."""
    group = GatewayGroup(2)
    for i in range(50):
        group.members[i % 2].request(customer=i, spread=2, plan=("hard", "capped")[i % 3 == 0], time_left=0.5)
    group.run(1.0)
    first = group.members[0]
    assert first.wrapped.quotas and any(member.wrapped.owned_quotas for member in group.members)
    for gateway in group.members:
        gateway.run(40.0)
        assert not gateway.wrapped.quotas and not gateway.wrapped.owned_quotas
    first.request(customer=1, spread=2)
    first.run(10.0)
    assert list(first.wrapped.quotas) == [1]


def test_expired_slot_waiters_are_not_counted():
    """Guards against refusals due to an expected wait that counts requests past their deadline."""
    slots = SlotPool(1)
    slots.acquire(0.0, (0, 1), 5.0)
    slots.waiters.update({(0, tag): (1.0, 5.0) for tag in range(2, 6)})
    assert slots.expected_wait(2.0, 0.1) == pytest.approx(0.1)
